// Conversion between HTTP messages and calls of the core: from a client's request to a core::Call, and from the core's
// final answer to the client's response. Shared by the listener and by the library's adapters for web frameworks.
// Functions without state.
#pragma once

#include "core/core.h"
#include "http/payload.h"
#include "http/platform.h"

namespace flaxdoor::http {

// A client measures its deadline from its send to its receipt of the response. The balancer cannot observe the transit
// times in both directions, so this allowance covers them.
inline constexpr Micros client_network_allowance = std::chrono::milliseconds(4);

// `unseen`: allowance for the transit times between the client and the balancer, both directions together.
[[nodiscard]] core::Call make_call(ClientRequest request, core::PoolId pool, Micros unseen);

[[nodiscard]] Response make_response(core::FinalAnswer final);

// The response to a request that the core did not accept.
struct CallRejection {
    Response answer;
    // The connection closes after it; false for a rejection that the client may retry.
    bool close_connection = false;
};
[[nodiscard]] CallRejection make_response(core::AcceptResult taken);

}  // namespace flaxdoor::http
