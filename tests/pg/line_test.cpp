// The line before the module.
#include "pg/line.h"

#include <gtest/gtest.h>

namespace flaxdoor::pg {
namespace {

using namespace std::chrono_literals;
constexpr Time start = 1000s;

TEST(Line, UntilAFirstOneIsServedOthersOfItsClassWait) {
    Line line(10, 5s);
    EXPECT_EQ(line.arrive(1, 0, start), Line::Arrival::offer);
    line.placed();
    EXPECT_EQ(line.arrive(2, 0, start), Line::Arrival::waits);
    EXPECT_FALSE(line.next());
    line.ended(0);
    EXPECT_EQ(line.next(), 2u);
    line.placed();
    EXPECT_EQ(line.arrive(3, 0, start), Line::Arrival::offer);
    line.placed();
    EXPECT_EQ(line.arrive(4, 1, start), Line::Arrival::waits) << "the other class has none served yet";
}

TEST(Line, WhatHasNoPlaceStandsAtTheHeadAgain) {
    Line line(10, 5s);
    (void)line.arrive(1, 0, start);
    line.placed();
    line.ended(0);
    ASSERT_EQ(line.arrive(1, 0, start), Line::Arrival::offer);
    line.placed();
    ASSERT_EQ(line.arrive(2, 0, start), Line::Arrival::offer);
    ASSERT_TRUE(line.takes_back());
    line.back(2, start + 5s);
    EXPECT_EQ(line.arrive(3, 0, start), Line::Arrival::waits);
    EXPECT_FALSE(line.next()) << "nothing has ended";
    line.ended(0);
    EXPECT_EQ(line.next(), 2u) << "first come, first served";
    EXPECT_FALSE(line.takes_back()) << "the only one: the module has its own way with it";
}

TEST(Line, ItIsBoundedInNumberAndTime) {
    Line line(2, 5s);
    (void)line.arrive(1, 0, start);
    EXPECT_EQ(line.arrive(2, 0, start), Line::Arrival::waits);
    EXPECT_EQ(line.arrive(3, 0, start + 1s), Line::Arrival::waits);
    EXPECT_EQ(line.arrive(4, 0, start + 1s), Line::Arrival::full);
    EXPECT_EQ(line.on_time(start + 4s).size(), 0u);
    EXPECT_EQ(line.on_time(start + 5s), std::vector<Line::Token>{2});
    EXPECT_TRUE(line.leave(3));
    EXPECT_FALSE(line.leave(3));
    EXPECT_EQ(line.waiting(), 0u);
}

// Whatever comes, each token is offered, refused or gone once, and nobody is forgotten.
TEST(Line, NobodyIsForgotten) {
    std::uint64_t state = 7;
    const auto random = [&](std::uint64_t below) {
        state = state * 6364136223846793005ull + 1442695040888963407ull;
        return (state >> 33) % below;
    };
    Line line(50, 1s);
    std::vector<Line::Token> inside;
    std::size_t waiting = 0;
    Time now = start;
    const auto offered = [&](Line::Token token) {
        switch (random(4)) {
            case 0:
                if (line.takes_back()) {
                    line.back(token, now + 500ms);
                    ++waiting;
                    return;
                }
                [[fallthrough]];
            case 1:
            case 2:
                line.placed();
                inside.push_back(token);
                return;
            default: line.given_up(); return;
        }
    };
    for (Line::Token token = 1; token < 100'000; ++token) {
        now += Micros(random(20'000));
        switch (line.arrive(token, random(2), now)) {
            case Line::Arrival::offer: offered(token); break;
            case Line::Arrival::waits: ++waiting; break;
            case Line::Arrival::full: break;
        }
        if (!inside.empty() && random(2)) {
            inside.pop_back();
            line.ended(random(2));
        }
        waiting -= line.on_time(now).size();
        while (const auto next = line.next()) {
            --waiting;
            offered(*next);
        }
        ASSERT_EQ(line.waiting(), waiting);
        ASSERT_EQ(line.inside(), inside.size());
        ASSERT_TRUE(line.waiting() == 0 || !inside.empty()) << "somebody waits for nobody";
    }
}

}  // namespace
}  // namespace flaxdoor::pg
