// Tests of the budgets at a real core with a fake connection pool, in virtual time: which calls get a permit,
// when it is committed, and how a call without one ends. After every test, no permit may be reserved or in
// use once all calls have ended.
#include "budget/admission.h"

#include <gtest/gtest.h>

#include <random>

#include "core/fakes.h"
#include "iterations.h"

namespace flaxdoor::budget::test {
namespace {

using namespace flaxdoor::core::test;
using namespace flaxdoor::test;  // the classes of plain_settings, by name
using core::AcceptResult;
using core::Cause;
using core::Verdict;

// The holder's clock: reads the core's clock, which a simulated suspension advances without serving the
// core's alarm. It has an origin of its own.
struct CoreClockView final : core::Clock {
    Time now() const override { return of ? of->now() + ahead : FakeClock().at; }
    const core::Clock* of = nullptr;
    Micros ahead{};
};

Budget budget_of(const char* name, Counts counts, Amount whole) {
    Budget budget;
    budget.name = name;
    budget.counts = counts;
    budget.whole = whole;
    return budget;
}
constexpr Amount per_second(std::int64_t rate, std::int64_t size) { return {rate * 1000, size}; }
constexpr Amount places(std::int64_t size) { return {0, size}; }

// Base class of World, so that it is constructed before the core.
struct Fleet {
    explicit Fleet(BudgetConfig terms)
        : holder({std::move(terms), "n1", "1", 1}, clock.now()),
          admission(holder, clock, [this] { ++refusals; }) {}
    CoreClockView clock;
    Holder holder;
    Admission admission;
    int refusals = 0;
};

core::Options options_with(core::Admission& admission) {
    core::Options options;
    options.admission = &admission;
    return options;
}

BudgetConfig terms_of(std::vector<Budget> budgets) {
    BudgetConfig terms;
    terms.budgets = std::move(budgets);
    return terms;
}

Settings platform_settings() {
    Settings s = plain_settings();
    s.tenants = {{"a", 0, 0}, {"b", 0, 0}};
    s.retry_after = true;
    s.max_retry_after = std::chrono::seconds(30);
    s.report_fields = {ReportField::in_flight};  // the module hedges only if answers report the load
    s.reports = ReportSource::answers;
    return s;
}

// One pool named "pool" of four upstreams, and a single holder in the fleet.
struct World : Fleet, Stage {
    explicit World(std::vector<Budget> budgets, Settings settings = platform_settings())
        : Fleet(terms_of(std::move(budgets))), Stage(options_with(admission)), back(make_back()) {
        Fleet::clock.of = &(Stage::clock);
        pool = add(*back, std::move(settings));
        fleet(pool, 4);
        lease();
        // A share starts empty, and fills more slowly by the drift bound of the clock.
        pass(ms(1100));
    }
    ~World() override {
        back->when_expired = back->when_cancelled = nullptr;
        core->remove_pool(pool);
        back->gone = true;
        EXPECT_EQ(core->figures().open, 0u);
        EXPECT_EQ(core->figures().faults, 0u);
        const Time all_ended =
            now() + lengthened_by_drift(holder.terms().max_attempt_duration, holder.terms().max_clock_drift);
        for (std::size_t i = 0; i < holder.size(); ++i)
            EXPECT_EQ(holder.allowance(i).in_use(all_ended), 0) << i;
    }

    Time now() const { return Stage::clock.at; }
    // Leases the whole of every budget for `term`.
    void lease(Micros term = std::chrono::hours(1)) {
        std::vector<Amount> shares;
        for (const Budget& each : holder.terms().budgets) shares.push_back(each.whole);
        lease(shares, term);
    }
    void lease(const std::vector<Amount>& shares, Micros term) {
        LeaseReply reply;
        const Time at = Fleet::clock.now();
        reply.number = holder.request(at).number;
        reply.epoch = 1;
        reply.seq = ++seq;
        reply.term = term;
        for (std::size_t i = 0; i < shares.size(); ++i)
            reply.grants.push_back({holder.terms().budgets[i].name, shares[i]});
        holder.on_reply(reply, at);
    }
    // Submits a call, which the core accepts and either sends or answers at once.
    void submit(std::uint64_t token, int class_index = safe, int tenant = 0) {
        core::Call c = call(pool, class_index);
        c.tenant = {core::Tenant::Kind::known, tenant};
        EXPECT_EQ(take(std::move(c), token), AcceptResult::accepted);
    }
    // Starts a call after enough fast ones that the module regards it as late. Returns its attempt.
    core::AttemptKey start_late_call(std::uint64_t token) {
        for (std::uint64_t other = 100; other < 140; ++other) {
            submit(other);
            pass(ms(5));
            back->answer(last_attempt());
        }
        submit(token);
        return last_attempt();
    }
    // Waits for the hedged attempt that the module starts, while other calls yield reports of the other
    // upstreams.
    std::optional<core::AttemptKey> wait_for_hedge(core::AttemptKey first) {
        for (std::uint64_t other = 200; other < 300; ++other) {
            pass(ms(2));
            for (const auto& key : back->out) {
                if (key.call == first.call && key.number > 0) return key;
            }
            submit(other);
            back->answer(last_attempt());
        }
        return std::nullopt;
    }
    core::AttemptKey last_attempt() const { return back->sent.back().key; }
    std::int64_t in_use(std::size_t budget = 0) { return holder.allowance(budget).in_use(now()); }
    void expect_final(std::uint64_t token, Verdict verdict, Cause cause) {
        EXPECT_EQ(front.finals(token), 1u) << token;
        EXPECT_EQ(front.of(token)->answer.verdict, verdict) << token;
        EXPECT_STREQ(core::text_of(front.of(token)->answer.cause), core::text_of(cause)) << token;
    }

    std::unique_ptr<FakeBack> back;
    core::PoolId pool = 0;
    std::uint64_t seq = 0;
};

// ------------------------------------------------------------------------------------------- what is counted

// Four calls whose first attempt is rejected and whose second one is answered, until no permit is left. Shows
// which call is refused, and whether at its first or its second attempt.
TEST(BudgetAdmission, WhatTakesAPermit) {
    struct Case {
        Counts counts;
        Amount whole;
        std::size_t served;  // calls
        std::size_t sent;    // attempts in total
    };
    const Case cases[] = {
        {Counts::requests, per_second(0, 3), 3, 6},
        {Counts::attempts, per_second(0, 3), 1, 3},
        {Counts::retries, per_second(0, 3), 3, 7},
        {Counts::concurrency, places(1), 4, 8},
    };
    for (const Case& each : cases) {
        SCOPED_TRACE(static_cast<int>(each.counts));
        World world({budget_of("a", each.counts, each.whole)});
        // Fills the bucket, then sets the rate to zero.
        if (each.counts != Counts::concurrency) {
            world.lease({per_second(1000, each.whole.size)}, std::chrono::hours(1));
            world.pass(std::chrono::seconds(1));
            world.lease({each.whole}, std::chrono::hours(1));
        }
        for (std::uint64_t token = 1; token <= 4; ++token) {
            world.submit(token);
            while (world.front.finals(token) == 0) {
                ASSERT_FALSE(world.back->out.empty());
                const auto key = *world.back->out.begin();
                world.back->answer(key, key.number == 0 ? Outcome::full : Outcome::ok);
                world.pass(ms(20));
            }
        }
        EXPECT_EQ(world.core->figures().served, each.served);
        EXPECT_EQ(world.back->sent.size(), each.sent);
        for (std::uint64_t token = each.served + 1; token <= 4; ++token)
            world.expect_final(token, Verdict::refused, Cause::over_budget);
    }
}

TEST(BudgetAdmission, AppliesOnlyToMatchingCalls) {
    struct Case {
        const char *tenant, *of_class, *pool;
        std::set<std::uint64_t> refused;  // of four calls: tenant 0 and 1, each safe and unsafe
    };
    const Case cases[] = {
        {"", "", "", {1, 2, 3, 4}},     {"b", "", "", {3, 4}}, {"", "unsafe", "", {2, 4}},
        {"a", "safe", "pool", {1}},     {"", "", "other", {}}, {"c", "", "", {}},
        {"", "", "pool", {1, 2, 3, 4}},
    };
    for (const Case& each : cases) {
        Budget budget = budget_of("a", Counts::requests, per_second(1, 1));
        budget.tenant = each.tenant;
        budget.of_class = each.of_class;
        budget.pool = each.pool;
        World world({budget});
        world.holder.allowance(0).end_lease(world.now());
        std::set<std::uint64_t> refused;
        for (std::uint64_t token = 1; token <= 4; ++token) {
            world.submit(token, token % 2 ? safe : unsafe, token > 2);
            if (world.front.finals(token)) refused.insert(token);
        }
        EXPECT_EQ(refused, each.refused) << each.tenant << "/" << each.of_class << "/" << each.pool;
        EXPECT_EQ(world.admission.figures()[0].refused, each.refused.size());
        EXPECT_EQ(world.refusals, static_cast<int>(each.refused.size()));
    }
}

TEST(BudgetAdmission, RefusalByOneBudgetReleasesTheOthers) {
    World world({budget_of("a", Counts::requests, per_second(1, 2)),
                 budget_of("b", Counts::concurrency, places(1)),
                 budget_of("c", Counts::requests, per_second(1, 1))});
    world.pass(std::chrono::seconds(2));
    world.submit(1);
    world.back->begin(world.last_attempt());
    world.submit(2);
    world.expect_final(2, Verdict::refused, Cause::over_budget);
    EXPECT_EQ(world.in_use(0), 0) << "released";
    world.back->answer(world.last_attempt());
    world.expect_final(1, Verdict::served, Cause::none);
    // The third budget has no permit left; the first and the second have theirs back.
    world.submit(3);
    world.expect_final(3, Verdict::refused, Cause::over_budget);
    EXPECT_GT(world.front.of(3)->answer.retry_after, Micros{0});
    EXPECT_EQ(world.in_use(1), 0);
    EXPECT_EQ(world.admission.figures()[1].refused, 1u);
    EXPECT_EQ(world.admission.figures()[2].refused, 1u);
}

// ------------------------------------------------------------------------- between admission and the first byte

// The connection is established after the lease has ended, by a suspension or by waiting: nothing is sent.
TEST(BudgetAdmission, PermitRevokedBeforeTheFirstByte) {
    for (const Counts counts : {Counts::requests, Counts::attempts, Counts::concurrency}) {
        for (const bool paused : {false, true}) {
            World world(
                {budget_of("a", counts, counts == Counts::concurrency ? places(1) : per_second(1, 1))});
            world.lease(ms(300));
            world.submit(1, unsafe);
            const auto key = world.last_attempt();
            if (paused) {
                world.Stage::clock.at += ms(301);
            } else {
                world.pass(ms(301));
            }
            EXPECT_FALSE(world.core->on_attempt_sending(key));
            world.back->end(key, Outcome::inconclusive);
            world.expect_final(1, Verdict::refused, Cause::over_budget);
            EXPECT_FALSE(world.front.of(1)->answer.may_have_run);
            EXPECT_EQ(world.in_use(), 0);
            EXPECT_EQ(world.admission.figures()[0].lapsed, 1u);
        }
    }
}

// One of two permits has been revoked: the other one stays committed, but a concurrency permit is freed.
TEST(BudgetAdmission, ConcurrencyPermitIsFreedIfAnotherPermitWasRevoked) {
    for (const bool concurrency_revoked : {false, true}) {
        World world({budget_of("a", Counts::concurrency, places(2)),
                     budget_of("b", Counts::attempts, per_second(9, 9))});
        world.submit(1);
        const auto first = world.last_attempt();
        world.back->begin(first);
        world.submit(2);
        const auto key = world.last_attempt();
        world.lease(concurrency_revoked ? std::vector{places(1), per_second(9, 9)}
                                        : std::vector{places(2), per_second(9, 0)},
                    std::chrono::hours(1));
        EXPECT_FALSE(world.core->on_attempt_sending(key));
        world.back->end(key, Outcome::inconclusive);
        world.expect_final(2, Verdict::refused, Cause::over_budget);
        EXPECT_EQ(world.in_use(0), 1) << "the first call's";
        world.back->answer(first);
        EXPECT_EQ(world.in_use(0), 0);
    }
}

// An attempt that never began leaves its permit to the next attempt.
TEST(BudgetAdmission, FailedConnectLeavesThePermitToTheRetry) {
    World world({budget_of("a", Counts::requests, per_second(0, 1)),
                 budget_of("b", Counts::attempts, per_second(0, 1))});
    world.lease({per_second(1000, 1), per_second(1000, 1)}, std::chrono::hours(1));
    world.pass(ms(10));
    world.lease({per_second(0, 1), per_second(0, 1)}, std::chrono::hours(1));
    world.submit(1);
    world.back->end(world.last_attempt(), Outcome::connect_failed);
    world.pass(ms(20));
    ASSERT_EQ(world.back->sent.size(), 2u);
    world.back->answer(world.last_attempt());
    world.expect_final(1, Verdict::served, Cause::none);
    world.submit(2);
    world.expect_final(2, Verdict::refused, Cause::over_budget);
}

TEST(BudgetAdmission, FrontThatDeclinesToSend) {
    struct DecliningFront final : core::Downstream {
        bool on_sending(std::uint64_t) override { return false; }
        void on_started(std::uint64_t, std::unique_ptr<core::Payload>) override {}
        void on_final(std::uint64_t, core::FinalAnswer) override {}
    } declining;
    World world({budget_of("a", Counts::concurrency, places(1))});
    core::CallId id = 0;
    core::Call c = world.call(world.pool, safe);
    c.payload = std::make_shared<core::test::Ticket>(1);
    ASSERT_EQ(world.core->accept_call(std::move(c), declining, 1, &id), AcceptResult::accepted);
    EXPECT_EQ(world.in_use(), 1);
    EXPECT_FALSE(world.core->on_attempt_sending(world.last_attempt()));
    EXPECT_EQ(world.in_use(), 0);
    world.core->abandon_call(id);
    world.back->end(world.last_attempt(), Outcome::inconclusive);
}

// ------------------------------------------------------------------------------------------- later attempts

// No permit is left for a later attempt. The call's end depends on the first attempt: a call that may have
// executed does not end as refused.
TEST(BudgetAdmission, RefusedRetry) {
    struct Case {
        int class_index;
        Outcome first;
        Verdict verdict;
        Cause cause;
    };
    const Case cases[] = {
        {unsafe, Outcome::full, Verdict::refused, Cause::over_budget},
        {safe, Outcome::full, Verdict::refused, Cause::over_budget},
        {safe, Outcome::error, Verdict::failed, Cause::error},
        {safe, Outcome::reset, Verdict::failed, Cause::broken},
        {unsafe, Outcome::reset, Verdict::failed, Cause::broken},
    };
    for (const Case& each : cases) {
        SCOPED_TRACE(static_cast<int>(each.first) * 10 + each.class_index);
        World world({budget_of("a", Counts::retries, per_second(1, 1))});
        world.holder.allowance(0).end_lease(world.now());
        world.submit(1, each.class_index);
        world.back->answer(world.last_attempt(), each.first);
        for (int i = 0; i < 50 && world.front.finals(1) == 0; ++i) world.pass(ms(10));
        EXPECT_EQ(world.back->sent.size(), 1u);
        EXPECT_EQ(world.front.finals(1), 1u);
        EXPECT_EQ(world.front.of(1)->answer.verdict, each.verdict);
        EXPECT_EQ(world.front.of(1)->answer.may_have_run, each.verdict == Verdict::failed);
        // The module itself ends an unsafe call that may have executed.
        if (each.class_index == safe) {
            EXPECT_STREQ(core::text_of(world.front.of(1)->answer.cause), core::text_of(each.cause));
            EXPECT_GT(world.admission.figures()[0].refused, 0u);
        }
        if (each.verdict == Verdict::refused) {
            EXPECT_GT(world.front.of(1)->answer.retry_after, Micros{0});
        }
    }
}

// Guards against a hedged attempt without a permit that ends its call although the first attempt would be
// answered.
TEST(BudgetAdmission, RefusedHedgeLeavesTheFirstAttemptRunning) {
    for (const bool revoked : {false, true}) {
        World world({budget_of("a", Counts::retries, per_second(1000, 100))});
        const auto first = world.start_late_call(1);
        world.back->begin(first);
        if (!revoked) world.holder.allowance(0).end_lease(world.now());
        const auto hedge = world.wait_for_hedge(first);
        EXPECT_EQ(hedge.has_value(), revoked);
        if (hedge) {
            world.holder.allowance(0).end_lease(world.now());
            EXPECT_FALSE(world.core->on_attempt_sending(*hedge));
            world.back->end(*hedge, Outcome::inconclusive);
        } else {
            EXPECT_GT(world.admission.figures()[0].refused, 0u) << "a hedge was wanted";
        }
        ASSERT_EQ(world.front.finals(1), 0u);
        world.back->answer(first);
        world.expect_final(1, Verdict::served, Cause::none);
    }
}

// Guards against two attempts that wait for connections and share one permit.
TEST(BudgetAdmission, HedgeNeedsItsOwnPermit) {
    World world({budget_of("a", Counts::attempts, per_second(100'000, 10'000))});
    const auto first = world.start_late_call(1);
    const auto hedge = world.wait_for_hedge(first);
    ASSERT_TRUE(hedge);
    EXPECT_EQ(world.in_use(), 2);
    EXPECT_TRUE(world.core->on_attempt_sending(*hedge)) << "whichever attempt begins first";
    EXPECT_TRUE(world.core->on_attempt_sending(first));
    world.back->answer(*hedge);
    world.expect_final(1, Verdict::served, Cause::none);
}

// --------------------------------------------------------------------------------------------- concurrency

// A concurrency permit is freed when its attempt ends, unless the upstream may still be working on it.
TEST(BudgetAdmission, UnknownEndKeepsTheConcurrencyPermit) {
    struct Case {
        const char* what;
        std::function<void(World&, core::AttemptKey)> end;
        bool kept;
    };
    const Case cases[] = {
        {"answered", [](World& w, auto key) { w.back->answer(key); }, false},
        {"an error", [](World& w, auto key) { w.back->answer(key, Outcome::error); }, false},
        {"rejected", [](World& w, auto key) { w.back->answer(key, Outcome::full); }, false},
        {"connection reset", [](World& w, auto key) { w.back->answer(key, Outcome::reset); }, true},
        {"timed out", [](World& w, auto key) { w.back->begin(key), w.pass(std::chrono::seconds(2)); }, true},
        {"client left before the first byte", [](World& w, auto) { w.core->abandon_call(w.last_id); }, false},
        {"client left with a part sent",
         [](World& w, auto key) { w.back->begin(key), w.core->abandon_call(w.last_id); }, false},
        {"client left with all sent",
         [](World& w, auto key) {
             w.back->begin(key), w.back->whole.insert(key), w.core->abandon_call(w.last_id);
         },
         true},
    };
    for (const Case& each : cases) {
        Settings one_attempt = platform_settings();
        one_attempt.max_attempts = 1;
        World world({budget_of("a", Counts::concurrency, places(1))}, one_attempt);
        world.submit(1, unsafe);
        const Time began = world.now();
        EXPECT_EQ(world.in_use(), 1) << each.what;
        each.end(world, world.last_attempt());
        EXPECT_EQ(world.in_use(), each.kept ? 1 : 0) << each.what;
        const auto& terms = world.holder.terms();
        const Time latest_end =
            began + lengthened_by_drift(terms.max_attempt_duration, terms.max_clock_drift);
        EXPECT_EQ(world.holder.allowance(0).in_use(latest_end - Micros(1)), each.kept ? 1 : 0) << each.what;
        EXPECT_EQ(world.holder.allowance(0).in_use(latest_end), 0) << each.what;
    }
}

// The authority counts a permit for the longest attempt after the request that reported it last. An attempt whose
// answer had begun went on for longer when no request reached the authority.
TEST(PermitLimit, AnAttemptMayContinueOnlyWhileItsPermitIsReported) {
    World world({budget_of("a", Counts::concurrency, places(1))});
    const Micros longest = world.holder.terms().max_attempt_duration;
    world.Fleet::clock.ahead = std::chrono::hours(10);
    world.lease();
    world.submit(1, unsafe);
    const auto key = world.last_attempt();
    world.back->begin(key);
    world.back->start(key);
    const auto expired_after = [&](Micros span) {
        world.pass(span - Micros(1));
        EXPECT_TRUE(world.back->expired.empty());
        world.pass(Micros(1));
        return !world.back->expired.empty();
    };
    EXPECT_FALSE(expired_after(longest / 2));
    world.lease();
    EXPECT_FALSE(expired_after(longest / 2));
    // A request that is not granted extends nothing.
    (void)world.holder.request(world.Fleet::clock.now());
    EXPECT_TRUE(expired_after(longest / 2));
    EXPECT_EQ(world.back->expired, std::vector<core::AttemptKey>{key});
    world.expect_final(1, Verdict::failed, Cause::answer_truncated);
}

// --------------------------------------------------------------------------------------------- random events

// Under random events of calls, attempts and leases, the permits in use stay within each budget, and none
// remains in use at the end.
TEST(BudgetAdmission, NoPermitLeaks) {
    const int seeds = iterations(400, 40);
    for (int seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937 random(static_cast<std::uint32_t>(seed));
        const auto below = [&](std::uint32_t n) { return static_cast<std::uint32_t>(random()) % n; };
        World world({budget_of("requests", Counts::requests, per_second(50, 5)),
                     budget_of("attempts", Counts::attempts, per_second(60, 6)),
                     budget_of("retries", Counts::retries, per_second(5, 2)),
                     budget_of("places", Counts::concurrency, places(4))});
        std::vector<core::CallId> ids;
        std::uint64_t token = 0;
        for (int step = 0; step < 400; ++step) {
            const auto random_attempt = [&]() -> std::optional<core::AttemptKey> {
                if (world.back->out.empty()) return std::nullopt;
                auto at = world.back->out.begin();
                std::advance(at, below(static_cast<std::uint32_t>(world.back->out.size())));
                return *at;
            };
            switch (below(9)) {
                case 0:
                case 1:
                    world.submit(++token, static_cast<int>(below(3)), static_cast<int>(below(2)));
                    ids.push_back(world.last_id);
                    break;
                case 2:
                case 3:
                    if (const auto key = random_attempt()) {
                        if (!world.back->sending.contains(*key) && world.core->on_attempt_sending(*key)) {
                            world.back->sending.insert(*key);
                            if (below(4)) world.back->whole.insert(*key);
                        } else if (!world.back->sending.contains(*key)) {
                            world.back->end(*key, Outcome::inconclusive);
                        }
                    }
                    break;
                case 4:
                case 5:
                    if (const auto key = random_attempt()) {
                        static constexpr std::array begun{Outcome::ok, Outcome::ok, Outcome::error,
                                                          Outcome::reset, Outcome::full};
                        const bool sending = world.back->sending.contains(*key);
                        world.back->end(*key, sending ? begun[below(begun.size())] : Outcome::connect_failed);
                    }
                    break;
                case 6:
                    if (!ids.empty())
                        world.core->abandon_call(ids[below(static_cast<std::uint32_t>(ids.size()))]);
                    break;
                case 7:
                    if (below(4) == 0)
                        world.lease({per_second(below(51), below(6)), per_second(below(61), below(7)),
                                     per_second(below(6), below(3)), places(below(5))},
                                    ms(100 + below(2000)));
                    break;
                default:
                    if (below(10) == 0) {
                        world.Stage::clock.at += ms(below(3000));  // suspended
                    } else {
                        world.pass(ms(below(50)));
                    }
            }
            for (std::size_t i = 0; i < 4; ++i) {
                ASSERT_GE(world.in_use(i), 0);
                ASSERT_LE(world.in_use(i), world.holder.terms().budgets[i].whole.size);
            }
        }
        world.pass(std::chrono::seconds(5));
        while (!world.back->out.empty()) world.back->end(*world.back->out.begin(), Outcome::inconclusive);
        world.pass(std::chrono::seconds(5));
        EXPECT_EQ(world.core->figures().open, 0u);
        for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(world.in_use(i), 0) << i;
    }
}

}  // namespace
}  // namespace flaxdoor::budget::test
