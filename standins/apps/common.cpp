#include "common.h"

#include <unistd.h>

#include <boost/asio.hpp>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace flaxdoor::standins {

namespace asio = boost::asio;
using Error = boost::system::error_code;

asio::ip::tcp::endpoint parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    Error error;
    const auto address =
        asio::ip::make_address_v4(text.substr(0, colon == std::string::npos ? 0 : colon), error);
    unsigned short port = 0;
    const auto* begin = text.data() + (colon == std::string::npos ? text.size() : colon + 1);
    const auto [end, wrong] = std::from_chars(begin, text.data() + text.size(), port);
    if (error || wrong != std::errc{} || end != text.data() + text.size())
        throw std::invalid_argument("address '" + text + "': wanted as in 127.0.0.1:8080");
    if (!address.is_loopback()) throw std::invalid_argument("address '" + text + "': not in 127.0.0.0/8");
    return {address, port};
}

std::string text_of(const asio::ip::tcp::endpoint& address) {
    return address.address().to_string() + ":" + std::to_string(address.port());
}

std::vector<std::string> parts_of(std::string_view text, char between) {
    std::vector<std::string> parts;
    for (;;) {
        const auto end = std::min(text.find(between), text.size());
        parts.emplace_back(text.substr(0, end));
        if (end == text.size()) return parts;
        text.remove_prefix(end + 1);
    }
}

double number_of(const std::string& text, const char* field) {
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size() || !(number >= 0) || number > 1e15)
        throw std::invalid_argument(std::string(field) + ": '" + text + "' is no number from 0 up");
    return number;
}

void say(std::string_view line) {
    std::fwrite(line.data(), 1, line.size(), stdout);
    std::fputc('\n', stdout);
    std::fflush(stdout);
}

std::string error_line(std::string_view text) {
    return nlohmann::json{{"error", text}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

struct ControlLines::Impl : std::enable_shared_from_this<ControlLines::Impl> {
    Impl(asio::io_context& loop, std::function<void(std::string_view)> f)
        : input(loop), on_line(std::move(f)) {}

    void read() {
        input.async_read_some(asio::buffer(piece), [self = shared_from_this()](Error error, std::size_t got) {
            if (!self->on_line) return;
            self->held.append(self->piece.data(), got);
            for (auto end = self->held.find('\n'); end != std::string::npos; end = self->held.find('\n')) {
                auto line = self->held.substr(0, end);
                self->held.erase(0, end + 1);
                if (!line.empty() && line.back() == '\r') line.pop_back();
                if (!line.empty()) self->on_line(line);
            }
            if (self->held.size() > 1024 * 1024) {
                say(error_line("control: a line of more than 1 MiB; no more lines are read"));
                return;
            }
            if (!error) self->read();
        });
    }

    asio::posix::stream_descriptor input;
    std::function<void(std::string_view)> on_line;
    std::array<char, 4096> piece{};
    std::string held;
};

ControlLines::ControlLines(asio::io_context& loop, std::function<void(std::string_view)> on_line)
    : impl_(std::make_shared<Impl>(loop, std::move(on_line))) {
    // A file or /dev/null can't be waited for; then there is no control.
    Error error;
    const int mine = ::dup(STDIN_FILENO);
    if (mine < 0) return;
    impl_->input.assign(mine, error);
    if (error)
        ::close(mine);
    else
        impl_->read();
}
ControlLines::~ControlLines() {
    impl_->on_line = nullptr;
    Error ignored;
    impl_->input.close(ignored);
}

struct EndSignal::Impl {
    explicit Impl(asio::io_context& loop) : signals(loop, SIGTERM, SIGINT) {}
    asio::signal_set signals;
};

EndSignal::EndSignal(asio::io_context& loop, std::function<void()> on_end)
    : impl_(std::make_unique<Impl>(loop)) {
    impl_->signals.async_wait([on_end = std::move(on_end)](Error error, int) {
        if (!error) on_end();
    });
}
EndSignal::~EndSignal() = default;

}  // namespace flaxdoor::standins
