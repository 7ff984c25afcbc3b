// What both sides share: the message types, messages as bytes, headers that go on, sockets that stay quiet.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace flaxdoor::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using beast::error_code;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

inline constexpr std::uint32_t header_most = 16 * 1024;
inline constexpr std::size_t body_most = 64 * 1024;

std::string to_bytes(HttpRequest& message);
std::string to_bytes(HttpResponse& message);

// Takes out what is meant for one connection only: framing, and what Connection names.
void strip_hop_by_hop(http::fields& headers);

// No bytes and no end have come: safe to write a request to, or to close between two requests.
bool quiet(tcp::socket& socket);

// Writes what the socket takes at once. False when the connection is broken.
bool write_some(tcp::socket& socket, const std::string& bytes, std::size_t& written);

void log(std::string_view line);

}  // namespace flaxdoor::net
