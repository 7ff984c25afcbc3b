// What the emulator foretold beside what the sockets showed, and where they part beyond the file's factors.
// Pure functions.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "experiment/experiment.h"
#include "real/play.h"

namespace flaxdoor::lab::real {

struct Side {
    double served = 0, refused = 0;  // shares of calls
    double p50_ms = 0, p99_ms = 0;   // of served ones
    double tries = 0, attempts = 0;  // a call; of all classes alone
};
struct Line {
    std::string of;  // "all", or a class
    std::uint64_t calls = 0;
    Side foretold, shown;
    std::vector<std::string> parts;  // where they do: "served", "p50", "p99"
};

std::vector<Line> compare(const Experiment& experiment, const Cell& foretold, const Cell& shown);

// Both sides as one object, with both cells whole.
nlohmann::json to_json(const Experiment& experiment, const Played& played);
// The same for a terminal, from what to_json gave.
std::string table_of(const nlohmann::json& played);
// No rule was broken on either side, nothing else was wrong, what is expected was met for real, and nothing parts.
bool holds(const nlohmann::json& played);

}  // namespace flaxdoor::lab::real
