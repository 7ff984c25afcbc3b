#include "peers.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cctype>
#include <cstdio>

namespace flaxdoor::standins::peers {

namespace asio = boost::asio;
using boost::system::error_code;

// ---- texts

tcp::endpoint loopback(std::uint16_t port) { return {asio::ip::address_v4::loopback(), port}; }

std::string text_of(const tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

bool has(std::string_view text, std::string_view part) { return text.find(part) != std::string_view::npos; }

int status(std::string_view answer) {
    return answer.size() < 12 ? 0 : std::stoi(std::string(answer.substr(9, 3)));
}

std::string header(std::string_view message, std::string_view name) {
    const auto head = message.substr(0, message.find("\r\n\r\n"));
    for (auto at = head.find("\r\n"); at != std::string_view::npos; at = head.find("\r\n", at + 2)) {
        const auto line = head.substr(at + 2, head.find("\r\n", at + 2) - at - 2);
        if (line.size() < name.size() + 2 || line.substr(name.size(), 2) != ": ") continue;
        const auto same = [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); };
        if (std::equal(name.begin(), name.end(), line.begin(), same)) {
            return std::string(line.substr(name.size() + 2));
        }
    }
    return {};
}

std::string body(std::string_view message) {
    const auto head = message.find("\r\n\r\n");
    return head == std::string_view::npos ? std::string() : std::string(message.substr(head + 4));
}

namespace {

// A body in chunks from `at` on: where it ends (npos: it is not all there) and what it holds.
std::pair<std::size_t, std::string> unchunk(std::string_view text, std::size_t at) {
    std::string all;
    while (true) {
        const auto line = text.find("\r\n", at);
        if (line == std::string_view::npos) return {line, {}};
        const auto size = std::stoul(std::string(text.substr(at, line - at)), nullptr, 16);
        at = line + 2 + size + 2;
        if (text.size() < at) return {std::string_view::npos, {}};
        if (size == 0) return {at, all};  // no trailers: nobody here has a use for them
        all += text.substr(line + 2, size);
    }
}

}  // namespace

std::string take_message(std::string& in) {
    const auto head = in.find("\r\n\r\n");
    if (head == std::string::npos) return {};
    std::string message = in.substr(0, head + 4);
    std::size_t end = head + 4;
    if (header(message, "Transfer-Encoding") == "chunked") {
        auto [at, content] = unchunk(in, end);
        if (at == std::string::npos) return {};
        end = at;
        message += content;
    } else if (const auto length = header(message, "Content-Length"); !length.empty()) {
        end += std::stoul(length);
        if (in.size() < end) return {};
        message = in.substr(0, end);
    }
    in.erase(0, end);
    return message;
}

std::string ok(std::string_view body, std::string_view headers) {
    return "HTTP/1.1 200 OK\r\n" + std::string(headers) + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + std::string(body);
}

std::string chunk(const std::string& text) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

// ---- wires

Wire::Wire(tcp::socket socket) : socket_(std::move(socket)) {
    socket_.non_blocking(true);
    socket_.set_option(tcp::no_delay(true));
}

void Wire::start() {
    socket_.async_read_some(asio::buffer(piece_),
                            [self = shared_from_this()](error_code error, std::size_t got) {
                                self->in.append(self->piece_, got);
                                if (!error && self->in.size() > kept_most) {
                                    self->close();
                                    error = asio::error::no_buffer_space;
                                }
                                self->ended = self->ended || error;
                                if (!error) self->start();
                            });
}

void Wire::send(std::string_view text) {
    const bool waiting = !out_.empty();
    out_ += text;
    if (!waiting) flush();
}

bool Wire::try_say(std::string_view text) {
    send(text);
    return !broken_;
}

void Wire::end_sending() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void Wire::reset() {
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
}

void Wire::flush() {
    error_code error;
    while (!out_.empty() && !error) out_.erase(0, socket_.write_some(asio::buffer(out_), error));
    if (error == asio::error::would_block) {
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code failed) {
            if (!failed) self->flush();
        });
    } else if (error) {
        out_.clear();
        broken_ = true;
    }
}

Listener::Listener(asio::io_context& loop) : acceptor_(loop), guard_(loop) {
    guard_.open(tcp::v4());
    guard_.set_option(tcp::socket::reuse_address(true));
    guard_.bind(loopback());
    address_ = guard_.local_endpoint();
    acceptor_ = tcp::acceptor(loop, address_);
    accept();
}

void Listener::close() { acceptor_.close(); }

void Listener::vanish() {
    acceptor_.cancel();
    full_.emplace(acceptor_);
}

void Listener::reappear() {
    if (!full_) return;
    for (tcp::socket& socket : full_->make_room(asio::socket_base::max_listen_connections))
        take(std::move(socket));
    full_.reset();
    accept();
}

void Listener::take(tcp::socket socket) {
    wires.push_back(std::make_shared<Wire>(std::move(socket)));
    wires.back()->start();
}

void Listener::accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
        if (error || full_) return;
        take(std::move(socket));
        accept();
    });
}

// ---- a backend

struct Backend::Link {
    explicit Link(tcp::socket from) : socket(std::move(from)) {
        socket.non_blocking(true);
        socket.set_option(tcp::no_delay(true));
    }
    tcp::socket socket;
    std::string in;
    bool head = false;  // the last request was HEAD
};

Backend::Backend(asio::io_context& io, std::string its_name)
    : name(std::move(its_name)), io_(io), acceptor_(io, loopback()) {
    acceptor_.non_blocking(true);
    accept();
}

Backend::~Backend() {
    const auto all = links_;
    for (const auto& link : all) close(link);
}

void Backend::catch_up() {
    for (error_code error; !error;) {
        tcp::socket socket(io_);
        acceptor_.accept(socket, error);
        if (error) break;
        links_.push_back(std::make_shared<Link>(std::move(socket)));
        wait(links_.back());
    }
    const auto all = links_;
    for (const auto& link : all) read(link);
}

void Backend::release() {
    hold = false;
    for (const auto& link : std::exchange(held_, {})) answer(*link);
}

void Backend::break_held() {
    for (const auto& link : std::exchange(held_, {})) close(link);
}

void Backend::accept() {
    acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
        if (error) return;
        catch_up();
        accept();
    });
}

void Backend::wait(const std::shared_ptr<Link>& link) {
    link->socket.async_wait(tcp::socket::wait_read, [this, link](error_code error) {
        if (error || !link->socket.is_open()) return;  // closed, perhaps with the backend
        read(link);
        if (link->socket.is_open()) wait(link);
    });
}

void Backend::read(const std::shared_ptr<Link>& link) {
    char room[65536];
    for (error_code error; !error;) {
        link->in.append(room, link->socket.read_some(asio::buffer(room), error));
        if (link->in.size() > kept_most) return close(link);
        if (error && error != asio::error::would_block) return close(link);
    }
    for (std::string one = take_message(link->in); !one.empty(); one = take_message(link->in)) {
        requests.push_back(one);
        link->head = one.starts_with("HEAD ");
        if (on_request) on_request(one);
        if (hold) {
            held_.push_back(link);
        } else {
            answer(*link);
        }
    }
}

void Backend::answer(Link& link) {
    const std::string text = "HTTP/1.1 " + answer_with + "\r\n" + extra +
                             "Content-Length: " + std::to_string(name.size()) + "\r\n\r\n" +
                             (link.head ? "" : name);
    error_code ignored;
    if (link.socket.is_open()) asio::write(link.socket, asio::buffer(text), ignored);
}

void Backend::close(const std::shared_ptr<Link>& link) {
    error_code ignored;
    link->socket.close(ignored);
    std::erase(links_, link);
}

// ---- a client

Client::Client(asio::io_context& io, const tcp::endpoint& to) : socket_(io) {
    error_code error;
    socket_.connect(to, error);
    refused = static_cast<bool>(error);
}

void Client::send(const std::string& bytes) {
    error_code ignored;
    asio::write(socket_, asio::buffer(bytes), ignored);
    if (!reading_) read();
}

void Client::read() {
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(room_), [self = shared_from_this()](error_code error, std::size_t got) {
            if (error || self->raw.size() > kept_most) {
                self->ended = true;
                return;
            }
            self->in_.append(self->room_.data(), got);
            self->raw.append(self->room_.data(), got);
            for (std::string one = take_message(self->in_); !one.empty(); one = take_message(self->in_)) {
                self->answers.push_back(one);
                if (self->on_answer) self->on_answer();
            }
            self->read();
        });
}

// ---- one who does not listen

DeafPeer::DeafPeer(asio::io_context& loop) : acceptor_(loop) {
    acceptor_.open(tcp::v4());
    // With such short segments the sender's side holds little too, so that a large request stays half written.
    acceptor_.set_option(asio::socket_base::receive_buffer_size(2048));
    acceptor_.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>(200));
    acceptor_.bind(loopback());
    acceptor_.listen();
    accept();
}

void DeafPeer::read_all() {
    sockets_.front().async_read_some(asio::buffer(room_), [this](error_code error, std::size_t got) {
        bytes_.append(room_.data(), got);
        ended_ = error || bytes_.size() > kept_most;
        if (!ended_) read_all();
    });
}

void DeafPeer::accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
        if (error) return;
        sockets_.push_back(std::move(socket));
        accept();
    });
}

}  // namespace flaxdoor::standins::peers
