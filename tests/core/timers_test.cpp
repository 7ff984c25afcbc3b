// Times in order, against a plain list that is sorted anew at each look.
#include "core/timers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace flaxdoor::core {
namespace {

// None is due before its time, each once, among equal times the first that was set; what is removed never is,
// and a handle holds while others go.
TEST(Timers, RandomUseAgreesWithAPlainList) {
    struct Item {
        Time at;
        int order;
    };
    for (std::uint32_t seed = 0; seed < 50; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937 random(seed);
        Timers<int> timers;
        std::vector<std::pair<Item, Timers<int>::Handle>> model;
        const auto soonest = [&] {
            return std::min_element(model.begin(), model.end(), [](auto& a, auto& b) {
                return std::pair(a.first.at, a.first.order) < std::pair(b.first.at, b.first.order);
            });
        };
        int order = 0;
        Time now{};
        for (int step = 0; step < 500; ++step) {
            const auto pick = random() % 8;
            if (pick < 4) {
                const Time at = now + Time(random() % 50);
                model.push_back({{at, order}, timers.set(at, order)});
                ++order;
            } else if (pick == 4 && !model.empty()) {
                const auto which = model.begin() + static_cast<long>(random() % model.size());
                timers.remove(which->second);
                model.erase(which);
            } else if (pick == 5) {
                const int rest = static_cast<int>(random() % 7);
                timers.remove_if([&](int i) { return i % 7 == rest; });
                std::erase_if(model, [&](const auto& m) { return m.first.order % 7 == rest; });
            } else {
                now += Time(random() % 20);
                while (const auto due = timers.take(now)) {
                    const auto first = soonest();
                    ASSERT_NE(first, model.end());
                    EXPECT_EQ(*due, first->first.order);
                    EXPECT_LE(first->first.at, now);
                    model.erase(first);
                }
                for (const auto& m : model) EXPECT_GT(m.first.at, now);
            }
            ASSERT_EQ(timers.size(), model.size());
            ASSERT_EQ(timers.next(), model.empty() ? std::nullopt : std::optional(soonest()->first.at));
        }
    }
}

}  // namespace
}  // namespace flaxdoor::core
