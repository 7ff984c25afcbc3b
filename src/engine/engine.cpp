#include "engine/engine.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

#include "engine/admission_queue_handler.h"
#include "engine/budgets.h"
#include "engine/extension.h"
#include "engine/memory_guard.h"
#include "engine/warm_restart.h"
#include "http/listener.h"
#include "http/platform_handler.h"
#include "http/upstream_connection_pool.h"
#include "log/events.h"
#include "loop/alarm.h"
#include "loop/lifetime_guard.h"
#include "membership/discovery_client.h"
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
constexpr auto drain_poll_interval = std::chrono::milliseconds(10);
// File descriptors reserved for everything except connections to clients and upstreams.
constexpr std::size_t reserved_sockets = 32;

// Returns how many connections to clients and upstreams may be open.
std::size_t connection_limit(const Config& config) {
    return std::max<std::size_t>(config.sockets, reserved_sockets + 4) - reserved_sockets;
}

std::size_t fraction_of(std::size_t sockets, double fraction) {
    return static_cast<std::size_t>(static_cast<double>(sockets) * fraction);
}

http::ListenerLimits front_limits(const settings::Values& operators, std::size_t sockets,
                                  std::size_t max_client_connections) {
    namespace keys = settings::http;
    http::ListenerLimits limits;
    limits.max_connections = max_client_connections;
    limits.max_keepalive_connections = fraction_of(sockets, operators.get(keys::keepalive_share));
    limits.request_timeout = operators.get(keys::request_timeout);
    limits.idle_timeout = operators.get(keys::idle_timeout);
    limits.crowded_idle_timeout = operators.get(keys::idle_timeout_crowded);
    limits.response_write_timeout = operators.get(keys::send_timeout);
    limits.linger_timeout = operators.get(keys::linger_timeout);
    limits.linger_bytes = static_cast<std::size_t>(operators.get(keys::linger_bytes).count);
    return limits;
}

core::Options core_options(const settings::Values& operators, std::size_t open_calls, FleetBudgets* budgets) {
    core::Options options;
    if (budgets) options.admission = &budgets->admission();
    options.open_calls = open_calls;
    if (open_calls == 0) {
        options.open_calls = static_cast<std::size_t>(operators.get(settings::core::max_open_calls));
    }
    options.refuse_unknown_tenants =
        operators.get(settings::core::unknown_tenants) == settings::core::UnknownTenants::refuse;
    options.default_timeout = operators.get(settings::core::default_deadline);
    return options;
}

membership::DiscoveryLimits discovery_limits(const settings::Values& operators) {
    membership::DiscoveryLimits limits;
    limits.max_line_size =
        static_cast<std::size_t>(operators.get(settings::membership::max_line_bytes).count);
    limits.answer = operators.get(settings::membership::answer_timeout);
    limits.silence = operators.get(settings::membership::silence_timeout);
    return limits;
}

// Ignores all actions: it is used only to construct a Policy, which validates the settings.
class NullActions final : public Actions {
    void submit(RequestId, UpstreamId, Micros) override {}
    void reject(RequestId, Micros) override {}
    void fail(RequestId) override {}
    void cancel(RequestId, int) override {}
    void probe(UpstreamId) override {}
    void set_timer(Time, std::uint64_t) override {}
    void watch() override {}
    void unwatch() override {}
    void fetch() override {}
    void close_idle(UpstreamId) override {}
    void send_to_peer(std::optional<int>, std::string_view) override {}
    void log(std::string_view) override {}
};

}  // namespace

void check_settings(const Settings& settings) {
    NullActions actions;
    Policy(settings, 0, Time{}, actions);
}

class Engine::Impl {
public:
    Impl(const loop::Executor& executor, core::Log& log, EngineOptions options)
        : executor_(executor),
          log_(log),
          config_(std::move(options.config)),
          operators_(std::move(options.operator_settings)),
          open_calls_(options.max_open_calls),
          keep_taking_(options.keep_accepting),
          on_operators_(std::move(options.on_operator_settings)),
          max_connections_(connection_limit(config_)),
          max_client_connections_(
              options.listens ? fraction_of(max_connections_, operators_.get(settings::http::client_share))
                              : 0),
          alarm_(executor, clock_),
          queue_alarm_(executor, clock_),
          budgets_(make_fleet_budgets(executor, log, config_, operators_)),
          core_(clock_, alarm_, log, core_options(operators_, open_calls_, budgets_.get())),
          connection_budget_{max_connections_ - max_client_connections_, 0},
          upstream_connections_(executor, core_, clock_, connection_budget_, upstream_options(), &memory_),
          memory_guard_(executor, log, memory_),
          drain_timer_(executor) {
        alarm_.on_due([this] { core_.on_alarm(); });
        if (operators_.given("store")) {
            auto warm_restart_options = WarmRestart::options_of(operators_);
            warm_restart_options.open_folder = std::move(options.open_folder);
            warm_restart_ = std::make_unique<WarmRestart>(
                executor, log_, clock_, std::move(warm_restart_options),
                recovery::ListOrigin{loop::text_of(config_.discovery), pool_name, config_.name});
            config_.known = warm_restart_->restore(std::move(config_.known), config_.settings);
        }
        if (options.uses_discovery) {
            discovery_ = std::make_unique<membership::DiscoveryClient>(
                executor, log, config_.discovery, config_.names, !config_.settings.must_request_list,
                config_.seed, [this](core::MemberList list) { apply_list(std::move(list)); });
            discovery_->start_from(config_.known.version);
        }
        pool_ = core_.add_pool({pool_name, config_.settings, config_.seed}, upstream_connections_,
                               discovery_.get());
        core_.on_list(pool_, std::move(config_.known));
        if (warm_restart_)
            warm_restart_->start_recording(
                [this](UpstreamId upstream) { return core_.learned_state(pool_, upstream); });
        if (options.listens) {
            handler_ = std::make_unique<http::PlatformHandler>(core_, pool_);
            if (operators_.given("door")) {
                queue_ = std::make_unique<AdmissionQueueHandler>(
                    door::QueuedCallAcceptor::Dependencies{core_, clock_, queue_alarm_}, log_, *handler_,
                    config_.settings, operators_, config_.seed);
                queue_alarm_.on_due([this] { queue_->gate().on_alarm(); });
            }
            http::Handler& handler = queue_ ? static_cast<http::Handler&>(*queue_) : *handler_;
            listener_ = std::make_unique<http::Listener>(
                executor, core_, handler, clock_,
                front_limits(operators_, max_connections_, max_client_connections_),
                http::Listener::MakeChannel{}, queue_ ? &queue_->gate() : nullptr, &memory_);
        }
        create_sides(options.extensions);
        apply_operators();
        memory_guard_.set_allowed(config_.memory_bytes);
        if (budgets_) budgets_->start();
        if (discovery_ && !config_.settings.must_request_list) discovery_->watch();
        if (!listener_) return;
        listener_->listen(config_.listen);
        log_.write(log::events::listening, loop::text_of(listener_->address()));
    }

    ~Impl() {
        listener_.reset();  // abandons the open calls
        sides_.clear();
        core_.remove_pool(pool_);
    }

    std::optional<loop::tcp::endpoint> address() const {
        return listener_ ? std::optional(listener_->address()) : std::nullopt;
    }
    core::Core& core() { return core_; }
    core::PoolId pool() const { return pool_; }
    const Config& config() const { return config_; }

    void reconfigure(const Config& config) {
        if (drained_) return;
        config_.memory_bytes = config.memory_bytes;
        memory_guard_.set_allowed(config_.memory_bytes);
        if (config.settings != config_.settings || config.report_fields != config_.report_fields) {
            // The admission queue applies the new settings first, because it must not pass a queued call to the core with
            // the indexes of the old ones.
            if (queue_) {
                check_settings(config.settings);
                queue_->apply_settings(config.settings, operators_);
            }
            core_.change_pool(pool_, config.settings);
            config_.settings = config.settings;
            config_.report_fields = config.report_fields;
            upstream_connections_.set_options(upstream_options());
            log_.write(log::events::settings_taken);
        }
        if (!discovery_) return log_.write(log::events::configuration_taken);
        log_.write(log::events::discovery_taken, loop::text_of(config.discovery));
        discovery_->move_to(config.discovery);
        if (warm_restart_) warm_restart_->set_discovery(loop::text_of(config.discovery));
    }

    bool apply_operator_settings(const settings::Values& wanted) {
        if (drained_) return true;
        auto change = settings::reload(operators_, wanted);
        if (const auto* faults = std::get_if<settings::Faults>(&change)) {
            log_.write(log::events::operators_contradict, faults->first().front().what);
            return false;
        }
        auto& reload = std::get<settings::Reload>(change);
        for (const auto& each : reload.taken)
            log_.write(log::events::operators_taken, settings::line_of(each));
        for (const auto& each : reload.held) {
            log_.write(log::events::operators_held, settings::line_of(each));
        }
        operators_ = std::move(reload.values);
        apply_operators();
        if (queue_) queue_->apply_settings(config_.settings, operators_);
        bool all_applied = true;
        for (const auto& side : sides_) all_applied = side->apply_settings(operators_) && all_applied;
        return all_applied;
    }

    void apply_list(core::MemberList list) {
        if (warm_restart_) warm_restart_->on_list(list);
        core_.on_list(pool_, std::move(list));
    }

    void drain(std::function<void()> drained) {
        if (draining_) return;
        draining_ = true;
        on_drained_ = std::move(drained);
        log_.write(log::events::draining);
        Micros longest_deadline{};
        for (const auto& call_class : config_.settings.classes)
            longest_deadline = std::max(longest_deadline, call_class.deadline);
        for (const auto& side : sides_)
            longest_deadline = std::max(longest_deadline, side->longest_deadline());
        const Micros keep_accepting = listener_ ? keep_accepting_ : keep_taking_;
        if (listener_) listener_->begin_drain();
        if (queue_) queue_->gate().begin_drain();
        for (const auto& side : sides_) side->begin_drain();
        drain_end_ = clock_.now() + keep_accepting + longest_deadline + end_slack_;
        finish_drain_after(keep_accepting);
    }

    bool drained() const { return drained_; }
    core::Stats figures() const { return core_.figures(); }
    std::optional<door::Figures> admission_queue_figures() const {
        return queue_ ? std::optional(queue_->gate().figures()) : std::nullopt;
    }
    std::size_t upstreams() const { return upstream_connections_.known(); }
    std::size_t connections() const {
        return connection_budget_.open + (listener_ ? listener_->figures().connections : 0);
    }

private:
    http::ConnectionPoolOptions upstream_options() const {
        return {config_.settings.connect_timeout, config_.settings.idle_close, config_.report_fields};
    }

    void apply_operators() {
        if (listener_)
            listener_->set_limits(front_limits(operators_, max_connections_, max_client_connections_));
        if (discovery_) discovery_->set_limits(discovery_limits(operators_));
        core_.set_default_timeout(core_options(operators_, open_calls_, nullptr).default_timeout);
        keep_accepting_ = operators_.get(settings::drain::keep_accepting);
        end_slack_ = operators_.get(settings::drain::end_slack);
        if (on_operators_) on_operators_(operators_);
    }

    void create_sides(const std::vector<ExtensionFactory>& makers) {
        for (const ExtensionFactory& maker : makers) {
            if (!operators_.given(maker.table)) continue;
            sides_.push_back(
                maker.make({executor_, core_, clock_, log_, operators_, config_.seed, &memory_}));
        }
        // Rejects tables that this process would ignore: the operator would believe them to be in effect.
        if (operators_.given("door") && !queue_)
            throw std::invalid_argument("[door] is served by the daemon only");
        for (const char* const table : {"postgres", "gateway"}) {
            const bool served = std::any_of(makers.begin(), makers.end(),
                                            [&](const auto& maker) { return maker.table == table; });
            if (operators_.given(table) && !served)
                throw std::invalid_argument("[" + std::string(table) + "] is served by the daemon only");
        }
    }

    void finish_drain_after(Micros delay) {
        drain_timer_.expires_after(delay);
        drain_timer_.async_wait(alive_.wrap([this](error_code error) {
            if (!error) finish_drain();
        }));
    }

    // Ends the drain when no request is open. A request that is partly received or not yet read is still accepted and
    // answered, so that none is lost at the end. A client that never completes its request is waited for no longer than the
    // longest deadline.
    void finish_drain() {
        bool busy = (listener_ && listener_->drain_connections()) || core_.figures().waiting > 0;
        for (const auto& side : sides_) busy = side->finish_drain() || busy;
        if (busy && clock_.now() < drain_end_) return finish_drain_after(drain_poll_interval);
        drained_ = true;
        log_.write(log::events::drained);
        if (discovery_) discovery_->stop();
        core_.close();
        if (queue_) {
            queue_->gate().stop();
            queue_->log_figures();
        }
        // The warm restart reads the learned state here, while the pool still exists.
        const auto on_finished = [this] {
            if (on_drained_) on_drained_();
        };
        if (warm_restart_) warm_restart_->finish(on_finished);
        core_.remove_pool(pool_);  // answers the calls that are still open, while the listener still exists
        if (listener_) listener_->stop();
        for (const auto& side : sides_) side->stop();
        if (budgets_) budgets_->leave();
        if (!warm_restart_) on_finished();
    }

    const loop::Executor executor_;
    core::Log& log_;
    Config config_;
    settings::Values operators_;
    const std::size_t open_calls_;
    const Micros keep_taking_;
    const std::function<void(const settings::Values&)> on_operators_;
    const std::size_t max_connections_;  // to clients and upstreams
    const std::size_t max_client_connections_;
    Micros keep_accepting_{};
    Micros end_slack_{};
    loop::Clock clock_;
    overload::MemoryBudget memory_;  // outlives all that it counts
    loop::Alarm alarm_, queue_alarm_;
    std::unique_ptr<FleetBudgets> budgets_;  // with [budget]
    core::Core core_;
    http::ConnectionLimit connection_budget_;
    http::UpstreamConnectionPool upstream_connections_;
    std::unique_ptr<WarmRestart> warm_restart_;
    std::unique_ptr<membership::DiscoveryClient> discovery_;
    core::PoolId pool_ = 0;
    std::unique_ptr<http::PlatformHandler> handler_;
    std::unique_ptr<AdmissionQueueHandler> queue_;  // with [door]
    std::unique_ptr<http::Listener> listener_;
    std::vector<std::unique_ptr<Extension>> sides_;
    MemoryGuard memory_guard_;
    boost::asio::steady_timer drain_timer_;
    bool draining_ = false;
    Time drain_end_{};
    bool drained_ = false;
    std::function<void()> on_drained_;
    loop::LifetimeGuard alive_;
};

Engine::Engine(const loop::Executor& executor, core::Log& log, EngineOptions options)
    : impl_(std::make_unique<Impl>(executor, log, std::move(options))) {}
Engine::~Engine() = default;

std::optional<loop::tcp::endpoint> Engine::address() const { return impl_->address(); }
core::Core& Engine::core() { return impl_->core(); }
core::PoolId Engine::pool() const { return impl_->pool(); }
const Config& Engine::config() const { return impl_->config(); }
void Engine::reconfigure(const Config& config) { impl_->reconfigure(config); }
bool Engine::apply_operator_settings(const settings::Values& wanted) {
    return impl_->apply_operator_settings(wanted);
}
void Engine::apply_list(core::MemberList list) { impl_->apply_list(std::move(list)); }
void Engine::drain(std::function<void()> drained) { impl_->drain(std::move(drained)); }
bool Engine::drained() const { return impl_->drained(); }
core::Stats Engine::figures() const { return impl_->figures(); }
std::optional<door::Figures> Engine::admission_queue_figures() const {
    return impl_->admission_queue_figures();
}
std::size_t Engine::upstreams() const { return impl_->upstreams(); }
std::size_t Engine::connections() const { return impl_->connections(); }

}  // namespace flaxdoor::engine
