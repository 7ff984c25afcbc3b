// A random environment of a core, made from one seed: calls, servers, lists, pools and time. It keeps a model
// of the history of each call, attempt and address, and checks all actions of the core against it. The model
// is derived from the calls of the ports and from the environment's own actions, never from the state of the
// core.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fakes.h"

namespace flaxdoor::core::test {

// The traits in which environments differ. They follow from the seed.
struct Traits {
    explicit Traits(std::uint32_t seed) {
        const auto bit = [&](int index) { return (seed >> index & 1U) != 0; };
        may_cancel = !(bit(0) && bit(3));
        nested = bit(1);
        throws = bit(2) && bit(4);
        late_ends = bit(3);
        stalls = bit(4);
        slow_ports = bit(5) && bit(0);
        open_limit = bit(6) && bit(1);
        must_ask_list = bit(7);
        hedges = !bit(8) || bit(2);
        few_attempts = bit(9) && bit(3);
        few_failures = bit(5);
        rejects_unknown_tenants = bit(6) && bit(3);
    }
    bool may_cancel, nested, throws, late_ends, stalls, slow_ports, open_limit, must_ask_list, hedges,
        few_attempts, few_failures, rejects_unknown_tenants;
};

class World final : public Downstream, public Log, public Alarm, public Clock {
public:
    explicit World(std::uint32_t seed) : seed_(seed), traits_(seed), random_(seed * 2654435761U + 1) {
        Options options;
        options.default_timeout = ms(700);
        options.in_doubt_retention = ms(300);
        options.max_in_doubt = 4;
        if (traits_.open_limit) options.open_calls = 12;
        options.refuse_unknown_tenants = traits_.rejects_unknown_tenants;
        options_ = options;
        core_ = std::make_unique<Core>(static_cast<Clock&>(*this), static_cast<Alarm&>(*this),
                                       static_cast<Log&>(*this), options);
        for (std::size_t i = 0; i < addresses; ++i) {
            servers_[i].address = name_of("a", i);
            servers_[i].zone = static_cast<int>(i / 4);
            servers_[i].cell = static_cast<int>(i % 2);
        }
        const auto count = 1 + below(4);
        for (std::uint32_t i = 0; i < count; ++i) send_list(add_pool(i), ListKind::full);
    }

    // Performs one random action.
    void step() {
        do_action(below(24));
        check_invariants();
    }
    const std::vector<std::uint64_t>& event_hashes() const { return event_hashes_; }
    std::uint64_t sends() const { return sends_; }
    // Counts of the outcomes of calls, so that a test can check that each of them occurred.
    std::map<std::string, std::uint64_t> outcomes;

private:
    static constexpr std::size_t addresses = 8;
    static constexpr std::size_t slots = 4;
    // Whether the policy applies changed settings (Policy::on_settings). If so, classes are reordered and
    // removed.
    static constexpr bool follows_settings = true;

    struct Server {
        std::string address;
        int zone = 0, cell = 0;
        Time started{};
        std::uint32_t process = 0;
    };

    // -------------------------------------------------------------------------------------- the model

    enum class Phase { connecting, sending, fully_sent, started, ended };

    struct PoolModel;
    struct AttemptModel {
        AttemptKey key;
        std::uint64_t token = 0;
        PoolModel* pool = nullptr;
        UpstreamId upstream = 0;
        std::uint64_t link = 0;  // number of the Link that it connects to
        Time sent_at{}, expires{}, begun_at{};
        int zone = 0, cell = 0;
        Phase phase = Phase::connecting;
        Outcome planned_outcome = Outcome::ok;
        bool fully_sent = false;
        bool cancelled = false;  // the connection pool was told to cancel it; it ends now or later
        bool executed = false;
        bool not_executed = false;  // and never will be: its end was reported as such
        std::optional<Outcome> reported;
        Time answer_deadline{};
    };
    struct CallModel {
        std::uint64_t token = 0;
        CallId id = 0;
        PoolModel* pool = nullptr;
        ClassSettings class_settings;
        std::string name;
        std::optional<UpstreamId> pinned;
        Time limit{}, deadline{};
        Micros max_answer_duration{};
        bool ended = false, abandoned = false;
        bool in_doubt = false;  // an attempt ended here, and its end at the server is unknown
        bool reported_not_executed = false;
        int finals = 0;
        int started = -1;
        std::vector<std::size_t> attempts;  // indices into attempts_

        bool retry_is_harmless() const {
            return class_settings.effect == Effect::safe || (class_settings.effect == Effect::keyed &&
                                                             class_settings.group == DeduplicationScope::all);
        }
    };
    struct Listed {
        std::string address;
        bool draining = false;
        Time started{};
        std::uint64_t added_at = 0;
    };
    // The notices about an address. `restarted`: the same id with a later start time.
    enum class NoticeKind { drains, ready, restarted };
    struct Notice {
        std::uint64_t received_at = 0;
        PoolModel* pool = nullptr;
        UpstreamId upstream = 0;
        NoticeKind kind = NoticeKind::ready;
    };

    // A pool with its connection pool and source. Retained after its removal, to detect calls that come after
    // it.
    struct PoolModel final : UpstreamConnectionPool, Source {
        PoolModel(World& owner, std::uint32_t pool_slot) : world(owner), slot(pool_slot) {}
        void set_upstream(UpstreamId upstream, const std::string& address, bool takes_work) override {
            world.port("set", upstream, takes_work, *this);
            Link& link = links[upstream];
            if (link.address != address) link = {address, takes_work, ++world.last_link_};
            link.takes_work = takes_work;
        }
        void remove_upstream(UpstreamId upstream) override {
            world.port("remove", upstream, 0, *this);
            links.erase(upstream);
        }
        void send(Attempt attempt) override { world.send(*this, std::move(attempt)); }
        void cancel(AttemptKey key) override { world.cancel(*this, key); }
        void expire(AttemptKey key) override { world.expire(*this, key); }
        void close_idle(UpstreamId upstream) override { world.port("close", upstream, 0, *this); }
        void watch() override { world.port("watch", 0, 0, *this); }
        void unwatch() override { world.port("unwatch", 0, 0, *this); }
        void fetch() override { world.port("fetch", 0, 0, *this); }

        struct Link {
            std::string address;
            bool takes_work = false;
            std::uint64_t number = 0;
        };
        World& world;
        const std::uint32_t slot;
        PoolId id = 0;
        Settings settings;
        bool removed = false;  // remove_pool was called
        std::uint64_t removed_at = 0;
        bool gone = false;                 // remove_pool has returned
        bool changed = false;              // its settings were changed
        bool order_unknown = false;        // its last lists may have been handled before or after its removal
        std::map<UpstreamId, Link> links;  // as reported to its connection pool
        std::map<UpstreamId, Listed> listed;  // according to its lists
        std::uint64_t version = 0;
    };

    std::uint32_t below(std::uint32_t n) { return random_() % n; }
    bool one_in(std::uint32_t n) { return below(n) == 0; }

    void record_event(const char* name, std::uint64_t first, std::uint64_t second) {
        std::uint64_t hash = 0xcbf29ce484222325ULL;
        for (const char* character = name; *character != 0; ++character) {
            hash = (hash ^ static_cast<std::uint64_t>(*character)) * 0x100000001b3ULL;
        }
        for (const std::uint64_t value : {first, second, static_cast<std::uint64_t>(now_.count())}) {
            hash = (hash ^ value) * 0x100000001b3ULL;
        }
        event_hashes_.push_back(hash);
    }

    // ------------------------------------------------------------------------------------------ ports

    Time now() const override { return now_; }
    void set(Time at) override {
        record_event("alarm", static_cast<std::uint64_t>(at.count()), 0);
        maybe_throw();
        alarm_ = at;
    }
    void event(const Event& event, std::span<const Value> values) override {
        const std::string text = text_of(event, values);
        if (!traits_.throws) {
            EXPECT_FALSE(text.starts_with("fault")) << text;
        }
        port("log", text.size(), 0);
    }

    void maybe_throw() {
        if (traits_.throws && throwing_ && one_in(40)) throw std::runtime_error("no memory");
    }
    // Called for each call of a port.
    void port(const char* name, std::uint64_t first, std::uint64_t second) {
        record_event(name, first, second);
        maybe_throw();
        if (traits_.slow_ports && one_in(4)) now_ += Micros(below(3000));
        if (traits_.nested && in_core_ && nested_actions_ < 2 && one_in(12)) {
            ++nested_actions_;
            do_action(below(22));  // any action except letting time pass
            --nested_actions_;
        }
    }
    void port(const char* name, std::uint64_t first, std::uint64_t second, PoolModel& pool) {
        EXPECT_FALSE(pool.gone) << name << " of a removed pool";
        port(name, first, second);
    }

    void on_started(std::uint64_t token, std::unique_ptr<Payload> head) override {
        CallModel& call = *calls_.at(token);
        EXPECT_FALSE(call.ended) << "answer begun after the end of call " << token;
        EXPECT_EQ(call.started, -1) << "answer begun twice";
        const auto* ticket = dynamic_cast<Ticket*>(head.get());
        EXPECT_TRUE(ticket && ticket->number < attempts_.size());
        if (!ticket) return;
        EXPECT_EQ(attempts_[ticket->number].key.call, call.id);
        call.started = attempts_[ticket->number].key.number;
        ++outcomes["started"];
        port("started", token, 0);
    }

    void on_final(std::uint64_t token, FinalAnswer answer) override {
        CallModel& call = *calls_.at(token);
        ++call.finals;
        EXPECT_FALSE(call.ended) << "second end of call " << token;
        EXPECT_FALSE(call.abandoned) << "answered although it was abandoned";
        if (call.ended) return;
        call.ended = true;
        ++outcomes[text_of(answer.cause)];
        if (!traits_.throws) {
            EXPECT_NE(answer.cause, Cause::fault);
            EXPECT_NE(answer.cause, Cause::watchdog);
        }
        // Answers are exactly on time where alarms are served on time.
        if (call.started < 0 && !traits_.slow_ports && !traits_.throws) {
            EXPECT_TRUE(now_ <= call.limit || call.limit > stalled_from_)
                << "answered " << (now_ - call.limit).count() << " us late: call " << token;
        }
        check_verdict(call, answer);
        port("final", token, static_cast<std::uint64_t>(answer.verdict) * 2 + answer.may_have_run);
    }

    void check_verdict(CallModel& call, const FinalAnswer& answer) {
        const bool may_have_run =
            std::any_of(call.attempts.begin(), call.attempts.end(), [&](std::size_t index) {
                return !attempts_[index].not_executed && attempts_[index].phase != Phase::connecting;
            });
        const bool executed = std::any_of(call.attempts.begin(), call.attempts.end(),
                                          [&](std::size_t index) { return attempts_[index].executed; });
        EXPECT_EQ(answer.cause == Cause::none, answer.verdict == Verdict::served);
        switch (answer.verdict) {
            case Verdict::served: {
                const auto* ticket = dynamic_cast<Ticket*>(answer.answer.get());
                EXPECT_TRUE(ticket && ticket->number < attempts_.size());
                if (!ticket) return;
                const AttemptModel& attempt = attempts_[ticket->number];
                EXPECT_EQ(attempt.key.call, call.id) << "another call's answer";
                EXPECT_EQ(attempt.reported, Outcome::ok);
                EXPECT_TRUE(call.started < 0 || call.started == attempt.key.number);
                break;
            }
            case Verdict::refused:
                EXPECT_EQ(call.started, -1) << "refused after its answer had begun";
                if (!call.retry_is_harmless()) {
                    EXPECT_FALSE(may_have_run || executed)
                        << "refused although it may have executed: call " << call.token;
                    call.reported_not_executed = true;
                }
                if (!answer.may_have_run) call.reported_not_executed = true;
                break;
            case Verdict::failed:
                if (!answer.may_have_run) call.reported_not_executed = true;
                break;
        }
        if (call.reported_not_executed) {
            EXPECT_FALSE(executed) << "reported as not executed, but executed: call " << call.token;
        }
    }

    AttemptModel* find(AttemptKey key) {
        const auto found = by_key_.find(key);
        return found == by_key_.end() ? nullptr : &attempts_[found->second];
    }

    void send(PoolModel& pool, Attempt attempt) {
        EXPECT_FALSE(pool.gone);
        maybe_throw();
        ++sends_;
        EXPECT_FALSE(pool.removed) << "sent for a removed pool";
        const auto* ticket = dynamic_cast<Ticket*>(attempt.payload.get());
        EXPECT_TRUE(ticket) << "sent without the payload of its call";
        if (!ticket) return;
        CallModel& call = *calls_.at(ticket->number);
        if (call.id == 0) call.id = attempt.key.call;
        EXPECT_EQ(call.id, attempt.key.call);
        EXPECT_EQ(call.pool, &pool);
        // Rule 1.
        EXPECT_FALSE(call.ended) << "sent after the end of call " << call.token;
        EXPECT_EQ(call.started, -1) << "sent although the answer has begun";
        EXPECT_LE(attempt.expires, call.deadline);
        EXPECT_LT(now_, attempt.expires);
        // A number is skipped if its attempt was never handed to the connection pool: its time was up, the
        // connection pool threw, or the policy had settings that allowed one attempt more.
        const int last = call.attempts.empty() ? -1 : attempts_[call.attempts.back()].key.number;
        if (traits_.throws || traits_.slow_ports || pool.changed) {
            EXPECT_GT(attempt.key.number, last);
        } else {
            EXPECT_EQ(attempt.key.number, last + 1);
        }
        EXPECT_LT(attempt.key.number, 4);
        // Rule 3, unless lists wait in the core's queue.

        if (call.pinned) {
            EXPECT_EQ(attempt.upstream, *call.pinned);
        }
        if (queued_lists_.empty()) {
            EXPECT_TRUE(takes_work(pool, attempt.upstream))
                << "sent to " << attempt.upstream << " that drains or was removed";
        }
        const auto link = pool.links.find(attempt.upstream);
        if (!traits_.throws) {
            EXPECT_TRUE(link != pool.links.end() && link->second.takes_work);
        }
        AttemptModel model;
        model.key = attempt.key;
        model.token = ticket->number;
        model.pool = &pool;
        model.upstream = attempt.upstream;
        model.link = link == pool.links.end() ? 0 : link->second.number;
        model.sent_at = now_;
        model.expires = attempt.expires;
        // Ids move only between addresses of one cell.
        const Server& server = servers_[attempt.upstream % 10 - 1];
        model.zone = server.zone;
        model.cell = server.cell;
        check_repeat(call, model);
        call.attempts.push_back(attempts_.size());
        by_key_[attempt.key] = attempts_.size();
        const std::size_t at = attempts_.size();
        attempts_.push_back(model);
        active_attempts_.push_back(at);
        record_event("send", attempt.key.call * 8 + static_cast<std::uint64_t>(attempt.key.number),
                     attempt.upstream);
        if (traits_.nested && one_in(6)) {
            for (int i = 0; i < 4 && attempts_[at].phase != Phase::ended; ++i) progress(at);
        }
        if (traits_.slow_ports && one_in(4)) now_ += Micros(below(3000));
    }

    // Rule 2: no effect may occur twice, as far as is known.
    void check_repeat(const CallModel& call, const AttemptModel& next) {
        for (const std::size_t index : call.attempts) {
            const AttemptModel& earlier = attempts_[index];
            if (!earlier.reported) {
                EXPECT_TRUE(traits_.hedges) << "two attempts at once";
                ++outcomes["copies"];
            }
            if (earlier.not_executed || call.class_settings.effect == Effect::safe) continue;
            EXPECT_EQ(call.class_settings.effect, Effect::keyed)
                << "unsafe effect repeated: call " << call.token;
            EXPECT_LT(now_, earlier.sent_at + call.class_settings.window);
            if (call.class_settings.group == DeduplicationScope::zone) {
                EXPECT_EQ(earlier.zone, next.zone);
            }
            if (call.class_settings.group == DeduplicationScope::cell) {
                EXPECT_EQ(earlier.cell, next.cell);
            }
        }
    }

    void cancel(PoolModel& pool, AttemptKey key) {
        EXPECT_FALSE(pool.gone);
        maybe_throw();
        AttemptModel* const attempt = find(key);
        EXPECT_TRUE(attempt && attempt->pool == &pool) << "cancelled an attempt that was never sent";
        if (!attempt) return;
        EXPECT_FALSE(attempt->cancelled) << "cancelled twice";
        EXPECT_TRUE(call_of(*attempt).ended || call_of(*attempt).started != key.number)
            << "the answer to the client was interrupted: call " << attempt->token;
        attempt->cancelled = true;
        record_event("cancel", key.call, static_cast<std::uint64_t>(key.number));
        const std::size_t at = by_key_.at(key);
        if (attempt->phase != Phase::ended && !(traits_.late_ends && one_in(2))) end_cancelled(at);
    }

    void expire(PoolModel& pool, AttemptKey key) {
        EXPECT_FALSE(pool.gone);
        AttemptModel* const attempt = find(key);
        EXPECT_TRUE(attempt && attempt->pool == &pool);
        if (!attempt) return;
        const CallModel& call = call_of(*attempt);
        if (call.started == key.number) {
            EXPECT_GE(now_, attempt->answer_deadline);
            EXPECT_GT(call.max_answer_duration, Micros{0}) << "an answer without a time limit was ended";
        } else {
            EXPECT_GE(now_, attempt->expires) << "expired before its time";
        }
        maybe_throw();
        record_event("expire", key.call, static_cast<std::uint64_t>(key.number));
        if (attempt->phase == Phase::ended) return;  // its end waits in the core's queue
        const std::size_t at = by_key_.at(key);
        if (attempt->cancelled) return end(at, Outcome::cancelled);
        switch (attempt->phase) {
            case Phase::connecting:
                return end(at, one_in(2) ? Outcome::inconclusive : Outcome::connect_failed);
            case Phase::sending: return end(at, one_in(2) ? Outcome::timeout : Outcome::connect_failed);
            case Phase::fully_sent:
                if (attempt->planned_outcome == Outcome::ok && one_in(4)) return end(at, Outcome::ok);
                return end(at, Outcome::timeout);
            default: return end(at, Outcome::timeout);
        }
    }

    // --------------------------------------------------------------------------------------- attempts

    CallModel& call_of(const AttemptModel& attempt) { return *calls_.at(attempt.token); }

    void run(AttemptModel& attempt) {
        const CallModel& call = call_of(attempt);
        attempt.executed = true;
        EXPECT_TRUE(!call.reported_not_executed || traits_.throws)
            << "executed although it was reported as not executed: call " << call.token;
    }

    // Rule 2 measures the window of a retry from the first byte of each earlier attempt that may have
    // executed to the first byte of the retry.
    void check_window(const CallModel& call, std::size_t at) {
        if (call.class_settings.effect != Effect::keyed || traits_.throws) return;
        for (const std::size_t index : call.attempts) {
            const bool began = index != at && attempts_[index].phase != Phase::connecting &&
                               attempts_[index].begun_at > Time{};
            if (began && !attempts_[index].not_executed) {
                EXPECT_LT(now_ - attempts_[index].begun_at, call.class_settings.window)
                    << "call " << call.token;
            }
        }
    }

    // Performs the next step of an attempt.
    void progress(std::size_t at) {
        AttemptModel& attempt = attempts_[at];
        if (attempt.phase == Phase::ended) return;
        if (attempt.cancelled) return end_cancelled(at);
        const CallModel& call = call_of(attempt);
        switch (attempt.phase) {
            case Phase::connecting: {
                const auto link = attempt.pool->links.find(attempt.upstream);
                const bool open = link != attempt.pool->links.end() && link->second.takes_work &&
                                  link->second.number == attempt.link;
                if (!open) return end(at, Outcome::inconclusive);
                // The cancellation may wait in the core's queue. Sockets begin no attempt within another
                // port.
                if (in_core_ && call.ended) return;
                if (one_in(traits_.few_failures ? 40 : 8)) return end(at, Outcome::connect_failed);
                if (one_in(24)) return end(at, Outcome::inconclusive, true);
                if (one_in(3)) return;
                // For rule 3 an attempt is sent when its first byte is.
                if (!in_core_ && !traits_.throws) {
                    EXPECT_TRUE(takes_work(*attempt.pool, attempt.upstream))
                        << "begun at a draining upstream";
                }
                // The core is asked before the first byte, and nothing is sent if it declines.
                if (!core_->on_attempt_sending(attempt.key)) return end(at, Outcome::inconclusive);
                attempt.phase = Phase::sending;
                attempt.begun_at = now_;
                check_window(call, at);
                return;
            }
            case Phase::sending: {
                if (one_in(12)) return end(at, Outcome::connect_failed);
                attempt.phase = Phase::fully_sent;
                attempt.fully_sent = true;
                static constexpr std::array planned_outcomes{
                    Outcome::ok,    Outcome::ok,          Outcome::ok,    Outcome::ok,
                    Outcome::ok,    Outcome::ok,          Outcome::error, Outcome::full,
                    Outcome::reset, Outcome::inconclusive /* silence */};
                attempt.planned_outcome = planned_outcomes[below(planned_outcomes.size())];
                if (traits_.few_failures && attempt.planned_outcome != Outcome::inconclusive)
                    attempt.planned_outcome = Outcome::ok;
                const bool sure = attempt.planned_outcome == Outcome::ok;
                if (sure || (attempt.planned_outcome != Outcome::full && one_in(2))) run(attempt);
                return;
            }
            case Phase::fully_sent:
                if (attempt.planned_outcome == Outcome::inconclusive) {
                    if (attempt.pool->gone) end(at, Outcome::timeout);
                    return;
                }
                if (attempt.planned_outcome == Outcome::ok &&
                    (call.class_settings.streams ? !one_in(3) : one_in(8))) {
                    attempt.phase = Phase::started;
                    attempt.answer_deadline = now_ + call.max_answer_duration;
                    record_event("begin", attempt.key.call, static_cast<std::uint64_t>(attempt.key.number));
                    const AttemptKey key = attempt.key;
                    enter_core([&] { core_->on_attempt_started(key, ms(3), std::make_unique<Ticket>(at)); });
                    return;
                }
                return end(at, attempt.planned_outcome);
            case Phase::started: return end(at, one_in(6) ? Outcome::reset : Outcome::ok);
            case Phase::ended: return;
        }
    }

    // The answer may arrive while the attempt is being cancelled.
    void end_cancelled(std::size_t at) {
        const AttemptModel& attempt = attempts_[at];
        const bool crossed =
            attempt.phase == Phase::fully_sent && attempt.planned_outcome == Outcome::ok && one_in(3);
        end(at, crossed ? Outcome::ok : Outcome::cancelled);
    }

    void end(std::size_t at, Outcome outcome, bool own_fault = false) {
        AttemptModel& attempt = attempts_[at];
        EXPECT_NE(attempt.phase, Phase::ended);
        attempt.phase = Phase::ended;
        attempt.reported = outcome;
        attempt.not_executed = outcome == Outcome::full || outcome == Outcome::connect_failed ||
                               outcome == Outcome::inconclusive || own_fault ||
                               (outcome == Outcome::cancelled && !attempt.fully_sent);
        EXPECT_FALSE(attempt.not_executed && attempt.executed) << "the model contradicts itself";
        std::erase(active_attempts_, at);
        // A call whose end at the server is unknown may still be executing.
        const bool unknown = outcome == Outcome::timeout || outcome == Outcome::reset ||
                             (outcome == Outcome::cancelled && attempt.fully_sent);
        if (unknown && !own_fault) call_of(attempt).in_doubt = true;
        record_event("end", attempt.key.call * 8 + static_cast<std::uint64_t>(attempt.key.number),
                     static_cast<std::uint64_t>(outcome));
        AttemptResult result;
        result.key = attempt.key;
        result.outcome = outcome;
        result.local_failure = own_fault;
        result.fully_sent = attempt.fully_sent;
        result.latency = now_ - attempt.sent_at;
        result.report = {traits_.few_failures ? 0.0F : static_cast<float>(below(3))};
        if (outcome == Outcome::ok) result.answer = std::make_unique<Ticket>(at);
        enter_core([&] { core_->on_attempt_end(std::move(result)); });
    }

    // Runs a function that calls the core. When the outermost one has returned, the core has handled all
    // events.
    template <typename Function>
    void enter_core(Function function) {
        const bool outermost = !in_core_;
        in_core_ = true;
        function();
        if (!outermost) return;
        in_core_ = false;
        for (const auto& [pool, list] : queued_lists_) {
            pool->order_unknown |= pool->removed;
            apply_to_model(*pool, list);
        }
        queued_lists_.clear();
        for (auto& pool : pools_) {
            if (pool->removed && !pool->gone) on_pool_removed(*pool);
        }
        erase_ended_calls();
    }

    // ------------------------------------------------------------------------------------------ pools

    Settings make_settings() {
        Settings result = plain_settings();
        ClassSettings streaming = result.classes[0];
        streaming.name = "streaming";
        streaming.streams = true;
        result.classes.push_back(streaming);
        result.ramp_time = ms(2000);
        result.fall_span = ms(500);
        result.parallel_attempts = traits_.hedges;
        result.may_cancel = traits_.may_cancel;
        result.max_attempts = traits_.few_attempts ? 1 : 2 + static_cast<int>(below(3));
        result.must_request_list = traits_.must_ask_list && one_in(2);
        result.ask_within = ms(300);
        result.drain_close = one_in(2) ? ms(50) : ms(0);
        result.report_fields = {ReportField::in_flight};
        result.reports = ReportSource::answers;
        for (std::uint32_t i = below(3); i > 0; --i) {
            result.tenants.push_back({name_of("tenant ", i), i * 20.0, 0.2});
        }
        result.over_share_worth = 0.3;
        return result;
    }

    PoolModel& add_pool(std::uint32_t slot) {
        pools_.push_back(std::make_unique<PoolModel>(*this, slot));
        PoolModel& pool = *pools_.back();
        pool.settings = make_settings();
        enter_core([&] {
            pool.id = core_->add_pool({name_of("pool ", slot), pool.settings, seed_ + slot}, pool, &pool);
        });
        EXPECT_TRUE(pool_ids_.insert(pool.id).second) << "a pool id was used twice";
        return pool;
    }

    void remove_pool(PoolModel& pool) {
        if (pool.removed) return;
        record_event("remove_pool", pool.id, 0);
        pool.removed = true;
        pool.removed_at = ++sequence_;
        enter_core([&] {
            core_->remove_pool(pool.id);
            EXPECT_EQ(core_->settings(pool.id), nullptr);
        });
    }

    // The ends of its attempts are ignored from now on, but attempts that have begun may still be executing.
    void on_pool_removed(PoolModel& pool) {
        pool.gone = true;
        pool.listed.clear();
        if (!traits_.throws) {
            EXPECT_TRUE(pool.links.empty());
        }
        for (const std::size_t at : active_attempts_) {
            AttemptModel& attempt = attempts_[at];
            if (attempt.pool != &pool) continue;
            if (attempt.phase != Phase::connecting) call_of(attempt).in_doubt = true;
            EXPECT_TRUE(attempt.cancelled || traits_.throws) << "an attempt outlives its removed pool";
        }
        for (const CallModel* call : active_calls_) {
            EXPECT_TRUE(call->pool != &pool || call->ended) << "removed pool left open call " << call->token;
        }
    }

    PoolModel* any_pool() {
        std::vector<PoolModel*> present;
        for (auto& pool : pools_) {
            if (!pool->removed && pool->id != 0) present.push_back(pool.get());
        }
        return present.empty() ? nullptr : present[below(static_cast<std::uint32_t>(present.size()))];
    }

    void change(PoolModel& pool) {
        Settings changed = make_settings();
        changed.must_request_list = pool.settings.must_request_list;
        // Classes may be reordered. An open call keeps its class.
        if (follows_settings && one_in(2)) {
            std::rotate(changed.classes.begin(), changed.classes.begin() + below(5), changed.classes.end());
        }
        if (follows_settings && one_in(8)) changed.classes.pop_back();
        record_event("change", pool.id, changed.classes.size());
        pool.settings = changed;
        pool.changed = true;
        enter_core([&] { core_->change_pool(pool.id, changed); });
    }

    // ------------------------------------------------------------------------------------------ lists

    // The ids of a server differ between pools in odd slots, and are equal in pools in even slots.
    UpstreamId id_of(const PoolModel& pool, std::size_t server) const {
        const std::uint64_t salt = pool.slot % 2 == 0 ? 0 : pool.slot;
        return 1 + server + 10 * salt + 100 * servers_[server].process;
    }

    Member member_of(UpstreamId id, std::size_t server, UpstreamState state) const {
        Member result = member(id, servers_[server].address, state, servers_[server].started);
        result.entry.zone = servers_[server].zone;
        result.entry.cell = servers_[server].cell;
        return result;
    }

    std::size_t server_at(const std::string& address) const {
        return static_cast<std::size_t>(address[1] - '0');
    }

    void send_list(PoolModel& pool, ListKind kind) {
        MemberList list;
        list.kind = kind;
        pool.version = one_in(10) ? below(5) : pool.version + 1;  // occasionally it goes back
        list.version = pool.version;
        if (kind != ListKind::failed) fill(pool, list);
        record_event("list", pool.id, list.members.size() * 4 + static_cast<std::uint64_t>(kind));
        // Within another event the list is queued, and when it is handled can't be observed.
        if (in_core_) {
            queued_lists_.emplace_back(&pool, list);
        } else {
            apply_to_model(pool, list);
        }
        enter_core([&] { core_->on_list(pool.id, list); });
    }

    void fill(PoolModel& pool, MemberList& list) {
        for (std::size_t index = 0; index < addresses; ++index) {
            const bool complete = list.kind != ListKind::delta;
            if (complete ? one_in(traits_.few_failures ? 24 : 6) : !one_in(4)) continue;
            const auto state =
                one_in(traits_.few_failures ? 24 : 4) ? UpstreamState::draining : UpstreamState::ready;
            Server& server = servers_[index];
            switch (traits_.few_failures && !one_in(6) ? 9 : below(10)) {
                case 0:  // a new process with a new id; the old id may be listed as gone
                    if (list.kind == ListKind::delta && one_in(2)) {
                        list.members.push_back(member_of(id_of(pool, index), index, UpstreamState::gone));
                    }
                    if (one_in(2)) server.started = now_ - Micros(below(300000));
                    ++server.process;
                    list.members.push_back(member_of(id_of(pool, index), index, state));
                    break;
                case 1:  // a new process with the old id
                    server.started = now_ - Micros(below(1000));
                    list.members.push_back(member_of(id_of(pool, index), index, state));
                    break;
                case 2: {  // the id moves to the other address of its cell, listed in either order
                    const std::size_t other = index ^ 2U;
                    const UpstreamId id = id_of(pool, index);
                    const bool first = one_in(2);
                    if (first) list.members.push_back(member_of(id, index, UpstreamState::gone));
                    list.members.push_back(member_of(id, other, state));
                    if (!first && list.kind == ListKind::delta) {
                        list.members.push_back(member_of(id, index, UpstreamState::gone));
                    }
                    break;
                }
                case 3:
                case 4:
                    if (list.kind == ListKind::delta) {
                        list.members.push_back(member_of(id_of(pool, index), index, UpstreamState::gone));
                    }
                    break;
                default: list.members.push_back(member_of(id_of(pool, index), index, state));
            }
        }
    }

    // Applies a list to the model, one entry after another.
    void apply_to_model(PoolModel& pool, const MemberList& list) {
        if (pool.removed || list.kind == ListKind::failed) return;
        std::set<UpstreamId> named;
        for (const Member& member : list.members) {
            const auto known = pool.listed.find(member.entry.id);
            if (member.entry.state == UpstreamState::gone) {
                const bool moved = named.contains(member.entry.id) && known != pool.listed.end() &&
                                   known->second.address != member.address;
                if (!moved && known != pool.listed.end()) pool.listed.erase(known);
                continue;
            }
            named.insert(member.entry.id);
            auto& address_notices = notices_[member.address];
            Listed next{member.address, member.entry.state == UpstreamState::draining,
                        member.entry.started_at, 0};
            if (known == pool.listed.end() || known->second.address != member.address) {
                next.added_at = ++sequence_;
            } else if (member.entry.started_at > known->second.started) {
                next.added_at = ++sequence_;
                address_notices.push_back({++sequence_, &pool, member.entry.id, NoticeKind::restarted});
            } else {
                next.added_at = known->second.added_at;
                next.started = known->second.started;
            }
            const NoticeKind kind = next.draining ? NoticeKind::drains : NoticeKind::ready;
            // A repeated notice changes nothing, except that `ready` revokes the drains of removed pools.
            const auto last =
                std::find_if(address_notices.rbegin(), address_notices.rend(), [&](const Notice& notice) {
                    return notice.pool == &pool && notice.upstream == member.entry.id;
                });
            if (last == address_notices.rend() || last->kind != kind || kind == NoticeKind::ready) {
                address_notices.push_back({++sequence_, &pool, member.entry.id, kind});
            }
            pool.listed[member.entry.id] = next;
        }
        if (list.kind == ListKind::delta) return;
        std::erase_if(pool.listed, [&](const auto& item) { return !named.contains(item.first); });
    }

    // Rule 3, evaluated over all notices about the address.
    bool takes_work(const PoolModel& pool, UpstreamId upstream) const {
        const auto found = pool.listed.find(upstream);
        if (found == pool.listed.end() || found->second.draining) return false;
        const auto address_notices = notices_.find(found->second.address);
        if (address_notices == notices_.end()) return true;
        const auto& notices = address_notices->second;
        for (auto notice = notices.begin(); notice != notices.end(); ++notice) {
            if (notice->kind != NoticeKind::drains || notice->pool == &pool || notice->pool->order_unknown ||
                notice->received_at < found->second.added_at) {
                continue;
            }
            const bool revoked = std::any_of(notice, notices.end(), [&](const Notice& later) {
                if (later.kind == NoticeKind::drains) return false;
                if (later.pool == notice->pool) return later.upstream == notice->upstream;
                return notice->pool->removed && later.received_at > notice->pool->removed_at;
            });
            if (!revoked) return false;
        }
        return true;
    }

    // ------------------------------------------------------------------------------------------ calls

    void take() {
        PoolModel* const pool =
            one_in(30) ? pools_[below(static_cast<std::uint32_t>(pools_.size()))].get() : any_pool();
        if (!pool || pool->id == 0 || !making_calls_) return;
        const auto count = static_cast<std::uint32_t>(pool->settings.classes.size());
        Call call;
        call.pool = pool->id;
        call.class_index = one_in(60) ? static_cast<int>(count) + 3 : static_cast<int>(below(count));
        if (one_in(2)) call.call_id = name_of("name ", below(one_in(2) ? 4 : 1000));
        switch (below(3)) {
            case 0: break;
            case 1:
                call.tenant = {
                    Tenant::Kind::known,
                    static_cast<int>(below(static_cast<std::uint32_t>(pool->settings.tenants.size() + 1)))};
                break;
            default: call.tenant.kind = Tenant::Kind::unknown;
        }
        call.key = below(4);
        if (!one_in(5)) call.budget = ms(1 + below(600));
        if (one_in(2)) call.received = now_ - ms(below(100));
        if (!one_in(3)) call.network_allowance = ms(below(40));
        if (one_in(2)) call.max_answer_duration = ms(1 + below(400));
        if (one_in(8)) call.cost_hint = ms(below(20));
        if (one_in(12) && !pool->listed.empty()) {
            auto pinned = pool->listed.begin();
            std::advance(pinned, below(static_cast<std::uint32_t>(pool->listed.size())));
            call.pinned = pinned->first;
        }
        call.client_retry = one_in(6);
        const std::uint64_t token = calls_.size();
        call.payload = std::make_shared<Ticket>(token);
        CallModel model;
        model.token = token;
        model.pool = pool;
        model.name = call.call_id;
        model.pinned = call.pinned;
        model.max_answer_duration = call.max_answer_duration;
        const Micros budget = call.budget > Micros{0} ? call.budget : options_.default_timeout;
        const Time received = call.received > Time{} ? call.received : now_;
        // Without a network allowance the watchdog fires one microsecond after the deadline.
        model.limit = received + budget + (call.network_allowance <= Micros{1} ? Micros{1} : Micros{0});
        model.limit = std::max(model.limit, now_);  // a call that is already too late is answered at once
        model.deadline = received + budget - std::min(call.network_allowance, budget / 2);
        const bool bad_class = static_cast<std::uint32_t>(call.class_index) >= count;
        if (!bad_class)
            model.class_settings = pool->settings.classes[static_cast<std::size_t>(call.class_index)];
        const bool unknown = traits_.rejects_unknown_tenants && call.tenant.kind == Tenant::Kind::unknown &&
                             !pool->settings.tenants.empty();
        const bool id_in_use = is_id_in_use(call.call_id);
        const AcceptResult expected = closed_         ? AcceptResult::shutting_down
                                      : pool->removed ? AcceptResult::no_pool
                                      : bad_class     ? AcceptResult::bad_class
                                      : unknown       ? AcceptResult::unknown_tenant
                                      : too_many()    ? AcceptResult::too_many
                                      : id_in_use     ? AcceptResult::name_in_use
                                                      : AcceptResult::accepted;
        calls_.push_back(std::make_unique<CallModel>(model));
        CallModel& added = *calls_.back();
        record_event("take", token, static_cast<std::uint64_t>(call.class_index));
        active_calls_.push_back(&added);
        CallId id = 0;
        AcceptResult taken = AcceptResult::accepted;
        enter_core([&] { taken = core_->accept_call(call, *this, token, &id); });
        ++outcomes[name_of("taken ", static_cast<std::uint64_t>(taken))];
        // Within other events, ends of attempts may still wait in the core's queue: the core lags behind the
        // model.
        const bool core_lags =
            in_core_ && expected == AcceptResult::accepted && taken == AcceptResult::name_in_use;
        // The core drops ids in doubt in the order in which it recorded them, which the model does not know
        // here.
        const bool order_unclear =
            (traits_.nested || traits_.slow_ports) && !call.call_id.empty() &&
            (expected == AcceptResult::accepted || expected == AcceptResult::name_in_use) &&
            (taken == AcceptResult::accepted || taken == AcceptResult::name_in_use) &&
            !is_open(call.call_id, added);
        if (!core_lags && !order_unclear) {
            EXPECT_EQ(taken, expected) << "call " << token;
        }
        if (taken == AcceptResult::accepted) {
            EXPECT_TRUE(added.id == 0 || added.id == id);
            added.id = id;

        } else {
            EXPECT_EQ(added.finals, 0);
            EXPECT_TRUE(added.attempts.empty());
            std::erase(active_calls_, &added);
        }
    }

    void leave() {
        if (active_calls_.empty()) return;
        CallModel& call = *active_calls_[below(static_cast<std::uint32_t>(active_calls_.size()))];
        if (call.id == 0) return;
        const bool was_over = call.ended;
        call.ended = call.abandoned = call.abandoned || !was_over;
        call.ended = true;
        record_event("leave", call.token, 0);
        bool may_have_run = false;
        enter_core([&] { may_have_run = core_->abandon_call(call.id); });
        if (was_over) {
            EXPECT_FALSE(may_have_run);
            return;
        }
        ++outcomes["left"];
        if (may_have_run) return;
        call.reported_not_executed = true;
        for (const std::size_t index : call.attempts)
            EXPECT_FALSE(attempts_[index].executed) << "abandoned and reported as not executed, but executed";
    }

    bool too_many() const {
        if (options_.open_calls == 0) return false;
        const auto open = std::count_if(active_calls_.begin(), active_calls_.end(),
                                        [](const auto* other) { return !other->ended; });
        return static_cast<std::size_t>(open) >= options_.open_calls;
    }

    bool any_active(const CallModel& call) const {
        return !call.pool->gone &&
               std::any_of(call.attempts.begin(), call.attempts.end(),
                           [&](std::size_t index) { return attempts_[index].phase != Phase::ended; });
    }
    // Returns whether a call with that id, other than the given one, is open for certain.
    bool is_open(const std::string& name, const CallModel& except) const {
        return std::any_of(active_calls_.begin(), active_calls_.end(), [&](const auto* other) {
            return other != &except && other->name == name &&
                   (!other->ended || (any_active(*other) && !other->pool->removed));
        });
    }
    // Returns whether an id is in use: by an open call, by an active attempt, or by an unsafe call in doubt.
    bool is_id_in_use(const std::string& name) {
        if (name.empty()) return false;
        std::erase_if(doubts_, [&](const auto& doubt) { return doubt.first <= now_; });
        return std::any_of(active_calls_.begin(), active_calls_.end(),
                           [&](const auto* other) { return other->name == name; }) ||
               std::any_of(doubts_.begin(), doubts_.end(),
                           [&](const auto& doubt) { return doubt.second == name; });
    }
    // Erases calls that have ended and have no active attempt. Their ids become free, or are in doubt.
    void erase_ended_calls() {
        std::erase_if(active_calls_, [&](const CallModel* call) {
            if (!call->ended || any_active(*call)) return false;
            if (!call->name.empty() && call->in_doubt && call->class_settings.effect == Effect::unsafe) {
                doubts_.emplace_back(now_ + options_.in_doubt_retention, call->name);
                if (doubts_.size() > options_.max_in_doubt) doubts_.erase(doubts_.begin());
            }
            return true;
        });
    }

    // ------------------------------------------------------------------------------------------- time

    void serve_alarm(Time until) {
        for (int turns = 0; alarm_ && *alarm_ <= until; ++turns) {
            ASSERT_LT(turns, 100000) << "the core sets one alarm after another";
            now_ = std::max(now_, *alarm_);
            alarm_.reset();
            enter_core([&] { core_->on_alarm(); });
        }
    }
    void pass(Micros duration) {
        const Time until = now_ + duration;
        serve_alarm(until);
        now_ = std::max(now_, until);
    }
    // Simulates a stall of the event loop. Events of the stall are handled before the alarm or after it.
    void stall(Micros duration) {
        record_event("stall", static_cast<std::uint64_t>(duration.count()), 0);
        stalled_from_ = now_;
        now_ += duration;
        for (std::uint32_t i = below(5); i > 0; --i) progress_any();
        serve_alarm(now_);
    }

    void progress_any() {
        if (!active_attempts_.empty())
            progress(active_attempts_[below(static_cast<std::uint32_t>(active_attempts_.size()))]);
    }

    // Reports events that no connection pool should report: of an attempt that never existed, or of one that
    // has ended.
    void report_invalid_events() {
        AttemptKey key{one_in(2) ? 0 : 1 + below(50), one_in(2) ? -1 : 100};
        if (one_in(2) && !attempts_.empty()) {
            const AttemptModel& attempt = attempts_[below(static_cast<std::uint32_t>(attempts_.size()))];
            if (attempt.phase == Phase::ended) key = attempt.key;
        }
        record_event("nonsense", key.call, static_cast<std::uint64_t>(key.number + 1));
        enter_core([&] {
            core_->on_attempt_started(key, ms(1), nullptr);
            AttemptResult result;
            result.key = key;
            result.outcome = Outcome::ok;
            core_->on_attempt_end(std::move(result));
            core_->on_list(9999, {});
            EXPECT_FALSE(core_->abandon_call(987654321));
            core_->remove_pool(9999);
        });
    }

    void do_action(std::uint32_t action) {
        switch (action) {
            case 8:
            case 9: {
                PoolModel* const pool = any_pool();
                static constexpr std::array kinds{ListKind::delta, ListKind::delta,  ListKind::delta,
                                                  ListKind::full,  ListKind::cached, ListKind::failed};
                if (pool) send_list(*pool, kinds[below(kinds.size())]);
                return;
            }
            case 10: return leave();
            case 11:
                if (!one_in(4)) return;
                // A removed pool is often added again under its name at once.
                if (PoolModel* const pool = any_pool(); pool && one_in(2)) {
                    remove_pool(*pool);
                    if (one_in(4)) return;
                    send_list(add_pool(pool->slot), one_in(2) ? ListKind::cached : ListKind::full);
                } else if (pools_.size() < 12) {
                    send_list(add_pool(below(slots)), ListKind::full);
                }
                return;
            case 12:
                if (PoolModel* const pool = any_pool()) change(*pool);
                return;
            case 13: return report_invalid_events();
            case 14:
                if (!one_in(60)) return;
                closed_ = true;
                core_->close();
                return;
            case 22: return pass(Micros(below(60000)));
            case 23:
                if (traits_.stalls && one_in(3)) return stall(ms(10 + below(one_in(6) ? 3000 : 200)));
                return pass(Micros(below(20000)));
            default:
                if (action < 8) return take();
                for (std::uint32_t i = 1 + below(6); i > 0; --i) progress_any();
        }
    }

    // Checks the invariants that hold after each step.
    void check_invariants() {
        for (const CallModel* call : active_calls_) {
            if (call->ended || call->started >= 0 || traits_.throws || traits_.slow_ports) continue;
            EXPECT_LE(now_, call->limit) << "call " << call->token << " was left open";
        }
        const Stats figures = core_->figures();
        const auto waiting = static_cast<std::uint64_t>(std::count_if(
            active_calls_.begin(), active_calls_.end(), [](const auto* other) { return !other->ended; }));
        EXPECT_EQ(figures.accepted,
                  figures.served + figures.refused + figures.failed + figures.abandoned + waiting);
        EXPECT_LE(figures.in_doubt, options_.max_in_doubt);
        EXPECT_EQ(figures.open, active_calls_.size());
        if (!traits_.throws) {
            EXPECT_EQ(figures.faults, 0u);
            EXPECT_EQ(figures.watchdog_answers, 0u);
        }
    }

public:
    // Makes no more calls, lets open ones end, removes the pools, and checks that no state is left.
    void finish() {
        if (one_in(2)) {
            closed_ = true;
            core_->close();
        }
        making_calls_ = false;
        for (int round = 0; round < 40; ++round) {
            for (std::size_t i = 2 * active_attempts_.size(); i > 0; --i) progress_any();
            if (PoolModel* const pool = any_pool(); pool && one_in(4)) send_list(*pool, ListKind::delta);
            enter_core([&] { core_->on_list(9999, {}); });  // an alarm that was lost is set again
            pass(ms(50));
            check_invariants();
        }
        for (int i = 0; i < 10000 && !active_attempts_.empty(); ++i) progress_any();
        EXPECT_TRUE(active_attempts_.empty()) << "an attempt was never ended";
        check_invariants();
        for (const auto& call : calls_) {
            if (call->id == 0) continue;
            EXPECT_TRUE(call->ended) << "call " << call->token << " was never answered";
            EXPECT_EQ(call->finals, call->abandoned ? 0 : 1) << "call " << call->token;
        }
        EXPECT_EQ(core_->figures().open, 0u);
        throwing_ = false;
        while (PoolModel* const pool = any_pool()) remove_pool(*pool);
        EXPECT_EQ(core_->figures().open, 0u);
        EXPECT_EQ(core_->figures().pools, 0u);
        EXPECT_EQ(core_->figures().timers, 0u);
        pass(seconds(3));
        traits_.nested = traits_.slow_ports = false;
        PoolModel& new_pool = add_pool(0);
        enter_core([&] { core_->on_list(new_pool.id, {}); });
        EXPECT_EQ(core_->figures().addresses, 0u);
        // Every call id can be used again, unless the core is closed.
        std::set<std::string> names;
        for (const auto& call : calls_) names.insert(call->name);
        names.erase("");
        const std::uint64_t first = calls_.size();
        for (const auto& name : names) {
            if (closed_ || (options_.open_calls > 0 && calls_.size() >= first + options_.open_calls)) break;
            CallModel model;
            model.token = calls_.size();
            model.pool = &new_pool;
            model.limit = now_ + seconds(1);
            calls_.push_back(std::make_unique<CallModel>(model));
            Call call;
            call.pool = new_pool.id;
            call.call_id = name;
            EXPECT_EQ(core_->accept_call(call, *this, model.token, nullptr), AcceptResult::accepted) << name;
        }
        EXPECT_EQ(closed_ || names.empty() ? 0u : core_->figures().in_doubt, 0u);
        remove_pool(new_pool);
        EXPECT_EQ(core_->figures().open, 0u);
        EXPECT_EQ(core_->figures().timers, 0u);
    }

private:
    const std::uint32_t seed_;
    Traits traits_;
    std::mt19937 random_;
    Options options_;
    Time now_ = std::chrono::hours(1);
    Time stalled_from_ = Time::max();
    std::optional<Time> alarm_;
    bool in_core_ = false;    // a call into the core has not returned
    int nested_actions_ = 0;  // depth of actions within ports
    bool throwing_ = true;
    bool making_calls_ = true;
    bool closed_ = false;

    std::array<Server, addresses> servers_;
    std::vector<std::unique_ptr<PoolModel>> pools_;
    std::set<PoolId> pool_ids_;
    std::uint64_t last_link_ = 0;
    std::vector<std::unique_ptr<CallModel>> calls_;  // by token
    std::vector<CallModel*> active_calls_;           // not ended, or with active attempts
    std::deque<AttemptModel> attempts_;
    std::map<AttemptKey, std::size_t> by_key_;
    std::vector<std::size_t> active_attempts_;
    std::vector<std::pair<PoolModel*, MemberList>> queued_lists_;
    std::uint64_t sequence_ = 0;  // orders the notices and entries of lists
    std::map<std::string, std::vector<Notice>> notices_;
    std::vector<std::pair<Time, std::string>> doubts_;
    std::vector<std::uint64_t> event_hashes_;
    std::uint64_t sends_ = 0;
    std::unique_ptr<Core> core_;  // declared last: destroyed first
};

}  // namespace flaxdoor::core::test
