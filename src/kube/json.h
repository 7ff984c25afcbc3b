// JSON from a server that may send anything.
//
// Bounds: nested to 200; deeper it is not read, as what walks through it walks by recursion.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace flaxdoor::kube {

// Discarded (is_discarded()) when it can't be read.
[[nodiscard]] nlohmann::json read_json(std::string_view text);

}  // namespace flaxdoor::kube
