// Invalid input. An invalid call is reported in its result, and invalid options throw std::invalid_argument
// with one line that names the option. Nothing of it reaches an upstream.
#include <limits>

#include "flaxdoor/blocking_balancer.h"
#include "rig.h"

namespace flaxdoor::test {
namespace {

class Input : public LibraryTest {
protected:
    void expect_bad_request(Balancer& balancer, CallRequest request, const std::string& reason) {
        const auto completion = start_call(balancer, std::move(request));
        EXPECT_FALSE(completion->completed());  // a handler never runs from within async_call
        ASSERT_TRUE(wait_for_completion(completion));
        EXPECT_EQ(completion->result.verdict, CallVerdict::failed) << reason;
        EXPECT_EQ(completion->result.cause, CallCause::bad_request)
            << reason << ": " << text_of(completion->result);
        EXPECT_FALSE(completion->result.may_have_run) << reason;
        EXPECT_NE(completion->result.why.find(reason), std::string::npos)
            << reason << ": " << completion->result.why;
    }
};

TEST_F(Input, BadCalls) {
    Balancer& balancer = make_balancer();
    const auto bad = [&](const std::string& reason, auto change) {
        CallRequest request = check_in();
        change(request);
        expect_bad_request(balancer, std::move(request), reason);
    };
    bad("names no class", [](auto& request) { request.class_name = "none"; });
    bad("names no class", [](auto& request) { request.class_name = ""; });
    bad("budget", [](auto& request) { request.budget = {}; });
    bad("budget", [](auto& request) { request.budget = Micros(-1); });
    bad("body", [](auto& request) { request.body.assign(64 * 1024 + 1, 'x'); });
    bad("Idempotency-Key", [](auto& request) { request.idempotency_key = "k"; });
    bad("Idempotency-Key", [](auto& request) { request.class_name = "hold"; });
    bad("POST", [](auto& request) { request.method = "GET"; });
    bad("GET", [](auto& request) {
        request.class_name = "look";
        request.method = "POST";
    });
    bad("headers have more", [](auto& request) {
        request.headers = {{"X-Long", std::string(17 * 1024, 'x')}};
    });
    bad("headers have more", [](auto& request) { request.target = "/" + std::string(17 * 1024, 'x'); });
    bad("X-Call-Id", [](auto& request) { request.id = std::string(65, 'x'); });
    // Characters that could smuggle in a second request, in every text field.
    for (const std::string& evil : {std::string("x\r\nX-Evil: 1"), std::string("x\nX-Evil: 1"),
                                    std::string("x\rY"), std::string("x\0y", 3), std::string("x\x7f")}) {
        bad("header", [&](auto& request) { request.headers = {{evil, "v"}}; });
        bad("header", [&](auto& request) { request.headers = {{"X-Name", evil}}; });
        bad("target", [&](auto& request) { request.target = "/" + evil; });
        bad("X-Call-Id", [&](auto& request) { request.id = evil; });
        bad("method", [&](auto& request) { request.method = evil; });
        bad("plain words", [&](auto& request) { request.tenant = evil; });
        bad("plain words", [&](auto& request) { request.class_name = evil; });
        bad("plain words", [&](auto& request) {
            request.class_name = "hold";
            request.idempotency_key = evil;
        });
    }
    bad("target", [](auto& request) { request.target = "/a b"; });
    bad("target", [](auto& request) { request.target = ""; });
    bad("target", [](auto& request) { request.target = "http://elsewhere/"; });
    bad("method", [](auto& request) { request.method = "PO ST"; });
    bad("header", [](auto& request) { request.headers = {{"", "v"}}; });
    bad("header", [](auto& request) { request.headers = {{"a:b", "v"}}; });
    run_ready();
    EXPECT_EQ(nodes[0]->counts().accepted, 0U);
    EXPECT_EQ(balancer.figures().faults, 0U);
    expect_served(balancer, check_in());
}

// Requests that a web framework's parser accepts but that must not be forwarded.
TEST_F(Input, BadRequestsOfAFramework) {
    Balancer& balancer = make_balancer();
    HttpRequest good;
    good.method = "POST";
    good.target = "/api";
    good.headers = {{"X-Call-Id", "c"}, {"X-Call-Class", "check-in"}, {"X-Budget-Ms", "5000"}};
    const auto serve = [&](HttpRequest request) {
        HttpAnswer answer;
        int times = 0;
        balancer.async_serve(std::move(request), [&](HttpAnswer received) {
            ++times;
            answer = std::move(received);
        });
        EXPECT_TRUE(wait_until([&] { return times > 0; }));
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
        bad([&](auto& request) { request.headers.emplace_back("X-Name", evil); });
        bad([&](auto& request) { request.headers.emplace_back(evil, "v"); });
        bad([&](auto& request) { request.target = "/api?" + evil; });
        bad([&](auto& request) { request.method = evil; });
        bad([&](auto& request) { request.headers[0].second = evil; });
    }
    for (const auto& field :
         std::vector<std::pair<std::string, std::string>>{{"X A", "b"},
                                                          {"", "b"},
                                                          {"Content-Length ", "0"},
                                                          {"X-A:", "b"},
                                                          {"Transfer-Encoding", "identity"}}) {
        bad([&](auto& request) { request.headers.push_back(field); });
    }
    for (const char* target : {"/api HTTP/1.1", "/api?x y", "/api?\x7f"})
        bad([&](auto& request) { request.target = target; });
    for (const char* method : {"", "PO ST", "POST /x HTTP/1.1\r\n"})
        bad([&](auto& request) { request.method = method; });
    bad([](auto& request) {
        request.headers.insert(request.headers.end(), {{"Content-Length", "4"}, {"Content-Length", "5"}});
    });
    bad([](auto& request) { request.headers.emplace_back("X-Long", std::string(17 * 1024, 'x')); });
    bad([](auto& request) { request.headers.pop_back(); });
    bad([](auto& request) { request.headers.emplace_back("X-Call-Id", "d"); });
    bad([](auto& request) { request.body.assign(64 * 1024 + 1, 'x'); }, 413);
    bad([](auto& request) {  // conflicting framing: an upstream could choose the other length
        request.headers.emplace_back("Transfer-Encoding", "chunked");
        request.headers.emplace_back("Content-Length", "3");
    });
    run_ready();
    EXPECT_EQ(nodes[0]->counts().accepted, 0U);
    // Headers that frame the client's connection are not forwarded. Conflicting ones are rejected, since they
    // may hide a second request.
    HttpRequest framed = good;
    framed.headers.emplace_back("Content-Length", "999");
    bad([&](auto& request) {
        request = framed;
        request.headers.emplace_back("Transfer-Encoding", "chunked");
    });
    bad([](auto& request) { request.headers.emplace_back("Transfer-Encoding", "gzip"); });
    framed.headers.emplace_back("Connection", "X-Call-Id, Idempotency-Key");
    framed.body = "donor=17";
    const HttpAnswer answer = serve(framed);
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(standins::made_for(answer.body, "c", "check-in", "", "donor=17")) << answer.body;
    EXPECT_EQ(nodes[0]->counts().bad, 0U);
}

// The library's headers replace headers of the same name in the caller's request.
TEST_F(Input, LibraryHeadersReplaceTheCallers) {
    Balancer& balancer = make_balancer();
    CallRequest request = check_in();
    request.id = "mine";
    request.headers = {{"x-call-id", "other"},  {"Transfer-Encoding", "chunked"}, {"X-Call-Class", "look"},
                       {"Connection", "close"}, {"idempotency-key", "k"},         {"X-Budget-Ms", "1"},
                       {"X-Own", "goes on"},    {"Expect", "100-continue"}};
    expect_served(balancer, request);
    EXPECT_EQ(runs_of("mine"), 1U);
    EXPECT_EQ(nodes[0]->counts().bad, 0U);
}

TEST_F(Input, DuplicateIdIsRejected) {
    Balancer& balancer = make_balancer("never,req=1");
    CallRequest request = check_in(milliseconds(100));
    request.id = "once";
    const auto first = start_call(balancer, request);
    ASSERT_TRUE(wait_for_fault());
    for (int i = 0; i < 2; ++i) {
        const auto second = start_call(balancer, request);
        ASSERT_TRUE(wait_for_completion(second));
        EXPECT_EQ(second->result.cause, CallCause::name_open);
        EXPECT_EQ(second->result.verdict, CallVerdict::failed);
        EXPECT_TRUE(second->result.may_have_run);
        EXPECT_EQ(second->result.id, "once");
        ASSERT_TRUE(wait_for_completion(first));  // so the next round runs after its time-out
    }
    EXPECT_TRUE(first->result.may_have_run);
    EXPECT_EQ(attempts_of("once"), 1U);
}

TEST_F(Input, PinnedServerIsNotListed) {
    Balancer& balancer = make_balancer();
    CallRequest request = check_in();
    request.pinned = "elsewhere";
    const auto completion = start_call(balancer, request);
    ASSERT_TRUE(wait_for_completion(completion));
    EXPECT_EQ(completion->result.verdict, CallVerdict::refused);
    EXPECT_FALSE(completion->result.may_have_run);
    EXPECT_EQ(nodes[0]->counts().accepted, 0U);
    request.pinned = "n0";
    expect_served(balancer, request);
}

TEST_F(Input, CallsAfterClose) {
    Balancer& balancer = make_balancer();
    bool closed = false;
    balancer.async_close([&] { closed = true; });
    const auto while_closing = start_call(balancer, check_in());
    ASSERT_TRUE(wait_until([&] { return closed; }));
    const auto after_close = start_call(balancer, check_in());
    balancer.set_servers(options().servers);
    balancer.reconfigure(options());
    ASSERT_TRUE(wait_for_completion(after_close));
    for (const auto& completion : {while_closing, after_close}) {
        EXPECT_EQ(completion->times, 1);
        EXPECT_EQ(completion->result.cause, CallCause::closed);
        EXPECT_FALSE(completion->result.may_have_run);
        EXPECT_FALSE(completion->result.id.empty());
    }
    EXPECT_EQ(nodes[0]->counts().accepted, 0U);
}

// The exception's message is one line that names the option.
TEST_F(Input, BadOptions) {
    const auto bad = [&](const std::string& name, auto change) {
        BalancerOptions balancer_options = options_for({"127.0.0.1:1"});
        change(balancer_options);
        const auto expect_rejected = [&](auto function) {
            try {
                function();
                ADD_FAILURE() << name << " was accepted";
            } catch (const std::invalid_argument& error) {
                EXPECT_NE(std::string(error.what()).find(name), std::string::npos) << error.what();
                EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos) << error.what();
            }
        };
        expect_rejected([&] { Balancer balancer(loop.get_executor(), balancer_options); });
        expect_rejected([&] { BlockingBalancer balancer(balancer_options); });
        // reconfigure() of a running instance throws as well.
        Balancer running(loop.get_executor(), options_for({"127.0.0.1:1"}));
        expect_rejected([&] { running.reconfigure(balancer_options); });
    };
    bad("settings", [](auto& options) { options.settings.classes.clear(); });
    bad("max_attempts", [](auto& options) { options.settings.max_attempts = 0; });
    bad("report_fields", [](auto& options) { options.report_fields = {"active"}; });
    bad("listen", [](auto& options) { options.listen = "here:80"; });
    bad("listen", [](auto& options) { options.listen = "127.0.0.1"; });
    bad("discovery", [](auto& options) { options.discovery = "127.0.0.1:99999"; });
    bad("servers", [](auto& options) { options.servers.servers[0].address = "nowhere"; });
    bad("servers", [](auto& options) { options.servers.servers[0].address = "127.0.0.1:0"; });
    bad("servers: n0", [](auto& options) { options.servers.servers[0].zone = "moon"; });
    bad("servers: n0", [](auto& options) { options.servers.servers.push_back(options.servers.servers[0]); });
    bad("servers", [](auto& options) { options.servers.servers[0].name = ""; });
    bad("servers: n0",
        [](auto& options) { options.servers.servers[0].weight = std::numeric_limits<double>::quiet_NaN(); });
    bad("servers: n0", [](auto& options) { options.servers.servers[0].weight = -1; });
    bad("operators", [](auto& options) { options.operators = "[http]\nno_such_key = 1\n"; });
    bad("operators", [](auto& options) { options.operators = "[[["; });
    run_ready();
}

// A malformed configuration of the daemon throws std::invalid_argument with a one-line message.
TEST_F(Input, BadConfigurations) {
    for (const std::string text : {"", "[", "{}", "[]", "{\"settings\": 3}", "{\"settings\": {}}", "null"}) {
        try {
            (void)options_from(text);
            ADD_FAILURE() << text << " was accepted";
        } catch (const std::invalid_argument& error) {
            EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos) << error.what();
        } catch (const std::exception& error) {
            ADD_FAILURE() << text << ": exception of another type: " << error.what();
        }
    }
}

// An invalid server of the cached list is skipped, as in lists of service discovery. It would be worse if the
// balancer did not start, or rejected a reload, because of it.
TEST_F(Input, InvalidCachedServerIsSkipped) {
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
            const BalancerOptions balancer_options =
                options_from(config(first ? entry + "," + good : good + "," + entry));
            ASSERT_EQ(balancer_options.servers.servers.size(), 1U) << what;
            EXPECT_EQ(balancer_options.servers.servers[0].name, "good") << what;
            EXPECT_NO_THROW(Balancer(loop.get_executor(), balancer_options)) << what;
        }
    }
    EXPECT_TRUE(options_from(config(good, "")).servers.servers.empty()) << "there are no zones";
    run_ready();
}

TEST_F(Input, NoExecutor) {
    EXPECT_THROW(Balancer(asio::any_io_executor(), options_for({"127.0.0.1:1"})), std::invalid_argument);
}

TEST_F(Input, ListenAddressInUse) {
    tcp::acceptor taken(loop, {asio::ip::address_v4::loopback(), 0});
    BalancerOptions balancer_options = options_for({"127.0.0.1:1"});
    balancer_options.listen = text_of(taken.local_endpoint());
    EXPECT_THROW(Balancer(loop.get_executor(), balancer_options), boost::system::system_error);
    EXPECT_THROW(BlockingBalancer{balancer_options}, boost::system::system_error);
    run_ready();
}

// set_servers() throws for an invalid list, instead of the host's loop, and the old list stays in use.
TEST_F(Input, InvalidServerListAtRunTime) {
    Balancer& balancer = make_balancer();
    ServerList list = options().servers;
    list.servers[0].zone = "moon";
    EXPECT_THROW(balancer.set_servers(list), std::invalid_argument);
    list = options().servers;
    list.servers[0].address = "nowhere";
    EXPECT_THROW(balancer.set_servers(list), std::invalid_argument);
    expect_served(balancer, check_in());
    // A list of changes removes one server and adds another.
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

// Without service discovery only the settings change.
TEST_F(Input, ReconfigureWithoutDiscovery) {
    Balancer& balancer = make_balancer();
    BalancerOptions balancer_options = options();
    balancer_options.settings.max_attempts = 2;
    balancer_options.settings.classes.push_back(balancer_options.settings.classes[0]);
    balancer_options.settings.classes.back().name = "new";
    balancer.reconfigure(balancer_options);
    expect_served(balancer, call("new"));
    expect_served(balancer, check_in());
    EXPECT_EQ(balancer.figures().faults, 0U);
}

TEST_F(Input, BlockingCallOnItsOwnThreadThrows) {
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
