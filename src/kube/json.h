// Parses JSON from an untrusted server.
//
// Bounds: nesting up to 200. Deeper documents are rejected, because code that walks them recursively could
//         exhaust the stack.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace flaxdoor::kube {

// Returns a discarded value (is_discarded()) if the text is invalid.
[[nodiscard]] nlohmann::json read_json(std::string_view text);

}  // namespace flaxdoor::kube
