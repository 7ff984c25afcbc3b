// The balancer daemon: a small program over the library. Handles the environment, the command line, the configuration files,
// signals and the event loop.
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
#include "extensions/gateway.h"
#include "extensions/postgres.h"
#include "log/events.h"
#include "log/logger.h"
#include "loop/clock.h"
#include "settings/product.h"
#include "settings/reader.h"

namespace {

using flaxdoor::Balancer;
using flaxdoor::BalancerOptions;
using flaxdoor::log::Logger;
namespace events = flaxdoor::log::events;

std::string file_content(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file) throw std::runtime_error("can't be read");
    // Inserting the buffer of an empty file would set failbit, but an empty file is not an error.
    if (file.peek() != std::ifstream::traits_type::eof()) text << file.rdbuf();
    if (!text || file.bad()) throw std::runtime_error("can't be read");
    return text.str();
}

BalancerOptions configuration() {
    const char* const path = std::getenv("NODE_CONFIG");
    if (!path) throw std::runtime_error("NODE_CONFIG is not set");
    try {
        BalancerOptions options = flaxdoor::options_from(file_content(path));
        rlimit limit{};
        if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
            options.descriptors = std::min<std::size_t>(options.descriptors, limit.rlim_cur);
        }
        options.figures_every = {};
        return options;
    } catch (const std::exception& error) {
        throw std::runtime_error("configuration " + std::string(path) + ": " + error.what());
    }
}

// Reads the operator's file. Without a file, all settings have their defaults. Faults of the file are logged, one line each.
class OperatorFile {
public:
    OperatorFile(std::string path, Logger& log) : path_(std::move(path)), log_(log) {
        if (!load(true)) throw std::runtime_error("operator's file " + path_ + " can't be used");
    }

    void reload() {
        if (!load(false)) log_.write(events::operators_kept);
    }

    const std::string& text() const { return text_; }

private:
    bool load(bool start) {
        if (path_.empty()) return true;
        auto reading = flaxdoor::settings::read_file(path_, flaxdoor::settings::product_schema());
        if (const auto* values = std::get_if<flaxdoor::settings::Values>(&reading)) {
            auto options = flaxdoor::log::options_from(*values);
            if (auto* const faults = std::get_if<flaxdoor::settings::Faults>(&options)) {
                reading = std::move(*faults);
            } else if (start) {  // a reload is applied to the log only after the engine has accepted it
                log_.set(std::get<flaxdoor::log::Options>(std::move(options)));
            }
        }
        if (const auto* faults = std::get_if<flaxdoor::settings::Faults>(&reading)) {
            flaxdoor::apps::log_faults(log_, path_, *faults);
            return false;
        }
        text_ = file_content(path_);
        return true;
    }

    const std::string path_;
    Logger& log_;
    std::string text_;
};

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    flaxdoor::apps::open_missing_standard_descriptors();
    const flaxdoor::loop::Clock clock;
    flaxdoor::log::DescriptorSink standard_error(STDERR_FILENO);
    Logger log(standard_error, clock);
    CLI::App app(
        "Runs one balancer. The environment variable NODE_CONFIG names the file with the platform's "
        "configuration.");
    std::string operator_path;
    app.add_option("--operator", operator_path, "the operator's file (TOML); see `flaxdoor check`");
    CLI11_PARSE(app, argc, argv);
    try {
        boost::asio::io_context loop(1);
        const auto sides =
            std::make_shared<const flaxdoor::detail::InternalOptions>(flaxdoor::detail::InternalOptions{
                {flaxdoor::extensions::postgres(), flaxdoor::extensions::gateway()},
                &log,
                [&log](const flaxdoor::settings::Values& operators) {
                    auto result = flaxdoor::log::options_from(operators);
                    if (auto* const options = std::get_if<flaxdoor::log::Options>(&result))
                        log.set(std::move(*options));
                }});
        flaxdoor::apps::Signals signals(loop);  // holds signals until the balancer can handle them
        const flaxdoor::apps::LogRetry log_retry(loop, log);
        OperatorFile operator_file(operator_path, log);
        BalancerOptions options = configuration();
        options.operators = operator_file.text();
        options.internal = sides;
        Balancer balancer(loop.get_executor(), options);
        const auto reload = [&] {  // files with faults change nothing
            operator_file.reload();
            try {
                BalancerOptions fresh = configuration();
                fresh.operators = operator_file.text();
                fresh.internal = sides;
                balancer.reconfigure(fresh);
            } catch (const std::exception& error) {
                log.write(events::configuration_kept, error.what());
            }
        };
        signals.start(reload, [&] { balancer.async_drain([&loop] { loop.stop(); }); });
        loop.run();
    } catch (const std::exception& error) {
        log.write(events::not_started, error.what());
        return 1;
    }
    return 0;
}
