// The balancer's daemon as a process of its own, started with a configuration of this lab's, known by the
// address that it tells, and ended by its id. Nothing of it outlives the lab: the kernel ends it when the lab
// ends in any way, and it stands in a group of its own, so that Ctrl-C reaches the lab alone.
//
// Threading: on the thread of the io_context, which must outlive it; that thread also starts it, and the process
// ends with that thread. Errors: std::system_error when the program can't be started. Bounded: the last 50 lines
// of its log are kept.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace flaxdoor::lab::real {

class Daemon {
public:
    struct Words {
        std::string program;
        std::string config;  // a file
        std::function<void(boost::asio::ip::tcp::endpoint)> on_listening;
        std::function<void(int status)> on_end;  // below 0: the signal
    };
    Daemon(boost::asio::io_context& loop, Words words);
    ~Daemon();  // kills it, and waits for its end
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    void tell_to_end();  // SIGTERM
    void kill();         // SIGKILL, and waits for its end; on_end is not told
    [[nodiscard]] bool ended() const;
    [[nodiscard]] pid_t process() const;
    [[nodiscard]] std::string log() const;  // its last lines

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::lab::real
