// Maps a request to a local response or a pool by a route table, and the result of a call to the client's
// response. No sockets; the caller owns the pools.
//
// Threading: one thread at a time.   Time and random numbers are arguments.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "core/core.h"
#include "http/handler.h"
#include "http/payload.h"
#include "routes/budget.h"
#include "routes/filters.h"
#include "routes/table.h"

namespace flaxdoor::ingress {

// A request that is forwarded to a pool, with the state for its response.
struct Routed {
    std::shared_ptr<const routes::Table> table;  // keeps the objects alive that the pointers refer to
    const routes::Route* route = nullptr;
    const routes::Rule* rule = nullptr;
    const routes::Backend* backend = nullptr;
    routes::CallClass call;  // the kind is resolved: never by_method
    Micros budget{};
    bool head = false;
    std::shared_ptr<http::RequestPayload> payload;
};

struct ClientConnection {
    std::string_view scheme = "http";
    std::string_view server_name;  // TLS server name (SNI); empty: none
    std::string peer;              // client address for X-Forwarded-For; empty: the field is not set
    std::uint16_t port = 80;       // of the listener
};

// Routes a request: returns a local response, or the request prepared for its pool. `chance` is a random
// number in [0, 1).
[[nodiscard]] std::variant<http::Response, Routed> route(std::shared_ptr<const routes::Table> table,
                                                         http::Request message,
                                                         const ClientConnection& client, double chance);

// Returns the client's response for the result of a call.
[[nodiscard]] http::Response client_response(core::FinalAnswer final, const Routed& routed);
// Returns a 503 response. Nothing was sent to an upstream, so that a retry is safe.
[[nodiscard]] http::Response unavailable_response(Micros retry_after);

// Classifies a complete response of a backend for the decision module.
[[nodiscard]] Outcome classify_response(const http::Response& answer);

}  // namespace flaxdoor::ingress
