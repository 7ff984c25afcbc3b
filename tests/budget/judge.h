// Judges a fleet under one budget by what was seen from outside: the grants that the coordinator wrote down, what holders
// told it on the way (as a relay saw it), and each attempt that came to a server. It shares no code with src/.
//
// Two questions. Do the shares in force ever sum to more than the whole? A grant counts from when it was written until
// its end, and no longer than until its holder tells that it has taken a later one, or that it leaves; where nothing of
// the holder was seen, until its second next grant, which answers a request that can have told. Places count for the
// longest deadline beyond the end, since attempts that began under them may run. All reserves always count.
// And does the work that servers saw stay within the whole? In every window of length W at most rate * W + size
// permits; of places, never more attempts at once than there are.
//
// An attempt took its permit between when its client sent it and when its server saw it, and no longer than
// Terms::way before that: this is the slack for the way between a balancer and a server, told by whoever judges.
//
// Units: microseconds of one machine's CLOCK_BOOTTIME; rates in thousandths of a permit a second.
// Threading: plain functions.   Errors: read_grants() throws std::runtime_error naming the line.
// Cost: quadratic in attempts of a budget; some thousands are judged in well under a second.
#pragma once

#include <compare>
#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace flaxdoor::judge {

using Us = std::int64_t;

struct Amount {
    std::int64_t rate = 0, size = 0;
};
struct Fence {
    std::uint64_t epoch = 0, seq = 0;
    friend auto operator<=>(const Fence&, const Fence&) = default;
};
struct Grant {
    Us at = 0, until = 0;
    std::string holder, instance;
    Fence fence;
    std::string budget;
    Amount share;
};
struct Told {  // by a holder's request
    Us at = 0;
    std::string holder, instance;
    Fence taken;
    bool leaving = false;
};
struct Attempt {
    Us sent = 0;       // by its client, at the earliest
    Us begun = 0;      // its first byte at the server
    Us ended = 0;      // its work at the server
    std::string call;  // the same for all attempts of a call
    std::string balancer, tenant, of_class;
};

struct Log {
    std::vector<Grant> grants;
    std::vector<Told> told;
    std::vector<Attempt> attempts;
};

enum class Counts { requests, attempts, retries, concurrency };

struct Whole {
    Us from = 0;
    Amount amount;
};
struct Budget {
    std::string name;
    Counts counts = Counts::requests;
    std::string tenant, of_class;  // empty: any
    std::vector<Whole> wholes;     // in order; one that is cut stays in force for a term
    Amount reserve;                // of each balancer
    int balancers = 1;             // that have a reserve
};
struct Terms {
    Us term = 0;
    double drift = 0;
    Us longest = 0;
    Us way = 0;
};

struct Finding {
    Us at = 0;
    std::string text;
};

// The first of each kind, or none.
[[nodiscard]] std::vector<Finding> findings(const Terms& terms, const Budget& budget, const Log& log);
// The same for the grants alone, and for the work alone.
[[nodiscard]] std::vector<Finding> grant_findings(const Terms& terms, const Budget& budget, const Log& log);
[[nodiscard]] std::vector<Finding> work_findings(const Terms& terms, const Budget& budget, const Log& log);

// Permits used from `from` on, before `to`.
[[nodiscard]] std::int64_t used(const Budget& budget, const Log& log, Us from, Us to);
// From `from` until the end of the first window behind it in which `share` of the rate was used.
[[nodiscard]] std::optional<Us> until_use(const Budget& budget, const Log& log, Us from, Us window,
                                          double share = 0.95);

// A JSON object a line. A last line that is not whole is left out: its writer may have been killed.
[[nodiscard]] std::vector<Grant> read_grants(std::istream& in);

}  // namespace flaxdoor::judge
