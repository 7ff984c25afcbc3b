// Converts YAML, as the Kubernetes tools write it, to JSON, one value per document. Plain scalars follow the
// core schema of YAML 1.2; quoted scalars are strings.
//
// Errors: std::runtime_error with the line.   Bounds: nesting up to 64, and 2,000,000 values in all, so that
//         aliases can't expand a short text without limit.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace flaxdoor::kube {

[[nodiscard]] std::vector<nlohmann::json> read_yaml(const std::string& text);

}  // namespace flaxdoor::kube
