#include "scripted_client.h"

#include <boost/asio.hpp>
#include <deque>

#include "booking_node.h"

namespace flaxdoor::standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

constexpr std::size_t kept_most = 16 * 1024 * 1024;

}  // namespace

void append_call(std::string& out, const Call& call) {
    out.append(call.kind == CallKind::safe ? "GET " : "POST ").append(call.target);
    out.append(" HTTP/1.1\r\nHost: api.internal\r\n");
    const auto line = [&](std::string_view name, std::string_view value) {
        if (!value.empty()) out.append(name).append(value).append("\r\n");
    };
    line("X-Call-Id: ", call.call_id);
    line("X-Call-Class: ", call.cls);
    line("X-Caller: ", call.caller);
    line("Cookie: key=", call.about);
    if (call.budget_ms > 0) line("X-Budget-Ms: ", std::to_string(call.budget_ms));
    if (call.kind == CallKind::keyed) line("Idempotency-Key: ", call.key);
    if (call.again) line("X-Again: ", "1");
    if (call.closes) line("Connection: ", "close");
    if (call.kind != CallKind::safe) line("Content-Length: ", std::to_string(call.body.size()));
    out.append(call.further).append("\r\n");
    if (call.kind != CallKind::safe) out.append(call.body);
}

std::string text_of(const Call& call) {
    std::string text;
    append_call(text, call);
    return text;
}

bool made_for(const Answer& answer, const Call& call) {
    return made_for(answer.body, call.call_id, call.cls,
                    call.kind == CallKind::keyed ? call.key : std::string_view{},
                    call.kind == CallKind::safe ? std::string_view{} : call.body);
}

struct ScriptedClient::Impl : std::enable_shared_from_this<ScriptedClient::Impl> {
    struct Step {
        enum class Kind { bytes, half_close } kind;
        std::string bytes;
        std::size_t piece, done;
        std::chrono::milliseconds every;
    };

    explicit Impl(asio::io_context& loop) : socket(loop), timer(loop) {}

    void connect(const tcp::endpoint& to) {
        socket.async_connect(to, [self = shared_from_this()](Error error) {
            if (self->end != End::open) return;
            if (error) {
                // A connection that came up and was reset before the loop saw it was not refused.
                self->end = error == asio::error::connection_reset ? End::rst : End::refused;
                return;
            }
            self->connected = true;
            self->socket.set_option(tcp::no_delay(true), error);
            self->local = self->socket.local_endpoint(error);
            self->read();
            self->step();
        });
    }

    void step() {
        if (busy || !connected || steps.empty() || end == End::left || end == End::rst) return;
        auto& now = steps.front();
        if (now.kind == Step::Kind::half_close) {
            Error ignored;
            socket.shutdown(tcp::socket::shutdown_send, ignored);
            steps.pop_front();
            return step();
        }
        busy = true;
        const auto piece = std::min(now.piece, now.bytes.size() - now.done);
        asio::async_write(socket, asio::buffer(now.bytes.data() + now.done, piece),
                          [self = shared_from_this()](Error error, std::size_t sent) {
                              self->busy = false;
                              if (self->steps.empty()) return;
                              if (error) {
                                  self->steps.clear();
                                  return;
                              }
                              auto& step = self->steps.front();
                              step.done += sent;
                              if (step.done < step.bytes.size()) return self->wait(step.every);
                              self->steps.pop_front();
                              self->step();
                          });
    }

    void wait(std::chrono::milliseconds time) {
        busy = true;
        timer.expires_after(time);
        timer.async_wait([self = shared_from_this()](Error) {
            self->busy = false;
            self->step();
        });
    }

    void read() {
        if (reading || !connected || !wants || end != End::open) return;
        reading = true;
        socket.async_read_some(asio::buffer(piece),
                               [self = shared_from_this()](Error error, std::size_t got) {
                                   self->reading = false;
                                   if (self->end != End::open) return;
                                   self->raw.append(self->piece.data(), got);
                                   self->reader.feed({self->piece.data(), got});
                                   if (error) self->end = error == asio::error::eof ? End::fin : End::rst;
                                   self->take();
                                   if (self->raw.size() > kept_most) return self->close(true);
                                   self->read();
                               });
    }

    void take() {
        while (!garbled) {
            Answer answer;
            const auto result = reader.next(answer, end == End::fin);
            if (result == Reading::more) return;
            if (result == Reading::bad) {
                garbled = true;
                return;
            }
            answers.push_back(std::move(answer));
            times.push_back(std::chrono::steady_clock::now());
        }
    }

    void close(bool reset) {
        Error ignored;
        if (reset) socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
        timer.cancel();
        if (end == End::open) end = End::left;
    }

    tcp::socket socket;
    asio::steady_timer timer;
    tcp::endpoint local;
    std::array<char, 16384> piece{};
    std::deque<Step> steps;
    AnswerReader reader{kept_most};
    std::vector<Answer> answers;
    std::vector<Time> times;
    std::string raw;
    End end = End::open;
    bool connected = false, busy = false, reading = false, wants = true, garbled = false;
};

ScriptedClient::ScriptedClient(asio::io_context& loop, const tcp::endpoint& to)
    : impl_(std::make_shared<Impl>(loop)) {
    impl_->connect(to);
}
ScriptedClient::~ScriptedClient() {
    impl_->steps.clear();
    impl_->close(false);
}
void ScriptedClient::send(std::string bytes) {
    if (bytes.empty()) return;
    const auto size = bytes.size();
    impl_->steps.push_back({Impl::Step::Kind::bytes, std::move(bytes), size, 0, {}});
    impl_->step();
}
void ScriptedClient::send_slowly(std::string bytes, std::size_t piece, std::chrono::milliseconds every) {
    if (bytes.empty()) return;
    impl_->steps.push_back(
        {Impl::Step::Kind::bytes, std::move(bytes), std::max<std::size_t>(1, piece), 0, every});
    impl_->step();
}
void ScriptedClient::half_close() {
    impl_->steps.push_back({Impl::Step::Kind::half_close, {}, 0, 0, {}});
    impl_->step();
}
void ScriptedClient::leave() { impl_->close(false); }
void ScriptedClient::reset() { impl_->close(true); }
void ScriptedClient::read(bool on) {
    impl_->wants = on;
    impl_->read();
}
bool ScriptedClient::connected() const { return impl_->connected; }
bool ScriptedClient::all_sent() const { return impl_->connected && impl_->steps.empty(); }
ScriptedClient::End ScriptedClient::end() const { return impl_->end; }
const std::vector<Answer>& ScriptedClient::answers() const { return impl_->answers; }
const std::vector<Time>& ScriptedClient::answer_times() const { return impl_->times; }
bool ScriptedClient::garbled() const { return impl_->garbled; }
const std::string& ScriptedClient::raw() const { return impl_->raw; }
const std::string& ScriptedClient::rest() const { return impl_->reader.rest(); }
const Answer& ScriptedClient::part() const { return impl_->reader.so_far(); }
bool ScriptedClient::head_read() const { return impl_->reader.head_read(); }
tcp::endpoint ScriptedClient::local() const { return impl_->local; }

}  // namespace flaxdoor::standins
