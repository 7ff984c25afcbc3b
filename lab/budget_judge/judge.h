// Whether a budget was kept, from the records alone:
//   shares  at every moment the leases and reserves of all living processes sum to at most the whole, rate and size each
//   work    what went out in any window W is at most rate * W + size. Of all pairs of events, by a virtual bucket that
//           drains at the rate and never goes below empty: its level is the largest excess of the windows that end now
//   places  the attempts that truly run at once are at most the whole, also those whose process is dead
// When a whole is cut, the old one counts for a term more (for places, and the longest attempt).
//
// Threading: one thread.   Cost: a record costs little but for `lease` and `reserve`, which look at all processes.
// Copies are independent and go on from the same place.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "budget_judge/record.h"

namespace flaxdoor::lab::budgets {

enum class Rule : std::uint8_t { shares, work, places, trace };

struct Broken {
    std::int64_t at = 0;
    Rule rule = Rule::trace;
    std::string text;
    std::vector<std::string> story;  // the last records before it, oldest first
};

class Judge {
public:
    explicit Judge(Ground ground);
    void put(const Record& record);
    void end(std::int64_t at);  // nothing more happens until then

    // The first of each rule and budget.
    const std::vector<Broken>& broken() const { return broken_; }
    // For how long the sum of shares was over the whole, and by how much at most (in thousandths of the whole).
    std::int64_t over_us() const { return over_us_; }
    std::int64_t over_most() const { return over_most_; }

private:
    struct Whole {
        std::int64_t from = 0;
        Quantity quantity;
    };
    // Windows that begin after `from`.
    struct Windows {
        std::int64_t from = 0;
        std::int64_t level = 0;      // billionths of a permit
        std::int64_t size_most = 0;  // allowed in its time
    };
    struct State {
        std::vector<Whole> wholes;
        std::vector<Windows> windows;
        std::int64_t drained = 0;
        std::int64_t running = 0;
        std::int64_t over_since = -1;
    };
    struct Holding {
        Quantity leased, reserve;
        std::int64_t until = 0;
    };

    void advance(std::int64_t at);
    void check_shares(std::uint32_t budget, std::int64_t at);
    void drain(State& state, std::int64_t to);
    Quantity allowed(const State& state, std::int64_t at, std::int64_t longer) const;
    void add(std::int64_t at, Rule rule, std::uint32_t budget, std::string text);

    Ground ground_;
    std::vector<State> states_;
    std::vector<std::map<std::uint32_t, Holding>> held_;  // by budget, then by process
    std::set<std::pair<std::int64_t, std::pair<std::uint32_t, std::uint32_t>>> ends_;  // of leases
    std::int64_t now_ = 0;
    std::vector<Broken> broken_;
    std::set<std::pair<Rule, std::uint32_t>> known_;
    std::deque<Record> lately_;
    std::int64_t over_us_ = 0, over_most_ = 0;
};

std::string text_of(const Record& record, const Ground& ground);
std::string text_of(Rule rule);

}  // namespace flaxdoor::lab::budgets
