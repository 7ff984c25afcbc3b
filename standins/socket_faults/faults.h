// The plan by which calls on sockets fail: see faults.cpp.
//
// Threading: one plan may be met by any number of threads; the counts are atomic, the rest is constant but
// for what is known of a descriptor, which is its owner's thread's.
#pragma once

#include <sys/epoll.h>

#include <string_view>
#include <vector>

#include "counts.h"

namespace flaxdoor::standins::sockets {

struct Failure {
    Call call{};
    unsigned from = 0;
    unsigned to = 0;
    int error = 0;
};

class Faults {
public:
    // `calls`: the path of the file that holds the counts; null: they are nobody's. A plan that can't be read
    // ends the process with 99.
    Faults(std::string_view plan, const char* calls);
    ~Faults();
    Faults(const Faults&) = delete;
    Faults& operator=(const Faults&) = delete;

    // Counts one call. What it has to fail with, or 0.
    int next(Call call) const;
    void watched(int epoll, int operation, int fd, const epoll_event* event) const;
    // Has the readiness of a socket told once more.
    void tell_anew(int fd) const;

private:
    struct Watch;
    const std::vector<Failure> plan_;
    Counts* counts_ = nullptr;
    Watch* watches_ = nullptr;  // by descriptor
};

// The plan that the calls of the calling thread meet with; null: none. By preloaded.cpp: the environment's,
// for every thread; by linked.cpp: one that this thread was given.
const Faults* faults() noexcept;

}  // namespace flaxdoor::standins::sockets
