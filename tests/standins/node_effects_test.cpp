// Effects are counted right, repeats of keys dropped, and the node keeps to its limits.
#include "rig.h"

namespace flaxdoor::standins {
namespace {

class NodeEffects : public Rig {
protected:
    // Turned away, and marked so: it has not run.
    static void expect_turned_away(const Answer& answer) {
        EXPECT_EQ(answer.status, 503);
        EXPECT_EQ(answer["X-Rejected"], "1");
    }
};

TEST_F(NodeEffects, RecordsEachRequestThatRan) {
    const auto n = node();
    const auto c = connect(*n);
    auto asked = call(CallKind::unsafe, "pay");
    asked.target = "/api?x=1&op=o7";
    expect_served(*c, asked);
    const auto* record = n->effects().find(asked.call_id);
    ASSERT_NE(record, nullptr);
    EXPECT_EQ(record->cls, "pay");
    EXPECT_EQ(record->operation, "o7");
    EXPECT_EQ(record->attempts, 1U);
    EXPECT_EQ(record->runs, 1U);
    EXPECT_EQ(record->answers, 1U);
    EXPECT_EQ(record->out, 0U);
    EXPECT_LE(record->first_byte, record->last_byte);
    ASSERT_EQ(record->first_runs.size(), 1U);
    EXPECT_EQ(record->first_runs[0].node, n->name());
    std::vector<Kind> kinds;
    for (const auto& e : n->events()) kinds.push_back(e.kind);
    EXPECT_EQ(kinds, (std::vector{Kind::accepted, Kind::first_byte, Kind::last_byte, Kind::ran,
                                  Kind::finished, Kind::answered}));
}

TEST_F(NodeEffects, FirstAndLastByteAreApartWhenARequestComesSlowly) {
    const auto n = node();
    const auto c = connect(*n);
    const auto asked = call();
    const auto text = text_of(asked);
    c->send(text.substr(0, 5));
    ASSERT_TRUE(happened(*n, Kind::first_byte));
    EXPECT_EQ(n->effects().find(asked.call_id), nullptr);
    c->send_slowly(text.substr(5), 20, milliseconds(1));
    ASSERT_TRUE(answered(*c));
    const auto* record = n->effects().find(asked.call_id);
    EXPECT_GE(record->last_byte - record->first_byte, milliseconds(2));
}

TEST_F(NodeEffects, RunsOfOneIdAreCountedAcrossNodes) {
    BookingNode::Settings settings;
    settings.effects = std::make_shared<Effects>();
    const auto a = node(settings), b = node(settings);
    const auto unsafe = call(CallKind::unsafe), safe = call();
    for (const auto* n : {a.get(), b.get()}) {
        const auto c = connect(*n);
        expect_served(*c, unsafe);
        expect_served(*c, safe);
    }
    EXPECT_EQ(settings.effects->counts().unsafe_again, 1U);
    EXPECT_EQ(settings.effects->counts().safe_again, 1U);
    EXPECT_EQ(settings.effects->counts().second_copies, 0U);
    EXPECT_EQ(settings.effects->find(unsafe.call_id)->runs, 2U);
    EXPECT_EQ(settings.effects->ran_again(), std::vector{unsafe.call_id});
}

TEST_F(NodeEffects, TriesOfOneOperationUnderNewIdsAreOneEffectTwice) {
    const auto n = node();
    const auto c = connect(*n);
    for (int i = 0; i < 2; ++i) {
        auto asked = call(CallKind::unsafe);
        asked.target = "/api?op=seat-7";
        expect_served(*c, asked);
    }
    EXPECT_EQ(n->effects().counts().unsafe_again, 0U);
    EXPECT_EQ(n->effects().counts().operation_again, 1U);
    EXPECT_EQ(n->effects().runs_of_operation("seat-7"), 2U);
}

TEST_F(NodeEffects, ASecondCopyIsOneThatIsOutBesideTheFirst) {
    auto settings = working();
    settings.effects = std::make_shared<Effects>();
    const auto n = node(settings);
    const auto asked = call();
    const auto a = connect(*n), b = connect(*n);
    a->send(asked);
    ASSERT_TRUE(happened(*n, Kind::ran));
    b->send(asked);
    ASSERT_TRUE(happened(*n, Kind::ran, 2));
    EXPECT_EQ(n->effects().counts().second_copies, 1U);
    a->leave();
    b->leave();
    ASSERT_TRUE(happened(*n, Kind::given_up, 2));
    EXPECT_EQ(n->effects().find(asked.call_id)->out, 0U);
    const auto c = connect(*n);
    c->send(asked);
    ASSERT_TRUE(happened(*n, Kind::ran, 3));
    EXPECT_EQ(n->effects().counts().second_copies, 1U);
}

TEST_F(NodeEffects, ACancelStopsNothing) {
    for (const bool by_reset : {false, true}) {
        const auto n = node(working(milliseconds(5)));
        const auto c = connect(*n);
        const auto asked = call(CallKind::unsafe);
        c->send(asked);
        ASSERT_TRUE(happened(*n, Kind::ran));
        by_reset ? c->reset() : c->leave();
        ASSERT_TRUE(happened(*n, Kind::given_up));
        ASSERT_TRUE(happened(*n, Kind::finished));
        run_ready();
        EXPECT_EQ(n->counts().answered, 0U);
        EXPECT_EQ(n->effects().find(asked.call_id)->runs, 1U);
        EXPECT_EQ(n->effects().find(asked.call_id)->answers, 0U);
    }
}

TEST_F(NodeEffects, AQueuedRequestRunsThoughItsClientHasLeft) {
    auto settings = working(milliseconds(5));
    settings.workers = 1;
    const auto n = node(settings);
    const auto a = connect(*n), b = connect(*n);
    a->send(call());
    ASSERT_TRUE(happened(*n, Kind::ran));
    const auto asked = call(CallKind::unsafe);
    b->send(asked);
    ASSERT_TRUE(happened(*n, Kind::last_byte, 2));
    b->leave();
    ASSERT_TRUE(happened(*n, Kind::finished, 2));
    EXPECT_EQ(n->effects().find(asked.call_id)->runs, 1U);
}

TEST_F(NodeEffects, TheEndOfSendingGivesUpUnlessAskedOtherwise) {
    for (const bool answers : {false, true}) {
        auto settings = working(milliseconds(2));
        settings.answer_half_closed = answers;
        const auto n = node(settings);
        const auto c = connect(*n);
        c->send(call());
        c->half_close();
        expect_end(*c, End::fin);
        EXPECT_EQ(c->answers().size(), answers ? 1U : 0U);
        EXPECT_EQ(n->counts().given_up, answers ? 0U : 1U);
        ASSERT_TRUE(happened(*n, Kind::finished));
    }
}

TEST_F(NodeEffects, ARepeatOfAKeyIsDroppedAndAnsweredAsTheFirst) {
    const auto n = node();
    const auto c = connect(*n);
    const auto first = call(CallKind::keyed);
    expect_served(*c, first);
    auto repeat = first;
    repeat.call_id = "another-id";
    expect_served(*c, repeat);
    EXPECT_EQ(c->answers()[1].body, c->answers()[0].body);
    EXPECT_EQ(n->counts().dropped, 1U);
    EXPECT_EQ(n->counts().ran, 1U);
    EXPECT_EQ(n->effects().runs_of_key(first.key), 1U);
    EXPECT_EQ(n->effects().counts().key_again, 0U);
}

TEST_F(NodeEffects, ARepeatWaitsForTheFirstThatIsStillAtWork) {
    const auto n = node(working(milliseconds(10)));
    const auto a = connect(*n), b = connect(*n);
    const auto first = call(CallKind::keyed);
    a->send(first);
    ASSERT_TRUE(happened(*n, Kind::ran));
    b->send(first);
    ASSERT_TRUE(happened(*n, Kind::dropped));
    EXPECT_TRUE(b->answers().empty());
    a->leave();  // the first's client need not stay
    ASSERT_TRUE(answered(*b));
    EXPECT_TRUE(made_for(b->answers()[0], first));
    EXPECT_EQ(n->counts().ran, 1U);
}

TEST_F(NodeEffects, BeyondTheWindowAKeyRunsAgain) {
    BookingNode::Settings settings;
    settings.key_window = milliseconds(0);
    const auto n = node(settings);
    const auto c = connect(*n);
    const auto asked = call(CallKind::keyed);
    for (int i = 0; i < 2; ++i) expect_served(*c, asked);
    EXPECT_EQ(n->counts().dropped, 0U);
    EXPECT_EQ(n->effects().counts().key_again, 1U);
    EXPECT_EQ(n->effects().ran_again(), std::vector{asked.key});
}

TEST_F(NodeEffects, NodesOfAGroupDropOneAnothersRepeats) {
    BookingNode::Settings settings;
    settings.effects = std::make_shared<Effects>();
    const auto other_group = node(settings);
    settings.keys = std::make_shared<KeyWindow>(milliseconds(60'000), 100);
    const auto a = node(settings), b = node(settings);
    const auto asked = call(CallKind::keyed);
    for (const auto* n : {a.get(), b.get(), other_group.get()}) expect_served(*connect(*n), asked);
    EXPECT_EQ(b->counts().dropped, 1U);
    EXPECT_EQ(other_group->counts().dropped, 0U);
    EXPECT_EQ(settings.effects->counts().key_again, 1U);
}

TEST_F(NodeEffects, ARepeatRunsElsewhereWhenTheFirstDiedInTheQueue) {
    auto settings = working();
    settings.workers = 1;
    settings.keys = std::make_shared<KeyWindow>(milliseconds(60'000), 100);
    const auto a = node(settings);
    settings.work.mean = milliseconds(0);
    const auto b = node(settings);
    const auto busy = connect(*a), first = connect(*a), second = connect(*b);
    busy->send(call());
    ASSERT_TRUE(happened(*a, Kind::ran));
    const auto asked = call(CallKind::keyed);
    first->send(asked);
    ASSERT_TRUE(happened(*a, Kind::last_byte, 2));
    second->send(asked);
    ASSERT_TRUE(happened(*b, Kind::dropped));
    a->die();
    ASSERT_TRUE(answered(*second));
    EXPECT_TRUE(made_for(second->answers()[0], asked));
    EXPECT_EQ(b->counts().ran, 1U);
}

TEST_F(NodeEffects, KeysAreBounded) {
    BookingNode::Settings settings;
    settings.keys = std::make_shared<KeyWindow>(milliseconds(60'000), 10);
    const auto n = node(settings);
    const auto c = connect(*n);
    for (int i = 0; i < 50; ++i) expect_served(*c, call(CallKind::keyed));
    EXPECT_LE(settings.keys->size(), 11U);
}

TEST_F(NodeEffects, RecordsAndEventsAreBounded) {
    BookingNode::Settings settings;
    settings.records_most = 5;
    settings.events_most = 20;
    const auto n = node(settings);
    const auto c = connect(*n);
    for (int i = 0; i < 12; ++i) expect_served(*c, call());
    EXPECT_EQ(n->effects().counts().records_lost, 7U);
    EXPECT_EQ(n->effects().counts().ran, 12U);
    EXPECT_EQ(n->events().size(), 20U);
    EXPECT_GT(n->counts().events_lost, 0U);
}

TEST_F(NodeEffects, CountsAloneStillSeeRepeats) {
    BookingNode::Settings settings;
    settings.detail = Detail::counts;
    settings.key_window = milliseconds(0);
    const auto n = node(settings);
    const auto c = connect(*n);
    const auto unsafe = call(CallKind::unsafe), keyed = call(CallKind::keyed), safe = call();
    for (int i = 0; i < 3; ++i)
        for (const auto* asked : {&unsafe, &keyed, &safe}) expect_served(*c, *asked);
    EXPECT_EQ(n->counts().ran, 9U);
    EXPECT_EQ(n->effects().counts().unsafe_again, 2U);
    EXPECT_EQ(n->effects().counts().safe_again, 2U);
    EXPECT_EQ(n->effects().counts().key_again, 2U);
    EXPECT_TRUE(n->events().empty());
}

TEST(RecentNamesTest, RemembersAtLeastTheLastAndForgetsInTheEnd) {
    RecentNames names(1000);
    for (int i = 0; i < 10'000; ++i) {
        EXPECT_FALSE(names.seen(std::to_string(i)));
        if (i >= 900) {
            EXPECT_TRUE(names.seen(std::to_string(i - 900)));
        }
    }
    EXPECT_FALSE(names.seen("0"));
}

TEST_F(NodeEffects, WorkersAndQueueAreLimited) {
    auto settings = working();
    settings.workers = 2;
    settings.queue_most = 1;
    const auto n = node(settings);
    std::vector<std::unique_ptr<ScriptedClient>> clients;
    for (std::size_t i = 1; i <= 4; ++i) {
        clients.push_back(connect(*n));
        clients.back()->send(call());
        ASSERT_TRUE(happened(*n, Kind::last_byte, i));
    }
    ASSERT_TRUE(answered(*clients[3]));
    expect_turned_away(clients[3]->answers()[0]);
    EXPECT_EQ(n->counts().running, 2U);
    EXPECT_EQ(n->counts().queued, 1U);
    EXPECT_EQ(n->counts().ran, 2U);
}

TEST_F(NodeEffects, WhatWaitedBeyondItsBudgetIsTurnedAwayIfAskedTo) {
    auto settings = working(milliseconds(200));
    settings.workers = 1;
    settings.turn_away_late = true;
    const auto n = node(settings);
    const auto a = connect(*n), b = connect(*n);
    a->send(call());
    ASSERT_TRUE(happened(*n, Kind::ran));
    auto asked = call(CallKind::unsafe);
    asked.budget_ms = 1;
    expect_turned_away(ask(*b, asked));
    EXPECT_EQ(n->effects().find(asked.call_id)->runs, 0U);
}

TEST_F(NodeEffects, ConnectionsBeyondTheCapAreTurnedAway) {
    BookingNode::Settings settings;
    settings.connections_most = 2;
    const auto n = node(settings);
    const auto a = connect(*n), b = connect(*n);
    ASSERT_TRUE(happened(*n, Kind::accepted, 2));
    const auto c = connect(*n);
    expect_turned_away(ask(*c));
    ASSERT_TRUE(ended(*c));
    EXPECT_EQ(n->counts().ran, 0U);
    EXPECT_EQ(n->counts().over_cap, 1U);
    expect_served(*a, call());
}

TEST_F(NodeEffects, IdleConnectionsAreClosed) {
    auto settings = working(milliseconds(30));
    settings.idle_close = milliseconds(5);
    const auto n = node(settings);
    const auto c = connect(*n);
    expect_served(*c, call());  // work is no idleness
    expect_end(*c, End::fin);
    EXPECT_EQ(n->counts().idle_closed, 1U);
    EXPECT_GE(n->events().back().at - c->answer_times()[0], milliseconds(0));
}

TEST_F(NodeEffects, RequestsSentAheadAreAnsweredInTurn) {
    const auto n = node(working(milliseconds(1)));
    const auto c = connect(*n);
    const auto first = call(), second = call(CallKind::unsafe), third = call();
    c->send(text_of(first) + text_of(second) + text_of(third));
    ASSERT_TRUE(answered(*c, 3));
    EXPECT_TRUE(made_for(c->answers()[0], first));
    EXPECT_TRUE(made_for(c->answers()[1], second));
    EXPECT_TRUE(made_for(c->answers()[2], third));
}

TEST_F(NodeEffects, BodiesInChunksAndLargeOnesAreRead) {
    const auto n = node();
    const auto c = connect(*n);
    c->send(
        "POST /api HTTP/1.1\r\nX-Call-Id: a\r\nX-Call-Class: pay\r\nTransfer-Encoding: "
        "chunked\r\n\r\n3\r\nabc\r\n");
    c->send("2\r\nde\r\n0\r\n\r\n");
    ASSERT_TRUE(answered(*c));
    EXPECT_TRUE(made_for(c->answers()[0].body, "a", "pay", "", "abcde"));
    auto large = call(CallKind::unsafe);
    large.body.assign(body_bytes_most, 'x');
    expect_served(*c, large);
    large.body.push_back('x');
    EXPECT_EQ(ask(*c, large).status, 400);
}

TEST_F(NodeEffects, IdsThatNobodySentAndNoIdAreDenied) {
    BookingNode::Settings settings;
    settings.known_call = [](std::string_view id) { return id != "made-up"; };
    const auto n = node(settings);
    const auto c = connect(*n);
    auto asked = call();
    asked.call_id = "made-up";
    EXPECT_EQ(ask(*c, asked).status, 400);
    asked.call_id.clear();
    EXPECT_EQ(ask(*c, asked).status, 404);
    EXPECT_EQ(n->counts().ran, 0U);
}

TEST_F(NodeEffects, LoadReportsHaveTheNamesAskedFor) {
    auto settings = working();
    settings.workers = 2;
    settings.report = {{BookingNode::Measure::inflight, "active"},
                       {BookingNode::Measure::queue, "waiting"},
                       {BookingNode::Measure::util, "cpu"},
                       {BookingNode::Measure::latency_ms, "avg_ms"},
                       {BookingNode::Measure::eps, "err_rps"}};
    settings.work_by_class["quick"] = Work{};
    const auto n = node(settings);
    const auto a = connect(*n), b = connect(*n);
    a->send(call());
    ASSERT_TRUE(happened(*n, Kind::ran));
    const auto report_of_quick = [&] {
        return std::string(ask(*b, call(CallKind::safe, "quick"))["X-Load-Report"]);
    };
    const auto report = report_of_quick();
    EXPECT_TRUE(report.starts_with("active=1,waiting=0,cpu=0.500,avg_ms=")) << report;
    EXPECT_NE(report.find(",err_rps=0.000"), std::string::npos) << report;
    fault(*n, "status=500,class=quick");
    const auto after = report_of_quick();
    EXPECT_EQ(after.find(",err_rps=0.000"), std::string::npos) << after;
}

TEST_F(NodeEffects, ProbesAreAnsweredWhereAllowed) {
    for (const bool allowed : {false, true}) {
        BookingNode::Settings settings;
        settings.probes = allowed;
        settings.report = {{BookingNode::Measure::inflight, "active"}};
        const auto n = node(settings);
        const auto c = connect(*n);
        c->send("GET /health HTTP/1.1\r\n\r\nGET /status/load HTTP/1.1\r\n\r\n");
        ASSERT_TRUE(answered(*c, 2));
        EXPECT_EQ(c->answers()[0].status, allowed ? 200 : 404);
        EXPECT_EQ(c->answers()[1].body, allowed ? "active=0" : "no probes here\n");
        EXPECT_EQ(n->counts().ran, 0U);
    }
}

TEST_F(NodeEffects, OneWhoIsToldOfAnEventMayDoAnything) {
    auto settings = working(milliseconds(1));
    BookingNode* self = nullptr;
    settings.on_event = [&](const NodeEvent& e) {
        if (e.kind == Kind::last_byte) self->die();
    };
    const auto n = node(settings);
    self = n.get();
    const auto c = connect(*n);
    c->send(call());
    expect_end(*c, End::rst);
}

TEST_F(NodeEffects, TheNodeMayEndAtAnyTime) {
    auto n = node(working(milliseconds(1)));
    const auto a = connect(*n), b = connect(*n);
    a->send(call());
    ASSERT_TRUE(happened(*n, Kind::ran));
    n.reset();
    ASSERT_TRUE(ended(*a));
    ASSERT_TRUE(ended(*b));
}

}  // namespace
}  // namespace flaxdoor::standins
