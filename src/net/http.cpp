#include "net/http.h"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <cerrno>
#include <cstdio>
#include <vector>

namespace flaxdoor::net {

namespace {

template <typename Message>
std::string serialized(Message& message) {
    http::serializer<Message::is_request::value, http::string_body> serializer(message);
    std::string bytes;
    while (!serializer.is_done()) {
        error_code error;
        serializer.next(error, [&](error_code&, const auto& buffers) {
            for (const auto buffer : beast::buffers_range_ref(buffers)) {
                bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
            }
            serializer.consume(beast::buffer_bytes(buffers));
        });
        if (error) break;
    }
    return bytes;
}

}  // namespace

std::string to_bytes(HttpRequest& message) { return serialized(message); }
std::string to_bytes(HttpResponse& message) { return serialized(message); }

void strip_hop_by_hop(http::fields& headers) {
    std::vector<std::string> named;
    for (auto [at, end] = headers.equal_range(http::field::connection); at != end; ++at) {
        for (const auto name : http::token_list(at->value())) named.emplace_back(name);
    }
    for (const auto& name : named) headers.erase(name);
    for (const auto field : {http::field::connection, http::field::keep_alive, http::field::proxy_connection,
                             http::field::proxy_authenticate, http::field::proxy_authorization,
                             http::field::te, http::field::trailer, http::field::transfer_encoding,
                             http::field::upgrade, http::field::expect, http::field::content_length}) {
        headers.erase(field);
    }
}

bool quiet(tcp::socket& socket) {
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool write_some(tcp::socket& socket, const std::string& bytes, std::size_t& written) {
    while (written < bytes.size()) {
        error_code error;
        written += socket.write_some(asio::buffer(bytes.data() + written, bytes.size() - written), error);
        if (error == asio::error::would_block || error == asio::error::try_again) return true;
        if (error == asio::error::interrupted) continue;
        if (error) return false;
    }
    return true;
}

void log(std::string_view line) {
    std::fprintf(stderr, "%.*s\n", static_cast<int>(line.size()), line.data());
}

}  // namespace flaxdoor::net
