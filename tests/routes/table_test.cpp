// Cases that the comparison with the reference implementation (matcher_property_test.cpp) does not generate.
// That test covers precedence, prefixes and hosts.
#include "routes/table.h"

#include <gtest/gtest.h>

#include "make.h"

namespace flaxdoor::routes {
namespace {

using namespace test;

TEST(RoutesTable, ManyExpressionsAreEvaluatedAsASetInTheSameOrder) {
    std::vector<std::shared_ptr<const Rule>> rules;
    for (int i = 0; i < 100; ++i)
        rules.push_back(rule({regex("/x/" + std::to_string(i) + "[a-z]*")}, std::to_string(i)));
    rules.push_back(rule({regex("/x/7[a-z]*(long)?")}, "longer"));
    const auto built_table = table({route("a", {}, rules)});
    EXPECT_EQ(to(*built_table, "h", "/x/42abc"), "42");
    EXPECT_EQ(to(*built_table, "h", "/x/7q"), "longer");
    EXPECT_EQ(to(*built_table, "h", "/y"), "404");
}

TEST(RoutesTable, MethodThenHeadersThenQueryParametersThenAgeThenName) {
    Match method = prefix("/a");
    method.method = "POST";
    Match two = prefix("/a");
    two.headers = {{false, "X-A", "1"}, {false, "X-B", "2"}};
    Match one = prefix("/a");
    one.headers = {{false, "x-a", "1"}};
    Match query = prefix("/a");
    query.queries = {{false, "q", "v v"}};
    const auto built_table =
        table({route("z", {}, {rule({query}, "query"), rule({one}, "one"), rule({two}, "two")}, 5),
               route("y", {}, {rule({method}, "method"), rule({prefix("/a")}, "plain")}, 9),
               route("b", {}, {rule({prefix("/a")}, "older")}, 3),
               route("a", {}, {rule({prefix("/a")}, "same age, first by name")}, 3)});
    EXPECT_EQ(to(*built_table, "h", "/a", "POST", {{"X-A", "1"}, {"X-B", "2"}}), "method");
    EXPECT_EQ(to(*built_table, "h", "/a", "GET", {{"X-A", "1"}, {"X-B", "2"}}), "two");
    EXPECT_EQ(to(*built_table, "h", "/a?q=v+v", "GET", {{"X-A", "1"}}), "one");
    EXPECT_EQ(to(*built_table, "h", "/a?b&q=v%20v&q=other"), "query");
    EXPECT_EQ(to(*built_table, "h", "/a?q=other"), "same age, first by name");
}

TEST(RoutesTable, TheListenerWithTheMostSpecificHostHandlesARequest) {
    TableSpec spec;
    spec.listeners.push_back({"any", "", {route("a", {}, {rule({prefix("/")}, "any")})}});
    spec.listeners.push_back(
        {"wide", "*.example.com", {route("b", {"*.example.com"}, {rule({prefix("/w")}, "wide")})}});
    spec.listeners.push_back(
        {"exact", "a.example.com", {route("c", {"a.example.com"}, {rule({prefix("/c")}, "exact")})}});
    const auto built = Table::build(std::move(spec));
    const auto& table = *std::get<std::shared_ptr<const Table>>(built);
    EXPECT_EQ(to(table, "a.example.com", "/c"), "exact");
    EXPECT_EQ(to(table, "a.example.com", "/w"), "404") << "the routes of another listener do not apply";
    EXPECT_EQ(to(table, "b.example.com", "/w"), "wide");
    EXPECT_EQ(to(table, "b.example.com", "/c"), "404");
    EXPECT_EQ(to(table, "other", "/c"), "any");
}

TEST(RoutesTable, JoinsRepeatedHeadersAndUsesTheFirstOfTwoConditions) {
    Match match = prefix("/");
    match.headers = {{false, "X-A", "1, 2"}, {false, "x-a", "never"}};
    Match by_regex = prefix("/r");
    by_regex.headers = {{true, "X-R", "[a-c]+"}};
    const auto built_table = table({route("a", {}, {rule({match}, "joined"), rule({by_regex}, "regex")})});
    EXPECT_EQ(to(*built_table, "h", "/", "GET", {{"X-A", "1"}, {"X-Other", "0"}, {"x-a", "2"}}), "joined");
    EXPECT_EQ(to(*built_table, "h", "/", "GET", {{"X-A", "1"}}), "404");
    EXPECT_EQ(to(*built_table, "h", "/r", "GET", {{"X-R", "abc"}}), "regex");
    EXPECT_EQ(to(*built_table, "h", "/r", "GET", {{"X-R", "abcd"}}), "404");
}

TEST(RoutesTable, AnInvalidExpressionPreventsTheTable) {
    TableSpec spec;
    spec.listeners.push_back({"l", "", {route("a", {}, {rule({regex("(")})})}});
    const auto built = Table::build(std::move(spec));
    ASSERT_TRUE(std::holds_alternative<std::string>(built));
    EXPECT_NE(std::get<std::string>(built).find("regular expression"), std::string::npos);
}

TEST(RoutesTable, RejectsDotSegmentsAndSplitsAbsoluteTargets) {
    for (const char* bad : {"/a/../b", "/..", "/a/.", "/a/%2e%2E/b", "/%2e/x", "*", "host:443"})
        EXPECT_NE(split_target(bad).why, "") << bad;
    for (const char* good : {"/a/...", "/a/..b", "/.well-known", "/a?x=/../"})
        EXPECT_EQ(split_target(good).why, "") << good;
    EXPECT_EQ(split_target("http://h:1/p?q").path, "/p");
    EXPECT_EQ(split_target("http://h:1/p?q").query, "q");
    EXPECT_EQ(split_target("http://h").path, "/");
    EXPECT_EQ(host_of("A.Example.COM.:80"), "a.example.com");
    EXPECT_EQ(host_of("[::1]:80"), "[::1]");
}

TEST(RoutesTable, ChoosesByWeightAndNothingWithoutWeight) {
    Rule rule;
    for (const auto& [pool, weight] : {std::pair("a", 1u), std::pair("b", 0u), std::pair("c", 3u)}) {
        Backend backend;
        backend.pool = pool;
        backend.weight = weight;
        rule.backends.push_back(backend);
    }
    std::map<std::string, int> counts;
    for (int i = 0; i < 400; ++i) ++counts[choose(rule, i / 400.0)->pool];
    EXPECT_EQ(counts, (std::map<std::string, int>{{"a", 100}, {"c", 300}}));
    for (auto& each : rule.backends) each.weight = 0;
    EXPECT_EQ(choose(rule, 0.5), nullptr);
    EXPECT_EQ(choose(Rule{}, 0.5), nullptr);
}

}  // namespace
}  // namespace flaxdoor::routes
