// Applies the filters of a rule to messages: header edits, URL rewrites and redirects. Stateless functions.
//
// Format: the filters of HTTPRoute, Gateway API v1; Location as in RFC 9110, 10.2.2.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "http/message.h"
#include "routes/rule.h"
#include "routes/table.h"

namespace flaxdoor::routes {

// Applies the edit: first `set`, then `add`, then `remove`.
void apply_header_edit(http::Fields& fields, const HeaderEdit& edit);

// Returns `path` with the edit applied. `matched` is the prefix that the rule matched; a trailing slash of it
// is ignored.
[[nodiscard]] std::string edited_path(std::string_view path, std::string_view matched, const PathEdit& edit);

// Returns the request target as the backend receives it.
[[nodiscard]] std::string rewritten_target(const Target& target, std::string_view matched,
                                           const Rewrite& rewrite);

// The scheme, host and port that a request was addressed to.
struct Origin {
    std::string_view scheme;  // of the connection on which the request arrived
    std::string_view host;
    std::uint16_t port = 80;  // of the listener
};
// Returns the Location of a redirect, an absolute URI.
[[nodiscard]] std::string redirect_location(const Origin& origin, const Target& target,
                                            std::string_view matched, const Redirect& redirect);

}  // namespace flaxdoor::routes
