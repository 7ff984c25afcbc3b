// The end of a balancer that was told to end.
#include "peers.h"

namespace flaxdoor::test {
namespace {

// Requests are still taken for a while, on old connections and on new ones; then what is held is answered,
// with the connection's end told, and the balancer ends.
TEST(Drain, ServesWhatComesAndThenEnds) {
    Stage s;
    s.start();
    const auto held = s.client();
    const auto wire = s.send(*held, s.once());
    s.form->end();
    const auto late = s.client();
    s.serve(*late, s.once(), "late");
    s.until_refused();
    wire->say(ok("held"));
    const auto answer = s.answer(*held);
    EXPECT_EQ(body(answer), "held");
    EXPECT_EQ(header(answer, "Connection"), "close");
    s.until([&] { return held->ended; });
    held->close();
    late->close();
    s.until_ended();
}

// Whoever has nothing to ask is not waited for.
TEST(Drain, ClosesIdleConnections) {
    Stage s;
    s.start();
    const auto idle = s.client();
    const auto held = s.client();
    EXPECT_EQ(status(s.ask(*idle, ready)), 200);
    const auto wire = s.send(*held, s.once());
    s.form->end();
    s.until([&] { return idle->ended; });
    EXPECT_FALSE(held->ended);
    s.pass(*wire, *held, "held");
    held->close();
    s.until_ended();
}

// A request that is only half here when nobody new is taken any more is still taken and answered.
TEST(Drain, WaitsForARequestThatIsComing) {
    Stage s;
    const auto client = s.start_with_client();
    const auto request = s.once();
    client->say(request.substr(0, 30));
    s.form->end();
    s.until_refused();
    EXPECT_FALSE(s.form->ended());
    s.serve(*client, request.substr(30), "in time");
    s.until([&] { return client->ended; });
    client->close();
    s.until_ended();
}

// A request that was whole only shortly before the end is answered with the end: its client is told
// something, and what may have run is not called refused.
TEST(Drain, AnswersWhatIsStillOpenAtItsEnd) {
    Stage s(1);
    s.set_deadline(500);
    s.operators = "[drain]\nkeep_accepting = \"0s\"\nend_slack = \"0s\"\n";
    s.start();
    const auto idle = s.client();
    const auto client = s.client();
    EXPECT_EQ(status(s.ask(*idle, ready)), 200);
    const auto request = s.once(500);
    client->say(request.substr(0, 30));
    s.end();
    s.until([&] { return idle->ended; });
    s.stall(std::chrono::milliseconds(100), [&] { client->say(request.substr(30)); });
    const auto wire = s.request().first;  // and its upstream is silent
    const auto answer = s.answer(*client);
    EXPECT_TRUE(failed(answer)) << answer;
    s.until([&] { return client->ended; });
    client->close();
    s.until_ended();
}

// What was taken whole before the drain is answered at its own deadline, although its upstream says nothing.
TEST(Drain, AnswersWhatWasTakenThoughItsUpstreamIsSilent) {
    Stage s(1);
    const auto client = s.start_with_client();
    const auto wire = s.send(*client, s.once(500));
    s.form->end();
    const auto answer = s.answer(*client);
    EXPECT_TRUE(failed(answer)) << answer;
    s.until([&] { return client->ended; });
    client->close();
    s.until_ended();
    EXPECT_TRUE(client->in.empty()) << "something came after the final answer";
}

// Whoever tells it twice means the same: it drains once, and what is held is answered.
TEST(Drain, ToldTwiceIsToldOnce) {
    Stage s;
    s.start();
    const auto held = s.client();
    const auto wire = s.send(*held, s.once());
    s.end();
    s.form->end();
    s.until_refused();
    s.form->end();  // and once more, when it has begun to close
    EXPECT_FALSE(held->ended);
    s.pass(*wire, *held, "held");
    held->close();
    s.until_ended();
    EXPECT_EQ(s.logged("draining"), 1U);
}

// A configuration that comes meanwhile is taken like any other, and holds up nothing.
TEST(Drain, TakesAConfiguration) {
    Stage s;
    Listener other(s.loop);
    const auto client = s.start_with_client();
    const auto wire = s.send(*client, s.once());
    s.end();
    s.config["discovery"] = text_of(other.address());
    s.take();
    s.watch(other);
    s.pass(*wire, *client, "held");
    client->close();
    s.until_ended();
}

}  // namespace
}  // namespace flaxdoor::test
