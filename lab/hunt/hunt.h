// Looks for worlds in which a rule broke or an expectation was not met: draws them from the ranges of an
// experiment's file, and makes the first that is found smaller, step by step, as long as it still shows it.
//
// Repeatable: the same file and seed draw the same worlds and shrink in the same way; more threads only look
// at
//             more of them at a time, and of several the one with the least number is taken.
// Bounds:     `draws` worlds, then `shrinks` worlds.
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
    std::function<void(const std::string& what)> tell;  // of progress, on the thread that called hunt()
    // What is wrong with a world, a sentence each; empty: nothing. Null: its broken rules and what was not
    // met.
    std::function<std::vector<std::string>(const Experiment&)> wrong;
};

struct Prey {
    std::string file;  // the smallest world, as an experiment's file
    std::vector<std::string> wrong;
    std::uint64_t draw = 0;
    std::size_t steps = 0;  // that made it smaller
};

struct Hunt {
    std::optional<Prey> prey;
    std::size_t drawn = 0, played = 0;
};

Hunt hunt(const Plan& plan, const HuntOptions& options);

}  // namespace flaxdoor::lab
