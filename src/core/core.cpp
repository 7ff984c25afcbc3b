#include "core/core.h"

#include <algorithm>
#include <deque>
#include <exception>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>

#include "core/addresses.h"
#include "core/timers.h"

namespace flaxdoor::core {

const char* text_of(Cause cause) {
    switch (cause) {
        case Cause::none: return "none";
        case Cause::no_room: return "no room";
        case Cause::over_budget: return "over budget";
        case Cause::turned_away: return "turned away";
        case Cause::timed_out: return "timed out";
        case Cause::broken: return "broken";
        case Cause::error: return "error";
        case Cause::broken_off: return "broken off";
        case Cause::overdue: return "overdue";
        case Cause::own_shortage: return "own shortage";
        case Cause::pool_removed: return "pool removed";
        case Cause::shutting_down: return "shutting down";
        case Cause::fault: return "fault";
    }
    return "unknown";
}

namespace {

// The last guard comes after the deadline, also where nothing passes unseen.
constexpr Micros guard_after{1};
// Beyond this a client's figure is taken for so much: sums of times must not overflow.
constexpr Micros longest_wait = std::chrono::hours(24);
// A back that could not take in that an attempt's time is up is told again after so long.
constexpr Micros told_again = std::chrono::milliseconds(10);

// What was told is heeded after so long at the latest, however much else there is to do.
constexpr Micros heed_again = std::chrono::milliseconds(20);

bool has_run(Outcome outcome, bool whole) {
    switch (outcome) {
        case Outcome::ok:
        case Outcome::error:
        case Outcome::timeout:
        case Outcome::reset: return true;
        case Outcome::cancelled: return whole;
        case Outcome::full:
        case Outcome::connect_failed:
        case Outcome::moot: return false;
    }
    return true;
}

// Its end here is not its end there.
bool in_doubt(Outcome outcome, bool whole) {
    return outcome == Outcome::timeout || outcome == Outcome::reset ||
           (outcome == Outcome::cancelled && whole);
}

Cause cause_of(Outcome outcome) {
    switch (outcome) {
        case Outcome::timeout: return Cause::timed_out;
        case Outcome::reset: return Cause::broken;
        case Outcome::error: return Cause::error;
        default: return Cause::turned_away;
    }
}

// Guards against a tenant that gains by being unknown: all who are share one more place, with the smallest
// quota.
void add_unknown_tenant(Settings& settings) {
    double least = 0;
    for (const auto& t : settings.tenants) {
        if (t.quota_per_s > 0 && (least == 0 || t.quota_per_s < least)) least = t.quota_per_s;
    }
    if (settings.tenants.empty()) return;
    TenantSettings unknown;
    unknown.quota_per_s = least;
    settings.tenants.push_back(unknown);
}

}  // namespace

class Core::Impl {
public:
    Impl(const Clock& clock, Alarm& alarm, Log& log, Options options)
        : clock_(clock), alarm_(alarm), log_(log), options_(options) {}

    // ---------------------------------------------------------------------------------------------- pools

    PoolId add_pool(PoolOptions options, Back& back, Source* source) {
        const PoolId id = ++last_pool_;
        auto pool = std::make_unique<Pool>(*this, id, std::move(options), back, source);
        Pool& made = *pool;
        pools_.emplace(id, std::move(pool));
        try {
            made.begin(now());
        } catch (...) {
            drop_actions(id);
            forget_pool_timers(id);
            pools_.erase(id);
            throw;
        }
        pump();
        return id;
    }

    void change_pool(PoolId id, const Settings& settings) {
        Pool* const pool = find_pool(id);
        if (!pool) return;
        Settings changed = settings;
        add_unknown_tenant(changed);
        pool->policy->on_settings(now(), changed);
        // Calls that wait in the queue have not been told to the module: they are what their names are now. The
        // others stay what they were when it heard of them.
        for (auto& [call, open] : open_) {
            if (open.call.pool == id) follow_names(open, pool->settings, settings);
        }
        pool->settings = settings;
        pump();
    }

    void remove_pool(PoolId id) {
        Pool* const pool = find_pool(id);
        if (!pool) return;
        pool->going = true;
        events_.emplace_back(Removal{id, false});
        pump();
    }

    const Settings* settings(PoolId id) const {
        const auto found = pools_.find(id);
        return found == pools_.end() || found->second->going ? nullptr : &found->second->settings;
    }

    std::optional<UpstreamMemory> learned(PoolId id, UpstreamId upstream) const {
        const auto found = pools_.find(id);
        if (found == pools_.end() || found->second->going) return std::nullopt;
        return found->second->policy->learned(upstream);
    }

    // ---------------------------------------------------------------------------------------------- fronts

    Taken take(Call call, Front& front, std::uint64_t token, CallId* id) {
        heed_lists();
        Pool* const pool = find_pool(call.pool);
        if (closed_) return Taken::shutting_down;
        if (!pool) return Taken::no_pool;
        const auto& classes = pool->settings.classes;
        if (call.class_index < 0 || static_cast<std::size_t>(call.class_index) >= classes.size()) {
            return Taken::bad_class;
        }
        const bool unknown = call.tenant.kind == Tenant::Kind::unknown && !pool->settings.tenants.empty();
        if (options_.refuse_unknown_tenants && unknown) return Taken::unknown_tenant;
        if (options_.open_calls > 0 && waiting_ >= options_.open_calls) return Taken::too_many;
        const Time at = now();
        settle_doubts(at);
        // Guards against an effect twice: servers know a call by its name, so of two under the same one that
        // may both run, one is a repeat, and their answers could not be told apart.
        if (!call.name.empty() && !names_.insert(call.name).second) return Taken::name_open;
        const CallId number = ++last_call_;
        if (id) *id = number;
        Open& open = open_[number];
        open.id = number;
        open.be_of(classes[class_of(call)]);
        open.front = &front;
        open.token = token;
        const Time received = call.received > Time{} ? std::min(call.received, at) : at;
        const Micros budget =
            call.budget > Micros{0} ? std::min(call.budget, longest_wait) : options_.own_limit;
        const Micros unseen = std::max(call.unseen, Micros{0});
        open.deadline = received + budget - std::min(unseen, budget / 2);
        const Time guard = received + budget - std::min(unseen / 2, budget / 4);
        open.guard = timers_.set(std::max(guard, open.deadline + guard_after), {TimerKind::guard, number, 0});
        open.call = std::move(call);
        ++figures_.taken;
        ++waiting_;
        if (admit(open, *pool, at)) {
            events_.emplace_back(NewCall{number});
        } else {
            events_.emplace_back(Denied{number});
        }
        pump();
        return Taken::yes;
    }

    bool name_open(const std::string& name) {
        settle_doubts(now());
        return names_.contains(name);
    }

    bool leave(CallId id) {
        const auto found = open_.find(id);
        if (found == open_.end() || found->second.answered) return false;
        Open& open = found->second;
        const bool may_have_run = open.may_have_run();
        end_waiting(open);
        ++figures_.left;
        events_.emplace_back(Gone{id, open.call.pool});
        pump();
        return may_have_run;
    }

    void close() { closed_ = true; }
    void set_own_limit(Micros limit) { options_.own_limit = limit; }

    // ----------------------------------------------------------------------------------------------- backs

    bool on_attempt_sending(AttemptKey key) {
        Sent* const sent = find_sent(key);
        if (!sent) return false;
        Open& open = open_.at(key.call);
        Pool* const pool = find_pool(open.call.pool);
        // Guards against a repeat whose connection comes up, or whose last bytes find room, after the window in
        // which servers drop it: the module judged it when it chose the server (rule 2).
        const Time at = clock_.now();
        if (open.answered || !pool || !open.within_window(*sent, at, pool->settings.tick)) return false;
        if (!sent->sending && !may_begin(open, key, at)) return false;
        if (!open.sending_told) {
            bool wanted = true;
            tell([&] { wanted = open.front->on_sending(open.token); });
            if (!wanted) {
                if (open.permits) tell([&] { open.permits->end(key.number, true, at); });
                return false;
            }
            open.sending_told = true;
        }
        if (!std::exchange(sent->sending, true)) sent->began = at;
        return true;
    }

    void on_attempt_started(AttemptKey key, Micros latency, std::unique_ptr<Payload> head) {
        events_.emplace_back(Start{key, latency, std::move(head)});
        pump();
    }

    void on_attempt_end(AttemptResult result) {
        heed_lists();
        events_.emplace_back(std::move(result));
        pump();
    }

    void on_list(PoolId id, MemberList list) {
        events_.emplace_back(News{id, std::move(list)});
        pump();
    }

    // Guards against work sent to a server that was told to drain while this program stood still: the order
    // in which sockets are read after that is chance.
    void heed_lists() {
        const Time at = clock_.now();
        if (pumping_ || heeding_ || at - heeded_ < heed_again) return;
        heeded_ = at;
        heeding_ = true;
        tell([&] {
            std::vector<PoolId> all;  // what is heard may add pools and remove them
            for (const auto& [id, pool] : pools_) all.push_back(id);
            for (const PoolId id : all) {
                Pool* const pool = find_pool(id);
                if (pool && pool->source) tell([&] { pool->source->catch_up(); });
            }
        });
        heeding_ = false;
    }

    // Timers that are set meanwhile come in a later turn, even when they are due at once.
    void on_alarm() {
        heed_lists();
        armed_.reset();
        const Time at = clock_.now();
        for (std::size_t most = timers_.size(); most > 0; --most) {
            const auto due = timers_.take(at);
            if (!due) break;
            events_.emplace_back(*due);
            forget_handle(*due);
            pump();
        }
        arm();
    }

    Figures figures() const {
        Figures f = figures_;
        f.open = open_.size();
        f.waiting = waiting_;
        f.pools = pools_.size();
        f.addresses = addresses_.size();
        f.timers = timers_.size();
        f.doubts = doubts_.size();
        return f;
    }

private:
    enum class TimerKind { guard, expiry, started, policy };
    struct Due {
        TimerKind kind = TimerKind::policy;
        std::uint64_t of = 0;      // a call, or a pool
        std::uint64_t number = 0;  // of the attempt, or the module's token
    };
    using Handle = Timers<Due>::Handle;

    struct Sent {
        UpstreamId upstream = 0;
        std::optional<Handle> expiry;
        bool out = true;
        bool sending = false;      // its first byte was handed over
        Time began{};              //   then
        bool cancellable = false;  // its back has it, and has not been told
        bool may_have_run = false;
        bool own_fault = false;
        Outcome outcome = Outcome::moot;
    };

    // A call until it is answered and all of its attempts have ended.
    struct Open {
        CallId id = 0;
        Call call;
        Effect effect = Effect::unsafe;
        Group group = Group::all;
        Micros window{};  // the shortest while it was open
        Front* front = nullptr;
        std::uint64_t token = 0;
        Time deadline{};
        std::vector<Sent> attempts;
        int in_flight = 0;
        int started = -1;       // the attempt that the client has the first bytes of
        bool told = false;      // to the module
        bool answered = false;  // or left
        bool sending_told = false;
        bool in_doubt = false;  // an attempt of it ended here without its end there being known
        std::optional<Handle> guard;
        std::unique_ptr<Permits> permits;
        std::optional<Micros> denied;  // for want of one: when to come back, as far as known

        bool may_have_run() const {
            return std::any_of(attempts.begin(), attempts.end(),
                               [](const Sent& s) { return s.out ? s.sending : s.may_have_run; });
        }
        // A copy for which there is no permit ends alone: what is under way may still be served.
        bool others_out(int number) const {
            for (std::size_t i = 0; i < attempts.size(); ++i) {
                if (static_cast<int>(i) != number && attempts[i].out) return true;
            }
            return false;
        }
        void be_of(const ClassSettings& its) {
            effect = its.effect;
            group = its.group;
            window = its.window;
        }
        // May bytes of this attempt go out at that time, or may servers have forgotten by then what they drop
        // repeats of? Each other attempt that may have run began when its first byte was handed over.
        bool within_window(const Sent& sent, Time at, Micros margin) const {
            return effect != Effect::keyed ||
                   std::none_of(attempts.begin(), attempts.end(), [&](const Sent& s) {
                       return &s != &sent && s.began > Time{} && (s.out || s.may_have_run) &&
                              at + margin >= s.began + window;
                   });
        }
        // Is a repeat harmless although it may have run?
        bool repeatable() const {
            return effect == Effect::safe || (effect == Effect::keyed && group == Group::all);
        }
    };

    struct Action {
        enum class Kind { submit, refuse, fail, cancel, watch, unwatch, fetch, close_idle, log };
        Kind kind = Kind::fail;
        PoolId pool = 0;
        RequestId request = 0;
        UpstreamId upstream = 0;
        Micros span{};
        int attempt = 0;
        std::string text;
    };

    // One module with its list. What it asks for waits in the core's queue, and so does what it logs: it is
    // never on the stack when a port is called.
    struct Pool final : Actions {
        Pool(Impl& owner, PoolId number, PoolOptions options, Back& its_back, Source* its_source)
            : core(owner),
              id(number),
              name(std::move(options.name)),
              settings(std::move(options.settings)),
              seed(options.seed),
              back(its_back),
              source(its_source) {}

        // The module asks for timers while it is made.
        void begin(Time now) {
            Settings told = settings;
            add_unknown_tenant(told);
            policy = std::make_unique<Policy>(told, seed, now, *this);
        }

        void ask(Action action) {
            action.pool = id;
            core.actions_.push_back(std::move(action));
        }
        void submit(RequestId request, UpstreamId upstream, Micros timeout) override {
            ask({Action::Kind::submit, 0, request, upstream, timeout, 0, {}});
        }
        void refuse(RequestId request, Micros retry_after) override {
            ask({Action::Kind::refuse, 0, request, 0, retry_after, 0, {}});
        }
        void fail(RequestId request) override { ask({Action::Kind::fail, 0, request, 0, {}, 0, {}}); }
        void cancel(RequestId request, int attempt) override {
            ask({Action::Kind::cancel, 0, request, 0, {}, attempt, {}});
        }
        void set_timer(Time at, std::uint64_t token) override {
            core.timers_.set(at, {TimerKind::policy, id, token});
        }
        void watch() override { ask({Action::Kind::watch, 0, 0, 0, {}, 0, {}}); }
        void unwatch() override { ask({Action::Kind::unwatch, 0, 0, 0, {}, 0, {}}); }
        void fetch() override { ask({Action::Kind::fetch, 0, 0, 0, {}, 0, {}}); }
        void close_idle(UpstreamId upstream) override {
            ask({Action::Kind::close_idle, 0, 0, upstream, {}, 0, {}});
        }
        // Neither is allowed where this core serves.
        void probe(UpstreamId) override { core.fault("the module asked for a probe"); }
        void tell(std::optional<int>, std::string_view) override {
            core.fault("the module wrote to its peers");
        }
        void log(std::string_view line) override {
            ask({Action::Kind::log, 0, 0, 0, {}, 0, std::string(line)});
        }

        Impl& core;
        const PoolId id;
        const std::string name;
        Settings settings;  // as they were handed in
        const std::uint64_t seed;
        Back& back;
        Source* const source;
        std::unordered_map<UpstreamId, Member> members;
        std::uint64_t version = 0;
        bool going = false;
        std::unique_ptr<Policy> policy;
    };

    // ---------------------------------------------------------------------------------------------- events
    struct NewCall {
        CallId call = 0;
    };
    struct Gone {
        CallId call = 0;
        PoolId pool = 0;
    };
    // There is no permit for it, or none any more.
    struct Denied {
        CallId call = 0;
        int attempt = -1;  // that was about to begin; -1: none was made yet
    };
    struct Start {
        AttemptKey key;
        Micros latency{};
        std::unique_ptr<Payload> head;
    };
    struct News {
        PoolId pool = 0;
        MemberList list;
    };
    struct Removal {
        PoolId pool = 0;
        bool answered = false;  // all that it held has been
    };
    using Event = std::variant<NewCall, Gone, Denied, Start, AttemptResult, News, Removal, Due>;

    struct Doubt {
        Time until{};
        std::string name;
    };

    Time now() { return now_ = std::max(now_, clock_.now()); }

    template <typename Facts>
    static std::size_t class_of(const Facts& facts) {
        return static_cast<std::size_t>(facts.class_index);
    }
    static std::size_t class_of(const Open& open) { return class_of(open.call); }

    Pool* find_pool(PoolId id) {
        const auto found = pools_.find(id);
        return found == pools_.end() || found->second->going ? nullptr : found->second.get();
    }

    Sent* find_sent(AttemptKey key) {
        const auto found = open_.find(key.call);
        if (found == open_.end() || key.number < 0) return nullptr;
        auto& attempts = found->second.attempts;
        const auto number = static_cast<std::size_t>(key.number);
        return number < attempts.size() && attempts[number].out ? &attempts[number] : nullptr;
    }

    static void follow_names(Open& open, const Settings& before, const Settings& now) {
        Call& call = open.call;
        if (call.class_index < 0) return;
        call.class_index = place_of(now.classes, before.classes[class_of(call)].name);
        if (call.class_index >= 0) {
            const ClassSettings& its = now.classes[class_of(call)];
            if (!open.told) {
                open.be_of(its);
            } else if (its.effect == open.effect && its.group == open.group) {
                open.window = std::min(open.window, its.window);
            }
        }
        if (open.told) return;
        Tenant& tenant = call.tenant;
        if (tenant.kind != Tenant::Kind::known) return;
        const auto number = static_cast<std::size_t>(tenant.number);
        const int place =
            number < before.tenants.size() ? place_of(now.tenants, before.tenants[number].name) : -1;
        tenant = place < 0 ? Tenant{Tenant::Kind::unknown, 0} : Tenant{Tenant::Kind::known, place};
    }

    // -1: there is none of that name.
    template <typename Named>
    static int place_of(const std::vector<Named>& all, const std::string& name) {
        const auto found =
            std::find_if(all.begin(), all.end(), [&](const Named& n) { return n.name == name; });
        return found == all.end() ? -1 : static_cast<int>(found - all.begin());
    }

    // Neither a module nor what it asked for is ever entered again from within: what comes up meanwhile waits
    // here.
    void pump() {
        if (pumping_) return;
        pumping_ = true;
        while (!events_.empty() || !actions_.empty()) {
            if (!actions_.empty()) {
                const Action action = std::move(actions_.front());
                actions_.pop_front();
                guarded(action.request, [&] { run(action); });
                continue;
            }
            Event event = std::move(events_.front());
            events_.pop_front();
            now();
            const CallId call = call_of(event);
            guarded(call, [&] { std::visit([this](auto& e) { handle(e); }, event); });
        }
        pumping_ = false;
        arm();
    }

    // Guards against a queue that stays shut, and against a call without an answer, whatever throws.
    template <typename Work>
    void guarded(CallId call, Work work) {
        try {
            work();
            return;
        } catch (const std::exception& error) {
            fault(error.what());
        } catch (...) {
            fault("unknown exception");
        }
        const auto found = open_.find(call);
        if (found == open_.end()) return;
        Open& open = found->second;
        try {
            if (!open.answered)
                answer(open, {Verdict::failed, Cause::fault, {}, open.may_have_run(), nullptr});
            events_.emplace_back(Gone{call, open.call.pool});
        } catch (...) {
            fault("a call could not be told of it");
        }
    }

    void fault(std::string_view what) noexcept {
        ++figures_.faults;
        try {
            log_.tell(events::fault, what);
        } catch (...) {  // there is nobody left to tell
        }
    }

    static CallId call_of(const Event& event) {
        if (const auto* e = std::get_if<NewCall>(&event)) return e->call;
        if (const auto* e = std::get_if<Denied>(&event)) return e->call;
        if (const auto* e = std::get_if<Start>(&event)) return e->key.call;
        if (const auto* e = std::get_if<AttemptResult>(&event)) return e->key.call;
        const auto* due = std::get_if<Due>(&event);
        return due && due->kind != TimerKind::policy ? due->of : 0;
    }

    void handle(const NewCall& event) {
        const auto found = open_.find(event.call);
        if (found == open_.end() || found->second.answered) return;
        Open& open = found->second;
        Pool* const pool = find_pool(open.call.pool);
        // The pool's last answer has yet to come to it, or its class went before it was told of it.
        if (!pool || open.call.class_index < 0) {
            if (pool) answer(open, {Verdict::refused, Cause::pool_removed, {}, false, nullptr});
            if (pool) forget_if_over(event.call);
            return;
        }
        open.told = true;
        Request request;
        request.id = event.call;
        request.class_index = open.call.class_index;
        const auto tenants = static_cast<int>(pool->settings.tenants.size());
        switch (open.call.tenant.kind) {
            case Tenant::Kind::none: break;
            case Tenant::Kind::known: request.tenant = std::clamp(open.call.tenant.number, 0, tenants); break;
            case Tenant::Kind::unknown: request.tenant = tenants; break;
        }
        request.key = open.call.key;
        request.deadline = open.deadline;
        request.cost_hint = open.call.cost_hint;
        request.client_retry = open.call.client_retry;
        request.write = open.call.write;
        request.pinned = open.call.pinned;
        pool->policy->on_request(now_, request);
    }

    void handle(const Gone& event) {
        const auto found = open_.find(event.call);
        if (found != open_.end()) cancel_unsent(found->second);
        forget_if_over(event.call);
        if (Pool* const pool = find_pool(event.pool)) pool->policy->on_client_gone(now_, event.call);
    }

    void handle(const Denied& event) {
        const auto found = open_.find(event.call);
        if (found == open_.end() || found->second.answered) return;
        Open& open = found->second;
        if (open.others_out(event.attempt)) return;
        give_up(open);
        if (open.told) events_.emplace_back(Gone{event.call, open.call.pool});
        forget_if_over(event.call);
    }

    void handle(Start& event) {
        Sent* const sent = find_sent(event.key);
        if (!sent) return;
        Open& open = open_.at(event.key.call);
        if (open.started >= 0) return;
        Pool* const pool = find_pool(open.call.pool);
        if (!pool) return;
        if (open.answered) return cancel(open, *sent, *pool);
        open.started = event.key.number;
        if (!std::exchange(sent->sending, true)) sent->began = now_;
        drop(open.guard);
        drop(sent->expiry);
        if (open.call.started_limit > Micros{0}) {
            const Time limit = now_ + std::min(open.call.started_limit, longest_wait);
            sent->expiry = timers_.set(limit, expiry_of(event.key));
        }
        tell([&] { open.front->on_started(open.token, std::move(event.head)); });
        pool->policy->on_started(now_, {event.key.call, event.key.number, sent->upstream, event.latency});
        for (Sent& other : open.attempts) {
            if (&other != sent) cancel(open, other, *pool);
        }
    }

    void handle(AttemptResult& result) {
        Sent* const sent = find_sent(result.key);
        if (!sent) return;
        const auto found = open_.find(result.key.call);
        Open& open = found->second;
        drop(sent->expiry);
        sent->out = false;
        sent->own_fault = result.own_fault;
        sent->outcome = result.own_fault ? Outcome::moot : result.outcome;
        sent->may_have_run = has_run(sent->outcome, result.whole);
        const bool unknown = in_doubt(sent->outcome, result.whole);
        open.in_doubt |= unknown;
        if (open.permits) {
            tell([&] { open.permits->end(result.key.number, !unknown || !sent->sending, now_); });
        }
        --open.in_flight;
        const bool mine = open.started < 0 || open.started == result.key.number;
        AttemptEnd end;
        end.request = result.key.call;
        end.attempt = result.key.number;
        end.outcome = sent->outcome;
        end.latency = result.latency;
        end.upstream = sent->upstream;
        end.report = std::move(result.report);
        // The first 200 goes on before the module hears of it.
        if (!open.answered && mine && sent->outcome == Outcome::ok) {
            answer(open, {Verdict::served, Cause::none, {}, true, std::move(result.answer)});
        } else if (!open.answered && open.started == result.key.number) {
            answer(open, {Verdict::failed, Cause::broken_off, {}, true, nullptr});
        }
        end.closed = open.answered || open.started >= 0;
        if (Pool* const pool = find_pool(open.call.pool)) pool->policy->on_attempt_end(now_, end);
        forget_if_over(result.key.call);
    }

    void handle(const Due& due) {
        if (due.kind == TimerKind::policy) {
            Pool* const pool = find_pool(static_cast<PoolId>(due.of));
            if (pool) pool->policy->on_timer(now_, due.number);
            return;
        }
        const auto found = open_.find(due.of);
        if (found == open_.end()) return;
        Open& open = found->second;
        if (due.kind == TimerKind::guard) return answer_overdue(due.of, open);
        const AttemptKey key{due.of, static_cast<int>(due.number)};
        Pool* const pool = find_pool(open.call.pool);
        Sent* const sent = find_sent(key);
        if (!pool || !sent) return;
        if (!tell([&] { pool->back.expire(key); })) sent->expiry = timers_.set(now_ + told_again, due);
    }

    // The last guard: no client waits in vain, whatever went wrong before.
    void answer_overdue(CallId id, Open& open) {
        if (open.answered) return;
        ++figures_.overdue;
        answer(open, {Verdict::failed, Cause::overdue, {}, open.may_have_run(), nullptr});
        events_.emplace_back(Gone{id, open.call.pool});
        fault("call " + std::to_string(id) + " was not answered by its deadline");
    }

    // --------------------------------------------------------------------------------------------- actions

    void run(const Action& action) {
        Pool* const pool = find_pool(action.pool);
        if (!pool) return;
        switch (action.kind) {
            case Action::Kind::submit: return send(*pool, action);
            case Action::Kind::refuse: return refuse(action);
            case Action::Kind::fail: return fail(action.request);
            case Action::Kind::cancel: return cancel_for_module(action, *pool);
            case Action::Kind::watch:
                if (pool->source) pool->source->watch();
                return;
            case Action::Kind::unwatch:
                if (pool->source) pool->source->unwatch();
                return;
            case Action::Kind::fetch:
                if (pool->source) pool->source->fetch();
                return;
            case Action::Kind::close_idle: return pool->back.close_idle(action.upstream);
            case Action::Kind::log: return log_.tell(events::from_module, action.text);
        }
    }

    void send(Pool& pool, const Action& action) {
        const auto found = open_.find(action.request);
        if (found == open_.end()) return;
        Open& open = found->second;
        const AttemptKey key{action.request, static_cast<int>(open.attempts.size())};
        const bool allowed = may_try(open);
        Sent& sent = open.attempts.emplace_back();
        sent.upstream = action.upstream;
        ++open.in_flight;
        Time expires = action.span == Micros{0} ? open.deadline : std::min(open.deadline, now_ + action.span);
        if (open.call.attempt_limit > Micros{0}) {
            expires = std::min(expires, now_ + std::min(open.call.attempt_limit, longest_wait));
        }
        if (!allowed && !(open.denied && open.others_out(key.number))) give_up(open);
        // Nothing goes out for a call that has ended or belongs to another attempt, nor more often than
        // allowed.
        if (!allowed || open.answered || open.started >= 0 || key.number >= pool.settings.max_attempts ||
            clock_.now() >= expires) {
            return end_unsent(key, false);
        }
        sent.expiry = timers_.set(expires, expiry_of(key));
        ++figures_.attempts;
        sent.cancellable = tell([&] { pool.back.send({key, action.upstream, expires, open.call.payload}); });
        if (!sent.cancellable) end_unsent(key, true);
    }

    // Sets aside what the first attempt needs.
    bool admit(Open& open, const Pool& pool, Time at) {
        if (!options_.admission) return true;
        Admitted admitted;
        if (!tell([&] { admitted = options_.admission->admit(open.call, pool.name, pool.settings, at); }))
            admitted.refused = true;
        open.permits = std::move(admitted.permits);
        if (admitted.refused) open.denied = admitted.retry_after;
        return !admitted.refused;
    }

    bool may_try(Open& open) {
        if (open.answered) return true;
        const auto number = static_cast<int>(open.attempts.size());
        bool allowed = true;
        open.denied.reset();
        if (open.permits) tell([&] { allowed = open.permits->allow(number, now_); });
        if (!allowed) {
            deny(open, now_);
            return false;
        }
        const bool begun =
            std::any_of(open.attempts.begin(), open.attempts.end(), [](const Sent& s) { return s.sending; });
        if (begun && open.call.retries) tell([&] { allowed = open.call.retries->allow(now_); });
        return allowed;
    }

    // What throws has let nothing through.
    bool may_begin(Open& open, AttemptKey key, Time at) {
        if (!open.permits) return true;
        bool begins = false;
        tell([&] { begins = open.permits->begin(key.number, at); });
        if (!begins) {
            deny(open, at);
            events_.emplace_back(Denied{key.call, key.number});  // not from here: the back is on the stack
        }
        return begins;
    }

    void deny(Open& open, Time at) {
        open.denied = Micros{};
        tell([&] { open.denied = open.permits->retry_after(at); });
    }

    // For the gate, or for want of a permit: of the attempts so far, none is repeated.
    void give_up(Open& open) {
        const bool may_have_run = open.may_have_run();
        if (!may_have_run) {
            const Cause cause = open.denied ? Cause::over_budget : Cause::turned_away;
            return answer(open, {Verdict::refused, cause, come_back(open), false, nullptr});
        }
        Cause cause = Cause::turned_away;
        for (const Sent& s : open.attempts) {
            if (s.may_have_run) cause = cause_of(s.outcome);
        }
        answer(open, {Verdict::failed, cause, {}, true, nullptr});
    }

    // As the module tells it: where the platform heeds it, and no later than it allows.
    Micros come_back(const Open& open) {
        const Pool* const pool = find_pool(open.call.pool);
        if (!open.denied || !pool || !pool->settings.retry_after) return Micros{};
        return std::min(*open.denied, pool->settings.max_retry_after);
    }

    static Due expiry_of(AttemptKey key) {
        return {TimerKind::expiry, key.call, static_cast<std::uint64_t>(key.number)};
    }

    // An answer that has begun is the client's: not even another copy's answer, which the module takes for
    // the first, ends it.
    void cancel_for_module(const Action& action, Pool& pool) {
        Sent* const sent = find_sent({action.request, action.attempt});
        if (!sent) return;
        Open& open = open_.at(action.request);
        if (open.answered || open.started != action.attempt) cancel(open, *sent, pool);
    }

    // Its back is told once.
    void cancel(Open& open, Sent& sent, Pool& pool) {
        if (!sent.out || !sent.cancellable) return;
        const auto number = static_cast<int>(&sent - open.attempts.data());
        sent.cancellable = !tell([&] { pool.back.cancel({open.id, number}); });
    }

    // Guards against an attempt that begins when its call is over, and may have been told not to have run:
    // also where the module may not cancel.
    void cancel_unsent(Open& open) {
        Pool* const pool = find_pool(open.call.pool);
        if (!pool) return;
        for (Sent& sent : open.attempts) {
            if (!sent.sending) cancel(open, sent, *pool);
        }
    }

    void end_unsent(AttemptKey key, bool own_fault) {
        AttemptResult result;
        result.key = key;
        result.own_fault = own_fault;
        events_.emplace_back(std::move(result));
    }

    void refuse(const Action& action) {
        const auto found = open_.find(action.request);
        if (found == open_.end() || found->second.answered || found->second.started >= 0) return;
        Open& open = found->second;
        const bool may_have_run = open.may_have_run();
        if (may_have_run && !open.repeatable()) {
            fault("the module refused a call that may have run");
            return fail(action.request);
        }
        const auto& attempts = open.attempts;
        const bool own =
            std::any_of(attempts.begin(), attempts.end(), [](const Sent& s) { return s.own_fault; });
        const Cause cause = attempts.empty() ? Cause::no_room
                            : own            ? Cause::own_shortage
                                             : Cause::turned_away;
        answer(open, {Verdict::refused, cause, action.span, may_have_run, nullptr});
        forget_if_over(action.request);
    }

    void fail(CallId id) {
        const auto found = open_.find(id);
        if (found == open_.end() || found->second.answered || found->second.started >= 0) return;
        Open& open = found->second;
        Cause cause = Cause::no_room;
        for (const Sent& s : open.attempts) {
            cause = s.out ? Cause::timed_out : s.own_fault ? Cause::own_shortage : cause_of(s.outcome);
        }
        answer(open, {Verdict::failed, cause, {}, open.may_have_run(), nullptr});
        forget_if_over(id);
    }

    // The one place from which final answers go out.
    void answer(Open& open, Final answer) {
        end_waiting(open);
        switch (answer.verdict) {
            case Verdict::served: ++figures_.served; break;
            case Verdict::refused: ++figures_.refused; break;
            case Verdict::failed: ++figures_.failed; break;
        }
        tell([&] { open.front->on_final(open.token, std::move(answer)); });
        cancel_unsent(open);
    }

    // What a port throws is no reason to keep anything from the module or from another port.
    template <typename Telling>
    bool tell(Telling telling) {
        try {
            telling();
            return true;
        } catch (const std::exception& error) {
            fault(error.what());
        } catch (...) {
            fault("unknown exception");
        }
        return false;
    }

    void end_waiting(Open& open) {
        open.answered = true;
        --waiting_;
        drop(open.guard);
        open.call.payload.reset();
    }

    void forget_if_over(CallId id) {
        const auto found = open_.find(id);
        if (found == open_.end() || !found->second.answered || found->second.in_flight > 0) return;
        Open& open = found->second;
        if (!open.call.name.empty()) {
            if (open.effect == Effect::unsafe && open.in_doubt) {
                doubts_.push_back({now_ + options_.doubt_kept, std::move(open.call.name)});
                settle_doubts(now_);
            } else {
                names_.erase(open.call.name);
            }
        }
        open_.erase(found);
    }

    void settle_doubts(Time at) {
        while (!doubts_.empty() && (doubts_.front().until <= at || doubts_.size() > options_.doubts)) {
            names_.erase(doubts_.front().name);
            doubts_.pop_front();
        }
    }

    // ----------------------------------------------------------------------------------------------- lists

    void handle(News& news) {
        Pool* const pool = find_pool(news.pool);
        if (!pool) return;
        MemberList& list = news.list;
        if (list.kind == ListKind::failed) return pool->policy->on_list(now_, ListKind::failed, {});
        addresses_.purge(now_);
        pool->version = list.version;
        std::vector<Addresses::Change> changes;
        std::unordered_set<UpstreamId> listed;
        std::vector<UpstreamEntry> entries;
        entries.reserve(list.members.size());
        for (Member& member : list.members) {
            const UpstreamId id = member.entry.id;
            if (member.entry.state == UpstreamState::gone) {
                // One that this same list has just named at another address has not gone: who was there
                // before has.
                const auto known = pool->members.find(id);
                const bool moved = listed.contains(id) && known != pool->members.end() &&
                                   !member.address.empty() && known->second.address != member.address;
                if (moved) continue;
                remove_member(*pool, id);
            } else {
                listed.insert(id);
                put_member(*pool, member, changes);
            }
            entries.push_back(member.entry);
        }
        if (list.kind != ListKind::delta) {
            std::vector<UpstreamId> left;
            for (const auto& [id, member] : pool->members) {
                if (!listed.contains(id)) left.push_back(id);
            }
            for (const UpstreamId id : left) remove_member(*pool, id);
        }
        pool->policy->on_list(now_, list.kind, entries, list.version);
        for (const auto& change : changes) pass_on(change);
    }

    void put_member(Pool& pool, Member& member, std::vector<Addresses::Change>& changes) {
        const UpstreamId id = member.entry.id;
        const auto known = pool.members.find(id);
        if (known != pool.members.end() && known->second.address != member.address) remove_member(pool, id);
        const bool drains = addresses_.put(member.address, pool.id, member.entry, changes);
        member.entry.state = drains ? UpstreamState::draining : UpstreamState::ready;
        member.entry.cold = addresses_.account(member.address);
        tell([&] { pool.back.set_upstream(id, member.address, !drains); });
        Member& kept = pool.members[id] = member;
        kept.entry.memory.reset();  // told once
    }

    void remove_member(Pool& pool, UpstreamId id) {
        const auto known = pool.members.find(id);
        if (known == pool.members.end()) return;
        addresses_.remove(known->second.address, pool.id, id, now_ + pool.settings.ramp_time);
        pool.members.erase(known);
        tell([&] { pool.back.remove_upstream(id); });
    }

    // What one pool was told of a server holds for the others that list it.
    void pass_on(const Addresses::Change& change) {
        Pool* const pool = find_pool(change.pool);
        if (!pool) return;
        const auto found = pool->members.find(change.upstream);
        if (found == pool->members.end()) return;
        Member& member = found->second;
        member.entry.state = change.drains ? UpstreamState::draining : UpstreamState::ready;
        tell([&] { pool->back.set_upstream(change.upstream, member.address, !change.drains); });
        pool->policy->on_list(now_, ListKind::delta, {member.entry}, pool->version);
    }

    // Answers all that the pool holds and ends its attempts; when the events of that have passed, the rest
    // goes.
    void handle(const Removal& removal) {
        const auto found = pools_.find(removal.pool);
        if (found == pools_.end()) return;
        Pool& pool = *found->second;
        std::vector<CallId> held;
        for (const auto& [id, open] : open_) {
            if (open.call.pool == removal.pool) held.push_back(id);
        }
        std::sort(held.begin(), held.end());
        if (!removal.answered) {
            for (const CallId id : held) end_for_removal(id, pool);
            events_.emplace_back(Removal{removal.pool, true});
            return;
        }
        for (const CallId id : held) {
            Open& open = open_.at(id);
            open.in_flight = 0;
            for (Sent& sent : open.attempts) {
                drop(sent.expiry);
                open.in_doubt |= sent.out && sent.sending;  // nobody will hear how it ends
            }
            forget_if_over(id);
        }
        while (!pool.members.empty()) remove_member(pool, pool.members.begin()->first);
        addresses_.orphan(removal.pool);
        if (pool.source) tell([&] { pool.source->unwatch(); });
        drop_actions(removal.pool);
        forget_pool_timers(removal.pool);
        pools_.erase(found);
    }

    void end_for_removal(CallId id, Pool& pool) {
        const auto found = open_.find(id);
        if (found == open_.end()) return;
        Open& open = found->second;
        if (!open.answered) {
            const bool may_have_run = open.may_have_run();
            const bool harmless = open.started < 0 && (!may_have_run || open.repeatable());
            const Verdict verdict = harmless ? Verdict::refused : Verdict::failed;
            answer(open, {verdict, Cause::pool_removed, {}, may_have_run, nullptr});
        }
        for (Sent& sent : open.attempts) cancel(open, sent, pool);
    }

    void drop_actions(PoolId id) {
        std::erase_if(actions_, [&](const Action& action) { return action.pool == id; });
    }

    void forget_pool_timers(PoolId id) {
        timers_.remove_if([&](const Due& due) { return due.kind == TimerKind::policy && due.of == id; });
    }

    // ---------------------------------------------------------------------------------------------- timers

    void drop(std::optional<Handle>& handle) {
        if (handle) timers_.remove(*handle);
        handle.reset();
    }

    // It has been taken out of the queue.
    void forget_handle(const Due& due) {
        const auto found = open_.find(due.of);
        if (due.kind == TimerKind::policy || found == open_.end()) return;
        if (due.kind == TimerKind::guard) {
            found->second.guard.reset();
        } else {
            found->second.attempts[due.number].expiry.reset();
        }
    }

    // An alarm that comes too early finds nothing due; so one is set only where the next is earlier.
    void arm() {
        const auto next = timers_.next();
        if (!next || (armed_ && *armed_ <= *next)) return;
        armed_ = next;
        if (!tell([&] { alarm_.set(*next); })) armed_.reset();  // tried again with the next event
    }

    const Clock& clock_;
    Alarm& alarm_;
    Log& log_;
    Options options_;

    Time now_{};
    std::deque<Event> events_;
    std::deque<Action> actions_;
    bool pumping_ = false;
    bool heeding_ = false;
    Time heeded_{};  // when the sources were last asked to catch up
    bool closed_ = false;

    Timers<Due> timers_;
    std::optional<Time> armed_;
    std::unordered_map<CallId, Open> open_;
    std::size_t waiting_ = 0;                // of those, the ones not answered
    std::unordered_set<std::string> names_;  // of those, and of the ones in doubt
    std::deque<Doubt> doubts_;
    Addresses addresses_;
    Figures figures_;
    CallId last_call_ = 0;
    PoolId last_pool_ = 0;
    std::unordered_map<PoolId, std::unique_ptr<Pool>> pools_;
};

Core::Core(const Clock& clock, Alarm& alarm, Log& log, Options options)
    : impl_(std::make_unique<Impl>(clock, alarm, log, options)) {}
Core::~Core() = default;

PoolId Core::add_pool(PoolOptions options, Back& back, Source* source) {
    return impl_->add_pool(std::move(options), back, source);
}
void Core::change_pool(PoolId pool, const Settings& settings) { impl_->change_pool(pool, settings); }
void Core::remove_pool(PoolId pool) { impl_->remove_pool(pool); }
const Settings* Core::settings(PoolId pool) const { return impl_->settings(pool); }
std::optional<UpstreamMemory> Core::learned(PoolId pool, UpstreamId upstream) const {
    return impl_->learned(pool, upstream);
}
Taken Core::take(Call call, Front& front, std::uint64_t token, CallId* id) {
    return impl_->take(std::move(call), front, token, id);
}
bool Core::leave(CallId call) { return impl_->leave(call); }
void Core::close() { impl_->close(); }
bool Core::name_open(const std::string& name) { return impl_->name_open(name); }
void Core::set_own_limit(Micros limit) { impl_->set_own_limit(limit); }
bool Core::on_attempt_sending(AttemptKey attempt) { return impl_->on_attempt_sending(attempt); }
void Core::on_attempt_started(AttemptKey attempt, Micros latency, std::unique_ptr<Payload> head) {
    impl_->on_attempt_started(attempt, latency, std::move(head));
}
void Core::on_attempt_end(AttemptResult result) { impl_->on_attempt_end(std::move(result)); }
void Core::on_list(PoolId pool, MemberList list) { impl_->on_list(pool, std::move(list)); }
void Core::heed_lists() { impl_->heed_lists(); }
void Core::on_alarm() { impl_->on_alarm(); }
Figures Core::figures() const { return impl_->figures(); }

}  // namespace flaxdoor::core
