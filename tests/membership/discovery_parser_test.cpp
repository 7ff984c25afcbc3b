// Tests the parser of discovery responses: every split and truncation of a response, and lists that cannot be used.
#include "membership/discovery_parser.h"

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

// Returns all pending updates of the parser in short notation.
std::string pending_updates(DiscoveryParser& parser) {
    std::string updates;
    while (const auto update = parser.next()) {
        switch (update->kind) {
            case DiscoveryUpdate::Kind::alive: updates += "alive "; break;
            case DiscoveryUpdate::Kind::ended: updates += "ended "; break;
            case DiscoveryUpdate::Kind::failed: updates += "failed "; break;
            case DiscoveryUpdate::Kind::list:
                updates += (update->list.kind == ListKind::full ? "full" : "delta") +
                           std::to_string(update->list.version) + ":";
                for (const auto& member : update->list.members) updates += member.name + " ";
                break;
        }
    }
    return updates;
}

struct Case {
    const char* name;
    bool watching;
    std::string bytes;
    std::string updates;  // after all bytes
    std::string at_end;   // after the end of the connection
};

std::vector<Case> cases() {
    const std::string body = list(4, true, host("a") + "," + host("b"));
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return {
        {"call", false, "HTTP/1.1 200 OK\r\n" + length + body, "full4:a b ended ", ""},
        {"call chunked", false, watch_head + chunk(body.substr(0, 30)) + chunk(body.substr(30)) + "0\r\n\r\n",
         "full4:a b ended ", ""},
        {"call without a length", false, "HTTP/1.1 200 OK\r\n\r\n" + body, "", "full4:a b ended "},
        {"call with status 503", false, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
         "failed ", ""},
        {"call truncated", false, "HTTP/1.1 200 OK\r\n" + length + body.substr(0, 20), "", "failed "},
        {"noise", false, "nonsense\r\n\r\n", "failed ", ""},
        {"watch", true,
         watch_head + chunk("\n") + chunk(list(5, false, host("c")) + "\n\n") +
             chunk(list(6, true, "") + "\r\n"),
         "alive delta5:c alive full6:", "failed "},
        {"watch that the service ends has failed", true, watch_head + chunk("\n") + "0\r\n\r\n",
         "alive failed ", ""},
        {"watch with a truncated line between lists", true,
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

TEST(DiscoveryParser, EverySplitGivesTheSameUpdates) {
    for (const Case& test_case : cases()) {
        for (std::size_t cut = 0; cut <= test_case.bytes.size(); ++cut) {
            DiscoveryParser parser(test_case.watching, names);
            parser.receive(test_case.bytes.substr(0, cut));
            std::string updates = pending_updates(parser);
            parser.receive(test_case.bytes.substr(cut));
            updates += pending_updates(parser);
            ASSERT_EQ(updates, test_case.updates) << test_case.name << ", cut at " << cut;
            parser.receive_end();
            ASSERT_EQ(pending_updates(parser), test_case.at_end) << test_case.name << ", cut at " << cut;
        }
    }
}

// For a response truncated at every byte: no part of an incomplete list is reported, and the end is reported once.
TEST(DiscoveryParser, ATruncatedResponseGivesOnlyCompleteLists) {
    for (const Case& test_case : cases()) {
        const std::string all = test_case.updates + test_case.at_end;
        for (std::size_t cut = 0; cut < test_case.bytes.size(); ++cut) {
            DiscoveryParser parser(test_case.watching, names);
            parser.receive(test_case.bytes.substr(0, cut));
            std::string updates = pending_updates(parser);
            parser.receive_end();
            updates += pending_updates(parser);
            const bool failed = updates.ends_with("failed ");
            if (failed) updates.resize(updates.size() - 7);
            EXPECT_TRUE(failed || updates.ends_with("ended "))
                << test_case.name << ", cut at " << cut << ": " << updates;
            EXPECT_TRUE(all.starts_with(updates)) << test_case.name << ", cut at " << cut << ": " << updates;
            EXPECT_EQ(pending_updates(parser), "");
        }
    }
}

TEST(DiscoveryParser, BoundsTheLengthOfALine) {
    for (const bool watching : {true, false}) {
        DiscoveryParser parser(watching, names, 1000);
        parser.receive(watch_head + chunk(list(1, true, host("a"))) + chunk("\n"));
        std::string updates = pending_updates(parser);
        const std::string filler = std::string(600, ' ');
        for (int i = 0; i < 3 && updates.find("failed") == std::string::npos; ++i) {
            parser.receive(chunk(filler));
            updates += pending_updates(parser);
        }
        EXPECT_TRUE(updates.ends_with("failed ")) << updates;
    }
}

TEST(DiscoveryParser, ParsesFiveThousandHostsInOneLine) {
    std::string hosts;
    for (int i = 0; i < 5000; ++i) hosts += (i ? "," : "") + host("s-" + std::to_string(i));
    const std::string line = watch_head + chunk(list(9, true, hosts) + "\n");
    DiscoveryParser parser(true, names);
    std::size_t members = 0;
    for (std::size_t at = 0; at < line.size(); at += 16384) {
        parser.receive(std::string_view(line).substr(at, 16384));
        while (const auto update = parser.next()) members += update->list.members.size();
    }
    EXPECT_EQ(members, 5000U);
}

TEST(List, ParsesEntriesAndRejectsMalformedLists) {
    const auto parsed = parse_list(
        list(8, false, host("a", "leaving") + "," + host("b", "left", R"(,"extra":{"hosts":[{}]})")), names);
    EXPECT_EQ(parsed.kind, ListKind::delta);
    EXPECT_EQ(parsed.version, 8U);
    ASSERT_EQ(parsed.members.size(), 2U);
    EXPECT_EQ(parsed.members[0].entry.state, UpstreamState::draining);
    EXPECT_EQ(parsed.members[0].entry.started_at, Time(5000));
    EXPECT_EQ(parsed.members[0].address, "127.0.0.1:7001");
    EXPECT_EQ(parsed.members[1].entry.state, UpstreamState::gone);
    EXPECT_EQ(parsed.members[1].entry.id, upstream_id_of("b"));
    for (const std::string& bad :
         {std::string("{"), std::string("[]"), std::string("null"), list(1, true, "7"), list(1, true, "[{}]"),
          list(1, true, "{}"), std::string(R"({"seq":1,"whole":true})"),
          std::string(R"({"seq":-1,"whole":true,"hosts":[]})"),
          std::string(R"({"seq":1,"whole":true,"hosts":{}})"), list(1, true, "") + "x"}) {
        EXPECT_ANY_THROW((void)parse_list(bad, names)) << bad;
    }
}

// An entry that cannot be used counts as gone and is named in `left_out`; the other entries still apply.
TEST(List, AnInvalidEntryDoesNotAffectOthers) {
    for (const std::string& bad :
         {host("x", "well"), std::string(R"({"host":"x"})"), host("x", "active", R"(,"born_ms":-1)"),
          std::string(R"({"host":"x","dial":"127.0.0.1:1","site":"nowhere","health":"active"})"),
          std::string(R"({"host":"x","dial":7,"site":"here","health":"active"})")}) {
        std::string left_out;
        const auto parsed = parse_list(list(8, false, bad + "," + host("a", "leaving")), names, &left_out);
        ASSERT_EQ(parsed.members.size(), 2U) << bad;
        EXPECT_EQ(parsed.members[0].entry.id, upstream_id_of("x")) << bad;
        EXPECT_EQ(parsed.members[0].entry.state, UpstreamState::gone) << bad;
        EXPECT_EQ(parsed.members[1].entry.state, UpstreamState::draining) << bad;
        EXPECT_TRUE(left_out.starts_with("x: ")) << left_out;
    }
}

// All balancers must compute the same id for an upstream: the module orders upstreams by it.
TEST(List, IdsDependOnNamesOnly) {
    EXPECT_EQ(upstream_id_of("s-5be2a07c"), upstream_id_of("s-5be2a07c"));
    EXPECT_NE(upstream_id_of("s-5be2a07c"), upstream_id_of("s-5be2a07d"));
    EXPECT_EQ(upstream_id_of("a"), 0xaf63dc4c8601ec8cULL);
}

}  // namespace
}  // namespace flaxdoor::membership::test
