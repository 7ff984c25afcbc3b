// The history of one call as text, one line per record in time order. It contains the records of the call and of its
// related calls (the earlier and later requests of a client that retries). It also contains the records that affect
// them: notifications of their balancers about the servers used, starts and ends of both, and troubles.
//
// Reads a trace file at least twice from its beginning, as a stream, and once more for each generation of retries.
// Memory: the numbers of the related calls (at most max_related), their balancers and their servers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <set>
#include <string>

#include "trace/file.h"
#include "trace/record.h"
#include "trace/terms.h"

namespace flaxdoor::lab {

inline constexpr std::size_t max_related = 1000;

struct Story {
    std::set<std::uint64_t>
        calls;  // the call and its related calls; empty if the trace has no record of the call
    std::uint64_t lines = 0;
    std::optional<Damage>
        damage;  // set if the file is damaged; the text covers the records before the damage
};

// Writes the history to `out`. Requires that `in` is seekable.
[[nodiscard]] Story tell_story(std::istream& in, std::uint64_t call, std::ostream& out);

// Returns a record as a sentence without its time.
[[nodiscard]] std::string sentence_of(const Record& record, const Terms& terms);

}  // namespace flaxdoor::lab
