// Simulates a script of loads through the admission queue in virtual time, ahead of a module with a given
// number of servers, and reports waits, refusals and retry times. Helps an operator to choose weights and
// limits.
//
// Script: one statement a line; `#` begins a comment; time spans as 10ms, 2s:
//     seed 7
//     servers 8                       concurrent calls; further calls wait in the module
//     slow 2 from 3s to 8s            factor on every service time
//     load tenant=NAME rate=300 [clients=10] [class=NAME] [service=10ms] [deadline=2s] [from=0s] [to=10s]
//
// Bounds: 64 loads, 600 s, 2 million requests.   Errors: each with its line and a remedy. No I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "door/door.h"

namespace flaxdoor::door {

// An error in a script: its line, what is wrong, and how to fix it.
struct ScriptFault {
    std::size_t line = 0;
    std::string what, mend;
};

struct Script {
    struct Load {
        std::string tenant, class_name = "request";
        double per_s = 0;
        std::size_t clients = 10;
        Micros service = std::chrono::milliseconds(10), deadline = std::chrono::seconds(2);
        Micros from{}, to = std::chrono::seconds(10);
    };
    std::uint64_t seed = 1;
    std::size_t servers = 8;
    double slowed = 1;
    Micros slow_from{}, slow_to{};
    std::vector<Load> loads;
};

[[nodiscard]] std::variant<Script, std::vector<ScriptFault>> read_script(std::string_view text);
// Simulates the script and returns the report as text. A tenant of the script that `terms` does not have
// counts among others, and an unknown class counts as the first class.
[[nodiscard]] std::string explain(const Terms& terms, const Script& script);

}  // namespace flaxdoor::door
