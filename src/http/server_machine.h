// The protocol state of one client connection, without its socket: received bytes in, events and response bytes out.
// It has no clock: the owner enforces time-outs.
//
// Threading: one thread at a time; no locks.
// Ownership: borrows nothing beyond a call.
// Use:       after receive(), receive_end(), wrote() and answer(), the owner calls next() until it returns nothing,
//            then writes output() and reports it with wrote(). state() and the other queries are valid once next() has
//            returned nothing.
// Errors:    the machine itself responds to a malformed request (400, 413) and then ends the connection; the event
//            holds the error.
// Format:    RFC 9112.
//
// The owner closes the socket when the state is `over`, and shuts down its sending side when it is `lingering`: closing
// a socket with unread client bytes would reset the connection, and the response could be lost in transit.
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

enum class ServerState : std::uint8_t {
    reading,    // between requests, or receiving a request
    waiting,    // a request was received, and its response is due
    writing,    // a response is being written
    lingering,  // the last response was written; received bytes are discarded until the client closes
    over,
};

enum class ServerSignal : std::uint8_t {
    request_received,
    request_rejected,  // by the machine itself
    answer_given,
    answer_written,         // another request may follow
    last_answer_written,    // no other request may follow
    client_done,            // the client has ended its sending, and no received request is left to respond to
    discard_limit_reached,  // while lingering
    broken,
};

[[nodiscard]] std::string_view text_of(ServerState state);
// The state transition table. A signal that does not apply to a state leaves the state unchanged.
[[nodiscard]] ServerState after(ServerState state, ServerSignal signal);

struct ServerEvent {
    enum class Kind : std::uint8_t {
        request,      // a complete request, whose response is due
        malformed,    // an invalid request; the machine has already responded
        half_closed,  // the client has ended its sending while its request waits; once for each such request
        answered,     // the response to a request, valid or malformed, was written completely
    };
    Kind kind = Kind::request;
    Request request;  // of kind `request`
    int status = 0;   // of kind `malformed`: status of the response
    std::string why;  // of kind `malformed`: the error, for people
};

class ServerMachine {
public:
    // Bytes accepted beyond the request that waits, with the default limit of a body.
    static constexpr std::size_t max_pipelined_bytes = max_header_bytes + default_max_body_bytes;
    static constexpr std::size_t max_linger_bytes = 256 * 1024;

    // `linger`: bytes discarded while lingering before the connection is over; `body`: longest request body, in bytes.
    explicit ServerMachine(std::size_t linger = max_linger_bytes, std::size_t body = default_max_body_bytes)
        : linger_limit_(linger), max_body_bytes_(body) {}
    ServerMachine(const ServerMachine&) = delete;
    ServerMachine& operator=(const ServerMachine&) = delete;

    // Handles received bytes. Accepts any number of bytes: the owner enforces wants_read().
    void receive(std::string_view bytes);
    // Handles the end of the client's sending (its FIN). Complete requests received before it are still served.
    void receive_end();
    // Handles a broken connection: nothing can be written any more.
    void reset();

    [[nodiscard]] std::optional<ServerEvent> next();

    // Gives the final response (200 to 599) to the request that waits; the machine generates the framing and
    // Connection fields. `last`: the connection ends with it. Returns false without effect when no request waits.
    [[nodiscard]] bool answer(const Response& response, bool last = false);
    // Responds with plain text, `why` or the standard reason phrase, and ends the connection, because a client that
    // sends an unusable request would send it again.
    [[nodiscard]] bool reject(int status, std::string_view why = {});
    // Responds with plain text to a request that is not complete, forgets what was received of it, and ends the
    // connection. Returns false without effect when no part of a request was received.
    [[nodiscard]] bool reject_incomplete(int status, std::string_view why = {});
    // Queues a 100 Continue to a client that has ended its sending while its request waits (which the owner may know
    // before the unread bytes ahead of the end are read): a client that has disconnected responds with a reset.
    // Returns false when no request waits, or when the client uses HTTP/1.0, which has no 100 Continue.
    [[nodiscard]] bool send_continue();

    // Bytes to write next; valid until the next call that changes the machine.
    std::string_view output() const { return std::string_view(output_).substr(output_offset_); }
    void wrote(std::size_t n);

    ServerState state() const { return state_; }
    // Whether the owner should read more. The bytes of a client that sends too far ahead stay in its socket.
    bool wants_read() const;
    // Whether next() might return a request from bytes that were received already.
    bool may_hold_request() const { return state_ == ServerState::reading && !reader_ && !input_.empty(); }
    // Whether no part of a request was received and no output is left: the connection may be closed or kept.
    bool between_requests() const;
    // Whether a response was written completely on this connection.
    bool served() const { return served_; }
    // Memory that the machine holds for received bytes and output.
    std::size_t held_bytes() const {
        return input_.held_bytes() + output_.capacity() + (reader_ ? reader_->held_bytes() : 0);
    }

private:
    std::optional<ServerEvent> parse_request();
    void write_response(const Response& response, bool last);
    void apply(ServerSignal signal);

    ByteQueue input_;
    std::string output_;
    std::size_t output_offset_ = 0;
    std::unique_ptr<Reader<Request>> reader_;  // set while a request is being received
    std::size_t linger_limit_;
    std::size_t max_body_bytes_;
    std::size_t discarded_bytes_ = 0;
    ServerState state_ = ServerState::reading;
    bool client_ended_ = false;
    bool half_close_reported_ = false;  // for the request that waits
    bool answered_event_due_ = false;
    bool served_ = false;
    bool last_response_ = false;  // the response in progress ends the connection
    bool continue_sent_ = false;  // for the request that is being received
    // Properties of the request that waits.
    bool is_http_1_0_ = false;
    bool keep_alive_ = false;
    bool is_head_ = false;  // the response has no body
};

}  // namespace flaxdoor::http
