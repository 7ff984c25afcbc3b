#include "recovery/recorder.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace flaxdoor::recovery {

Recorder::Recorder(ListOrigin history, const core::MemberList& base, Time now)
    : history_(std::move(history)), restored_at_(now), version_(base.version) {
    for (const auto& member : base.members) {
        if (member.entry.state != UpstreamState::gone) update(member);
    }
    dirty_.fill(true);
    memory_unwritten_.fill(true);
}

bool Recorder::same_member(const core::Member& a, const core::Member& b) {
    const UpstreamEntry &x = a.entry, &y = b.entry;
    return a.name == b.name && a.address == b.address && x.zone == y.zone && x.kind == y.kind &&
           x.cell == y.cell && x.state == y.state && x.weight == y.weight && x.started_at == y.started_at;
}

void Recorder::mark_dirty(UpstreamId id) { dirty_[part_of(id)] = any_dirty_ = true; }

void Recorder::update(const core::Member& member) {
    const UpstreamId id = member.entry.id;
    auto& part = by_part_[part_of(id)];
    const auto known = part.find(id);
    if (known != part.end() && same_member(known->second, member)) return;
    erase(id);
    core::Member& stored = part[id] = member;
    stored.entry.restored.reset();
    stored.entry.slow_start.reset();
    const std::size_t bytes = member.name.size() + member.address.size();
    members_[id] = bytes;
    bytes_ += bytes;
    mark_dirty(id);
}

void Recorder::erase(UpstreamId id) {
    const auto known = members_.find(id);
    if (known == members_.end()) return;
    bytes_ -= known->second;
    members_.erase(known);
    by_part_[part_of(id)].erase(id);
    mark_dirty(id);
}

void Recorder::on_list(Time now, const core::MemberList& list) {
    if (list.kind == ListKind::failed || list.kind == ListKind::cached) return;
    if (list.kind == ListKind::full) {
        std::set<UpstreamId> listed;
        for (const auto& member : list.members) listed.insert(member.entry.id);
        std::vector<UpstreamId> delisted;
        for (const auto& [id, bytes] : members_) {
            if (!listed.contains(id)) delisted.push_back(id);
        }
        for (const UpstreamId id : delisted) erase(id);
    }
    for (const auto& member : list.members) {
        if (member.entry.state == UpstreamState::gone) {
            erase(member.entry.id);
        } else {
            update(member);
        }
    }
    // A list without changes confirms the stored one. The header with the time is then written only once per
    // `refresh`.
    const bool write_header =
        !list_received_ || any_dirty_ || list.version != version_ || now - told_at_ >= refresh;
    version_ = list.version;
    list_received_ = true;
    if (!write_header) return;
    told_at_ = now;
    head_dirty_ = true;
}

void Recorder::set_discovery(std::string discovery) {
    if (discovery == history_.discovery) return;
    history_.discovery = std::move(discovery);
    list_received_ = false;  // the present members are not from that service
    dirty_.fill(true);
    any_dirty_ = head_dirty_ = true;
}

std::vector<Change> Recorder::take_list_changes() {
    std::vector<Change> changes;
    if (!has_list_changes()) return changes;
    head_dirty_ = any_dirty_ = false;
    too_large_ = members_.size() > max_members || bytes_ > max_bytes;
    if (too_large_) {
        dirty_.fill(true);  // a later list within the bounds is written completely
        changes.push_back({head_key(history_.pool), std::nullopt});
        return changes;
    }
    const std::string key = head_key(history_.pool);
    changes.push_back({key, encode(key, ListHeader{history_, version_, told_at_, members_.size()})});
    for (std::size_t part = 0; discards_stored_ && part < parts; ++part) {
        if (memory_unwritten_[part]) changes.push_back({memory_key(history_.pool, part), std::nullopt});
    }
    for (std::size_t part = 0; part < parts; ++part) {
        if (!std::exchange(dirty_[part], false)) continue;
        std::vector<const core::Member*> members;
        for (const auto& [id, member] : by_part_[part]) members.push_back(&member);
        const std::string part_key = list_key(history_.pool, part);
        changes.push_back({part_key, encode(part_key, members)});
    }
    return changes;
}

bool Recorder::insignificantly_changed(const UpstreamRecord& before, const UpstreamRecord& now) const {
    const LearnedState &a = before.memory, &b = now.memory;
    const auto near = [](double x, double y) {
        return std::fabs(x - y) <= slight_change * std::max(std::fabs(x), std::fabs(y));
    };
    // The consecutive failures of an upstream that is not ejected change with single requests, and are not
    // compared.
    return before.address == now.address && before.started_at == now.started_at && a.ejected == b.ejected &&
           a.connect_failed == b.connect_failed && a.limit_was_reduced == b.limit_was_reduced &&
           a.cold_start_at == b.cold_start_at &&
           (!a.ejected ||
            (a.ejected_until == b.ejected_until && a.consecutive_failures == b.consecutive_failures)) &&
           near(a.concurrency_limit, b.concurrency_limit) &&
           near(a.unloaded_latency_us, b.unloaded_latency_us) && near(a.latency_us, b.latency_us) &&
           (a.own_in_flight > 0) == (b.own_in_flight > 0) && now.as_of - before.as_of < refresh;
}

std::vector<Change> Recorder::take_memory_changes(Time now, const Learned& learned) {
    std::vector<Change> changes;
    if (members_.size() > max_members || bytes_ > max_bytes) return changes;
    const std::size_t slice = std::exchange(next_slice_, (next_slice_ + 1) % slices);
    for (std::size_t part = slice; part < parts; part += slices) {
        auto& written = written_[part];
        std::map<UpstreamId, UpstreamRecord> current;
        for (const auto& [id, member] : by_part_[part]) {
            auto memory = learned(id);
            if (!memory) continue;
            // Nothing was learned that differs from the state of a new upstream, with which the upstream
            // starts after a restart.
            const LearnedState initial;
            if (memory->own_in_flight == 0 && !memory->ejected &&
                memory->concurrency_limit == initial.concurrency_limit && memory->cold_start_at == Time{}) {
                continue;
            }
            const Time as_of = std::clamp(memory->answered_at, restored_at_, std::max(restored_at_, now));
            current[id] = {id, member.address, member.entry.started_at, as_of, *memory};
        }
        const bool unchanged =
            std::equal(current.begin(), current.end(), written.begin(), written.end(),
                       [&](const auto& now_item, const auto& before_item) {
                           return now_item.first == before_item.first &&
                                  insignificantly_changed(before_item.second, now_item.second);
                       });
        if (unchanged && !memory_unwritten_[part]) continue;
        std::vector<UpstreamRecord> records;
        for (const auto& [id, record] : current) records.push_back(record);
        const std::string key = memory_key(history_.pool, part);
        changes.push_back({key, encode(key, records)});
        written = std::move(current);
        memory_unwritten_[part] = false;
    }
    return changes;
}

void Recorder::on_write_lost() {
    dirty_.fill(true);
    any_dirty_ = head_dirty_ = true;
    memory_unwritten_.fill(true);
}

}  // namespace flaxdoor::recovery
