// What the programs that stay have in common: standard descriptors, signals, lines that wait for their reader.
//
// Threading: the loop's one thread.   Ownership: loop and log are borrowed.   Errors: as Asio's signal_set throws.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <sstream>
#include <string>

#include "log/events.h"
#include "log/logger.h"
#include "settings/reader.h"

namespace flaxdoor::apps {

// Started without one of the three standard descriptors: its number would go to what is opened next, and lines for standard
// error into that.
inline void fill_standard_descriptors() {
    for (const int each : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        if (::fcntl(each, F_GETFD) < 0) (void)::open("/dev/null", O_RDWR);  // takes the lowest that is free
    }
}

// Each fault of an operator's file as a line of the log.
inline void tell_faults(log::Logger& log, const std::string& file, const settings::Faults& faults) {
    std::istringstream lines(faults.text(file));
    for (std::string line; std::getline(lines, line);) log.tell(log::events::operators_fault, line);
}

// SIGHUP brings new files, SIGTERM and SIGINT the end; each as often as it comes. Of many SIGHUPs one after
// the other the last one counts. What comes before pass_to() is kept for it.
class Signals {
public:
    explicit Signals(boost::asio::io_context& loop)
        : signals_(loop, SIGTERM, SIGINT, SIGHUP), reload_(loop) {}

    void pass_to(std::function<void()> on_reload, std::function<void()> on_end) {
        on_reload_ = std::move(on_reload);
        on_end_ = std::move(on_end);
        wait();
    }

private:
    // To read a large configuration takes tens of milliseconds: so long at least lies between two times.
    static constexpr auto reload_again = std::chrono::milliseconds(250);

    void wait() {
        signals_.async_wait([this](const boost::system::error_code& error, int signal) {
            if (error) return;
            if (signal == SIGHUP) {
                reload_soon();
            } else {
                on_end_();
            }
            wait();
        });
    }

    // Guards against a storm of them, in which this program would do nothing else.
    void reload_soon() {
        if (reload_due_) return;
        reload_due_ = true;
        reload_.expires_at(reloaded_ + reload_again);
        reload_.async_wait([this](const boost::system::error_code& error) {
            if (error) return;
            reload_due_ = false;
            on_reload_();
            reloaded_ = std::chrono::steady_clock::now();
        });
    }

    boost::asio::signal_set signals_;
    boost::asio::steady_timer reload_;
    std::chrono::steady_clock::time_point reloaded_{};  // the last time
    bool reload_due_ = false;
    std::function<void()> on_reload_, on_end_;
};

// Lines that wait for their reader go out though no further one comes. Nothing is due while none waits.
class Retry {
public:
    Retry(boost::asio::io_context& loop, log::Logger& log) : log_(log), timer_(loop) {
        log_.on_waiting([this] { later(); });
        if (log_.waiting()) later();
    }
    ~Retry() { log_.on_waiting({}); }

private:
    static constexpr auto again = std::chrono::milliseconds(250);

    void later() {
        timer_.expires_after(again);
        timer_.async_wait([this](const boost::system::error_code& error) {
            if (error) return;
            log_.retry();
            if (log_.waiting()) later();
        });
    }

    log::Logger& log_;
    boost::asio::steady_timer timer_;
};

}  // namespace flaxdoor::apps
