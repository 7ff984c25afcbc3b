// The roster speaks discovery's form, and fails as it is told to.
#include "standins/roster.h"

#include "rig.h"
#include "standins/http_text.h"

namespace flaxdoor::standins {
namespace {

class RosterTest : public Rig {
protected:
    static RosterEntry entry(const std::string& host) {
        RosterEntry made;
        made.host = host;
        made.dial = "127.0.0.1:9";
        return made;
    }
    std::unique_ptr<ScriptedClient> watch(const Roster& roster, std::uint64_t index) {
        auto client = connect(roster.address());
        client->send("GET /v1/endpoints?stream=1&index=" + std::to_string(index) +
                     " HTTP/1.1\r\nHost: d\r\n\r\n");
        return client;
    }
    static std::vector<std::string> all_lines(const ScriptedClient& client) {
        std::vector<std::string> lines;
        std::string_view text = client.part().body;
        for (auto end = text.find('\n'); end != std::string_view::npos; end = text.find('\n')) {
            lines.emplace_back(text.substr(0, end));
            text.remove_prefix(end + 1);
        }
        return lines;
    }
    static std::vector<std::string> lines(const ScriptedClient& client) {
        auto lines = all_lines(client);
        std::erase(lines, "");
        return lines;
    }
    bool has_lines(const ScriptedClient& client, std::size_t many) {
        return wait_until([&] { return lines(client).size() >= many; });
    }
    // A watch that has been told the whole list.
    std::unique_ptr<ScriptedClient> told(const Roster& roster, std::uint64_t index = 0) {
        auto client = watch(roster, index);
        EXPECT_TRUE(has_lines(*client, 1));
        return client;
    }
    Answer answer(const ScriptedClient& client) { return answered(client) ? client.answers()[0] : Answer{}; }
    std::unique_ptr<ScriptedClient> list(const Roster& roster) {
        auto client = connect(roster.address());
        client->send("GET /v1/endpoints HTTP/1.1\r\nHost: d\r\n\r\n");
        return client;
    }
    static std::string text(const std::string& host, const std::string& health = "active", int born = 0) {
        return R"({"host":")" + host +
               R"(","dial":"127.0.0.1:9","site":"a","class":"m2","block":0,"health":")" + health +
               R"(","share":1.0,"born_ms":)" + std::to_string(born) + "}";
    }
    static std::string said(int version, bool whole, const std::string& hosts) {
        return R"({"seq":)" + std::to_string(version) + R"(,"whole":)" + (whole ? "true" : "false") +
               R"(,"hosts":[)" + hosts + "]}";
    }
};

TEST_F(RosterTest, AnswersTheWholeList) {
    Roster roster(loop);
    roster.set({entry("s-1"), entry("s-2")});
    const auto c = list(roster);
    EXPECT_EQ(answer(*c).status, 200);
    EXPECT_EQ(answer(*c).body, said(1, true, text("s-1") + "," + text("s-2")));
    c->send("GET /v1/endpoints HTTP/1.1\r\nHost: d\r\n\r\n");  // the connection is kept
    EXPECT_TRUE(answered(*c, 2));
    c->send("GET /other HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(answered(*c, 3));
    EXPECT_EQ(c->answers()[2].status, 404);
}

TEST_F(RosterTest, AWatchTellsChangesAsTheyCome) {
    Roster roster(loop);
    roster.set({entry("s-1"), entry("s-2")});
    const auto c = told(roster);
    roster.drain("s-1");
    roster.remove("s-2");
    roster.restart("s-1", 77);
    ASSERT_TRUE(has_lines(*c, 4));
    EXPECT_EQ(
        lines(*c),
        (std::vector{said(1, true, text("s-1") + "," + text("s-2")), said(2, false, text("s-1", "leaving")),
                     said(3, false, text("s-2", "left")), said(4, false, text("s-1", "active", 77))}));
    EXPECT_EQ(answer(*list(roster)).body, said(4, true, text("s-1", "active", 77)));
}

TEST_F(RosterTest, AWatchResumesAfterItsVersion) {
    Roster::Settings settings;
    settings.heartbeat = milliseconds(3);
    settings.changes_most = 3;
    Roster roster(loop, settings);
    for (int i = 1; i <= 5; ++i) roster.set(entry("s-" + std::to_string(i)));
    roster.drain("s-5");  // version 6; versions 4 to 6 are in the log
    const auto newest = watch(roster, 6);
    EXPECT_EQ(lines(*told(roster, 3))[0], said(6, false, text("s-5", "leaving") + "," + text("s-4")));
    for (const std::uint64_t beyond_the_log : {2, 9})
        EXPECT_TRUE(lines(*told(roster, beyond_the_log))[0].starts_with(R"({"seq":6,"whole":true)"));
    ASSERT_TRUE(
        wait_until([&] { return all_lines(*newest).size() >= 3; }));  // empty ones, as nothing changes
    EXPECT_TRUE(lines(*newest).empty());
    EXPECT_GE(roster.counts().heartbeats, 3U);
}

TEST_F(RosterTest, SplitAnywhereItSaysTheSame) {
    for (const auto& [chunk, write] :
         {std::pair<std::size_t, std::size_t>{1, 0}, {0, 1}, {7, 3}, {1000, 64}}) {
        Roster roster(loop);
        roster.split(chunk, write, milliseconds(0));
        roster.set({entry("s-1"), entry("s-2")});
        const auto c = told(roster);
        roster.drain("s-2");
        ASSERT_TRUE(has_lines(*c, 2));
        EXPECT_EQ(lines(*c)[0], said(1, true, text("s-1") + "," + text("s-2"))) << chunk << " " << write;
        EXPECT_EQ(lines(*c)[1], said(2, false, text("s-2", "leaving")));
        if (chunk == 1) {
            EXPECT_NE(c->raw().find("\r\n1\r\n{\r\n1\r\n\"\r\n1\r\ns\r\n"), std::string::npos);
        }
    }
}

TEST_F(RosterTest, WritesApartAreSeenApart) {
    Roster roster(loop);
    roster.set(entry("s-1"));
    roster.split(0, 10, milliseconds(1));
    const auto c = watch(roster, 0);
    // A few writes may be read as one, not all of them.
    ASSERT_TRUE(wait_until([&] { return !c->part().body.empty(); }));
    EXPECT_TRUE(lines(*c).empty());
    ASSERT_TRUE(has_lines(*c, 1));
}

TEST_F(RosterTest, DelayHoldsWhatIsSent) {
    Roster::Settings settings;
    settings.delay = milliseconds(20);
    Roster roster(loop, settings);
    const auto c = list(roster);
    ASSERT_TRUE(answered(*c));
    const auto& events = roster.events();
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0].kind, RosterEvent::Kind::list_asked);
    EXPECT_EQ(events[1].kind, RosterEvent::Kind::list_sent);
    EXPECT_GE(events[1].at - events[0].at, milliseconds(20));
}

TEST_F(RosterTest, DownEndsWatchesAndAnswers503) {
    Roster roster(loop);
    roster.set(entry("s-1"));
    const auto c = told(roster);
    roster.down();
    expect_end(*c, End::fin);
    EXPECT_EQ(answer(*list(roster)).status, 503);
    EXPECT_EQ(answer(*watch(roster, 1)).status, 503);
    roster.up();
    told(roster);
}

TEST_F(RosterTest, DownMayResetOrRefuse) {
    Roster roster(loop);
    roster.set(entry("s-1"));
    const auto address = roster.address();
    for (const auto& [how, end] :
         {std::pair{Roster::Down::reset, End::rst}, {Roster::Down::refuse, End::refused}}) {
        const auto c = told(roster);
        roster.down(how);
        expect_end(*c, End::rst);
        expect_end(*list(roster), end);
        roster.up();
        EXPECT_EQ(roster.address(), address);
    }
    const auto c = list(roster);
    EXPECT_TRUE(answered(*c));
}

TEST_F(RosterTest, SilentItSaysNothingAndLaterWhatHasWaited) {
    Roster::Settings settings;
    settings.heartbeat = milliseconds(1);
    Roster roster(loop, settings);
    roster.set(entry("s-1"));
    const auto c = told(roster);
    roster.silent(true);
    run_ready();
    const auto before = c->raw().size();
    const auto beats = roster.counts().heartbeats;
    roster.drain("s-1");
    const auto asked = list(roster);
    ASSERT_TRUE(wait_until([&] { return roster.counts().lists == 1; }));
    run_ready();
    EXPECT_EQ(c->raw().size(), before);
    EXPECT_TRUE(asked->raw().empty());
    EXPECT_EQ(roster.counts().heartbeats, beats);
    EXPECT_EQ(c->end(), End::open);
    roster.silent(false);
    ASSERT_TRUE(has_lines(*c, 2));
    EXPECT_EQ(lines(*c)[1], said(2, false, text("s-1", "leaving")));
    EXPECT_TRUE(answered(*asked));
}

TEST_F(RosterTest, RawLinesAndBodiesGoOutAsTheyAre) {
    Roster roster(loop);
    roster.set(entry("s-1"));
    const auto c = watch(roster, 1);
    ASSERT_TRUE(wait_until([&] { return roster.counts().watches_open == 1; }));
    roster.raw_line("{\"seq\":2,\"whole\":fal");
    ASSERT_TRUE(has_lines(*c, 1));
    EXPECT_EQ(lines(*c)[0], "{\"seq\":2,\"whole\":fal");
    roster.next_list("[]");
    const auto asked = list(roster);
    ASSERT_TRUE(answered(*asked));
    EXPECT_EQ(asked->answers()[0].body, "[]");
    asked->send("GET /v1/endpoints HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(answered(*asked, 2));
    EXPECT_EQ(asked->answers()[1].body, said(1, true, text("s-1")));
}

TEST_F(RosterTest, VersionsMayGoBack) {
    Roster roster(loop);
    roster.set_version(40);
    roster.set(entry("s-1"));
    const auto c = told(roster);
    EXPECT_TRUE(lines(*c)[0].starts_with(R"({"seq":41,)"));
    roster.set_version(7);
    roster.announce();
    roster.set(entry("s-2"));
    ASSERT_TRUE(has_lines(*c, 3));
    EXPECT_EQ(lines(*c)[1], said(7, true, text("s-1")));
    EXPECT_EQ(lines(*c)[2], said(8, false, text("s-2")));
    for (const auto index : {41, 3}) {  // from before the step back; what led from there to here is forgotten
        const auto old = told(roster, static_cast<std::uint64_t>(index));
        EXPECT_EQ(lines(*old)[0], said(8, true, text("s-1") + "," + text("s-2"))) << index;
    }
}

TEST_F(RosterTest, WholeLinesHoldTheWholeList) {
    Roster::Settings settings;
    settings.whole_lines = true;
    Roster roster(loop, settings);
    roster.set({entry("s-1"), entry("s-2")});
    const auto c = told(roster);
    roster.remove("s-1");
    ASSERT_TRUE(has_lines(*c, 2));
    EXPECT_EQ(lines(*c)[1], said(2, true, text("s-2")));
}

TEST_F(RosterTest, ReplacingTellsWhoLeft) {
    Roster roster(loop);
    roster.set({entry("s-1"), entry("s-2")});
    const auto c = watch(roster, 1);
    ASSERT_TRUE(wait_until([&] { return roster.counts().watches_open == 1; }));
    roster.replace_all({entry("s-2"), entry("s-3")});
    ASSERT_TRUE(has_lines(*c, 1));
    EXPECT_EQ(lines(*c)[0], said(2, false, text("s-3") + "," + text("s-2") + "," + text("s-1", "left")));
}

TEST_F(RosterTest, HoldsManyEntries) {
    Roster roster(loop);
    std::vector<RosterEntry> many;
    for (int i = 0; i < 6000; ++i) many.push_back(entry("host-" + std::to_string(i)));
    roster.set(many);
    EXPECT_EQ(roster.counts().entries, 6000U);
    const auto c = told(roster);
    const auto line = lines(*c)[0];
    std::size_t hosts = 0;
    for (auto at = line.find("\"host\""); at != std::string::npos; at = line.find("\"host\"", at + 1))
        ++hosts;
    EXPECT_EQ(hosts, 6000U);
    EXPECT_TRUE(line.ends_with("]}"));
}

TEST_F(RosterTest, AWatchThatDoesNotReadIsReset) {
    Roster::Settings settings;
    settings.waiting_bytes_most = 1024 * 1024;
    Roster roster(loop, settings);
    roster.set(entry("s-1"));
    const auto c = told(roster);
    c->read(false);
    const std::string large(512 * 1024, 'x');
    for (int i = 0; i < 200 && roster.counts().slow_reset == 0; ++i) {
        roster.raw_line(large);
        run_ready();
    }
    EXPECT_EQ(roster.counts().slow_reset, 1U);
    EXPECT_EQ(roster.counts().watches_open, 0U);
}

TEST(RosterText, EntriesSayWhatIsWrong) {
    EXPECT_EQ(parse_entry(R"({"host":"s","block":3})").entry->block, 3U);
    for (const auto& [text, hint] : {std::pair{"[]", "not a JSON object"},
                                     {"{", "not a JSON object"},
                                     {R"({"dial":"x"})", "'host' is missing"},
                                     {R"({"host":"s","share":"much"})", "'share'"}}) {
        EXPECT_NE(parse_entry(text).error.find(hint), std::string::npos) << text;
    }
}

}  // namespace
}  // namespace flaxdoor::standins
