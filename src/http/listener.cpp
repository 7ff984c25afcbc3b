#include "http/listener.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "http/server_machine.h"
#include "loop/lifetime_guard.h"
#include "loop/sockets.h"

namespace flaxdoor::http {

namespace asio = boost::asio;
using loop::error_code;
using loop::tcp;

namespace {

// Delay after an accept that failed for lack of a descriptor.
constexpr auto accept_retry_delay = std::chrono::milliseconds(20);
constexpr int sweeps_per_timeout = 8;  // time-out sweeps within ListenerLimits::request_timeout
// Least time in a phase before a connection may be evicted: at the connection limit, a new connection replaces one that
// has sent nothing, or has lingered, for this long. While connections drain, a new connection has this long to send its
// request. A connection idle for less time may have its next request in transit.
constexpr Micros eviction_grace = std::chrono::milliseconds(100);
constexpr std::size_t max_eviction_candidates = 4;    // connections examined for one eviction
constexpr std::size_t read_buffer_bytes = 64 * 1024;  // bytes per read
// Bytes per read while memory is tight: a read may bring many requests, which are held until their turn.
constexpr std::size_t tight_read_buffer_bytes = 4 * 1024;
// Interval at which a client that has sent far ahead is checked for having received its last response.
constexpr auto acknowledgement_check_interval = std::chrono::milliseconds(2);
// Interval of the half-close check. A read does not show the end of a client whose further bytes are left in its
// socket.
constexpr auto half_close_check_interval = std::chrono::milliseconds(25);
// Memory of a connection that holds no bytes: its objects, and the list and map entries. Never reclaimed by itself.
constexpr std::size_t connection_bytes = 1024;
// Memory of a TLS channel: OpenSSL's state and buffers.
constexpr std::size_t channel_bytes = 40 * 1024;
constexpr std::string_view memory_rejection = "out of memory for requests";

}  // namespace

class Listener::Impl final : public core::Downstream,
                             public overload::MemoryHolder,
                             public std::enable_shared_from_this<Impl> {
public:
    Impl(const loop::Executor& loop, core::Core& core, Handler& handler, const core::Clock& clock,
         ListenerLimits limits, MakeChannel tls, core::CallAcceptor* intake, overload::MemoryBudget* memory)
        : loop_(loop),
          core_(core),
          handler_(handler),
          clock_(clock),
          limits_(limits),
          tls_(std::move(tls)),
          intake_(intake),
          memory_(memory),
          holder_(memory, *this),
          acceptor_(loop),
          accept_retry_timer_(loop),
          sweep_timer_(loop),
          half_close_timer_(loop) {}

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
    void set_limits(const ListenerLimits& limits) { limits_ = limits; }
    void begin_drain() { draining_ = true; }

    bool drain_connections() {
        draining_ = draining_connections_ = true;
        accept_backlog();
        const Time now = clock_.now();
        close_all(lists_[idle_after_call], [](Connection& connection) { return connection.idle(); });
        close_all(lists_[idle_without_call], [](Connection& connection) { return connection.idle(); });
        close_all(lists_[fresh], [&](Connection& connection) {
            return now - connection.since() > eviction_grace && connection.idle();
        });
        return !connections_.empty() || acceptor_.is_open();
    }

    void stop() {
        stopped_ = true;
        error_code ignored;
        acceptor_.close(ignored);
        accept_retry_timer_.cancel();
        sweep_timer_.cancel();
        half_close_timer_.cancel();
        const auto held = std::move(connections_);
        connections_.clear();
        for (const auto& [connection, owned] : held) connection->close();
    }

    ListenerStats figures() const {
        ListenerStats figures = figures_;
        figures.connections = connections_.size();
        figures.idle = lists_[idle_after_call].size() + lists_[idle_without_call].size();
        return figures;
    }

    // Never called: HTTP responses are not streamed.
    void on_started(std::uint64_t, std::unique_ptr<core::Payload>) override {}

    void on_final(std::uint64_t token, core::FinalAnswer answer) override {
        connection_of(token)->shared_from_this()->on_final(std::move(answer));
    }

    std::size_t largest_reclaimable(overload::ReclaimStage stage) const override {
        const Connection* const largest = find_largest(stage);
        return largest ? largest->reclaimable(stage) : 0;
    }
    void reclaim_largest(overload::ReclaimStage stage) override {
        if (Connection* const largest = find_largest(stage)) largest->shared_from_this()->give_up();
    }

private:
    // The phase of a connection. Each phase has a list of its connections, ordered by their entry into the phase.
    enum Phase : std::size_t {
        fresh,              // no complete request received yet
        receiving,          // receiving a request
        idle_after_call,    // between requests, has sent a request for an upstream
        idle_without_call,  // between requests, has sent local requests only (readiness)
        waiting,            // for a response
        writing,            // a response
        lingering,          // waiting for the client to close
        phase_count,
    };

    class Connection;
    using List = std::list<Connection*>;

    static Connection* connection_of(std::uint64_t token) {
        return reinterpret_cast<Connection*>(static_cast<std::uintptr_t>(token));
    }

    // One client connection: reads a request, waits for its response, writes it, and repeats. It also waits for
    // readability while a response is due, so that a client's disconnect is noticed at once.
    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(Impl& owner, tcp::socket socket)
            : owner_(owner),
              socket_(std::move(socket)),
              machine_(owner.limits_.linger_bytes, owner.limits_.max_body_bytes),
              charge_(owner.memory_) {}

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
        // Whether the connection is between requests and its socket holds no unread data.
        bool idle() { return machine_.between_requests() && loop::has_no_input(socket_); }

        void on_final(core::FinalAnswer final) {
            call_.reset();
            request_bytes_ = 0;
            const bool last = owner_.draining_connections_ || !owner_.enforce_call_slots();
            const auto context = std::move(context_);
            const bool given =
                machine_.answer(owner_.handler_.on_final(std::move(final), context.get()), last);
            if (last) release_call_slot();
            if (given && !processing_) process();
        }

        // Whether reading is suspended because the client has sent too far ahead, and no probe has been sent. A read
        // then does not show the client's end.
        bool reading_suspended() const { return !wants_read() && !probe_sent_; }
        void check_half_close() {
            if (!closed_ && call_ && loop::peer_has_closed(socket_)) probe_client();
        }

        // Reads data that has arrived. Called before a connection is closed: a complete request may be unread because
        // this process was delayed, and must not be lost.
        void read_arrived_data() {
            if (!closed_ && wants_read() && !loop::has_no_input(socket_)) read();
        }

        bool is_in_phase(Phase phase) const { return list_position_ && phase_ == phase; }
        // Whether bytes were received that may hold a complete request, which must not be lost.
        bool awaits_turn() const { return awaits_turn_; }
        bool timed_out(Time now) {
            if (awaits_turn_) return false;
            const ListenerLimits& limits = owner_.limits_;
            const Micros age = now - since_;
            switch (phase_) {
                case fresh:
                case receiving: return age > limits.request_timeout;
                case idle_after_call:
                case idle_without_call:
                    return age > (owner_.crowded() ? limits.crowded_idle_timeout : limits.idle_timeout);
                case writing: return age > limits.response_write_timeout;
                case lingering: return age > limits.linger_timeout;
                default: return false;
            }
        }

        // What give_up() would free in this stage.
        std::size_t reclaimable(overload::ReclaimStage stage) const {
            if (closed_ || processing_ || charge_.bytes() <= connection_bytes) return 0;
            const ServerState state = machine_.state();
            const bool ahead = awaits_turn_ && state == ServerState::reading;
            const bool incomplete =
                (state == ServerState::reading && !ahead) || state == ServerState::lingering;
            const bool unread = ahead || (state == ServerState::writing && write_blocked_);
            const bool matches = stage == overload::ReclaimStage::incomplete ? incomplete
                                 : stage == overload::ReclaimStage::unread   ? unread
                                                                             : false;
            return matches ? charge_.bytes() - connection_bytes : 0;
        }
        // Frees what the connection holds: rejects a request that is not complete, or closes the connection.
        void give_up() {
            ++owner_.figures_.reclaimed;
            if (!channel_ && machine_.reject_incomplete(503, memory_rejection)) return process();
            close();
        }

        void close() {
            if (closed_) return;
            const auto self = shared_from_this();
            closed_ = true;
            charge_.set(0);
            leave_list();
            release_call_slot();
            error_code ignored;
            socket_.close(ignored);
            acknowledgement_.reset();
            const auto call = call_;
            call_.reset();
            owner_.on_closed(this);
            if (call) owner_.abandon(*call);
            context_.reset();
        }

    private:
        // A wait for the client's acknowledgement of a response, ahead of its next request.
        struct Acknowledgement {
            Acknowledgement(const loop::Executor& loop, Time now) : timer(loop), since(now) {}
            asio::steady_timer timer;
            const Time since;
        };

        // Gives up the call slot: the connection sends no more requests, or is closed.
        void release_call_slot() {
            if (has_call_slot_) --owner_.call_slots_in_use_;
            has_call_slot_ = false;
        }

        void enter(Phase phase) {
            since_ = owner_.clock_.now();
            leave_list();
            phase_ = phase;
            list_position_ = owner_.lists_[phase].insert(owner_.lists_[phase].end(), this);
        }

        void leave_list() {
            if (list_position_) owner_.lists_[phase_].erase(*list_position_);
            list_position_.reset();
        }

        // Enters the phase that corresponds to the machine's state.
        void update_phase() {
            switch (machine_.state()) {
                case ServerState::reading:
                    if (!machine_.between_requests()) return enter_if_changed(receiving);
                    if (!machine_.served()) return enter_if_changed(fresh);
                    return enter_if_changed(has_call_slot_ ? idle_after_call : idle_without_call);
                case ServerState::waiting: return enter_if_changed(waiting);
                case ServerState::writing: return enter_if_changed(writing);
                case ServerState::lingering: return enter_if_changed(lingering);
                case ServerState::over: return;
            }
        }
        // The request time-out of a new connection starts with its accept, so it keeps the phase `fresh` while its
        // first request is being received.
        void enter_if_changed(Phase phase) {
            if (phase == phase_ || (phase_ == fresh && phase == receiving)) return;
            enter(phase);
        }

        // While memory is tight, nothing is read ahead of the request that is being served.
        bool wants_read() const {
            if (!machine_.wants_read()) return false;
            const bool ahead =
                machine_.state() == ServerState::waiting || machine_.state() == ServerState::writing;
            return !ahead || !owner_.memory_ || !owner_.memory_->tight();
        }

        // Counts what the connection holds now, which may close it. Returns whether there is memory for it.
        bool settle_charge() {
            return charge_.settle(connection_bytes + (channel_ ? channel_bytes : 0) + machine_.held_bytes() +
                                  request_bytes_);
        }

        void await_read() {
            if (read_pending_ || closed_ || awaits_turn_ || !wants_read()) return;
            read_pending_ = true;
            socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
                self->read_pending_ = false;
                if (error || self->closed_) return;
                self->read();
            });
        }

        // Reads once for each readiness notification, and again only while reads fill the buffer.
        void read() {
            std::array<char, read_buffer_bytes> whole_buffer;
            const bool tight = owner_.memory_ && owner_.memory_->tight();
            const std::span<char> buffer(whole_buffer.data(),
                                         tight ? tight_read_buffer_bytes : read_buffer_bytes);
            for (;;) {
                const loop::Read received = loop::read_some(socket_, buffer);
                if (received.kind == loop::Read::Kind::broken) {
                    machine_.reset();
                } else if (received.kind == loop::Read::Kind::end) {
                    machine_.receive_end();
                } else if (channel_) {
                    const bool channel_open = channel_->receive(received.bytes);
                    if (const std::string plain = channel_->take_plain(); !plain.empty())
                        machine_.receive(plain);
                    if (!channel_open) machine_.receive_end();
                } else {
                    machine_.receive(received.bytes);
                }
                if (received.bytes.size() < buffer.size() || !wants_read()) break;
            }
            process();
        }

        // Handles the machine's events and writes its output until neither is left, or the connection's turn is over: it
        // ends with one request, so that a client which sends requests without waiting holds up the others by one request
        // at a time.
        void process() {
            const auto self = shared_from_this();
            processing_ = true;
            bool turn_over = awaits_turn_;
            for (;;) {
                const bool held = machine_.may_hold_request();
                turn_over = turn_over || (held && !is_client_known_to_be_there());
                const bool may_handle = !turn_over || !held;
                auto event = may_handle ? machine_.next() : std::nullopt;
                if (event) {
                    turn_over = turn_over || event->kind == ServerEvent::Kind::request;
                    on_event(*event);
                } else if (!flush()) {
                    break;
                }
                if (closed_) return;
            }
            processing_ = false;
            if (turn_over && machine_.may_hold_request()) await_turn();
            sent_far_ahead_ = sent_far_ahead_ || (call_ && !wants_read());
            if (machine_.state() == ServerState::over) return close();
            update_phase();
            (void)settle_charge();
            if (closed_) return;
            await_read();
            await_write();
            if (call_ && reading_suspended()) owner_.schedule_half_close_check();
            owner_.schedule_accept();
        }

        // Continues with the received bytes once the other connections have had their turns.
        void await_turn() {
            if (awaits_turn_) return;
            awaits_turn_ = true;
            const auto take_turn = [self = shared_from_this()] {
                self->awaits_turn_ = false;
                if (!self->closed_) self->process();
            };
            if (!acknowledgement_) return asio::post(owner_.loop_, take_turn);
            acknowledgement_->timer.expires_after(acknowledgement_check_interval);
            acknowledgement_->timer.async_wait([take_turn](error_code error) {
                if (!error) take_turn();
            });
        }

        // The end of a client that has sent far ahead lies behind bytes that were not read. Its next request is handled
        // only after it has received the response before: a client that has gone answers that with a reset.
        bool is_client_known_to_be_there() {
            if (!sent_far_ahead_) return true;
            const Time now = owner_.clock_.now();
            const bool gone =
                acknowledgement_ && now - acknowledgement_->since > owner_.limits_.response_write_timeout;
            if (gone || loop::is_reset(socket_)) {
                machine_.reset();
                return true;
            }
            if (loop::unacknowledged_bytes(socket_) > 0) {
                if (!acknowledgement_)
                    acknowledgement_ = std::make_unique<Acknowledgement>(owner_.loop_, now);
                return false;
            }
            acknowledgement_.reset();
            sent_far_ahead_ = false;
            return true;
        }

        // Writes output to the socket. Returns false when nothing could be written.
        bool flush() {
            if (channel_) return flush_channel();
            const std::string_view output = machine_.output();
            if (output.empty() || write_blocked_) return false;
            const loop::Written written = loop::write_some(socket_, output);
            if (written.broken) {
                machine_.reset();
                return true;
            }
            write_blocked_ = written.bytes < output.size();
            machine_.wrote(written.bytes);
            shut_down_if_lingering();
            return written.bytes > 0;
        }

        // Writes output through the TLS channel. The machine's output counts as written once the socket has accepted
        // all bytes that it was encrypted to.
        bool flush_channel() {
            if (const std::string_view plain = machine_.output(); plain.size() > channel_bytes_) {
                channel_->send(plain.substr(channel_bytes_));
                channel_bytes_ = plain.size();
            }
            if (write_blocked_) return false;
            const std::string_view output = channel_->output();
            const std::size_t passed_bytes = channel_bytes_;
            if (output.empty() && passed_bytes == 0) return false;
            const loop::Written written = loop::write_some(socket_, output);
            if (written.broken) {
                machine_.reset();
                return true;
            }
            write_blocked_ = written.bytes < output.size();
            channel_->wrote(written.bytes);
            if (!write_blocked_ && passed_bytes > 0) {
                channel_bytes_ = 0;
                machine_.wrote(passed_bytes);
                if (machine_.state() == ServerState::lingering) {
                    channel_->finish();
                    const std::string_view closure_alert = channel_->output();
                    channel_->wrote(loop::write_some(socket_, closure_alert).bytes);
                }
                shut_down_if_lingering();
                return true;
            }
            return written.bytes > 0;
        }

        // Shuts down only the sending side after the last response, and keeps reading for a while: closing with unread
        // client bytes would reset the connection, and the response could be lost in transit.
        void shut_down_if_lingering() {
            if (machine_.state() == ServerState::lingering && !send_shut_down_) {
                send_shut_down_ = true;
                error_code error;
                socket_.shutdown(tcp::socket::shutdown_send, error);
                if (error) machine_.reset();
            }
        }

        void await_write() {
            if (!write_blocked_ || awaiting_write_ || closed_) return;
            awaiting_write_ = true;
            socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
                self->awaiting_write_ = false;
                if (error || self->closed_) return;
                self->write_blocked_ = false;
                self->process();
            });
        }

        void on_event(ServerEvent& event) {
            switch (event.kind) {
                case ServerEvent::Kind::request: return on_request(std::move(event.request));
                case ServerEvent::Kind::half_closed: return probe_client();
                case ServerEvent::Kind::malformed:
                case ServerEvent::Kind::answered: return;
            }
        }

        void on_request(Request message) {
            probe_sent_ = false;
            request_bytes_ = held_bytes(message);
            Handler::ConnectionInfo from;
            from.draining = owner_.draining_;
            from.socket = &socket_;
            from.tls = channel_ != nullptr;
            const std::string server_name = channel_ ? channel_->server_name() : std::string();
            from.server_name = server_name;
            auto interpretation = owner_.handler_.on_request(std::move(message), from);
            if (const auto* response = std::get_if<Handler::LocalResponse>(&interpretation))
                return answer(*response);
            forward(std::get<Handler::Forward>(std::move(interpretation)));
        }

        void forward(Handler::Forward ask) {
            if (!settle_charge())
                return answer(
                    owner_.handler_.on_call_rejected(core::AcceptResult::too_many, ask.context.get()));
            if (!has_call_slot_) ++owner_.call_slots_in_use_;
            has_call_slot_ = true;
            enter(waiting);
            (void)owner_.enforce_call_slots();
            context_ = std::move(ask.context);
            core::CallId id = 0;
            call_ = id;
            const auto token = static_cast<std::uint64_t>(reinterpret_cast<std::uintptr_t>(this));
            const core::AcceptResult taken = owner_.submit(std::move(ask.call), token, &id);
            if (taken == core::AcceptResult::accepted) {
                if (call_) call_ = id;  // otherwise the core has already answered
                return;
            }
            call_.reset();
            const auto context = std::move(context_);
            answer(owner_.handler_.on_call_rejected(taken, context.get()));
        }

        // Enters the phase `writing` even when everything is written at once: the connection was used, so it must
        // move to the end of its idle list.
        void answer(const Handler::LocalResponse& response) {
            request_bytes_ = 0;
            enter(writing);
            (void)machine_.answer(response.message,
                                  response.close_connection || owner_.draining_connections_);
        }

        // Probes a client that has ended its sending while its request waits, by writing a 100 Continue. A client that
        // has disconnected responds with a reset; one that only half-closed does not.
        void probe_client() {
            probe_sent_ = true;
            await_reset();
            if (!machine_.send_continue()) return;
            if (!processing_) process();
        }

        void await_reset() {
            if (awaiting_reset_) return;
            awaiting_reset_ = true;
            socket_.async_wait(tcp::socket::wait_error, [self = shared_from_this()](error_code error) {
                if (!error) self->close();
            });
        }

        Impl& owner_;
        tcp::socket socket_;
        ServerMachine machine_;
        std::unique_ptr<Channel> channel_;  // null without TLS
        std::size_t channel_bytes_ = 0;     // bytes of the machine's output passed to the channel
        overload::MemoryCharge charge_;
        std::size_t request_bytes_ = 0;                     // memory of the request that waits
        std::unique_ptr<RequestContext> context_;           // the handler's state of the call that waits
        std::unique_ptr<Acknowledgement> acknowledgement_;  // set while one is waited for
        std::optional<core::CallId> call_;                  // call that waits; 0 while the core accepts it
        Time since_{};                                      // entry into the phase
        std::optional<List::iterator> list_position_;
        Phase phase_ = fresh;
        bool has_call_slot_ = false;   // counted in Impl::call_slots_in_use_
        bool processing_ = false;      // process() is on the stack
        bool sent_far_ahead_ = false;  // its end may lie behind bytes that were not read
        bool awaits_turn_ = false;     // received bytes are left for the connection's next turn
        bool read_pending_ = false;
        bool awaiting_write_ = false;
        bool awaiting_reset_ = false;
        bool write_blocked_ = false;  // waiting for the socket to become writable
        bool probe_sent_ = false;     // a probe was sent for the request that waits
        bool send_shut_down_ = false;
        bool closed_ = false;
    };

    core::AcceptResult submit(core::Call call, std::uint64_t token, core::CallId* id) {
        return intake_ ? intake_->accept_call(std::move(call), *this, token, id)
                       : core_.accept_call(std::move(call), *this, token, id);
    }
    void abandon(core::CallId call) {
        if (intake_) return intake_->abandon_call(call);
        (void)core_.abandon_call(call);
    }

    Connection* find_largest(overload::ReclaimStage stage) const {
        Connection* largest = nullptr;
        std::size_t most = 0;
        for (const auto& [connection, owned] : connections_) {
            const std::size_t bytes = connection->reclaimable(stage);
            if (bytes <= most) continue;
            most = bytes;
            largest = connection;
        }
        return largest;
    }

    bool crowded() const { return 2 * connections_.size() > limits_.max_connections; }

    template <typename Predicate>
    void close_all(const List& list, Predicate predicate) {
        std::vector<std::shared_ptr<Connection>> expired;
        for (Connection* const connection : list) {
            if (predicate(*connection)) expired.push_back(connection->shared_from_this());
        }
        for (const auto& connection : expired) connection->close();
    }

    void accept() {
        if (draining_connections_) return accept_backlog();
        if (accept_pending_ || !acceptor_.is_open()) return;
        accept_pending_ = true;
        acceptor_.async_wait(tcp::acceptor::wait_read, alive_.wrap([this](error_code error) {
            if (error) return;
            accept_pending_ = false;
            if (accept_one()) accept();
        }));
    }

    // Stops the kernel from completing further connections, and accepts those in the backlog before the listener
    // closes: closing it first would reset them, and a request already sent would be lost.
    void accept_backlog() {
        if (acceptor_.is_open()) loop::stop_accepting(acceptor_);
        while (acceptor_.is_open()) {
            if (!accept_one()) return;
        }
    }

    // Accepts one connection, if there is one. Evicts another connection only when one has arrived, since a
    // connection closed in advance may have a request in transit. Returns false when accepting cannot continue now;
    // it resumes when a connection closes or is answered, or after a delay.
    bool accept_one() {
        if (connections_.size() >= limits_.max_connections && !evict_for_new_connection()) {
            // Lingering and new connections can be evicted after a while.
            if (!lists_[lingering].empty() || !lists_[fresh].empty()) accept_after_delay();
            return false;
        }
        tcp::socket socket(loop_);
        error_code error;
        loop::accept(acceptor_, socket, error);
        const bool transient = error == asio::error::would_block || error == asio::error::try_again ||
                               error == asio::error::connection_aborted || error == asio::error::interrupted;
        if (error && !transient) {
            evict_for_new_connection();
            accept_after_delay();
            return false;
        }
        const bool empty = error == asio::error::would_block || error == asio::error::try_again;
        if (empty && draining_connections_) {
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

    // Accepts again after a delay. Without descriptors the listener stays readable and each accept fails at once, so an
    // immediate retry would spin.
    void accept_after_delay() {
        accept_retry_timer_.expires_after(accept_retry_delay);
        accept_retry_timer_.async_wait(alive_.wrap([this](error_code error) {
            if (!error) accept();
        }));
    }

    void schedule_accept() {
        if (accept_pending_ || accept_posted_ || !acceptor_.is_open()) return;
        accept_posted_ = true;
        asio::post(loop_, alive_.wrap([this] {
            accept_posted_ = false;
            accept();
        }));
    }

    // Evicts a connection for a new one, in this order: a lingering one, a new one that has sent nothing for a while,
    // the one idle longest, a stalled one that is receiving its request, a new one that has sent nothing. A
    // connection that waits for a response is never evicted. Returns false when none could be evicted.
    bool evict_for_new_connection() {
        const Time now = clock_.now();
        const auto evict = [&](Phase phase, Micros min_age, bool only_idle) {
            std::vector<std::shared_ptr<Connection>> candidates;
            for (Connection* const connection : lists_[phase]) {
                if (now - connection->since() <= min_age || candidates.size() == max_eviction_candidates)
                    break;
                candidates.push_back(connection->shared_from_this());
            }
            for (const auto& connection : candidates) {
                if (only_idle && !connection->idle()) continue;
                connection->read_arrived_data();
                if (!connection->is_in_phase(phase) || connection->awaits_turn()) continue;
                connection->close();
                return true;
            }
            return false;
        };
        return evict(lingering, eviction_grace, false) || evict(fresh, eviction_grace, true) ||
               evict(phase_of_longest_idle(), Micros{-1}, true) ||
               evict(receiving, limits_.request_timeout / 4, false) ||
               evict(fresh, limits_.request_timeout / 4, false) || evict(fresh, Micros{-1}, true);
    }

    Phase phase_of_longest_idle() const {
        const List& after_call = lists_[idle_after_call];
        const List& without_call = lists_[idle_without_call];
        if (after_call.empty() || without_call.empty())
            return after_call.empty() ? idle_without_call : idle_after_call;
        return after_call.front()->since() <= without_call.front()->since() ? idle_after_call
                                                                            : idle_without_call;
    }

    // Evicts the connection idle longest while more than ListenerLimits::max_keepalive_connections connections hold a
    // call slot. Clients that send one request and keep their connection would otherwise exhaust the connections that a
    // load balancer in front allows to this process, and keep other clients from sending. One eviction a call is
    // enough, because this runs for each request received and each response given. A recently used connection may have
    // its next request in transit and is not evicted; then this returns false, and the response being given must close
    // its own connection, on which no request can be in transit.
    bool enforce_call_slots() {
        List& idle = lists_[idle_after_call];
        const Time now = clock_.now();
        for (std::size_t i = 0; call_slots_in_use_ > limits_.max_keepalive_connections; ++i) {
            if (i == max_eviction_candidates || idle.empty()) return false;
            const auto oldest = idle.front()->shared_from_this();
            if (now - oldest->since() <= eviction_grace) return false;
            if (oldest->idle()) {
                ++figures_.evicted_idle;
                oldest->close();
                break;
            }
            idle.splice(idle.end(), idle, idle.begin());  // its next request has arrived unread
        }
        return true;
    }

    void sweep() {
        sweep_timer_.expires_after(limits_.request_timeout / sweeps_per_timeout);
        sweep_timer_.async_wait(alive_.wrap([this](error_code error) {
            if (error) return;
            const Time now = clock_.now();
            for (const Phase phase :
                 {fresh, receiving, idle_after_call, idle_without_call, writing, lingering}) {
                close_timed_out(lists_[phase], now, phase == idle_after_call || phase == idle_without_call);
            }
            schedule_accept();
            sweep();
        }));
    }

    // Starts the half-close checks, which repeat while a connection that waits is not being read, so that no work is
    // done for clients that have disconnected.
    void schedule_half_close_check() {
        if (half_close_timer_set_) return;
        half_close_timer_set_ = true;
        half_close_timer_.expires_after(half_close_check_interval);
        half_close_timer_.async_wait(alive_.wrap([this](error_code error) {
            half_close_timer_set_ = false;
            if (error) return;
            std::vector<std::shared_ptr<Connection>> suspended;
            for (Connection* const connection : lists_[waiting]) {
                if (connection->reading_suspended()) suspended.push_back(connection->shared_from_this());
            }
            for (const auto& connection : suspended) connection->check_half_close();
            if (!suspended.empty()) schedule_half_close_check();
        }));
    }

    // Closes the connections of a phase that have timed out. The list is ordered by entry, so the first ones time out
    // first. `only_idle`: only connections between requests without unread data.
    void close_timed_out(const List& list, Time now, bool only_idle) {
        std::vector<std::shared_ptr<Connection>> expired;
        for (Connection* const connection : list) {
            if (!connection->timed_out(now)) break;
            if (!only_idle || connection->idle()) expired.push_back(connection->shared_from_this());
        }
        for (const auto& connection : expired) {
            connection->read_arrived_data();
            if (connection->timed_out(now)) connection->close();
        }
    }

    void on_closed(Connection* connection) {
        connections_.erase(connection);
        if (!stopped_) schedule_accept();
    }

    loop::Executor loop_;
    core::Core& core_;
    Handler& handler_;
    const core::Clock& clock_;
    ListenerLimits limits_;
    const MakeChannel tls_;
    core::CallAcceptor* const intake_;      // null: calls go to the core
    overload::MemoryBudget* const memory_;  // null: no limit
    const overload::HolderRegistration holder_;
    tcp::acceptor acceptor_;
    asio::steady_timer accept_retry_timer_;
    asio::steady_timer sweep_timer_;
    asio::steady_timer half_close_timer_;
    std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
    std::array<List, phase_count> lists_;
    std::size_t call_slots_in_use_ = 0;  // connections that have sent a request for an upstream
    ListenerStats figures_;
    bool accept_pending_ = false;  // waiting for a connection
    bool accept_posted_ = false;
    bool half_close_timer_set_ = false;  // half_close_timer_ is set
    bool draining_ = false;
    bool draining_connections_ = false;
    bool stopped_ = false;
    loop::LifetimeGuard alive_;
};

Listener::Listener(const loop::Executor& loop, core::Core& core, Handler& handler, const core::Clock& clock,
                   ListenerLimits limits, MakeChannel tls, core::CallAcceptor* intake,
                   overload::MemoryBudget* memory)
    : impl_(std::make_shared<Impl>(loop, core, handler, clock, limits, std::move(tls), intake, memory)) {}
Listener::~Listener() { impl_->stop(); }

void Listener::listen(const tcp::endpoint& address) { impl_->listen(address); }
tcp::endpoint Listener::address() const { return impl_->address(); }
void Listener::set_limits(const ListenerLimits& limits) { impl_->set_limits(limits); }
void Listener::begin_drain() { impl_->begin_drain(); }
bool Listener::drain_connections() { return impl_->drain_connections(); }
void Listener::stop() { impl_->stop(); }
ListenerStats Listener::figures() const { return impl_->figures(); }

}  // namespace flaxdoor::http
