#include "http/back.h"

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
#include "loop/alarm.h"
#include "loop/sockets.h"

namespace flaxdoor::http {

namespace asio = boost::asio;
using loop::error_code;
using loop::tcp;

namespace {

constexpr double idle_share = 0.9;  // of the told idle limit, after which a kept connection is closed here
constexpr std::size_t read_most = 64 * 1024;
// A server that has spoken unasked is in doubt for so long (BackOptions::rest).
constexpr Micros doubted_for = std::chrono::seconds(10);

}  // namespace

class Back::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(const loop::Executor& loop, core::Core& core, const loop::Clock& clock, ConnectionBudget& budget,
         BackOptions options)
        : loop_(loop),
          core_(core),
          clock_(clock),
          budget_(budget),
          options_(std::move(options)),
          alarm_(loop, clock) {
        alarm_.on_due([this] { run_timers(); });
    }

    void set_upstream(UpstreamId id, const std::string& text, bool takes_work) {
        const tcp::endpoint address = loop::parse_endpoint(text);
        Upstream& upstream = upstreams_[id];
        upstream.takes_work = takes_work;
        if (upstream.address == address) return;
        upstream.address = address;
        close_idle(id);  // they lead to where it was
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
        for (const auto& link : idle) link->close();
    }

    void send(core::Attempt attempt) {
        const auto found = upstreams_.find(attempt.upstream);
        if (found == upstreams_.end()) return report_unsent(attempt.key, false);
        if (const Link link = take_idle(found->second)) {
            attempts_.emplace(attempt.key, link);
            return link->reuse(attempt);
        }
        if (!make_room()) return report_unsent(attempt.key, true);
        const auto link = std::make_shared<Connection>(*this, attempt.upstream, found->second.address);
        attempts_.emplace(attempt.key, link);
        link->connect(attempt);
    }

    void cancel(core::AttemptKey key) {
        if (const Link link = find(key)) link->cancel();
    }

    void expire(core::AttemptKey key) {
        if (const Link link = find(key)) link->expire();
    }

    void set_options(BackOptions options) { options_ = std::move(options); }
    std::size_t idle() const {
        std::size_t n = 0;
        for (const auto& [id, upstream] : upstreams_) n += upstream.idle.size();
        return n;
    }
    std::size_t known() const { return upstreams_.size(); }

    void stop() {
        for (auto& [id, upstream] : upstreams_) {
            for (const auto& link : upstream.idle) link->close();
            upstream.idle.clear();
        }
        const auto attempts = std::move(attempts_);
        attempts_.clear();
        for (const auto& [key, link] : attempts) link->close();
    }

private:
    class Connection;
    using Link = std::shared_ptr<Connection>;
    using Timers = core::Timers<std::weak_ptr<Connection>>;

    struct Upstream {
        tcp::endpoint address;
        bool takes_work = true;
        std::vector<Link> idle;  // the one used last stands last
        Time doubted_until{};    // it has spoken on a connection that carried nothing
    };

    // One connection, which carries one exchange at a time. Its end is always listened for, also while it is
    // kept.
    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(Impl& owner, UpstreamId upstream, tcp::endpoint address)
            : owner_(owner),
              upstream_(upstream),
              address_(std::move(address)),
              socket_(owner.loop_),
              machine_(owner.options_.body) {
            ++owner_.budget_.open;
        }

        UpstreamId upstream() const { return upstream_; }
        const tcp::endpoint& address() const { return address_; }
        Time since() const { return since_; }
        bool is_quiet() { return loop::quiet(socket_); }

        void connect(const core::Attempt& attempt) {
            begin(attempt);
            error_code error;
            loop::open(socket_, error);
            if (error && owner_.give_way()) loop::open(socket_, error);
            if (!error) socket_.non_blocking(true, error);
            if (error) return end(Outcome::connect_failed, loop::own_want(error));
            error_code ignored;
            socket_.set_option(tcp::no_delay(true), ignored);
            if (owner_.options_.connect > Micros{0}) arm(since_ + owner_.options_.connect);
            socket_.async_connect(address_, [self = shared_from_this()](error_code failed) {
                if (self->closed_ || !self->key_) return;
                self->connected(failed);
            });
        }

        void reuse(const core::Attempt& attempt) {
            disarm();
            begin(attempt);
            say();
        }

        // Of one that is not quiet: what came, and its end.
        void hear_out() {
            if (!closed_) read();
            close();
        }

        // The connection goes with the attempt: what may still come on it belongs to no other.
        void cancel() { end(Outcome::cancelled); }

        // Guards against an answer that is there, unread, because this program itself was late. What was
        // never handed over whole has not run.
        void expire() {
            if (connected_) read();
            if (!key_) return;
            end(connected_ && machine_.whole() ? Outcome::timeout : Outcome::moot);
        }

        // Its own timer: a connection that was not made in time, or one that was kept long enough.
        void time_up() {
            timer_.reset();
            if (closed_) return;
            if (!key_) return owner_.forget(shared_from_this());
            // Guards against an upstream blamed for this program's own lateness: it is connected, and that
            // has only not been heard of yet.
            if (!loop::writable(socket_)) end(Outcome::connect_failed);
        }

        void rest() {
            since_ = owner_.clock_.now();
            if (owner_.options_.idle <= Micros{0}) return;
            const auto trusted = static_cast<double>(owner_.options_.idle.count()) * idle_share;
            arm(since_ + Micros(std::llround(trusted)));
        }

        void close() {
            if (closed_) return;
            closed_ = true;
            key_.reset();
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

        // The time left is told as it is now: the connection may have taken long to come up. Said anew with each
        // attempt, in the one message that all of them share.
        void say() {
            Request& message = payload_->message;
            set_budget(message, expires_ - owner_.clock_.now());
            (void)machine_.begin(to_bytes(message), message.method == "HEAD");
            if (!owner_.options_.keep_errors) payload_.reset();
            write();
        }

        void connected(const error_code& failed) {
            disarm();
            if (failed) return end(Outcome::connect_failed, loop::own_want(failed));
            // Guards against new work for an upstream that was told to drain while the connection came up.
            owner_.core_.heed_lists();
            if (closed_ || !key_) return;
            if (!owner_.takes_work(upstream_, address_)) return end(Outcome::moot);
            connected_ = true;
            await_read();
            say();
        }

        void write() {
            const std::string_view out = machine_.output();
            if (out.empty() || blocked_) return;
            if (!owner_.core_.on_attempt_sending(*key_)) return end(Outcome::moot);
            const loop::Written written = loop::write_some(socket_, out);
            machine_.wrote(written.bytes);
            if (written.broken) return take(machine_.reset());
            if (written.bytes == out.size()) return;
            blocked_ = true;
            socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
                self->blocked_ = false;
                if (!error && !self->closed_ && self->key_) self->write();
            });
        }

        void await_read() {
            if (reading_) return;
            reading_ = true;
            socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
                self->reading_ = false;
                if (error || self->closed_) return;
                self->read();
                if (!self->closed_) self->await_read();
            });
        }

        void read() {
            std::array<char, read_most> room;
            while (!closed_) {
                const loop::Read got = loop::read_some(socket_, room);
                switch (got.kind) {
                    case loop::Read::Kind::nothing: return;
                    case loop::Read::Kind::bytes:
                        if (!key_) owner_.doubt(upstream_);
                        take(machine_.receive(got.bytes));
                        break;
                    case loop::Read::Kind::end: return take(machine_.receive_end());
                    case loop::Read::Kind::broken: return take(machine_.reset());
                }
                if (got.bytes.size() < room.size()) return;
            }
        }

        void take(std::optional<ClientResult> result) {
            if (!result) return;
            switch (result->kind) {
                case ClientResult::Kind::answered: return answered(*result);
                // What has come is no answer. The upstream lives, unlike after a reset.
                case ClientResult::Kind::spoilt: return end(Outcome::error);
                case ClientResult::Kind::never_ran: return end(Outcome::connect_failed);
                case ClientResult::Kind::may_have_run: return end(Outcome::reset);
                case ClientResult::Kind::unasked: return owner_.forget(shared_from_this());
            }
        }

        void answered(ClientResult& result) {
            const auto self = shared_from_this();
            core::AttemptResult end;
            end.key = *key_;
            end.outcome =
                owner_.options_.meaning ? owner_.options_.meaning(result.answer) : outcome_of(result.answer);
            end.whole = machine_.whole();
            end.latency = owner_.clock_.now() - since_;
            if (end.outcome == Outcome::ok)
                end.latency = std::max(end.latency, owner_.options_.latency_floor);
            end.report = report_of(result.answer, owner_.options_.report_fields);
            if (end.outcome == Outcome::ok) {
                end.answer = std::make_unique<ResponsePayload>(std::move(result.answer));
            } else if (payload_) {
                payload_->error_answer = std::move(result.answer);
            }
            payload_.reset();
            key_.reset();
            owner_.attempts_.erase(end.key);
            if (result.reusable) {
                owner_.keep(self);
            } else {
                close();
            }
            owner_.core_.on_attempt_end(std::move(end));
        }

        void end(Outcome outcome, bool own_fault = false) {
            const auto self = shared_from_this();
            core::AttemptResult result;
            result.key = *key_;
            result.outcome = outcome;
            result.own_fault = own_fault;
            result.whole = connected_ && machine_.whole();
            result.latency = owner_.clock_.now() - since_;
            if (payload_ && owner_.options_.keep_errors)
                payload_->error_answer.reset();  // of an attempt before
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
        const UpstreamId upstream_;
        const tcp::endpoint address_;
        tcp::socket socket_;
        ClientMachine machine_;
        std::shared_ptr<RequestPayload> payload_;  // until it is said, and further where errors are kept
        Time expires_{};                           // of the attempt
        std::optional<core::AttemptKey> key_;      // of the attempt that it carries
        std::optional<Timers::Handle> timer_;
        Time since_{};  // when the attempt was sent, or when the connection was put by
        bool connected_ = false;
        bool blocked_ = false;  // the socket takes no more for now
        bool reading_ = false;
        bool closed_ = false;
    };

    Link find(core::AttemptKey key) const {
        const auto found = attempts_.find(key);
        return found == attempts_.end() ? nullptr : found->second;
    }

    void report_unsent(core::AttemptKey key, bool own_fault) {
        core::AttemptResult result;
        result.key = key;
        result.own_fault = own_fault;
        core_.on_attempt_end(std::move(result));
    }

    bool takes_work(UpstreamId id, const tcp::endpoint& address) const {
        const auto found = upstreams_.find(id);
        return found != upstreams_.end() && found->second.takes_work && found->second.address == address;
    }

    // Guards against a kept connection that has ended unnoticed so far: what is written to it would be a
    // reset, and may have run.
    Link take_idle(Upstream& upstream) {
        const Time now = clock_.now();
        while (!upstream.idle.empty()) {
            const auto young = [&](const Link& link) { return now - link->since() < options_.rest; };
            auto chosen = std::find_if(upstream.idle.begin(), upstream.idle.end(), young);
            if (chosen != upstream.idle.begin()) {
                --chosen;  // of those that have rested, the one used last
            } else if (now < upstream.doubted_until) {
                return nullptr;
            }
            const Link link = std::move(*chosen);
            upstream.idle.erase(chosen);
            if (link->is_quiet()) return link;
            link->hear_out();
        }
        return nullptr;
    }

    void doubt(UpstreamId id) {
        const auto found = upstreams_.find(id);
        if (found != upstreams_.end()) found->second.doubted_until = clock_.now() + doubted_for;
    }

    // At the cap, the connection that was kept longest makes room.
    bool make_room() { return budget_.open < budget_.most || give_way(); }

    bool give_way() {
        Link oldest;
        for (const auto& [id, upstream] : upstreams_) {
            if (upstream.idle.empty()) continue;
            if (!oldest || upstream.idle.front()->since() < oldest->since()) oldest = upstream.idle.front();
        }
        if (!oldest) return false;
        forget(oldest);
        return true;
    }

    // Guards against connections of an upstream that has gone or moved: none may serve whoever comes after
    // it.
    void keep(const Link& link) {
        const auto found = upstreams_.find(link->upstream());
        if (found == upstreams_.end() || found->second.address != link->address()) return link->close();
        link->rest();
        found->second.idle.push_back(link);
    }

    void forget(const Link& link) {
        const Link held = link;
        const auto found = upstreams_.find(held->upstream());
        if (found != upstreams_.end()) std::erase(found->second.idle, held);
        held->close();
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
            if (const Link link = due->lock()) link->time_up();
        }
        if (const auto next = timers_.next()) alarm_.set(*next);
    }

    loop::Executor loop_;
    core::Core& core_;
    const loop::Clock& clock_;
    ConnectionBudget& budget_;
    BackOptions options_;
    std::unordered_map<UpstreamId, Upstream> upstreams_;
    std::map<core::AttemptKey, Link> attempts_;
    Timers timers_;
    loop::Alarm alarm_;
};

Back::Back(const loop::Executor& loop, core::Core& core, const loop::Clock& clock, ConnectionBudget& budget,
           BackOptions options)
    : impl_(std::make_shared<Impl>(loop, core, clock, budget, std::move(options))) {}
Back::~Back() { impl_->stop(); }

void Back::set_upstream(UpstreamId upstream, const std::string& address, bool takes_work) {
    impl_->set_upstream(upstream, address, takes_work);
}
void Back::remove_upstream(UpstreamId upstream) { impl_->remove_upstream(upstream); }
void Back::send(core::Attempt attempt) { impl_->send(std::move(attempt)); }
void Back::cancel(core::AttemptKey attempt) { impl_->cancel(attempt); }
void Back::expire(core::AttemptKey attempt) { impl_->expire(attempt); }
void Back::close_idle(UpstreamId upstream) { impl_->close_idle(upstream); }
void Back::set_options(BackOptions options) { impl_->set_options(std::move(options)); }
std::size_t Back::idle() const { return impl_->idle(); }
std::size_t Back::known() const { return impl_->known(); }

}  // namespace flaxdoor::http
