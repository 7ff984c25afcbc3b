// Shared by the long-running programs: standard descriptors, signals, and retries of pending log output.
//
// Threading: the loop's one thread.   Ownership: loop and log are borrowed.   Errors: those of boost::asio::signal_set.
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

// Opens /dev/null for each standard descriptor that the program was started without. Otherwise the next file or socket would
// get its number, and lines for standard error would be written into it.
inline void open_missing_standard_descriptors() {
    for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        if (::fcntl(descriptor, F_GETFD) < 0)
            (void)::open("/dev/null", O_RDWR);  // gets the lowest free number
    }
}

// Logs each fault of an operator's file on its own line.
inline void log_faults(log::Logger& log, const std::string& file, const settings::Faults& faults) {
    std::istringstream lines(faults.text(file));
    for (std::string line; std::getline(lines, line);) log.write(log::events::operators_fault, line);
}

// Handles signals: SIGHUP reloads the files, SIGTERM and SIGINT end the program. Each may come several times. SIGHUPs in
// quick succession are merged; a reload always follows the last one. Signals that arrive before start() are handled by it.
class Signals {
public:
    explicit Signals(boost::asio::io_context& loop)
        : signals_(loop, SIGTERM, SIGINT, SIGHUP), reload_timer_(loop) {}

    void start(std::function<void()> on_reload, std::function<void()> on_end) {
        on_reload_ = std::move(on_reload);
        on_end_ = std::move(on_end);
        wait();
    }

private:
    // Minimum interval between two reloads. Reading a large configuration takes tens of milliseconds.
    static constexpr auto min_reload_interval = std::chrono::milliseconds(250);

    void wait() {
        signals_.async_wait([this](const boost::system::error_code& error, int signal) {
            if (error) return;
            if (signal == SIGHUP) {
                schedule_reload();
            } else {
                on_end_();
            }
            wait();
        });
    }

    // Limits the rate of reloads: in a storm of SIGHUPs the program would do nothing else.
    void schedule_reload() {
        if (reload_scheduled_) return;
        reload_scheduled_ = true;
        reload_timer_.expires_at(last_reload_ + min_reload_interval);
        reload_timer_.async_wait([this](const boost::system::error_code& error) {
            if (error) return;
            reload_scheduled_ = false;
            on_reload_();
            last_reload_ = std::chrono::steady_clock::now();
        });
    }

    boost::asio::signal_set signals_;
    boost::asio::steady_timer reload_timer_;
    std::chrono::steady_clock::time_point last_reload_{};
    bool reload_scheduled_ = false;
    std::function<void()> on_reload_, on_end_;
};

// Retries pending log output periodically, also when no further event is logged. The timer runs only while output is pending.
class LogRetry {
public:
    LogRetry(boost::asio::io_context& loop, log::Logger& log) : log_(log), timer_(loop) {
        log_.on_pending([this] { schedule(); });
        if (log_.has_pending()) schedule();
    }
    ~LogRetry() { log_.on_pending({}); }

private:
    static constexpr auto interval = std::chrono::milliseconds(250);

    void schedule() {
        timer_.expires_after(interval);
        timer_.async_wait([this](const boost::system::error_code& error) {
            if (error) return;
            log_.retry();
            if (log_.has_pending()) schedule();
        });
    }

    log::Logger& log_;
    boost::asio::steady_timer timer_;
};

}  // namespace flaxdoor::apps
