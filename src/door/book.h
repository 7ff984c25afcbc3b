// Assigns retry times to refused requests: books retries in time slots against the estimated capacity.
//
// Capacity:  completions a second of this balancer, which are its share of the fleet's. They are smoothed
//            over 2 s and over 20 s; the trend between the two is extrapolated for up to 5 s and bounded to
//            0.25 to 1.25 of the slower one.
// Slots:     a slot gets at most capacity times its length, minus the queued requests (earliest slots first)
//            and minus the arrivals without an assigned time (smoothed over 2 s; at least a tenth is left for
//            assigned retries).
// Excess:    if no slot up to the longest delay that clients observe has capacity left, the slot with the
//            fewest retries in the last half takes the retry, which is counted as excess.
// Threading: one thread at a time.   Memory: fixed.   Cost: up to 64 slots an assignment.
// Time:      slots are numbered from the clock's origin, so that a token's slot keeps its meaning after a
//            drain while the machine is not rebooted.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "flaxdoor/decide.h"

namespace flaxdoor::door {

class RetrySchedule {
public:
    static constexpr std::size_t slots = 64;

    struct Options {
        Micros longest = std::chrono::seconds(10);  // longest delay that clients observe
        Micros slot = std::chrono::milliseconds(250);
        bool whole_seconds = false;
        bool operator==(const Options&) const = default;
    };
    explicit RetrySchedule(const Options& options);

    struct Assignment {
        Micros after{};
        std::uint32_t slot = 0;
        bool excess = false;
    };
    void completed(Time now);
    void unscheduled_arrival(Time now);
    // `soonest`: an earlier retry would be useless; `waiting`: number of queued requests; `drawn`: random, in
    // [0, 1).
    [[nodiscard]] Assignment assign(Time now, Micros soonest, std::size_t waiting, double random);
    // Returns true if a retry assigned to this slot arrives in time: within the slot or the following one.
    [[nodiscard]] bool in_time(Time now, std::uint32_t slot) const;

    // Estimates the calls a second at `ahead` from now.
    double capacity(Time now, Micros ahead) const;
    std::uint64_t assigned() const { return assigned_; }
    std::uint64_t excess() const { return excess_; }
    Micros slot() const { return options_.slot; }

private:
    // Exponentially weighted moving average of events a second.
    struct Rate {
        explicit Rate(Micros over) : time_constant_(static_cast<double>(over.count())) {}
        void add(Time now);
        double per_second(Time now) const;

    private:
        double decay(Time now) const;
        double time_constant_, decayed_count_ = 0;
        Time updated_at_{}, started_at_{-1};
    };
    struct Slot {
        std::uint64_t number = 0;
        std::uint32_t booked = 0;
    };
    Slot& slot_with(std::uint64_t number);
    std::uint64_t slot_number(Time time) const {
        return static_cast<std::uint64_t>(time.count() / options_.slot.count());
    }

    Options options_;
    std::array<Slot, slots> slots_{};
    Rate fast_rate_{std::chrono::seconds(2)}, slow_rate_{std::chrono::seconds(20)},
        unscheduled_rate_{std::chrono::seconds(2)};
    std::uint64_t assigned_ = 0, excess_ = 0;
};

}  // namespace flaxdoor::door
