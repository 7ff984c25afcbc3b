// The story of a call, from a trace file.
#include "judge/story.h"

#include <gtest/gtest.h>

#include <sstream>

#include "world.h"

namespace flaxdoor::lab {
namespace {

constexpr const char* tale = R"(
    0 server_up 2 0 0 1000000 cold
    0 server_up 3 0 0 1000000 warm
    0 told 0 2 0 ready
    1 told 0 3 0 ready
    2 told 0 2 0 ready
    3 told 1 2 0 gone
   10 asked 7 0 1 100ms unsafe
   10 asked 8 0 2 100ms safe
   11 taken 0 7 1
   11 taken 0 8 2
   12 sending 0 2 1 1
   12 sending 0 3 2 1
   13 arrived 2 0 1 1 4ms
   13 load 2 0 0 1 0
   14 turned_away 2 0 1 1
   15 heard 0 2 1 1 turned_away
   16 final_answer 0 7 1 refused 30ms
   17 received 7 0 1 refused 30ms
   50 trouble 0 0 0 0 1
   60 told 0 2 0 draining
   70 asked 7 0 3 100ms unsafe
   70 repeats 7 0 3 1
   71 taken 0 7 3
   72 killed 0
   73 unreached 7 0 3 1
   80 asked 7 1 4 100ms unsafe
   80 repeats 7 1 4 3
   81 taken 1 7 4
   90 final_answer 1 7 4 failed
   91 server_down 2
   95 over)";

std::string file() {
    std::ostringstream out;
    TraceWriter writer(out, terms_of_tests());
    for (const Record& record : world(tale)) writer.put(record);
    EXPECT_TRUE(writer.finish());
    return out.str();
}

constexpr const char* told = R"(0.000000 s  server 2: begins, cold, warm it does 1.000000 s of work a second
0.000000 s  balancer 0: is told that server 2 is ready
0.003000 s  balancer 1: is told that server 2 is gone
0.010000 s  client 7: asks balancer 0 for call 1 (unsafe, zone a, tenant acme, waits 0.100000 s)
0.011000 s  balancer 0: takes call 1
0.012000 s  balancer 0: sends attempt 1 of call 1 to server 2
0.013000 s  server 2: attempt 1 of call 1 arrives, work of 0.004000 s
0.014000 s  server 2: attempt 1 of call 1 is turned away
0.015000 s  balancer 0: hears of attempt 1 of call 1 from server 2: turned_away
0.016000 s  balancer 0: answers call 1: refused, to come back in 0.030000 s
0.017000 s  client 7: has the answer of call 1: refused, to come back in 0.030000 s
0.050000 s  trouble: drain begins
0.060000 s  balancer 0: is told that server 2 is draining
0.070000 s  client 7: asks balancer 0 for call 3 (unsafe, zone a, tenant acme, waits 0.100000 s)
0.070000 s  client 7: call 3 repeats call 1
0.071000 s  balancer 0: takes call 3
0.072000 s  balancer 0: is killed
0.073000 s  client 7: the link of call 3 breaks
0.080000 s  client 7: asks balancer 1 for call 4 (unsafe, zone a, tenant acme, waits 0.100000 s)
0.080000 s  client 7: call 4 repeats call 3
0.081000 s  balancer 1: takes call 4
0.090000 s  balancer 1: answers call 4: failed
)";

// From the first, the middle and the last try: the same story, with nothing of call 2 or server 3.
TEST(Story, TellsAllTriesInOrder) {
    for (const std::uint64_t call : {1U, 3U, 4U}) {
        std::istringstream in(file());
        std::ostringstream out;
        const Story story = tell_story(in, call, out);
        EXPECT_FALSE(story.damage);
        EXPECT_EQ(story.calls, (std::set<std::uint64_t>{1, 3, 4})) << call;
        EXPECT_EQ(out.str(), told) << call;
        EXPECT_EQ(story.lines, 22U);
    }
}

TEST(Story, OfAnUnknownCallIsEmpty) {
    std::istringstream in(file());
    std::ostringstream out;
    EXPECT_TRUE(tell_story(in, 99, out).calls.empty());
    EXPECT_EQ(out.str(), "");
}

TEST(Story, OfADamagedFileSaysSo) {
    std::istringstream in(file().substr(0, 500));
    std::ostringstream out;
    const Story story = tell_story(in, 1, out);
    ASSERT_TRUE(story.damage);
    EXPECT_TRUE(story.calls.empty());
}

TEST(Story, HasASentenceForEachKind) {
    for (std::size_t i = 0; i < event_kinds; ++i) {
        EXPECT_NE(sentence_of({0, static_cast<Event>(i)}, {}), "unknown") << i;
    }
    EXPECT_EQ(sentence_of({0, Event::asked, 1, 2, 3, 4, ~0ULL}, {}),
              "client 1: asks balancer 2 for call 3 (class 255, zone number 255, key 4294967295, waits "
              "0.000004 s)");
}

}  // namespace
}  // namespace flaxdoor::lab
