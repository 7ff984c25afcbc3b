// Tests of ClientMachine: every response of cases.h in every split, and truncated at every byte of the request and of
// the response. A request that may have executed must never be reported as never executed, because it would be
// retried.
#include "http/client_machine.h"

#include <gtest/gtest.h>

#include "http/cases.h"
#include "http/splits.h"

namespace flaxdoor::http::test {
namespace {

constexpr unsigned seed = 20240612;
const std::string request = "POST /api HTTP/1.1\r\nX-Call-Id: a\r\nContent-Length: 4\r\n\r\nbody";

class AnswersOf : public testing::TestWithParam<AnswerCase> {};

TEST_P(AnswersOf, GiveTheExpectedResult) {
    const auto& test_case = GetParam();
    const Exchange seen = ask({test_case.bytes + test_case.beyond});
    EXPECT_EQ(seen.result, test_case.result);
    EXPECT_EQ(seen.results, test_case.result.empty() ? 0 : 1);
    const bool answered = !test_case.result.empty() && test_case.result != "spoilt";
    EXPECT_EQ(seen.reusable, answered && test_case.reusable);
    EXPECT_EQ(seen.state, test_case.result.empty()         ? ClientState::exchanging
                          : answered && test_case.reusable ? ClientState::idle
                                                           : ClientState::over);
}

// Includes the split directly after the response: the bytes that follow are then unsolicited, and end the connection
// too.
TEST_P(AnswersOf, DoNotDependOnTheSplit) {
    expect_same_for_every_split(GetParam().bytes + GetParam().beyond, seed,
                                [](const Pieces& pieces) { return text_of(ask(pieces)); });
}

// After its last byte is written, the request may have executed, however the exchange ends.
TEST_P(AnswersOf, TruncatedMayHaveExecuted) {
    const auto& test_case = GetParam();
    for (std::size_t n = 0; n <= test_case.bytes.size(); ++n) {
        for (const auto end : {End::ended, End::reset}) {
            const Exchange seen = ask({std::string_view(test_case.bytes).substr(0, n)}, end);
            ASSERT_EQ(seen.state, ClientState::over) << "cut at " << n;
            ASSERT_EQ(seen.results, 1) << "cut at " << n;
            if (n == test_case.bytes.size() && !test_case.result.empty()) {
                ASSERT_EQ(seen.result, test_case.result);
            } else if (test_case.result == "spoilt") {
                // A response without a length ends wherever its connection does; a separate test covers these.
                const bool ended =
                    end == End::ended && test_case.name == std::string_view("over_limit_without_length");
                ASSERT_TRUE(seen.result == "spoilt" || seen.result == "may_have_run" || ended)
                    << "cut at " << n;
            } else {
                ASSERT_EQ(seen.result, "may_have_run") << "cut at " << n;
            }
        }
    }
}

// Before its last byte is written, a broken connection means that the request never executed. An early response proves
// nothing about that, and its connection is not reused.
TEST_P(AnswersOf, BeforeTheCompleteRequest) {
    const auto& test_case = GetParam();
    const std::size_t max_cut = std::min<std::size_t>(test_case.bytes.size(), small_message_bytes);
    for (std::size_t n = 0; n <= max_cut; n = n < 8 || n + 8 >= max_cut ? n + 1 : n + 7) {
        const Exchange seen =
            ask({std::string_view(test_case.bytes).substr(0, n)}, End::reset, request.size() - 1, request);
        ASSERT_EQ(seen.results, 1);
        if (n == test_case.bytes.size() && !test_case.result.empty()) {
            ASSERT_EQ(seen.result, test_case.result);
            ASSERT_FALSE(seen.reusable);
        } else if (seen.result != "spoilt" || test_case.result != "spoilt") {
            ASSERT_EQ(seen.result, "never_ran") << "cut at " << n;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Http, AnswersOf, testing::ValuesIn(answer_cases()),
                         [](const auto& info) { return info.param.name; });

TEST(ClientStates, FollowTheTable) {
    using S = ClientState;
    using G = ClientSignal;
    const auto to = [](S from, G signal) {
        if (signal == G::failed) return S::over;
        if (from == S::idle && signal == G::begun) return S::exchanging;
        if (from == S::exchanging && signal == G::answered) return S::idle;
        if (from == S::exchanging && signal == G::last_answered) return S::over;
        return from;
    };
    for (const S from : {S::idle, S::exchanging, S::over}) {
        for (const G signal : {G::begun, G::answered, G::last_answered, G::failed}) {
            EXPECT_EQ(after(from, signal), to(from, signal)) << text_of(from);
        }
    }
    EXPECT_EQ(text_of(S::idle), "idle");
    EXPECT_EQ(text_of(S::exchanging), "exchanging");
    EXPECT_EQ(text_of(S::over), "over");
}

// The last byte is the exact boundary between a request that never executed and one that may have.
TEST(Client, CutAtEveryByteOfTheRequest) {
    for (std::size_t handed = 0; handed <= request.size(); ++handed) {
        for (const bool ends : {true, false}) {
            ClientMachine machine;
            ASSERT_TRUE(machine.begin(request));
            for (std::size_t i = 0; i < handed; ++i) {
                ASSERT_EQ(machine.output(), std::string_view(request).substr(i));
                ASSERT_FALSE(machine.request_written());
                machine.wrote(1);
            }
            ASSERT_EQ(machine.request_written(), handed == request.size());
            const auto result = ends ? machine.receive_end() : machine.reset();
            ASSERT_TRUE(result);
            EXPECT_EQ(result->kind, handed == request.size() ? ClientResult::Kind::may_have_executed
                                                             : ClientResult::Kind::never_executed)
                << handed;
            EXPECT_EQ(machine.state(), ClientState::over);
            EXPECT_FALSE(machine.receive("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
            EXPECT_FALSE(machine.reset());
            EXPECT_FALSE(machine.begin(request));
        }
    }
}

TEST(Client, CarriesSuccessiveExchanges) {
    ClientMachine machine;
    for (int i = 0; i < 3; ++i) {
        Request message;
        message.method = "POST";
        message.target = "/api";
        message.body = "body";
        message.fields.add("X-Call-Id", "a");
        ASSERT_TRUE(machine.begin(message));
        EXPECT_FALSE(machine.begin(message));
        EXPECT_EQ(machine.output(), request);
        machine.wrote(machine.output().size());
        EXPECT_TRUE(machine.output().empty());
        const auto result =
            machine.receive("HTTP/1.1 200 Fine\r\nX-Load-Report: a=1\r\nContent-Length: 2\r\n\r\nok");
        ASSERT_TRUE(result);
        EXPECT_EQ(result->kind, ClientResult::Kind::answered);
        EXPECT_TRUE(result->reusable);
        EXPECT_EQ(result->answer.status, 200);
        EXPECT_EQ(result->answer.reason, "Fine");
        EXPECT_EQ(result->answer.body, "ok");
        EXPECT_EQ(result->answer.fields["x-load-report"], "a=1");
        EXPECT_EQ(machine.state(), ClientState::idle);
    }
}

// Unsolicited bytes or the end of an idle connection end it, without a result for any request.
TEST(Client, UnsolicitedInputEndsAnIdleConnection) {
    for (const int input_kind : {0, 1, 2}) {
        ClientMachine machine;
        const auto result = input_kind == 0   ? machine.receive("x")
                            : input_kind == 1 ? machine.receive_end()
                                              : machine.reset();
        ASSERT_TRUE(result);
        EXPECT_EQ(result->kind, ClientResult::Kind::unsolicited);
        EXPECT_EQ(machine.state(), ClientState::over);
        EXPECT_FALSE(machine.begin(request));
    }
}

// A response without a declared length is complete when its connection ends in order at any byte of the body. A
// reset, or an end within the header, does not complete it.
TEST(Client, AResponseWithoutLengthEndsWithItsConnection) {
    for (const std::string head :
         {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 103 Early\r\n\r\nHTTP/1.0 200 OK\r\nX: y\r\n\r\n"}) {
        const std::string all = head + "no length";
        for (std::size_t n = 0; n <= all.size(); ++n) {
            const std::string_view received = std::string_view(all).substr(0, n);
            for (std::size_t split = 0; split <= n; ++split) {
                const Pieces pieces{received.substr(0, split), received.substr(split)};
                EXPECT_EQ(ask(pieces, End::reset).result, "may_have_run") << n;
                const Exchange ended = ask(pieces, End::ended);
                EXPECT_EQ(ended.result, n < head.size()
                                            ? "may_have_run"
                                            : "200 [" + all.substr(head.size(), n - head.size()) + "]")
                    << n;
                EXPECT_FALSE(ended.reusable);
                EXPECT_EQ(ended.state, ClientState::over);
                EXPECT_EQ(ended.results, 1);
                EXPECT_EQ(ask(pieces).result, "") << "open: the response may continue";
            }
        }
    }
}

TEST(Client, ReportsTheError) {
    EXPECT_EQ(ask({"HTTP/1.1 x OK\r\n\r\n"}).full.substr(0, 8), "spoilt: ");
    EXPECT_EQ(ask({"HTTP/1.1 101 X\r\n\r\n"}).full, "spoilt: unrequested switch to another protocol");
}

}  // namespace
}  // namespace flaxdoor::http::test
