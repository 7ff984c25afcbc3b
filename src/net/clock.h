// The balancer's one clock: Unix time when the program started, carried on by the steady clock, so that it
// never goes back and discovery's Unix times lie on it as they are.
#pragma once

#include <chrono>

#include "flaxdoor/decide.h"

namespace flaxdoor::net {

class Clock {
public:
    using Steady = std::chrono::steady_clock;

    Time now() const { return unix_ + std::chrono::duration_cast<Micros>(Steady::now() - steady_); }
    Steady::time_point steady(Time at) const { return steady_ + (at - unix_); }

private:
    Time unix_ = std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
    Steady::time_point steady_ = Steady::now();
};

}  // namespace flaxdoor::net
