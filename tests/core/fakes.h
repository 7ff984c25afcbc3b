// Fakes for the core's environment: a clock that the test advances, an alarm that the test serves, and ports
// that record their calls. Any of them can be made to throw at its n-th call.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "policy_rig.h"

namespace flaxdoor::core::test {

using flaxdoor::test::ms;
using flaxdoor::test::plain_settings;
using std::chrono::seconds;

// Throws at one of the calls that pass it, counted from zero.
struct Trip {
    long throw_at = -1;
    bool non_standard = false;  // throws a value that is not a std::exception
    long calls = 0;
    std::string thrown_in;  // name of the port that threw

    void pass(const char* port) {
        if (calls++ != throw_at) return;
        thrown_in = port;
        if (non_standard) throw 7;
        throw std::runtime_error(std::string("out of memory in ") + port);
    }
};

struct FakeClock final : Clock {
    Time now() const override { return at; }
    Time at = std::chrono::hours(1);
};

struct FakeAlarm final : Alarm {
    explicit FakeAlarm(Trip& trip_wire) : trip(trip_wire) {}
    void set(Time at) override {
        trip.pass("Alarm::set");
        due = at;
    }
    Trip& trip;
    std::optional<Time> due;
};

struct FakeLog final : Log {
    explicit FakeLog(Trip& trip_wire) : trip(trip_wire) {}
    void event(const Event& event, std::span<const Value> values) override {
        trip.pass("Log::event");
        lines.push_back(text_of(event, values));
        if (on_line) on_line();
    }
    Trip& trip;
    std::vector<std::string> lines;
    std::function<void()> on_line;
};

// A payload that a test can identify.
struct Ticket final : Payload {
    explicit Ticket(std::uint64_t ticket_number) : number(ticket_number) {}
    std::uint64_t number;
};

struct FakeFront final : Downstream {
    struct FinalRecord {
        std::uint64_t token = 0;
        FinalAnswer answer;
        Time at{};
    };
    FakeFront(Trip& trip_wire, const FakeClock& fake_clock) : trip(trip_wire), clock(fake_clock) {}

    void on_started(std::uint64_t token, std::unique_ptr<Payload> head) override {
        started.push_back(token);
        heads.push_back(std::move(head));
        trip.pass("Front::on_started");
        if (when_started) when_started(token);
    }
    // Recorded before it throws: the core does not call a Downstream twice for one final answer.
    void on_final(std::uint64_t token, FinalAnswer answer) override {
        told.push_back({token, std::move(answer), clock.at});
        trip.pass("Front::on_final");
        if (when_final) when_final(token);
    }

    std::size_t finals(std::uint64_t token) const {
        return static_cast<std::size_t>(std::count_if(
            told.begin(), told.end(), [&](const FinalRecord& record) { return record.token == token; }));
    }
    // As finals(), in amortised constant time.
    int finals_incremental(std::uint64_t token) {
        for (; counted_ < told.size(); ++counted_) ++counts_[told[counted_].token];
        return counts_[token];
    }
    // Returns an empty record if there is none: the test has failed by then.
    const FinalRecord* of(std::uint64_t token) const {
        const auto found = std::find_if(told.begin(), told.end(),
                                        [&](const FinalRecord& record) { return record.token == token; });
        return found == told.end() ? &none_ : &*found;
    }

    Trip& trip;
    const FakeClock& clock;
    std::vector<FinalRecord> told;
    std::vector<std::uint64_t> started;
    std::vector<std::unique_ptr<Payload>> heads;
    std::function<void(std::uint64_t)> when_final, when_started;

private:
    const FinalRecord none_;
    std::size_t counted_ = 0;
    std::map<std::uint64_t, int> counts_;
};

// Ends cancelled and expired attempts at once, unless configured otherwise; all others when the test says so.
struct FakeBack : UpstreamConnectionPool {
    explicit FakeBack(Trip& trip_wire) : trip(trip_wire) {}

    void set_upstream(UpstreamId upstream, const std::string& address, bool takes_work) override {
        EXPECT_FALSE(gone) << "called after the pool was removed";
        trip.pass("Back::set_upstream");
        upstreams[upstream] = {address, takes_work};
    }
    void remove_upstream(UpstreamId upstream) override {
        EXPECT_FALSE(gone) << "called after the pool was removed";
        trip.pass("Back::remove_upstream");
        upstreams.erase(upstream);
        removed.push_back(upstream);
    }
    void send(Attempt attempt) override {
        EXPECT_FALSE(gone) << "called after the pool was removed";
        trip.pass("Back::send");
        sent.push_back(attempt);
        out.insert(attempt.key);
        if (when_sent) when_sent(sent.back().key);
    }
    void cancel(AttemptKey key) override {
        EXPECT_FALSE(gone) << "called after the pool was removed";
        trip.pass("Back::cancel");
        cancelled.push_back(key);
        if (when_cancelled) return when_cancelled(key);
        if (ends_at_once) end(key, Outcome::cancelled);
    }
    void expire(AttemptKey key) override {
        EXPECT_FALSE(gone) << "called after the pool was removed";
        trip.pass("Back::expire");
        expired.push_back(key);
        if (when_expired) return when_expired(key);
        if (ends_at_once) end(key, sending.contains(key) ? Outcome::timeout : Outcome::inconclusive);
    }
    void close_idle(UpstreamId upstream) override {
        EXPECT_FALSE(gone) << "called after the pool was removed";
        trip.pass("Back::close_idle");
        closed.push_back(upstream);
    }

    // The steps of an attempt.
    void begin(AttemptKey key) {
        sending.insert(key);
        core->on_attempt_sending(key);
    }
    void start(AttemptKey key) { core->on_attempt_started(key, ms(5), std::make_unique<Ticket>(key.call)); }
    void end(AttemptKey key, Outcome outcome, bool own_fault = false) {
        if (out.erase(key) == 0) return;
        AttemptResult result;
        result.key = key;
        result.outcome = outcome;
        result.local_failure = own_fault;
        result.fully_sent = whole.contains(key);
        result.latency = ms(5);
        result.report = {0.0F};
        if (outcome == Outcome::ok) result.answer = std::make_unique<Ticket>(key.call);
        core->on_attempt_end(std::move(result));
    }
    // Sends the request completely, then ends the attempt.
    void answer(AttemptKey key, Outcome outcome = Outcome::ok) {
        begin(key);
        whole.insert(key);
        end(key, outcome);
    }

    Trip& trip;
    Core* core = nullptr;
    bool gone = false;
    bool ends_at_once = true;
    std::map<UpstreamId, std::pair<std::string, bool>> upstreams;
    std::vector<Attempt> sent;
    std::set<AttemptKey> out, sending, whole;
    std::vector<AttemptKey> cancelled, expired;
    std::vector<UpstreamId> removed, closed;
    std::function<void(AttemptKey)> when_sent, when_cancelled, when_expired;
};

struct FakeSource final : Source {
    explicit FakeSource(Trip& trip_wire) : trip(trip_wire) {}
    void watch() override {
        trip.pass("Source::watch");
        if (when_asked) when_asked();
    }
    void unwatch() override { trip.pass("Source::unwatch"); }
    void fetch() override {
        trip.pass("Source::fetch");
        if (when_asked) when_asked();
    }
    void deliver_pending() override {
        trip.pass("Source::catch_up");
        if (const auto call = std::exchange(when_caught_up, {})) call();
    }
    Trip& trip;
    std::function<void()> when_asked, when_caught_up;
};

// Returns a name such as "a7", composed in a way for which g++ 12 issues no warning.
inline std::string name_of(const char* letter, std::uint64_t number) {
    std::string name(letter);
    name += std::to_string(number);
    return name;
}

inline Member member(UpstreamId id, std::string address, UpstreamState state = UpstreamState::ready,
                     Time started_at = Time{}) {
    Member result;
    result.entry.id = id;
    result.entry.state = state;
    result.entry.started_at = started_at;
    result.address = std::move(address);
    return result;
}

// A core with its fakes.
struct Stage {
    explicit Stage(Options options = {}) : core(std::make_unique<Core>(clock, alarm, log, options)) {}
    virtual ~Stage() = default;

    std::unique_ptr<FakeBack> make_back() {
        auto back = std::make_unique<FakeBack>(trip);
        back->core = core.get();
        return back;
    }
    PoolId add(FakeBack& back, Settings settings = plain_settings(), Source* source = nullptr,
               std::string name = "pool", std::uint64_t seed = 1) {
        return core->add_pool({std::move(name), std::move(settings), seed}, back, source);
    }
    void list(PoolId pool, ListKind kind, std::vector<Member> members) {
        MemberList member_list;
        member_list.kind = kind;
        member_list.version = ++version;
        member_list.members = std::move(members);
        core->on_list(pool, std::move(member_list));
    }
    // Lists the upstreams 1..count at the addresses "a1".."aN".
    void fleet(PoolId pool, int count) {
        std::vector<Member> members;
        for (int i = 1; i <= count; ++i) {
            members.push_back(
                member(static_cast<UpstreamId>(i), name_of("a", static_cast<std::uint64_t>(i))));
        }
        list(pool, ListKind::full, std::move(members));
    }
    Call call(PoolId pool, int class_index, Micros budget = ms(1000)) const {
        Call result;
        result.pool = pool;
        result.class_index = class_index;
        result.budget = budget;
        result.network_allowance = std::min<Micros>(ms(20), budget / 4);
        return result;
    }
    AcceptResult take(Call new_call, std::uint64_t token) {
        new_call.payload = std::make_shared<Ticket>(token);
        last_id = 0;
        return core->accept_call(std::move(new_call), front, token, &last_id);
    }
    AcceptResult take(PoolId pool, int class_index, std::uint64_t token) {
        return take(call(pool, class_index), token);
    }

    // Advances the clock to `until`, and serves the alarm at the times for which it is set.
    void run(Time until) {
        while (alarm.due && *alarm.due <= until) {
            clock.at = std::max(clock.at, *alarm.due);
            alarm.due.reset();
            core->on_alarm();
        }
        clock.at = until;
    }
    void pass(Micros span) { run(clock.at + span); }
    // Simulates an event loop that stalls for the given time and then serves what is due.
    void stall(Micros span) {
        clock.at += span;
        if (alarm.due && *alarm.due <= clock.at) {
            alarm.due.reset();
            core->on_alarm();
        }
        run(clock.at);
    }

    Trip trip;
    FakeClock clock;
    FakeAlarm alarm{trip};
    FakeLog log{trip};
    FakeFront front{trip, clock};
    std::unique_ptr<Core> core;
    std::uint64_t version = 0;
    CallId last_id = 0;
};

}  // namespace flaxdoor::core::test
