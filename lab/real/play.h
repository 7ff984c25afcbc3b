// Plays the part of an experiment that one machine can, with the real daemon as processes on loopback and the
// repository's stand-ins: nodes, rosters and clients in this process, on one thread and one monotonic clock.
//
// Threading: blocks; `stop` may be set from a signal handler. Errors: std::runtime_error when a balancer does not
// start, std::system_error when the program can't be run. Nothing is left running, whatever happens.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "experiment/experiment.h"
#include "run/runner.h"

namespace flaxdoor::lab::real {

struct PlayOptions {
    std::string program;  // the daemon's
    std::string trace_file;
    const std::atomic<bool>* stop = nullptr;
    std::function<void(double seconds, double of)> progress;
};

struct Played {
    Cell foretold, shown;
    std::string scale;                // what of it was played, in words
    std::uint64_t lag_most_us = 0;    // the most that a sending was behind its moment
    std::vector<std::string> faults;  // beyond the judge's: answers that no server made, balancers that ended
};

// Nothing: stopped.
std::optional<Played> play(const Experiment& whole, const PlayOptions& options);

}  // namespace flaxdoor::lab::real
