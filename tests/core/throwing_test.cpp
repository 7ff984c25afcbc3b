// Runs a script that uses all functions of the core, and throws from the n-th call of a port, for every n.
// Each call must still get exactly one answer, a drain must still hold, no state may be left, and the core
// must continue to work.
#include <gtest/gtest.h>

#include <set>

#include "fakes.h"

namespace flaxdoor::core::test {
namespace {

using namespace flaxdoor::test;

struct Script : Stage {
    Script(long throw_at, bool non_standard) {
        trip.throw_at = throw_at;
        trip.non_standard = non_standard;
    }

    // Lets time pass. Sends an event every 50 ms, because an alarm that was lost is set again with the next
    // event.
    void wait(Micros span) {
        const Time until = clock.at + span;
        while (clock.at < until) {
            core->on_list(9999, {});
            run(std::min(until, clock.at + ms(50)));
        }
    }
    CallId open(PoolId pool, int class_index, const char* name = "") {
        Call new_call = call(pool, class_index);
        new_call.call_id = name;
        if (take(new_call, ++token) == AcceptResult::accepted) taken.insert(token);
        return last_id;
    }
    template <typename Function>
    void for_each_active(FakeBack& back, Function function) {
        for (const auto& key : std::set<AttemptKey>(back.out)) function(key);
    }

    void run_script() {
        Settings basic = plain_settings();
        basic.drain_close = ms(50);
        basic.may_cancel = true;
        Settings asked = basic;
        asked.must_request_list = true;
        asked.ask_within = ms(500);
        const auto first_back = make_back(), second_back = make_back();
        FakeSource source(trip);
        const PoolId first_pool = add(*first_back, basic), second_pool = add(*second_back, asked, &source);
        source.when_asked = [&] {
            list(second_pool, ListKind::full, {member(11, "a1"), member(12, "a2"), member(13, "b1")});
        };
        list(first_pool, ListKind::cached, {member(1, "a1"), member(2, "a2"), member(3, "a3")});
        fleet(first_pool, 4);
        wait(ms(60));
        list(second_pool, ListKind::full, {member(11, "a1"), member(12, "a2"), member(13, "b1")});

        // Calls that are served, end with an error, are rejected, break, lack local resources, stream, or are
        // abandoned.
        for (const Outcome outcome : {Outcome::ok, Outcome::error, Outcome::full, Outcome::reset}) {
            open(first_pool, safe);
            open(second_pool, unsafe, "unsafe");
            for_each_active(*first_back, [&](AttemptKey key) { first_back->answer(key, outcome); });
            for_each_active(*second_back, [&](AttemptKey key) { second_back->answer(key, outcome); });
            wait(ms(30));
        }
        open(second_pool, keyed_all);
        for_each_active(*second_back,
                        [&](AttemptKey key) { second_back->end(key, Outcome::inconclusive, true); });
        open(first_pool, safe);
        for_each_active(*first_back, [&](AttemptKey key) {
            first_back->begin(key);
            first_back->start(key);
            first_back->end(key, Outcome::ok);
        });
        const CallId abandoned = open(first_pool, unsafe);
        for_each_active(*first_back, [&](AttemptKey key) { first_back->begin(key); });
        const bool was_open = front.finals(token) == 0;
        core->abandon_call(abandoned);
        if (was_open) taken.erase(token);
        wait(ms(10));

        // An upstream drains in one pool: nothing is sent to it from either pool.
        list(first_pool, ListKind::delta, {member(1, "a1", UpstreamState::draining), member(5, "a5")});
        const std::size_t sent_by_first = first_back->sent.size(), sent_by_second = second_back->sent.size();
        for (int i = 0; i < 6; ++i) {
            open(first_pool, safe);
            open(second_pool, safe);
            wait(ms(5));
        }
        for (std::size_t i = sent_by_first; i < first_back->sent.size(); ++i)
            EXPECT_NE(first_back->sent[i].upstream, 1u);
        for (std::size_t i = sent_by_second; i < second_back->sent.size(); ++i)
            EXPECT_NE(second_back->sent[i].upstream, 11u);
        list(first_pool, ListKind::delta, {member(5, "a5", UpstreamState::gone)});

        // Many failures, so that upstreams are ejected and reinstated, and the policy logs it.
        for (int i = 0; i < 30; ++i) {
            open(first_pool, safe);
            for_each_active(*first_back,
                            [&](AttemptKey key) { first_back->end(key, Outcome::connect_failed); });
            wait(ms(20));
        }
        for (int i = 0; i < 10; ++i) {
            wait(ms(500));
            open(first_pool, safe);
            for_each_active(*first_back, [&](AttemptKey key) { first_back->answer(key); });
        }
        Settings changed = basic;
        changed.max_attempts = 2;
        core->change_pool(first_pool, changed);

        // Timeouts of an attempt that has begun and of one that has not.
        open(first_pool, unsafe);
        for_each_active(*first_back, [&](AttemptKey key) { first_back->begin(key); });
        open(second_pool, safe);
        wait(ms(1100));

        // One pool is removed with calls in every state, the other one after its calls have ended.
        for (const int class_index : {safe, unsafe, keyed_zone, unsafe, safe}) {
            open(first_pool, class_index);
            open(second_pool, class_index);
        }
        for_each_active(*first_back, [&](AttemptKey key) {
            if (key.call % 2 != 0) first_back->begin(key);
        });
        core->remove_pool(first_pool);
        first_back->gone = true;
        EXPECT_EQ(core->figures().pools, 1u);
        wait(ms(1100));
        core->remove_pool(second_pool);
        second_back->gone = true;
        wait(seconds(30));

        for (std::uint64_t each = 1; each <= token; ++each) {
            EXPECT_EQ(front.finals(each), taken.contains(each) ? 1u : 0u) << "call " << each;
        }
        const Stats figures = core->figures();
        EXPECT_EQ(figures.open, 0u);
        EXPECT_EQ(figures.pools, 0u);
        EXPECT_EQ(figures.timers, 0u);
        EXPECT_EQ(figures.accepted, figures.served + figures.refused + figures.failed + figures.abandoned);

        // The core continues to work, and call ids are free again. Ids in doubt and addresses are only purged
        // by new events.
        trip.throw_at = -1;
        const auto third_back = make_back();
        const PoolId third_pool = add(*third_back, basic);
        list(third_pool, ListKind::full, {});
        EXPECT_EQ(core->figures().addresses, 0u);
        list(third_pool, ListKind::full, {member(1, "a1")});
        open(third_pool, unsafe, "unsafe");
        EXPECT_TRUE(taken.contains(token));
        EXPECT_EQ(core->figures().in_doubt, 0u);
        ASSERT_EQ(third_back->sent.size(), 1u);
        third_back->answer(third_back->sent.back().key);
        ASSERT_EQ(front.finals(token), 1u);
        EXPECT_EQ(front.of(token)->answer.verdict, Verdict::served);
        core->remove_pool(third_pool);
        third_back->gone = true;
    }

    std::uint64_t token = 0;
    std::set<std::uint64_t> taken;
};

void throw_at_every_call(bool non_standard) {
    std::set<std::string> ports;
    long call_index = 0;
    for (;; ++call_index) {
        Script script(call_index, non_standard);
        SCOPED_TRACE(name_of("call ", static_cast<std::uint64_t>(call_index)));
        ASSERT_NO_THROW(script.run_script()) << script.trip.thrown_in;
        EXPECT_EQ(script.core->figures().faults > 0, !script.trip.thrown_in.empty());
        ASSERT_FALSE(testing::Test::HasFailure()) << "thrown in " << script.trip.thrown_in;
        if (script.trip.thrown_in.empty()) break;  // the script makes fewer calls than this
        ports.insert(script.trip.thrown_in);
    }
    EXPECT_GT(call_index, 500);
    EXPECT_EQ(ports.size(), 13u) << "every port but Source::fetch, which the policy does not use";
}

TEST(Throwing, AnyPortMayThrowAStandardExceptionAtAnyCall) { throw_at_every_call(false); }
TEST(Throwing, AnyPortMayThrowAnyOtherValueAtAnyCall) { throw_at_every_call(true); }

}  // namespace
}  // namespace flaxdoor::core::test
