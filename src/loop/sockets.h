// Socket functions for TCP beyond Asio: descriptors that child processes do not inherit, reads and writes
// that never block, detection of a peer's end of stream behind unread bytes, and classification of errors.
// All functions are stateless.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace flaxdoor::loop {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Open and accept with close-on-exec set atomically: the host process may fork and exec at any time, also
// from another thread, and no descriptor of an instance may be inherited.
void open(tcp::socket& socket, error_code& error);
void open(tcp::acceptor& acceptor, error_code& error);
// Requires a non-blocking acceptor. Without a pending connection the error is would_block.
void accept(tcp::acceptor& acceptor, tcp::socket& socket, error_code& error);

// Makes the kernel ignore further connection attempts to the acceptor. Connections that are already
// established can still be accepted. To be called before the acceptor is closed: a client that connects
// between the last accept and the close would be reset with a request in flight. Has no effect where the
// system does not support it.
void stop_accepting(tcp::acceptor& acceptor);

// Returns whether neither bytes nor the end of the stream can be read: then it is safe to write a request to
// the socket, or to close it between two requests.
[[nodiscard]] bool has_no_input(tcp::socket& socket);

// Returns whether the peer has ended its sending, also when bytes that it sent before have not been read.
[[nodiscard]] bool peer_has_closed(tcp::socket& socket);

// Returns whether the connection is over in both directions: the peer has reset it. A peer that has closed its socket with
// bytes of this side unread, or that is written to after its close, resets the connection.
[[nodiscard]] bool is_reset(tcp::socket& socket);

// Returns how many written bytes the peer's system has not acknowledged; zero if the system does not tell.
[[nodiscard]] std::size_t unacknowledged_bytes(tcp::socket& socket);

// Returns whether the socket accepts bytes or has a connection event to report.
[[nodiscard]] bool writable(tcp::socket& socket);

struct Read {
    enum class Kind { bytes, nothing, end, broken };
    Kind kind = Kind::nothing;
    std::string_view bytes;  // in the given buffer
};
[[nodiscard]] Read read_some(tcp::socket& socket, std::span<char> buffer);

struct Written {
    std::size_t bytes = 0;
    bool broken = false;  // if not set, a partial write means that the socket accepts no more bytes now
};
[[nodiscard]] Written write_some(tcp::socket& socket, std::string_view bytes);

// Returns whether the error means that this process lacks descriptors, ports, memory or permissions. Such an
// error says nothing about the peer.
[[nodiscard]] bool is_local_resource_error(const error_code& error);

// Parses an endpoint such as "127.0.0.1:5000". Throws std::invalid_argument if the text is not an IPv4
// address with a port.
[[nodiscard]] tcp::endpoint parse_endpoint(const std::string& text);
// As parse_endpoint(), from a host and a port.
[[nodiscard]] tcp::endpoint endpoint_of(const std::string& host, std::uint16_t port);
[[nodiscard]] std::string text_of(const tcp::endpoint& endpoint);

}  // namespace flaxdoor::loop
