#include "fleet/servers.h"

#include <algorithm>
#include <cmath>

#include "fleet/network.h"

namespace flaxdoor::lab {

namespace {

// Interval of the load samples in the trace.
constexpr Micros sample_interval = std::chrono::milliseconds(250);

int zone_by_weight(const std::vector<Zone>& zones, std::uint32_t number, int count) {
    double sum = 0;
    for (const Zone& zone : zones) sum += zone.servers;
    // The position is the middle of the server's share.
    double position = (number + 0.5) / count * sum;
    for (std::size_t index = 0; index < zones.size(); ++index) {
        position -= zones[index].servers;
        if (position < 0) return static_cast<int>(index);
    }
    return static_cast<int>(zones.size()) - 1;
}

}  // namespace

double mean_work(const Experiment& experiment) {
    double mean = 0, shares = 0;
    for (const CallClass& call_class : experiment.classes) {
        mean += call_class.share * static_cast<double>(call_class.work.mean.count());
        shares += call_class.share;
    }
    return shares > 0 ? mean / shares : 1;
}

Servers::Servers(Parts& parts) : parts_(parts), mean_work_(mean_work(parts.experiment)) {
    const auto& experiment = parts.experiment;
    const auto add = [&](std::uint32_t pool, int zone, double least, double most) {
        Server server;
        server.number = static_cast<std::uint32_t>(servers_.size());
        server.pool = pool;
        server.zone = zone;
        Stream stream(experiment.seed, Whose::server, server.number);
        server.speed = least + (most - least) * stream.share();
        servers_.push_back(std::move(server));
    };
    for (int i = 0; i < experiment.servers.count; ++i) {
        add(0,
            zone_by_weight(experiment.fleet.zones, static_cast<std::uint32_t>(i), experiment.servers.count),
            experiment.servers.speed_least, experiment.servers.speed_most);
    }
    if (experiment.postgres.rate > 0) {
        for (int i = 0; i <= experiment.postgres.standbys; ++i) add(1, 0, 1, 1);
    }
}

std::uint32_t Servers::plan(std::uint32_t in_place_of) {
    Server server = servers_[in_place_of];
    server.number = static_cast<std::uint32_t>(servers_.size());
    servers_.push_back(server);
    return server.number;
}

void Servers::begin() {
    const auto first = static_cast<std::uint32_t>(parts_.experiment.servers.count);
    for (std::uint32_t i = 0; i < servers_.size(); ++i) {
        if (i < first || servers_[i].pool == 1) start(i, false);
    }
}

void Servers::start(std::uint32_t number, bool cold) {
    Server& server = servers_[number];
    server.up = true;
    server.hangs = server.draining = false;
    ++server.process;
    server.connections = 0;
    server.started = cold ? parts_.now() : Time{};
    const auto& settings = parts_.experiment.servers;
    server.cold = cold && server.pool == 0;
    server.arrivals.clear();
    server.arrived_work = 0;
    server.reported_at = Time::min();
    parts_.note(Event::server_up, number, 0, 0,
                static_cast<std::uint64_t>(std::llround(server.speed * settings.cores * 1e6)),
                server.cold ? 1 : 0);
    parts_.scheduler.set(parts_.now() + sample_interval, What::server_reports, number, server.process);
}

void Servers::stop(std::uint32_t number) {
    Server& server = servers_[number];
    if (!server.up) return;
    server.up = false;
    server.busy = 0;
    parts_.note(Event::server_down, number);
    std::vector<std::uint64_t> held(server.waiting.begin(), server.waiting.end());
    held.insert(held.end(), server.working.begin(), server.working.end());
    server.waiting.clear();
    server.working.clear();
    for (const std::uint64_t handle : held) answer(server, handle, How::reset);
}

bool Servers::takes_connection(Server& server) {
    if (!server.up || server.connections >= parts_.experiment.servers.connections) return false;
    ++server.connections;
    return true;
}

void Servers::drop_connection(std::uint32_t number, std::uint32_t process) {
    Server& server = servers_[number];
    if (server.up && server.process == process && server.connections > 0) --server.connections;
}

double Servers::speed_now(const Server& server) const {
    const auto& settings = parts_.experiment.servers;
    double speed = server.speed / server.slower / (server.pool == 0 ? shared_slowdown_ : 1);
    if (server.cold) {
        const double age = static_cast<double>((parts_.now() - server.started).count());
        const double ramp_part =
            settings.ramp.count() > 0 ? age / static_cast<double>(settings.ramp.count()) : 1;
        if (ramp_part < 1) speed *= settings.cold_share + (1 - settings.cold_share) * ramp_part;
    }
    return speed;
}

void Servers::comes(std::uint32_t number, std::uint64_t handle) {
    Server& server = servers_[number];
    Flight* const flight = parts_.flights->find(handle);
    if (!flight) return;
    const auto& settings = parts_.experiment.servers;
    if (!server.up || server.process != flight->link) return answer(server, handle, How::reset);
    parts_.note(Event::arrived, number, flight->balancer, flight->call, flight->number,
                static_cast<std::uint64_t>(flight->work.count()));
    if (fails_from_overload(server, flight->work)) {  // counts work that would be rejected as well
        parts_.note(Event::fell, number);
        server.waiting.push_back(handle);
        return stop(number);
    }
    if (server.hangs) {  // a hanging server accepts the attempt and never answers
        flight->at_server = false;
        return parts_.flights->release(handle);
    }
    const auto queue_limit = static_cast<std::size_t>(settings.waiting_room);
    if (server.draining || (server.busy >= settings.cores && server.waiting.size() >= queue_limit)) {
        return answer(server, handle, How::turned_away);
    }
    server.waiting.push_back(handle);
    start_work(server);
}

bool Servers::fails_from_overload(Server& server, Micros work) {
    const auto& settings = parts_.experiment.servers;
    if (!server.cold) return false;
    const Time now = parts_.now();
    if (now - server.started >= settings.ramp) {
        server.cold = false;
        server.arrivals.clear();
        return false;
    }
    server.arrivals.emplace_back(now, static_cast<double>(work.count()));
    server.arrived_work += static_cast<double>(work.count());
    while (!server.arrivals.empty() && server.arrivals.front().first + settings.fall_span <= now) {
        server.arrived_work -= server.arrivals.front().second;
        server.arrivals.pop_front();
    }
    const double age = static_cast<double>((now - server.started).count());
    const double ramp_part =
        std::min(1.0, age / static_cast<double>(std::max<std::int64_t>(1, settings.ramp.count())));
    const double bearable = server.speed * settings.cores *
                            (settings.cold_share + (1 - settings.cold_share) * ramp_part) *
                            static_cast<double>(settings.fall_span.count()) * settings.fall_multiple;
    // Random arrivals alone must not make the server fail. For n calls of mean work that the span allows, the limit
    // is therefore higher by 3 * sqrt(n) + 3 calls.
    const double calls = bearable / mean_work_;
    return server.arrived_work > bearable + (3 * std::sqrt(calls) + 3) * mean_work_;
}

void Servers::start_work(Server& server) {
    const auto& experiment = parts_.experiment;
    while (server.busy < experiment.servers.cores && !server.waiting.empty()) {
        const std::uint64_t handle = server.waiting.front();
        server.waiting.pop_front();
        Flight* const flight = parts_.flights->find(handle);
        if (!flight) continue;
        ++server.busy;
        server.working.push_back(handle);
        double work = static_cast<double>(flight->work.count());
        if (flight->fresh) work += static_cast<double>(experiment.servers.handshake_work.count());
        const auto in_hand = static_cast<int>(server.waiting.size()) + server.busy;
        if (experiment.servers.thrash_from > 0 && in_hand > experiment.servers.thrash_from) {
            work *= 1 + experiment.servers.thrash_each * (in_hand - experiment.servers.thrash_from);
        }
        const double duration_us = work / speed_now(server);
        const double duration_ms = duration_us / 1000;
        server.service_ms += (server.service_ms == 0 ? 1 : 0.1) * (duration_ms - server.service_ms);
        parts_.scheduler.set(parts_.now() + Micros(std::max<std::int64_t>(1, std::llround(duration_us))),
                             What::server_done, server.number, handle, server.process);
    }
}

bool Servers::apply_effect(const Server& server, const Flight& flight) {
    const Time now = parts_.now();
    while (!effect_expiry_.empty() && effect_expiry_.front().first <= now) {
        const auto found = effect_windows_.find(effect_expiry_.front().second);
        if (found != effect_windows_.end() && found->second <= now) effect_windows_.erase(found);
        effect_expiry_.pop_front();
    }
    if (server.pool == 1) return true;
    const ClassSettings& told = parts_.experiment.classes[static_cast<std::size_t>(flight.class_index)].told;
    if (told.effect != flaxdoor::Effect::keyed || flight.effect_key == 0) return true;
    const std::uint64_t group =
        told.group == DeduplicationScope::zone ? static_cast<std::uint64_t>(server.zone) + 1 : 0;
    const Effect effect{static_cast<std::uint64_t>(flight.class_index) << 32U | group, flight.effect_key};
    const auto [place, made] = effect_windows_.emplace(effect, now + told.window);
    if (!made) return false;
    effect_expiry_.emplace_back(now + told.window, effect);
    return true;
}

void Servers::done(std::uint32_t number, std::uint64_t handle) {
    Server& server = servers_[number];
    const auto found = std::find(server.working.begin(), server.working.end(), handle);
    if (found == server.working.end()) return;  // the server died meanwhile
    *found = server.working.back();
    server.working.pop_back();
    --server.busy;
    Flight* const flight = parts_.flights->find(handle);
    if (flight) {
        const bool fails = flight->stream.chance(server.fails);
        // Half of the failing attempts execute before they fail.
        if (!fails || flight->stream.chance(0.5)) {
            parts_.note(Event::ran, number, flight->balancer, flight->call, flight->number,
                        apply_effect(server, *flight) ? 1 : 0);
        }
        const double passed = static_cast<double>((parts_.now() - server.error_at).count()) / 1e6;
        server.errors = server.errors * std::exp(-passed) + (fails ? 1 : 0);
        server.error_at = parts_.now();
        answer(server, handle, fails ? How::error : How::ok);
    }
    if (server.up) start_work(server);
}

const Report& Servers::report(Server& server) {
    if (server.reported_at > Time::min() &&
        parts_.now() - server.reported_at < parts_.experiment.servers.report_every) {
        return server.report;
    }
    server.reported_at = parts_.now();
    server.report = {static_cast<float>(server.waiting.size() + static_cast<std::size_t>(server.busy)),
                     static_cast<float>(server.service_ms), static_cast<float>(server.errors)};
    return server.report;
}

void Servers::answer(Server& server, std::uint64_t handle, How how) {
    Flight* const flight = parts_.flights->find(handle);
    if (!flight) return;
    flight->at_server = false;
    if (how == How::turned_away) {
        parts_.note(Event::turned_away, server.number, flight->balancer, flight->call, flight->number);
    } else if (how != How::reset) {
        parts_.note(Event::replied, server.number, flight->balancer, flight->call, flight->number,
                    static_cast<std::uint64_t>(how == How::ok ? Reply::ok : Reply::error));
    }
    const int to = flight->zone;
    const bool arrives = parts_.network->reachable(server.zone, to) &&
                         (how == How::reset || !parts_.network->loses_answer(flight->stream));
    if (!flight->awaited || !arrives) return parts_.flights->release(handle);
    if (flight->breaks) how = How::reset;
    if (how == How::ok) flight->report = report(server);
    parts_.scheduler.set(parts_.now() + parts_.network->latency(server.zone, to, flight->stream),
                         What::flight_answered, flight->balancer, handle, static_cast<std::uint64_t>(how));
}

void Servers::samples(std::uint32_t number) {
    Server& server = servers_[number];
    if (!server.up) return;
    parts_.note(Event::load, number, 0, 0, server.waiting.size() + static_cast<std::size_t>(server.busy),
                server.waiting.size());
    parts_.scheduler.set(parts_.now() + sample_interval, What::server_reports, number, server.process);
}

}  // namespace flaxdoor::lab
