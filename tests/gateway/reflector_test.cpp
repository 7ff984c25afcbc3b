#include "kube/reflector.h"

#include <gtest/gtest.h>

namespace flaxdoor::kube {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

Json object(const std::string& name, const std::string& version, const std::string& uid = "u") {
    return {{"metadata", {{"name", name}, {"namespace", "n"}, {"uid", uid}, {"resourceVersion", version}}}};
}
std::string event(const std::string& type, const Json& its) {
    return Json{{"type", type}, {"object", its}}.dump() + "\n";
}
std::string page(const std::vector<Json>& items, const std::string& version, const std::string& next = "") {
    Json meta = {{"resourceVersion", version}};
    if (!next.empty()) meta["continue"] = next;
    return Json{{"metadata", meta}, {"items", items}}.dump();
}

struct Followed {
    explicit Followed(ReflectorOptions options = {})
        : reflector([&] {
              options.path = "/things";
              return options;
          }()) {}
    std::string ask() {
        const auto call = reflector.next(now, 0.5);
        return call ? call->target : "";
    }
    // A whole answer, in pieces.
    void answer(int status, const std::string& body, std::size_t piece = 1 << 20, bool whole = true) {
        reflector.on_status(status, Micros{});
        for (std::size_t at = 0; at < body.size(); at += piece)
            reflector.on_body(std::string_view(body).substr(at, piece));
        reflector.call_ended(now, whole, whole ? "" : "cut", 0.5);
    }
    // "put a 5", "erase a", "list a b"
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
        answer(200, page(items, version));
        (void)changes();
        now += 1s;
        (void)ask();
        reflector.on_status(200, Micros{});
    }
    Time now = 100s;
    Reflector reflector;
};
using Words = std::vector<std::string>;

TEST(Reflector, AListInPagesThenAWatchFromItsVersion) {
    Followed f;
    EXPECT_EQ(f.ask(), "/things?limit=500");
    f.answer(200, page({object("a", "1"), object("b", "2")}, "10", "to ken"));
    EXPECT_EQ(f.changes(), Words{}) << "half a list is none";
    EXPECT_EQ(f.ask(), "/things?limit=500&continue=to%20ken");
    f.answer(200, page({object("c", "3")}, "10"));
    EXPECT_EQ(f.changes(), Words{"list a b c"});
    EXPECT_EQ(f.ask(), "/things?watch=1&allowWatchBookmarks=true&resourceVersion=10&timeoutSeconds=450");
    f.reflector.on_status(200, Micros{});
    f.reflector.on_body(event("MODIFIED", object("a", "11")) + event("DELETED", object("b", "12")) +
                        event("ADDED", object("d", "13")) + event("BOOKMARK", object("", "20")));
    EXPECT_EQ(f.changes(), (Words{"put a 11", "erase b", "put d 13"}));
    EXPECT_EQ(f.reflector.version(), "20");
    f.reflector.call_ended(f.now, true, "", 0.5);
    f.now += 1s;
    EXPECT_NE(f.ask().find("resourceVersion=20"), std::string::npos);
}

TEST(Reflector, EverySplitOfAWatchGivesTheSameAndEveryCutLosesNothingThatWasWhole) {
    const std::string bytes = event("ADDED", object("a", "11")) + event("MODIFIED", object("a", "12")) +
                              event("DELETED", object("a", "13")) + event("ADDED", object("b", "14"));
    const Words all{"put a 11", "put a 12", "erase a", "put b 14"};
    for (std::size_t piece = 1; piece < bytes.size(); ++piece) {
        Followed f;
        f.begin();
        for (std::size_t at = 0; at < bytes.size(); at += piece)
            f.reflector.on_body(std::string_view(bytes).substr(at, piece));
        ASSERT_EQ(f.changes(), all) << piece;
    }
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        Followed f;
        f.begin();
        f.reflector.on_body(std::string_view(bytes).substr(0, cut));
        f.reflector.call_ended(f.now, false, "cut", 0.5);
        const std::size_t whole = static_cast<std::size_t>(
            std::count(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(cut), '\n'));
        ASSERT_EQ(f.changes(), Words(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(whole))) << cut;
        f.now += 100s;
        const std::string wanted = whole == 0 ? "10" : std::to_string(10 + whole);
        ASSERT_NE(f.ask().find("resourceVersion=" + wanted), std::string::npos) << cut;
    }
}

TEST(Reflector, ForgottenIsListedAnewAndWhatIsServedGoesOn) {
    for (const bool by_event : {true, false}) {
        Followed f;
        f.begin({object("a", "1")});
        if (by_event) {
            f.reflector.on_body(event("ERROR", {{"kind", "Status"}, {"code", 410}}));
            f.reflector.call_ended(f.now, true, "", 0.5);
        } else {
            f.reflector.call_ended(f.now, false, "cut", 0.5);
            f.now += 100s;
            (void)f.ask();
            f.answer(410, "{}");
        }
        EXPECT_EQ(f.changes(), Words{}) << "nothing is dropped for it";
        f.now += 100s;
        EXPECT_EQ(f.ask(), "/things?limit=500");
        f.answer(200, page({object("b", "21")}, "30"));
        EXPECT_EQ(f.changes(), Words{"list b"});
    }
    // In the middle of a list in pages: begun anew, the pages of two lists are never mixed.
    Followed f;
    (void)f.ask();
    f.answer(200, page({object("old", "1")}, "10", "t"));
    f.now += 1s;
    (void)f.ask();
    f.answer(410, "{}");
    f.now += 1s;
    EXPECT_EQ(f.ask(), "/things?limit=500");
    f.answer(200, page({object("new", "2")}, "20"));
    EXPECT_EQ(f.changes(), Words{"list new"});
}

TEST(Reflector, RepeatsChangeNothingAndVersionsThatGoBackAreLookedInto) {
    Followed f;
    f.begin({object("a", "5")});
    f.reflector.on_body(event("MODIFIED", object("a", "11")));
    f.reflector.on_body(event("MODIFIED", object("a", "11")));
    EXPECT_EQ(f.changes(), Words{"put a 11"});
    f.reflector.on_body(event("DELETED", object("a", "12")) + event("ADDED", object("a", "13", "u2")));
    EXPECT_EQ(f.changes(), (Words{"erase a", "put a 13"}));
    f.reflector.on_body(event("DELETED", object("a", "12")));
    EXPECT_EQ(f.changes(), Words{}) << "the deletion of the one before it, once more";
    f.reflector.on_body(event("DELETED", object("a", "9", "u2")));
    EXPECT_EQ(f.changes(), Words{"erase a"}) << "of this one it is always obeyed";
    f.reflector.on_body(event("ADDED", object("b", "14")));
    f.reflector.on_body(event("MODIFIED", object("b", "7")) + event("MODIFIED", object("b", "15")));
    EXPECT_EQ(f.changes(), Words{"put b 14"});
    f.reflector.call_ended(f.now, true, "", 0.5);
    f.now += 100s;
    EXPECT_EQ(f.ask(), "/things?limit=500") << "the list tells which history it is";
}

TEST(Reflector, WhatCantBeReadEndsTheCallAndIsListedAnew) {
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
        Followed f(options);
        f.begin();
        f.reflector.on_body(line);
        f.reflector.on_body(event("ADDED", object("b", "12")));
        f.reflector.call_ended(f.now, false, "", 0.5);
        EXPECT_EQ(f.changes(), Words{}) << line;
        EXPECT_NE(f.reflector.trouble(), "") << line;
        f.now += 100s;
        if (line.size() < 150) {
            EXPECT_EQ(f.ask(), "/things?limit=500") << line;
        }
    }
    for (const std::string list :
         {"", "[]", "{}", "{\"items\":7,\"metadata\":{\"resourceVersion\":\"1\"}}", "{\"items\":[]}"}) {
        Followed f;
        (void)f.ask();
        f.answer(200, list);
        EXPECT_EQ(f.changes(), Words{}) << list;
        EXPECT_FALSE(f.reflector.listed());
    }
}

TEST(Reflector, MoreObjectsThanThereMayBeAreNoList) {
    ReflectorOptions options;
    options.objects = 2;
    Followed f(options);
    (void)f.ask();
    f.answer(200, page({object("a", "1"), object("b", "2"), object("c", "3")}, "10"));
    EXPECT_EQ(f.changes(), Words{});
    EXPECT_NE(f.reflector.trouble().find("more than 2"), std::string::npos);
    Followed g(options);
    g.begin({object("a", "1"), object("b", "2")});
    g.reflector.on_body(event("ADDED", object("c", "11")));
    EXPECT_TRUE(g.reflector.spoilt());
}

TEST(Reflector, NestedWithoutEndIsNoEvent) {
    Followed f;
    f.begin();
    f.reflector.on_body("{\"type\":\"ADDED\",\"object\":{\"metadata\":{\"resourceVersion\":\"11\",\"x\":" +
                        std::string(1'000'000, '[') + std::string(1'000'000, ']') + "}}}\n");
    EXPECT_EQ(f.changes(), Words{});
    EXPECT_TRUE(f.reflector.spoilt());
}

TEST(Reflector, BacksOffWithJitterAndHeedsRetryAfter) {
    Followed f;
    std::vector<std::int64_t> waits;
    for (int i = 0; i < 9; ++i) {
        (void)f.ask();
        f.answer(500, "no");
        waits.push_back((*f.reflector.due() - f.now).count() / 1000);
        f.now = *f.reflector.due();
    }
    EXPECT_EQ(waits, (std::vector<std::int64_t>{375, 750, 1500, 3000, 6000, 12000, 22500, 22500, 22500}));
    (void)f.ask();
    f.reflector.on_status(429, 90s);
    f.reflector.call_ended(f.now, true, "", 0.5);
    EXPECT_EQ(*f.reflector.due() - f.now, Micros(90s));
    EXPECT_FALSE(f.reflector.next(f.now + 89s, 0.5));
    f.now += 90s;
    (void)f.ask();
    f.answer(200, page({}, "5"));
    EXPECT_EQ(f.changes(), Words{"list"});
}

TEST(Reflector, TenMinutesAwayAndBackWithAnotherHistory) {
    Followed f;
    f.begin({object("a", "1"), object("b", "2")}, "500");
    f.reflector.call_ended(f.now, false, "reset", 0.5);
    const Time back = f.now + 10min;
    int calls = 0;
    while (f.now < back) {
        f.now = std::max(*f.reflector.due(), f.now + 1ms);
        if (f.ask().empty()) continue;
        ++calls;
        f.reflector.call_ended(f.now, false, "connect", 0.5);
        EXPECT_EQ(f.changes(), Words{}) << "what is known stays";
    }
    EXPECT_LE(calls, 35) << "some every 22 s once it is clear that nobody is there";
    f.now = *f.reflector.due();
    EXPECT_EQ(f.ask(), "/things?limit=500") << "version 500 may mean something else by now";
    f.answer(200, page({object("c", "3", "u3")}, "7"));
    EXPECT_EQ(f.changes(), Words{"list c"});
    f.now += 1s;
    EXPECT_NE(f.ask().find("resourceVersion=7"), std::string::npos);
}

TEST(Reflector, AKindThatIsOptionalAndMissingIsAsIfThereWereNone) {
    ReflectorOptions options;
    options.optional = true;
    Followed f(options);
    (void)f.ask();
    f.answer(404, "");
    EXPECT_EQ(f.changes(), Words{"list"});
    EXPECT_EQ(*f.reflector.due() - f.now, Micros(30s));
    f.now += 30s;
    (void)f.ask();
    f.answer(403, "");
    EXPECT_EQ(f.changes(), Words{}) << "told once";
}

TEST(Reflector, AServerThatEndsWatchesAtOnceIsNotAskedInALoop) {
    Followed f;
    f.begin();
    int calls = 0;
    const Time end = f.now + 10s;
    while (f.now < end) {
        if (f.reflector.calling()) f.reflector.call_ended(f.now, true, "", 0.5);
        f.now = std::max(*f.reflector.due(), f.now + 1ms);
        if (f.ask().empty()) continue;
        ++calls;
        f.reflector.on_status(200, Micros{});
    }
    EXPECT_LE(calls, 101);
}

}  // namespace
}  // namespace flaxdoor::kube
