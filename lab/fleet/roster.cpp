#include "fleet/roster.h"

#include <algorithm>

#include "fleet/balancers.h"
#include "fleet/servers.h"

namespace flaxdoor::lab {

namespace {

// A watch without even an empty line for this time counts as silent, as with the daemon's own
// membership.silence_timeout.
constexpr Micros silence_timeout = std::chrono::seconds(3);
// Delay before a failed watch is opened again.
constexpr Micros reopen_delay = std::chrono::milliseconds(300);

}  // namespace

Roster::Roster(Parts& parts) : parts_(parts) {
    agent_versions_.resize(static_cast<std::size_t>(parts.experiment.fleet.balancers));
    notified_versions_.resize(agent_versions_.size());
    subscriptions_.resize(agent_versions_.size() * 2);
}

core::Member Roster::member_of(std::uint32_t server, Word word) const {
    const Servers::Server& state = parts_.servers->at(server);
    core::Member member;
    member.name = "s" + std::to_string(server);
    member.address = "server " + std::to_string(server);
    member.entry.id = server + 1;
    member.entry.zone = state.zone;
    member.entry.started_at = state.started;
    member.entry.state = word == Word::ready      ? UpstreamState::ready
                         : word == Word::draining ? UpstreamState::draining
                                                  : UpstreamState::gone;
    return member;
}

core::MemberList Roster::first_list(std::uint32_t pool) const {
    core::MemberList list;
    list.kind = ListKind::cached;
    for (const auto& server : parts_.servers->all()) {
        if (server.pool != pool || !server.up) continue;
        // The PostgreSQL pool contains only the primary.
        if (pool == 1 && !list.members.empty()) break;
        list.members.push_back(member_of(server.number, Word::ready));
    }
    return list;
}

core::MemberList Roster::full_list(std::uint32_t pool, std::uint64_t last_version) const {
    core::MemberList list = first_;
    list.kind = ListKind::full;
    list.version = last_version;
    std::erase_if(list.members, [&](const core::Member& member) {
        return parts_.servers->at(static_cast<std::uint32_t>(member.entry.id - 1)).pool != pool;
    });
    for (std::uint64_t index = 0; index < last_version; ++index) {
        const Change& change = changes_[index];
        if (parts_.servers->at(change.server).pool != pool) continue;
        std::erase_if(list.members,
                      [&](const core::Member& member) { return member.entry.id == change.server + 1; });
        if (change.word != Word::gone) list.members.push_back(change.member);
    }
    return list;
}

void Roster::begin() {
    for (const std::uint32_t pool : {0U, 1U}) {
        for (auto& member : first_list(pool).members) first_.members.push_back(std::move(member));
    }
}

void Roster::change(std::uint32_t server, Word word) {
    changes_.push_back({server, word, member_of(server, word)});
    const std::uint64_t version = changes_.size();
    if (outages_ > 0) return;  // announced when service discovery is up again
    announce(version);
}

void Roster::announce(std::uint64_t version) {
    const auto& roster = parts_.experiment.roster;
    for (std::uint32_t balancer = 0; balancer < agent_versions_.size(); ++balancer) {
        Stream stream(parts_.seed(), Whose::roster, version, balancer);
        const double spread = static_cast<double>((roster.late_most - roster.late_least).count());
        const Micros delay =
            added_delay_ + roster.late_least + Micros(static_cast<std::int64_t>(spread * stream.share()));
        parts_.scheduler.set(parts_.now() + delay, What::roster_tells, balancer, version);
    }
}

void Roster::record_notified(std::uint32_t balancer, std::uint64_t last_version) {
    std::uint64_t& noted = notified_versions_[balancer];
    for (; noted < last_version; ++noted) {
        const Change& change = changes_[noted];
        parts_.note(Event::told, balancer, change.server, 0, static_cast<std::uint64_t>(change.word),
                    Parts::since_begin(change.member.entry.started_at));
    }
}

void Roster::deliver_changes(std::uint32_t balancer, std::uint64_t version) {
    if (agent_versions_[balancer] >= version) return;
    agent_versions_[balancer] = version;
    if (!parts_.balancers->up(balancer)) return;  // counts as notified when the next process starts
    bool silent = false;
    for (const std::uint32_t pool : {0U, 1U}) {
        Subscription& state = subscription(balancer, pool);
        silent |= state.silent;
        if (state.watching && !state.silent) deliver(balancer, pool, ListKind::delta);
    }
    // A pushed change counts as notified once the agent has it. Changes that a silent watch missed count when the
    // next watch delivers them.
    if (parts_.experiment.roster.mode == RosterMode::pushed && !silent) record_notified(balancer, version);
}

void Roster::deliver(std::uint32_t balancer, std::uint32_t pool, ListKind kind) {
    Subscription& state = subscription(balancer, pool);
    const std::uint64_t last_version = agent_versions_[balancer];
    core::MemberList list;
    if (kind == ListKind::full) {
        list = full_list(pool, last_version);
    } else {
        list.kind = ListKind::delta;
        list.version = last_version;
        for (std::uint64_t index = state.delivered; index < last_version; ++index) {
            if (parts_.servers->at(changes_[index].server).pool == pool)
                list.members.push_back(changes_[index].member);
        }
    }
    state.delivered = last_version;
    record_notified(balancer, last_version);
    const double nonsense = parts_.experiment.roster.nonsense;
    if (nonsense > 0) {
        Stream stream(parts_.seed(), Whose::roster, last_version << 1U | 1U, balancer * 2 + pool);
        if (stream.chance(nonsense)) {
            // A malformed message ends the watch or the fetch. The next one delivers the whole list.
            state.delivered = 0;
            return fail_requests(balancer, pool);
        }
    }
    parts_.balancers->list(balancer, pool, std::move(list));
}

void Roster::fail_requests(std::uint32_t balancer, std::uint32_t pool) {
    core::MemberList none;
    none.kind = ListKind::failed;
    Subscription& state = subscription(balancer, pool);
    const bool watching = state.watching;
    state.watching = state.silent = state.fetching = false;
    ++state.call;
    parts_.balancers->list(balancer, pool, std::move(none));
    // In pushed mode, the program's discovery client reopens the watch; in asked mode, the policy module does.
    if (watching && parts_.experiment.roster.mode == RosterMode::pushed) {
        state.wanted = true;
        parts_.scheduler.set(parts_.now() + reopen_delay, What::watch_checked, balancer, pool, state.call);
    }
}

void Roster::watch(std::uint32_t balancer, std::uint32_t pool) {
    Subscription& state = subscription(balancer, pool);
    if (state.watching) return;
    state.watching = true;
    state.silent = state.wanted = false;
    ++state.call;
    parts_.scheduler.set(parts_.now() + parts_.experiment.roster.answers, What::roster_answers, balancer,
                         pool, state.call);
}

void Roster::unwatch(std::uint32_t balancer, std::uint32_t pool) {
    Subscription& state = subscription(balancer, pool);
    state.watching = state.silent = state.wanted = false;
    ++state.call;
}

void Roster::fetch(std::uint32_t balancer, std::uint32_t pool) {
    Subscription& state = subscription(balancer, pool);
    if (state.fetching) return;
    state.fetching = true;
    parts_.scheduler.set(parts_.now() + parts_.experiment.roster.answers, What::roster_answers, balancer,
                         pool, state.call);
}

void Roster::forget_calls(std::uint32_t balancer) {
    for (const std::uint32_t pool : {0U, 1U}) {
        Subscription& state = subscription(balancer, pool);
        const std::uint64_t call = state.call + 1;
        state = Subscription{};
        state.call = call;
    }
}

void Roster::respond(std::uint32_t balancer, std::uint32_t pool, std::uint64_t call) {
    Subscription& state = subscription(balancer, pool);
    if (state.call != call || (!state.watching && !state.fetching)) return;
    if (outages_ > 0 && parts_.experiment.roster.mode == RosterMode::asked)
        return fail_requests(balancer, pool);
    state.fetching = false;
    deliver(balancer, pool, ListKind::full);
}

void Roster::check_watch(std::uint32_t balancer, std::uint32_t pool, std::uint64_t call) {
    Subscription& state = subscription(balancer, pool);
    if (state.call != call) return;
    if (state.wanted) return watch(balancer, pool);
    if (state.silent) fail_requests(balancer, pool);
}

void Roster::silence_watches() {
    for (std::uint32_t balancer = 0; balancer < agent_versions_.size(); ++balancer) {
        for (const std::uint32_t pool : {0U, 1U}) {
            Subscription& state = subscription(balancer, pool);
            if (!state.watching || state.silent) continue;
            state.silent = true;
            parts_.scheduler.set(parts_.now() + silence_timeout, What::watch_checked, balancer, pool,
                                 state.call);
        }
    }
}

void Roster::take_down(bool on) {
    outages_ += on ? 1 : -1;
    if (outages_ == 0 && !on) {
        if (!changes_.empty()) announce(changes_.size());
        return;
    }
    if (!on || outages_ > 1 || parts_.experiment.roster.mode == RosterMode::pushed) return;
    for (std::uint32_t balancer = 0; balancer < agent_versions_.size(); ++balancer) {
        for (const std::uint32_t pool : {0U, 1U}) {
            if (subscription(balancer, pool).watching) fail_requests(balancer, pool);
        }
    }
}

void Roster::process_begins(std::uint32_t balancer) {
    // Earlier notifications went to another process.
    notified_versions_[balancer] = 0;
    if (parts_.experiment.roster.mode == RosterMode::pushed)
        record_notified(balancer, agent_versions_[balancer]);
}

}  // namespace flaxdoor::lab
