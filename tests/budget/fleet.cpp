#include "fleet.h"

#include <time.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "../minimal_config.h"
#include "standins/peers.h"
#include "standins/run_until.h"

namespace flaxdoor::test {

namespace {

using judge::Microseconds;
using standins::Program;
using standins::peers::text_of;

constexpr auto delay_measure_interval = milliseconds(2);
// Allowed time from a balancer's permit to the first byte at a server, in addition to the delay of this loop:
// one iteration of the balancer's event loop on a shared machine.
constexpr Microseconds permit_to_first_byte_base = 50'000;
constexpr std::uint64_t client_seeds_per_fleet = 1'000;

Microseconds to_micros(std::chrono::steady_clock::duration time) {
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

// Converts a steady time. The two clocks differ by the time for selected the machine was suspended.
Microseconds boot_time(standins::Time steady) {
    return boot_now() - to_micros(std::chrono::steady_clock::now() - steady);
}

std::uint16_t logged_port(const Program& program) {
    for (const auto& line : program.log()) {
        const auto at = line.find("listening on 127.0.0.1:");
        if (at != std::string::npos)
            return static_cast<std::uint16_t>(std::stoul(line.substr(line.rfind(':') + 1)));
    }
    return 0;
}

// An environment variable may select the program of another build.
std::string program(const char* variable, const char* built) {
    const char* const chosen = std::getenv(variable);
    return chosen ? chosen : built;
}

std::string counts_text(judge::Counts counts) {
    switch (counts) {
        case judge::Counts::requests: return "requests";
        case judge::Counts::attempts: return "attempts";
        case judge::Counts::retries: return "retries";
        case judge::Counts::concurrency: return "concurrency";
    }
    return "";
}

std::string decimal(std::int64_t thousandths) {
    std::ostringstream text;
    text << thousandths / 1000 << '.' << std::setw(3) << std::setfill('0') << thousandths % 1000;
    return text.str();
}

}  // namespace

Microseconds boot_now() {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return static_cast<Microseconds>(time.tv_sec) * 1'000'000 + time.tv_nsec / 1000;
}

Fleet::Fleet(Options options) : options_(std::move(options)), delay_timer_(loop) {
    std::cout << "seed " << options_.seed << '\n';
    for (const Limit& each : options_.limits) wholes_.push_back({{0, each.whole}});
    roster_ = std::make_unique<standins::Roster>(loop);
    std::vector<standins::RosterEntry> entries;
    for (std::size_t i = 0; i < 2; ++i) {
        standins::BookingNode::Settings settings;
        settings.name = "s-" + std::to_string(i);
        settings.seed = options_.seed;
        settings.workers = 4096;
        for (const Limit& each : options_.limits)
            settings.work_by_class[each.of_class] = {each.work, standins::Work::Shape::fixed};
        settings.on_event = [this, i](const standins::NodeEvent& event) { on_server_event(i, event); };
        servers_.push_back(std::make_unique<standins::BookingNode>(loop, std::move(settings)));
        standins::RosterEntry entry;
        entry.host = "s-" + std::to_string(i);
        entry.dial = text_of(servers_[i]->address());
        entry.site = "here";
        entry.cls = "full node";
        entries.push_back(entry);
    }
    roster_->set(entries);
    for (int i = 0; i < options_.balancers; ++i) add();
    measure_loop_delay();
}

Fleet::~Fleet() {
    if (testing::Test::HasFailure() || std::uncaught_exceptions() > 0) {
        const auto show = [](const std::string& name, const Program& program) {
            const auto& lines = program.log();
            const std::size_t first = lines.size() > 30 ? lines.size() - 30 : 0;
            for (std::size_t i = first; i < lines.size(); ++i) std::cerr << name << ": " << lines[i] << '\n';
        };
        if (coordinator_) show("coordinator", *coordinator_);
        for (const auto& each : balancers_) {
            if (each->program) show(each->name, *each->program);
        }
    }
    for (const auto& each : balancers_) {
        if (each->program) each->program->signal(SIGCONT);
    }
}

// ----------------------------------------------------------------------------------------------- coordinator

std::string Fleet::operator_settings(const std::string& coordinator, bool for_coordinator) const {
    std::ostringstream text;
    text << "[budget]\ncoordinator = \"" << coordinator << "\"\nbalancers = " << options_.balancers
         << "\nterm = \"" << options_.term.count() << "ms\"\nlongest_deadline = \""
         << options_.longest.count() << "ms\"\n";
    for (std::size_t i = 0; i < options_.limits.size(); ++i) {
        const Limit& limit = options_.limits[i];
        const judge::Amount whole = for_coordinator ? wholes_[i].back().amount : limit.whole;
        text << "\n[[budget_limit]]\nname = \"" << limit.name << "\"\ncounts = \""
             << counts_text(limit.counts) << "\"\n";
        if (!limit.of_class.empty()) text << "class = \"" << limit.of_class << "\"\n";
        if (limit.counts == judge::Counts::concurrency) {
            text << "places = " << whole.size << "\nreserve_places = " << limit.reserve.size << "\n";
        } else {
            text << "rate = " << decimal(whole.rate) << "\nburst = " << whole.size << "\n";
            if (limit.reserve.rate > 0) {
                text << "reserve_rate = " << decimal(limit.reserve.rate)
                     << "\nreserve_burst = " << limit.reserve.size << "\n";
            }
        }
    }
    // Balancers ignore this table.
    text << "\n[coordinator]\nlisten = \"127.0.0.1:0\"\nstore = \"" << folder_.path() << "/store\"\n";
    if (options_.witness) text << "witness = \"" << folder_.path() << "/witness\"\n";
    return text.str();
}

void Fleet::start_coordinator() {
    const std::string file = folder_.write("coordinator.toml", operator_settings("127.0.0.1:1", true));
    std::filesystem::create_directories(folder_.path() + "/store");
    coordinator_ = std::make_unique<Program>(loop);
    coordinator_->start({program("FLAXDOOR_BUDGET_COMMAND", BUDGET_COMMAND), "coordinator", file, "--grants",
                         folder_.path() + "/grants-" + std::to_string(++coordinator_starts_)},
                        {});
    wait_until([&] { return logged_port(*coordinator_) != 0 || coordinator_->ended(); });
    if (coordinator_->ended()) throw std::runtime_error("the coordinator exited before it listened");
    const asio::ip::tcp::endpoint address(asio::ip::address_v4::loopback(), logged_port(*coordinator_));
    for (const auto& each : balancers_) each->relay->to(address);
}

void Fleet::kill_coordinator() {
    coordinator_->signal(SIGKILL);
    wait_until([&] { return coordinator_->ended(); });
    ended_programs_.push_back(std::move(coordinator_));
}

bool Fleet::granted() const {
    std::error_code ignored;
    const auto bytes = std::filesystem::file_size(
        folder_.path() + "/grants-" + std::to_string(coordinator_starts_), ignored);
    return !ignored && bytes > 0;
}

void Fleet::copy_store() {
    std::filesystem::remove_all(folder_.path() + "/aside");
    std::filesystem::copy(folder_.path() + "/store", folder_.path() + "/aside",
                          std::filesystem::copy_options::recursive);
}

void Fleet::restore_store() {
    std::filesystem::remove_all(folder_.path() + "/store");
    std::filesystem::copy(folder_.path() + "/aside", folder_.path() + "/store",
                          std::filesystem::copy_options::recursive);
}

void Fleet::empty_store() { std::filesystem::remove_all(folder_.path() + "/store"); }

void Fleet::set_whole(std::size_t limit, judge::Amount whole) {
    wholes_[limit].push_back({boot_now(), whole});
    std::filesystem::rename(folder_.write("coordinator.new", operator_settings("127.0.0.1:1", true)),
                            folder_.path() + "/coordinator.toml");
    const auto logged_changes = [&] {
        const auto& lines = coordinator_->log();
        return std::count_if(lines.begin(), lines.end(), [&](const auto& line) {
            return line.find(options_.limits[limit].name) != std::string::npos &&
                   line.find(".rate") != std::string::npos;
        });
    };
    const auto before = logged_changes();
    coordinator_->signal(SIGHUP);
    wait_until([&] { return logged_changes() > before; });
    wholes_[limit].back().from = boot_now();  // until about now it granted by the old whole
}

// ------------------------------------------------------------------------------------------------- balancers

std::size_t Fleet::add(std::string name) {
    auto balancer = std::make_unique<Balancer>();
    const std::size_t index = balancers_.size();
    balancer->name = name.empty() ? "n" + std::to_string(index) : std::move(name);
    balancer->relay = std::make_unique<standins::Relay>(
        loop, standins::Relay::Settings{options_.seed * 100 + index,
                                        [this](std::string_view body) { on_lease_request(body); }});
    if (coordinator_) balancer->relay->to({asio::ip::address_v4::loopback(), logged_port(*coordinator_)});
    balancers_.push_back(std::move(balancer));
    return index;
}

std::string Fleet::configuration(const Balancer& balancer) const {
    json config = minimal_config();
    config["name"] = balancer.name;
    config["discovery"] = text_of(roster_->address());
    config["limits"] = {{"sockets", 1024}};
    json hosts = json::array();
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        hosts.push_back({{"host", servers_[i]->name()},
                         {"dial", text_of(servers_[i]->address())},
                         {"site", "here"},
                         {"class", "full node"},
                         {"block", 1},
                         {"health", "active"},
                         {"share", 1.0},
                         {"born_ms", 0}});
    }
    config["known"] = {{"seq", roster_->version()}, {"whole", true}, {"hosts", hosts}};
    config["settings"]["services"] = {service("look", "idempotent", 150, 5000),
                                      service("once", "at_most_once", 150, 5000)};
    config["settings"]["limits"].update({{"retry_after", true}, {"max_retry_after", 500.0}});
    return config.dump();
}

void Fleet::start(const std::vector<std::size_t>& selected) {
    for (const std::size_t i : selected) {
        Balancer& balancer = *balancers_[i];
        const std::string suffix = std::to_string(i);
        const std::string file = folder_.write("operators-" + suffix,
                                               operator_settings(text_of(balancer.relay->address()), false));
        const std::string config = folder_.write("config-" + suffix, configuration(balancer));
        balancer.program = std::make_unique<Program>(loop);
        balancer.program->start({program("FLAXDOOR_BUDGET_BALANCER", BUDGET_BALANCER), "--operator", file},
                                {"NODE_CONFIG=" + config});
    }
    for (const std::size_t i : selected) {
        Program& program = *balancers_[i]->program;
        wait_until([&] { return logged_port(program) != 0 || program.ended(); });
        if (program.ended()) throw std::runtime_error(balancers_[i]->name + " exited before it listened");
        balancers_[i]->port = logged_port(program);
    }
}

void Fleet::start_all() {
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < balancers_.size(); ++i) all.push_back(i);
    start(all);
}

void Fleet::kill(const std::vector<std::size_t>& selected) {
    for (const std::size_t i : selected) balancers_[i]->program->signal(SIGKILL);
    for (const std::size_t i : selected) {
        demand(i, 0);
        Balancer& balancer = *balancers_[i];
        wait_until([&] { return balancer.program->ended(); });
        ended_programs_.push_back(std::move(balancer.program));
    }
}

void Fleet::pause(std::size_t i) { balancers_[i]->program->stop(); }
void Fleet::resume(std::size_t i) { balancers_[i]->program->signal(SIGCONT); }

void Fleet::leave(std::size_t i) {
    demand(i, 0);
    Balancer& balancer = *balancers_[i];
    balancer.program->signal(SIGTERM);
    wait_until([&] { return balancer.program->ended(); });
    EXPECT_EQ(balancer.program->status(), 0) << balancer.name;
    ended_programs_.push_back(std::move(balancer.program));
}

// --------------------------------------------------------------------------------------------------- clients

void Fleet::demand(std::size_t i, double rate, milliseconds patience) {
    Balancer& balancer = *balancers_[i];
    if (balancer.clients) {
        balancer.clients->stop();
        former_clients_.push_back(std::move(balancer.clients));
    }
    if (rate <= 0) return;
    standins::LoadClient::Settings settings;
    settings.targets = {{asio::ip::address_v4::loopback(), balancer.port}};
    settings.classes.clear();
    for (const Limit& each : options_.limits) {
        standins::ClassPlan plan;
        plan.name = each.of_class;
        plan.kind = each.of_class == "look" ? standins::CallKind::safe : standins::CallKind::unsafe;
        plan.weight = each.weight;
        plan.budget_ms = static_cast<int>(patience.count());
        settings.classes.push_back(plan);
    }
    settings.seed = options_.seed * client_seeds_per_fleet + ++clients_made_;
    settings.rate = rate;
    settings.connections = 400;
    settings.duration = std::chrono::seconds(120);
    settings.wait_beyond = milliseconds(100);
    settings.on_result = [this, i](const standins::CallResult& result) {
        calls_[result.call_id] = {boot_time(result.intended), i};
        if (result.outcome == standins::Outcome::served) ++balancers_[i]->served;
    };
    balancer.clients = std::make_unique<standins::LoadClient>(loop, std::move(settings));
    balancer.clients->start();
}

void Fleet::demand_all(double rate) {
    for (std::size_t i = 0; i < balancers_.size(); ++i) {
        if (balancers_[i]->program) demand(i, rate);
    }
}

// -------------------------------------------------------------------------------------------------- recording

void Fleet::on_server_event(std::size_t server, const standins::NodeEvent& event) {
    using Kind = standins::NodeEvent::Kind;
    const auto key = std::pair(server, event.request);
    if (event.kind == Kind::first_byte) {
        running_[key] = {0, boot_time(event.at)};
    } else if (event.kind == Kind::last_byte) {
        Running& running = running_[key];
        running.attempt = attempts_.size();
        attempts_.push_back({0, running.first_byte, 0, event.call_id, {}, {}, event.cls});
    } else if (event.kind == Kind::finished) {
        const auto running = running_.find(key);
        if (running == running_.end()) return;
        attempts_[running->second.attempt].ended = boot_time(event.at);
        running_.erase(running);
    }
}

void Fleet::on_lease_request(std::string_view body) {
    const auto object = json::parse(body, nullptr, false);
    if (object.is_discarded() || !object.contains("taken")) return;
    holder_reports_.push_back({boot_now(),
                               object["holder"],
                               object["instance"],
                               {object["taken"][0], object["taken"][1]},
                               object.value("leaving", false)});
}

// Measures the delay of this loop, by selected an attempt's first byte may be recorded late.
void Fleet::measure_loop_delay() {
    delay_timer_.expires_after(delay_measure_interval);
    delay_timer_.async_wait([this](boost::system::error_code error) {
        if (error) return;
        max_loop_delay_ = std::max(max_loop_delay_, std::chrono::steady_clock::now() - delay_timer_.expiry());
        measure_loop_delay();
    });
}

// ------------------------------------------------------------------------------------------------------ waits

void Fleet::check_alive() {
    for (const auto& each : balancers_) {
        if (each->program && each->program->ended())
            throw std::runtime_error(each->name + " exited unexpectedly");
    }
}

void Fleet::wait_until(const std::function<bool()>& holds, int where) {
    if (!standins::run_until(loop, holds))
        throw std::runtime_error("timed out in line " + std::to_string(where));
}

void Fleet::run_for(milliseconds time) {
    bool over = false;
    asio::steady_timer timer(loop, time);
    timer.async_wait([&](boost::system::error_code) { over = true; });
    wait_until([&] { return over; });
    check_alive();
}

Microseconds Fleet::wait_until_full(std::size_t limit, Microseconds from, double share, int where) {
    std::optional<Microseconds> elapsed;
    Microseconds last_checked = 0;
    wait_until(
        [&] {
            if (boot_now() - last_checked < 20'000) return false;
            last_checked = boot_now();
            judge::Log observed;
            observed.attempts = attempts_;
            elapsed =
                judge::time_until_used(budget_of(limit), observed, from, options_.term.count() * 1000, share);
            return elapsed.has_value();
        },
        where);
    check_alive();
    return *elapsed;
}

// ------------------------------------------------------------------------------------------------- evaluation

judge::Budget Fleet::budget_of(std::size_t i) const {
    const Limit& limit = options_.limits[i];
    return {limit.name, limit.counts, {}, limit.of_class, wholes_[i], limit.reserve, options_.balancers};
}

Microseconds Fleet::max_permit_to_first_byte() const {
    return permit_to_first_byte_base + to_micros(max_loop_delay_);
}

judge::Log Fleet::log() const {
    judge::Log all;
    all.attempts = attempts_;
    all.holder_reports = holder_reports_;
    for (judge::Attempt& each : all.attempts) {
        const auto call = calls_.find(each.call);
        if (call == calls_.end()) throw std::runtime_error("no client sent " + each.call);
        each.sent = call->second.sent;
        each.balancer = balancers_[call->second.balancer]->name;
    }
    for (int i = 1; i <= coordinator_starts_; ++i) {
        std::ifstream file(folder_.path() + "/grants-" + std::to_string(i));
        for (auto& each : judge::read_grants(file)) all.grants.push_back(std::move(each));
    }
    return all;
}

double Fleet::usage_over(std::size_t limit, double terms) {
    const Microseconds from = boot_now();
    run_terms(terms);
    const Microseconds to = boot_now();
    judge::Log observed;
    observed.attempts = attempts_;
    const auto count = judge::count_permits(budget_of(limit), observed, from, to);
    return static_cast<double>(count) * 1e9 /
           (static_cast<double>(wholes_[limit].back().amount.rate) * static_cast<double>(to - from));
}

std::int64_t Fleet::served_by(std::size_t balancer, double terms) {
    const std::uint64_t before = balancers_[balancer]->served;
    run_terms(terms);
    return static_cast<std::int64_t>(balancers_[balancer]->served - before);
}

std::int64_t Fleet::expect_budgets_kept() {
    for (std::size_t i = 0; i < balancers_.size(); ++i) demand(i, 0);
    wait_until([&] {
        return std::all_of(former_clients_.begin(), former_clients_.end(),
                           [](const auto& each) { return each->done(); }) &&
               std::all_of(attempts_.begin(), attempts_.end(),
                           [](const auto& each) { return each.ended != 0; });
    });
    check_alive();
    const judge::Log observed = log();
    const judge::Terms terms{options_.term.count() * 1000, 0.001, options_.longest.count() * 1000,
                             max_permit_to_first_byte()};
    std::cout << observed.grants.size() << " grants, " << observed.holder_reports.size()
              << " lease requests, " << observed.attempts.size() << " attempts; allowed delay "
              << max_permit_to_first_byte() / 1000 << " ms\n";
    EXPECT_FALSE(observed.grants.empty());
    if (const char* const file = std::getenv("FLAXDOOR_BUDGET_DUMP")) {  // for manual inspection
        std::ofstream out(file);
        for (const auto& each : observed.attempts)
            out << each.begun << " attempt " << each.balancer << ' ' << each.of_class << '\n';
        for (const auto& each : observed.grants) {
            out << each.at << " grant " << each.holder << ' ' << each.budget << ' ' << each.fence.seq << ' '
                << each.share.rate << ' ' << each.share.size << ' ' << each.until << '\n';
        }
        for (const auto& each : observed.holder_reports)
            out << each.at << " told " << each.holder << ' ' << each.taken.seq << '\n';
    }
    for (std::size_t i = 0; i < options_.limits.size(); ++i) {
        for (const auto& each : judge::findings(terms, budget_of(i), observed)) ADD_FAILURE() << each.text;
    }
    return judge::count_permits(budget_of(0), observed, 0, boot_now());
}

}  // namespace flaxdoor::test
