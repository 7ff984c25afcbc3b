// Tests of the graceful shutdown.
#include "peers.h"

namespace flaxdoor::test {
namespace {

// Requests are still accepted for a while, on existing and new connections. Then pending requests are answered with
// Connection: close, and the balancer exits.
TEST(Drain, ServesLateRequestsAndThenExits) {
    BalancerFixture fixture;
    fixture.start();
    const auto held = fixture.client();
    const auto wire = fixture.send(*held, fixture.once());
    fixture.form->end();
    const auto late = fixture.client();
    fixture.serve(*late, fixture.once(), "late");
    fixture.until_connections_refused();
    wire->send(ok("held"));
    const auto answer = fixture.answer(*held);
    EXPECT_EQ(body(answer), "held");
    EXPECT_EQ(header(answer, "Connection"), "close");
    fixture.until([&] { return held->ended; });
    held->close();
    late->close();
    fixture.until_exited();
}

// The shutdown does not wait for idle connections.
TEST(Drain, ClosesIdleConnections) {
    BalancerFixture fixture;
    fixture.start();
    const auto idle = fixture.client();
    const auto held = fixture.client();
    EXPECT_EQ(status(fixture.ask(*idle, ready)), 200);
    const auto wire = fixture.send(*held, fixture.once());
    fixture.form->end();
    fixture.until([&] { return idle->ended; });
    EXPECT_FALSE(held->ended);
    fixture.pass(*wire, *held, "held");
    held->close();
    fixture.until_exited();
}

// A request that is partially received when the balancer stops accepting connections is still received and answered.
TEST(Drain, WaitsForAPartiallyReceivedRequest) {
    BalancerFixture fixture;
    const auto client = fixture.start_with_client();
    const auto request = fixture.once();
    client->send(request.substr(0, 30));
    fixture.form->end();
    fixture.until_connections_refused();
    EXPECT_FALSE(fixture.form->ended());
    fixture.serve(*client, request.substr(30), "in time");
    fixture.until([&] { return client->ended; });
    client->close();
    fixture.until_exited();
}

// A request that is completely received only shortly before the end of the shutdown is answered at that end. It may
// have executed, so the response is a failure and not a refusal.
TEST(Drain, AnswersWhatIsStillOpenAtItsEnd) {
    BalancerFixture fixture(1);
    fixture.set_deadline(500);
    fixture.operators = "[drain]\nkeep_accepting = \"0s\"\nend_slack = \"0s\"\n";
    fixture.start();
    const auto idle = fixture.client();
    const auto client = fixture.client();
    EXPECT_EQ(status(fixture.ask(*idle, ready)), 200);
    const auto request = fixture.once(500);
    client->send(request.substr(0, 30));
    fixture.shut_down();
    fixture.until([&] { return idle->ended; });
    fixture.stall(std::chrono::milliseconds(100), [&] { client->send(request.substr(30)); });
    const auto wire = fixture.request().first;  // the upstream does not respond
    const auto answer = fixture.answer(*client);
    EXPECT_TRUE(failed(answer)) << answer;
    fixture.until([&] { return client->ended; });
    client->close();
    fixture.until_exited();
}

// A request received completely before the shutdown is answered at its own deadline when its upstream does not respond.
TEST(Drain, AnswersReceivedRequestsOfASilentUpstream) {
    BalancerFixture fixture(1);
    const auto client = fixture.start_with_client();
    const auto wire = fixture.send(*client, fixture.once(500));
    fixture.form->end();
    const auto answer = fixture.answer(*client);
    EXPECT_TRUE(failed(answer)) << answer;
    fixture.until([&] { return client->ended; });
    client->close();
    fixture.until_exited();
    EXPECT_TRUE(client->in.empty()) << "bytes followed the final response";
}

// A repeated shutdown request has no further effect: the balancer drains once, and pending requests are answered.
TEST(Drain, ARepeatedShutdownRequestHasNoEffect) {
    BalancerFixture fixture;
    fixture.start();
    const auto held = fixture.client();
    const auto wire = fixture.send(*held, fixture.once());
    fixture.shut_down();
    fixture.form->end();
    fixture.until_connections_refused();
    fixture.form->end();  // again, after it has stopped accepting connections
    EXPECT_FALSE(held->ended);
    fixture.pass(*wire, *held, "held");
    held->close();
    fixture.until_exited();
    EXPECT_EQ(fixture.logged("draining"), 1U);
}

// A configuration received during the shutdown is applied as usual, and does not delay the shutdown.
TEST(Drain, AppliesAConfiguration) {
    BalancerFixture fixture;
    Listener other(fixture.loop);
    const auto client = fixture.start_with_client();
    const auto wire = fixture.send(*client, fixture.once());
    fixture.shut_down();
    fixture.config["discovery"] = text_of(other.address());
    fixture.reconfigure();
    fixture.watch(other);
    fixture.pass(*wire, *client, "held");
    client->close();
    fixture.until_exited();
}

}  // namespace
}  // namespace flaxdoor::test
