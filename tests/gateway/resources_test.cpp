// Malformed resources: each error is reported at its field, and the rest of the resource is used.
#include "gateway/resources.h"

#include <gtest/gtest.h>

#include "standins/kube_api.h"

namespace flaxdoor::gateway {
namespace {

using namespace std::chrono_literals;

Json rule_with(const std::string& rule) {
    return Json::parse(
        R"({"metadata":{"name":"r","namespace":"n"},"spec":{"parentRefs":[{"name":"g"}],"rules":[)" + rule +
        "]}}");
}

std::string problem_of(const std::string& rule) {
    const HttpRoute route = read_http_route(rule_with(rule));
    EXPECT_TRUE(route.problems.empty()) << rule;
    EXPECT_EQ(route.rules.size(), 1U);
    return route.rules[0].problems.empty() ? "" : route.rules[0].problems.front().field;
}

TEST(Resources, ReportsErrorsOfARuleAtTheirField) {
    const std::string at = "spec.rules[0].";
    EXPECT_EQ(problem_of(R"({"matches":[{"path":{"type":"RegularExpression","value":"("}}]})"),
              at + "matches[0].path.value");
    EXPECT_EQ(problem_of(R"({"matches":[{"path":{"type":"Wrong","value":"/"}}]})"),
              at + "matches[0].path.type");
    EXPECT_EQ(problem_of(R"({"matches":[{"path":{"value":"a"}}]})"), at + "matches[0].path.value");
    EXPECT_EQ(problem_of(R"({"matches":[{"path":{"value":"/a/../b"}}]})"), at + "matches[0].path.value");
    EXPECT_EQ(problem_of(R"({"matches":[{"method":"get"}]})"), at + "matches[0].method");
    EXPECT_EQ(problem_of(R"({"matches":[{"headers":[{"name":"a b","value":"x"}]}]})"),
              at + "matches[0].headers[0].name");
    EXPECT_EQ(
        problem_of(R"({"matches":[{"headers":[{"type":"RegularExpression","name":"a","value":"["}]}]})"),
        at + "matches[0].headers[0].value");
    EXPECT_EQ(problem_of(R"({"matches":{}})"), at + "matches");
    EXPECT_EQ(problem_of(R"({"matches":[7]})"), at + "matches[0]");
    EXPECT_EQ(problem_of(R"({"filters":[{"type":"RequestMirror"}]})"), at + "filters[0].type");
    EXPECT_EQ(problem_of(R"({"filters":[{"type":"ExtensionRef"}]})"), at + "filters[0].type");
    EXPECT_EQ(problem_of(R"({"filters":[{"type":"RequestHeaderModifier"}]})"),
              at + "filters[0].requestHeaderModifier");
    EXPECT_EQ(problem_of("{\"filters\":[{\"type\":\"RequestHeaderModifier\",\"requestHeaderModifier\":{"
                         "\"set\":[{\"name\":\"a\",\"value\":\"x\\r\\ny\"}]}}]}"),
              at + "filters[0].requestHeaderModifier.set[0].value");
    EXPECT_EQ(problem_of(R"({"filters":[{"type":"RequestRedirect","requestRedirect":{"statusCode":200}}]})"),
              at + "filters[0].requestRedirect.statusCode");
    EXPECT_EQ(
        problem_of(
            R"({"matches":[{"path":{"type":"Exact","value":"/a"}}],"filters":[{"type":"URLRewrite","urlRewrite":{"path":{"type":"ReplacePrefixMatch","replacePrefixMatch":"/b"}}}]})"),
        at + "filters");
    EXPECT_EQ(problem_of(R"({"backendRefs":[{"name":"a","port":80,"weight":-1}]})"),
              at + "backendRefs[0].weight");
    EXPECT_EQ(problem_of(R"({"backendRefs":[{"name":"a","port":"80"}]})"), at + "backendRefs[0].port");
    EXPECT_EQ(problem_of(R"({"backendRefs":[{"name":"a","port":99999}]})"), at + "backendRefs[0].port");
    EXPECT_EQ(problem_of(R"({"backendRefs":[{"name":"a","port":18446744073709551615}]})"),
              at + "backendRefs[0].port");
    EXPECT_EQ(problem_of(R"({"backendRefs":[{"port":80}]})"), at + "backendRefs[0].name");
    EXPECT_EQ(problem_of(R"({"backendRefs":"a"})"), at + "backendRefs");
    EXPECT_EQ(
        problem_of(R"({"backendRefs":[{"name":"a","port":80,"filters":[{"type":"RequestRedirect"}]}]})"),
        at + "backendRefs[0].filters[0].type");
    EXPECT_EQ(problem_of(R"(7)"), "spec.rules[0]");
    EXPECT_EQ(problem_of(R"({"backendRefs":[{"name":"a","port":80}]})"), "");
}

TEST(Resources, RejectsTooManyEntries) {
    std::string matches;
    for (int i = 0; i < 1000; ++i) matches += (i ? "," : "") + std::string(R"({"path":{"value":"/x"}})");
    EXPECT_EQ(problem_of("{\"matches\":[" + matches + "]}"), "spec.rules[0].matches");
    Json many = rule_with("{}");
    for (int i = 0; i < 20; ++i) many["spec"]["rules"].push_back(Json::object());
    EXPECT_EQ(read_http_route(many).problems.at(0).field, "spec.rules");
    Json long_name = rule_with("{}");
    long_name["metadata"]["name"] = std::string(300, 'a');
    EXPECT_EQ(read_http_route(long_name).problems.at(0).field, "metadata.name");
    EXPECT_EQ(read_http_route(long_name).parents.size(), 1U) << "the status can report the problem";
}

TEST(Resources, ValuesOfWrongTypesBesideValidOnes) {
    const Json object =
        Json::parse(R"({"metadata":{"name":"r","namespace":"n","labels":7,"annotations":{"a":1}},
        "spec":{"parentRefs":[{"name":"g"},{"name":7},"x",{"name":"h"}],"hostnames":["a.example",7,"A b"],"rules":{}}})");
    const HttpRoute route = read_http_route(object);
    ASSERT_EQ(route.parents.size(), 2U);
    EXPECT_EQ(route.parents[1].to.name, "h");
    EXPECT_GE(route.problems.size(), 4U);
    for (const char* bad :
         {"7", "{}", R"({"metadata":{}})", R"({"metadata":{"name":7}})", R"({"metadata":{"name":"a/b"}})"}) {
        Resources resources;
        for (const KindOf kind : all_kinds)
            EXPECT_NE(resources.put(kind, Json::parse(bad)).refused, "") << bad;
    }
}

TEST(Resources, DistinguishesSpecChangesFromStatusChanges) {
    Resources resources;
    Json object = rule_with("{}");
    object["metadata"]["generation"] = 1;
    EXPECT_TRUE(resources.put(KindOf::http_route, object).routes);
    object["status"] = {{"parents", Json::array()}};
    object["metadata"]["resourceVersion"] = "9";
    Touched touched = resources.put(KindOf::http_route, object);
    EXPECT_FALSE(touched.routes);
    EXPECT_TRUE(touched.status);
    object["metadata"]["generation"] = 2;
    EXPECT_TRUE(resources.put(KindOf::http_route, object).routes);
    object["metadata"]["annotations"] = {{"flaxdoor.dev/effect", "safe"}};
    EXPECT_TRUE(resources.put(KindOf::http_route, object).routes);
}

TEST(Resources, DurationsAndTimes) {
    EXPECT_EQ(read_duration("1h30m"), 90min);
    EXPECT_EQ(read_duration("10s500ms"), 10500ms);
    EXPECT_EQ(read_duration("0s"), Micros{0});
    for (const char* bad : {"", "1", "s", "1.5s", "-1s", "1s ", "100000s", "1h1m1s1ms1ms"})
        EXPECT_FALSE(read_duration(bad)) << bad;
    EXPECT_EQ(read_time("2026-12-01T00:00:00Z"), 1796083200);
    EXPECT_EQ(write_time(1796083200), "2026-12-01T00:00:00Z");
    EXPECT_EQ(read_time("yesterday"), 0);
}

}  // namespace
}  // namespace flaxdoor::gateway
