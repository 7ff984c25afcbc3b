// A TCP socket for a framework that takes the end of a client's sending for its leaving, and closes over
// bytes that are still unread. With it as the stream_socket_t of RESTinio's traits
//
//   - a client that only ends its sending (HTTP/1.1 lets it) is answered: the end is kept from the framework
//     until the answer is written. Whether it still listens shows when a 100 Continue is written to it: one
//     that has gone answers with a reset, and that is told at once.
//   - an answer is not lost by a reset: only this side ends, and what still comes is read and dropped for a
//   while.
//
// Threading: as the socket that it is: the strand of its connection.   Ownership: its own.
// Limits:    an end behind several pipelined requests is told with the first answer; who ends its sending
//            amid a request is held until the framework's time for a request is over.
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
                // Nothing more is being written: the answer is out.
                if (!state->writing) state->tell_end();
            }));
    }

    // Only this side's sending ends, and the rest is left to linger.
    Error shutdown(shutdown_type, Error& error) { return Base::shutdown(shutdown_send, error); }
    void close();

private:
    struct State {
        void came(std::string_view bytes);
        void tell_end();

        Socket* socket = nullptr;
        bool asked = false;  // bytes have come that were not answered yet
        bool writing = false;
        bool held = false;     // the client's end, from the framework
        bool telling = false;  // of it now
        bool old = false;      // HTTP/1.0, which knows no interim answers
    };

    const std::shared_ptr<State>& its_state() {
        if (!state_) {
            state_ = std::make_shared<State>();
            state_->socket = this;
        }
        return state_;
    }

    // The wait owns the handler, so that it goes with the loop whatever happens.
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
    void probe();

    std::shared_ptr<State> state_;
};

}  // namespace flaxdoor::middleware
