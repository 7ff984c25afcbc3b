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

template <typename Items, typename Name>
int index_of(const Items& items, Name name, const std::string& wanted) {
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (name(items[i]) == wanted) return static_cast<int>(i);
    }
    return -1;
}

// Draws the given share of `all`, at least one, without replacement. The result is in ascending order.
std::vector<std::uint32_t> draw_some(Stream& stream, std::vector<std::uint32_t> all, double share) {
    const auto wanted = std::min<std::size_t>(
        all.size(),
        static_cast<std::size_t>(std::max(1.0, std::round(share * static_cast<double>(all.size())))));
    for (std::size_t i = 0; i < wanted; ++i) std::swap(all[i], all[i + stream.below(all.size() - i)]);
    all.resize(wanted);
    std::sort(all.begin(), all.end());
    return all;
}

bool replaces(Kind kind) { return kind == Kind::crash || kind == Kind::replace || kind == Kind::zone_lost; }
bool is_gradual(Kind kind) { return kind == Kind::replace || kind == Kind::roll_balancers; }

}  // namespace

Troubles::Troubles(Parts& parts) : parts_(parts) {
    const Experiment& experiment = parts.experiment;
    std::vector<std::uint32_t> servers, balancers;
    for (int i = 0; i < experiment.servers.count; ++i) servers.push_back(static_cast<std::uint32_t>(i));
    for (int i = 0; i < experiment.fleet.balancers; ++i) balancers.push_back(static_cast<std::uint32_t>(i));
    for (std::size_t index = 0; index < experiment.troubles.size(); ++index) {
        const Trouble& trouble = experiment.troubles[index];
        Stream stream(experiment.seed, Whose::trouble, index);
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
                    planned.servers = draw_some(stream, servers, trouble.share);
                }
                break;
            case Kind::zone_lost:
            case Kind::zone_cut:
                planned.on = index_of(
                    experiment.fleet.zones, [](const Zone& zone) { return zone.name; }, trouble.on);
                break;
            case Kind::tenant_flood:
                planned.on = index_of(
                    experiment.tenants, [](const TenantKind& tenant) { return tenant.told.name; },
                    trouble.on);
                break;
            case Kind::heavy:
                planned.on = index_of(
                    experiment.classes, [](const CallClass& call_class) { return call_class.told.name; },
                    trouble.on);
                break;
            case Kind::kill_balancers: planned.balancers = draw_some(stream, balancers, trouble.share); break;
            case Kind::roll_balancers: planned.balancers = draw_some(stream, balancers, 1); break;
            default: break;
        }
        if (trouble.kind == Kind::zone_lost) {
            for (const std::uint32_t server : servers) {
                if (parts.servers->at(server).zone == planned.on) planned.servers.push_back(server);
            }
        }
        if (replaces(trouble.kind)) {
            for (const std::uint32_t server : planned.servers)
                planned.replacements.push_back(parts.servers->plan(server));
        }
        // Later troubles may affect the replacements instead of the replaced servers.
        for (std::size_t i = 0; i < planned.replacements.size(); ++i) {
            std::replace(servers.begin(), servers.end(), planned.servers[i], planned.replacements[i]);
        }
        planned_.push_back(std::move(planned));
    }
}

void Troubles::begin() {
    const Experiment& experiment = parts_.experiment;
    for (std::size_t index = 0; index < experiment.troubles.size(); ++index) {
        const Trouble& trouble = experiment.troubles[index];
        const Time at = Parts::begins + trouble.at;
        parts_.scheduler.set(at, What::trouble_begins, 0, index);
        parts_.scheduler.set(at + trouble.lasts, What::trouble_ends, 0, index);
        if (!is_gradual(trouble.kind)) continue;
        // At most ten steps, evenly spread over the trouble's duration.
        const std::size_t affected =
            std::max(planned_[index].servers.size(), planned_[index].balancers.size());
        const std::uint64_t steps = std::clamp<std::uint64_t>(affected, 1, 10);
        for (std::uint64_t step = 0; step < steps; ++step) {
            parts_.scheduler.set(
                at + trouble.lasts * static_cast<std::int64_t>(step) / static_cast<std::int64_t>(steps),
                What::trouble_step, 0, index, step << 8U | steps);
        }
    }
}

void Troubles::kill_server(std::uint32_t server) {
    if (!parts_.servers->at(server).up) return;
    parts_.servers->stop(server);
    parts_.roster->change(server, Word::gone);
}

void Troubles::start_server(std::uint32_t server) {
    if (parts_.servers->at(server).up) return;
    parts_.servers->start(server, true);
    parts_.roster->change(server, Word::ready);
}

void Troubles::step(std::uint64_t number, std::uint64_t which) {
    const Trouble& trouble = parts_.experiment.troubles[number];
    const Planned& planned = planned_[number];
    const std::uint64_t steps = which & 0xFFU, step = which >> 8U;
    const auto for_each_of_step = [&](std::size_t count, auto work) {
        for (std::size_t i = count * step / steps; i < count * (step + 1) / steps; ++i) work(i);
    };
    if (trouble.kind == Kind::replace) {
        for_each_of_step(planned.servers.size(), [&](std::size_t i) {
            start_server(planned.replacements[i]);
            kill_server(planned.servers[i]);
        });
    } else {
        for_each_of_step(planned.balancers.size(),
                         [&](std::size_t i) { parts_.balancers->request_shutdown(planned.balancers[i]); });
    }
}

void Troubles::begins(std::uint64_t number) {
    parts_.note(Event::trouble, 0, 0, 0, number, 1);
    apply(parts_.experiment.troubles[number], planned_[number], true);
}

void Troubles::ends(std::uint64_t number) {
    parts_.note(Event::trouble, 0, 0, 0, number, 0);
    apply(parts_.experiment.troubles[number], planned_[number], false);
}

void Troubles::apply(const Trouble& trouble, const Planned& planned, bool on) {
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
                on ? kill_server(planned.servers[i]) : start_server(planned.replacements[i]);
            }
            return;
        case Kind::drain:
            for (const std::uint32_t server : planned.servers) {
                if (!on) {
                    kill_server(server);
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
        case Kind::zone_cut:
            on ? parts_.network->cut(planned.on) : parts_.network->reconnect(planned.on);
            return;
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
            if (on) return kill_server(first);
            if (standbys > 0 && parts_.servers->at(first + 1).up)
                parts_.roster->change(first + 1, Word::ready);
            return;
        }
        case Kind::replace:
        case Kind::roll_balancers: return;  // applied in steps
    }
}

}  // namespace flaxdoor::lab
