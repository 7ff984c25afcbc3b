// Routing of requests, and the mapping of results to responses.
#include "ingress/router.h"

#include <gtest/gtest.h>

namespace flaxdoor::ingress {
namespace {

using namespace std::chrono_literals;
using routes::CallClass;

std::shared_ptr<const routes::Table> table_of(routes::Rule rule, const std::string& second = "") {
    routes::TableSpec spec;
    auto held = std::make_shared<const routes::Rule>(std::move(rule));
    spec.listeners.push_back({"first", second.empty() ? "" : "a.example", {{"n/r", 0, {}, {held}}}});
    if (!second.empty()) spec.listeners.push_back({"second", second, {{"n/r", 0, {}, {held}}}});
    return std::get<std::shared_ptr<const routes::Table>>(routes::Table::build(std::move(spec)));
}
routes::Rule to_pool() {
    routes::Rule rule;
    rule.backends.emplace_back().pool = "p";
    rule.call.deadline = 10s;
    rule.call.aim = 1s;
    return rule;
}
http::Request request(const std::string& method, const std::string& target,
                      const std::vector<std::pair<std::string, std::string>>& fields = {
                          {"Host", "a.example"}}) {
    http::Request out;
    out.method = method;
    out.target = target;
    for (const auto& [name, value] : fields) out.fields.add(name, value);
    return out;
}
int status_of(const std::variant<http::Response, Routed>& destination) {
    const auto* response = std::get_if<http::Response>(&destination);
    return response ? response->status : 0;
}

TEST(Router, RespondsLocally) {
    const auto table = table_of(to_pool());
    EXPECT_EQ(status_of(route(table, request("GET", "/"), {}, 0)), 0);
    EXPECT_EQ(status_of(route(table, request("GET", "/", {}), {}, 0)), 400);
    EXPECT_EQ(status_of(route(table, request("GET", "/", {{"Host", "a"}, {"Host", "b"}}), {}, 0)), 400);
    EXPECT_EQ(status_of(route(table, request("GET", "/a/../b"), {}, 0)), 400);
    EXPECT_EQ(status_of(route(table, request("CONNECT", "a:443"), {}, 0)), 405);
    EXPECT_EQ(status_of(route(table, request("OPTIONS", "*"), {}, 0)), 400);
    routes::Rule dropped;
    dropped.status = 500;
    EXPECT_EQ(status_of(route(table_of(dropped), request("GET", "/"), {}, 0)), 500);
    EXPECT_EQ(status_of(route(table_of(routes::Rule{}), request("GET", "/"), {}, 0)), 500);
    EXPECT_EQ(status_of(route(table_of(to_pool(), "b.example"), request("GET", "/", {{"Host", "c.example"}}),
                              {}, 0)),
              404);
}

TEST(Router, AHostThatBelongsToAnotherListenersCertificateGets421) {
    const auto table = table_of(to_pool(), "b.example");
    ClientConnection client;
    client.scheme = "https";
    client.server_name = "a.example";
    EXPECT_EQ(status_of(route(table, request("GET", "/"), client, 0)), 0);
    client.server_name = "b.example";
    EXPECT_EQ(status_of(route(table, request("GET", "/"), client, 0)), 421);
}

TEST(Router, TheAuthorityOfAnAbsoluteTargetTakesPrecedence) {
    const auto table = table_of(to_pool(), "b.example");
    auto destination =
        route(table, request("GET", "http://b.example:80/x?y", {{"Host", "c.example"}}), {}, 0);
    ASSERT_EQ(status_of(destination), 0);
    EXPECT_EQ(std::get<Routed>(destination).payload->message.target, "/x?y");
}

TEST(Router, TheClassFollowsTheRoute) {
    using Kind = CallClass::Kind;
    const auto kind = [](Kind of, const std::string& method, bool key = false) {
        routes::Rule rule = to_pool();
        rule.call.kind = of;
        std::vector<std::pair<std::string, std::string>> fields{{"Host", "a.example"}};
        if (key) fields.emplace_back("Idempotency-Key", "k");
        return std::get<Routed>(route(table_of(rule), request(method, "/", fields), {}, 0)).call.kind;
    };
    EXPECT_EQ(kind(Kind::unsafe, "GET"), Kind::unsafe) << "nothing declares that retries are safe";
    EXPECT_EQ(kind(Kind::by_method, "GET"), Kind::safe);
    EXPECT_EQ(kind(Kind::by_method, "POST"), Kind::unsafe);
    EXPECT_EQ(kind(Kind::by_method, "DELETE"), Kind::unsafe);
    EXPECT_EQ(kind(Kind::safe, "POST"), Kind::safe);
    EXPECT_EQ(kind(Kind::keyed, "POST", true), Kind::keyed);
    EXPECT_EQ(kind(Kind::keyed, "POST", false), Kind::unsafe) << "without a key retries are not deduplicated";
}

TEST(Router, ClientBudgetsOnlyShortenTheBudget) {
    routes::Rule rule = to_pool();
    rule.request_timeout = 5s;
    const auto budget = [&](const std::string& client_budget) {
        return std::get<Routed>(route(table_of(rule),
                                      request("GET", "/", {{"Host", "a"}, {"X-Budget-Ms", client_budget}}),
                                      {}, 0))
            .budget;
    };
    EXPECT_EQ(budget("1000"), 1s);
    EXPECT_EQ(budget("9000"), 5s);
    EXPECT_EQ(budget("0"), 5s);
    EXPECT_EQ(budget("x"), 5s);
}

TEST(Router, PreparesTheForwardedRequest) {
    routes::Rule rule = to_pool();
    rule.matches.emplace_back().path.value = "/v1";
    rule.request.set = {{"X-Set", "1"}};
    rule.request.remove = {"X-Gone"};
    rule.backends[0].request.add = {{"X-Set", "2"}};
    rule.rewrite.emplace().host = "inner.example";
    rule.rewrite->path = routes::PathEdit{true, "/v2"};
    ClientConnection client;
    client.peer = "192.0.2.7";
    auto destination = route(table_of(rule),
                             request("GET", "/v1/x?y=z",
                                     {{"Host", "a.example"},
                                      {"X-Gone", "x"},
                                      {"Connection", "X-Hop, Idempotency-Key"},
                                      {"X-Hop", "x"},
                                      {"Idempotency-Key", "k"},
                                      {"X-Forwarded-For", "198.51.100.1"}}),
                             client, 0);
    const auto& message = std::get<Routed>(destination).payload->message;
    EXPECT_EQ(message.target, "/v2/x?y=z");
    EXPECT_EQ(message.fields["Host"], "inner.example");
    EXPECT_EQ(message.fields["X-Forwarded-Host"], "a.example");
    EXPECT_EQ(message.fields["X-Forwarded-For"], "198.51.100.1, 192.0.2.7");
    EXPECT_EQ(message.fields["X-Forwarded-Proto"], "http");
    EXPECT_EQ(message.fields.count("X-Set"), 2U);
    EXPECT_EQ(message.fields.count("X-Gone"), 0U);
    EXPECT_EQ(message.fields.count("X-Hop"), 0U);
    EXPECT_EQ(message.fields["Idempotency-Key"], "k") << "the client's Connection field can't remove it";
}

core::FinalAnswer failed(core::Cause cause) { return {core::Verdict::failed, cause, {}, true, nullptr}; }

TEST(Router, MapsResultsToResponses) {
    auto destination = route(table_of(to_pool()), request("GET", "/"), {}, 0);
    Routed& routed = std::get<Routed>(destination);
    const http::Response refused =
        client_response({core::Verdict::refused, core::Cause::no_capacity, 1500ms, false, nullptr}, routed);
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.fields["Retry-After"], "2") << "whole seconds, rounded up";
    EXPECT_EQ(client_response(failed(core::Cause::watchdog), routed).status, 504);
    EXPECT_EQ(client_response(failed(core::Cause::timed_out), routed).status, 504);
    EXPECT_EQ(client_response(failed(core::Cause::broken), routed).status, 502);
    EXPECT_EQ(client_response(failed(core::Cause::error), routed).status, 502) << "the response was unusable";
    http::Response own;
    own.status = 500;
    own.body = "its own";
    routed.payload->error_response = own;
    EXPECT_EQ(client_response(failed(core::Cause::error), routed).body, "its own");
    own.status = 503;
    own.fields.add("Retry-After", "9");
    routed.payload->error_response = own;
    const http::Response bare = client_response(failed(core::Cause::error), routed);
    EXPECT_EQ(bare.status, 502) << "an upstream's 503 may follow an executed request";
    EXPECT_EQ(bare.fields.count("Retry-After"), 0U);
}

TEST(Router, ClassifiesBackendResponses) {
    http::Response answer;
    for (const int status : {200, 204, 301, 404, 429}) {
        answer.status = status;
        EXPECT_EQ(classify_response(answer), Outcome::ok) << status;
    }
    for (const int status : {500, 503, 504}) {
        answer.status = status;
        EXPECT_EQ(classify_response(answer), Outcome::error) << status;
    }
    answer.fields.add("X-Rejected", "1");
    EXPECT_EQ(classify_response(answer), Outcome::full);
    answer.status = 500;
    EXPECT_EQ(classify_response(answer), Outcome::error);
}

}  // namespace
}  // namespace flaxdoor::ingress
