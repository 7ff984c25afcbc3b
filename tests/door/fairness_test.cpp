// Tests of fairness with an independent oracle: it observes which tenants always had queued requests and the
// service that each got, and computes the bound of SFQ(D) from the costs of the run.
#include <gtest/gtest.h>

#include "world.h"

namespace flaxdoor::door::testing {
namespace {

struct Scenario {
    const char* name;
    std::vector<double> weights;  // the last one is the weight of others
    std::vector<Load> loads;
};

// Eight servers handle 800 calls of 10 ms a second.
const std::vector<Scenario>& scenarios() {
    static const std::vector<Scenario> all{
        {"two equal tenants", {1, 1, 1}, {{0, 800, 50}, {1, 800, 50}}},
        {"one to four", {1, 4, 1}, {{0, 900, 50}, {1, 900, 50}}},
        {"small and large calls", {1, 1, 1}, {{0, 4000, 20, 2ms, false, 1}, {1, 400, 20, 40ms, false, 1}}},
        {"random costs with hints", {1, 2, 1}, {{0, 900, 30, 10ms, true, 1}, {1, 900, 30, 10ms, true, 1}}},
        {"random costs without hints", {1, 1, 1}, {{0, 900, 30, 10ms, true}, {1, 900, 30}}},
        {"hints of a third", {1, 1, 1}, {{0, 900, 30, 10ms, false, 0.33}, {1, 900, 30, 10ms, false, 1}}},
        {"hints of a thousandth",
         {1, 1, 1},
         {{0, 900, 30, 10ms, false, 0.001}, {1, 900, 30, 10ms, false, 1}}},
        {"hints three times too high",
         {2, 1, 1},
         {{0, 900, 30, 10ms, false, 3}, {1, 900, 30, 10ms, false, 1}}},
        {"a thousand clients beside one", {1, 1, 1}, {{0, 3000, 1000}, {1, 800, 1}}},
        {"one client under 100,000 names", {1, 1, 1}, {{0, 3000, 100'000}, {1, 800, 20}}},
        {"one tenant at ten times its share", {1, 1, 1, 1}, {{0, 4000, 100}, {1, 500, 10}, {2, 500, 10}}},
        {"an unknown tenant", {3, 1}, {{0, 900, 30}, {7, 5000, 5000}}},
        {"intermittent beside steady load",
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

Terms terms_of(const Scenario& scenario) {
    Terms terms;
    for (std::size_t i = 0; i + 1 < scenario.weights.size(); ++i)
        terms.tenants.push_back({"t" + std::to_string(i), scenario.weights[i], {}});
    terms.others.weight = scenario.weights.back();
    terms.classes = {{"only", 1, 10ms, {}}};
    terms.most_entries = 4000;
    return terms;
}

struct Result {
    // Largest ratio of a difference to its bound.
    double over_bound = 0;
    // Largest deviation from the weights, over time spans with 200 calls of each tenant.
    double off_weights = 0;
    std::size_t spans = 0, idle_with_queue = 0, late = 0;
};

template <class Front>
Result measure(const Scenario& scenario, std::uint64_t seed) {
    World<Front> world(terms_of(scenario), 8, seed);
    const std::size_t n = scenario.weights.size();
    struct TenantPair {
        bool both_backlogged = false;
        // Of the difference in dispatched and in ended service.
        double at_begin[2]{}, min_difference[2]{}, max_difference[2]{};
    };
    std::vector<std::vector<TenantPair>> pairs(n, std::vector<TenantPair>(n));
    std::vector<std::vector<double>> widest_range(n, std::vector<double>(n));
    struct Span {
        std::vector<std::size_t> backlogged;
        std::vector<double> dispatched;
        std::vector<std::size_t> dispatched_calls;
    } span;
    Result result;
    world.after = [&] {
        std::vector<std::size_t> backlogged;
        for (std::size_t i = 0; i < n; ++i) {
            if (world.tenants_[i].waiting > 0) backlogged.push_back(i);
        }
        for (std::size_t i = 0; i < std::min<std::size_t>(n, 6); ++i) {
            for (std::size_t j = 0; j < i; ++j) {
                const auto &a = world.tenants_[i], &b = world.tenants_[j];
                TenantPair& pair = pairs[i][j];
                const bool both_backlogged = a.waiting > 0 && b.waiting > 0;
                const double difference[2] = {
                    a.dispatched / scenario.weights[i] - b.dispatched / scenario.weights[j],
                    a.ended / scenario.weights[i] - b.ended / scenario.weights[j]};
                for (int k = 0; both_backlogged && k < 2; ++k) {
                    if (!pair.both_backlogged)
                        pair.min_difference[k] = pair.max_difference[k] = difference[k];
                    pair.min_difference[k] = std::min(pair.min_difference[k], difference[k]);
                    pair.max_difference[k] = std::max(pair.max_difference[k], difference[k]);
                    widest_range[i][j] =
                        std::max(widest_range[i][j], pair.max_difference[k] - pair.min_difference[k]);
                }
                pair.both_backlogged = both_backlogged;
            }
        }
        const auto open_span = [&] {
            span = {backlogged, {}, {}};
            for (const auto& each : world.tenants_) {
                span.dispatched.push_back(each.dispatched);
                span.dispatched_calls.push_back(each.dispatched_calls);
            }
        };
        if (backlogged != span.backlogged) return open_span();
        if (backlogged.size() < 2) return;
        double total = 0, weights = 0;
        for (const std::size_t i : backlogged) {
            if (world.tenants_[i].dispatched_calls - span.dispatched_calls[i] < 200) return;
            total += world.tenants_[i].dispatched - span.dispatched[i];
            weights += scenario.weights[i];
        }
        for (const std::size_t i : backlogged) {
            const double relative_share =
                (world.tenants_[i].dispatched - span.dispatched[i]) / total * weights / scenario.weights[i];
            result.off_weights = std::max(result.off_weights, std::abs(relative_share - 1));
        }
        ++result.spans;
        open_span();
    };
    world.run(scenario.loads, scenario.weights.size() > 10 ? 12s : 6s);
    const auto max_in_flight = static_cast<double>(world.most_in_flight);
    for (std::size_t i = 0; i < n; ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            const auto &a = world.tenants_[i], &b = world.tenants_[j];
            const double bound =
                (max_in_flight + 1) * (a.largest / scenario.weights[i] + b.largest / scenario.weights[j]) +
                2 * (max_in_flight + 1) * (a.error / scenario.weights[i] + b.error / scenario.weights[j]);
            if (bound > 0) result.over_bound = std::max(result.over_bound, widest_range[i][j] / bound);
        }
    }
    result.idle_with_queue = world.idle_with_queue;
    result.late = world.late_refusals;
    return result;
}

class Fairness : public ::testing::TestWithParam<std::size_t> {};

TEST_P(Fairness, WithinTheBoundAndTheWeights) {
    const Scenario& scenario = scenarios()[GetParam()];
    for (const std::uint64_t seed : {1u, 2u}) {
        SCOPED_TRACE(std::string(scenario.name) + ", seed " + std::to_string(seed));
        const Result result = measure<AdmissionQueue>(scenario, seed);
        RecordProperty("bound", std::to_string(result.over_bound));
        EXPECT_LE(result.over_bound, 1);
        EXPECT_LE(result.off_weights, 0.05);
        EXPECT_GE(result.spans, 2u);
        EXPECT_EQ(result.idle_with_queue, 0u)
            << "a request was queued although the module would have sent it";
        EXPECT_EQ(result.late, 0u) << "a request was refused later than necessary";
    }
}

INSTANTIATE_TEST_SUITE_P(Shapes, Fairness, ::testing::Range<std::size_t>(0, scenarios().size()));

// Shows that the checks can fail: the same loads with a first-in-first-out queue.
TEST(Fairness, FirstInFirstOutFails) {
    for (const std::size_t scenario_index : {1u, 7u, 8u, 9u, 10u}) {
        const Result result = measure<FifoQueue>(scenarios()[scenario_index], 1);
        EXPECT_GT(result.off_weights, 0.05) << scenarios()[scenario_index].name;
        EXPECT_GT(result.over_bound, 1) << scenarios()[scenario_index].name;
    }
}

// Compares the service of the other tenants with and without one at ten times its share.
TEST(Fairness, TenantAtTenTimesItsShareTakesNothingFromOthers) {
    const Scenario scenario{"", {1, 1, 1, 1, 1}, {}};
    const std::vector<Load> others{{1, 150, 10}, {2, 150, 10}, {3, 150, 10}};
    std::vector<Load> all = others;
    all.push_back({0, 2000, 1000});
    World<AdmissionQueue> without(terms_of(scenario), 8, 3), beside(terms_of(scenario), 8, 3);
    without.run(others, 10s);
    beside.run(all, 10s);
    for (std::size_t i = 1; i < 4; ++i) {
        const auto rate = [i](const auto& world) {
            return static_cast<double>(world.tenants_[i].served) /
                   static_cast<double>(world.tenants_[i].calls);
        };
        EXPECT_NEAR(rate(beside), rate(without), 0.03);
    }
    World<AdmissionQueue> idle(terms_of(scenario), 8, 3);
    idle.run({{0, 300, 100}, {1, 200, 10}}, 10s);  // with spare capacity
    EXPECT_LT(idle.most_waiting, 40u);
    EXPECT_EQ(idle.idle_with_queue, 0u);
}

// A moderate client beside a hundred thousand clients that send once each, and beside one client that sends
// as much under one name: it is served within a round of the flows and of the requests that share its flow by
// a hash collision.
TEST(Fairness, ModerateClientAmongAHundredThousandIsNotStarved) {
    for (const std::size_t names : {std::size_t{1}, std::size_t{100'000}}) {
        Scenario scenario{"", {1, 1}, {}};
        World<AdmissionQueue> world(terms_of(scenario), 8, 5);
        world.run({{0, 3000, names, 10ms, false, 0, 20s}, {0, 5, 1, 10ms, false, 0, 20s, 1h, 0s, 0, 2s}},
                  20s);
        std::size_t open_calls = 0;
        for (const auto& [ticket, call] : world.open_) open_calls += call.load == 1 ? 1u : 0u;
        EXPECT_LE(open_calls, names == 1 ? 2u : 5u * 9u)
            << names << " names: open calls of the moderate client";
    }
}

}  // namespace
}  // namespace flaxdoor::door::testing
