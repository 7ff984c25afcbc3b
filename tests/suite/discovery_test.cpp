// The list of upstreams: watched, resumed, heeded, and moved to another service.
#include <algorithm>

#include "peers.h"

namespace flaxdoor::test {
namespace {

TEST(Discovery, WatchesFromTheKnownVersion) {
    Stage s;
    s.start();
    const auto watch = s.watch();
    EXPECT_TRUE(has(watch->in, "GET /v1/endpoints?stream=1&index=7 HTTP/1.1\r\n"));
}

// Whatever way a watch ends, the next one resumes after the last version heard.
TEST(Discovery, ResumesAWatchThatFailed) {
    for (const std::string end : {"cut", "503", "nonsense", "bad line"}) {
        Stage s;
        s.start();
        const auto first = s.watch();
        const std::string news = s.list(9, false).dump();
        first->say(watch_head + chunk(news.substr(0, 20)) + chunk(news.substr(20) + "\n") + chunk("\n"));
        std::size_t failed = 1;
        if (end == "503" || end == "nonsense") {
            first->close();
            s.watch(s.discovery, 2)
                ->say(end == "503" ? "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
                                   : "nonsense\r\n\r\n");
            failed = 2;
        } else if (end == "cut") {
            first->close();
        } else {
            first->say(chunk("{\"seq\":11,\n\n"));  // an indented list could go on; the empty line ends that
        }
        EXPECT_TRUE(has(s.watch(s.discovery, failed + 1)->in, "index=9 ")) << end;
    }
}

// What a watch says of an upstream holds from then on: one that leaves gets nothing new. An entry that can't
// be used makes nobody deaf to the one beside it.
TEST(Discovery, ListsArePassedOn) {
    for (const bool unusable_beside : {false, true}) {
        Stage s;
        s.start();
        const auto watch = s.watch();
        json hosts = json::array({s.upstream(0, "leaving")});
        if (unusable_beside) {
            hosts.push_back(s.upstream(0));
            hosts[1]["host"] = "s-new";
            hosts[1]["site"] = "nowhere";
        }
        watch->say(watch_head + Stage::news(9, false, hosts) + chunk("\n"));
        if (unusable_beside) s.line("discovery: left out: s-new: unknown zone");
        s.settle();
        const auto client = s.client();
        for (int i = 0; i < 6; ++i) s.serve(*client);
        EXPECT_TRUE(s.upstreams[0]->wires.empty());
        EXPECT_FALSE(watch->ended);
    }
}

// A new configuration names another service: it is asked at once from where the old one had got to, and the
// old one is heard until the new one speaks. As often as it comes, also while draining.
TEST(Discovery, MovesWithoutAGap) {
    Stage s;
    std::vector<std::unique_ptr<Listener>> services;
    for (int i = 0; i < 3; ++i) services.push_back(std::make_unique<Listener>(s.loop));
    s.config["discovery"] = text_of(services[0]->address());
    s.start();
    const auto move_to = [&](std::size_t i) {
        s.config["discovery"] = text_of(services[i]->address());
        s.take();
    };
    const auto first = s.watch(*services[0]);
    first->say(watch_head + chunk(s.list(9, false).dump() + "\n"));
    const auto client = s.client();
    s.serve(*client);
    move_to(1);
    const auto second = s.watch(*services[1]);
    EXPECT_TRUE(has(second->in, "index=9 ")) << second->in;
    first->say(Stage::news(10, false, json::array({s.upstream(0, "leaving")})));
    s.settle();
    const auto before = s.upstreams[0]->wires.size();
    for (int i = 0; i < 6; ++i) {
        const auto wire = s.send(*client, s.look());
        EXPECT_EQ(std::count(s.upstreams[0]->wires.begin(), s.upstreams[0]->wires.end(), wire), 0);
        s.pass(*wire, *client);
    }
    EXPECT_EQ(s.upstreams[0]->wires.size(), before);
    EXPECT_FALSE(first->ended);
    const auto held = s.send(*client, s.look());
    s.end();
    second->say(watch_head + chunk(s.list(8, true).dump() + "\n"));  // it counts anew
    s.until([&] { return first->ended; });
    move_to(1);  // nothing new: nothing happens
    move_to(2);
    const auto third = s.watch(*services[2]);
    EXPECT_TRUE(has(third->in, "index=8 ")) << third->in;
    second->close();
    s.pass(*held, *client);
    client->close();
    s.until_ended();
    for (const auto& service : services) EXPECT_EQ(service->wires.size(), 1U);
}

// Nothing of an upstream that has gone, or has moved, is used again: neither the connection that was kept nor
// the one that was busy. Whoever comes to its address is met anew.
TEST(Discovery, WhoHasGoneIsLetGoOf) {
    struct Case {
        const char* what;
        bool whole;
        const char* name;  // at the address that is listed now
        std::size_t address;
        bool left;  // the old one is told to have left
    };
    for (const Case& now :
         {Case{"left out of a whole list", true, "s-new", 0, false},
          Case{"left among changes", false, "s-new", 0, true}, Case{"moved", false, "s-0", 1, false}}) {
        SCOPED_TRACE(now.what);
        Stage s;
        s.config["known"]["hosts"] = json::array({s.upstream(0)});
        s.start();
        const auto watch = s.watch();
        const auto client = s.client();
        const auto other = s.client();
        const auto idle = s.send(*client, s.look(5000, "kept"));
        const auto busy = s.send(*other, s.look(5000, "under-way"));
        s.pass(*idle, *client);
        json hosts = json::array({Stage::entry(now.name, s.upstreams[now.address]->address())});
        if (now.left) hosts.push_back(s.upstream(0, "left"));
        watch->say(watch_head + Stage::news(9, now.whole, hosts));
        s.until([&] { return idle->ended; });
        EXPECT_FALSE(busy->ended);
        s.pass(*busy, *other, "to the end");
        s.until([&] { return busy->ended; });
        s.serve(*client);
        EXPECT_EQ(s.upstreams[now.address]->wires.size(), now.address == 0 ? 3U : 1U);
        EXPECT_EQ(s.connections(), 3U);
    }
}

}  // namespace
}  // namespace flaxdoor::test
