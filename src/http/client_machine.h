// The protocol state of one connection to an upstream, without its socket. It carries one exchange at a time: request
// bytes out, response bytes in, one result. It has no clock: the owner enforces time-outs, and closes the connection
// to cancel an exchange.
//
// Threading: one thread at a time; no locks.
// Ownership: borrows nothing beyond a call.
// Results:   receive(), receive_end() and reset() return a result when they end the exchange: exactly one for each
//            begin(), unless the owner closes the connection first. On a connection without an exchange they return
//            `unsolicited`. The owner closes the socket when the state is `over`.
// Format:    RFC 9112. CONNECT is never sent, and responses to it are not supported.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"
#include "http/reader.h"

namespace flaxdoor::http {

enum class ClientState : std::uint8_t { idle, exchanging, over };

enum class ClientSignal : std::uint8_t {
    begun,
    answered,       // the connection may carry another exchange
    last_answered,  // the connection may carry no other exchange
    failed,  // malformed, broken or unsolicited: no further bytes on this connection can be interpreted
};

[[nodiscard]] std::string_view text_of(ClientState state);
// The state transition table. A signal that does not apply to a state leaves the state unchanged.
[[nodiscard]] ClientState after(ClientState state, ClientSignal signal);

struct ClientResult {
    enum class Kind : std::uint8_t {
        answered,  // a complete final response
        // The bytes received are not a valid response. The upstream is up, and the request may have executed, even
        // when its last byte is still to be written: it is unknown which request the bytes belong to.
        malformed,
        never_executed,     // the connection broke before the request's last byte was written
        may_have_executed,  // the connection broke or ended after that
        unsolicited,        // bytes or the end of the connection came without an exchange in progress
    };
    Kind kind = Kind::answered;
    bool reusable = false;  // of kind `answered`: the connection may carry another exchange
    Response answer;        // of kind `answered`
    std::string why;        // of kind `malformed`: the error, for people
};

class ClientMachine {
public:
    static constexpr int max_interim_responses = 8;  // 1xx responses before the final one

    // `body`: longest response body, in bytes.
    explicit ClientMachine(std::size_t body = default_max_body_bytes) : max_body_bytes_(body) {}
    ClientMachine(const ClientMachine&) = delete;
    ClientMachine& operator=(const ClientMachine&) = delete;

    // Starts an exchange with the complete bytes of a request. Returns false without effect unless the state is
    // `idle`. `head`: the request is a HEAD, whose response has no body.
    [[nodiscard]] bool begin(std::string bytes, bool head = false);
    [[nodiscard]] bool begin(const Request& request) {
        return begin(to_bytes(request), request.method == "HEAD");
    }

    // Bytes to write next; valid until the next call that changes the machine.
    std::string_view output() const { return std::string_view(output_).substr(output_offset_); }
    void wrote(std::size_t n);
    // Whether the last byte of the request was written: from then on the request may have executed.
    bool request_written() const { return request_written_; }

    // Handles received bytes.
    [[nodiscard]] std::optional<ClientResult> receive(std::string_view bytes);
    // Handles the upstream's orderly end of sending, which completes a response without a declared length.
    [[nodiscard]] std::optional<ClientResult> receive_end();
    // Handles a connection that broke, or was never established.
    [[nodiscard]] std::optional<ClientResult> reset();

    ClientState state() const { return state_; }
    // Whether a part of a response was received.
    bool receiving() const { return reader_ != nullptr; }
    // Memory that the machine holds for the request and the response.
    std::size_t held_bytes() const {
        return input_.held_bytes() + output_.capacity() + (reader_ ? reader_->held_bytes() : 0);
    }

private:
    std::optional<ClientResult> fail(ClientResult::Kind kind, std::string why = {});
    std::optional<ClientResult> answered();
    std::optional<ClientResult> broken();
    void apply(ClientSignal signal);

    ByteQueue input_;
    std::string output_;
    std::size_t output_offset_ = 0;
    std::unique_ptr<Reader<Response>> reader_;  // set while a response is being received
    ClientState state_ = ClientState::idle;
    std::size_t max_body_bytes_;
    std::uint8_t interim_responses_ = 0;
    bool is_head_ = false;
    bool request_written_ = false;
};

}  // namespace flaxdoor::http
