// The daemon: a small program over the library. Environment, command line, configuration, signals, the loop.
#include "flaxdoor/balancer.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <sstream>
#include <string>

#include "log/events.h"
#include "log/logger.h"
#include "loop/clock.h"
#include "settings/product.h"
#include "settings/reader.h"
#include "sides/gateway.h"
#include "sides/postgres.h"

namespace {

using flaxdoor::Balancer;
using flaxdoor::BalancerOptions;
using flaxdoor::log::Logger;
namespace events = flaxdoor::log::events;

std::string text_of(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file) throw std::runtime_error("can't be read");
    // An empty file gives nothing to take over, which is no error.
    if (file.peek() != std::ifstream::traits_type::eof()) text << file.rdbuf();
    if (!text || file.bad()) throw std::runtime_error("can't be read");
    return text.str();
}

BalancerOptions configuration() {
    const char* const path = std::getenv("NODE_CONFIG");
    if (!path) throw std::runtime_error("NODE_CONFIG is not set");
    try {
        BalancerOptions options = flaxdoor::options_from(text_of(path));
        rlimit told{};
        if (::getrlimit(RLIMIT_NOFILE, &told) == 0) {
            options.descriptors = std::min<std::size_t>(options.descriptors, told.rlim_cur);
        }
        options.figures_every = {};
        return options;
    } catch (const std::exception& error) {
        throw std::runtime_error("configuration " + std::string(path) + ": " + error.what());
    }
}

// The operator's own file; all defaults where there is none. Its faults are logged, each on a line of its
// own.
class Operators {
public:
    Operators(std::string path, Logger& log) : path_(std::move(path)), log_(log) {
        if (!read(true)) throw std::runtime_error("operator's file " + path_ + " can't be used");
    }

    void reload() {
        if (!read(false)) log_.tell(events::operators_kept);
    }

    const std::string& text() const { return text_; }

private:
    bool read(bool start) {
        if (path_.empty()) return true;
        auto reading = flaxdoor::settings::read_file(path_, flaxdoor::settings::product_schema());
        if (const auto* values = std::get_if<flaxdoor::settings::Values>(&reading)) {
            auto options = flaxdoor::log::options_from(*values);
            if (auto* const faults = std::get_if<flaxdoor::settings::Faults>(&options)) {
                reading = std::move(*faults);
            } else if (start) {  // what a reload brings counts once the engine has taken it
                log_.set(std::get<flaxdoor::log::Options>(std::move(options)));
            }
        }
        if (const auto* faults = std::get_if<flaxdoor::settings::Faults>(&reading)) {
            std::istringstream lines(faults->text(path_));
            for (std::string line; std::getline(lines, line);) log_.tell(events::operators_fault, line);
            return false;
        }
        text_ = text_of(path_);
        return true;
    }

    const std::string path_;
    Logger& log_;
    std::string text_;
};

// To read a large configuration takes tens of milliseconds: so long at least lies between two times.
constexpr auto reload_again = std::chrono::milliseconds(250);

// SIGHUP brings new files, SIGTERM and SIGINT the end; each as often as it comes. Of many SIGHUPs one after
// the other the last one counts.
class Signals {
public:
    Signals(boost::asio::io_context& loop, Logger& log, std::shared_ptr<const flaxdoor::detail::Sides> sides)
        : loop_(loop),
          log_(log),
          sides_(std::move(sides)),
          signals_(loop, SIGTERM, SIGINT, SIGHUP),
          reload_(loop) {}

    void pass_to(Balancer& balancer, Operators& operators) {
        signals_.async_wait(
            [this, &balancer, &operators](const boost::system::error_code& error, int signal) {
                if (error) return;
                if (signal == SIGHUP) {
                    reload_soon(balancer, operators);
                } else {
                    balancer.async_drain([this] { loop_.stop(); });
                }
                pass_to(balancer, operators);
            });
    }

private:
    // Guards against a storm of them, in which this program would do nothing else.
    void reload_soon(Balancer& balancer, Operators& operators) {
        if (reload_due_) return;
        reload_due_ = true;
        reload_.expires_at(reloaded_ + reload_again);
        reload_.async_wait([this, &balancer, &operators](const boost::system::error_code& error) {
            if (error) return;
            reload_due_ = false;
            reload(balancer, operators);
            reloaded_ = std::chrono::steady_clock::now();
        });
    }

    // What can't be used changes nothing.
    void reload(Balancer& balancer, Operators& operators) {
        operators.reload();
        try {
            BalancerOptions options = configuration();
            options.operators = operators.text();
            options.sides = sides_;
            balancer.reconfigure(options);
        } catch (const std::exception& error) {
            log_.tell(events::configuration_kept, error.what());
        }
    }

    boost::asio::io_context& loop_;
    Logger& log_;
    const std::shared_ptr<const flaxdoor::detail::Sides> sides_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer reload_;
    std::chrono::steady_clock::time_point reloaded_{};  // the last time
    bool reload_due_ = false;
};

// Lines that wait for their reader go out though no further one comes. Nothing is due while none waits.
class Retry {
public:
    Retry(boost::asio::io_context& loop, Logger& log) : log_(log), timer_(loop) {
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

    Logger& log_;
    boost::asio::steady_timer timer_;
};

// Started without one of the three standard descriptors: its number would go to what is opened next, and lines for standard
// error into that.
void fill_standard_descriptors() {
    for (const int each : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        if (::fcntl(each, F_GETFD) < 0) (void)::open("/dev/null", O_RDWR);  // takes the lowest that is free
    }
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    fill_standard_descriptors();
    const flaxdoor::loop::Clock clock;
    flaxdoor::log::Descriptor standard_error(STDERR_FILENO);
    Logger log(standard_error, clock);
    CLI::App app("One balancer. Its platform's configuration is in the file that NODE_CONFIG names.");
    std::string operators_path;
    app.add_option("--operator", operators_path, "the operator's own file (TOML); see `flaxdoor check`");
    CLI11_PARSE(app, argc, argv);
    try {
        boost::asio::io_context loop(1);
        const auto sides = std::make_shared<const flaxdoor::detail::Sides>(
            flaxdoor::detail::Sides{{flaxdoor::sides::postgres(), flaxdoor::sides::gateway()},
                                    &log,
                                    [&log](const flaxdoor::settings::Values& operators) {
                                        auto taken = flaxdoor::log::options_from(operators);
                                        if (auto* const options = std::get_if<flaxdoor::log::Options>(&taken))
                                            log.set(std::move(*options));
                                    }});
        Signals signals(loop, log, sides);  // kept for when the balancer is there to take them
        const Retry retry(loop, log);
        Operators operators(operators_path, log);
        BalancerOptions options = configuration();
        options.operators = operators.text();
        options.sides = sides;
        Balancer balancer(loop.get_executor(), options);
        signals.pass_to(balancer, operators);
        loop.run();
    } catch (const std::exception& error) {
        log.tell(events::not_started, error.what());
        return 1;
    }
    return 0;
}
