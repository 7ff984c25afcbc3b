// Each named point does what it says, as seen from a plain connection and in the node's counts.
#include <algorithm>

#include "rig.h"

namespace flaxdoor::standins {
namespace {

// How far a request got at the node; each implies those above it but for `turned_away`.
enum class Far { untouched, read, turned_away, ran, answered };

// One request under one fault: what its client gets, and what the node knows of it.
struct Exchange {
    const char* fault;
    End end;                     // of the connection
    int status;                  // of the whole answer; 0: none comes
    Far far;                     //
    bool own = true;             // the answer was made for this request
    const char* part = nullptr;  // the body so far of an answer that is not whole; null: not even its head
};

class NodeFault : public Rig {
protected:
    void exchange(const Exchange& expected) {
        const auto n = node();
        if (*expected.fault) fault(*n, expected.fault);
        const auto c = connect(*n);
        const auto asked = call(CallKind::unsafe);
        c->send(asked);
        ASSERT_TRUE(wait_until([&] {
            return c->answers().size() == (expected.status != 0 ? 1U : 0U) &&
                   (c->end() != End::open) == (expected.end != End::open) &&
                   n->counts().faults == (*expected.fault ? 1U : 0U);
        }));
        run_ready();
        EXPECT_EQ(c->end(), expected.end);
        ASSERT_EQ(c->answers().size(), expected.status != 0 ? 1U : 0U);
        if (expected.status != 0) {
            EXPECT_EQ(c->answers()[0].status, expected.status);
            EXPECT_EQ(made_for(c->answers()[0], asked), expected.own && expected.status == 200);
            EXPECT_EQ(c->answers()[0]["X-Rejected"], expected.far == Far::turned_away ? "1" : "");
        } else if (expected.part) {
            EXPECT_TRUE(c->head_read());
            EXPECT_EQ(c->part().body, expected.part);
        } else {
            EXPECT_EQ(c->raw(), "");
        }
        const auto counts = n->counts();
        EXPECT_EQ(counts.begun, expected.far > Far::untouched ? 1U : 0U);
        EXPECT_EQ(counts.started, expected.far > Far::untouched ? 1U : 0U);
        EXPECT_EQ(counts.turned_away, expected.far == Far::turned_away ? 1U : 0U);
        EXPECT_EQ(counts.ran, expected.far >= Far::ran ? 1U : 0U);
        EXPECT_EQ(counts.finished, counts.ran);
        EXPECT_EQ(counts.answered, expected.far == Far::answered ? 1U : 0U);
        const auto* record = n->effects().find(asked.call_id);
        EXPECT_EQ(record ? record->runs : 0U, counts.ran);
        EXPECT_EQ(record ? record->answers : 0U, counts.answered);
    }
};

TEST_F(NodeFault, EachPointDoesWhatItSays) {
    for (const Exchange& expected : std::vector<Exchange>{
             {"", End::open, 200, Far::answered},
             {"answer,framing=length", End::open, 200, Far::answered},
             {"answer,framing=chunked", End::open, 200, Far::answered},
             {"answer,framing=until_end", End::fin, 200, Far::answered},
             {"after_n_request_bytes=0,end=rst", End::rst, 0, Far::untouched},
             {"after_n_request_bytes=0,end=fin", End::fin, 0, Far::untouched},
             {"after_last_byte,end=rst", End::rst, 0, Far::read},
             {"after_last_byte,end=fin", End::fin, 0, Far::read},
             {"after_last_byte,end=silence", End::open, 0, Far::read},
             {"never", End::open, 0, Far::ran},
             {"never,run=0", End::open, 0, Far::read},
             {"after_work,end=rst", End::rst, 0, Far::ran},
             {"after_work,end=fin", End::fin, 0, Far::ran},
             {"after_work,end=silence", End::open, 0, Far::ran},
             {"after_head,end=fin", End::fin, 0, Far::ran, true, ""},
             {"after_head,end=fin,framing=chunked", End::fin, 0, Far::ran, true, ""},
             {"after_n_body_bytes=5,end=fin", End::fin, 0, Far::ran, true, "id=ca"},
             {"after_n_body_bytes=5,end=fin,framing=chunked", End::fin, 0, Far::ran, true, "id=ca"},
             {"after_n_body_bytes=5,end=silence", End::open, 0, Far::ran, true, "id=ca"},
             {"foreign_answer", End::open, 200, Far::ran, false},
             {"status=500", End::open, 500, Far::ran},
             {"status=429,run=0", End::open, 429, Far::read},
             {"status=503,run=0,end=fin", End::fin, 503, Far::read},
             {"turn_away", End::open, 503, Far::turned_away}}) {
        SCOPED_TRACE(expected.fault);
        exchange(expected);
    }
}

TEST_F(NodeFault, BeforeAcceptHoldsTheConnectionUntilListen) {
    const auto n = node();
    fault(*n, "before_accept,conn=1");
    const auto c = connect(*n);
    const auto asked = call();
    c->send(asked);
    ASSERT_TRUE(wait_until([&] { return c->all_sent() && n->count_of(Kind::fault) == 1; }));
    run_ready();
    EXPECT_EQ(n->counts().accepted, 0U);
    EXPECT_EQ(c->end(), End::open);
    n->listen();
    ASSERT_TRUE(answered(*c));
    EXPECT_TRUE(made_for(c->answers()[0], asked));
}

TEST_F(NodeFault, BeforeAcceptLateAcceptsByItself) {
    const auto n = node();
    fault(*n, "before_accept,late=20,conn=2");
    const auto a = connect(*n);
    expect_served(*a, call());
    expect_serves(*n);
    const auto& events = n->events();
    const auto struck =
        std::find_if(events.begin(), events.end(), [](const auto& e) { return e.kind == Kind::fault; });
    const auto accepted = std::find_if(events.begin(), events.end(), [](const auto& e) {
        return e.kind == Kind::accepted && e.connection == 2;
    });
    ASSERT_NE(struck, events.end());
    ASSERT_LT(struck, accepted);
    EXPECT_GE(accepted->at - struck->at, milliseconds(20));
}

TEST_F(NodeFault, BeforeAcceptWithRstResetsWhatWaits) {
    const auto n = node();
    fault(*n, "before_accept,end=rst,times=1");
    expect_end(*connect(*n), End::rst);
    EXPECT_EQ(n->counts().accepted, 0U);
    n->listen();
    expect_serves(*n);
}

TEST_F(NodeFault, RefuseIsTheNthConnection) {
    const auto n = node();
    fault(*n, "refuse,conn=2");
    const auto a = connect(*n);
    expect_served(*a, call());
    expect_end(*connect(*n), End::refused);
    expect_served(*a, call());  // open connections go on
    const auto port = n->address().port();
    n->listen();
    EXPECT_EQ(n->address().port(), port);
    expect_serves(*n);
}

TEST_F(NodeFault, RefuseForATimeEndsByItself) {
    const auto n = node();
    fault(*n, "refuse,for=10");
    auto c = connect(*n);
    expect_end(*c, End::refused);
    EXPECT_TRUE(wait_until([&] {
        if (c->end() == End::refused) c = connect(*n);
        return c->connected();
    }));
}

// Nothing strikes before the n-th byte, be it in the head or the body; then all that came is dropped.
TEST_F(NodeFault, AfterNRequestBytesWaitsForTheNth) {
    const auto text = text_of(call(CallKind::unsafe));
    for (const auto& [bytes, how, end] : {std::tuple{std::size_t{10}, ",end=rst", End::rst},
                                          {text.size() - 1, ",end=fin,class=browse", End::fin}}) {
        SCOPED_TRACE(how);
        const auto n = node();
        fault(*n, ("after_n_request_bytes=" + std::to_string(bytes) + how).c_str());
        const auto c = connect(*n);
        c->send(text.substr(0, bytes - 1));
        ASSERT_TRUE(happened(*n, Kind::first_byte));
        run_ready();
        EXPECT_EQ(c->end(), End::open);
        EXPECT_EQ(n->count_of(Kind::fault), 0U);
        c->send(text.substr(bytes - 1, 1));
        expect_end(*c, end);
        EXPECT_EQ(c->raw(), "");
        EXPECT_EQ(n->counts().started, 0U);
        EXPECT_EQ(n->counts().ran, 0U);
    }
}

TEST_F(NodeFault, NoiseIsNoHttp) {
    const auto n = node();
    fault(*n, "noise=200,end=fin");
    const auto c = connect(*n);
    c->send(call());
    expect_end(*c, End::fin);
    EXPECT_EQ(c->raw().size(), 200U);
    EXPECT_TRUE(c->answers().empty());
}

TEST_F(NodeFault, WrongLengthTooHighIsNeverWholeAndTooLowLeavesBytesBehind) {
    for (const bool high : {true, false}) {
        const auto n = node();
        fault(*n, high ? "wrong_length=10,end=fin" : "wrong_length=-3,end=fin");
        const auto c = connect(*n);
        const auto asked = call();
        c->send(asked);
        expect_end(*c, End::fin);
        ASSERT_EQ(c->answers().size(), high ? 0U : 1U);
        if (high) {
            EXPECT_TRUE(c->part().body.ends_with("\n"));  // the whole body came, and more was promised
            EXPECT_EQ(n->counts().answered, 0U);
        } else {
            EXPECT_FALSE(made_for(c->answers()[0], asked));
            EXPECT_EQ(c->rest(), "=0\n");
        }
    }
}

TEST_F(NodeFault, SecondAnswerComesBehindTheFirst) {
    for (const auto* spec : {"second_answer,times=1", "second_answer,late=5,times=1"}) {
        SCOPED_TRACE(spec);
        const auto n = node();
        fault(*n, spec);
        const auto c = connect(*n);
        expect_served(*c, call());
        ASSERT_TRUE(answered(*c, 2));
        EXPECT_FALSE(made_for(c->answers()[1], call()));
        EXPECT_EQ(c->answers()[1].status, 200);
        EXPECT_EQ(n->counts().answered, 1U);
        expect_served(*c, call());  // and the connection goes on
    }
}

TEST_F(NodeFault, InformationalAnswersComeAhead) {
    const auto n = node();
    fault(*n, "informational,code=102,count=3");
    const auto c = connect(*n);
    expect_served(*c, call());
    EXPECT_EQ(c->answers()[0].informational, 3U);
    EXPECT_TRUE(c->raw().starts_with("HTTP/1.1 102 "));
    EXPECT_EQ(n->counts().answered, 1U);
}

TEST_F(NodeFault, SlowBytesComeInPieces) {
    const auto n = node();
    fault(*n, "slow_bytes=10,every=1");
    const auto c = connect(*n);
    const auto asked = call();
    c->send(asked);
    ASSERT_TRUE(wait_until([&] { return !c->raw().empty(); }));
    EXPECT_TRUE(c->answers().empty());
    EXPECT_EQ(n->count_of(Kind::answered), 0U);
    ASSERT_TRUE(answered(*c));
    EXPECT_TRUE(made_for(c->answers()[0], asked));
}

TEST_F(NodeFault, NthRequestAndConnectionCountFromTheRule) {
    const auto n = node();
    const auto a = connect(*n);
    EXPECT_EQ(ask(*a).status, 200);
    fault(*n, "status=500,req=2");
    fault(*n, "status=501,conn=2,req_every=2");
    EXPECT_EQ(ask(*a).status, 200);
    EXPECT_EQ(ask(*a).status, 500);  // the second since the rule was added
    EXPECT_EQ(ask(*a).status, 200);
    const auto b = connect(*n);
    EXPECT_EQ(ask(*b).status, 200);
    const auto c = connect(*n);  // the second connection since
    for (const int status : {200, 501, 200, 501}) EXPECT_EQ(ask(*c).status, status);
    EXPECT_EQ(ask(*b).status, 200);
    n->clear_faults();
    for (const int status : {200, 200}) EXPECT_EQ(ask(*c).status, status);
}

TEST_F(NodeFault, ClassAndTimesBoundARule) {
    const auto n = node();
    fault(*n, "status=500,class=pay,times=2");
    const auto c = connect(*n);
    for (const auto& [cls, status] :
         {std::pair{"hold", 200}, {"pay", 500}, {"hold", 200}, {"pay", 500}, {"pay", 200}}) {
        EXPECT_EQ(ask(*c, call(CallKind::unsafe, cls)).status, status) << cls;
    }
    EXPECT_EQ(n->counts().faults, 2U);
}

TEST_F(NodeFault, ChanceFollowsTheSeed) {
    const auto run = [&](std::uint64_t seed) {
        BookingNode::Settings settings;
        settings.seed = seed;
        const auto n = node(settings);
        fault(*n, "status=500,p=0.5,times=1000");
        const auto c = connect(*n);
        std::string seen;
        for (int i = 0; i < 64; ++i) seen.push_back(ask(*c).status == 500 ? 'x' : '.');
        return seen;
    };
    const auto first = run(7);
    EXPECT_EQ(first, run(7));
    EXPECT_NE(first, run(8));
    EXPECT_GT(std::count(first.begin(), first.end(), 'x'), 8);
    EXPECT_LT(std::count(first.begin(), first.end(), 'x'), 56);
}

TEST_F(NodeFault, DieResetsAndRefusesAndComesBackOnTheSamePort) {
    auto settings = working();
    settings.workers = 1;
    const auto n = node(settings);
    const auto idle = connect(*n), at_work = connect(*n), queued = connect(*n);
    const auto first = call(CallKind::unsafe), second = call(CallKind::unsafe);
    at_work->send(first);
    ASSERT_TRUE(happened(*n, Kind::ran));
    queued->send(second);
    ASSERT_TRUE(happened(*n, Kind::last_byte, 2));
    n->die();
    for (const auto* c : {idle.get(), at_work.get(), queued.get()}) expect_end(*c, End::rst);
    expect_end(*connect(*n), End::refused);
    EXPECT_EQ(n->effects().find(first.call_id)->runs, 1U);
    EXPECT_EQ(n->effects().find(second.call_id)->runs, 0U);
    EXPECT_EQ(n->counts().running, 0U);
    EXPECT_EQ(n->counts().queued, 0U);
    const auto before = n->address();
    n->come_back();
    EXPECT_EQ(n->address(), before);
    const auto again = connect(*n);
    again->send(call());
    EXPECT_TRUE(happened(*n, Kind::ran, 2));
}

// From the last time that a request ran to the last time that one was done.
std::chrono::nanoseconds worked(const BookingNode& n) {
    Time ran{}, finished{};
    for (const auto& e : n.events()) {
        if (e.kind == Kind::ran) ran = e.at;
        if (e.kind == Kind::finished) finished = e.at;
    }
    return finished - ran;
}

TEST_F(NodeFault, ColdAfterComingBack) {
    auto settings = working(milliseconds(1));
    settings.cold_share = 0.05;
    settings.cold_for = std::chrono::hours(1);
    const auto n = node(settings);
    expect_serves(*n);
    EXPECT_GE(worked(*n), milliseconds(1));
    n->die();
    n->come_back();
    expect_serves(*n);
    EXPECT_GE(worked(*n), milliseconds(19));  // 1 ms at a share of 0.05
}

TEST_F(NodeFault, StalledNothingMovesAndResumedAllDoes) {
    const auto n = node();
    const auto a = connect(*n);
    expect_served(*a, call());
    n->stall();
    const auto asked = call(), other = call();
    a->send(asked);
    const auto b = connect(*n);
    b->send(other);
    ASSERT_TRUE(wait_until([&] { return a->all_sent() && b->all_sent(); }));
    run_ready();
    EXPECT_EQ(n->counts().begun, 1U);
    EXPECT_EQ(n->counts().accepted, 1U);
    n->resume();
    ASSERT_TRUE(answered(*a, 2));
    ASSERT_TRUE(answered(*b));
    EXPECT_TRUE(made_for(a->answers()[1], asked));
    EXPECT_TRUE(made_for(b->answers()[0], other));
}

TEST_F(NodeFault, StallForATimeEndsByItself) {
    const auto n = node(working(milliseconds(1)));
    const auto c = connect(*n);
    c->send(call());
    ASSERT_TRUE(happened(*n, Kind::ran));
    n->stall(milliseconds(30));
    ASSERT_TRUE(answered(*c));
    EXPECT_GE(worked(*n), milliseconds(29));
}

// Work runs on unheard; a connection that is not reset afterwards is answered then.
TEST_F(NodeFault, VanishedSaysNothingAndNewConnectionsDoNotComeUp) {
    for (const bool reset : {true, false}) {
        const auto n = node(working(milliseconds(1)));
        const auto a = connect(*n);
        const auto asked = call(CallKind::unsafe);
        a->send(asked);
        ASSERT_TRUE(happened(*n, Kind::ran));
        n->vanish();
        ASSERT_TRUE(happened(*n, Kind::finished));
        const auto b = connect(*n);
        // A second machine that is well answers meanwhile, so there was time enough for b.
        const auto well = node();
        const auto c = connect(*well);
        for (int i = 0; i < 20; ++i) expect_served(*c, call());
        EXPECT_FALSE(b->connected());
        EXPECT_EQ(b->end(), End::open);
        EXPECT_EQ(a->end(), End::open);
        EXPECT_TRUE(a->raw().empty());
        b->leave();
        n->reappear(reset);
        if (reset) {
            expect_end(*a, End::rst);
        } else {
            ASSERT_TRUE(answered(*a));
            EXPECT_TRUE(made_for(a->answers()[0], asked));
        }
        expect_serves(*n);
        EXPECT_EQ(n->counts().accepted, 2U);  // what vanish() filled the backlog with is no connection
    }
}

}  // namespace
}  // namespace flaxdoor::standins
