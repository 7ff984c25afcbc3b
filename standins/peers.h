// Scripted peers of plain HTTP/1.1 on loopback: ends of connections that keep what comes as text, a listener, a
// backend that answers with its name, a client that asks. For tests that say every byte themselves; for peers that
// judge and count by themselves see BookingNode, LoadClient and ScriptedClient.
//
// Threading: all on the thread that runs the io_context, which must outlive them. Errors: a listener that can't be
// opened throws boost::system::system_error; what breaks a connection is told by `ended`. Bounded: of what comes on a
// connection 16 MiB are kept, then it ends.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "standins/backlog.h"

namespace flaxdoor::standins::peers {

using boost::asio::ip::tcp;

inline constexpr std::size_t kept_most = 16 * 1024 * 1024;

[[nodiscard]] tcp::endpoint loopback(std::uint16_t port = 0);
[[nodiscard]] std::string text_of(const tcp::endpoint& endpoint);

[[nodiscard]] bool has(std::string_view text, std::string_view part);
// Of an answer; 0: it has none.
[[nodiscard]] int status(std::string_view answer);
// The value of a header of a message, whose names may be written in any case; empty when it has none.
[[nodiscard]] std::string header(std::string_view message, std::string_view name);
[[nodiscard]] std::string body(std::string_view message);
// Takes one whole message out of what has come, if there is one, its body freed of its framing; else empty.
[[nodiscard]] std::string take_message(std::string& in);
[[nodiscard]] std::string ok(std::string_view body = "served", std::string_view headers = "");
// A piece of an answer in chunks.
[[nodiscard]] std::string chunk(const std::string& text);

// One end of a connection: keeps what has come and whether the other side has ended.
class Wire : public std::enable_shared_from_this<Wire> {
public:
    explicit Wire(tcp::socket socket);

    void start();
    // What the socket takes at once is with the other side's machine on return; the rest follows in the loop.
    void send(std::string_view text);
    bool try_say(std::string_view text);
    bool all_said() const { return out_.empty(); }
    // This side has no more to say, and still listens.
    void end_sending();
    void close() { socket_.close(); }
    void reset();
    std::string take() { return take_message(in); }

    std::string in;
    bool ended = false;

private:
    void flush();

    tcp::socket socket_;
    std::string out_;
    bool broken_ = false;
    char piece_[16 * 1024];
};

class Listener {
public:
    explicit Listener(boost::asio::io_context& loop);
    tcp::endpoint address() const { return address_; }
    // Refuses from now on. The port stays taken: it must not become another test's.
    void close();
    // Whoever connects from now on gets no answer, until it is to be found again.
    void vanish();
    void reappear();

    std::vector<std::shared_ptr<Wire>> wires;  // in the order in which they came

private:
    void accept();

    void take(tcp::socket socket);

    tcp::acceptor acceptor_;
    tcp::socket guard_;  // bound, and never listens: it keeps the port
    tcp::endpoint address_;
    std::optional<FullBacklog> full_;
};

// Counts what it runs, answers 200 with its name, and holds answers when told to.
class Backend {
public:
    Backend(boost::asio::io_context& io, std::string its_name);
    ~Backend();
    Backend(const Backend&) = delete;
    Backend& operator=(const Backend&) = delete;

    std::string address() const { return text_of(acceptor_.local_endpoint()); }
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    // Whatever has been written to it by now is read: loopback delivers within the write.
    void catch_up();
    // Answers what is held.
    void release();
    // Ends the connections of what is held, without an answer.
    void break_held();
    std::size_t held() const { return held_.size(); }

    const std::string name;
    bool hold = false;
    std::string answer_with = "200 OK";
    std::string extra;  // headers of answers
    std::vector<std::string> requests;
    std::function<void(const std::string& request)> on_request;

private:
    struct Link;
    void accept();
    void wait(const std::shared_ptr<Link>& link);
    void read(const std::shared_ptr<Link>& link);
    void answer(Link& link);
    void close(const std::shared_ptr<Link>& link);

    boost::asio::io_context& io_;
    tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<Link>> links_, held_;
};

class Client : public std::enable_shared_from_this<Client> {
public:
    Client(boost::asio::io_context& io, const tcp::endpoint& to);
    void send(const std::string& bytes);
    // Of the answers so far: "200", "503".
    std::string status(std::size_t n = 0) const { return answers.size() > n ? answers[n].substr(9, 3) : ""; }
    std::string body(std::size_t n = 0) const { return answers.size() > n ? peers::body(answers[n]) : ""; }

    std::vector<std::string> answers;
    std::string raw;  // all that has come
    bool ended = false, refused = false;
    std::function<void()> on_answer;

private:
    void read();

    tcp::socket socket_;
    std::array<char, 65536> room_;
    std::string in_;
    bool reading_ = false;
};

// Takes connections and reads nothing until told to, with little room for what it does not read.
class DeafPeer {
public:
    explicit DeafPeer(boost::asio::io_context& loop);
    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    std::string address() const { return text_of(endpoint()); }
    std::size_t accepted() const { return sockets_.size(); }
    // Something of a request is there, unread.
    bool something_came() { return !sockets_.empty() && sockets_.front().available() > 0; }
    // Reads to the end of the first connection: all that ever came on it.
    void read_all();
    const std::string& bytes() const { return bytes_; }
    bool ended() const { return ended_; }

private:
    void accept();

    tcp::acceptor acceptor_;
    std::vector<tcp::socket> sockets_;
    std::array<char, 4096> room_{};
    std::string bytes_;
    bool ended_ = false;
};

}  // namespace flaxdoor::standins::peers
