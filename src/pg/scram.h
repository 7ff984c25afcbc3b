// SCRAM-SHA-256 (RFC 5802, RFC 7677), client and server side, without channel binding; and PostgreSQL's MD5
// authentication. No I/O; nonces and salts are arguments.
//
// Threading: one thread at a time. Errors: reported by the result; no function throws.
// Cost:      deriving a SaltedPassword takes milliseconds: ScramSecret caches the latest one, and a
//            ScramVerifier is made once per password.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace flaxdoor::pg {

constexpr int scram_iterations = 4096;

// What a server stores in place of a password.
struct ScramVerifier {
    std::string salt;
    int iterations = scram_iterations;
    std::string stored_key, server_key;
};
[[nodiscard]] ScramVerifier make_verifier(std::string_view password, std::string_view salt, int iterations);

// Server side of one login.
class ScramServer {
public:
    ScramServer(ScramVerifier verifier, std::string nonce)
        : verifier_(std::move(verifier)), nonce_(std::move(nonce)) {}
    // Returns the server's first message for the client's first message; nothing if that is malformed.
    [[nodiscard]] std::optional<std::string> first(std::string_view client_first);
    enum class Result { accepted, refused, malformed };
    // Checks the client's final message. On `accepted`, `server_final` receives the message that proves to
    // the client that the server knows the secret.
    [[nodiscard]] Result final(std::string_view client_final, std::string& server_final);

private:
    ScramVerifier verifier_;
    std::string nonce_;
    std::string header_, client_first_bare_, server_first_;
};

// A password, and the SaltedPassword that was derived from it last.
struct ScramSecret {
    std::string password;
    std::string salt, salted;
    int iterations = 0;
};

// Client side of one login. The secret is borrowed.
class ScramClient {
public:
    ScramClient(ScramSecret& secret, std::string nonce) : secret_(secret), nonce_(std::move(nonce)) {}
    [[nodiscard]] std::string first();
    [[nodiscard]] std::optional<std::string> final(std::string_view server_first);
    // Returns true if the server has proven that it knows the secret.
    [[nodiscard]] bool proven(std::string_view server_final) const;

private:
    ScramSecret& secret_;
    std::string nonce_, client_first_bare_, server_signature_;
};

// Returns "md5" and 32 hexadecimal digits.
[[nodiscard]] std::string md5_answer(std::string_view user, std::string_view password, std::string_view salt);

[[nodiscard]] std::string base64(std::string_view bytes);
[[nodiscard]] std::optional<std::string> from_base64(std::string_view text);

}  // namespace flaxdoor::pg
