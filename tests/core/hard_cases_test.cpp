// Events that cross each other, pools that come and go, stalls and limits, each as one small story.
#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <functional>

#include "fakes.h"

namespace flaxdoor::core::test {
namespace {

using namespace flaxdoor::test;  // the classes of plain_settings, by name
constexpr int streaming = keyed_cell + 1;

// The plain classes and one that streams, where copies may run at once and answers tell the load.
Settings settings() {
    Settings s = plain_settings();
    ClassSettings c = s.classes[safe];
    c.name = "streaming";
    c.streams = true;
    s.classes.push_back(c);
    s.report_fields = {ReportField::in_flight};
    s.reports = ReportSource::answers;
    return s;
}

// One pool of four upstreams, "a1" to "a4". At its end each call must be over, unless it says otherwise, and
// without pools nothing at all may be left.
struct HardCase : testing::Test, Stage {
    explicit HardCase(Options options = {}) : Stage(options) {
        back = make_back();
        pool = add(*back, settings());
        fleet(pool, 4);
    }
    void TearDown() override {
        if (!leaves_calls) {
            EXPECT_EQ(core->figures().open, 0u);
        }
        core->remove_pool(pool);
        back->gone = true;
        const Figures f = core->figures();
        EXPECT_EQ(f.open, 0u);
        EXPECT_EQ(f.pools, 0u);
        EXPECT_EQ(f.timers, 0u);
        EXPECT_EQ(f.taken, f.served + f.refused + f.failed + f.left);
    }

    // A pool beside it, which goes first.
    struct Other {
        explicit Other(HardCase& its_test, Settings its_settings = settings(), Source* source = nullptr)
            : test(its_test), back(test.make_back()), id(test.add(*back, std::move(its_settings), source)) {}
        ~Other() { remove(); }
        void remove() {
            test.core->remove_pool(id);
            back->gone = true;
        }
        AttemptKey last_sent() const { return back->sent.back().key; }

        HardCase& test;
        std::unique_ptr<FakeBack> back;
        PoolId id;
    };
    // The pool goes and is made again; what its old back has sent may still end.
    std::unique_ptr<FakeBack> make_again(Settings its_settings = settings()) {
        core->remove_pool(pool);
        back->gone = true;
        auto old = std::exchange(back, make_back());
        pool = add(*back, std::move(its_settings));
        return old;
    }

    AttemptKey last_sent() const { return back->sent.back().key; }
    // A call of which one attempt is out.
    AttemptKey one_out(int class_index, std::uint64_t token) {
        const std::size_t before = back->sent.size();
        EXPECT_EQ(take(pool, class_index, token), Taken::yes);
        EXPECT_EQ(back->sent.size(), before + 1);
        return last_sent();
    }
    AttemptKey one_begun(int class_index, std::uint64_t token) {
        const auto key = one_out(class_index, token);
        back->begin(key);
        return key;
    }
    // One whose answer has begun.
    AttemptKey one_started(int class_index, std::uint64_t token) {
        const auto key = one_begun(class_index, token);
        back->start(key);
        return key;
    }
    Taken take_named(int class_index, std::string name, std::uint64_t token) {
        Call c = call(pool, class_index);
        c.name = std::move(name);
        return take(c, token);
    }
    void serve(std::uint64_t first, int count) {
        for (int i = 0; i < count; ++i) {
            const auto key = one_out(safe, first + static_cast<std::uint64_t>(i));
            pass(ms(5));
            back->answer(key);
        }
    }
    // A safe call of which two copies are out: the second goes when the first is late.
    std::pair<AttemptKey, AttemptKey> two_out(std::uint64_t token) {
        serve(1000, 40);
        const auto first = one_begun(safe, token);
        for (std::uint64_t other = 2000; other < 2100 && back->out.size() < 2; ++other) {
            pass(ms(2));
            if (back->out.size() > 1) break;
            back->answer(one_out(safe, other));  // so that something is heard of the others
        }
        EXPECT_EQ(back->out.size(), 2u);
        EXPECT_EQ(back->out.rbegin()->call, first.call);
        return {first, *back->out.rbegin()};
    }
    // Answers call 1, and does this within.
    void answer_with(AttemptKey key, const std::function<void()>& act) {
        front.when_final = [&](std::uint64_t token) {
            if (token == 1) act();
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
    bool leaves_calls = false;
};

// ------------------------------------------------------------------------------ events within others

TEST_F(HardCase, AnAttemptMayEndWithinSendInAnyWay) {
    std::uint64_t token = 0;
    for (const Outcome outcome : {Outcome::ok, Outcome::error, Outcome::full, Outcome::timeout,
                                  Outcome::connect_failed, Outcome::reset, Outcome::moot}) {
        for (int c = 0; c <= streaming; ++c) {
            const std::size_t before = back->sent.size();
            back->when_sent = [&](AttemptKey key) { back->answer(key, outcome); };
            ASSERT_EQ(take(pool, c, ++token), Taken::yes);
            ASSERT_GT(back->sent.size(), before);
            pass(ms(1500));
            ASSERT_EQ(front.finals(token), 1u);
            const Verdict verdict = front.of(token)->answer.verdict;
            EXPECT_EQ(verdict == Verdict::served, outcome == Outcome::ok);
            if (c == unsafe && outcome == Outcome::reset) {
                EXPECT_EQ(verdict, Verdict::failed);
            }
            if (outcome != Outcome::ok) pass(seconds(30));  // whoever was put out is tried again
            if (outcome != Outcome::ok) {
                back->when_sent = [&](AttemptKey key) { back->answer(key); };
                for (int i = 0; i < 20; ++i) (void)take(pool, safe, ++token);
                pass(ms(1500));
            }
        }
    }
    EXPECT_EQ(core->figures().faults, 0u);
}

TEST_F(HardCase, TheFirstAnswerCountsAndTheOtherCopyIsCancelledWithinIt) {
    const auto [first, second] = two_out(1);
    back->begin(second);
    back->whole.insert(second);
    back->when_cancelled = [&, first = first](AttemptKey key) {
        EXPECT_EQ(key, first);
        back->end(key, Outcome::ok);  // it had just come as well
    };
    back->answer(second);
    expect_served(1);
    EXPECT_EQ(back->cancelled.size(), 1u);
}

TEST_F(HardCase, AListWithinAnAnswerWaitsItsTurn) {
    const auto a = one_out(safe, 1);
    const auto b = one_out(unsafe, 2);
    answer_with(a, [&] {
        list(pool, ListKind::full, {});
        EXPECT_EQ(back->upstreams.size(), 4u) << "handled within another event";
    });
    EXPECT_TRUE(back->upstreams.empty());
    back->answer(b);
    expect_served(2);
}

TEST_F(HardCase, APoolRemovedWithinAnAnswerIsGoneWhenTheCoreReturns) {
    const auto a = one_out(safe, 1);
    one_begun(unsafe, 2);
    one_out(unsafe, 3);
    answer_with(a, [&] {
        core->remove_pool(pool);
        EXPECT_EQ(core->settings(pool), nullptr);
        EXPECT_EQ(take(pool, safe, 4), Taken::no_pool);
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

TEST_F(HardCase, ACallTakenAndItsPoolRemovedWithinOnePortIsRefused) {
    answer_with(one_out(safe, 1), [&] {
        EXPECT_EQ(take(pool, unsafe, 2), Taken::yes);
        core->remove_pool(pool);
    });
    expect_final(2, Verdict::refused, Cause::pool_removed);
    EXPECT_EQ(back->sent.size(), 1u);
}

TEST_F(HardCase, ACallLeftBeforeItWasSentIsNeverSent) {
    answer_with(one_out(safe, 1), [&] {
        EXPECT_EQ(take(pool, safe, 2), Taken::yes);
        EXPECT_FALSE(core->leave(last_id));
        EXPECT_FALSE(core->leave(last_id)) << "twice";
    });
    EXPECT_EQ(back->sent.size(), 1u);
    EXPECT_EQ(front.finals(2), 0u);
    EXPECT_EQ(core->figures().left, 1u);
}

// Calls that are each taken within the last one's answer, or its refusal: how much stack they take.
struct Nested : HardCase, testing::WithParamInterface<bool> {};

TEST_P(Nested, TenThousandCallsNeedNoStack) {
    constexpr std::uint64_t most = 10000;
    const bool served = GetParam();
    std::uintptr_t low = UINTPTR_MAX, high = 0;
    const auto next = [&](std::uint64_t token) {
        Call c = call(pool, safe);
        if (!served) c.received = clock.at - ms(2000);  // too late already
        ASSERT_EQ(take(c, token), Taken::yes);
    };
    back->when_sent = [&](AttemptKey key) { back->answer(key); };
    front.when_final = [&](std::uint64_t token) {
        const auto here = reinterpret_cast<std::uintptr_t>(__builtin_frame_address(0));
        low = std::min(low, here);
        high = std::max(high, here);
        if (token < most) next(token + 1);
    };
    next(1);
    EXPECT_EQ(served ? core->figures().served : core->figures().refused, most);
    EXPECT_LT(high - low, 16384u);
}

INSTANTIATE_TEST_SUITE_P(HardCase, Nested, testing::Bool(),
                         [](const auto& info) { return info.param ? "WithinAnAnswer" : "WithinARefusal"; });

// Between what the module asks for and its turn, the client may go or the time may pass.
TEST_F(HardCase, WhatWasAskedForIsNotSentOnceItsCallIsOverOrItsTimeUp) {
    for (const bool leaves : {true, false}) {
        back->when_sent = [&](AttemptKey key) { back->end(key, Outcome::connect_failed); };
        std::size_t sent = 0;
        CallId over = 0;
        log.on_line = [&] {  // "upstream put out": in the queue before the next attempt
            if (over != 0) return;
            sent = back->sent.size();
            over = last_sent().call;
            if (leaves) {
                EXPECT_FALSE(core->leave(over));
            } else {
                clock.at += seconds(2);
            }
        };
        for (std::uint64_t token = leaves ? 1 : 1000; over == 0; ++token) {
            ASSERT_EQ(take(pool, safe, token), Taken::yes);
            if (over == 0) pass(ms(20));
        }
        pass(seconds(2));
        for (std::size_t i = sent; i < back->sent.size(); ++i) EXPECT_NE(back->sent[i].key.call, over);
        log.on_line = nullptr;
        pass(seconds(30));
        back->when_sent = [&](AttemptKey key) { back->answer(key); };
        for (std::uint64_t token = 5000; token < 5020; ++token) (void)take(pool, safe, token);
        pass(seconds(30));
    }
    EXPECT_EQ(core->figures().faults, 0u);
}

// The same when the pool goes between the two.
TEST_F(HardCase, WhatWasAskedForIsNotSentOnceItsPoolIsToGo) {
    back->when_sent = [&](AttemptKey key) { back->end(key, Outcome::connect_failed); };
    std::size_t sent = 0;
    log.on_line = [&] {
        sent = back->sent.size();
        core->remove_pool(pool);
    };
    for (std::uint64_t token = 1; take(pool, safe, token) == Taken::yes; ++token) pass(ms(20));
    EXPECT_GT(sent, 0u);
    EXPECT_EQ(back->sent.size(), sent);
}

// What the module logs comes in the order of what it asks for, when the module is no longer on the stack.
TEST_F(HardCase, TheLogWaitsItsTurnLikeAllThatTheModuleAsksFor) {
    Settings s = settings();
    s.drain_close = ms(50);
    const Other closing(*this, s);
    list(closing.id, ListKind::full, {member(1, "b1")});
    for (std::uint64_t token : {1, 2}) ASSERT_EQ(take(closing.id, safe, token), Taken::yes);
    ASSERT_EQ(closing.back->sent.size(), 2u);
    list(closing.id, ListKind::full, {member(1, "b1", UpstreamState::draining)});
    std::size_t before = 0;
    log.on_line = [&] { EXPECT_GT(closing.back->closed.size(), before) << "it was asked for first"; };
    for (const auto& sent : std::vector<Attempt>(closing.back->sent)) {
        before = closing.back->closed.size();
        closing.back->end(sent.key, Outcome::connect_failed);
    }
    EXPECT_EQ(log.lines.size(), 1u);
    log.on_line = nullptr;
}

// A log that acts within the module's own note of an upstream put out: the module must not be entered again.
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

// -------------------------------------------------------------------------------------- pools that go

struct Removal : HardCase, testing::WithParamInterface<bool> {};

// Calls in every state, of every effect, when their pool goes. Its back may end what is cancelled at once, or
// never: the core waits for nothing.
TEST_P(Removal, AnswersAllThatThePoolHolds) {
    enum State { connecting, sending, started, turned_away };
    struct Held {
        int class_index;
        State state;
        Verdict verdict;
        bool may_have_run;
    };
    constexpr std::array held{
        Held{unsafe, connecting, Verdict::refused, false}, Held{unsafe, sending, Verdict::failed, true},
        Held{safe, sending, Verdict::refused, true},       Held{keyed_all, sending, Verdict::refused, true},
        Held{keyed_zone, sending, Verdict::failed, true},  Held{streaming, started, Verdict::failed, true},
        Held{unsafe, turned_away, Verdict::refused, false}};  // and waits for its gap
    back->ends_at_once = GetParam();
    Other other(*this);
    fleet(other.id, 4);
    const Other empty(*this);
    for (std::size_t i = 0; i < held.size(); ++i) {
        if (held[i].state == turned_away) {
            back->when_sent = [&](AttemptKey key) { back->answer(key, Outcome::full); };
        }
        ASSERT_EQ(take(pool, held[i].class_index, i + 1), Taken::yes);
        if (held[i].state == sending || held[i].state == started) back->begin(last_sent());
        if (held[i].state == started) back->start(last_sent());
        ASSERT_EQ(front.finals(i + 1), 0u);
    }
    back->when_sent = nullptr;
    ASSERT_EQ(take(other.id, unsafe, 8), Taken::yes);

    core->remove_pool(pool);
    back->gone = true;
    for (std::size_t i = 0; i < held.size(); ++i) {
        expect_final(i + 1, held[i].verdict, Cause::pool_removed);
        EXPECT_EQ(front.of(i + 1)->answer.may_have_run, held[i].may_have_run) << "call " << i + 1;
    }
    EXPECT_EQ(back->cancelled.size(), 6u);
    EXPECT_TRUE(back->upstreams.empty());
    EXPECT_EQ(core->figures().open, 1u);
    EXPECT_EQ(core->figures().pools, 2u);

    // What comes late of it is nobody's.
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

TEST_F(HardCase, APoolMadeAgainUnderItsNameIsAnotherOne) {
    back->ends_at_once = false;
    const auto old_key = one_out(safe, 1);
    const PoolId old_pool = pool;
    const auto old_back = make_again();
    EXPECT_NE(pool, old_pool);
    fleet(pool, 4);
    const auto key = one_out(safe, 2);
    EXPECT_NE(key.call, old_key.call);
    old_back->answer(old_key);
    core->on_list(old_pool, {});
    EXPECT_EQ(back->upstreams.size(), 4u);
    EXPECT_EQ(take(old_pool, safe, 3), Taken::no_pool);
    EXPECT_EQ(front.finals(2), 0u);
    back->answer(key);
    expect_final(1, Verdict::refused, Cause::pool_removed);
    expect_served(2);
}

TEST_F(HardCase, APoolRemovedAndMadeAgainWithinOnePort) {
    const auto a = one_out(safe, 1);
    const auto old_back = std::exchange(back, make_back());
    front.when_final = [&](std::uint64_t token) {
        if (token != 1) return;
        core->remove_pool(pool);
        pool = add(*back, settings());
        fleet(pool, 4);
        EXPECT_EQ(take(pool, safe, 2), Taken::yes);
    };
    old_back->answer(a);
    old_back->gone = true;
    EXPECT_EQ(core->figures().pools, 1u);
    ASSERT_EQ(back->sent.size(), 1u);
    back->answer(last_sent());
    expect_served(2);
}

// Its unsafe call may still run at its upstream: the name is not taken again at once, although nothing of the
// pool is left.
TEST_F(HardCase, APoolThatGoesLeavesItsDoubts) {
    leaves_calls = true;
    back->ends_at_once = false;
    ASSERT_EQ(take_named(unsafe, "once", 1), Taken::yes);
    back->begin(last_sent());
    ASSERT_EQ(take_named(unsafe, "never begun", 2), Taken::yes);
    const auto old_back = make_again();
    expect_final(1, Verdict::failed, Cause::pool_removed);
    fleet(pool, 4);
    EXPECT_EQ(take_named(unsafe, "never begun", 3), Taken::yes);
    EXPECT_EQ(take_named(unsafe, "once", 4), Taken::name_open);
    pass(seconds(11));
    EXPECT_EQ(take_named(unsafe, "once", 5), Taken::yes);
}

TEST_F(HardCase, TheAddressesOfAPoolThatGoesServeTheOthers) {
    Other other(*this);
    list(other.id, ListKind::full, {member(11, "a1"), member(12, "a2")});
    list(pool, ListKind::delta, {member(1, "a1", UpstreamState::draining)});
    EXPECT_FALSE(other.back->upstreams.at(11).second) << "one pool was told: it drains for all";
    EXPECT_TRUE(other.back->upstreams.at(12).second);
    core->remove_pool(pool);
    back->gone = true;
    EXPECT_FALSE(other.back->upstreams.at(11).second) << "who was told has gone: that takes nothing back";
    for (std::uint64_t token = 1; token <= 20; ++token) {
        ASSERT_EQ(take(other.id, safe, token), Taken::yes);
        ASSERT_EQ(other.back->sent.back().upstream, 12u);
        other.back->answer(other.last_sent());
    }
    list(other.id, ListKind::delta, {member(21, "a1")});
    EXPECT_TRUE(other.back->upstreams.at(21).second) << "a new id is a new process";
    other.remove();
    EXPECT_EQ(core->figures().timers, 0u);
    // Accounts are kept for a ramp, and no longer.
    pass(seconds(30));
    back = make_back();
    pool = add(*back, settings());
    list(pool, ListKind::full, {});
    EXPECT_EQ(core->figures().addresses, 0u);
}

TEST_F(HardCase, ADrainToldToOnePoolStopsWhatConnectsInTheOther) {
    const Other other(*this);
    list(other.id, ListKind::full, {member(11, "a1")});
    ASSERT_EQ(take(other.id, unsafe, 1), Taken::yes);
    list(pool, ListKind::full, {member(1, "a1", UpstreamState::draining)});
    ASSERT_FALSE(other.back->upstreams.at(11).second);
    other.back->end(other.last_sent(), Outcome::moot);  // the connection came up too late
    pass(ms(1500));
    EXPECT_EQ(other.back->sent.size(), 1u);
    expect_verdict(1, Verdict::refused);
    EXPECT_FALSE(front.of(1)->answer.may_have_run);
    list(pool, ListKind::delta, {member(1, "a1")});
    EXPECT_TRUE(other.back->upstreams.at(11).second) << "taken back by who was told";
}

// ---------------------------------------------------------------------------------------------- windows

// A second attempt's bytes come to be sent so long after the first one's, which ended like this.
TEST_F(HardCase, ARepeatIsSentWithinItsWindowOrNotAtAll) {
    struct Row {
        const char* what;
        int class_index;
        Outcome first;
        Micros after;
        Micros window;  // a reload made of it
        bool sent;
    };
    const Micros window = ms(400);
    std::uint64_t token = 0;
    for (const Row& row : std::vector<Row>{
             {"within", keyed_zone, Outcome::error, ms(350), window, true},
             {"a tick is left", keyed_zone, Outcome::error, ms(399), window, false},
             {"over", keyed_all, Outcome::error, ms(450), window, false},
             {"over, and the first is in doubt", keyed_cell, Outcome::reset, ms(450), window, false},
             {"over, and the first never ran", keyed_zone, Outcome::full, ms(450), window, true},
             {"over, and safe", safe, Outcome::error, ms(450), window, true},
             {"the shorter of two windows counts", keyed_zone, Outcome::error, ms(350), ms(300), false},
             {"so does the old one", keyed_zone, Outcome::error, ms(450), ms(900), false}}) {
        SCOPED_TRACE(row.what);
        const Time began = clock.at;
        back->answer(one_out(row.class_index, ++token), row.first);
        for (int i = 0; i < 300 && back->out.empty(); ++i) pass(ms(1));
        ASSERT_EQ(back->out.size(), 1u) << "a repeat connects";
        const auto repeat = last_sent();
        Settings changed = settings();
        for (auto& c : changed.classes) c.window = row.window;
        core->change_pool(pool, changed);
        pass(began + row.after - clock.at);
        EXPECT_EQ(core->on_attempt_sending(repeat), row.sent);
        core->change_pool(pool, settings());
        while (!back->out.empty()) back->end(*back->out.begin(), Outcome::moot);
        pass(ms(1500));
        EXPECT_EQ(front.finals(token), 1u);
    }
}

// ---------------------------------------------------------------------------------------------- lists

TEST_F(HardCase, OneNameRemovedAndAddedInOneList) {
    const auto gone = [](const char* at) { return member(1, at, UpstreamState::gone); };
    const auto here = [](const char* at) { return member(1, at); };
    struct Row {
        std::vector<Member> told;
        const char* at;  // nowhere: it has gone
    };
    list(pool, ListKind::full, {here("a1")});
    std::uint64_t token = 0;
    for (const Row& row :
         std::vector<Row>{{{gone("a1"), here("b1")}, "b1"},  // it moves, told in either order
                          {{here("c1"), gone("b1")}, "c1"},
                          {{gone("c1"), here("c1")}, "c1"},        // the same address: what is told
                          {{here("c1"), gone("c1")}, nullptr}}) {  // last holds
        list(pool, ListKind::delta, row.told);
        ASSERT_EQ(back->upstreams.contains(1), row.at != nullptr);
        if (row.at) {
            EXPECT_EQ(back->upstreams.at(1).first, row.at);
        }
        const std::size_t before = back->sent.size();
        EXPECT_EQ(take(pool, safe, ++token), Taken::yes);
        EXPECT_EQ(back->sent.size() > before, row.at != nullptr) << "the module knows it as well";
        if (row.at) back->answer(last_sent());
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
    back->answer(one_out(safe, 1));
    EXPECT_EQ(back->sent.back().upstream, 2u);
}

TEST_F(HardCase, AnUpstreamThatMovesIsNewAtItsBack) {
    list(pool, ListKind::full, {member(1, "a1")});
    back->removed.clear();
    list(pool, ListKind::delta, {member(1, "b1")});
    EXPECT_EQ(back->removed, std::vector<UpstreamId>{1}) << "nothing is kept of its old address";
    EXPECT_EQ(back->upstreams.at(1).first, "b1");
}

// A source may be restarted, and its count with it: a list is taken for what it says.
TEST_F(HardCase, AListOfAnOlderVersionIsTakenAsItIs) {
    version = 100;
    list(pool, ListKind::full, {member(1, "a1")});
    version = 3;
    list(pool, ListKind::full, {member(2, "a2")});
    EXPECT_EQ(back->upstreams.size(), 1u);
    back->answer(one_out(safe, 1));
    EXPECT_EQ(back->sent.back().upstream, 2u);
    list(pool, ListKind::failed, {});
    EXPECT_EQ(back->upstreams.size(), 1u) << "a source that can't be heard says nothing";
    back->answer(one_out(safe, 2));
}

TEST_F(HardCase, ALargeListAndManyOpenCalls) {
    Settings s = settings();
    s.balancers = 20;
    const auto old = make_again(s);
    fleet(pool, 5000);
    EXPECT_EQ(back->upstreams.size(), 5000u);
    for (std::uint64_t token = 1; token <= 10000; ++token) {
        ASSERT_EQ(take(pool, static_cast<int>(token % 5), token), Taken::yes);
    }
    EXPECT_GT(back->sent.size(), 100u);
    const auto half = back->sent.size() / 2;
    for (std::size_t i = 0; i < half; ++i) back->answer(back->sent[i].key);
    list(pool, ListKind::full, {member(1, "a1")});
    pass(ms(1001));
    for (std::uint64_t token = 1; token <= 10000; ++token) ASSERT_EQ(front.finals_quick(token), 1);
    EXPECT_EQ(core->figures().overdue, 0u);
}

// --------------------------------------------------------------------------------- want, drain, stalls

TEST_F(HardCase, OwnShortageOfConnectionsHarmsNoUpstream) {
    serve(1, 20);
    back->when_sent = [&](AttemptKey key) { back->end(key, Outcome::moot, true); };
    for (std::uint64_t token = 100; token < 300; ++token) {
        ASSERT_EQ(take(pool, static_cast<int>(token % 5), token), Taken::yes);
        pass(ms(10));
    }
    pass(ms(1000));
    std::size_t short_of = 0;
    for (std::uint64_t token = 100; token < 300; ++token) {
        ASSERT_EQ(front.finals(token), 1u);
        EXPECT_EQ(front.of(token)->answer.verdict, Verdict::refused) << "nothing has run";
        short_of += front.of(token)->answer.cause == Cause::own_shortage;
    }
    EXPECT_GT(short_of, 150u);
    EXPECT_TRUE(log.lines.empty()) << log.lines.front();
    back->when_sent = nullptr;
    serve(500, 50);  // each is sent at once
}

TEST_F(HardCase, AClosedCoreTakesNothingAndAnswersWhatItHas) {
    const Other empty(*this);
    const auto a = one_out(safe, 1);
    one_begun(unsafe, 2);
    ASSERT_EQ(take(empty.id, safe, 3), Taken::yes);
    core->close();
    EXPECT_EQ(take(pool, safe, 10), Taken::shutting_down);
    EXPECT_EQ(take(77, safe, 11), Taken::shutting_down);
    list(pool, ListKind::full, {member(1, "a1", UpstreamState::draining), member(9, "a9")});
    back->answer(a);
    for (int i = 0; i < 150; ++i) {
        pass(ms(10));
        EXPECT_EQ(take(pool, safe, 12), Taken::shutting_down);
    }
    expect_served(1);
    expect_final(2, Verdict::failed, Cause::timed_out);
    expect_verdict(3, Verdict::refused);  // its pool has nothing ready
    EXPECT_EQ(core->figures().open, 0u);
    EXPECT_EQ(front.finals(10) + front.finals(11) + front.finals(12), 0u);
}

struct Stall : HardCase, testing::WithParamInterface<int> {};

// After a stall all is overdue at once: what the module set comes before the guard, in its order.
TEST_P(Stall, IsAnsweredByTheModuleNotByTheGuard) {
    const Other nobody(*this);
    std::uint64_t token = 0;
    for (int c = 0; c <= streaming; ++c) {
        // Connecting, sending, turned away, and waiting for an upstream.
        for (int state = 0; state < 4; ++state) {
            ASSERT_EQ(take(call(state == 3 ? nobody.id : pool, c, ms(400)), ++token), Taken::yes);
            if (state == 3 || back->sent.empty() || last_sent().call != last_id) continue;
            if (state == 1) back->begin(last_sent());
            if (state == 2) back->answer(last_sent(), Outcome::full);
        }
        pass(ms(1));
    }
    pass(ms(100));
    stall(ms(GetParam()));
    pass(ms(400));
    for (std::uint64_t t = 1; t <= token; ++t) {
        ASSERT_EQ(front.finals(t), 1u) << "call " << t;
        EXPECT_STRNE(text_of(front.of(t)->answer.cause), "overdue") << "call " << t;
    }
    EXPECT_EQ(core->figures().overdue, 0u);
    EXPECT_EQ(core->figures().faults, 0u);
}

INSTANTIATE_TEST_SUITE_P(HardCase, Stall,
                         testing::Values(10, 100, 250, 290, 300, 310, 400, 1000, 3000, 10000));

TEST_F(HardCase, TheGuardAnswersWhatNobodyElseDoes) {
    back->ends_at_once = false;
    back->when_expired = [](AttemptKey) {};  // a back that has lost it
    const auto key = one_begun(unsafe, 1);
    const Time limit = clock.at + ms(1000);
    run(limit - Micros(1));
    expect_final(1, Verdict::failed, Cause::overdue);
    EXPECT_LT(front.of(1)->at, limit);
    EXPECT_TRUE(front.of(1)->answer.may_have_run);
    EXPECT_EQ(core->figures().overdue, 1u);
    EXPECT_EQ(back->cancelled.size(), 1u);
    back->answer(key);
    EXPECT_EQ(front.finals(1), 1u);
}

TEST_F(HardCase, ACallWithoutABudgetEndsByTheOperatorsLimit) {
    Call c = call(pool, unsafe, Micros{0});
    const Time limit = clock.at + seconds(30);
    ASSERT_EQ(take(c, 1), Taken::yes);
    back->begin(last_sent());
    run(limit - ms(1));
    EXPECT_EQ(front.finals(1), 0u);
    run(limit + ms(1));
    expect_final(1, Verdict::failed, Cause::timed_out);
}

TEST_F(HardCase, ABudgetOfAnySizeIsTaken) {
    std::uint64_t token = 0;
    for (const Micros budget : {Micros{1}, Micros{2}, Micros{3}, ms(1), Micros::max() / 4, Micros::max(),
                                Micros{-1}, Micros::min()}) {
        for (const Micros unseen : {Micros{0}, Micros{1}, ms(50), Micros::max(), Micros{-1}, Micros::min()}) {
            for (const Time received : {Time{}, Time{1}, clock.at, clock.at + ms(5), Time::max()}) {
                Call c = call(pool, safe);
                c.budget = budget;
                c.unseen = unseen;
                c.received = received;
                ASSERT_EQ(take(c, ++token), Taken::yes);
                if (last_sent().call == last_id) back->answer(last_sent());
            }
        }
    }
    pass(seconds(31));
    for (std::uint64_t t = 1; t <= token; ++t) EXPECT_EQ(front.finals(t), 1u);
}

TEST_F(HardCase, TimeSpentBeforeTheCallWasTakenCounts) {
    Call c = call(pool, unsafe, ms(300));
    c.received = clock.at - ms(200);
    const Time limit = clock.at + ms(100);
    ASSERT_EQ(take(c, 1), Taken::yes);
    EXPECT_EQ(back->sent.back().expires, limit - c.unseen);
    back->begin(last_sent());
    run(limit);
    expect_final(1, Verdict::failed, Cause::timed_out);
    EXPECT_EQ(front.of(1)->at, limit - c.unseen);
}

// ------------------------------------------------------------------------------------ names and limits

TEST_F(HardCase, TwoCallsOfOneNameAreNeverOpenAtOnce) {
    for (const int c : {safe, unsafe, keyed_all}) {
        ASSERT_EQ(take_named(c, "name", 1), Taken::yes);
        EXPECT_EQ(take_named(c, "name", 2), Taken::name_open);
        back->answer(last_sent());
        ASSERT_EQ(take_named(c, "name", 3), Taken::yes) << "answered, and nothing of it is out";
        back->answer(last_sent());
    }
}

TEST_F(HardCase, ANameStaysTakenWhileAnAttemptOfItIsOut) {
    leaves_calls = true;
    back->ends_at_once = false;
    ASSERT_EQ(take_named(safe, "name", 1), Taken::yes);
    EXPECT_FALSE(core->leave(last_id));
    EXPECT_EQ(back->cancelled.size(), 1u);
    EXPECT_EQ(take_named(safe, "name", 2), Taken::name_open);
    back->end(last_sent(), Outcome::cancelled);
    EXPECT_EQ(take_named(safe, "name", 3), Taken::yes);
}

TEST_F(HardCase, AnUnsafeCallThatMayStillRunKeepsItsNameForAWhile) {
    for (const Outcome outcome : {Outcome::reset, Outcome::timeout}) {
        const char* const name = text_of(outcome == Outcome::reset ? Cause::broken : Cause::timed_out);
        ASSERT_EQ(take_named(unsafe, name, 1), Taken::yes);
        back->answer(last_sent(), outcome);
        EXPECT_EQ(core->figures().open, 0u);
        EXPECT_EQ(take_named(unsafe, name, 2), Taken::name_open);
        pass(seconds(10) - Micros(1));
        EXPECT_EQ(take_named(unsafe, name, 3), Taken::name_open);
        pass(Micros(1));
        ASSERT_EQ(take_named(unsafe, name, 4), Taken::yes);
        back->answer(last_sent());
    }
    for (const int c : {safe, keyed_all, keyed_zone}) {  // these may be repeated
        Call named = call(pool, c, ms(400));
        named.name = "harmless";
        ASSERT_EQ(take(named, 5), Taken::yes);
        back->answer(last_sent(), Outcome::reset);
        back->when_sent = [&](AttemptKey key) { back->answer(key, Outcome::reset); };
        pass(ms(400));
        back->when_sent = nullptr;
        EXPECT_EQ(take(named, 6), Taken::yes);
        core->leave(last_id);
        pass(ms(100));
    }
}

TEST_F(HardCase, AnUnsafeCallThatWasCancelledWholeKeepsItsName) {
    ASSERT_EQ(take_named(unsafe, "half", 1), Taken::yes);
    back->begin(last_sent());
    EXPECT_TRUE(core->leave(last_id));
    EXPECT_EQ(take_named(unsafe, "half", 2), Taken::yes) << "its last byte was never sent";
    back->begin(last_sent());
    back->whole.insert(last_sent());
    EXPECT_TRUE(core->leave(last_id));
    EXPECT_EQ(take_named(unsafe, "half", 3), Taken::name_open);
}

struct Limits : HardCase {
    static Options options() {
        Options o;
        o.open_calls = 3;
        o.doubts = 2;
        return o;
    }
    Limits() : HardCase(options()) {}
};

TEST_F(Limits, TheOldestDoubtsAreForgotten) {
    leaves_calls = true;
    for (const char* name : {"a", "b", "c"}) {
        ASSERT_EQ(take_named(unsafe, name, 1), Taken::yes);
        back->answer(last_sent(), Outcome::error);  // ended there
        ASSERT_EQ(take_named(unsafe, name, 1), Taken::yes);
        back->answer(last_sent(), Outcome::reset);
        EXPECT_LE(core->figures().doubts, 2u);
    }
    EXPECT_EQ(take_named(unsafe, "c", 2), Taken::name_open);
    EXPECT_EQ(take_named(unsafe, "b", 2), Taken::name_open);
    EXPECT_EQ(take_named(unsafe, "a", 2), Taken::yes);
}

TEST_F(Limits, NoMoreCallsAreOpenThanAllowed) {
    leaves_calls = true;
    const auto a = one_out(safe, 1);
    one_out(safe, 2);
    const CallId second = last_id;
    one_out(unsafe, 3);
    EXPECT_EQ(take(pool, safe, 4), Taken::too_many);
    EXPECT_EQ(front.finals(4), 0u);
    back->answer(a);
    EXPECT_EQ(take(pool, safe, 5), Taken::yes);
    EXPECT_EQ(take(pool, safe, 6), Taken::too_many);
    core->leave(second);
    EXPECT_EQ(take(pool, safe, 7), Taken::yes);
    Call bad = call(pool, 99);
    EXPECT_EQ(take(bad, 8), Taken::bad_class);
    bad.class_index = -1;
    EXPECT_EQ(take(bad, 8), Taken::bad_class);
    EXPECT_EQ(core->figures().taken, 5u);
}

// ------------------------------------------------------------------------------------------ streaming

TEST_F(HardCase, AnAnswerThatHasBegunIsTheClients) {
    const auto [first, second] = two_out(1);
    back->begin(second);
    back->start(second);
    EXPECT_EQ(front.started, std::vector<std::uint64_t>{1});
    EXPECT_EQ(back->cancelled, std::vector<AttemptKey>{first});
    EXPECT_EQ(front.finals(1), 0u);
    const std::size_t sent = back->sent.size();
    pass(seconds(20));  // far beyond its deadline
    EXPECT_EQ(front.finals(1), 0u);
    EXPECT_EQ(back->sent.size(), sent) << "nothing is sent elsewhere";
    EXPECT_TRUE(back->expired.empty() || back->expired.back() != second);
    back->end(second, Outcome::ok);
    expect_served(1);
}

TEST_F(HardCase, AnotherCopysAnswerIsNoMoreWantedOnceOneHasBegun) {
    const auto [first, second] = two_out(1);
    back->begin(second);
    back->when_cancelled = [&](AttemptKey key) { back->answer(key, Outcome::ok); };  // it had just come
    back->start(second);
    EXPECT_EQ(front.finals(1), 0u);
    EXPECT_EQ(back->cancelled, std::vector<AttemptKey>{first});
    back->end(second, Outcome::reset);
    expect_final(1, Verdict::failed, Cause::broken_off);
}

TEST_F(HardCase, AnAnswerThatBreaksOffIsNotTriedAgain) {
    const auto key = one_started(streaming, 1);
    back->start(key);  // once is enough
    EXPECT_EQ(front.started.size(), 1u);
    back->end(key, Outcome::reset);
    expect_final(1, Verdict::failed, Cause::broken_off);
    EXPECT_TRUE(front.of(1)->answer.may_have_run);
    pass(ms(1500));
    EXPECT_EQ(back->sent.size(), 1u);
}

TEST_F(HardCase, AnAnswerThatHasBegunMayHaveItsOwnLimit) {
    Call c = call(pool, streaming);
    c.started_limit = ms(3000);
    ASSERT_EQ(take(c, 1), Taken::yes);
    const auto key = last_sent();
    pass(ms(100));
    back->begin(key);
    back->start(key);
    pass(ms(2999));
    EXPECT_TRUE(back->expired.empty());
    EXPECT_EQ(front.finals(1), 0u);
    pass(ms(1));
    EXPECT_EQ(back->expired, std::vector<AttemptKey>{key});
    expect_final(1, Verdict::failed, Cause::broken_off);
}

TEST_F(HardCase, AnAnswerThatBeginsTooLateIsCancelled) {
    back->ends_at_once = false;
    const auto key = one_begun(streaming, 1);
    pass(ms(1001));
    EXPECT_EQ(front.finals(1), 1u);
    back->cancelled.clear();
    back->start(key);
    EXPECT_TRUE(front.started.empty());
    back->end(key, Outcome::ok);
    EXPECT_EQ(front.finals(1), 1u);
}

TEST_F(HardCase, AClientThatLeavesWhileItsAnswerComesEndsIt) {
    const auto key = one_begun(streaming, 1);
    const CallId id = last_id;
    front.when_started = [&](std::uint64_t) { EXPECT_TRUE(core->leave(id)); };
    back->start(key);
    EXPECT_EQ(back->cancelled, std::vector<AttemptKey>{key});
    EXPECT_EQ(front.finals(1), 0u);
}

TEST_F(HardCase, AnAnswerThatHasBegunIsNotTouchedByItsPoolsTimersOrLists) {
    const auto key = one_started(streaming, 1);
    list(pool, ListKind::full, {});
    pass(seconds(10));
    EXPECT_EQ(front.finals(1), 0u);
    back->end(key, Outcome::ok);
    expect_served(1);
}

// --------------------------------------------------------------------------------------------- pinned

TEST_F(HardCase, APinnedCallIsServedThereOrNowhere) {
    std::set<CallId> turned_away;
    back->when_sent = [&](AttemptKey key) {
        const auto* ticket = dynamic_cast<const Ticket*>(back->sent.back().payload.get());
        EXPECT_EQ(back->sent.back().upstream, 1 + ticket->number % 4);
        const bool first = ticket->number % 8 == 5 && turned_away.insert(key.call).second;
        back->answer(key, first ? Outcome::full : Outcome::ok);
    };
    for (std::uint64_t token = 1; token <= 40; ++token) {
        Call c = call(pool, static_cast<int>(token % 5));
        c.pinned = 1 + token % 4;
        ASSERT_EQ(take(c, token), Taken::yes);
        pass(ms(1000));
        expect_served(token);
    }
    EXPECT_EQ(turned_away.size(), 5u);
    const std::size_t sent = back->sent.size();
    list(pool, ListKind::delta,
         {member(1, "a1", UpstreamState::draining), member(2, "a2", UpstreamState::gone)});
    std::uint64_t token = 100;
    for (const UpstreamId nowhere : {1, 2, 77}) {
        Call c = call(pool, safe);
        c.pinned = nowhere;
        ASSERT_EQ(take(c, ++token), Taken::yes);
        pass(ms(1000));
        expect_verdict(token, Verdict::refused);
    }
    EXPECT_EQ(back->sent.size(), sent);
}

// Another pool's notice holds for it as well.
TEST_F(HardCase, APinnedCallGoesNowhereThatDrainsForAnotherPool) {
    const Other other(*this);
    list(other.id, ListKind::full, {member(11, "a1", UpstreamState::draining)});
    Call c = call(pool, unsafe);
    c.pinned = 1;
    ASSERT_EQ(take(c, 1), Taken::yes);
    pass(ms(1000));
    EXPECT_TRUE(back->sent.empty());
    expect_verdict(1, Verdict::refused);
}

// ----------------------------------------------------------------------- what is told must stay true

// A platform whose module may not cancel: what connects for a call that is over still must not run, since its
// client has been told that it has not.
TEST_F(HardCase, WhatNeverBeganDoesNotRunAfterItsCallIsOver) {
    Settings s = settings();
    s.may_cancel = false;
    const Other plain(*this, s);
    fleet(plain.id, 4);
    ASSERT_EQ(take(plain.id, unsafe, 1), Taken::yes);
    EXPECT_FALSE(core->leave(last_id)) << "it has not run";
    EXPECT_EQ(plain.back->cancelled, std::vector<AttemptKey>{plain.last_sent()}) << "nor will it";
    EXPECT_EQ(core->figures().open, 0u);
    ASSERT_EQ(take(plain.id, unsafe, 2), Taken::yes);
    plain.back->begin(plain.last_sent());
    EXPECT_TRUE(core->leave(last_id));
    EXPECT_EQ(plain.back->cancelled.size(), 1u) << "this one is on its way, and the module may not cancel it";
}

// ---------------------------------------------------------------------------------------- settings

TEST_F(HardCase, SettingsThatContradictThemselvesChangeNothing) {
    Settings bad = settings();
    bad.max_attempts = 0;
    const auto other = make_back();
    EXPECT_THROW((void)add(*other, bad), std::invalid_argument);
    EXPECT_EQ(core->figures().pools, 1u);
    const std::size_t timers = core->figures().timers;
    EXPECT_THROW((void)add(*other, bad), std::invalid_argument);
    EXPECT_EQ(core->figures().timers, timers);
    back->answer(one_out(safe, 1));
}

TEST_F(HardCase, AClassThatGoesWhileACallWaitsInTheQueueRefusesIt) {
    answer_with(one_out(safe, 1), [&] {
        EXPECT_EQ(take(pool, streaming, 2), Taken::yes);
        Settings s = settings();
        s.classes.pop_back();
        core->change_pool(pool, s);
    });
    expect_verdict(2, Verdict::refused);
    EXPECT_EQ(back->sent.size(), 1u);
}

// A call that waits in the queue follows its class by name: also in what its effect is.
TEST_F(HardCase, ACallThatWaitsInTheQueueIsOfItsClassAsItIsNow) {
    answer_with(one_out(safe, 1), [&] {
        EXPECT_EQ(take_named(safe, "once", 2), Taken::yes);
        Settings s = settings();
        s.classes[safe].effect = Effect::unsafe;
        core->change_pool(pool, s);
    });
    ASSERT_EQ(back->sent.size(), 2u);
    back->answer(last_sent(), Outcome::reset);
    const auto old = make_again();
    expect_verdict(2, Verdict::failed);  // it may have run, and is unsafe now
    EXPECT_EQ(take_named(unsafe, "once", 3), Taken::name_open);
}

// What its source was told while the program stood still comes ahead of what waited meanwhile: a new call,
// and one whose attempt ended.
TEST_F(HardCase, ListsThatWaitComeAheadOfWhatIsSent) {
    for (const bool retry : {false, true}) {
        FakeSource source(trip);
        const Other its(*this, settings(), &source);
        fleet(its.id, 3);
        its.back->ends_at_once = false;
        const std::uint64_t token = retry ? 11 : 12;
        if (retry) {
            EXPECT_EQ(take(its.id, unsafe, token), Taken::yes);
        }
        const std::size_t before = its.back->sent.size();
        source.when_caught_up = [&] {
            list(its.id, ListKind::delta,
                 {member(1, "a1", UpstreamState::draining), member(2, "a2", UpstreamState::draining),
                  member(3, "a3", UpstreamState::draining)});
        };
        clock.at += seconds(3);
        if (retry) {
            its.back->end(its.last_sent(), Outcome::connect_failed);
        } else {
            EXPECT_EQ(take(its.id, unsafe, token), Taken::yes);
        }
        EXPECT_EQ(its.back->sent.size(), before);
        EXPECT_FALSE(its.back->upstreams.at(1).second);
        pass(ms(1500));
        EXPECT_EQ(front.finals(token), 1u);
    }
}

TEST_F(HardCase, AnOwnFaultIsNeverAnAnswer) {
    const auto key = one_out(unsafe, 1);
    back->end(key, Outcome::ok, true);  // contradicts itself: it never ran
    EXPECT_EQ(front.finals(1), 0u) << "it may still be sent elsewhere";
    pass(ms(1500));
    EXPECT_EQ(front.finals(1), 1u);
}

}  // namespace
}  // namespace flaxdoor::core::test
