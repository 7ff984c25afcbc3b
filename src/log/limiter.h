// Limits how many lines of each event are logged: a rate and a burst. Counts the suppressed lines until they are reported.
// Each event has its own allowance, so a flood of one event does not suppress the others.
//
// Threading: one thread.   Time: passed in, never decreasing; no I/O.
// Memory:    24 bytes per event, none while no rate is set.
// Algorithm: virtual scheduling of a leaky bucket (GCRA); State::due is the theoretical arrival time of the next line.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "core/ports.h"

namespace flaxdoor::log {

class RateLimiter {
public:
    struct Rate {
        std::int64_t per_second = 0;  // 0: unlimited
        std::int64_t burst = 1;       // lines that may follow each other at once after a pause
    };

    explicit RateLimiter(std::size_t event_count) : event_count_(event_count) {}

    // Changes the rate. The counts of suppressed lines are kept.
    void set_rate(Rate rate);
    // Returns whether a line of this event may be logged now, and counts it as suppressed if not.
    [[nodiscard]] bool allow(std::size_t event, Time now);
    // Reports and resets the count of suppressed lines of each event whose next line would be allowed by now; at the end
    // (`end`), of all events. A count for which `report` returns false is kept.
    void report_suppressed(Time now, bool end,
                           const std::function<bool(std::size_t event, std::uint64_t count)>& report);
    // Returns whether any suppressed lines have not been reported yet.
    [[nodiscard]] bool has_suppressed() const { return suppressed_events_ > 0; }

private:
    struct State {
        Time due{};
        std::uint64_t suppressed = 0;
    };
    bool conforms(const State& state, Time now) const { return state.due - now <= burst_tolerance_; }

    std::size_t event_count_;
    std::size_t suppressed_events_ = 0;  // events with suppressed lines
    Micros interval_{};                  // between two lines at the rate; 0: unlimited
    Micros burst_tolerance_{};
    std::vector<State> states_;
};

}  // namespace flaxdoor::log
