#include "fleet/balancers.h"

#include "door/gate.h"
#include "fleet/clients.h"
#include "fleet/network.h"
#include "fleet/roster.h"
#include "fleet/servers.h"

namespace flaxdoor::lab {

namespace {

// As the daemon allows for the ways between a client and it.
constexpr Micros unseen = std::chrono::milliseconds(4);
constexpr Micros sweep_every = std::chrono::seconds(1);
// Between its last answer and its next process.
constexpr Micros starts_again = std::chrono::milliseconds(500);
// Tries of which a process remembers whose they are: more than come to one while any of them may be answered.
constexpr std::size_t names_most = 20'000;

class Handle final : public core::Payload {
public:
    explicit Handle(std::uint64_t its) : handle(its) {}
    const std::uint64_t handle;
};

}  // namespace

int balancer_zone(const Experiment& e, std::uint32_t balancer) {
    double sum = 0;
    for (const Zone& zone : e.fleet.zones) sum += zone.traffic;
    double place = (balancer + 0.5) / e.fleet.balancers * sum;
    for (std::size_t z = 0; z < e.fleet.zones.size(); ++z) {
        place -= e.fleet.zones[z].traffic;
        if (place < 0) return static_cast<int>(z);
    }
    return static_cast<int>(e.fleet.zones.size()) - 1;
}

Settings settings_for(const Experiment& e, std::uint32_t balancer, int zone) {
    Settings s = e.module;
    s.rank = static_cast<int>(balancer);
    s.balancers = e.fleet.balancers;
    s.zone = zone;
    s.zones = static_cast<int>(e.fleet.zones.size());
    s.classes.clear();
    for (const CallClass& c : e.classes) s.classes.push_back(c.told);
    s.tenants.clear();
    for (const TenantKind& t : e.tenants) s.tenants.push_back(t.told);
    s.must_ask_list = e.roster.mode == RosterMode::asked;
    s.idle_close = e.network.idle_close;
    s.cold_share = e.servers.cold_share;
    s.ramp_time = e.servers.ramp;
    s.fall_multiple = e.servers.fall_multiple;
    s.fall_span = e.servers.fall_span;
    s.reports = ReportSource::answers;
    s.report_fields = {ReportField::in_flight, ReportField::service_ms, ReportField::errors};
    return s;
}

Settings postgres_settings_for(const Experiment& e, std::uint32_t balancer, int zone) {
    Settings s = settings_for(e, balancer, zone);
    ClassSettings unit;
    unit.name = "unit";
    unit.effect = flaxdoor::Effect::unsafe;
    unit.aim = e.postgres.deadline / 2;
    unit.deadline = e.postgres.deadline;
    s.classes = {unit};
    s.tenants.clear();
    return s;
}

// As engine/door_terms makes them of a platform that tells shares.
door::Terms door_terms(const Settings& settings) {
    door::Terms terms;
    for (const auto& each : settings.tenants)
        terms.tenants.push_back({each.name, each.fraction > 0 ? each.fraction * 100 : 1, {}});
    for (const auto& each : settings.classes)
        terms.classes.push_back({each.name, each.worth, each.aim / 4, {}});
    if (settings.max_retry_after > Micros{}) terms.book.longest = settings.max_retry_after;
    return terms;
}

// One process: it lives from its start until it is killed or ends.
class Balancers::Process final : public core::Clock,
                                 public core::Alarm,
                                 public core::Log,
                                 public core::Front {
public:
    Process(Balancers& owner, std::uint32_t number)
        : owner_(owner),
          parts_(owner.parts_),
          number_(number),
          its_(owner.balancers_[number]),
          process_(its_.process),
          core_(*this, *this, *this, options()) {
        Stream stream(parts_.seed(), Whose::balancer, number, its_.process);
        add_pool(0, settings_for(parts_.experiment, number, its_.zone), stream());
        if (parts_.experiment.fleet.door) {
            const Settings settings = settings_for(parts_.experiment, number, its_.zone);
            gate_ = std::make_unique<door::Gate>(
                door::Gate::World{core_, *this, gate_alarm_}, door_terms(settings),
                door::Gate::Options{settings.retry_after, std::chrono::seconds(30), false}, stream(),
                door::Tokens::Secret{});
        }
        if (parts_.experiment.postgres.rate > 0) {
            add_pool(1, postgres_settings_for(parts_.experiment, number, its_.zone), stream());
        }
    }

    // The lists of its start, and the roster's. Apart from the constructor: what follows may ask for it.
    void begin() {
        for (auto& side : sides_) {
            if (!side) continue;
            core_.on_list(side->id, its_.kept[side->pool]);
            if (parts_.experiment.roster.mode == RosterMode::pushed)
                parts_.roster->watch(number_, side->pool);
        }
    }

    ~Process() override {
        for (auto& side : sides_) {
            if (side) side->forget();
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

    // -------------------------------------------------------------------------------------------- clients

    bool take(std::uint64_t handle, const Try& from) {
        if (closed_) return false;
        const bool unit = static_cast<std::size_t>(from.class_index) >= parts_.experiment.classes.size();
        core::Call call;
        Side* const side = sides_[unit ? 1 : 0].get();
        call.pool = side->id;
        call.class_index = unit ? 0 : from.class_index;
        call.name = std::to_string(from.call);
        if (from.tenant >= 0) call.tenant = {core::Tenant::Kind::known, from.tenant};
        call.key = from.key;
        call.budget = from.gives_up - from.asked;
        call.unseen = unseen;
        call.client_retry = from.number > 0;
        call.payload = std::make_shared<Handle>(handle);
        parts_.note(Event::taken, number_, from.client, from.call);
        core::CallId id = 0;
        held_.emplace(handle, HeldCall{0, gate_ && !unit});
        // Handles grow: the oldest is the first.
        if (names_.size() >= names_most) names_.erase(names_.begin());
        names_.emplace_hint(names_.end(), handle, Name{from.call, from.client});
        core::Taken taken = core::Taken::yes;
        if (gate_ && !unit) {
            gate_->asked_by(std::to_string(from.client), {}, 500);
            taken = gate_->take(std::move(call), *this, handle, &id);
        } else {
            taken = core_.take(std::move(call), *this, handle, &id);
        }
        if (taken == core::Taken::yes) {
            if (const auto found = held_.find(handle); found != held_.end()) found->second.id = id;
        } else {
            // The front words what the core did not take: a repeat is harmless.
            final_answer(handle, {Verdict::refused, Micros{0}});
        }
        return true;
    }

    void left(std::uint64_t handle) {
        const auto found = held_.find(handle);
        if (found == held_.end()) return;
        const HeldCall call = found->second;
        held_.erase(found);
        if (call.at_gate) {
            gate_->leave(call.id);
        } else {
            (void)core_.leave(call.id);
        }
        end_if_done();
    }

    void on_started(std::uint64_t, std::unique_ptr<core::Payload>) override {}
    void on_final(std::uint64_t token, core::Final answer) override {
        final_answer(token, {answer.verdict == core::Verdict::served    ? Verdict::served
                             : answer.verdict == core::Verdict::refused ? Verdict::refused
                                                                        : Verdict::failed,
                             answer.retry_after});
    }

    // --------------------------------------------------------------------------------------------- flights

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
        for (auto& side : sides_) {
            if (side) side->close_older(oldest);
        }
        parts_.scheduler.set(parts_.now() + sweep_every, What::sweep, number_, process_);
    }

    void list(std::uint32_t pool, core::MemberList list) {
        if (sides_[pool]) core_.on_list(sides_[pool]->id, std::move(list));
    }

    void close() {
        closed_ = true;
        if (gate_) gate_->begin_drain();
        core_.close();
        end_if_done();
    }

    std::vector<std::uint64_t> held() const {
        std::vector<std::uint64_t> all;
        for (const auto& [handle, id] : held_) all.push_back(handle);
        return all;
    }
    core::Figures figures() const { return core_.figures(); }

private:
    // A pool's back and source.
    struct Side final : core::Back, core::Source {
        Side(Process& its_process, std::uint32_t its_pool) : process(its_process), pool(its_pool) {}

        struct Link {
            std::uint32_t reaches = 0;  // which process of the server
            Time idle_since{};
        };
        struct Upstream {
            bool takes_work = false;
            std::vector<Link> idle;
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
                        flight->phase == Flight::Phase::out ? Outcome::timeout : Outcome::moot);
        }
        void close_idle(UpstreamId upstream) override { close_all(upstream); }
        void watch() override { process.parts_.roster->watch(process.number_, pool); }
        void unwatch() override { process.parts_.roster->unwatch(process.number_, pool); }
        void fetch() override { process.parts_.roster->fetch(process.number_, pool); }

        void close_all(UpstreamId upstream) {
            const auto found = upstreams.find(upstream);
            if (found == upstreams.end()) return;
            for (const Link& link : found->second.idle) drop(upstream, link);
            found->second.idle.clear();
        }
        void drop(UpstreamId upstream, const Link& link) {
            process.parts_.servers->drop_connection(static_cast<std::uint32_t>(upstream - 1), link.reaches);
        }
        void close_older(Time oldest) {
            for (auto& [id, upstream] : upstreams) {
                const UpstreamId its = id;
                std::erase_if(upstream.idle, [&](const Link& link) {
                    if (link.idle_since > oldest) return false;
                    drop(its, link);
                    return true;
                });
            }
        }
        // The process has gone, and its connections with it.
        void forget() {
            for (auto& [id, upstream] : upstreams) {
                for (const Link& link : upstream.idle) drop(id, link);
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

    static Heard heard(Outcome outcome, bool whole) {
        switch (outcome) {
            case Outcome::ok: return Heard::ok;
            case Outcome::error: return Heard::error;
            case Outcome::full: return Heard::turned_away;
            case Outcome::reset: return Heard::reset;
            case Outcome::connect_failed:
            case Outcome::moot: return Heard::never_left;
            case Outcome::timeout:
            case Outcome::cancelled: break;
        }
        return whole ? Heard::timed_out : Heard::never_left;
    }

    void add_pool(std::uint32_t pool, Settings settings, std::uint64_t seed) {
        sides_[pool] = std::make_unique<Side>(*this, pool);
        sides_[pool]->id = core_.add_pool({pool == 0 ? "nodes" : "postgres", std::move(settings), seed},
                                          *sides_[pool], sides_[pool].get());
    }

    void final_answer(std::uint64_t handle, const Answer& answer) {
        held_.erase(handle);
        // Also one that comes when its client has gone or has an answer: the judge is to see it.
        const auto found = names_.find(handle);
        const Name of = found == names_.end() ? Name{} : found->second;
        parts_.note(Event::final_answer, number_, of.client, of.call,
                    static_cast<std::uint64_t>(answer.verdict),
                    static_cast<std::uint64_t>(answer.retry_after.count()));
        parts_.clients->send_back(handle, answer);
        end_if_done();
    }

    void end_if_done() {
        if (closed_ && held_.empty()) {
            parts_.scheduler.set(parts_.now(), What::balancer_ended, number_, process_);
        }
    }

    void send(Side& side, core::Attempt attempt) {
        const std::uint64_t token = static_cast<const Handle&>(*attempt.payload).handle;
        const Try* const from = parts_.clients->find(token);
        const std::uint64_t call = from ? from->call : 0;
        const auto number = static_cast<std::uint32_t>(attempt.key.number);
        Flight flight(Stream(parts_.seed(), Whose::attempt, call, number));
        flight.balancer = number_;
        flight.zone = its_.zone;
        flight.process = process_;
        flight.pool = side.pool;
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
        side.flights.emplace(attempt.key, handle);
        Flight& its = *parts_.flights->find(handle);
        its.breaks = parts_.network->breaks(its.stream);
        const Servers::Server& server = parts_.servers->at(its.server);
        auto& idle = side.upstreams[attempt.upstream].idle;
        while (!idle.empty()) {
            const Side::Link link = idle.back();
            idle.pop_back();
            if (!server.up || link.reaches != server.process) continue;  // it was closed from there
            its.link = link.reaches;
            return write(handle);
        }
        connect(handle);
    }

    void connect(std::uint64_t handle) {
        Flight& flight = *parts_.flights->find(handle);
        const Servers::Server& server = parts_.servers->at(flight.server);
        if (!parts_.network->passes(its_.zone, server.zone)) {
            // Nothing comes back; the connection is given up in its time, where there is one.
            const Micros limit = parts_.experiment.module.connect_timeout;
            if (limit > Micros{0}) {
                parts_.scheduler.set(parts_.now() + limit, What::connect_refused, number_, handle);
            }
            return;
        }
        const Micros trip = parts_.network->way(its_.zone, server.zone, flight.stream) +
                            parts_.network->way(server.zone, its_.zone, flight.stream);
        const Micros late = parts_.network->late_connect(flight.stream);
        const bool up = server.up;
        parts_.scheduler.set(parts_.now() + trip + late, up ? What::connected : What::connect_refused,
                             number_, handle);
    }

    void write(std::uint64_t handle) {
        Flight* flight = parts_.flights->find(handle);
        const auto side = sides_[flight->pool].get();
        const auto upstream = side->upstreams.find(flight->server + 1);
        const bool open = upstream != side->upstreams.end() && upstream->second.takes_work;
        flight->phase = Flight::Phase::out;
        if (!open || !core_.on_attempt_sending(flight->key)) return end(handle, Outcome::moot);
        flight = parts_.flights->find(handle);
        if (!flight || !flight->awaited) return;
        flight->at_server = true;
        parts_.note(Event::sending, number_, flight->server, flight->call, flight->number);
        const int to = parts_.servers->at(flight->server).zone;
        if (!parts_.network->passes(its_.zone, to)) {
            flight->at_server = false;  // it never arrives, and nobody hears of it
            return;
        }
        parts_.scheduler.set(parts_.now() + parts_.network->way(its_.zone, to, flight->stream),
                             What::flight_comes, flight->server, handle);
    }

    // The balancer has done with it.
    void end(std::uint64_t handle, Outcome outcome) {
        Flight* const flight = parts_.flights->find(handle);
        if (!flight || !flight->awaited) return;
        Side& side = *sides_[flight->pool];
        side.flights.erase(flight->key);
        flight->awaited = false;
        const bool out = flight->phase == Flight::Phase::out;
        const bool kept = outcome == Outcome::ok || outcome == Outcome::error || outcome == Outcome::full;
        if (out) {
            const auto upstream = side.upstreams.find(flight->server + 1);
            // A moot one never wrote to its connection: that is kept as well.
            if ((kept || (outcome == Outcome::moot && !flight->at_server)) &&
                upstream != side.upstreams.end() && upstream->second.takes_work) {
                upstream->second.idle.push_back({flight->link, parts_.now()});
            } else {
                parts_.servers->drop_connection(flight->server, flight->link);
            }
        }
        parts_.note(Event::heard, number_, flight->server, flight->call, flight->number,
                    static_cast<std::uint64_t>(heard(outcome, out && outcome != Outcome::moot)));
        core::AttemptResult result;
        result.key = flight->key;
        result.outcome = outcome;
        result.whole = out && outcome != Outcome::moot;
        result.latency = parts_.now() - flight->sent;
        result.report = flight->report;
        if (outcome == Outcome::ok) result.answer = std::make_unique<Handle>(handle);
        parts_.flights->release(handle);
        core_.on_attempt_end(std::move(result));
    }

    Balancers& owner_;
    Parts& parts_;
    const std::uint32_t number_;
    Balancer& its_;
    const std::uint32_t process_;
    std::uint64_t alarm_ = 0;
    bool closed_ = false;
    struct HeldCall {
        core::CallId id = 0;
        bool at_gate = false;  // the id is the gate's
    };
    std::map<std::uint64_t, HeldCall> held_;  // tries that have no answer yet
    struct Name {
        std::uint64_t call = 0;
        std::uint32_t client = 0;
    };
    std::map<std::uint64_t, Name> names_;  // of the last tries that it took, whether they are over or not
    std::unique_ptr<Side> sides_[2];
    core::Core core_;  // goes first but for the gate
    struct GateAlarm final : core::Alarm {
        explicit GateAlarm(Process& its) : process(its) {}
        void set(Time at) override {
            number = ++process.owner_.alarms_;
            process.parts_.scheduler.set(at, What::alarm, process.number_, number);
        }
        Process& process;
        std::uint64_t number = 0;
    } gate_alarm_{*this};
    std::unique_ptr<door::Gate> gate_;  // with fleet.door
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
    for (std::uint32_t b = 0; b < balancers_.size(); ++b) {
        if (parts_.experiment.fleet.knows_start) {
            for (const std::uint32_t pool : {0U, 1U})
                balancers_[b].kept[pool] = parts_.roster->first_list(pool);
        }
        start(b);
    }
}

void Balancers::start(std::uint32_t balancer) {
    Balancer& its = balancers_[balancer];
    if (its.running) return;
    ++its.process;
    parts_.note(Event::came_up, balancer, 0, 0, its.process);
    its.running = std::make_unique<Process>(*this, balancer);
    parts_.roster->process_begins(balancer);
    its.running->begin();
    parts_.scheduler.set(parts_.now() + sweep_every, What::sweep, balancer, its.process);
    parts_.clients->front_takes(balancer);
}

void Balancers::kill(std::uint32_t balancer) {
    Balancer& its = balancers_[balancer];
    if (!its.running) return;
    parts_.note(Event::killed, balancer);
    const auto held = its.running->held();
    faults_ += its.running->figures().faults;
    its.running.reset();
    parts_.roster->forget_calls(balancer);
    for (const std::uint64_t handle : held) parts_.clients->break_off(handle);
    parts_.scheduler.set(parts_.now() + parts_.experiment.fleet.front_notices, What::front_forgets, balancer,
                         its.process);
}

void Balancers::tell_to_end(std::uint32_t balancer) {
    Balancer& its = balancers_[balancer];
    if (!its.running) return;
    parts_.note(Event::told_to_end, balancer);
    parts_.clients->front_forgets(balancer);
    its.running->close();
}

void Balancers::end(std::uint32_t balancer, std::uint64_t process) {
    Balancer& its = balancers_[balancer];
    if (!its.running || its.process != process) return;
    parts_.note(Event::ended, balancer);
    faults_ += its.running->figures().faults;
    its.running.reset();
    parts_.roster->forget_calls(balancer);
    parts_.scheduler.set(parts_.now() + starts_again, What::balancer_up, balancer);
}

bool Balancers::takes(std::uint32_t balancer, std::uint64_t handle, const Try& from) {
    Balancer& its = balancers_[balancer];
    return its.running && its.running->take(handle, from);
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
    Balancer& its = balancers_[balancer];
    if (its.running && its.process == process) its.running->sweep();
}

void Balancers::list(std::uint32_t balancer, std::uint32_t pool, core::MemberList list) {
    if (balancers_[balancer].running) balancers_[balancer].running->list(pool, std::move(list));
}

std::size_t Balancers::open() const { return figures().open; }

core::Figures Balancers::figures() const {
    core::Figures sum;
    sum.faults = faults_;
    for (const Balancer& its : balancers_) {
        if (!its.running) continue;
        const core::Figures f = its.running->figures();
        sum.taken += f.taken;
        sum.open += f.open;
        sum.waiting += f.waiting;
        sum.overdue += f.overdue;
        sum.faults += f.faults;
        sum.doubts += f.doubts;
        sum.timers += f.timers;
    }
    return sum;
}

}  // namespace flaxdoor::lab
