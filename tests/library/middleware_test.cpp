// What is hard for a balancer inside a web framework: clients that leave at any stage, half-close, pipeline,
// send too much or too little; an application beside it that is slow or throws; departures told as RESTinio
// tells them.
#include <gtest/gtest.h>

#include "standins/run_until.h"
#include "suite/peers.h"
#include "suite/restinio_host.h"

namespace flaxdoor::test {

// A stage's own form is replaced by each test's host.
std::unique_ptr<Form> make_form(asio::io_context& loop) {
    return std::make_unique<Hosted>(loop, [](asio::io_context& its_loop, const BalancerOptions& options) {
        return std::make_unique<MiddlewareHost>(its_loop, options);
    });
}

namespace {

class Site : public Stage {
public:
    explicit Site(HostPlan plan = {}, int upstreams = 2) : Stage(upstreams) {
        form = std::make_unique<Hosted>(
            loop, [plan = std::move(plan)](asio::io_context& its_loop, const BalancerOptions& options) {
                return std::make_unique<MiddlewareHost>(its_loop, options, plan);
            });
        set_deadline(60000);  // beyond any patience here: nothing but what the test does ends a call
    }
    Balancer& balancer() { return dynamic_cast<Hosted&>(*form).balancer(); }

    // Waits until the balancer's figures say so.
    template <typename Holds>
    BalancerFigures figures(Holds holds, int where = __builtin_LINE()) {
        BalancerFigures now;
        until([&] { return holds(now = balancer().figures()); }, where);
        return now;
    }
    // All calls have ended, `left` of them because their clients left.
    void expect_left(std::uint64_t left, int where = __builtin_LINE()) {
        const auto f =
            figures([&](const BalancerFigures& now) { return now.left >= left && now.open == 0; }, where);
        EXPECT_EQ(f.left, left);
        EXPECT_EQ(f.faults, 0U);
    }
};

// ---- departures

class Leaving : public testing::TestWithParam<bool> {
protected:
    // Whether the client ends in order or its connection breaks.
    static void leave(Wire& wire) { GetParam() ? wire.reset() : wire.close(); }
};
INSTANTIATE_TEST_SUITE_P(Client, Leaving, testing::Bool(),
                         [](const auto& info) { return info.param ? "Breaks" : "Closes"; });

// What is not whole is no request, and nothing of it is sent on.
TEST_P(Leaving, AmidItsRequest) {
    Site s;
    s.start();
    const auto request = s.once(60000);
    for (const std::size_t part : {std::size_t{1}, std::size_t{20}, request.size() - 6, request.size() - 1}) {
        const auto client = s.client();
        client->say(request.substr(0, part));
        s.settle();
        leave(*client);
        s.settle();
        EXPECT_EQ(s.connections(), 0U);
    }
    EXPECT_EQ(s.balancer().figures().taken, 0U);
}

// The attempt is given up, also amid its answer; it may have run, so it is not sent again.
TEST_P(Leaving, BeforeItsAnswer) {
    for (const bool safe : {true, false}) {
        for (const bool half : {true, false}) {
            Site s;
            const auto client = s.start_with_client();
            const auto wire = s.send(*client, safe ? s.look(60000) : s.once(60000));
            if (half) wire->say("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
            s.settle();
            leave(*client);
            s.until([&] { return wire->ended; });
            s.expect_left(1);
            EXPECT_TRUE(s.nothing_sent());
            EXPECT_EQ(s.connections(), 1U);
        }
    }
}

// It has not been sent yet: no node takes connections. Nothing of it comes to one that does later.
TEST_P(Leaving, WhileNoNodeTakesIt) {
    Site s(HostPlan{}, 1);
    s.upstreams[0]->close();
    const auto client = s.start_with_client();
    client->say(s.once(60000));
    s.figures([](const BalancerFigures& now) { return now.attempts > 0; });
    leave(*client);
    s.expect_left(1);
    EXPECT_TRUE(s.nothing_sent());
}

// Behind one that is being served: that one is given up, and the one behind it never sent.
TEST_P(Leaving, WithAnotherRequestBehind) {
    Site s;
    const auto client = s.start_with_client();
    client->say(s.once(60000, "body", "first") + s.once(60000, "body", "second"));
    const auto [wire, request] = s.request();
    EXPECT_EQ(header(request, "X-Call-Id"), "first");
    // RESTinio does not look at a connection whose pipeline is full: it hears of the end with the answer.
    leave(*client);
    wire->say(ok());
    s.figures([](const BalancerFigures& now) { return now.open == 0 && now.taken >= 1; });
    s.settle();
    s.drink();
    // The second may have been begun before the end was told; then it is given up. It is never sent twice.
    std::size_t seconds = 0;
    for (auto next = s.request_here(); next.first; next = s.request_here()) {
        EXPECT_EQ(header(next.second, "X-Call-Id"), "second");
        ++seconds;
        s.until([&] { return next.first->ended; });
    }
    EXPECT_LE(seconds, 1U);
}

// The answer is on its way: nothing is left open, nothing sent again.
TEST_P(Leaving, AmidItsAnswer) {
    Site s(HostPlan{}, 1);
    const auto client = s.start_with_client();
    const auto wire = s.send(*client, s.once(60000));
    Hosted& host = dynamic_cast<Hosted&>(*s.form);
    host.hold();
    wire->say(ok(std::string(64 * 1024, 'x')));
    leave(*client);
    host.go_on();
    s.figures([](const BalancerFigures& now) { return now.open == 0 && now.served + now.left == 1; });
    EXPECT_TRUE(s.nothing_sent());
    const auto next = s.client();
    s.serve(*next);
}

// ---- half-closes

TEST(HalfClose, IsAnsweredAndThenClosed) {
    Site s;
    const auto client = s.start_with_client();
    client->say(s.once(60000));
    client->end_sending();
    const auto wire = s.request().first;
    s.settle();
    EXPECT_FALSE(wire->ended);
    s.pass(*wire, *client, "after all");
    s.until([&] { return client->ended; });
    EXPECT_EQ(client->in, "");
    EXPECT_EQ(s.figures([](const BalancerFigures& now) { return now.served == 1; }).left, 0U);
}

// An old client knows no interim answers: it gets none.
TEST(HalfClose, OfAnOldClientIsAnsweredAndNoMore) {
    Site s;
    const auto client = s.start_with_client();
    std::string request = s.look(60000);
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    client->say(request);
    client->end_sending();
    s.request().first->say(ok("after all"));
    s.until([&] { return client->ended; });
    EXPECT_TRUE(client->in.starts_with("HTTP/1.1 200 ")) << client->in;
    EXPECT_EQ(body(client->take()), "after all");
}

TEST(HalfClose, BetweenRequestsEndsTheConnection) {
    Site s;
    const auto client = s.start_with_client();
    s.serve(*client);
    client->end_sending();
    s.until([&] { return client->ended; });
    EXPECT_EQ(client->in, "");
}

// ---- pipelines

// What comes behind a request that ends its connection is none.
TEST(Pipelined, NothingBehindTheLastOne) {
    Site s;
    const auto client = s.start_with_client();
    std::string last = s.once(60000, "body", "last");
    last.insert(last.find("Content-Length"), "Connection: close\r\n");
    client->say(last + s.once(60000, "body", "behind"));
    const auto [wire, request] = s.request();
    EXPECT_EQ(header(request, "X-Call-Id"), "last");
    wire->say(ok("last"));
    const auto answer = s.answer(*client);
    EXPECT_EQ(body(answer), "last");
    EXPECT_EQ(header(answer, "Connection"), "close");
    s.until([&] { return client->ended; });
    EXPECT_TRUE(s.nothing_sent());
    EXPECT_EQ(s.figures([](const BalancerFigures& now) { return now.served == 1; }).taken, 1U);
}

// ---- bodies

// Larger than the server reads: RESTinio ends the connection, and nothing was sent on.
TEST(Bodies, FarTooLargeEndsTheConnection) {
    Site s;
    const auto client = s.start_with_client();
    client->say(s.once(60000, std::string(300000, 'x')));
    s.until([&] { return client->ended; });
    EXPECT_TRUE(s.nothing_sent());
    EXPECT_EQ(s.balancer().figures().taken, 0U);
}

// Half a body is waited for, whatever its framing.
TEST(Bodies, HalvesAreWaitedFor) {
    Site s;
    s.start();
    for (const bool chunked : {false, true}) {
        std::string request = s.once(60000, "0123456789");
        if (chunked) {
            const auto length = request.find("Content-Length");
            request = request.substr(0, length) +
                      "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n";
        }
        const auto client = s.client();
        client->say(request.substr(0, request.size() - 8));
        EXPECT_TRUE(s.nothing_sent());
        client->say(request.substr(request.size() - 8));
        const auto [wire, got] = s.request();
        EXPECT_EQ(body(got), "0123456789");
        EXPECT_EQ(header(got, "Content-Length"), "10");
        EXPECT_EQ(header(got, "Transfer-Encoding"), "");
        s.pass(*wire, *client);
    }
}

// An answer that ends its connection arrives, and the end behind it, with no reset at their heels: it could
// overtake them where the client goes on sending.
TEST(Bodies, AnAnswerOutlivesWhatComesBehindIt) {
    Site s;
    s.start();
    for (int i = 0; i < 20; ++i) {
        tcp::socket client(s.loop);
        client.connect(s.address);
        asio::write(client, asio::buffer("GET /none HTTP/1.1\r\nHost: x\r\n\r\n" + std::string(60000, 'x')));
        std::string all;
        boost::system::error_code error;
        asio::read(client, asio::dynamic_buffer(all), error);
        EXPECT_EQ(error, asio::error::eof);
        EXPECT_EQ(status(all), 404);
        EXPECT_EQ(body(all), "the application has no such page\n");
        for (int n = 0; n < 5; ++n) {
            asio::write(client, asio::buffer("x", 1), error);
            EXPECT_FALSE(error) << error;
        }
    }
}

// ---- the application beside

TEST(Application, HasAllOtherPaths) {
    HostPlan plan;
    plan.application = [](const restinio::request_handle_t& request) {
        return request->create_response().set_body("app " + request->header().request_target()).done();
    };
    Site s(plan);
    const auto client = s.start_with_client();
    for (const std::string target : {"/", "/apis", "/api.html", "/readiness", "/x/api", "/ready/x"}) {
        EXPECT_EQ(body(s.ask(*client, "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n")), "app " + target);
    }
    s.serve(*client, s.look(), "node's");
    EXPECT_EQ(status(s.ask(*client, ready)), 200);
    client->say("GET /api/below HTTP/1.1\r\nHost: x\r\n\r\n");  // the mount's, and none that nodes have
    EXPECT_EQ(status(s.answer(*client)), 404);
}

// It ends its own connection, and no other.
TEST(Application, MayThrow) {
    HostPlan plan;
    plan.application = [](const restinio::request_handle_t&) -> restinio::request_handling_status_t {
        throw std::runtime_error("of the application");
    };
    Site s(plan);
    const auto client = s.start_with_client();
    const auto wire = s.send(*client, s.once(60000));
    for (int i = 0; i < 3; ++i) {
        const auto other = s.client();
        other->say("GET /page HTTP/1.1\r\nHost: x\r\n\r\n");
        EXPECT_EQ(s.answer(*other), "");
    }
    // On a connection of a balanced call it takes that with it: the call is given up, and not sent again.
    const auto both = s.client();
    const auto second = s.send(*both, s.once(60000));
    both->say("GET /page HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(s.answer(*both), "");
    s.until([&] { return second->ended; });
    s.pass(*wire, *client, "none the worse");
    EXPECT_TRUE(s.nothing_sent());
    s.expect_left(1);
}

// A handler that blocks holds up its own loop. What it must not be is the balancer's: with RESTinio on a loop
// of its own, calls get on, and their answers are written once that loop is free. On one loop it holds up
// all: the balancer sees neither answers nor deadlines meanwhile. What was asked is still answered once, and
// nothing is sent twice.
TEST(Application, ThatIsSlowHoldsOnlyItsOwnLoop) {
    for (const bool own_loop : {true, false}) {
        auto free = std::make_shared<std::promise<void>>();
        auto blocked = std::make_shared<std::promise<void>>();
        HostPlan plan;
        plan.server_thread = own_loop;
        plan.application = [blocked,
                            until = free->get_future().share()](const restinio::request_handle_t& request) {
            blocked->set_value();
            until.wait();
            return request->create_response().set_body("slow").done();
        };
        Site s(plan);
        const auto client = s.start_with_client();
        const auto first = s.send(*client, s.once(60000));
        const auto slow = s.client();
        slow->say("GET /page HTTP/1.1\r\nHost: x\r\n\r\n");
        blocked->get_future().wait();
        if (own_loop) {
            // It goes on to another node and is served while the server's loop stands still.
            first->say("HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
            s.request().first->say(ok("the answer"));
            s.figures([](const BalancerFigures& now) { return now.served == 1 && now.attempts == 2; });
        } else {
            first->say(ok("the answer"));
            s.drink();
        }
        EXPECT_TRUE(client->in.empty());
        free->set_value();
        EXPECT_EQ(body(s.answer(*client)), "the answer");
        EXPECT_EQ(body(s.answer(*slow)), "slow");
        EXPECT_TRUE(s.nothing_sent());
    }
}

// ---- mounts

// Two paths of one mount, and two mounts of one server: nodes have one path, whatever the clients call it.
TEST(Mounts, EachPathLeadsToTheNodes) {
    for (const bool one_mount : {true, false}) {
        HostPlan plan;
        plan.mounts = {{}};
        if (one_mount) {
            plan.mounts[0].paths = {"/api", "/booking"};
        } else {
            plan.mounts.push_back({{"/booking"}, "/booking-ready", 16});
        }
        Site s(plan);
        const auto client = s.start_with_client();
        for (const std::string path : {"/api", "/booking"}) {
            std::string request = s.look(60000);
            request.replace(request.find("/api"), 4, path);
            client->say(request);
            const auto [wire, got] = s.request();
            EXPECT_TRUE(got.starts_with("GET /api?q=1 HTTP/1.1\r\n")) << got;
            s.pass(*wire, *client, path);
        }
        EXPECT_EQ(status(s.ask(*client, std::string("GET /booking-ready HTTP/1.1\r\nHost: x\r\n\r\n"))),
                  one_mount ? 404 : 200);
        // Each hears of the departure of a client that it serves.
        for (const std::string path : {"/api", "/booking"}) {
            const auto leaves = s.client();
            std::string request = s.look(60000);
            request.replace(request.find("/api"), 4, path);
            const auto wire = s.send(*leaves, request);
            leaves->close();
            s.until([&] { return wire->ended; });
        }
        s.expect_left(2);
    }
}

// The mount alone, told by hand what frameworks tell.
class Told : public testing::Test {
protected:
    Told() {
        balancer_.emplace(loop_.get_executor(), options());
        mount_.emplace(loop_.get_executor(), *balancer_);
    }

    BalancerOptions options() const {
        BalancerOptions options;
        options.settings.classes = {{.name = "once",
                                     .aim = std::chrono::milliseconds(100),
                                     .deadline = std::chrono::seconds(60),
                                     .late_worth = 0.5,
                                     .effect = Effect::unsafe}};
        options.settings.max_attempts = 3;
        options.settings.may_cancel = true;
        options.zones = {"here"};
        options.servers.servers = {
            {.name = "s-0", .address = text_of(node_.address()), .zone = "here", .kind = "any"}};
        return options;
    }
    middleware::ClientRequest request(middleware::Connection connection, const std::string& id) {
        middleware::ClientRequest r;
        r.connection = connection;
        r.request = {
            "POST", "/api", {{"X-Call-Id", id}, {"X-Call-Class", "once"}, {"X-Budget-Ms", "60000"}}, "body"};
        return r;
    }
    void serve(middleware::ClientRequest its) {
        const std::string id = its.request.headers[0].second;
        mount_->serve(std::move(its), [this, id](HttpAnswer answer, const std::shared_ptr<void>&) {
            answers_.emplace_back(id, answer.status);
        });
    }
    void until(const std::function<bool()>& holds) { ASSERT_TRUE(standins::run_until(loop_, holds)); }
    void until_quiet() {
        bool quiet = false;
        mount_->when_quiet([&] { quiet = true; });
        until([&] { return quiet; });
    }
    // The whole request of that id that came to the node, on whichever connection.
    std::shared_ptr<Wire> at_node(const std::string& id) {
        std::shared_ptr<Wire> at;
        until([&] {
            for (const auto& wire : node_.wires) {
                if (!has(wire->in, "X-Call-Id: " + id + "\r\n")) continue;
                wire->take();
                at = wire;
            }
            return at != nullptr;
        });
        return at;
    }

    using Answers = std::vector<std::pair<std::string, int>>;
    asio::io_context loop_{1};
    Listener node_{loop_};
    std::optional<Balancer> balancer_;
    std::optional<middleware::Mount> mount_;
    Answers answers_;
};

TEST_F(Told, TwiceAndOfStrangersIsToldOnce) {
    mount_->left(7);
    serve(request(7, "a"));
    const auto wire = at_node("a");
    mount_->left(8);
    mount_->left(7);
    mount_->left(7);
    until([&] { return wire->ended; });
    mount_->left(7);
    // A number that is used anew has nothing of the old one.
    serve(request(7, "b"));
    at_node("b")->say(ok());
    until([&] { return answers_.size() == 1; });
    EXPECT_EQ(answers_, (Answers{{"b", 200}}));
}

// The departure crosses the answer, which is dropped; what waited behind it is not sent.
TEST_F(Told, WhileTheAnswerIsOnItsWay) {
    serve(request(7, "a"));
    serve(request(7, "b"));
    const auto wire = at_node("a");
    wire->say(ok());
    std::size_t ended = 0;
    until([&] {
        // The call is over, and its handler stands in the loop.
        ended = balancer_->figures().open;
        return loop_.poll_one() == 0 || ended == 0 || !answers_.empty();
    });
    mount_->left(7);
    until_quiet();
    EXPECT_LE(answers_.size(), 1U);
    EXPECT_TRUE(wire->in.empty());
}

// One connection can't fill the process: more than so many are refused, with the connection's end.
TEST_F(Told, TooManyOfOneConnectionAreRefused) {
    for (int i = 0; i < 18; ++i) serve(request(7, "c" + std::to_string(i)));
    at_node("c0");
    until([&] { return answers_.size() == 1; });
    EXPECT_EQ(answers_, (Answers{{"c17", 503}}));
    mount_->left(7);
    until_quiet();
    EXPECT_EQ(answers_.size(), 1U);
}

// What is open goes with the mount, unanswered; its node hears of it, and the loop runs out with the
// instance.
TEST_F(Told, TheMountsEndGivesUpWhatIsOpen) {
    serve(request(7, "a"));
    serve(request(9, "b"));
    const auto a = at_node("a");
    const auto b = at_node("b");
    mount_.reset();
    until([&] { return a->ended && b->ended; });
    EXPECT_TRUE(answers_.empty());
}

// What is open when the balancer closes or goes may have run: its client is told so, since one that is
// refused asks again. What has not gone out is refused.
TEST_F(Told, ClosedAfterItWentOutIsNoRefusal) {
    for (const bool destroyed : {false, true}) {
        SCOPED_TRACE(destroyed);
        std::optional<Balancer> other(std::in_place, loop_.get_executor(), options());
        std::vector<std::pair<int, bool>> told;
        const auto serve = [&](const std::string& id) {
            other->async_serve(request(0, id).request, [&](HttpAnswer answer) {
                EXPECT_TRUE(answer.close);
                told.emplace_back(answer.status, answer.result.may_have_run);
            });
        };
        serve(destroyed ? "d" : "c");
        (void)at_node(destroyed ? "d" : "c");
        serve("new");
        if (destroyed) {
            other.reset();
        } else {
            other->async_close([] {});
        }
        until([&] { return told.size() == 2; });
        std::sort(told.begin(), told.end());
        EXPECT_EQ(told, (std::vector<std::pair<int, bool>>{{502, true}, {503, false}}));
    }
}

// The mount goes while a request stands in the loop, and the balancer right behind it: nothing of the request
// begins.
TEST_F(Told, GoneWhileARequestIsOnItsWay) {
    alignas(Balancer) std::array<std::byte, sizeof(Balancer)> room;
    auto* const balancer = new (room.data()) Balancer(loop_.get_executor(), options());
    auto mount = std::make_unique<middleware::Mount>(loop_.get_executor(), *balancer);
    bool answered = false;
    mount->serve(request(7, "a"), [&](HttpAnswer, const std::shared_ptr<void>&) { answered = true; });
    mount.reset();
    balancer->~Balancer();
    room.fill(std::byte{0xff});  // whoever looks there now finds out
    loop_.poll();
    EXPECT_FALSE(answered);
}

// No answer to a HEAD has a body: its client would take it for the next answer.
TEST_F(Told, AHeadIsAnsweredWithoutABody) {
    std::vector<std::string> bodies;
    const auto ask = [&](const std::string& target) {
        auto r = request(static_cast<middleware::Connection>(20 + bodies.size()), "a");
        r.request.method = "HEAD";
        r.request.target = target;
        const auto before = bodies.size();
        mount_->serve(std::move(r), [&](HttpAnswer answer, const std::shared_ptr<void>&) {
            bodies.push_back(answer.body);
        });
        until([&] { return bodies.size() > before; });
    };
    for (const std::string target : {"/api", "/api/below", "/ready", "/api?x y"}) ask(target);
    balancer_->async_close([] {});
    ask("/api");
    EXPECT_EQ(bodies, std::vector<std::string>(5));
}

}  // namespace
}  // namespace flaxdoor::test
