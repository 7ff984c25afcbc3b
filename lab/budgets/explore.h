// Every order of a small world of budgets: two holders, one authority, messages that arrive in any order, late by any time,
// or are lost; a holder that dies; an authority that dies and comes back with what it had written. The judge is asked on each.
//
// Depth first over copies of the world. Two ways by which everyone has met the same at the same time lead to the same
// world (a holder's and the authority's state follows from what they met); the second is not gone into.
// Bounds: time, losses, deaths, starts, messages under way, states.   Limits: a state is known by 64 bits of its history.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace flaxdoor::lab::budgets {

struct SmallWorld {
    int ticks = 8;  // three are a term
    int losses = 1;
    int deaths = 1;
    int starts = 0;          // of the authority, beyond its first
    int under_way_most = 2;  // messages of each holder
    std::size_t states_most = 5'000'000;
};

struct Orders {
    std::uint64_t states = 0, met_again = 0, steps = 0;
    bool all = false;
    std::vector<std::string> wrong;  // the first broken rule, with the steps that led there
};

[[nodiscard]] Orders explore(const SmallWorld& small);

}  // namespace flaxdoor::lab::budgets
