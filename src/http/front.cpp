#include "http/front.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "http/server_machine.h"
#include "loop/alive.h"
#include "loop/sockets.h"

namespace flaxdoor::http {

namespace asio = boost::asio;
using loop::error_code;
using loop::tcp;

namespace {

constexpr auto accept_pause = std::chrono::milliseconds(20);  // after one that failed for want of descriptors
constexpr int sweeps = 8;                                     // in the time that a request may take
// At the cap, whoever took so long to speak or to end is closed for a new connection; and who connects to a
// balancer that winds down has so long to speak.
constexpr Micros room_after = std::chrono::milliseconds(100);
constexpr std::size_t most_looked_at = 4;     // connections, when one has to give way
constexpr std::size_t read_most = 64 * 1024;  // at once
// A client whose further bytes wait in its socket ends behind them unseen by a read: so often it is looked for.
constexpr auto behind_every = std::chrono::milliseconds(25);

}  // namespace

class Front::Impl final : public core::Front, public std::enable_shared_from_this<Impl> {
public:
    Impl(const loop::Executor& loop, core::Core& core, Handler& handler, const core::Clock& clock,
         FrontLimits limits, MakeChannel tls, core::Intake* intake)
        : loop_(loop),
          core_(core),
          handler_(handler),
          clock_(clock),
          limits_(limits),
          tls_(std::move(tls)),
          intake_(intake),
          acceptor_(loop),
          retry_(loop),
          sweep_(loop),
          behind_(loop) {}

    void listen(const tcp::endpoint& address) {
        error_code error;
        loop::open(acceptor_, error);
        if (error) throw boost::system::system_error(error, "open");
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(address);
        acceptor_.non_blocking(true);
        acceptor_.listen(asio::socket_base::max_listen_connections);
        accept();
        sweep();
    }

    tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    void set_limits(const FrontLimits& limits) { limits_ = limits; }
    void begin_drain() { draining_ = true; }

    bool wind_down() {
        draining_ = winding_down_ = true;
        take_the_last();
        const Time now = clock_.now();
        close_all(lists_[asked_idle], [](Connection& c) { return c.idle(); });
        close_all(lists_[other_idle], [](Connection& c) { return c.idle(); });
        close_all(lists_[fresh], [&](Connection& c) { return now - c.since() > room_after && c.idle(); });
        return !connections_.empty() || acceptor_.is_open();
    }

    void stop() {
        stopped_ = true;
        error_code ignored;
        acceptor_.close(ignored);
        retry_.cancel();
        sweep_.cancel();
        behind_.cancel();
        const auto held = std::move(connections_);
        connections_.clear();
        for (const auto& [connection, owned] : held) connection->close();
    }

    FrontFigures figures() const {
        FrontFigures f = figures_;
        f.connections = connections_.size();
        f.idle = lists_[asked_idle].size() + lists_[other_idle].size();
        return f;
    }

    void on_started(std::uint64_t, std::unique_ptr<core::Payload>) override {}  // no class here streams

    void on_final(std::uint64_t token, core::Final answer) override {
        connection_of(token)->shared_from_this()->on_final(std::move(answer));
    }

private:
    // Each connection stands in one list, by what it is at; the one that came there first stands first.
    enum Kind : std::size_t {
        fresh,       // has not brought a whole request yet
        coming,      // a request is half here
        asked_idle,  // between requests, has brought one for an upstream
        other_idle,  // between requests, has not (readiness)
        waiting,     // for its answer
        writing,     // its answer
        lingering,   // until the client ends too
        kinds,
    };

    class Connection;
    using List = std::list<Connection*>;

    static Connection* connection_of(std::uint64_t token) {
        return reinterpret_cast<Connection*>(static_cast<std::uintptr_t>(token));
    }

    // Reads a request, waits for its answer, writes it, and again. Its end is always listened for, so that a
    // client that goes while it waits is noticed at once.
    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(Impl& owner, tcp::socket socket)
            : owner_(owner),
              socket_(std::move(socket)),
              machine_(owner.limits_.linger_bytes, owner.limits_.body) {}

        void start() {
            error_code ignored;
            socket_.set_option(tcp::no_delay(true), ignored);
            socket_.non_blocking(true, ignored);
            enter(fresh);
            if (owner_.tls_) {
                channel_ = owner_.tls_();
                if (!channel_) return close();
            }
            await_read();
        }

        Time since() const { return since_; }
        // Between requests, with nothing on its way here that could be told.
        bool idle() { return machine_.between() && loop::quiet(socket_); }

        void on_final(core::Final final) {
            call_.reset();
            const bool last = owner_.winding_down_ || !owner_.within_asked();
            const auto asked = std::move(context_);
            const bool given = machine_.answer(owner_.handler_.on_final(std::move(final), asked.get()), last);
            if (last) leave_asked();
            if (given && !taking_) go_on();
        }

        // A client that sends too far ahead is not read: its end does not show in a read.
        bool unread() const { return !machine_.wants_read() && !probed_; }
        void look_behind() {
            if (!closed_ && call_ && loop::ended_behind(socket_)) probe();
        }

        // Guards against a request lost because this program itself was late: it is here whole, and has only
        // not been read yet.
        void read_what_is_here() {
            if (!closed_ && machine_.wants_read() && !loop::quiet(socket_)) read();
        }

        bool stands_in(Kind kind) const { return place_ && kind_ == kind; }
        bool overdue(Time now) {
            const FrontLimits& limits = owner_.limits_;
            const Micros age = now - since_;
            switch (kind_) {
                case fresh:
                case coming: return age > limits.request;
                case asked_idle:
                case other_idle: return age > (owner_.crowded() ? limits.idle_crowded : limits.idle);
                case writing: return age > limits.answer;
                case lingering: return age > limits.linger;
                default: return false;
            }
        }

        void close() {
            if (closed_) return;
            const auto self = shared_from_this();
            closed_ = true;
            leave_list();
            leave_asked();
            error_code ignored;
            socket_.close(ignored);
            const auto call = call_;
            call_.reset();
            owner_.closed(this);
            if (call) owner_.leave(*call);
            context_.reset();
        }

    private:
        // It will ask no more, or is no more.
        void leave_asked() {
            if (asked_) --owner_.asked_;
            asked_ = false;
        }

        void enter(Kind kind) {
            since_ = owner_.clock_.now();
            leave_list();
            kind_ = kind;
            place_ = owner_.lists_[kind].insert(owner_.lists_[kind].end(), this);
        }

        void leave_list() {
            if (place_) owner_.lists_[kind_].erase(*place_);
            place_.reset();
        }

        // The list follows the machine.
        void settle() {
            switch (machine_.state()) {
                case ServerState::reading:
                    if (!machine_.between()) return enter_if(coming);
                    if (!machine_.served()) return enter_if(fresh);
                    return enter_if(asked_ ? asked_idle : other_idle);
                case ServerState::waiting: return enter_if(waiting);
                case ServerState::writing: return enter_if(writing);
                case ServerState::lingering: return enter_if(lingering);
                case ServerState::over: return;
            }
        }
        // A new connection's time counts from its start, also while its first request is half here.
        void enter_if(Kind kind) {
            if (kind == kind_ || (kind_ == fresh && kind == coming)) return;
            enter(kind);
        }

        void await_read() {
            if (reading_ || closed_ || !machine_.wants_read()) return;
            reading_ = true;
            socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
                self->reading_ = false;
                if (error || self->closed_) return;
                self->read();
            });
        }

        // One read for each time that the kernel says there is something, and more only where it filled the
        // room.
        void read() {
            std::array<char, read_most> room;
            for (;;) {
                const loop::Read got = loop::read_some(socket_, room);
                if (got.kind == loop::Read::Kind::broken) {
                    machine_.reset();
                } else if (got.kind == loop::Read::Kind::end) {
                    machine_.receive_end();
                } else if (channel_) {
                    const bool goes_on = channel_->receive(got.bytes);
                    if (const std::string plain = channel_->take_plain(); !plain.empty())
                        machine_.receive(plain);
                    if (!goes_on) machine_.receive_end();
                } else {
                    machine_.receive(got.bytes);
                }
                if (got.bytes.size() < room.size() || !machine_.wants_read()) break;
            }
            go_on();
        }

        // Takes what the machine has to tell and writes what it has to say, until neither is left.
        void go_on() {
            const auto self = shared_from_this();
            taking_ = true;
            for (;;) {
                auto event = machine_.next();
                if (event) {
                    on_event(*event);
                } else if (!flush()) {
                    break;
                }
                if (closed_) return;
            }
            taking_ = false;
            if (machine_.state() == ServerState::over) return close();
            settle();
            await_read();
            await_write();
            if (call_ && unread()) owner_.look_behind_soon();
            owner_.accept_if_waiting();
        }

        // False when nothing could be written.
        bool flush() {
            if (channel_) return flush_channel();
            const std::string_view out = machine_.output();
            if (out.empty() || blocked_) return false;
            const loop::Written written = loop::write_some(socket_, out);
            if (written.broken) {
                machine_.reset();
                return true;
            }
            blocked_ = written.bytes < out.size();
            machine_.wrote(written.bytes);
            shut_if_lingering();
            return written.bytes > 0;
        }

        // What the machine has to say counts as written once the socket has all that it became.
        bool flush_channel() {
            if (const std::string_view plain = machine_.output(); plain.size() > in_channel_) {
                channel_->send(plain.substr(in_channel_));
                in_channel_ = plain.size();
            }
            if (blocked_) return false;
            const std::string_view out = channel_->output();
            const std::size_t said = in_channel_;
            if (out.empty() && said == 0) return false;
            const loop::Written written = loop::write_some(socket_, out);
            if (written.broken) {
                machine_.reset();
                return true;
            }
            blocked_ = written.bytes < out.size();
            channel_->wrote(written.bytes);
            if (!blocked_ && said > 0) {
                in_channel_ = 0;
                machine_.wrote(said);
                if (machine_.state() == ServerState::lingering) {
                    channel_->finish();
                    const std::string_view goodbye = channel_->output();
                    channel_->wrote(loop::write_some(socket_, goodbye).bytes);
                }
                shut_if_lingering();
                return true;
            }
            return written.bytes > 0;
        }

        // Guards against an answer lost on its way: to close while bytes of the client are unread would reset
        // the connection. So only this side ends, and what still comes is read for a while.
        void shut_if_lingering() {
            if (machine_.state() == ServerState::lingering && !shut_) {
                shut_ = true;
                error_code error;
                socket_.shutdown(tcp::socket::shutdown_send, error);
                if (error) machine_.reset();
            }
        }

        void await_write() {
            if (!blocked_ || awaiting_write_ || closed_) return;
            awaiting_write_ = true;
            socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
                self->awaiting_write_ = false;
                if (error || self->closed_) return;
                self->blocked_ = false;
                self->go_on();
            });
        }

        void on_event(ServerEvent& event) {
            switch (event.kind) {
                case ServerEvent::Kind::request: return on_request(std::move(event.request));
                case ServerEvent::Kind::half_closed: return probe();
                case ServerEvent::Kind::malformed:
                case ServerEvent::Kind::answered: return;
            }
        }

        void on_request(Request message) {
            probed_ = false;
            Handler::From from;
            from.draining = owner_.draining_;
            from.socket = &socket_;
            from.tls = channel_ != nullptr;
            const std::string server_name = channel_ ? channel_->server_name() : std::string();
            from.server_name = server_name;
            auto meant = owner_.handler_.on_request(std::move(message), from);
            if (const auto* told = std::get_if<Handler::Answer>(&meant)) return answer(*told);
            take(std::get<Handler::Ask>(std::move(meant)));
        }

        void take(Handler::Ask ask) {
            if (!asked_) ++owner_.asked_;
            asked_ = true;
            enter(waiting);
            (void)owner_.within_asked();
            context_ = std::move(ask.asked);
            core::CallId id = 0;
            call_ = id;
            const auto token = static_cast<std::uint64_t>(reinterpret_cast<std::uintptr_t>(this));
            const core::Taken taken = owner_.take(std::move(ask.call), token, &id);
            if (taken == core::Taken::yes) {
                if (call_) call_ = id;  // else it is answered already
                return;
            }
            call_.reset();
            const auto asked = std::move(context_);
            answer(owner_.handler_.on_not_taken(taken, asked.get()));
        }

        // Its list is left and come back to, also where all is written at once: it has been used.
        void answer(const Handler::Answer& told) {
            enter(writing);
            (void)machine_.answer(told.message, told.last || owner_.winding_down_);
        }

        // The client has ended its sending while its request waits. Whether it still listens shows when
        // something is written to it: one that has gone answers with a reset.
        void probe() {
            probed_ = true;
            await_break();
            if (!machine_.interim()) return;
            if (!taking_) go_on();
        }

        void await_break() {
            if (listening_for_break_) return;
            listening_for_break_ = true;
            socket_.async_wait(tcp::socket::wait_error, [self = shared_from_this()](error_code error) {
                if (!error) self->close();
            });
        }

        Impl& owner_;
        tcp::socket socket_;
        ServerMachine machine_;
        std::unique_ptr<Channel> channel_;  // where there is TLS
        std::size_t in_channel_ = 0;        // bytes of the machine's output that it has
        std::unique_ptr<Asked> context_;    // of the call that waits
        std::optional<core::CallId> call_;  // that waits; zero while it is being taken
        Time since_{};                      // when it came to its list
        std::optional<List::iterator> place_;
        Kind kind_ = fresh;
        bool asked_ = false;   // it has brought a request for an upstream
        bool taking_ = false;  // go_on() is on the stack
        bool reading_ = false;
        bool awaiting_write_ = false;
        bool listening_for_break_ = false;
        bool blocked_ = false;  // the socket takes no more for now
        bool probed_ = false;   // for the request that waits
        bool shut_ = false;
        bool closed_ = false;
    };

    core::Taken take(core::Call call, std::uint64_t token, core::CallId* id) {
        return intake_ ? intake_->take(std::move(call), *this, token, id)
                       : core_.take(std::move(call), *this, token, id);
    }
    void leave(core::CallId call) {
        if (intake_) return intake_->leave(call);
        (void)core_.leave(call);
    }

    bool crowded() const { return 2 * connections_.size() > limits_.most; }

    template <typename Done>
    void close_all(const List& list, Done done) {
        std::vector<std::shared_ptr<Connection>> over;
        for (Connection* const connection : list) {
            if (done(*connection)) over.push_back(connection->shared_from_this());
        }
        for (const auto& connection : over) connection->close();
    }

    void accept() {
        if (winding_down_) return take_the_last();
        if (accepting_ || !acceptor_.is_open()) return;
        accepting_ = true;
        acceptor_.async_wait(tcp::acceptor::wait_read, alive_.guard([this](error_code error) {
            if (error) return;
            accepting_ = false;
            if (accept_one()) accept();
        }));
    }

    // Guards against a request lost with the listener: the machine has accepted whoever waits in the backlog, and takes
    // up nobody from here to the close.
    void take_the_last() {
        if (acceptor_.is_open()) loop::take_no_more(acceptor_);
        while (acceptor_.is_open()) {
            if (!accept_one()) return;
        }
    }

    // Room is made only for a connection that has come: one that is closed ahead of need may have a request
    // on its way. False when it can't go on now: it does when one closes or is answered, or after a pause.
    bool accept_one() {
        if (connections_.size() >= limits_.most && !make_room()) {
            // Those that linger, or have not spoken yet, give way in a while.
            if (!lists_[lingering].empty() || !lists_[fresh].empty()) accept_later();
            return false;
        }
        tcp::socket socket(loop_);
        error_code error;
        loop::accept(acceptor_, socket, error);
        const bool passing = error == asio::error::would_block || error == asio::error::try_again ||
                             error == asio::error::connection_aborted || error == asio::error::interrupted;
        if (error && !passing) {
            make_room();
            accept_later();
            return false;
        }
        const bool empty = error == asio::error::would_block || error == asio::error::try_again;
        if (empty && winding_down_) {
            error_code ignored;
            acceptor_.close(ignored);
        }
        if (!error) {
            ++figures_.accepted;
            const auto connection = std::make_shared<Connection>(*this, std::move(socket));
            connections_.emplace(connection.get(), connection);
            connection->start();
        }
        return true;
    }

    // Guards against spinning when descriptors run out: the listener stays ready, and each try fails at once.
    void accept_later() {
        retry_.expires_after(accept_pause);
        retry_.async_wait(alive_.guard([this](error_code error) {
            if (!error) accept();
        }));
    }

    void accept_if_waiting() {
        if (accepting_ || posted_ || !acceptor_.is_open()) return;
        posted_ = true;
        asio::post(loop_, alive_.guard([this] {
            posted_ = false;
            accept();
        }));
    }

    // Whoever has had its answer and lingers makes room first, then one that never spoke, then the one idle
    // longest, and last one that does not get on with its request. Who has asked and waits never does.
    bool make_room() {
        const Time now = clock_.now();
        const auto give_way = [&](Kind kind, Micros after, bool quiet) {
            std::vector<std::shared_ptr<Connection>> asked;
            for (Connection* const connection : lists_[kind]) {
                if (now - connection->since() <= after || asked.size() == most_looked_at) break;
                asked.push_back(connection->shared_from_this());
            }
            for (const auto& connection : asked) {
                if (quiet && !connection->idle()) continue;
                connection->read_what_is_here();
                if (!connection->stands_in(kind)) continue;
                connection->close();
                return true;
            }
            return false;
        };
        return give_way(lingering, room_after, false) || give_way(fresh, room_after, true) ||
               give_way(older_idle(), Micros{-1}, true) || give_way(coming, limits_.request / 4, false) ||
               give_way(fresh, limits_.request / 4, false) || give_way(fresh, Micros{-1}, true);
    }

    Kind older_idle() const {
        const List& asked = lists_[asked_idle];
        const List& other = lists_[other_idle];
        if (asked.empty() || other.empty()) return asked.empty() ? other_idle : asked_idle;
        return asked.front()->since() <= other.front()->since() ? asked_idle : other_idle;
    }

    // Guards against clients that ask once and keep their connection: whoever deals connections out holds
    // only so many here, and those that stand idle keep others from asking. Called as each request is taken
    // and as each is answered, so that one at a time is enough. One that was used but lately may have its
    // next request on the way: then none is closed here, and the answer that is being given is to end its own
    // connection, which no request can cross. False when that is so.
    bool within_asked() {
        List& idle = lists_[asked_idle];
        const Time now = clock_.now();
        for (std::size_t i = 0; asked_ > limits_.asked; ++i) {
            if (i == most_looked_at || idle.empty()) return false;
            const auto longest = idle.front()->shared_from_this();
            if (now - longest->since() <= room_after) return false;
            if (longest->idle()) {
                ++figures_.gave_way;
                longest->close();
                break;
            }
            idle.splice(idle.end(), idle, idle.begin());  // its next request is here and not yet read
        }
        return true;
    }

    void sweep() {
        sweep_.expires_after(limits_.request / sweeps);
        sweep_.async_wait(alive_.guard([this](error_code error) {
            if (error) return;
            const Time now = clock_.now();
            for (const Kind kind : {fresh, coming, asked_idle, other_idle, writing, lingering}) {
                close_overdue(lists_[kind], now, kind == asked_idle || kind == other_idle);
            }
            accept_if_waiting();
            sweep();
        }));
    }

    // Guards against work for clients that have gone: while there are such that are not read.
    void look_behind_soon() {
        if (looks_behind_) return;
        looks_behind_ = true;
        behind_.expires_after(behind_every);
        behind_.async_wait(alive_.guard([this](error_code error) {
            looks_behind_ = false;
            if (error) return;
            std::vector<std::shared_ptr<Connection>> behind;
            for (Connection* const connection : lists_[waiting]) {
                if (connection->unread()) behind.push_back(connection->shared_from_this());
            }
            for (const auto& connection : behind) connection->look_behind();
            if (!behind.empty()) look_behind_soon();
        }));
    }

    // Whoever came to a list first is overdue first.
    void close_overdue(const List& list, Time now, bool quiet) {
        std::vector<std::shared_ptr<Connection>> over;
        for (Connection* const connection : list) {
            if (!connection->overdue(now)) break;
            if (!quiet || connection->idle()) over.push_back(connection->shared_from_this());
        }
        for (const auto& connection : over) {
            connection->read_what_is_here();
            if (connection->overdue(now)) connection->close();
        }
    }

    void closed(Connection* connection) {
        connections_.erase(connection);
        if (!stopped_) accept_if_waiting();
    }

    loop::Executor loop_;
    core::Core& core_;
    Handler& handler_;
    const core::Clock& clock_;
    FrontLimits limits_;
    const MakeChannel tls_;
    core::Intake* const intake_;  // null: the core itself
    tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    asio::steady_timer sweep_;
    asio::steady_timer behind_;
    std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
    std::array<List, kinds> lists_;
    std::size_t asked_ = 0;  // connections that have asked
    FrontFigures figures_;
    bool accepting_ = false;  // an accept is under way
    bool posted_ = false;
    bool looks_behind_ = false;  // behind_ is set
    bool draining_ = false;
    bool winding_down_ = false;
    bool stopped_ = false;
    loop::Alive alive_;
};

Front::Front(const loop::Executor& loop, core::Core& core, Handler& handler, const core::Clock& clock,
             FrontLimits limits, MakeChannel tls, core::Intake* intake)
    : impl_(std::make_shared<Impl>(loop, core, handler, clock, limits, std::move(tls), intake)) {}
Front::~Front() { impl_->stop(); }

void Front::listen(const tcp::endpoint& address) { impl_->listen(address); }
tcp::endpoint Front::address() const { return impl_->address(); }
void Front::set_limits(const FrontLimits& limits) { impl_->set_limits(limits); }
void Front::begin_drain() { impl_->begin_drain(); }
bool Front::wind_down() { return impl_->wind_down(); }
void Front::stop() { impl_->stop(); }
FrontFigures Front::figures() const { return impl_->figures(); }

}  // namespace flaxdoor::http
