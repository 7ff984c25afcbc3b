// The load client puts each call down under the right outcome.
#include <algorithm>
#include <stdexcept>

#include "rig.h"
#include "standins/load_client.h"

namespace flaxdoor::standins {
namespace {

class ClientTest : public Rig {
protected:
    LoadClient::Settings towards(const BookingNode& to, std::uint64_t calls = 1) {
        LoadClient::Settings settings;
        settings.targets = {to.address()};
        settings.connections = 1;
        settings.calls = calls;
        settings.classes[0].budget_ms = 10'000;
        settings.on_result = [this](const CallResult& result) { results.push_back(result); };
        return settings;
    }
    ClientReport run(LoadClient::Settings settings) {
        results.clear();
        LoadClient client(loop, std::move(settings));
        client.start();
        EXPECT_TRUE(wait_until([&] { return client.done(); }));
        return client.report();
    }
    // What becomes of one call under a fault.
    ClientReport under(const char* spec) {
        const auto n = node();
        fault(*n, spec);
        return run(towards(*n));
    }
    // Calls that go on waiting far beyond their budget.
    LoadClient::Settings patient(const BookingNode& to, int budget_ms, std::uint64_t calls = 1) {
        auto settings = towards(to, calls);
        settings.classes[0].budget_ms = budget_ms;
        settings.wait_beyond = std::chrono::hours(1);
        return settings;
    }
    static std::uint64_t of(const ClientReport& report, Outcome outcome) { return report.total()[outcome]; }

    std::vector<CallResult> results;
};

TEST_F(ClientTest, OutcomesFollowWhatComes) {
    for (const auto& [spec, outcome, status] :
         {std::tuple{"answer", Outcome::served, 200},
          {"answer,framing=chunked", Outcome::served, 200},
          {"answer,framing=until_end", Outcome::served, 200},
          {"informational,count=2", Outcome::served, 200},
          {"slow_bytes=50,every=1", Outcome::served, 200},
          {"turn_away", Outcome::refused, 503},
          {"status=429", Outcome::refused, 429},
          {"status=503", Outcome::refused, 503},
          {"status=500", Outcome::failed, 500},
          {"status=204", Outcome::failed, 204},
          {"foreign_answer", Outcome::foreign, 200},
          {"wrong_length=-3", Outcome::foreign, 200},
          {"wrong_length=3,end=fin", Outcome::broken, 0},
          {"after_n_request_bytes=0", Outcome::broken, 0},
          {"after_last_byte,end=fin", Outcome::broken, 0},
          {"after_work,end=rst", Outcome::broken, 0},
          {"after_head,end=fin", Outcome::broken, 0},
          {"after_n_body_bytes=5,end=rst", Outcome::broken, 0},
          {"after_n_body_bytes=5,end=fin,framing=chunked", Outcome::broken, 0},
          // Cut with no length it is whole, but not taken for its own.
          {"after_n_body_bytes=5,end=fin,framing=until_end", Outcome::foreign, 200},
          {"noise=500,end=fin", Outcome::broken, 0},
          {"refuse", Outcome::broken, 0}}) {
        const auto report = under(spec);
        EXPECT_EQ(of(report, outcome), 1U) << spec << "\n" << report.table();
        EXPECT_EQ(report.total().calls, 1U);
        ASSERT_EQ(results.size(), 1U);
        EXPECT_EQ(results[0].status, status) << spec;
    }
}

TEST_F(ClientTest, InformationalAndSurplusAreCounted) {
    EXPECT_EQ(under("informational,count=2").informational, 2U);
    EXPECT_EQ(under("second_answer").surplus, 1U);
    EXPECT_EQ(under("wrong_length=-3").surplus, 1U);
    EXPECT_EQ(under("answer").surplus, 0U);
    EXPECT_EQ(under("refuse").connects_failed, 1U);
}

TEST_F(ClientTest, ASecondAnswerThatComesBetweenCallsIsSurplus) {
    const auto n = node();
    fault(*n, "second_answer,late=1,times=1");
    fault(*n, "never");  // the other call keeps the client waiting meanwhile
    auto settings = towards(*n, 2);
    settings.connections = 2;
    LoadClient client(loop, settings);
    client.start();
    ASSERT_TRUE(wait_until([&] { return n->counts().answered == 1 && client.report().surplus == 1; }));
    EXPECT_EQ(of(client.report(), Outcome::served), 1U);
}

TEST_F(ClientTest, OpenLoopCallsAreAsLateAsTheClientItself) {
    const auto n = node();
    auto settings = towards(*n, 20);
    settings.rate = 20'000;
    settings.connections = 20;
    LoadClient client(loop, settings);
    client.start();
    const auto begun = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - begun < milliseconds(100)) {
        // The client's own process stands still.
    }
    ASSERT_TRUE(wait_until([&] { return client.done(); }));
    ASSERT_EQ(results.size(), 20U);
    for (const auto& result : results) EXPECT_GE(result.ended - result.intended, milliseconds(80));
    EXPECT_GE(client.report().lag_most, milliseconds(80));
}

TEST_F(ClientTest, LateIsAWholeAnswerAfterTheBudget) {
    const auto n = node(working(milliseconds(40)));
    const auto report = run(patient(*n, 5));
    EXPECT_EQ(of(report, Outcome::late), 1U) << report.table();
    EXPECT_EQ(results[0].status, 200);
    EXPECT_EQ(report.total().answered.count(), 1U);
    EXPECT_EQ(report.total().served.count(), 0U);
    EXPECT_GE(report.total().answered.most(), milliseconds(40));
}

TEST_F(ClientTest, ASlowAnswerIsAsLateAsItsLastByte) {
    const auto n = node();
    fault(*n, "slow_bytes=1,every=1,class=browse");
    EXPECT_EQ(of(run(patient(*n, 2)), Outcome::late), 1U);
}

TEST_F(ClientTest, UnansweredIsGivenUp) {
    const auto n = node();
    fault(*n, "never");
    auto settings = towards(*n);
    settings.classes[0].budget_ms = 5;
    settings.wait_beyond = milliseconds(10);
    const auto report = run(settings);
    EXPECT_EQ(of(report, Outcome::unanswered), 1U);
    EXPECT_GE(results[0].ended - results[0].intended, milliseconds(15));
    EXPECT_TRUE(wait_until([&] { return n->counts().open == 0; }));
}

TEST_F(ClientTest, LeavingIsItsOwnOutcomeAndStopsNothing) {
    const auto n = node(working(milliseconds(300)));
    auto settings = patient(*n, 20, 4);
    settings.connections = 4;
    settings.leaves = 1;
    EXPECT_EQ(of(run(settings), Outcome::left), 4U);
    ASSERT_TRUE(wait_until([&] { return n->counts().open == 0; }));
    EXPECT_EQ(n->counts().answered, 0U);
}

TEST_F(ClientTest, HalfClosedAndSlowCallsAreSent) {
    BookingNode::Settings open;
    open.answer_half_closed = true;
    const auto n = node(open);
    auto settings = towards(*n, 3);
    settings.half_closes = 1;
    settings.slow = 1;
    const auto report = run(settings);
    EXPECT_EQ(of(report, Outcome::served), 3U);
    EXPECT_EQ(report.connections, 3U);  // a half-closed connection serves one call
    for (const auto& result : results) EXPECT_GE(result.ended - result.intended, milliseconds(50));
    // A node that takes the end of sending for giving up does not answer.
    const auto other = node(working(milliseconds(5)));
    settings = towards(*other);
    settings.half_closes = 1;
    EXPECT_EQ(of(run(settings), Outcome::broken), 1U);
    EXPECT_EQ(other->counts().given_up, 1U);
}

TEST_F(ClientTest, KeepsConnectionsOrNot) {
    const auto n = node();
    auto settings = towards(*n, 20);
    EXPECT_EQ(run(settings).connections, 1U);
    settings.keep_alive = false;
    const auto report = run(settings);
    EXPECT_EQ(report.connections, 20U);
    EXPECT_EQ(of(report, Outcome::served), 20U);
}

TEST_F(ClientTest, EachCallHasItsOwnIdAndTheNodeSawEach) {
    const auto n = node();
    auto settings = towards(*n, 500);
    settings.connections = 10;
    settings.classes = {{"browse", CallKind::safe, 2, 10'000, 0},
                        {"hold", CallKind::keyed, 1, 10'000, 50},
                        {"pay", CallKind::unsafe, 1, 10'000, 3000}};
    settings.callers = {"acme", "zeta"};
    settings.about = 10;
    const auto report = run(settings);
    EXPECT_EQ(of(report, Outcome::served), 500U) << report.table();
    std::vector<std::string> ids;
    for (const auto& result : results) {
        ids.push_back(result.call_id);
        const auto* record = n->effects().find(result.call_id);
        ASSERT_NE(record, nullptr);
        EXPECT_EQ(record->runs, 1U);
        EXPECT_EQ(record->key, result.key);
        EXPECT_EQ(record->key.empty(), result.kind != CallKind::keyed);
        EXPECT_EQ(record->operation, result.operation);
    }
    std::sort(ids.begin(), ids.end());
    EXPECT_EQ(std::adjacent_find(ids.begin(), ids.end()), ids.end());
    EXPECT_EQ(report.classes.size(), 3U);
    EXPECT_GT(report.classes.at("pay").calls, 50U);
    EXPECT_TRUE(n->effects().ran_again().empty());
}

TEST_F(ClientTest, CarelessRetriesDoAnEffectTwice) {
    const auto n = node();
    fault(*n, "after_work,times=2");
    auto settings = towards(*n, 2);
    settings.classes = {{"pay", CallKind::unsafe, 1, 10'000, 10}};
    settings.retries = 3;
    const auto report = run(settings);
    EXPECT_EQ(of(report, Outcome::served), 2U);
    EXPECT_EQ(report.total().again, 2U);
    EXPECT_EQ(n->effects().counts().operation_again, 2U);
    EXPECT_NE(results[0].call_id, results[0].first_call_id);
    EXPECT_EQ(results[0].tries, 3U);
}

TEST_F(ClientTest, CarelessRetriesOfAKeyAreDropped) {
    const auto n = node();
    fault(*n, "after_work,times=1");
    auto settings = towards(*n);
    settings.classes = {{"hold", CallKind::keyed, 1, 10'000, 10}};
    settings.retries = 1;
    EXPECT_EQ(of(run(settings), Outcome::served), 1U);
    EXPECT_EQ(n->counts().dropped, 1U);
    EXPECT_EQ(n->effects().counts().key_again, 0U);
    EXPECT_EQ(n->effects().counts().operation_again, 0U);
}

TEST_F(ClientTest, AKeptConnectionThatEndsMayBeCrossed) {
    for (const bool resend : {false, true}) {
        const auto n = node();
        fault(*n, "after_last_byte,end=rst,req=2");
        auto settings = towards(*n, 2);
        settings.resend_crossed = resend;
        const auto report = run(settings);
        EXPECT_EQ(report.broken_kept, 1U);
        EXPECT_EQ(of(report, Outcome::served), resend ? 2U : 1U);
        EXPECT_EQ(of(report, Outcome::broken), resend ? 0U : 1U);
        EXPECT_EQ(report.total().resent, resend ? 1U : 0U);
    }
    // On a new connection there is nothing to cross.
    const auto n = node();
    fault(*n, "after_last_byte,end=rst,times=1");
    auto settings = towards(*n);
    settings.resend_crossed = true;
    EXPECT_EQ(of(run(settings), Outcome::broken), 1U);
}

TEST_F(ClientTest, OpenLoopCountsFromTheIntendedTime) {
    auto slow = working(milliseconds(5));
    slow.workers = 1;
    const auto n = node(slow);
    auto settings = towards(*n, 20);
    settings.rate = 1e6;  // all at once
    settings.connections = 1;
    const auto report = run(settings);
    EXPECT_EQ(of(report, Outcome::served), 20U);
    // The last waited for 19 others, though it was sent only when the one before it was done.
    EXPECT_GE(report.total().served.most(), milliseconds(90));
    EXPECT_GE(report.lag_most, milliseconds(85));
}

TEST_F(ClientTest, OpenLoopBudgetsCountFromTheIntendedTimeToo) {
    const auto n = node(working(milliseconds(20)));
    auto settings = patient(*n, 50, 6);
    settings.rate = 1e6;
    const auto report = run(settings);
    EXPECT_GE(of(report, Outcome::late), 4U) << report.table();
}

TEST_F(ClientTest, OpenLoopLeavesOutWhatIsTooMany) {
    const auto n = node();
    fault(*n, "never");
    auto settings = towards(*n, 100);
    settings.rate = 1e6;
    settings.out_most = 10;
    settings.classes[0].budget_ms = 100;
    settings.wait_beyond = milliseconds(0);
    const auto report = run(settings);
    EXPECT_EQ(report.total().calls + report.not_sent, 100U);
    EXPECT_GE(report.not_sent, 1U);
    EXPECT_EQ(of(report, Outcome::unanswered), report.total().calls);
}

TEST_F(ClientTest, ArrivalsFollowTheSeed) {
    const auto n = node();
    auto settings = towards(*n, 50);
    settings.rate = 5000;
    settings.classes = {{"a", CallKind::safe, 1, 10'000, 0}, {"b", CallKind::unsafe, 1, 10'000, 10}};
    const auto classes = [&](std::uint64_t seed) {
        settings.seed = seed;
        run(settings);
        std::vector<std::pair<std::string, std::string>> seen;
        for (const auto& result : results) seen.emplace_back(result.call_id, result.cls);
        std::sort(seen.begin(), seen.end());
        return seen;
    };
    const auto first = classes(3);
    EXPECT_EQ(first, classes(3));
    EXPECT_NE(first, classes(4));
}

TEST_F(ClientTest, TargetsAreDealtOutInTurn) {
    const auto a = node(), b = node();
    auto settings = towards(*a, 10);
    settings.targets.push_back(b->address());
    settings.keep_alive = false;
    run(settings);
    EXPECT_EQ(a->counts().ran, 5U);
    EXPECT_EQ(b->counts().ran, 5U);
}

TEST_F(ClientTest, StopEndsTheSending) {
    const auto n = node();
    auto settings = towards(*n, 0);
    settings.duration = std::chrono::hours(1);
    LoadClient client(loop, settings);
    client.start();
    ASSERT_TRUE(wait_until([&] { return client.report().total().calls >= 10; }));
    client.stop();
    ASSERT_TRUE(wait_until([&] { return client.done(); }));
    EXPECT_TRUE(wait_until([&] { return n->counts().open == 0; }));
}

TEST_F(ClientTest, SettingsThatCannotBeFollowedAreNamed) {
    const auto n = node();
    const auto says = [&](const char* field, auto change) {
        auto wrong = towards(*n);
        change(wrong);
        try {
            const LoadClient client(loop, wrong);
            ADD_FAILURE() << field;
        } catch (const std::invalid_argument& error) {
            EXPECT_TRUE(std::string(error.what()).starts_with(field)) << error.what();
        }
    };
    says("calls", [](auto& s) { s.calls = 0; });
    says("targets", [](auto& s) { s.targets.clear(); });
    says("classes", [](auto& s) { s.classes[0].body_bytes = 1 << 20; });
    says("rate", [](auto& s) {
        s.rate = 1e6;
        s.calls = 0;
        s.duration = std::chrono::hours(1);
    });
}

TEST_F(ClientTest, ReportsAsTableAndJson) {
    const auto report = under("answer");
    EXPECT_NE(report.table().find("browse"), std::string::npos);
    const auto json = report.json();
    EXPECT_EQ(json.find('\n'), std::string::npos);
    EXPECT_NE(json.find(R"("served":1)"), std::string::npos) << json;
    EXPECT_NE(json.find(R"("p99.9":)"), std::string::npos);
}

}  // namespace
}  // namespace flaxdoor::standins
