// What one process may use of one budget: its reserve, and its share by a lease while that is in force. A token bucket, or
// places.
//
// A permit is set aside when a call is admitted, used when the first byte of its attempt goes out, and given back if
// none does. What is set aside counts as carried: tokens and what is set aside never exceed the size in force, so
// that over the fleet what goes out in any window W is at most rate * W + size. A new share begins empty; one that
// ends, or shrinks, takes its tokens with it, and what was set aside beyond the rest can't be used any more.
//
// Time:      handed in; it must count while the process is paused. Going back counts as standing still.
// Threading: one thread.   Errors: none.   Units: terms.h; tokens in billionths of a permit, so all is exact.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "budget/terms.h"

namespace flaxdoor::budget {

class Allowance {
public:
    // `longest`: for how long an attempt that has begun may hold its place when its end is not known. `drift`: this clock
    // may be so much too fast; over a fleet of fast clocks neither a rate nor a place's end may come early.
    Allowance(Counts counts, Amount reserve, Micros longest, Time now, double drift = 0);

    // A lease takes the place of what was leased before.
    void lease(Amount share, Time until, Time now);
    void end_lease(Time now) { lease({}, now, now); }
    // Without it nothing but a lease counts. In force at once; see Holder for when it may be.
    void set_reserve(Amount reserve, Time now);

    [[nodiscard]] bool set_aside(Time now);
    // Ahead of the first byte. False: the permit is gone with what it came from, and nothing may go out.
    [[nodiscard]] bool use(Time now);
    void give_back(Time now);  // set aside, not used
    // A place is free again once its attempt has ended; with `known` false no earlier than `longest` after it
    // began.
    void free_place(bool known, Time began, Time now);

    Amount leased(Time now);    // in force
    Amount in_force(Time now);  // with the reserve
    Amount reserve() const { return reserve_; }
    Time leased_until() const { return until_; }
    std::int64_t in_use(Time now);  // places, those set aside included
    // Until a permit is there if nothing changes; empty: there will be none.
    std::optional<Micros> next(Time now);

    // Permits asked for, and those of them that there were not, since the last take_asked(); most places in use meanwhile.
    struct Asked {
        std::int64_t wanted = 0, refused = 0, most_in_use = 0;
    };
    [[nodiscard]] Asked take_asked();
    const Asked& asked() const { return asked_; }

private:
    void settle(Time now);
    void fill(Time until);
    void clip();
    Amount size_at(Time now) const { return now < until_ ? reserve_ + lease_ : reserve_; }

    Counts counts_;
    Amount reserve_, lease_;
    Micros longest_;
    std::int64_t pace_;  // of filling, in millionths
    Time until_{};       // of the lease
    Time at_{};          // settled up to here
    std::int64_t tokens_ = 0;
    std::int64_t aside_ = 0;  // set aside, not used
    std::int64_t gone_ =
        0;  // set aside, and gone with the share that they came from: no later one brings them back
    std::int64_t places_ = 0;  // in use, those set aside not included
    std::deque<Time> later_;   // places whose attempts' ends are not known: free then
    Asked asked_;
};

}  // namespace flaxdoor::budget
