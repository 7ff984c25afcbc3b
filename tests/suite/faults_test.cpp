// Reproducers of faults, one test each. They run when FLAXDOOR_SUITE_FAULTS is on; a test that passes belongs with
// the other tests of its subject.
#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <string>

#include "peers.h"

namespace flaxdoor::test {
namespace {

// Fault: at the end of a drain, accepted connections with a request, or with one in transit, were closed. Clients
// connect until they are refused; each accepted client must get a complete response.
TEST(Faults, LateClientsAreAnsweredOrRefused) {
    BalancerFixture fixture;
    fixture.set_deadline(600);
    fixture.start();
    fixture.shut_down();
    std::vector<std::shared_ptr<Wire>> late;
    fixture.until_connections_refused([&](const auto& client) {
        client->send(fixture.once(600));  // the upstreams do not respond, so it is answered at its deadline
        late.push_back(client);
    });
    std::size_t lost = 0;
    for (const auto& client : late) lost += fixture.answer(*client).empty();
    EXPECT_EQ(lost, 0U) << "of " << late.size();
    for (const auto& client : late) client->close();
    fixture.until_exited();
}

// Fault: /ready returned 200 for 450 ms after the shutdown request, so that the load balancer in front kept choosing
// this balancer.
TEST(Faults, NotReadyFromTheShutdownRequest) {
    BalancerFixture fixture;
    fixture.start();
    const auto before = fixture.client();
    EXPECT_EQ(status(fixture.ask(*before, ready)), 200);
    fixture.shut_down();
    EXPECT_EQ(status(fixture.ask(*before, ready)), 503);
    const auto after = fixture.client();
    EXPECT_EQ(status(fixture.ask(*after, ready)), 503);
}

// Fault: an attempt whose connection was being established when its upstream began to drain was sent once the
// connection was up, after the drain grace. The upstream here accepts nothing until the change was received: its full
// backlog drops the connection request, which the balancer's kernel retransmits after a second.
TEST(Faults, NothingIsSentOnAConnectionEstablishedAfterTheDrainNotice) {
    BalancerFixture fixture;
    tcp::acceptor full_listener(fixture.loop);
    full_listener.open(tcp::v4());
    full_listener.bind(loopback());
    full_listener.listen(0);
    tcp::socket filler(fixture.loop);
    filler.connect(full_listener.local_endpoint());
    fixture.config["known"]["hosts"] =
        json::array({BalancerFixture::entry("s-stuck", full_listener.local_endpoint())});
    fixture.config["settings"]["invariants"]["drain_grace"] = 50.0;
    fixture.start();
    const auto watch = fixture.watch();
    const auto client = fixture.client();
    client->send(fixture.once());  // unsafe: it is retried elsewhere only after this attempt has ended
    fixture.settle();
    const json hosts = {BalancerFixture::entry("s-stuck", full_listener.local_endpoint(), "leaving"),
                        fixture.upstream(1)};
    watch->send(watch_head + BalancerFixture::watch_update(9, false, hosts) + chunk("\n"));
    fixture.settle();
    full_listener.accept();  // makes room for one connection
    std::vector<std::shared_ptr<Wire>> accepted;
    const std::function<void()> accept = [&] {
        full_listener.async_accept([&](boost::system::error_code error, tcp::socket socket) {
            if (error) return;
            accepted.push_back(std::make_shared<Wire>(std::move(socket)));
            accepted.back()->start();
            accept();
        });
    };
    accept();
    const auto written = [&] {
        for (const auto& wire : accepted)
            if (!wire->in.empty()) return true;
        return false;
    };
    fixture.until([&] { return written() || !fixture.no_request_received(); });
    EXPECT_FALSE(written()) << accepted[0]->in;
    if (!written()) {
        fixture.pass(*fixture.request().first, *client);
    } else {
        accepted[0]->send(ok());
        fixture.answer(*client);
    }
    client->close();
    fixture.shut_down();
    fixture.until_exited();
    fixture.drain_events();
    EXPECT_FALSE(written());
    full_listener.close();
    fixture.drain_events();
}

// Returns the lowest descriptor number that a process does not use.
rlim_t first_free_descriptor(pid_t process) {
    const std::filesystem::path held = "/proc/" + std::to_string(process) + "/fd";
    rlim_t n = 0;
    while (std::filesystem::exists(std::filesystem::symlink_status(held / std::to_string(n)))) ++n;
    return n;
}

// Fault: when the balancer had no descriptor for a connection, that counted as a refused connection, and the upstream
// was ejected for a while.
TEST(Faults, ALocalShortageEjectsNoUpstream) {
    BalancerFixture fixture(1);
    fixture.start();
    std::vector<std::shared_ptr<Wire>> clients;
    for (int i = 0; i < 2; ++i) clients.push_back(fixture.client());
    // Two concurrent calls reach the upstream, each on its own connection.
    const auto served_together = [&] {
        for (const auto& client : clients) client->send(fixture.once(1000));
        std::vector<std::shared_ptr<Wire>> received;
        bool answered = false;
        fixture.until([&] {
            if (const auto wire = fixture.received_request().first) received.push_back(wire);
            for (const auto& client : clients) answered = answered || !client->in.empty() || client->ended;
            return received.size() == clients.size() || answered;
        });
        EXPECT_EQ(received.size(), clients.size());
        for (const auto& wire : received) {
            wire->send(ok("served", "Connection: close\r\n"));
            fixture.until([&] { return wire->ended; });
        }
        for (const auto& client : clients) EXPECT_EQ(status(fixture.answer(*client)), 200);
    };
    served_together();
    // Uses an existing client: the close of a new one would free a descriptor later.
    EXPECT_EQ(status(fixture.ask(*clients[0], ready)), 200);
    rlimit usual_limit{};
    ASSERT_EQ(::prlimit(fixture.form->process(), RLIMIT_NOFILE, nullptr, &usual_limit), 0);
    const rlimit no_free_descriptor{first_free_descriptor(fixture.form->process()), usual_limit.rlim_max};
    ASSERT_EQ(::prlimit(fixture.form->process(), RLIMIT_NOFILE, &no_free_descriptor, nullptr), 0);
    for (const auto& client : clients) client->send(fixture.once(100));
    for (const auto& client : clients) EXPECT_TRUE(refused(fixture.answer(*client)));
    EXPECT_TRUE(fixture.no_request_received());
    ASSERT_EQ(::prlimit(fixture.form->process(), RLIMIT_NOFILE, &usual_limit, nullptr), 0);
    served_together();
    EXPECT_EQ(fixture.logged("upstream ejected"), 0U);
}

// Fault: the id of a call could be used again once the call was answered, although one of its attempts might still be
// executing at a silent upstream: the same id would reach an upstream twice.
TEST(Faults, AnIdStaysInUseWhileItsAttemptMayBeExecuting) {
    BalancerFixture fixture;
    const auto client = fixture.start_with_client();
    client->send(fixture.once(100, "body", "x7"));
    fixture.request();
    EXPECT_TRUE(failed(fixture.answer(*client)));
    const auto other = fixture.client();
    other->send(fixture.once(5000, "body", "x7"));
    fixture.until([&] { return !other->in.empty() || !fixture.no_request_received(); });
    EXPECT_TRUE(fixture.no_request_received());
    if (fixture.no_request_received()) {
        EXPECT_EQ(status(fixture.answer(*other)), 409);
    }
}

// Fault: a client that has sent more than 80 KiB ahead is not read, so its disconnect went unnoticed and its attempt
// continued. The deadline is longer than the test may take.
TEST(Faults, AnEndBehindMuchThatWasSentAheadIsSeen) {
    BalancerFixture fixture;
    fixture.set_deadline(600000);
    // Makes the periodic sweep too rare to notice the disconnect.
    fixture.operators = "[http]\nrequest_timeout = \"10m\"\n";
    const auto client = fixture.start_with_client();
    std::string ahead = fixture.look(600000);
    while (ahead.size() < 120 * 1024) ahead += fixture.look(600000);
    const auto wire = fixture.send(*client, ahead);
    fixture.until([&] { return client->all_said(); });
    fixture.settle();
    client->close();
    fixture.until([&] { return wire->ended; });
    fixture.settle();
    EXPECT_EQ(fixture.connections(), 1U);
}

// Fault: a client that ends only its sending, as HTTP/1.1 allows, was treated as disconnected. (A client that
// disconnects cancels its attempt: Serving.AClientsDisconnectCancelsItsAttempt.)
TEST(Faults, AHalfClosedClientIsAnswered) {
    BalancerFixture fixture;
    const auto client = fixture.start_with_client();
    client->send(fixture.once());
    client->end_sending();
    std::shared_ptr<Wire> wire;
    fixture.until([&] { return (wire = fixture.received_request().first) || client->ended; });
    ASSERT_TRUE(wire) << "the client was treated as disconnected";
    fixture.settle();
    EXPECT_FALSE(wire->ended);
    fixture.pass(*wire, *client);
}

// Fault: a list of more than 256 KiB in one line was rejected, and with it every later one.
TEST(Faults, AListOfFiveThousandEntriesIsApplied) {
    BalancerFixture fixture;
    fixture.config["known"]["hosts"] = json::array({fixture.upstream(0)});
    fixture.start();
    const auto watch = fixture.watch();
    const auto client = fixture.client();
    const auto kept = fixture.serve(*client);
    json hosts = json::array({fixture.upstream(1)});
    for (int i = 0; i < 4999; ++i)
        hosts.push_back(BalancerFixture::entry("s-far-" + std::to_string(i), loopback(9), "leaving"));
    watch->send(watch_head + BalancerFixture::watch_update(9, true, hosts) + chunk("\n"));
    fixture.until([&] { return kept->ended || watch->ended; });
    EXPECT_TRUE(kept->ended) << "the watch was closed";
    const auto wire = fixture.send(*client, fixture.look());
    EXPECT_EQ(fixture.upstreams[1]->wires.size(), 1U);
    fixture.pass(*wire, *client);
}

}  // namespace
}  // namespace flaxdoor::test
