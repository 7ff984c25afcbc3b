// Parses lists of upstreams in the format of service discovery: JSON with `seq`, `whole` and `hosts` (the platform's
// protocol page, "Discovery").
//
// Errors: a list that cannot be parsed throws std::exception with a one-line message; nothing of that list is used.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/call.h"

namespace flaxdoor::membership {

// The zones and the kinds of machine, in the order in which the settings name them.
struct ListNames {
    std::vector<std::string> zones;
    std::vector<std::string> kinds;
};

// Returns the id of an upstream: a hash of its name (FNV-1a, 64 bits), so that every balancer computes the same id. The
// module orders upstreams by id and relies on all balancers having the same order.
[[nodiscard]] UpstreamId upstream_id_of(std::string_view name);

// Parses a list. A snapshot (`whole`) has kind `full`, changes have kind `delta`. Throws if the text is not a list. An
// entry that cannot be used (a zone that the settings do not name, an unknown health) counts as gone, so that the other
// entries still apply. `left_out` receives the name of the last such entry and the reason.
[[nodiscard]] core::MemberList parse_list(std::string_view text, const ListNames& names,
                                          std::string* left_out = nullptr);

}  // namespace flaxdoor::membership
