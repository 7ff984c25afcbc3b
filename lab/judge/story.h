// The story of one call: all records of it, of the calls that it repeats or that repeat it, and what bears on
// them (what their balancers were told of the servers that they used, starts and ends of both, troubles), in
// time order, a line each.
//
// Reads a trace file from its beginning at least twice, streamed: once more for each generation of repeats
// that is found. Held: the numbers of these calls (max_related at most), balancers and servers.
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
    std::set<std::uint64_t> calls;  // told together; empty: the trace has no record of the call
    std::uint64_t lines = 0;
    std::optional<Damage> damage;  // the file is not whole: told is what there is before this
};

// `in` can be sought. Lines go to `out`.
[[nodiscard]] Story tell_story(std::istream& in, std::uint64_t call, std::ostream& out);

// One record as a line without its time.
[[nodiscard]] std::string sentence_of(const Record& record, const Terms& terms);

}  // namespace flaxdoor::lab
