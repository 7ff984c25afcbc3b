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
        case Cause::no_capacity: return "no room";
        case Cause::over_budget: return "over budget";
        case Cause::rejected_by_upstreams: return "turned away";
        case Cause::timed_out: return "timed out";
        case Cause::broken: return "broken";
        case Cause::error: return "error";
        case Cause::answer_truncated: return "broken off";
        case Cause::watchdog: return "overdue";
        case Cause::local_resources: return "own shortage";
        case Cause::pool_removed: return "pool removed";
        case Cause::shutting_down: return "shutting down";
        case Cause::fault: return "fault";
    }
    return "unknown";
}

namespace {

// The deadline watchdog fires at least this long after the deadline, also when Call::network_allowance is
// zero.
constexpr Micros watchdog_margin{1};
// Longer timeouts are cut to this one, so that sums of times do not overflow.
constexpr Micros max_timeout = std::chrono::hours(24);
// Delay before UpstreamConnectionPool::expire is called again for an attempt for which it threw.
constexpr Micros expire_retry_delay = std::chrono::milliseconds(10);

// Interval between two polls of the sources for lists that they have not handed in. Bounds for how long such
// a list remains unapplied under load.
constexpr Micros list_poll_interval = std::chrono::milliseconds(20);

bool counts_as_executed(Outcome outcome, bool whole) {
    switch (outcome) {
        case Outcome::ok:
        case Outcome::error:
        case Outcome::timeout:
        case Outcome::reset: return true;
        case Outcome::cancelled: return whole;
        case Outcome::full:
        case Outcome::connect_failed:
        case Outcome::inconclusive: return false;
    }
    return true;
}

// Returns whether the request may still be executing at the upstream after the attempt has ended here.
bool ends_in_doubt(Outcome outcome, bool whole) {
    return outcome == Outcome::timeout || outcome == Outcome::reset ||
           (outcome == Outcome::cancelled && whole);
}

Cause cause_of(Outcome outcome) {
    switch (outcome) {
        case Outcome::timeout: return Cause::timed_out;
        case Outcome::reset: return Cause::broken;
        case Outcome::error: return Cause::error;
        default: return Cause::rejected_by_upstreams;
    }
}

// Adds one entry for all unknown tenants, with the smallest quota of the known ones. Without it a client
// could gain by naming an unknown tenant.
void add_unknown_tenant(Settings& settings) {
    double smallest_quota = 0;
    for (const auto& tenant : settings.tenants) {
        if (tenant.quota_per_s > 0 && (smallest_quota == 0 || tenant.quota_per_s < smallest_quota))
            smallest_quota = tenant.quota_per_s;
    }
    if (settings.tenants.empty()) return;
    TenantSettings unknown_tenant;
    unknown_tenant.quota_per_s = smallest_quota;
    settings.tenants.push_back(unknown_tenant);
}

}  // namespace

class Core::Impl {
public:
    Impl(const Clock& clock, Alarm& alarm, Log& log, Options options)
        : clock_(clock), alarm_(alarm), log_(log), options_(options) {}

    // ---------------------------------------------------------------------------------------------- pools

    PoolId add_pool(PoolOptions options, UpstreamConnectionPool& back, Source* source) {
        const PoolId id = ++last_pool_id_;
        auto pool = std::make_unique<Pool>(*this, id, std::move(options), back, source);
        Pool& added = *pool;
        pools_.emplace(id, std::move(pool));
        try {
            added.create_policy(now());
        } catch (...) {
            drop_actions(id);
            remove_pool_timers(id);
            pools_.erase(id);
            throw;
        }
        process_queue();
        return id;
    }

    void change_pool(PoolId id, const Settings& settings) {
        Pool* const pool = find_pool(id);
        if (!pool) return;
        Settings changed = settings;
        add_unknown_tenant(changed);
        pool->policy->on_settings(now(), changed);
        // Calls that wait in the queue have not been passed to the policy: they get the indices that their
        // class and tenant have in the new settings. All other calls keep the indices that the policy was
        // given.
        for (auto& [call, open] : open_calls_) {
            if (open.call.pool == id) remap_to_settings(open, pool->settings, settings);
        }
        pool->settings = settings;
        process_queue();
    }

    void remove_pool(PoolId id) {
        Pool* const pool = find_pool(id);
        if (!pool) return;
        pool->removed = true;
        events_.emplace_back(PoolRemoval{id, false});
        process_queue();
    }

    const Settings* settings(PoolId id) const {
        const auto found = pools_.find(id);
        return found == pools_.end() || found->second->removed ? nullptr : &found->second->settings;
    }

    std::optional<LearnedState> learned_state(PoolId id, UpstreamId upstream) const {
        const auto found = pools_.find(id);
        if (found == pools_.end() || found->second->removed) return std::nullopt;
        return found->second->policy->learned_state(upstream);
    }

    // ---------------------------------------------------------------------------------------- client side

    AcceptResult accept_call(Call call, Downstream& front, std::uint64_t token, CallId* id) {
        apply_pending_lists();
        Pool* const pool = find_pool(call.pool);
        if (closed_) return AcceptResult::shutting_down;
        if (!pool) return AcceptResult::no_pool;
        const auto& classes = pool->settings.classes;
        if (call.class_index < 0 || static_cast<std::size_t>(call.class_index) >= classes.size()) {
            return AcceptResult::bad_class;
        }
        const bool unknown = call.tenant.kind == Tenant::Kind::unknown && !pool->settings.tenants.empty();
        if (options_.refuse_unknown_tenants && unknown) return AcceptResult::unknown_tenant;
        if (options_.open_calls > 0 && unanswered_ >= options_.open_calls) return AcceptResult::too_many;
        const Time at = now();
        expire_in_doubt(at);
        // Prevents a repeated effect: servers identify a call by its id. Of two calls with one id that may
        // both execute, one is a repeat, and their answers could not be told apart.
        if (!call.call_id.empty() && !call_ids_in_use_.insert(call.call_id).second)
            return AcceptResult::name_in_use;
        const CallId number = ++last_call_id_;
        if (id) *id = number;
        OpenCall& open = open_calls_[number];
        open.id = number;
        open.set_class(classes[class_of(call)]);
        open.front = &front;
        open.token = token;
        const Time received = call.received > Time{} ? std::min(call.received, at) : at;
        const Micros budget =
            call.budget > Micros{0} ? std::min(call.budget, max_timeout) : options_.default_timeout;
        const Micros unseen = std::max(call.network_allowance, Micros{0});
        open.deadline = received + budget - std::min(unseen, budget / 2);
        const Time watchdog_at = received + budget - std::min(unseen / 2, budget / 4);
        open.watchdog = timers_.set(std::max(watchdog_at, open.deadline + watchdog_margin),
                                    {TimerKind::watchdog, number, 0});
        open.call = std::move(call);
        ++figures_.accepted;
        ++unanswered_;
        if (admit(open, *pool, at)) {
            events_.emplace_back(NewCall{number});
        } else {
            events_.emplace_back(PermitDenied{number});
        }
        process_queue();
        return AcceptResult::accepted;
    }

    bool is_name_in_use(const std::string& name) {
        expire_in_doubt(now());
        return call_ids_in_use_.contains(name);
    }

    bool abandon_call(CallId id) {
        const auto found = open_calls_.find(id);
        if (found == open_calls_.end() || found->second.answered) return false;
        OpenCall& open = found->second;
        const bool may_have_run = open.may_have_run();
        mark_answered(open);
        ++figures_.abandoned;
        events_.emplace_back(CallClosed{id, open.call.pool});
        process_queue();
        return may_have_run;
    }

    void close() { closed_ = true; }
    void set_default_timeout(Micros limit) { options_.default_timeout = limit; }

    // -------------------------------------------------------------------------------------- upstream side

    bool on_attempt_sending(AttemptKey key) {
        AttemptState* const attempt = find_attempt(key);
        if (!attempt) return false;
        OpenCall& open = open_calls_.at(key.call);
        Pool* const pool = find_pool(open.call.pool);
        // Prevents sending a retry after the window in which servers recognise it as a repeat (rule 2). The
        // policy checked the window when it chose the upstream, but the connection may be established, or
        // become writable for the last bytes, later than that.
        const Time at = clock_.now();
        if (open.answered || !pool || !open.within_window(*attempt, at, pool->settings.tick)) return false;
        if (!attempt->sending && !may_send_first_byte(open, key, at)) return false;
        if (!open.sending_reported) {
            bool wanted = true;
            call_port([&] { wanted = open.front->on_sending(open.token); });
            if (!wanted) {
                if (open.permits) call_port([&] { open.permits->release(key.number, true, at); });
                return false;
            }
            open.sending_reported = true;
        }
        if (!std::exchange(attempt->sending, true)) attempt->sending_since = at;
        return true;
    }

    void on_attempt_started(AttemptKey key, Micros latency, std::unique_ptr<Payload> head) {
        events_.emplace_back(AnswerStarted{key, latency, std::move(head)});
        process_queue();
    }

    void on_attempt_end(AttemptResult result) {
        apply_pending_lists();
        events_.emplace_back(std::move(result));
        process_queue();
    }

    void on_list(PoolId id, MemberList list) {
        events_.emplace_back(ListReceived{id, std::move(list)});
        process_queue();
    }

    // Prevents sending to an upstream that was marked as draining while this process was stalled: after a
    // stall sockets are read in an arbitrary order.
    void apply_pending_lists() {
        const Time at = clock_.now();
        if (processing_ || applying_lists_ || at - lists_applied_at_ < list_poll_interval) return;
        lists_applied_at_ = at;
        applying_lists_ = true;
        call_port([&] {
            std::vector<PoolId> pool_ids;  // a list may cause pools to be added and removed
            for (const auto& [id, pool] : pools_) pool_ids.push_back(id);
            for (const PoolId id : pool_ids) {
                Pool* const pool = find_pool(id);
                if (pool && pool->source) call_port([&] { pool->source->deliver_pending(); });
            }
        });
        applying_lists_ = false;
    }

    // Timers that are set while this runs are handled by a later alarm, even if they are due at once.
    void on_alarm() {
        apply_pending_lists();
        alarm_at_.reset();
        const Time at = clock_.now();
        for (std::size_t remaining = timers_.size(); remaining > 0; --remaining) {
            const auto due = timers_.take(at);
            if (!due) break;
            events_.emplace_back(*due);
            clear_handle(*due);
            process_queue();
        }
        update_alarm();
    }

    Stats figures() const {
        Stats figures = figures_;
        figures.open = open_calls_.size();
        figures.waiting = unanswered_;
        figures.pools = pools_.size();
        figures.addresses = addresses_.size();
        figures.timers = timers_.size();
        figures.in_doubt = in_doubt_calls_.size();
        return figures;
    }

private:
    enum class TimerKind { watchdog, expiry, started, policy };
    struct Timer {
        TimerKind kind = TimerKind::policy;
        std::uint64_t owner = 0;   // id of the call or the pool
        std::uint64_t number = 0;  // of the attempt, or the policy's token
    };
    using Handle = Timers<Timer>::Handle;

    struct AttemptState {
        UpstreamId upstream = 0;
        std::optional<Handle> expiry;
        Time permitted_until = Time::max();  // also while its answer is passed on
        Time answer_ends_by = Time::max();
        bool active = true;        // its end has not been reported
        bool sending = false;      // its first byte was handed to the socket
        Time sending_since{};      // when that was
        bool cancellable = false;  // handed to the connection pool, and not cancelled
        bool may_have_run = false;
        bool own_fault = false;
        Outcome outcome = Outcome::inconclusive;
    };

    // A call that is not answered, or has an attempt that has not ended.
    struct OpenCall {
        CallId id = 0;
        Call call;
        Effect effect = Effect::unsafe;
        DeduplicationScope group = DeduplicationScope::all;
        Micros window{};  // the shortest one of the class while the call was open
        Downstream* front = nullptr;
        std::uint64_t token = 0;
        Time deadline{};
        std::vector<AttemptState> attempts;
        int in_flight = 0;
        int started_attempt = -1;  // number of the attempt whose first bytes the client has
        bool passed_to_policy = false;
        bool answered = false;  // or abandoned
        bool sending_reported = false;
        bool in_doubt = false;  // an attempt ended here, and its end at the upstream is unknown
        std::optional<Handle> watchdog;
        std::unique_ptr<CallPermits> permits;
        std::optional<Micros> denied_retry_after;  // set if a permit was denied; zero: unknown

        bool may_have_run() const {
            return std::any_of(attempts.begin(), attempts.end(), [](const AttemptState& attempt) {
                return attempt.active ? attempt.sending : attempt.may_have_run;
            });
        }
        // Returns whether another attempt is active. If so, an attempt that is denied a permit ends alone,
        // because the other one may still be answered.
        bool other_active(int number) const {
            for (std::size_t i = 0; i < attempts.size(); ++i) {
                if (static_cast<int>(i) != number && attempts[i].active) return true;
            }
            return false;
        }
        void set_class(const ClassSettings& settings) {
            effect = settings.effect;
            group = settings.group;
            window = settings.window;
        }
        // Returns whether bytes of the attempt may be sent at that time: servers must still recognise it as a
        // repeat of every other attempt that may have executed. Their window begins with the first byte of
        // that attempt.
        bool within_window(const AttemptState& attempt, Time at, Micros margin) const {
            return effect != Effect::keyed ||
                   std::none_of(attempts.begin(), attempts.end(), [&](const AttemptState& other) {
                       return &other != &attempt && other.sending_since > Time{} &&
                              (other.active || other.may_have_run) &&
                              at + margin >= other.sending_since + window;
                   });
        }
        // Returns whether a retry is harmless even if the call may have executed.
        bool retry_is_harmless() const {
            return effect == Effect::safe || (effect == Effect::keyed && group == DeduplicationScope::all);
        }
    };

    struct Action {
        enum class Kind { submit, refuse, fail, cancel, watch, unwatch, fetch, close_idle, log };
        Kind kind = Kind::fail;
        PoolId pool = 0;
        RequestId request = 0;
        UpstreamId upstream = 0;
        Micros duration{};
        int attempt = 0;
        std::string text;
    };

    // A policy with its pool's list. The policy's actions and log lines wait in the core's queue, so that the
    // policy is never on the stack when a port is called.
    struct Pool final : Actions {
        Pool(Impl& owner, PoolId number, PoolOptions options, UpstreamConnectionPool& pool_back,
             Source* pool_source)
            : core(owner),
              id(number),
              name(std::move(options.name)),
              settings(std::move(options.settings)),
              seed(options.seed),
              back(pool_back),
              source(pool_source) {}

        // Not part of the constructor, because the policy sets timers while it is constructed.
        void create_policy(Time now) {
            Settings policy_settings = settings;
            add_unknown_tenant(policy_settings);
            policy = std::make_unique<Policy>(policy_settings, seed, now, *this);
        }

        void enqueue(Action action) {
            action.pool = id;
            core.actions_.push_back(std::move(action));
        }
        void submit(RequestId request, UpstreamId upstream, Micros timeout) override {
            enqueue({Action::Kind::submit, 0, request, upstream, timeout, 0, {}});
        }
        void reject(RequestId request, Micros retry_after) override {
            enqueue({Action::Kind::refuse, 0, request, 0, retry_after, 0, {}});
        }
        void fail(RequestId request) override { enqueue({Action::Kind::fail, 0, request, 0, {}, 0, {}}); }
        void cancel(RequestId request, int attempt) override {
            enqueue({Action::Kind::cancel, 0, request, 0, {}, attempt, {}});
        }
        void set_timer(Time at, std::uint64_t token) override {
            core.timers_.set(at, {TimerKind::policy, id, token});
        }
        void watch() override { enqueue({Action::Kind::watch, 0, 0, 0, {}, 0, {}}); }
        void unwatch() override { enqueue({Action::Kind::unwatch, 0, 0, 0, {}, 0, {}}); }
        void fetch() override { enqueue({Action::Kind::fetch, 0, 0, 0, {}, 0, {}}); }
        void close_idle(UpstreamId upstream) override {
            enqueue({Action::Kind::close_idle, 0, 0, upstream, {}, 0, {}});
        }
        // The core supports neither probe requests nor messages between balancers.
        void probe(UpstreamId) override {
            core.fault("the policy asked for a probe request, which the core does not support");
        }
        void send_to_peer(std::optional<int>, std::string_view) override {
            core.fault("the policy sent a message to other balancers, which the core does not support");
        }
        void log(std::string_view line) override {
            enqueue({Action::Kind::log, 0, 0, 0, {}, 0, std::string(line)});
        }

        Impl& core;
        const PoolId id;
        const std::string name;
        Settings settings;  // as handed in, without the entry for unknown tenants
        const std::uint64_t seed;
        UpstreamConnectionPool& back;
        Source* const source;
        std::unordered_map<UpstreamId, Member> members;
        std::uint64_t version = 0;
        bool removed = false;
        std::unique_ptr<Policy> policy;
    };

    // ---------------------------------------------------------------------------------------------- events
    struct NewCall {
        CallId call = 0;
    };
    // A call was answered or abandoned without the policy, which is to be notified.
    struct CallClosed {
        CallId call = 0;
        PoolId pool = 0;
    };
    // A call or an attempt was denied a permit, or an attempt's permit has lapsed.
    struct PermitDenied {
        CallId call = 0;
        int attempt = -1;  // number of the attempt; -1: the call was denied before its first attempt
    };
    struct AnswerStarted {
        AttemptKey key;
        Micros latency{};
        std::unique_ptr<Payload> head;
    };
    struct ListReceived {
        PoolId pool = 0;
        MemberList list;
    };
    struct PoolRemoval {
        PoolId pool = 0;
        bool answered = false;  // all of the pool's calls have been answered
    };
    using Event = std::variant<NewCall, CallClosed, PermitDenied, AnswerStarted, AttemptResult, ListReceived,
                               PoolRemoval, Timer>;

    struct InDoubtCall {
        Time until{};
        std::string name;
    };

    Time now() { return now_ = std::max(now_, clock_.now()); }

    template <typename HasClassIndex>
    static std::size_t class_of(const HasClassIndex& value) {
        return static_cast<std::size_t>(value.class_index);
    }
    static std::size_t class_of(const OpenCall& open) { return class_of(open.call); }

    Pool* find_pool(PoolId id) {
        const auto found = pools_.find(id);
        return found == pools_.end() || found->second->removed ? nullptr : found->second.get();
    }

    AttemptState* find_attempt(AttemptKey key) {
        const auto found = open_calls_.find(key.call);
        if (found == open_calls_.end() || key.number < 0) return nullptr;
        auto& attempts = found->second.attempts;
        const auto number = static_cast<std::size_t>(key.number);
        return number < attempts.size() && attempts[number].active ? &attempts[number] : nullptr;
    }

    static void remap_to_settings(OpenCall& open, const Settings& before, const Settings& now) {
        Call& call = open.call;
        if (call.class_index < 0) return;
        call.class_index = index_by_name(now.classes, before.classes[class_of(call)].name);
        if (call.class_index >= 0) {
            const ClassSettings& class_settings = now.classes[class_of(call)];
            if (!open.passed_to_policy) {
                open.set_class(class_settings);
            } else if (class_settings.effect == open.effect && class_settings.group == open.group) {
                open.window = std::min(open.window, class_settings.window);
            }
        }
        if (open.passed_to_policy) return;
        Tenant& tenant = call.tenant;
        if (tenant.kind != Tenant::Kind::known) return;
        const auto number = static_cast<std::size_t>(tenant.number);
        const int index =
            number < before.tenants.size() ? index_by_name(now.tenants, before.tenants[number].name) : -1;
        tenant = index < 0 ? Tenant{Tenant::Kind::unknown, 0} : Tenant{Tenant::Kind::known, index};
    }

    // Returns -1 if there is no item of that name.
    template <typename Named>
    static int index_by_name(const std::vector<Named>& items, const std::string& name) {
        const auto found =
            std::find_if(items.begin(), items.end(), [&](const Named& item) { return item.name == name; });
        return found == items.end() ? -1 : static_cast<int>(found - items.begin());
    }

    // Handles the queued events and actions. A nested call returns at once, so that neither a policy nor an
    // action is ever re-entered: new events and actions wait in the queue.
    void process_queue() {
        if (processing_) return;
        processing_ = true;
        while (!events_.empty() || !actions_.empty()) {
            if (!actions_.empty()) {
                const Action action = std::move(actions_.front());
                actions_.pop_front();
                run_guarded(action.request, [&] { run(action); });
                continue;
            }
            Event event = std::move(events_.front());
            events_.pop_front();
            now();
            const CallId call = call_of(event);
            run_guarded(call, [&] { std::visit([this](auto& alternative) { handle(alternative); }, event); });
        }
        processing_ = false;
        update_alarm();
    }

    // Runs a function for a call and handles its exceptions. An exception must neither stop the queue nor
    // leave the call without an answer.
    template <typename Function>
    void run_guarded(CallId call, Function function) {
        try {
            function();
            return;
        } catch (const std::exception& error) {
            fault(error.what());
        } catch (...) {
            fault("unknown exception");
        }
        const auto found = open_calls_.find(call);
        if (found == open_calls_.end()) return;
        OpenCall& open = found->second;
        try {
            if (!open.answered)
                answer(open, {Verdict::failed, Cause::fault, {}, open.may_have_run(), nullptr});
            events_.emplace_back(CallClosed{call, open.call.pool});
        } catch (...) {
            fault("a call could not be answered after an exception");
        }
    }

    void fault(std::string_view what) noexcept {
        ++figures_.faults;
        try {
            log_.write(events::fault, what);
        } catch (...) {  // nothing is left to report to
        }
    }

    static CallId call_of(const Event& event) {
        if (const auto* matched = std::get_if<NewCall>(&event)) return matched->call;
        if (const auto* matched = std::get_if<PermitDenied>(&event)) return matched->call;
        if (const auto* matched = std::get_if<AnswerStarted>(&event)) return matched->key.call;
        if (const auto* matched = std::get_if<AttemptResult>(&event)) return matched->key.call;
        const auto* due = std::get_if<Timer>(&event);
        return due && due->kind != TimerKind::policy ? due->owner : 0;
    }

    void handle(const NewCall& event) {
        const auto found = open_calls_.find(event.call);
        if (found == open_calls_.end() || found->second.answered) return;
        OpenCall& open = found->second;
        Pool* const pool = find_pool(open.call.pool);
        // The pool was removed and is about to answer the call, or its class was removed before the call
        // reached the policy.
        if (!pool || open.call.class_index < 0) {
            if (pool) answer(open, {Verdict::refused, Cause::pool_removed, {}, false, nullptr});
            if (pool) erase_if_finished(event.call);
            return;
        }
        open.passed_to_policy = true;
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

    void handle(const CallClosed& event) {
        const auto found = open_calls_.find(event.call);
        if (found != open_calls_.end()) cancel_unsent(found->second);
        erase_if_finished(event.call);
        if (Pool* const pool = find_pool(event.pool)) pool->policy->on_client_gone(now_, event.call);
    }

    void handle(const PermitDenied& event) {
        const auto found = open_calls_.find(event.call);
        if (found == open_calls_.end() || found->second.answered) return;
        OpenCall& open = found->second;
        if (open.other_active(event.attempt)) return;
        end_without_retry(open);
        if (open.passed_to_policy) events_.emplace_back(CallClosed{event.call, open.call.pool});
        erase_if_finished(event.call);
    }

    void handle(AnswerStarted& event) {
        AttemptState* const attempt = find_attempt(event.key);
        if (!attempt) return;
        OpenCall& open = open_calls_.at(event.key.call);
        if (open.started_attempt >= 0) return;
        Pool* const pool = find_pool(open.call.pool);
        if (!pool) return;
        if (open.answered) return cancel(open, *attempt, *pool);
        open.started_attempt = event.key.number;
        if (!std::exchange(attempt->sending, true)) attempt->sending_since = now_;
        cancel_timer(open.watchdog);
        cancel_timer(attempt->expiry);
        if (open.call.max_answer_duration > Micros{0}) {
            attempt->answer_ends_by = now_ + std::min(open.call.max_answer_duration, max_timeout);
        }
        set_answer_expiry(*attempt, event.key);
        call_port([&] { open.front->on_started(open.token, std::move(event.head)); });
        pool->policy->on_started(now_, {event.key.call, event.key.number, attempt->upstream, event.latency});
        for (AttemptState& other : open.attempts) {
            if (&other != attempt) cancel(open, other, *pool);
        }
    }

    void handle(AttemptResult& result) {
        AttemptState* const attempt = find_attempt(result.key);
        if (!attempt) return;
        const auto found = open_calls_.find(result.key.call);
        OpenCall& open = found->second;
        cancel_timer(attempt->expiry);
        attempt->active = false;
        attempt->own_fault = result.local_failure;
        attempt->outcome = result.local_failure ? Outcome::inconclusive : result.outcome;
        attempt->may_have_run = counts_as_executed(attempt->outcome, result.fully_sent);
        const bool unknown = ends_in_doubt(attempt->outcome, result.fully_sent);
        open.in_doubt |= unknown;
        if (open.permits) {
            call_port([&] { open.permits->release(result.key.number, !unknown || !attempt->sending, now_); });
        }
        --open.in_flight;
        const bool may_answer = open.started_attempt < 0 || open.started_attempt == result.key.number;
        AttemptEnd end;
        end.request = result.key.call;
        end.attempt = result.key.number;
        end.outcome = attempt->outcome;
        end.latency = result.latency;
        end.upstream = attempt->upstream;
        end.report = std::move(result.report);
        // The first successful answer is passed on before the policy is notified.
        if (!open.answered && may_answer && attempt->outcome == Outcome::ok) {
            answer(open, {Verdict::served, Cause::none, {}, true, std::move(result.answer)});
        } else if (!open.answered && open.started_attempt == result.key.number) {
            answer(open, {Verdict::failed, Cause::answer_truncated, {}, true, nullptr});
        }
        end.request_answered = open.answered || open.started_attempt >= 0;
        if (Pool* const pool = find_pool(open.call.pool)) pool->policy->on_attempt_end(now_, end);
        erase_if_finished(result.key.call);
    }

    void handle(const Timer& due) {
        if (due.kind == TimerKind::policy) {
            Pool* const pool = find_pool(static_cast<PoolId>(due.owner));
            if (pool) pool->policy->on_timer(now_, due.number);
            return;
        }
        const auto found = open_calls_.find(due.owner);
        if (found == open_calls_.end()) return;
        OpenCall& open = found->second;
        if (due.kind == TimerKind::watchdog) return answer_overdue(due.owner, open);
        const AttemptKey key{due.owner, static_cast<int>(due.number)};
        Pool* const pool = find_pool(open.call.pool);
        AttemptState* const attempt = find_attempt(key);
        if (!pool || !attempt || may_continue(open, *attempt, key)) return;
        if (!call_port([&] { pool->back.expire(key); }))
            attempt->expiry = timers_.set(now_ + expire_retry_delay, due);
    }

    // Returns true if the attempt's answer has begun and its permit is held for longer than was known before.
    bool may_continue(OpenCall& open, AttemptState& attempt, AttemptKey key) {
        if (!open.permits || open.started_attempt != key.number) return false;
        if (attempt.permitted_until > now_ || attempt.answer_ends_by <= now_) return false;
        Micros remaining{};
        call_port([&] { remaining = open.permits->remaining(key.number); });
        if (remaining <= Micros{0}) return false;
        attempt.permitted_until = now_ + std::min(remaining, max_timeout);
        set_answer_expiry(attempt, key);
        return true;
    }

    void set_answer_expiry(AttemptState& attempt, AttemptKey key) {
        const Time limit = std::min(attempt.permitted_until, attempt.answer_ends_by);
        if (limit != Time::max()) attempt.expiry = timers_.set(limit, expiry_timer(key));
    }

    // Answers a call when its deadline watchdog fires, whatever went wrong before.
    void answer_overdue(CallId id, OpenCall& open) {
        if (open.answered) return;
        ++figures_.watchdog_answers;
        answer(open, {Verdict::failed, Cause::watchdog, {}, open.may_have_run(), nullptr});
        events_.emplace_back(CallClosed{id, open.call.pool});
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
            case Action::Kind::cancel: return cancel_for_policy(action, *pool);
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
            case Action::Kind::log: return log_.write(events::from_module, action.text);
        }
    }

    void send(Pool& pool, const Action& action) {
        const auto found = open_calls_.find(action.request);
        if (found == open_calls_.end()) return;
        OpenCall& open = found->second;
        const AttemptKey key{action.request, static_cast<int>(open.attempts.size())};
        const bool allowed = may_start_attempt(open);
        AttemptState& attempt = open.attempts.emplace_back();
        attempt.upstream = action.upstream;
        ++open.in_flight;
        Time expires =
            action.duration == Micros{0} ? open.deadline : std::min(open.deadline, now_ + action.duration);
        if (open.call.attempt_limit > Micros{0}) {
            expires = std::min(expires, now_ + std::min(open.call.attempt_limit, max_timeout));
        }
        if (open.call.whole_attempt_limit > Micros{0}) {
            attempt.permitted_until = now_ + std::min(open.call.whole_attempt_limit, max_timeout);
            expires = std::min(expires, attempt.permitted_until);
        }
        if (!allowed && !(open.denied_retry_after && open.other_active(key.number))) end_without_retry(open);
        // Nothing is sent for a call that has been answered or whose answer has begun, nor for an attempt
        // that is not allowed or whose time is up.
        if (!allowed || open.answered || open.started_attempt >= 0 ||
            key.number >= pool.settings.max_attempts || clock_.now() >= expires) {
            return end_attempt_unsent(key, false);
        }
        attempt.expiry = timers_.set(expires, expiry_timer(key));
        ++figures_.attempts;
        attempt.cancellable = call_port([&] {
            pool.back.send({key, action.upstream, expires, open.call.payload});
        });
        if (!attempt.cancellable) end_attempt_unsent(key, true);
    }

    // Reserves the permits of the first attempt. Returns false if the call is denied.
    bool admit(OpenCall& open, const Pool& pool, Time at) {
        if (!options_.admission) return true;
        AdmissionResult admitted;
        if (!call_port(
                [&] { admitted = options_.admission->admit(open.call, pool.name, pool.settings, at); }))
            admitted.refused = true;
        open.permits = std::move(admitted.permits);
        if (admitted.refused) open.denied_retry_after = admitted.retry_after;
        return !admitted.refused;
    }

    bool may_start_attempt(OpenCall& open) {
        if (open.answered) return true;
        const auto number = static_cast<int>(open.attempts.size());
        bool allowed = true;
        open.denied_retry_after.reset();
        if (open.permits) call_port([&] { allowed = open.permits->reserve(number, now_); });
        if (!allowed) {
            record_denial(open, now_);
            return false;
        }
        const bool begun = std::any_of(open.attempts.begin(), open.attempts.end(),
                                       [](const AttemptState& attempt) { return attempt.sending; });
        if (begun && open.call.retries) call_port([&] { allowed = open.call.retries->allow(now_); });
        return allowed;
    }

    // Commits the attempt's permit. An exception counts as a denial.
    bool may_send_first_byte(OpenCall& open, AttemptKey key, Time at) {
        if (!open.permits) return true;
        bool begins = false;
        call_port([&] { begins = open.permits->commit(key.number, at); });
        if (!begins) {
            record_denial(open, at);
            // Queued, because the connection pool is on the stack.
            events_.emplace_back(PermitDenied{key.call, key.number});
        }
        return begins;
    }

    void record_denial(OpenCall& open, Time at) {
        open.denied_retry_after = Micros{};
        call_port([&] { open.denied_retry_after = open.permits->retry_after(at); });
    }

    // Answers a call whose next attempt was denied by retry admission or for lack of a permit.
    void end_without_retry(OpenCall& open) {
        const bool may_have_run = open.may_have_run();
        if (!may_have_run) {
            const Cause cause = open.denied_retry_after ? Cause::over_budget : Cause::rejected_by_upstreams;
            return answer(open, {Verdict::refused, cause, retry_advice(open), false, nullptr});
        }
        Cause cause = Cause::rejected_by_upstreams;
        for (const AttemptState& attempt : open.attempts) {
            if (attempt.may_have_run) cause = cause_of(attempt.outcome);
        }
        answer(open, {Verdict::failed, cause, {}, true, nullptr});
    }

    // Returns the retry delay for the client under the policy's rules: none if the settings have no
    // retry_after, and at most max_retry_after.
    Micros retry_advice(const OpenCall& open) {
        const Pool* const pool = find_pool(open.call.pool);
        if (!open.denied_retry_after || !pool || !pool->settings.retry_after) return Micros{};
        return std::min(*open.denied_retry_after, pool->settings.max_retry_after);
    }

    static Timer expiry_timer(AttemptKey key) {
        return {TimerKind::expiry, key.call, static_cast<std::uint64_t>(key.number)};
    }

    // Does not cancel an attempt whose answer the client is receiving, not even when the policy takes another
    // attempt's answer for the first one.
    void cancel_for_policy(const Action& action, Pool& pool) {
        AttemptState* const attempt = find_attempt({action.request, action.attempt});
        if (!attempt) return;
        OpenCall& open = open_calls_.at(action.request);
        if (open.answered || open.started_attempt != action.attempt) cancel(open, *attempt, pool);
    }

    // Calls UpstreamConnectionPool::cancel, at most once for an attempt unless it throws.
    void cancel(OpenCall& open, AttemptState& attempt, Pool& pool) {
        if (!attempt.active || !attempt.cancellable) return;
        const auto number = static_cast<int>(&attempt - open.attempts.data());
        attempt.cancellable = !call_port([&] { pool.back.cancel({open.id, number}); });
    }

    // Prevents an attempt from beginning after its call was answered, possibly as not executed. Applies also
    // where the policy may not cancel.
    void cancel_unsent(OpenCall& open) {
        Pool* const pool = find_pool(open.call.pool);
        if (!pool) return;
        for (AttemptState& attempt : open.attempts) {
            if (!attempt.sending) cancel(open, attempt, *pool);
        }
    }

    void end_attempt_unsent(AttemptKey key, bool own_fault) {
        AttemptResult result;
        result.key = key;
        result.local_failure = own_fault;
        events_.emplace_back(std::move(result));
    }

    void refuse(const Action& action) {
        const auto found = open_calls_.find(action.request);
        if (found == open_calls_.end() || found->second.answered || found->second.started_attempt >= 0)
            return;
        OpenCall& open = found->second;
        const bool may_have_run = open.may_have_run();
        if (may_have_run && !open.retry_is_harmless()) {
            fault("the policy refused a call that may have executed");
            return fail(action.request);
        }
        const auto& attempts = open.attempts;
        const bool local_failure = std::any_of(attempts.begin(), attempts.end(),
                                               [](const AttemptState& attempt) { return attempt.own_fault; });
        const Cause cause = attempts.empty() ? Cause::no_capacity
                            : local_failure  ? Cause::local_resources
                                             : Cause::rejected_by_upstreams;
        answer(open, {Verdict::refused, cause, action.duration, may_have_run, nullptr});
        erase_if_finished(action.request);
    }

    void fail(CallId id) {
        const auto found = open_calls_.find(id);
        if (found == open_calls_.end() || found->second.answered || found->second.started_attempt >= 0)
            return;
        OpenCall& open = found->second;
        Cause cause = Cause::no_capacity;
        for (const AttemptState& attempt : open.attempts) {
            cause = attempt.active      ? Cause::timed_out
                    : attempt.own_fault ? Cause::local_resources
                                        : cause_of(attempt.outcome);
        }
        answer(open, {Verdict::failed, cause, {}, open.may_have_run(), nullptr});
        erase_if_finished(id);
    }

    // Passes the final answer to the client side. All final answers pass through here.
    void answer(OpenCall& open, FinalAnswer answer) {
        mark_answered(open);
        switch (answer.verdict) {
            case Verdict::served: ++figures_.served; break;
            case Verdict::refused: ++figures_.refused; break;
            case Verdict::failed: ++figures_.failed; break;
        }
        call_port([&] { open.front->on_final(open.token, std::move(answer)); });
        cancel_unsent(open);
    }

    // Calls a port and logs what it throws, so that the policy and the other ports are still called. Returns
    // false if the port threw.
    template <typename Function>
    bool call_port(Function function) {
        try {
            function();
            return true;
        } catch (const std::exception& error) {
            fault(error.what());
        } catch (...) {
            fault("unknown exception");
        }
        return false;
    }

    void mark_answered(OpenCall& open) {
        open.answered = true;
        --unanswered_;
        cancel_timer(open.watchdog);
        open.call.payload.reset();
    }

    void erase_if_finished(CallId id) {
        const auto found = open_calls_.find(id);
        if (found == open_calls_.end() || !found->second.answered || found->second.in_flight > 0) return;
        OpenCall& open = found->second;
        if (!open.call.call_id.empty()) {
            if (open.effect == Effect::unsafe && open.in_doubt) {
                in_doubt_calls_.push_back({now_ + options_.in_doubt_retention, std::move(open.call.call_id)});
                expire_in_doubt(now_);
            } else {
                call_ids_in_use_.erase(open.call.call_id);
            }
        }
        open_calls_.erase(found);
    }

    void expire_in_doubt(Time at) {
        while (!in_doubt_calls_.empty() &&
               (in_doubt_calls_.front().until <= at || in_doubt_calls_.size() > options_.max_in_doubt)) {
            call_ids_in_use_.erase(in_doubt_calls_.front().name);
            in_doubt_calls_.pop_front();
        }
    }

    // ----------------------------------------------------------------------------------------------- lists

    void handle(ListReceived& received) {
        Pool* const pool = find_pool(received.pool);
        if (!pool) return;
        MemberList& list = received.list;
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
                // An upstream that this same list also names at another address has moved: only the server at
                // the old address has gone.
                const auto known = pool->members.find(id);
                const bool moved = listed.contains(id) && known != pool->members.end() &&
                                   !member.address.empty() && known->second.address != member.address;
                if (moved) continue;
                remove_member(*pool, id);
            } else {
                listed.insert(id);
                update_member(*pool, member, changes);
            }
            entries.push_back(member.entry);
        }
        if (list.kind != ListKind::delta) {
            std::vector<UpstreamId> delisted;
            for (const auto& [id, member] : pool->members) {
                if (!listed.contains(id)) delisted.push_back(id);
            }
            for (const UpstreamId id : delisted) remove_member(*pool, id);
        }
        pool->policy->on_list(now_, list.kind, entries, list.version);
        for (const auto& change : changes) apply_drain_change(change);
    }

    void update_member(Pool& pool, Member& member, std::vector<Addresses::Change>& changes) {
        const UpstreamId id = member.entry.id;
        const auto known = pool.members.find(id);
        if (known != pool.members.end() && known->second.address != member.address) remove_member(pool, id);
        const bool drains = addresses_.update(member.address, pool.id, member.entry, changes);
        member.entry.state = drains ? UpstreamState::draining : UpstreamState::ready;
        member.entry.slow_start = addresses_.token_bucket(member.address);
        call_port([&] { pool.back.set_upstream(id, member.address, !drains); });
        Member& kept = pool.members[id] = member;
        kept.entry.restored.reset();  // passed to the policy once
    }

    void remove_member(Pool& pool, UpstreamId id) {
        const auto known = pool.members.find(id);
        if (known == pool.members.end()) return;
        addresses_.remove(known->second.address, pool.id, id, now_ + pool.settings.ramp_time);
        pool.members.erase(known);
        call_port([&] { pool.back.remove_upstream(id); });
    }

    // Applies a drain notice of another pool to an upstream of this one.
    void apply_drain_change(const Addresses::Change& change) {
        Pool* const pool = find_pool(change.pool);
        if (!pool) return;
        const auto found = pool->members.find(change.upstream);
        if (found == pool->members.end()) return;
        Member& member = found->second;
        member.entry.state = change.drains ? UpstreamState::draining : UpstreamState::ready;
        call_port([&] { pool->back.set_upstream(change.upstream, member.address, !change.drains); });
        pool->policy->on_list(now_, ListKind::delta, {member.entry}, pool->version);
    }

    // Runs twice for a pool: first answers its calls and cancels their attempts, and, after the resulting
    // events have been handled, erases the calls and the pool.
    void handle(const PoolRemoval& removal) {
        const auto found = pools_.find(removal.pool);
        if (found == pools_.end()) return;
        Pool& pool = *found->second;
        std::vector<CallId> call_ids;
        for (const auto& [id, open] : open_calls_) {
            if (open.call.pool == removal.pool) call_ids.push_back(id);
        }
        std::sort(call_ids.begin(), call_ids.end());
        if (!removal.answered) {
            for (const CallId id : call_ids) end_call_for_removal(id, pool);
            events_.emplace_back(PoolRemoval{removal.pool, true});
            return;
        }
        for (const CallId id : call_ids) {
            OpenCall& open = open_calls_.at(id);
            open.in_flight = 0;
            for (AttemptState& attempt : open.attempts) {
                cancel_timer(attempt.expiry);
                open.in_doubt |= attempt.active && attempt.sending;  // its end will not be reported
            }
            erase_if_finished(id);
        }
        while (!pool.members.empty()) remove_member(pool, pool.members.begin()->first);
        addresses_.orphan_notices(removal.pool);
        if (pool.source) call_port([&] { pool.source->unwatch(); });
        drop_actions(removal.pool);
        remove_pool_timers(removal.pool);
        pools_.erase(found);
    }

    void end_call_for_removal(CallId id, Pool& pool) {
        const auto found = open_calls_.find(id);
        if (found == open_calls_.end()) return;
        OpenCall& open = found->second;
        if (!open.answered) {
            const bool may_have_run = open.may_have_run();
            const bool harmless = open.started_attempt < 0 && (!may_have_run || open.retry_is_harmless());
            const Verdict verdict = harmless ? Verdict::refused : Verdict::failed;
            answer(open, {verdict, Cause::pool_removed, {}, may_have_run, nullptr});
        }
        for (AttemptState& attempt : open.attempts) cancel(open, attempt, pool);
    }

    void drop_actions(PoolId id) {
        std::erase_if(actions_, [&](const Action& action) { return action.pool == id; });
    }

    void remove_pool_timers(PoolId id) {
        timers_.remove_if([&](const Timer& due) { return due.kind == TimerKind::policy && due.owner == id; });
    }

    // ---------------------------------------------------------------------------------------------- timers

    void cancel_timer(std::optional<Handle>& handle) {
        if (handle) timers_.remove(*handle);
        handle.reset();
    }

    // Clears the handle of a timer that was taken out of the queue.
    void clear_handle(const Timer& due) {
        const auto found = open_calls_.find(due.owner);
        if (due.kind == TimerKind::policy || found == open_calls_.end()) return;
        if (due.kind == TimerKind::watchdog) {
            found->second.watchdog.reset();
        } else {
            found->second.attempts[due.number].expiry.reset();
        }
    }

    // Sets the alarm only if the next timer is due before it: an alarm that fires too early does no harm.
    void update_alarm() {
        const auto next = timers_.next();
        if (!next || (alarm_at_ && *alarm_at_ <= *next)) return;
        alarm_at_ = next;
        if (!call_port([&] { alarm_.set(*next); })) alarm_at_.reset();  // retried after the next event
    }

    const Clock& clock_;
    Alarm& alarm_;
    Log& log_;
    Options options_;

    Time now_{};
    std::deque<Event> events_;
    std::deque<Action> actions_;
    bool processing_ = false;
    bool applying_lists_ = false;
    Time lists_applied_at_{};  // when the sources were last asked for lists
    bool closed_ = false;

    Timers<Timer> timers_;
    std::optional<Time> alarm_at_;
    std::unordered_map<CallId, OpenCall> open_calls_;
    std::size_t unanswered_ = 0;                       // open calls that are not answered
    std::unordered_set<std::string> call_ids_in_use_;  // of open calls and calls in doubt
    std::deque<InDoubtCall> in_doubt_calls_;
    Addresses addresses_;
    Stats figures_;
    CallId last_call_id_ = 0;
    PoolId last_pool_id_ = 0;
    std::unordered_map<PoolId, std::unique_ptr<Pool>> pools_;
};

Core::Core(const Clock& clock, Alarm& alarm, Log& log, Options options)
    : impl_(std::make_unique<Impl>(clock, alarm, log, options)) {}
Core::~Core() = default;

PoolId Core::add_pool(PoolOptions options, UpstreamConnectionPool& back, Source* source) {
    return impl_->add_pool(std::move(options), back, source);
}
void Core::change_pool(PoolId pool, const Settings& settings) { impl_->change_pool(pool, settings); }
void Core::remove_pool(PoolId pool) { impl_->remove_pool(pool); }
const Settings* Core::settings(PoolId pool) const { return impl_->settings(pool); }
std::optional<LearnedState> Core::learned_state(PoolId pool, UpstreamId upstream) const {
    return impl_->learned_state(pool, upstream);
}
AcceptResult Core::accept_call(Call call, Downstream& front, std::uint64_t token, CallId* id) {
    return impl_->accept_call(std::move(call), front, token, id);
}
bool Core::abandon_call(CallId call) { return impl_->abandon_call(call); }
void Core::close() { impl_->close(); }
bool Core::is_name_in_use(const std::string& name) { return impl_->is_name_in_use(name); }
void Core::set_default_timeout(Micros limit) { impl_->set_default_timeout(limit); }
bool Core::on_attempt_sending(AttemptKey attempt) { return impl_->on_attempt_sending(attempt); }
void Core::on_attempt_started(AttemptKey attempt, Micros latency, std::unique_ptr<Payload> head) {
    impl_->on_attempt_started(attempt, latency, std::move(head));
}
void Core::on_attempt_end(AttemptResult result) { impl_->on_attempt_end(std::move(result)); }
void Core::on_list(PoolId pool, MemberList list) { impl_->on_list(pool, std::move(list)); }
void Core::apply_pending_lists() { impl_->apply_pending_lists(); }
void Core::on_alarm() { impl_->on_alarm(); }
Stats Core::figures() const { return impl_->figures(); }

}  // namespace flaxdoor::core
