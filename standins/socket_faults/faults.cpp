// Stands ahead of the C library, loaded into a program (preloaded.cpp) or as a part of it (linked.cpp):
// counts the calls on sockets and fails those that the plan names, without making them, as if the system had.
//
//   FLAXDOOR_FAIL    what fails, comma-separated: CALL:N:ERROR or CALL:N..M:ERROR, counted from 0 for each
//   call.
//                    CALL: accept socket connect connected write read epoll_ctl epoll_wait (connected: what a
//                    connect that was under way has come to; epoll_ctl: sockets that are added; the system
//                    has no way to fail a change). ERROR: a name of
//                    errno, or SHORT: the call (write, read) is made for one byte.
//   FLAXDOOR_CALLS   a file that holds, from then on, the counts as they are: a Counts.
//
// After a write that was cut or put off the socket's readiness is told anew, as the system does when there is
// room again: who waits for that must not wait in vain.
//
// A plan that can't be read ends the process with 99: a test with a wrong plan must not pass.
#include "faults.h"

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "counts.h"

namespace {

using flaxdoor::standins::sockets::Call;
using flaxdoor::standins::sockets::call_names;
using flaxdoor::standins::sockets::Counts;
using flaxdoor::standins::sockets::Failure;
using flaxdoor::standins::sockets::faults;
using flaxdoor::standins::sockets::Faults;

constexpr int brief = -1;  // SHORT

struct Error {
    std::string_view name;
    int number;
};
constexpr Error errors[] = {{"EMFILE", EMFILE},
                            {"ENFILE", ENFILE},
                            {"ENOBUFS", ENOBUFS},
                            {"ENOMEM", ENOMEM},
                            {"ENOSPC", ENOSPC},
                            {"ECONNABORTED", ECONNABORTED},
                            {"ECONNRESET", ECONNRESET},
                            {"ECONNREFUSED", ECONNREFUSED},
                            {"EADDRNOTAVAIL", EADDRNOTAVAIL},
                            {"ENETUNREACH", ENETUNREACH},
                            {"ETIMEDOUT", ETIMEDOUT},
                            {"EPROTO", EPROTO},
                            {"EPERM", EPERM},
                            {"EPIPE", EPIPE},
                            {"EINTR", EINTR},
                            {"EAGAIN", EAGAIN},
                            {"SHORT", brief}};

[[noreturn]] void unreadable(std::string_view part) {
    std::fprintf(stderr, "FLAXDOOR_FAIL unreadable: %.*s\n", static_cast<int>(part.size()), part.data());
    std::_Exit(99);
}

std::vector<Failure> plan_of(std::string_view text) {
    std::vector<Failure> plan;
    while (!text.empty()) {
        const auto part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        const auto first = part.find(':');
        const auto second = part.rfind(':');
        if (first == second) unreadable(part);
        Failure failure;
        bool known = false;
        for (std::size_t i = 0; i < std::size(call_names); ++i) {
            if (call_names[i] != part.substr(0, first)) continue;
            failure.call = static_cast<Call>(i);
            known = true;
        }
        const std::string range(part.substr(first + 1, second - first - 1));
        char* end = nullptr;
        failure.from = failure.to = static_cast<unsigned>(std::strtoul(range.c_str(), &end, 10));
        if (std::string_view(end).starts_with("..")) {
            failure.to = static_cast<unsigned>(std::strtoul(end + 2, &end, 10));
        }
        for (const auto& error : errors) {
            if (error.name == part.substr(second + 1)) failure.error = error.number;
        }
        if (!known || failure.error == 0 || range.empty() || *end != '\0') unreadable(part);
        plan.push_back(failure);
    }
    return plan;
}

template <typename Function>
Function* real(const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

constexpr int descriptors = 4096;

}  // namespace

namespace flaxdoor::standins::sockets {

struct Faults::Watch {
    int epoll;
    epoll_event event;
};

Faults::Faults(std::string_view plan, const char* calls) : plan_(plan_of(plan)) {
    int file = -1;
    if (calls) file = ::open(calls, O_RDWR | O_CLOEXEC);
    const int kind = file < 0 ? MAP_PRIVATE | MAP_ANONYMOUS : MAP_SHARED;
    void* const at = ::mmap(nullptr, sizeof(Counts), PROT_READ | PROT_WRITE, kind, file, 0);
    if (at == MAP_FAILED) std::_Exit(99);
    if (file >= 0) ::close(file);
    counts_ = static_cast<Counts*>(at);
    void* const watches = ::mmap(nullptr, descriptors * sizeof(Watch), PROT_READ | PROT_WRITE,
                                 MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    if (watches == MAP_FAILED) std::_Exit(99);
    watches_ = static_cast<Watch*>(watches);
}

Faults::~Faults() {
    ::munmap(watches_, descriptors * sizeof(Watch));
    ::munmap(counts_, sizeof(Counts));
}

void Faults::watched(int epoll, int operation, int fd, const epoll_event* event) const {
    if (fd >= 0 && fd < descriptors && operation != EPOLL_CTL_DEL) watches_[fd] = {epoll, *event};
}

void Faults::tell_anew(int fd) const {
    if (fd < 0 || fd >= descriptors || watches_[fd].epoll == 0) return;
    epoll_event event = watches_[fd].event;
    real<decltype(::epoll_ctl)>("epoll_ctl")(watches_[fd].epoll, EPOLL_CTL_MOD, fd, &event);
}

int Faults::next(Call call) const {
    const auto n = counts_->made[static_cast<std::size_t>(call)].fetch_add(1);
    for (const auto& failure : plan_) {
        if (failure.call != call || n < failure.from || n > failure.to) continue;
        counts_->failed.fetch_add(1);
        return failure.error;
    }
    return 0;
}

}  // namespace flaxdoor::standins::sockets

namespace {

// Counts a call of this thread. What it has to fail with, or 0.
int next(Call call) {
    const Faults* const here = faults();
    return here ? here->next(call) : 0;
}

// Whether the call fails; errno is set then.
bool fails(Call call) {
    const int error = next(call);
    if (error > 0) errno = error;
    return error > 0;
}

// A loop's own timer and wake-up are none of the sockets.
bool is_socket(int fd) {
    int type = 0;
    socklen_t length = sizeof type;
    return real<decltype(::getsockopt)>("getsockopt")(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0;
}

// The same for calls that move bytes: `most` is cut to 1 where the plan says so.
bool fails(Call call, int fd, std::size_t& most) {
    const int error = next(call);
    if (error == brief && most > 1) most = 1;
    if (call == Call::write && (error == brief || error == EAGAIN)) faults()->tell_anew(fd);
    if (error > 0) errno = error;
    return error > 0;
}

// One that broke off in the backlog is gone for the system; here it is still there, as the one behind it.
bool accept_fails(int fd) {
    const bool fails_now = fails(Call::accept);
    if (fails_now && (errno == ECONNABORTED || errno == EPROTO)) {
        const int error = errno;
        faults()->tell_anew(fd);
        errno = error;
    }
    return fails_now;
}

// A message cut to its first `most` bytes.
class Cut {
public:
    Cut(const msghdr& message, std::size_t most) : message_(message) {
        for (std::size_t i = 0; i < message.msg_iovlen && most > 0; ++i) {
            iovec part = message.msg_iov[i];
            part.iov_len = std::min(part.iov_len, most);
            most -= part.iov_len;
            parts_.push_back(part);
        }
        message_.msg_iov = parts_.data();
        message_.msg_iovlen = parts_.size();
    }
    msghdr* get() { return &message_; }

private:
    msghdr message_;
    std::vector<iovec> parts_;
};

}  // namespace

extern "C" {

int accept(int fd, sockaddr* __restrict address, socklen_t* __restrict length) {
    return accept_fails(fd) ? -1 : real<decltype(::accept)>("accept")(fd, address, length);
}
int accept4(int fd, sockaddr* __restrict address, socklen_t* __restrict length, int flags) {
    return accept_fails(fd) ? -1 : real<decltype(::accept4)>("accept4")(fd, address, length, flags);
}
int socket(int domain, int type, int protocol) noexcept {
    return fails(Call::socket) ? -1 : real<decltype(::socket)>("socket")(domain, type, protocol);
}
int connect(int fd, const sockaddr* address, socklen_t length) {
    return fails(Call::connect) ? -1 : real<decltype(::connect)>("connect")(fd, address, length);
}
int getsockopt(int fd, int level, int name, void* __restrict value, socklen_t* __restrict length) noexcept {
    const int result = real<decltype(::getsockopt)>("getsockopt")(fd, level, name, value, length);
    if (result == 0 && level == SOL_SOCKET && name == SO_ERROR && *length == sizeof(int)) {
        if (const int error = next(Call::connected); error > 0) std::memcpy(value, &error, sizeof error);
    }
    return result;
}
ssize_t send(int fd, const void* bytes, std::size_t size, int flags) {
    return fails(Call::write, fd, size) ? -1 : real<decltype(::send)>("send")(fd, bytes, size, flags);
}
ssize_t sendmsg(int fd, const msghdr* message, int flags) {
    std::size_t most = std::numeric_limits<std::size_t>::max();
    if (fails(Call::write, fd, most)) return -1;
    const auto call = real<decltype(::sendmsg)>("sendmsg");
    return most == 1 ? call(fd, Cut(*message, most).get(), flags) : call(fd, message, flags);
}
ssize_t recv(int fd, void* bytes, std::size_t size, int flags) {
    return fails(Call::read, fd, size) ? -1 : real<decltype(::recv)>("recv")(fd, bytes, size, flags);
}
ssize_t recvmsg(int fd, msghdr* message, int flags) {
    std::size_t most = std::numeric_limits<std::size_t>::max();
    if (fails(Call::read, fd, most)) return -1;
    const auto call = real<decltype(::recvmsg)>("recvmsg");
    return most == 1 ? call(fd, Cut(*message, most).get(), flags) : call(fd, message, flags);
}
int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) noexcept {
    if (operation == EPOLL_CTL_ADD && is_socket(fd) && fails(Call::epoll_ctl)) return -1;
    if (const Faults* const here = faults()) here->watched(epoll, operation, fd, event);
    return real<decltype(::epoll_ctl)>("epoll_ctl")(epoll, operation, fd, event);
}
int epoll_wait(int epoll, epoll_event* events, int most, int timeout) {
    return fails(Call::epoll_wait) ? -1
                                   : real<decltype(::epoll_wait)>("epoll_wait")(epoll, events, most, timeout);
}

}  // extern "C"
