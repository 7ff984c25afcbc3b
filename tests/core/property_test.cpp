// Random runs of a core. See world.h for what is random, what is checked, and against which model.
#include <gtest/gtest.h>

#include <cstdlib>

#include "world.h"

namespace flaxdoor::core::test {
namespace {

std::uint32_t seeds() {
    const char* const value = std::getenv("FLAXDOOR_SEEDS");
    return value ? static_cast<std::uint32_t>(std::strtoul(value, nullptr, 10)) : 2048;
}
constexpr int steps_per_run = 200;

std::vector<std::uint64_t> run_world(std::uint32_t seed) {
    World world(seed);
    for (int i = 0; i < steps_per_run; ++i) world.step();
    world.finish();
    return world.event_hashes();
}

TEST(CoreProperties, TheRulesHoldInRandomRuns) {
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t sends = 0;
    for (std::uint32_t seed = 0; seed < seeds(); ++seed) {
        SCOPED_TRACE(name_of("seed ", seed));
        World world(seed);
        for (int i = 0; i < steps_per_run && !testing::Test::HasFailure(); ++i) world.step();
        if (!testing::Test::HasFailure()) world.finish();
        ASSERT_FALSE(testing::Test::HasFailure());
        sends += world.sends();
        for (const auto& [outcome, count] : world.outcomes) outcomes[outcome] += count;
    }
    if (seeds() < 1000) return;
    EXPECT_GT(sends, seeds() * 10u);
    // The runs prove something only if each outcome occurs.
    for (const char* outcome :
         {"none", "no room", "turned away", "timed out", "broken", "error", "broken off", "own shortage",
          "pool removed", "started", "copies", "left", "taken 0", "taken 1", "taken 2", "taken 3", "taken 4",
          "taken 5", "taken 6"}) {
        EXPECT_GT(outcomes[outcome], 50u) << outcome;
    }
}

TEST(CoreProperties, TheSameSeedGivesTheSameActions) {
    for (std::uint32_t seed = 0; seed < 256; seed += 7) {
        SCOPED_TRACE(name_of("seed ", seed));
        ASSERT_EQ(run_world(seed), run_world(seed));
    }
}

TEST(CoreProperties, TwoCoresInOneProcessAreIndependent) {
    for (std::uint32_t seed = 0; seed < 64; seed += 2) {
        SCOPED_TRACE(name_of("seed ", seed));
        World first(seed), second(seed + 1);
        for (int i = 0; i < steps_per_run; ++i) {
            first.step();
            second.step();
        }
        second.finish();
        first.finish();
        ASSERT_EQ(first.event_hashes(), run_world(seed));
        ASSERT_EQ(second.event_hashes(), run_world(seed + 1));
    }
}

}  // namespace
}  // namespace flaxdoor::core::test
