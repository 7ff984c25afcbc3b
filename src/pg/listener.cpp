#include "pg/listener.h"

#include <openssl/rand.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <unordered_map>
#include <utility>

#include "pg/alarms.h"
#include "pg/line.h"
#include "pg/stream.h"
#include "pg/text.h"
#include "pg/unit.h"

namespace flaxdoor::pg {

using loop::error_code;
using loop::tcp;

namespace {

// While more output than this is buffered for a client, its server is not read.
constexpr std::size_t max_output = 256 << 10;
// Received bytes that may be buffered before they can be processed.
constexpr std::size_t max_read_ahead = 64 << 10;
// Time that a client has to close its end after the listener has closed the sending side.
constexpr Micros linger_time = std::chrono::seconds(1);
// Delay after accept() has failed for lack of local resources.
constexpr auto accept_retry_delay = std::chrono::milliseconds(50);
// A client's turn ends after this many messages, or after this many bytes of SQL, which takes the most time: the parser needs
// some milliseconds for as many.
constexpr int messages_per_turn = 1000;
constexpr std::size_t sql_bytes_per_turn = 2 << 10;
// Memory of a client that holds no bytes: its objects, the server's parameters and the table entries. Never reclaimed by
// itself.
constexpr std::size_t client_bytes = 6 * 1024;
// Memory of a TLS channel: OpenSSL's state and buffers.
constexpr std::size_t channel_bytes = 40 * 1024;
// Connections accepted per readiness event.
constexpr int accepts_per_event = 64;

std::string random_bytes(std::size_t count) {
    std::string bytes(count, '\0');
    RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count));
    return bytes;
}

// Parses "-c name=value --name=value" of the start-up setting `options`. Returns nothing if it contains
// anything else.
std::optional<std::vector<StartupOption>> command_line(std::string_view text) {
    std::vector<std::string> words;
    std::string word;
    bool in_word = false;
    for (std::size_t i = 0; i <= text.size(); ++i) {
        const char c = i < text.size() ? text[i] : ' ';
        if (c == '\\' && i + 1 < text.size()) {
            word += text[++i];
            in_word = true;
        } else if (c == ' ' || (c >= '\t' && c <= '\r')) {
            if (in_word) words.push_back(std::exchange(word, {}));
            in_word = false;
        } else {
            word += c;
            in_word = true;
        }
    }
    std::vector<StartupOption> all;
    for (std::size_t i = 0; i < words.size(); ++i) {
        std::string_view each = words[i];
        if (each == "-c" && i + 1 < words.size()) {
            each = words[++i];
        } else if (each.starts_with("-c") || each.starts_with("--")) {
            each.remove_prefix(2);
        } else {
            return std::nullopt;
        }
        const std::size_t equals = each.find('=');
        if (equals == std::string_view::npos || equals == 0) return std::nullopt;
        std::string name(each.substr(0, equals));
        std::replace(name.begin(), name.end(), '-', '_');
        all.push_back({std::move(name), std::string(each.substr(equals + 1))});
    }
    return all;
}

}  // namespace

class Listener::Impl : public overload::MemoryHolder, public std::enable_shared_from_this<Impl> {
    struct QueueState {
        QueueState(TimerSet& timers, std::size_t max_length, Micros timeout)
            : queue(max_length, timeout), timer(timers) {}
        WaitQueue queue;
        TimerSet::Timer timer;
        bool offering = false;
    };

public:
    Impl(const loop::Executor& executor, core::Core& core, core::Downstream& handler,
         const loop::Clock& clock, ListenerOptions options, overload::MemoryBudget* memory)
        : executor_(executor),
          core_(core),
          handler_(handler),
          clock_(clock),
          options_(std::move(options)),
          memory_(memory),
          holder_(memory, *this),
          timers_(executor, clock),
          acceptor_(executor),
          accept_retry_timer_(timers_) {
        unknown_user_verifier_ = make_verifier(random_bytes(32), random_bytes(16), scram_iterations);
    }

    void listen(const tcp::endpoint& address) {
        error_code error;
        loop::open(acceptor_, error);
        if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        if (!error) acceptor_.bind(address, error);
        if (!error) acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
        if (!error) acceptor_.non_blocking(true, error);
        if (error) throw boost::system::system_error(error, "postgres: " + loop::text_of(address));
        await_client();
    }
    tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    void set_options(ListenerOptions options) {
        options_ = std::move(options);
        for (const auto& [name, state] : queues_) {
            const auto known = options_.databases.find(name);
            if (known != options_.databases.end())
                state->queue.set_limits(known->second->line, known->second->line_wait);
        }
    }

    void begin_drain() {
        draining_ = true;
        error_code ignored;
        acceptor_.close(ignored);
        accept_retry_timer_.clear();
        for (const auto& client : all_clients()) client->on_listener_drain();
    }
    bool busy() const {
        return std::any_of(clients_.begin(), clients_.end(),
                           [](const auto& each) { return each.second->busy(); });
    }
    void stop() {
        begin_drain();
        for (const auto& client : all_clients()) client->terminate_now();
        for (const auto& client : all_clients()) client->close();
    }

    void on_final(std::uint64_t token, core::FinalAnswer answer) {
        const auto found = clients_.find(token >> 32);
        if (found == clients_.end()) return;
        const auto client = found->second;
        client->on_final(static_cast<std::uint32_t>(token), answer);
    }

    ListenerStats figures() const {
        ListenerStats figures;
        figures.connections = clients_.size();
        figures.sessions = clients_.size() - unauthenticated_count_;
        figures.units = unit_count_;
        figures.reclaimed = reclaimed_count_;
        return figures;
    }

    std::size_t largest_reclaimable(overload::ReclaimStage stage) const override {
        const auto largest = find_largest(stage);
        return largest ? largest->reclaimable(stage) : 0;
    }
    void reclaim_largest(overload::ReclaimStage stage) override {
        const auto largest = find_largest(stage);
        if (!largest) return;
        ++reclaimed_count_;
        largest->give_up();
    }

private:
    class Client final : public SessionHost,
                         public LinkedClient,
                         public StreamOwner,
                         public std::enable_shared_from_this<Client> {
    public:
        Client(Impl& owner, std::uint32_t number, tcp::socket socket)
            : owner_(owner),
              number_(number),
              machine_(machine_options(owner.options_)),
              charge_(owner.memory_),
              stream_(std::make_shared<Stream>(std::move(socket), *this)),
              login_timer_(owner.timers_),
              message_timer_(owner.timers_),
              deadline_timer_(owner.timers_),
              linger_timer_(owner.timers_) {
            key_.process = number;
            const std::string secret = random_bytes(4);
            for (const char c : secret) key_.secret = key_.secret << 8 | static_cast<unsigned char>(c);
        }

        void begin() {
            login_timer_.after(owner_.options_.limits.login, [this] {
                machine_.fail({Severity::fatal, "08P01", "the login took too long", {}, {}});
                pump();
            });
            stream_->begin();
        }

        bool unauthenticated() const { return unauthenticated_; }
        const Key& key() const { return key_; }
        const std::string& user() const override { return user_; }
        const std::string& database() const { return database_; }
        bool busy() const { return session_ && session_->in_unit(); }

        void cancel() {
            if (!session_) return;
            session_->on_cancel();
            pump();
        }

        void on_listener_drain() {
            if (closed_ || awaits_turn_ || (session_ && !session_->idle())) return;
            terminate_now();
        }
        void terminate_now() {
            if (closed_ || machine_.state() == ClientState::over) return;
            if (session_) {
                session_->terminate("terminating connection due to administrator command");
            } else {
                machine_.fail({Severity::fatal, "57P01", "the balancer is shutting down", {}, {}});
            }
            pump();
        }

        void on_final(std::uint32_t unit_number, const core::FinalAnswer& answer) {
            if (unit_number != unit_number_) return;  // an earlier unit, which the session has already ended
            const auto self = shared_from_this();
            call_id_ = 0;
            if (!session_ || answer.verdict == core::Verdict::served) return;
            const bool at_once = answer.verdict == core::Verdict::refused && !placed_;
            if (at_once && in_policy_) {
                in_policy_ = false;
                owner_.queue_of(*this).queue.on_rejected();
                offer_due_ = true;
            } else {
                on_unit_left();
            }
            bool may_have_run = answer.may_have_run;
            // The final answer may arrive before the end of the attempt.
            if (server_link_ && session_->uses_server()) {
                ServerLink* const server_link = server_link_;
                const LossReport loss = lose_link();
                may_have_run |= loss.may_have_run || loss.answer_started;
                server_link->abandon(Outcome::cancelled);
            }
            if (answer.verdict == core::Verdict::refused || !may_have_run) {
                Rejection rejection;
                rejection.reason = core::text_of(answer.cause);
                const std::string& why = database_options_ && database_options_->back
                                             ? database_options_->back->login_error()
                                             : std::string();
                if (!why.empty()) rejection.reason += " (" + why + ")";
                rejection.retry_after = answer.retry_after;
                rejection.drains = server_link_ && !server_link_->takes_work();
                session_->on_rejected(rejection);
            } else {
                const bool late =
                    answer.cause == core::Cause::timed_out || answer.cause == core::Cause::watchdog;
                session_->on_failed(late ? Failure::timed_out : Failure::lost);
            }
            pump();
        }

        // What give_up() would free in this stage.
        std::size_t reclaimable(overload::ReclaimStage stage) const {
            const std::size_t base = client_bytes + (session_ && machine_.is_secure() ? channel_bytes : 0);
            if (closed_ || pumping_ || charge_.bytes() <= base) return 0;
            // A unit that waits in the queue has not been sent.
            const bool running = session_ && session_->in_unit() && (call_id_ != 0 || server_link_);
            const bool unread = machine_.output().size() - output_written_ > max_read_ahead;
            const bool matches = stage == overload::ReclaimStage::incomplete ? !running && !unread
                                 : stage == overload::ReclaimStage::unread   ? unread
                                                                             : running && server_link_;
            return matches ? charge_.bytes() - base : 0;
        }
        // Ends the client with an error, or without one if it does not read what it is sent.
        void give_up() {
            constexpr std::string_view reason = "out of memory for clients";
            const auto self = shared_from_this();
            if (session_ && session_->in_unit()) {
                session_->terminate(reason);
            } else if (session_) {
                session_->end_with_error("53200", reason);
            } else if (machine_.state() != ClientState::securing) {
                machine_.fail({Severity::fatal, "53200", reason, {}, {}});
            }
            stream_->flush();
            close();
        }

        void close() {
            if (closed_) return;
            closed_ = true;
            charge_.set(0);
            const auto self = shared_from_this();
            if (session_) session_->on_client_gone();
            if (std::exchange(offer_due_, false)) owner_.offer_queued(owner_.queue_of(*this));
            stream_->close();
            login_timer_.clear();
            message_timer_.clear();
            deadline_timer_.clear();
            linger_timer_.clear();
            owner_.remove_client(*this);
        }

    private:
        static ClientOptions machine_options(const ListenerOptions& options) {
            ClientOptions client_options;
            client_options.tls_offered = options.context != nullptr;
            client_options.tls_required = options.tls_required;
            client_options.limits.whole = options.limits.max_message;
            return client_options;
        }

        // --- Stream events ---

        void on_bytes(std::string_view bytes) override {
            const auto self = shared_from_this();
            machine_.receive(bytes);
            pump();
        }
        void on_end(const std::string&) override { close(); }
        void on_secured() override {
            machine_.secured();
            pump();
        }
        std::string_view pending() override {
            return std::string_view(machine_.output()).substr(output_written_);
        }
        void wrote(std::size_t bytes) override {
            output_written_ += bytes;
            if (output_written_ == machine_.output().size()) {
                machine_.output().clear();
                output_written_ = 0;
                if (machine_.output().capacity() > max_read_ahead) machine_.output().shrink_to_fit();
            } else if (output_written_ > max_output) {
                machine_.output().erase(0, output_written_);
                output_written_ = 0;
            }
        }
        void on_drained() override {
            if (server_link_) server_link_->resume();
        }

        // Processes everything that can be processed now.
        void pump() {
            const auto self = shared_from_this();
            pump_client();
            if (!pumping_ && std::exchange(offer_due_, false)) owner_.offer_queued(owner_.queue_of(*this));
        }

        void pump_client() {
            if (pumping_ || closed_) return;
            const auto self = shared_from_this();
            pumping_ = true;
            handle_messages();
            pumping_ = false;
            if (closed_) return;
            if (server_link_) server_link_->flush();
            if (closed_) return;
            if (session_ && session_->over()) machine_.end();
            update_message_timer();
            stream_->flush();
            if (closed_) return;
            (void)charge_.settle(client_bytes + (machine_.is_secure() ? channel_bytes : 0) +
                                 machine_.held_bytes() + (session_ ? session_->held_bytes() : 0));
            if (closed_) return;
            if (machine_.state() == ClientState::over) return finish();
            if (owner_.draining_ && !awaits_turn_ && session_ && session_->idle()) return terminate_now();
            stream_->pause((awaits_turn_ || !can_accept_message()) && machine_.buffered() > max_read_ahead);
        }

        // Handles the messages that can be handled now, up to the end of the client's turn.
        void handle_messages() {
            int messages = 0;
            std::size_t sql_bytes = 0;
            while (!closed_ && !awaits_turn_ && can_accept_message()) {
                // Nothing of a client that has gone is sent to a server, whatever it has sent ahead.
                if (session_ && !session_->in_unit() && stream_->is_paused() && stream_->is_reset())
                    return close();
                if (messages == messages_per_turn || sql_bytes >= sql_bytes_per_turn) return await_turn();
                const auto event = machine_.next();
                if (!event) return;
                ++messages;
                const bool is_sql = event->message.type == 'Q' || event->message.type == 'P';
                if (is_sql) sql_bytes += event->message.length;
                handle_event(*event);
            }
        }

        // Continues with the received messages once the other connections have had their turns.
        void await_turn() {
            awaits_turn_ = true;
            boost::asio::post(owner_.executor_, [self = shared_from_this()] {
                self->awaits_turn_ = false;
                if (!self->closed_) self->pump();
            });
        }

        bool can_accept_message() const {
            if (machine_.state() != ClientState::session) return machine_.state() != ClientState::over;
            if (!session_->can_accept_message()) return false;
            return !server_link_ || server_link_->machine().output().size() < max_output;
        }

        // Sets the timer for a message that is partly received, or for a transaction that is idle.
        void update_message_timer() {
            if (!session_ || machine_.state() != ClientState::session) return;
            const bool partial = session_->can_accept_message() && machine_.buffered() > 0;
            const Micros idle = owner_.options_.limits.idle_transaction;
            const bool resting = session_->idle_in_transaction() && idle > Micros{0};
            if (!partial && !resting) return message_timer_.clear();
            if (message_timer_.is_set() && partial == partial_message_) return;
            partial_message_ = partial;
            message_timer_.after(partial ? owner_.options_.limits.message : idle, [this, partial] {
                session_->end_with_error(partial ? "08P01" : "25P03",
                                         partial
                                             ? "a message was begun and did not end in time"
                                             : "terminating connection due to idle-in-transaction timeout");
                pump();
            });
        }

        void finish() {
            if (finishing_) return;
            finishing_ = true;
            message_timer_.clear();
            login_timer_.clear();
            linger_timer_.after(linger_time, [this] { close(); });
            stream_->finish();
        }

        // --- Login ---

        void handle_event(const ClientEvent& event) {
            switch (event.kind) {
                case ClientEvent::Kind::begin_tls:
                    return stream_->secure(std::make_unique<tls::Channel>(owner_.options_.context));
                case ClientEvent::Kind::cancel: return owner_.cancel(event.startup.key);
                case ClientEvent::Kind::start: return on_startup(event.startup);
                case ClientEvent::Kind::accepted: return on_authenticated();
                case ClientEvent::Kind::message: return session_->on_message(event.message);
                case ClientEvent::Kind::broken:
                    if (session_) session_->on_client_gone();
                    return;
            }
        }

        void on_startup(const Startup& startup) {
            user_ = *startup.find("user");
            const std::string* const database = startup.find("database");
            database_ = database && !database->empty() ? *database : user_;
            if (owner_.draining_) return fail("57P01", "the balancer is shutting down");
            start_up_settings_ = startup.options;
            Authentication how;
            const auto known = owner_.options_.users.find(user_);
            if (known != owner_.options_.users.end()) {
                how.kind = known->second.kind;
                how.verifier = known->second.verifier;
            } else {
                how.kind = Authentication::Kind::scram;
                how.verifier = owner_.unknown_user_verifier_;
            }
            how.nonce = base64(random_bytes(18));
            machine_.authenticate(std::move(how));
            if (machine_.state() == ClientState::welcoming) on_authenticated();
        }

        void on_authenticated() {
            const auto database = owner_.options_.databases.find(database_);
            if (database == owner_.options_.databases.end())
                return fail("3D000", "database \"" + database_ + "\" does not exist");
            const auto user = owner_.options_.users.find(user_);
            if (user == owner_.options_.users.end())
                return fail("28000", "role \"" + user_ + "\" does not exist");
            database_options_ = database->second;
            if (!owner_.has_capacity(user_, user->second.max_clients, database_,
                                     database_options_->max_clients))
                return fail("53300", "too many connections");
            class_index_ = database_options_->safe || user->second.safe ? safe_class : unsafe_class;
            if (!collect_settings()) return;
            unauthenticated_ = false;
            owner_.logged_in(*this);
            login_timer_.clear();
            session_.emplace(*this, owner_.statements_, database_options_->session,
                             std::exchange(start_up_settings_, {}));
            if (const auto* const parameters = database_options_->back->parameters()) {
                session_->begin(*parameters);
                machine_.welcome(session_->parameters(), key_);
            } else {
                session_->request_parameters();
                finish_login();
            }
        }

        void finish_login() {
            if (machine_.state() == ClientState::welcoming && session_->begun())
                machine_.welcome(session_->parameters(), key_);
        }

        // Collects the session settings of the start-up packet. Returns false if one is invalid; the client
        // has then received an error.
        bool collect_settings() {
            std::vector<StartupOption> all;
            for (auto& option : start_up_settings_) {
                const std::string name = lower(option.name);
                if (name == "user" || name == "database" || name == "replication") continue;
                if (name != "options") {
                    all.push_back(std::move(option));
                    continue;
                }
                auto more = command_line(option.value);
                if (!more) {
                    fail("22023", "the start-up setting options has something else than settings");
                    return false;
                }
                all.insert(all.end(), more->begin(), more->end());
            }
            start_up_settings_.clear();
            for (auto& option : all) {
                const std::string name = lower(option.name);
                if (name == "flaxdoor.effect") {
                    if (owner_.options_.client_says_safe && option.value == "safe") class_index_ = safe_class;
                    continue;
                }
                if (name == "application_name" && owner_.options_.safe_applications.contains(option.value))
                    class_index_ = safe_class;
                if (owner_.options_.ignored_settings.contains(name)) continue;
                if (name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789_.") != std::string::npos) {
                    fail("22023", "invalid name of a setting: " + option.name);
                    return false;
                }
                start_up_settings_.push_back(std::move(option));
            }
            if (database_options_->session.mode == Mode::session ||
                database_options_->session.unreported == Unreported::pin)
                return true;
            for (const auto& option : start_up_settings_) {
                if (Session::is_carried_over(option.name)) continue;
                fail("0A000", "the start-up setting " + option.name +
                                  " would stay in the session, which clients share here");
                return false;
            }
            return true;
        }

        void fail(std::string_view code, const std::string& message) {
            machine_.fail({Severity::fatal, code, message, {}, {}});
        }

        // --- Session host ---

        void request_server(UnitKind kind, bool linked_only) override {
            ++unit_number_;
            call_id_ = 0;
            pending_unit_ = {kind, linked_only, owner_.clock_.now()};
            switch (owner_.queue_of(*this).queue.enqueue(number_, static_cast<std::size_t>(class_index_),
                                                         pending_unit_.since)) {
                case WaitQueue::EnqueueResult::offer: return offer();
                case WaitQueue::EnqueueResult::waits: return owner_.schedule_queue(owner_.queue_of(*this));
                case WaitQueue::EnqueueResult::full:
                    return session_->on_rejected({"too many units wait", Micros{0}, false});
            }
        }

        // Offers the unit to the policy module.
        void offer() {
            core::Call call;
            call.pool = database_options_->pool;
            const Settings* const settings = owner_.core_.settings(database_options_->pool);
            // A reload may have removed the other class.
            const bool there = settings && static_cast<std::size_t>(class_index_) < settings->classes.size();
            call.class_index = there ? class_index_ : unsafe_class;
            call.budget = database_options_->deadline;
            call.received = pending_unit_.since;
            call.write = class_index_ == unsafe_class;
            if (pending_unit_.linked_only && server_link_) call.pinned = server_link_->upstream();
            call.payload = std::make_shared<ClientPayload>(std::weak_ptr<LinkedClient>(shared_from_this()));
            placed_ = false;
            in_policy_ = true;
            const std::uint32_t unit_number = unit_number_;
            const std::uint64_t token = std::uint64_t{number_} << 32 | unit_number;
            const core::AcceptResult taken =
                owner_.core_.accept_call(std::move(call), owner_.handler_, token, &call_id_);
            if (taken != core::AcceptResult::accepted) {
                call_id_ = 0;
                on_unit_left();
                if (taken == core::AcceptResult::shutting_down)
                    return session_->terminate("the balancer is shutting down");
                return session_->on_rejected({"too many units are open", Micros{0}, false});
            }
            ++owner_.unit_count_;
            if (unit_number != unit_number_ || call_id_ == 0) return;  // the call has ended already
            WaitQueue& queue = owner_.queue_of(*this).queue;
            if (placed_) return queue.on_placed();
            if (!queue.may_requeue()) return;
            // The unit can't be placed now: it returns to the queue before the policy module would reject it.
            owner_.core_.abandon_call(std::exchange(call_id_, 0));
            in_policy_ = false;
            queue.requeue(number_, pending_unit_.since + database_options_->line_wait);
            owner_.schedule_queue(owner_.queue_of(*this));
        }

        // The unit has waited in the queue for too long.
        void on_queue_timeout() {
            session_->on_rejected({"it waited too long for room", Micros{0}, false});
            pump();
        }

        // The unit has ended, or has left the queue.
        void on_unit_left() {
            if (!database_options_) return;
            QueueState& state = owner_.queue_of(*this);
            if (std::exchange(in_policy_, false)) {
                state.queue.on_ended(static_cast<std::size_t>(class_index_));
                offer_due_ = true;  // once the server connection is free
            } else {
                state.queue.remove(number_);
            }
        }

        void leave_unit(bool keep_link) override {
            ++unit_number_;
            if (call_id_) owner_.core_.abandon_call(std::exchange(call_id_, 0));
            on_unit_left();
            if (server_link_ && !keep_link) std::exchange(server_link_, nullptr)->abandon(Outcome::cancelled);
        }
        void on_placed() override { placed_ = true; }
        // The policy module would retry the unit with doubling back-off. The unit returns to the queue
        // instead, where it is offered as soon as there may be capacity or another server.
        void ended_unsent(const std::function<void()>& tell) override {
            const std::uint32_t unit_number = unit_number_;
            placed_ = false;
            tell();
            if (unit_number != unit_number_ || call_id_ == 0 || placed_ || !in_policy_ || server_link_)
                return;
            QueueState& state = owner_.queue_of(*this);
            if (state.offering || !state.queue.may_requeue()) return;
            owner_.core_.abandon_call(std::exchange(call_id_, 0));
            in_policy_ = false;
            state.queue.requeue(number_, pending_unit_.since + database_options_->line_wait);
            owner_.schedule_queue(state);
        }
        void unit_started() override {
            if (server_link_) server_link_->started();
        }
        void unit_served() override {
            if (server_link_) server_link_->served();
            on_unit_left();
        }
        void release(bool dirty) override {
            if (server_link_) std::exchange(server_link_, nullptr)->release(dirty);
        }
        void cancel_running() override {
            if (server_link_) server_link_->cancel();
        }
        void expire_unit() override {
            ServerLink* const server_link = server_link_;
            if (!server_link) return;
            (void)lose_link();
            server_link->abandon(Outcome::timeout);
        }
        void set_deadline(Micros after) override {
            if (after <= Micros{0}) return deadline_timer_.clear();
            deadline_timer_.after(after, [this] {
                if (!session_) return;
                session_->on_deadline();
                pump();
            });
        }
        std::string& client_output() override { return machine_.output(); }

        // --- Link to a server connection ---

        ServerLink* required_link() const override { return server_link_; }
        bool on_link(ServerLink& server_link) override {
            const bool was_linked = server_link_ == &server_link;
            server_link_ = &server_link;
            const bool taken = session_->on_link(server_link.machine());
            if (!taken && !was_linked) server_link_ = nullptr;
            if (taken) finish_login();
            return taken;
        }
        void on_server(const ServerEvent& event) override { session_->on_server(event); }
        void after_server() override { pump(); }
        LossReport on_server_lost(LossCause cause) override {
            const LossReport loss = lose_link();
            session_->on_loss_cause(cause);
            return loss;
        }
        void on_drain(bool at_limit) override {
            const auto self = shared_from_this();
            if (at_limit) {
                session_->terminate("terminating connection: its server is being drained");
            } else {
                session_->on_drain();
            }
            pump();
        }
        bool is_output_full() const override {
            return machine_.output().size() - output_written_ > max_output;
        }

        LossReport lose_link() {
            server_link_ = nullptr;
            return session_->on_server_lost();
        }

        Impl& owner_;
        const std::uint32_t number_;
        Key key_;
        ClientMachine machine_;
        overload::MemoryCharge charge_;
        std::size_t output_written_ = 0;
        std::shared_ptr<Stream> stream_;
        TimerSet::Timer login_timer_, message_timer_, deadline_timer_, linger_timer_;
        std::optional<Session> session_;
        std::string user_, database_;
        std::shared_ptr<const ListenerDatabase> database_options_;
        std::vector<StartupOption> start_up_settings_;
        int class_index_ = unsafe_class;
        struct PendingUnit {
            UnitKind kind = UnitKind::parameters_only;
            bool linked_only = false;
            Time since{};
        };
        PendingUnit pending_unit_;
        bool in_policy_ = false;  // the policy module holds its unit
        bool placed_ = false;     // the policy module has chosen an upstream for it
        bool offer_due_ = false;
        core::CallId call_id_ = 0;
        std::uint32_t unit_number_ = 0;  // number of the current unit, counted per client
        ServerLink* server_link_ = nullptr;
        bool awaits_turn_ = false;  // received messages are left for the client's next turn
        bool unauthenticated_ = true, pumping_ = false, closed_ = false, finishing_ = false,
             partial_message_ = false;

        friend class Impl;
    };

    // --- Wait queues ---

    QueueState& queue_of(const Client& client) {
        auto& state = queues_[client.database_];
        if (!state)
            state = std::make_unique<QueueState>(timers_, client.database_options_->line,
                                                 client.database_options_->line_wait);
        return *state;
    }

    void schedule_queue(QueueState& state) {
        const auto next = state.queue.next_time(clock_.now());
        if (!next || state.timer.is_set()) return;
        state.timer.set(*next, [this, &state] {
            for (const WaitQueue::Token token : state.queue.take_expired(clock_.now())) {
                const auto client = find(token);
                if (client) client->on_queue_timeout();
            }
            offer_queued(state);
            schedule_queue(state);
        });
    }

    // Offers units one after another; a nested call returns at once, as an offer may end further units.
    void offer_queued(QueueState& state) {
        if (state.offering) return;
        state.offering = true;
        const auto self = shared_from_this();
        while (const auto token = state.queue.next()) {
            const auto client = find(*token);
            if (client) {
                client->offer();
                client->pump();
            } else {
                state.queue.on_rejected();  // the client has left
            }
        }
        state.offering = false;
    }

    std::shared_ptr<Client> find_largest(overload::ReclaimStage stage) const {
        std::shared_ptr<Client> largest;
        std::size_t most = 0;
        for (const auto& [number, client] : clients_) {
            const std::size_t bytes = client->reclaimable(stage);
            if (bytes <= most) continue;
            most = bytes;
            largest = client;
        }
        return largest;
    }

    std::shared_ptr<Client> find(std::uint64_t number) const {
        const auto found = clients_.find(number);
        return found == clients_.end() ? nullptr : found->second;
    }

    // --- Accepting connections ---

    void await_client() {
        acceptor_.async_wait(tcp::acceptor::wait_read, alive_.wrap([this](error_code error) {
            if (error || draining_) return;
            accept_some();
        }));
    }

    void accept_some() {
        for (int i = 0; i < accepts_per_event; ++i) {
            tcp::socket socket(executor_);
            error_code error;
            loop::accept(acceptor_, socket, error);
            if (error == boost::asio::error::would_block) return await_client();
            if (error && loop::is_local_resource_error(error))
                return accept_retry_timer_.after(accept_retry_delay, [this] { await_client(); });
            if (!error) add(std::move(socket));
        }
        await_client();
    }

    // Limits the connections that have not logged in, which prevents silent clients from using up all
    // connections: the oldest of them is closed.
    void add(tcp::socket socket) {
        while (!unauthenticated_numbers_.empty() &&
               (unauthenticated_count_ >= options_.limits.strangers ||
                clients_.size() >= options_.limits.clients + options_.limits.strangers)) {
            const auto oldest = clients_.find(*unauthenticated_numbers_.begin());
            if (oldest == clients_.end()) break;
            const auto client = oldest->second;
            client->close();
        }
        do {
            ++last_number_;
        } while (last_number_ == 0 || clients_.contains(last_number_));
        const auto client = std::make_shared<Client>(*this, last_number_, std::move(socket));
        clients_[last_number_] = client;
        unauthenticated_numbers_.insert(last_number_);
        ++unauthenticated_count_;
        client->begin();
    }

    void logged_in(Client& client) {
        unauthenticated_numbers_.erase(client.number_);
        --unauthenticated_count_;
        ++sessions_by_user_[client.user_];
        ++sessions_by_database_[client.database_];
    }

    void remove_client(Client& client) {
        if (clients_.erase(client.number_) == 0) return;
        if (client.unauthenticated_) {
            unauthenticated_numbers_.erase(client.number_);
            --unauthenticated_count_;
            return;
        }
        if (--sessions_by_user_[client.user_] == 0) sessions_by_user_.erase(client.user_);
        if (--sessions_by_database_[client.database_] == 0) sessions_by_database_.erase(client.database_);
    }

    bool has_capacity(const std::string& user, std::size_t user_max, const std::string& database,
                      std::size_t database_max) const {
        const auto count_of = [](const auto& all, const std::string& name) {
            const auto found = all.find(name);
            return found == all.end() ? std::size_t{0} : found->second;
        };
        if (clients_.size() - unauthenticated_count_ >= options_.limits.clients) return false;
        if (user_max > 0 && count_of(sessions_by_user_, user) >= user_max) return false;
        return database_max == 0 || count_of(sessions_by_database_, database) < database_max;
    }

    void cancel(const Key& key) {
        const auto found = clients_.find(key.process);
        if (found == clients_.end() || found->second->key() != key) return;
        const auto client = found->second;
        client->cancel();
    }

    std::vector<std::shared_ptr<Client>> all_clients() const {
        std::vector<std::shared_ptr<Client>> clients;
        for (const auto& [number, client] : clients_) clients.push_back(client);
        return clients;
    }

    const loop::Executor executor_;
    core::Core& core_;
    core::Downstream& handler_;
    const loop::Clock& clock_;
    ListenerOptions options_;
    overload::MemoryBudget* const memory_;  // null: no limit
    const overload::HolderRegistration holder_;
    TimerSet timers_;
    tcp::acceptor acceptor_;
    TimerSet::Timer accept_retry_timer_;
    std::unordered_map<std::string, std::unique_ptr<QueueState>> queues_;  // by database
    Statements statements_{memory_};
    ScramVerifier unknown_user_verifier_;  // verifier for unknown users, which no password matches
    std::unordered_map<std::uint64_t, std::shared_ptr<Client>> clients_;
    // Numbers of the connections that have not logged in, the oldest first.
    std::set<std::uint32_t> unauthenticated_numbers_;
    std::size_t unauthenticated_count_ = 0;
    std::unordered_map<std::string, std::size_t> sessions_by_user_, sessions_by_database_;
    std::uint32_t last_number_ = 0;
    std::uint64_t unit_count_ = 0;
    std::uint64_t reclaimed_count_ = 0;
    bool draining_ = false;
    loop::LifetimeGuard alive_;
};

Listener::Listener(const loop::Executor& executor, core::Core& core, const loop::Clock& clock,
                   ListenerOptions options, overload::MemoryBudget* memory)
    : impl_(std::make_shared<Impl>(executor, core, *this, clock, std::move(options), memory)) {}
Listener::~Listener() { impl_->stop(); }

void Listener::listen(const tcp::endpoint& address) { impl_->listen(address); }
tcp::endpoint Listener::address() const { return impl_->address(); }
void Listener::set_options(ListenerOptions options) { impl_->set_options(std::move(options)); }
void Listener::begin_drain() { impl_->begin_drain(); }
bool Listener::busy() const { return impl_->busy(); }
void Listener::stop() { impl_->stop(); }
void Listener::on_started(std::uint64_t, std::unique_ptr<core::Payload>) {}
void Listener::on_final(std::uint64_t token, core::FinalAnswer answer) {
    impl_->on_final(token, std::move(answer));
}
ListenerStats Listener::figures() const { return impl_->figures(); }

}  // namespace flaxdoor::pg
