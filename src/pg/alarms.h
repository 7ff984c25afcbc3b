// Multiplexes any number of timers on one timer of the event loop.
//
// Threading: the loop's thread only. Life: no callback runs after the TimerSet is destroyed.
#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "core/timers.h"
#include "loop/alarm.h"
#include "loop/clock.h"

namespace flaxdoor::pg {

class TimerSet {
    using Timers = core::Timers<std::function<void()>>;

public:
    TimerSet(const loop::Executor& executor, const loop::Clock& clock)
        : clock_(clock), alarm_(executor, clock) {
        alarm_.on_due([this] { run(); });
    }

    // One timer that can be set, reset and cleared. Must be destroyed before its TimerSet.
    class Timer {
    public:
        explicit Timer(TimerSet& timer_set) : timer_set_(timer_set) {}
        ~Timer() { clear(); }
        Timer(const Timer&) = delete;
        Timer& operator=(const Timer&) = delete;

        void set(Time at, std::function<void()> callback) {
            clear();
            handle_ = timer_set_.set(at, [this, callback = std::move(callback)] {
                // The callback may set this timer again, which replaces the stored one.
                const auto callback_copy = callback;
                handle_.reset();
                callback_copy();
            });
        }
        void after(Micros span, std::function<void()> callback) {
            set(timer_set_.clock_.now() + span, std::move(callback));
        }
        void clear() {
            if (handle_) timer_set_.timers_.remove(*handle_);
            handle_.reset();
        }
        bool is_set() const { return handle_.has_value(); }

    private:
        TimerSet& timer_set_;
        std::optional<Timers::Handle> handle_;
    };

private:
    Timers::Handle set(Time at, std::function<void()> callback) {
        const auto first = timers_.next();
        const auto handle = timers_.set(at, std::move(callback));
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
