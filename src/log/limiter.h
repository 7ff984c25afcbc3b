// How many lines of each event are let through: so many a second and a burst, and how many were left out is kept until
// it can be told. Each event has an allowance of its own, so a flood of one costs the others nothing.
//
// Threading: one thread.   Time: an argument, never going back; no I/O.   Memory: 24 bytes an event, none without a rate.
// The rule is the virtual scheduling of a leaky bucket: `due_` is when the line that was let through last is paid for.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "core/ports.h"

namespace flaxdoor::log {

class Limiter {
public:
    struct Rate {
        std::int64_t a_second = 0;  // 0: all are let through
        std::int64_t burst = 1;     // at once, after a pause
    };

    explicit Limiter(std::size_t events) : events_(events) {}

    // What was left out stays to be told.
    void set(Rate rate);
    // Whether a line of this event goes out now.
    [[nodiscard]] bool take(std::size_t event, Time now);
    // Hands out, and forgets, how many of each event were left out; those only whose next line would go out by now,
    // unless it is the end. False from `told`: nobody took it, so it is kept.
    void tell(Time now, bool end, const std::function<bool(std::size_t event, std::uint64_t count)>& told);
    // Whether anything is still to be told.
    [[nodiscard]] bool owes() const { return owing_ > 0; }

private:
    struct State {
        Time due{};
        std::uint64_t left_out = 0;
    };
    bool free(const State& state, Time now) const { return state.due - now <= slack_; }

    std::size_t events_;
    std::size_t owing_ = 0;  // events of which lines were left out
    Micros each_{};          // what one line costs; 0: no rate
    Micros slack_{};
    std::vector<State> states_;
};

}  // namespace flaxdoor::log
