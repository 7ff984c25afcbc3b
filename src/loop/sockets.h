// What every TCP side needs of its sockets beyond Asio: descriptors that no child inherits, reads and writes
// that never wait, an end that shows behind unread bytes, and which errors are this program's own want.
// Functions without state.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace flaxdoor::loop {

using boost::asio::ip::tcp;
using boost::system::error_code;

// A host may fork and exec at any time, from another thread too: no descriptor of an instance may pass into
// what it starts. So each is made to be closed on exec, by the call that makes it.
void open(tcp::socket& socket, error_code& error);
void open(tcp::acceptor& acceptor, error_code& error);
// The acceptor must not wait: without a connection the error is would_block.
void accept(tcp::acceptor& acceptor, tcp::socket& socket, error_code& error);

// The acceptor's machine takes up no further connection, as if it did not hear; those that it has can still be accepted.
// Ahead of closing it: who connects between the last accept and the close would be reset with a request on the way.
// Where the system has no such thing, nothing happens.
void take_no_more(tcp::acceptor& acceptor);

// No bytes and no end have come: safe to write a request to, or to close between two requests.
[[nodiscard]] bool quiet(tcp::socket& socket);

// The other side has ended its sending, whether or not all that came before has been read.
[[nodiscard]] bool ended_behind(tcp::socket& socket);

// It would take bytes, or has something to tell of its connection.
[[nodiscard]] bool writable(tcp::socket& socket);

struct Read {
    enum class Kind { bytes, nothing, end, broken };
    Kind kind = Kind::nothing;
    std::string_view bytes;  // in the room that was given
};
[[nodiscard]] Read read_some(tcp::socket& socket, std::span<char> room);

struct Written {
    std::size_t bytes = 0;
    bool broken = false;  // otherwise less than all means that the socket takes no more now
};
[[nodiscard]] Written write_some(tcp::socket& socket, std::string_view bytes);

// Descriptors, ports, memory, or rights that this process lacks: says nothing of the other side.
[[nodiscard]] bool own_want(const error_code& error);

// "127.0.0.1:5000". Throws std::invalid_argument when the text is no IPv4 address with a port.
[[nodiscard]] tcp::endpoint parse_endpoint(const std::string& text);
// The same of its two parts.
[[nodiscard]] tcp::endpoint endpoint_of(const std::string& host, std::uint16_t port);
[[nodiscard]] std::string text_of(const tcp::endpoint& endpoint);

}  // namespace flaxdoor::loop
