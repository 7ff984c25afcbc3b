#include "fleet/roster.h"

#include <algorithm>

#include "fleet/balancers.h"
#include "fleet/servers.h"

namespace flaxdoor::lab {

namespace {

// As the daemon's own: an empty line of a watch that is missed is silence (membership.silence_timeout).
constexpr Micros silence = std::chrono::seconds(3);
constexpr Micros again = std::chrono::milliseconds(300);

}  // namespace

Roster::Roster(Parts& parts) : parts_(parts) {
    agent_.resize(static_cast<std::size_t>(parts.experiment.fleet.balancers));
    told_.resize(agent_.size());
    ears_.resize(agent_.size() * 2);
}

core::Member Roster::member_of(std::uint32_t server, Word word) const {
    const Servers::Server& its = parts_.servers->at(server);
    core::Member member;
    member.name = "s" + std::to_string(server);
    member.address = "server " + std::to_string(server);
    member.entry.id = server + 1;
    member.entry.zone = its.zone;
    member.entry.started_at = its.started;
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
        // Of PostgreSQL's servers the primary alone is in the pool.
        if (pool == 1 && !list.members.empty()) break;
        list.members.push_back(member_of(server.number, Word::ready));
    }
    return list;
}

core::MemberList Roster::whole(std::uint32_t pool, std::uint64_t upto) const {
    core::MemberList list = first_;
    list.kind = ListKind::full;
    list.version = upto;
    std::erase_if(list.members, [&](const core::Member& member) {
        return parts_.servers->at(static_cast<std::uint32_t>(member.entry.id - 1)).pool != pool;
    });
    for (std::uint64_t n = 0; n < upto; ++n) {
        const Change& change = changes_[n];
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
    if (down_ > 0) return;  // told when it is back
    send_out(version);
}

void Roster::send_out(std::uint64_t version) {
    const auto& its = parts_.experiment.roster;
    for (std::uint32_t b = 0; b < agent_.size(); ++b) {
        Stream stream(parts_.seed(), Whose::roster, version, b);
        const double span = static_cast<double>((its.late_most - its.late_least).count());
        const Micros late = late_ + its.late_least + Micros(static_cast<std::int64_t>(span * stream.share()));
        parts_.scheduler.set(parts_.now() + late, What::roster_tells, b, version);
    }
}

void Roster::note_told(std::uint32_t balancer, std::uint64_t upto) {
    std::uint64_t& noted = told_[balancer];
    for (; noted < upto; ++noted) {
        const Change& change = changes_[noted];
        parts_.note(Event::told, balancer, change.server, 0, static_cast<std::uint64_t>(change.word),
                    Parts::since_begin(change.member.entry.started_at));
    }
}

void Roster::tells(std::uint32_t balancer, std::uint64_t version) {
    if (agent_[balancer] >= version) return;
    agent_[balancer] = version;
    if (!parts_.balancers->up(balancer)) return;  // counts from the first moment of its next process
    bool silent = false;
    for (const std::uint32_t pool : {0U, 1U}) {
        Ear& its = ear(balancer, pool);
        silent |= its.silent;
        if (its.watching && !its.silent) give(balancer, pool, ListKind::delta);
    }
    // A pushed list counts once the agent has it, but for what a silent watch missed: that is told by its
    // next call.
    if (parts_.experiment.roster.mode == RosterMode::pushed && !silent) note_told(balancer, version);
}

void Roster::give(std::uint32_t balancer, std::uint32_t pool, ListKind kind) {
    Ear& its = ear(balancer, pool);
    const std::uint64_t upto = agent_[balancer];
    core::MemberList list;
    if (kind == ListKind::full) {
        list = whole(pool, upto);
    } else {
        list.kind = ListKind::delta;
        list.version = upto;
        for (std::uint64_t n = its.given; n < upto; ++n) {
            if (parts_.servers->at(changes_[n].server).pool == pool)
                list.members.push_back(changes_[n].member);
        }
    }
    its.given = upto;
    note_told(balancer, upto);
    const double nonsense = parts_.experiment.roster.nonsense;
    if (nonsense > 0) {
        Stream stream(parts_.seed(), Whose::roster, upto << 1U | 1U, balancer * 2 + pool);
        if (stream.chance(nonsense)) {
            // What can't be read ends its call; the next one brings the whole list.
            its.given = 0;
            return fail(balancer, pool);
        }
    }
    parts_.balancers->list(balancer, pool, std::move(list));
}

void Roster::fail(std::uint32_t balancer, std::uint32_t pool) {
    core::MemberList none;
    none.kind = ListKind::failed;
    Ear& its = ear(balancer, pool);
    const bool watching = its.watching;
    its.watching = its.silent = its.fetching = false;
    ++its.call;
    parts_.balancers->list(balancer, pool, std::move(none));
    // The program's own roster opens a pushed watch again by itself; where it is asked, the module does.
    if (watching && parts_.experiment.roster.mode == RosterMode::pushed) {
        its.wanted = true;
        parts_.scheduler.set(parts_.now() + again, What::watch_checked, balancer, pool, its.call);
    }
}

void Roster::watch(std::uint32_t balancer, std::uint32_t pool) {
    Ear& its = ear(balancer, pool);
    if (its.watching) return;
    its.watching = true;
    its.silent = its.wanted = false;
    ++its.call;
    parts_.scheduler.set(parts_.now() + parts_.experiment.roster.answers, What::roster_answers, balancer,
                         pool, its.call);
}

void Roster::unwatch(std::uint32_t balancer, std::uint32_t pool) {
    Ear& its = ear(balancer, pool);
    its.watching = its.silent = its.wanted = false;
    ++its.call;
}

void Roster::fetch(std::uint32_t balancer, std::uint32_t pool) {
    Ear& its = ear(balancer, pool);
    if (its.fetching) return;
    its.fetching = true;
    parts_.scheduler.set(parts_.now() + parts_.experiment.roster.answers, What::roster_answers, balancer,
                         pool, its.call);
}

void Roster::forget_calls(std::uint32_t balancer) {
    for (const std::uint32_t pool : {0U, 1U}) {
        Ear& its = ear(balancer, pool);
        const std::uint64_t call = its.call + 1;
        its = Ear{};
        its.call = call;
    }
}

void Roster::answers(std::uint32_t balancer, std::uint32_t pool, std::uint64_t call) {
    Ear& its = ear(balancer, pool);
    if (its.call != call || (!its.watching && !its.fetching)) return;
    if (down_ > 0 && parts_.experiment.roster.mode == RosterMode::asked) return fail(balancer, pool);
    its.fetching = false;
    give(balancer, pool, ListKind::full);
}

void Roster::check_watch(std::uint32_t balancer, std::uint32_t pool, std::uint64_t call) {
    Ear& its = ear(balancer, pool);
    if (its.call != call) return;
    if (its.wanted) return watch(balancer, pool);
    if (its.silent) fail(balancer, pool);
}

void Roster::silence_watches() {
    for (std::uint32_t b = 0; b < agent_.size(); ++b) {
        for (const std::uint32_t pool : {0U, 1U}) {
            Ear& its = ear(b, pool);
            if (!its.watching || its.silent) continue;
            its.silent = true;
            parts_.scheduler.set(parts_.now() + silence, What::watch_checked, b, pool, its.call);
        }
    }
}

void Roster::take_down(bool on) {
    down_ += on ? 1 : -1;
    if (down_ == 0 && !on) {
        if (!changes_.empty()) send_out(changes_.size());
        return;
    }
    if (!on || down_ > 1 || parts_.experiment.roster.mode == RosterMode::pushed) return;
    for (std::uint32_t b = 0; b < agent_.size(); ++b) {
        for (const std::uint32_t pool : {0U, 1U}) {
            if (ear(b, pool).watching) fail(b, pool);
        }
    }
}

void Roster::process_begins(std::uint32_t balancer) {
    // What it was told before was told to another process.
    told_[balancer] = 0;
    if (parts_.experiment.roster.mode == RosterMode::pushed) note_told(balancer, agent_[balancer]);
}

}  // namespace flaxdoor::lab
