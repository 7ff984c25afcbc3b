// The payloads that the HTTP listener and the upstream connection pool exchange through the core.
#pragma once

#include <optional>

#include "core/call.h"
#include "http/message.h"

namespace flaxdoor::http {

struct RequestPayload final : core::Payload {
    explicit RequestPayload(Request its) : message(std::move(its)) {}
    // The request to the upstream. Fields that differ between attempts hold the last attempt's values.
    Request message;
    // With ConnectionPoolOptions::keep_error_responses: the response of the last attempt, when it was an
    // error response.
    std::optional<Response> error_response;
};

struct ResponsePayload final : core::Payload {
    explicit ResponsePayload(Response its) : message(std::move(its)) {}
    Response message;  // unchanged from the upstream
};

}  // namespace flaxdoor::http
