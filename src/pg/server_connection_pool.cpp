#include "pg/server_connection_pool.h"

#include <openssl/rand.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "loop/sockets.h"
#include "pg/alarms.h"
#include "pg/stream.h"
#include "pg/unit.h"

namespace flaxdoor::pg {

using loop::error_code;

namespace {

std::string random_nonce() {
    std::string bytes(18, '\0');
    RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    return base64(bytes);
}

}  // namespace

class ServerConnectionPool::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(const loop::Executor& executor, core::Core& core, const loop::Clock& clock, LoginGate& gate,
         ServerBudget& budget, Secrets& secrets, ServerConnectionPoolOptions options)
        : executor_(executor),
          core_(core),
          clock_(clock),
          budget_(budget),
          secrets_(secrets),
          options_(std::move(options)),
          pool_(gate, options_.pool),
          timers_(executor, clock),
          pool_timer_(timers_) {}

    void set_upstream(UpstreamId id, const std::string& address, bool takes_work) {
        Upstream& upstream = upstreams_[id];
        const bool moved = !upstream.address_text.empty() && upstream.address_text != address;
        const bool stops = upstream.takes_work && !takes_work;
        upstream.address_text = address;
        upstream.address = loop::parse_endpoint(address);
        upstream.takes_work = takes_work;
        if (moved || stops) drain(id);
        if (takes_work) end_drain(id);
        pool_.set_server(id, address, takes_work);
        if (takes_work) release_role_watches(id);
        run();
    }

    void remove_upstream(UpstreamId id) {
        drain(id);
        keep_role_watch(id);
        upstreams_.erase(id);
        pool_.remove_server(id);
        run();
    }

    void send(const core::Attempt& attempt) {
        const auto client = static_cast<ClientPayload&>(*attempt.payload).client.lock();
        if (!client) return end(attempt.key, Outcome::inconclusive, false);
        client->on_placed();
        if (ServerLink* const required = client->required_link()) {
            Connection& connection = static_cast<Connection&>(*required);
            if (connection.upstream() != attempt.upstream)
                return end(attempt.key, Outcome::inconclusive, false);
            if (connection.takes_work()) return connection.serve(attempt.key, client);
            return leave_server(attempt, connection, client);
        }
        waiting_clients_[attempt.key] = client;
        pool_.request_connection(attempt.key, attempt.upstream, client->user(), clock_.now());
        run();
    }

    void cancel(core::AttemptKey key) {
        if (pool_.cancel_request(key)) return end(key, Outcome::cancelled, false);
        if (const auto connection = connection_for(key))
            connection->withdraw(Outcome::cancelled, LossCause::connection_lost);
    }

    void expire(core::AttemptKey key) {
        if (pool_.cancel_request(key)) return end(key, Outcome::inconclusive, false);
        const auto connection = connection_for(key);
        if (!connection) return;
        connection->read_now();  // the answer may have arrived without having been read
        if (connection_for(key)) connection->withdraw(Outcome::timeout, LossCause::time_limit);
    }

    void close_idle(UpstreamId id) {
        pool_.close_idle(id);
        run();
    }

    void set_options(ServerConnectionPoolOptions options) {
        options_ = std::move(options);
        pool_.set_limits(options_.pool);
    }

    void on_gate() {
        pool_.on_gate();
        run();
    }
    void on_login_end(std::function<void()> call) { login_end_callback_ = std::move(call); }
    void on_role(std::function<void(UpstreamId, bool)> call) { role_callback_ = std::move(call); }

    const std::map<std::string, ServerMachine::Reported>* parameters() const {
        return parameters_.empty() ? nullptr : &parameters_;
    }
    const std::string& login_error() const { return login_error_; }
    std::size_t links() const { return connections_.size(); }
    std::size_t waiting() const { return pool_.waiting(); }

    void stop() {
        stopped_ = true;
        const auto connections = std::move(connections_);
        connections_.clear();
        for (const auto& [id, connection] : connections) connection->close();
        const auto cancels = std::move(cancel_requests_);
        cancel_requests_.clear();
        for (const auto& each : cancels) each->close();
    }

private:
    struct Upstream {
        std::string address_text;
        loop::tcp::endpoint address;
        bool takes_work = true;
    };

    // A connection that sends one cancel request. The server closes it once it has signalled the backend.
    class CancelRequest;

    class Connection final : public ServerLink,
                             public StreamOwner,
                             public std::enable_shared_from_this<Connection> {
    public:
        Connection(Impl& owner, ConnectionId id, UpstreamId upstream, const std::string& user,
                   Upstream target)
            : owner_(owner),
              id_(id),
              upstream_(upstream),
              target_(std::move(target)),
              machine_(owner.server_options(user)),
              stream_(std::make_shared<Stream>(owner.executor_, *this)),
              timer_(owner.timers_),
              drain_timer_(owner.timers_) {
            ++owner_.budget_.open;
        }

        void open() {
            const auto self = shared_from_this();
            timer_.after(owner_.options_.login_limit,
                         [this] { login_failed("", "the login took too long"); });
            stream_->connect(target_.address);
        }

        // --- Client units ---

        void serve(core::AttemptKey key, const std::shared_ptr<LinkedClient>& client) {
            const auto self = shared_from_this();
            attempt_ = key;
            client_ = client;
            served_since_ = owner_.clock_.now();
            answer_latency_ = Micros{0};
            owner_.connections_by_attempt_[key] = self;
            if (wrong_role_) {
                // The server reports in_hot_standby at the end of a query, not while it is idle.
                checking_role_ = true;
                machine_.internal_query("");
                return flush();
            }
            begin_unit();
        }

        void begin_unit() {
            const core::AttemptKey key = *attempt_;
            const auto client = client_.lock();
            if (!client) return end_unsent(Outcome::inconclusive);
            if (!owner_.core_.on_attempt_sending(key)) return end_unsent(Outcome::inconclusive);
            if (!client->on_link(*this)) return end_unsent(Outcome::inconclusive);
            flush();
            client->after_server();
        }

        // Ends an attempt for which nothing was sent.
        void end_unsent(Outcome outcome) {
            const auto client = client_.lock();
            const bool was_required = client && client->required_link() == this;
            end_attempt(outcome, false);
            if (was_required || closed_) return;
            client_.reset();
            owner_.pool_.on_free(id_, owner_.clock_.now());
            owner_.run();
        }

        ServerMachine& machine() override { return machine_; }
        UpstreamId upstream() const override { return upstream_; }
        bool takes_work() const override { return owner_.takes_work(upstream_, target_.address_text); }
        void flush() override {
            if (closed_) return;
            // Nothing may come from the server that would have it processed.
            if (machine_.has_local_answer() && !pumping_) return pump();
            stream_->flush();
        }
        void resume() override {
            if (!closed_) stream_->pause(false);
        }
        void started() override {
            answer_latency_ = owner_.clock_.now() - served_since_;
            if (attempt_) owner_.core_.on_attempt_started(*attempt_, answer_latency_, nullptr);
        }
        void served() override {
            if (attempt_) end_attempt(Outcome::ok, true);
        }

        void release(bool dirty) override {
            client_.reset();
            dirty_ = dirty_ || dirty;
            if (pumping_) {
                return_due_ = true;  // events behind the last answer are processed first
            } else {
                try_return_to_pool();
            }
        }

        void cancel() override { owner_.send_cancel(shared_from_this()); }

        void abandon(Outcome outcome) override {
            const auto self = shared_from_this();
            const bool may_have_executed = machine_.may_have_run();
            client_.reset();
            dirty_ = true;
            if (attempt_)
                end_attempt(
                    outcome == Outcome::timeout && !may_have_executed ? Outcome::inconclusive : outcome,
                    may_have_executed);
            await_end();
        }

        // The attempt is withdrawn, by the core or since the server may not run it.
        void withdraw(Outcome outcome, LossCause cause) {
            const auto self = shared_from_this();
            const core::AttemptKey key = detach_attempt();
            const auto client = detach_client();
            const LossReport loss = client ? client->on_server_lost(cause) : LossReport{};
            dirty_ = true;
            const bool may_have_executed = loss.may_have_run || loss.answer_started;
            report_end(key,
                       may_have_executed || outcome == Outcome::cancelled ? outcome : Outcome::inconclusive,
                       may_have_executed);
            await_end();
            if (client) client->after_server();
        }

        // The connection serves no client; it stays open to receive the role that the server reports.
        bool is_role_watch() const { return role_watch_; }
        void set_role_watch(bool watch) { role_watch_ = watch; }

        // The server drains, or has another address: the client is ended at the limit, counted from the first
        // call.
        void begin_drain(Micros limit) {
            if (drain_timer_.is_set()) return;
            drain_timer_.after(limit, [this] { notify_drain(true); });
            notify_drain(false);
        }
        void end_drain() { drain_timer_.clear(); }
        void read_now() { stream_->read_now(); }
        UpstreamId upstream_id() const { return upstream_; }

        void cancel_ended(bool delivered) {
            --pending_cancels_;
            if (closed_) return;
            if (!delivered) cancel_undelivered_ = true;
            if (client_.expired() || awaiting_end_) try_return_to_pool();
        }
        void cancel_begun() { ++pending_cancels_; }
        const Upstream& target() const { return target_; }
        ConnectionId id() const { return id_; }

        void close() {
            if (closed_) return;
            closed_ = true;
            timer_.clear();
            drain_timer_.clear();
            // Prevents an effect after the attempt has ended: output that was not written was reported as not
            // executed.
            if (machine_.is_idle() && machine_.output().empty()) {
                machine_.terminate();
                stream_->flush();
            }
            stream_->close();
            --owner_.budget_.open;
        }

    private:
        void notify_drain(bool at_limit) {
            if (const auto client = client_.lock()) client->on_drain(at_limit);
        }

        // --- Stream events ---

        void on_connected(const error_code& error) override {
            const auto self = shared_from_this();
            if (closed_) return;
            if (error && loop::is_local_resource_error(error))
                return login_ended(LoginResult::local_failure, "own want: " + error.message());
            if (error) return login_failed("", "it can't be reached: " + error.message());
            stream_->begin();
            stream_->flush();
        }

        void on_bytes(std::string_view bytes) override {
            const auto self = shared_from_this();
            machine_.receive(bytes);
            pump();
        }

        void on_end(const std::string& why) override {
            const auto self = shared_from_this();
            if (machine_.state() != ServerState::up)
                return login_failed("", why.empty() ? "it closed the connection" : why);
            on_lost();
        }

        void on_secured() override {
            machine_.secured();
            stream_->flush();
        }
        std::string_view pending() override { return machine_.output(); }
        void wrote(std::size_t bytes) override { machine_.wrote(bytes); }
        void on_drained() override {
            if (const auto client = client_.lock()) client->after_server();
        }

        void pump() {
            const auto served = client_.lock();  // the client may be unlinked once its answer is complete
            pumping_ = true;
            process_events();
            pumping_ = false;
            if (!closed_) check_role_change();
            if (!closed_ && std::exchange(return_due_, false)) try_return_to_pool();
            if (!closed_) stream_->flush();
            if (served) served->after_server();
            if (closed_) return;
            const auto client = client_.lock();
            if (client && client != served) client->after_server();
            if (!closed_ && !client_.expired() && client->is_output_full()) stream_->pause(true);
            if (!closed_ && !client && awaiting_end_) try_return_to_pool();
        }

        // The empty query has ended, and with it the server has reported its current role.
        void on_role_checked() {
            checking_role_ = false;
            wrong_role_ = owner_.wrong_role(machine_);
            if (!attempt_) return;  // the attempt was withdrawn meanwhile
            // A server that has started to drain meanwhile gets no unit: the unit counts as new work although
            // it was placed before.
            if (!wrong_role_ && !takes_work()) return end_unsent(Outcome::inconclusive);
            if (!wrong_role_) return begin_unit();
            const core::AttemptKey key = detach_attempt();
            const auto client = detach_client();
            const bool was_required = client && client->required_link() == this;
            role_watch_ = true;
            owner_.report_role(upstream_, false);
            if (was_required) (void)client->on_server_lost(LossCause::draining);
            report_end(key, Outcome::inconclusive, false, client);
            if (was_required) discard();  // the client's session state is left at the server
        }

        void check_role_change() {
            if (checking_role_) return;
            if (machine_.state() != ServerState::up || owner_.wrong_role(machine_) == wrong_role_) return;
            wrong_role_ = !wrong_role_;
            owner_.report_role(upstream_, !wrong_role_);
        }

        void process_events() {
            while (!closed_) {
                const auto event = machine_.next();
                if (!event) break;
                switch (event->kind) {
                    case ServerEvent::Kind::begin_tls: begin_tls(); break;
                    case ServerEvent::Kind::logged_in: logged_in(); break;
                    case ServerEvent::Kind::failed: return login_failed(event->code, event->text);
                    case ServerEvent::Kind::broken: return on_lost();
                    case ServerEvent::Kind::internal_query_done:
                        if (checking_role_) {
                            on_role_checked();
                            break;
                        }
                        if (resetting_) {
                            on_reset(event->code.empty());
                            break;
                        }
                        // Only now is the unit itself sent, so a server that has started to drain meanwhile
                        // does not get it.
                        if (attempt_ && !takes_work()) {
                            withdraw(Outcome::inconclusive, LossCause::draining);
                            break;
                        }
                        [[fallthrough]];
                    default:
                        if (const auto client = client_.lock()) client->on_server(*event);
                }
            }
        }

        void begin_tls() {
            const auto& context = owner_.options_.context;
            if (!context) return login_failed("", "TLS is not set up");
            const bool verify = owner_.options_.tls == ServerOptions::Tls::verify_full;
            const auto name = owner_.options_.names.find(upstream_);
            std::string wanted;
            if (verify)
                wanted = name == owner_.options_.names.end() ? target_.address.address().to_string()
                                                             : name->second;
            stream_->secure(std::make_unique<tls::Channel>(context, wanted));
        }

        // --- Login ---

        void logged_in() {
            timer_.clear();
            owner_.login_error_.clear();
            owner_.parameters_ = machine_.parameters();
            wrong_role_ = owner_.wrong_role(machine_);
            role_watch_ = wrong_role_;
            owner_.pool_.on_login(id_, wrong_role_ ? LoginResult::reserved : LoginResult::succeeded,
                                  owner_.clock_.now());
            if (wrong_role_) owner_.report_role(upstream_, false);
            owner_.on_login_over();
        }

        void login_failed(const std::string& code, const std::string& text) {
            const bool full = code == "53300" || code == "53400";
            login_ended(full ? LoginResult::full : LoginResult::unreachable,
                        (code.empty() ? "" : code + " ") + text);
        }

        void login_ended(LoginResult result, const std::string& text) {
            if (closed_) return;
            const auto self = shared_from_this();
            owner_.login_error_ = "login failed: " + text;
            remove();
            owner_.pool_.on_login(id_, result, owner_.clock_.now());
            owner_.on_login_over();
        }

        // --- End of the connection or of an attempt ---

        // The connection is closed, whatever it was doing.
        void on_lost() {
            const auto self = shared_from_this();
            const bool attempted = attempt_.has_value();
            const core::AttemptKey key = attempted ? detach_attempt() : core::AttemptKey{};
            const auto client = detach_client();
            const LossReport loss =
                client ? client->on_server_lost(LossCause::connection_lost) : LossReport{};
            remove();
            owner_.pool_.on_closed(id_);
            const bool may_have_executed = loss.may_have_run || loss.answer_started;
            if (attempted)
                report_end(key, may_have_executed ? Outcome::reset : Outcome::connect_failed,
                           may_have_executed, may_have_executed ? nullptr : client);
            if (client) client->after_server();
            owner_.run();
        }

        void remove() {
            close();
            owner_.connections_.erase(id_);
            // No connection is left on which the server could report its role.
            if (role_watch_) owner_.report_role(upstream_, true);
        }

        void discard() {
            const auto self = shared_from_this();
            remove();
            owner_.pool_.on_closed(id_);
            owner_.run();
        }

        // Ends the linked attempt.
        void end_attempt(Outcome outcome, bool whole, const std::shared_ptr<LinkedClient>& unsent = nullptr) {
            report_end(detach_attempt(), outcome, whole, unsent);
        }

        // Unlinks the attempt, whose end is yet to be reported: the core can no longer withdraw it.
        core::AttemptKey detach_attempt() {
            const core::AttemptKey key = *attempt_;
            attempt_.reset();
            owner_.connections_by_attempt_.erase(key);
            return key;
        }

        std::shared_ptr<LinkedClient> detach_client() {
            auto client = client_.lock();
            client_.reset();
            return client;
        }

        void report_end(core::AttemptKey key, Outcome outcome, bool whole,
                        const std::shared_ptr<LinkedClient>& unsent = nullptr) {
            if (unsent) owner_.waiting_clients_[key] = unsent;
            // Successful attempts are measured until their answer began, because the client determines how
            // long a transaction stays open.
            const Micros latency = outcome == Outcome::ok
                                       ? std::max(answer_latency_, owner_.options_.latency_floor)
                                       : owner_.clock_.now() - served_since_;
            owner_.end(key, outcome, whole, latency);
        }

        // No client is linked any more. The connection is reused once the remaining answers have arrived.
        void await_end() {
            if (closed_) return;
            awaiting_end_ = true;
            if (checking_role_) return;  // on_role_checked() continues
            stream_->pause(false);
            if (!machine_.output().empty()) return discard();
            if (!machine_.is_idle()) {
                if (!machine_.ready_will_follow()) return discard();
                owner_.send_cancel(shared_from_this());
                timer_.after(owner_.options_.cancel_limit, [this] { discard(); });
            }
            try_return_to_pool();
        }

        // Returns the connection to the pool once nothing of the latest unit is left.
        void try_return_to_pool() {
            if (closed_ || resetting_) return;
            const auto self = shared_from_this();
            if (machine_.is_idle() && machine_.status() != 'I') return discard();
            // This function is called again after the next event.
            if (!machine_.is_idle() || !machine_.between_messages() || pending_cancels_ > 0) {
                awaiting_end_ = true;
                if (!timer_.is_set()) timer_.after(owner_.options_.cancel_limit, [this] { discard(); });
                return;
            }
            if (cancel_undelivered_) return discard();
            awaiting_end_ = false;
            timer_.clear();
            if (!dirty_) {
                owner_.pool_.on_free(id_, owner_.clock_.now());
                return owner_.run();
            }
            resetting_ = true;
            machine_.internal_query("DISCARD ALL");
            timer_.after(owner_.options_.cancel_limit, [this] { discard(); });
            stream_->flush();
        }

        void on_reset(bool clean) {
            resetting_ = false;
            if (!clean) return discard();
            dirty_ = false;
            timer_.clear();
            try_return_to_pool();
        }

        Impl& owner_;
        const ConnectionId id_;
        const UpstreamId upstream_;
        const Upstream target_;
        ServerMachine machine_;
        std::shared_ptr<Stream> stream_;
        TimerSet::Timer timer_, drain_timer_;
        std::weak_ptr<LinkedClient> client_;
        std::optional<core::AttemptKey> attempt_;
        Time served_since_{};
        Micros answer_latency_{};
        int pending_cancels_ = 0;
        bool cancel_undelivered_ = false;
        bool dirty_ = false, awaiting_end_ = false, resetting_ = false, closed_ = false;
        bool pumping_ = false, return_due_ = false;
        bool checking_role_ = false;  // the server's role is checked before a unit begins
        // wrong_role_: the server has the wrong role. role_watch_: the connection is kept to learn when that
        // changes.
        bool wrong_role_ = false, role_watch_ = false;
    };

    class CancelRequest final : public StreamOwner, public std::enable_shared_from_this<CancelRequest> {
    public:
        CancelRequest(Impl& owner, std::shared_ptr<Connection> connection)
            : owner_(owner),
              connection_(std::move(connection)),
              stream_(std::make_shared<Stream>(owner.executor_, *this)),
              timer_(owner.timers_) {
            write_cancel(out_, connection_->machine().key());
            ++owner_.budget_.open;
            connection_->cancel_begun();
        }

        void open() {
            timer_.after(owner_.options_.cancel_limit, [this] { end(false); });
            stream_->connect(connection_->target().address);
        }
        void close() {
            if (!connection_) return;
            connection_.reset();
            timer_.clear();
            stream_->close();
            --owner_.budget_.open;
        }

    private:
        void on_connected(const error_code& error) override {
            if (error) return end(true);  // the request was not sent
            stream_->begin();
            stream_->flush();
        }
        void on_bytes(std::string_view) override {}
        void on_end(const std::string&) override { end(true); }
        std::string_view pending() override { return out_; }
        void wrote(std::size_t bytes) override { out_.erase(0, bytes); }

        void end(bool delivered) {
            if (!connection_) return;
            const auto self = shared_from_this();
            const auto connection = connection_;
            close();
            owner_.cancel_requests_.erase(self);
            connection->cancel_ended(delivered);
        }

        Impl& owner_;
        std::shared_ptr<Connection> connection_;
        std::string out_;
        std::shared_ptr<Stream> stream_;
        TimerSet::Timer timer_;
    };

    // --- Operations for connections ---

    ServerOptions server_options(const std::string& user) {
        ServerOptions options;
        options.user = user;
        options.database = options_.database;
        const auto secret = secrets_.find(user);
        if (secret != secrets_.end() && !secret->second.password.empty()) options.secret = &secret->second;
        options.tls = options_.tls;
        options.nonce = random_nonce();
        options.limits.whole = options_.max_message;
        options.max_prepared = options_.max_prepared;
        return options;
    }

    // The client's server has been given another address, or drains: the unit is new work, which the connection
    // must not get. It is placed anew unless the session ends with its state at that server.
    void leave_server(const core::Attempt& attempt, Connection& connection,
                      const std::shared_ptr<LinkedClient>& client) {
        waiting_clients_[attempt.key] = client;
        (void)client->on_server_lost(LossCause::draining);
        connection.abandon(Outcome::inconclusive);
        end(attempt.key, Outcome::inconclusive, false);
        client->after_server();
    }

    bool wrong_role(const ServerMachine& machine) const {
        if (options_.role == Role::any) return false;
        return machine.is_standby() != (options_.role == Role::replica);
    }

    void report_role(UpstreamId id, bool right) {
        if (role_callback_ && !stopped_) role_callback_(id, right);
    }

    std::vector<std::shared_ptr<Connection>> connections_at(UpstreamId id) const {
        std::vector<std::shared_ptr<Connection>> all;
        for (const auto& [connection_id, connection] : connections_) {
            if (connection->upstream_id() == id) all.push_back(connection);
        }
        return all;
    }

    // Keeps one connection open to a server that has the wrong role.
    void keep_role_watch(UpstreamId id) {
        std::shared_ptr<Connection> watch;
        for (const auto& connection : connections_at(id)) {
            if (!wrong_role(connection->machine()) || connection->machine().state() != ServerState::up)
                continue;
            if (!watch && (connection->is_role_watch() || pool_.reserve(connection->id()))) {
                watch = connection;
                connection->set_role_watch(true);
            } else if (connection->is_role_watch()) {
                connection->set_role_watch(false);
                pool_.on_closed(connection->id());
                connections_.erase(connection->id());
                connection->close();
            }
        }
    }

    // The server is listed again: the connections that were kept to learn its role return to the pool.
    void release_role_watches(UpstreamId id) {
        for (const auto& connection : connections_at(id)) {
            if (!connection->is_role_watch()) continue;
            connection->set_role_watch(false);
            pool_.on_free(connection->id(), clock_.now());
        }
    }

    bool takes_work(UpstreamId id, const std::string& address) const {
        const auto found = upstreams_.find(id);
        return found != upstreams_.end() && found->second.takes_work && found->second.address_text == address;
    }

    void send_cancel(const std::shared_ptr<Connection>& connection) {
        if (budget_.open >= budget_.most) return;  // then the connection's time limit ends it
        const auto cancel = std::make_shared<CancelRequest>(*this, connection);
        cancel_requests_.insert(cancel);
        cancel->open();
    }

    void on_login_over() {
        run();
        if (login_end_callback_) login_end_callback_();
    }

    void end(core::AttemptKey key, Outcome outcome, bool whole, Micros latency = {}, bool own_fault = false) {
        const auto waiting = waiting_clients_.find(key);
        const auto client = waiting == waiting_clients_.end() ? nullptr : waiting->second.lock();
        waiting_clients_.erase(key);
        core::AttemptResult result;
        result.key = key;
        result.outcome = outcome;
        result.local_failure = own_fault;
        result.fully_sent = whole;
        result.latency = latency;
        if (!client) return core_.on_attempt_end(std::move(result));
        client->ended_unsent([&] { core_.on_attempt_end(std::move(result)); });
    }

    std::shared_ptr<Connection> connection_for(core::AttemptKey key) const {
        const auto found = connections_by_attempt_.find(key);
        return found == connections_by_attempt_.end() ? nullptr : found->second.lock();
    }

    void drain(UpstreamId id) {
        for (const auto& connection : connections_at(id)) connection->begin_drain(options_.drain_limit);
    }

    // The server takes work again, on the connections to its present address.
    void end_drain(UpstreamId id) {
        for (const auto& connection : connections_at(id)) {
            if (connection->takes_work()) connection->end_drain();
        }
    }

    // Performs the pool's actions one after another; a nested call returns at once.
    void run() {
        if (running_ || stopped_) return;
        const auto self = shared_from_this();
        running_ = true;
        while (const auto action = pool_.next()) perform(*action);
        running_ = false;
        if (const auto next = pool_.next_time()) {
            pool_timer_.set(*next, [this] {
                pool_.on_time(clock_.now());
                run();
            });
        } else {
            pool_timer_.clear();
        }
    }

    void perform(const PoolAction& action) {
        switch (action.kind) {
            case PoolAction::Kind::open: return open_connection(action);
            case PoolAction::Kind::end: return end(action.attempt, action.outcome, false);
            case PoolAction::Kind::close: {
                const auto found = connections_.find(action.connection);
                if (found == connections_.end()) return;
                const auto connection = found->second;
                connections_.erase(found);
                return connection->close();
            }
            case PoolAction::Kind::link: {
                const auto found = connections_.find(action.connection);
                const auto wanted = waiting_clients_.find(action.attempt);
                const auto client = wanted == waiting_clients_.end() ? nullptr : wanted->second.lock();
                if (found != connections_.end() && client) {
                    waiting_clients_.erase(wanted);
                    const auto connection = found->second;
                    return connection->serve(action.attempt, client);
                }
                end(action.attempt, Outcome::inconclusive, false);
                if (found != connections_.end()) pool_.on_free(action.connection, clock_.now());
                return;
            }
        }
    }

    void open_connection(const PoolAction& action) {
        const auto target = upstreams_.find(action.upstream);
        if (target == upstreams_.end())
            return pool_.on_login(action.connection, LoginResult::unreachable, clock_.now());
        if (budget_.open >= budget_.most) {
            const auto oldest = pool_.longest_idle();
            const auto found = oldest ? connections_.find(*oldest) : connections_.end();
            if (found == connections_.end())
                return pool_.on_login(action.connection, LoginResult::local_failure, clock_.now());
            const auto connection = found->second;
            connections_.erase(found);
            connection->close();
            pool_.on_closed(*oldest);
        }
        const auto connection = std::make_shared<Connection>(*this, action.connection, action.upstream,
                                                             action.user, target->second);
        connections_[action.connection] = connection;
        connection->open();
    }

    const loop::Executor executor_;
    core::Core& core_;
    const loop::Clock& clock_;
    ServerBudget& budget_;
    Secrets& secrets_;
    ServerConnectionPoolOptions options_;
    Pool pool_;
    TimerSet timers_;
    TimerSet::Timer pool_timer_;
    std::unordered_map<UpstreamId, Upstream> upstreams_;
    std::unordered_map<ConnectionId, std::shared_ptr<Connection>> connections_;
    std::set<std::shared_ptr<CancelRequest>> cancel_requests_;
    // Clients of the attempts that wait in the pool's queues.
    std::map<core::AttemptKey, std::weak_ptr<LinkedClient>> waiting_clients_;
    // Connections of the attempts that are linked.
    std::map<core::AttemptKey, std::weak_ptr<Connection>> connections_by_attempt_;
    std::map<std::string, ServerMachine::Reported> parameters_;
    std::string login_error_;
    std::function<void()> login_end_callback_;
    std::function<void(UpstreamId, bool)> role_callback_;
    bool running_ = false, stopped_ = false;
};

ServerConnectionPool::ServerConnectionPool(const loop::Executor& executor, core::Core& core,
                                           const loop::Clock& clock, LoginGate& gate, ServerBudget& budget,
                                           Secrets& secrets, ServerConnectionPoolOptions options)
    : impl_(std::make_shared<Impl>(executor, core, clock, gate, budget, secrets, std::move(options))) {}
ServerConnectionPool::~ServerConnectionPool() { impl_->stop(); }

void ServerConnectionPool::set_upstream(UpstreamId upstream, const std::string& address, bool takes_work) {
    impl_->set_upstream(upstream, address, takes_work);
}
void ServerConnectionPool::remove_upstream(UpstreamId upstream) { impl_->remove_upstream(upstream); }
void ServerConnectionPool::send(core::Attempt attempt) { impl_->send(attempt); }
void ServerConnectionPool::cancel(core::AttemptKey attempt) { impl_->cancel(attempt); }
void ServerConnectionPool::expire(core::AttemptKey attempt) { impl_->expire(attempt); }
void ServerConnectionPool::close_idle(UpstreamId upstream) { impl_->close_idle(upstream); }
void ServerConnectionPool::set_options(ServerConnectionPoolOptions options) {
    impl_->set_options(std::move(options));
}
void ServerConnectionPool::on_gate() { impl_->on_gate(); }
void ServerConnectionPool::on_login_end(std::function<void()> call) { impl_->on_login_end(std::move(call)); }
void ServerConnectionPool::on_role(std::function<void(UpstreamId, bool)> call) {
    impl_->on_role(std::move(call));
}
const std::map<std::string, ServerMachine::Reported>* ServerConnectionPool::parameters() const {
    return impl_->parameters();
}
const std::string& ServerConnectionPool::login_error() const { return impl_->login_error(); }
std::size_t ServerConnectionPool::links() const { return impl_->links(); }
std::size_t ServerConnectionPool::waiting() const { return impl_->waiting(); }

}  // namespace flaxdoor::pg
