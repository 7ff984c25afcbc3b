// Tests of the retry schedule. Compares assigned retry times with the time at which capacity really recovers:
// 12 balancers with one schedule each, random slow-downs of their shared servers, and clients that retry at
// any balancer. Other strategies for comparison: a fixed delay, none, and the class's service time (which the
// module returns without a schedule).
#include "door/book.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace flaxdoor::door::testing {
namespace {

using namespace std::chrono_literals;

enum class Strategy { schedule, fixed, none, service };
constexpr const char* names[] = {"schedule", "fixed", "none", "service"};

struct Outcome {
    std::vector<double> errors;  // assigned retry time minus the time at which there really was room, in ms
    double peak = 0;             // of retries in 100 ms, as a multiple of what can be served in that time
    double full_after_ms = 0;    // from the end of the slow-down to the first whole second with room
    double served = 0;           // share of the clients served in the end
    std::uint64_t over = 0;      // assignments above a slot's capacity that were not counted as excess

    double error_at(double part) {
        if (errors.empty()) return 0;
        std::sort(errors.begin(), errors.end());
        return errors[static_cast<std::size_t>(part * static_cast<double>(errors.size() - 1))];
    }
};

// The servers handle at most 1,200 calls of 20 ms a second. New calls arrive at 85% of that rate.
Outcome run(Strategy strategy, std::uint64_t seed, bool half_of_balancers_die = false) {
    constexpr std::size_t balancers = 12;
    constexpr double max_rate = 1200;
    constexpr Micros longest = 2s;
    std::mt19937_64 random(seed);
    const auto uniform = [&](double min_value, double max_value) {
        return std::uniform_real_distribution<double>(min_value, max_value)(random);
    };
    const double slow = uniform(1.4, 2.5);
    const Time from = 30s, until = from + Micros(static_cast<long>(uniform(4, 13) * 1e6)), end = until + 20s;
    std::vector<RetrySchedule> schedules(balancers, RetrySchedule({longest, 250ms, false}));
    std::vector<double> queued(balancers), drained_at(balancers);
    struct Arrival {
        Time at{};
        std::uint64_t order = 0;
        int tries = 0;
        bool operator<(const Arrival& other) const {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    std::priority_queue<Arrival> arrivals;
    std::uint64_t order = 0;
    arrivals.push({1s, 0, 0});
    Outcome all;
    std::vector<std::size_t> returns(static_cast<std::size_t>(end / 100ms) + 100);
    std::vector<double> refused_at, retry_at, served_at;
    std::size_t clients = 0, served = 0;
    std::vector<std::priority_queue<Time, std::vector<Time>, std::greater<>>> ends(balancers);
    while (!arrivals.empty() && arrivals.top().at < end) {
        const Arrival arrival = arrivals.top();
        arrivals.pop();
        const Time now = arrival.at;
        if (arrival.tries == 0) {
            ++clients;
            std::exponential_distribution<double> interarrival(0.85 * max_rate);
            arrivals.push({now + Micros(1 + static_cast<long>(interarrival(random) * 1e6)), ++order, 0});
        } else {
            ++returns[static_cast<std::size_t>(now / 100ms)];
        }
        const std::size_t alive = half_of_balancers_die && now > from + 2s ? balancers / 2 : balancers;
        const std::size_t balancer = random() % alive;
        // The balancer's part of the servers, with a queue of at most 50 ms.
        const double rate = max_rate / static_cast<double>(alive) / (now >= from && now < until ? slow : 1);
        double& busy = drained_at[balancer];
        const double at = static_cast<double>(now.count()) / 1e6;
        while (!ends[balancer].empty() && ends[balancer].top() <= now) {
            schedules[balancer].completed(ends[balancer].top());
            ends[balancer].pop();
        }
        if (arrival.tries == 0) schedules[balancer].unscheduled_arrival(now);
        busy = std::max(busy, at);
        if (busy - at < 0.05) {
            busy += 1 / rate;
            ends[balancer].push(Time(static_cast<long>(busy * 1e6)));
            ++served;
            served_at.push_back(at);
            continue;
        }
        Micros after = 20ms;
        if (strategy == Strategy::fixed) after = 500ms;
        if (strategy == Strategy::none) after = 1ms;
        if (strategy == Strategy::schedule) {
            const auto assignment = schedules[balancer].assign(now, 20ms, 0, uniform(0, 1));
            after = assignment.after;
            EXPECT_LE(after, longest);
            EXPECT_GE(after, 0us);
        }
        refused_at.push_back(at);
        retry_at.push_back(at + static_cast<double>(after.count()) / 1e6);
        if (arrival.tries < 10) arrivals.push({now + after, ++order, arrival.tries + 1});
    }
    // A tenth of a second had room if less than a twentieth of its arrivals were refused.
    std::vector<double> served_in(returns.size()), refused_in(returns.size());
    for (const double each : served_at) ++served_in[static_cast<std::size_t>(each * 10)];
    for (const double each : refused_at) ++refused_in[static_cast<std::size_t>(each * 10)];
    const auto has_room = [&](std::size_t i) { return refused_in[i] < (served_in[i] + refused_in[i]) / 20; };
    for (std::size_t i = 0; i < refused_at.size(); ++i) {
        auto at = static_cast<std::size_t>(refused_at[i] * 10);
        while (at < returns.size() && !has_room(at)) ++at;
        if (at < returns.size()) all.errors.push_back((retry_at[i] - static_cast<double>(at) / 10) * 1e3);
    }
    const auto begin = static_cast<std::size_t>(until / 100ms);
    // Full service means ten consecutive tenths with room.
    std::size_t full = begin;
    for (std::size_t row = 0; row < 10 && full < returns.size(); ++full) row = has_room(full) ? row + 1 : 0;
    all.full_after_ms = static_cast<double>(full - begin - 10) * 100;
    for (std::size_t i = static_cast<std::size_t>(from / 100ms); i < begin + 100; ++i)
        all.peak = std::max(all.peak, static_cast<double>(returns[i]) / (max_rate / 10));
    all.served = static_cast<double>(served) / static_cast<double>(clients);
    return all;
}

TEST(RetrySchedule, TwelveBalancersDuringASharedSlowDown) {
    for (const bool half_of_balancers_die : {false, true}) {
        double peak[4]{}, full[4]{};
        for (int strategy = 0; strategy < 4; ++strategy) {
            Outcome sum;
            double worst = 0, served = 0;
            constexpr int seeds = 4;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                Outcome one = run(static_cast<Strategy>(strategy), seed, half_of_balancers_die);
                sum.errors.insert(sum.errors.end(), one.errors.begin(), one.errors.end());
                peak[strategy] += one.peak / seeds;
                worst = std::max(worst, one.peak);
                full[strategy] += one.full_after_ms / seeds;
                served += one.served / seeds;
            }
            std::printf(
                "%-8s half die %d: error p10 %6.0f p50 %6.0f p90 %6.0f ms, peak of retries %.2f (worst "
                "%.2f), "
                "full after %5.0f ms, served %.4f\n",
                names[strategy], half_of_balancers_die, sum.error_at(0.1), sum.error_at(0.5),
                sum.error_at(0.9), peak[strategy], worst, full[strategy], served);
        }
        EXPECT_LT(peak[0], peak[1]) << "a fixed delay";
        EXPECT_LT(peak[0], peak[2]) << "no delay";
        EXPECT_LT(peak[0], peak[3]) << "the service time";
    }
}

// No slot gets more than its estimated capacity, except for the excess, which is counted.
TEST(RetrySchedule, AssignsNoSlotMoreThanItsCapacity) {
    RetrySchedule schedule({10s, 250ms, false});
    Time now = 100s;
    for (int i = 0; i < 4000; ++i) schedule.completed(now += 10ms);  // 100 a second: 25 a slot
    std::vector<std::size_t> slots(100);
    for (int i = 0; i < 1200; ++i) {
        const auto assignment = schedule.assign(now, 10ms, 50, 0.5);
        if (!assignment.excess) ++slots[static_cast<std::size_t>((now + assignment.after - 140s) / 250ms)];
        EXPECT_LE(assignment.after, 10s);
    }
    std::size_t total = 0;
    for (const std::size_t each : slots) {
        EXPECT_LE(each, 26u);
        total += each;
    }
    EXPECT_LT(slots[0] + slots[1], 10u) << "queued requests are served first";
    EXPECT_EQ(total + schedule.excess(), 1200u);
    EXPECT_GT(schedule.excess(), 200u);
}

TEST(RetrySchedule, WholeSecondsWithinTheLongestObservedDelay) {
    RetrySchedule schedule({5s, 250ms, true});
    Time now = 100s;
    for (int i = 0; i < 400; ++i) schedule.completed(now += 10ms);
    std::vector<std::size_t> by_second(6);
    for (int i = 0; i < 300; ++i) {
        const Micros after = schedule.assign(now += 3ms, 10ms, 0, 0.5).after;
        ASSERT_EQ(after % 1s, 0us);
        ASSERT_TRUE(after >= 1s && after <= 5s);
        ++by_second[static_cast<std::size_t>(after / 1s)];
    }
    EXPECT_GT(by_second[1], 0u);
    EXPECT_GT(by_second[3], 0u) << "spread over the seconds";
    for (int i = 0; i < 400; ++i) schedule.completed(now += 10ms);
    const auto excess = schedule.excess();
    for (int i = 0; i < 300; ++i) (void)schedule.assign(now, 10ms, 0, 0.5);
    EXPECT_EQ(schedule.excess(), excess) << "five seconds have a capacity of 500";
    RetrySchedule short_horizon({200ms, 250ms, false});
    for (int i = 0; i < 100; ++i) EXPECT_LE(short_horizon.assign(now, 10ms, 0, 0.99).after, 200ms);
}

// The estimated capacity falls while completions slow down and rises as they recover.
TEST(RetrySchedule, FollowsTheTrend) {
    RetrySchedule schedule({10s, 250ms, false});
    Time now = 100s;
    const auto complete = [&](Micros interarrival, Micros span) {
        for (const Time end = now + span; now < end;) schedule.completed(now += interarrival);
        return schedule.capacity(now, 2s);
    };
    const double steady = complete(10ms, 40s);
    const double slowing = complete(25ms, 2s);
    const double slow = complete(25ms, 4s);
    const double recovered = complete(10ms, 6s);
    EXPECT_NEAR(steady, 100, 2);
    EXPECT_LT(slowing, 75);
    EXPECT_LT(slow, slowing);
    EXPECT_GT(recovered, 90);
}

}  // namespace
}  // namespace flaxdoor::door::testing
