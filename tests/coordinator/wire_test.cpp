// Tests of the JSON encoding: an encoded message decodes to itself, and any other text yields a reason that
// names the field.
#include "coordinator/wire.h"

#include <gtest/gtest.h>

namespace flaxdoor::coordinator::test {
namespace {

budget::LeaseRequest request() {
    budget::LeaseRequest request;
    request.holder = "n3";
    request.instance = "8f0c";
    request.number = 17;
    request.accepted = {1791, 5};
    request.epoch = 1792;
    request.clock = Time(123456789);
    request.needs = {{"bookings", budget::Counts::requests, {12500, 13}, {9000, 9}, {500, 1}, 0},
                     {"at-once", budget::Counts::concurrency, {0, 8}, {0, 4}, {0, 1}, 3}};
    return request;
}

// Returns the reason why a request is malformed, or "" if it is valid.
std::string fault_of(const std::string& text) {
    const auto read = decode_request(text);
    const auto* const malformed = std::get_if<Malformed>(&read);
    return malformed ? malformed->why : std::string();
}

std::string replaced(std::string text, const std::string& what, const std::string& other) {
    const auto at = text.find(what);
    EXPECT_NE(at, text.npos) << what;
    return text.replace(at, what.size(), other);
}

TEST(CoordinatorWire, RequestRoundTrip) {
    const std::string text = encode(request());
    const auto read = decode_request(text);
    ASSERT_TRUE(std::holds_alternative<budget::LeaseRequest>(read)) << fault_of(text);
    EXPECT_EQ(encode(std::get<budget::LeaseRequest>(read)), text);
    EXPECT_EQ(std::get<budget::LeaseRequest>(read).needs[1].in_use, 3);
    EXPECT_EQ(std::get<budget::LeaseRequest>(read).accepted, (budget::FencingToken{1791, 5}));
}

TEST(CoordinatorWire, RequestOfTheDesignIsValid) {
    EXPECT_EQ(
        fault_of(R"({"holder": "n3", "instance": "8f0c…", "number": 17, "taken": [1791, 5], "epoch": 1791,
        "clock_us": 123456789, "leaving": false, "needs": [{"budget": "bookings", "counts": "requests",
        "wants": [12500, 13], "leased": [9000, 9], "reserve": [500, 1], "in_use": 0}]})"),
        "");
}

TEST(CoordinatorWire, ReplyRoundTrip) {
    budget::LeaseReply reply;
    reply.number = 17;
    reply.epoch = 1791;
    reply.seq = 6;
    reply.term = Micros(3000000);
    reply.retry_after = Micros(150000);
    reply.min_request_interval = Micros(15000);
    reply.grants = {{"bookings", {9000, 9}}};
    for (const auto verdict :
         {budget::Verdict::granted, budget::Verdict::waiting, budget::Verdict::name_taken,
          budget::Verdict::stepped_down, budget::Verdict::too_many, budget::Verdict::clock_off,
          budget::Verdict::at_odds}) {
        reply.verdict = verdict;
        reply.why = std::string(1000, 'w');  // truncated when encoded
        const auto read = decode_reply(encode(reply));
        ASSERT_TRUE(std::holds_alternative<budget::LeaseReply>(read)) << std::get<Malformed>(read).why;
        EXPECT_EQ(std::get<budget::LeaseReply>(read).verdict, verdict);
        EXPECT_EQ(std::get<budget::LeaseReply>(read).why.size(), max_reason_size);
        EXPECT_EQ(encode(std::get<budget::LeaseReply>(read)), encode(reply));
    }
}

TEST(CoordinatorWire, ViewRoundTrip) {
    View view;
    view.epoch = 9;
    view.waits = Micros(5);
    view.trouble = "the store: no room";
    view.sums = {{"b", budget::Counts::retries, {1, 2}, {3, 4}, {5, 6}}};
    view.held = {{"b", "n", "i", {1, 1}, {2, 2}, {3, 3}, 4, Micros(-7), "in use"}};
    view.refused = {{"n", "j", budget::Verdict::name_taken, "taken", Micros(8)}};
    view.left_out = 3;
    const auto read = decode_view(encode(view));
    ASSERT_TRUE(std::holds_alternative<View>(read)) << std::get<Malformed>(read).why;
    EXPECT_EQ(encode(std::get<View>(read)), encode(view));
}

// A text truncated at any byte is malformed, and so is a text with any byte replaced by invalid UTF-8.
TEST(CoordinatorWire, TruncatedOrDamagedAtEveryByte) {
    budget::LeaseReply reply;
    reply.grants = {{"bookings", {9000, 9}}};
    const std::string texts[] = {encode(request()), encode(reply), encode(View{})};
    for (const std::string& text : texts) {
        for (std::size_t n = 0; n < text.size(); ++n) {
            const std::string cut = text.substr(0, n);
            EXPECT_TRUE(std::holds_alternative<Malformed>(decode_request(cut))) << cut;
            EXPECT_TRUE(std::holds_alternative<Malformed>(decode_reply(cut))) << cut;
            EXPECT_TRUE(std::holds_alternative<Malformed>(decode_view(cut))) << cut;
            std::string damaged = text;
            damaged[n] = '\xFF';  // never valid in UTF-8
            EXPECT_NE(fault_of(damaged), "") << n;
        }
    }
}

TEST(CoordinatorWire, ErrorNamesTheField) {
    const std::string good = encode(request());
    const struct {
        std::string text, fault;
    } cases[] = {
        {"", "no JSON"},
        {"[]", "no object"},
        {"17", "no object"},
        {"{}", "holder: missing"},
        {std::string(max_message_size + 1, ' '), "longer than 65536 bytes"},
        {std::string(max_message_size, '['), "no JSON"},
        {replaced(good, "\"number\":17", "\"other\":17"), "number: missing"},
        {replaced(good, "\"number\":17", "\"number\":-17"), "number: no whole number from 0"},
        {replaced(good, "\"number\":17", "\"number\":1.5"), "number: no whole number from 0"},
        {replaced(good, "\"number\":17", "\"number\":18446744073709551615"),
         "number: above 4611686018427387904"},
        {replaced(good, "\"number\":17", "\"number\":99999999999999999999999"),
         "number: no whole number from 0"},
        {replaced(good, "\"n3\"", "\"\""), "holder: no name"},
        {replaced(good, "\"n3\"", "\"" + std::string(65, 'n') + "\""), "holder: no name"},
        {replaced(good, "\"n3\"", "\"a\\nb\""), "holder: no name"},
        {replaced(good, "\"n3\"", "\"a\\u0000b\""), "holder: no name"},
        {replaced(good, "\"n3\"", "3"), "holder: no text"},
        {replaced(good, "false", "0"), "leaving: neither true nor false"},
        {replaced(good, "[1791,5]", "[1791]"), "taken: no list of two numbers"},
        {replaced(good, "[1791,5]", "[1791,-5]"), "taken[1]: no whole number from 0"},
        {replaced(good, "\"requests\"", "\"bytes\""), "needs[0].counts: not a word that is known here"},
        {replaced(good, "[12500,13]", "[-1,13]"), "needs[0].wants[0]: no whole number from 0"},
        {replaced(good, "[12500,13]", "[1000000001,13]"), "needs[0].wants[0]: above 1000000000"},
        {replaced(good, "[12500,13]", "[0,1000001]"), "needs[0].wants[1]: above 1000000"},
        {replaced(good, "\"in_use\":3", "\"in_use\":-1"), "needs[1].in_use: no whole number from 0"},
        {replaced(good, "\"in_use\":3", "\"in_use\":null"), "needs[1].in_use: no whole number from 0"},
        {replaced(good, "\"clock_us\":123456789", "\"clock_us\":-1"), "clock_us: no whole number from 0"},
        {replaced(good, "\"needs\":[", "\"needs\":[7,"), "needs[0]: no object"},
        {replaced(good, "\"needs\":[", "\"n\":["), "needs: missing"},
    };
    for (const auto& each : cases) {
        EXPECT_TRUE(fault_of(each.text).starts_with(each.fault) && !each.fault.empty())
            << each.text.substr(0, 300) << "\ngave " << fault_of(each.text) << "\nwanted " << each.fault;
    }
    budget::LeaseRequest many = request();
    many.needs.assign(max_needs, {"b", budget::Counts::requests, {}, {}, {}, 0});
    EXPECT_EQ(fault_of(encode(many)), "");
    many.needs.push_back(many.needs.front());
    EXPECT_EQ(fault_of(encode(many)), "needs: more than 256 entries");
    EXPECT_EQ(fault_of(replaced(good, "{", "{\"later\":{\"x\":[1]},")), "") << "unknown fields are ignored";
}

}  // namespace
}  // namespace flaxdoor::coordinator::test
