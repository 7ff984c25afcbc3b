// Weighted max-min fair division in integers. A claim below an equal part gets what it wants; the other
// claims share the rest. The parts always sum to the whole: what no claim wants is divided evenly, so that
// every holder has something for a burst. The remainder of an integer division goes to the last claims in
// order of (demand per weight, index).
//
// Source:    D. Bertsekas, R. Gallager, Data Networks, 6.5.2 (max-min flow control); progressive filling.
// Threading: pure functions.   Cost: n log n.
#pragma once

#include <cstdint>
#include <vector>

#include "budget/terms.h"

namespace flaxdoor::budget {

struct Claim {
    Amount wants;
    std::int64_t weight = 1;
    // Lease terms since the claimant last had a permit. The longest wait comes first if permits are scarce.
    std::uint64_t terms_without_permit = 0;
};

// Divides one component of an amount. The parts sum to `whole` unless there are no claims.
[[nodiscard]] std::vector<std::int64_t> max_min(std::int64_t whole, const std::vector<std::int64_t>& wants,
                                                const std::vector<std::int64_t>& weights);

// Divides a budget. Sizes are divided first: each claim that wants a permit gets one before any claim gets
// two. Only claims with a size get a rate, since a rate needs a bucket to fill. What no claim wants is spread
// over all. Concurrency budgets have no rate.
[[nodiscard]] std::vector<Amount> divide(Amount whole, Counts counts, const std::vector<Claim>& claims);

}  // namespace flaxdoor::budget
