#include "ingress/runtime.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <unordered_map>

#include "core/latency_floor.h"
#include "http/calls.h"
#include "ingress/router.h"
#include "log/events.h"
#include "loop/lifetime_guard.h"
#include "loop/sockets.h"

namespace flaxdoor::ingress {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr auto sweep_interval = std::chrono::milliseconds(10);
constexpr std::size_t max_retry_budgets = 4096;  // above this number, budgets of removed routes are discarded
constexpr double random_scale = 9007199254740992.0;  // 2^53

class TlsChannel final : public http::Channel {
public:
    explicit TlsChannel(std::shared_ptr<const tls::Context> context) : channel_(std::move(context)) {}
    bool receive(std::string_view bytes) override { return channel_.receive(bytes); }
    std::string take_plain() override { return channel_.take_plain(); }
    void send(std::string_view plain) override { channel_.send(plain); }
    std::string_view output() override { return channel_.output(); }
    void wrote(std::size_t bytes) override { channel_.wrote(bytes); }
    void finish() override { channel_.finish(); }
    std::string server_name() const override { return channel_.server_name(); }

private:
    tls::Channel channel_;
};

std::string name_of(const routes::CallClass& call) {
    using Kind = routes::CallClass::Kind;
    const char* const kind = call.kind == Kind::safe ? "safe" : call.kind == Kind::keyed ? "keyed" : "unsafe";
    return std::string(kind) + " " + std::to_string(call.aim.count()) + " " +
           std::to_string(call.deadline.count()) + " " + std::to_string(call.window.count()) + " " +
           std::to_string(call.worth);
}

ClassSettings settings_of(const routes::CallClass& call) {
    using Kind = routes::CallClass::Kind;
    ClassSettings out;
    out.name = name_of(call);
    out.aim = call.aim;
    out.deadline = call.deadline;
    out.worth = call.worth;
    out.effect = call.kind == Kind::safe    ? Effect::safe
                 : call.kind == Kind::keyed ? Effect::keyed
                                            : Effect::unsafe;
    out.window = call.window;
    return out;
}

// Applies the retry limits of a route to one request.
class RouteRetryGate final : public core::RetryAdmission {
public:
    RouteRetryGate(routes::RetryLimit limit, std::shared_ptr<routes::RetryBudget> budget)
        : limit_(limit), left_(limit.attempts.value_or(0)), budget_(std::move(budget)) {}

    bool allow(Time now) override {
        if (limit_.attempts && left_-- <= 0) return false;
        return !budget_ || budget_->try_acquire(now, limit_);
    }

private:
    const routes::RetryLimit limit_;
    int left_;
    const std::shared_ptr<routes::RetryBudget> budget_;
};

}  // namespace

class Runtime::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(const loop::Executor& executor, core::Core& core, const loop::Clock& clock, core::Log& log,
         RuntimeOptions options, OnPorts on_ports)
        : executor_(executor),
          core_(core),
          clock_(clock),
          log_(log),
          options_(std::move(options)),
          on_ports_(std::move(on_ports)),
          connection_budget_{options_.max_servers, 0},
          reopen_timer_(executor),
          sweep_timer_(executor),
          random_(options_.seed | 1) {}

    void apply(Change change) {
        if (stopped_) return;
        const Time began = clock_.now();
        for (PoolChange& each : change.pools) update_pool(std::move(each));
        for (const std::string& key : change.gone) retire_pool(key);
        if (change.ports) apply_ports(std::move(change.ports));
        sweep();
        ++figures_.changes;
        figures_.longest_change = std::max(figures_.longest_change, clock_.now() - began);
    }

    void set_options(const RuntimeOptions& options) {
        options_.clients = options.clients;
        options_.max_servers = options.max_servers;
        options_.settings = options.settings;
        connection_budget_.max_open = options_.max_servers;
        for (const auto& [port, listener] : listeners_) {
            if (listener->http_listener) listener->http_listener->set_limits(limits());
        }
        for (auto& [key, pool] : pools_) {
            core_.change_pool(pool->id, settings_of_pool(*pool));
            pool->upstream_connections->set_options(connection_options(pool->classes));
        }
    }

    void begin_drain() {
        draining_ = true;
        for (const auto& [port, listener] : listeners_) {
            if (listener->http_listener) listener->http_listener->begin_drain();
        }
    }

    bool wind_down() {
        draining_ = true;
        bool others = !closing_listeners_.empty();
        for (const auto& [port, listener] : listeners_) {
            if (listener->http_listener) others = listener->http_listener->drain_connections() || others;
        }
        return others;
    }

    void stop() {
        if (stopped_) return;
        stopped_ = true;
        reopen_timer_.cancel();
        sweep_timer_.cancel();
        // Answers the requests that are still open, while the listeners still exist.
        for (auto& [key, pool] : pools_) core_.remove_pool(pool->id);
        for (auto& pool : removed_pools_) core_.remove_pool(pool->id);
        for (const auto& [port, listener] : listeners_) {
            if (listener->http_listener) listener->http_listener->stop();
        }
        for (const auto& listener : closing_listeners_) listener->http_listener->stop();
        listeners_.clear();
        closing_listeners_.clear();
        pools_.clear();
        removed_pools_.clear();
        current_ports_.reset();
    }

    std::optional<loop::tcp::endpoint> address(std::uint16_t port) const {
        const auto found = listeners_.find(port);
        if (found == listeners_.end() || !found->second->http_listener) return std::nullopt;
        return found->second->http_listener->address();
    }

    Micros longest_deadline() const {
        Micros longest{};
        const auto add = [&longest](const Pool& pool) {
            for (const auto& each : pool.classes) longest = std::max(longest, each.deadline);
        };
        for (const auto& [key, pool] : pools_) add(*pool);
        for (const auto& pool : removed_pools_) add(*pool);  // their last requests are still open
        return longest;
    }

    RuntimeFigures figures() const {
        RuntimeFigures out = figures_;
        for (const auto& [port, listener] : listeners_) {
            if (!listener->http_listener) continue;
            ++out.listeners;
            out.clients += listener->http_listener->figures().connections;
        }
        out.pools = pools_.size();
        out.retired = removed_pools_.size();
        for (const auto& [key, pool] : pools_) {
            out.servers += pool->servers.size();
            out.idle_connections += pool->upstream_connections->idle();
        }
        return out;
    }

private:
    struct Pool {
        std::string key;
        core::PoolId id = 0;
        std::unique_ptr<http::UpstreamConnectionPool> upstream_connections;
        std::vector<routes::CallClass> classes;
        std::map<UpstreamId, Server> servers;
        std::size_t ready = 0;  // number of servers that are not draining
        std::vector<std::string> zones;
        std::size_t open = 0;  // requests without a response yet
        bool listed = false;   // the first list was sent to the core
        std::uint64_t version = 0;
    };
    using PoolRef = std::shared_ptr<Pool>;

    // State of a forwarded request until its response.
    struct RoutedRequest final : http::RequestContext {
        RoutedRequest(std::shared_ptr<Impl> runtime, Routed destination, PoolRef target_pool)
            : owner(std::move(runtime)), routed(std::move(destination)), pool(std::move(target_pool)) {
            ++pool->open;
        }
        ~RoutedRequest() override {
            --pool->open;
            if (pool->open == 0 && !owner->removed_pools_.empty()) owner->schedule_sweep();
        }
        const std::shared_ptr<Impl> owner;
        Routed routed;
        const PoolRef pool;
    };

    // One port, and the handler of its HTTP listener.
    struct Listener final : http::Handler {
        Listener(Impl& runtime, std::uint16_t port_number) : owner(runtime), port(port_number) {}

        std::variant<LocalResponse, Forward> on_request(http::Request message,
                                                        const ConnectionInfo& from) override {
            return owner.on_request(*this, std::move(message), from);
        }
        http::Response on_final(core::FinalAnswer final, http::RequestContext* asked) override {
            return client_response(std::move(final), static_cast<RoutedRequest*>(asked)->routed);
        }
        LocalResponse on_call_rejected(core::AcceptResult, http::RequestContext*) override {
            return {unavailable_response({}), false};
        }

        Impl& owner;
        const std::uint16_t port;
        std::shared_ptr<const tls::Context> tls;
        bool has_tls = false;
        std::shared_ptr<const routes::Table> table;
        std::string fault;  // why the port is not open; empty: it is open
        std::unique_ptr<http::Listener> http_listener;
    };

    http::ListenerLimits limits() const {
        http::ListenerLimits out = options_.clients;
        out.max_body_bytes = options_.body;
        return out;
    }
    http::ConnectionPoolOptions connection_options(const std::vector<routes::CallClass>& classes) const {
        http::ConnectionPoolOptions out;
        Micros aim = std::chrono::seconds(1);
        for (const auto& each : classes) aim = std::min(aim, each.aim);
        out.latency_floor =
            core::latency_floor(aim, static_cast<std::size_t>(options_.settings.min_in_flight_per_upstream));
        out.connect_timeout = options_.settings.connect_timeout;
        out.upstream_idle_timeout = options_.settings.idle_close;
        out.classify_response = classify_response;
        out.keep_error_responses = true;
        out.max_body_bytes = options_.body;
        return out;
    }

    double chance() {
        // xorshift64*. The choice of a backend by weight needs no secure random numbers.
        random_ ^= random_ >> 12;
        random_ ^= random_ << 25;
        random_ ^= random_ >> 27;
        return static_cast<double>((random_ * 2685821657736338717ull) >> 11) / random_scale;
    }

    // ------------------------------------------------------------------------------------------- Requests

    std::variant<http::Handler::LocalResponse, http::Handler::Forward> on_request(
        Listener& listener, http::Request message, const http::Handler::ConnectionInfo& from) {
        ClientConnection client;
        client.scheme = from.tls ? "https" : "http";
        client.server_name = from.server_name;
        client.port = listener.port;
        if (const auto peer = from.peer(); peer.port() != 0) client.peer = peer.address().to_string();
        auto destination = route(listener.table, std::move(message), client, chance());
        if (auto* const local_response = std::get_if<http::Response>(&destination)) {
            ++figures_.told;
            return http::Handler::LocalResponse{std::move(*local_response), false};
        }
        Routed routed = std::get<Routed>(std::move(destination));
        const auto found = pools_.find(routed.backend->pool);
        if (found == pools_.end() || found->second->ready == 0) {
            ++figures_.told;
            ++figures_.unready;
            return http::Handler::LocalResponse{unavailable_response({}), false};
        }
        const PoolRef& pool = found->second;
        const auto class_entry = std::find(pool->classes.begin(), pool->classes.end(), routed.call);
        if (class_entry == pool->classes.end())
            return http::Handler::LocalResponse{unavailable_response({}), false};
        core::Call call;
        call.pool = pool->id;
        call.class_index = static_cast<int>(class_entry - pool->classes.begin());
        call.budget = routed.budget;
        call.network_allowance = http::client_network_allowance;
        call.attempt_limit = routed.rule->backend_timeout;
        call.retries = retry_gate(routed);
        call.payload = routed.payload;
        ++figures_.routed;
        return http::Handler::Forward{
            std::move(call), std::make_unique<RoutedRequest>(shared_from_this(), std::move(routed), pool)};
    }

    std::shared_ptr<core::RetryAdmission> retry_gate(const Routed& routed) {
        const routes::RetryLimit& limit = routed.rule->retries;
        std::shared_ptr<routes::RetryBudget> budget;
        if (limit.share) {
            auto& held = budgets_[routed.route->name];
            if (!held) held = std::make_shared<routes::RetryBudget>();
            held->on_request(clock_.now());
            budget = held;
        }
        if (!limit.attempts && !budget) return nullptr;
        return std::make_shared<RouteRetryGate>(limit, std::move(budget));
    }

    // ---------------------------------------------------------------------------------------------- Pools

    Settings settings_of_pool(const Pool& pool) const {
        Settings out = options_.settings;
        out.classes.clear();
        for (const auto& each : pool.classes) out.classes.push_back(settings_of(each));
        out.zone = 0;
        out.zones = static_cast<int>(std::max<std::size_t>(pool.zones.size(), 1));
        return out;
    }

    // Returns the number of a zone. Zone 0 is the balancer's own; the other zones keep the number assigned
    // first.
    static int zone_of(Pool& pool, const std::string& name) {
        const auto found = std::find(pool.zones.begin(), pool.zones.end(), name);
        if (found != pool.zones.end()) return static_cast<int>(found - pool.zones.begin());
        pool.zones.push_back(name);
        return static_cast<int>(pool.zones.size() - 1);
    }

    void update_pool(PoolChange change) {
        PoolRef& pool = pools_[change.key];
        const bool is_new = !pool;
        if (is_new) {
            pool = std::make_shared<Pool>();
            pool->key = change.key;
            pool->zones.push_back(options_.zone);
            pool->upstream_connections = std::make_unique<http::UpstreamConnectionPool>(
                executor_, core_, clock_, connection_budget_, connection_options(change.classes),
                options_.memory);
        }
        const std::size_t zones = pool->zones.size();
        const bool classes_changed = pool->classes != change.classes;
        if (!change.classes.empty()) pool->classes = std::move(change.classes);
        core::MemberList list = member_changes(*pool, change.servers);
        if (is_new) {
            pool->id = core_.add_pool({pool->key, settings_of_pool(*pool), options_.seed},
                                      *pool->upstream_connections, nullptr);
        } else if (classes_changed || zones != pool->zones.size()) {
            core_.change_pool(pool->id, settings_of_pool(*pool));
            pool->upstream_connections->set_options(connection_options(pool->classes));
        }
        if (is_new || !list.members.empty()) core_.on_list(pool->id, std::move(list));
    }

    core::MemberList member_changes(Pool& pool, std::vector<Server>& servers) {
        core::MemberList list;
        list.kind = pool.listed ? ListKind::delta : ListKind::full;
        list.version = ++pool.version;
        std::map<UpstreamId, Server> current;
        pool.ready = 0;
        for (Server& each : servers) {
            if (!current.emplace(each.id, each).second) continue;
            pool.ready += each.draining ? 0 : 1;
            const auto before = pool.servers.find(each.id);
            if (before != pool.servers.end() && before->second == each) continue;
            core::Member member;
            member.name = each.name;
            member.address = each.address;
            member.entry.id = each.id;
            member.entry.zone = each.zone.empty() ? 0 : zone_of(pool, each.zone);
            member.entry.state = each.draining ? UpstreamState::draining : UpstreamState::ready;
            // A server that joins after the first list without a start time counts as started now and is
            // subject to slow start.
            const std::pair started_key(pool.key, each.id);
            member.entry.started_at = each.since;
            if (before != pool.servers.end()) {
                const auto started = started_.find(started_key);
                if (started != started_.end())
                    member.entry.started_at = std::max(started->second, each.since);
            } else if (pool.listed && each.since == Time{}) {
                member.entry.started_at = clock_.now();
            }
            if (member.entry.started_at > Time{}) started_[started_key] = member.entry.started_at;
            // Initial concurrency limit, until the limit is learned from traffic.
            if (before == pool.servers.end())
                member.entry.restored.emplace().concurrency_limit =
                    options_.settings.min_in_flight_per_upstream;
            list.members.push_back(std::move(member));
        }
        for (const auto& [id, server] : pool.servers) {
            if (current.contains(id)) continue;
            started_.erase({pool.key, id});
            core::Member member;
            member.name = server.name;
            member.address = server.address;
            member.entry.id = id;
            member.entry.state = UpstreamState::gone;
            list.members.push_back(std::move(member));
        }
        pool.servers = std::move(current);
        pool.listed = true;
        return list;
    }

    // Stops new calls to a pool; calls in flight finish. The servers are not marked as draining, because they
    // may belong to another pool as well.
    void retire_pool(const std::string& key) {
        const auto found = pools_.find(key);
        if (found == pools_.end()) return;
        PoolRef pool = std::move(found->second);
        pools_.erase(found);
        std::vector<Server> none;
        core::MemberList list = member_changes(*pool, none);
        if (!list.members.empty()) core_.on_list(pool->id, std::move(list));
        removed_pools_.push_back(std::move(pool));
    }

    // Must not be called from within the core, because it destroys the pool's upstream connections.
    void destroy_idle_pools() {
        for (std::size_t i = 0; i < removed_pools_.size();) {
            if (removed_pools_[i]->open > 0) {
                ++i;
                continue;
            }
            const PoolRef pool = std::move(removed_pools_[i]);
            removed_pools_.erase(removed_pools_.begin() + static_cast<std::ptrdiff_t>(i));
            core_.remove_pool(pool->id);
        }
    }

    // ------------------------------------------------------------------------------------------ Listeners

    void apply_ports(std::shared_ptr<const Ports> ports) {
        current_ports_ = std::move(ports);
        std::vector<std::uint16_t> obsolete;
        for (const auto& [port, listener] : listeners_) {
            const auto wanted = current_ports_->find(port);
            if (wanted == current_ports_->end() || (wanted->second.tls != nullptr) != listener->has_tls)
                obsolete.push_back(port);
        }
        for (const std::uint16_t port : obsolete) close_listener(port);
        for (const auto& [port, wanted] : *current_ports_) {
            auto& listener = listeners_[port];
            if (!listener) {
                listener = std::make_unique<Listener>(*this, port);
                listener->has_tls = wanted.tls != nullptr;
            }
            listener->table = wanted.table;
            listener->tls = wanted.tls;
        }
        open_listeners(true);
        if (budgets_.size() > max_retry_budgets)
            std::erase_if(budgets_, [](const auto& each) { return each.second.use_count() == 1; });
    }

    void open_listeners(bool notify) {
        bool any_closed = false;
        for (const auto& [port, listener] : listeners_) {
            if (listener->http_listener || draining_) continue;
            const std::string before = listener->fault;
            open(*listener);
            any_closed |= !listener->http_listener;
            notify |= listener->fault != before || listener->http_listener;
        }
        if (any_closed) {
            reopen_timer_.expires_after(options_.port_retry_interval);
            reopen_timer_.async_wait(alive_.wrap([this](error_code error) {
                if (!error && !stopped_) open_listeners(false);
            }));
        }
        if (!notify || !on_ports_) return;
        std::map<std::uint16_t, std::string> all;
        for (const auto& [port, listener] : listeners_) all.emplace(port, listener->fault);
        on_ports_(std::move(all));
    }

    void open(Listener& listener) {
        const auto mapping = options_.moved.find(listener.port);
        const std::uint16_t at = mapping == options_.moved.end() ? listener.port : mapping->second;
        http::Listener::MakeChannel channel;
        if (listener.has_tls) {
            channel = [listener_ref = &listener]() -> std::unique_ptr<http::Channel> {
                return std::make_unique<TlsChannel>(listener_ref->tls);
            };
        }
        try {
            auto http_listener = std::make_unique<http::Listener>(
                executor_, core_, listener, clock_, limits(), channel, nullptr, options_.memory);
            http_listener->listen(loop::parse_endpoint(options_.address + ":" + std::to_string(at)));
            listener.http_listener = std::move(http_listener);
            listener.fault.clear();
            log_.write(log::events::gateway_listening, loop::text_of(listener.http_listener->address()),
                       listener.port);
        } catch (const std::exception& error) {
            if (listener.fault.empty())
                log_.write(log::events::gateway_port_failed, listener.port, error.what());
            listener.fault = error.what();
        }
    }

    // Closes a port. Connected clients still receive the responses to their requests; new connections are not
    // accepted.
    void close_listener(std::uint16_t port) {
        const auto found = listeners_.find(port);
        auto listener = std::move(found->second);
        listeners_.erase(found);
        if (!listener->http_listener) return;
        log_.write(log::events::gateway_port_closed, port);
        (void)listener->http_listener->drain_connections();
        closing_listeners_.push_back(std::move(listener));
        schedule_sweep();
    }

    void sweep() {
        destroy_idle_pools();
        std::erase_if(closing_listeners_, [](const auto& listener) {
            if (listener->http_listener->drain_connections()) return false;
            listener->http_listener->stop();
            return true;
        });
        if (!closing_listeners_.empty() || !removed_pools_.empty()) schedule_sweep();
    }

    void schedule_sweep() {
        if (sweep_scheduled_ || stopped_) return;
        sweep_scheduled_ = true;
        sweep_timer_.expires_after(sweep_interval);
        sweep_timer_.async_wait(alive_.wrap([this](error_code error) {
            sweep_scheduled_ = false;
            if (!error && !stopped_) sweep();
        }));
    }

    const loop::Executor executor_;
    core::Core& core_;
    const loop::Clock& clock_;
    core::Log& log_;
    RuntimeOptions options_;
    const OnPorts on_ports_;
    http::ConnectionLimit connection_budget_;
    std::unordered_map<std::string, PoolRef> pools_;
    std::vector<PoolRef> removed_pools_;
    std::map<std::pair<std::string, UpstreamId>, Time> started_;  // start times of servers that joined later
    std::shared_ptr<const Ports> current_ports_;
    std::map<std::uint16_t, std::unique_ptr<Listener>> listeners_;
    std::vector<std::unique_ptr<Listener>> closing_listeners_;
    std::unordered_map<std::string, std::shared_ptr<routes::RetryBudget>> budgets_;
    asio::steady_timer reopen_timer_, sweep_timer_;
    std::uint64_t random_;
    RuntimeFigures figures_;
    bool sweep_scheduled_ = false, draining_ = false, stopped_ = false;
    loop::LifetimeGuard alive_;
};

Runtime::Runtime(const loop::Executor& executor, core::Core& core, const loop::Clock& clock, core::Log& log,
                 RuntimeOptions options, OnPorts on_ports)
    : impl_(std::make_shared<Impl>(executor, core, clock, log, std::move(options), std::move(on_ports))) {}
Runtime::~Runtime() { impl_->stop(); }
void Runtime::apply(Change change) { impl_->apply(std::move(change)); }
void Runtime::set_options(const RuntimeOptions& options) { impl_->set_options(options); }
void Runtime::begin_drain() { impl_->begin_drain(); }
bool Runtime::wind_down() { return impl_->wind_down(); }
void Runtime::stop() { impl_->stop(); }
std::optional<loop::tcp::endpoint> Runtime::address(std::uint16_t port) const { return impl_->address(port); }
Micros Runtime::longest_deadline() const { return impl_->longest_deadline(); }
RuntimeFigures Runtime::figures() const { return impl_->figures(); }

}  // namespace flaxdoor::ingress
