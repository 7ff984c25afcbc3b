// The judge against worlds that break a rule on purpose: each is a text with its honest twin ("+" lines are
// the broken world's, "-" lines the twin's, the others both's). In the broken one the judge finds that rule
// and no other, in the twin nothing.
#include "judge/judge.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <ostream>
#include <sstream>

#include "trace/file.h"
#include "world.h"

namespace flaxdoor::lab {
namespace {

struct World {
    const char* name;
    Rule rule;
    const char* says;  // within the sentence
    std::uint64_t call;
    const char* records;
    friend void PrintTo(const World& world, std::ostream* out) { *out << world.name; }
};

// Calls of clients 7 and 8 at balancers 0 and 1; servers 0 and 1 are in zone a, 2 and 3 in zone b. A client
// waits 100 ms and the slack is 20 ms.
const World worlds[] = {
    {"answered_twice", Rule::answers, "second final answer, failed, 0.005000 s after the first, served", 1,
     R"(
    0 asked 7 0 1 100ms safe
    1 taken 0 7 1
    2 sending 0 0 1 1
    3 replied 0 0 1 1 ok
    5 final_answer 0 7 1 served
+  10 final_answer 0 7 1 failed
  500 over)"},
    {"answered_by_another", Rule::answers, "balancer 1 answers failed a call that it does not have", 1, R"(
    0 asked 7 0 1 100ms safe
    1 taken 0 7 1
+   4 final_answer 1 7 1 failed
    5 final_answer 0 7 1 failed
  500 over)"},
    {"never_answered", Rule::answers, "did not answer it by 0.120000 s", 1, R"(
    0 asked 7 0 1 100ms safe
    1 taken 0 7 1
- 120 final_answer 0 7 1 failed
  900 over)"},
    {"never_answered_and_the_world_ends", Rule::answers, "nor before the world ended", 1, R"(
    0 asked 7 0 1 100ms safe
    1 taken 0 7 1
- 119 over
+ 121 over)"},
    {"answered_after_the_clients_time", Rule::answers, "answered failed 0.000001 s after", 1, R"(
    0 asked 7 0 1 100ms safe
    1 taken 0 7 1
- 120 final_answer 0 7 1 failed
+ 120.001 final_answer 0 7 1 failed
  500 over)"},
    {"a_client_that_went_at_its_end_is_owed", Rule::answers, "did not answer", 1, R"(
    0 asked 7 0 1 100ms safe
    1 taken 0 7 1
-  99.999 gave_up 7 0 1
+ 100 gave_up 7 0 1
  500 over)"},
    {"ended_with_a_call_in_hand", Rule::answers, "nor before it ended by itself", 1, R"(
    0 asked 7 0 1 100ms safe
    1 taken 0 7 1
-  50 killed 0
+  50 ended 0
  500 over)"},
    {"overdue_when_killed", Rule::answers, "nor before it was killed", 1, R"(
    0 asked 7 0 1 100ms safe
    1 taken 0 7 1
- 120 killed 0
+ 121 killed 0
  500 over)"},
    {"sent_after_the_final_answer", Rule::answers, "goes 0.003000 s after the final answer, failed", 1, R"(
    0 asked 7 0 1 100ms safe
    1 taken 0 7 1
    2 sending 0 0 1 1
-   4 sending 0 1 1 2
    5 final_answer 0 7 1 failed
+   8 sending 0 1 1 2
  500 over)"},
    {"sent_for_a_call_held_elsewhere", Rule::answers, "for a call that balancer 1 does not have", 1, R"(
    0 asked 7 0 1 100ms safe
    1 taken 0 7 1
-   2 sending 0 0 1 1
+   2 sending 1 0 1 1
    5 final_answer 0 7 1 failed
  500 over)"},
    {"final_answer_of_an_unknown_call", Rule::answers, "never asked", 2, R"(
    0 asked 7 0 1 100ms safe
    1 taken 0 7 1
    5 final_answer 0 7 1 failed
+   6 final_answer 0 7 2 failed
  500 over)"},
    {"answered_again_long_after", Rule::answers, "does not have", 1, R"(
    0 asked 7 0 1 100ms safe
    1 taken 0 7 1
    5 final_answer 0 7 1 failed
+ 900 final_answer 0 7 1 failed
  999 over)"},
    {"served_with_nothing", Rule::answers, "no server made an answer", 1, R"(
    0 asked 7 0 1 100ms safe
    1 taken 0 7 1
    2 sending 0 0 1 1
-   3 replied 0 0 1 1 ok
+   3 replied 0 0 1 1 error
    5 final_answer 0 7 1 served
  500 over)"},
    {"received_what_nobody_gave", Rule::answers, "no balancer gave", 1, R"(
    0 asked 7 0 1 100ms safe
    1 taken 0 7 1
-   4 final_answer 0 7 1 failed
    5 received 7 0 1 failed
+   6 final_answer 0 7 1 failed
  500 over)"},
    {"unsafe_repeated_after_a_reset", Rule::effects,
     "attempt 2 to server 1 goes 0.008000 s after attempt 1 to server 0, of which it is not known", 1, R"(
    0 asked 7 0 1 100ms unsafe
    1 taken 0 7 1
    2 sending 0 0 1 1
-   6 heard 0 0 1 1 never_left
+   6 heard 0 0 1 1 reset
   10 sending 0 1 1 2
   20 final_answer 0 7 1 failed
  500 over)"},
    {"unsafe_repeated_on_a_guess", Rule::effects, "not known that it never runs", 1, R"(
    0 asked 7 0 1 100ms unsafe
    1 taken 0 7 1
    2 sending 0 0 1 1
    3 turned_away 0 0 1 1
-   4 heard 0 0 1 1 turned_away
    5 sending 0 1 1 2
+   6 heard 0 0 1 1 turned_away
   20 final_answer 0 7 1 failed
  500 over)"},
    {"unsafe_ran_twice", Rule::effects, "happens 2 times", 1, R"(
    0 asked 7 0 1 100ms unsafe
    1 taken 0 7 1
    2 sending 0 0 1 1
+   3 ran 0 0 1 1 1
    4 heard 0 0 1 1 never_left
    5 sending 0 1 1 2
    7 ran 1 0 1 2 1
   20 final_answer 0 7 1 failed
  500 over)"},
    {"unsafe_refused_after_it_ran", Rule::effects, "although attempt 1 to server 0 ran at 0.003000 s", 1, R"(
    0 asked 7 0 1 100ms unsafe
    1 taken 0 7 1
    2 sending 0 0 1 1
    3 ran 0 0 1 1 1
    4 heard 0 0 1 1 reset
-   5 final_answer 0 7 1 failed
+   5 final_answer 0 7 1 refused
  500 over)"},
    {"unsafe_refused_after_it_ran_and_was_told_otherwise", Rule::effects, "ran at 0.003000 s", 1, R"(
    0 asked 7 0 1 100ms unsafe
    1 taken 0 7 1
    2 sending 0 0 1 1
+   3 ran 0 0 1 1 1
    4 heard 0 0 1 1 never_left
    5 final_answer 0 7 1 refused
  500 over)"},
    {"unsafe_refused_and_runs_later", Rule::effects, "runs 0.250000 s later", 1, R"(
    0 asked 7 0 1 100ms unsafe
    1 taken 0 7 1
    2 sending 0 0 1 1
-   4 heard 0 0 1 1 never_left
    5 final_answer 0 7 1 refused
+ 255 ran 0 0 1 1 1
  900 over)"},
    {"keyed_sent_outside_its_zone", Rule::effects, "whose zone's servers alone drop repeats", 1, R"(
    0 asked 7 0 1 100ms zoned
    1 taken 0 7 1
    2 sending 0 0 1 1
    3 heard 0 0 1 1 reset
-   4 sending 0 1 1 2
+   4 sending 0 2 1 2
   20 final_answer 0 7 1 failed
  500 over)"},
    {"keyed_sent_outside_its_window", Rule::effects, "remembered for 0.200000 s", 1, R"(
    0 asked 7 0 1 900ms keyed
    1 taken 0 7 1
    2 sending 0 0 1 1
    3 heard 0 0 1 1 timed_out
- 202 sending 0 3 1 2
+ 202.001 sending 0 3 1 2
  300 final_answer 0 7 1 failed
  990 over)"},
    {"keyed_by_zone_refused", Rule::effects, "refused, a call that is keyed by zone, although attempt 2", 1,
     R"(
    0 asked 7 0 1 100ms zoned
    1 taken 0 7 1
    2 sending 0 0 1 1
    3 heard 0 0 1 1 turned_away
    4 sending 0 2 1 2
+   5 heard 0 2 1 2 timed_out
-   5 heard 0 2 1 2 never_left
   20 final_answer 0 7 1 refused
  500 over)"},
    {"sent_after_the_grace", Rule::drains, "0.050001 s after balancer 0 was told", 1, R"(
    0 told 0 0 0 ready
   10 told 0 0 0 draining
   55 told 0 0 0 gone
   58 asked 7 0 1 100ms safe
   59 taken 0 7 1
-  60 sending 0 0 1 1
+  60.001 sending 0 0 1 1
   70 final_answer 0 7 1 failed
  500 over)"},
    {"told_again_and_then_sent", Rule::drains, "server 0", 1, R"(
    0 told 0 0 0 gone
-  55 told 0 0 0 ready
   58 asked 7 0 1 100ms safe
   59 taken 0 7 1
   60 sending 0 0 1 1
   70 final_answer 0 7 1 failed
  500 over)"},
    {"a_start_forgets_what_was_told", Rule::drains, "server 0", 1, R"(
    0 told 0 0 0 draining
-  54 killed 0
-  55 came_up 0 0 0 2
+  54 killed 1
+  55 came_up 1 0 0 2
   58 asked 7 0 1 100ms safe
   59 taken 0 7 1
   60 sending 0 0 1 1
   70 final_answer 0 7 1 failed
  500 over)"},
    // Server 3 does 1 s of work a second when warm; in a span of 100 ms it bears 4 x 0.25 x 0.1 s and, 10 ms
    // on, 3 ms more.
    {"cold_server_pushed_over", Rule::cold,
     "work of 0.103001 s came within 0.100000 s, it bears 0.103000 s; 100 % of it", 9, R"(
   10 server_up 3 0 0 1000000 cold
   11 told 0 3 0 ready 10ms
   12 arrived 3 0 8 1 60ms
-  20 arrived 3 0 9 1 43ms
+  20 arrived 3 0 9 1 43.001ms
  500 over)"},
    {"pushed_over_by_over_two_thirds_from_the_told", Rule::cold, "66 % of it from balancers that were told",
     8, R"(
   10 server_up 3 0 0 1000000 cold
   11 told 0 3 0 ready 10ms
   12 arrived 3 1 7 1 40ms
+  12 arrived 3 0 8 1 80.001ms
-  12 arrived 3 0 8 1 80ms
  500 over)"},
    {"a_fall_that_the_server_tells", Rule::cold, "work of 0.050000 s", 0, R"(
   10 server_up 3 0 0 1000000 cold
-  11 told 0 3 0 ready 9ms
+  11 told 0 3 0 ready 10ms
   12 arrived 3 0 8 1 50ms
   30 fell 3
  500 over)"},
    {"a_burst_across_spans", Rule::cold, "pushed over", 9, R"(
   10 server_up 3 0 0 1000000 cold
   11 told 0 3 0 ready 10ms
   12 arrived 3 0 8 1 100ms
- 112 arrived 3 0 9 1 100ms
+ 111.999 arrived 3 0 9 1 100ms
  500 over)"},
    {"pushed_over_only_while_cold", Rule::cold, "pushed over 0.999999 s after", 9, R"(
   10 server_up 3 0 0 1000000 cold
   11 told 0 3 0 ready 10ms
-1010 arrived 3 0 9 1 500ms
+1009.999 arrived 3 0 9 1 500ms
 2000 over)"},
    {"time_goes_back", Rule::trace, "time goes back", 1, R"(
    5 asked 7 0 1 100ms safe
+   4 taken 0 7 1
-   5 taken 0 7 1
    6 final_answer 0 7 1 failed
  500 over)"},
    {"taken_twice", Rule::trace, "while balancer 0 has it", 1, R"(
    0 asked 7 0 1 100ms safe
    1 taken 0 7 1
+   2 taken 1 7 1
    6 final_answer 0 7 1 failed
  500 over)"},
    {"no_end", Rule::trace, "has no end", 0, R"(
    0 server_up 0 0 0 1000000 warm
- 500 over)"},
};

Findings judged(const Terms& terms, const std::vector<Record>& records) {
    Judge judge(terms);
    for (const Record& record : records) judge.put(record);
    return judge.finish();
}

std::string list(const Findings& findings) {
    std::string text;
    for (const Broken& one : findings.broken()) text += one.text() + "\n";
    return text;
}

class BrokenWorlds : public testing::TestWithParam<World> {};

TEST_P(BrokenWorlds, IsFoundAndItsTwinIsHonest) {
    const World& one = GetParam();
    const Terms terms = terms_of_tests();
    EXPECT_EQ(list(judged(terms, world(one.records, '-'))), "") << "honest";

    const Findings findings = judged(terms, world(one.records, '+'));
    bool said = false;
    for (const Broken& broken : findings.broken()) {
        if (one.rule != Rule::trace) {
            EXPECT_EQ(broken.rule, one.rule) << broken.text();
        }
        said = said || (broken.rule == one.rule && broken.call == one.call &&
                        broken.what.find(one.says) != std::string::npos);
    }
    EXPECT_TRUE(said) << "wanted: " << one.says << "\nfound:\n" << list(findings);
}

// From a file it finds the same, word for word.
TEST_P(BrokenWorlds, IsFoundInItsFile) {
    const std::vector<Record> records = world(GetParam().records, '+');
    const auto earlier = [](const Record& one, const Record& other) { return one.at < other.at; };
    if (!std::is_sorted(records.begin(), records.end(), earlier)) return;  // a file's times do not go back
    std::ostringstream out;
    TraceWriter writer(out, terms_of_tests());
    for (const Record& record : records) writer.put(record);
    ASSERT_TRUE(writer.finish());

    std::istringstream in(out.str());
    std::optional<Judge> judge;
    ASSERT_FALSE(read_trace(in, [&](const Terms& terms) -> Sink& { return judge.emplace(terms); }));
    EXPECT_EQ(list(judge->finish()), list(judged(terms_of_tests(), records)));
}

INSTANTIATE_TEST_SUITE_P(All, BrokenWorlds, testing::ValuesIn(worlds),
                         [](const auto& one) { return std::string(one.param.name); });

TEST(Judge, WhatIsNotOwedIsNoBrokenRule) {
    const Findings findings = judged(terms_of_tests(), world(R"(
    0 asked 7 0 1 100ms safe
    0 asked 8 0 2 100ms safe
    0 asked 9 0 3 1ms safe
    0 asked 4 1 4 100ms safe
    0 asked 5 1 5 100ms safe
    1 taken 0 7 1
    1 taken 0 8 2
    1 unreached 4 1 4
    2 taken 0 9 3
   30 gave_up 7 0 1
   60 killed 0
   99 taken 1 5 5
  110 over)"));
    EXPECT_EQ(list(findings), "");
    EXPECT_EQ(findings.counts.asked, 5U);
    EXPECT_EQ(findings.counts.taken, 4U);
    EXPECT_EQ(findings.counts.not_owed, 2U) << "1 went, 3 was taken after its time";
    EXPECT_EQ(findings.counts.orphaned, 3U);
    EXPECT_EQ(findings.counts.undecided, 1U);
}

// What chance may add is borne: 0.103 s are 10.3 calls of 10 ms, three times the root of it and three calls
// more.
TEST(Judge, AColdServerBearsWhatChanceAdds) {
    Terms terms = terms_of_tests();
    terms.mean_work_us = 10000;
    const std::string start = "10 server_up 3 0 0 1000000 cold\n11 told 0 3 0 ready 10ms\n";
    const std::string end = "\n500 over";
    EXPECT_EQ(list(judged(terms, world(start + "20 arrived 3 0 9 1 229.280ms" + end))), "");
    EXPECT_EQ(judged(terms, world(start + "20 arrived 3 0 9 1 229.281ms" + end)).counts.broken[4], 1U);
}

TEST(Judge, EachKindTellsItsName) {
    for (std::size_t i = 0; i < event_kinds; ++i) {
        EXPECT_NE(text_of(static_cast<Event>(i)), "unknown") << i;
        EXPECT_EQ(by_hand::event_of(std::string(text_of(static_cast<Event>(i)))), static_cast<Event>(i));
    }
    EXPECT_EQ(text_of(static_cast<Event>(event_kinds)), "unknown");
}

TEST(Judge, ManyBrokenRulesAreCountedAndTheFirstKept) {
    Judge judge(terms_of_tests());
    for (std::uint64_t i = 1; i <= 5000; ++i) judge.put({i, Event::final_answer, 0, 7, i, 2, 0});
    judge.put({6000, Event::over});
    EXPECT_EQ(judge.finish().counts.broken[1], 5000U);
    EXPECT_EQ(judge.finish().broken().size(), Findings::most_kept);
}

// Calls at 10,000 a second, of all classes, some never answered, some with attempts of which
// nothing is ever known, a kill a second: what the judge holds stays what a second of them is.
TEST(Judge, HoldsNoMoreThanWhatIsOpen) {
    Terms terms = terms_of_tests();
    for (Terms::Class& one : terms.classes) one.window_us = 200000;
    Judge judge(terms);
    std::size_t most = 0;
    // What is held is what a fraction of a second brings: CI plays 20 seconds of it, FLAXDOOR_LAB_LONG=1 200.
    const char* const asked = std::getenv("FLAXDOOR_LAB_LONG");
    const std::uint64_t calls = asked && std::string_view(asked) == "1" ? 2'000'000 : 200'000;
    for (std::uint64_t i = 1; i <= calls; ++i) {
        const std::uint64_t at = i * 100;
        const auto balancer = static_cast<std::uint32_t>(i % 4);
        const auto server = static_cast<std::uint32_t>(i / 4 % 4);
        if (i % 10000 == 0) judge.put({at, Event::killed, 3});
        if (i % 50000 == 1) judge.put({at, Event::server_up, server, 0, 0, 1000000, 1});
        if (i % 100 == 0) judge.put({at, Event::told, balancer, server, 0, i / 100 % 2, at});
        Asked asked;
        asked.class_index = static_cast<std::uint8_t>(i % 4);
        judge.put({at, Event::asked, 7, balancer, i, 100000, asked.packed()});
        judge.put({at, Event::taken, balancer, 7, i});
        judge.put({at, Event::sending, balancer, server, i, 1});
        judge.put({at, Event::arrived, server, balancer, i, 1, 100});
        if (i % 7 == 0) continue;  // never answered
        if (i % 5 != 0) {
            judge.put({at, Event::ran, server, balancer, i, 1, 1});
            judge.put({at, Event::replied, server, balancer, i, 1, 0});
        }
        judge.put({at, Event::final_answer, balancer, 7, i, i % 5 == 0 ? 2U : 0U});
        most = std::max(most, judge.held());
    }
    judge.put({calls * 100, Event::over});
    EXPECT_EQ(judge.finish().counts.asked, calls);
    // A call is due after 120 ms and at the most kept 220 ms more: 3,400 calls, each with a timer; 16 words;
    // the arrivals of a span at each of four servers.
    EXPECT_LE(most, 2U * 3401 + 16 + 1000 + 4);
    EXPECT_GE(most, 2U * 1200);
}

}  // namespace
}  // namespace flaxdoor::lab
