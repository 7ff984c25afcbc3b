// An alarm on an Asio event loop. Used on the loop's thread only. It may be destroyed at any time, also
// while a wake-up is due: its callback is not called after that. The alarm fires up to half a millisecond
// late if it fired just before.
#pragma once

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

#include "core/ports.h"
#include "loop/clock.h"
#include "loop/executor.h"
#include "loop/lifetime_guard.h"

namespace flaxdoor::loop {

class Alarm final : public core::Alarm {
public:
    Alarm(const Executor& executor, const Clock& clock) : clock_(clock), timer_(executor) {}

    // Sets the callback, which is called once for each set() whose time has come, unless a later set()
    // replaced it.
    void on_due(std::function<void()> call) { call_ = std::move(call); }

    void set(Time at) override {
        timer_.expires_at(std::max(clock_.steady(at), last_fired_ + min_interval));
        timer_.async_wait(alive_.wrap([this](const boost::system::error_code& error) {
            // The handler of an earlier set() may have been queued already when the timer was set again.
            const auto now = Clock::Steady::now();
            if (error || timer_.expiry() > now) return;
            last_fired_ = now;
            call_();
        }));
    }

private:
    // Prevents a separate wake-up for each of many times that lie close together. An alarm that has not
    // fired within this interval fires on time.
    static constexpr auto min_interval = std::chrono::microseconds(500);

    const Clock& clock_;
    boost::asio::steady_timer timer_;
    Clock::Steady::time_point last_fired_{};
    std::function<void()> call_;
    LifetimeGuard alive_;  // declared last: handlers that are due after the destruction do nothing
};

}  // namespace flaxdoor::loop
