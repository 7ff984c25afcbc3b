// Not only safe: how much of the whole is in use, how soon after a trouble, and what it costs. All in virtual time but for
// the authority's processor time, for which its caller hands in a clock.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "budget/messages.h"
#include "budgets/world.h"

namespace flaxdoor::lab::budgets {

// Over some seeds.
struct Spread {
    double least = 0, middle = 0, most = 0;
};
Spread spread_of(std::vector<double> values);

struct Figure {
    std::string name, unit;
    Spread spread;
};

// A fleet with typical terms (3 s, drift 0.001, attempts up to 2 s): "rate" 600 a second, "pool" 60 places, no faults.
Setup typical(std::uint32_t names, std::uint64_t seed);

// Shares of the whole in use from `from` to `to` (microseconds), by budget.
std::vector<double> in_use(const Setup& setup, std::int64_t from, std::int64_t to);

// Seconds from `from` until the whole is in use at 95% or more over half a second; negative: never. By budget.
std::vector<double> until_full(const Setup& setup, std::int64_t from);

// Seconds until each of `names` has begun an attempt, of a whole of seven places.
double until_each_had_one(std::uint32_t names, std::uint64_t seed);

std::vector<Figure> use_figures(std::uint64_t seeds);
std::vector<Figure> recovery_figures(std::uint64_t seeds);
// How many bytes a message is on the wire.
struct Wire {
    std::function<std::size_t(const budget::LeaseRequest&)> request;
    std::function<std::size_t(const budget::LeaseReply&)> reply;
};
// 300 balancers, 20 budgets.
std::vector<Figure> cost_figures(const std::function<double()>& cpu_seconds, const Wire& wire);
// A clock that is off by more than the bound, and two authorities at once.
std::vector<Figure> broken_figures(std::uint64_t seeds);

}  // namespace flaxdoor::lab::budgets
