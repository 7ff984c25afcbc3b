// Retry budget of a route: a share of its requests over the last ten seconds, and a minimum rate that is
// always allowed. The budget only ever denies a retry that the decision module wants to send.
//
// Threading: one thread at a time.   Time is an argument and never decreases.   Memory: ten pairs of
//            counters.
#pragma once

#include <array>
#include <cstdint>

#include "routes/rule.h"

namespace flaxdoor::routes {

class RetryBudget {
public:
    void on_request(Time now);
    // Returns whether one more retry is allowed, and counts it if so.
    [[nodiscard]] bool try_acquire(Time now, const RetryLimit& limit);

private:
    static constexpr std::size_t window_seconds = 10;
    struct Bucket {
        std::int64_t second = -1;
        std::uint64_t requests = 0, retries = 0;
    };
    // Returns the bucket of the current second, emptied if it still holds an earlier one.
    Bucket& bucket_at(Time now);

    std::array<Bucket, window_seconds> buckets_;
};

}  // namespace flaxdoor::routes
