// What a refusal may carry and a client may bring back: when it was told to come, signed, so that the door
// keeps nothing for it. 24 bytes in hex: slot (4), tenant (2), class (2), client (4 of its hash), virtual time
// (4, float), HMAC-SHA256 cut to 8 bytes (RFC 2104, truncated as RFC 2104 section 5 allows).
//
// Errors: a text that is not one, of another key, or changed is no token.   Threading: const, any thread.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flaxdoor::door {

struct Promise {
    std::uint32_t slot = 0;  // since the clock's origin, modulo 2^32
    std::uint16_t tenant = 0;
    std::uint16_t class_index = 0;
    std::uint32_t client = 0;
    float stamp = 0;  // the virtual time of the tenant's flows when it was refused
    bool operator==(const Promise&) const = default;
};

class Tokens {
public:
    using Secret = std::array<unsigned char, 32>;
    explicit Tokens(const Secret& secret) : secret_(secret) {}

    [[nodiscard]] std::string seal(const Promise& promise) const;
    [[nodiscard]] std::optional<Promise> open(std::string_view text) const;

private:
    Secret secret_;
};

}  // namespace flaxdoor::door
