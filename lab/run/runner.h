// Plays all worlds of a plan, a world a thread, and keeps what they came to in a folder:
//
//     plan.toml      the experiment's file, as it was
//     cells.jsonl    a line for each world that is done: variant, seed, digest, figures, broken rules,
//     expectations CELL.trace     where traces are kept
//
// A folder that has some of the worlds already is gone on with (resume); one of another file is refused.
//
// Threading: run() blocks; it starts and joins its own threads. `stop` may be set from a signal handler:
// worlds
//            under way are given up, those that are done stay.
// Errors:    std::runtime_error for a folder that can't be written or is another experiment's.
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

struct Cell {
    std::size_t number = 0;
    std::string variant;
    std::uint64_t seed = 0;
    Terms terms;
    Digest digest;
    std::uint64_t records = 0, happenings = 0;
    double real_seconds = 0;  // of this machine: not part of what replays
    Figures figures;
    Findings findings;
    std::vector<Met> met;

    bool all_met() const;
};

// One world, judged and counted; its trace goes to `trace_file` too, where there is one, and its records to
// `also`. Nothing: stopped.
std::optional<Cell> play_cell(const Experiment& experiment, const std::string& trace_file = "",
                              const std::atomic<bool>* stop = nullptr, Sink* also = nullptr);

// Records that something else than a world wrote, judged and counted in the same way.
Cell cell_of(const Experiment& experiment, const Terms& terms, const std::vector<Record>& records,
             const std::string& trace_file = "");

nlohmann::json to_json(const Cell& cell);

struct RunOptions {
    std::string folder;     // empty: nothing is kept
    std::string plan_text;  // kept as plan.toml
    unsigned threads = 1;
    bool resume = false;
    bool traces = false;
    const std::atomic<bool>* stop = nullptr;
    // After each world, from any of the threads, one at a time: done of all, and seconds left as far as
    // known.
    std::function<void(std::size_t done, std::size_t all, double seconds_left)> progress;
};

struct Run {
    std::vector<nlohmann::json> cells;  // in the order of their numbers; those that are done
    bool stopped = false;
};

Run run(const Plan& plan, const RunOptions& options);

}  // namespace flaxdoor::lab
