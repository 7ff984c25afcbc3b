// What a fleet-wide budget is, as the operator sets it, and the amounts that it is divided into. Plain values.
//
// Units: a permit lets one request, attempt or retry through; rates in thousandths of a permit a second, so that
//        a small whole can be divided among many; sizes in whole permits (a bucket's depth, or places). All are integers:
//        the same demands give the same shares on every machine.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor::budget {

// What takes a permit of a budget.
enum class Counts : std::uint8_t {
    requests,     // each call's first attempt
    attempts,     // every attempt
    retries,      // every attempt after a call's first
    concurrency,  // every attempt, from its first byte until it has ended
};

// A part of a budget, or all of it. Parts add up in each of the two.
struct Amount {
    std::int64_t rate = 0;  // thousandths of a permit a second; zero where places are counted
    std::int64_t size = 0;  // depth of the token bucket, or places

    friend bool operator==(const Amount&, const Amount&) = default;
    friend Amount operator+(Amount a, Amount b) { return {a.rate + b.rate, a.size + b.size}; }
    friend Amount operator-(Amount a, Amount b) { return {a.rate - b.rate, a.size - b.size}; }
    friend Amount least(Amount a, Amount b) { return {std::min(a.rate, b.rate), std::min(a.size, b.size)}; }
    friend Amount most(Amount a, Amount b) { return {std::max(a.rate, b.rate), std::max(a.size, b.size)}; }
    bool within(Amount whole) const { return rate <= whole.rate && size <= whole.size; }
};

struct Budget {
    std::string name;
    Counts counts = Counts::requests;
    std::string tenant, of_class, pool;  // only what belongs to all that are named; empty: any
    Amount whole;
    Amount reserve;  // of each expected balancer, set aside out of the whole: its own with no lease
};

// What holds for all budgets of a fleet, at the authority and at the holders alike.
struct Terms {
    std::vector<Budget> budgets;
    int expected = 1;                           // balancers that have a reserve
    Micros term = std::chrono::seconds(3);      // of a lease
    double drift = 0.001;                       // clocks' rates are right within this share
    Micros longest = std::chrono::seconds(30);  // deadline of an attempt that takes a place
    std::size_t holders_most = 1024;            // known at once, those of the past included
};

// How long a lease counts. The holder counts from when it sent its request, the authority from when it granted,
// which is later; a clock that runs slow by `drift` at the one and fast by it at the other do not make them meet.
inline Micros at_holder(Micros term, double drift) {
    return Micros(static_cast<std::int64_t>(static_cast<double>(term.count()) * (1 - drift)));
}
inline Micros at_authority(Micros term, double drift) {
    return Micros(static_cast<std::int64_t>(static_cast<double>(term.count()) * (1 + drift)) + 1);
}

}  // namespace flaxdoor::budget
