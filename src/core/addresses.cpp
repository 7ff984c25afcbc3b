#include "core/addresses.h"

#include <algorithm>

namespace flaxdoor::core {

namespace {

// Bounds the memory for addresses that no pool lists and whose token buckets are retained.
constexpr std::size_t max_unlisted = 4096;

}  // namespace

bool Addresses::drains(const AddressState& state, const Entry& entry) {
    if (entry.listed_state == UpstreamState::draining) return true;
    return std::any_of(state.notices.begin(), state.notices.end(), [&](const DrainNotice& notice) {
        // Within a pool only its own list counts: two ids at one address are two processes there.
        return notice.pool != entry.pool && notice.received_at > entry.added_at;
    });
}

// Recomputes which entries drain, and reports the changes of all entries but `own`.
void Addresses::update_draining(AddressState& state, const Entry* own, std::vector<Change>& changes) {
    for (Entry& entry : state.entries) {
        const bool drains_now = drains(state, entry);
        if (drains_now == entry.drains) continue;
        entry.drains = drains_now;
        if (&entry != own) changes.push_back({entry.pool, entry.upstream, drains_now});
    }
}

// Drops the notices that apply to no entry: all entries were added after them.
void Addresses::drop_obsolete_notices(AddressState& state) {
    std::erase_if(state.notices, [&](const DrainNotice& notice) {
        return std::none_of(state.entries.begin(), state.entries.end(),
                            [&](const Entry& entry) { return entry.added_at < notice.received_at; });
    });
}

bool Addresses::update(const std::string& address, PoolId pool, const UpstreamEntry& listed,
                       std::vector<Change>& changes) {
    AddressState& state = addresses_[address];
    auto entry = std::find_if(state.entries.begin(), state.entries.end(),
                              [&](const Entry& e) { return e.pool == pool && e.upstream == listed.id; });
    const auto own_notice = [&](const DrainNotice& n) { return n.pool == pool && n.upstream == listed.id; };
    if (entry == state.entries.end()) {
        state.entries.push_back(
            {pool, listed.id, UpstreamState::ready, listed.started_at, ++last_sequence_, false});
        entry = std::prev(state.entries.end());
    } else if (listed.started_at > entry->started_at) {
        entry->started_at = listed.started_at;  // a new process
        entry->added_at = ++last_sequence_;
        std::erase_if(state.notices, own_notice);
    }
    if (listed.state == UpstreamState::ready) {
        std::erase_if(state.notices, [&](const DrainNotice& n) { return own_notice(n) || n.orphaned; });
    } else if (std::none_of(state.notices.begin(), state.notices.end(), own_notice)) {
        state.notices.push_back({pool, listed.id, ++last_sequence_, false});
    }
    entry->listed_state = listed.state;
    update_draining(state, &*entry, changes);
    const bool draining = entry->drains;
    drop_obsolete_notices(state);
    return draining;
}

void Addresses::remove(const std::string& address, PoolId pool, UpstreamId upstream, Time keep_until) {
    const auto found = addresses_.find(address);
    if (found == addresses_.end()) return;
    AddressState& state = found->second;
    std::erase_if(state.entries, [&](const Entry& e) { return e.pool == pool && e.upstream == upstream; });
    drop_obsolete_notices(state);
    state.keep_until = std::max(state.keep_until, keep_until);
    if (!state.entries.empty()) return;
    unlisted_.emplace_back(state.keep_until, address);
    while (unlisted_.size() > max_unlisted) purge(unlisted_.front().first);
}

void Addresses::orphan_notices(PoolId pool) {
    for (auto& [address, state] : addresses_) {
        for (DrainNotice& notice : state.notices) notice.orphaned = notice.orphaned || notice.pool == pool;
    }
}

std::shared_ptr<SlowStartBucket> Addresses::token_bucket(const std::string& address) {
    AddressState& state = addresses_[address];
    if (!state.token_bucket) state.token_bucket = std::make_shared<SlowStartBucket>();
    return state.token_bucket;
}

void Addresses::purge(Time now) {
    while (!unlisted_.empty() && unlisted_.front().first <= now) {
        const auto found = addresses_.find(unlisted_.front().second);
        // An address that was listed again in the meantime stays, or is queued once more with a later time.
        const bool over = found != addresses_.end() && found->second.entries.empty() &&
                          found->second.keep_until <= unlisted_.front().first;
        if (over) addresses_.erase(found);
        unlisted_.pop_front();
    }
}

}  // namespace flaxdoor::core
