// Messages between a lease holder and the authority, as plain values. src/coordinator defines their encoding.
//
// A holder numbers its requests. The authority ignores a request that is not newer than the last one it
// received, so late and duplicated requests change nothing. The grants of a reply share one fencing token,
// (epoch, seq), which only rises: a holder rejects a reply whose token is not higher than the one it accepted
// last.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "budget/terms.h"

namespace flaxdoor::budget {

// Fencing token of a reply. Orders grants over all authorities.
struct FencingToken {
    std::uint64_t epoch = 0;  // of the authority's start
    std::uint64_t seq = 0;    // within the epoch
    friend auto operator<=>(const FencingToken&, const FencingToken&) = default;
};

// A holder's demand and state for one budget.
struct BudgetDemand {
    std::string budget;
    Counts counts = Counts::requests;
    Amount wanted;            // what the holder could use now, including its reserve
    Amount leased;            // in force by a lease
    Amount reserve;           // in force, or would be without a lease
    std::int64_t in_use = 0;  // concurrency permits, including those of attempts whose end is not known yet
};

struct LeaseRequest {
    std::string holder;    // name of the balancer
    std::string instance;  // identifies this start of the balancer; drawn at random
    std::uint64_t number = 0;
    FencingToken accepted;    // highest fencing token accepted by the holder, in force or not
    std::uint64_t epoch = 0;  // highest epoch that the holder has received
    Time clock{};             // the holder's clock
    bool leaving = false;     // the holder has released all leases and will not use its reserve
    std::vector<BudgetDemand> needs;
};

enum class Verdict : std::uint8_t {
    granted,
    waiting,       // leases of an earlier authority that this one does not know may be in force
    name_taken,    // another process uses this name
    stepped_down,  // another authority has a higher epoch
    too_many,      // BudgetConfig::max_holders is reached
    clock_off,     // the rate of the holder's clock is outside the configured drift
    at_odds,       // a budget differs from the authority's configuration
};
[[nodiscard]] std::string_view text_of(Verdict verdict);

struct Grant {
    std::string budget;
    Amount share;
};

struct LeaseReply {
    Verdict verdict = Verdict::granted;
    std::string why;           // reason for a verdict other than granted
    std::uint64_t number = 0;  // of the request
    std::uint64_t epoch = 0;
    std::uint64_t seq = 0;
    Micros term{};
    // Delay until the next request if more was wanted than could be granted yet; zero means the default.
    Micros retry_after{};
    // Least interval between two requests, except for scheduled ones. Bounds the rate of unscheduled requests
    // of the whole fleet.
    Micros min_request_interval{};
    std::vector<Grant> grants;
};

}  // namespace flaxdoor::budget
