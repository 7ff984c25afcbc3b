// SCRAM-SHA-256 (RFC 5802, RFC 7677) on both sides, without channel binding, and MD5 as PostgreSQL has it. No
// I/O; nonces and salts are arguments.
//
// Threading: one thread at a time.   Errors: what can't be is told by the result; nothing throws.
// Cost:      a SaltedPassword takes some milliseconds: ScramSecret keeps the last one, a Verifier is made
//            once.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace flaxdoor::pg {

constexpr int scram_iterations = 4096;

// What a server keeps of a password.
struct ScramVerifier {
    std::string salt;
    int iterations = scram_iterations;
    std::string stored_key, server_key;
};
[[nodiscard]] ScramVerifier make_verifier(std::string_view password, std::string_view salt, int iterations);

// The side of the server, for one login.
class ScramServer {
public:
    ScramServer(ScramVerifier verifier, std::string nonce)
        : verifier_(std::move(verifier)), nonce_(std::move(nonce)) {}
    // The client's first message in, the server's first out. Nothing: it is malformed.
    [[nodiscard]] std::optional<std::string> first(std::string_view client_first);
    enum class Result { accepted, refused, malformed };
    // On `accepted`, `server_final` is what proves the server to the client.
    [[nodiscard]] Result final(std::string_view client_final, std::string& server_final);

private:
    ScramVerifier verifier_;
    std::string nonce_;
    std::string header_, client_first_bare_, server_first_;
};

// A password, and what was worked out of it last.
struct ScramSecret {
    std::string password;
    std::string salt, salted;
    int iterations = 0;
};

// The side of the client. The secret is borrowed.
class ScramClient {
public:
    ScramClient(ScramSecret& secret, std::string nonce) : secret_(secret), nonce_(std::move(nonce)) {}
    [[nodiscard]] std::string first();
    [[nodiscard]] std::optional<std::string> final(std::string_view server_first);
    // Whether the server has shown that it knows the secret.
    [[nodiscard]] bool proven(std::string_view server_final) const;

private:
    ScramSecret& secret_;
    std::string nonce_, client_first_bare_, server_signature_;
};

// "md5" and 32 hexadecimal digits.
[[nodiscard]] std::string md5_answer(std::string_view user, std::string_view password, std::string_view salt);

[[nodiscard]] std::string base64(std::string_view bytes);
[[nodiscard]] std::optional<std::string> from_base64(std::string_view text);

}  // namespace flaxdoor::pg
