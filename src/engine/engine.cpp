#include "engine/engine.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

#include "engine/budgets.h"
#include "engine/doorway.h"
#include "engine/keeper.h"
#include "engine/side.h"
#include "http/back.h"
#include "http/front.h"
#include "http/platform_handler.h"
#include "log/events.h"
#include "loop/alarm.h"
#include "loop/alive.h"
#include "membership/roster.h"
#include "settings/reload.h"
#include "settings/tables/core.h"
#include "settings/tables/drain.h"
#include "settings/tables/http.h"
#include "settings/tables/membership.h"
#include "settings/tables/store.h"

namespace flaxdoor::engine {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr const char* pool_name = "api";
constexpr auto drain_poll = std::chrono::milliseconds(10);
// Descriptors for what is neither a client's nor an upstream's.
constexpr std::size_t spare_sockets = 32;

std::size_t sockets_of(const Config& config) {
    return std::max<std::size_t>(config.sockets, spare_sockets + 4) - spare_sockets;
}

std::size_t part(std::size_t sockets, double share) {
    return static_cast<std::size_t>(static_cast<double>(sockets) * share);
}

http::FrontLimits front_limits(const settings::Values& operators, std::size_t sockets,
                               std::size_t for_clients) {
    namespace keys = settings::http;
    http::FrontLimits limits;
    limits.most = for_clients;
    limits.asked = part(sockets, operators.get(keys::keepalive_share));
    limits.request = operators.get(keys::request_timeout);
    limits.idle = operators.get(keys::idle_timeout);
    limits.idle_crowded = operators.get(keys::idle_timeout_crowded);
    limits.answer = operators.get(keys::send_timeout);
    limits.linger = operators.get(keys::linger_timeout);
    limits.linger_bytes = static_cast<std::size_t>(operators.get(keys::linger_bytes).count);
    return limits;
}

core::Options core_options(const settings::Values& operators, std::size_t open_calls, Budgets* budgets) {
    core::Options options;
    if (budgets) options.admission = &budgets->admission();
    options.open_calls = open_calls;
    if (open_calls == 0) {
        options.open_calls = static_cast<std::size_t>(operators.get(settings::core::max_open_calls));
    }
    options.refuse_unknown_tenants =
        operators.get(settings::core::unknown_tenants) == settings::core::UnknownTenants::refuse;
    options.own_limit = operators.get(settings::core::default_deadline);
    return options;
}

membership::RosterLimits roster_limits(const settings::Values& operators) {
    membership::RosterLimits limits;
    limits.line_most = static_cast<std::size_t>(operators.get(settings::membership::max_line_bytes).count);
    limits.answer = operators.get(settings::membership::answer_timeout);
    limits.silence = operators.get(settings::membership::silence_timeout);
    return limits;
}

// A host that asks for nothing: only whether the module takes the settings is of interest.
class Nobody final : public Actions {
    void submit(RequestId, UpstreamId, Micros) override {}
    void refuse(RequestId, Micros) override {}
    void fail(RequestId) override {}
    void cancel(RequestId, int) override {}
    void probe(UpstreamId) override {}
    void set_timer(Time, std::uint64_t) override {}
    void watch() override {}
    void unwatch() override {}
    void fetch() override {}
    void close_idle(UpstreamId) override {}
    void tell(std::optional<int>, std::string_view) override {}
    void log(std::string_view) override {}
};

}  // namespace

void check_settings(const Settings& settings) {
    Nobody nobody;
    Policy(settings, 0, Time{}, nobody);
}

class Engine::Impl {
public:
    Impl(const loop::Executor& executor, core::Log& log, EngineOptions options)
        : executor_(executor),
          log_(log),
          config_(std::move(options.config)),
          operators_(std::move(options.operators)),
          open_calls_(options.open_calls),
          keep_taking_(options.keep_taking),
          on_operators_(std::move(options.on_operators)),
          sockets_(sockets_of(config_)),
          for_clients_(options.listens ? part(sockets_, operators_.get(settings::http::client_share)) : 0),
          alarm_(executor, clock_),
          door_alarm_(executor, clock_),
          budgets_(make_budgets(executor, log, config_, operators_)),
          core_(clock_, alarm_, log, core_options(operators_, open_calls_, budgets_.get())),
          budget_{sockets_ - for_clients_, 0},
          back_(executor, core_, clock_, budget_, back_options()),
          timer_(executor) {
        alarm_.on_due([this] { core_.on_alarm(); });
        if (operators_.given("store")) {
            auto its = Keeper::options_of(operators_);
            its.open_folder = std::move(options.open_folder);
            keeper_ = std::make_unique<Keeper>(
                executor, log_, clock_, std::move(its),
                recovery::History{loop::text_of(config_.discovery), pool_name, config_.name});
            config_.known = keeper_->begin(std::move(config_.known), config_.settings);
        }
        if (options.asks_roster) {
            roster_ = std::make_unique<membership::Roster>(
                executor, log, config_.discovery, config_.names, !config_.settings.must_ask_list,
                config_.seed, [this](core::MemberList list) { take_list(std::move(list)); });
            roster_->start_from(config_.known.version);
        }
        pool_ = core_.add_pool({pool_name, config_.settings, config_.seed}, back_, roster_.get());
        core_.on_list(pool_, std::move(config_.known));
        if (keeper_)
            keeper_->remember([this](UpstreamId upstream) { return core_.learned(pool_, upstream); });
        if (options.listens) {
            handler_ = std::make_unique<http::PlatformHandler>(core_, pool_);
            if (operators_.given("door")) {
                doorway_ = std::make_unique<Doorway>(door::Gate::World{core_, clock_, door_alarm_}, log_,
                                                     *handler_, config_.settings, operators_, config_.seed);
                door_alarm_.on_due([this] { doorway_->gate().on_alarm(); });
            }
            http::Handler& handler = doorway_ ? static_cast<http::Handler&>(*doorway_) : *handler_;
            front_ = std::make_unique<http::Front>(
                executor, core_, handler, clock_, front_limits(operators_, sockets_, for_clients_),
                http::Front::MakeChannel{}, doorway_ ? &doorway_->gate() : nullptr);
        }
        begin_sides(options.sides);
        use_operators();
        if (budgets_) budgets_->start();
        if (roster_ && !config_.settings.must_ask_list) roster_->watch();
        if (!front_) return;
        front_->listen(config_.listen);
        log_.tell(log::events::listening, loop::text_of(front_->address()));
    }

    ~Impl() {
        front_.reset();  // it leaves what is open
        sides_.clear();
        core_.remove_pool(pool_);
    }

    std::optional<loop::tcp::endpoint> address() const {
        return front_ ? std::optional(front_->address()) : std::nullopt;
    }
    core::Core& core() { return core_; }
    core::PoolId pool() const { return pool_; }
    const Config& config() const { return config_; }

    void reconfigure(const Config& config) {
        if (drained_) return;
        if (config.settings != config_.settings || config.report_fields != config_.report_fields) {
            // What waits at the door goes by the new numbers before any of it can be handed over.
            if (doorway_) {
                check_settings(config.settings);
                doorway_->change(config.settings, operators_);
            }
            core_.change_pool(pool_, config.settings);
            config_.settings = config.settings;
            config_.report_fields = config.report_fields;
            back_.set_options(back_options());
            log_.tell(log::events::settings_taken);
        }
        if (!roster_) return log_.tell(log::events::configuration_taken);
        log_.tell(log::events::discovery_taken, loop::text_of(config.discovery));
        roster_->move_to(config.discovery);
        if (keeper_) keeper_->move_to(loop::text_of(config.discovery));
    }

    bool set_operators(const settings::Values& wanted) {
        if (drained_) return true;
        auto change = settings::reload(operators_, wanted);
        if (const auto* faults = std::get_if<settings::Faults>(&change)) {
            log_.tell(log::events::operators_contradict, faults->first().front().what);
            return false;
        }
        auto& reload = std::get<settings::Reload>(change);
        for (const auto& each : reload.taken)
            log_.tell(log::events::operators_taken, settings::line_of(each));
        for (const auto& each : reload.held) {
            log_.tell(log::events::operators_held, settings::line_of(each));
        }
        operators_ = std::move(reload.values);
        use_operators();
        if (doorway_) doorway_->change(config_.settings, operators_);
        bool all = true;
        for (const auto& side : sides_) all = side->change(operators_) && all;
        return all;
    }

    void take_list(core::MemberList list) {
        if (keeper_) keeper_->on_list(list);
        core_.on_list(pool_, std::move(list));
    }

    void drain(std::function<void()> drained) {
        if (draining_) return;
        draining_ = true;
        on_drained_ = std::move(drained);
        log_.tell(log::events::draining);
        Micros longest{};
        for (const auto& c : config_.settings.classes) longest = std::max(longest, c.deadline);
        for (const auto& side : sides_) longest = std::max(longest, side->longest_deadline());
        const Micros keep_accepting = front_ ? keep_accepting_ : keep_taking_;
        if (front_) front_->begin_drain();
        if (doorway_) doorway_->gate().begin_drain();
        for (const auto& side : sides_) side->begin_drain();
        drain_end_ = clock_.now() + keep_accepting + longest + end_slack_;
        wind_down_after(keep_accepting);
    }

    bool drained() const { return drained_; }
    core::Figures figures() const { return core_.figures(); }
    std::optional<door::Figures> door() const {
        return doorway_ ? std::optional(doorway_->gate().figures()) : std::nullopt;
    }
    std::size_t servers() const { return back_.known(); }
    std::size_t connections() const { return budget_.open + (front_ ? front_->figures().connections : 0); }

private:
    http::BackOptions back_options() const {
        return {config_.settings.connect_timeout, config_.settings.idle_close, config_.report_fields};
    }

    void use_operators() {
        if (front_) front_->set_limits(front_limits(operators_, sockets_, for_clients_));
        if (roster_) roster_->set_limits(roster_limits(operators_));
        core_.set_own_limit(core_options(operators_, open_calls_, nullptr).own_limit);
        keep_accepting_ = operators_.get(settings::drain::keep_accepting);
        end_slack_ = operators_.get(settings::drain::end_slack);
        if (on_operators_) on_operators_(operators_);
    }

    void begin_sides(const std::vector<SideMaker>& makers) {
        for (const SideMaker& maker : makers) {
            if (!operators_.given(maker.table)) continue;
            sides_.push_back(maker.make({executor_, core_, clock_, log_, operators_, config_.seed}));
        }
        // Guards against a table that is thought to do something and does not.
        if (operators_.given("door") && !doorway_)
            throw std::invalid_argument("[door] is served by the daemon only");
        for (const char* const table : {"postgres", "gateway"}) {
            const bool served =
                std::any_of(makers.begin(), makers.end(), [&](const auto& m) { return m.table == table; });
            if (operators_.given(table) && !served)
                throw std::invalid_argument("[" + std::string(table) + "] is served by the daemon only");
        }
    }

    void wind_down_after(Micros wait) {
        timer_.expires_after(wait);
        timer_.async_wait(alive_.guard([this](error_code error) {
            if (!error) wind_down();
        }));
    }

    // Guards against a request lost at the end: one that is half here, or not yet read, is taken and answered
    // too. A client that never ends its own is not waited for beyond the longest deadline.
    void wind_down() {
        bool others = (front_ && front_->wind_down()) || core_.figures().waiting > 0;
        for (const auto& side : sides_) others = side->wind_down() || others;
        if (others && clock_.now() < drain_end_) return wind_down_after(drain_poll);
        drained_ = true;
        log_.tell(log::events::drained);
        if (roster_) roster_->stop();
        core_.close();
        if (doorway_) {
            doorway_->gate().stop();
            doorway_->tell();
        }
        // What was learned is asked for while the pool is there.
        const auto end = [this] {
            if (on_drained_) on_drained_();
        };
        if (keeper_) keeper_->finish(end);
        core_.remove_pool(pool_);  // answers all that is still open, while there is a front to tell it
        if (front_) front_->stop();
        for (const auto& side : sides_) side->stop();
        if (budgets_) budgets_->leave();
        if (!keeper_) end();
    }

    const loop::Executor executor_;
    core::Log& log_;
    Config config_;
    settings::Values operators_;
    const std::size_t open_calls_;
    const Micros keep_taking_;
    const std::function<void(const settings::Values&)> on_operators_;
    const std::size_t sockets_;  // for clients and upstreams
    const std::size_t for_clients_;
    Micros keep_accepting_{};
    Micros end_slack_{};
    loop::Clock clock_;
    loop::Alarm alarm_, door_alarm_;
    std::unique_ptr<Budgets> budgets_;  // with [budget]
    core::Core core_;
    http::ConnectionBudget budget_;
    http::Back back_;
    std::unique_ptr<Keeper> keeper_;
    std::unique_ptr<membership::Roster> roster_;
    core::PoolId pool_ = 0;
    std::unique_ptr<http::PlatformHandler> handler_;
    std::unique_ptr<Doorway> doorway_;  // with [door]
    std::unique_ptr<http::Front> front_;
    std::vector<std::unique_ptr<Side>> sides_;
    boost::asio::steady_timer timer_;
    bool draining_ = false;
    Time drain_end_{};
    bool drained_ = false;
    std::function<void()> on_drained_;
    loop::Alive alive_;
};

Engine::Engine(const loop::Executor& executor, core::Log& log, EngineOptions options)
    : impl_(std::make_unique<Impl>(executor, log, std::move(options))) {}
Engine::~Engine() = default;

std::optional<loop::tcp::endpoint> Engine::address() const { return impl_->address(); }
core::Core& Engine::core() { return impl_->core(); }
core::PoolId Engine::pool() const { return impl_->pool(); }
const Config& Engine::config() const { return impl_->config(); }
void Engine::reconfigure(const Config& config) { impl_->reconfigure(config); }
bool Engine::set_operators(const settings::Values& wanted) { return impl_->set_operators(wanted); }
void Engine::take_list(core::MemberList list) { impl_->take_list(std::move(list)); }
void Engine::drain(std::function<void()> drained) { impl_->drain(std::move(drained)); }
bool Engine::drained() const { return impl_->drained(); }
core::Figures Engine::figures() const { return impl_->figures(); }
std::optional<door::Figures> Engine::door() const { return impl_->door(); }
std::size_t Engine::servers() const { return impl_->servers(); }
std::size_t Engine::connections() const { return impl_->connections(); }

}  // namespace flaxdoor::engine
