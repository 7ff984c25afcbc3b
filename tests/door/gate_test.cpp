// Tests of the admission queue between a downstream and a real core in virtual time: each call gets one
// answer before its deadline, none is dispatched twice, a call whose client leaves is removed, and a drain
// answers all.
#include "door/gate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "core/fakes.h"
#include "engine/admission_queue_options.h"
#include "settings/product.h"
#include "settings/reader.h"

namespace flaxdoor::engine::test {
namespace {

using namespace flaxdoor::core::test;
using core::AcceptResult;

settings::Values values(const std::string& text) {
    return std::get<settings::Values>(settings::read_text(text, settings::product_schema()));
}

Settings platform_settings() {
    Settings s = plain_settings();
    s.tenants = {{"a", 0, 0}, {"b", 0, 0}};
    s.retry_after = true;
    s.max_retry_after = ms(500);
    return s;
}

struct GateStage : Stage {
    explicit GateStage(const std::string& file = "[door]\nmax_waiting = 50\n")
        : back(make_back()), pool(add(*back, platform_settings())) {
        fleet(pool, 4);
        gate = std::make_unique<door::QueuedCallAcceptor>(
            door::QueuedCallAcceptor::Dependencies{*core, clock, door_alarm},
            admission_queue_options(platform_settings(), values(file), [](const auto&) {}),
            door::QueuedCallAcceptor::Options{true, seconds(30), false}, 7, door::RetryTokens::Secret{});
    }
    ~GateStage() override {
        core->remove_pool(pool);
        back->gone = true;
    }
    AcceptResult submit(std::uint64_t token, int tenant = 0, Micros budget = ms(1000), int class_index = 0) {
        core::Call c = call(pool, class_index, budget);
        c.payload = std::make_shared<core::test::Ticket>(token);
        c.call_id = name_of("c", token);
        c.tenant = {core::Tenant::Kind::known, tenant};
        ids[token] = 0;
        arrived_at[token] = clock.at;
        const AcceptResult taken = gate->accept_call(std::move(c), front, token, &ids[token]);
        return taken;
    }
    // Advances the clock and serves both alarms.
    void advance(Micros span) {
        const Time until = clock.at + span;
        for (;;) {
            const Time next = std::min(alarm.due.value_or(Time::max()), door_alarm.due.value_or(Time::max()));
            if (next > until) break;
            clock.at = std::max(clock.at, next);
            if (door_alarm.due && *door_alarm.due <= next) {
                door_alarm.due.reset();
                gate->on_alarm();
            } else {
                alarm.due.reset();
                core->on_alarm();
            }
        }
        clock.at = until;
    }

    std::unique_ptr<FakeBack> back;
    core::PoolId pool;
    FakeAlarm door_alarm{trip};
    std::unique_ptr<door::QueuedCallAcceptor> gate;
    std::map<std::uint64_t, core::CallId> ids;
    std::map<std::uint64_t, Time> arrived_at;
};

// Dispatched calls that are not sent occupy the module. The time budget of a call that is queued then shrinks
// by its wait.
TEST(Gate, WaitReducesTheTimeBudget) {
    GateStage world;
    for (std::uint64_t i = 1; i <= 2; ++i) ASSERT_EQ(world.submit(i), AcceptResult::accepted);
    world.advance(ms(10));
    ASSERT_EQ(world.submit(3), AcceptResult::accepted);
    EXPECT_EQ(world.core->figures().accepted, 2u) << "the call is queued";
    EXPECT_EQ(world.gate->figures().waiting, 1u);
    world.advance(ms(200));
    world.back->answer(world.back->sent.front().key);
    EXPECT_EQ(world.core->figures().accepted, 3u);
    EXPECT_LE(world.back->sent.back().expires, world.arrived_at[3] + ms(1000));
    world.back->answer(world.back->sent.back().key);
    EXPECT_EQ(world.front.finals(3), 1u);
}

TEST(Gate, NameOfAQueuedCallIsOpen) {
    GateStage world;
    for (std::uint64_t i = 1; i <= 2; ++i) ASSERT_EQ(world.submit(i), AcceptResult::accepted);
    world.advance(ms(10));
    ASSERT_EQ(world.submit(3), AcceptResult::accepted);
    core::Call again = world.call(world.pool, 0);
    again.call_id = "c3";
    EXPECT_EQ(world.gate->accept_call(again, world.front, 99, nullptr), AcceptResult::name_in_use);
    world.gate->abandon_call(world.ids[3]);
    EXPECT_EQ(world.gate->figures().waiting, 0u);
    EXPECT_EQ(world.submit(3), AcceptResult::accepted) << "the call has left, so its name may be used again";
}

// A refusal by the queue states that nothing was executed. It must not be given for a name that is open or in
// doubt at the core.
TEST(Gate, NameThatMayHaveExecutedIsNotRefused) {
    GateStage world;
    for (std::uint64_t i = 1; i <= 2; ++i) ASSERT_EQ(world.submit(i), AcceptResult::accepted);
    world.advance(ms(10));
    EXPECT_EQ(world.submit(1), AcceptResult::name_in_use);
    world.gate->stop();
    EXPECT_EQ(world.front.finals(1), 0u);
}

// The classes are reordered while calls are queued: each call keeps its class or is never executed.
TEST(Gate, QueuedCallsKeepTheirClassAndTenantByName) {
    GateStage world;
    for (std::uint64_t i = 1; i <= 2; ++i) ASSERT_EQ(world.submit(i), AcceptResult::accepted);
    world.advance(ms(10));
    const Settings old_settings = platform_settings();
    ASSERT_GE(old_settings.classes.size(), 2u);
    for (int c = 0; c < 2; ++c)
        ASSERT_EQ(world.submit(static_cast<std::uint64_t>(3 + c), 1, ms(1000), c), AcceptResult::accepted);
    Settings next = old_settings;
    next.classes = {old_settings.classes[1]};  // the first class is removed
    next.tenants = {{"b", 0, 0}, {"a", 0, 0}};
    world.gate->change(admission_queue_options(next, values("[door]\n"), [](const auto&) {}),
                       {true, seconds(30), false});
    world.core->change_pool(world.pool, next);
    for (int i = 0; i < 4 && !world.back->out.empty(); ++i) {
        world.back->answer(*world.back->out.begin());
        world.advance(ms(1));
    }
    EXPECT_EQ(world.front.of(3)->answer.verdict, core::Verdict::refused);
    EXPECT_FALSE(world.front.of(3)->answer.may_have_run);
    EXPECT_EQ(world.front.of(4)->answer.verdict, core::Verdict::served);
    std::map<std::string, std::uint64_t> handed;
    for (const auto& each : world.gate->figures().tenants) handed[each.name] = each.handed;
    EXPECT_EQ(handed["b"], 2u);
}

// An exception of a downstream ends its own step only: all other queued calls are answered.
TEST(Gate, ThrowingFrontAffectsNoOtherCall) {
    GateStage world;
    for (std::uint64_t i = 1; i <= 2; ++i) ASSERT_EQ(world.submit(i), AcceptResult::accepted);
    world.advance(ms(10));
    for (std::uint64_t i = 3; i <= 6; ++i)
        ASSERT_EQ(world.submit(i, 0, ms(200 + 20 * static_cast<long>(i))), AcceptResult::accepted);
    ASSERT_EQ(world.gate->figures().waiting, 4u);
    world.front.when_final = [](std::uint64_t token) {
        if (token == 3) throw std::runtime_error("no memory");
    };
    world.advance(ms(600));
    for (std::uint64_t i = 3; i <= 6; ++i) EXPECT_EQ(world.front.finals(i), 1u) << i;
    EXPECT_EQ(world.gate->figures().waiting, 0u);
}

TEST(Gate, RandomEvents) {
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937 random(seed);
        GateStage world(seed % 2 ? "[door]\nmax_waiting = 20\nclient_rate = 50\nclient_burst = 20\n"
                                 : "[door]\nmax_waiting = 200\nhead_start = \"50ms\"\n"
                                   "[[door_tenant]]\nname = \"b\"\nweight = 4\nmax_open = 30\n");
        std::set<std::uint64_t> left;
        std::uint64_t token = 0;
        for (int step = 0; step < 400; ++step) {
            const auto choice = random() % 10;
            if (choice < 5) {
                ++token;
                const AcceptResult taken =
                    world.submit(token, static_cast<int>(random() % 3), ms(50 + random() % 900),
                                 static_cast<int>(random() % 3));
                ASSERT_EQ(taken, AcceptResult::accepted);
            } else if (choice < 8 && !world.back->out.empty()) {
                auto at = world.back->out.begin();
                std::advance(at, random() % world.back->out.size());
                const core::AttemptKey key = *at;
                if (random() % 3 == 0) {
                    world.back->begin(key);
                } else {
                    world.back->answer(key, random() % 5 ? Outcome::ok : Outcome::error);
                }
            } else if (choice == 8 && token > 0) {
                const std::uint64_t left_call = 1 + random() % token;
                if (world.front.finals(left_call) == 0 && left.insert(left_call).second)
                    world.gate->abandon_call(world.ids[left_call]);
            }
            if (step == 300) world.gate->begin_drain();
            world.advance(ms(random() % 12));
        }
        world.advance(ms(5));
        if (seed % 3 == 0) world.gate->stop();
        world.advance(ms(2000));
        EXPECT_EQ(world.gate->figures().waiting, 0u);
        EXPECT_EQ(world.gate->figures().in_flight, 0u);
        for (std::uint64_t i = 1; i <= token; ++i) {
            ASSERT_EQ(world.front.finals(i), left.contains(i) ? 0u : 1u) << i;
        }
        for (const auto& answered : world.front.told) {
            EXPECT_LE(answered.at, world.arrived_at[answered.token] + ms(950));
            EXPECT_LE(answered.answer.retry_after, ms(500))
                << "never beyond the longest delay that clients observe";
        }
        EXPECT_LE(world.core->figures().accepted, token) << "none was dispatched twice";
    }
}

// The same with reordered settings, throwing downstreams, stalls, names that are reused while they may be
// executing, and the end of the drain.
TEST(Gate, RandomEventsWithChanges) {
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937 random(seed);
        GateStage world;
        std::set<std::uint64_t> left, taken;
        std::uint64_t token = 0;
        world.front.when_final = [&](std::uint64_t) {
            if (random() % 20 == 0) throw std::runtime_error("no memory");
        };
        const Settings first = platform_settings();
        Settings now = first;
        for (int step = 0; step < 400; ++step) {
            const auto choice = random() % 20;
            try {
                if (choice < 10) {
                    ++token;
                    taken.insert(token);
                    core::Call c = world.call(world.pool, static_cast<int>(random() % now.classes.size()),
                                              ms(50 + static_cast<int>(random() % 900)));
                    c.payload = std::make_shared<core::test::Ticket>(token);
                    c.call_id = name_of("c", random() % 4 ? token : 1 + random() % token);
                    c.tenant = {core::Tenant::Kind::known, static_cast<int>(random() % 3)};
                    world.arrived_at[token] = world.clock.at;
                    world.ids[token] = 0;
                    if (world.gate->accept_call(std::move(c), world.front, token, &world.ids[token]) !=
                        AcceptResult::accepted)
                        taken.erase(token);
                } else if (choice < 15 && !world.back->out.empty()) {
                    auto at = world.back->out.begin();
                    std::advance(at, random() % world.back->out.size());
                    const core::AttemptKey key = *at;
                    if (random() % 3 == 0) {
                        world.back->begin(key);
                    } else {
                        world.back->answer(key, random() % 5 ? Outcome::ok : Outcome::error);
                    }
                } else if (choice == 15 && token > 0) {
                    const std::uint64_t left_call = 1 + random() % token;
                    if (taken.contains(left_call) && world.front.finals(left_call) == 0 &&
                        left.insert(left_call).second)
                        world.gate->abandon_call(world.ids[left_call]);
                } else if (choice == 16) {
                    std::shuffle(now.classes.begin(), now.classes.end(), random);
                    std::shuffle(now.tenants.begin(), now.tenants.end(), random);
                    if (random() % 3 == 0 && now.classes.size() > 1) now.classes.pop_back();
                    if (random() % 3 == 0) now = first;
                    world.gate->change(
                        admission_queue_options(
                            now, values("[door]\nmax_waiting = " + std::to_string(1 + random() % 40)),
                            [](const auto&) {}),
                        {true, seconds(30), false});
                    world.core->change_pool(world.pool, now);
                } else if (choice == 17) {
                    world.clock.at += ms(static_cast<int>(random() % 3000));
                }
            } catch (const std::runtime_error&) {
                // accept_call() passes on an exception of its own downstream
            }
            if (step == 350) world.gate->begin_drain();
            world.advance(ms(static_cast<int>(random() % 12)));
        }
        if (seed % 2) world.core->close();
        if (seed % 2) world.gate->stop();
        if (seed % 4 == 1) world.core->remove_pool(world.pool);
        world.advance(ms(2000));
        EXPECT_EQ(world.gate->figures().waiting, 0u);
        EXPECT_EQ(world.gate->figures().in_flight, 0u);
        for (std::uint64_t i = 1; i <= token; ++i)
            ASSERT_EQ(world.front.finals(i), left.contains(i) || !taken.contains(i) ? 0u : 1u) << i;
    }
}

}  // namespace
}  // namespace flaxdoor::engine::test
