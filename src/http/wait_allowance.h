// Limits how long the requests to one upstream may wait for its connections to pass the reuse delay
// (ConnectionPoolOptions::reuse_delay). An upstream that is used more often than that gets more connections. No I/O; time
// is an argument.
//
// Threading: one thread at a time.
// Formula:   a token bucket of waiting time that holds `burst` and gains a tenth of the time that passes.
#pragma once

#include <algorithm>

#include "flaxdoor/decide.h"

namespace flaxdoor::http {

class WaitAllowance {
public:
    // Returns whether a request may wait for the time `wait` from now; if so, that time is used up.
    [[nodiscard]] bool take(Time now, Micros wait, Micros burst) {
        used_ = std::max(Micros{0}, used_ - (now - updated_) / time_per_gain);
        updated_ = now;
        if (used_ + wait > burst) return false;
        used_ += wait;
        return true;
    }

private:
    static constexpr int time_per_gain = 10;  // time that must pass for each unit of allowance gained

    Micros used_{};
    Time updated_{};
};

}  // namespace flaxdoor::http
