#include "apps/coordinator_commands.h"

#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "apps/daemon.h"
#include "coordinator/service.h"
#include "coordinator/terms.h"
#include "core/core.h"
#include "http/client_machine.h"
#include "http/listener.h"
#include "log/events.h"
#include "loop/alarm.h"
#include "loop/boot_clock.h"
#include "loop/clock.h"
#include "loop/sockets.h"
#include "settings/page.h"
#include "settings/product.h"
#include "settings/reader.h"
#include "settings/reload.h"
#include "settings/tables/budget.h"

namespace flaxdoor::apps {

namespace {

namespace asio = boost::asio;
namespace events = log::events;
namespace keys = settings::budget;
using boost::system::error_code;
using coordinator::Journal;
using coordinator::Service;

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
constexpr std::size_t reserved_descriptors = 64;  // for everything except client connections
constexpr std::size_t max_connections = 16'384;
constexpr auto tidy_interval = std::chrono::milliseconds(100);
constexpr auto drain_poll_interval = std::chrono::milliseconds(10);
constexpr auto drain_timeout = std::chrono::seconds(2);  // for responses that are being sent
constexpr auto show_timeout = std::chrono::seconds(5);
constexpr const char* boot_id_file = "/proc/sys/kernel/random/boot_id";

// Reads the operator's file. It is a fault if the file has no table [coordinator].
settings::Reading read_operator_file(const std::string& file) {
    auto reading = settings::read_file(file, settings::product_schema());
    const auto* const values = std::get_if<settings::Values>(&reading);
    if (!values) return reading;
    if (!values->given("coordinator")) {
        settings::Faults faults;
        faults.add({{}, "there is no table [coordinator]", "coordinator", "add it, with listen and store"});
        return faults;
    }
    auto options = log::options_from(*values);
    if (auto* const faults = std::get_if<settings::Faults>(&options)) return std::move(*faults);
    return reading;
}

void configure_log(log::Logger& log, const settings::Values& values) {
    auto options = log::options_from(values);
    if (auto* const log_options = std::get_if<log::Options>(&options)) log.set(std::move(*log_options));
}

std::string boot_id() {
    std::ifstream file(boot_id_file);
    std::string line;
    if (!std::getline(file, line) || !coordinator::valid_name(line)) {
        throw std::runtime_error(std::string(boot_id_file) + " can't be read");
    }
    return line;
}

loop::tcp::endpoint endpoint_of(const settings::Address& address) {
    return loop::endpoint_of(address.host, address.port);
}

Journal::Opened open_journal(const settings::Values& values, Time now) {
    const std::string folder = values.get(keys::store).text;
    Journal::Dependencies world;
    if (const int error = store::open_folder(folder, true, world.files); error != 0) {
        throw std::runtime_error("the store " + folder + ": " + std::strerror(error));
    }
    world.chance = [device = std::make_shared<std::random_device>()] {
        return static_cast<std::uint64_t>((*device)()) << 32 | (*device)();
    };
    if (const auto witness = values.get(keys::witness)) {
        world.witness = std::make_unique<coordinator::WitnessFile>(witness->text);
    }
    world.boot = boot_id();
    world.now = now;
    world.unix_now = std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
    Journal::Opened opened = Journal::open(std::move(world));
    if (!opened.result) throw std::runtime_error("the store " + folder + ": " + opened.result.why);
    return opened;
}

http::ListenerLimits limits() {
    http::ListenerLimits limits;
    rlimit limit{};
    limits.max_connections = max_connections;
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur > reserved_descriptors) {
        limits.max_connections =
            std::min<std::size_t>(limits.max_connections, limit.rlim_cur - reserved_descriptors);
    }
    limits.max_keepalive_connections = limits.max_connections;
    limits.crowded_idle_timeout = limits.idle_timeout;  // balancers keep their connections open
    limits.max_body_bytes = coordinator::max_message_size;
    return limits;
}

// Returns whether SIGHUP applies a changed setting: the limits of the rows [[budget_limit]], added and removed rows, and the
// log. All other settings of the coordinator take a restart.
bool is_reloadable(const std::string& key) {
    const auto row_end = key.rfind("\"]");
    if (key.starts_with("log.")) return true;
    if (!key.starts_with("budget_limit[") || row_end == key.npos) return false;
    const std::string rest = key.substr(row_end + 2);
    return rest.empty() || rest == ".rate" || rest == ".burst" || rest == ".places";
}
bool belongs_to_coordinator(const std::string& key) {
    return key.starts_with("budget") || key.starts_with("coordinator.") || key.starts_with("log.");
}

// The running coordinator: the lease service behind an HTTP listener, with reload and graceful shutdown.
class CoordinatorProgram {
public:
    CoordinatorProgram(std::string file, settings::Values values, const std::string& grants,
                       asio::io_context& loop, log::Logger& log)
        : file_(std::move(file)),
          initial_values_(values),
          values_(std::move(values)),
          loop_(loop),
          log_(log),
          alarm_(loop.get_executor(), clock_),
          core_(clock_, alarm_, log),
          timer_(loop) {
        if (!grants.empty()) {
            if (const int error = grants_.open(grants); error != 0) {
                throw std::runtime_error(grants + ": " + std::strerror(error));
            }
        }
        service_ = std::make_unique<Service>(coordinator::terms_of(values_),
                                             open_journal(values_, boot_clock_.now()), boot_clock_, log,
                                             grants.empty() ? nullptr : &grants_);
        listener_ = std::make_unique<http::Listener>(loop.get_executor(), core_, *service_, clock_, limits());
        listener_->listen(endpoint_of(values_.get(keys::listen)));
        log_.write(events::listening, loop::text_of(listener_->address()));
        tidy_periodically();
    }

    void reload() {
        auto reading = read_operator_file(file_);
        if (const auto* const faults = std::get_if<settings::Faults>(&reading)) {
            log_faults(log_, file_, *faults);
            return log_.write(events::operators_kept);
        }
        auto& wanted = std::get<settings::Values>(reading);
        try {
            service_->update_budgets(coordinator::terms_of(wanted));
        } catch (const std::invalid_argument& error) {
            return log_.write(events::coordinator_kept, error.what());
        }
        configure_log(log_, wanted);
        for (const auto& each : settings::changes(values_, wanted)) {
            if (is_reloadable(each.key)) log_.write(events::operators_taken, settings::line_of(each));
        }
        for (const auto& each : settings::changes(initial_values_, wanted)) {
            if (belongs_to_coordinator(each.key) && !is_reloadable(each.key)) {
                log_.write(events::operators_held, settings::line_of(each));
            }
        }
        values_ = std::move(wanted);
    }

    // Shuts down gracefully: sends the responses that are due, then stops the loop. A client that does not read its response
    // does not delay the end beyond drain_timeout.
    void drain() {
        if (draining_) return;
        draining_ = true;
        log_.write(events::draining);
        listener_->begin_drain();
        drain_end_ = std::chrono::steady_clock::now() + drain_timeout;
        finish_drain();
    }

private:
    void tidy_periodically() {
        timer_.expires_after(tidy_interval);
        timer_.async_wait([this](const error_code& error) {
            if (error || draining_) return;
            (void)service_->run_background_step();
            tidy_periodically();
        });
    }

    void finish_drain() {
        if (!listener_->drain_connections() || std::chrono::steady_clock::now() >= drain_end_) {
            listener_->stop();
            log_.write(events::drained);
            return loop_.stop();
        }
        timer_.expires_after(drain_poll_interval);
        timer_.async_wait([this](const error_code& error) {
            if (!error) finish_drain();
        });
    }

    const std::string file_;
    const settings::Values initial_values_;
    settings::Values values_;  // of the last file without faults
    asio::io_context& loop_;
    log::Logger& log_;
    const loop::Clock clock_;
    const loop::BootClock boot_clock_;
    loop::Alarm alarm_;
    core::Core core_;  // the listener requires one; it receives no calls
    coordinator::GrantLog grants_;
    std::unique_ptr<Service> service_;
    std::unique_ptr<http::Listener> listener_;
    asio::steady_timer timer_;
    bool draining_ = false;
    std::chrono::steady_clock::time_point drain_end_{};
};

int run(const std::string& file, const std::string& grants) {
    std::signal(SIGPIPE, SIG_IGN);
    open_missing_standard_descriptors();
    const loop::Clock clock;
    log::DescriptorSink standard_error(STDERR_FILENO);
    log::Logger log(standard_error, clock);
    try {
        asio::io_context loop(1);
        Signals signals(loop);
        const LogRetry log_retry(loop, log);
        auto reading = read_operator_file(file);
        if (const auto* const faults = std::get_if<settings::Faults>(&reading)) {
            log_faults(log, file, *faults);
            return exit_failure;
        }
        configure_log(log, std::get<settings::Values>(reading));
        CoordinatorProgram program(file, std::get<settings::Values>(std::move(reading)), grants, loop, log);
        signals.start([&] { program.reload(); }, [&] { program.drain(); });
        loop.run();
    } catch (const std::exception& error) {
        log.write(events::not_started, error.what());
        return exit_failure;
    }
    return 0;
}

// `flaxdoor budget show`

// Fetches the body of a response with status 200 over a blocking connection, within show_timeout. Throws
// std::runtime_error.
class HttpGet {
public:
    std::string get(const loop::tcp::endpoint& from, const std::string& target) {
        http::Request request;
        request.method = "GET";
        request.target = target;
        request.fields.add("Host", loop::text_of(from));
        (void)machine_.begin(request);
        socket_.async_connect(from, [this](const error_code& error) {
            if (error) return fail(error);
            asio::async_write(socket_, asio::buffer(machine_.output()),
                              [this](const error_code& failed, std::size_t bytes) {
                                  machine_.wrote(bytes);
                                  if (failed) return fail(failed);
                                  read();
                              });
        });
        loop_.run_for(show_timeout);
        if (!body_ && why_.empty()) why_ = "no answer in time";
        if (!body_) throw std::runtime_error(loop::text_of(from) + ": " + why_);
        return std::move(*body_);
    }

private:
    void read() {
        socket_.async_read_some(asio::buffer(buffer_), [this](const error_code& error, std::size_t bytes) {
            auto result =
                error ? machine_.receive_end() : machine_.receive(std::string_view(buffer_.data(), bytes));
            if (!result && !error) return read();
            if (!result || result->kind != http::ClientResult::Kind::answered) {
                why_ = result && !result->why.empty() ? result->why : "no answer";
            } else if (result->answer.status != 200) {
                why_ = "answered with " + std::to_string(result->answer.status);
            } else {
                body_ = std::move(result->answer.body);
            }
        });
    }
    void fail(const error_code& error) { why_ = error.message(); }

    asio::io_context loop_{1};
    loop::tcp::socket socket_{loop_};
    http::ClientMachine machine_{coordinator::max_view_size};
    std::array<char, 64 * 1024> buffer_{};
    std::optional<std::string> body_;
    std::string why_;
};

std::string text_of(budget::Amount amount, budget::Counts counts) {
    if (counts == budget::Counts::concurrency) return std::to_string(amount.size);
    std::string rate = std::to_string(amount.rate / 1000);
    if (amount.rate % 1000 != 0) {
        char fraction[8];
        std::snprintf(fraction, sizeof fraction, ".%03d", static_cast<int>(amount.rate % 1000));
        rate += fraction;
        rate.erase(rate.find_last_not_of('0') + 1);
    }
    return rate + "/s+" + std::to_string(amount.size);
}

std::string text_of(Micros span) {
    const auto tenths = span.count() / 100'000;
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " s";
}

// Prints a table whose first row is the heading; prints nothing if there are no further rows.
using Rows = std::vector<std::vector<std::string>>;
void print(const Rows& rows) {
    if (rows.size() > 1) std::cout << settings::columns(rows) << "\n";
}

std::string state_of(const coordinator::View& view) {
    if (view.stepped_down) return "stepped down: there is a coordinator of a later epoch";
    if (!view.trouble.empty()) return "grants nothing: " + view.trouble;
    if (view.waits > Micros{0}) {
        return "grants nothing for " + text_of(view.waits) + ": leases of an earlier start may be in force";
    }
    return "grants";
}

void print(const coordinator::View& view, const std::string& where) {
    std::cout << "coordinator " << where << ", epoch " << view.epoch << ": " << state_of(view) << "\n\n";
    Rows sums{{"budget", "counts", "whole", "reserves", "leased", "free"}};
    std::map<std::string, budget::Counts> counts;
    for (const auto& each : view.sums) {
        counts[each.budget] = each.counts;
        const budget::Amount free = component_max(each.whole - each.reserved - each.counted, {});
        const auto text = [&](budget::Amount amount) { return text_of(amount, each.counts); };
        sums.push_back({each.budget, std::string(coordinator::text_of(each.counts)), text(each.whole),
                        text(each.reserved), text(each.counted), text(free)});
    }
    print(sums);
    Rows held{{"budget", "holder", "process", "share", "counted", "wants", "in use", "for", "held back"}};
    for (const auto& each : view.held) {
        const auto text = [&](budget::Amount amount) { return text_of(amount, counts[each.budget]); };
        held.push_back({each.budget, each.holder, each.instance.substr(0, 8), text(each.share),
                        text(each.counted), text(each.wants), std::to_string(each.in_use),
                        each.left > Micros{0}   ? text_of(each.left)
                        : each.left < Micros{0} ? "ended"
                                                : "-",
                        each.why.empty() ? "-" : each.why});
    }
    print(held);
    if (view.left_out > 0) std::cout << "and " << view.left_out << " more rows\n\n";
    Rows refused{{"refused", "process", "verdict", "ago", "why"}};
    for (const auto& each : view.refused) {
        refused.push_back({each.holder, each.instance.substr(0, 8),
                           std::string(budget::text_of(each.verdict)), text_of(each.ago), each.why});
    }
    print(refused);
}

int show(const std::string& at, const std::string& file, bool json) {
    if (at.empty() == file.empty()) {
        std::cerr << "flaxdoor: budget show: give one of --at ADDRESS and --operator FILE\n";
        return exit_usage;
    }
    std::string where = at;
    if (!file.empty()) {
        const auto reading = settings::read_file(file, settings::product_schema());
        if (const auto* const faults = std::get_if<settings::Faults>(&reading)) {
            std::cerr << faults->text(file);
            return exit_failure;
        }
        const auto& values = std::get<settings::Values>(reading);
        if (!values.given("budget")) {
            std::cerr << file << ": there is no table [budget] (budget); add it, or use --at\n";
            return exit_failure;
        }
        where = loop::text_of(endpoint_of(values.get(keys::coordinator)));
    }
    std::string body;
    try {
        body = HttpGet().get(loop::parse_endpoint(where), "/v1/budgets");
    } catch (const std::exception& error) {
        std::cerr << "flaxdoor: the coordinator: " << error.what() << "\n";
        return exit_failure;
    }
    const auto view = coordinator::decode_view(body);
    if (const auto* const bad = std::get_if<coordinator::Malformed>(&view)) {
        std::cerr << "flaxdoor: " << where << " is not a coordinator: " << bad->why << "\n";
        return exit_failure;
    }
    if (json) {
        std::cout << body << "\n";
    } else {
        print(std::get<coordinator::View>(view), where);
    }
    return 0;
}

}  // namespace

void add_coordinator_commands(CLI::App& program, std::function<int()>& action) {
    struct Options {
        std::string file, grants, at;
        bool json = false;
    };
    const auto options = std::make_shared<Options>();
    CLI::App* const command =
        program.add_subcommand("coordinator", "Grant leases of the fleet's budgets to balancers");
    command->add_option("FILE", options->file, "the operator's file, with [budget] and [coordinator]")
        ->required();
    command->add_option("--grants", options->grants, "append each grant to this file, as a line of JSON");
    command->callback(
        [options, &action] { action = [options] { return run(options->file, options->grants); }; });

    CLI::App* const budget_command = program.add_subcommand("budget", "Inspect the fleet's budgets");
    budget_command->require_subcommand(1);
    CLI::App* const show_command = budget_command->add_subcommand(
        "show", "Show which balancer holds which lease, until when, and what is held back");
    show_command->add_option("--at", options->at, "the coordinator's address, as 127.0.0.1:7400");
    show_command->add_option("--operator", options->file,
                             "the operator's file; budget.coordinator is the address");
    show_command->add_flag("--json", options->json,
                           "write the coordinator's response as JSON to standard output");
    show_command->callback([options, &action] {
        action = [options] { return show(options->at, options->file, options->json); };
    });
}

}  // namespace flaxdoor::apps
