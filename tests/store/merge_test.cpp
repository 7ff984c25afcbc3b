// Guards against levels that grow without bound when merging falls behind sustained writes.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "sim_files.h"
#include "workload.h"

namespace flaxdoor::store::test {
namespace {

// Writes run as fast as they are accepted: one background step per batch, and more only while the engine
// stalls writes.
TEST(StoreMerge, NoLevelGrowsWithoutBoundUnderSustainedWrites) {
    SimFiles files;
    EngineOptions options = small_options();
    options.merge_at = 4;
    options.stall_at = 12;
    Random random(3);
    auto opened = Engine::open(files, options, [&] { return random(); });
    ASSERT_TRUE(opened.result) << opened.result.why;
    SpaceId space = 0;
    ASSERT_TRUE(opened.engine->space("a", SpaceKind::keys, true, space));
    std::uint64_t max_level_1_bytes = 0;
    for (int i = 0; i < 6000; ++i) {
        while (opened.engine->crowded()) {
            ASSERT_TRUE(opened.engine->step());
        }
        if (opened.engine->has_work()) {
            ASSERT_TRUE(opened.engine->step());
        }
        Batch batch;
        batch.put(space, std::to_string(random()), std::string(20, 'x'));
        ASSERT_TRUE(write(*opened.engine, batch, false).result);
        max_level_1_bytes = std::max(max_level_1_bytes, opened.engine->figures().level_bytes[1]);
    }
    const auto figures = opened.engine->figures();
    EXPECT_GT(figures.level_bytes[2], options.level_bytes);  // enough data to fill level 2
    EXPECT_LT(max_level_1_bytes, 8 * options.level_bytes);
}

}  // namespace
}  // namespace flaxdoor::store::test
