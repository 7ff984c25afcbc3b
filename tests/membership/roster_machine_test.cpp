// The roster's answers in every split and cut, and what can't be used of them.
#include "membership/roster_machine.h"

#include <gtest/gtest.h>

#include <sstream>

namespace flaxdoor::membership::test {
namespace {

const ListNames names{{"here", "there"}, {"full node"}};

std::string host(const std::string& name, const std::string& health = "active",
                 const std::string& more = "") {
    return R"({"host":")" + name +
           R"(","dial":"127.0.0.1:7001","site":"here","class":"full node","block":1,"health":")" + health +
           R"(","share":1.0,"born_ms":5)" + more + "}";
}
std::string list(int version, bool whole, const std::string& hosts) {
    return R"({"seq":)" + std::to_string(version) + R"(,"whole":)" + (whole ? "true" : "false") +
           R"(,"hosts":[)" + hosts + "]}";
}
std::string indented(int version, const std::string& name) {
    return "{\n  \"seq\": " + std::to_string(version) + ",\n  \"whole\": false,\r\n  \"hosts\": [\n    " +
           host(name) + "\n  ]\n}";
}
std::string chunk(const std::string& text) {
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

const std::string watch_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// What has come of it, in short words.
std::string drained(RosterMachine& machine) {
    std::string told;
    while (const auto news = machine.next()) {
        switch (news->kind) {
            case RosterNews::Kind::alive: told += "alive "; break;
            case RosterNews::Kind::ended: told += "ended "; break;
            case RosterNews::Kind::failed: told += "failed "; break;
            case RosterNews::Kind::list:
                told += (news->list.kind == ListKind::full ? "full" : "delta") +
                        std::to_string(news->list.version) + ":";
                for (const auto& m : news->list.members) told += m.name + " ";
                break;
        }
    }
    return told;
}

struct Case {
    const char* name;
    bool watching;
    std::string bytes;
    std::string told;    // by then
    std::string at_end;  // with the end of the connection
};

std::vector<Case> cases() {
    const std::string body = list(4, true, host("a") + "," + host("b"));
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return {
        {"call", false, "HTTP/1.1 200 OK\r\n" + length + body, "full4:a b ended ", ""},
        {"call chunked", false, watch_head + chunk(body.substr(0, 30)) + chunk(body.substr(30)) + "0\r\n\r\n",
         "full4:a b ended ", ""},
        {"call without a length", false, "HTTP/1.1 200 OK\r\n\r\n" + body, "", "full4:a b ended "},
        {"call turned away", false, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
         "failed ", ""},
        {"call cut off", false, "HTTP/1.1 200 OK\r\n" + length + body.substr(0, 20), "", "failed "},
        {"noise", false, "nonsense\r\n\r\n", "failed ", ""},
        {"watch", true,
         watch_head + chunk("\n") + chunk(list(5, false, host("c")) + "\n\n") +
             chunk(list(6, true, "") + "\r\n"),
         "alive delta5:c alive full6:", "failed "},
        {"watch that ends well is a failed one all the same", true, watch_head + chunk("\n") + "0\r\n\r\n",
         "alive failed ", ""},
        {"watch with a bad line between", true,
         watch_head + chunk(list(5, false, host("c")) + "\n{\"seq\":\n" + list(7, false, "") + "\n"),
         "delta5:c failed ", ""},
        {"watch with indented lists", true,
         watch_head + chunk("\n" + indented(5, "c") + "\n\r\n" + indented(6, "d{\\\"") + "\n" +
                            list(7, false, "") + "\n"),
         "alive delta5:c alive delta6:d{\" delta7:", "failed "},
        {"watch with a list of one entry a line", true,
         watch_head +
             chunk("{\"seq\":5,\"whole\":false,\"hosts\":[\n" + host("a") + ",\n" + host("b") + "\n]}\n\n"),
         "delta5:a b alive ", "failed "},
        {"watch with an indented list cut short by an empty line", true,
         watch_head + chunk(indented(5, "c").substr(0, 60) + "\n\n" + list(7, false, "") + "\n"), "failed ",
         ""},
        {"unknown zone", true,
         watch_head +
             chunk(list(5, false, R"({"host":"x","dial":"127.0.0.1:1","site":"nowhere","health":"active"})") +
                   "\n"),
         "delta5:x ", "failed "},
    };
}

TEST(RosterMachine, EverySplitTellsTheSame) {
    for (const Case& c : cases()) {
        for (std::size_t cut = 0; cut <= c.bytes.size(); ++cut) {
            RosterMachine machine(c.watching, names);
            machine.receive(c.bytes.substr(0, cut));
            std::string told = drained(machine);
            machine.receive(c.bytes.substr(cut));
            told += drained(machine);
            ASSERT_EQ(told, c.told) << c.name << ", cut at " << cut;
            machine.receive_end();
            ASSERT_EQ(drained(machine), c.at_end) << c.name << ", cut at " << cut;
        }
    }
}

// Cut at every byte: nothing of a list that is not whole, and the end is told once.
TEST(RosterMachine, ACutTellsOnlyWhatWasWhole) {
    for (const Case& c : cases()) {
        const std::string all = c.told + c.at_end;
        for (std::size_t cut = 0; cut < c.bytes.size(); ++cut) {
            RosterMachine machine(c.watching, names);
            machine.receive(c.bytes.substr(0, cut));
            std::string told = drained(machine);
            machine.receive_end();
            told += drained(machine);
            const bool failed = told.ends_with("failed ");
            if (failed) told.resize(told.size() - 7);
            EXPECT_TRUE(failed || told.ends_with("ended ")) << c.name << ", cut at " << cut << ": " << told;
            EXPECT_TRUE(all.starts_with(told)) << c.name << ", cut at " << cut << ": " << told;
            EXPECT_EQ(drained(machine), "");
        }
    }
}

TEST(RosterMachine, ALineIsBounded) {
    for (const bool watching : {true, false}) {
        RosterMachine machine(watching, names, 1000);
        machine.receive(watch_head + chunk(list(1, true, host("a"))) + chunk("\n"));
        std::string told = drained(machine);
        const std::string filler = std::string(600, ' ');
        for (int i = 0; i < 3 && told.find("failed") == std::string::npos; ++i) {
            machine.receive(chunk(filler));
            told += drained(machine);
        }
        EXPECT_TRUE(told.ends_with("failed ")) << told;
    }
}

TEST(RosterMachine, FiveThousandInOneLine) {
    std::string hosts;
    for (int i = 0; i < 5000; ++i) hosts += (i ? "," : "") + host("s-" + std::to_string(i));
    const std::string line = watch_head + chunk(list(9, true, hosts) + "\n");
    RosterMachine machine(true, names);
    std::size_t members = 0;
    for (std::size_t at = 0; at < line.size(); at += 16384) {
        machine.receive(std::string_view(line).substr(at, 16384));
        while (const auto news = machine.next()) members += news->list.members.size();
    }
    EXPECT_EQ(members, 5000U);
}

TEST(List, TakesWhatItIsToldAndNothingElse) {
    const auto l = parse_list(
        list(8, false, host("a", "leaving") + "," + host("b", "left", R"(,"extra":{"hosts":[{}]})")), names);
    EXPECT_EQ(l.kind, ListKind::delta);
    EXPECT_EQ(l.version, 8U);
    ASSERT_EQ(l.members.size(), 2U);
    EXPECT_EQ(l.members[0].entry.state, UpstreamState::draining);
    EXPECT_EQ(l.members[0].entry.started_at, Time(5000));
    EXPECT_EQ(l.members[0].address, "127.0.0.1:7001");
    EXPECT_EQ(l.members[1].entry.state, UpstreamState::gone);
    EXPECT_EQ(l.members[1].entry.id, id_of("b"));
    for (const std::string& bad :
         {std::string("{"), std::string("[]"), std::string("null"), list(1, true, "7"), list(1, true, "[{}]"),
          list(1, true, "{}"), std::string(R"({"seq":1,"whole":true})"),
          std::string(R"({"seq":-1,"whole":true,"hosts":[]})"),
          std::string(R"({"seq":1,"whole":true,"hosts":{}})"), list(1, true, "") + "x"}) {
        EXPECT_ANY_THROW((void)parse_list(bad, names)) << bad;
    }
}

// One entry that can't be used has gone; the others count, and it is told which one it was.
TEST(List, AnEntryThatCannotBeUsedHidesNoOther) {
    for (const std::string& bad :
         {host("x", "well"), std::string(R"({"host":"x"})"), host("x", "active", R"(,"born_ms":-1)"),
          std::string(R"({"host":"x","dial":"127.0.0.1:1","site":"nowhere","health":"active"})"),
          std::string(R"({"host":"x","dial":7,"site":"here","health":"active"})")}) {
        std::string left_out;
        const auto l = parse_list(list(8, false, bad + "," + host("a", "leaving")), names, &left_out);
        ASSERT_EQ(l.members.size(), 2U) << bad;
        EXPECT_EQ(l.members[0].entry.id, id_of("x")) << bad;
        EXPECT_EQ(l.members[0].entry.state, UpstreamState::gone) << bad;
        EXPECT_EQ(l.members[1].entry.state, UpstreamState::draining) << bad;
        EXPECT_TRUE(left_out.starts_with("x: ")) << left_out;
    }
}

// All balancers must give an upstream the same id: the module's order of upstreams rests on it.
TEST(List, IdsComeFromNamesAlone) {
    EXPECT_EQ(id_of("s-5be2a07c"), id_of("s-5be2a07c"));
    EXPECT_NE(id_of("s-5be2a07c"), id_of("s-5be2a07d"));
    EXPECT_EQ(id_of("a"), 0xaf63dc4c8601ec8cULL);
}

}  // namespace
}  // namespace flaxdoor::membership::test
