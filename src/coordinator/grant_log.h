// Logs every grant as a line of JSON, so that a test can verify a run: {"time_us", "holder", "instance",
// "epoch", "seq", "until_us", "budget", "share"}, with times of the authority's clock. A grant is logged
// before its reply is sent.
//
// Threading: single-threaded.   Ownership: owns its file descriptor.   Errors: functions return an errno, or
//            0 on success.
// Bounds:    none; the file grows without limit, as it is meant for tests.
#pragma once

#include <string>

#include "budget/messages.h"

namespace flaxdoor::coordinator {

class GrantLog {
public:
    GrantLog() = default;
    ~GrantLog();
    GrantLog(const GrantLog&) = delete;
    GrantLog& operator=(const GrantLog&) = delete;

    // Opens the file for appending.
    [[nodiscard]] int open(const std::string& path);
    // Writes all grants of a reply or none: a partial write on a full disk is truncated.
    [[nodiscard]] int write(const budget::LeaseRequest& request, const budget::LeaseReply& reply, Time now,
                            Time until);

private:
    int fd_ = -1;
};

}  // namespace flaxdoor::coordinator
