// Tests the timer queue against a plain list that is searched for its minimum each time.
#include "core/timers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace flaxdoor::core {
namespace {

// Each timer comes due once and not before its time; timers with equal times come due in the order in which
// they were set. Removed timers never come due. A handle remains valid while other timers are removed.
TEST(Timers, RandomOperationsAgreeWithAPlainList) {
    struct Item {
        Time at;
        int order;
    };
    for (std::uint32_t seed = 0; seed < 50; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937 random(seed);
        Timers<int> timers;
        std::vector<std::pair<Item, Timers<int>::Handle>> model;
        const auto earliest = [&] {
            return std::min_element(model.begin(), model.end(), [](auto& a, auto& b) {
                return std::pair(a.first.at, a.first.order) < std::pair(b.first.at, b.first.order);
            });
        };
        int order = 0;
        Time now{};
        for (int step = 0; step < 500; ++step) {
            const auto operation = random() % 8;
            if (operation < 4) {
                const Time at = now + Time(random() % 50);
                model.push_back({{at, order}, timers.set(at, order)});
                ++order;
            } else if (operation == 4 && !model.empty()) {
                const auto chosen = model.begin() + static_cast<long>(random() % model.size());
                timers.remove(chosen->second);
                model.erase(chosen);
            } else if (operation == 5) {
                const int remainder = static_cast<int>(random() % 7);
                timers.remove_if([&](int item) { return item % 7 == remainder; });
                std::erase_if(model, [&](const auto& timer) { return timer.first.order % 7 == remainder; });
            } else {
                now += Time(random() % 20);
                while (const auto due = timers.take(now)) {
                    const auto first = earliest();
                    ASSERT_NE(first, model.end());
                    EXPECT_EQ(*due, first->first.order);
                    EXPECT_LE(first->first.at, now);
                    model.erase(first);
                }
                for (const auto& timer : model) EXPECT_GT(timer.first.at, now);
            }
            ASSERT_EQ(timers.size(), model.size());
            ASSERT_EQ(timers.next(), model.empty() ? std::nullopt : std::optional(earliest()->first.at));
        }
    }
}

}  // namespace
}  // namespace flaxdoor::core
