#include "recovery/restored_state.h"

#include <algorithm>
#include <cmath>

namespace flaxdoor::recovery {

namespace {

// Decayed values are dropped below this factor.
constexpr double min_decay_factor = 1.0 / 16;
// A clock that was corrected by up to this much does not count as set back.
constexpr Micros clock_step_tolerance = std::chrono::seconds(1);
// Bounds of the time over which the balancers spread their probes of an ejected upstream.
constexpr Micros min_probe_spread = std::chrono::seconds(1), max_probe_spread = std::chrono::seconds(10);

// Stored times are clamped to this one, so that differences do not overflow.
constexpr Time max_time{std::int64_t{1} << 61};
constexpr double max_limit = 65'535;  // the number of ports of an address
constexpr int max_strikes = 1000;

// Restores what was learned about single upstreams.
class Restorer {
public:
    Restorer(const Settings& settings, Time now, Micros half_life, Micros clock_set_back)
        : settings_(settings), now_(now), half_life_(half_life), clock_set_back_(clock_set_back) {}

    // Returns a stored time on the present clock.
    Time local_time(Time stored) const {
        return stored == Time{} ? stored : std::max(stored - clock_set_back_, Time{1});
    }

    std::optional<LearnedState> restore(const core::Member& member, UpstreamRecord stored) const {
        if (stored.address != member.address || member.entry.started_at > stored.started_at) {
            return std::nullopt;
        }
        LearnedState memory = stored.memory;
        const LearnedState initial;
        const double decay = decay_factor(local_time(stored.as_of));
        memory.cold_start_at =
            std::max(local_time(memory.cold_start_at),
                     local_time(stored.started_at));  // the member's start time is no later
        memory.answered_at = std::min(local_time(memory.answered_at), now_);
        if (decay < min_decay_factor) {
            memory.latency_us = memory.own_in_flight = memory.unloaded_latency_us = 0;
            memory.concurrency_limit = initial.concurrency_limit;
            memory.limit_was_reduced = false;
        } else {
            memory.latency_us *= decay;
            memory.unloaded_latency_us *= decay;
            memory.concurrency_limit =
                initial.concurrency_limit + decay * (memory.concurrency_limit - initial.concurrency_limit);
        }
        // Corrects values that are impossible, whatever wrote them.
        if (!(memory.concurrency_limit >= 1)) memory.concurrency_limit = 1;
        memory.concurrency_limit = std::min(memory.concurrency_limit, max_limit);
        memory.consecutive_failures = std::clamp(memory.consecutive_failures, 0, max_strikes);
        if (!(memory.latency_us > 0 && memory.own_in_flight > 0))
            memory.latency_us = memory.own_in_flight = memory.unloaded_latency_us = 0;
        if (!(memory.unloaded_latency_us >= 0)) memory.unloaded_latency_us = 0;
        const bool may_be_cold =
            memory.cold_start_at > Time{} && now_ - memory.cold_start_at < settings_.ramp_time;
        if (may_be_cold)
            memory.concurrency_limit = std::min(memory.concurrency_limit, initial.concurrency_limit);
        restore_ejection(memory, stored);
        return memory;
    }

private:
    // Returns the exponential decay since a time; zero if the clock was set back, because the elapsed time is
    // unknown.
    double decay_factor(Time as_of) const {
        if (clock_set_back_ > Micros{0}) return 0;
        const double age = static_cast<double>(std::max(now_ - as_of, Micros{0}).count());
        return std::exp2(-age / static_cast<double>(std::max(half_life_, Micros{1}).count()));
    }

    void restore_ejection(LearnedState& memory, const UpstreamRecord& stored) const {
        memory.connect_failed = memory.connect_failed && memory.ejected;
        const Time latest = std::max(local_time(stored.as_of), local_time(memory.ejected_until));
        if (!memory.ejected || (!memory.connect_failed && clock_set_back_ == Micros{0} &&
                                decay_factor(latest) < min_decay_factor)) {
            memory.ejected = false;
            memory.consecutive_failures = 0;
            memory.ejected_until = Time{};
            return;
        }
        const Micros probe_spread = std::clamp(settings_.ramp_time / 2, min_probe_spread, max_probe_spread);
        const Micros max_ejection = std::max(settings_.ramp_time, probe_spread);
        memory.ejected_until = std::clamp(local_time(memory.ejected_until), now_, now_ + max_ejection);
        memory.ejected_until += probe_spread * settings_.rank / std::max(1, settings_.balancers);
    }

    const Settings& settings_;
    const Time now_;
    const Micros half_life_;
    const Micros clock_set_back_;
};

// Clamps all stored times, so that the difference of any two can be computed.
void clamp_times(StoredSnapshot& stored) {
    const auto clamp_time = [](Time& time) { time = std::clamp(time, Time{}, max_time); };
    if (stored.list) {
        clamp_time(stored.list->head.told_at);
        for (auto& member : stored.list->members) clamp_time(member.entry.started_at);
    }
    for (auto& [id, record] : stored.remembered) {
        for (Time* const time : {&record.started_at, &record.as_of, &record.memory.ejected_until,
                                 &record.memory.answered_at, &record.memory.cold_start_at})
            clamp_time(*time);
    }
}

// Returns the latest time that the writer's clock is known to have shown.
Time latest_time(const StoredSnapshot& stored) {
    Time latest{};
    if (stored.list) latest = stored.list->head.told_at;
    for (const auto& [id, record] : stored.remembered) latest = std::max(latest, record.as_of);
    return latest;
}

}  // namespace

RestoredState restore(core::MemberList configured, StoredSnapshot stored, const ListOrigin& history,
                      const Settings& settings, Time now, Micros half_life) {
    RestoredState result;
    result.list = std::move(configured);
    core::MemberList& list = result.list;
    if (!stored.list || stored.list->head.history != history) {
        result.different_origin = stored.list.has_value();
        return result;
    }
    clamp_times(stored);
    const Micros ahead = latest_time(stored) - now;
    const Micros clock_set_back = ahead > clock_step_tolerance ? ahead : Micros{0};
    result.clock_went_back = clock_set_back > Micros{0};
    const Restorer restorer(settings, now, half_life, clock_set_back);
    StoredSnapshot::List& stored_list = *stored.list;

    if (list.kind != ListKind::full && stored_list.head.version > list.version) {
        result.stored = true;
        list.kind = ListKind::cached;
        list.version = stored_list.head.version;
        list.age = std::max(now - restorer.local_time(stored_list.head.told_at), Micros{0});
        list.members = std::move(stored_list.members);
        for (auto& member : list.members)
            member.entry.started_at = restorer.local_time(member.entry.started_at);
    } else if (list.kind != ListKind::full && stored_list.head.version == list.version) {
        for (auto& member : list.members) {
            const bool drains = std::any_of(
                stored_list.members.begin(), stored_list.members.end(), [&](const auto& candidate) {
                    return candidate.entry.id == member.entry.id && candidate.address == member.address &&
                           candidate.entry.started_at >= member.entry.started_at &&
                           candidate.entry.state == UpstreamState::draining;
                });
            if (drains) member.entry.state = UpstreamState::draining;
        }
    }
    for (auto& member : list.members) {
        const auto found = stored.remembered.find(member.entry.id);
        if (found == stored.remembered.end()) continue;
        member.entry.restored = restorer.restore(member, found->second);
        result.remembered += member.entry.restored.has_value();
    }
    return result;
}

}  // namespace flaxdoor::recovery
