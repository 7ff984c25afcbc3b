// Explores every order of simultaneous events in a small world, depth first. Because a core can't be copied, each path
// is simulated from the beginning with a list of choices. The judge checks each path.
//
// The behaviour of an entity depends only on the events that it has processed and their order. Two paths on which
// every entity has the same event history therefore lead to the same world, and the second path is not continued.
// State that several entities share counts as an entity of its own, and its history is included in that of every
// entity that reads it: troubles, the front layer, the deduplication of keyed effects, and service discovery.
//
// Limits: The servers' connection limit must not be reached, because balancers share it and it is not an entity.
//         A visited state is identified by 64 bits (XXH3), so a hash collision skips one
//         unvisited state among some billions.
// Bounds: the numbers of paths and states, and the caller's `enough`.
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
    std::function<bool()> enough;  // called before each path; true ends the exploration; may be null
    std::function<void(const struct Covered&)> progress;  // called every 1,000 paths; may be null
};

// The extent of an exploration.
struct Covered {
    std::uint64_t paths = 0, states = 0, happenings = 0, met_again = 0;
    std::size_t choices_most = 0;  // most choices on one path
    bool all = false;              // every order was covered; equal worlds were explored once
};

// A path that breaks a rule.
struct WrongPath {
    std::vector<std::uint32_t> choices;
    std::vector<Broken> broken;
};

struct Explored {
    Covered covered;
    std::vector<WrongPath> wrong;  // the first ten found
};

Explored explore(const Experiment& experiment, const ExploreOptions& options);

// Simulates one path that explore() reported.
Findings follow(const Experiment& experiment, const std::vector<std::uint32_t>& choices);

}  // namespace flaxdoor::lab
