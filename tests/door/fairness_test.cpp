// Fairness by an oracle of its own: it sees who had work throughout, and what service each got, and computes
// the bound of SFQ(D) from the run's own costs.
#include <gtest/gtest.h>

#include "world.h"

namespace flaxdoor::door::testing {
namespace {

struct Shape {
    const char* name;
    std::vector<double> weights;  // the last: of all that the terms don't name
    std::vector<Load> loads;
};

// 8 servers: 800 calls of 10 ms a second.
const std::vector<Shape>& shapes() {
    static const std::vector<Shape> all{
        {"two alike", {1, 1, 1}, {{0, 800, 50}, {1, 800, 50}}},
        {"one to four", {1, 4, 1}, {{0, 900, 50}, {1, 900, 50}}},
        {"small and large calls", {1, 1, 1}, {{0, 4000, 20, 2ms, false, 1}, {1, 400, 20, 40ms, false, 1}}},
        {"drawn costs told", {1, 2, 1}, {{0, 900, 30, 10ms, true, 1}, {1, 900, 30, 10ms, true, 1}}},
        {"drawn costs not told", {1, 1, 1}, {{0, 900, 30, 10ms, true}, {1, 900, 30}}},
        {"told a third", {1, 1, 1}, {{0, 900, 30, 10ms, false, 0.33}, {1, 900, 30, 10ms, false, 1}}},
        {"told a thousandth", {1, 1, 1}, {{0, 900, 30, 10ms, false, 0.001}, {1, 900, 30, 10ms, false, 1}}},
        {"told three times", {2, 1, 1}, {{0, 900, 30, 10ms, false, 3}, {1, 900, 30, 10ms, false, 1}}},
        {"a thousand beside one", {1, 1, 1}, {{0, 3000, 1000}, {1, 800, 1}}},
        {"one under 100,000 names", {1, 1, 1}, {{0, 3000, 100'000}, {1, 800, 20}}},
        {"ten times its share", {1, 1, 1, 1}, {{0, 4000, 100}, {1, 500, 10}, {2, 500, 10}}},
        {"one that nobody knows", {3, 1}, {{0, 900, 30}, {7, 5000, 5000}}},
        {"on and off beside steady",
         {1, 1, 1, 1},
         {{0, 900, 30}, {1, 900, 30}, {2, 3000, 10, 10ms, false, 0, 2s, 2s, 1s}}},
        {"twenty tenants", std::vector<double>(21, 1),
         [] {
             std::vector<Load> loads;
             for (std::size_t i = 0; i < 20; ++i) loads.push_back({i, i == 0 ? 1000.0 : 80.0, 5});
             return loads;
         }()},
    };
    return all;
}

Terms terms_of(const Shape& shape) {
    Terms terms;
    for (std::size_t i = 0; i + 1 < shape.weights.size(); ++i)
        terms.tenants.push_back({"t" + std::to_string(i), shape.weights[i], {}});
    terms.others.weight = shape.weights.back();
    terms.classes = {{"only", 1, 10ms, {}}};
    terms.most_entries = 4000;
    return terms;
}

struct Judged {
    double over_bound = 0;   // largest difference over its bound
    double off_weights = 0;  // largest deviation from the weights, over spans with 200 calls of each
    std::size_t spans = 0, wasted = 0, late = 0;
};

template <class Front>
Judged judge(const Shape& shape, std::uint64_t seed) {
    World<Front> world(terms_of(shape), 8, seed);
    const std::size_t n = shape.weights.size();
    struct Pair {
        bool both = false;
        double at_begin[2]{}, least[2]{}, most[2]{};  // of the difference, by service handed over and ended
    };
    std::vector<std::vector<Pair>> pairs(n, std::vector<Pair>(n));
    std::vector<std::vector<double>> widest(n, std::vector<double>(n));
    struct Span {
        std::vector<std::size_t> who;
        std::vector<double> handed;
        std::vector<std::size_t> taken;
    } span;
    Judged judged;
    world.after = [&] {
        std::vector<std::size_t> who;
        for (std::size_t i = 0; i < n; ++i) {
            if (world.tenants_[i].waiting > 0) who.push_back(i);
        }
        for (std::size_t i = 0; i < std::min<std::size_t>(n, 6); ++i) {
            for (std::size_t j = 0; j < i; ++j) {
                const auto &a = world.tenants_[i], &b = world.tenants_[j];
                Pair& pair = pairs[i][j];
                const bool both = a.waiting > 0 && b.waiting > 0;
                const double now[2] = {a.handed / shape.weights[i] - b.handed / shape.weights[j],
                                       a.ended / shape.weights[i] - b.ended / shape.weights[j]};
                for (int k = 0; both && k < 2; ++k) {
                    if (!pair.both) pair.least[k] = pair.most[k] = now[k];
                    pair.least[k] = std::min(pair.least[k], now[k]);
                    pair.most[k] = std::max(pair.most[k], now[k]);
                    widest[i][j] = std::max(widest[i][j], pair.most[k] - pair.least[k]);
                }
                pair.both = both;
            }
        }
        const auto open_span = [&] {
            span = {who, {}, {}};
            for (const auto& each : world.tenants_) {
                span.handed.push_back(each.handed);
                span.taken.push_back(each.taken);
            }
        };
        if (who != span.who) return open_span();
        if (who.size() < 2) return;
        double all = 0, weights = 0;
        for (const std::size_t i : who) {
            if (world.tenants_[i].taken - span.taken[i] < 200) return;
            all += world.tenants_[i].handed - span.handed[i];
            weights += shape.weights[i];
        }
        for (const std::size_t i : who) {
            const double got = (world.tenants_[i].handed - span.handed[i]) / all * weights / shape.weights[i];
            judged.off_weights = std::max(judged.off_weights, std::abs(got - 1));
        }
        ++judged.spans;
        open_span();
    };
    world.run(shape.loads, shape.weights.size() > 10 ? 12s : 6s);
    const auto in_hand = static_cast<double>(world.most_in_flight);
    for (std::size_t i = 0; i < n; ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            const auto &a = world.tenants_[i], &b = world.tenants_[j];
            const double bound =
                (in_hand + 1) * (a.largest / shape.weights[i] + b.largest / shape.weights[j]) +
                2 * (in_hand + 1) * (a.error / shape.weights[i] + b.error / shape.weights[j]);
            if (bound > 0) judged.over_bound = std::max(judged.over_bound, widest[i][j] / bound);
        }
    }
    judged.wasted = world.wasted;
    judged.late = world.late_refusals;
    return judged;
}

class Fairness : public ::testing::TestWithParam<std::size_t> {};

TEST_P(Fairness, WithinTheBoundAndTheWeights) {
    const Shape& shape = shapes()[GetParam()];
    for (const std::uint64_t seed : {1u, 2u}) {
        SCOPED_TRACE(std::string(shape.name) + ", seed " + std::to_string(seed));
        const Judged judged = judge<Door>(shape, seed);
        RecordProperty("bound", std::to_string(judged.over_bound));
        EXPECT_LE(judged.over_bound, 1);
        EXPECT_LE(judged.off_weights, 0.05);
        EXPECT_GE(judged.spans, 2u);
        EXPECT_EQ(judged.wasted, 0u) << "something waited that the module would have sent";
        EXPECT_EQ(judged.late, 0u) << "refused later than it was known";
    }
}

INSTANTIATE_TEST_SUITE_P(Shapes, Fairness, ::testing::Range<std::size_t>(0, shapes().size()));

// The judge can fail: the same loads before a queue that is first in, first out.
TEST(Fairness, FirstInFirstOutFails) {
    for (const std::size_t which : {1u, 7u, 8u, 9u, 10u}) {
        const Judged judged = judge<Fifo>(shapes()[which], 1);
        EXPECT_GT(judged.off_weights, 0.05) << shapes()[which].name;
        EXPECT_GT(judged.over_bound, 1) << shapes()[which].name;
    }
}

// Service of the others beside one at ten times its share, against the run without it.
TEST(Fairness, OneAtTenTimesItsShareTakesNothingOfTheOthers) {
    const Shape shape{"", {1, 1, 1, 1, 1}, {}};
    const std::vector<Load> others{{1, 150, 10}, {2, 150, 10}, {3, 150, 10}};
    std::vector<Load> all = others;
    all.push_back({0, 2000, 1000});
    World<Door> without(terms_of(shape), 8, 3), beside(terms_of(shape), 8, 3);
    without.run(others, 10s);
    beside.run(all, 10s);
    for (std::size_t i = 1; i < 4; ++i) {
        const auto rate = [i](const auto& world) {
            return static_cast<double>(world.tenants_[i].served) /
                   static_cast<double>(world.tenants_[i].calls);
        };
        EXPECT_NEAR(rate(beside), rate(without), 0.03);
    }
    World<Door> idle(terms_of(shape), 8, 3);
    idle.run({{0, 300, 100}, {1, 200, 10}}, 10s);  // with capacity free
    EXPECT_LT(idle.most_waiting, 40u);
    EXPECT_EQ(idle.wasted, 0u);
}

// A fair client beside a hundred thousand that send once each, and beside one that sends as much under one name:
// its turn comes within a round of the flows, and of what its own flow holds by chance.
TEST(Fairness, AFairClientAmongAHundredThousandIsNotStarved) {
    for (const std::size_t names : {std::size_t{1}, std::size_t{100'000}}) {
        Shape shape{"", {1, 1}, {}};
        World<Door> world(terms_of(shape), 8, 5);
        world.run({{0, 3000, names, 10ms, false, 0, 20s}, {0, 5, 1, 10ms, false, 0, 20s, 1h, 0s, 0, 2s}},
                  20s);
        std::size_t fair = 0;
        for (const auto& [ticket, call] : world.open_) fair += call.load == 1 ? 1u : 0u;
        EXPECT_LE(fair, names == 1 ? 2u : 5u * 9u) << names << " names: calls of the fair one still open";
    }
}

}  // namespace
}  // namespace flaxdoor::door::testing
