// The stored form of a pool's warm-restart snapshot, as keys and values: the last list, divided into parts,
// and what was learned about the upstreams.
//
// Threading: stateless functions.
// Times:     Unix time of the writer's clock.
// Format:    docs/recovery_format.md. Each value states its version and carries a hash over itself and its
//            key.
// Errors:    a value that can't be read, or has another version, is reported as a fault of one line, and is
//            not used.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/call.h"

namespace flaxdoor::recovery {

// Number of parts, by upstream id. A change of one upstream is a small write, and the number of keys is
// bounded.
inline constexpr std::size_t parts = 64;
[[nodiscard]] inline std::size_t part_of(UpstreamId id) { return static_cast<std::size_t>(id % parts); }

// The origin of a list, which its version belongs to. Versions of lists from different origins can't be
// compared.
struct ListOrigin {
    std::string discovery;  // address of the discovery service
    std::string pool;
    std::string configuration;  // the configuration's name

    bool operator==(const ListOrigin&) const = default;
};

// The header of a stored list. Written atomically with the parts that changed.
struct ListHeader {
    ListOrigin history;
    std::uint64_t version = 0;
    Time told_at{};           // when the list was last known to be current
    std::size_t members = 0;  // number of members in all parts
};

// What was learned about one upstream.
struct UpstreamRecord {
    UpstreamId id = 0;
    std::string address;
    Time started_at{};  // a process at the address with a later start time is another one
    Time as_of{};       // decaying values have decayed up to this time
    LearnedState memory;
};

[[nodiscard]] std::string head_key(std::string_view pool);
[[nodiscard]] std::string list_key(std::string_view pool, std::size_t part);
[[nodiscard]] std::string memory_key(std::string_view pool, std::size_t part);
// Returns the range of all keys of a pool, which has no key of another pool: first <= key < second.
[[nodiscard]] std::pair<std::string, std::string> keys_of(std::string_view pool);

// Encode a value for a key. Throw std::exception if a name is not valid UTF-8.
[[nodiscard]] std::string encode(std::string_view key, const ListHeader& head);
[[nodiscard]] std::string encode(std::string_view key, const std::vector<const core::Member*>& members);
[[nodiscard]] std::string encode(std::string_view key, const std::vector<UpstreamRecord>& remembered);

// The decoded warm-restart snapshot of a pool.
struct StoredSnapshot {
    struct List {
        ListHeader head;
        std::vector<core::Member> members;
    };
    std::optional<List> list;
    std::map<UpstreamId, UpstreamRecord> remembered;
    std::vector<std::string> faults;  // values that could not be read, one line each
};
// Decodes all keys and values of a pool, in any order. Ignores a list that is incomplete.
[[nodiscard]] StoredSnapshot decode(std::string_view pool,
                                    const std::vector<std::pair<std::string, std::string>>& values);

// Returns the origin of the stored list, complete or not, or none if the list's header can't be read.
[[nodiscard]] std::optional<ListOrigin> origin_of(
    std::string_view pool, const std::vector<std::pair<std::string, std::string>>& values);

}  // namespace flaxdoor::recovery
