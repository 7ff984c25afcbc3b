// Helpers of the recovery tests: lists, learned state, and a store in a map.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "policy_rig.h"
#include "recovery/recorder.h"
#include "recovery/restored_state.h"

namespace flaxdoor::recovery::test {

using flaxdoor::test::ms;
using std::chrono::minutes;
using std::chrono::seconds;

inline constexpr Time now0 = std::chrono::hours(500'000);  // some Unix time
inline const ListOrigin default_origin{"127.0.0.1:8500", "api", "n0"};

inline core::Member member(UpstreamId id, UpstreamState state = UpstreamState::ready,
                           Time started_at = Time{}, std::string address = {}) {
    core::Member result;
    result.entry.id = id;
    result.entry.state = state;
    result.entry.started_at = started_at;
    result.name = "s-";
    result.name += std::to_string(id);
    result.address = address.empty() ? "10.0.0." + std::to_string(id) + ":5000" : std::move(address);
    return result;
}

inline core::MemberList list(std::uint64_t version, std::vector<core::Member> members,
                             ListKind kind = ListKind::cached) {
    core::MemberList result;
    result.kind = kind;
    result.version = version;
    result.members = std::move(members);
    return result;
}

inline LearnedState memory(double latency_us = 8000, double limit = 18) {
    LearnedState result;
    result.latency_us = latency_us;
    result.unloaded_latency_us = latency_us / 2;
    result.own_in_flight = 3;
    result.concurrency_limit = limit;
    return result;
}

// A store in a map.
struct MapStore {
    void apply(const std::vector<Change>& changes) {
        for (const auto& change : changes) {
            if (change.value) {
                values[change.key] = *change.value;
            } else {
                values.erase(change.key);
            }
        }
    }
    // Passes a list to the recorder and stores the resulting changes.
    void receive_list(Recorder& recorder, Time at, core::MemberList received) {
        recorder.on_list(at, std::move(received));
        apply(recorder.take_list_changes());
    }
    // Stores the changes of learned state of all slices.
    void write_memory(Recorder& recorder, Time at, const Recorder::Learned& learned) {
        for (std::size_t i = 0; i < Recorder::slices; ++i) apply(recorder.take_memory_changes(at, learned));
    }
    StoredSnapshot read(std::string_view pool = "api") const {
        return decode(pool, {values.begin(), values.end()});
    }
    std::map<std::string, std::string> values;
};

// Returns the snapshot that a recorder writes for a list and learned state that it received at the time `at`.
inline StoredSnapshot stored_snapshot(std::uint64_t version, std::vector<core::Member> members,
                                      std::map<UpstreamId, LearnedState> memories, Time at,
                                      const ListOrigin& history = default_origin) {
    MapStore map_store;
    Recorder recorder(history, {}, at);
    map_store.receive_list(recorder, at, list(version, std::move(members), ListKind::full));
    map_store.write_memory(recorder, at, [&](UpstreamId id) -> std::optional<LearnedState> {
        const auto found = memories.find(id);
        return found == memories.end() ? std::nullopt : std::optional(found->second);
    });
    return map_store.read(history.pool);
}

inline Recorder::Learned always_learned(LearnedState memory) {
    return [memory](UpstreamId) { return std::optional(memory); };
}

inline Settings settings() {
    Settings result = flaxdoor::test::plain_settings();
    result.balancers = 12;
    return result;
}

inline RestoredState restore_at(Time now, core::MemberList configured, StoredSnapshot snapshot,
                                const Settings& used_settings = settings()) {
    return restore(std::move(configured), std::move(snapshot), default_origin, used_settings, now,
                   minutes(10));
}

}  // namespace flaxdoor::recovery::test
