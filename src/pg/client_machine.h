// One client's connection from its first byte on, without its socket: the first packets, authentication, then
// messages. No clock: the owner minds time.
//
// Threading: one thread at a time.   Ownership: views in an event point into the machine, until its next
//            call.
// Use:       after receive() and each answer, pull next() until it is empty, then write output(). A message
//            is pulled only when it can be dealt with: what is not pulled stays here, so look at buffered().
// Errors:    what breaks the protocol is told to the client here (FATAL 08P01) and ends the connection.
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
    first,           // the first packet is due
    securing,        // TLS was promised: the owner shakes hands, then calls secured()
    starting,        // a start-up packet was handed out; authenticate() or fail() is due
    authenticating,  // the client's word is due
    welcoming,       // it is who it says; welcome() or fail() is due
    session,         // messages
    over,            // nothing more is read; what is in output() is still to be written
};
[[nodiscard]] std::string_view text_of(ClientState state);

struct ClientEvent {
    enum class Kind : std::uint8_t {
        begin_tls,  // the 'S' stands in output() and is to be written as it is
        start,      // a start-up packet: startup
        cancel,     // a cancel request: startup.key; the connection is over
        accepted,   // the client is who it says
        message,
        broken,  // the protocol was broken, or the password was wrong: text
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

// How a client shows who it is.
struct Authentication {
    enum class Kind : std::uint8_t { trust, scram };
    Kind kind = Kind::trust;
    ScramVerifier verifier{};  // of `scram`; of a user that is not known: one that nobody's password fits
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
    // What the server said of itself, and the key by which this client can cancel.
    void welcome(const std::vector<StartupOption>& parameters, Key key);
    // Tells it why, and ends the connection.
    void fail(const ErrorText& error);
    void end() { state_ = ClientState::over; }

    // The owner adds what the server says.
    std::string& output() { return output_; }
    const std::string& output() const { return output_; }

    ClientState state() const { return state_; }
    bool is_secure() const { return secure_; }
    std::size_t buffered() const { return decoder_.buffered(); }

private:
    std::optional<ClientEvent> next_first();
    std::optional<ClientEvent> next_password();
    std::optional<ClientEvent> broken(std::string_view code, const std::string& text);
    std::optional<ClientEvent> start(Startup startup);

    const ClientOptions options_;
    Decoder decoder_;
    ClientState state_ = ClientState::first;
    std::string output_;
    bool secure_ = false;
    bool asked_tls_ = false, asked_gss_ = false;
    std::optional<ScramServer> scram_;
    bool scram_begun_ = false;
};

}  // namespace flaxdoor::pg
