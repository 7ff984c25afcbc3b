// A TCP socket for a web framework that takes a client's half-close for a disconnect, and that closes sockets
// with unread bytes. Used as stream_socket_t of RESTinio's traits, it changes two things:
//
//   - A client that only shuts down its sending side, which HTTP/1.1 permits, still receives its answer: the
//     socket withholds the end of file from the framework until the answer has been written. To detect a
//     client that has closed altogether, it sends a 100 Continue: such a client responds with a reset, which
//     is reported to the framework at once.
//   - No reset discards an answer: close() shuts down the sending side only, then reads and drops incoming
//     bytes for a limited time.
//
// Threading: As for the base socket: use it on the connection's strand.
// Ownership: The socket owns its state.
// Limits:    An end of file behind several pipelined requests is reported with the first answer. If a client
//            shuts down its sending side in the middle of a request, the end of file is withheld until the
//            framework's request timeout.
#pragma once

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string_view>
#include <utility>

namespace flaxdoor::middleware {

class Socket : public boost::asio::ip::tcp::socket {
    using Base = boost::asio::ip::tcp::socket;
    using Error = boost::system::error_code;

public:
    explicit Socket(boost::asio::io_context& loop) : Base(loop) {}
    Socket(Socket&& other) noexcept
        : Base(std::move(static_cast<Base&>(other))), state_(std::move(other.state_)) {
        if (state_) state_->socket = this;
    }
    Socket& operator=(Socket&& other) noexcept {
        Base::operator=(std::move(static_cast<Base&>(other)));
        if (state_) state_->socket = nullptr;
        state_ = std::move(other.state_);
        if (state_) state_->socket = this;
        return *this;
    }
    ~Socket() {
        if (state_) state_->socket = nullptr;
    }

    template <typename Buffers, typename Handler>
    void async_read_some(const Buffers& buffers, Handler&& handler) {
        const auto state = its_state();
        const auto executor = boost::asio::get_associated_executor(handler, get_executor());
        Base::async_read_some(
            buffers,
            boost::asio::bind_executor(
                executor, [state, first = *boost::asio::buffer_sequence_begin(buffers),
                           handler = std::forward<Handler>(handler)](Error error, std::size_t n) mutable {
                    if (n > 0) state->came({static_cast<const char*>(first.data()), n});
                    const bool held = error == boost::asio::error::eof && state->asked && state->socket;
                    if (!held) return std::move(handler)(error, n);
                    state->socket->hold_end(std::move(handler));
                }));
    }

    template <typename Buffers, typename Handler>
    void async_write_some(const Buffers& buffers, Handler&& handler) {
        const auto state = its_state();
        const auto executor = boost::asio::get_associated_executor(handler, get_executor());
        state->writing = true;
        Base::async_write_some(
            buffers, boost::asio::bind_executor(executor, [state, handler = std::forward<Handler>(handler)](
                                                              Error error, std::size_t n) mutable {
                state->writing = false;
                state->asked = false;
                std::move(handler)(error, n);
                // The handler has started no further write, so the whole answer has been written.
                if (!state->writing) state->tell_end();
            }));
    }

    // Shuts down the sending side only. close() lingers for the receiving side.
    Error shutdown(shutdown_type, Error& error) { return Base::shutdown(shutdown_send, error); }
    // Closes the socket after lingering: see the head of this file.
    void close();

private:
    struct State {
        // Notes that unanswered request bytes have been received.
        void came(std::string_view bytes);
        // Delivers a withheld end of file to the framework.
        void tell_end();

        Socket* socket = nullptr;
        bool asked = false;  // request bytes have been received that have not been answered
        bool writing = false;
        bool held = false;     // an end of file is being withheld from the framework
        bool telling = false;  // the withheld end of file is being delivered
        bool old = false;      // the client speaks HTTP/1.0, which has no interim responses
    };

    const std::shared_ptr<State>& its_state() {
        if (!state_) {
            state_ = std::make_shared<State>();
            state_->socket = this;
        }
        return state_;
    }

    // Withholds an end of file: calls the handler when the socket fails or the end is delivered. The pending
    // wait owns the handler, so the loop destroys it in any case.
    template <typename Handler>
    void hold_end(Handler handler) {
        const auto executor = boost::asio::get_associated_executor(handler, get_executor());
        state_->held = true;
        if (!state_->old && !state_->writing) probe();
        Base::async_wait(wait_error,
                         boost::asio::bind_executor(
                             executor, [state = state_, handler = std::move(handler)](Error error) mutable {
                                 state->held = false;
                                 if (std::exchange(state->telling, false)) {
                                     error = boost::asio::error::eof;
                                 } else if (!error) {
                                     error = boost::asio::error::connection_reset;
                                 }
                                 std::move(handler)(error, 0);
                             }));
    }
    // Sends a 100 Continue, which a closed client answers with a reset.
    void probe();

    std::shared_ptr<State> state_;
};

}  // namespace flaxdoor::middleware
