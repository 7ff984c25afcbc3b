#include "flaxdoor/middleware/socket.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>

namespace flaxdoor::middleware {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";
// The defaults of the daemon's listener.
constexpr std::size_t linger_bytes = 256 * 1024;
constexpr auto linger_timeout = std::chrono::seconds(1);

// Keeps a socket open after its sending side has been shut down, and drops what is received, until the client
// closes or a limit is reached. Closing with unread bytes would send a reset, which can discard the answer.
class LingeringSocket : public std::enable_shared_from_this<LingeringSocket> {
public:
    explicit LingeringSocket(tcp::socket socket)
        : socket_(std::move(socket)), strand_(asio::make_strand(socket_.get_executor())), timer_(strand_) {}

    void start() {
        timer_.expires_after(linger_timeout);
        timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
            const auto self = weak.lock();
            if (self && !error) self->close();
        });
        read();
    }

private:
    void read() {
        socket_.async_read_some(
            asio::buffer(buffer_),
            asio::bind_executor(
                strand_, [self = shared_from_this()](boost::system::error_code error, std::size_t received) {
                    self->dropped_ += received;
                    if (error || self->dropped_ > linger_bytes) return self->close();
                    self->read();
                }));
    }
    void close() {
        boost::system::error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
    }

    tcp::socket socket_;
    const asio::strand<tcp::socket::executor_type> strand_;
    asio::steady_timer timer_;
    std::array<char, 16 * 1024> buffer_;
    std::size_t dropped_ = 0;
};

}  // namespace

void Socket::State::came(std::string_view bytes) {
    asked = true;
    if (bytes.find(" HTTP/1.0\r\n") != std::string_view::npos) old = true;
}

void Socket::State::tell_end() {
    if (!held || !socket) return;
    telling = true;
    boost::system::error_code ignored;
    socket->Base::cancel(ignored);
}

void Socket::probe() {
    // Ignores a failure: if the send buffer is full, a closed client shows by the bytes already sent.
    (void)::send(native_handle(), continue_line.data(), continue_line.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

void Socket::close() {
    if (!is_open()) return;
    boost::system::error_code ignored;
    Base::cancel(ignored);
    Base::shutdown(shutdown_send, ignored);
    std::make_shared<LingeringSocket>(tcp::socket(std::move(static_cast<Base&>(*this))))->start();
}

}  // namespace flaxdoor::middleware
