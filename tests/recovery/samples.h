// What the tests of recovery are made of: lists, memories, and a store that is a map.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "recovery/belief.h"
#include "recovery/recorder.h"
#include "rig.h"

namespace flaxdoor::recovery::test {

using flaxdoor::test::ms;
using std::chrono::minutes;
using std::chrono::seconds;

inline constexpr Time now0 = std::chrono::hours(500'000);  // some Unix time
inline const History here{"127.0.0.1:8500", "api", "n0"};

inline core::Member member(UpstreamId id, UpstreamState state = UpstreamState::ready,
                           Time started_at = Time{}, std::string address = {}) {
    core::Member m;
    m.entry.id = id;
    m.entry.state = state;
    m.entry.started_at = started_at;
    m.name = "s-";
    m.name += std::to_string(id);
    m.address = address.empty() ? "10.0.0." + std::to_string(id) + ":5000" : std::move(address);
    return m;
}

inline core::MemberList list(std::uint64_t version, std::vector<core::Member> members,
                             ListKind kind = ListKind::cached) {
    core::MemberList l;
    l.kind = kind;
    l.version = version;
    l.members = std::move(members);
    return l;
}

inline UpstreamMemory memory(double latency_us = 8000, double limit = 18) {
    UpstreamMemory m;
    m.latency_us = latency_us;
    m.idle_us = latency_us / 2;
    m.ours = 3;
    m.limit = limit;
    return m;
}

// A store that is a map.
struct Shelf {
    void put(const std::vector<Change>& changes) {
        for (const auto& change : changes) {
            if (change.value) {
                values[change.key] = *change.value;
            } else {
                values.erase(change.key);
            }
        }
    }
    // The recorder is told a list, and what it writes for it is stored.
    void tell(Recorder& recorder, Time at, core::MemberList news) {
        recorder.on_list(at, std::move(news));
        put(recorder.take_list_changes());
    }
    // All of its slices.
    void learn(Recorder& recorder, Time at, const Recorder::Learned& learned) {
        for (std::size_t i = 0; i < Recorder::slices; ++i) put(recorder.take_memory_changes(at, learned));
    }
    StoredSnapshot read(std::string_view pool = "api") const { return decode(pool, {values.begin(), values.end()}); }
    std::map<std::string, std::string> values;
};

// As a recorder that was told of them at `at` leaves them.
inline StoredSnapshot stored(std::uint64_t version, std::vector<core::Member> members,
                     std::map<UpstreamId, UpstreamMemory> memories, Time at, const History& history = here) {
    Shelf shelf;
    Recorder recorder(history, {}, at);
    shelf.tell(recorder, at, list(version, std::move(members), ListKind::full));
    shelf.learn(recorder, at, [&](UpstreamId id) -> std::optional<UpstreamMemory> {
        const auto found = memories.find(id);
        return found == memories.end() ? std::nullopt : std::optional(found->second);
    });
    return shelf.read(history.pool);
}

inline Recorder::Learned always(UpstreamMemory m) {
    return [m](UpstreamId) { return std::optional(m); };
}

inline Settings settings() {
    Settings s = flaxdoor::test::plain_settings();
    s.balancers = 12;
    return s;
}

inline Belief believe_at(Time now, core::MemberList known, StoredSnapshot from, const Settings& with = settings()) {
    return believe(std::move(known), std::move(from), here, with, now, minutes(10));
}

}  // namespace flaxdoor::recovery::test
