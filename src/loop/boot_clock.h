// CLOCK_BOOTTIME: time since the machine's boot, which counts while the process is stopped and while the machine sleeps, and
// which nobody sets. May be read from any thread. Only differences of it mean anything to another machine.
#pragma once

#include <time.h>

#include <chrono>

#include "core/ports.h"

namespace flaxdoor::loop {

class BootClock final : public core::Clock {
public:
    Time now() const override {
        timespec at{};
        clock_gettime(CLOCK_BOOTTIME, &at);  // can't fail: every Linux since 2.6.39 has it
        return std::chrono::duration_cast<Micros>(std::chrono::seconds(at.tv_sec) +
                                                  std::chrono::nanoseconds(at.tv_nsec));
    }
};

}  // namespace flaxdoor::loop
