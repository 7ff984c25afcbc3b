// Runs all worlds of a plan, one world per thread, and stores their results in a folder:
//
//     plan.toml      the unchanged text of the experiment's file
//     cells.jsonl    one line for each completed world: variant, seed, digest, figures, broken rules, expectations
//     CELL.trace     the trace of a world, if traces are stored
//
// With `resume`, a run continues in a folder that has some of the worlds. It rejects a folder of another experiment.
//
// Threading: run() blocks; it starts and joins its own threads. `stop` may be set from a signal handler: worlds in
//            progress are abandoned, results of completed worlds stay.
// Errors:    std::runtime_error for a folder that can't be written or belongs to another experiment.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "experiment/plan.h"
#include "judge/findings.h"
#include "run/expect.h"
#include "run/figures.h"
#include "trace/file.h"
#include "trace/record.h"

namespace flaxdoor::lab {

// The results of one world of a plan.
struct Cell {
    std::size_t number = 0;
    std::string variant;
    std::uint64_t seed = 0;
    Terms terms;
    Digest digest;
    std::uint64_t records = 0, happenings = 0;
    double real_seconds = 0;  // wall-clock time; differs between runs of the same world
    Figures figures;
    Findings findings;
    std::vector<Met> met;

    bool all_met() const;
};

// Runs one world and evaluates it. Writes its trace to `trace_file` unless that is empty, and its records to `also`
// unless that is null. Returns nothing when `stop` was set.
std::optional<Cell> play_cell(const Experiment& experiment, const std::string& trace_file = "",
                              const std::atomic<bool>* stop = nullptr, Sink* also = nullptr);

// Evaluates records from another source than a simulated world in the same way.
Cell cell_of(const Experiment& experiment, const Terms& terms, const std::vector<Record>& records,
             const std::string& trace_file = "");

nlohmann::json to_json(const Cell& cell);

struct RunOptions {
    std::string folder;     // empty: results are not stored
    std::string plan_text;  // stored as plan.toml
    unsigned threads = 1;
    bool resume = false;
    bool traces = false;
    const std::atomic<bool>* stop = nullptr;
    // Called after each world, from any of the threads but never concurrently, with the number of completed worlds
    // and the estimated seconds left.
    std::function<void(std::size_t done, std::size_t all, double seconds_left)> progress;
};

struct Run {
    std::vector<nlohmann::json> cells;  // completed worlds, in ascending order of their numbers
    bool stopped = false;
};

Run run(const Plan& plan, const RunOptions& options);

}  // namespace flaxdoor::lab
