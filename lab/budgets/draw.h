// Worlds by seed: a kind names what may go wrong, the seed all the rest.
//
// Threading: plain functions. The same kind and seed give the same setup on every machine.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "budget_judge/judge.h"
#include "budgets/world.h"

namespace flaxdoor::lab::budgets {

struct Kind {
    std::string_view name;
    std::string_view about;
    bool holds = true;  // the budget must be kept; else the design says that it is not, and it is measured
};
std::span<const Kind> kinds();

// `kind` one of kinds(); std::invalid_argument, naming them, otherwise.
Setup draw(std::string_view kind, std::uint64_t seed);

struct Played {
    Counts counts;
    std::vector<Broken> broken;
    std::int64_t over_us = 0;    // the sum of shares was over the whole for so long
    std::int64_t over_most = 0;  // by so many thousandths of it at most
};
Played judged(const Setup& setup);

}  // namespace flaxdoor::lab::budgets
