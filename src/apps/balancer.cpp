// The daemon: a small program over the library. Environment, command line, configuration, signals, the loop.
#include "flaxdoor/balancer.h"

#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <sstream>
#include <string>

#include "apps/daemon.h"
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
            flaxdoor::apps::tell_faults(log_, path_, *faults);
            return false;
        }
        text_ = text_of(path_);
        return true;
    }

    const std::string path_;
    Logger& log_;
    std::string text_;
};

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    flaxdoor::apps::fill_standard_descriptors();
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
        flaxdoor::apps::Signals signals(loop);  // kept for when the balancer is there to take them
        const flaxdoor::apps::Retry retry(loop, log);
        Operators operators(operators_path, log);
        BalancerOptions options = configuration();
        options.operators = operators.text();
        options.sides = sides;
        Balancer balancer(loop.get_executor(), options);
        const auto reload = [&] {  // what can't be used changes nothing
            operators.reload();
            try {
                BalancerOptions fresh = configuration();
                fresh.operators = operators.text();
                fresh.sides = sides;
                balancer.reconfigure(fresh);
            } catch (const std::exception& error) {
                log.tell(events::configuration_kept, error.what());
            }
        };
        signals.pass_to(reload, [&] { balancer.async_drain([&loop] { loop.stop(); }); });
        loop.run();
    } catch (const std::exception& error) {
        log.tell(events::not_started, error.what());
        return 1;
    }
    return 0;
}
