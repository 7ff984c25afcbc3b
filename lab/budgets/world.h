// One world of budgets under virtual time: authorities and holders are the real ones (src/budget), each with its own clock;
// the network, the authority's journal with its witness, processes that die, pause and come back, and demand are models.
// What happens goes to a sink as the judge's records.
//
// Modelled: a write that fails or that the authority dies ahead of or after; a store that comes back as it was, empty
//           or older, with its witness or without; messages late, lost, doubled, in another order, cut one way;
//           a process that sleeps wakes with all that it missed, in any order; attempts that run on at their server
//           when their balancer is dead or has given them up.
// Left out: processors, sockets, the wire's bytes; a balancer that takes a reply of another one.
// Repeatable: the same setup gives the same records. Threading: one thread a world.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "budget/terms.h"
#include "budget_judge/record.h"

namespace flaxdoor::lab::budgets {

// Reads offset + t * (1 + ppb / 1e9) at true time t, both in microseconds.
struct Clock {
    std::int64_t offset_us = 0, ppb = 0;
    std::int64_t at(std::int64_t true_us) const;
    std::int64_t when(std::int64_t reading) const;  // the first true time that reads so
};

struct Trouble {
    enum class Kind : std::uint8_t {
        cut_to,          // requests of `who` do not reach the authority, for `lasts`
        cut_from,        // its replies do not
        kill,            // process of name `who` dies; back after `lasts` as a new instance (zero: never)
        pause,           // it stands still for `lasts`
        leave,           // it leaves, and is back after `lasts` (zero: never)
        second,          // another process of the same name, for `lasts`
        lie,             // it tells that it wants the whole, for `lasts`
        writes_fail,     // at the authority, for `lasts`
        authority_dies,  // back after `lasts`, as `store` says
        dies_ahead,      // the same, ahead of its next write
        dies_after,      // the same, right after its next write
        another,         // a second authority with an empty store takes the address; the first goes on
        split,           // the same, and every other name still asks the first for `lasts`
        whole_cut,       // every whole is a tenth from now on
        demand_to_one,   // only `who` has demand, of the whole fleet
        demand_skewed,   // the n-th name has 1 / n of what the first has
        demand_even,     // everyone has the same
        demand_none,     // nobody has any
    };
    enum class Store : std::uint8_t { own, own_without_witness, empty, older, rebooted };
    std::int64_t at = 0;
    Kind kind = Kind::pause;
    std::uint32_t who = 0;
    std::int64_t lasts = 0;
    Store store = Store::own;
};
const char* text_of(Trouble::Kind kind);

struct Setup {
    std::uint64_t seed = 1;
    budget::BudgetConfig terms;
    std::uint32_t names = 3;
    std::int64_t lasts = 0;                  // microseconds
    double places_demand = 1;                // times `demand`, of budgets that count places
    double demand = 1.5;                     // of the whole
    bool bursts = true;                      // demand by chance; else evenly spaced
    double lost = 0, doubled = 0, late = 0;  // shares of messages; late ones come up to three terms later
    std::int64_t delay_most = 2000;
    double aside = 0;           // share of permits that wait for up to two terms between set aside and used
    double unheard = 0.3;       // share of attempts whose end their balancer does not know
    std::vector<Clock> clocks;  // by name; empty: right ones
    std::vector<Clock> authority_clocks;    // by authority
    std::vector<Trouble> troubles;          // by time
    std::vector<std::uint32_t> late_names;  // these start only by a trouble (leave, kill) of theirs
    bool beyond_reserve = false;            // a name is used twice: one reserve more is allowed for
};

struct Counts {
    std::uint64_t requests = 0, replies = 0, granted = 0, begun = 0, lapsed = 0, writes = 0, clock_off = 0;
    std::uint64_t stepped_down = 0, name_taken = 0, waiting = 0, starts = 0, starts_current = 0;
};

using Sink = std::function<void(const Record&)>;

Ground ground_of(const Setup& setup);
Counts play(const Setup& setup, const Sink& sink);

}  // namespace flaxdoor::lab::budgets
