#include "loop/sockets.h"

#include <linux/filter.h>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <stdexcept>

namespace flaxdoor::loop {

namespace {

error_code last_error() { return {errno, boost::asio::error::get_system_category()}; }

// Gives the descriptor to the socket, and closes it if that fails.
template <typename Socket>
void assign_descriptor(int descriptor, Socket& socket, error_code& error) {
    if (descriptor < 0) {
        error = last_error();
        return;
    }
    socket.assign(tcp::v4(), descriptor, error);
    if (error) ::close(descriptor);
}

template <typename Socket>
void open_socket(Socket& socket, error_code& error) {
    assign_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, IPPROTO_TCP), socket, error);
}

}  // namespace

void open(tcp::socket& socket, error_code& error) { open_socket(socket, error); }
void open(tcp::acceptor& acceptor, error_code& error) { open_socket(acceptor, error); }

void accept(tcp::acceptor& acceptor, tcp::socket& socket, error_code& error) {
    assign_descriptor(::accept4(acceptor.native_handle(), nullptr, nullptr, SOCK_CLOEXEC), socket, error);
}

void stop_accepting(tcp::acceptor& acceptor) {
    // Drops incoming segments that ask for a connection (SYN). Byte 13 of a TCP header holds the flags.
    sock_filter filter[] = {BPF_STMT(BPF_LD | BPF_B | BPF_ABS, 13),
                            BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, 0x02, 0, 1), BPF_STMT(BPF_RET | BPF_K, 0),
                            BPF_STMT(BPF_RET | BPF_K, 0xffffffff)};
    const sock_fprog program{sizeof filter / sizeof *filter, filter};
    (void)::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

bool has_no_input(tcp::socket& socket) {
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool peer_has_closed(tcp::socket& socket) {
    pollfd poll_request{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&poll_request, 1, 0) > 0 && (poll_request.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool is_reset(tcp::socket& socket) {
    pollfd poll_request{socket.native_handle(), 0, 0};
    return ::poll(&poll_request, 1, 0) > 0 && (poll_request.revents & (POLLHUP | POLLERR)) != 0;
}

std::size_t unacknowledged_bytes(tcp::socket& socket) {
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0
               ? static_cast<std::size_t>(bytes)
               : 0;
}

bool writable(tcp::socket& socket) {
    pollfd poll_request{socket.native_handle(), POLLOUT, 0};
    return ::poll(&poll_request, 1, 0) > 0;
}

Read read_some(tcp::socket& socket, std::span<char> buffer) {
    for (;;) {
        const auto received = ::recv(socket.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (received > 0) return {Read::Kind::bytes, {buffer.data(), static_cast<std::size_t>(received)}};
        if (received == 0) return {Read::Kind::end, {}};
        if (errno == EINTR) continue;
        if (errno == EAGAIN || errno == EWOULDBLOCK) return {};
        return {Read::Kind::broken, {}};
    }
}

Written write_some(tcp::socket& socket, std::string_view bytes) {
    Written written;
    while (written.bytes < bytes.size()) {
        const auto sent = ::send(socket.native_handle(), bytes.data() + written.bytes,
                                 bytes.size() - written.bytes, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent >= 0) {
            written.bytes += static_cast<std::size_t>(sent);
        } else if (errno != EINTR) {
            // A lack of kernel memory is treated like a full socket buffer: the rest is written later.
            written.broken = errno != EAGAIN && errno != EWOULDBLOCK && errno != ENOBUFS && errno != ENOMEM;
            break;
        }
    }
    return written;
}

bool is_local_resource_error(const error_code& error) {
    switch (error.value()) {
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case EADDRNOTAVAIL:
        case EPERM:
        case EACCES: return true;
        default: return false;
    }
}

tcp::endpoint parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    error_code error;
    const auto address = boost::asio::ip::make_address_v4(text.substr(0, colon), error);
    const char* const text_end = text.data() + text.size();
    const auto [end, port_error] =
        std::from_chars(colon == std::string::npos ? text_end : text.data() + colon + 1, text_end, port);
    if (error || port_error != std::errc{} || end != text_end)
        throw std::invalid_argument("not an IPv4 address with a port: " + text);
    return {address, port};
}

tcp::endpoint endpoint_of(const std::string& host, std::uint16_t port) {
    return parse_endpoint(host + ":" + std::to_string(port));
}

std::string text_of(const tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace flaxdoor::loop
