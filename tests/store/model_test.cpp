// Compares an engine with plain maps under random operations, reopenings and snapshots.
#include "model.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

#include "sim_files.h"
#include "workload.h"

namespace flaxdoor::store::test {
namespace {

void run_random_operations(std::uint64_t seed, int steps) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Random random(seed);
    SimFiles files;
    EngineOptions options = small_options();
    options.memory_table = 500 + random() % 4000;
    options.run_bytes = 300 + random() % 2000;
    options.cache = random() % 20000;
    Model model;
    std::vector<std::pair<std::uint64_t, std::string>> snapshots;
    auto opened = Engine::open(files, options, counting(seed));
    ASSERT_TRUE(opened.result) << opened.result.why;
    make_spaces(*opened.engine, &model);
    WorkloadMaker maker(seed);
    for (int step = 0; step < steps; ++step) {
        Engine& engine = *opened.engine;
        switch (random() % 16) {
            case 0: {
                // Sequences continue after a reopening, snapshots do not.
                snapshots.clear();
                opened.engine.reset();
                opened = Engine::open(files, options, counting(seed + static_cast<std::uint64_t>(step) + 1));
                ASSERT_TRUE(opened.result) << opened.result.why;
                EXPECT_FALSE(opened.opening.made);
                EXPECT_EQ(opened.opening.dropped, 0U);
                ASSERT_EQ(text_of(*opened.engine, names()), model.text()) << "after reopening, step " << step;
                break;
            }
            case 1:
                if (snapshots.size() < 3) snapshots.emplace_back(engine.take_snapshot(), model.text());
                break;
            case 2:
                if (snapshots.empty()) break;
                engine.release_snapshot(snapshots.front().first);
                snapshots.erase(snapshots.begin());
                break;
            case 3: engine.compact_all(); [[fallthrough]];
            case 4:
            case 5:
            case 6:
            case 7: {
                for (int n = static_cast<int>(random() % 20); n > 0 && engine.has_work(); --n) {
                    const Result result = engine.step();
                    ASSERT_TRUE(result) << result.why;
                }
                break;
            }
            case 8: {
                const auto result = engine.verify([](const std::string&) {});
                ASSERT_TRUE(result) << result.why;
                break;
            }
            default: {
                std::vector<Changes> group;
                for (std::size_t n = 1 + random() % 3; n > 0; --n) group.push_back(maker.next());
                const auto written = write_group(engine, group, random() % 2 == 0);
                for (std::size_t i = 0; i < group.size(); ++i) {
                    if (written[i].result.status == Status::retry) continue;  // the memory tables are full
                    ASSERT_TRUE(written[i].result) << written[i].result.why;
                    model.apply(group[i]);
                }
            }
        }
        if (random() % 4 == 0) {
            ASSERT_EQ(text_of(*opened.engine, names(), 1 + random() % 9), model.text()) << "step " << step;
        }
        for (const auto& [snapshot, text] : snapshots) {
            if (random() % 4 != 0) continue;
            ASSERT_EQ(keys_of(text_of(*opened.engine, names(), 3, snapshot)), keys_of(text))
                << "snapshot, step " << step;
        }
        // Point reads.
        for (const auto& [space, keys] : model.keys()) {
            SpaceId id = 0;
            ASSERT_TRUE(opened.engine->space(space, SpaceKind::keys, false, id));
            const std::string key = maker.key();
            std::optional<std::string> value;
            ASSERT_TRUE(opened.engine->get(id, key, value));
            const auto found = keys.find(key);
            ASSERT_EQ(value, found == keys.end() ? std::nullopt : std::optional(found->second));
        }
    }
}

TEST(StoreModel, RandomOperationsMatchModel) {
    const std::uint64_t seeds = long_form() ? 3000 : 60;
    for (std::uint64_t seed = 1; seed <= seeds && !::testing::Test::HasFatalFailure(); ++seed)
        run_random_operations(seed, 300);
}

}  // namespace
}  // namespace flaxdoor::store::test
