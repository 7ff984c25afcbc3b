// Times to come back against when capacity really came back: 12 balancers with a book each, shared slow-downs
// drawn at random, clients that return to any of them; beside a fixed time, none, and the class's service time
// (what the module tells by itself).
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

enum class Advice { book, fixed, none, service };
constexpr const char* names[] = {"book", "fixed", "none", "service"};

struct Outcome {
    std::vector<double> errors;  // told less the time when there really was room again, in ms
    double peak = 0;             // of returns in 100 ms, as a multiple of what can be served in that time
    double full_after_ms = 0;    // from the end of the slow-down until the first whole second with room
    double served = 0;           // of the clients, in the end
    std::uint64_t over = 0;      // promises beyond a slot's capacity that were not counted as excess

    double error_at(double part) {
        if (errors.empty()) return 0;
        std::sort(errors.begin(), errors.end());
        return errors[static_cast<std::size_t>(part * static_cast<double>(errors.size() - 1))];
    }
};

// 1,200 calls of 20 ms a second at the best; 85% of that comes by itself.
Outcome run(Advice advice, std::uint64_t seed, bool half_die = false) {
    constexpr std::size_t balancers = 12;
    constexpr double best = 1200;
    constexpr Micros longest = 2s;
    std::mt19937_64 random(seed);
    const auto uniform = [&](double least, double most) {
        return std::uniform_real_distribution<double>(least, most)(random);
    };
    const double slow = uniform(1.4, 2.5);
    const Time from = 30s, until = from + Micros(static_cast<long>(uniform(4, 13) * 1e6)), end = until + 20s;
    std::vector<Book> books(balancers, Book({longest, 250ms, false}));
    std::vector<double> queued(balancers), drained_at(balancers);
    struct Come {
        Time at{};
        std::uint64_t order = 0;
        int tries = 0;
        bool operator<(const Come& other) const {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    std::priority_queue<Come> coming;
    std::uint64_t order = 0;
    coming.push({1s, 0, 0});
    Outcome all;
    std::vector<std::size_t> returns(static_cast<std::size_t>(end / 100ms) + 100);
    std::vector<double> refused_at, told_at, clear_at;
    std::size_t clients = 0, served = 0;
    std::vector<std::priority_queue<Time, std::vector<Time>, std::greater<>>> ends(balancers);
    while (!coming.empty() && coming.top().at < end) {
        const Come come = coming.top();
        coming.pop();
        const Time now = come.at;
        if (come.tries == 0) {
            ++clients;
            std::exponential_distribution<double> gap(0.85 * best);
            coming.push({now + Micros(1 + static_cast<long>(gap(random) * 1e6)), ++order, 0});
        } else {
            ++returns[static_cast<std::size_t>(now / 100ms)];
        }
        const std::size_t alive = half_die && now > from + 2s ? balancers / 2 : balancers;
        const std::size_t which = random() % alive;
        // Its part of the servers: a queue of at most 50 ms.
        const double rate = best / static_cast<double>(alive) / (now >= from && now < until ? slow : 1);
        double& busy = drained_at[which];
        const double at = static_cast<double>(now.count()) / 1e6;
        while (!ends[which].empty() && ends[which].top() <= now) {
            books[which].completed(ends[which].top());
            ends[which].pop();
        }
        if (come.tries == 0) books[which].came_untold(now);
        busy = std::max(busy, at);
        if (busy - at < 0.05) {
            busy += 1 / rate;
            ends[which].push(Time(static_cast<long>(busy * 1e6)));
            ++served;
            clear_at.push_back(at);
            continue;
        }
        Micros after = 20ms;
        if (advice == Advice::fixed) after = 500ms;
        if (advice == Advice::none) after = 1ms;
        if (advice == Advice::book) {
            const auto told = books[which].promise(now, 20ms, 0, uniform(0, 1));
            after = told.after;
            EXPECT_LE(after, longest);
            EXPECT_GE(after, 0us);
        }
        refused_at.push_back(at);
        told_at.push_back(at + static_cast<double>(after.count()) / 1e6);
        if (come.tries < 10) coming.push({now + after, ++order, come.tries + 1});
    }
    // There was room in a tenth of a second that refused less than a twentieth of whoever came.
    std::vector<double> took(returns.size()), turned(returns.size());
    for (const double each : clear_at) ++took[static_cast<std::size_t>(each * 10)];
    for (const double each : refused_at) ++turned[static_cast<std::size_t>(each * 10)];
    const auto roomy = [&](std::size_t i) { return turned[i] < (took[i] + turned[i]) / 20; };
    for (std::size_t i = 0; i < refused_at.size(); ++i) {
        auto at = static_cast<std::size_t>(refused_at[i] * 10);
        while (at < returns.size() && !roomy(at)) ++at;
        if (at < returns.size()) all.errors.push_back((told_at[i] - static_cast<double>(at) / 10) * 1e3);
    }
    const auto begin = static_cast<std::size_t>(until / 100ms);
    // Full service: ten such tenths one after another.
    std::size_t full = begin;
    for (std::size_t row = 0; row < 10 && full < returns.size(); ++full) row = roomy(full) ? row + 1 : 0;
    all.full_after_ms = static_cast<double>(full - begin - 10) * 100;
    for (std::size_t i = static_cast<std::size_t>(from / 100ms); i < begin + 100; ++i)
        all.peak = std::max(all.peak, static_cast<double>(returns[i]) / (best / 10));
    all.served = static_cast<double>(served) / static_cast<double>(clients);
    return all;
}

TEST(Book, TwelveBalancersThroughASharedSlowDown) {
    for (const bool half_die : {false, true}) {
        double peak[4]{}, full[4]{};
        for (int advice = 0; advice < 4; ++advice) {
            Outcome sum;
            double worst = 0, served = 0;
            constexpr int seeds = 4;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                Outcome one = run(static_cast<Advice>(advice), seed, half_die);
                sum.errors.insert(sum.errors.end(), one.errors.begin(), one.errors.end());
                peak[advice] += one.peak / seeds;
                worst = std::max(worst, one.peak);
                full[advice] += one.full_after_ms / seeds;
                served += one.served / seeds;
            }
            std::printf(
                "%-8s half die %d: error p10 %6.0f p50 %6.0f p90 %6.0f ms, peak of returns %.2f (worst "
                "%.2f), "
                "full after %5.0f ms, served %.4f\n",
                names[advice], half_die, sum.error_at(0.1), sum.error_at(0.5), sum.error_at(0.9),
                peak[advice], worst, full[advice], served);
        }
        EXPECT_LT(peak[0], peak[1]) << "a fixed time";
        EXPECT_LT(peak[0], peak[2]) << "none";
        EXPECT_LT(peak[0], peak[3]) << "the service time";
    }
}

// No slot is promised more than is believed at the time, but for the excess, which is counted.
TEST(Book, PromisesNoSlotMoreThanItsCapacity) {
    Book book({10s, 250ms, false});
    Time now = 100s;
    for (int i = 0; i < 4000; ++i) book.completed(now += 10ms);  // 100 a second: 25 a slot
    std::vector<std::size_t> slots(100);
    for (int i = 0; i < 1200; ++i) {
        const auto told = book.promise(now, 10ms, 50, 0.5);
        if (!told.excess) ++slots[static_cast<std::size_t>((now + told.after - 140s) / 250ms)];
        EXPECT_LE(told.after, 10s);
    }
    std::size_t all = 0;
    for (const std::size_t each : slots) {
        EXPECT_LE(each, 26u);
        all += each;
    }
    EXPECT_LT(slots[0] + slots[1], 10u) << "what waits comes first";
    EXPECT_EQ(all + book.excess(), 1200u);
    EXPECT_GT(book.excess(), 200u);
}

TEST(Book, WholeSecondsAndWhatClientsHeed) {
    Book book({5s, 250ms, true});
    Time now = 100s;
    for (int i = 0; i < 400; ++i) book.completed(now += 10ms);
    std::vector<std::size_t> told(6);
    for (int i = 0; i < 300; ++i) {
        const Micros after = book.promise(now += 3ms, 10ms, 0, 0.5).after;
        ASSERT_EQ(after % 1s, 0us);
        ASSERT_TRUE(after >= 1s && after <= 5s);
        ++told[static_cast<std::size_t>(after / 1s)];
    }
    EXPECT_GT(told[1], 0u);
    EXPECT_GT(told[3], 0u) << "spread over them";
    for (int i = 0; i < 400; ++i) book.completed(now += 10ms);
    const auto excess = book.excess();
    for (int i = 0; i < 300; ++i) (void)book.promise(now, 10ms, 0, 0.5);
    EXPECT_EQ(book.excess(), excess) << "five seconds hold 500";
    Book narrow({200ms, 250ms, false});
    for (int i = 0; i < 100; ++i) EXPECT_LE(narrow.promise(now, 10ms, 0, 0.99).after, 200ms);
}

// Longer while completions slow, shorter as they recover.
TEST(Book, FollowsTheTrend) {
    Book book({10s, 250ms, false});
    Time now = 100s;
    const auto complete = [&](Micros gap, Micros span) {
        for (const Time end = now + span; now < end;) book.completed(now += gap);
        return book.capacity(now, 2s);
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
