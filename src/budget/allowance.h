// The part of one budget that this process may use: its reserve, and its leased share while the lease is in
// force. Either a token bucket or a number of concurrency permits.
//
// A permit is reserved (reserve) when a call is admitted, committed (commit) when the first byte of its
// attempt is sent, and released (release) if no byte is sent. Reserved permits count against the bucket's
// depth: tokens and reserved permits together never exceed the size in force. Over the fleet, the permits
// committed in any window W are therefore at most rate * W + size. A new share starts empty. A share that
// ends or shrinks takes its tokens with it, and reserved permits beyond the remaining size can no longer be
// committed.
//
// Time:      passed in; the clock must advance while the process is suspended. A clock that goes back is
//            treated as stopped.
// Threading: single-threaded.   Errors: none.   Units: terms.h; tokens are in billionths of a permit, so all
//            arithmetic is exact.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "budget/terms.h"

namespace flaxdoor::budget {

class Allowance {
public:
    // `longest`: how long an attempt that has begun may hold its concurrency permit if its end is not known.
    // `drift`: the largest relative amount by which this clock may be fast. Tokens accrue more slowly and
    // uncertain permits are held longer by it, so that a fleet of fast clocks neither exceeds the rate nor
    // frees a concurrency permit early.
    Allowance(Counts counts, Amount reserve, Micros longest, Time now, double drift = 0);

    // Replaces the previous lease.
    void lease(Amount share, Time until, Time now);
    void end_lease(Time now) { lease({}, now, now); }
    // Takes effect at once. Without a reserve, only a lease gives permits. See Holder for when a reserve may
    // be used.
    void set_reserve(Amount reserve, Time now);

    // Reserves a permit. Returns false if none is available.
    [[nodiscard]] bool reserve(Time now);
    // Commits a reserved permit before the attempt's first byte. Returns false if the permit was revoked
    // because its share ended or shrank; nothing may be sent then.
    [[nodiscard]] bool commit(Time now);
    // Releases a reserved permit that was not committed.
    void release(Time now);
    // Returns a concurrency permit after its attempt has ended. If `known` is false, the upstream may still
    // be working on the attempt, and the permit is freed no earlier than `longest` after the attempt began.
    void end_attempt(bool known, Time began, Time now);

    Amount leased(Time now);    // in force
    Amount in_force(Time now);  // leased share and reserve
    Amount static_reserve() const { return reserve_; }
    Time leased_until() const { return lease_until_; }
    std::int64_t in_use(Time now);  // concurrency permits, including reserved ones
    // Returns the time until a permit is available if nothing changes; empty if there will be none.
    std::optional<Micros> time_to_next_permit(Time now);

    // Permits requested, permits refused, and the peak of permits in use, since the last take_demand().
    struct Demand {
        std::int64_t wanted = 0, refused = 0, most_in_use = 0;
    };
    [[nodiscard]] Demand take_demand();
    const Demand& demand() const { return demand_; }

private:
    void advance(Time now);
    void refill(Time until);
    void clamp_to_size();
    Amount amount_at(Time now) const { return now < lease_until_ ? reserve_ + lease_ : reserve_; }

    Counts counts_;
    Amount reserve_, lease_;
    Micros longest_;
    std::int64_t fill_factor_;  // of the nominal refill rate, in millionths; below one by the clock's drift
    Time lease_until_{};
    Time updated_at_{};  // state is up to date as of this time
    std::int64_t tokens_ = 0;
    std::int64_t reserved_ = 0;  // reserved and not yet committed
    // Reserved permits whose share ended or shrank. A later share does not restore them.
    std::int64_t revoked_ = 0;
    std::int64_t in_use_ = 0;      // committed concurrency permits
    std::deque<Time> held_until_;  // release times of permits whose attempts' ends are not known; ascending
    Demand demand_;
};

}  // namespace flaxdoor::budget
