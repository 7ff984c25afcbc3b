// What a holder and the authority say to each other, as plain values; src/coordinator has their form on the wire.
//
// A holder's request is numbered; the authority heeds none that is older than the last one it has heard, so what is
// late or doubled changes nothing. A reply's grants go together under one fencing number, (epoch, seq), which only
// rises: a holder takes none that is not higher than what it has taken.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "budget/terms.h"

namespace flaxdoor::budget {

struct Fence {
    std::uint64_t epoch = 0;  // of the authority's start
    std::uint64_t seq = 0;    // within it
    friend auto operator<=>(const Fence&, const Fence&) = default;
};

// What a request tells of one budget.
struct Need {
    std::string budget;
    Counts counts = Counts::requests;
    Amount wants;             // could be used now, its reserve included
    Amount leased;            // in force by a lease
    Amount reserve;           // in force, or would be with no lease
    std::int64_t in_use = 0;  // places taken, also by attempts whose end is not known yet
};

struct LeaseRequest {
    std::string holder;    // a balancer's name
    std::string instance;  // of this start of it, drawn at random
    std::uint64_t number = 0;
    Fence taken;              // the highest that it has taken, in force or not
    std::uint64_t epoch = 0;  // the highest that it has heard of
    Time clock{};             // its own
    bool leaving = false;     // it has let go of all leases and will use no reserve
    std::vector<Need> needs;
};

enum class Verdict : std::uint8_t {
    granted,
    waiting,       // leases of an earlier authority may be in force, unknown to this one
    name_taken,    // another process has this name
    stepped_down,  // another authority with a higher epoch has been heard of
    too_many,      // Terms::holders_most
    clock_off,     // the holder's clock runs at another rate than the terms allow
    at_odds,       // a budget is not what the authority's file says it is
};
[[nodiscard]] std::string_view text_of(Verdict verdict);

struct Grant {
    std::string budget;
    Amount share;
};

struct LeaseReply {
    Verdict verdict = Verdict::granted;
    std::string why;           // not granted
    std::uint64_t number = 0;  // of the request
    std::uint64_t epoch = 0;
    std::uint64_t seq = 0;
    Micros term{};
    Micros again{};  // ask again so soon: more is wanted than could be granted yet; zero: as usual
    Micros
        gap{};  // between two requests, unless one is due: so that the fleet's requests out of turn stay few
    std::vector<Grant> grants;
};

}  // namespace flaxdoor::budget
