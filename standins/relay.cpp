#include "relay.h"

#include <array>
#include <boost/asio.hpp>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "http_text.h"

namespace flaxdoor::standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;
template <typename T>
using Task = asio::awaitable<T>;

namespace {

constexpr auto told = asio::as_tuple(asio::use_awaitable);

// Takes one whole request off the front of what has come.
Reading take_request(std::string& in, std::string& request, std::size_t& head_bytes) {
    Head head;
    const Reading reading = read_head(in, head);
    if (reading != Reading::whole) return reading;
    const auto length = head.has("Content-Length") ? whole_number(head["Content-Length"]) : 0;
    if (!length || *length > Relay::bytes_most || head.has("Transfer-Encoding")) return Reading::bad;
    head_bytes = head.bytes;
    const std::size_t whole = head.bytes + static_cast<std::size_t>(*length);
    if (in.size() < whole) return Reading::more;
    request = in.substr(0, whole);
    in.erase(0, whole);
    return Reading::whole;
}

void reset(tcp::socket& socket) {
    Error ignored;
    socket.set_option(tcp::socket::linger(true, 0), ignored);
    socket.close(ignored);
}

}  // namespace

struct Relay::Impl : std::enable_shared_from_this<Relay::Impl> {
    using Socket = std::shared_ptr<tcp::socket>;
    struct Fate {
        bool dropped, held, doubled, repeated;
        std::chrono::microseconds delay;
    };

    Impl(asio::io_context& l, Settings s)
        : loop(l),
          settings(std::move(s)),
          acceptor(l, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          random(settings.seed) {}

    // All is drawn each time, so that what happens to one request does not depend on what is asked of another.
    Fate draw() {
        std::uniform_real_distribution<double> even(0, 1);
        const auto strikes = [&](double share) { return even(random) < share; };
        Fate fate{strikes(chances.dropped),
                  strikes(chances.held),
                  strikes(chances.doubled),
                  strikes(chances.repeated),
                  {}};
        fate.delay = std::chrono::microseconds(
            static_cast<std::int64_t>(even(random) * 1000.0 * static_cast<double>(chances.delay.count())));
        return fate;
    }

    Socket keep(tcp::socket socket) {
        std::erase_if(open, [](const auto& each) { return each.expired(); });
        auto kept = std::make_shared<tcp::socket>(std::move(socket));
        open.push_back(kept);
        return kept;
    }

    static Task<void> accept(std::shared_ptr<Impl> self) {
        while (!self->over) {
            auto [error, socket] = co_await self->acceptor.async_accept(told);
            if (error) co_return;
            if (self->open.size() >= connections_most) {
                std::erase_if(self->open, [](const auto& each) { return each.expired(); });
                if (self->open.size() >= connections_most) continue;  // it closes
            }
            asio::co_spawn(self->loop, serve(self, self->keep(std::move(socket))), asio::detached);
        }
    }

    static Task<void> wait(asio::io_context& loop, std::chrono::microseconds time) {
        asio::steady_timer timer(loop, time);
        co_await timer.async_wait(told);
    }

    static Task<void> serve(std::shared_ptr<Impl> self, Socket client) {
        std::string in, request;
        std::array<char, 4096> piece{};
        while (!self->over) {
            std::size_t head_bytes = 0;
            for (;;) {
                const Reading reading = take_request(in, request, head_bytes);
                if (reading == Reading::whole) break;
                if (reading == Reading::bad || in.size() > bytes_most) co_return;
                const auto [error, got] = co_await client->async_read_some(asio::buffer(piece), told);
                if (error) co_return;
                in.append(piece.data(), got);
            }
            const auto answer = co_await exchange(self, client, request, head_bytes);
            if (!answer || self->over) co_return;
            const auto [error, sent] = co_await asio::async_write(*client, asio::buffer(*answer), told);
            if (error) co_return;
            ++self->counts.answers;
        }
    }

    // What the client is to get; nothing: its connection closes, or is among the silent ones.
    static Task<std::optional<std::string>> exchange(std::shared_ptr<Impl> self, Socket client,
                                                     const std::string& request, std::size_t head_bytes) {
        ++self->counts.requests;
        if (self->settings.on_request)
            self->settings.on_request(std::string_view(request).substr(head_bytes));
        const Fate fate = self->draw();
        if (fate.delay.count() > 0) co_await wait(self->loop, fate.delay);
        if (self->cuts(Cut::requests, client)) co_return std::nullopt;
        if (fate.doubled) {
            ++self->counts.doubled;
            asio::co_spawn(self->loop, again(self, request), asio::detached);
        }
        auto answer = co_await ask(self, request);
        if (fate.repeated) {
            ++self->counts.repeated;
            answer = co_await ask(self, request);
        }
        if (!answer) {
            ++self->counts.unreachable;
            co_return std::nullopt;
        }
        if (fate.dropped) {
            ++self->counts.dropped;
            co_return std::nullopt;
        }
        if (fate.held) {
            ++self->counts.held;
            co_await wait(self->loop, self->chances.hold);
        }
        if (self->cuts(Cut::answers, client)) co_return std::nullopt;
        co_return answer;
    }

    static Task<void> again(std::shared_ptr<Impl> self, std::string request) {
        co_await wait(self->loop, self->chances.hold);
        if (self->cut == Cut::none) (void)co_await ask(self, std::move(request));
    }

    // A whole answer of the server's, as its bytes came.
    static Task<std::optional<std::string>> ask(std::shared_ptr<Impl> self, std::string request) {
        if (self->over) co_return std::nullopt;
        const Socket server = self->keep(tcp::socket(self->loop));
        const auto [refused] = co_await server->async_connect(self->server, told);
        if (refused) co_return std::nullopt;
        const auto [unsent, sent] = co_await asio::async_write(*server, asio::buffer(request), told);
        if (unsent) co_return std::nullopt;
        std::string bytes;
        AnswerReader reader;
        Answer answer;
        std::array<char, 4096> piece{};
        for (;;) {
            const auto [error, got] = co_await server->async_read_some(asio::buffer(piece), told);
            bytes.append(piece.data(), got);
            reader.feed({piece.data(), got});
            const Reading reading = reader.next(answer, static_cast<bool>(error));
            if (reading == Reading::whole) co_return bytes;
            if (reading == Reading::bad || error || bytes.size() > bytes_most) co_return std::nullopt;
        }
    }

    // Whether it is lost here; then its client's connection stays open and silent.
    bool cuts(Cut way, const Socket& client) {
        if (cut != way && cut != Cut::both) return false;
        ++counts.lost;
        silent.push_back(client);
        return true;
    }

    void heal() {
        for (const Socket& each : silent) reset(*each);
        silent.clear();
    }

    asio::io_context& loop;
    Settings settings;
    tcp::acceptor acceptor;
    tcp::endpoint server;
    std::mt19937_64 random;
    Chances chances;
    Counts counts;
    Cut cut = Cut::none;
    std::vector<std::weak_ptr<tcp::socket>> open;
    std::vector<Socket> silent;
    bool over = false;
};

Relay::Relay(asio::io_context& loop, Settings settings)
    : impl_(std::make_shared<Impl>(loop, std::move(settings))) {
    asio::co_spawn(loop, Impl::accept(impl_), asio::detached);
}

Relay::~Relay() {
    impl_->over = true;
    impl_->settings.on_request = {};
    Error ignored;
    impl_->acceptor.close(ignored);
    impl_->heal();
    for (const auto& each : impl_->open) {
        if (const auto socket = each.lock()) socket->close(ignored);
    }
}

tcp::endpoint Relay::address() const { return impl_->acceptor.local_endpoint(); }
void Relay::to(const tcp::endpoint& server) { impl_->server = server; }
void Relay::cut(Cut cut) {
    impl_->cut = cut;
    if (cut == Cut::none) impl_->heal();
}
void Relay::chances(const Chances& chances) { impl_->chances = chances; }
const Relay::Counts& Relay::counts() const { return impl_->counts; }

}  // namespace flaxdoor::standins
