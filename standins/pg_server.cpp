#include "standins/pg_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <set>
#include <utility>

#include "standins/pg_conversation.h"
#include "standins/pg_login.h"

namespace standins::pg {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

const std::string salt = "salt";  // of MD5

}  // namespace

class Server::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::any_io_executor executor, Journal& journal, ServerOptions options)
        : database_(options.database ? options.database : std::make_shared<Database>()),
          executor_(executor),
          journal_(journal),
          options_(std::move(options)),
          acceptor_(executor),
          holder_(executor) {
        // A bound socket that never listens keeps the port while the server is dead: else it could become another's.
        const tcp::endpoint where(asio::ip::address_v4::loopback(), options_.port);
        holder_.open(where.protocol());
        holder_.set_option(tcp::socket::reuse_address(true));
        holder_.bind(where);
        port_ = holder_.local_endpoint().port();
    }

    void listen() {
        const tcp::endpoint where(asio::ip::address_v4::loopback(), port_);
        acceptor_.open(where.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(where);
        acceptor_.listen();
        dead_ = false;
        accept();
    }

    void die(bool reset) {
        if (dead_) return;
        dead_ = true;
        journal_.receive_left = journal_.send_left = never;
        error_code ignored;
        acceptor_.close(ignored);
        const auto sessions = sessions_;
        for (const auto& session : sessions) session->end(reset);
    }

    std::uint16_t port_ = 0;
    bool dead_ = true;
    std::size_t logins_ = 0, logging_in_ = 0, logins_most_ = 0, cancels_ = 0;
    bool hold_logins_ = false, hold_cancels_ = false, stalled_ = false;
    std::shared_ptr<Database> database_;

    class Session;
    std::set<std::shared_ptr<Session>> sessions_;

    class Session : public std::enable_shared_from_this<Session> {
    public:
        Session(Impl& owner, tcp::socket socket) : owner_(owner), socket_(std::move(socket)) {
            socket_.set_option(tcp::no_delay(true));
            ++owner_.logging_in_;
            owner_.logins_most_ = std::max(owner_.logins_most_, owner_.logging_in_);
        }

        void read() {
            if (owner_.stalled_) {
                waits_ = true;
                return;
            }
            auto self = shared_from_this();
            socket_.async_read_some(asio::buffer(room_), [self](error_code error, std::size_t size) {
                if (self->ended_) return;
                if (error) return self->end(false);
                if (self->owner_.stalled_) {
                    self->unread_.assign(self->room_.data(), size);
                    self->waits_ = true;
                    return;
                }
                self->came(std::string_view(self->room_.data(), size));
                if (!self->ended_) self->read();
            });
        }
        void go_on() {
            if (!std::exchange(waits_, false)) return;
            came(std::exchange(unread_, {}));
            if (!ended_) read();
        }

        void end(bool reset) {
            if (ended_) return;
            ended_ = true;
            if (!logged_in_) --owner_.logging_in_;
            error_code ignored;
            if (reset) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
            socket_.close(ignored);
            owner_.sessions_.erase(shared_from_this());
        }

        void let_in() {
            if (waits_for_login_) welcome();
        }
        void let_cancel() {
            if (cancel_held_) {
                owner_.carry_out_cancel(cancel_process_, cancel_secret_);
                end(false);
            }
        }
        // As by pg_terminate_backend(), or a fast shutdown.
        void terminate() {
            if (!logged_in()) return end(false);
            out_ += error_message("FATAL", {"57P01", "terminating connection due to administrator command"});
            say_all_and_end();
        }

        std::uint32_t process() const { return process_; }
        std::uint32_t secret() const { return process_ * 7; }
        bool logged_in() const { return logged_in_ && process_ != 0; }

        void interrupt() {  // a cancel has come
            if (!talk_) return;
            talk_->interrupt();
            run();
            send();
        }
        void wake() {
            if (!talk_ || !talk_->sleeps()) return;
            talk_->wake();
            run();
            send();
        }
        void say(const std::string& bytes) {
            out_ += bytes;
            send();
        }

    private:
        void came(std::string_view bytes) {
            if (!tls_) return took(bytes);
            std::string plain;
            const bool goes_on = tls_->receive(bytes, plain);
            if (!plain.empty()) took(plain);
            if (ended_) return;
            send();  // of the handshake
            if (!goes_on) end(false);
        }

        void took(std::string_view bytes) {
            bool dies = false;
            if (logged_in_) {
                owner_.journal_.received += bytes.size();
                if (bytes.size() >= owner_.journal_.receive_left) {
                    bytes = bytes.substr(0, owner_.journal_.receive_left);
                    dies = true;
                } else if (owner_.journal_.receive_left != never) {
                    owner_.journal_.receive_left -= bytes.size();
                }
            }
            in_ += bytes;
            mute_ = dies;
            if (!logged_in_ && !asked_) first_packet();
            if (asked_ && !logged_in_ && !ended_) password();
            if (ended_) return;
            if (logged_in_) run();
            if (dies) return owner_.die(false);
            send();
        }

        void first_packet() {
            if (in_.size() < 8) return;
            const std::size_t length = int32_at(in_, 0);
            if (in_.size() < length) return;
            const std::string body = in_.substr(4, length - 4);
            in_.erase(0, length);
            if (int32_at(body, 0) == 80877103) {
                const bool secure = !owner_.options_.certificate.empty() && !tls_;
                out_ += secure ? 'S' : 'N';
                send();
                if (secure) {
                    tls_.emplace(owner_.options_.certificate, owner_.options_.key);
                    return came(std::exchange(in_, {}));
                }
                return first_packet();
            }
            if (int32_at(body, 0) == 80877102) {
                --owner_.logging_in_;
                logged_in_ = true;  // not counted
                cancel_process_ = int32_at(body, 4);
                cancel_secret_ = int32_at(body, 8);
                if (owner_.hold_cancels_) {
                    cancel_held_ = true;
                    return;
                }
                owner_.carry_out_cancel(cancel_process_, cancel_secret_);
                return end(false);
            }
            asked_ = true;
            for (std::size_t at = 4; body[at] != '\0';) {
                const std::string name = body.c_str() + at, value = body.c_str() + at + name.size() + 1;
                wanted_[name] = value;
                at += name.size() + value.size() + 2;
            }
            if (!owner_.options_.refuse_with.empty())
                return turn_away(owner_.options_.refuse_with, "turned away");
            if (owner_.options_.authentication == Authentication::md5) {
                out_ += message('R', int32(5) + salt);
            } else if (owner_.options_.authentication == Authentication::scram) {
                out_ += message('R', int32(10) + text0("SCRAM-SHA-256") + '\0');
            }
        }

        void turn_away(const std::string& code, const std::string& text) {
            out_ += error_message("FATAL", {code, text});
            say_all_and_end();
        }

        void password() {
            while (!ended_ && owner_.options_.authentication != Authentication::trust && !authentic_) {
                const auto said = take(in_);
                if (!said) return;
                if (said->type != 'p') return turn_away("08P01", "expected password response");
                if (!show(said->body)) return turn_away("28P01", "password authentication failed");
            }
            if (ended_ || waits_for_login_) return;
            waits_for_login_ = true;
            if (!owner_.hold_logins_) welcome();
        }
        // What the client shows of its password. False: it does not know it.
        bool show(const std::string& body) {
            const std::string& password = owner_.options_.password;
            if (owner_.options_.authentication == Authentication::md5) {
                authentic_ = body == text0(md5_password(wanted_["user"], password, salt));
                return authentic_;
            }
            if (!scram_) {
                scram_.emplace(password);
                const std::size_t name = body.find('\0');
                if (body.substr(0, name) != "SCRAM-SHA-256") return false;
                const auto first = scram_->first(std::string_view(body).substr(name + 5));
                if (first) out_ += message('R', int32(11) + *first);
                return first.has_value();
            }
            const auto last = scram_->final(body);
            authentic_ = last.has_value();
            if (last) out_ += message('R', int32(12) + *last);
            return authentic_;
        }

        void welcome() {
            waits_for_login_ = false;
            process_ = ++owner_.last_process_;
            std::map<std::string, std::string> settings{
                {"application_name", ""},      {"client_encoding", "UTF8"},
                {"DateStyle", "ISO, MDY"},     {"TimeZone", "UTC"},
                {"server_version", "15.0"},    {"standard_conforming_strings", "on"},
                {"IntervalStyle", "postgres"}, {"in_hot_standby", owner_.options_.standby ? "on" : "off"}};
            for (auto& [name, value] : settings) {
                if (wanted_.contains(name)) value = wanted_[name];
            }
            const Backend::Identity who{owner_.options_.name, process_, tls_.has_value(),
                                        owner_.options_.standby};
            talk_.emplace(owner_.database_, owner_.journal_, who, settings, owner_.options_.standby);
            out_ += message('R', int32(0));
            for (const auto& [name, value] : settings) out_ += message('S', text0(name) + text0(value));
            out_ += message('K', int32(process_) + int32(secret())) + message('Z', "I");
            send();
            if (ended_) return;
            --owner_.logging_in_;
            ++owner_.logins_;
            logged_in_ = true;
        }

        void run() {
            while (!ended_ && !talk_->sleeps()) {
                const auto next = take(in_);
                if (!next) return;
                if (next->type == 'X') return end(false);
                talk_->take(*next);
                out_ += std::exchange(talk_->out(), {});
            }
        }

        void send() {
            if (mute_ || ended_ || sending_) return;
            if (talk_) out_ += std::exchange(talk_->out(), {});
            if (talk_ && talk_->endless() && out_.size() < 1 << 16) {
                while (out_.size() < 1 << 17) out_ += message('d', std::string(1000, 'y') + "\n");
            }
            if (out_.empty() && !tls_) return;
            std::string bytes = std::exchange(out_, {});
            bool dies = false;
            if (logged_in_) {
                if (bytes.size() >= owner_.journal_.send_left) {
                    bytes.resize(owner_.journal_.send_left);
                    dies = true;
                } else if (owner_.journal_.send_left != never) {
                    owner_.journal_.send_left -= bytes.size();
                }
                owner_.journal_.sent += bytes.size();
            }
            if (tls_) {
                tls_->seal(bytes);
                bytes = tls_->output();
                if (bytes.empty()) return;
            }
            if (dies) {
                error_code ignored;
                asio::write(socket_, asio::buffer(bytes), ignored);
                return owner_.die(false);
            }
            sending_ = true;
            auto held = std::make_shared<std::string>(std::move(bytes));
            auto self = shared_from_this();
            asio::async_write(socket_, asio::buffer(*held), [self, held](error_code error, std::size_t) {
                self->sending_ = false;
                if (error) return self->end(false);
                self->send();
            });
        }

        // Whatever is to be said, said before the connection ends.
        void say_all_and_end() {
            if (sending_) return end(false);
            if (tls_) tls_->seal(std::exchange(out_, {}));
            const std::string bytes = tls_ ? tls_->output() : std::exchange(out_, {});
            error_code ignored;
            socket_.non_blocking(true, ignored);
            asio::write(socket_, asio::buffer(bytes), ignored);
            end(false);
        }

        Impl& owner_;
        tcp::socket socket_;
        std::array<char, 16384> room_{};
        std::string in_, out_, unread_;
        std::optional<TlsSide> tls_;
        std::optional<ScramExchange> scram_;
        std::optional<Conversation> talk_;  // once logged in
        std::map<std::string, std::string> wanted_;
        std::uint32_t process_ = 0, cancel_process_ = 0, cancel_secret_ = 0;
        bool asked_ = false, logged_in_ = false, ended_ = false, mute_ = false;
        bool sending_ = false, waits_ = false, cancel_held_ = false;
        bool authentic_ = false, waits_for_login_ = false;
    };

    void carry_out_cancel(std::uint32_t process, std::uint32_t secret) {
        const auto sessions = sessions_;
        for (const auto& session : sessions) {
            if (session->process() != process || session->secret() != secret) continue;
            ++cancels_;
            session->interrupt();
        }
    }

    std::uint32_t last_process_ = 0;

private:
    friend class Session;

    void accept() {
        auto self = shared_from_this();
        acceptor_.async_accept([self](error_code error, tcp::socket socket) {
            if (error) return;
            const auto session = std::make_shared<Session>(*self, std::move(socket));
            self->sessions_.insert(session);
            session->read();
            self->accept();
        });
    }

public:
    asio::any_io_executor executor_;
    Journal& journal_;
    ServerOptions options_;
    tcp::acceptor acceptor_;
    tcp::socket holder_;
};

Server::Server(asio::any_io_executor executor, Journal& journal, ServerOptions options)
    : impl_(std::make_shared<Impl>(executor, journal, std::move(options))) {
    impl_->listen();
}
Server::~Server() { impl_->die(false); }

std::uint16_t Server::port() const { return impl_->port_; }
void Server::die(bool reset) { impl_->die(reset); }
bool Server::dead() const { return impl_->dead_; }
void Server::restart() {
    impl_->die(false);
    impl_->listen();
}
void Server::release() {
    const auto sessions = impl_->sessions_;
    for (const auto& session : sessions) session->wake();
}
void Server::shut_down() {
    const auto sessions = impl_->sessions_;
    for (const auto& session : sessions) session->terminate();
    impl_->die(false);
}
void Server::terminate_sessions() {
    const auto sessions = impl_->sessions_;
    for (const auto& session : sessions) session->terminate();
}
std::string Server::sql(const std::string& text) {
    Journal apart;
    Backend backend(impl_->database_, apart, {"sql", ~0u, false, impl_->options_.standby}, {});
    std::string last;
    for (const auto& each : parse_all(text)) {
        const Result result = backend.run(*each, {});
        last = result.rows.empty() || result.rows[0].empty() ? result.tag : result.rows[0][0].value_or("");
    }
    backend.end_of_query();
    return last;
}
std::shared_ptr<Database> Server::database() const { return impl_->database_; }
void Server::promote() { impl_->options_.standby = false; }
void Server::say(const std::string& bytes) {
    const auto sessions = impl_->sessions_;
    for (const auto& session : sessions) session->say(bytes);
}
void Server::stall(bool stalled) {
    impl_->stalled_ = stalled;
    const auto sessions = impl_->sessions_;
    if (!stalled) {
        for (const auto& session : sessions) session->go_on();
    }
}
std::size_t Server::sessions() const {
    return static_cast<std::size_t>(std::count_if(impl_->sessions_.begin(), impl_->sessions_.end(),
                                                  [](const auto& session) { return session->logged_in(); }));
}
std::size_t Server::logins() const { return impl_->logins_; }
std::size_t Server::logins_at_once() const { return impl_->logins_most_; }
std::size_t Server::cancels() const { return impl_->cancels_; }
void Server::refuse_logins(const std::string& code) { impl_->options_.refuse_with = code; }
void Server::hold_logins(bool held) {
    impl_->hold_logins_ = held;
    const auto sessions = impl_->sessions_;
    if (!held) {
        for (const auto& session : sessions) session->let_in();
    }
}
void Server::hold_cancels(bool held) {
    impl_->hold_cancels_ = held;
    const auto sessions = impl_->sessions_;
    if (!held) {
        for (const auto& session : sessions) session->let_cancel();
    }
}

}  // namespace standins::pg
