// Tests of the outcomes of attempts, and of the client's response for each.
#include "peers.h"

namespace flaxdoor::test {
namespace {

TEST(Outcomes, ARefusedConnectionIsRetriedElsewhere) {
    BalancerFixture fixture;
    fixture.upstreams[0]->close();
    const auto client = fixture.start_with_client();
    for (int i = 0; i < 8; ++i) fixture.serve(*client, fixture.once());
}

// A request that never executed is refused when the balancer gives up. Retry-After then tells the client when to
// retry, in seconds and at most max_retry_after.
TEST(Outcomes, ARefusalHasRetryAfter) {
    for (const bool enabled : {true, false}) {
        BalancerFixture fixture;
        for (const auto& upstream : fixture.upstreams) upstream->close();
        fixture.config["settings"]["limits"]["retry_after"] = enabled;
        fixture.config["settings"]["limits"]["max_retry_after"] = 400.0;
        const auto client = fixture.start_with_client();
        const auto answer = fixture.ask(*client, fixture.once(150));
        EXPECT_TRUE(refused(answer)) << answer;
        const auto retry_after = header(answer, "Retry-After");
        if (!enabled) {
            EXPECT_EQ(retry_after, "");
            continue;
        }
        ASSERT_FALSE(retry_after.empty());
        EXPECT_EQ(retry_after.find_first_not_of("0123456789."), std::string::npos) << retry_after;
        EXPECT_GT(std::stod(retry_after), 0.0);
        EXPECT_LE(std::stod(retry_after), 0.4);
    }
}

// An unsafe request that an upstream has received completely may have executed, whatever follows. The client gets an
// error at once, without Retry-After, and the request is not sent again.
TEST(Outcomes, ARequestThatMayHaveExecutedFailsOnce) {
    enum Ending {
        stays_open,
        closed_by_balancer,
        upstream_closes,
        upstream_resets
    };  // the connection's expected end, or the upstream's action
    struct Case {
        const char* name;
        std::string response;
        Ending ending;
    };
    const std::string head = "HTTP/1.1 200 OK\r\n";
    std::string interims;
    for (int i = 0; i < 9; ++i) interims += "HTTP/1.1 103 Early Hints\r\n\r\n";
    for (const auto& [name, response, ending] : std::vector<Case>{
             {"an error", "HTTP/1.1 500 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", stays_open},
             {"a rejection without its mark", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", stays_open},
             {"reset after the last byte", "", upstream_resets},
             {"a truncated response", head + "Content-Length: 10\r\n\r\nhalf", upstream_closes},
             {"not HTTP", "nonsense\r\n\r\n", closed_by_balancer},
             {"a length that is not a number", head + "Content-Length: x\r\n\r\n", closed_by_balancer},
             {"a negative length", head + "Content-Length: -1\r\n\r\n", closed_by_balancer},
             {"a length over the limit", head + "Content-Length: 3221225472\r\n\r\nxxxx", closed_by_balancer},
             {"two lengths", head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
              closed_by_balancer},
             {"a broken chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", closed_by_balancer},
             {"a header over the limit", head + "X-Long: " + std::string(20000, 'x'), closed_by_balancer},
             {"a reset of a response without a length", head + "\r\nbody", upstream_resets},
             {"a response without a length, over the limit", head + "\r\n" + std::string(300000, 'x'),
              closed_by_balancer},
             {"another protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", closed_by_balancer},
             {"too many interim responses", interims, closed_by_balancer}}) {
        SCOPED_TRACE(name);
        BalancerFixture fixture;
        fixture.set_deadline(60000);  // longer than the test may take
        fixture.config["settings"]["limits"]["retry_after"] = true;
        fixture.config["settings"]["limits"]["max_retry_after"] = 400.0;
        const auto client = fixture.start_with_client();
        const auto wire = fixture.send(*client, fixture.once(60000));
        wire->send(response);
        if (ending == upstream_closes) wire->close();
        if (ending == upstream_resets) wire->reset();
        const auto answer = fixture.answer(*client);
        EXPECT_TRUE(failed(answer)) << answer;
        EXPECT_EQ(header(answer, "Retry-After"), "");
        if (ending == closed_by_balancer) fixture.until([&connection = wire] { return connection->ended; });
        EXPECT_TRUE(fixture.no_request_forwarded());
        EXPECT_EQ(fixture.connections(), 1U);
        const auto invalid = fixture.ask(*client, "GET /api HTTP/1.1\r\nHost: x\r\n\r\n");
        EXPECT_EQ(status(invalid), 400);
        EXPECT_EQ(header(invalid, "Retry-After"), "");
    }
}

// An upstream that sends malformed responses is up, so it is neither ejected nor put into slow start. Two consecutive
// malformed responses would cause that if they counted as resets.
TEST(Outcomes, MalformedResponsesEjectNoUpstream) {
    BalancerFixture fixture(1);
    const auto client = fixture.start_with_client();
    for (int i = 0; i < 3; ++i) {
        fixture.send(*client, fixture.once())->send("nonsense\r\n\r\n");
        EXPECT_TRUE(failed(fixture.answer(*client)));
    }
    fixture.serve(*client, fixture.once());
}

TEST(Outcomes, AMarkedRejectionIsRetriedElsewhere) {
    BalancerFixture fixture;
    const auto client = fixture.start_with_client();
    fixture.send(*client, fixture.once())
        ->send("HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
    fixture.pass(*fixture.request().first, *client);
}

TEST(Outcomes, InterimResponsesAreSkipped) {
    BalancerFixture fixture(1);
    const auto client = fixture.start_with_client();
    client->send(fixture.look());
    fixture.request().first->send("HTTP/1.1 100 Continue\r\n\r\n" + ok("final"));
    EXPECT_EQ(body(fixture.answer(*client)), "final");
}

}  // namespace
}  // namespace flaxdoor::test
