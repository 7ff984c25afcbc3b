// The door between a front and a real core under virtual time: each call one answer in its time, nothing
// handed over twice, who leaves is taken out, a drain answers all.
#include "door/gate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "core/fakes.h"
#include "engine/door_terms.h"
#include "settings/product.h"
#include "settings/reader.h"

namespace flaxdoor::engine::test {
namespace {

using namespace flaxdoor::core::test;
using core::Taken;

settings::Values values(const std::string& text) {
    return std::get<settings::Values>(settings::read_text(text, settings::product_schema()));
}

Settings platform() {
    Settings s = plain_settings();
    s.tenants = {{"a", 0, 0}, {"b", 0, 0}};
    s.retry_after = true;
    s.max_retry_after = ms(500);
    return s;
}

struct Behind : Stage {
    explicit Behind(const std::string& file = "[door]\nmax_waiting = 50\n")
        : back(make_back()), pool(add(*back, platform())) {
        fleet(pool, 4);
        door = std::make_unique<door::Gate>(door::Gate::World{*core, clock, door_alarm},
                                            door_terms(platform(), values(file), [](const auto&) {}),
                                            door::Gate::Options{true, seconds(30), false}, 7,
                                            door::Tokens::Secret{});
    }
    ~Behind() override {
        core->remove_pool(pool);
        back->gone = true;
    }
    Taken come(std::uint64_t token, int tenant = 0, Micros budget = ms(1000), int class_index = 0) {
        core::Call c = call(pool, class_index, budget);
        c.payload = std::make_shared<core::test::Ticket>(token);
        c.name = name_of("c", token);
        c.tenant = {core::Tenant::Kind::known, tenant};
        ids[token] = 0;
        came[token] = clock.at;
        const Taken taken = door->take(std::move(c), front, token, &ids[token]);
        return taken;
    }
    // Serves both alarms.
    void go(Micros span) {
        const Time until = clock.at + span;
        for (;;) {
            const Time next = std::min(alarm.due.value_or(Time::max()), door_alarm.due.value_or(Time::max()));
            if (next > until) break;
            clock.at = std::max(clock.at, next);
            if (door_alarm.due && *door_alarm.due <= next) {
                door_alarm.due.reset();
                door->on_alarm();
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
    std::unique_ptr<door::Gate> door;
    std::map<std::uint64_t, core::CallId> ids;
    std::map<std::uint64_t, Time> came;
};

// Calls that are handed over and not sent fill the module's hands; what then waits has lost its wait.
TEST(Gate, AWaitShrinksTheBudget) {
    Behind world;
    for (std::uint64_t i = 1; i <= 2; ++i) ASSERT_EQ(world.come(i), Taken::yes);
    world.go(ms(10));
    ASSERT_EQ(world.come(3), Taken::yes);
    EXPECT_EQ(world.core->figures().taken, 2u) << "it waits";
    EXPECT_EQ(world.door->figures().waiting, 1u);
    world.go(ms(200));
    world.back->answer(world.back->sent.front().key);
    EXPECT_EQ(world.core->figures().taken, 3u);
    EXPECT_LE(world.back->sent.back().expires, world.came[3] + ms(1000));
    world.back->answer(world.back->sent.back().key);
    EXPECT_EQ(world.front.finals(3), 1u);
}

TEST(Gate, ANameThatWaitsIsOpen) {
    Behind world;
    for (std::uint64_t i = 1; i <= 2; ++i) ASSERT_EQ(world.come(i), Taken::yes);
    world.go(ms(10));
    ASSERT_EQ(world.come(3), Taken::yes);
    core::Call again = world.call(world.pool, 0);
    again.name = "c3";
    EXPECT_EQ(world.door->take(again, world.front, 99, nullptr), Taken::name_open);
    world.door->leave(world.ids[3]);
    EXPECT_EQ(world.door->figures().waiting, 0u);
    EXPECT_EQ(world.come(3), Taken::yes) << "it has gone, and may come again";
}

// A refusal at the door says that nothing ran: not of a name that the core holds open, or has in doubt.
TEST(Gate, ANameThatMayRunIsNotRefused) {
    Behind world;
    for (std::uint64_t i = 1; i <= 2; ++i) ASSERT_EQ(world.come(i), Taken::yes);
    world.go(ms(10));
    EXPECT_EQ(world.come(1), Taken::name_open);
    world.door->stop();
    EXPECT_EQ(world.front.finals(1), 0u);
}

// The classes are listed otherwise while calls wait: each stays of its own class, or never runs.
TEST(Gate, WhatWaitsKeepsItsClassAndTenantByName) {
    Behind world;
    for (std::uint64_t i = 1; i <= 2; ++i) ASSERT_EQ(world.come(i), Taken::yes);
    world.go(ms(10));
    const Settings old = platform();
    ASSERT_GE(old.classes.size(), 2u);
    for (int c = 0; c < 2; ++c)
        ASSERT_EQ(world.come(static_cast<std::uint64_t>(3 + c), 1, ms(1000), c), Taken::yes);
    Settings next = old;
    next.classes = {old.classes[1]};  // the first has gone
    next.tenants = {{"b", 0, 0}, {"a", 0, 0}};
    world.door->change(door_terms(next, values("[door]\n"), [](const auto&) {}), {true, seconds(30), false});
    world.core->change_pool(world.pool, next);
    for (int i = 0; i < 4 && !world.back->out.empty(); ++i) {
        world.back->answer(*world.back->out.begin());
        world.go(ms(1));
    }
    EXPECT_EQ(world.front.of(3)->answer.verdict, core::Verdict::refused);
    EXPECT_FALSE(world.front.of(3)->answer.may_have_run);
    EXPECT_EQ(world.front.of(4)->answer.verdict, core::Verdict::served);
    std::map<std::string, std::uint64_t> handed;
    for (const auto& each : world.door->figures().tenants) handed[each.name] = each.handed;
    EXPECT_EQ(handed["b"], 2u);
}

// What a front throws ends its own step: whoever else waits is answered.
TEST(Gate, AFrontThatThrowsHoldsUpNobody) {
    Behind world;
    for (std::uint64_t i = 1; i <= 2; ++i) ASSERT_EQ(world.come(i), Taken::yes);
    world.go(ms(10));
    for (std::uint64_t i = 3; i <= 6; ++i)
        ASSERT_EQ(world.come(i, 0, ms(200 + 20 * static_cast<long>(i))), Taken::yes);
    ASSERT_EQ(world.door->figures().waiting, 4u);
    world.front.when_final = [](std::uint64_t token) {
        if (token == 3) throw std::runtime_error("no memory");
    };
    world.go(ms(600));
    for (std::uint64_t i = 3; i <= 6; ++i) EXPECT_EQ(world.front.finals(i), 1u) << i;
    EXPECT_EQ(world.door->figures().waiting, 0u);
}

TEST(Gate, RandomWorlds) {
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937 random(seed);
        Behind world(seed % 2 ? "[door]\nmax_waiting = 20\nclient_rate = 50\nclient_burst = 20\n"
                              : "[door]\nmax_waiting = 200\nhead_start = \"50ms\"\n"
                                "[[door_tenant]]\nname = \"b\"\nweight = 4\nmax_open = 30\n");
        std::set<std::uint64_t> left;
        std::uint64_t token = 0;
        for (int step = 0; step < 400; ++step) {
            const auto dice = random() % 10;
            if (dice < 5) {
                ++token;
                const Taken taken = world.come(token, static_cast<int>(random() % 3), ms(50 + random() % 900),
                                               static_cast<int>(random() % 3));
                ASSERT_EQ(taken, Taken::yes);
            } else if (dice < 8 && !world.back->out.empty()) {
                auto at = world.back->out.begin();
                std::advance(at, random() % world.back->out.size());
                const core::AttemptKey key = *at;
                if (random() % 3 == 0) {
                    world.back->begin(key);
                } else {
                    world.back->answer(key, random() % 5 ? Outcome::ok : Outcome::error);
                }
            } else if (dice == 8 && token > 0) {
                const std::uint64_t gone = 1 + random() % token;
                if (world.front.finals(gone) == 0 && left.insert(gone).second)
                    world.door->leave(world.ids[gone]);
            }
            if (step == 300) world.door->begin_drain();
            world.go(ms(random() % 12));
        }
        world.go(ms(5));
        if (seed % 3 == 0) world.door->stop();
        world.go(ms(2000));
        EXPECT_EQ(world.door->figures().waiting, 0u);
        EXPECT_EQ(world.door->figures().in_flight, 0u);
        for (std::uint64_t i = 1; i <= token; ++i) {
            ASSERT_EQ(world.front.finals(i), left.contains(i) ? 0u : 1u) << i;
        }
        for (const auto& told : world.front.told) {
            EXPECT_LE(told.at, world.came[told.token] + ms(950));
            EXPECT_LE(told.answer.retry_after, ms(500)) << "never beyond what clients heed";
        }
        EXPECT_LE(world.core->figures().taken, token) << "none was handed over twice";
    }
}

// The same with whatever else may come: settings listed otherwise, fronts that throw, stalls, names that come again
// while they may run, and the drain's very end.
TEST(Gate, RandomWorldsThatChange) {
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937 random(seed);
        Behind world;
        std::set<std::uint64_t> left, taken;
        std::uint64_t token = 0;
        world.front.when_final = [&](std::uint64_t) {
            if (random() % 20 == 0) throw std::runtime_error("no memory");
        };
        const Settings first = platform();
        Settings now = first;
        for (int step = 0; step < 400; ++step) {
            const auto dice = random() % 20;
            try {
                if (dice < 10) {
                    ++token;
                    taken.insert(token);
                    core::Call c = world.call(world.pool, static_cast<int>(random() % now.classes.size()),
                                              ms(50 + static_cast<int>(random() % 900)));
                    c.payload = std::make_shared<core::test::Ticket>(token);
                    c.name = name_of("c", random() % 4 ? token : 1 + random() % token);
                    c.tenant = {core::Tenant::Kind::known, static_cast<int>(random() % 3)};
                    world.came[token] = world.clock.at;
                    world.ids[token] = 0;
                    if (world.door->take(std::move(c), world.front, token, &world.ids[token]) != Taken::yes)
                        taken.erase(token);
                } else if (dice < 15 && !world.back->out.empty()) {
                    auto at = world.back->out.begin();
                    std::advance(at, random() % world.back->out.size());
                    const core::AttemptKey key = *at;
                    if (random() % 3 == 0) {
                        world.back->begin(key);
                    } else {
                        world.back->answer(key, random() % 5 ? Outcome::ok : Outcome::error);
                    }
                } else if (dice == 15 && token > 0) {
                    const std::uint64_t gone = 1 + random() % token;
                    if (taken.contains(gone) && world.front.finals(gone) == 0 && left.insert(gone).second)
                        world.door->leave(world.ids[gone]);
                } else if (dice == 16) {
                    std::shuffle(now.classes.begin(), now.classes.end(), random);
                    std::shuffle(now.tenants.begin(), now.tenants.end(), random);
                    if (random() % 3 == 0 && now.classes.size() > 1) now.classes.pop_back();
                    if (random() % 3 == 0) now = first;
                    world.door->change(
                        door_terms(now, values("[door]\nmax_waiting = " + std::to_string(1 + random() % 40)),
                                   [](const auto&) {}),
                        {true, seconds(30), false});
                    world.core->change_pool(world.pool, now);
                } else if (dice == 17) {
                    world.clock.at += ms(static_cast<int>(random() % 3000));
                }
            } catch (const std::runtime_error&) {
                // what its front threw comes back to it from take()
            }
            if (step == 350) world.door->begin_drain();
            world.go(ms(static_cast<int>(random() % 12)));
        }
        if (seed % 2) world.core->close();
        if (seed % 2) world.door->stop();
        if (seed % 4 == 1) world.core->remove_pool(world.pool);
        world.go(ms(2000));
        EXPECT_EQ(world.door->figures().waiting, 0u);
        EXPECT_EQ(world.door->figures().in_flight, 0u);
        for (std::uint64_t i = 1; i <= token; ++i)
            ASSERT_EQ(world.front.finals(i), left.contains(i) || !taken.contains(i) ? 0u : 1u) << i;
    }
}

}  // namespace
}  // namespace flaxdoor::engine::test
