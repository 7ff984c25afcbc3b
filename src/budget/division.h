// Weighted max-min fairness in integers: who wants less than an equal part gets what it wants, the others share what
// is left. Nothing of the whole is left over: what nobody wants is divided evenly, so that a burst anywhere finds
// something there, and the remainder of a division goes to the last in order of (want a weight, place).
//
// Source:    D. Bertsekas, R. Gallager, Data Networks, 6.5.2 (max-min flow control); progressive filling.
// Threading: plain functions.   Cost: n log n.
#pragma once

#include <cstdint>
#include <vector>

#include "budget/terms.h"

namespace flaxdoor::budget {

struct Claim {
    Amount wants;
    std::int64_t weight = 1;
    std::uint64_t without =
        0;  // how long it has had no permit at all: the longest goes first where few go round
};

// Of one kind of unit. The parts sum to `whole`, unless there is no claim.
[[nodiscard]] std::vector<std::int64_t> max_min(std::int64_t whole, const std::vector<std::int64_t>& wants,
                                                const std::vector<std::int64_t>& weights);

// Of a budget: sizes first, one each to those who want any before anyone has two; a rate goes only to who has a bucket
// to fill. What nobody wants is spread over all. `counts` concurrency has no rates.
[[nodiscard]] std::vector<Amount> divide(Amount whole, Counts counts, const std::vector<Claim>& claims);

}  // namespace flaxdoor::budget
