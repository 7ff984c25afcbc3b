// Tests of service discovery: the watch, its resumption, the application of lists, and a change of the service's
// address.
#include <algorithm>

#include "peers.h"

namespace flaxdoor::test {
namespace {

TEST(Discovery, WatchesFromTheLastKnownVersion) {
    BalancerFixture fixture;
    fixture.start();
    const auto watch = fixture.watch();
    EXPECT_TRUE(has(watch->in, "GET /v1/endpoints?stream=1&index=7 HTTP/1.1\r\n"));
}

// However a watch ends, the next one resumes after the last version received.
TEST(Discovery, ResumesAWatchThatFailed) {
    for (const std::string ending : {"cut", "503", "nonsense", "bad line"}) {
        BalancerFixture fixture;
        fixture.start();
        const auto first = fixture.watch();
        const std::string news = fixture.list(9, false).dump();
        first->send(watch_head + chunk(news.substr(0, 20)) + chunk(news.substr(20) + "\n") + chunk("\n"));
        std::size_t failed = 1;
        if (ending == "503" || ending == "nonsense") {
            first->close();
            fixture.watch(fixture.discovery, 2)
                ->send(ending == "503" ? "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
                                       : "nonsense\r\n\r\n");
            failed = 2;
        } else if (ending == "cut") {
            first->close();
        } else {
            first->send(
                chunk("{\"seq\":11,\n\n"));  // an indented list could continue; the empty line ends it
        }
        EXPECT_TRUE(has(fixture.watch(fixture.discovery, failed + 1)->in, "index=9 ")) << ending;
    }
}

// A change received on a watch applies to all later requests: an upstream that is leaving gets no new ones. An
// unusable entry does not affect the other entries of its list.
TEST(Discovery, AppliesChanges) {
    for (const bool with_unusable_entry : {false, true}) {
        BalancerFixture fixture;
        fixture.start();
        const auto watch = fixture.watch();
        json hosts = json::array({fixture.upstream(0, "leaving")});
        if (with_unusable_entry) {
            hosts.push_back(fixture.upstream(0));
            hosts[1]["host"] = "s-new";
            hosts[1]["site"] = "nowhere";
        }
        watch->send(watch_head + BalancerFixture::watch_update(9, false, hosts) + chunk("\n"));
        if (with_unusable_entry) fixture.line("discovery: left out: s-new: unknown zone");
        fixture.settle();
        const auto client = fixture.client();
        for (int i = 0; i < 6; ++i) fixture.serve(*client);
        EXPECT_TRUE(fixture.upstreams[0]->wires.empty());
        EXPECT_FALSE(watch->ended);
    }
}

// When a new configuration names another discovery service, the balancer at once opens a watch there from the last
// version, and applies the old service's changes until the new one responds. This works repeatedly and while
// draining.
TEST(Discovery, MovesToAnotherServiceWithoutAGap) {
    BalancerFixture fixture;
    std::vector<std::unique_ptr<Listener>> services;
    for (int i = 0; i < 3; ++i) services.push_back(std::make_unique<Listener>(fixture.loop));
    fixture.config["discovery"] = text_of(services[0]->address());
    fixture.start();
    const auto move_to = [&](std::size_t i) {
        fixture.config["discovery"] = text_of(services[i]->address());
        fixture.reconfigure();
    };
    const auto first = fixture.watch(*services[0]);
    first->send(watch_head + chunk(fixture.list(9, false).dump() + "\n"));
    const auto client = fixture.client();
    fixture.serve(*client);
    move_to(1);
    const auto second = fixture.watch(*services[1]);
    EXPECT_TRUE(has(second->in, "index=9 ")) << second->in;
    first->send(BalancerFixture::watch_update(10, false, json::array({fixture.upstream(0, "leaving")})));
    fixture.settle();
    const auto before = fixture.upstreams[0]->wires.size();
    for (int i = 0; i < 6; ++i) {
        const auto wire = fixture.send(*client, fixture.look());
        EXPECT_EQ(std::count(fixture.upstreams[0]->wires.begin(), fixture.upstreams[0]->wires.end(), wire),
                  0);
        fixture.pass(*wire, *client);
    }
    EXPECT_EQ(fixture.upstreams[0]->wires.size(), before);
    EXPECT_FALSE(first->ended);
    const auto held = fixture.send(*client, fixture.look());
    fixture.shut_down();
    // The new service has its own version numbers.
    second->send(watch_head + chunk(fixture.list(8, true).dump() + "\n"));
    fixture.until([&] { return first->ended; });
    move_to(1);  // unchanged, so no new watch is opened
    move_to(2);
    const auto third = fixture.watch(*services[2]);
    EXPECT_TRUE(has(third->in, "index=8 ")) << third->in;
    second->close();
    fixture.pass(*held, *client);
    client->close();
    fixture.until_exited();
    for (const auto& service : services) EXPECT_EQ(service->wires.size(), 1U);
}

// No connection of an upstream that was removed or has moved is reused, whether it was idle or busy. A new upstream
// at the same address gets new connections.
TEST(Discovery, ARemovedUpstreamsConnectionsAreClosed) {
    struct Case {
        const char* description;
        bool whole;
        const char* name;  // of the upstream that is listed now
        std::size_t address;
        bool left;  // the list reports the old upstream as left
    };
    for (const Case& now : {Case{"omitted from a complete list", true, "s-new", 0, false},
                            Case{"reported as left in a change", false, "s-new", 0, true},
                            Case{"moved", false, "s-0", 1, false}}) {
        SCOPED_TRACE(now.description);
        BalancerFixture fixture;
        fixture.config["known"]["hosts"] = json::array({fixture.upstream(0)});
        fixture.start();
        const auto watch = fixture.watch();
        const auto client = fixture.client();
        const auto other = fixture.client();
        const auto idle = fixture.send(*client, fixture.look(5000, "kept"));
        const auto busy = fixture.send(*other, fixture.look(5000, "under-way"));
        fixture.pass(*idle, *client);
        json hosts =
            json::array({BalancerFixture::entry(now.name, fixture.upstreams[now.address]->address())});
        if (now.left) hosts.push_back(fixture.upstream(0, "left"));
        watch->send(watch_head + BalancerFixture::watch_update(9, now.whole, hosts));
        fixture.until([&] { return idle->ended; });
        EXPECT_FALSE(busy->ended);
        fixture.pass(*busy, *other, "to the end");
        fixture.until([&] { return busy->ended; });
        fixture.serve(*client);
        EXPECT_EQ(fixture.upstreams[now.address]->wires.size(), now.address == 0 ? 3U : 1U);
        EXPECT_EQ(fixture.connections(), 3U);
    }
}

}  // namespace
}  // namespace flaxdoor::test
