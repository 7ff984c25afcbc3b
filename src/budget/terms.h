// Configuration of fleet-wide budgets, and the amounts into which they are divided. Plain values.
//
// Units: a permit admits one request, attempt or retry. Rates are in thousandths of a permit a second, so
//        that a small whole can be divided among many balancers. Sizes are in whole permits: the depth of a
//        token bucket, or the number of attempts in flight (concurrency permits). All amounts are integers,
//        so the same demands give the same shares on every machine.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "flaxdoor/decide.h"

namespace flaxdoor::budget {

// What takes a permit of a budget.
enum class Counts : std::uint8_t {
    requests,     // the first attempt of each call
    attempts,     // every attempt
    retries,      // every attempt after the first one of its call
    concurrency,  // every attempt, from its first byte until it has ended
};

// A part of a budget, or all of it. Amounts are added component by component.
struct Amount {
    std::int64_t rate = 0;  // thousandths of a permit a second; zero for concurrency budgets
    std::int64_t size = 0;  // depth of the token bucket, or concurrency permits

    friend bool operator==(const Amount&, const Amount&) = default;
    friend Amount operator+(Amount a, Amount b) { return {a.rate + b.rate, a.size + b.size}; }
    friend Amount operator-(Amount a, Amount b) { return {a.rate - b.rate, a.size - b.size}; }
    friend Amount component_min(Amount a, Amount b) {
        return {std::min(a.rate, b.rate), std::min(a.size, b.size)};
    }
    friend Amount component_max(Amount a, Amount b) {
        return {std::max(a.rate, b.rate), std::max(a.size, b.size)};
    }
    bool within(Amount whole) const { return rate <= whole.rate && size <= whole.size; }
};

struct Budget {
    std::string name;
    Counts counts = Counts::requests;
    std::string tenant, of_class,
        pool;  // the budget applies to calls that match all of these; empty matches any
    Amount whole;
    Amount reserve;  // of each expected balancer, taken out of the whole; usable without a lease
};

// Configuration that all budgets of a fleet share. The authority and the holders use the same values.
struct BudgetConfig {
    std::vector<Budget> budgets;
    int expected_balancers = 1;                   // number of balancers that have a reserve
    Micros lease_term = std::chrono::seconds(3);  // duration of a lease
    double max_clock_drift = 0.001;               // largest relative error of a clock's rate
    // Longest duration of an attempt that holds a concurrency permit.
    Micros max_attempt_duration = std::chrono::seconds(30);
    std::size_t max_holders = 1024;  // processes known at once, including former ones
};

// Duration of a lease at its holder and at the authority. The holder counts from when it sent its request,
// the authority from when it granted the lease, which is later. The holder's lease ends first even if the
// holder's clock is slow by `drift` and the authority's is fast by it.
inline Micros lease_term_at_holder(Micros term, double drift) {
    return Micros(static_cast<std::int64_t>(static_cast<double>(term.count()) * (1 - drift)));
}
inline Micros lengthened_by_drift(Micros term, double drift) {
    return Micros(static_cast<std::int64_t>(static_cast<double>(term.count()) * (1 + drift)) + 1);
}

}  // namespace flaxdoor::budget
