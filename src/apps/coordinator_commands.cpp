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
#include "http/front.h"
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

constexpr int faulty = 1;
constexpr int not_understood = 2;
constexpr std::size_t spare_descriptors = 64;
constexpr std::size_t connections_most = 16'384;
constexpr auto tidy_every = std::chrono::milliseconds(100);
constexpr auto end_poll = std::chrono::milliseconds(10);
constexpr auto end_within = std::chrono::seconds(2);  // for answers that are on their way
constexpr auto show_within = std::chrono::seconds(5);
constexpr const char* boot_file = "/proc/sys/kernel/random/boot_id";

// The file with what a coordinator needs of it.
settings::Reading read(const std::string& file) {
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

void use_log(log::Logger& log, const settings::Values& values) {
    auto options = log::options_from(values);
    if (auto* const its = std::get_if<log::Options>(&options)) log.set(std::move(*its));
}

std::string boot_id() {
    std::ifstream file(boot_file);
    std::string line;
    if (!std::getline(file, line) || !coordinator::valid_name(line)) {
        throw std::runtime_error(std::string(boot_file) + " can't be read");
    }
    return line;
}

loop::tcp::endpoint endpoint_of(const settings::Address& address) {
    return loop::endpoint_of(address.host, address.port);
}

Journal::Opened open_journal(const settings::Values& values, Time now) {
    const std::string folder = values.get(keys::store).text;
    Journal::World world;
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

http::FrontLimits limits() {
    http::FrontLimits limits;
    rlimit told{};
    limits.most = connections_most;
    if (::getrlimit(RLIMIT_NOFILE, &told) == 0 && told.rlim_cur > spare_descriptors) {
        limits.most = std::min<std::size_t>(limits.most, told.rlim_cur - spare_descriptors);
    }
    limits.asked = limits.most;
    limits.idle_crowded = limits.idle;  // balancers keep theirs
    limits.body = coordinator::message_most;
    return limits;
}

// What a SIGHUP brings: the rows' wholes, rows that come and go, and the log. All else that is of a coordinator
// takes a restart.
bool taken(const std::string& key) {
    const auto row_end = key.rfind("\"]");
    if (key.starts_with("log.")) return true;
    if (!key.starts_with("budget_limit[") || row_end == key.npos) return false;
    const std::string rest = key.substr(row_end + 2);
    return rest.empty() || rest == ".rate" || rest == ".burst" || rest == ".places";
}
bool of_coordinator(const std::string& key) {
    return key.starts_with("budget") || key.starts_with("coordinator.") || key.starts_with("log.");
}

class Program {
public:
    Program(std::string file, settings::Values values, const std::string& grants, asio::io_context& loop,
            log::Logger& log)
        : file_(std::move(file)),
          start_(values),
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
        front_ = std::make_unique<http::Front>(loop.get_executor(), core_, *service_, clock_, limits());
        front_->listen(endpoint_of(values_.get(keys::listen)));
        log_.tell(events::listening, loop::text_of(front_->address()));
        tidy();
    }

    void reload() {
        auto reading = read(file_);
        if (const auto* const faults = std::get_if<settings::Faults>(&reading)) {
            tell_faults(log_, file_, *faults);
            return log_.tell(events::operators_kept);
        }
        auto& wanted = std::get<settings::Values>(reading);
        try {
            service_->change(coordinator::terms_of(wanted));
        } catch (const std::invalid_argument& error) {
            return log_.tell(events::coordinator_kept, error.what());
        }
        use_log(log_, wanted);
        for (const auto& each : settings::changes(values_, wanted)) {
            if (taken(each.key)) log_.tell(events::operators_taken, settings::line_of(each));
        }
        for (const auto& each : settings::changes(start_, wanted)) {
            if (of_coordinator(each.key) && !taken(each.key)) {
                log_.tell(events::operators_held, settings::line_of(each));
            }
        }
        values_ = std::move(wanted);
    }

    // Answers go out, then it is over; a client that does not take its answer does not hold it up.
    void end() {
        if (ending_) return;
        ending_ = true;
        log_.tell(events::draining);
        front_->begin_drain();
        end_by_ = std::chrono::steady_clock::now() + end_within;
        wind_down();
    }

private:
    void tidy() {
        timer_.expires_after(tidy_every);
        timer_.async_wait([this](const error_code& error) {
            if (error || ending_) return;
            (void)service_->tidy();
            tidy();
        });
    }

    void wind_down() {
        if (!front_->wind_down() || std::chrono::steady_clock::now() >= end_by_) {
            front_->stop();
            log_.tell(events::drained);
            return loop_.stop();
        }
        timer_.expires_after(end_poll);
        timer_.async_wait([this](const error_code& error) {
            if (!error) wind_down();
        });
    }

    const std::string file_;
    const settings::Values start_;
    settings::Values values_;  // as it was read last
    asio::io_context& loop_;
    log::Logger& log_;
    const loop::Clock clock_;
    const loop::BootClock boot_clock_;
    loop::Alarm alarm_;
    core::Core core_;  // a front has one; no call comes to it
    coordinator::GrantsLog grants_;
    std::unique_ptr<Service> service_;
    std::unique_ptr<http::Front> front_;
    asio::steady_timer timer_;
    bool ending_ = false;
    std::chrono::steady_clock::time_point end_by_{};
};

int run(const std::string& file, const std::string& grants) {
    std::signal(SIGPIPE, SIG_IGN);
    fill_standard_descriptors();
    const loop::Clock clock;
    log::Descriptor standard_error(STDERR_FILENO);
    log::Logger log(standard_error, clock);
    try {
        asio::io_context loop(1);
        Signals signals(loop);
        const Retry retry(loop, log);
        auto reading = read(file);
        if (const auto* const faults = std::get_if<settings::Faults>(&reading)) {
            tell_faults(log, file, *faults);
            return faulty;
        }
        use_log(log, std::get<settings::Values>(reading));
        Program program(file, std::get<settings::Values>(std::move(reading)), grants, loop, log);
        signals.pass_to([&] { program.reload(); }, [&] { program.end(); });
        loop.run();
    } catch (const std::exception& error) {
        log.tell(events::not_started, error.what());
        return faulty;
    }
    return 0;
}

// ------------------------------------------------------------------------------------------------- show

// The body of a 200, within a while. Throws std::runtime_error.
class Fetch {
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
        loop_.run_for(show_within);
        if (!body_ && why_.empty()) why_ = "no answer in time";
        if (!body_) throw std::runtime_error(loop::text_of(from) + ": " + why_);
        return std::move(*body_);
    }

private:
    void read() {
        socket_.async_read_some(asio::buffer(room_), [this](const error_code& error, std::size_t bytes) {
            auto result =
                error ? machine_.receive_end() : machine_.receive(std::string_view(room_.data(), bytes));
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
    http::ClientMachine machine_{coordinator::view_most};
    std::array<char, 64 * 1024> room_{};
    std::optional<std::string> body_;
    std::string why_;
};

std::string text_of(budget::Amount amount, budget::Counts counts) {
    if (counts == budget::Counts::concurrency) return std::to_string(amount.size);
    std::string rate = std::to_string(amount.rate / 1000);
    if (amount.rate % 1000 != 0) {
        char part[8];
        std::snprintf(part, sizeof part, ".%03d", static_cast<int>(amount.rate % 1000));
        rate += part;
        rate.erase(rate.find_last_not_of('0') + 1);
    }
    return rate + "/s+" + std::to_string(amount.size);
}

std::string text_of(Micros span) {
    const auto tenths = span.count() / 100'000;
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " s";
}

// A table with heads and rows; nothing where there are heads alone.
using Rows = std::vector<std::vector<std::string>>;
void print(const Rows& rows) {
    if (rows.size() > 1) std::cout << settings::columns(rows) << "\n";
}

std::string state_of(const coordinator::View& view) {
    if (view.stepped_down) return "stepped down: there is another of a later epoch";
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
        const budget::Amount free = most(each.whole - each.reserved - each.counted, {});
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
        return not_understood;
    }
    std::string where = at;
    if (!file.empty()) {
        const auto reading = settings::read_file(file, settings::product_schema());
        if (const auto* const faults = std::get_if<settings::Faults>(&reading)) {
            std::cerr << faults->text(file);
            return faulty;
        }
        const auto& values = std::get<settings::Values>(reading);
        if (!values.given("budget")) {
            std::cerr << file << ": there is no table [budget] (budget); add it, or use --at\n";
            return faulty;
        }
        where = loop::text_of(endpoint_of(values.get(keys::coordinator)));
    }
    std::string body;
    try {
        body = Fetch().get(loop::parse_endpoint(where), "/v1/budgets");
    } catch (const std::exception& error) {
        std::cerr << "flaxdoor: the coordinator: " << error.what() << "\n";
        return faulty;
    }
    const auto view = coordinator::decode_view(body);
    if (const auto* const bad = std::get_if<coordinator::Malformed>(&view)) {
        std::cerr << "flaxdoor: " << where << " is no coordinator: " << bad->why << "\n";
        return faulty;
    }
    if (json) {
        std::cout << body << "\n";
    } else {
        print(std::get<coordinator::View>(view), where);
    }
    return 0;
}

}  // namespace

void add_coordinator(CLI::App& program, std::function<int()>& todo) {
    struct Options {
        std::string file, grants, at;
        bool json = false;
    };
    const auto o = std::make_shared<Options>();
    CLI::App* const command =
        program.add_subcommand("coordinator", "Grant leases of the fleet's budgets to balancers");
    command->add_option("FILE", o->file, "the operator's file, with [budget] and [coordinator]")->required();
    command->add_option("--grants", o->grants, "append each grant to this file, as a line of JSON");
    command->callback([o, &todo] { todo = [o] { return run(o->file, o->grants); }; });

    CLI::App* const all = program.add_subcommand("budget", "Look at the fleet's budgets");
    all->require_subcommand(1);
    CLI::App* const shown = all->add_subcommand("show", "Who holds what, until when, and what is held back");
    shown->add_option("--at", o->at, "the coordinator's address, as 127.0.0.1:7400");
    shown->add_option("--operator", o->file, "the operator's file, whose budget.coordinator is asked");
    shown->add_flag("--json", o->json, "write what the coordinator says, as JSON on standard output");
    shown->callback([o, &todo] { todo = [o] { return show(o->at, o->file, o->json); }; });
}

}  // namespace flaxdoor::apps
