// Every order of events at equal standing, in a world small enough: depth first, each path played from the
// beginning with a list of choices (a core can't be copied), the judge on each of them.
//
// Two paths after which every entity has met the same happenings in the same order lead to the same world,
// for what an entity does depends on these alone; the second is not gone into. What several entities share is
// an entity of its own here (whoever reads it takes its history into its own): troubles, the layer before the
// balancers, the memory of keyed effects, the roster.
//
// Limits: servers' room for connections must not be reached (it is shared by balancers and is no entity); a
//         visited state is known by 64 bits (XXH3), so one of some billions may be left out unseen.
// Bounds: paths, states, and whenever its caller has had enough.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "experiment/experiment.h"
#include "judge/findings.h"

namespace flaxdoor::lab {

struct ExploreOptions {
    std::size_t paths_most = 100'000;
    std::size_t states_most = 10'000'000;
    std::function<bool()> enough;                         // asked before each path; null: never
    std::function<void(const struct Covered&)> progress;  // now and then
};

struct Covered {
    std::uint64_t paths = 0, states = 0, happenings = 0, met_again = 0;
    std::size_t choices_most = 0;  // of one path
    bool all = false;              // every order, within the merging of equal worlds
};

struct WrongPath {
    std::vector<std::uint32_t> choices;
    std::vector<Broken> broken;
};

struct Explored {
    Covered covered;
    std::vector<WrongPath> wrong;  // the first ten
};

Explored explore(const Experiment& experiment, const ExploreOptions& options);

// One path, as explore() told it.
Findings follow(const Experiment& experiment, const std::vector<std::uint32_t>& choices);

}  // namespace flaxdoor::lab
