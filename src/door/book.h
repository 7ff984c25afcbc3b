// When those that are refused are told to come back: calls promised, booked in slots against the capacity that
// is believed.
//
// Capacity:  completions a second of this balancer, which are its share of the whole; smoothed over 2 s and
//            over 20 s, the trend of the two carried on for up to 5 s, bounded to 0.25 to 1.25 of the slower.
// A slot:    is promised no more than capacity times its length, less what waits (first slots first) and what
//            comes without having been told (smoothed over 2 s; a tenth is left for promises at least).
// Excess:    with no room up to the longest that clients heed, the slot with the fewest promises of the last
//            half takes it, and it is counted.
// Threading: one thread at a time.   Bytes: fixed.   Work: up to 64 slots a promise.
// Time:      slots are numbered from the clock's origin, so that a token's slot means the same after a drain
//            within one run of the machine.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "flaxdoor/decide.h"

namespace flaxdoor::door {

class Book {
public:
    static constexpr std::size_t slots = 64;

    struct Options {
        Micros longest = std::chrono::seconds(10);  // that clients heed
        Micros slot = std::chrono::milliseconds(250);
        bool whole_seconds = false;
        bool operator==(const Options&) const = default;
    };
    explicit Book(const Options& options);

    struct Told {
        Micros after{};
        std::uint32_t slot = 0;
        bool excess = false;
    };
    void completed(Time now);
    void came_untold(Time now);
    // `soonest`: before that there is no use; `waiting`: calls at the door; `drawn`: in [0, 1).
    [[nodiscard]] Told promise(Time now, Micros soonest, std::size_t waiting, double drawn);
    // Whether one that was told this slot comes in its time: within it, or in the slot that follows.
    [[nodiscard]] bool in_time(Time now, std::uint32_t slot) const;

    // Calls a second so far ahead.
    double capacity(Time now, Micros ahead) const;
    std::uint64_t promised() const { return promised_; }
    std::uint64_t excess() const { return excess_; }
    Micros slot() const { return options_.slot; }

private:
    struct Rate {
        explicit Rate(Micros over) : over_(static_cast<double>(over.count())) {}
        void add(Time now);
        double a_second(Time now) const;

    private:
        double fading(Time now) const;
        double over_, held_ = 0;
        Time at_{}, first_{-1};
    };
    struct Slot {
        std::uint64_t number = 0;
        std::uint32_t booked = 0;
    };
    Slot& slot_at(std::uint64_t number);
    std::uint64_t number_of(Time time) const {
        return static_cast<std::uint64_t>(time.count() / options_.slot.count());
    }

    Options options_;
    std::array<Slot, slots> booked_{};
    Rate fast_{std::chrono::seconds(2)}, slow_{std::chrono::seconds(20)}, untold_{std::chrono::seconds(2)};
    std::uint64_t promised_ = 0, excess_ = 0;
};

}  // namespace flaxdoor::door
