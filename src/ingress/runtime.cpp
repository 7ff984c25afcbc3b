#include "ingress/runtime.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <unordered_map>

#include "core/latency_floor.h"
#include "http/calls.h"
#include "ingress/router.h"
#include "log/events.h"
#include "loop/alive.h"
#include "loop/sockets.h"

namespace flaxdoor::ingress {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr auto wind_down_again = std::chrono::milliseconds(10);
constexpr std::size_t budgets_most = 4096;  // of routes, before those of routes that are gone are dropped
constexpr double retry_unit = 9007199254740992.0;  // 2 to the power of 53

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

// A route's word on repeats, for one request.
class Gate final : public core::RetryGate {
public:
    Gate(routes::RetryLimit limit, std::shared_ptr<routes::RetryBudget> budget)
        : limit_(limit), left_(limit.attempts.value_or(0)), budget_(std::move(budget)) {}

    bool allow(Time now) override {
        if (limit_.attempts && left_-- <= 0) return false;
        return !budget_ || budget_->take(now, limit_);
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
          budget_{options_.servers_most, 0},
          again_(executor),
          ends_(executor),
          random_(options_.seed | 1) {}

    void apply(Change change) {
        if (stopped_) return;
        const Time began = clock_.now();
        for (PoolChange& each : change.pools) put_pool(std::move(each));
        for (const std::string& key : change.gone) retire(key);
        if (change.ports) swap(std::move(change.ports));
        sweep();
        ++figures_.changes;
        figures_.longest_change = std::max(figures_.longest_change, clock_.now() - began);
    }

    void set_options(const RuntimeOptions& options) {
        options_.clients = options.clients;
        options_.servers_most = options.servers_most;
        options_.settings = options.settings;
        budget_.most = options_.servers_most;
        for (const auto& [port, listener] : listeners_) {
            if (listener->front) listener->front->set_limits(limits());
        }
        for (auto& [key, pool] : pools_) {
            core_.change_pool(pool->id, settings_of_pool(*pool));
            pool->back->set_options(back_options(pool->classes));
        }
    }

    void begin_drain() {
        draining_ = true;
        for (const auto& [port, listener] : listeners_) {
            if (listener->front) listener->front->begin_drain();
        }
    }

    bool wind_down() {
        draining_ = true;
        bool others = !ending_.empty();
        for (const auto& [port, listener] : listeners_) {
            if (listener->front) others = listener->front->wind_down() || others;
        }
        return others;
    }

    void stop() {
        if (stopped_) return;
        stopped_ = true;
        again_.cancel();
        ends_.cancel();
        for (const auto& [port, listener] : listeners_) {
            if (listener->front) listener->front->stop();
        }
        for (const auto& listener : ending_) listener->front->stop();
        listeners_.clear();
        ending_.clear();
        for (auto& [key, pool] : pools_) core_.remove_pool(pool->id);
        for (auto& pool : retired_) core_.remove_pool(pool->id);
        pools_.clear();
        retired_.clear();
        current_.reset();
    }

    std::optional<loop::tcp::endpoint> address(std::uint16_t port) const {
        const auto found = listeners_.find(port);
        if (found == listeners_.end() || !found->second->front) return std::nullopt;
        return found->second->front->address();
    }

    Micros longest_deadline() const {
        Micros longest{};
        for (const auto& [key, pool] : pools_) {
            for (const auto& each : pool->classes) longest = std::max(longest, each.deadline);
        }
        return longest;
    }

    RuntimeFigures figures() const {
        RuntimeFigures out = figures_;
        for (const auto& [port, listener] : listeners_) {
            if (!listener->front) continue;
            ++out.listeners;
            out.clients += listener->front->figures().connections;
        }
        out.pools = pools_.size();
        out.retired = retired_.size();
        for (const auto& [key, pool] : pools_) {
            out.servers += pool->servers.size();
            out.idle_connections += pool->back->idle();
        }
        return out;
    }

private:
    struct Pool {
        std::string key;
        core::PoolId id = 0;
        std::unique_ptr<http::Back> back;
        std::vector<routes::CallClass> classes;
        std::map<UpstreamId, Server> servers;
        std::size_t ready = 0;  // of them
        std::vector<std::string> zones;
        std::size_t open = 0;  // requests that are not answered
        bool listed = false;   // it has had its first list
        std::uint64_t version = 0;
    };
    using PoolRef = std::shared_ptr<Pool>;

    // What is kept of a request until its end.
    struct Asked final : http::Asked {
        Asked(std::shared_ptr<Impl> its, Routed to, PoolRef in)
            : owner(std::move(its)), routed(std::move(to)), pool(std::move(in)) {
            ++pool->open;
        }
        ~Asked() override {
            --pool->open;
            if (pool->open == 0 && !owner->retired_.empty()) owner->end_later();
        }
        const std::shared_ptr<Impl> owner;
        Routed routed;
        const PoolRef pool;
    };

    // One port. Handler of its front.
    struct Listener final : http::Handler {
        Listener(Impl& its, std::uint16_t number) : owner(its), port(number) {}

        std::variant<Answer, Ask> on_request(http::Request message, const From& from) override {
            return owner.on_request(*this, std::move(message), from);
        }
        http::Response on_final(core::Final final, http::Asked* asked) override {
            return answer(std::move(final), static_cast<Asked*>(asked)->routed);
        }
        Answer on_not_taken(core::Taken, http::Asked*) override { return {refusal({}), false}; }

        Impl& owner;
        const std::uint16_t port;
        std::shared_ptr<const tls::Context> tls;
        bool has_tls = false;
        std::shared_ptr<const routes::Table> table;
        std::string fault;  // why it is not open
        std::unique_ptr<http::Front> front;
    };

    http::FrontLimits limits() const {
        http::FrontLimits out = options_.clients;
        out.body = options_.body;
        return out;
    }
    http::BackOptions back_options(const std::vector<routes::CallClass>& classes) const {
        http::BackOptions out;
        Micros aim = std::chrono::seconds(1);
        for (const auto& each : classes) aim = std::min(aim, each.aim);
        out.latency_floor = core::latency_floor(aim, static_cast<std::size_t>(options_.settings.fair_share));
        out.connect = options_.settings.connect_timeout;
        out.idle = options_.settings.idle_close;
        out.meaning = meaning;
        out.keep_errors = true;
        out.body = options_.body;
        return out;
    }

    double chance() {
        // xorshift64*: who gets which share is no secret.
        random_ ^= random_ >> 12;
        random_ ^= random_ << 25;
        random_ ^= random_ >> 27;
        return static_cast<double>((random_ * 2685821657736338717ull) >> 11) / retry_unit;
    }

    // ------------------------------------------------------------------------------------------- requests

    std::variant<http::Handler::Answer, http::Handler::Ask> on_request(Listener& listener,
                                                                       http::Request message,
                                                                       const http::Handler::From& from) {
        Asker asker;
        asker.scheme = from.tls ? "https" : "http";
        asker.server_name = from.server_name;
        asker.port = listener.port;
        if (const auto peer = from.peer(); peer.port() != 0) asker.peer = peer.address().to_string();
        auto meant = route(listener.table, std::move(message), asker, chance());
        if (auto* const told = std::get_if<http::Response>(&meant)) {
            ++figures_.told;
            return http::Handler::Answer{std::move(*told), false};
        }
        Routed routed = std::get<Routed>(std::move(meant));
        const auto found = pools_.find(routed.backend->pool);
        if (found == pools_.end() || found->second->ready == 0) {
            ++figures_.told;
            ++figures_.unready;
            return http::Handler::Answer{refusal({}), false};
        }
        const PoolRef& pool = found->second;
        const auto its_class = std::find(pool->classes.begin(), pool->classes.end(), routed.call);
        if (its_class == pool->classes.end()) return http::Handler::Answer{refusal({}), false};
        core::Call call;
        call.pool = pool->id;
        call.class_index = static_cast<int>(its_class - pool->classes.begin());
        call.budget = routed.budget;
        call.unseen = http::client_ways;
        call.attempt_limit = routed.rule->backend_timeout;
        call.retries = gate(routed);
        call.payload = routed.payload;
        ++figures_.routed;
        return http::Handler::Ask{std::move(call),
                                  std::make_unique<Asked>(shared_from_this(), std::move(routed), pool)};
    }

    std::shared_ptr<core::RetryGate> gate(const Routed& routed) {
        const routes::RetryLimit& limit = routed.rule->retries;
        std::shared_ptr<routes::RetryBudget> budget;
        if (limit.share) {
            auto& held = budgets_[routed.route->name];
            if (!held) held = std::make_shared<routes::RetryBudget>();
            held->on_request(clock_.now());
            budget = held;
        }
        if (!limit.attempts && !budget) return nullptr;
        return std::make_shared<Gate>(limit, std::move(budget));
    }

    // ---------------------------------------------------------------------------------------------- pools

    Settings settings_of_pool(const Pool& pool) const {
        Settings out = options_.settings;
        out.classes.clear();
        for (const auto& each : pool.classes) out.classes.push_back(settings_of(each));
        out.zone = 0;
        out.zones = static_cast<int>(std::max<std::size_t>(pool.zones.size(), 1));
        return out;
    }

    // Zone 0 is this balancer's; the others keep the number that they had first.
    static int zone_of(Pool& pool, const std::string& name) {
        const auto found = std::find(pool.zones.begin(), pool.zones.end(), name);
        if (found != pool.zones.end()) return static_cast<int>(found - pool.zones.begin());
        pool.zones.push_back(name);
        return static_cast<int>(pool.zones.size() - 1);
    }

    void put_pool(PoolChange change) {
        PoolRef& pool = pools_[change.key];
        const bool fresh = !pool;
        if (fresh) {
            pool = std::make_shared<Pool>();
            pool->key = change.key;
            pool->zones.push_back(options_.zone);
            pool->back =
                std::make_unique<http::Back>(executor_, core_, clock_, budget_, back_options(change.classes));
        }
        const std::size_t zones = pool->zones.size();
        const bool other_classes = pool->classes != change.classes;
        if (!change.classes.empty()) pool->classes = std::move(change.classes);
        core::MemberList list = difference(*pool, change.servers);
        if (fresh) {
            pool->id =
                core_.add_pool({pool->key, settings_of_pool(*pool), options_.seed}, *pool->back, nullptr);
        } else if (other_classes || zones != pool->zones.size()) {
            core_.change_pool(pool->id, settings_of_pool(*pool));
            pool->back->set_options(back_options(pool->classes));
        }
        if (fresh || !list.members.empty()) core_.on_list(pool->id, std::move(list));
    }

    core::MemberList difference(Pool& pool, std::vector<Server>& servers) {
        core::MemberList list;
        list.kind = pool.listed ? ListKind::delta : ListKind::full;
        list.version = ++pool.version;
        std::map<UpstreamId, Server> now;
        pool.ready = 0;
        for (Server& each : servers) {
            if (!now.emplace(each.id, each).second) continue;
            pool.ready += each.draining ? 0 : 1;
            const auto before = pool.servers.find(each.id);
            if (before != pool.servers.end() && before->second == each) continue;
            core::Member member;
            member.name = each.name;
            member.address = each.address;
            member.entry.id = each.id;
            member.entry.zone = each.zone.empty() ? 0 : zone_of(pool, each.zone);
            member.entry.state = each.draining ? UpstreamState::draining : UpstreamState::ready;
            // Whoever comes later, and of whom nothing else is known, has started now, and is cold.
            const std::pair place(pool.key, each.id);
            member.entry.started_at = each.since;
            if (before != pool.servers.end()) {
                const auto started = started_.find(place);
                if (started != started_.end())
                    member.entry.started_at = std::max(started->second, each.since);
            } else if (pool.listed && each.since == Time{}) {
                member.entry.started_at = clock_.now();
            }
            if (member.entry.started_at > Time{}) started_[place] = member.entry.started_at;
            // What it is taken to serve at once, until more is learned.
            if (before == pool.servers.end())
                member.entry.memory.emplace().limit = options_.settings.fair_share;
            list.members.push_back(std::move(member));
        }
        for (const auto& [id, server] : pool.servers) {
            if (now.contains(id)) continue;
            started_.erase({pool.key, id});
            core::Member member;
            member.name = server.name;
            member.address = server.address;
            member.entry.id = id;
            member.entry.state = UpstreamState::gone;
            list.members.push_back(std::move(member));
        }
        pool.servers = std::move(now);
        pool.listed = true;
        return list;
    }

    // Nothing new begins there; what is under way ends by itself. That its servers drain is not said: they
    // may serve another pool.
    void retire(const std::string& key) {
        const auto found = pools_.find(key);
        if (found == pools_.end()) return;
        PoolRef pool = std::move(found->second);
        pools_.erase(found);
        std::vector<Server> none;
        core::MemberList list = difference(*pool, none);
        if (!list.members.empty()) core_.on_list(pool->id, std::move(list));
        retired_.push_back(std::move(pool));
    }

    // Never from within the core, so that its back can go at once.
    void remove_retired() {
        for (std::size_t i = 0; i < retired_.size();) {
            if (retired_[i]->open > 0) {
                ++i;
                continue;
            }
            const PoolRef pool = std::move(retired_[i]);
            retired_.erase(retired_.begin() + static_cast<std::ptrdiff_t>(i));
            core_.remove_pool(pool->id);
        }
    }

    // ------------------------------------------------------------------------------------------ listeners

    void swap(std::shared_ptr<const Ports> ports) {
        current_ = std::move(ports);
        std::vector<std::uint16_t> over;
        for (const auto& [port, listener] : listeners_) {
            const auto wanted = current_->find(port);
            if (wanted == current_->end() || (wanted->second.tls != nullptr) != listener->has_tls)
                over.push_back(port);
        }
        for (const std::uint16_t port : over) end_listener(port);
        for (const auto& [port, wanted] : *current_) {
            auto& listener = listeners_[port];
            if (!listener) {
                listener = std::make_unique<Listener>(*this, port);
                listener->has_tls = wanted.tls != nullptr;
            }
            listener->table = wanted.table;
            listener->tls = wanted.tls;
        }
        open_listeners(true);
        if (budgets_.size() > budgets_most)
            std::erase_if(budgets_, [](const auto& each) { return each.second.use_count() == 1; });
    }

    void open_listeners(bool tell) {
        bool some_closed = false;
        for (const auto& [port, listener] : listeners_) {
            if (listener->front || draining_) continue;
            const std::string before = listener->fault;
            open(*listener);
            some_closed |= !listener->front;
            tell |= listener->fault != before || listener->front;
        }
        if (some_closed) {
            again_.expires_after(options_.port_again);
            again_.async_wait(alive_.guard([this](error_code error) {
                if (!error && !stopped_) open_listeners(false);
            }));
        }
        if (!tell || !on_ports_) return;
        std::map<std::uint16_t, std::string> all;
        for (const auto& [port, listener] : listeners_) all.emplace(port, listener->fault);
        on_ports_(std::move(all));
    }

    void open(Listener& listener) {
        const auto moved = options_.moved.find(listener.port);
        const std::uint16_t at = moved == options_.moved.end() ? listener.port : moved->second;
        http::Front::MakeChannel channel;
        if (listener.has_tls) {
            channel = [its = &listener]() -> std::unique_ptr<http::Channel> {
                return std::make_unique<TlsChannel>(its->tls);
            };
        }
        try {
            auto front = std::make_unique<http::Front>(executor_, core_, listener, clock_, limits(), channel);
            front->listen(loop::parse_endpoint(options_.address + ":" + std::to_string(at)));
            listener.front = std::move(front);
            listener.fault.clear();
            log_.tell(log::events::gateway_listening, loop::text_of(listener.front->address()),
                      listener.port);
        } catch (const std::exception& error) {
            if (listener.fault.empty())
                log_.tell(log::events::gateway_port_failed, listener.port, error.what());
            listener.fault = error.what();
        }
    }

    // Whoever is connected gets the answers that are due; nobody new is taken.
    void end_listener(std::uint16_t port) {
        const auto found = listeners_.find(port);
        auto listener = std::move(found->second);
        listeners_.erase(found);
        if (!listener->front) return;
        log_.tell(log::events::gateway_port_closed, port);
        (void)listener->front->wind_down();
        ending_.push_back(std::move(listener));
        end_later();
    }

    void sweep() {
        remove_retired();
        std::erase_if(ending_, [](const auto& listener) {
            if (listener->front->wind_down()) return false;
            listener->front->stop();
            return true;
        });
        if (!ending_.empty() || !retired_.empty()) end_later();
    }

    void end_later() {
        if (end_set_ || stopped_) return;
        end_set_ = true;
        ends_.expires_after(wind_down_again);
        ends_.async_wait(alive_.guard([this](error_code error) {
            end_set_ = false;
            if (!error && !stopped_) sweep();
        }));
    }

    const loop::Executor executor_;
    core::Core& core_;
    const loop::Clock& clock_;
    core::Log& log_;
    RuntimeOptions options_;
    const OnPorts on_ports_;
    http::ConnectionBudget budget_;
    std::unordered_map<std::string, PoolRef> pools_;
    std::vector<PoolRef> retired_;
    std::map<std::pair<std::string, UpstreamId>, Time> started_;  // of servers that came later
    std::shared_ptr<const Ports> current_;
    std::map<std::uint16_t, std::unique_ptr<Listener>> listeners_;
    std::vector<std::unique_ptr<Listener>> ending_;
    std::unordered_map<std::string, std::shared_ptr<routes::RetryBudget>> budgets_;
    asio::steady_timer again_, ends_;
    std::uint64_t random_;
    RuntimeFigures figures_;
    bool end_set_ = false, draining_ = false, stopped_ = false;
    loop::Alive alive_;
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
