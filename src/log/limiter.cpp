#include "log/limiter.h"

#include <algorithm>

namespace flaxdoor::log {

void RateLimiter::set_rate(Rate rate) {
    interval_ = rate.per_second > 0 ? Micros(1'000'000 / rate.per_second) : Micros(0);
    burst_tolerance_ = interval_ * (rate.burst - 1);
    if (rate.per_second > 0) states_.resize(event_count_);
    // The due times were computed with the previous interval, so every event starts with a full burst.
    for (State& state : states_) state.due = {};
}

bool RateLimiter::allow(std::size_t event, Time now) {
    if (interval_ == Micros(0)) return true;
    State& state = states_[event];
    if (!conforms(state, now)) {
        if (state.suppressed++ == 0) ++suppressed_events_;
        return false;
    }
    state.due = std::max(state.due, now) + interval_;
    return true;
}

void RateLimiter::report_suppressed(Time now, bool end,
                                    const std::function<bool(std::size_t, std::uint64_t)>& report) {
    for (std::size_t i = 0; suppressed_events_ > 0 && i < states_.size(); ++i) {
        State& state = states_[i];
        if (state.suppressed == 0 || (!end && !conforms(state, now))) continue;
        if (!report(i, state.suppressed)) continue;
        state.suppressed = 0;
        --suppressed_events_;
    }
}

}  // namespace flaxdoor::log
