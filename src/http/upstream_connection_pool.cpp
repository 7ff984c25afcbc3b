#include "http/upstream_connection_pool.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <optional>
#include <unordered_map>

#include "core/timers.h"
#include "http/client_machine.h"
#include "http/payload.h"
#include "http/platform.h"
#include "http/wait_allowance.h"
#include "loop/alarm.h"
#include "loop/sockets.h"

namespace flaxdoor::http {

namespace asio = boost::asio;
using loop::error_code;
using loop::tcp;

namespace {

// Fraction of the upstream's idle limit (ConnectionPoolOptions::upstream_idle_timeout) after which the pool closes an
// idle connection, so that the upstream does not close it while a request is on its way.
constexpr double idle_limit_fraction = 0.9;
constexpr std::size_t read_buffer_bytes = 64 * 1024;

}  // namespace

class UpstreamConnectionPool::Impl : public overload::MemoryHolder,
                                     public std::enable_shared_from_this<Impl> {
public:
    Impl(const loop::Executor& loop, core::Core& core, const loop::Clock& clock, ConnectionLimit& budget,
         ConnectionPoolOptions options, overload::MemoryBudget* memory)
        : loop_(loop),
          core_(core),
          clock_(clock),
          budget_(budget),
          options_(std::move(options)),
          memory_(memory),
          holder_(memory, *this),
          alarm_(loop, clock) {
        alarm_.on_due([this] { run_timers(); });
    }

    void set_upstream(UpstreamId id, const std::string& text, bool takes_work) {
        const tcp::endpoint address = loop::parse_endpoint(text);
        Upstream& upstream = upstreams_[id];
        upstream.takes_work = takes_work;
        if (upstream.address == address) return;
        upstream.address = address;
        close_idle(id);  // these connections lead to the previous address
    }

    void remove_upstream(UpstreamId id) {
        close_idle(id);
        upstreams_.erase(id);
    }

    void close_idle(UpstreamId id) {
        const auto found = upstreams_.find(id);
        if (found == upstreams_.end()) return;
        const auto idle = std::move(found->second.idle);
        found->second.idle.clear();
        for (const auto& connection : idle) connection->close();
    }

    void send(core::Attempt attempt) {
        const auto found = upstreams_.find(attempt.upstream);
        if (found == upstreams_.end()) return report_unsent(attempt.key, Outcome::inconclusive);
        if (const ConnectionPtr connection = take_idle(found->second)) {
            attempts_.emplace(attempt.key, connection);
            return connection->reuse(attempt);
        }
        if (const ConnectionPtr connection = take_first_to_rest(found->second)) {
            attempts_.emplace(attempt.key, connection);
            return connection->reserve(attempt, connection->since() + options_.reuse_delay);
        }
        if (!ensure_capacity()) return report_unsent(attempt.key, Outcome::inconclusive, true);
        const auto connection = std::make_shared<Connection>(*this, attempt.upstream, found->second.address);
        attempts_.emplace(attempt.key, connection);
        connection->connect(attempt);
    }

    void cancel(core::AttemptKey key) {
        if (const ConnectionPtr connection = find_attempt(key)) connection->cancel();
    }

    void expire(core::AttemptKey key) {
        if (const ConnectionPtr connection = find_attempt(key)) connection->expire();
    }

    void set_options(ConnectionPoolOptions options) { options_ = std::move(options); }
    std::size_t idle() const {
        std::size_t n = 0;
        for (const auto& [id, upstream] : upstreams_) n += upstream.idle.size();
        return n;
    }
    std::size_t known() const { return upstreams_.size(); }

    std::size_t largest_reclaimable(overload::ReclaimStage stage) const override {
        if (stage != overload::ReclaimStage::in_flight) return 0;
        const Connection* const largest = find_largest();
        return largest ? largest->response_bytes() : 0;
    }
    void reclaim_largest(overload::ReclaimStage) override {
        if (Connection* const largest = find_largest()) largest->shared_from_this()->give_up();
    }

    void stop() {
        for (auto& [id, upstream] : upstreams_) {
            for (const auto& connection : upstream.idle) connection->close();
            upstream.idle.clear();
        }
        const auto attempts = std::move(attempts_);
        attempts_.clear();
        for (const auto& [key, connection] : attempts) connection->close();
    }

private:
    class Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    using Timers = core::Timers<std::weak_ptr<Connection>>;

    struct Upstream {
        tcp::endpoint address;
        bool takes_work = true;
        std::vector<ConnectionPtr> idle;  // ordered by last use, most recent last
        WaitAllowance waits;              // for connections to pass the reuse delay
    };

    // One connection, which carries one exchange at a time. It always waits for readability, also while idle, so that
    // the upstream's close is noticed. It may be reserved for an attempt that is sent once the connection has been idle
    // for `reuse_delay`; it is idle until then.
    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(Impl& owner, UpstreamId upstream, tcp::endpoint address)
            : owner_(owner),
              charge_(owner.memory_),
              upstream_(upstream),
              address_(std::move(address)),
              socket_(owner.loop_),
              machine_(owner.options_.max_body_bytes) {
            ++owner_.budget_.open;
        }

        UpstreamId upstream() const { return upstream_; }
        const tcp::endpoint& address() const { return address_; }
        Time since() const { return since_; }
        bool has_no_unread_data() { return loop::has_no_input(socket_); }

        void connect(const core::Attempt& attempt) {
            begin(attempt);
            error_code error;
            loop::open(socket_, error);
            if (error && owner_.evict_oldest_idle()) loop::open(socket_, error);
            if (!error) socket_.non_blocking(true, error);
            if (error) return end_attempt(Outcome::connect_failed, loop::is_local_resource_error(error));
            error_code ignored;
            socket_.set_option(tcp::no_delay(true), ignored);
            if (owner_.options_.connect_timeout > Micros{0}) arm(since_ + owner_.options_.connect_timeout);
            socket_.async_connect(address_, [self = shared_from_this()](error_code failed) {
                if (self->closed_ || !self->key_) return;
                self->connected(failed);
            });
        }

        void reuse(const core::Attempt& attempt) {
            disarm();
            begin(attempt);
            send_request();
        }

        // Sends the attempt at the time `at`, when the connection may be reused.
        void reserve(const core::Attempt& attempt, Time at) {
            reserved_ = attempt;
            arm(at);
        }

        // Ends the reservation without a request sent; the attempt is returned.
        std::optional<core::Attempt> take_reservation() { return std::exchange(reserved_, std::nullopt); }

        // Reads the surplus bytes or the end of an idle connection, then closes it.
        void read_and_close() {
            if (!closed_) read();
            close();
        }

        // Closes the connection as well: a response that may still come on it belongs to no other attempt.
        void cancel() {
            if (reserved_) return release(Outcome::cancelled);
            end_attempt(Outcome::cancelled);
        }

        // Reads first, because the response may have arrived unread while this process was delayed. A request that was
        // not written completely has not executed, so its attempt says nothing about the upstream.
        void expire() {
            if (reserved_) return release(Outcome::inconclusive);
            if (connected_) read();
            if (!key_) return;
            end_attempt(connected_ && machine_.request_written() ? Outcome::timeout : Outcome::inconclusive);
        }

        // The connection's timer: the connect time-out, the end of the reuse delay of a reserved connection, or the idle
        // time-out of an idle one.
        void on_timer() {
            timer_.reset();
            if (closed_) return;
            if (reserved_) return send_reserved();
            if (!key_) return owner_.discard(shared_from_this());
            // A writable socket is connected, and its completion handler has not run yet because this process was
            // delayed. The upstream must not be blamed for that.
            if (!loop::writable(socket_)) end_attempt(Outcome::connect_failed);
        }

        // Memory of a response that is being received; zero: none.
        std::size_t response_bytes() const {
            return connected_ && key_ && machine_.receiving() ? charge_.bytes() : 0;
        }
        // Frees what the connection holds. The request may have executed.
        void give_up() { end_attempt(Outcome::error); }

        void become_idle() {
            since_ = owner_.clock_.now();
            charge_.set(machine_.held_bytes());
            if (const auto limit = owner_.idle_limit()) arm(since_ + *limit);
        }

        void close() {
            if (closed_) return;
            closed_ = true;
            charge_.set(0);
            key_.reset();
            reserved_.reset();
            disarm();
            error_code ignored;
            socket_.close(ignored);
            --owner_.budget_.open;
        }

    private:
        void begin(const core::Attempt& attempt) {
            key_ = attempt.key;
            since_ = owner_.clock_.now();
            expires_ = attempt.expires;
            payload_ = std::static_pointer_cast<RequestPayload>(attempt.payload);
        }

        void send_reserved() {
            const auto self = shared_from_this();
            // The upstream may have begun to drain meanwhile; it must get no new work.
            owner_.core_.apply_pending_lists();
            if (closed_ || !reserved_) return;
            if (!owner_.takes_work(upstream_, address_)) {
                release(Outcome::inconclusive);
            } else if (!has_no_unread_data()) {
                owner_.discard(self);
            } else {
                reuse(*take_reservation());
            }
        }

        // Ends the attempt of a reservation and returns the connection to the pool.
        void release(Outcome outcome) {
            const auto self = shared_from_this();
            const core::AttemptKey key = take_reservation()->key;
            disarm();
            owner_.attempts_.erase(key);
            owner_.return_to_pool(self);
            owner_.report_unsent(key, outcome);
        }

        // Sends the request with the time that is left now: establishing the connection may have taken long. Each
        // attempt updates the message, which all attempts of the request share.
        void send_request() {
            Request& message = payload_->message;
            set_budget(message, expires_ - owner_.clock_.now());
            (void)machine_.begin(to_bytes(message), message.method == "HEAD");
            charge_.set(machine_.held_bytes());
            if (!owner_.options_.keep_error_responses) payload_.reset();
            write();
        }

        void connected(const error_code& failed) {
            disarm();
            if (failed) return end_attempt(Outcome::connect_failed, loop::is_local_resource_error(failed));
            // The upstream may have begun to drain while the connection was being established; it must get no new work.
            owner_.core_.apply_pending_lists();
            if (closed_ || !key_) return;
            if (!owner_.takes_work(upstream_, address_)) return end_attempt(Outcome::inconclusive);
            connected_ = true;
            await_read();
            send_request();
        }

        void write() {
            const std::string_view output = machine_.output();
            if (output.empty() || write_blocked_) return;
            if (!owner_.core_.on_attempt_sending(*key_)) return end_attempt(Outcome::inconclusive);
            const loop::Written written = loop::write_some(socket_, output);
            machine_.wrote(written.bytes);
            charge_.set(machine_.held_bytes());
            if (written.broken) return handle_result(machine_.reset());
            if (written.bytes == output.size()) return;
            write_blocked_ = true;
            socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
                self->write_blocked_ = false;
                if (!error && !self->closed_ && self->key_) self->write();
            });
        }

        void await_read() {
            if (read_pending_) return;
            read_pending_ = true;
            socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
                self->read_pending_ = false;
                if (error || self->closed_) return;
                self->read();
                if (!self->closed_) self->await_read();
            });
        }

        void read() {
            std::array<char, read_buffer_bytes> buffer;
            while (!closed_) {
                const loop::Read received = loop::read_some(socket_, buffer);
                switch (received.kind) {
                    case loop::Read::Kind::nothing: return;
                    case loop::Read::Kind::bytes: receive(received.bytes); break;
                    case loop::Read::Kind::end: return handle_result(machine_.receive_end());
                    case loop::Read::Kind::broken: return handle_result(machine_.reset());
                }
                if (received.bytes.size() < buffer.size()) return;
            }
        }

        void receive(std::string_view bytes) {
            handle_result(machine_.receive(bytes));
            if (!closed_) (void)charge_.settle(machine_.held_bytes());
        }

        void handle_result(std::optional<ClientResult> result) {
            if (!result) return;
            switch (result->kind) {
                case ClientResult::Kind::answered: return on_response(*result);
                // The upstream is up, unlike after a reset.
                case ClientResult::Kind::malformed: return end_attempt(Outcome::error);
                case ClientResult::Kind::never_executed: return end_attempt(Outcome::connect_failed);
                case ClientResult::Kind::may_have_executed: return end_attempt(Outcome::reset);
                case ClientResult::Kind::unsolicited: return owner_.discard(shared_from_this());
            }
        }

        void on_response(ClientResult& result) {
            const auto self = shared_from_this();
            core::AttemptResult attempt_result;
            attempt_result.key = *key_;
            attempt_result.outcome = owner_.options_.classify_response
                                         ? owner_.options_.classify_response(result.answer)
                                         : outcome_of(result.answer);
            attempt_result.fully_sent = machine_.request_written();
            attempt_result.latency = owner_.clock_.now() - since_;
            if (attempt_result.outcome == Outcome::ok)
                attempt_result.latency = std::max(attempt_result.latency, owner_.options_.latency_floor);
            attempt_result.report = report_of(result.answer, owner_.options_.report_fields);
            if (attempt_result.outcome == Outcome::ok) {
                attempt_result.answer = std::make_unique<ResponsePayload>(std::move(result.answer));
            } else if (payload_) {
                payload_->error_response = std::move(result.answer);
            }
            payload_.reset();
            key_.reset();
            owner_.attempts_.erase(attempt_result.key);
            if (result.reusable) {
                owner_.return_to_pool(self);
            } else {
                close();
            }
            owner_.core_.on_attempt_end(std::move(attempt_result));
        }

        void end_attempt(Outcome outcome, bool own_fault = false) {
            const auto self = shared_from_this();
            core::AttemptResult result;
            result.key = *key_;
            result.outcome = outcome;
            result.local_failure = own_fault;
            result.fully_sent = connected_ && machine_.request_written();
            result.latency = owner_.clock_.now() - since_;
            if (payload_ && owner_.options_.keep_error_responses)
                payload_->error_response.reset();  // of an earlier attempt
            payload_.reset();
            owner_.attempts_.erase(result.key);
            close();
            owner_.core_.on_attempt_end(std::move(result));
        }

        void arm(Time at) {
            disarm();
            timer_ = owner_.set_timer(at, weak_from_this());
        }
        void disarm() {
            if (timer_) owner_.timers_.remove(*timer_);
            timer_.reset();
        }

        Impl& owner_;
        overload::MemoryCharge charge_;
        const UpstreamId upstream_;
        const tcp::endpoint address_;
        tcp::socket socket_;
        ClientMachine machine_;
        // Until sent; with keep_error_responses until the attempt ends.
        std::shared_ptr<RequestPayload> payload_;
        Time expires_{};                         // deadline of the attempt
        std::optional<core::AttemptKey> key_;    // of the attempt in progress; empty while idle
        std::optional<core::Attempt> reserved_;  // sent when the connection has been idle for `reuse_delay`
        std::optional<Timers::Handle> timer_;
        Time since_{};  // start of the attempt, or of the idle time
        bool connected_ = false;
        bool write_blocked_ = false;  // waiting for the socket to become writable
        bool read_pending_ = false;
        bool closed_ = false;
    };

    ConnectionPtr find_attempt(core::AttemptKey key) const {
        const auto found = attempts_.find(key);
        return found == attempts_.end() ? nullptr : found->second;
    }

    void report_unsent(core::AttemptKey key, Outcome outcome, bool own_fault = false) {
        core::AttemptResult result;
        result.key = key;
        result.outcome = outcome;
        result.local_failure = own_fault;
        core_.on_attempt_end(std::move(result));
    }

    bool takes_work(UpstreamId id, const tcp::endpoint& address) const {
        const auto found = upstreams_.find(id);
        return found != upstreams_.end() && found->second.takes_work && found->second.address == address;
    }

    // Takes the most recently used of the connections that have been idle for `reuse_delay`; null when there is none.
    // Skips connections with unread data or an unread end: a request written to one of them may be answered with
    // another request's response, or end in a reset after it has executed.
    ConnectionPtr take_idle(Upstream& upstream) {
        const Time last_used_by = clock_.now() - options_.reuse_delay;
        const auto has_rested = [&](const ConnectionPtr& connection) {
            return connection->since() <= last_used_by;
        };
        while (!upstream.idle.empty() && has_rested(upstream.idle.front())) {
            const auto first_recent =
                std::partition_point(upstream.idle.begin(), upstream.idle.end(), has_rested);
            const auto chosen = std::prev(first_recent);
            const ConnectionPtr connection = std::move(*chosen);
            upstream.idle.erase(chosen);
            if (connection->has_no_unread_data()) return connection;
            connection->read_and_close();
        }
        return nullptr;
    }

    // Takes the connection that has been idle longest, when none has been idle for `reuse_delay`; null when none is idle,
    // or requests have waited too long already. Waiting costs the upstream nothing, a new connection does.
    ConnectionPtr take_first_to_rest(Upstream& upstream) const {
        if (upstream.idle.empty()) return nullptr;
        const auto limit = idle_limit();
        if (limit && *limit <= options_.reuse_delay) return nullptr;
        const Time now = clock_.now();
        const Micros wait = upstream.idle.front()->since() + options_.reuse_delay - now;
        if (!upstream.waits.take(now, wait, options_.reuse_wait_burst)) return nullptr;
        ConnectionPtr connection = std::move(upstream.idle.front());
        upstream.idle.erase(upstream.idle.begin());
        return connection;
    }

    // Time after which an idle connection is closed.
    std::optional<Micros> idle_limit() const {
        if (options_.upstream_idle_timeout <= Micros{0}) return std::nullopt;
        return Micros(
            std::llround(static_cast<double>(options_.upstream_idle_timeout.count()) * idle_limit_fraction));
    }

    // Ensures that another connection may be opened; at the limit, evicts the connection idle longest.
    bool ensure_capacity() { return budget_.open < budget_.max_open || evict_oldest_idle(); }

    bool evict_oldest_idle() {
        ConnectionPtr oldest;
        for (const auto& [id, upstream] : upstreams_) {
            if (upstream.idle.empty()) continue;
            if (!oldest || upstream.idle.front()->since() < oldest->since()) oldest = upstream.idle.front();
        }
        if (!oldest) return false;
        discard(oldest);
        return true;
    }

    // Returns a connection to the pool. Closes it if the upstream was removed or its address has changed: it must not
    // serve the upstream that follows.
    void return_to_pool(const ConnectionPtr& connection) {
        const auto found = upstreams_.find(connection->upstream());
        if (found == upstreams_.end() || found->second.address != connection->address())
            return connection->close();
        connection->become_idle();
        found->second.idle.push_back(connection);
    }

    // Closes an idle connection. The attempt that it was reserved for is sent on another one.
    void discard(const ConnectionPtr& connection) {
        const ConnectionPtr held = connection;
        const auto found = upstreams_.find(held->upstream());
        if (found != upstreams_.end()) std::erase(found->second.idle, held);
        const std::optional<core::Attempt> reserved = held->take_reservation();
        held->close();
        if (!reserved) return;
        attempts_.erase(reserved->key);
        send(*reserved);
    }

    Timers::Handle set_timer(Time at, std::weak_ptr<Connection> of) {
        const auto first = timers_.next();
        const auto handle = timers_.set(at, std::move(of));
        if (!first || at < *first) alarm_.set(at);
        return handle;
    }

    void run_timers() {
        const Time now = clock_.now();
        while (const auto due = timers_.take(now)) {
            if (const ConnectionPtr connection = due->lock()) connection->on_timer();
        }
        if (const auto next = timers_.next()) alarm_.set(*next);
    }

    Connection* find_largest() const {
        Connection* largest = nullptr;
        std::size_t most = 0;
        for (const auto& [key, connection] : attempts_) {
            const std::size_t bytes = connection->response_bytes();
            if (bytes <= most) continue;
            most = bytes;
            largest = connection.get();
        }
        return largest;
    }

    loop::Executor loop_;
    core::Core& core_;
    const loop::Clock& clock_;
    ConnectionLimit& budget_;
    ConnectionPoolOptions options_;
    overload::MemoryBudget* const memory_;  // null: no limit
    const overload::HolderRegistration holder_;
    std::unordered_map<UpstreamId, Upstream> upstreams_;
    std::map<core::AttemptKey, ConnectionPtr> attempts_;
    Timers timers_;
    loop::Alarm alarm_;
};

UpstreamConnectionPool::UpstreamConnectionPool(const loop::Executor& loop, core::Core& core,
                                               const loop::Clock& clock, ConnectionLimit& budget,
                                               ConnectionPoolOptions options, overload::MemoryBudget* memory)
    : impl_(std::make_shared<Impl>(loop, core, clock, budget, std::move(options), memory)) {}
UpstreamConnectionPool::~UpstreamConnectionPool() { impl_->stop(); }

void UpstreamConnectionPool::set_upstream(UpstreamId upstream, const std::string& address, bool takes_work) {
    impl_->set_upstream(upstream, address, takes_work);
}
void UpstreamConnectionPool::remove_upstream(UpstreamId upstream) { impl_->remove_upstream(upstream); }
void UpstreamConnectionPool::send(core::Attempt attempt) { impl_->send(std::move(attempt)); }
void UpstreamConnectionPool::cancel(core::AttemptKey attempt) { impl_->cancel(attempt); }
void UpstreamConnectionPool::expire(core::AttemptKey attempt) { impl_->expire(attempt); }
void UpstreamConnectionPool::close_idle(UpstreamId upstream) { impl_->close_idle(upstream); }
void UpstreamConnectionPool::set_options(ConnectionPoolOptions options) {
    impl_->set_options(std::move(options));
}
std::size_t UpstreamConnectionPool::idle() const { return impl_->idle(); }
std::size_t UpstreamConnectionPool::known() const { return impl_->known(); }

}  // namespace flaxdoor::http
