// Retry tokens. A refusal may carry one and the client's retry may present it: it holds the assigned retry
// time, signed, so that the admission queue keeps no state for refused requests. 24 bytes in hex: slot (4),
// tenant (2), class (2), client (4 bytes of its hash), virtual time (4, float), HMAC-SHA256 truncated to 8
// bytes (RFC 2104, section 5 allows truncation).
//
// Errors: a malformed or changed text and one signed with another key are no token.   Threading: const; any
//         thread.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flaxdoor::door {

// Contents of a retry token.
struct RetryClaim {
    std::uint32_t slot = 0;  // number since the clock's origin, modulo 2^32
    std::uint16_t tenant = 0;
    std::uint16_t class_index = 0;
    std::uint32_t client = 0;
    float virtual_time = 0;  // of the tenant's flows when the request was refused
    bool operator==(const RetryClaim&) const = default;
};

class RetryTokens {
public:
    using Secret = std::array<unsigned char, 32>;
    explicit RetryTokens(const Secret& secret) : secret_(secret) {}

    [[nodiscard]] std::string sign(const RetryClaim& claim) const;
    // Returns empty unless the text is a token signed with this secret.
    [[nodiscard]] std::optional<RetryClaim> verify(std::string_view text) const;

private:
    Secret secret_;
};

}  // namespace flaxdoor::door
