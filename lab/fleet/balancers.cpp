#include "fleet/balancers.h"

#include "door/gate.h"
#include "fleet/clients.h"
#include "fleet/network.h"
#include "fleet/roster.h"
#include "fleet/servers.h"

namespace flaxdoor::lab {

namespace {

// Network time between a client and the balancer that the daemon also assumes.
constexpr Micros client_network_time = std::chrono::milliseconds(4);
constexpr Micros idle_sweep_interval = std::chrono::seconds(1);
// Time from the end of a balancer's process to the start of the next one.
constexpr Micros restart_delay = std::chrono::milliseconds(500);
// Requests whose call and client a process remembers. The number exceeds the requests that a process receives while
// any of them may still be answered.
constexpr std::size_t max_remembered_requests = 20'000;

// Carries a request's or a flight's handle through the core.
class Handle final : public core::Payload {
public:
    explicit Handle(std::uint64_t value) : handle(value) {}
    const std::uint64_t handle;
};

}  // namespace

int balancer_zone(const Experiment& experiment, std::uint32_t balancer) {
    double sum = 0;
    for (const Zone& zone : experiment.fleet.zones) sum += zone.traffic;
    double position = (balancer + 0.5) / experiment.fleet.balancers * sum;
    for (std::size_t zone_index = 0; zone_index < experiment.fleet.zones.size(); ++zone_index) {
        position -= experiment.fleet.zones[zone_index].traffic;
        if (position < 0) return static_cast<int>(zone_index);
    }
    return static_cast<int>(experiment.fleet.zones.size()) - 1;
}

Settings settings_for(const Experiment& experiment, std::uint32_t balancer, int zone) {
    Settings settings = experiment.module;
    settings.rank = static_cast<int>(balancer);
    settings.balancers = experiment.fleet.balancers;
    settings.zone = zone;
    settings.zones = static_cast<int>(experiment.fleet.zones.size());
    settings.classes.clear();
    for (const CallClass& call_class : experiment.classes) settings.classes.push_back(call_class.told);
    settings.tenants.clear();
    for (const TenantKind& tenant : experiment.tenants) settings.tenants.push_back(tenant.told);
    settings.must_request_list = experiment.roster.mode == RosterMode::asked;
    settings.idle_close = experiment.network.idle_close;
    settings.cold_share = experiment.servers.cold_share;
    settings.ramp_time = experiment.servers.ramp;
    settings.fall_multiple = experiment.servers.fall_multiple;
    settings.fall_span = experiment.servers.fall_span;
    settings.reports = ReportSource::answers;
    settings.report_fields = {ReportField::in_flight, ReportField::service_ms, ReportField::errors};
    return settings;
}

Settings postgres_settings_for(const Experiment& experiment, std::uint32_t balancer, int zone) {
    Settings settings = settings_for(experiment, balancer, zone);
    ClassSettings unit;
    unit.name = "unit";
    unit.effect = flaxdoor::Effect::unsafe;
    unit.aim = experiment.postgres.deadline / 2;
    unit.deadline = experiment.postgres.deadline;
    settings.classes = {unit};
    settings.tenants.clear();
    return settings;
}

// Returns the admission settings that engine/door_terms derives for a platform that announces shares.
door::Terms door_terms(const Settings& settings) {
    door::Terms terms;
    for (const auto& each : settings.tenants)
        terms.tenants.push_back({each.name, each.fraction > 0 ? each.fraction * 100 : 1, {}});
    for (const auto& each : settings.classes)
        terms.classes.push_back({each.name, each.worth, each.aim / 4, {}});
    if (settings.max_retry_after > Micros{}) terms.book.longest = settings.max_retry_after;
    return terms;
}

// A process of a balancer, from its start until it ends or is killed.
class Balancers::Process final : public core::Clock,
                                 public core::Alarm,
                                 public core::Log,
                                 public core::Downstream {
public:
    Process(Balancers& owner, std::uint32_t number)
        : owner_(owner),
          parts_(owner.parts_),
          number_(number),
          balancer_(owner.balancers_[number]),
          process_(balancer_.process),
          core_(*this, *this, *this, options()) {
        Stream stream(parts_.seed(), Whose::balancer, number, balancer_.process);
        add_pool(0, settings_for(parts_.experiment, number, balancer_.zone), stream());
        if (parts_.experiment.fleet.door) {
            const Settings settings = settings_for(parts_.experiment, number, balancer_.zone);
            gate_ = std::make_unique<door::QueuedCallAcceptor>(
                door::QueuedCallAcceptor::Dependencies{core_, *this, gate_alarm_}, door_terms(settings),
                door::QueuedCallAcceptor::Options{settings.retry_after, std::chrono::seconds(30), false},
                stream(), door::RetryTokens::Secret{});
        }
        if (parts_.experiment.postgres.rate > 0) {
            add_pool(1, postgres_settings_for(parts_.experiment, number, balancer_.zone), stream());
        }
    }

    // Applies the endpoint lists known at the start and opens the watches. Not part of the constructor, because the
    // calls that follow may look up this process in its balancer.
    void begin() {
        for (auto& pool_adapter : pools_) {
            if (!pool_adapter) continue;
            core_.on_list(pool_adapter->id, balancer_.last_lists[pool_adapter->pool]);
            if (parts_.experiment.roster.mode == RosterMode::pushed)
                parts_.roster->watch(number_, pool_adapter->pool);
        }
    }

    ~Process() override {
        for (auto& pool_adapter : pools_) {
            if (pool_adapter) pool_adapter->abandon_all();
        }
    }

    Time now() const override { return parts_.now(); }
    void set(Time at) override {
        alarm_ = ++owner_.alarms_;
        parts_.scheduler.set(at, What::alarm, number_, alarm_);
    }
    void event(const core::Event&, std::span<const core::Value>) override {}

    void on_alarm(std::uint64_t which) {
        if (which == alarm_) core_.on_alarm();
        if (which == gate_alarm_.number) gate_->on_alarm();
    }

    // Client requests.

    bool take(std::uint64_t handle, const ClientRequest& from) {
        if (closed_) return false;
        const bool unit = static_cast<std::size_t>(from.class_index) >= parts_.experiment.classes.size();
        core::Call call;
        PoolAdapter* const pool_adapter = pools_[unit ? 1 : 0].get();
        call.pool = pool_adapter->id;
        call.class_index = unit ? 0 : from.class_index;
        call.call_id = std::to_string(from.call);
        if (from.tenant >= 0) call.tenant = {core::Tenant::Kind::known, from.tenant};
        call.key = from.key;
        call.budget = from.gives_up - from.asked;
        call.network_allowance = client_network_time;
        call.client_retry = from.number > 0;
        call.payload = std::make_shared<Handle>(handle);
        parts_.note(Event::taken, number_, from.client, from.call);
        core::CallId id = 0;
        unanswered_.emplace(handle, UnansweredRequest{0, gate_ && !unit});
        // Handles ascend, so the first entry is the oldest.
        if (recent_requests_.size() >= max_remembered_requests)
            recent_requests_.erase(recent_requests_.begin());
        recent_requests_.emplace_hint(recent_requests_.end(), handle,
                                      RequestIdentity{from.call, from.client});
        core::AcceptResult taken = core::AcceptResult::accepted;
        if (gate_ && !unit) {
            gate_->set_next_requester(std::to_string(from.client), {}, 500);
            taken = gate_->accept_call(std::move(call), *this, handle, &id);
        } else {
            taken = core_.accept_call(std::move(call), *this, handle, &id);
        }
        if (taken == core::AcceptResult::accepted) {
            if (const auto found = unanswered_.find(handle); found != unanswered_.end())
                found->second.id = id;
        } else {
            // The core did not accept the request, so the server side rejects it: a retry is harmless.
            final_answer(handle, {Verdict::refused, Micros{0}});
        }
        return true;
    }

    void left(std::uint64_t handle) {
        const auto found = unanswered_.find(handle);
        if (found == unanswered_.end()) return;
        const UnansweredRequest call = found->second;
        unanswered_.erase(found);
        if (call.held_by_gate) {
            gate_->abandon_call(call.id);
        } else {
            (void)core_.abandon_call(call.id);
        }
        end_if_done();
    }

    void on_started(std::uint64_t, std::unique_ptr<core::Payload>) override {}
    void on_final(std::uint64_t token, core::FinalAnswer answer) override {
        final_answer(token, {answer.verdict == core::Verdict::served    ? Verdict::served
                             : answer.verdict == core::Verdict::refused ? Verdict::refused
                                                                        : Verdict::failed,
                             answer.retry_after});
    }

    // Attempts.

    void connected(std::uint64_t handle) {
        Flight* const flight = parts_.flights->find(handle);
        if (!flight || !flight->awaited || flight->phase != Flight::Phase::connecting) return;
        Servers::Server& server = parts_.servers->at(flight->server);
        if (!parts_.servers->takes_connection(server)) return end(handle, Outcome::connect_failed);
        flight->link = server.process;
        flight->fresh = true;
        write(handle);
    }

    void connect_refused(std::uint64_t handle) {
        const Flight* const flight = parts_.flights->find(handle);
        if (flight && flight->awaited && flight->phase == Flight::Phase::connecting) {
            end(handle, Outcome::connect_failed);
        }
    }

    void answered(std::uint64_t handle, How how) {
        Flight* const flight = parts_.flights->find(handle);
        if (!flight || !flight->awaited) return;
        switch (how) {
            case How::ok: return end(handle, Outcome::ok);
            case How::error: return end(handle, Outcome::error);
            case How::turned_away: return end(handle, Outcome::full);
            case How::reset: return end(handle, Outcome::reset);
        }
    }

    void sweep() {
        const Time oldest = parts_.now() - parts_.experiment.network.idle_close;
        for (auto& pool_adapter : pools_) {
            if (pool_adapter) pool_adapter->close_older(oldest);
        }
        parts_.scheduler.set(parts_.now() + idle_sweep_interval, What::sweep, number_, process_);
    }

    void list(std::uint32_t pool, core::MemberList list) {
        if (pools_[pool]) core_.on_list(pools_[pool]->id, std::move(list));
    }

    void close() {
        closed_ = true;
        if (gate_) gate_->begin_drain();
        core_.close();
        end_if_done();
    }

    std::vector<std::uint64_t> held() const {
        std::vector<std::uint64_t> all;
        for (const auto& [handle, id] : unanswered_) all.push_back(handle);
        return all;
    }
    core::Stats figures() const { return core_.figures(); }

private:
    // The connection pool and the list source of one pool.
    struct PoolAdapter final : core::UpstreamConnectionPool, core::Source {
        PoolAdapter(Process& its_process, std::uint32_t its_pool) : process(its_process), pool(its_pool) {}

        struct IdleConnection {
            std::uint32_t server_process = 0;  // process of the server at the other end
            Time idle_since{};
        };
        struct Upstream {
            bool takes_work = false;
            std::vector<IdleConnection> idle;
        };

        void set_upstream(UpstreamId upstream, const std::string&, bool takes_work) override {
            upstreams[upstream].takes_work = takes_work;
            if (!takes_work) close_all(upstream);
        }
        void remove_upstream(UpstreamId upstream) override {
            close_all(upstream);
            upstreams.erase(upstream);
        }
        void send(core::Attempt attempt) override { process.send(*this, std::move(attempt)); }
        void cancel(core::AttemptKey key) override {
            if (const auto found = flights.find(key); found != flights.end()) {
                process.end(found->second, Outcome::cancelled);
            }
        }
        void expire(core::AttemptKey key) override {
            const auto found = flights.find(key);
            if (found == flights.end()) return;
            const Flight* const flight = process.parts_.flights->find(found->second);
            process.end(found->second,
                        flight->phase == Flight::Phase::out ? Outcome::timeout : Outcome::inconclusive);
        }
        void close_idle(UpstreamId upstream) override { close_all(upstream); }
        void watch() override { process.parts_.roster->watch(process.number_, pool); }
        void unwatch() override { process.parts_.roster->unwatch(process.number_, pool); }
        void fetch() override { process.parts_.roster->fetch(process.number_, pool); }

        void close_all(UpstreamId upstream) {
            const auto found = upstreams.find(upstream);
            if (found == upstreams.end()) return;
            for (const IdleConnection& link : found->second.idle) drop(upstream, link);
            found->second.idle.clear();
        }
        void drop(UpstreamId upstream, const IdleConnection& link) {
            process.parts_.servers->drop_connection(static_cast<std::uint32_t>(upstream - 1),
                                                    link.server_process);
        }
        void close_older(Time oldest) {
            for (auto& [id, upstream] : upstreams) {
                const UpstreamId upstream_id = id;
                std::erase_if(upstream.idle, [&](const IdleConnection& link) {
                    if (link.idle_since > oldest) return false;
                    drop(upstream_id, link);
                    return true;
                });
            }
        }
        // Closes all connections and abandons all attempts, because the process has ended.
        void abandon_all() {
            for (auto& [id, upstream] : upstreams) {
                for (const IdleConnection& link : upstream.idle) drop(id, link);
            }
            for (const auto& [key, handle] : flights) {
                Flight* const flight = process.parts_.flights->find(handle);
                if (!flight) continue;
                if (flight->phase == Flight::Phase::out) {
                    process.parts_.servers->drop_connection(flight->server, flight->link);
                }
                flight->awaited = false;
                process.parts_.flights->release(handle);
            }
        }

        Process& process;
        const std::uint32_t pool;
        core::PoolId id = 0;
        std::map<UpstreamId, Upstream> upstreams;
        std::map<core::AttemptKey, std::uint64_t> flights;
    };

    static core::Options options() { return {}; }

    static Heard attempt_end(Outcome outcome, bool whole) {
        switch (outcome) {
            case Outcome::ok: return Heard::ok;
            case Outcome::error: return Heard::error;
            case Outcome::full: return Heard::turned_away;
            case Outcome::reset: return Heard::reset;
            case Outcome::connect_failed:
            case Outcome::inconclusive: return Heard::never_left;
            case Outcome::timeout:
            case Outcome::cancelled: break;
        }
        return whole ? Heard::timed_out : Heard::never_left;
    }

    void add_pool(std::uint32_t pool, Settings settings, std::uint64_t seed) {
        pools_[pool] = std::make_unique<PoolAdapter>(*this, pool);
        pools_[pool]->id = core_.add_pool({pool == 0 ? "nodes" : "postgres", std::move(settings), seed},
                                          *pools_[pool], pools_[pool].get());
    }

    void final_answer(std::uint64_t handle, const Answer& answer) {
        unanswered_.erase(handle);
        // Answers after the client has disconnected or has another answer are recorded as well, for the judge.
        const auto found = recent_requests_.find(handle);
        const RequestIdentity request = found == recent_requests_.end() ? RequestIdentity{} : found->second;
        parts_.note(Event::final_answer, number_, request.client, request.call,
                    static_cast<std::uint64_t>(answer.verdict),
                    static_cast<std::uint64_t>(answer.retry_after.count()));
        parts_.clients->send_answer(handle, answer);
        end_if_done();
    }

    void end_if_done() {
        if (closed_ && unanswered_.empty()) {
            parts_.scheduler.set(parts_.now(), What::balancer_ended, number_, process_);
        }
    }

    void send(PoolAdapter& pool_adapter, core::Attempt attempt) {
        const std::uint64_t token = static_cast<const Handle&>(*attempt.payload).handle;
        const ClientRequest* const from = parts_.clients->find(token);
        const std::uint64_t call = from ? from->call : 0;
        const auto number = static_cast<std::uint32_t>(attempt.key.number);
        Flight flight(Stream(parts_.seed(), Whose::attempt, call, number));
        flight.balancer = number_;
        flight.zone = balancer_.zone;
        flight.process = process_;
        flight.pool = pool_adapter.pool;
        flight.server = static_cast<std::uint32_t>(attempt.upstream - 1);
        flight.key = attempt.key;
        flight.call = call;
        flight.number = number;
        flight.sent = parts_.now();
        if (from) {
            flight.work = from->work;
            flight.effect_key = from->key;
            flight.class_index = from->class_index;
        }
        const std::uint64_t handle = parts_.flights->add(std::move(flight));
        pool_adapter.flights.emplace(attempt.key, handle);
        Flight& sent = *parts_.flights->find(handle);
        sent.breaks = parts_.network->breaks(sent.stream);
        const Servers::Server& server = parts_.servers->at(sent.server);
        auto& idle = pool_adapter.upstreams[attempt.upstream].idle;
        while (!idle.empty()) {
            const PoolAdapter::IdleConnection link = idle.back();
            idle.pop_back();
            if (!server.up || link.server_process != server.process) continue;  // the server closed it
            sent.link = link.server_process;
            return write(handle);
        }
        connect(handle);
    }

    void connect(std::uint64_t handle) {
        Flight& flight = *parts_.flights->find(handle);
        const Servers::Server& server = parts_.servers->at(flight.server);
        if (!parts_.network->reachable(balancer_.zone, server.zone)) {
            // The server is unreachable: connecting fails after the connect timeout, if there is one.
            const Micros limit = parts_.experiment.module.connect_timeout;
            if (limit > Micros{0}) {
                parts_.scheduler.set(parts_.now() + limit, What::connect_refused, number_, handle);
            }
            return;
        }
        const Micros trip = parts_.network->latency(balancer_.zone, server.zone, flight.stream) +
                            parts_.network->latency(server.zone, balancer_.zone, flight.stream);
        const Micros late = parts_.network->late_connect(flight.stream);
        const bool up = server.up;
        parts_.scheduler.set(parts_.now() + trip + late, up ? What::connected : What::connect_refused,
                             number_, handle);
    }

    void write(std::uint64_t handle) {
        Flight* flight = parts_.flights->find(handle);
        const auto pool_adapter = pools_[flight->pool].get();
        const auto upstream = pool_adapter->upstreams.find(flight->server + 1);
        const bool open = upstream != pool_adapter->upstreams.end() && upstream->second.takes_work;
        flight->phase = Flight::Phase::out;
        if (!open || !core_.on_attempt_sending(flight->key)) return end(handle, Outcome::inconclusive);
        flight = parts_.flights->find(handle);
        if (!flight || !flight->awaited) return;
        flight->at_server = true;
        parts_.note(Event::sending, number_, flight->server, flight->call, flight->number);
        const int to = parts_.servers->at(flight->server).zone;
        if (!parts_.network->reachable(balancer_.zone, to)) {
            flight->at_server = false;  // the attempt is lost without a notice
            return;
        }
        parts_.scheduler.set(parts_.now() + parts_.network->latency(balancer_.zone, to, flight->stream),
                             What::flight_comes, flight->server, handle);
    }

    // Ends an attempt on the balancer's side and reports its result to the core.
    void end(std::uint64_t handle, Outcome outcome) {
        Flight* const flight = parts_.flights->find(handle);
        if (!flight || !flight->awaited) return;
        PoolAdapter& pool_adapter = *pools_[flight->pool];
        pool_adapter.flights.erase(flight->key);
        flight->awaited = false;
        const bool out = flight->phase == Flight::Phase::out;
        const bool kept = outcome == Outcome::ok || outcome == Outcome::error || outcome == Outcome::full;
        if (out) {
            const auto upstream = pool_adapter.upstreams.find(flight->server + 1);
            // A discarded attempt wrote nothing to its connection, so the connection is kept as well.
            if ((kept || (outcome == Outcome::inconclusive && !flight->at_server)) &&
                upstream != pool_adapter.upstreams.end() && upstream->second.takes_work) {
                upstream->second.idle.push_back({flight->link, parts_.now()});
            } else {
                parts_.servers->drop_connection(flight->server, flight->link);
            }
        }
        parts_.note(
            Event::heard, number_, flight->server, flight->call, flight->number,
            static_cast<std::uint64_t>(attempt_end(outcome, out && outcome != Outcome::inconclusive)));
        core::AttemptResult result;
        result.key = flight->key;
        result.outcome = outcome;
        result.fully_sent = out && outcome != Outcome::inconclusive;
        result.latency = parts_.now() - flight->sent;
        result.report = flight->report;
        if (outcome == Outcome::ok) result.answer = std::make_unique<Handle>(handle);
        parts_.flights->release(handle);
        core_.on_attempt_end(std::move(result));
    }

    Balancers& owner_;
    Parts& parts_;
    const std::uint32_t number_;
    Balancer& balancer_;
    const std::uint32_t process_;
    std::uint64_t alarm_ = 0;
    bool closed_ = false;
    struct UnansweredRequest {
        core::CallId id = 0;
        bool held_by_gate = false;  // `id` is one of the gate's
    };
    std::map<std::uint64_t, UnansweredRequest> unanswered_;  // requests without an answer, by handle
    struct RequestIdentity {
        std::uint64_t call = 0;
        std::uint32_t client = 0;
    };
    std::map<std::uint64_t, RequestIdentity>
        recent_requests_;  // the most recently accepted requests, whether ended or not
    std::unique_ptr<PoolAdapter> pools_[2];
    core::Core core_;  // declared late: only the gate is destroyed before it
    struct GateAlarm final : core::Alarm {
        explicit GateAlarm(Process& owner) : process(owner) {}
        void set(Time at) override {
            number = ++process.owner_.alarms_;
            process.parts_.scheduler.set(at, What::alarm, process.number_, number);
        }
        Process& process;
        std::uint64_t number = 0;
    } gate_alarm_{*this};
    std::unique_ptr<door::QueuedCallAcceptor> gate_;  // null without fleet.door
};

Balancers::Balancers(Parts& parts) : parts_(parts) {
    for (int i = 0; i < parts.experiment.fleet.balancers; ++i) {
        Balancer balancer;
        balancer.zone = balancer_zone(parts.experiment, static_cast<std::uint32_t>(i));
        balancers_.push_back(std::move(balancer));
    }
}

Balancers::~Balancers() = default;

std::size_t Balancers::size() const { return balancers_.size(); }
int Balancers::zone(std::uint32_t balancer) const { return balancers_[balancer].zone; }
bool Balancers::up(std::uint32_t balancer) const { return balancers_[balancer].running != nullptr; }
std::uint32_t Balancers::process(std::uint32_t balancer) const { return balancers_[balancer].process; }

void Balancers::begin() {
    for (std::uint32_t balancer = 0; balancer < balancers_.size(); ++balancer) {
        if (parts_.experiment.fleet.knows_start) {
            for (const std::uint32_t pool : {0U, 1U})
                balancers_[balancer].last_lists[pool] = parts_.roster->first_list(pool);
        }
        start(balancer);
    }
}

void Balancers::start(std::uint32_t balancer) {
    Balancer& state = balancers_[balancer];
    if (state.running) return;
    ++state.process;
    parts_.note(Event::came_up, balancer, 0, 0, state.process);
    state.running = std::make_unique<Process>(*this, balancer);
    parts_.roster->process_begins(balancer);
    state.running->begin();
    parts_.scheduler.set(parts_.now() + idle_sweep_interval, What::sweep, balancer, state.process);
    parts_.clients->add_balancer(balancer);
}

void Balancers::kill(std::uint32_t balancer) {
    Balancer& state = balancers_[balancer];
    if (!state.running) return;
    parts_.note(Event::killed, balancer);
    const auto held = state.running->held();
    faults_ += state.running->figures().faults;
    state.running.reset();
    parts_.roster->forget_calls(balancer);
    for (const std::uint64_t handle : held) parts_.clients->break_connection(handle);
    parts_.scheduler.set(parts_.now() + parts_.experiment.fleet.front_notices, What::front_forgets, balancer,
                         state.process);
}

void Balancers::request_shutdown(std::uint32_t balancer) {
    Balancer& state = balancers_[balancer];
    if (!state.running) return;
    parts_.note(Event::told_to_end, balancer);
    parts_.clients->remove_balancer(balancer);
    state.running->close();
}

void Balancers::end(std::uint32_t balancer, std::uint64_t process) {
    Balancer& state = balancers_[balancer];
    if (!state.running || state.process != process) return;
    parts_.note(Event::ended, balancer);
    faults_ += state.running->figures().faults;
    state.running.reset();
    parts_.roster->forget_calls(balancer);
    parts_.scheduler.set(parts_.now() + restart_delay, What::balancer_up, balancer);
}

bool Balancers::accept(std::uint32_t balancer, std::uint64_t handle, const ClientRequest& from) {
    Balancer& state = balancers_[balancer];
    return state.running && state.running->take(handle, from);
}

void Balancers::left(std::uint32_t balancer, std::uint64_t handle) {
    if (balancers_[balancer].running) balancers_[balancer].running->left(handle);
}

void Balancers::connected(std::uint32_t balancer, std::uint64_t flight) {
    if (balancers_[balancer].running) balancers_[balancer].running->connected(flight);
}
void Balancers::connect_refused(std::uint32_t balancer, std::uint64_t flight) {
    if (balancers_[balancer].running) balancers_[balancer].running->connect_refused(flight);
}
void Balancers::answered(std::uint32_t balancer, std::uint64_t flight, How how) {
    if (balancers_[balancer].running) balancers_[balancer].running->answered(flight, how);
}
void Balancers::alarm(std::uint32_t balancer, std::uint64_t which) {
    if (balancers_[balancer].running) balancers_[balancer].running->on_alarm(which);
}
void Balancers::sweep(std::uint32_t balancer, std::uint64_t process) {
    Balancer& state = balancers_[balancer];
    if (state.running && state.process == process) state.running->sweep();
}

void Balancers::list(std::uint32_t balancer, std::uint32_t pool, core::MemberList list) {
    if (balancers_[balancer].running) balancers_[balancer].running->list(pool, std::move(list));
}

std::size_t Balancers::open() const { return figures().open; }

core::Stats Balancers::figures() const {
    core::Stats sum;
    sum.faults = faults_;
    for (const Balancer& balancer : balancers_) {
        if (!balancer.running) continue;
        const core::Stats figures = balancer.running->figures();
        sum.accepted += figures.accepted;
        sum.open += figures.open;
        sum.waiting += figures.waiting;
        sum.watchdog_answers += figures.watchdog_answers;
        sum.faults += figures.faults;
        sum.in_doubt += figures.in_doubt;
        sum.timers += figures.timers;
    }
    return sum;
}

}  // namespace flaxdoor::lab
