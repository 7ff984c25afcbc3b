// Failures of the API server while requests are being served.
#include <gtest/gtest.h>

#include "rig.h"

namespace flaxdoor::gateway::test {
namespace {

struct Faults : testing::Test {
    // The rig is destroyed last and may still run the client's handler, which uses members destroyed before.
    ~Faults() override {
        if (client) client->on_answer = nullptr;
    }
    void begin(int services = 4) {
        a = &rig.add_backend("a");
        rig.api.play(class_and_gateway());
        std::string rules;
        for (int i = 0; i < services; ++i) {
            const std::string name = "s" + std::to_string(i);
            rig.api.play(service(name) + slice(name, {{a->port(), "pod-" + name}}));
            rules += to_service(name, "{path: {value: /" + std::to_string(i) + "}}");
        }
        ASSERT_TRUE(rig.serve(http_route("r", rules)));
        ASSERT_TRUE(
            rig.until([&] { return rig.route_condition("booking/r", "Accepted") == "True Accepted"; }));
        load();
    }
    // Starts a client that sends the next request as soon as it gets a response.
    void load() {
        client = rig.client();
        client->on_answer = [this] {
            ++answered;
            statuses[client->status(client->answers.size() - 1)]++;
            client->answers.clear();
            client->send(get("h", "/0"));
        };
        client->send(get("h", "/0"));
    }
    bool flows() {
        const std::size_t target = answered + 20;
        return rig.until([&] { return answered > target; });
    }
    std::size_t listed() { return rig.cluster->figures().lists; }

    Rig rig;
    Backend* a = nullptr;
    std::shared_ptr<Client> client;
    std::size_t answered = 0;
    std::map<std::string, std::size_t> statuses;
};

TEST_F(Faults, UnavailableAndThenBackWithAnotherHistory) {
    begin();
    rig.api.stop();
    ASSERT_TRUE(flows());
    ASSERT_TRUE(rig.until([&] { return rig.log.has("what is known is served on"); }));
    ASSERT_TRUE(flows());
    rig.api.restore(3, false);
    rig.api.start();
    const std::size_t before = listed();
    ASSERT_TRUE(rig.until([&] { return listed() >= before + 5; }));
    ASSERT_TRUE(flows());
    // Changes apply again from now on.
    rig.api.play(
        http_route("r", to_service("s1", "{path: {value: /new}}") + to_service("s0", "{path: {value: /0}}")));
    ASSERT_TRUE(rig.until([&] { return rig.ask(get("h", "/new")) == "200 a"; }));
    EXPECT_EQ(statuses.size(), 1U) << "only 200";
}

TEST_F(Faults, AnEmptyListIsHeldBackButADeletionEventApplies) {
    rig.options.guard.hold = 1h;
    begin();
    rig.api.restore(50, true);
    ASSERT_TRUE(rig.until([&] {
        return rig.cluster->figures().held.find("Service: a whole list lacked 4 of 4") != std::string::npos;
    }));
    ASSERT_TRUE(flows());
    // One Service reappears and is then deleted by an event.
    rig.api.play(service("s1"));
    rig.api.erase("Service", "booking/s1");
    ASSERT_TRUE(rig.until([&] { return rig.ask(get("h", "/1")).substr(0, 3) == "500"; }));
    EXPECT_FALSE(rig.cluster->figures().held.empty()) << "the foreign_writes are still held";
    EXPECT_EQ(rig.ask(get("h", "/2")), "200 a");
}

TEST_F(Faults, AnEmptyListAppliesAfterTheHold) {
    rig.options.guard.hold = 200ms;
    begin();
    rig.api.restore(50, true);
    ASSERT_TRUE(rig.until([&] { return rig.runtime->figures().pools == 0; }));
    ASSERT_TRUE(rig.until([&] { return rig.log.has("nothing is held back any more"); }));
    EXPECT_TRUE(rig.log.has("held back: "));
}

TEST_F(Faults, AHoldShowsInTheStatusAndEndsWithAPlausibleList) {
    rig.options.guard.hold = 1h;
    begin();
    rig.api.hide("EndpointSlice", true);
    rig.api.forget();
    rig.api.cut_watches(false);
    ASSERT_TRUE(rig.until([&] {
        return rig.gateway_condition("booking/front", "flaxdoor.dev/ListHeld") == "True ImplausibleList";
    }));
    ASSERT_TRUE(flows());
    // The condition `terminating` of a listed endpoint applies despite the hold.
    rig.api.hide("EndpointSlice", false);
    rig.api.play(slice("s1", {{a->port(), "pod-s1", "ready: false, terminating: true"}}));
    rig.api.forget();
    rig.api.cut_watches(false);
    ASSERT_TRUE(
        rig.until([&] { return rig.gateway_condition("booking/front", "flaxdoor.dev/ListHeld").empty(); }));
    ASSERT_TRUE(rig.until([&] { return rig.listed["booking/s1:80"].empty(); }));
}

TEST_F(Faults, CutEventsRepeatsStallsAndExpiredVersions) {
    begin();
    auto& api = rig.api;
    struct Disturbance {
        const char* name;
        std::function<void()> apply;
        bool cuts_watches = false;  // also ends the watches, so that the client sends new calls
    };
    const Disturbance disturbances[] = {
        {"mid-line", [&] { api.cut_watches(true); }},
        {"repeat", [&] { api.repeat_last(50); }},
        {"forget by event", [&] { api.forget(true); }, true},
        {"forget by status", [&] { api.forget(false); }, true},
        {"500", [&] { api.answer_next(500, 12); }, true},
        {"429", [&] { api.answer_next(429, 12, 1); }, true},
        {"bookmark", [&] { api.send_bookmarks(); }},
        {"rubbish", [&] { api.send_raw("HTTPRoute", "{\"type\":\"ADDED\",\"object\":7}\n"); }},
        {"stall",
         [&] {
             api.stall(true);
             api.cut_watches(false);
             EXPECT_TRUE(flows());
             api.stall(false);
             api.stop();  // ends the stalled calls
             api.start();
         }},
    };
    int turn = 0;
    for (const Disturbance& disturbance : disturbances) {
        disturbance.apply();
        if (disturbance.cuts_watches) api.cut_watches(false);
        const std::string path = "/t" + std::to_string(++turn);
        api.play(http_route("r", to_service("s0", "{path: {value: /0}}") +
                                     to_service("s1", "{path: {value: " + path + "}}")));
        ASSERT_TRUE(rig.until([&] { return rig.ask(get("h", path)) == "200 a"; })) << disturbance.name;
        ASSERT_TRUE(flows()) << disturbance.name;
    }
    EXPECT_EQ(statuses.size(), 1U) << "only 200";
    EXPECT_EQ(rig.core.figures().faults, 0U);
}

TEST_F(Faults, TwoControllersWriteWithoutOverwritingEachOther) {
    rig.api.play("kind: GatewayClass\nmetadata: {name: other}\nspec: {controllerName: other.example/x}\n");
    // The other controller writes first, three times.
    int foreign_writes = 0;
    rig.api.before_status = [&](const std::string& kind, const std::string& key) {
        if (kind != "HTTPRoute" || foreign_writes >= 3) return;
        ++foreign_writes;
        nlohmann::json parents = nlohmann::json::array();
        const auto now = rig.api.get(kind, key);
        if (now.contains("status")) {
            for (const auto& each : now["status"]["parents"]) {
                if (each["controllerName"] != "other.example/x") parents.push_back(each);
            }
        }
        parents.push_back(
            {{"parentRef", {{"name", "theirs"}}},
             {"controllerName", "other.example/x"},
             {"conditions",
              {{{"type", "Accepted"}, {"status", "True"}, {"reason", std::to_string(foreign_writes)}}}}});
        rig.api.patch_status(kind, key, {{"parents", parents}});
    };
    begin();
    EXPECT_EQ(foreign_writes, 3);
    const auto conflicts = std::count_if(rig.api.seen().begin(), rig.api.seen().end(), [](const auto& s) {
        return s.method == "PATCH" && s.status == 409;
    });
    EXPECT_EQ(conflicts, 3);
    const auto parents = rig.api.get("HTTPRoute", "booking/r")["status"]["parents"];
    ASSERT_EQ(parents.size(), 2U);
    EXPECT_EQ(parents[0]["controllerName"], "other.example/x");
    EXPECT_EQ(parents[0]["conditions"][0]["reason"], "3");
    EXPECT_EQ(parents[1]["controllerName"], "flaxdoor.dev/gateway");
    // The events of the gateway's own writes cause no further writes.
    const std::size_t writes = rig.api.status_writes();
    rig.api.send_bookmarks();
    ASSERT_TRUE(flows());
    EXPECT_EQ(rig.api.status_writes(), writes);
    const auto patches = std::count_if(rig.api.seen().begin(), rig.api.seen().end(),
                                       [](const auto& s) { return s.method == "PATCH" && s.status == 200; });
    EXPECT_EQ(static_cast<std::size_t>(patches), writes) << "each write changed something";
}

TEST_F(Faults, OnlyTheHolderOfTheLeaseWrites) {
    const auto lease = [](const std::string& spec) {
        return "kind: Lease\nmetadata: {name: flaxdoor-gateway, namespace: default}\nspec: {" + spec + "}\n";
    };
    rig.api.play(
        lease("holderIdentity: another, leaseDurationSeconds: 15, renewTime: "
              "\"2026-12-01T00:00:00.000000Z\""));
    rig.options.lease.duration = 1h;
    a = &rig.add_backend("a");
    ASSERT_TRUE(rig.serve(class_and_gateway() + service("s0") + slice("s0", {{a->port(), "p"}}) +
                          http_route("r", to_service("s0"))));
    EXPECT_EQ(rig.ask(get("h", "/")), "200 a") << "requests are served without the lease";
    EXPECT_FALSE(rig.cluster->figures().holds_lease);
    EXPECT_EQ(rig.api.status_writes(), 0U);
    // The other holder releases the lease.
    rig.api.play(lease("holderIdentity: \"\""));
    ASSERT_TRUE(rig.until([&] { return rig.route_condition("booking/r", "Accepted") == "True Accepted"; }));
    EXPECT_EQ(rig.api.get("Lease", "default/flaxdoor-gateway")["spec"]["holderIdentity"], "this");
}

}  // namespace
}  // namespace flaxdoor::gateway::test
