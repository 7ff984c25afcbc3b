// Human-readable descriptions of a plan and of the differences between two plans.
//
// Stateless functions. The format of the texts is not meant for programs, which use JSON.
#pragma once

#include <string>
#include <vector>

#include "gateway/plan.h"
#include "http/message.h"

namespace flaxdoor::ingress {

// Describes ports, listeners, routes, and pools with their endpoints.
[[nodiscard]] std::string table_text(const gateway::Resources& resources, const gateway::Plan& plan);
[[nodiscard]] std::string status_text(const gateway::Plan& plan);
// Describes which rule a request matches, and why.
[[nodiscard]] std::string explain(const gateway::Plan& plan, std::uint16_t port,
                                  const http::Request& request);
// Describes the differences in routes and pools; empty: there are none.
[[nodiscard]] std::string difference(const gateway::Resources& a, const gateway::Plan& plan_a,
                                     const gateway::Resources& b, const gateway::Plan& plan_b);

}  // namespace flaxdoor::ingress
