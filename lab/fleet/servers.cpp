#include "fleet/servers.h"

#include <algorithm>
#include <cmath>

#include "fleet/network.h"

namespace flaxdoor::lab {

namespace {

constexpr Micros sample_every = std::chrono::milliseconds(250);

int zone_by_parts(const std::vector<Zone>& zones, std::uint32_t number, int count) {
    double sum = 0;
    for (const Zone& zone : zones) sum += zone.servers;
    // The middle of its part of the whole.
    double place = (number + 0.5) / count * sum;
    for (std::size_t z = 0; z < zones.size(); ++z) {
        place -= zones[z].servers;
        if (place < 0) return static_cast<int>(z);
    }
    return static_cast<int>(zones.size()) - 1;
}

}  // namespace

double mean_work(const Experiment& experiment) {
    double mean = 0, shares = 0;
    for (const CallClass& c : experiment.classes) {
        mean += c.share * static_cast<double>(c.work.mean.count());
        shares += c.share;
    }
    return shares > 0 ? mean / shares : 1;
}

Servers::Servers(Parts& parts) : parts_(parts), mean_work_(mean_work(parts.experiment)) {
    const auto& e = parts.experiment;
    const auto add = [&](std::uint32_t pool, int zone, double least, double most) {
        Server server;
        server.number = static_cast<std::uint32_t>(servers_.size());
        server.pool = pool;
        server.zone = zone;
        Stream stream(e.seed, Whose::server, server.number);
        server.speed = least + (most - least) * stream.share();
        servers_.push_back(std::move(server));
    };
    for (int i = 0; i < e.servers.count; ++i) {
        add(0, zone_by_parts(e.fleet.zones, static_cast<std::uint32_t>(i), e.servers.count),
            e.servers.speed_least, e.servers.speed_most);
    }
    if (e.postgres.rate > 0) {
        for (int i = 0; i <= e.postgres.standbys; ++i) add(1, 0, 1, 1);
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
    const auto& e = parts_.experiment.servers;
    server.cold = cold && server.pool == 0;
    server.came.clear();
    server.came_sum = 0;
    server.reported_at = Time::min();
    parts_.note(Event::server_up, number, 0, 0,
                static_cast<std::uint64_t>(std::llround(server.speed * e.cores * 1e6)), server.cold ? 1 : 0);
    parts_.scheduler.set(parts_.now() + sample_every, What::server_reports, number, server.process);
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
    const auto& e = parts_.experiment.servers;
    double speed = server.speed / server.slower / (server.pool == 0 ? shared_slow_ : 1);
    if (server.cold) {
        const double age = static_cast<double>((parts_.now() - server.started).count());
        const double part = e.ramp.count() > 0 ? age / static_cast<double>(e.ramp.count()) : 1;
        if (part < 1) speed *= e.cold_share + (1 - e.cold_share) * part;
    }
    return speed;
}

void Servers::comes(std::uint32_t number, std::uint64_t handle) {
    Server& server = servers_[number];
    Flight* const flight = parts_.flights->find(handle);
    if (!flight) return;
    const auto& e = parts_.experiment.servers;
    if (!server.up || server.process != flight->link) return answer(server, handle, How::reset);
    parts_.note(Event::arrived, number, flight->balancer, flight->call, flight->number,
                static_cast<std::uint64_t>(flight->work.count()));
    if (falls(server, flight->work)) {  // also of what it would turn away
        parts_.note(Event::fell, number);
        server.waiting.push_back(handle);
        return stop(number);
    }
    if (server.hangs) {  // it is taken, and that is all
        flight->at_server = false;
        return parts_.flights->release(handle);
    }
    const auto room = static_cast<std::size_t>(e.waiting_room);
    if (server.draining || (server.busy >= e.cores && server.waiting.size() >= room)) {
        return answer(server, handle, How::turned_away);
    }
    server.waiting.push_back(handle);
    work_on(server);
}

bool Servers::falls(Server& server, Micros work) {
    const auto& e = parts_.experiment.servers;
    if (!server.cold) return false;
    const Time now = parts_.now();
    if (now - server.started >= e.ramp) {
        server.cold = false;
        server.came.clear();
        return false;
    }
    server.came.emplace_back(now, static_cast<double>(work.count()));
    server.came_sum += static_cast<double>(work.count());
    while (!server.came.empty() && server.came.front().first + e.fall_span <= now) {
        server.came_sum -= server.came.front().second;
        server.came.pop_front();
    }
    const double age = static_cast<double>((now - server.started).count());
    const double part = std::min(1.0, age / static_cast<double>(std::max<std::int64_t>(1, e.ramp.count())));
    const double can = server.speed * e.cores * (e.cold_share + (1 - e.cold_share) * part) *
                       static_cast<double>(e.fall_span.count()) * e.fall_multiple;
    // Chance alone must not push it over: as many calls of mean work as the span allows, and three times
    // their root and three more.
    const double calls = can / mean_work_;
    return server.came_sum > can + (3 * std::sqrt(calls) + 3) * mean_work_;
}

void Servers::work_on(Server& server) {
    const auto& e = parts_.experiment;
    while (server.busy < e.servers.cores && !server.waiting.empty()) {
        const std::uint64_t handle = server.waiting.front();
        server.waiting.pop_front();
        Flight* const flight = parts_.flights->find(handle);
        if (!flight) continue;
        ++server.busy;
        server.working.push_back(handle);
        double work = static_cast<double>(flight->work.count());
        if (flight->fresh) work += static_cast<double>(e.servers.handshake_work.count());
        const auto in_hand = static_cast<int>(server.waiting.size()) + server.busy;
        if (e.servers.thrash_from > 0 && in_hand > e.servers.thrash_from) {
            work *= 1 + e.servers.thrash_each * (in_hand - e.servers.thrash_from);
        }
        const double takes = work / speed_now(server);
        const double ms = takes / 1000;
        server.service_ms += (server.service_ms == 0 ? 1 : 0.1) * (ms - server.service_ms);
        parts_.scheduler.set(parts_.now() + Micros(std::max<std::int64_t>(1, std::llround(takes))),
                             What::server_done, server.number, handle, server.process);
    }
}

bool Servers::effect(const Server& server, const Flight& flight) {
    const Time now = parts_.now();
    while (!effects_end_.empty() && effects_end_.front().first <= now) {
        const auto found = effects_.find(effects_end_.front().second);
        if (found != effects_.end() && found->second <= now) effects_.erase(found);
        effects_end_.pop_front();
    }
    if (server.pool == 1) return true;
    const ClassSettings& told = parts_.experiment.classes[static_cast<std::size_t>(flight.class_index)].told;
    if (told.effect != flaxdoor::Effect::keyed || flight.effect_key == 0) return true;
    const std::uint64_t group = told.group == Group::zone ? static_cast<std::uint64_t>(server.zone) + 1 : 0;
    const Effect effect{static_cast<std::uint64_t>(flight.class_index) << 32U | group, flight.effect_key};
    const auto [place, made] = effects_.emplace(effect, now + told.window);
    if (!made) return false;
    effects_end_.emplace_back(now + told.window, effect);
    return true;
}

void Servers::done(std::uint32_t number, std::uint64_t handle) {
    Server& server = servers_[number];
    const auto found = std::find(server.working.begin(), server.working.end(), handle);
    if (found == server.working.end()) return;  // it died meanwhile
    *found = server.working.back();
    server.working.pop_back();
    --server.busy;
    Flight* const flight = parts_.flights->find(handle);
    if (flight) {
        const bool fails = flight->stream.chance(server.fails);
        // Half of what fails had its effect before.
        if (!fails || flight->stream.chance(0.5)) {
            parts_.note(Event::ran, number, flight->balancer, flight->call, flight->number,
                        effect(server, *flight) ? 1 : 0);
        }
        const double passed = static_cast<double>((parts_.now() - server.error_at).count()) / 1e6;
        server.errors = server.errors * std::exp(-passed) + (fails ? 1 : 0);
        server.error_at = parts_.now();
        answer(server, handle, fails ? How::error : How::ok);
    }
    if (server.up) work_on(server);
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
    const bool arrives = parts_.network->passes(server.zone, to) &&
                         (how == How::reset || !parts_.network->loses_answer(flight->stream));
    if (!flight->awaited || !arrives) return parts_.flights->release(handle);
    if (flight->breaks) how = How::reset;
    if (how == How::ok) flight->report = report(server);
    parts_.scheduler.set(parts_.now() + parts_.network->way(server.zone, to, flight->stream),
                         What::flight_answered, flight->balancer, handle, static_cast<std::uint64_t>(how));
}

void Servers::samples(std::uint32_t number) {
    Server& server = servers_[number];
    if (!server.up) return;
    parts_.note(Event::load, number, 0, 0, server.waiting.size() + static_cast<std::size_t>(server.busy),
                server.waiting.size());
    parts_.scheduler.set(parts_.now() + sample_every, What::server_reports, number, server.process);
}

}  // namespace flaxdoor::lab
