#include "standins/pg_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cctype>
#include <set>
#include <utility>

#include "standins/pg_text.h"

namespace standins::pg {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

std::string upper(std::string text) {
    for (char& c : text) c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    while (!text.empty() && (text.back() == ';' || text.back() == ' ')) text.pop_back();
    return text;
}

std::string error_message(const std::string& severity, const std::string& code, const std::string& text,
                          const std::string& routine = "standin") {
    return message('E', 'S' + text0(severity) + 'V' + text0(severity) + 'C' + text0(code) + 'M' +
                            text0(text) + 'R' + text0(routine) + '\0');
}

std::string row(const std::string& value) {
    return message('D', int16(1) + int32(static_cast<std::uint32_t>(value.size())) + value);
}

const std::string one_column =
    message('T', int16(1) + text0("c") + int32(0) + int16(0) + int32(25) + int16(-1) + int32(~0u) + int16(0));

}  // namespace

class Server::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::any_io_executor executor, Journal& journal, ServerOptions options)
        : executor_(executor), journal_(journal), options_(std::move(options)), acceptor_(executor) {}

    void listen() {
        const tcp::endpoint where(asio::ip::address_v4::loopback(), port_ ? port_ : options_.port);
        acceptor_.open(where.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(where);
        acceptor_.listen();
        port_ = acceptor_.local_endpoint().port();
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
    int version_ = 0;  // of the table `changed`
    std::vector<std::string> settings_;

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
                self->took(std::string_view(self->room_.data(), size));
                if (!self->ended_) self->read();
            });
        }
        void go_on() {
            if (!std::exchange(waits_, false)) return;
            took(std::exchange(unread_, {}));
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
            if (asked_ && !logged_in_) welcome();
        }
        void let_cancel() {
            if (cancel_held_) {
                owner_.carry_out_cancel(cancel_process_);
                end(false);
            }
        }

        std::uint32_t process() const { return process_; }
        bool logged_in() const { return logged_in_ && process_ != 0; }

        // A cancel has come.
        void interrupt() {
            if (!sleeping_) return;
            sleeping_ = false;
            fail("57014", "canceling statement due to user request");
            after_sleep();
        }
        void wake() {
            if (!sleeping_) return;
            sleeping_ = false;
            out_ += row("") + message('C', text0("SELECT 1"));
            after_sleep();
        }
        void say(const std::string& bytes) {
            out_ += bytes;
            send();
        }

    private:
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
                out_ += 'N';
                send();
                return first_packet();
            }
            if (int32_at(body, 0) == 80877102) {
                --owner_.logging_in_;
                logged_in_ = true;  // not counted
                cancel_process_ = int32_at(body, 4);
                if (owner_.hold_cancels_) {
                    cancel_held_ = true;
                    return;
                }
                owner_.carry_out_cancel(cancel_process_);
                return end(false);
            }
            asked_ = true;
            if (owner_.options_.refuse_with.empty()) return;
            out_ += error_message("FATAL", owner_.options_.refuse_with, "turned away");
            asio::write(socket_, asio::buffer(out_));
            end(false);
        }

        void password() {
            if (!owner_.hold_logins_) welcome();
        }

        void welcome() {
            process_ = ++owner_.last_process_;
            said_standby_ = owner_.options_.standby;
            out_ += message('R', int32(0));
            const std::vector<std::pair<std::string, std::string>> settings{
                {"application_name", ""},      {"client_encoding", "UTF8"},
                {"DateStyle", "ISO, MDY"},     {"TimeZone", "UTC"},
                {"server_version", "15.0"},    {"standard_conforming_strings", "on"},
                {"IntervalStyle", "postgres"}, {"in_hot_standby", owner_.options_.standby ? "on" : "off"}};
            for (const auto& [name, value] : settings) out_ += message('S', text0(name) + text0(value));
            out_ += message('K', int32(process_) + int32(process_ * 7)) + message('Z', "I");
            send();
            if (ended_) return;
            --owner_.logging_in_;
            ++owner_.logins_;
            logged_in_ = true;
        }

        // ---------------------------------------------------------------------------------------------
        // messages

        void run() {
            while (!ended_ && !sleeping_) {
                const auto next = take(in_);
                if (!next) return;
                take_one(*next);
            }
        }

        void take_one(const Message& m) {
            if (m.type == 'X') return end(false);
            if (copying_) return take_copy(m);
            if (skipping_ && m.type != 'S') return;
            switch (m.type) {
                case 'Q': return simple(m.body.substr(0, m.body.size() - 1));
                case 'P': {
                    const std::size_t end = m.body.find('\0');
                    const std::string name = m.body.substr(0, end);
                    const std::string sql = m.body.substr(end + 1, m.body.find('\0', end + 1) - end - 1);
                    if (!name.empty() && prepared_.contains(name)) return fail("42P05", "already exists");
                    if (sql.find("refused before") != std::string::npos) return fail("42601", "syntax error");
                    prepared_[name] = {sql, owner_.version_};
                    out_ += message('1', "");
                    return;
                }
                case 'B': {
                    const std::size_t end = m.body.find('\0');
                    const std::string name = m.body.substr(end + 1, m.body.find('\0', end + 1) - end - 1);
                    const auto known = prepared_.find(name);
                    if (known == prepared_.end()) return fail("26000", "does not exist");
                    const bool changed = known->second.sql.find("changed") != std::string::npos;
                    if (changed && known->second.version != owner_.version_)
                        return fail("0A000", "cached plan must not change result type",
                                    "RevalidateCachedQuery");
                    portals_[m.body.substr(0, end)] = known->second.sql;
                    out_ += message('2', "");
                    return;
                }
                case 'D': {
                    const bool statement = m.body[0] == 'S';
                    const std::string name = m.body.substr(1, m.body.size() - 2);
                    if (statement && !prepared_.contains(name)) return fail("26000", "does not exist");
                    if (!statement && !portals_.contains(name)) return fail("34000", "does not exist");
                    const std::string sql = upper(statement ? prepared_[name].sql : portals_[name]);
                    if (statement) out_ += message('t', int16(0));
                    out_ += sql.starts_with("SELECT") ? one_column : message('n', "");
                    return;
                }
                case 'E': {
                    const auto portal = portals_.find(m.body.substr(0, m.body.find('\0')));
                    if (portal == portals_.end()) return fail("34000", "does not exist");
                    extended_ = true;
                    return execute(portal->second);
                }
                case 'C':
                    (m.body[0] == 'S' ? void(prepared_.erase(m.body.substr(1, m.body.size() - 2)))
                                      : void(portals_.erase(m.body.substr(1, m.body.size() - 2))));
                    out_ += message('3', "");
                    return;
                case 'H': return send();
                case 'S':
                    skipping_ = false;
                    extended_ = false;
                    return ready();
                default: return;
            }
        }

        void simple(const std::string& sql) {
            extended_ = false;
            in_simple_ = true;
            prepared_.erase("");
            std::size_t at = 0;
            const bool compound = sql.find(';') != std::string::npos && sql.find(';') + 1 < sql.size();
            while (at < sql.size()) {  // one statement after the other, of one implicit transaction
                const std::size_t end = compound ? std::min(sql.find(';', at), sql.size()) : sql.size();
                const std::string one = sql.substr(at, end - at);
                at = end + 1;
                execute(one);
                if (failed_now_ || copying_ || sleeping_) break;
            }
            if (!copying_ && !sleeping_ && !endless_) ready();
        }

        void execute(const std::string& text) {
            failed_now_ = false;
            const std::string sql = upper(text);
            owner_.journal_.texts.push_back(owner_.options_.name + ": " + text);
            const bool leaves = sql.starts_with("ROLLBACK") || sql.starts_with("COMMIT");
            if (status_ == 'E' && !leaves) return fail("25P02", "current transaction is aborted");
            if (sql == "BEGIN") {
                status_ = 'T';
                out_ += message('C', text0("BEGIN"));
            } else if (sql == "COMMIT") {
                const bool failed = status_ == 'E';
                if (failed) pending_.clear();
                commit();
                status_ = 'I';
                out_ += message('C', text0(failed ? "ROLLBACK" : "COMMIT"));
            } else if (sql == "ROLLBACK") {
                pending_.clear();
                status_ = 'I';
                out_ += message('C', text0("ROLLBACK"));
            } else if (sql.starts_with("INSERT INTO T VALUES (")) {
                effect(std::stol(sql.substr(22)));
                out_ += message('C', text0("INSERT 0 1"));
            } else if (sql == "SELECT 1/0") {
                fail("22012", "division by zero");
            } else if (sql.starts_with("SELECT PG_SLEEP")) {
                if (!extended_) out_ += one_column;
                send();
                sleeping_ = true;
            } else if (sql.starts_with("SELECT ROWS(")) {
                const long count = std::stol(sql.substr(12));
                const auto size = static_cast<std::size_t>(std::stol(sql.substr(sql.find(',') + 1)));
                if (!extended_) out_ += one_column;
                for (long i = 0; i < count; ++i) out_ += row(std::string(size, 'x'));
                out_ += message('C', text0("SELECT " + std::to_string(count)));
            } else if (sql.starts_with("SELECT")) {
                if (sql.find("SET_CONFIG") != std::string::npos) owner_.settings_.push_back(text);
                if (!extended_) out_ += one_column;
                out_ += row(text) + message('C', text0("SELECT 1"));
            } else if (sql == "COPY T FROM STDIN") {
                out_ += message('G', std::string(1, '\0') + int16(1) + int16(0));
                copying_ = true;
                copied_.clear();
                send();
            } else if (sql.ends_with("TO STDOUT")) {
                out_ += message('H', std::string(1, '\0') + int16(1) + int16(0));
                if (sql.starts_with("COPY BIG")) {
                    endless_ = true;
                    return send();
                }
                for (int i = 0; i < 100; ++i) out_ += message('d', std::to_string(i) + "\n");
                out_ += message('c', "") + message('C', text0("COPY 100"));
            } else if (sql == "DISCARD ALL") {
                prepared_.clear();
                out_ += message('C', text0("DISCARD ALL"));
            } else if (sql.starts_with("SET") || sql.starts_with("LISTEN") || sql.starts_with("CREATE")) {
                out_ += message('C', text0(sql.substr(0, sql.find(' '))));
            } else if (sql.empty()) {
                out_ += message('I', "");
            } else {
                fail("42601", "syntax error at or near \"" + text + "\"");
            }
        }

        void take_copy(const Message& m) {
            if (m.type == 'd') {
                copied_ += m.body;
            } else if (m.type == 'c') {
                copying_ = false;
                std::size_t at = 0;
                for (std::size_t end; (end = copied_.find('\n', at)) != std::string::npos; at = end + 1)
                    effect(std::stol(copied_.substr(at, end - at)));
                out_ += message('C', text0("COPY 1"));
                if (!extended_) ready();
            } else if (m.type == 'f') {
                copying_ = false;
                fail("57014", "COPY from stdin failed");
                if (!extended_) ready();
            }  // Flush and Sync are not taken notice of
        }

        void effect(long number) {
            ++owner_.journal_.effects[number].executed;
            pending_.push_back(number);
        }
        void commit() {
            for (const long number : pending_) ++owner_.journal_.effects[number].committed;
            pending_.clear();
        }
        void fail(const std::string& code, const std::string& text, const std::string& routine = "standin") {
            out_ += error_message("ERROR", code, text, routine);
            failed_now_ = true;
            if (status_ != 'I') status_ = 'E';
            pending_.clear();
            skipping_ = !in_simple_;
        }
        void ready() {
            if (status_ == 'I') commit();
            skipping_ = in_simple_ = false;
            // As PostgreSQL does: with the end of a query, never while it rests.
            if (std::exchange(said_standby_, owner_.options_.standby) != owner_.options_.standby)
                out_ += message('S', text0("in_hot_standby") + text0(owner_.options_.standby ? "on" : "off"));
            out_ += message('Z', std::string(1, status_));
            send();
        }
        void after_sleep() {
            if (!extended_) ready();
            run();
            send();
        }

        // ------------------------------------------------------------------------------------------------
        // bytes

        void send() {
            if (mute_ || ended_ || sending_) return;
            if (endless_ && out_.size() < 1 << 16) {
                while (out_.size() < 1 << 17) out_ += message('d', std::string(1000, 'y') + "\n");
            }
            if (out_.empty()) return;
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

        struct Statement {
            std::string sql;
            int version = 0;
        };

        Impl& owner_;
        tcp::socket socket_;
        std::array<char, 16384> room_{};
        std::string in_, out_, copied_, unread_;
        std::map<std::string, Statement> prepared_;
        std::map<std::string, std::string> portals_;
        std::vector<long> pending_;
        std::uint32_t process_ = 0, cancel_process_ = 0;
        char status_ = 'I';
        bool asked_ = false, logged_in_ = false, ended_ = false, mute_ = false;
        bool skipping_ = false, extended_ = false, copying_ = false, sleeping_ = false, endless_ = false;
        bool sending_ = false, failed_now_ = false, waits_ = false, cancel_held_ = false, in_simple_ = false;
        bool said_standby_ = false;
    };

    void carry_out_cancel(std::uint32_t process) {
        const auto sessions = sessions_;
        for (const auto& session : sessions) {
            if (session->process() != process) continue;
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
void Server::alter() { ++impl_->version_; }
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
std::vector<std::string> Server::settings_seen() const { return impl_->settings_; }

}  // namespace standins::pg
