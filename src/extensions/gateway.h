// Builds the gateway extension of the engine from the operator's settings: its listeners and the source of
// its routes.
//
// Errors: gateway_options() returns faults, each with its position in the operator's file. It does not throw.
#pragma once

#include <optional>
#include <variant>

#include "engine/extension.h"
#include "ingress/cluster.h"
#include "ingress/runtime.h"
#include "settings/faults.h"
#include "settings/values.h"

namespace flaxdoor::extensions {

struct GatewayOptions {
    ingress::RuntimeOptions runtime;
    std::optional<ingress::ClusterOptions> cluster;  // set if routes come from a Kubernetes cluster
    ingress::Change routes;                          // routes of the file; used if `cluster` is not set
};

// Requires that the file has [gateway]. Reads the files named there.
[[nodiscard]] std::variant<GatewayOptions, settings::Faults> gateway_options(const settings::Values& values,
                                                                             std::uint64_t seed);

// Returns the factory that adds the gateway to an engine. The factory throws std::invalid_argument if there
// are faults.
[[nodiscard]] engine::ExtensionFactory gateway();

}  // namespace flaxdoor::extensions
