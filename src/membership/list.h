// Lists of upstreams in the roster's form: JSON with `seq`, `whole` and `hosts` (the platform's protocol
// page, "Discovery"), to members of a pool.
//
// Errors: what can't be read throws std::exception with one line that says what; nothing of that list is
//         used.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/call.h"

namespace flaxdoor::membership {

// Zones and kinds of machine, as the settings name them.
struct ListNames {
    std::vector<std::string> zones;
    std::vector<std::string> kinds;
};

// The id of an upstream: drawn from its name alone (FNV-1a, 64 bits), so that it is the same at every
// balancer. The module orders upstreams by id and relies on all balancers having the same order.
[[nodiscard]] UpstreamId id_of(std::string_view name);

// A whole list has kind `full`, changes have `delta`. Throws when it is no list. An entry that can't be used
// (a zone that the settings don't name, an unknown health) counts as gone: what the list says of the others
// holds all the same. `left_out` tells of the last such entry which one and why.
[[nodiscard]] core::MemberList parse_list(std::string_view text, const ListNames& names,
                                          std::string* left_out = nullptr);

}  // namespace flaxdoor::membership
