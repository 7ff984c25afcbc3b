// The platform-specific part of client and upstream messages: the X-* fields, the paths, the method that each class
// requires, and the meaning of responses.
//
// Threading: functions without state; any thread.
// Units:     named in the fields; Micros are microseconds.
// Format:    the platform's protocol. Retry-After is a number of seconds (RFC 9110, 10.2.3), here with decimals.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "flaxdoor/decide.h"
#include "http/message.h"

namespace flaxdoor::http {

enum class Route { api, ready, unknown };

// Routes by method and path; ignores the query.
[[nodiscard]] Route route_of(const Request& message);

// A valid request. The id and the deadline in `facts` are not set; the remaining time is `budget`.
struct ClientRequest {
    flaxdoor::Request facts;
    Micros budget{};
    std::string call_id;
    Request message;
};

// The error in an invalid request, as text for the client.
struct InvalidRequest {
    std::string why;
};

// Validates a client's request and parses its platform fields.
[[nodiscard]] std::variant<ClientRequest, InvalidRequest> parse_client_request(Request message,
                                                                               const Settings& settings);

// A request made by the embedding process rather than received from a client.
struct LocalRequest {
    std::string_view class_name, id, method, target, idempotency_key, tenant, body;
    std::uint64_t key = 0;
    Micros budget{};
    std::optional<Micros> cost_hint;
    bool client_retry = false;
    // Further header fields; those that the members above or the framing define are ignored.
    const std::vector<std::pair<std::string, std::string>>* headers = nullptr;
};
// Builds the request that a client would have sent, and validates it in the same way.
[[nodiscard]] std::variant<ClientRequest, InvalidRequest> parse_client_request(const LocalRequest& request,
                                                                               const Settings& settings);

// Returns the error in the method, target or headers of a message that ServerMachine did not parse; empty when they
// are valid. Prevents request smuggling: a line end in a value would begin another message.
[[nodiscard]] std::string validate_header_syntax(
    std::string_view method, std::string_view target,
    const std::vector<std::pair<std::string, std::string>>& headers);
// Returns the error in the framing of a message that a web framework parsed; empty when it is valid. The framework may
// be more lenient than ServerMachine: two lengths or an unknown transfer coding may hide another message.
[[nodiscard]] std::string validate_framing(const std::vector<std::pair<std::string, std::string>>& headers);

// Turns a client's request into the request to an upstream.
void prepare_upstream_request(Request& message);
// Turns an upstream's response into the response to the client.
void prepare_client_response(Response& message);
// Sets X-Budget-Ms, the time that the balancer waits for the response, in whole milliseconds; at least 1.
void set_budget(Request& message, Micros left);

// Maps an upstream's complete response to an outcome.
[[nodiscard]] Outcome outcome_of(const Response& answer);
// Returns the load report in a response; empty when there is none, or when a value of `fields` is missing or invalid.
[[nodiscard]] Report report_of(const Response& answer, const std::vector<std::string>& fields);
// Returns the values in the order of `fields`; empty when one of them is missing or invalid.
[[nodiscard]] Report parse_report(std::string_view text, const std::vector<std::string>& fields);

// Responses of the balancer's own. rejection_response() says that the request was rejected, not executed, so a retry
// is safe; `retry_after` 0 omits Retry-After.
[[nodiscard]] Response rejection_response(Micros retry_after);
[[nodiscard]] Response error_response(int status);
[[nodiscard]] Response readiness_response(bool ready);

}  // namespace flaxdoor::http
