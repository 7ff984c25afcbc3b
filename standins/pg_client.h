// A client of PostgreSQL's protocol whose every byte a test says; it keeps the messages that come and sorts them into
// answers. It reads them with the stand-ins' own codec (pg_text.h).
//
// Threading: on the thread that runs the io_context, which must outlive it. Errors: a server that can't be reached
// throws boost::system::system_error; a connection that breaks has ended. Bounded: of what comes 64 MiB are kept,
// then it ends.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "pg_text.h"

namespace standins::pg {

// What a unit was answered, up to its ReadyForQuery.
struct Answer {
    std::string types;  // of its messages, ReadyForQuery and what comes unasked left out
    std::string code, severity, tag, detail, text;
    std::size_t errors = 0;
    char status = 0;  // 0: none has come
    std::vector<std::string> rows;
};

class Client : public std::enable_shared_from_this<Client> {
public:
    static constexpr std::size_t kept_most = 64 * 1024 * 1024;

    Client(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& to);
    virtual ~Client() = default;
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    void send(const std::string& bytes);
    void read();
    void pause() { paused_ = true; }
    void resume();
    void close();
    // Leaves out what came of the login, but for its errors; keeps the keys of a cancel.
    void skip_login();

    std::size_t readies() const { return readies_; }
    bool ended() const { return ended_; }
    std::size_t bytes() const { return bytes_; }
    bool half_message() const { return !in_.empty(); }
    const std::vector<Message>& messages() const { return messages_; }
    // One for each ReadyForQuery; the last may have none yet.
    std::vector<Answer> answers() const;

    std::uint32_t process = 0, secret = 0;

private:
    boost::asio::ip::tcp::socket socket_;
    std::array<char, 16384> room_{};
    std::string in_;
    std::vector<Message> messages_;
    std::size_t readies_ = 0, bytes_ = 0;
    bool ended_ = false, paused_ = false;
};

}  // namespace standins::pg
