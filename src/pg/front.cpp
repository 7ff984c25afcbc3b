#include "pg/front.h"

#include <openssl/rand.h>

#include <algorithm>
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

// Beyond this much for a client its server is not read from, until it has gone.
constexpr std::size_t output_most = 256 << 10;
// Bytes that are read ahead of what can be dealt with.
constexpr std::size_t ahead_most = 64 << 10;
constexpr Micros linger = std::chrono::seconds(1);
constexpr auto accept_again = std::chrono::milliseconds(50);
constexpr int accepts_at_once = 64;

std::string random_bytes(std::size_t count) {
    std::string bytes(count, '\0');
    RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count));
    return bytes;
}

// "-c name=value --name=value" of the start-up setting `options`; nothing: it has something else.
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

class Front::Impl : public std::enable_shared_from_this<Impl> {
    struct LineState {
        LineState(Alarms& alarms, std::size_t most, Micros wait) : line(most, wait), timer(alarms) {}
        Line line;
        Alarms::One timer;
        bool offering = false;
    };

public:
    Impl(const loop::Executor& executor, core::Core& core, core::Front& face, const loop::Clock& clock,
         FrontOptions options)
        : executor_(executor),
          core_(core),
          face_(face),
          clock_(clock),
          options_(std::move(options)),
          alarms_(executor, clock),
          acceptor_(executor),
          accept_again_(alarms_) {
        nobody_ = make_verifier(random_bytes(32), random_bytes(16), scram_iterations);
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
    void set_options(FrontOptions options) {
        options_ = std::move(options);
        for (const auto& [name, state] : lines_) {
            const auto known = options_.databases.find(name);
            if (known != options_.databases.end())
                state->line.set_limits(known->second->line, known->second->line_wait);
        }
    }

    void begin_drain() {
        draining_ = true;
        error_code ignored;
        acceptor_.close(ignored);
        accept_again_.clear();
        for (const auto& client : all()) client->on_front_drain();
    }
    bool busy() const {
        return std::any_of(clients_.begin(), clients_.end(),
                           [](const auto& each) { return each.second->busy(); });
    }
    void stop() {
        begin_drain();
        for (const auto& client : all()) client->end_now();
        for (const auto& client : all()) client->close();
    }

    void on_final(std::uint64_t token, core::Final answer) {
        const auto found = clients_.find(token >> 32);
        if (found == clients_.end()) return;
        const auto client = found->second;
        client->on_final(static_cast<std::uint32_t>(token), answer);
    }

    FrontFigures figures() const {
        FrontFigures figures;
        figures.connections = clients_.size();
        figures.sessions = clients_.size() - strangers_;
        figures.units = units_;
        return figures;
    }

private:
    class Client final : public SessionHost,
                         public Unit,
                         public StreamOwner,
                         public std::enable_shared_from_this<Client> {
    public:
        Client(Impl& owner, std::uint32_t number, tcp::socket socket)
            : owner_(owner),
              number_(number),
              machine_(machine_options(owner.options_)),
              stream_(std::make_shared<Stream>(std::move(socket), *this)),
              login_(owner.alarms_),
              message_(owner.alarms_),
              deadline_(owner.alarms_),
              linger_(owner.alarms_) {
            key_.process = number;
            const std::string secret = random_bytes(4);
            for (const char c : secret) key_.secret = key_.secret << 8 | static_cast<unsigned char>(c);
        }

        void begin() {
            login_.after(owner_.options_.limits.login, [this] {
                machine_.fail({Severity::fatal, "08P01", "the login took too long", {}, {}});
                pump();
            });
            stream_->begin();
        }

        bool stranger() const { return stranger_; }
        const Key& key() const { return key_; }
        const std::string& user() const override { return user_; }
        const std::string& database() const { return database_; }
        bool busy() const { return session_ && session_->in_unit(); }

        void cancel() {
            if (!session_) return;
            session_->on_cancel();
            pump();
        }

        void on_front_drain() {
            if (closed_ || (session_ && !session_->idle())) return;
            end_now();
        }
        void end_now() {
            if (closed_ || machine_.state() == ClientState::over) return;
            if (session_) {
                session_->shut("terminating connection due to administrator command");
            } else {
                machine_.fail({Severity::fatal, "57P01", "the balancer is shutting down", {}, {}});
            }
            pump();
        }

        void on_final(std::uint32_t unit, const core::Final& answer) {
            if (unit != unit_) return;  // of one before, which the session knows to be over
            const auto self = shared_from_this();
            call_ = 0;
            if (!session_ || answer.verdict == core::Verdict::served) return;
            const bool at_once = answer.verdict == core::Verdict::refused && !placed_;
            if (at_once && inside_) {
                inside_ = false;
                owner_.line_of(*this).line.given_up();
                offer_due_ = true;
            } else {
                left_line();
            }
            bool ran = answer.may_have_run;
            if (carrier_ && session_->uses_server()) {  // the answer came ahead of the attempt's end
                Carrier* const carrier = carrier_;
                const Loss loss = on_server_lost();
                ran |= loss.may_have_run || loss.passed;
                carrier->abandon(Outcome::cancelled);
            }
            if (answer.verdict == core::Verdict::refused || !ran) {
                Refusal refusal;
                refusal.reason = core::text_of(answer.cause);
                const std::string& why = db_ && db_->back ? db_->back->login_error() : std::string();
                if (!why.empty()) refusal.reason += " (" + why + ")";
                refusal.retry_after = answer.retry_after;
                refusal.drains = carrier_ && !carrier_->takes_work();
                session_->on_refused(refusal);
            } else {
                const bool late =
                    answer.cause == core::Cause::timed_out || answer.cause == core::Cause::overdue;
                session_->on_failed(late ? Failure::timed_out : Failure::lost);
            }
            pump();
        }

        void close() {
            if (closed_) return;
            closed_ = true;
            const auto self = shared_from_this();
            if (session_) session_->on_client_gone();
            if (std::exchange(offer_due_, false)) owner_.offer_soon(owner_.line_of(*this));
            stream_->close();
            login_.clear();
            message_.clear();
            deadline_.clear();
            linger_.clear();
            owner_.forget(*this);
        }

    private:
        static ClientOptions machine_options(const FrontOptions& options) {
            ClientOptions its;
            its.tls_offered = options.context != nullptr;
            its.tls_required = options.tls_required;
            its.limits.whole = options.limits.message_most;
            return its;
        }

        // ------------------------------------------------------------------------------------------- the
        // stream

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
        std::string_view pending() override { return std::string_view(machine_.output()).substr(out_at_); }
        void wrote(std::size_t bytes) override {
            out_at_ += bytes;
            if (out_at_ == machine_.output().size()) {
                machine_.output().clear();
                out_at_ = 0;
                if (machine_.output().capacity() > ahead_most) machine_.output().shrink_to_fit();
            } else if (out_at_ > output_most) {
                machine_.output().erase(0, out_at_);
                out_at_ = 0;
            }
        }
        void on_drained() override {
            if (carrier_) carrier_->resume();
        }

        // Deals with all that can be dealt with now.
        void pump() {
            const auto self = shared_from_this();
            pump_client();
            if (!pumping_ && std::exchange(offer_due_, false)) owner_.offer_soon(owner_.line_of(*this));
        }

        void pump_client() {
            if (pumping_ || closed_) return;
            const auto self = shared_from_this();
            pumping_ = true;
            while (!closed_ && can_take()) {
                const auto event = machine_.next();
                if (!event) break;
                take(*event);
            }
            pumping_ = false;
            if (closed_) return;
            if (carrier_) carrier_->flush();
            if (closed_) return;
            if (session_ && session_->over()) machine_.end();
            mind_message();
            stream_->flush();
            if (closed_) return;
            if (machine_.state() == ClientState::over) return finish();
            if (owner_.draining_ && session_ && session_->idle()) return end_now();
            stream_->pause(!can_take() && machine_.buffered() > ahead_most);
        }

        bool can_take() const {
            if (machine_.state() != ClientState::session) return machine_.state() != ClientState::over;
            if (!session_->can_take()) return false;
            return !carrier_ || carrier_->machine().output().size() < output_most;
        }

        // A message that has begun and does not go on, and a transaction that does not.
        void mind_message() {
            if (!session_ || machine_.state() != ClientState::session) return;
            const bool half = session_->can_take() && machine_.buffered() > 0;
            const Micros idle = owner_.options_.limits.idle_transaction;
            const bool resting = session_->idle_in_transaction() && idle > Micros{0};
            if (!half && !resting) return message_.clear();
            if (message_.is_set() && half == half_) return;
            half_ = half;
            message_.after(half ? owner_.options_.limits.message : idle, [this, half] {
                session_->end_with(half ? "08P01" : "25P03",
                                   half ? "a message was begun and did not end in time"
                                        : "terminating connection due to idle-in-transaction timeout");
                pump();
            });
        }

        void finish() {
            if (finishing_) return;
            finishing_ = true;
            message_.clear();
            login_.clear();
            linger_.after(linger, [this] { close(); });
            stream_->finish();
        }

        // -------------------------------------------------------------------------------------------- the
        // login

        void take(const ClientEvent& event) {
            switch (event.kind) {
                case ClientEvent::Kind::begin_tls:
                    return stream_->secure(std::make_unique<tls::Channel>(owner_.options_.context));
                case ClientEvent::Kind::cancel: return owner_.cancel(event.startup.key);
                case ClientEvent::Kind::start: return admit(event.startup);
                case ClientEvent::Kind::accepted: return accepted();
                case ClientEvent::Kind::message: return session_->take(event.message);
                case ClientEvent::Kind::broken:
                    if (session_) session_->on_client_gone();
                    return;
            }
        }

        void admit(const Startup& startup) {
            user_ = *startup.find("user");
            const std::string* const database = startup.find("database");
            database_ = database && !database->empty() ? *database : user_;
            if (owner_.draining_) return fail("57P01", "the balancer is shutting down");
            wanted_ = startup.options;
            Authentication how;
            const auto known = owner_.options_.users.find(user_);
            if (known != owner_.options_.users.end()) {
                how.kind = known->second.kind;
                how.verifier = known->second.verifier;
            } else {
                how.kind = Authentication::Kind::scram;
                how.verifier = owner_.nobody_;
            }
            how.nonce = base64(random_bytes(18));
            machine_.authenticate(std::move(how));
            if (machine_.state() == ClientState::welcoming) accepted();
        }

        void accepted() {
            const auto database = owner_.options_.databases.find(database_);
            if (database == owner_.options_.databases.end())
                return fail("3D000", "database \"" + database_ + "\" does not exist");
            const auto user = owner_.options_.users.find(user_);
            if (user == owner_.options_.users.end())
                return fail("28000", "role \"" + user_ + "\" does not exist");
            db_ = database->second;
            if (!owner_.has_room(user_, user->second.clients_most, database_, db_->clients_most))
                return fail("53300", "too many connections");
            class_ = db_->safe || user->second.safe ? safe_class : unsafe_class;
            if (!take_settings()) return;
            stranger_ = false;
            owner_.logged_in(*this);
            login_.clear();
            session_.emplace(*this, owner_.statements_, db_->session, std::exchange(wanted_, {}));
            if (const auto* const parameters = db_->back->parameters()) {
                session_->begin(*parameters);
                machine_.welcome(session_->parameters(), key_);
            } else {
                session_->hello();
                after_hello();
            }
        }

        void after_hello() {
            if (machine_.state() == ClientState::welcoming && session_->begun())
                machine_.welcome(session_->parameters(), key_);
        }

        // What of the start-up packet is a setting of the session; false: the client was told what is wrong.
        bool take_settings() {
            std::vector<StartupOption> all;
            for (auto& option : wanted_) {
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
            wanted_.clear();
            for (auto& option : all) {
                const std::string name = lower(option.name);
                if (name == "flaxdoor.effect") {
                    if (owner_.options_.client_says_safe && option.value == "safe") class_ = safe_class;
                    continue;
                }
                if (name == "application_name" && owner_.options_.safe_applications.contains(option.value))
                    class_ = safe_class;
                if (owner_.options_.ignored_settings.contains(name)) continue;
                if (name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789_.") != std::string::npos) {
                    fail("22023", "invalid name of a setting: " + option.name);
                    return false;
                }
                wanted_.push_back(std::move(option));
            }
            if (db_->session.mode == Mode::session || db_->session.unreported == Unreported::pin) return true;
            for (const auto& option : wanted_) {
                if (Session::carries(option.name)) continue;
                fail("0A000", "the start-up setting " + option.name +
                                  " would stay in the session, which clients share here");
                return false;
            }
            return true;
        }

        void fail(std::string_view code, const std::string& message) {
            machine_.fail({Severity::fatal, code, message, {}, {}});
        }

        // ------------------------------------------------------------------------------------------- the
        // session

        void take_unit(UnitKind kind, bool tied) override {
            ++unit_;
            call_ = 0;
            wants_ = {kind, tied, owner_.clock_.now()};
            switch (
                owner_.line_of(*this).line.arrive(number_, static_cast<std::size_t>(class_), wants_.since)) {
                case Line::Arrival::offer: return offer();
                case Line::Arrival::waits: return owner_.mind_line(owner_.line_of(*this));
                case Line::Arrival::full:
                    return session_->on_refused({"too many units wait", Micros{0}, false});
            }
        }

        // Asks the module.
        void offer() {
            core::Call call;
            call.pool = db_->pool;
            const Settings* const settings = owner_.core_.settings(db_->pool);
            // A reload may have taken the other class away.
            const bool there = settings && static_cast<std::size_t>(class_) < settings->classes.size();
            call.class_index = there ? class_ : unsafe_class;
            call.budget = db_->deadline;
            call.received = wants_.since;
            call.write = class_ == unsafe_class;
            if (wants_.tied && carrier_) call.pinned = carrier_->upstream();
            call.payload = std::make_shared<UnitPayload>(std::weak_ptr<Unit>(shared_from_this()));
            placed_ = false;
            inside_ = true;
            const std::uint32_t unit = unit_;
            const std::uint64_t token = std::uint64_t{number_} << 32 | unit;
            const core::Taken taken = owner_.core_.take(std::move(call), owner_.face_, token, &call_);
            if (taken != core::Taken::yes) {
                call_ = 0;
                left_line();
                if (taken == core::Taken::shutting_down)
                    return session_->shut("the balancer is shutting down");
                return session_->on_refused({"too many units are open", Micros{0}, false});
            }
            ++owner_.units_;
            if (unit != unit_ || call_ == 0) return;  // answered from within
            Line& line = owner_.line_of(*this).line;
            if (placed_) return line.placed();
            if (!line.takes_back()) return;
            // No place now: it stands in the line before the module would have given it up.
            owner_.core_.leave(std::exchange(call_, 0));
            inside_ = false;
            line.back(number_, wants_.since + db_->line_wait);
            owner_.mind_line(owner_.line_of(*this));
        }

        // Its time in the line is over.
        void line_over() {
            session_->on_refused({"it waited too long for room", Micros{0}, false});
            pump();
        }

        // The unit is over, or stands in the line no more.
        void left_line() {
            if (!db_) return;
            LineState& state = owner_.line_of(*this);
            if (std::exchange(inside_, false)) {
                state.line.ended(static_cast<std::size_t>(class_));
                offer_due_ = true;  // once the connection is free
            } else {
                state.line.leave(number_);
            }
        }

        void leave_unit(bool keep_link) override {
            ++unit_;
            if (call_) owner_.core_.leave(std::exchange(call_, 0));
            left_line();
            if (carrier_ && !keep_link) std::exchange(carrier_, nullptr)->abandon(Outcome::cancelled);
        }
        void on_placed() override { placed_ = true; }
        // The module would try again after gaps that double. It stands in the line instead, where it is
        // offered as soon as there may be room, or another server.
        void ended_unsent(const std::function<void()>& tell) override {
            const std::uint32_t unit = unit_;
            placed_ = false;
            tell();
            if (unit != unit_ || call_ == 0 || placed_ || !inside_ || carrier_) return;
            LineState& state = owner_.line_of(*this);
            if (state.offering || !state.line.takes_back()) return;
            owner_.core_.leave(std::exchange(call_, 0));
            inside_ = false;
            state.line.back(number_, wants_.since + db_->line_wait);
            owner_.mind_line(state);
        }
        void unit_started() override {
            if (carrier_) carrier_->started();
        }
        void unit_served() override {
            if (carrier_) carrier_->served();
            left_line();
        }
        void release(bool dirty) override {
            if (carrier_) std::exchange(carrier_, nullptr)->release(dirty);
        }
        void cancel_running() override {
            if (carrier_) carrier_->cancel();
        }
        void expire_unit() override {
            Carrier* const carrier = carrier_;
            if (!carrier) return;
            (void)on_server_lost();
            carrier->abandon(Outcome::timeout);
        }
        void set_deadline(Micros after) override {
            if (after <= Micros{0}) return deadline_.clear();
            deadline_.after(after, [this] {
                if (!session_) return;
                session_->on_deadline();
                pump();
            });
        }
        std::string& client_output() override { return machine_.output(); }

        // ---------------------------------------------------------------------------------------------- the
        // link

        Carrier* tied() const override { return carrier_; }
        bool on_link(Carrier& carrier) override {
            const bool was_tied = carrier_ == &carrier;
            carrier_ = &carrier;
            const bool taken = session_->on_link(carrier.machine());
            if (!taken && !was_tied) carrier_ = nullptr;
            if (taken) after_hello();
            return taken;
        }
        void on_server(const ServerEvent& event) override { session_->on_server(event); }
        void after_server() override { pump(); }
        Loss on_server_lost() override {
            carrier_ = nullptr;
            return session_->on_server_lost();
        }
        void on_drain(bool at_limit) override {
            const auto self = shared_from_this();
            if (at_limit) {
                session_->shut("terminating connection: its server is being drained");
            } else {
                session_->on_drain();
            }
            pump();
        }
        bool crowded() const override { return machine_.output().size() - out_at_ > output_most; }

        Impl& owner_;
        const std::uint32_t number_;
        Key key_;
        ClientMachine machine_;
        std::size_t out_at_ = 0;
        std::shared_ptr<Stream> stream_;
        Alarms::One login_, message_, deadline_, linger_;
        std::optional<Session> session_;
        std::string user_, database_;
        std::shared_ptr<const FrontDatabase> db_;
        std::vector<StartupOption> wanted_;
        int class_ = unsafe_class;
        struct Wanted {
            UnitKind kind = UnitKind::hello;
            bool tied = false;
            Time since{};
        };
        Wanted wants_;
        bool inside_ = false;  // the module has its unit
        bool placed_ = false;  //   and has found it a place
        bool offer_due_ = false;
        core::CallId call_ = 0;
        std::uint32_t unit_ = 0;  // its number among the client's
        Carrier* carrier_ = nullptr;
        bool stranger_ = true, pumping_ = false, closed_ = false, finishing_ = false, half_ = false;

        friend class Impl;
    };

    // ------------------------------------------------------------------------------------------------- the
    // lines

    LineState& line_of(const Client& client) {
        auto& state = lines_[client.database_];
        if (!state) state = std::make_unique<LineState>(alarms_, client.db_->line, client.db_->line_wait);
        return *state;
    }

    void mind_line(LineState& state) {
        const auto next = state.line.next_time(clock_.now());
        if (!next || state.timer.is_set()) return;
        state.timer.set(*next, [this, &state] {
            for (const Line::Token token : state.line.on_time(clock_.now())) {
                const auto client = find(token);
                if (client) client->line_over();
            }
            offer_soon(state);
            mind_line(state);
        });
    }

    // One after another: what an offer brings about may end further units.
    void offer_soon(LineState& state) {
        if (state.offering) return;
        state.offering = true;
        const auto self = shared_from_this();
        while (const auto token = state.line.next()) {
            const auto client = find(*token);
            if (client) {
                client->offer();
                client->pump();
            } else {
                state.line.given_up();  // it has left
            }
        }
        state.offering = false;
    }

    std::shared_ptr<Client> find(std::uint64_t number) const {
        const auto found = clients_.find(number);
        return found == clients_.end() ? nullptr : found->second;
    }

    // ------------------------------------------------------------------------------------------------
    // accepting

    void await_client() {
        acceptor_.async_wait(tcp::acceptor::wait_read, alive_.guard([this](error_code error) {
            if (error || draining_) return;
            accept_some();
        }));
    }

    void accept_some() {
        for (int i = 0; i < accepts_at_once; ++i) {
            tcp::socket socket(executor_);
            error_code error;
            loop::accept(acceptor_, socket, error);
            if (error == boost::asio::error::would_block) return await_client();
            if (error && loop::own_want(error))
                return accept_again_.after(accept_again, [this] { await_client(); });
            if (!error) add(std::move(socket));
        }
        await_client();
    }

    // Guards against connections that never speak: the oldest of them gives way.
    void add(tcp::socket socket) {
        while (!stranger_numbers_.empty() &&
               (strangers_ >= options_.limits.strangers ||
                clients_.size() >= options_.limits.clients + options_.limits.strangers)) {
            const auto oldest = clients_.find(*stranger_numbers_.begin());
            if (oldest == clients_.end()) break;
            const auto client = oldest->second;
            client->close();
        }
        do {
            ++last_;
        } while (last_ == 0 || clients_.contains(last_));
        const auto client = std::make_shared<Client>(*this, last_, std::move(socket));
        clients_[last_] = client;
        stranger_numbers_.insert(last_);
        ++strangers_;
        client->begin();
    }

    void logged_in(Client& client) {
        stranger_numbers_.erase(client.number_);
        --strangers_;
        ++of_user_[client.user_];
        ++of_database_[client.database_];
    }

    void forget(Client& client) {
        if (clients_.erase(client.number_) == 0) return;
        if (client.stranger_) {
            stranger_numbers_.erase(client.number_);
            --strangers_;
            return;
        }
        if (--of_user_[client.user_] == 0) of_user_.erase(client.user_);
        if (--of_database_[client.database_] == 0) of_database_.erase(client.database_);
    }

    bool has_room(const std::string& user, std::size_t user_most, const std::string& database,
                  std::size_t database_most) const {
        const auto counted = [](const auto& all, const std::string& name) {
            const auto found = all.find(name);
            return found == all.end() ? std::size_t{0} : found->second;
        };
        if (clients_.size() - strangers_ >= options_.limits.clients) return false;
        if (user_most > 0 && counted(of_user_, user) >= user_most) return false;
        return database_most == 0 || counted(of_database_, database) < database_most;
    }

    void cancel(const Key& key) {
        const auto found = clients_.find(key.process);
        if (found == clients_.end() || found->second->key() != key) return;
        const auto client = found->second;
        client->cancel();
    }

    std::vector<std::shared_ptr<Client>> all() const {
        std::vector<std::shared_ptr<Client>> clients;
        for (const auto& [number, client] : clients_) clients.push_back(client);
        return clients;
    }

    const loop::Executor executor_;
    core::Core& core_;
    core::Front& face_;
    const loop::Clock& clock_;
    FrontOptions options_;
    Alarms alarms_;
    tcp::acceptor acceptor_;
    Alarms::One accept_again_;
    std::unordered_map<std::string, std::unique_ptr<LineState>> lines_;  // by database
    Statements statements_;
    ScramVerifier nobody_;  // what a user that is not known is checked against
    std::unordered_map<std::uint64_t, std::shared_ptr<Client>> clients_;
    std::set<std::uint32_t> stranger_numbers_;  // the oldest first
    std::size_t strangers_ = 0;
    std::unordered_map<std::string, std::size_t> of_user_, of_database_;
    std::uint32_t last_ = 0;
    std::uint64_t units_ = 0;
    bool draining_ = false;
    loop::Alive alive_;
};

Front::Front(const loop::Executor& executor, core::Core& core, const loop::Clock& clock, FrontOptions options)
    : impl_(std::make_shared<Impl>(executor, core, *this, clock, std::move(options))) {}
Front::~Front() { impl_->stop(); }

void Front::listen(const tcp::endpoint& address) { impl_->listen(address); }
tcp::endpoint Front::address() const { return impl_->address(); }
void Front::set_options(FrontOptions options) { impl_->set_options(std::move(options)); }
void Front::begin_drain() { impl_->begin_drain(); }
bool Front::busy() const { return impl_->busy(); }
void Front::stop() { impl_->stop(); }
void Front::on_started(std::uint64_t, std::unique_ptr<core::Payload>) {}
void Front::on_final(std::uint64_t token, core::Final answer) { impl_->on_final(token, std::move(answer)); }
FrontFigures Front::figures() const { return impl_->figures(); }

}  // namespace flaxdoor::pg
