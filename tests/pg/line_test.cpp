// The queue of units in front of the policy module.
#include "pg/line.h"

#include <gtest/gtest.h>

namespace flaxdoor::pg {
namespace {

using namespace std::chrono_literals;
constexpr Time start = 1000s;

TEST(Line, UnitsWaitUntilTheFirstOfTheirClassIsServed) {
    WaitQueue queue(10, 5s);
    EXPECT_EQ(queue.enqueue(1, 0, start), WaitQueue::EnqueueResult::offer);
    queue.on_placed();
    EXPECT_EQ(queue.enqueue(2, 0, start), WaitQueue::EnqueueResult::waits);
    EXPECT_FALSE(queue.next());
    queue.on_ended(0);
    EXPECT_EQ(queue.next(), 2u);
    queue.on_placed();
    EXPECT_EQ(queue.enqueue(3, 0, start), WaitQueue::EnqueueResult::offer);
    queue.on_placed();
    EXPECT_EQ(queue.enqueue(4, 1, start), WaitQueue::EnqueueResult::waits)
        << "no unit of the other class has been served yet";
}

TEST(Line, UnplacedUnitReturnsToTheHead) {
    WaitQueue queue(10, 5s);
    (void)queue.enqueue(1, 0, start);
    queue.on_placed();
    queue.on_ended(0);
    ASSERT_EQ(queue.enqueue(1, 0, start), WaitQueue::EnqueueResult::offer);
    queue.on_placed();
    ASSERT_EQ(queue.enqueue(2, 0, start), WaitQueue::EnqueueResult::offer);
    ASSERT_TRUE(queue.may_requeue());
    queue.requeue(2, start + 5s);
    EXPECT_EQ(queue.enqueue(3, 0, start), WaitQueue::EnqueueResult::waits);
    EXPECT_FALSE(queue.next()) << "nothing has ended";
    queue.on_ended(0);
    EXPECT_EQ(queue.next(), 2u) << "first come, first served";
    EXPECT_FALSE(queue.may_requeue()) << "the only unit: the policy module retries it itself";
}

TEST(Line, LengthAndWaitingTimeAreLimited) {
    WaitQueue queue(2, 5s);
    (void)queue.enqueue(1, 0, start);
    EXPECT_EQ(queue.enqueue(2, 0, start), WaitQueue::EnqueueResult::waits);
    EXPECT_EQ(queue.enqueue(3, 0, start + 1s), WaitQueue::EnqueueResult::waits);
    EXPECT_EQ(queue.enqueue(4, 0, start + 1s), WaitQueue::EnqueueResult::full);
    EXPECT_EQ(queue.take_expired(start + 4s).size(), 0u);
    EXPECT_EQ(queue.take_expired(start + 5s), std::vector<WaitQueue::Token>{2});
    EXPECT_TRUE(queue.remove(3));
    EXPECT_FALSE(queue.remove(3));
    EXPECT_EQ(queue.waiting(), 0u);
}

// Whatever happens, each token is offered, rejected or removed exactly once, and none is lost.
TEST(Line, NoUnitIsLost) {
    std::uint64_t state = 7;
    const auto random = [&](std::uint64_t below) {
        state = state * 6364136223846793005ull + 1442695040888963407ull;
        return (state >> 33) % below;
    };
    WaitQueue queue(50, 1s);
    std::vector<WaitQueue::Token> in_policy;
    std::size_t waiting = 0;
    Time now = start;
    const auto offered = [&](WaitQueue::Token token) {
        switch (random(4)) {
            case 0:
                if (queue.may_requeue()) {
                    queue.requeue(token, now + 500ms);
                    ++waiting;
                    return;
                }
                [[fallthrough]];
            case 1:
            case 2:
                queue.on_placed();
                in_policy.push_back(token);
                return;
            default: queue.on_rejected(); return;
        }
    };
    for (WaitQueue::Token token = 1; token < 100'000; ++token) {
        now += Micros(random(20'000));
        switch (queue.enqueue(token, random(2), now)) {
            case WaitQueue::EnqueueResult::offer: offered(token); break;
            case WaitQueue::EnqueueResult::waits: ++waiting; break;
            case WaitQueue::EnqueueResult::full: break;
        }
        if (!in_policy.empty() && random(2)) {
            in_policy.pop_back();
            queue.on_ended(random(2));
        }
        waiting -= queue.take_expired(now).size();
        while (const auto next = queue.next()) {
            --waiting;
            offered(*next);
        }
        ASSERT_EQ(queue.waiting(), waiting);
        ASSERT_EQ(queue.in_policy(), in_policy.size());
        ASSERT_TRUE(queue.waiting() == 0 || !in_policy.empty())
            << "units wait although the policy module holds none";
    }
}

}  // namespace
}  // namespace flaxdoor::pg
