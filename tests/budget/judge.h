// Judges a run of a fleet under one budget by external observations: the grants that the coordinator logged,
// the lease requests of the holders as a relay saw them, and each attempt that arrived at a server. Shares no
// code with src/.
//
// Checks two properties. First, the shares in force never sum to more than the whole. A grant counts from
// when it was logged until it ends, or until its holder reports that it has accepted a later grant or that it
// leaves. If no request of the holder was observed, the grant counts until the holder's second next grant,
// which answers a request that can have reported it. Grants of concurrency permits count for the longest
// attempt duration beyond their end, since attempts that began under them may still be running. All reserves
// always count. Second, the work at the servers stays within the whole: at most rate * W + size permits in
// every window of length W, and for a concurrency budget never more attempts at once than permits.
//
// An attempt took its permit after its client sent the call and before its server saw the first byte, at most
// Terms::max_permit_to_first_byte before the latter. The caller chooses this allowance for the delay between
// a balancer and a server.
//
// Units: microseconds of one machine's CLOCK_BOOTTIME; rates in thousandths of a permit a second.
// Threading: pure functions.   Errors: read_grants() throws std::runtime_error naming the line.
// Cost: quadratic in the attempts of a budget; some thousands take well under a second.
#pragma once

#include <compare>
#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace flaxdoor::judge {

using Microseconds = std::int64_t;

struct Amount {
    std::int64_t rate = 0, size = 0;
};
struct Fence {
    std::uint64_t epoch = 0, seq = 0;
    friend auto operator<=>(const Fence&, const Fence&) = default;
};
struct Grant {
    Microseconds at = 0, until = 0;
    std::string holder, instance;
    Fence fence;
    std::string budget;
    Amount share;
};
// What a holder's lease request reported.
struct HolderReport {
    Microseconds at = 0;
    std::string holder, instance;
    Fence taken;
    bool leaving = false;
};
struct Attempt {
    Microseconds sent = 0;   // earliest time at which the client sent the call
    Microseconds begun = 0;  // the first byte arrived at the server
    Microseconds ended = 0;  // the server finished its work
    std::string call;        // id of the call, shared by its attempts
    std::string balancer, tenant, of_class;
};

struct Log {
    std::vector<Grant> grants;
    std::vector<HolderReport> holder_reports;
    std::vector<Attempt> attempts;
};

enum class Counts { requests, attempts, retries, concurrency };

struct Whole {
    Microseconds from = 0;
    Amount amount;
};
struct Budget {
    std::string name;
    Counts counts = Counts::requests;
    std::string tenant, of_class;  // empty matches any
    std::vector<Whole> wholes;     // in order of time; a reduced whole stays in force for a term
    Amount reserve;                // of each balancer
    int balancers = 1;             // number of balancers that have a reserve
};
struct Terms {
    Microseconds term = 0;
    double drift = 0;
    Microseconds longest = 0;
    Microseconds max_permit_to_first_byte = 0;
};

struct Finding {
    Microseconds at = 0;
    std::string text;
};

// Returns the first violation of each kind.
[[nodiscard]] std::vector<Finding> findings(const Terms& terms, const Budget& budget, const Log& log);
// Return the first violation by the grants, and by the work.
[[nodiscard]] std::vector<Finding> grant_findings(const Terms& terms, const Budget& budget, const Log& log);
[[nodiscard]] std::vector<Finding> work_findings(const Terms& terms, const Budget& budget, const Log& log);

// Returns the number of permits used in [from, to).
[[nodiscard]] std::int64_t count_permits(const Budget& budget, const Log& log, Microseconds from,
                                         Microseconds to);
// Returns the time from `from` to the end of the first window after it in which at least `share` of the rate
// was used.
[[nodiscard]] std::optional<Microseconds> time_until_used(const Budget& budget, const Log& log,
                                                          Microseconds from, Microseconds window,
                                                          double share = 0.95);

// Reads one JSON object a line. Ignores an incomplete last line, since its writer may have been killed.
[[nodiscard]] std::vector<Grant> read_grants(std::istream& in);

}  // namespace flaxdoor::judge
