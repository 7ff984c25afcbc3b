#include "kube/client.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <map>
#include <vector>

#include "kube/answer.h"
#include "loop/sockets.h"
#include "tls/tls.h"

namespace flaxdoor::kube {

namespace asio = boost::asio;
using loop::error_code;
using loop::tcp;

namespace {

constexpr std::size_t idle_most = 2;
constexpr auto token_again = std::chrono::seconds(30);  // a token file is read again after

}  // namespace

class Client::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(const loop::Executor& executor, Config config)
        : executor_(executor), config_(std::move(config)), resolver_(executor) {
        if (!config_.tls) return;
        try {
            context_ = tls::Context::for_servers({config_.authorities, config_.certificate, config_.key});
        } catch (const tls::Error& error) {
            throw std::runtime_error(std::string("API server ") + config_.host + ": " + error.what());
        }
    }

    std::uint64_t start(Call call, Handlers handlers) {
        const std::uint64_t number = ++last_;
        const auto exchange = std::make_shared<Exchange>(*this, number, std::move(call), std::move(handlers));
        exchanges_.emplace(number, exchange);
        asio::post(executor_, [exchange, self = shared_from_this()] { exchange->begin(); });
        return number;
    }

    void cancel(std::uint64_t number) {
        const auto found = exchanges_.find(number);
        if (found == exchanges_.end()) return;
        const auto exchange = found->second;
        exchanges_.erase(found);
        exchange->drop();
    }

    std::size_t open() const { return exchanges_.size(); }

    void stop() {
        const auto all = std::move(exchanges_);
        exchanges_.clear();
        for (const auto& [number, exchange] : all) exchange->drop();
        idle_.clear();
        resolver_.cancel();
    }

private:
    struct Connection {
        explicit Connection(const loop::Executor& executor) : socket(executor) {}
        tcp::socket socket;
        std::unique_ptr<tls::Channel> channel;
    };

    class Exchange : public std::enable_shared_from_this<Exchange> {
    public:
        Exchange(Impl& owner, std::uint64_t number, Call call, Handlers handlers)
            : owner_(owner.shared_from_this()),
              number_(number),
              call_(std::move(call)),
              handlers_(std::move(handlers)),
              timer_(owner.executor_),
              answer_([this](std::string_view bytes) {
                  told_status();
                  if (!over_ && handlers_.on_body) handlers_.on_body(bytes);
              }) {}

        void begin() {
            if (over_) return;
            arm();
            bytes_ = request();
            while (!owner_->idle_.empty()) {
                connection_ = std::move(owner_->idle_.back());
                owner_->idle_.pop_back();
                if (!loop::quiet(connection_->socket)) continue;
                reused_ = true;
                return go();
            }
            look_up();
        }

        void drop() {
            over_ = true;
            timer_.cancel();
            if (connection_) {
                error_code ignored;
                connection_->socket.close(ignored);
            }
            // The handlers stay as long as this does: it may be one of them that is on the stack.
        }

    private:
        std::string request() const {
            const Config& config = owner_->config_;
            std::string out = call_.method + " " + call_.target + " HTTP/1.1\r\nHost: " + config.host + ":" +
                              std::to_string(config.port) + "\r\nAccept: " + call_.accept +
                              "\r\nUser-Agent: flaxdoor\r\n";
            if (const std::string token = owner_->token(); !token.empty())
                out += "Authorization: Bearer " + token + "\r\n";
            if (!call_.content_type.empty()) out += "Content-Type: " + call_.content_type + "\r\n";
            if (!call_.body.empty() || call_.method != "GET")
                out += "Content-Length: " + std::to_string(call_.body.size()) + "\r\n";
            return out + "\r\n" + call_.body;
        }

        void look_up() {
            error_code error;
            const auto address = asio::ip::make_address(owner_->config_.host, error);
            if (!error) return connect({tcp::endpoint(address, owner_->config_.port)});
            owner_->resolver_.async_resolve(
                owner_->config_.host, std::to_string(owner_->config_.port),
                [self = shared_from_this()](error_code failed, const tcp::resolver::results_type& found) {
                    if (self->over_) return;
                    if (failed) return self->end(false, "look-up: " + failed.message());
                    std::vector<tcp::endpoint> all;
                    for (const auto& each : found) all.push_back(each.endpoint());
                    self->connect(std::move(all));
                });
        }

        void connect(std::vector<tcp::endpoint> to) {
            if (to.empty()) return end(false, "no address");
            const tcp::endpoint first = to.front();
            to.erase(to.begin());
            connection_ = std::make_unique<Connection>(owner_->executor_);
            error_code error;
            connection_->socket.open(first.protocol(), error);
            if (!error) connection_->socket.non_blocking(true, error);
            if (error) return end(false, error.message());
            connection_->socket.async_connect(
                first, [self = shared_from_this(), rest = std::move(to)](error_code failed) mutable {
                    if (self->over_) return;
                    if (failed && !rest.empty()) return self->connect(std::move(rest));
                    if (failed) return self->end(false, "connect: " + failed.message());
                    self->connected();
                });
        }

        void connected() {
            error_code ignored;
            connection_->socket.set_option(tcp::no_delay(true), ignored);
            if (owner_->context_) {
                const Config& config = owner_->config_;
                const std::string name = config.server_name.empty() ? config.host : config.server_name;
                connection_->channel =
                    std::make_unique<tls::Channel>(owner_->context_, config.verify ? name : std::string());
            }
            go();
        }

        void go() {
            if (connection_->channel) {
                connection_->channel->send(bytes_);
                bytes_.clear();
            }
            await_read();
            flush();
        }

        void flush() {
            if (over_ || writing_) return;
            const std::string_view out =
                connection_->channel ? connection_->channel->output() : std::string_view(bytes_);
            if (out.empty()) return;
            const loop::Written written = loop::write_some(connection_->socket, out);
            const bool all = written.bytes == out.size();
            if (connection_->channel) {
                connection_->channel->wrote(written.bytes);
            } else {
                bytes_.erase(0, written.bytes);
            }
            if (written.broken) return broken("the connection broke");
            if (all) return;
            writing_ = true;
            connection_->socket.async_wait(tcp::socket::wait_write,
                                           [self = shared_from_this()](error_code error) {
                                               self->writing_ = false;
                                               if (!error && !self->over_) self->flush();
                                           });
        }

        void await_read() {
            connection_->socket.async_wait(tcp::socket::wait_read,
                                           [self = shared_from_this()](error_code error) {
                                               if (!error && !self->over_) self->read();
                                           });
        }

        void read() {
            std::array<char, 64 << 10> room;
            const loop::Read got = loop::read_some(connection_->socket, room);
            switch (got.kind) {
                case loop::Read::Kind::nothing: return await_read();
                case loop::Read::Kind::broken: return broken("the connection broke");
                case loop::Read::Kind::end: return ended();
                case loop::Read::Kind::bytes: break;
            }
            arm();
            bool goes_on = true;
            if (connection_->channel) {
                goes_on = connection_->channel->receive(got.bytes);
                take(connection_->channel->take_plain());
                if (over_) return;
                if (connection_->channel->failed())
                    return end(false, "TLS: " + connection_->channel->error());
                flush();
                if (over_) return;
                if (!goes_on) return ended();
            } else {
                take(got.bytes);
            }
            if (!over_) await_read();
        }

        void take(std::string_view bytes) {
            if (bytes.empty()) return;
            some_ = true;
            const bool good = answer_.receive(bytes);
            if (over_) return;
            told_status();
            if (over_) return;
            if (!good) return end(false, answer_.error());
            if (answer_.done()) done();
        }

        void ended() {
            answer_.receive_end();
            if (over_) return;
            told_status();
            if (over_) return;
            if (answer_.done()) return done();
            broken(answer_.error());
        }

        // A kept connection that ended as it was used: the server has not heard of it. Only where asking
        // twice does no harm.
        void broken(const std::string& why) {
            if (!reused_ || some_ || call_.method != "GET") return end(false, why);
            reused_ = false;
            bytes_ = request();
            look_up();
        }

        void done() {
            if (answer_.keep_alive() && owner_->idle_.size() < idle_most &&
                (!connection_->channel || connection_->channel->output().empty()))
                owner_->idle_.push_back(std::move(connection_));
            end(true, {});
        }

        void told_status() {
            if (told_ || !answer_.header_done()) return;
            told_ = true;
            if (!over_ && handlers_.on_status) handlers_.on_status(answer_.status(), answer_.retry_after());
        }

        void arm() {
            timer_.expires_after(call_.limit);
            timer_.async_wait([self = shared_from_this()](error_code error) {
                if (!error && !self->over_) self->end(false, "silence");
            });
        }

        void end(bool whole, const std::string& why) {
            if (over_) return;
            const auto self = shared_from_this();
            const auto on_end = std::move(handlers_.on_end);
            owner_->exchanges_.erase(number_);
            drop();
            if (on_end) on_end(whole, why);
        }

        const std::shared_ptr<Impl> owner_;
        const std::uint64_t number_;
        const Call call_;
        Handlers handlers_;
        asio::steady_timer timer_;
        std::unique_ptr<Connection> connection_;
        std::string bytes_;
        Answer answer_;
        bool over_ = false, told_ = false, writing_ = false, reused_ = false, some_ = false;
    };

    // As the file has it now; what was read last where it can't be read.
    std::string token() {
        if (config_.token_file.empty()) return config_.token;
        const auto now = std::chrono::steady_clock::now();
        if (token_read_ && now - *token_read_ < token_again) return held_token_;
        token_read_ = now;
        std::ifstream file(config_.token_file);
        std::string text;
        if (file && std::getline(file, text) && !text.empty()) held_token_ = text;
        return held_token_;
    }

    const loop::Executor executor_;
    const Config config_;
    tcp::resolver resolver_;
    std::shared_ptr<const tls::Context> context_;
    std::map<std::uint64_t, std::shared_ptr<Exchange>> exchanges_;
    std::vector<std::unique_ptr<Connection>> idle_;
    std::uint64_t last_ = 0;
    std::string held_token_;
    std::optional<std::chrono::steady_clock::time_point> token_read_;
};

Client::Client(const loop::Executor& executor, Config config)
    : impl_(std::make_shared<Impl>(executor, std::move(config))) {}
Client::~Client() { impl_->stop(); }
std::uint64_t Client::start(Call call, Handlers handlers) {
    return impl_->start(std::move(call), std::move(handlers));
}
void Client::cancel(std::uint64_t number) { impl_->cancel(number); }
std::size_t Client::open() const { return impl_->open(); }

}  // namespace flaxdoor::kube
