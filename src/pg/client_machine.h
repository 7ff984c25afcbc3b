// Protocol state machine of one client connection, independent of its socket: start-up packets,
// authentication, then messages. It uses no clock; the owner enforces time limits.
//
// Threading: one thread at a time.
// Ownership: views in an event point into the machine and are valid until its next call.
// Use:       after receive() and after each answer, call next() until it returns nothing, then write
//            output(). Call next() only while a message can be processed: unprocessed bytes stay buffered, so
//            check buffered().
// Errors:    on a protocol violation the machine sends FATAL 08P01 to the client and ends the connection.
// Format:    https://www.postgresql.org/docs/15/protocol-flow.html
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pg/scram.h"
#include "pg/wire.h"

namespace flaxdoor::pg {

enum class ClientState : std::uint8_t {
    first,           // expects the first packet
    securing,        // TLS was accepted: the owner performs the handshake, then calls secured()
    starting,        // a start-up packet was returned: the owner calls authenticate() or fail()
    authenticating,  // expects an authentication message of the client
    welcoming,       // the client is authenticated: the owner calls welcome() or fail()
    session,         // expects messages
    over,            // reads nothing more; output() still has to be written
};
[[nodiscard]] std::string_view text_of(ClientState state);

struct ClientEvent {
    enum class Kind : std::uint8_t {
        begin_tls,  // output() holds the 'S', which is sent unencrypted
        start,      // start-up packet, in `startup`
        cancel,     // cancel request, with startup.key; the connection is over
        accepted,   // the client is authenticated
        message,
        broken,  // protocol violation or wrong password, in `text`
    };
    Kind kind = Kind::message;
    Startup startup{};
    Message message{};
    std::string text{};
};

struct ClientOptions {
    bool tls_offered = false;
    bool tls_required = false;
    Limits limits{};
};

// How a client authenticates.
struct Authentication {
    enum class Kind : std::uint8_t { trust, scram };
    Kind kind = Kind::trust;
    ScramVerifier verifier{};  // of `scram`; for an unknown user, one that no password matches
    std::string nonce{};       // printable, without commas
};

class ClientMachine {
public:
    explicit ClientMachine(ClientOptions options)
        : options_(options), decoder_(Sender::client, options.limits) {}

    void receive(std::string_view bytes) { decoder_.feed(bytes); }
    [[nodiscard]] std::optional<ClientEvent> next();

    void secured();
    void authenticate(Authentication how);
    // Completes the login: sends the server's parameters and the key by which this client can send a cancel
    // request.
    void welcome(const std::vector<StartupOption>& parameters, Key key);
    // Sends the error to the client with severity FATAL and ends the connection.
    void fail(const ErrorText& error);
    void end() { state_ = ClientState::over; }

    // Bytes for the client. The owner appends the server's messages.
    std::string& output() { return output_; }
    const std::string& output() const { return output_; }

    ClientState state() const { return state_; }
    bool is_secure() const { return secure_; }
    std::size_t buffered() const { return decoder_.buffered(); }
    // Memory that the machine holds for received bytes and output.
    std::size_t held_bytes() const { return decoder_.held_bytes() + output_.capacity(); }

private:
    std::optional<ClientEvent> next_first();
    std::optional<ClientEvent> next_password();
    std::optional<ClientEvent> protocol_error(std::string_view code, const std::string& text);
    std::optional<ClientEvent> start(Startup startup);

    const ClientOptions options_;
    Decoder decoder_;
    ClientState state_ = ClientState::first;
    std::string output_;
    bool secure_ = false;
    bool tls_requested_ = false, gss_requested_ = false;
    std::optional<ScramServer> scram_;
    bool scram_begun_ = false;
};

}  // namespace flaxdoor::pg
