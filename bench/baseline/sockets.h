// What the baselines and the load generator need of sockets: IPv4 addresses, connections that do not wait,
// epoll.
//
// Threading: each object belongs to one thread.   Ownership: descriptors are the caller's, but for Poll's
// own. Errors: std::system_error, or std::invalid_argument with the text that is no address.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>

namespace flaxdoor::bench {

inline int checked(int result, const char* call) {
    if (result < 0) throw std::system_error(errno, std::generic_category(), call);
    return result;
}

// ADDRESS:PORT.
inline sockaddr_in address_of(const std::string& text) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    if (colon == std::string::npos ||
        ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1 ||
        std::from_chars(text.data() + colon + 1, end, port).ptr != end) {
        throw std::invalid_argument("'" + text + "': wanted ADDRESS:PORT");
    }
    address.sin_port = htons(port);
    return address;
}

inline void at_once(int socket) {
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// As many descriptors as this process may have.
inline void all_descriptors() {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

// A listener; its port goes to `port`.
inline int listen_on(const sockaddr_in& address, std::uint16_t& port) {
    const int socket = checked(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), "socket");
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    checked(::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address), "bind");
    checked(::listen(socket, 4096), "listen");
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    checked(::getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size), "getsockname");
    port = ntohs(bound.sin_port);
    return socket;
}

// A connection that may still be coming up: what is written to it before says EAGAIN.
inline int connect_to(const sockaddr_in& address) {
    const int socket = checked(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), "socket");
    at_once(socket);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
        errno != EINPROGRESS) {
        const int why = errno;
        ::close(socket);
        throw std::system_error(why, std::generic_category(), "connect");
    }
    return socket;
}

// The next client; -1: none waits.
inline int accept_from(int listener) {
    const int socket = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket >= 0) at_once(socket);
    return socket;
}

// Level-triggered epoll. A closed descriptor leaves by itself.
class Poll {
public:
    Poll() : fd_(checked(::epoll_create1(EPOLL_CLOEXEC), "epoll_create1")) {}
    ~Poll() { ::close(fd_); }
    Poll(const Poll&) = delete;
    Poll& operator=(const Poll&) = delete;

    void add(int fd, std::uint32_t events, void* of) { control(EPOLL_CTL_ADD, fd, events, of); }
    void change(int fd, std::uint32_t events, void* of) { control(EPOLL_CTL_MOD, fd, events, of); }
    // Hands each event to `take(of, events)`; waits for the first one as long as is said, in ms (-1: for
    // ever).
    template <typename Take>
    void wait(int most_ms, Take take) {
        const int count = ::epoll_wait(fd_, events_.data(), static_cast<int>(events_.size()), most_ms);
        if (count < 0 && errno != EINTR) checked(count, "epoll_wait");
        for (int i = 0; i < count; ++i) {
            const epoll_event& event = events_[static_cast<std::size_t>(i)];
            take(event.data.ptr, event.events);
        }
    }

private:
    void control(int what, int fd, std::uint32_t events, void* of) {
        epoll_event event{};
        event.events = events;
        event.data.ptr = of;
        checked(::epoll_ctl(fd_, what, fd, &event), "epoll_ctl");
    }
    int fd_;
    std::array<epoll_event, 256> events_{};
};

}  // namespace flaxdoor::bench
