#include "log/limiter.h"

#include <algorithm>

namespace flaxdoor::log {

void Limiter::set(Rate rate) {
    each_ = rate.a_second > 0 ? Micros(1'000'000 / rate.a_second) : Micros(0);
    slack_ = each_ * (rate.burst - 1);
    if (rate.a_second > 0) states_.resize(events_);
    // Paid for at another price: the allowance is as new.
    for (State& state : states_) state.due = {};
}

bool Limiter::take(std::size_t event, Time now) {
    if (each_ == Micros(0)) return true;
    State& state = states_[event];
    if (!free(state, now)) {
        if (state.left_out++ == 0) ++owing_;
        return false;
    }
    state.due = std::max(state.due, now) + each_;
    return true;
}

void Limiter::tell(Time now, bool end, const std::function<bool(std::size_t, std::uint64_t)>& told) {
    for (std::size_t i = 0; owing_ > 0 && i < states_.size(); ++i) {
        State& state = states_[i];
        if (state.left_out == 0 || (!end && !free(state, now))) continue;
        if (!told(i, state.left_out)) continue;
        state.left_out = 0;
        --owing_;
    }
}

}  // namespace flaxdoor::log
