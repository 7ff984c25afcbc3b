// Fixture with a core on an event loop and the system clock, without a log, for tests of the HTTP listener and the
// upstream connection pool over real connections.
#pragma once

#include "../event_loop_test.h"
#include "core/core.h"
#include "loop/alarm.h"
#include "loop/clock.h"

namespace flaxdoor::http::test {

struct NoLog final : core::Log {
    void event(const core::Event&, std::span<const core::Value>) override {}
};

class OnCore : public standins::EventLoopTest {
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
