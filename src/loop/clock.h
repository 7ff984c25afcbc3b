// The one clock of a process: Unix time at its construction, advanced by the steady clock. It never goes
// back, and Unix times from outside can be compared with it. May be read from any thread.
#pragma once

#include <chrono>

#include "core/ports.h"

namespace flaxdoor::loop {

class Clock final : public core::Clock {
public:
    using Steady = std::chrono::steady_clock;

    Time now() const override { return unix_ + std::chrono::duration_cast<Micros>(Steady::now() - steady_); }
    Steady::time_point steady(Time at) const { return steady_ + (at - unix_); }

private:
    Time unix_ = std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
    Steady::time_point steady_ = Steady::now();
};

}  // namespace flaxdoor::loop
