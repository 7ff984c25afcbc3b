#include "pg/back.h"

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

class Back::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(const loop::Executor& executor, core::Core& core, const loop::Clock& clock, LoginGate& gate,
         ServerBudget& budget, Secrets& secrets, BackOptions options)
        : executor_(executor),
          core_(core),
          clock_(clock),
          budget_(budget),
          secrets_(secrets),
          options_(std::move(options)),
          pool_(gate, options_.pool),
          alarms_(executor, clock),
          pool_time_(alarms_) {}

    void set_upstream(UpstreamId id, const std::string& address, bool takes_work) {
        Upstream& upstream = upstreams_[id];
        const bool moved = !upstream.text.empty() && upstream.text != address;
        const bool stops = upstream.takes_work && !takes_work;
        upstream.text = address;
        upstream.address = loop::parse_endpoint(address);
        upstream.takes_work = takes_work;
        if (moved || stops) drain(id);
        pool_.set_server(id, address, takes_work);
        if (takes_work) give_ears(id);
        run();
    }

    void remove_upstream(UpstreamId id) {
        drain(id);
        keep_ear(id);
        upstreams_.erase(id);
        pool_.remove_server(id);
        run();
    }

    void send(const core::Attempt& attempt) {
        const auto unit = static_cast<UnitPayload&>(*attempt.payload).unit.lock();
        if (!unit) return end(attempt.key, Outcome::moot, false);
        unit->on_placed();
        if (Carrier* const tied = unit->tied()) {
            Link& link = static_cast<Link&>(*tied);
            if (link.upstream() != attempt.upstream) return end(attempt.key, Outcome::moot, false);
            return link.carry(attempt.key, unit);
        }
        units_[attempt.key] = unit;
        pool_.want(attempt.key, attempt.upstream, unit->user(), clock_.now());
        run();
    }

    void cancel(core::AttemptKey key) {
        if (pool_.drop(key)) return end(key, Outcome::cancelled, false);
        if (const auto link = carrying(key)) link->lose_unit(Outcome::cancelled);
    }

    void expire(core::AttemptKey key) {
        if (pool_.drop(key)) return end(key, Outcome::moot, false);
        const auto link = carrying(key);
        if (!link) return;
        link->read_now();  // the answer may be there, unread
        if (carrying(key)) link->lose_unit(Outcome::timeout);
    }

    void close_idle(UpstreamId id) {
        pool_.close_idle(id);
        run();
    }

    void set_options(BackOptions options) {
        options_ = std::move(options);
        pool_.set_limits(options_.pool);
    }

    void on_gate() {
        pool_.on_gate();
        run();
    }
    void on_login_end(std::function<void()> call) { login_ended_ = std::move(call); }
    void on_role(std::function<void(UpstreamId, bool)> call) { on_role_ = std::move(call); }

    const std::map<std::string, ServerMachine::Reported>* parameters() const {
        return parameters_.empty() ? nullptr : &parameters_;
    }
    const std::string& login_error() const { return login_error_; }
    std::size_t links() const { return links_.size(); }
    std::size_t waiting() const { return pool_.waiting(); }

    void stop() {
        stopped_ = true;
        const auto links = std::move(links_);
        links_.clear();
        for (const auto& [id, link] : links) link->close();
        const auto cancels = std::move(cancels_);
        cancels_.clear();
        for (const auto& each : cancels) each->close();
    }

private:
    struct Upstream {
        std::string text;
        loop::tcp::endpoint address;
        bool takes_work = true;
    };

    // A connection by which one cancel is asked for. The server closes it when it has sent its signal.
    class Cancel;

    class Link final : public Carrier, public StreamOwner, public std::enable_shared_from_this<Link> {
    public:
        Link(Impl& owner, LinkId id, UpstreamId upstream, const std::string& user, Upstream where)
            : owner_(owner),
              id_(id),
              upstream_(upstream),
              where_(std::move(where)),
              machine_(owner.server_options(user)),
              stream_(std::make_shared<Stream>(owner.executor_, *this)),
              limit_(owner.alarms_) {
            ++owner_.budget_.open;
        }

        void open() {
            const auto self = shared_from_this();
            limit_.after(owner_.options_.login_limit,
                         [this] { login_failed("", "the login took too long"); });
            stream_->connect(where_.address);
        }

        // ----------------------------------------------------------------------------------------- for units

        void carry(core::AttemptKey key, const std::shared_ptr<Unit>& unit) {
            const auto self = shared_from_this();
            key_ = key;
            unit_ = unit;
            since_ = owner_.clock_.now();
            latency_ = Micros{0};
            owner_.carrying_[key] = self;
            if (wrong_) {
                // The server says how things stand with the end of a query, and not while it rests.
                checking_ = true;
                machine_.own_query("");
                return flush();
            }
            begin_unit();
        }

        void begin_unit() {
            const core::AttemptKey key = *key_;
            const auto unit = unit_.lock();
            if (!unit) return give_back(Outcome::moot);
            if (!owner_.core_.on_attempt_sending(key)) return give_back(Outcome::moot);
            if (!unit->on_link(*this)) return give_back(Outcome::moot);
            flush();
            unit->after_server();
        }

        // Nothing was sent for the attempt.
        void give_back(Outcome outcome) {
            const core::AttemptKey key = *key_;
            const auto unit = unit_.lock();
            const bool was_tied = unit && unit->tied() == this;
            end_attempt(key, outcome, false);
            if (was_tied || closed_) return;
            unit_.reset();
            owner_.pool_.on_free(id_, owner_.clock_.now());
            owner_.run();
        }

        ServerMachine& machine() override { return machine_; }
        UpstreamId upstream() const override { return upstream_; }
        bool takes_work() const override { return owner_.takes_work(upstream_, where_.text); }
        void flush() override {
            if (!closed_) stream_->flush();
        }
        void resume() override {
            if (!closed_) stream_->pause(false);
        }
        void started() override {
            latency_ = owner_.clock_.now() - since_;
            if (key_) owner_.core_.on_attempt_started(*key_, latency_, nullptr);
        }
        void served() override {
            if (key_) end_attempt(*key_, Outcome::ok, true);
        }

        void release(bool dirty) override {
            unit_.reset();
            dirty_ = dirty_ || dirty;
            if (pumping_) {
                settle_due_ = true;  // what has come behind the last answer is looked at first
            } else {
                settle();
            }
        }

        void cancel() override { owner_.send_cancel(shared_from_this()); }

        void abandon(Outcome outcome) override {
            const auto self = shared_from_this();
            const bool ran = machine_.may_have_run();
            unit_.reset();
            dirty_ = true;
            if (key_) end_attempt(*key_, outcome == Outcome::timeout && !ran ? Outcome::moot : outcome, ran);
            set_aside();
        }

        // The core takes the attempt away.
        void lose_unit(Outcome outcome) {
            const auto self = shared_from_this();
            const auto unit = unit_.lock();
            const Loss loss = unit ? unit->on_server_lost() : Loss{};
            unit_.reset();
            dirty_ = true;
            const bool ran = loss.may_have_run || loss.passed;
            const core::AttemptKey key = *key_;
            end_attempt(key, ran || outcome == Outcome::cancelled ? outcome : Outcome::moot, ran);
            set_aside();
            if (unit) unit->after_server();
        }

        // It serves nobody, and is there to hear what the server says of itself.
        bool is_ear() const { return ear_; }
        void set_ear(bool ear) { ear_ = ear; }

        void tell_drain(bool at_limit) {
            if (const auto unit = unit_.lock()) unit->on_drain(at_limit);
        }
        void read_now() { stream_->read_now(); }
        UpstreamId at() const { return upstream_; }

        void cancel_ended(bool delivered) {
            --cancels_;
            if (closed_) return;
            if (!delivered) cancel_lost_ = true;
            if (unit_.expired() || aside_) settle();
        }
        void cancel_begun() { ++cancels_; }
        const Upstream& where() const { return where_; }
        LinkId id() const { return id_; }

        void close() {
            if (closed_) return;
            closed_ = true;
            limit_.clear();
            // Guards against an effect that comes late: what was not handed over was told not to have run.
            if (machine_.quiet() && machine_.output().empty()) {
                machine_.terminate();
                stream_->flush();
            }
            stream_->close();
            --owner_.budget_.open;
        }

    private:
        // ------------------------------------------------------------------------------------------ the
        // stream

        void on_connected(const error_code& error) override {
            const auto self = shared_from_this();
            if (closed_) return;
            if (error && loop::own_want(error))
                return login_ended(LoginEnd::own, "own want: " + error.message());
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
            lost();
        }

        void on_secured() override {
            machine_.secured();
            stream_->flush();
        }
        std::string_view pending() override { return machine_.output(); }
        void wrote(std::size_t bytes) override { machine_.wrote(bytes); }
        void on_drained() override {
            if (const auto unit = unit_.lock()) unit->after_server();
        }

        void pump() {
            const auto served = unit_.lock();  // it may have left when its answer was whole
            pumping_ = true;
            take_events();
            pumping_ = false;
            if (!closed_) mind_role();
            if (!closed_ && std::exchange(settle_due_, false)) settle();
            if (!closed_) stream_->flush();
            if (served) served->after_server();
            if (closed_) return;
            const auto unit = unit_.lock();
            if (unit && unit != served) unit->after_server();
            if (!closed_ && !unit_.expired() && unit->crowded()) stream_->pause(true);
            if (!closed_ && !unit && aside_) settle();
        }

        // Behind the empty query the server has said what it is now.
        void was_checked() {
            checking_ = false;
            wrong_ = owner_.wrong_role(machine_);
            if (!key_) return;  // taken away meanwhile
            // Told to drain meanwhile: what was placed before that is new work all the same.
            if (!wrong_ && !takes_work()) return give_back(Outcome::moot);
            if (!wrong_) return begin_unit();
            const core::AttemptKey key = *key_;
            const auto unit = unit_.lock();
            unit_.reset();
            ear_ = true;
            owner_.tell_role(upstream_, false);
            end_attempt(key, Outcome::moot, false, unit);
        }

        void mind_role() {
            if (checking_) return;
            if (machine_.state() != ServerState::up || owner_.wrong_role(machine_) == wrong_) return;
            wrong_ = !wrong_;
            owner_.tell_role(upstream_, !wrong_);
        }

        void take_events() {
            while (!closed_) {
                const auto event = machine_.next();
                if (!event) break;
                switch (event->kind) {
                    case ServerEvent::Kind::begin_tls: begin_tls(); break;
                    case ServerEvent::Kind::logged_in: logged_in(); break;
                    case ServerEvent::Kind::failed: return login_failed(event->code, event->text);
                    case ServerEvent::Kind::spoilt: return lost();
                    case ServerEvent::Kind::settled:
                        if (checking_) {
                            was_checked();
                            break;
                        }
                        if (resetting_) {
                            was_reset(event->code.empty());
                            break;
                        }
                        // The unit itself comes only now: not to a server that was told to drain meanwhile.
                        if (key_ && !takes_work()) {
                            lose_unit(Outcome::moot);
                            break;
                        }
                        [[fallthrough]];
                    default:
                        if (const auto unit = unit_.lock()) unit->on_server(*event);
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
                wanted =
                    name == owner_.options_.names.end() ? where_.address.address().to_string() : name->second;
            stream_->secure(std::make_unique<tls::Channel>(context, wanted));
        }

        // -------------------------------------------------------------------------------------------- the
        // login

        void logged_in() {
            limit_.clear();
            owner_.login_error_.clear();
            owner_.parameters_ = machine_.parameters();
            wrong_ = owner_.wrong_role(machine_);
            ear_ = wrong_;
            owner_.pool_.on_login(id_, wrong_ ? LoginEnd::apart : LoginEnd::up, owner_.clock_.now());
            if (wrong_) owner_.tell_role(upstream_, false);
            owner_.login_over();
        }

        void login_failed(const std::string& code, const std::string& text) {
            const bool full = code == "53300" || code == "53400";
            login_ended(full ? LoginEnd::full : LoginEnd::down, (code.empty() ? "" : code + " ") + text);
        }

        void login_ended(LoginEnd end, const std::string& text) {
            if (closed_) return;
            const auto self = shared_from_this();
            owner_.login_error_ = "login failed: " + text;
            leave();
            owner_.pool_.on_login(id_, end, owner_.clock_.now());
            owner_.login_over();
        }

        // ------------------------------------------------------------------------------------------------
        // ends

        // The connection is gone, whatever it was doing.
        void lost() {
            const auto self = shared_from_this();
            const auto unit = unit_.lock();
            const auto key = key_;
            const Loss loss = unit ? unit->on_server_lost() : Loss{};
            unit_.reset();
            leave();
            owner_.pool_.on_gone(id_);
            const bool ran = loss.may_have_run || loss.passed;
            if (key)
                end_attempt(*key, ran ? Outcome::reset : Outcome::connect_failed, ran, ran ? nullptr : unit);
            if (unit) unit->after_server();
            owner_.run();
        }

        void leave() {
            close();
            owner_.links_.erase(id_);
            if (ear_) owner_.tell_role(upstream_, true);  // nobody listens any more
        }

        void give_up() {
            const auto self = shared_from_this();
            leave();
            owner_.pool_.on_gone(id_);
            owner_.run();
        }

        void end_attempt(core::AttemptKey key, Outcome outcome, bool whole,
                         const std::shared_ptr<Unit>& unsent = nullptr) {
            key_.reset();
            owner_.carrying_.erase(key);
            if (unsent) owner_.units_[key] = unsent;
            // Until the answer began: how long a transaction stays open is its client's doing.
            const Micros latency = outcome == Outcome::ok ? std::max(latency_, owner_.options_.latency_floor)
                                                          : owner_.clock_.now() - since_;
            owner_.end(key, outcome, whole, latency);
        }

        // Nobody hears what still comes; it is used again when that has ended.
        void set_aside() {
            if (closed_) return;
            aside_ = true;
            if (checking_) return;  // it settles with that
            stream_->pause(false);
            if (!machine_.output().empty()) return give_up();
            if (!machine_.quiet()) {
                if (!machine_.ends_by_itself()) return give_up();
                owner_.send_cancel(shared_from_this());
                limit_.after(owner_.options_.cancel_limit, [this] { give_up(); });
            }
            settle();
        }

        // Back to the pool, once nothing of the last unit is left.
        void settle() {
            if (closed_ || resetting_) return;
            const auto self = shared_from_this();
            if (machine_.quiet() && machine_.status() != 'I') return give_up();
            if (!machine_.quiet() || !machine_.between_messages() || cancels_ > 0) {  // comes again
                aside_ = true;
                if (!limit_.is_set()) limit_.after(owner_.options_.cancel_limit, [this] { give_up(); });
                return;
            }
            if (cancel_lost_) return give_up();
            aside_ = false;
            limit_.clear();
            if (!dirty_) {
                owner_.pool_.on_free(id_, owner_.clock_.now());
                return owner_.run();
            }
            resetting_ = true;
            machine_.own_query("DISCARD ALL");
            limit_.after(owner_.options_.cancel_limit, [this] { give_up(); });
            stream_->flush();
        }

        void was_reset(bool clean) {
            resetting_ = false;
            if (!clean) return give_up();
            dirty_ = false;
            limit_.clear();
            settle();
        }

        Impl& owner_;
        const LinkId id_;
        const UpstreamId upstream_;
        const Upstream where_;
        ServerMachine machine_;
        std::shared_ptr<Stream> stream_;
        Alarms::One limit_;
        std::weak_ptr<Unit> unit_;
        std::optional<core::AttemptKey> key_;
        Time since_{};
        Micros latency_{};
        int cancels_ = 0;
        bool cancel_lost_ = false;
        bool dirty_ = false, aside_ = false, resetting_ = false, closed_ = false;
        bool pumping_ = false, settle_due_ = false;
        bool checking_ = false;             // what the server is, before a unit is begun
        bool wrong_ = false, ear_ = false;  // the server's role; and this is kept for it to say otherwise
    };

    class Cancel final : public StreamOwner, public std::enable_shared_from_this<Cancel> {
    public:
        Cancel(Impl& owner, std::shared_ptr<Link> link)
            : owner_(owner),
              link_(std::move(link)),
              stream_(std::make_shared<Stream>(owner.executor_, *this)),
              limit_(owner.alarms_) {
            write_cancel(out_, link_->machine().key());
            ++owner_.budget_.open;
            link_->cancel_begun();
        }

        void open() {
            limit_.after(owner_.options_.cancel_limit, [this] { end(false); });
            stream_->connect(link_->where().address);
        }
        void close() {
            if (!link_) return;
            link_.reset();
            limit_.clear();
            stream_->close();
            --owner_.budget_.open;
        }

    private:
        void on_connected(const error_code& error) override {
            if (error) return end(true);  // it never went out
            stream_->begin();
            stream_->flush();
        }
        void on_bytes(std::string_view) override {}
        void on_end(const std::string&) override { end(true); }
        std::string_view pending() override { return out_; }
        void wrote(std::size_t bytes) override { out_.erase(0, bytes); }

        void end(bool delivered) {
            if (!link_) return;
            const auto self = shared_from_this();
            const auto link = link_;
            close();
            owner_.cancels_.erase(self);
            link->cancel_ended(delivered);
        }

        Impl& owner_;
        std::shared_ptr<Link> link_;
        std::string out_;
        std::shared_ptr<Stream> stream_;
        Alarms::One limit_;
    };

    // ---------------------------------------------------------------------------------------------- for
    // links

    ServerOptions server_options(const std::string& user) {
        ServerOptions options;
        options.user = user;
        options.database = options_.database;
        const auto secret = secrets_.find(user);
        if (secret != secrets_.end() && !secret->second.password.empty()) options.secret = &secret->second;
        options.tls = options_.tls;
        options.nonce = random_nonce();
        options.limits.whole = options_.message_most;
        options.prepared_most = options_.prepared_most;
        return options;
    }

    bool wrong_role(const ServerMachine& machine) const {
        if (options_.role == Role::any) return false;
        return machine.is_standby() != (options_.role == Role::replica);
    }

    void tell_role(UpstreamId id, bool right) {
        if (on_role_ && !stopped_) on_role_(id, right);
    }

    std::vector<std::shared_ptr<Link>> links_at(UpstreamId id) const {
        std::vector<std::shared_ptr<Link>> all;
        for (const auto& [link_id, link] : links_) {
            if (link->at() == id) all.push_back(link);
        }
        return all;
    }

    // Of a server that has the wrong role one connection stays.
    void keep_ear(UpstreamId id) {
        std::shared_ptr<Link> ear;
        for (const auto& link : links_at(id)) {
            if (!wrong_role(link->machine()) || link->machine().state() != ServerState::up) continue;
            if (!ear && (link->is_ear() || pool_.keep_apart(link->id()))) {
                ear = link;
                link->set_ear(true);
            } else if (link->is_ear()) {
                link->set_ear(false);
                pool_.on_gone(link->id());
                links_.erase(link->id());
                link->close();
            }
        }
    }

    // It is listed again: those that listened serve.
    void give_ears(UpstreamId id) {
        for (const auto& link : links_at(id)) {
            if (!link->is_ear()) continue;
            link->set_ear(false);
            pool_.on_free(link->id(), clock_.now());
        }
    }

    bool takes_work(UpstreamId id, const std::string& address) const {
        const auto found = upstreams_.find(id);
        return found != upstreams_.end() && found->second.takes_work && found->second.text == address;
    }

    void send_cancel(const std::shared_ptr<Link>& link) {
        if (budget_.open >= budget_.most) return;  // then its limit ends it
        const auto cancel = std::make_shared<Cancel>(*this, link);
        cancels_.insert(cancel);
        cancel->open();
    }

    void login_over() {
        run();
        if (login_ended_) login_ended_();
    }

    void end(core::AttemptKey key, Outcome outcome, bool whole, Micros latency = {}, bool own_fault = false) {
        const auto waiting = units_.find(key);
        const auto unit = waiting == units_.end() ? nullptr : waiting->second.lock();
        units_.erase(key);
        core::AttemptResult result;
        result.key = key;
        result.outcome = outcome;
        result.own_fault = own_fault;
        result.whole = whole;
        result.latency = latency;
        if (!unit) return core_.on_attempt_end(std::move(result));
        unit->ended_unsent([&] { core_.on_attempt_end(std::move(result)); });
    }

    std::shared_ptr<Link> carrying(core::AttemptKey key) const {
        const auto found = carrying_.find(key);
        return found == carrying_.end() ? nullptr : found->second.lock();
    }

    void drain(UpstreamId id) {
        const std::vector<std::shared_ptr<Link>> there = links_at(id);
        if (there.empty()) return;
        for (const auto& link : there) link->tell_drain(false);
        auto timer = std::make_shared<Alarms::One>(alarms_);
        std::vector<std::weak_ptr<Link>> left(there.begin(), there.end());
        drains_.push_back(timer);
        timer->after(options_.drain_limit, [this, left, raw = timer.get()] {
            const auto kept = left;
            std::erase_if(drains_, [&](const auto& each) { return each.get() == raw && drained(kept); });
        });
    }

    bool drained(const std::vector<std::weak_ptr<Link>>& links) {
        for (const auto& each : links) {
            const auto link = each.lock();
            if (link && !link->takes_work()) link->tell_drain(true);
        }
        return true;
    }

    // Does what the pool wants, one after another, never from within itself.
    void run() {
        if (running_ || stopped_) return;
        const auto self = shared_from_this();
        running_ = true;
        while (const auto action = pool_.next()) carry_out(*action);
        running_ = false;
        if (const auto next = pool_.next_time()) {
            pool_time_.set(*next, [this] {
                pool_.on_time(clock_.now());
                run();
            });
        } else {
            pool_time_.clear();
        }
    }

    void carry_out(const PoolAction& action) {
        switch (action.kind) {
            case PoolAction::Kind::open: return open_link(action);
            case PoolAction::Kind::end: return end(action.attempt, action.outcome, false);
            case PoolAction::Kind::close: {
                const auto found = links_.find(action.link);
                if (found == links_.end()) return;
                const auto link = found->second;
                links_.erase(found);
                return link->close();
            }
            case PoolAction::Kind::link: {
                const auto found = links_.find(action.link);
                const auto wanted = units_.find(action.attempt);
                const auto unit = wanted == units_.end() ? nullptr : wanted->second.lock();
                if (found != links_.end() && unit) {
                    units_.erase(wanted);
                    const auto link = found->second;
                    return link->carry(action.attempt, unit);
                }
                end(action.attempt, Outcome::moot, false);
                if (found != links_.end()) pool_.on_free(action.link, clock_.now());
                return;
            }
        }
    }

    void open_link(const PoolAction& action) {
        const auto where = upstreams_.find(action.upstream);
        if (where == upstreams_.end()) return pool_.on_login(action.link, LoginEnd::down, clock_.now());
        if (budget_.open >= budget_.most) {
            const auto oldest = pool_.longest_idle();
            const auto found = oldest ? links_.find(*oldest) : links_.end();
            if (found == links_.end()) return pool_.on_login(action.link, LoginEnd::own, clock_.now());
            const auto link = found->second;
            links_.erase(found);
            link->close();
            pool_.on_gone(*oldest);
        }
        const auto link =
            std::make_shared<Link>(*this, action.link, action.upstream, action.user, where->second);
        links_[action.link] = link;
        link->open();
    }

    const loop::Executor executor_;
    core::Core& core_;
    const loop::Clock& clock_;
    ServerBudget& budget_;
    Secrets& secrets_;
    BackOptions options_;
    Pool pool_;
    Alarms alarms_;
    Alarms::One pool_time_;
    std::unordered_map<UpstreamId, Upstream> upstreams_;
    std::unordered_map<LinkId, std::shared_ptr<Link>> links_;
    std::set<std::shared_ptr<Cancel>> cancels_;
    std::map<core::AttemptKey, std::weak_ptr<Unit>> units_;     // that wait in the pool's lines
    std::map<core::AttemptKey, std::weak_ptr<Link>> carrying_;  // that are linked
    std::vector<std::shared_ptr<Alarms::One>> drains_;
    std::map<std::string, ServerMachine::Reported> parameters_;
    std::string login_error_;
    std::function<void()> login_ended_;
    std::function<void(UpstreamId, bool)> on_role_;
    bool running_ = false, stopped_ = false;
};

Back::Back(const loop::Executor& executor, core::Core& core, const loop::Clock& clock, LoginGate& gate,
           ServerBudget& budget, Secrets& secrets, BackOptions options)
    : impl_(std::make_shared<Impl>(executor, core, clock, gate, budget, secrets, std::move(options))) {}
Back::~Back() { impl_->stop(); }

void Back::set_upstream(UpstreamId upstream, const std::string& address, bool takes_work) {
    impl_->set_upstream(upstream, address, takes_work);
}
void Back::remove_upstream(UpstreamId upstream) { impl_->remove_upstream(upstream); }
void Back::send(core::Attempt attempt) { impl_->send(attempt); }
void Back::cancel(core::AttemptKey attempt) { impl_->cancel(attempt); }
void Back::expire(core::AttemptKey attempt) { impl_->expire(attempt); }
void Back::close_idle(UpstreamId upstream) { impl_->close_idle(upstream); }
void Back::set_options(BackOptions options) { impl_->set_options(std::move(options)); }
void Back::on_gate() { impl_->on_gate(); }
void Back::on_login_end(std::function<void()> call) { impl_->on_login_end(std::move(call)); }
void Back::on_role(std::function<void(UpstreamId, bool)> call) { impl_->on_role(std::move(call)); }
const std::map<std::string, ServerMachine::Reported>* Back::parameters() const { return impl_->parameters(); }
const std::string& Back::login_error() const { return impl_->login_error(); }
std::size_t Back::links() const { return impl_->links(); }
std::size_t Back::waiting() const { return impl_->waiting(); }

}  // namespace flaxdoor::pg
