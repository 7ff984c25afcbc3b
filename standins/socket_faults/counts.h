// What the fault library and the tests share: the calls it knows, and how many of them were made.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <string_view>

namespace flaxdoor::standins::sockets {

enum class Call { accept, socket, connect, connected, write, read, epoll_ctl, epoll_wait };
inline constexpr std::string_view call_names[] = {"accept", "socket", "connect",   "connected",
                                                  "write",  "read",   "epoll_ctl", "epoll_wait"};

// Lies in a file that both sides map: the program's end, whatever it is, loses nothing.
struct Counts {
    std::array<std::atomic<unsigned>, std::size(call_names)> made;
    std::atomic<unsigned> failed;
};

}  // namespace flaxdoor::standins::sockets
