// CLOCK_BOOTTIME: time since the machine's boot. It advances while the process is stopped and while the
// machine sleeps, and it can't be set. May be read from any thread. Only its differences are meaningful on
// another machine.
#pragma once

#include <time.h>

#include <chrono>

#include "core/ports.h"

namespace flaxdoor::loop {

class BootClock final : public core::Clock {
public:
    Time now() const override {
        timespec at{};
        clock_gettime(CLOCK_BOOTTIME, &at);  // does not fail: every Linux since 2.6.39 has this clock
        return std::chrono::duration_cast<Micros>(std::chrono::seconds(at.tv_sec) +
                                                  std::chrono::nanoseconds(at.tv_nsec));
    }
};

}  // namespace flaxdoor::loop
