#include "kube/lease.h"

#include <gtest/gtest.h>

namespace flaxdoor::kube {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

// An API server with one Lease.
struct Server {
    std::pair<int, std::string> handle(const Lease::Call& call) {
        calls.push_back(call.method);
        if (call.method == "GET")
            return lease.is_null() ? std::pair(404, std::string()) : std::pair(200, lease.dump());
        Json body = Json::parse(call.body);
        if (call.method == "POST") {
            if (!lease.is_null()) return {409, ""};
        } else if (lease.is_null() ||
                   body["metadata"]["resourceVersion"] != lease["metadata"]["resourceVersion"]) {
            return {409, ""};
        }
        body["metadata"]["resourceVersion"] = std::to_string(++version);
        lease = body;
        return {call.method == "POST" ? 201 : 200, lease.dump()};
    }
    Json lease;
    int version = 0;
    std::vector<std::string> calls;
};

struct Holder {
    explicit Holder(const std::string& name)
        : lease([&] {
              Lease::Options options;
              options.identity = name;
              return options;
          }()) {}
    void step(Time now, Server* server) {
        while (auto call = lease.next(now, now)) {
            if (!server) {
                lease.ended(now, 0, "");
                continue;
            }
            const auto [status, body] = server->handle(*call);
            lease.ended(now, status, body);
        }
    }
    Lease lease;
};

TEST(Lease, OneHolderAcquiresItAndTheOtherWaitsForItsExpiry) {
    Server server;
    Holder a("a"), b("b");
    Time now = 1000s;
    a.step(now, &server);
    b.step(now, &server);
    EXPECT_TRUE(a.lease.holds(now));
    EXPECT_FALSE(b.lease.holds(now));
    EXPECT_EQ(b.lease.holder(), "a");
    for (int i = 0; i < 20; ++i) {
        now += 2s;
        a.step(now, &server);
        b.step(now, &server);
        EXPECT_TRUE(a.lease.holds(now));
        EXPECT_FALSE(b.lease.holds(now));
    }
    EXPECT_EQ(server.lease["spec"]["leaseTransitions"], 0);
    // a stops renewing. It must stop using the lease before b acquires it.
    const Time last_renewal = now;
    while (!b.lease.holds(now)) {
        now += 1s;
        b.step(now, &server);
        EXPECT_FALSE(a.lease.holds(now) && b.lease.holds(now)) << "two holders at once";
        ASSERT_LT(now, last_renewal + 40s);
    }
    EXPECT_GE(now, last_renewal + 15s);
    EXPECT_EQ(server.lease["spec"]["leaseTransitions"], 1);
    a.step(now, &server);
    a.step(now + 2s, &server);
    EXPECT_FALSE(a.lease.holds(now + 2s));
}

TEST(Lease, IsLostInTimeWhenTheServerIsUnreachable) {
    Server server;
    Holder a("a");
    a.step(1000s, &server);
    EXPECT_TRUE(a.lease.holds(1009s));
    for (Time now = 1002s; now < 1012s; now += 2s) a.step(now, nullptr);
    EXPECT_FALSE(a.lease.holds(1010s));
}

TEST(Lease, SimultaneousCreationAndInvalidResponses) {
    Server server;
    Holder a("a"), b("b");
    const auto first = a.lease.next(1s, 1s), second = b.lease.next(1s, 1s);
    const auto x = server.handle(*first), y = server.handle(*second);
    a.lease.ended(1s, x.first, x.second);
    b.lease.ended(1s, y.first, y.second);
    const auto post = a.lease.next(1s, 1s), other = b.lease.next(1s, 1s);
    const auto p = server.handle(*post), q = server.handle(*other);
    a.lease.ended(1s, p.first, p.second);
    b.lease.ended(1s, q.first, q.second);
    EXPECT_TRUE(a.lease.holds(1s));
    EXPECT_FALSE(b.lease.holds(1s));
    Holder c("c");
    (void)c.lease.next(1s, 1s);
    c.lease.ended(1s, 200, "rubbish");
    EXPECT_FALSE(c.lease.holds(1s));
    (void)c.lease.next(3s, 3s);
    c.lease.ended(3s, 200, R"({"spec":7,"metadata":{}})");
    EXPECT_FALSE(c.lease.holds(3s));
}

}  // namespace
}  // namespace flaxdoor::kube
