// Searches for worlds that break a rule or miss an expectation. Draws worlds from the ranges of an experiment's file
// and reduces the first failing one step by step, as long as it still shows one of the same failures.
//
// Repeatable: the same file and seed draw the same worlds and reduce them in the same way. More threads only run more
//             worlds at a time; of several failing worlds, the one with the lowest number is taken.
// Bounds:     at most `draws` worlds to find a failure, then at most `shrinks` worlds to reduce it.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "experiment/plan.h"

namespace flaxdoor::lab {

struct HuntOptions {
    std::uint64_t seed = 1;
    std::size_t draws = 200;
    std::size_t shrinks = 200;
    unsigned threads = 1;
    const std::atomic<bool>* stop = nullptr;
    std::function<void(const std::string& what)> tell;  // reports progress on the thread that called hunt()
    // Returns the failures of a world, one sentence each. If null, its broken rules and missed expectations count.
    std::function<std::vector<std::string>(const Experiment&)> wrong;
};

// The failing world that was found.
struct Prey {
    std::string file;  // the reduced world, as an experiment's file
    std::vector<std::string> wrong;
    std::uint64_t draw = 0;
    std::size_t steps = 0;  // successful reduction steps
};

struct Hunt {
    std::optional<Prey> prey;
    std::size_t drawn = 0, played = 0;
};

Hunt hunt(const Plan& plan, const HuntOptions& options);

}  // namespace flaxdoor::lab
