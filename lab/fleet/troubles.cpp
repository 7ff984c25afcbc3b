#include "fleet/troubles.h"

#include <algorithm>
#include <cmath>

#include "fleet/balancers.h"
#include "fleet/clients.h"
#include "fleet/network.h"
#include "fleet/roster.h"
#include "fleet/servers.h"

namespace flaxdoor::lab {

namespace {

using Kind = Trouble::Kind;

template <typename Things, typename Name>
int place_of(const Things& things, Name name, const std::string& wanted) {
    for (std::size_t i = 0; i < things.size(); ++i) {
        if (name(things[i]) == wanted) return static_cast<int>(i);
    }
    return -1;
}

// So many of `count`, at least one, drawn without one twice, in the order of their numbers.
std::vector<std::uint32_t> some(Stream& stream, std::vector<std::uint32_t> all, double share) {
    const auto wanted = std::min<std::size_t>(
        all.size(),
        static_cast<std::size_t>(std::max(1.0, std::round(share * static_cast<double>(all.size())))));
    for (std::size_t i = 0; i < wanted; ++i) std::swap(all[i], all[i + stream.below(all.size() - i)]);
    all.resize(wanted);
    std::sort(all.begin(), all.end());
    return all;
}

bool replaces(Kind kind) { return kind == Kind::crash || kind == Kind::replace || kind == Kind::zone_lost; }
bool in_steps(Kind kind) { return kind == Kind::replace || kind == Kind::roll_balancers; }

}  // namespace

Troubles::Troubles(Parts& parts) : parts_(parts) {
    const Experiment& e = parts.experiment;
    std::vector<std::uint32_t> servers, balancers;
    for (int i = 0; i < e.servers.count; ++i) servers.push_back(static_cast<std::uint32_t>(i));
    for (int i = 0; i < e.fleet.balancers; ++i) balancers.push_back(static_cast<std::uint32_t>(i));
    for (std::size_t n = 0; n < e.troubles.size(); ++n) {
        const Trouble& trouble = e.troubles[n];
        Stream stream(e.seed, Whose::trouble, n);
        Planned planned;
        switch (trouble.kind) {
            case Kind::slow:
            case Kind::failing:
            case Kind::hang:
            case Kind::crash:
            case Kind::drain:
            case Kind::replace:
                if (trouble.on.starts_with("server ")) {
                    planned.servers = {static_cast<std::uint32_t>(std::stoul(trouble.on.substr(7)))};
                } else {
                    planned.servers = some(stream, servers, trouble.share);
                }
                break;
            case Kind::zone_lost:
            case Kind::zone_cut:
                planned.on = place_of(
                    e.fleet.zones, [](const Zone& z) { return z.name; }, trouble.on);
                break;
            case Kind::tenant_flood:
                planned.on = place_of(
                    e.tenants, [](const TenantKind& t) { return t.told.name; }, trouble.on);
                break;
            case Kind::heavy:
                planned.on = place_of(
                    e.classes, [](const CallClass& c) { return c.told.name; }, trouble.on);
                break;
            case Kind::kill_balancers: planned.balancers = some(stream, balancers, trouble.share); break;
            case Kind::roll_balancers: planned.balancers = some(stream, balancers, 1); break;
            default: break;
        }
        if (trouble.kind == Kind::zone_lost) {
            for (const std::uint32_t server : servers) {
                if (parts.servers->at(server).zone == planned.on) planned.servers.push_back(server);
            }
        }
        if (replaces(trouble.kind)) {
            for (const std::uint32_t server : planned.servers)
                planned.fresh.push_back(parts.servers->plan(server));
        }
        // Servers that came in place of others may be hit by later troubles.
        for (std::size_t i = 0; i < planned.fresh.size(); ++i) {
            std::replace(servers.begin(), servers.end(), planned.servers[i], planned.fresh[i]);
        }
        planned_.push_back(std::move(planned));
    }
}

void Troubles::begin() {
    const Experiment& e = parts_.experiment;
    for (std::size_t n = 0; n < e.troubles.size(); ++n) {
        const Trouble& trouble = e.troubles[n];
        const Time at = Parts::begins + trouble.at;
        parts_.scheduler.set(at, What::trouble_begins, 0, n);
        parts_.scheduler.set(at + trouble.lasts, What::trouble_ends, 0, n);
        if (!in_steps(trouble.kind)) continue;
        // Ten steps at most, evenly over its time.
        const std::size_t hit = std::max(planned_[n].servers.size(), planned_[n].balancers.size());
        const std::uint64_t steps = std::clamp<std::uint64_t>(hit, 1, 10);
        for (std::uint64_t s = 0; s < steps; ++s) {
            parts_.scheduler.set(
                at + trouble.lasts * static_cast<std::int64_t>(s) / static_cast<std::int64_t>(steps),
                What::trouble_step, 0, n, s << 8U | steps);
        }
    }
}

void Troubles::server_dies(std::uint32_t server) {
    if (!parts_.servers->at(server).up) return;
    parts_.servers->stop(server);
    parts_.roster->change(server, Word::gone);
}

void Troubles::server_comes(std::uint32_t server) {
    if (parts_.servers->at(server).up) return;
    parts_.servers->start(server, true);
    parts_.roster->change(server, Word::ready);
}

void Troubles::step(std::uint64_t number, std::uint64_t which) {
    const Trouble& trouble = parts_.experiment.troubles[number];
    const Planned& planned = planned_[number];
    const std::uint64_t steps = which & 0xFFU, step = which >> 8U;
    const auto part = [&](std::size_t count, auto work) {
        for (std::size_t i = count * step / steps; i < count * (step + 1) / steps; ++i) work(i);
    };
    if (trouble.kind == Kind::replace) {
        part(planned.servers.size(), [&](std::size_t i) {
            server_comes(planned.fresh[i]);
            server_dies(planned.servers[i]);
        });
    } else {
        part(planned.balancers.size(),
             [&](std::size_t i) { parts_.balancers->tell_to_end(planned.balancers[i]); });
    }
}

void Troubles::begins(std::uint64_t number) {
    parts_.note(Event::trouble, 0, 0, 0, number, 1);
    hit(parts_.experiment.troubles[number], planned_[number], true);
}

void Troubles::ends(std::uint64_t number) {
    parts_.note(Event::trouble, 0, 0, 0, number, 0);
    hit(parts_.experiment.troubles[number], planned_[number], false);
}

void Troubles::hit(const Trouble& trouble, const Planned& planned, bool on) {
    const double factor = on ? trouble.size : 1 / trouble.size;
    const double added = on ? trouble.size : -trouble.size;
    const Micros by = on ? trouble.by : -trouble.by;
    switch (trouble.kind) {
        case Kind::burst: return parts_.clients->burst(factor);
        case Kind::tenant_flood: return parts_.clients->flood(planned.on, factor);
        case Kind::heavy: return parts_.clients->heavier(planned.on, factor);
        case Kind::shared_slow: return parts_.servers->slow_all(factor);
        case Kind::slow:
            for (const std::uint32_t server : planned.servers) parts_.servers->at(server).slower *= factor;
            return;
        case Kind::failing:
            for (const std::uint32_t server : planned.servers) parts_.servers->at(server).fails += added;
            return;
        case Kind::hang:
            for (const std::uint32_t server : planned.servers) parts_.servers->at(server).hangs = on;
            return;
        case Kind::crash:
        case Kind::zone_lost:
            for (std::size_t i = 0; i < planned.servers.size(); ++i) {
                on ? server_dies(planned.servers[i]) : server_comes(planned.fresh[i]);
            }
            return;
        case Kind::drain:
            for (const std::uint32_t server : planned.servers) {
                if (!on) {
                    server_dies(server);
                } else if (parts_.servers->at(server).up) {
                    parts_.roster->change(server, Word::draining);
                }
            }
            return;
        case Kind::kill_balancers:
            for (const std::uint32_t balancer : planned.balancers) {
                on ? parts_.balancers->kill(balancer) : parts_.balancers->start(balancer);
            }
            return;
        case Kind::zone_cut: on ? parts_.network->cut(planned.on) : parts_.network->mend(planned.on); return;
        case Kind::answers_lost: return parts_.network->add_answers_lost(added);
        case Kind::resets: return parts_.network->add_resets(added);
        case Kind::late_connect: return parts_.network->add_late_connect(by);
        case Kind::roster_late: return parts_.roster->add_late(by);
        case Kind::roster_silent:
            if (on) parts_.roster->silence_watches();
            return;
        case Kind::roster_down: return parts_.roster->take_down(on);
        case Kind::primary_lost: {
            const auto first = static_cast<std::uint32_t>(parts_.experiment.servers.count);
            const auto standbys = static_cast<std::uint32_t>(parts_.experiment.postgres.standbys);
            if (parts_.experiment.postgres.rate <= 0) return;
            if (on) return server_dies(first);
            if (standbys > 0 && parts_.servers->at(first + 1).up)
                parts_.roster->change(first + 1, Word::ready);
            return;
        }
        case Kind::replace:
        case Kind::roll_balancers: return;  // in steps
    }
}

}  // namespace flaxdoor::lab
