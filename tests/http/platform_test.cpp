// Tests of the platform's message conventions: which requests are valid, and what responses mean.
#include "http/platform.h"

#include <gtest/gtest.h>

#include "http/drive.h"

namespace flaxdoor::http::test {
namespace {

using std::chrono::milliseconds;

Settings settings() {
    Settings test_settings;
    for (const auto& [name, effect] : {std::pair{"look", Effect::safe}, std::pair{"book it", Effect::keyed},
                                       std::pair{"once", Effect::unsafe}}) {
        ClassSettings class_settings;
        class_settings.name = name;
        class_settings.effect = effect;
        class_settings.deadline = milliseconds(5000);
        test_settings.classes.push_back(class_settings);
    }
    test_settings.tenants.resize(2);
    test_settings.tenants[0].name = "acme";
    test_settings.tenants[1].name = "b co";
    return test_settings;
}

Request message(const std::string& method, const std::string& class_name) {
    Request input;
    input.method = method;
    input.target = "/api";
    input.fields.add("X-Call-Id", "9b1f03aa5c7e2d41");
    input.fields.add("X-Call-Class", class_name);
    input.fields.add("X-Budget-Ms", "480");
    return input;
}

std::string why(Request input) {
    const auto result = parse_client_request(std::move(input), settings());
    const auto* wrong = std::get_if<InvalidRequest>(&result);
    return wrong ? wrong->why : "";
}

TEST(Understand, ReadsAllFields) {
    Request input = message("POST", "book it");
    input.fields.add("X-Caller", "b co");
    input.fields.add("Cookie", "a=b; key=7f3a9c21e0b4d655; c=d");
    input.fields.add("Idempotency-Key", "k");
    input.fields.add("X-Again", "1");
    input.fields.add("X-Call-Cost", "1500");
    input.body = "body";
    const auto result = parse_client_request(input, settings());
    const auto& request = std::get<ClientRequest>(result);
    EXPECT_EQ(request.facts.class_index, 1);
    EXPECT_EQ(request.facts.tenant, 1);
    EXPECT_EQ(request.facts.key, 0x7f3a9c21e0b4d655U);
    EXPECT_TRUE(request.facts.client_retry);
    EXPECT_EQ(request.facts.cost_hint, Micros(1500));
    EXPECT_EQ(request.budget, milliseconds(480));
    EXPECT_EQ(request.call_id, "9b1f03aa5c7e2d41");
    EXPECT_EQ(request.message.body, "body");
}

TEST(Understand, OmitsMissingOrInvalidFields) {
    Request input = message("GET", "look");
    input.fields.add("X-Caller", "nobody");
    input.fields.add("X-Call-Cost", "much");
    input.fields.add("X-Again", "0");
    input.fields.set("X-Budget-Ms", "4000000");
    const auto result = parse_client_request(input, settings());
    const auto& request = std::get<ClientRequest>(result);
    EXPECT_FALSE(request.facts.tenant);
    EXPECT_FALSE(request.facts.cost_hint);
    EXPECT_FALSE(request.facts.client_retry);
    EXPECT_EQ(request.facts.key, 0U);
    EXPECT_EQ(request.budget, milliseconds(5000));
}

TEST(Understand, HashesKeysThatAreNotNumbers) {
    const auto key = [](const char* cookies) {
        Request input = message("GET", "look");
        input.fields.add("Cookie", cookies);
        return std::get<ClientRequest>(parse_client_request(input, settings())).facts.key;
    };
    EXPECT_EQ(key("key=ff"), 255U);
    EXPECT_EQ(key("monkey=1;key=a"), 10U);
    EXPECT_EQ(key("monkey=1"), 0U);
    EXPECT_NE(key("key=user-7"), 0U);
    EXPECT_EQ(key("key=user-7"), key(" a=b ;  key=user-7"));
    EXPECT_NE(key("key=user-7"), key("key=user-8"));
}

TEST(Understand, ReportsTheError) {
    struct Row {
        const char* method;
        const char* class_name;
        const char* name;  // the field to set; added instead when the name begins with '+'
        const char* value;
        const char* why;
    };
    const char* const id =
        "X-Call-Id must be a word of 1 to 64 letters, digits, dots, dashes and underscores";
    const char* const budget = "X-Budget-Ms must be a whole number from 1 on";
    const std::string long_id(65, 'x');
    for (const Row& row : std::vector<Row>{
             {"GET", "look", "Host", "x", ""},
             {"POST", "once", "Host", "x", ""},
             {"POST", "book it", "Idempotency-Key", "k", ""},
             {"GET", "look", "X-Call-Id", "", id},
             {"GET", "look", "X-Call-Id", "a b", id},
             {"GET", "look", "X-Call-Id", "a/b", id},
             {"GET", "look", "X-Call-Id", long_id.c_str(), id},
             {"GET", "look", "+X-Call-Id", "b", "X-Call-Id is there more than once"},
             {"GET", "look", "+x-call-class", "look", "X-Call-Class is there more than once"},
             {"GET", "look", "+X-Budget-Ms", "480", "X-Budget-Ms is there more than once"},
             {"GET", "other", "Host", "x", "X-Call-Class is missing or names no class"},
             {"GET", "", "Host", "x", "X-Call-Class is missing or names no class"},
             {"GET", "look", "X-Budget-Ms", "", budget},
             {"GET", "look", "X-Budget-Ms", "0", budget},
             {"GET", "look", "X-Budget-Ms", "-5", budget},
             {"GET", "look", "X-Budget-Ms", "soon", budget},
             {"GET", "look", "X-Budget-Ms", "1e3", budget},
             {"GET", "look", "X-Budget-Ms", "99999999999999999999", budget},
             {"POST", "look", "Host", "x", "this X-Call-Class is asked for with GET"},
             {"GET", "once", "Host", "x", "this X-Call-Class is asked for with POST"},
             {"GET", "book it", "Host", "x", "this X-Call-Class is asked for with POST"},
             {"POST", "book it", "Host", "x", "this X-Call-Class needs an Idempotency-Key"},
             {"POST", "once", "Idempotency-Key", "k", "this X-Call-Class takes no Idempotency-Key"},
         }) {
        Request input = message(row.method, row.class_name);
        if (row.name[0] == '+') {
            input.fields.add(row.name + 1, row.value);
        } else {
            input.fields.set(row.name, row.value);
        }
        EXPECT_EQ(why(input), row.why) << row.method << " " << row.class_name << " " << row.name << row.value;
    }
    Request input = message("GET", "look");
    input.body = "body";
    EXPECT_EQ(why(input), "a GET has no body");
    input = message("POST", "book it");
    input.fields.add("Idempotency-Key", "k");
    input.fields.add("Idempotency-Key", "l");
    EXPECT_EQ(why(input), "Idempotency-Key is there more than once");
}

TEST(Routes, DependOnMethodAndPath) {
    const auto route = [](const char* method, const char* target) {
        Request input;
        input.method = method;
        input.target = target;
        return route_of(input);
    };
    EXPECT_EQ(route("GET", "/ready"), Route::ready);
    EXPECT_EQ(route("GET", "/ready?x"), Route::ready);
    EXPECT_EQ(route("HEAD", "/ready"), Route::ready);
    EXPECT_EQ(route("POST", "/ready"), Route::unknown);
    EXPECT_EQ(route("GET", "/api?a=/b"), Route::api);
    EXPECT_EQ(route("POST", "/api"), Route::api);
    EXPECT_EQ(route("GET", "/api/"), Route::unknown);
    EXPECT_EQ(route("GET", "/"), Route::unknown);
}

// Without its key, a keyed request would be executed again by each attempt.
TEST(Onward, IdsAndKeysCannotBeRemoved) {
    Request input = message("POST", "book it");
    input.fields.add("Idempotency-Key", "k");
    input.fields.add("X-Hop", "1");
    input.fields.add("Connection", "X-Hop, x-call-id, IDEMPOTENCY-KEY");
    prepare_upstream_request(input);
    EXPECT_EQ(input.fields["X-Call-Id"], "9b1f03aa5c7e2d41");
    EXPECT_EQ(input.fields["Idempotency-Key"], "k");
    EXPECT_EQ(input.fields.count("X-Hop"), 0U);
    EXPECT_EQ(input.fields.count("Connection"), 0U);
    set_budget(input, Micros(123999));
    EXPECT_EQ(input.fields["X-Budget-Ms"], "123");
    EXPECT_EQ(input.fields.count("X-Budget-Ms"), 1U);
    set_budget(input, Micros(-1));
    EXPECT_EQ(input.fields["X-Budget-Ms"], "1");
}

TEST(Homeward, LoadReportsAreRemoved) {
    Response response;
    response.fields.add("X-Load-Report", "active=1,avg_ms=2");
    response.fields.add("Connection", "X-Hop");
    response.fields.add("X-Hop", "1");
    response.fields.add("X-Other", "1");
    EXPECT_EQ(report_of(response, {"avg_ms", "active"}), (Report{2, 1}));
    EXPECT_TRUE(report_of(response, {}).empty());
    prepare_client_response(response);
    EXPECT_EQ(fields_of(response.fields), "X-Other=1|");
    EXPECT_TRUE(report_of(response, {"active"}).empty());
}

TEST(Meaning, OnlyAMarkedRejectionWasNotExecuted) {
    const auto outcome = [](int status, const char* mark) {
        Response response;
        response.status = status;
        if (mark) response.fields.add("x-rejected", mark);
        return outcome_of(response);
    };
    EXPECT_EQ(outcome(200, nullptr), Outcome::ok);
    EXPECT_EQ(outcome(200, "1"), Outcome::ok);
    EXPECT_EQ(outcome(503, "1"), Outcome::full);
    EXPECT_EQ(outcome(504, "1"), Outcome::full);
    for (const int status : {201, 204, 404, 500, 502, 503, 504}) {
        EXPECT_EQ(outcome(status, nullptr), Outcome::error) << status;
    }
    EXPECT_EQ(outcome(503, "0"), Outcome::error);
    EXPECT_EQ(outcome(500, "1"), Outcome::error);
    EXPECT_EQ(outcome(429, "1"), Outcome::error);
}

TEST(Meaning, InvalidLoadReportsAreDiscarded) {
    const std::vector<std::string> fields = {"active", "avg_ms"};
    EXPECT_EQ(parse_report("avg_ms=2.5,active=3", fields), (Report{3, 2.5}));
    EXPECT_EQ(parse_report("active=3, avg_ms=2.5, other=9", fields), (Report{3, 2.5}));
    EXPECT_EQ(parse_report("active=0,avg_ms=0", fields), (Report{0, 0}));
    for (const char* bad : {"", "active=3", "active", "active=3,avg_ms=", "active=3,avg_ms=nan",
                            "active=3,avg_ms=1e99", "active=-3,avg_ms=2", "active=3,avg_ms=1e7",
                            "active=3,avg_ms=2x", "active=3,,avg_ms=2", "active=3,active=4"}) {
        EXPECT_TRUE(parse_report(bad, fields).empty()) << bad;
    }
}

TEST(Own, ResponsesAreSerialized) {
    EXPECT_EQ(to_bytes(rejection_response(milliseconds(50))),
              "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.050\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(to_bytes(rejection_response(Micros{0})),
              "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(to_bytes(error_response(502)), "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(readiness_response(true).status, 200);
    EXPECT_EQ(readiness_response(false).status, 503);
}

}  // namespace
}  // namespace flaxdoor::http::test
