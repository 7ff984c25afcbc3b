#include "kube/reflector.h"

#include <gtest/gtest.h>

namespace flaxdoor::kube {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

Json object(const std::string& name, const std::string& version, const std::string& uid = "u") {
    return {{"metadata", {{"name", name}, {"namespace", "n"}, {"uid", uid}, {"resourceVersion", version}}}};
}
std::string event(const std::string& type, const Json& event_object) {
    return Json{{"type", type}, {"object", event_object}}.dump() + "\n";
}
std::string page(const std::vector<Json>& items, const std::string& version, const std::string& next = "") {
    Json meta = {{"resourceVersion", version}};
    if (!next.empty()) meta["continue"] = next;
    return Json{{"metadata", meta}, {"items", items}}.dump();
}

struct ReflectorFixture {
    explicit ReflectorFixture(ReflectorOptions options = {})
        : reflector([&] {
              options.path = "/things";
              return options;
          }()) {}
    std::string ask() {
        const auto call = reflector.next(now, 0.5);
        return call ? call->target : "";
    }
    // Delivers a response in pieces and ends the call.
    void respond(int status, const std::string& body, std::size_t piece = 1 << 20, bool complete = true) {
        reflector.on_status(status, Micros{});
        for (std::size_t at = 0; at < body.size(); at += piece)
            reflector.on_body(std::string_view(body).substr(at, piece));
        reflector.call_ended(now, complete, complete ? "" : "cut", 0.5);
    }
    // Returns the changes as texts: "put a 5", "erase a", "list a b".
    std::vector<std::string> changes() {
        std::vector<std::string> out;
        while (auto change = reflector.take()) {
            switch (change->kind) {
                case Change::Kind::put:
                    out.push_back("put " + change->object["metadata"]["name"].get<std::string>() + " " +
                                  change->object["metadata"]["resourceVersion"].get<std::string>());
                    break;
                case Change::Kind::erase:
                    out.push_back("erase " + change->object["metadata"]["name"].get<std::string>());
                    break;
                case Change::Kind::list: {
                    std::string text = "list";
                    for (const auto& each : change->objects)
                        text += " " + each["metadata"]["name"].get<std::string>();
                    out.push_back(text);
                }
            }
        }
        return out;
    }
    void begin(const std::vector<Json>& items = {}, const std::string& version = "10") {
        (void)ask();
        respond(200, page(items, version));
        (void)changes();
        now += 1s;
        (void)ask();
        reflector.on_status(200, Micros{});
    }
    Time now = 100s;
    Reflector reflector;
};
using Texts = std::vector<std::string>;

TEST(Reflector, AListInPagesThenAWatchFromItsVersion) {
    ReflectorFixture fixture;
    EXPECT_EQ(fixture.ask(), "/things?limit=500");
    fixture.respond(200, page({object("a", "1"), object("b", "2")}, "10", "to ken"));
    EXPECT_EQ(fixture.changes(), Texts{}) << "an incomplete list is no change";
    EXPECT_EQ(fixture.ask(), "/things?limit=500&continue=to%20ken");
    fixture.respond(200, page({object("c", "3")}, "10"));
    EXPECT_EQ(fixture.changes(), Texts{"list a b c"});
    EXPECT_EQ(fixture.ask(),
              "/things?watch=1&allowWatchBookmarks=true&resourceVersion=10&timeoutSeconds=450");
    fixture.reflector.on_status(200, Micros{});
    fixture.reflector.on_body(event("MODIFIED", object("a", "11")) + event("DELETED", object("b", "12")) +
                              event("ADDED", object("d", "13")) + event("BOOKMARK", object("", "20")));
    EXPECT_EQ(fixture.changes(), (Texts{"put a 11", "erase b", "put d 13"}));
    EXPECT_EQ(fixture.reflector.version(), "20");
    fixture.reflector.call_ended(fixture.now, true, "", 0.5);
    fixture.now += 1s;
    EXPECT_NE(fixture.ask().find("resourceVersion=20"), std::string::npos);
}

TEST(Reflector, AnySplitGivesTheSameChangesAndACutLosesNoCompleteEvent) {
    const std::string bytes = event("ADDED", object("a", "11")) + event("MODIFIED", object("a", "12")) +
                              event("DELETED", object("a", "13")) + event("ADDED", object("b", "14"));
    const Texts all{"put a 11", "put a 12", "erase a", "put b 14"};
    for (std::size_t piece = 1; piece < bytes.size(); ++piece) {
        ReflectorFixture fixture;
        fixture.begin();
        for (std::size_t at = 0; at < bytes.size(); at += piece)
            fixture.reflector.on_body(std::string_view(bytes).substr(at, piece));
        ASSERT_EQ(fixture.changes(), all) << piece;
    }
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        ReflectorFixture fixture;
        fixture.begin();
        fixture.reflector.on_body(std::string_view(bytes).substr(0, cut));
        fixture.reflector.call_ended(fixture.now, false, "cut", 0.5);
        const std::size_t complete_events = static_cast<std::size_t>(
            std::count(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(cut), '\n'));
        ASSERT_EQ(fixture.changes(),
                  Texts(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(complete_events)))
            << cut;
        fixture.now += 100s;
        const std::string expected_version =
            complete_events == 0 ? "10" : std::to_string(10 + complete_events);
        ASSERT_NE(fixture.ask().find("resourceVersion=" + expected_version), std::string::npos) << cut;
    }
}

TEST(Reflector, AnExpiredVersionIsListedAgainAndTheObjectsStay) {
    for (const bool by_event : {true, false}) {
        ReflectorFixture fixture;
        fixture.begin({object("a", "1")});
        if (by_event) {
            fixture.reflector.on_body(event("ERROR", {{"kind", "Status"}, {"code", 410}}));
            fixture.reflector.call_ended(fixture.now, true, "", 0.5);
        } else {
            fixture.reflector.call_ended(fixture.now, false, "cut", 0.5);
            fixture.now += 100s;
            (void)fixture.ask();
            fixture.respond(410, "{}");
        }
        EXPECT_EQ(fixture.changes(), Texts{}) << "no object is removed";
        fixture.now += 100s;
        EXPECT_EQ(fixture.ask(), "/things?limit=500");
        fixture.respond(200, page({object("b", "21")}, "30"));
        EXPECT_EQ(fixture.changes(), Texts{"list b"});
    }
    // If the continue token expires, the list starts again. Pages of two lists are never mixed.
    ReflectorFixture fixture;
    (void)fixture.ask();
    fixture.respond(200, page({object("old", "1")}, "10", "t"));
    fixture.now += 1s;
    (void)fixture.ask();
    fixture.respond(410, "{}");
    fixture.now += 1s;
    EXPECT_EQ(fixture.ask(), "/things?limit=500");
    fixture.respond(200, page({object("new", "2")}, "20"));
    EXPECT_EQ(fixture.changes(), Texts{"list new"});
}

TEST(Reflector, RepeatsChangeNothingAndOlderVersionsCauseANewList) {
    ReflectorFixture fixture;
    fixture.begin({object("a", "5")});
    fixture.reflector.on_body(event("MODIFIED", object("a", "11")));
    fixture.reflector.on_body(event("MODIFIED", object("a", "11")));
    EXPECT_EQ(fixture.changes(), Texts{"put a 11"});
    fixture.reflector.on_body(event("DELETED", object("a", "12")) + event("ADDED", object("a", "13", "u2")));
    EXPECT_EQ(fixture.changes(), (Texts{"erase a", "put a 13"}));
    fixture.reflector.on_body(event("DELETED", object("a", "12")));
    EXPECT_EQ(fixture.changes(), Texts{}) << "the repeated deletion of the earlier object";
    fixture.reflector.on_body(event("DELETED", object("a", "9", "u2")));
    EXPECT_EQ(fixture.changes(), Texts{"erase a"}) << "a deletion of the current object always applies";
    fixture.reflector.on_body(event("ADDED", object("b", "14")));
    fixture.reflector.on_body(event("MODIFIED", object("b", "7")) + event("MODIFIED", object("b", "15")));
    EXPECT_EQ(fixture.changes(), Texts{"put b 14"});
    fixture.reflector.call_ended(fixture.now, true, "", 0.5);
    fixture.now += 100s;
    EXPECT_EQ(fixture.ask(), "/things?limit=500") << "a list shows the current history";
}

TEST(Reflector, AnInvalidResponseEndsTheCallAndCausesANewList) {
    const std::string bad[] = {"{\n",
                               "7\n",
                               "{\"type\":\"ADDED\"}\n",
                               event("NEW", object("a", "11")),
                               event("ADDED", {{"metadata", {{"name", "a"}}}}),
                               event("ERROR", {{"code", 500}}),
                               "{\"type\":\"ADDED\",\"object\":" + std::string(100'000, '[') + "\n",
                               std::string(200, 'x') + "\n"};
    for (const std::string& line : bad) {
        ReflectorOptions options;
        options.line_bytes = 150;
        ReflectorFixture fixture(options);
        fixture.begin();
        fixture.reflector.on_body(line);
        fixture.reflector.on_body(event("ADDED", object("b", "12")));
        fixture.reflector.call_ended(fixture.now, false, "", 0.5);
        EXPECT_EQ(fixture.changes(), Texts{}) << line;
        EXPECT_NE(fixture.reflector.last_error(), "") << line;
        fixture.now += 100s;
        if (line.size() < 150) {
            EXPECT_EQ(fixture.ask(), "/things?limit=500") << line;
        }
    }
    for (const std::string list :
         {"", "[]", "{}", "{\"items\":7,\"metadata\":{\"resourceVersion\":\"1\"}}", "{\"items\":[]}"}) {
        ReflectorFixture fixture;
        (void)fixture.ask();
        fixture.respond(200, list);
        EXPECT_EQ(fixture.changes(), Texts{}) << list;
        EXPECT_FALSE(fixture.reflector.listed());
    }
}

TEST(Reflector, RejectsMoreObjectsThanTheLimit) {
    ReflectorOptions options;
    options.objects = 2;
    ReflectorFixture fixture(options);
    (void)fixture.ask();
    fixture.respond(200, page({object("a", "1"), object("b", "2"), object("c", "3")}, "10"));
    EXPECT_EQ(fixture.changes(), Texts{});
    EXPECT_NE(fixture.reflector.last_error().find("more than 2"), std::string::npos);
    ReflectorFixture second(options);
    second.begin({object("a", "1"), object("b", "2")});
    second.reflector.on_body(event("ADDED", object("c", "11")));
    EXPECT_TRUE(second.reflector.response_unusable());
}

TEST(Reflector, RejectsDeeplyNestedEvents) {
    ReflectorFixture fixture;
    fixture.begin();
    fixture.reflector.on_body(
        "{\"type\":\"ADDED\",\"object\":{\"metadata\":{\"resourceVersion\":\"11\",\"x\":" +
        std::string(1'000'000, '[') + std::string(1'000'000, ']') + "}}}\n");
    EXPECT_EQ(fixture.changes(), Texts{});
    EXPECT_TRUE(fixture.reflector.response_unusable());
}

TEST(Reflector, BacksOffWithJitterAndHonorsRetryAfter) {
    ReflectorFixture fixture;
    std::vector<std::int64_t> waits;
    for (int i = 0; i < 9; ++i) {
        (void)fixture.ask();
        fixture.respond(500, "no");
        waits.push_back((*fixture.reflector.due() - fixture.now).count() / 1000);
        fixture.now = *fixture.reflector.due();
    }
    EXPECT_EQ(waits, (std::vector<std::int64_t>{375, 750, 1500, 3000, 6000, 12000, 22500, 22500, 22500}));
    (void)fixture.ask();
    fixture.reflector.on_status(429, 90s);
    fixture.reflector.call_ended(fixture.now, true, "", 0.5);
    EXPECT_EQ(*fixture.reflector.due() - fixture.now, Micros(90s));
    EXPECT_FALSE(fixture.reflector.next(fixture.now + 89s, 0.5));
    fixture.now += 90s;
    (void)fixture.ask();
    fixture.respond(200, page({}, "5"));
    EXPECT_EQ(fixture.changes(), Texts{"list"});
}

TEST(Reflector, TheServerIsUnreachableForTenMinutesAndReturnsWithAnotherHistory) {
    ReflectorFixture fixture;
    fixture.begin({object("a", "1"), object("b", "2")}, "500");
    fixture.reflector.call_ended(fixture.now, false, "reset", 0.5);
    const Time back = fixture.now + 10min;
    int calls = 0;
    while (fixture.now < back) {
        fixture.now = std::max(*fixture.reflector.due(), fixture.now + 1ms);
        if (fixture.ask().empty()) continue;
        ++calls;
        fixture.reflector.call_ended(fixture.now, false, "connect", 0.5);
        EXPECT_EQ(fixture.changes(), Texts{}) << "the known objects stay";
    }
    EXPECT_LE(calls, 35) << "about one call per 22 s after the back-off has grown";
    fixture.now = *fixture.reflector.due();
    EXPECT_EQ(fixture.ask(), "/things?limit=500") << "version 500 may belong to another history";
    fixture.respond(200, page({object("c", "3", "u3")}, "7"));
    EXPECT_EQ(fixture.changes(), Texts{"list c"});
    fixture.now += 1s;
    EXPECT_NE(fixture.ask().find("resourceVersion=7"), std::string::npos);
}

TEST(Reflector, AnOptionalKindThatIsMissingCountsAsEmpty) {
    ReflectorOptions options;
    options.optional = true;
    ReflectorFixture fixture(options);
    (void)fixture.ask();
    fixture.respond(404, "");
    EXPECT_EQ(fixture.changes(), Texts{"list"});
    EXPECT_EQ(*fixture.reflector.due() - fixture.now, Micros(30s));
    fixture.now += 30s;
    (void)fixture.ask();
    fixture.respond(403, "");
    EXPECT_EQ(fixture.changes(), Texts{}) << "reported once";
}

TEST(Reflector, LimitsTheRateOfWatchesThatEndImmediately) {
    ReflectorFixture fixture;
    fixture.begin();
    int calls = 0;
    const Time end = fixture.now + 10s;
    while (fixture.now < end) {
        if (fixture.reflector.calling()) fixture.reflector.call_ended(fixture.now, true, "", 0.5);
        fixture.now = std::max(*fixture.reflector.due(), fixture.now + 1ms);
        if (fixture.ask().empty()) continue;
        ++calls;
        fixture.reflector.on_status(200, Micros{});
    }
    EXPECT_LE(calls, 101);
}

}  // namespace
}  // namespace flaxdoor::kube
