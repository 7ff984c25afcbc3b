// One connection to an upstream, without its socket, which carries one exchange at a time: a request's bytes
// out, the answer's bytes in, one result. No clock: the owner minds time-outs, and closes the connection to
// cancel.
//
// Threading: one thread at a time; no locks.   Ownership: nothing is borrowed beyond a call.
// Results:   receive(), receive_end() and reset() give a result when they end the exchange: exactly one for
//            each begin(), unless the owner gives up first. They give `unasked` on a connection that carries
//            none. The owner closes the socket when the state is `over`.
// Format:    RFC 9112. Answers to CONNECT are not known here; it is never sent.
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
    answered,       // and another exchange may follow
    last_answered,  // and none may
    failed,         // spoilt, broken or unasked: nothing more can be understood on this connection
};

[[nodiscard]] std::string_view text_of(ClientState state);
// The only place that knows which state follows on which. A signal that means nothing in a state changes
// nothing.
[[nodiscard]] ClientState after(ClientState state, ClientSignal signal);

struct ClientResult {
    enum class Kind : std::uint8_t {
        answered,   // a whole final answer
        spoilt,     // what came is no answer. The upstream lives, and the request may have run, also when its
                    // last byte is still to be written: nobody knows what the words belong to
        never_ran,  // the connection broke before the last byte was written
        may_have_run,  // it broke or ended after that
        unasked,       // bytes or an end came while no exchange was under way
    };
    Kind kind = Kind::answered;
    bool reusable = false;  // of kind `answered`: the connection may carry another exchange
    Response answer;        // of kind `answered`
    std::string why;        // of kind `spoilt`: what is wrong, in words
};

class ClientMachine {
public:
    static constexpr int interim_most = 8;  // answers 1xx ahead of the final one

    // `body`: the longest of an answer.
    explicit ClientMachine(std::size_t body = body_most) : body_(body) {}
    ClientMachine(const ClientMachine&) = delete;
    ClientMachine& operator=(const ClientMachine&) = delete;

    // Starts an exchange with a request's whole bytes. False, and nothing is done, unless the state is
    // `idle`.
    // `head`: the request is a HEAD, whose answer has no body.
    [[nodiscard]] bool begin(std::string bytes, bool head = false);
    [[nodiscard]] bool begin(const Request& request) {
        return begin(to_bytes(request), request.method == "HEAD");
    }

    // To be written next; holds until the next call that changes the machine.
    std::string_view output() const { return std::string_view(out_).substr(out_at_); }
    void wrote(std::size_t n);
    // The last byte of the request was handed over: from then on it may have run.
    bool whole() const { return whole_; }

    // What has come.
    [[nodiscard]] std::optional<ClientResult> receive(std::string_view bytes);
    // The upstream has ended its sending, which also ends an answer that tells no length.
    [[nodiscard]] std::optional<ClientResult> receive_end();
    // The connection is broken, or was never made.
    [[nodiscard]] std::optional<ClientResult> reset();

    ClientState state() const { return state_; }

private:
    std::optional<ClientResult> end(ClientResult::Kind kind, std::string why = {});
    std::optional<ClientResult> answered();
    std::optional<ClientResult> broken();
    void move(ClientSignal signal);

    ByteQueue in_;
    std::string out_;
    std::size_t out_at_ = 0;
    std::unique_ptr<Reader<Response>> reader_;  // while an answer is coming in
    ClientState state_ = ClientState::idle;
    std::size_t body_;
    std::uint8_t interims_ = 0;
    bool head_ = false;
    bool whole_ = false;
};

}  // namespace flaxdoor::http
