// Plays a script of loads through the door in virtual time, before a module with so many servers, and tells
// who waits, who is refused and what they are told. For an operator who chooses weights and limits.
//
// Script, one thing a line; `#` begins a comment; spans as 10ms, 2s:
//     seed 7
//     servers 8                       calls that are under way at once; more wait in the module
//     slow 2 from 3s to 8s            every service takes so many times as long
//     load tenant=NAME rate=300 [clients=10] [class=NAME] [service=10ms] [deadline=2s] [from=0s] [to=10s]
//
// Bounds: 64 loads, 600 s, 2 million requests.   Errors: each with its line and what mends it; no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "door/door.h"

namespace flaxdoor::door {

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
// `terms` has a tenant and a class for each that the script names; one that it has not is among the others,
// or of the first class.
[[nodiscard]] std::string explain(const Terms& terms, const Script& script);

}  // namespace flaxdoor::door
