// What can't be used: one clear error, through the result or, of options, as std::invalid_argument that names
// the option; and nothing reaches a server.
#include <limits>

#include "flaxdoor/blocking_balancer.h"
#include "rig.h"

namespace flaxdoor::test {
namespace {

class Input : public Rig {
protected:
    void expect_bad(Balancer& balancer, CallRequest request, const std::string& said) {
        const auto ending = begin(balancer, std::move(request));
        EXPECT_FALSE(ending->over());  // never from within
        ASSERT_TRUE(over(ending));
        EXPECT_EQ(ending->result.verdict, CallVerdict::failed) << said;
        EXPECT_EQ(ending->result.cause, CallCause::bad_request) << said << ": " << text_of(ending->result);
        EXPECT_FALSE(ending->result.may_have_run) << said;
        EXPECT_NE(ending->result.why.find(said), std::string::npos) << said << ": " << ending->result.why;
    }
};

TEST_F(Input, BadCalls) {
    Balancer& balancer = serving();
    const auto bad = [&](const std::string& said, auto change) {
        CallRequest request = check_in();
        change(request);
        expect_bad(balancer, std::move(request), said);
    };
    bad("names no class", [](auto& r) { r.class_name = "none"; });
    bad("names no class", [](auto& r) { r.class_name = ""; });
    bad("budget", [](auto& r) { r.budget = {}; });
    bad("budget", [](auto& r) { r.budget = Micros(-1); });
    bad("body", [](auto& r) { r.body.assign(64 * 1024 + 1, 'x'); });
    bad("Idempotency-Key", [](auto& r) { r.idempotency_key = "k"; });
    bad("Idempotency-Key", [](auto& r) { r.class_name = "hold"; });
    bad("POST", [](auto& r) { r.method = "GET"; });
    bad("GET", [](auto& r) {
        r.class_name = "look";
        r.method = "POST";
    });
    bad("headers have more", [](auto& r) { r.headers = {{"X-Long", std::string(17 * 1024, 'x')}}; });
    bad("headers have more", [](auto& r) { r.target = "/" + std::string(17 * 1024, 'x'); });
    bad("X-Call-Id", [](auto& r) { r.id = std::string(65, 'x'); });
    // What could hide a second message, in every place that holds text.
    for (const std::string& evil : {std::string("x\r\nX-Evil: 1"), std::string("x\nX-Evil: 1"),
                                    std::string("x\rY"), std::string("x\0y", 3), std::string("x\x7f")}) {
        bad("header", [&](auto& r) { r.headers = {{evil, "v"}}; });
        bad("header", [&](auto& r) { r.headers = {{"X-Name", evil}}; });
        bad("target", [&](auto& r) { r.target = "/" + evil; });
        bad("X-Call-Id", [&](auto& r) { r.id = evil; });
        bad("method", [&](auto& r) { r.method = evil; });
        bad("plain words", [&](auto& r) { r.tenant = evil; });
        bad("plain words", [&](auto& r) { r.class_name = evil; });
        bad("plain words", [&](auto& r) {
            r.class_name = "hold";
            r.idempotency_key = evil;
        });
    }
    bad("target", [](auto& r) { r.target = "/a b"; });
    bad("target", [](auto& r) { r.target = ""; });
    bad("target", [](auto& r) { r.target = "http://elsewhere/"; });
    bad("method", [](auto& r) { r.method = "PO ST"; });
    bad("header", [](auto& r) { r.headers = {{"", "v"}}; });
    bad("header", [](auto& r) { r.headers = {{"a:b", "v"}}; });
    settle();
    EXPECT_EQ(nodes[0]->counts().accepted, 0U);
    EXPECT_EQ(balancer.figures().faults, 0U);
    expect_served(balancer, check_in());
}

// What a framework hands over was read by another parser than ours.
TEST_F(Input, BadRequestsOfAFramework) {
    Balancer& balancer = serving();
    HttpRequest good;
    good.method = "POST";
    good.target = "/api";
    good.headers = {{"X-Call-Id", "c"}, {"X-Call-Class", "check-in"}, {"X-Budget-Ms", "5000"}};
    const auto serve = [&](HttpRequest request) {
        HttpAnswer answer;
        int times = 0;
        balancer.async_serve(std::move(request), [&](HttpAnswer its) {
            ++times;
            answer = std::move(its);
        });
        EXPECT_TRUE(until([&] { return times > 0; }));
        EXPECT_EQ(times, 1);
        return answer;
    };
    const auto bad = [&](auto change, int status = 400) {
        HttpRequest request = good;
        change(request);
        const HttpAnswer answer = serve(request);
        EXPECT_EQ(answer.status, status);
        EXPECT_TRUE(answer.close);
        EXPECT_EQ(answer.result.cause, CallCause::bad_request) << answer.body;
        EXPECT_FALSE(answer.result.why.empty());
    };
    for (const std::string& evil :
         {std::string("x\r\nX-Evil: 1"), std::string("x\nY"), std::string("x\0y", 3)}) {
        bad([&](auto& r) { r.headers.emplace_back("X-Name", evil); });
        bad([&](auto& r) { r.headers.emplace_back(evil, "v"); });
        bad([&](auto& r) { r.target = "/api?" + evil; });
        bad([&](auto& r) { r.method = evil; });
        bad([&](auto& r) { r.headers[0].second = evil; });
    }
    for (const auto& field :
         std::vector<std::pair<std::string, std::string>>{{"X A", "b"},
                                                          {"", "b"},
                                                          {"Content-Length ", "0"},
                                                          {"X-A:", "b"},
                                                          {"Transfer-Encoding", "identity"}}) {
        bad([&](auto& r) { r.headers.push_back(field); });
    }
    for (const char* target : {"/api HTTP/1.1", "/api?x y", "/api?\x7f"})
        bad([&](auto& r) { r.target = target; });
    for (const char* method : {"", "PO ST", "POST /x HTTP/1.1\r\n"}) bad([&](auto& r) { r.method = method; });
    bad([](auto& r) {
        r.headers.insert(r.headers.end(), {{"Content-Length", "4"}, {"Content-Length", "5"}});
    });
    bad([](auto& r) { r.headers.emplace_back("X-Long", std::string(17 * 1024, 'x')); });
    bad([](auto& r) { r.headers.pop_back(); });
    bad([](auto& r) { r.headers.emplace_back("X-Call-Id", "d"); });
    bad([](auto& r) { r.body.assign(64 * 1024 + 1, 'x'); }, 413);
    bad([](auto& r) {  // two ends, of which a server behind us could choose the other one
        r.headers.emplace_back("Transfer-Encoding", "chunked");
        r.headers.emplace_back("Content-Length", "3");
    });
    settle();
    EXPECT_EQ(nodes[0]->counts().accepted, 0U);
    // Framing of the client's own connection goes no further; two of them may have hidden something.
    HttpRequest framed = good;
    framed.headers.emplace_back("Content-Length", "999");
    bad([&](auto& r) {
        r = framed;
        r.headers.emplace_back("Transfer-Encoding", "chunked");
    });
    bad([](auto& r) { r.headers.emplace_back("Transfer-Encoding", "gzip"); });
    framed.headers.emplace_back("Connection", "X-Call-Id, Idempotency-Key");
    framed.body = "donor=17";
    const HttpAnswer answer = serve(framed);
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(standins::made_for(answer.body, "c", "check-in", "", "donor=17")) << answer.body;
    EXPECT_EQ(nodes[0]->counts().bad, 0U);
}

// Headers that are set here are the request's own, whatever the caller's say.
TEST_F(Input, HeadersSetHereAreNotTheCallers) {
    Balancer& balancer = serving();
    CallRequest request = check_in();
    request.id = "mine";
    request.headers = {{"x-call-id", "other"},  {"Transfer-Encoding", "chunked"}, {"X-Call-Class", "look"},
                       {"Connection", "close"}, {"idempotency-key", "k"},         {"X-Budget-Ms", "1"},
                       {"X-Own", "goes on"},    {"Expect", "100-continue"}};
    expect_served(balancer, request);
    EXPECT_EQ(runs_of("mine"), 1U);
    EXPECT_EQ(nodes[0]->counts().bad, 0U);
}

TEST_F(Input, AnIdThatIsOpenIsNotTakenAgain) {
    Balancer& balancer = serving("never,req=1");
    CallRequest request = check_in(milliseconds(100));
    request.id = "once";
    const auto first = begin(balancer, request);
    ASSERT_TRUE(struck());
    for (int i = 0; i < 2; ++i) {
        const auto second = begin(balancer, request);
        ASSERT_TRUE(over(second));
        EXPECT_EQ(second->result.cause, CallCause::name_open);
        EXPECT_EQ(second->result.verdict, CallVerdict::failed);
        EXPECT_TRUE(second->result.may_have_run);
        EXPECT_EQ(second->result.id, "once");
        ASSERT_TRUE(over(first));  // and also when it has timed out
    }
    EXPECT_TRUE(first->result.may_have_run);
    EXPECT_EQ(attempts_of("once"), 1U);
}

TEST_F(Input, AServerThatIsNotThere) {
    Balancer& balancer = serving();
    CallRequest request = check_in();
    request.pinned = "elsewhere";
    const auto ending = begin(balancer, request);
    ASSERT_TRUE(over(ending));
    EXPECT_EQ(ending->result.verdict, CallVerdict::refused);
    EXPECT_FALSE(ending->result.may_have_run);
    EXPECT_EQ(nodes[0]->counts().accepted, 0U);
    request.pinned = "n0";
    expect_served(balancer, request);
}

TEST_F(Input, CallsAfterTheEnd) {
    Balancer& balancer = serving();
    bool closed = false;
    balancer.async_close([&] { closed = true; });
    const auto at_once = begin(balancer, check_in());
    ASSERT_TRUE(until([&] { return closed; }));
    const auto after = begin(balancer, check_in());
    balancer.set_servers(options().servers);
    balancer.reconfigure(options());
    ASSERT_TRUE(over(after));
    for (const auto& ending : {at_once, after}) {
        EXPECT_EQ(ending->times, 1);
        EXPECT_EQ(ending->result.cause, CallCause::closed);
        EXPECT_FALSE(ending->result.may_have_run);
        EXPECT_FALSE(ending->result.id.empty());
    }
    EXPECT_EQ(nodes[0]->counts().accepted, 0U);
}

// The option's name, and what is wrong.
TEST_F(Input, BadOptions) {
    const auto bad = [&](const std::string& name, auto change) {
        BalancerOptions its = options_for({"127.0.0.1:1"});
        change(its);
        const auto expect = [&](auto make) {
            try {
                make();
                ADD_FAILURE() << name << " was taken";
            } catch (const std::invalid_argument& error) {
                EXPECT_NE(std::string(error.what()).find(name), std::string::npos) << error.what();
                EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos) << error.what();
            }
        };
        expect([&] { Balancer balancer(loop.get_executor(), its); });
        expect([&] { BlockingBalancer balancer(its); });
        // And nothing has changed where it is to change one that runs.
        Balancer running(loop.get_executor(), options_for({"127.0.0.1:1"}));
        expect([&] { running.reconfigure(its); });
    };
    bad("settings", [](auto& o) { o.settings.classes.clear(); });
    bad("max_attempts", [](auto& o) { o.settings.max_attempts = 0; });
    bad("report_fields", [](auto& o) { o.report_fields = {"active"}; });
    bad("listen", [](auto& o) { o.listen = "here:80"; });
    bad("listen", [](auto& o) { o.listen = "127.0.0.1"; });
    bad("discovery", [](auto& o) { o.discovery = "127.0.0.1:99999"; });
    bad("servers", [](auto& o) { o.servers.servers[0].address = "nowhere"; });
    bad("servers", [](auto& o) { o.servers.servers[0].address = "127.0.0.1:0"; });
    bad("servers: n0", [](auto& o) { o.servers.servers[0].zone = "moon"; });
    bad("servers: n0", [](auto& o) { o.servers.servers.push_back(o.servers.servers[0]); });
    bad("servers", [](auto& o) { o.servers.servers[0].name = ""; });
    bad("servers: n0",
        [](auto& o) { o.servers.servers[0].weight = std::numeric_limits<double>::quiet_NaN(); });
    bad("servers: n0", [](auto& o) { o.servers.servers[0].weight = -1; });
    bad("operators", [](auto& o) { o.operators = "[http]\nno_such_key = 1\n"; });
    bad("operators", [](auto& o) { o.operators = "[[["; });
    settle();
}

// The daemon's configuration: what can't be read is one line of the promised types.
TEST_F(Input, BadConfigurations) {
    for (const std::string text : {"", "[", "{}", "[]", "{\"settings\": 3}", "{\"settings\": {}}", "null"}) {
        try {
            (void)options_from(text);
            ADD_FAILURE() << text << " was taken";
        } catch (const std::invalid_argument& error) {
            EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos) << error.what();
        } catch (const std::exception& error) {
            ADD_FAILURE() << text << ": of another type: " << error.what();
        }
    }
}

// One server of the cached list that can't be used costs none of the others its place, as in the roster's
// lists: a balancer that does not start for it, or takes no reload, would be worse.
TEST_F(Input, ACachedServerThatCantBeUsedIsLeftOut) {
    const auto config = [](const std::string& hosts, const std::string& zones = "\"here\"") {
        return R"({"name": "x", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
            "known": {"seq": 1, "whole": true, "hosts": [)" +
               hosts + R"(]}, "settings": {"rank": 0, "siblings": 1, "zone": 0, "zones": [)" + zones +
               R"(], "flavors": [], "tick": 1.0, "registry_mode": "push", "tenants": [],
            "services": [{"name": "look", "aim": 100.0, "hard_limit": 500.0, "effect": "idempotent",
                "worth": 1.0, "late_worth": 0.3, "stream": false}],
            "limits": {"cancel": true, "parallel_tries": true, "max_attempts": 2, "connect_timeout": 250.0,
                "idle_close": 15000.0, "retry_after": true, "max_retry_after": 500.0},
            "load_report": {"how": "inline", "fields": []},
            "invariants": {"ask_within": 10000.0, "drain_grace": 2000.0, "answer_slack": 5.0,
                "cold_from": 0.33, "ramp_time": 8600.0, "fall_multiple": 4.0, "fall": 1000.0}}})";
    };
    const auto host = [](const std::string& name, const std::string& dial, const std::string& more = "") {
        return R"({"host": ")" + name + R"(", "dial": ")" + dial +
               R"(", "health": "active", "site": "here", "block": 0)" + more + "}";
    };
    const std::string good = host("good", "127.0.0.1:6");
    const std::vector<std::pair<const char*, std::string>> bad = {
        {"weight", host("n", "127.0.0.1:5", R"(, "share": -1)")},
        {"address", host("n", "elsewhere")},
        {"port", host("n", "127.0.0.1:0")},
        {"name", host("", "127.0.0.1:5")},
        {"twice", good},
    };
    for (const auto& [what, entry] : bad) {
        for (const bool first : {true, false}) {
            const BalancerOptions its = options_from(config(first ? entry + "," + good : good + "," + entry));
            ASSERT_EQ(its.servers.servers.size(), 1U) << what;
            EXPECT_EQ(its.servers.servers[0].name, "good") << what;
            EXPECT_NO_THROW(Balancer(loop.get_executor(), its)) << what;
        }
    }
    EXPECT_TRUE(options_from(config(good, "")).servers.servers.empty()) << "there are no zones";
    settle();
}

TEST_F(Input, NoExecutor) {
    EXPECT_THROW(Balancer(asio::any_io_executor(), options_for({"127.0.0.1:1"})), std::invalid_argument);
}

TEST_F(Input, AnAddressThatIsTaken) {
    tcp::acceptor taken(loop, {asio::ip::address_v4::loopback(), 0});
    BalancerOptions its = options_for({"127.0.0.1:1"});
    its.listen = text_of(taken.local_endpoint());
    EXPECT_THROW(Balancer(loop.get_executor(), its), boost::system::system_error);
    EXPECT_THROW(BlockingBalancer{its}, boost::system::system_error);
    settle();
}

// A list that can't be used throws where it is handed in, not in the host's loop, and the old one stays.
TEST_F(Input, BadServersUnderWay) {
    Balancer& balancer = serving();
    ServerList list = options().servers;
    list.servers[0].zone = "moon";
    EXPECT_THROW(balancer.set_servers(list), std::invalid_argument);
    list = options().servers;
    list.servers[0].address = "nowhere";
    EXPECT_THROW(balancer.set_servers(list), std::invalid_argument);
    expect_served(balancer, check_in());
    // Changes to it: one goes, one comes.
    add_node();
    ServerList changes;
    changes.version = 2;
    changes.whole = false;
    changes.servers = {options().servers.servers[1]};
    changes.gone = {"n0"};
    balancer.set_servers(changes);
    const auto before = nodes[0]->counts().begun;
    for (int i = 0; i < 5; ++i) expect_served(balancer, check_in());
    EXPECT_EQ(nodes[0]->counts().begun, before);
}

// Without a roster there is nothing to move.
TEST_F(Input, ReconfiguredWithoutDiscovery) {
    Balancer& balancer = serving();
    BalancerOptions its = options();
    its.settings.max_attempts = 2;
    its.settings.classes.push_back(its.settings.classes[0]);
    its.settings.classes.back().name = "new";
    balancer.reconfigure(its);
    expect_served(balancer, call("new"));
    expect_served(balancer, check_in());
    EXPECT_EQ(balancer.figures().faults, 0U);
}

TEST_F(Input, ABlockingCallOnItsOwnThreadIsRefused) {
    add_node();
    BlockingBalancer blocking(options());
    std::promise<bool> refused;
    blocking.balancer().async_call(call("none"), [&](CallResult) {
        bool threw = false;
        try {
            (void)blocking.call(check_in());
        } catch (const std::logic_error&) {
            threw = true;
        }
        refused.set_value(threw);
    });
    EXPECT_TRUE(refused.get_future().get());
}

}  // namespace
}  // namespace flaxdoor::test
