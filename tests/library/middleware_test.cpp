// A balancer in a web framework's server: clients that disconnect at any stage, half-close, pipeline, or send
// too much or too little; an application in the same server that blocks or throws; and connection ends as
// RESTinio reports them.
#include <gtest/gtest.h>

#include "standins/run_until.h"
#include "suite/peers.h"
#include "suite/restinio_host.h"

namespace flaxdoor::test {

// The stage requires a form. Each test replaces it by its own host.
std::unique_ptr<BalancerUnderTest> make_form(asio::io_context& loop) {
    return std::make_unique<InProcessBalancer>(
        loop, [](asio::io_context& server_loop, const BalancerOptions& options) {
            return std::make_unique<MiddlewareHost>(server_loop, options);
        });
}

namespace {

class Site : public BalancerFixture {
public:
    explicit Site(HostPlan plan = {}, int upstreams = 2) : BalancerFixture(upstreams) {
        form = std::make_unique<InProcessBalancer>(
            loop, [plan = std::move(plan)](asio::io_context& server_loop, const BalancerOptions& options) {
                return std::make_unique<MiddlewareHost>(server_loop, options, plan);
            });
        set_deadline(60000);  // longer than any test, so that only the test's own actions end a call
    }
    Balancer& balancer() { return dynamic_cast<InProcessBalancer&>(*form).balancer(); }

    // Waits until `holds` returns true for the balancer's figures, and returns them.
    template <typename Holds>
    BalancerFigures wait_for_figures(Holds holds, int where = __builtin_LINE()) {
        BalancerFigures now;
        until([&] { return holds(now = balancer().figures()); }, where);
        return now;
    }
    // Expects that all calls have ended, `abandoned` of them because their clients disconnected.
    void expect_abandoned(std::uint64_t abandoned, int where = __builtin_LINE()) {
        const auto figures = wait_for_figures(
            [&](const BalancerFigures& now) { return now.left >= abandoned && now.open == 0; }, where);
        EXPECT_EQ(figures.left, abandoned);
        EXPECT_EQ(figures.faults, 0U);
    }
};

// ---- disconnecting clients

class Disconnecting : public testing::TestWithParam<bool> {
protected:
    // The parameter says whether the connection is reset or closed in order.
    static void disconnect(Wire& wire) { GetParam() ? wire.reset() : wire.close(); }
};
INSTANTIATE_TEST_SUITE_P(Client, Disconnecting, testing::Bool(),
                         [](const auto& info) { return info.param ? "Breaks" : "Closes"; });

// An incomplete request is not sent to an upstream.
TEST_P(Disconnecting, DuringItsRequest) {
    Site site;
    site.start();
    const auto request = site.once(60000);
    for (const std::size_t part : {std::size_t{1}, std::size_t{20}, request.size() - 6, request.size() - 1}) {
        const auto client = site.client();
        client->send(request.substr(0, part));
        site.settle();
        disconnect(*client);
        site.settle();
        EXPECT_EQ(site.connections(), 0U);
    }
    EXPECT_EQ(site.balancer().figures().taken, 0U);
}

// The attempt is cancelled, also in the middle of its answer. It is not repeated, since it may have been
// executed.
TEST_P(Disconnecting, BeforeItsAnswer) {
    for (const bool safe : {true, false}) {
        for (const bool half : {true, false}) {
            Site site;
            const auto client = site.start_with_client();
            const auto wire = site.send(*client, safe ? site.look(60000) : site.once(60000));
            if (half) wire->send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
            site.settle();
            disconnect(*client);
            site.until([&] { return wire->ended; });
            site.expect_abandoned(1);
            EXPECT_TRUE(site.no_request_forwarded());
            EXPECT_EQ(site.connections(), 1U);
        }
    }
}

// The upstream accepts no connection, so the request has not been sent. It is not sent later either.
TEST_P(Disconnecting, WhileNoUpstreamAccepts) {
    Site site(HostPlan{}, 1);
    site.upstreams[0]->close();
    const auto client = site.start_with_client();
    client->send(site.once(60000));
    site.wait_for_figures([](const BalancerFigures& now) { return now.attempts > 0; });
    disconnect(*client);
    site.expect_abandoned(1);
    EXPECT_TRUE(site.no_request_forwarded());
}

// The client disconnects while one request is served and a pipelined one waits.
TEST_P(Disconnecting, WithAPipelinedRequest) {
    Site site;
    const auto client = site.start_with_client();
    client->send(site.once(60000, "body", "first") + site.once(60000, "body", "second"));
    const auto [wire, request] = site.request();
    EXPECT_EQ(header(request, "X-Call-Id"), "first");
    // RESTinio does not read a connection whose pipeline is full, so it notices the end only with the answer.
    disconnect(*client);
    wire->send(ok());
    site.wait_for_figures([](const BalancerFigures& now) { return now.open == 0 && now.taken >= 1; });
    site.settle();
    site.drain_events();
    // The second request may have been started before the end was reported, and is then cancelled. It is sent
    // at most once.
    std::size_t second_requests = 0;
    for (auto next = site.received_request(); next.first; next = site.received_request()) {
        EXPECT_EQ(header(next.second, "X-Call-Id"), "second");
        ++second_requests;
        site.until([&] { return next.first->ended; });
    }
    EXPECT_LE(second_requests, 1U);
}

// The client disconnects while its answer is being processed: no call stays open, and none is repeated.
TEST_P(Disconnecting, DuringItsAnswer) {
    Site site(HostPlan{}, 1);
    const auto client = site.start_with_client();
    const auto wire = site.send(*client, site.once(60000));
    InProcessBalancer& host = dynamic_cast<InProcessBalancer&>(*site.form);
    host.hold();
    wire->send(ok(std::string(64 * 1024, 'x')));
    disconnect(*client);
    host.go_on();
    site.wait_for_figures(
        [](const BalancerFigures& now) { return now.open == 0 && now.served + now.left == 1; });
    EXPECT_TRUE(site.no_request_forwarded());
    const auto next = site.client();
    site.serve(*next);
}

// ---- half-closes

TEST(HalfClose, IsAnsweredAndThenClosed) {
    Site site;
    const auto client = site.start_with_client();
    client->send(site.once(60000));
    client->end_sending();
    const auto wire = site.request().first;
    site.settle();
    EXPECT_FALSE(wire->ended);
    site.pass(*wire, *client, "after all");
    site.until([&] { return client->ended; });
    EXPECT_EQ(client->in, "");
    EXPECT_EQ(site.wait_for_figures([](const BalancerFigures& now) { return now.served == 1; }).left, 0U);
}

// HTTP/1.0 has no interim responses, so the client must not receive a 100 Continue.
TEST(HalfClose, OfAnHttp10ClientGetsNoInterimResponse) {
    Site site;
    const auto client = site.start_with_client();
    std::string request = site.look(60000);
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    client->send(request);
    client->end_sending();
    site.request().first->send(ok("after all"));
    site.until([&] { return client->ended; });
    EXPECT_TRUE(client->in.starts_with("HTTP/1.1 200 ")) << client->in;
    EXPECT_EQ(body(client->take()), "after all");
}

TEST(HalfClose, BetweenRequestsEndsTheConnection) {
    Site site;
    const auto client = site.start_with_client();
    site.serve(*client);
    client->end_sending();
    site.until([&] { return client->ended; });
    EXPECT_EQ(client->in, "");
}

// ---- pipelines

// Requests that follow one with Connection: close are ignored.
TEST(Pipelined, RequestsAfterConnectionCloseAreIgnored) {
    Site site;
    const auto client = site.start_with_client();
    std::string last_request = site.once(60000, "body", "last");
    last_request.insert(last_request.find("Content-Length"), "Connection: close\r\n");
    client->send(last_request + site.once(60000, "body", "behind"));
    const auto [wire, request] = site.request();
    EXPECT_EQ(header(request, "X-Call-Id"), "last");
    wire->send(ok("last"));
    const auto answer = site.answer(*client);
    EXPECT_EQ(body(answer), "last");
    EXPECT_EQ(header(answer, "Connection"), "close");
    site.until([&] { return client->ended; });
    EXPECT_TRUE(site.no_request_forwarded());
    EXPECT_EQ(site.wait_for_figures([](const BalancerFigures& now) { return now.served == 1; }).taken, 1U);
}

// ---- bodies

// RESTinio closes the connection of a body larger than its limit. Nothing is sent to an upstream.
TEST(Bodies, FarTooLargeClosesTheConnection) {
    Site site;
    const auto client = site.start_with_client();
    client->send(site.once(60000, std::string(300000, 'x')));
    site.until([&] { return client->ended; });
    EXPECT_TRUE(site.no_request_forwarded());
    EXPECT_EQ(site.balancer().figures().taken, 0U);
}

// The rest of an incomplete body is waited for, with either framing.
TEST(Bodies, IncompleteBodyIsWaitedFor) {
    Site site;
    site.start();
    for (const bool chunked : {false, true}) {
        std::string request = site.once(60000, "0123456789");
        if (chunked) {
            const auto length = request.find("Content-Length");
            request = request.substr(0, length) +
                      "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n";
        }
        const auto client = site.client();
        client->send(request.substr(0, request.size() - 8));
        EXPECT_TRUE(site.no_request_forwarded());
        client->send(request.substr(request.size() - 8));
        const auto [wire, got] = site.request();
        EXPECT_EQ(body(got), "0123456789");
        EXPECT_EQ(header(got, "Content-Length"), "10");
        EXPECT_EQ(header(got, "Transfer-Encoding"), "");
        site.pass(*wire, *client);
    }
}

// A client that still sends receives an answer that closes its connection, and then the end of the
// connection. A reset must not follow: it could discard both before the client has read them.
TEST(Bodies, AnswerIsNotLostToAReset) {
    Site site;
    site.start();
    for (int i = 0; i < 20; ++i) {
        tcp::socket client(site.loop);
        client.connect(site.address);
        asio::write(client, asio::buffer("GET /none HTTP/1.1\r\nHost: x\r\n\r\n" + std::string(60000, 'x')));
        std::string received;
        boost::system::error_code error;
        asio::read(client, asio::dynamic_buffer(received), error);
        EXPECT_EQ(error, asio::error::eof);
        EXPECT_EQ(status(received), 404);
        EXPECT_EQ(body(received), "the application has no such page\n");
        for (int n = 0; n < 5; ++n) {
            asio::write(client, asio::buffer("x", 1), error);
            EXPECT_FALSE(error) << error;
        }
    }
}

// ---- the application in the same server

TEST(Application, ServesAllOtherPaths) {
    HostPlan plan;
    plan.application = [](const restinio::request_handle_t& request) {
        return request->create_response().set_body("app " + request->header().request_target()).done();
    };
    Site site(plan);
    const auto client = site.start_with_client();
    for (const std::string target : {"/", "/apis", "/api.html", "/readiness", "/x/api", "/ready/x"}) {
        EXPECT_EQ(body(site.ask(*client, "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n")), "app " + target);
    }
    site.serve(*client, site.look(), "node's");
    EXPECT_EQ(status(site.ask(*client, ready)), 200);
    client->send(
        "GET /api/below HTTP/1.1\r\nHost: x\r\n\r\n");  // the mount's path, but not one that upstreams have
    EXPECT_EQ(status(site.answer(*client)), 404);
}

// An exception of the application closes its own connection and no other.
TEST(Application, MayThrow) {
    HostPlan plan;
    plan.application = [](const restinio::request_handle_t&) -> restinio::request_handling_status_t {
        throw std::runtime_error("of the application");
    };
    Site site(plan);
    const auto client = site.start_with_client();
    const auto wire = site.send(*client, site.once(60000));
    for (int i = 0; i < 3; ++i) {
        const auto other = site.client();
        other->send("GET /page HTTP/1.1\r\nHost: x\r\n\r\n");
        EXPECT_EQ(site.answer(*other), "");
    }
    // If the connection also has an open balancer call, that call is cancelled and not repeated.
    const auto shared = site.client();
    const auto second = site.send(*shared, site.once(60000));
    shared->send("GET /page HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(site.answer(*shared), "");
    site.until([&] { return second->ended; });
    site.pass(*wire, *client, "none the worse");
    EXPECT_TRUE(site.no_request_forwarded());
    site.expect_abandoned(1);
}

// A handler that blocks stops its own loop, which therefore should not be the balancer's. If RESTinio has a
// loop of its own, calls continue, and their answers are written once that loop runs again. If both share a
// loop, the balancer sees neither answers nor deadlines meanwhile. In either case each request is answered
// once, and nothing is sent twice.
TEST(Application, BlockingHandlerDelaysOnlyItsOwnLoop) {
    for (const bool own_loop : {true, false}) {
        auto unblock = std::make_shared<std::promise<void>>();
        auto blocked = std::make_shared<std::promise<void>>();
        HostPlan plan;
        plan.server_thread = own_loop;
        plan.application =
            [blocked, until = unblock->get_future().share()](const restinio::request_handle_t& request) {
                blocked->set_value();
                until.wait();
                return request->create_response().set_body("slow").done();
            };
        Site site(plan);
        const auto client = site.start_with_client();
        const auto first = site.send(*client, site.once(60000));
        const auto slow = site.client();
        slow->send("GET /page HTTP/1.1\r\nHost: x\r\n\r\n");
        blocked->get_future().wait();
        if (own_loop) {
            // The call is retried at the other upstream, and served while the server's loop is blocked.
            first->send("HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
            site.request().first->send(ok("the answer"));
            site.wait_for_figures(
                [](const BalancerFigures& now) { return now.served == 1 && now.attempts == 2; });
        } else {
            first->send(ok("the answer"));
            site.drain_events();
        }
        EXPECT_TRUE(client->in.empty());
        unblock->set_value();
        EXPECT_EQ(body(site.answer(*client)), "the answer");
        EXPECT_EQ(body(site.answer(*slow)), "slow");
        EXPECT_TRUE(site.no_request_forwarded());
    }
}

// ---- mounts

// Two paths of one mount, and two mounts of one server. Upstreams receive the same path in each case.
TEST(Mounts, EachPathIsSentToTheUpstreams) {
    for (const bool one_mount : {true, false}) {
        HostPlan plan;
        plan.mounts = {{}};
        if (one_mount) {
            plan.mounts[0].paths = {"/api", "/booking"};
        } else {
            plan.mounts.push_back({{"/booking"}, "/booking-ready", 16});
        }
        Site site(plan);
        const auto client = site.start_with_client();
        for (const std::string path : {"/api", "/booking"}) {
            std::string request = site.look(60000);
            request.replace(request.find("/api"), 4, path);
            client->send(request);
            const auto [wire, got] = site.request();
            EXPECT_TRUE(got.starts_with("GET /api?q=1 HTTP/1.1\r\n")) << got;
            site.pass(*wire, *client, path);
        }
        EXPECT_EQ(status(site.ask(*client, std::string("GET /booking-ready HTTP/1.1\r\nHost: x\r\n\r\n"))),
                  one_mount ? 404 : 200);
        // Each mount is notified when a client that it serves disconnects.
        for (const std::string path : {"/api", "/booking"}) {
            const auto disconnecting = site.client();
            std::string request = site.look(60000);
            request.replace(request.find("/api"), 4, path);
            const auto wire = site.send(*disconnecting, request);
            disconnecting->close();
            site.until([&] { return wire->ended; });
        }
        site.expect_abandoned(2);
    }
}

// A mount without a framework: the test makes the framework's calls itself.
class MountAlone : public testing::Test {
protected:
    MountAlone() {
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
        middleware::ClientRequest client_request;
        client_request.connection = connection;
        client_request.request = {
            "POST", "/api", {{"X-Call-Id", id}, {"X-Call-Class", "once"}, {"X-Budget-Ms", "60000"}}, "body"};
        return client_request;
    }
    void serve(middleware::ClientRequest client_request) {
        const std::string id = client_request.request.headers[0].second;
        mount_->serve(std::move(client_request), [this, id](HttpAnswer answer, const std::shared_ptr<void>&) {
            answers_.emplace_back(id, answer.status);
        });
    }
    void until(const std::function<bool()>& holds) { ASSERT_TRUE(standins::run_until(loop_, holds)); }
    void wait_until_idle() {
        bool idle = false;
        mount_->when_quiet([&] { idle = true; });
        until([&] { return idle; });
    }
    // Waits until the upstream has received the whole request with this id, and returns its connection.
    std::shared_ptr<Wire> wait_for_request(const std::string& id) {
        std::shared_ptr<Wire> connection;
        until([&] {
            for (const auto& wire : node_.wires) {
                if (!has(wire->in, "X-Call-Id: " + id + "\r\n")) continue;
                wire->take();
                connection = wire;
            }
            return connection != nullptr;
        });
        return connection;
    }

    using Answers = std::vector<std::pair<std::string, int>>;
    asio::io_context loop_{1};
    Listener node_{loop_};
    std::optional<Balancer> balancer_;
    std::optional<middleware::Mount> mount_;
    Answers answers_;
};

TEST_F(MountAlone, DisconnectOfUnknownOrEndedConnection) {
    mount_->left(7);
    serve(request(7, "a"));
    const auto wire = wait_for_request("a");
    mount_->left(8);
    mount_->left(7);
    mount_->left(7);
    until([&] { return wire->ended; });
    mount_->left(7);
    // A reused connection number inherits nothing from the previous connection.
    serve(request(7, "b"));
    wait_for_request("b")->send(ok());
    until([&] { return answers_.size() == 1; });
    EXPECT_EQ(answers_, (Answers{{"b", 200}}));
}

// The client disconnects while the answer is being delivered. The answer is dropped, and the waiting request
// is not sent.
TEST_F(MountAlone, DisconnectCrossesTheAnswer) {
    serve(request(7, "a"));
    serve(request(7, "b"));
    const auto wire = wait_for_request("a");
    wire->send(ok());
    std::size_t open_calls = 0;
    until([&] {
        // Stops once the call has ended, with its handler still pending in the loop.
        open_calls = balancer_->figures().open;
        return loop_.poll_one() == 0 || open_calls == 0 || !answers_.empty();
    });
    mount_->left(7);
    wait_until_idle();
    EXPECT_LE(answers_.size(), 1U);
    EXPECT_TRUE(wire->in.empty());
}

// Waiting requests of one connection are limited, so that it can't exhaust the process. Further ones are
// refused, and the answer closes the connection.
TEST_F(MountAlone, TooManyRequestsOfOneConnection) {
    for (int i = 0; i < 18; ++i) serve(request(7, "c" + std::to_string(i)));
    wait_for_request("c0");
    until([&] { return answers_.size() == 1; });
    EXPECT_EQ(answers_, (Answers{{"c17", 503}}));
    mount_->left(7);
    wait_until_idle();
    EXPECT_EQ(answers_.size(), 1U);
}

// Destroying the mount cancels open requests without an answer. The upstream connections are closed.
TEST_F(MountAlone, DestructionCancelsOpenRequests) {
    serve(request(7, "a"));
    serve(request(9, "b"));
    const auto a = wait_for_request("a");
    const auto b = wait_for_request("b");
    mount_.reset();
    until([&] { return a->ended && b->ended; });
    EXPECT_TRUE(answers_.empty());
}

// When the balancer is closed or destroyed, a request that was sent may have been executed. It must not be
// answered as refused, since the client would repeat it. A request that was not sent is refused.
TEST_F(MountAlone, SentRequestIsNotRefusedOnClose) {
    for (const bool destroyed : {false, true}) {
        SCOPED_TRACE(destroyed);
        std::optional<Balancer> other(std::in_place, loop_.get_executor(), options());
        std::vector<std::pair<int, bool>> answers;
        const auto serve = [&](const std::string& id) {
            other->async_serve(request(0, id).request, [&](HttpAnswer answer) {
                EXPECT_TRUE(answer.close);
                answers.emplace_back(answer.status, answer.result.may_have_run);
            });
        };
        serve(destroyed ? "d" : "c");
        (void)wait_for_request(destroyed ? "d" : "c");
        serve("new");
        if (destroyed) {
            other.reset();
        } else {
            other->async_close([] {});
        }
        until([&] { return answers.size() == 2; });
        std::sort(answers.begin(), answers.end());
        EXPECT_EQ(answers, (std::vector<std::pair<int, bool>>{{502, true}, {503, false}}));
    }
}

// The mount, and right after it the balancer, is destroyed while a request is posted to the loop. The request
// must not start, and must not access the balancer.
TEST_F(MountAlone, DestroyedWhileARequestIsPosted) {
    alignas(Balancer) std::array<std::byte, sizeof(Balancer)> storage;
    auto* const balancer = new (storage.data()) Balancer(loop_.get_executor(), options());
    auto mount = std::make_unique<middleware::Mount>(loop_.get_executor(), *balancer);
    bool answered = false;
    mount->serve(request(7, "a"), [&](HttpAnswer, const std::shared_ptr<void>&) { answered = true; });
    mount.reset();
    balancer->~Balancer();
    storage.fill(std::byte{0xff});  // makes an access to the destroyed balancer fail
    loop_.poll();
    EXPECT_FALSE(answered);
}

// An answer to HEAD has no body: the client would take it for the next answer.
TEST_F(MountAlone, HeadIsAnsweredWithoutABody) {
    std::vector<std::string> bodies;
    const auto send_head = [&](const std::string& target) {
        auto head_request = request(static_cast<middleware::Connection>(20 + bodies.size()), "a");
        head_request.request.method = "HEAD";
        head_request.request.target = target;
        const auto before = bodies.size();
        mount_->serve(std::move(head_request), [&](HttpAnswer answer, const std::shared_ptr<void>&) {
            bodies.push_back(answer.body);
        });
        until([&] { return bodies.size() > before; });
    };
    for (const std::string target : {"/api", "/api/below", "/ready", "/api?x y"}) send_head(target);
    balancer_->async_close([] {});
    send_head("/api");
    EXPECT_EQ(bodies, std::vector<std::string>(5));
}

}  // namespace
}  // namespace flaxdoor::test
