// Hard cases of the core: nested and crossing events, pools that are removed, stalls, and limits.
#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <functional>

#include "fakes.h"

namespace flaxdoor::core::test {
namespace {

using namespace flaxdoor::test;  // the classes of plain_settings, by name
constexpr int streaming = keyed_cell + 1;

// Settings with the classes of plain_settings and a streaming one, in which hedged attempts are possible and
// answers carry load reports.
Settings settings() {
    Settings result = plain_settings();
    ClassSettings streaming_class = result.classes[safe];
    streaming_class.name = "streaming";
    streaming_class.streams = true;
    result.classes.push_back(streaming_class);
    result.report_fields = {ReportField::in_flight};
    result.reports = ReportSource::answers;
    return result;
}

// One pool of four upstreams, "a1" to "a4". At its end no call may be open, unless may_leave_open_calls is
// set, and no state may be left after the pool was removed.
struct HardCase : testing::Test, Stage {
    explicit HardCase(Options options = {}) : Stage(options) {
        back = make_back();
        pool = add(*back, settings());
        fleet(pool, 4);
    }
    void TearDown() override {
        if (!may_leave_open_calls) {
            EXPECT_EQ(core->figures().open, 0u);
        }
        core->remove_pool(pool);
        back->gone = true;
        const Stats figures = core->figures();
        EXPECT_EQ(figures.open, 0u);
        EXPECT_EQ(figures.pools, 0u);
        EXPECT_EQ(figures.timers, 0u);
        EXPECT_EQ(figures.accepted, figures.served + figures.refused + figures.failed + figures.abandoned);
    }

    // Another pool, which is removed first.
    struct OtherPool {
        explicit OtherPool(HardCase& owner, Settings pool_settings = settings(), Source* source = nullptr)
            : test(owner), back(test.make_back()), id(test.add(*back, std::move(pool_settings), source)) {}
        ~OtherPool() { remove(); }
        void remove() {
            test.core->remove_pool(id);
            back->gone = true;
        }
        AttemptKey last_sent() const { return back->sent.back().key; }

        HardCase& test;
        std::unique_ptr<FakeBack> back;
        PoolId id;
    };
    // Removes the pool and adds it again. Returns the old connection pool, whose attempts may still end.
    std::unique_ptr<FakeBack> replace_pool(Settings pool_settings = settings()) {
        core->remove_pool(pool);
        back->gone = true;
        auto old = std::exchange(back, make_back());
        pool = add(*back, std::move(pool_settings));
        return old;
    }

    AttemptKey last_sent() const { return back->sent.back().key; }
    // Makes a call and expects that one attempt is sent.
    AttemptKey send_one(int class_index, std::uint64_t token) {
        const std::size_t before = back->sent.size();
        EXPECT_EQ(take(pool, class_index, token), AcceptResult::accepted);
        EXPECT_EQ(back->sent.size(), before + 1);
        return last_sent();
    }
    AttemptKey begin_one(int class_index, std::uint64_t token) {
        const auto key = send_one(class_index, token);
        back->begin(key);
        return key;
    }
    // Makes a call, sends its first byte, and begins its answer.
    AttemptKey start_one(int class_index, std::uint64_t token) {
        const auto key = begin_one(class_index, token);
        back->start(key);
        return key;
    }
    AcceptResult take_with_id(int class_index, std::string call_id, std::uint64_t token) {
        Call new_call = call(pool, class_index);
        new_call.call_id = std::move(call_id);
        return take(new_call, token);
    }
    void serve(std::uint64_t first, int count) {
        for (int i = 0; i < count; ++i) {
            const auto key = send_one(safe, first + static_cast<std::uint64_t>(i));
            pass(ms(5));
            back->answer(key);
        }
    }
    // Makes a safe call with a hedged attempt, which the policy sends when the first attempt is late.
    std::pair<AttemptKey, AttemptKey> send_with_hedge(std::uint64_t token) {
        serve(1000, 40);
        const auto first = begin_one(safe, token);
        for (std::uint64_t other = 2000; other < 2100 && back->out.size() < 2; ++other) {
            pass(ms(2));
            if (back->out.size() > 1) break;
            back->answer(send_one(safe, other));  // so that the policy gets answers of other upstreams
        }
        EXPECT_EQ(back->out.size(), 2u);
        EXPECT_EQ(back->out.rbegin()->call, first.call);
        return {first, *back->out.rbegin()};
    }
    // Answers call 1, and calls the function from within its final answer.
    void answer_with(AttemptKey key, const std::function<void()>& function) {
        front.when_final = [&](std::uint64_t token) {
            if (token == 1) function();
        };
        back->answer(key);
        front.when_final = nullptr;
    }
    void expect_verdict(std::uint64_t token, Verdict verdict) {
        EXPECT_EQ(front.finals(token), 1u) << "call " << token;
        EXPECT_EQ(front.of(token)->answer.verdict, verdict) << "call " << token;
    }
    void expect_final(std::uint64_t token, Verdict verdict, Cause cause) {
        expect_verdict(token, verdict);
        EXPECT_STREQ(text_of(front.of(token)->answer.cause), text_of(cause)) << "call " << token;
    }
    void expect_served(std::uint64_t token) { expect_final(token, Verdict::served, Cause::none); }

    std::unique_ptr<FakeBack> back;
    PoolId pool = 0;
    bool may_leave_open_calls = false;
};

// ------------------------------------------------------------------------------------ nested events

TEST_F(HardCase, AnAttemptMayEndWithAnyOutcomeWithinSend) {
    std::uint64_t token = 0;
    for (const Outcome outcome : {Outcome::ok, Outcome::error, Outcome::full, Outcome::timeout,
                                  Outcome::connect_failed, Outcome::reset, Outcome::inconclusive}) {
        for (int class_index = 0; class_index <= streaming; ++class_index) {
            const std::size_t before = back->sent.size();
            back->when_sent = [&](AttemptKey key) { back->answer(key, outcome); };
            ASSERT_EQ(take(pool, class_index, ++token), AcceptResult::accepted);
            ASSERT_GT(back->sent.size(), before);
            pass(ms(1500));
            ASSERT_EQ(front.finals(token), 1u);
            const Verdict verdict = front.of(token)->answer.verdict;
            EXPECT_EQ(verdict == Verdict::served, outcome == Outcome::ok);
            if (class_index == unsafe && outcome == Outcome::reset) {
                EXPECT_EQ(verdict, Verdict::failed);
            }
            if (outcome != Outcome::ok) pass(seconds(30));  // ejected upstreams are probed again
            if (outcome != Outcome::ok) {
                back->when_sent = [&](AttemptKey key) { back->answer(key); };
                for (int i = 0; i < 20; ++i) (void)take(pool, safe, ++token);
                pass(ms(1500));
            }
        }
    }
    EXPECT_EQ(core->figures().faults, 0u);
}

TEST_F(HardCase, TheFirstAnswerIsUsedAndTheOtherAttemptIsCancelled) {
    const auto [first, second] = send_with_hedge(1);
    back->begin(second);
    back->whole.insert(second);
    back->when_cancelled = [&, first = first](AttemptKey key) {
        EXPECT_EQ(key, first);
        back->end(key, Outcome::ok);  // its answer had arrived as well
    };
    back->answer(second);
    expect_served(1);
    EXPECT_EQ(back->cancelled.size(), 1u);
}

TEST_F(HardCase, AListReceivedWithinAnAnswerIsQueued) {
    const auto first = send_one(safe, 1);
    const auto second = send_one(unsafe, 2);
    answer_with(first, [&] {
        list(pool, ListKind::full, {});
        EXPECT_EQ(back->upstreams.size(), 4u) << "handled within another event";
    });
    EXPECT_TRUE(back->upstreams.empty());
    back->answer(second);
    expect_served(2);
}

TEST_F(HardCase, APoolRemovedWithinAnAnswerIsRemovedWhenTheCoreReturns) {
    const auto first = send_one(safe, 1);
    begin_one(unsafe, 2);
    send_one(unsafe, 3);
    answer_with(first, [&] {
        core->remove_pool(pool);
        EXPECT_EQ(core->settings(pool), nullptr);
        EXPECT_EQ(take(pool, safe, 4), AcceptResult::no_pool);
        list(pool, ListKind::full, {});
    });
    expect_served(1);
    expect_final(2, Verdict::failed, Cause::pool_removed);
    EXPECT_TRUE(front.of(2)->answer.may_have_run);
    expect_final(3, Verdict::refused, Cause::pool_removed);
    EXPECT_EQ(back->cancelled.size(), 2u);
    EXPECT_TRUE(back->out.empty());
    EXPECT_EQ(front.finals(4), 0u);
}

TEST_F(HardCase, ACallAcceptedAndItsPoolRemovedWithinOnePortIsRefused) {
    answer_with(send_one(safe, 1), [&] {
        EXPECT_EQ(take(pool, unsafe, 2), AcceptResult::accepted);
        core->remove_pool(pool);
    });
    expect_final(2, Verdict::refused, Cause::pool_removed);
    EXPECT_EQ(back->sent.size(), 1u);
}

TEST_F(HardCase, ACallAbandonedBeforeItWasSentIsNeverSent) {
    answer_with(send_one(safe, 1), [&] {
        EXPECT_EQ(take(pool, safe, 2), AcceptResult::accepted);
        EXPECT_FALSE(core->abandon_call(last_id));
        EXPECT_FALSE(core->abandon_call(last_id)) << "twice";
    });
    EXPECT_EQ(back->sent.size(), 1u);
    EXPECT_EQ(front.finals(2), 0u);
    EXPECT_EQ(core->figures().abandoned, 1u);
}

// Makes each call from within the final answer, or the refusal, of the one before, and measures the stack.
struct Nested : HardCase, testing::WithParamInterface<bool> {};

TEST_P(Nested, TheStackDoesNotGrowWithTenThousandCalls) {
    constexpr std::uint64_t call_count = 10000;
    const bool served = GetParam();
    std::uintptr_t low = UINTPTR_MAX, high = 0;
    const auto next = [&](std::uint64_t token) {
        Call new_call = call(pool, safe);
        if (!served) new_call.received = clock.at - ms(2000);  // its deadline has passed
        ASSERT_EQ(take(new_call, token), AcceptResult::accepted);
    };
    back->when_sent = [&](AttemptKey key) { back->answer(key); };
    front.when_final = [&](std::uint64_t token) {
        const auto frame = reinterpret_cast<std::uintptr_t>(__builtin_frame_address(0));
        low = std::min(low, frame);
        high = std::max(high, frame);
        if (token < call_count) next(token + 1);
    };
    next(1);
    EXPECT_EQ(served ? core->figures().served : core->figures().refused, call_count);
    EXPECT_LT(high - low, 16384u);
}

INSTANTIATE_TEST_SUITE_P(HardCase, Nested, testing::Bool(),
                         [](const auto& info) { return info.param ? "WithinAnAnswer" : "WithinARefusal"; });

// The client may leave, or the time may pass, while an action of the policy waits in the queue.
TEST_F(HardCase, AQueuedAttemptIsNotSentAfterItsCallOrItsTimeHasEnded) {
    for (const bool abandons : {true, false}) {
        back->when_sent = [&](AttemptKey key) { back->end(key, Outcome::connect_failed); };
        std::size_t sent = 0;
        CallId closed_call = 0;
        log.on_line = [&] {  // the line about an ejected upstream, which is queued before the next attempt
            if (closed_call != 0) return;
            sent = back->sent.size();
            closed_call = last_sent().call;
            if (abandons) {
                EXPECT_FALSE(core->abandon_call(closed_call));
            } else {
                clock.at += seconds(2);
            }
        };
        for (std::uint64_t token = abandons ? 1 : 1000; closed_call == 0; ++token) {
            ASSERT_EQ(take(pool, safe, token), AcceptResult::accepted);
            if (closed_call == 0) pass(ms(20));
        }
        pass(seconds(2));
        for (std::size_t i = sent; i < back->sent.size(); ++i) EXPECT_NE(back->sent[i].key.call, closed_call);
        log.on_line = nullptr;
        pass(seconds(30));
        back->when_sent = [&](AttemptKey key) { back->answer(key); };
        for (std::uint64_t token = 5000; token < 5020; ++token) (void)take(pool, safe, token);
        pass(seconds(30));
    }
    EXPECT_EQ(core->figures().faults, 0u);
}

// The pool may be removed while an action of the policy waits in the queue.
TEST_F(HardCase, AQueuedAttemptIsNotSentAfterItsPoolWasRemoved) {
    back->when_sent = [&](AttemptKey key) { back->end(key, Outcome::connect_failed); };
    std::size_t sent = 0;
    log.on_line = [&] {
        sent = back->sent.size();
        core->remove_pool(pool);
    };
    for (std::uint64_t token = 1; take(pool, safe, token) == AcceptResult::accepted; ++token) pass(ms(20));
    EXPECT_GT(sent, 0u);
    EXPECT_EQ(back->sent.size(), sent);
}

// The log lines of the policy are written in order with its actions, when the policy is not on the stack.
TEST_F(HardCase, LogLinesOfThePolicyAreQueuedInOrderWithItsActions) {
    Settings changed = settings();
    changed.drain_close = ms(50);
    const OtherPool closing(*this, changed);
    list(closing.id, ListKind::full, {member(1, "b1")});
    for (std::uint64_t token : {1, 2}) ASSERT_EQ(take(closing.id, safe, token), AcceptResult::accepted);
    ASSERT_EQ(closing.back->sent.size(), 2u);
    list(closing.id, ListKind::full, {member(1, "b1", UpstreamState::draining)});
    std::size_t before = 0;
    log.on_line = [&] { EXPECT_GT(closing.back->closed.size(), before) << "the action was queued first"; };
    for (const auto& sent : std::vector<Attempt>(closing.back->sent)) {
        before = closing.back->closed.size();
        closing.back->end(sent.key, Outcome::connect_failed);
    }
    EXPECT_EQ(log.lines.size(), 1u);
    log.on_line = nullptr;
}

// The log calls the core while it writes a line about an ejected upstream. The policy must not be re-entered.
TEST_F(HardCase, TheLogMayCallTheCore) {
    int lines = 0;
    log.on_line = [&] {
        ++lines;
        Settings changed = settings();
        changed.max_attempts = 2;
        core->change_pool(pool, changed);
        (void)take(pool, safe, 900 + static_cast<std::uint64_t>(lines));
        list(pool, ListKind::full, {});
        fleet(pool, 4);
    };
    back->when_sent = [&](AttemptKey key) { back->end(key, Outcome::connect_failed); };
    for (std::uint64_t token = 1; token <= 20; ++token) {
        (void)take(pool, safe, token);
        pass(ms(200));
    }
    EXPECT_GT(lines, 0);
    log.on_line = nullptr;
    pass(ms(2000));
    EXPECT_EQ(core->figures().faults, 0u);
}

// ------------------------------------------------------------------------------------- removed pools

struct Removal : HardCase, testing::WithParamInterface<bool> {};

// A pool is removed with calls in every state and of every effect. Its connection pool may end cancelled
// attempts at once or never: the core does not wait for it.
TEST_P(Removal, AnswersAllCallsOfThePool) {
    enum State { connecting, sending, started, rejected };
    struct ExpectedEnd {
        int class_index;
        State state;
        Verdict verdict;
        bool may_have_run;
    };
    constexpr std::array expected{
        ExpectedEnd{unsafe, connecting, Verdict::refused, false},
        ExpectedEnd{unsafe, sending, Verdict::failed, true},
        ExpectedEnd{safe, sending, Verdict::refused, true},
        ExpectedEnd{keyed_all, sending, Verdict::refused, true},
        ExpectedEnd{keyed_zone, sending, Verdict::failed, true},
        ExpectedEnd{streaming, started, Verdict::failed, true},
        ExpectedEnd{unsafe, rejected, Verdict::refused, false}};  // and waits for its back-off
    back->ends_at_once = GetParam();
    OtherPool other(*this);
    fleet(other.id, 4);
    const OtherPool empty(*this);
    for (std::size_t i = 0; i < expected.size(); ++i) {
        if (expected[i].state == rejected) {
            back->when_sent = [&](AttemptKey key) { back->answer(key, Outcome::full); };
        }
        ASSERT_EQ(take(pool, expected[i].class_index, i + 1), AcceptResult::accepted);
        if (expected[i].state == sending || expected[i].state == started) back->begin(last_sent());
        if (expected[i].state == started) back->start(last_sent());
        ASSERT_EQ(front.finals(i + 1), 0u);
    }
    back->when_sent = nullptr;
    ASSERT_EQ(take(other.id, unsafe, 8), AcceptResult::accepted);

    core->remove_pool(pool);
    back->gone = true;
    for (std::size_t i = 0; i < expected.size(); ++i) {
        expect_final(i + 1, expected[i].verdict, Cause::pool_removed);
        EXPECT_EQ(front.of(i + 1)->answer.may_have_run, expected[i].may_have_run) << "call " << i + 1;
    }
    EXPECT_EQ(back->cancelled.size(), 6u);
    EXPECT_TRUE(back->upstreams.empty());
    EXPECT_EQ(core->figures().open, 1u);
    EXPECT_EQ(core->figures().pools, 2u);

    // Late ends of its attempts are ignored.
    for (const auto& late : std::set<AttemptKey>(back->out)) back->answer(late);
    pass(ms(100));
    EXPECT_EQ(front.finals(8), 0u);
    other.back->answer(other.last_sent());
    expect_served(8);
    EXPECT_EQ(core->figures().faults, 0u);
    other.remove();
    pass(seconds(60));
}

INSTANTIATE_TEST_SUITE_P(HardCase, Removal, testing::Bool(), [](const auto& info) {
    return info.param ? "ItsBackEndsAtOnce" : "ItsBackNeverEnds";
});

TEST_F(HardCase, APoolAddedAgainUnderItsNameIsANewPool) {
    back->ends_at_once = false;
    const auto old_key = send_one(safe, 1);
    const PoolId old_pool = pool;
    const auto old_back = replace_pool();
    EXPECT_NE(pool, old_pool);
    fleet(pool, 4);
    const auto key = send_one(safe, 2);
    EXPECT_NE(key.call, old_key.call);
    old_back->answer(old_key);
    core->on_list(old_pool, {});
    EXPECT_EQ(back->upstreams.size(), 4u);
    EXPECT_EQ(take(old_pool, safe, 3), AcceptResult::no_pool);
    EXPECT_EQ(front.finals(2), 0u);
    back->answer(key);
    expect_final(1, Verdict::refused, Cause::pool_removed);
    expect_served(2);
}

TEST_F(HardCase, APoolRemovedAndAddedAgainWithinOnePort) {
    const auto first = send_one(safe, 1);
    const auto old_back = std::exchange(back, make_back());
    front.when_final = [&](std::uint64_t token) {
        if (token != 1) return;
        core->remove_pool(pool);
        pool = add(*back, settings());
        fleet(pool, 4);
        EXPECT_EQ(take(pool, safe, 2), AcceptResult::accepted);
    };
    old_back->answer(first);
    old_back->gone = true;
    EXPECT_EQ(core->figures().pools, 1u);
    ASSERT_EQ(back->sent.size(), 1u);
    back->answer(last_sent());
    expect_served(2);
}

// An unsafe call of a removed pool may still be executing at its upstream: its id stays in use although no
// other state of the pool is left.
TEST_F(HardCase, CallIdsInDoubtOutliveTheirPool) {
    may_leave_open_calls = true;
    back->ends_at_once = false;
    ASSERT_EQ(take_with_id(unsafe, "once", 1), AcceptResult::accepted);
    back->begin(last_sent());
    ASSERT_EQ(take_with_id(unsafe, "never begun", 2), AcceptResult::accepted);
    const auto old_back = replace_pool();
    expect_final(1, Verdict::failed, Cause::pool_removed);
    fleet(pool, 4);
    EXPECT_EQ(take_with_id(unsafe, "never begun", 3), AcceptResult::accepted);
    EXPECT_EQ(take_with_id(unsafe, "once", 4), AcceptResult::name_in_use);
    pass(seconds(11));
    EXPECT_EQ(take_with_id(unsafe, "once", 5), AcceptResult::accepted);
}

TEST_F(HardCase, AddressStateOutlivesAPoolThatWasRemoved) {
    OtherPool other(*this);
    list(other.id, ListKind::full, {member(11, "a1"), member(12, "a2")});
    list(pool, ListKind::delta, {member(1, "a1", UpstreamState::draining)});
    EXPECT_FALSE(other.back->upstreams.at(11).second) << "a drain listed in one pool applies to all";
    EXPECT_TRUE(other.back->upstreams.at(12).second);
    core->remove_pool(pool);
    back->gone = true;
    EXPECT_FALSE(other.back->upstreams.at(11).second)
        << "removing the pool that listed the drain does not revoke it";
    for (std::uint64_t token = 1; token <= 20; ++token) {
        ASSERT_EQ(take(other.id, safe, token), AcceptResult::accepted);
        ASSERT_EQ(other.back->sent.back().upstream, 12u);
        other.back->answer(other.last_sent());
    }
    list(other.id, ListKind::delta, {member(21, "a1")});
    EXPECT_TRUE(other.back->upstreams.at(21).second) << "a new id is a new process";
    other.remove();
    EXPECT_EQ(core->figures().timers, 0u);
    // Token buckets are retained for one ramp_time.
    pass(seconds(30));
    back = make_back();
    pool = add(*back, settings());
    list(pool, ListKind::full, {});
    EXPECT_EQ(core->figures().addresses, 0u);
}

TEST_F(HardCase, ADrainListedInOnePoolStopsConnectingAttemptsOfAnother) {
    const OtherPool other(*this);
    list(other.id, ListKind::full, {member(11, "a1")});
    ASSERT_EQ(take(other.id, unsafe, 1), AcceptResult::accepted);
    list(pool, ListKind::full, {member(1, "a1", UpstreamState::draining)});
    ASSERT_FALSE(other.back->upstreams.at(11).second);
    other.back->end(other.last_sent(), Outcome::inconclusive);  // the connection was established too late
    pass(ms(1500));
    EXPECT_EQ(other.back->sent.size(), 1u);
    expect_verdict(1, Verdict::refused);
    EXPECT_FALSE(front.of(1)->answer.may_have_run);
    list(pool, ListKind::delta, {member(1, "a1")});
    EXPECT_TRUE(other.back->upstreams.at(11).second) << "revoked by the pool that listed the drain";
}

// ----------------------------------------------------------------------------------- retry windows

// The bytes of a retry are ready to be sent at a given time after those of the first attempt, which had a
// given outcome.
TEST_F(HardCase, ARetryIsSentWithinItsWindowOrNotAtAll) {
    struct Row {
        const char* description;
        int class_index;
        Outcome first;
        Micros after;
        Micros window;  // after a reload
        bool sent;
    };
    const Micros window = ms(400);
    std::uint64_t token = 0;
    for (const Row& row : std::vector<Row>{
             {"within", keyed_zone, Outcome::error, ms(350), window, true},
             {"one tick before the end", keyed_zone, Outcome::error, ms(399), window, false},
             {"over", keyed_all, Outcome::error, ms(450), window, false},
             {"over, and the first is in doubt", keyed_cell, Outcome::reset, ms(450), window, false},
             {"over, and the first was not executed", keyed_zone, Outcome::full, ms(450), window, true},
             {"over, and safe", safe, Outcome::error, ms(450), window, true},
             {"the shorter of two windows applies", keyed_zone, Outcome::error, ms(350), ms(300), false},
             {"the shorter window is the old one", keyed_zone, Outcome::error, ms(450), ms(900), false}}) {
        SCOPED_TRACE(row.description);
        const Time began_at = clock.at;
        back->answer(send_one(row.class_index, ++token), row.first);
        for (int i = 0; i < 300 && back->out.empty(); ++i) pass(ms(1));
        ASSERT_EQ(back->out.size(), 1u) << "a retry is connecting";
        const auto repeat = last_sent();
        Settings changed = settings();
        for (auto& class_settings : changed.classes) class_settings.window = row.window;
        core->change_pool(pool, changed);
        pass(began_at + row.after - clock.at);
        EXPECT_EQ(core->on_attempt_sending(repeat), row.sent);
        core->change_pool(pool, settings());
        while (!back->out.empty()) back->end(*back->out.begin(), Outcome::inconclusive);
        pass(ms(1500));
        EXPECT_EQ(front.finals(token), 1u);
    }
}

// ---------------------------------------------------------------------------------------------- lists

TEST_F(HardCase, AnUpstreamRemovedAndAddedInOneList) {
    const auto removed = [](const char* address) { return member(1, address, UpstreamState::gone); };
    const auto listed = [](const char* address) { return member(1, address); };
    struct Row {
        std::vector<Member> members;
        const char* address;  // null: the upstream was removed
    };
    list(pool, ListKind::full, {listed("a1")});
    std::uint64_t token = 0;
    for (const Row& row :
         std::vector<Row>{{{removed("a1"), listed("b1")}, "b1"},  // it moves, listed in either order
                          {{listed("c1"), removed("b1")}, "c1"},
                          {{removed("c1"), listed("c1")}, "c1"},        // at the same address the
                          {{listed("c1"), removed("c1")}, nullptr}}) {  // last entry counts
        list(pool, ListKind::delta, row.members);
        ASSERT_EQ(back->upstreams.contains(1), row.address != nullptr);
        if (row.address) {
            EXPECT_EQ(back->upstreams.at(1).first, row.address);
        }
        const std::size_t before = back->sent.size();
        EXPECT_EQ(take(pool, safe, ++token), AcceptResult::accepted);
        EXPECT_EQ(back->sent.size() > before, row.address != nullptr) << "the policy has the same state";
        if (row.address) back->answer(last_sent());
    }
    pass(ms(1500));
    EXPECT_LE(core->figures().addresses, 7u);
}

TEST_F(HardCase, ANewIdAtAnOldAddressIsANewProcess) {
    list(pool, ListKind::full, {member(1, "a1", UpstreamState::draining)});
    EXPECT_FALSE(back->upstreams.at(1).second);
    list(pool, ListKind::delta, {member(1, "", UpstreamState::gone), member(2, "a1")});
    EXPECT_FALSE(back->upstreams.contains(1));
    EXPECT_TRUE(back->upstreams.at(2).second);
    back->answer(send_one(safe, 1));
    EXPECT_EQ(back->sent.back().upstream, 2u);
}

TEST_F(HardCase, AnUpstreamThatMovesIsRemovedAndAddedAtItsBack) {
    list(pool, ListKind::full, {member(1, "a1")});
    back->removed.clear();
    list(pool, ListKind::delta, {member(1, "b1")});
    EXPECT_EQ(back->removed, std::vector<UpstreamId>{1}) << "no connection to its old address is kept";
    EXPECT_EQ(back->upstreams.at(1).first, "b1");
}

// A source may restart, and with it its version count: an older version is applied nevertheless.
TEST_F(HardCase, AListOfAnOlderVersionIsApplied) {
    version = 100;
    list(pool, ListKind::full, {member(1, "a1")});
    version = 3;
    list(pool, ListKind::full, {member(2, "a2")});
    EXPECT_EQ(back->upstreams.size(), 1u);
    back->answer(send_one(safe, 1));
    EXPECT_EQ(back->sent.back().upstream, 2u);
    list(pool, ListKind::failed, {});
    EXPECT_EQ(back->upstreams.size(), 1u) << "a failed source changes nothing";
    back->answer(send_one(safe, 2));
}

TEST_F(HardCase, ALargeListAndManyOpenCalls) {
    Settings changed = settings();
    changed.balancers = 20;
    const auto old = replace_pool(changed);
    fleet(pool, 5000);
    EXPECT_EQ(back->upstreams.size(), 5000u);
    for (std::uint64_t token = 1; token <= 10000; ++token) {
        ASSERT_EQ(take(pool, static_cast<int>(token % 5), token), AcceptResult::accepted);
    }
    EXPECT_GT(back->sent.size(), 100u);
    const auto half = back->sent.size() / 2;
    for (std::size_t i = 0; i < half; ++i) back->answer(back->sent[i].key);
    list(pool, ListKind::full, {member(1, "a1")});
    pass(ms(1001));
    for (std::uint64_t token = 1; token <= 10000; ++token) ASSERT_EQ(front.finals_incremental(token), 1);
    EXPECT_EQ(core->figures().watchdog_answers, 0u);
}

// ----------------------------------------------------- local resources, shutdown, stalls, deadlines

TEST_F(HardCase, LocalResourceExhaustionEjectsNoUpstream) {
    serve(1, 20);
    back->when_sent = [&](AttemptKey key) { back->end(key, Outcome::inconclusive, true); };
    for (std::uint64_t token = 100; token < 300; ++token) {
        ASSERT_EQ(take(pool, static_cast<int>(token % 5), token), AcceptResult::accepted);
        pass(ms(10));
    }
    pass(ms(1000));
    std::size_t local_failures = 0;
    for (std::uint64_t token = 100; token < 300; ++token) {
        ASSERT_EQ(front.finals(token), 1u);
        EXPECT_EQ(front.of(token)->answer.verdict, Verdict::refused) << "nothing was executed";
        local_failures += front.of(token)->answer.cause == Cause::local_resources;
    }
    EXPECT_GT(local_failures, 150u);
    EXPECT_TRUE(log.lines.empty()) << log.lines.front();
    back->when_sent = nullptr;
    serve(500, 50);  // each attempt is sent at once
}

TEST_F(HardCase, AClosedCoreAcceptsNoCallsAndAnswersOpenOnes) {
    const OtherPool empty(*this);
    const auto first = send_one(safe, 1);
    begin_one(unsafe, 2);
    ASSERT_EQ(take(empty.id, safe, 3), AcceptResult::accepted);
    core->close();
    EXPECT_EQ(take(pool, safe, 10), AcceptResult::shutting_down);
    EXPECT_EQ(take(77, safe, 11), AcceptResult::shutting_down);
    list(pool, ListKind::full, {member(1, "a1", UpstreamState::draining), member(9, "a9")});
    back->answer(first);
    for (int i = 0; i < 150; ++i) {
        pass(ms(10));
        EXPECT_EQ(take(pool, safe, 12), AcceptResult::shutting_down);
    }
    expect_served(1);
    expect_final(2, Verdict::failed, Cause::timed_out);
    expect_verdict(3, Verdict::refused);  // its pool has no ready upstream
    EXPECT_EQ(core->figures().open, 0u);
    EXPECT_EQ(front.finals(10) + front.finals(11) + front.finals(12), 0u);
}

struct Stall : HardCase, testing::WithParamInterface<int> {};

// After a stall all timers are due at once. The timers of the policy must be handled before the watchdog, in
// their order.
TEST_P(Stall, IsAnsweredByThePolicyNotByTheWatchdog) {
    const OtherPool empty_pool(*this);
    std::uint64_t token = 0;
    for (int class_index = 0; class_index <= streaming; ++class_index) {
        // The states: connecting, sending, rejected, and waiting for an upstream.
        for (int state = 0; state < 4; ++state) {
            ASSERT_EQ(take(call(state == 3 ? empty_pool.id : pool, class_index, ms(400)), ++token),
                      AcceptResult::accepted);
            if (state == 3 || back->sent.empty() || last_sent().call != last_id) continue;
            if (state == 1) back->begin(last_sent());
            if (state == 2) back->answer(last_sent(), Outcome::full);
        }
        pass(ms(1));
    }
    pass(ms(100));
    stall(ms(GetParam()));
    pass(ms(400));
    for (std::uint64_t each = 1; each <= token; ++each) {
        ASSERT_EQ(front.finals(each), 1u) << "call " << each;
        EXPECT_STRNE(text_of(front.of(each)->answer.cause), "overdue") << "call " << each;
    }
    EXPECT_EQ(core->figures().watchdog_answers, 0u);
    EXPECT_EQ(core->figures().faults, 0u);
}

INSTANTIATE_TEST_SUITE_P(HardCase, Stall,
                         testing::Values(10, 100, 250, 290, 300, 310, 400, 1000, 3000, 10000));

TEST_F(HardCase, TheWatchdogAnswersACallThatNothingElseAnswers) {
    back->ends_at_once = false;
    back->when_expired = [](AttemptKey) {};  // a connection pool that has lost the attempt
    const auto key = begin_one(unsafe, 1);
    const Time limit = clock.at + ms(1000);
    run(limit - Micros(1));
    expect_final(1, Verdict::failed, Cause::watchdog);
    EXPECT_LT(front.of(1)->at, limit);
    EXPECT_TRUE(front.of(1)->answer.may_have_run);
    EXPECT_EQ(core->figures().watchdog_answers, 1u);
    EXPECT_EQ(back->cancelled.size(), 1u);
    back->answer(key);
    EXPECT_EQ(front.finals(1), 1u);
}

TEST_F(HardCase, ACallWithoutABudgetEndsByTheDefaultTimeout) {
    Call new_call = call(pool, unsafe, Micros{0});
    const Time limit = clock.at + seconds(30);
    ASSERT_EQ(take(new_call, 1), AcceptResult::accepted);
    back->begin(last_sent());
    run(limit - ms(1));
    EXPECT_EQ(front.finals(1), 0u);
    run(limit + ms(1));
    expect_final(1, Verdict::failed, Cause::timed_out);
}

TEST_F(HardCase, ABudgetOfAnySizeIsAccepted) {
    std::uint64_t token = 0;
    for (const Micros budget : {Micros{1}, Micros{2}, Micros{3}, ms(1), Micros::max() / 4, Micros::max(),
                                Micros{-1}, Micros::min()}) {
        for (const Micros unseen : {Micros{0}, Micros{1}, ms(50), Micros::max(), Micros{-1}, Micros::min()}) {
            for (const Time received : {Time{}, Time{1}, clock.at, clock.at + ms(5), Time::max()}) {
                Call new_call = call(pool, safe);
                new_call.budget = budget;
                new_call.network_allowance = unseen;
                new_call.received = received;
                ASSERT_EQ(take(new_call, ++token), AcceptResult::accepted);
                if (last_sent().call == last_id) back->answer(last_sent());
            }
        }
    }
    pass(seconds(31));
    for (std::uint64_t each = 1; each <= token; ++each) EXPECT_EQ(front.finals(each), 1u);
}

TEST_F(HardCase, TimeBeforeTheCallWasAcceptedCounts) {
    Call new_call = call(pool, unsafe, ms(300));
    new_call.received = clock.at - ms(200);
    const Time limit = clock.at + ms(100);
    ASSERT_EQ(take(new_call, 1), AcceptResult::accepted);
    EXPECT_EQ(back->sent.back().expires, limit - new_call.network_allowance);
    back->begin(last_sent());
    run(limit);
    expect_final(1, Verdict::failed, Cause::timed_out);
    EXPECT_EQ(front.of(1)->at, limit - new_call.network_allowance);
}

// ------------------------------------------------------------------------------ call ids and limits

TEST_F(HardCase, TwoCallsWithOneIdAreNeverOpenAtOnce) {
    for (const int class_index : {safe, unsafe, keyed_all}) {
        ASSERT_EQ(take_with_id(class_index, "name", 1), AcceptResult::accepted);
        EXPECT_EQ(take_with_id(class_index, "name", 2), AcceptResult::name_in_use);
        back->answer(last_sent());
        ASSERT_EQ(take_with_id(class_index, "name", 3), AcceptResult::accepted)
            << "answered, and none of its attempts is active";
        back->answer(last_sent());
    }
}

TEST_F(HardCase, ACallIdStaysInUseWhileAnAttemptIsActive) {
    may_leave_open_calls = true;
    back->ends_at_once = false;
    ASSERT_EQ(take_with_id(safe, "name", 1), AcceptResult::accepted);
    EXPECT_FALSE(core->abandon_call(last_id));
    EXPECT_EQ(back->cancelled.size(), 1u);
    EXPECT_EQ(take_with_id(safe, "name", 2), AcceptResult::name_in_use);
    back->end(last_sent(), Outcome::cancelled);
    EXPECT_EQ(take_with_id(safe, "name", 3), AcceptResult::accepted);
}

TEST_F(HardCase, AnUnsafeCallInDoubtKeepsItsIdInUseForAWhile) {
    for (const Outcome outcome : {Outcome::reset, Outcome::timeout}) {
        const char* const name = text_of(outcome == Outcome::reset ? Cause::broken : Cause::timed_out);
        ASSERT_EQ(take_with_id(unsafe, name, 1), AcceptResult::accepted);
        back->answer(last_sent(), outcome);
        EXPECT_EQ(core->figures().open, 0u);
        EXPECT_EQ(take_with_id(unsafe, name, 2), AcceptResult::name_in_use);
        pass(seconds(10) - Micros(1));
        EXPECT_EQ(take_with_id(unsafe, name, 3), AcceptResult::name_in_use);
        pass(Micros(1));
        ASSERT_EQ(take_with_id(unsafe, name, 4), AcceptResult::accepted);
        back->answer(last_sent());
    }
    for (const int class_index : {safe, keyed_all, keyed_zone}) {  // these may be retried
        Call named = call(pool, class_index, ms(400));
        named.call_id = "harmless";
        ASSERT_EQ(take(named, 5), AcceptResult::accepted);
        back->answer(last_sent(), Outcome::reset);
        back->when_sent = [&](AttemptKey key) { back->answer(key, Outcome::reset); };
        pass(ms(400));
        back->when_sent = nullptr;
        EXPECT_EQ(take(named, 6), AcceptResult::accepted);
        core->abandon_call(last_id);
        pass(ms(100));
    }
}

TEST_F(HardCase, AnUnsafeCallCancelledAfterItWasFullySentKeepsItsIdInUse) {
    ASSERT_EQ(take_with_id(unsafe, "half", 1), AcceptResult::accepted);
    back->begin(last_sent());
    EXPECT_TRUE(core->abandon_call(last_id));
    EXPECT_EQ(take_with_id(unsafe, "half", 2), AcceptResult::accepted) << "its last byte was never sent";
    back->begin(last_sent());
    back->whole.insert(last_sent());
    EXPECT_TRUE(core->abandon_call(last_id));
    EXPECT_EQ(take_with_id(unsafe, "half", 3), AcceptResult::name_in_use);
}

struct Limits : HardCase {
    static Options options() {
        Options result;
        result.open_calls = 3;
        result.max_in_doubt = 2;
        return result;
    }
    Limits() : HardCase(options()) {}
};

TEST_F(Limits, TheOldestCallIdsInDoubtAreDropped) {
    may_leave_open_calls = true;
    for (const char* name : {"a", "b", "c"}) {
        ASSERT_EQ(take_with_id(unsafe, name, 1), AcceptResult::accepted);
        back->answer(last_sent(), Outcome::error);  // it has ended at its upstream
        ASSERT_EQ(take_with_id(unsafe, name, 1), AcceptResult::accepted);
        back->answer(last_sent(), Outcome::reset);
        EXPECT_LE(core->figures().in_doubt, 2u);
    }
    EXPECT_EQ(take_with_id(unsafe, "c", 2), AcceptResult::name_in_use);
    EXPECT_EQ(take_with_id(unsafe, "b", 2), AcceptResult::name_in_use);
    EXPECT_EQ(take_with_id(unsafe, "a", 2), AcceptResult::accepted);
}

TEST_F(Limits, NoMoreCallsAreOpenThanAllowed) {
    may_leave_open_calls = true;
    const auto first = send_one(safe, 1);
    send_one(safe, 2);
    const CallId second = last_id;
    send_one(unsafe, 3);
    EXPECT_EQ(take(pool, safe, 4), AcceptResult::too_many);
    EXPECT_EQ(front.finals(4), 0u);
    back->answer(first);
    EXPECT_EQ(take(pool, safe, 5), AcceptResult::accepted);
    EXPECT_EQ(take(pool, safe, 6), AcceptResult::too_many);
    core->abandon_call(second);
    EXPECT_EQ(take(pool, safe, 7), AcceptResult::accepted);
    Call invalid = call(pool, 99);
    EXPECT_EQ(take(invalid, 8), AcceptResult::bad_class);
    invalid.class_index = -1;
    EXPECT_EQ(take(invalid, 8), AcceptResult::bad_class);
    EXPECT_EQ(core->figures().accepted, 5u);
}

// ------------------------------------------------------------------------------------------ streaming

TEST_F(HardCase, AnAnswerThatHasBegunIsNotInterrupted) {
    const auto [first, second] = send_with_hedge(1);
    back->begin(second);
    back->start(second);
    EXPECT_EQ(front.started, std::vector<std::uint64_t>{1});
    EXPECT_EQ(back->cancelled, std::vector<AttemptKey>{first});
    EXPECT_EQ(front.finals(1), 0u);
    const std::size_t sent = back->sent.size();
    pass(seconds(20));  // far beyond the deadline
    EXPECT_EQ(front.finals(1), 0u);
    EXPECT_EQ(back->sent.size(), sent) << "nothing is sent elsewhere";
    EXPECT_TRUE(back->expired.empty() || back->expired.back() != second);
    back->end(second, Outcome::ok);
    expect_served(1);
}

TEST_F(HardCase, AnotherAttemptsAnswerIsIgnoredOnceOneHasBegun) {
    const auto [first, second] = send_with_hedge(1);
    back->begin(second);
    back->when_cancelled = [&](AttemptKey key) {
        back->answer(key, Outcome::ok);
    };  // its answer had just arrived
    back->start(second);
    EXPECT_EQ(front.finals(1), 0u);
    EXPECT_EQ(back->cancelled, std::vector<AttemptKey>{first});
    back->end(second, Outcome::reset);
    expect_final(1, Verdict::failed, Cause::answer_truncated);
}

TEST_F(HardCase, AnAnswerThatIsCutShortIsNotRetried) {
    const auto key = start_one(streaming, 1);
    back->start(key);  // a second start is ignored
    EXPECT_EQ(front.started.size(), 1u);
    back->end(key, Outcome::reset);
    expect_final(1, Verdict::failed, Cause::answer_truncated);
    EXPECT_TRUE(front.of(1)->answer.may_have_run);
    pass(ms(1500));
    EXPECT_EQ(back->sent.size(), 1u);
}

TEST_F(HardCase, AnAnswerThatHasBegunMayHaveATimeLimit) {
    Call new_call = call(pool, streaming);
    new_call.max_answer_duration = ms(3000);
    ASSERT_EQ(take(new_call, 1), AcceptResult::accepted);
    const auto key = last_sent();
    pass(ms(100));
    back->begin(key);
    back->start(key);
    pass(ms(2999));
    EXPECT_TRUE(back->expired.empty());
    EXPECT_EQ(front.finals(1), 0u);
    pass(ms(1));
    EXPECT_EQ(back->expired, std::vector<AttemptKey>{key});
    expect_final(1, Verdict::failed, Cause::answer_truncated);
}

// The limit under which a fleet's coordinator gives a permit to another balancer ended with the first byte of the
// answer, so that an attempt went on under a permit that was no longer its own.
TEST_F(HardCase, TheLimitOfAWholeAttemptHoldsAfterItsAnswerHasBegun) {
    for (const Micros answer : {Micros{}, ms(3000)}) {
        SCOPED_TRACE(answer.count());
        Call new_call = call(pool, streaming);
        new_call.whole_attempt_limit = ms(800);
        new_call.max_answer_duration = answer;
        const std::uint64_t token = answer > Micros{} ? 2 : 1;
        ASSERT_EQ(take(new_call, token), AcceptResult::accepted);
        const auto key = last_sent();
        pass(ms(100));
        back->begin(key);
        back->start(key);
        back->expired.clear();
        pass(ms(699));
        EXPECT_TRUE(back->expired.empty());
        pass(ms(1));
        EXPECT_EQ(back->expired, std::vector<AttemptKey>{key});
        expect_final(token, Verdict::failed, Cause::answer_truncated);
    }
}

TEST_F(HardCase, AnAnswerThatBeginsTooLateIsCancelled) {
    back->ends_at_once = false;
    const auto key = begin_one(streaming, 1);
    pass(ms(1001));
    EXPECT_EQ(front.finals(1), 1u);
    back->cancelled.clear();
    back->start(key);
    EXPECT_TRUE(front.started.empty());
    back->end(key, Outcome::ok);
    EXPECT_EQ(front.finals(1), 1u);
}

TEST_F(HardCase, AbandoningACallCancelsAnAnswerThatHasBegun) {
    const auto key = begin_one(streaming, 1);
    const CallId id = last_id;
    front.when_started = [&](std::uint64_t) { EXPECT_TRUE(core->abandon_call(id)); };
    back->start(key);
    EXPECT_EQ(back->cancelled, std::vector<AttemptKey>{key});
    EXPECT_EQ(front.finals(1), 0u);
}

TEST_F(HardCase, AnAnswerThatHasBegunIsNotAffectedByTimersOrLists) {
    const auto key = start_one(streaming, 1);
    list(pool, ListKind::full, {});
    pass(seconds(10));
    EXPECT_EQ(front.finals(1), 0u);
    back->end(key, Outcome::ok);
    expect_served(1);
}

// ------------------------------------------------------------------------------------- pinned calls

TEST_F(HardCase, APinnedCallIsServedByItsUpstreamOrRefused) {
    std::set<CallId> rejected;
    back->when_sent = [&](AttemptKey key) {
        const auto* ticket = dynamic_cast<const Ticket*>(back->sent.back().payload.get());
        EXPECT_EQ(back->sent.back().upstream, 1 + ticket->number % 4);
        const bool first = ticket->number % 8 == 5 && rejected.insert(key.call).second;
        back->answer(key, first ? Outcome::full : Outcome::ok);
    };
    for (std::uint64_t token = 1; token <= 40; ++token) {
        Call new_call = call(pool, static_cast<int>(token % 5));
        new_call.pinned = 1 + token % 4;
        ASSERT_EQ(take(new_call, token), AcceptResult::accepted);
        pass(ms(1000));
        expect_served(token);
    }
    EXPECT_EQ(rejected.size(), 5u);
    const std::size_t sent = back->sent.size();
    list(pool, ListKind::delta,
         {member(1, "a1", UpstreamState::draining), member(2, "a2", UpstreamState::gone)});
    std::uint64_t token = 100;
    for (const UpstreamId unavailable : {1, 2, 77}) {
        Call new_call = call(pool, safe);
        new_call.pinned = unavailable;
        ASSERT_EQ(take(new_call, ++token), AcceptResult::accepted);
        pass(ms(1000));
        expect_verdict(token, Verdict::refused);
    }
    EXPECT_EQ(back->sent.size(), sent);
}

// The drain notice of another pool applies to a pinned call as well.
TEST_F(HardCase, APinnedCallIsRefusedIfItsUpstreamDrainsInAnotherPool) {
    const OtherPool other(*this);
    list(other.id, ListKind::full, {member(11, "a1", UpstreamState::draining)});
    Call new_call = call(pool, unsafe);
    new_call.pinned = 1;
    ASSERT_EQ(take(new_call, 1), AcceptResult::accepted);
    pass(ms(1000));
    EXPECT_TRUE(back->sent.empty());
    expect_verdict(1, Verdict::refused);
}

// ---------------------------------------------------------------------- attempts of ended calls

// On a platform where the policy may not cancel, an attempt that is still connecting when its call ends must
// not execute: the client has been told that the call was not executed.
TEST_F(HardCase, AnAttemptThatHasNotBegunIsCancelledWhenItsCallEnds) {
    Settings changed = settings();
    changed.may_cancel = false;
    const OtherPool no_cancel(*this, changed);
    fleet(no_cancel.id, 4);
    ASSERT_EQ(take(no_cancel.id, unsafe, 1), AcceptResult::accepted);
    EXPECT_FALSE(core->abandon_call(last_id)) << "the call was not executed";
    EXPECT_EQ(no_cancel.back->cancelled, std::vector<AttemptKey>{no_cancel.last_sent()}) << "and will not be";
    EXPECT_EQ(core->figures().open, 0u);
    ASSERT_EQ(take(no_cancel.id, unsafe, 2), AcceptResult::accepted);
    no_cancel.back->begin(no_cancel.last_sent());
    EXPECT_TRUE(core->abandon_call(last_id));
    EXPECT_EQ(no_cancel.back->cancelled.size(), 1u)
        << "this attempt has begun, and the policy may not cancel it";
}

// ---------------------------------------------------------------------------------------- settings

TEST_F(HardCase, ContradictorySettingsChangeNothing) {
    Settings invalid = settings();
    invalid.max_attempts = 0;
    const auto other = make_back();
    EXPECT_THROW((void)add(*other, invalid), std::invalid_argument);
    EXPECT_EQ(core->figures().pools, 1u);
    const std::size_t timers = core->figures().timers;
    EXPECT_THROW((void)add(*other, invalid), std::invalid_argument);
    EXPECT_EQ(core->figures().timers, timers);
    back->answer(send_one(safe, 1));
}

TEST_F(HardCase, RemovingTheClassOfAQueuedCallRefusesTheCall) {
    answer_with(send_one(safe, 1), [&] {
        EXPECT_EQ(take(pool, streaming, 2), AcceptResult::accepted);
        Settings changed = settings();
        changed.classes.pop_back();
        core->change_pool(pool, changed);
    });
    expect_verdict(2, Verdict::refused);
    EXPECT_EQ(back->sent.size(), 1u);
}

// A call that waits in the queue follows its class by name, and takes the effect that the class has now.
TEST_F(HardCase, AQueuedCallFollowsItsClassByName) {
    answer_with(send_one(safe, 1), [&] {
        EXPECT_EQ(take_with_id(safe, "once", 2), AcceptResult::accepted);
        Settings changed = settings();
        changed.classes[safe].effect = Effect::unsafe;
        core->change_pool(pool, changed);
    });
    ASSERT_EQ(back->sent.size(), 2u);
    back->answer(last_sent(), Outcome::reset);
    const auto old = replace_pool();
    expect_verdict(2, Verdict::failed);  // it may have executed, and is unsafe now
    EXPECT_EQ(take_with_id(unsafe, "once", 3), AcceptResult::name_in_use);
}

// Lists that a source received while the process was stalled are applied before the work that waited in the
// meantime: a new call, and a call whose attempt ended.
TEST_F(HardCase, PendingListsAreAppliedBeforeAnythingIsSent) {
    for (const bool retry : {false, true}) {
        FakeSource source(trip);
        const OtherPool other(*this, settings(), &source);
        fleet(other.id, 3);
        other.back->ends_at_once = false;
        const std::uint64_t token = retry ? 11 : 12;
        if (retry) {
            EXPECT_EQ(take(other.id, unsafe, token), AcceptResult::accepted);
        }
        const std::size_t before = other.back->sent.size();
        source.when_caught_up = [&] {
            list(other.id, ListKind::delta,
                 {member(1, "a1", UpstreamState::draining), member(2, "a2", UpstreamState::draining),
                  member(3, "a3", UpstreamState::draining)});
        };
        clock.at += seconds(3);
        if (retry) {
            other.back->end(other.last_sent(), Outcome::connect_failed);
        } else {
            EXPECT_EQ(take(other.id, unsafe, token), AcceptResult::accepted);
        }
        EXPECT_EQ(other.back->sent.size(), before);
        EXPECT_FALSE(other.back->upstreams.at(1).second);
        pass(ms(1500));
        EXPECT_EQ(front.finals(token), 1u);
    }
}

TEST_F(HardCase, ALocalFailureIsNeverAnAnswer) {
    const auto key = send_one(unsafe, 1);
    back->end(key, Outcome::ok, true);  // contradictory: the attempt was not executed
    EXPECT_EQ(front.finals(1), 0u) << "it may still be sent to another upstream";
    pass(ms(1500));
    EXPECT_EQ(front.finals(1), 1u);
}

}  // namespace
}  // namespace flaxdoor::core::test
