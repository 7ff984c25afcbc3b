// Every grant as a line of JSON, for whoever judges a run by them: {"time_us", "holder", "instance", "epoch", "seq",
// "until_us", "budget", "share"}, times of the authority's clock. Written before the reply leaves.
//
// Threading: one thread.   Ownership: the descriptor is its own.   Errors: an errno; 0: done.
// Bounds:    the file grows without one: it is for tests and trials.
#pragma once

#include <string>

#include "budget/messages.h"

namespace flaxdoor::coordinator {

class GrantsLog {
public:
    GrantsLog() = default;
    ~GrantsLog();
    GrantsLog(const GrantsLog&) = delete;
    GrantsLog& operator=(const GrantsLog&) = delete;

    // Appends to what is there.
    [[nodiscard]] int open(const std::string& path);
    // All of a reply, or nothing: what a full disk took of it is cut off again.
    [[nodiscard]] int write(const budget::LeaseRequest& request, const budget::LeaseReply& reply, Time now,
                            Time until);

private:
    int fd_ = -1;
};

}  // namespace flaxdoor::coordinator
