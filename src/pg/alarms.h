// Calls at their times, on the loop's one alarm. The loop's thread; nothing is called after this has gone.
#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "core/timers.h"
#include "loop/alarm.h"
#include "loop/clock.h"

namespace flaxdoor::pg {

class Alarms {
    using Timers = core::Timers<std::function<void()>>;

public:
    Alarms(const loop::Executor& executor, const loop::Clock& clock)
        : clock_(clock), alarm_(executor, clock) {
        alarm_.on_due([this] { run(); });
    }

    // One call that can be set, set anew and taken back. It must go before its Alarms do.
    class One {
    public:
        explicit One(Alarms& alarms) : alarms_(alarms) {}
        ~One() { clear(); }
        One(const One&) = delete;
        One& operator=(const One&) = delete;

        void set(Time at, std::function<void()> call) {
            clear();
            handle_ = alarms_.set(at, [this, call = std::move(call)] {
                const auto held = call;  // it may set this anew
                handle_.reset();
                held();
            });
        }
        void after(Micros span, std::function<void()> call) {
            set(alarms_.clock_.now() + span, std::move(call));
        }
        void clear() {
            if (handle_) alarms_.timers_.remove(*handle_);
            handle_.reset();
        }
        bool is_set() const { return handle_.has_value(); }

    private:
        Alarms& alarms_;
        std::optional<Timers::Handle> handle_;
    };

private:
    Timers::Handle set(Time at, std::function<void()> call) {
        const auto first = timers_.next();
        const auto handle = timers_.set(at, std::move(call));
        if (!first || at < *first) alarm_.set(at);
        return handle;
    }

    void run() {
        const Time now = clock_.now();
        while (const auto due = timers_.take(now)) (*due)();
        if (const auto next = timers_.next()) alarm_.set(*next);
    }

    const loop::Clock& clock_;
    Timers timers_;
    loop::Alarm alarm_;
};

}  // namespace flaxdoor::pg
