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

constexpr std::size_t max_idle_connections = 2;  // idle connections that are kept
// Interval at which a token file is read again.
constexpr auto token_refresh_interval = std::chrono::seconds(30);

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
        const std::uint64_t number = ++last_call_number_;
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
        exchange->abandon();
    }

    std::size_t open() const { return exchanges_.size(); }

    void stop() {
        const auto all = std::move(exchanges_);
        exchanges_.clear();
        for (const auto& [number, exchange] : all) exchange->abandon();
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
              call_number_(number),
              call_(std::move(call)),
              handlers_(std::move(handlers)),
              timer_(owner.executor_),
              parser_([this](std::string_view bytes) {
                  notify_status();
                  if (!ended_ && handlers_.on_body) handlers_.on_body(bytes);
              }) {}

        void begin() {
            if (ended_) return;
            restart_timer();
            request_bytes_ = request();
            while (!owner_->idle_.empty()) {
                connection_ = std::move(owner_->idle_.back());
                owner_->idle_.pop_back();
                if (!loop::has_no_input(connection_->socket)) continue;
                reused_ = true;
                return start_exchange();
            }
            resolve();
        }

        void abandon() {
            ended_ = true;
            timer_.cancel();
            if (connection_) {
                error_code ignored;
                connection_->socket.close(ignored);
            }
            // Keeps the handlers, because one of them may be the caller.
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

        void resolve() {
            error_code error;
            const auto address = asio::ip::make_address(owner_->config_.host, error);
            if (!error) return connect({tcp::endpoint(address, owner_->config_.port)});
            owner_->resolver_.async_resolve(
                owner_->config_.host, std::to_string(owner_->config_.port),
                [self = shared_from_this()](error_code failed, const tcp::resolver::results_type& found) {
                    if (self->ended_) return;
                    if (failed) return self->end(false, "look-up: " + failed.message());
                    std::vector<tcp::endpoint> all;
                    for (const auto& each : found) all.push_back(each.endpoint());
                    self->connect(std::move(all));
                });
        }

        void connect(std::vector<tcp::endpoint> to) {
            if (to.empty()) return end(false, "the host name has no address");
            const tcp::endpoint first = to.front();
            to.erase(to.begin());
            connection_ = std::make_unique<Connection>(owner_->executor_);
            error_code error;
            connection_->socket.open(first.protocol(), error);
            if (!error) connection_->socket.non_blocking(true, error);
            if (error) return end(false, error.message());
            connection_->socket.async_connect(
                first, [self = shared_from_this(), rest = std::move(to)](error_code failed) mutable {
                    if (self->ended_) return;
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
            start_exchange();
        }

        void start_exchange() {
            if (connection_->channel) {
                connection_->channel->send(request_bytes_);
                request_bytes_.clear();
            }
            await_read();
            flush();
        }

        void flush() {
            if (ended_ || writing_) return;
            const std::string_view out =
                connection_->channel ? connection_->channel->output() : std::string_view(request_bytes_);
            if (out.empty()) return;
            const loop::Written written = loop::write_some(connection_->socket, out);
            const bool all_written = written.bytes == out.size();
            if (connection_->channel) {
                connection_->channel->wrote(written.bytes);
            } else {
                request_bytes_.erase(0, written.bytes);
            }
            if (written.broken) return on_broken("the connection failed");
            if (all_written) return;
            writing_ = true;
            connection_->socket.async_wait(tcp::socket::wait_write,
                                           [self = shared_from_this()](error_code error) {
                                               self->writing_ = false;
                                               if (!error && !self->ended_) self->flush();
                                           });
        }

        void await_read() {
            connection_->socket.async_wait(tcp::socket::wait_read,
                                           [self = shared_from_this()](error_code error) {
                                               if (!error && !self->ended_) self->read_response();
                                           });
        }

        void read_response() {
            std::array<char, 64 << 10> buffer;
            const loop::Read result = loop::read_some(connection_->socket, buffer);
            switch (result.kind) {
                case loop::Read::Kind::nothing: return await_read();
                case loop::Read::Kind::broken: return on_broken("the connection failed");
                case loop::Read::Kind::end: return on_closed();
                case loop::Read::Kind::bytes: break;
            }
            restart_timer();
            bool still_open = true;
            if (connection_->channel) {
                still_open = connection_->channel->receive(result.bytes);
                parse(connection_->channel->take_plain());
                if (ended_) return;
                if (connection_->channel->failed())
                    return end(false, "TLS: " + connection_->channel->error());
                flush();
                if (ended_) return;
                if (!still_open) return on_closed();
            } else {
                parse(result.bytes);
            }
            if (!ended_) await_read();
        }

        void parse(std::string_view bytes) {
            if (bytes.empty()) return;
            received_any_ = true;
            const bool valid = parser_.receive(bytes);
            if (ended_) return;
            notify_status();
            if (ended_) return;
            if (!valid) return end(false, parser_.error());
            if (parser_.done()) complete();
        }

        void on_closed() {
            parser_.receive_end();
            if (ended_) return;
            notify_status();
            if (ended_) return;
            if (parser_.done()) return complete();
            on_broken(parser_.error());
        }

        // Retries on a new connection if a reused one broke before the response: the server has probably
        // closed it before the request arrived. Only GET is retried, since repeating it is harmless.
        void on_broken(const std::string& error) {
            if (!reused_ || received_any_ || call_.method != "GET") return end(false, error);
            reused_ = false;
            request_bytes_ = request();
            resolve();
        }

        void complete() {
            if (parser_.keep_alive() && owner_->idle_.size() < max_idle_connections &&
                (!connection_->channel || connection_->channel->output().empty()))
                owner_->idle_.push_back(std::move(connection_));
            end(true, {});
        }

        void notify_status() {
            if (status_notified_ || !parser_.header_done()) return;
            status_notified_ = true;
            if (!ended_ && handlers_.on_status) handlers_.on_status(parser_.status(), parser_.retry_after());
        }

        void restart_timer() {
            timer_.expires_after(call_.limit);
            timer_.async_wait([self = shared_from_this()](error_code error) {
                if (!error && !self->ended_) self->end(false, "timed out without progress");
            });
        }

        void end(bool complete, const std::string& error) {
            if (ended_) return;
            const auto self = shared_from_this();
            const auto on_end = std::move(handlers_.on_end);
            owner_->exchanges_.erase(call_number_);
            abandon();
            if (on_end) on_end(complete, error);
        }

        const std::shared_ptr<Impl> owner_;
        const std::uint64_t call_number_;
        const Call call_;
        Handlers handlers_;
        asio::steady_timer timer_;
        std::unique_ptr<Connection> connection_;
        std::string request_bytes_;
        Answer parser_;
        bool ended_ = false, status_notified_ = false, writing_ = false, reused_ = false,
             received_any_ = false;
    };

    // Returns the token from the file, or the last one read if the file is unreadable.
    std::string token() {
        if (config_.token_file.empty()) return config_.token;
        const auto now = std::chrono::steady_clock::now();
        if (token_read_ && now - *token_read_ < token_refresh_interval) return held_token_;
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
    std::uint64_t last_call_number_ = 0;
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
