// Decides what to write of a pool's warm-restart snapshot, and when. A list is written whenever one is
// received. Learned state of the upstreams is written periodically, where it has changed. Does no I/O: a
// store is to write the changes that one call returns atomically.
//
// Threading: not thread-safe.
// Times:     Unix time, passed in.
// Bounds:    a list has at most `max_members` upstreams and `max_bytes` bytes. A larger one is not stored,
//            and the one that was stored before is deleted. Learned state is written one slice of the parts
//            at a time.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/call.h"
#include "recovery/record.h"

namespace flaxdoor::recovery {

struct Change {
    std::string key;
    std::optional<std::string> value;  // none: the key is deleted
};

class Recorder {
public:
    static constexpr std::size_t max_members = 8192;
    static constexpr std::size_t max_bytes =
        1024 * 1024;  // of names and addresses; the stored form takes three times as much
    static constexpr std::size_t slices = 8;  // into which the parts are divided for writing learned state
    // A value that has changed by at most this fraction is not written again within `refresh`.
    static constexpr double slight_change = 0.1;
    static constexpr Micros refresh = std::chrono::minutes(1);

    // `base` is the list that the pool starts with. It is not written until a current list is received:
    // otherwise an outdated list would look newer than it is.
    Recorder(ListOrigin history, const core::MemberList& base, Time now);

    void on_list(Time now, const core::MemberList& list);
    // Sets the address of the discovery service: further lists have another origin.
    void set_discovery(std::string discovery);
    // Returns whether take_list_changes() would return any changes.
    [[nodiscard]] bool has_list_changes() const { return list_received_ && (head_dirty_ || any_dirty_); }
    [[nodiscard]] std::vector<Change> take_list_changes();

    // Returns what was learned about an upstream.
    using Learned = std::function<std::optional<LearnedState>(UpstreamId)>;
    // Returns the changes of learned state in the next slice of the parts. `slices` calls cover all parts.
    [[nodiscard]] std::vector<Change> take_memory_changes(Time now, const Learned& learned);

    // Marks the stored learned state as belonging to another origin: it is deleted with the first list of
    // this origin.
    void discard_stored_state() { discards_stored_ = true; }

    // Called when changes that were returned may not have been written: all state is returned again.
    void on_write_lost();

    std::size_t members() const { return members_.size(); }
    // Whether the list of the last take_list_changes() exceeded the bounds.
    [[nodiscard]] bool too_large() const { return too_large_; }

private:
    static bool same_member(const core::Member& a, const core::Member& b);
    bool insignificantly_changed(const UpstreamRecord& before, const UpstreamRecord& now) const;
    void update(const core::Member& member);
    void erase(UpstreamId id);
    void mark_dirty(UpstreamId id);

    ListOrigin history_;
    const Time restored_at_;  // restored state had decayed up to this time
    std::uint64_t version_ = 0;
    Time told_at_{};
    bool list_received_ = false;  // a list that is not cached was received
    bool too_large_ = false;
    std::size_t bytes_ = 0;
    std::array<std::map<UpstreamId, core::Member>, parts> by_part_;
    std::map<UpstreamId, std::size_t> members_;  // bytes of name and address
    std::array<bool, parts> dirty_{};
    bool any_dirty_ = true, head_dirty_ = true;
    std::array<std::map<UpstreamId, UpstreamRecord>, parts> written_;  // learned state as last written
    std::array<bool, parts> memory_unwritten_{};  // not known to have been written by this recorder
    bool discards_stored_ = false;
    std::size_t next_slice_ = 0;
};

}  // namespace flaxdoor::recovery
