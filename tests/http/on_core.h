// A core on a loop and a clock of this machine, without a log: for the HTTP front and back over real connections.
#pragma once

#include "../on_loop.h"
#include "core/core.h"
#include "loop/alarm.h"
#include "loop/clock.h"

namespace flaxdoor::http::test {

struct NoLog final : core::Log {
    void event(const core::Event&, std::span<const core::Value>) override {}
};

class OnCore : public standins::OnLoop {
protected:
    OnCore() {
        alarm.on_due([this] { core.on_alarm(); });
    }

    loop::Clock clock;
    loop::Alarm alarm{loop.get_executor(), clock};
    NoLog log;
    core::Core core{clock, alarm, log};
};

}  // namespace flaxdoor::http::test
