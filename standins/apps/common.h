// What the stand-ins' programs share: addresses, control lines from standard input, an end by SIGTERM or
// SIGINT. Threading: on the thread of the io_context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace flaxdoor::standins {

// ADDRESS:PORT, the address in 127.0.0.0/8. Throws std::invalid_argument that names the text.
[[nodiscard]] boost::asio::ip::tcp::endpoint parse_address(const std::string& text);
[[nodiscard]] std::string text_of(const boost::asio::ip::tcp::endpoint& address);
[[nodiscard]] std::vector<std::string> parts_of(std::string_view text, char between);
// Throws std::invalid_argument that names the field.
[[nodiscard]] double number_of(const std::string& text, const char* field);

// Standard output, at once: the one who steers the program reads line by line.
void say(std::string_view line);
[[nodiscard]] std::string error_line(std::string_view text);

// Hands on each line of standard input (up to 1 MiB) until its end; the program runs on without it.
class ControlLines {
public:
    ControlLines(boost::asio::io_context& loop, std::function<void(std::string_view)> on_line);
    ~ControlLines();
    ControlLines(const ControlLines&) = delete;
    ControlLines& operator=(const ControlLines&) = delete;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

// SIGTERM and SIGINT.
class EndSignal {
public:
    EndSignal(boost::asio::io_context& loop, std::function<void()> on_end);
    ~EndSignal();
    EndSignal(const EndSignal&) = delete;
    EndSignal& operator=(const EndSignal&) = delete;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace flaxdoor::standins
