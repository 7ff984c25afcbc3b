// Tests of ServerMachine: every request of cases.h in every split and truncated at every byte, and the guarantees that
// its owner relies on.
#include "http/server_machine.h"

#include <gtest/gtest.h>

#include "http/cases.h"
#include "http/splits.h"

#if defined(__GLIBC__) && !defined(__SANITIZE_ADDRESS__)
#include <malloc.h>
#define FLAXDOOR_COUNTS_MEMORY 1
#endif

namespace flaxdoor::http::test {
namespace {

constexpr unsigned seed = 20240611;

const std::string get = "GET /api HTTP/1.1\r\n\r\n";
const std::string post = "POST /api HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody";

Response served(std::string body = "served") {
    Response response;
    response.body = std::move(body);
    return response;
}

void drain(ServerMachine& machine) { machine.wrote(machine.output().size()); }

std::optional<ServerEvent::Kind> kind_of(ServerMachine& machine) {
    const auto event = machine.next();
    return event ? std::optional(event->kind) : std::nullopt;
}

// Feeds a request to the machine, which then waits for the response.
void ask(ServerMachine& machine, const std::string& bytes = get) {
    machine.receive(bytes);
    EXPECT_EQ(kind_of(machine), ServerEvent::Kind::request);
}
// Writes all output, and expects the response to be complete by that.
void expect_answered(ServerMachine& machine) {
    drain(machine);
    EXPECT_EQ(kind_of(machine), ServerEvent::Kind::answered);
}

// Returns the events expected of the parts that are complete within the first `n` bytes, when responses are given at
// the end of input.
std::vector<std::string> expected(const RequestCase& test_case, std::size_t n, bool half_closed) {
    std::vector<std::string> events;
    std::size_t end = 0;
    for (const auto& part : test_case.parts) {
        end += part.bytes.size();
        if (end > n || part.event.empty()) break;
        const bool malformed = part.event.starts_with("malformed");
        events.push_back(part.event);
        if (half_closed && !malformed) events.push_back("half_closed");
        events.push_back("answered");
    }
    return events;
}

// Whether byte `n` belongs to a malformed part.
bool is_in_malformed_part(const RequestCase& test_case, std::size_t n) {
    std::size_t end = 0;
    for (const auto& part : test_case.parts) {
        end += part.bytes.size();
        if (end > n) return part.event.starts_with("malformed");
    }
    return false;
}

class Requests : public testing::TestWithParam<RequestCase> {};

TEST_P(Requests, GiveTheExpectedEvents) {
    const auto& test_case = GetParam();
    for (const auto answers : {Answers::at_once, Answers::at_the_end}) {
        const Trace trace = serve({test_case.bytes()}, answers);
        EXPECT_EQ(trace.events, expected(test_case, test_case.bytes().size(), false));
        EXPECT_EQ(trace.state, test_case.lasts ? ServerState::reading : ServerState::lingering);
        EXPECT_FALSE(trace.spoke_after_last);
        EXPECT_EQ(trace.written.find("Connection: close") != std::string::npos, !test_case.lasts);
    }
}

TEST_P(Requests, DoNotDependOnTheSplit) {
    const std::string bytes = GetParam().bytes();
    for (const auto answers : {Answers::at_once, Answers::at_the_end}) {
        // Answers::at_once covers large messages.
        if (answers == Answers::at_the_end && bytes.size() > small_message_bytes) break;
        expect_same_for_every_split(bytes, seed,
                                    [&](const Pieces& pieces) { return text_of(serve(pieces, answers)); });
        if (HasFatalFailure()) return;
    }
}

// A client that ends its sending gets the responses to its complete requests and nothing else. A client whose
// connection breaks gets nothing.
TEST_P(Requests, AreReceivedOnlyWhenComplete) {
    const auto& test_case = GetParam();
    const std::string bytes = test_case.bytes();
    for (std::size_t n = 0; n <= bytes.size(); ++n) {
        const auto piece = std::string_view(bytes).substr(0, n);
        auto expected_events = expected(test_case, n, true);
        const Trace ended = serve({piece}, Answers::at_the_end, End::ended);
        if (is_in_malformed_part(test_case, n) && ended.events.size() > expected_events.size()) {
            expected_events.push_back(ended.events[expected_events.size()]);
            ASSERT_TRUE(expected_events.back().starts_with("malformed")) << "cut at " << n;
            expected_events.push_back("answered");
        }
        ASSERT_EQ(ended.events, expected_events) << "cut at " << n;
        ASSERT_EQ(ended.state, ServerState::over) << "cut at " << n;
        ASSERT_FALSE(ended.spoke_after_last) << "cut at " << n;

        const Trace broken = serve({piece}, Answers::at_the_end, End::reset);
        ASSERT_EQ(broken.state, ServerState::over) << "cut at " << n;
        ASSERT_LE(broken.taken, 1) << "cut at " << n;
        ASSERT_EQ(broken.taken, !expected_events.empty() && !expected_events[0].starts_with("malformed"))
            << "cut at " << n;
        ASSERT_LE(broken.answered, broken.taken == 0 ? 1 : 0) << "cut at " << n;
    }
}

INSTANTIATE_TEST_SUITE_P(Http, Requests, testing::ValuesIn(request_cases()),
                         [](const auto& info) { return info.param.name; });

// State transitions

// The complete transition table; no other pair of state and signal changes the state.
TEST(ServerStates, FollowTheTable) {
    using S = ServerState;
    using G = ServerSignal;
    struct Row {
        S from;
        G signal;
        S to;
    };
    const std::vector<Row> rows = {
        {S::reading, G::request_received, S::waiting}, {S::reading, G::request_rejected, S::writing},
        {S::reading, G::client_done, S::over},         {S::waiting, G::answer_given, S::writing},
        {S::writing, G::answer_written, S::reading},   {S::writing, G::last_answer_written, S::lingering},
        {S::lingering, G::client_done, S::over},       {S::lingering, G::discard_limit_reached, S::over},
    };
    for (const S from : {S::reading, S::waiting, S::writing, S::lingering, S::over}) {
        for (const G signal : {G::request_received, G::request_rejected, G::answer_given, G::answer_written,
                               G::last_answer_written, G::client_done, G::discard_limit_reached, G::broken}) {
            S to = signal == G::broken ? S::over : from;
            for (const auto& row : rows) {
                if (row.from == from && row.signal == signal) to = row.to;
            }
            EXPECT_EQ(after(from, signal), to) << text_of(from) << ", signal " << static_cast<int>(signal);
        }
    }
    std::string names;
    for (const S state : {S::reading, S::waiting, S::writing, S::lingering, S::over}) {
        names.append(text_of(state)).append(" ");
    }
    EXPECT_EQ(names, "reading waiting writing lingering over ");
}

// Responses

TEST(ServerAnswers, AreFramedAndKeepTheConnection) {
    ServerMachine machine;
    EXPECT_TRUE(machine.between_requests());
    EXPECT_FALSE(machine.served());
    EXPECT_FALSE(machine.answer(served()));
    ask(machine);
    EXPECT_EQ(machine.state(), ServerState::waiting);
    EXPECT_FALSE(machine.between_requests());
    Response response = served("x\r\ny");
    response.status = 503;
    response.fields.add("Retry-After", "0.050");
    response.fields.add("Content-Length", "99");
    response.fields.add("Transfer-Encoding", "chunked");
    response.fields.add("Connection", "close");
    EXPECT_TRUE(machine.answer(response));
    EXPECT_FALSE(machine.answer(response));
    EXPECT_EQ(machine.output(),
              "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.050\r\nContent-Length: 4\r\n\r\nx\r\ny");
    while (!machine.output().empty()) {
        EXPECT_EQ(machine.state(), ServerState::writing);
        EXPECT_EQ(kind_of(machine), std::nullopt);
        machine.wrote(1);
    }
    EXPECT_EQ(kind_of(machine), ServerEvent::Kind::answered);
    EXPECT_EQ(kind_of(machine), std::nullopt);
    EXPECT_TRUE(machine.served());
    EXPECT_TRUE(machine.between_requests());
}

TEST(ServerAnswers, TellWhetherTheConnectionPersists) {
    struct Row {
        std::string request;
        bool last;
        std::string_view connection_field;
        ServerState state;
    };
    for (const auto& [request, last, connection_field, state] : std::vector<Row>{
             {"GET / HTTP/1.1\r\n\r\n", false, "", ServerState::reading},
             {"GET / HTTP/1.1\r\n\r\n", true, "Connection: close\r\n", ServerState::lingering},
             {"GET / HTTP/1.1\r\nConnection: close\r\n\r\n", false, "Connection: close\r\n",
              ServerState::lingering},
             {"GET / HTTP/1.0\r\n\r\n", false, "Connection: close\r\n", ServerState::lingering},
             {"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", false, "Connection: keep-alive\r\n",
              ServerState::reading},
             {"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", true, "Connection: close\r\n",
              ServerState::lingering},
         }) {
        ServerMachine machine;
        ask(machine, request);
        EXPECT_TRUE(machine.answer(served(), last));
        EXPECT_EQ(machine.output(),
                  "HTTP/1.1 200 OK\r\n" + std::string(connection_field) + "Content-Length: 6\r\n\r\nserved");
        expect_answered(machine);
        EXPECT_EQ(machine.state(), state) << request;
    }
}

TEST(ServerAnswers, ToHeadHaveNoBody) {
    ServerMachine machine;
    ask(machine, "HEAD /ready HTTP/1.1\r\n\r\n" + get);
    EXPECT_TRUE(machine.answer(served()));
    EXPECT_EQ(machine.output(), "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n");
    expect_answered(machine);
    EXPECT_EQ(kind_of(machine), ServerEvent::Kind::request);
    EXPECT_TRUE(machine.answer(served()));
    EXPECT_TRUE(machine.output().ends_with("\r\n\r\nserved"));
}

// A rejected client gets the error, and its further bytes are discarded until it closes.
TEST(ServerAnswers, ARejectionEndsTheConnection) {
    for (const bool ends : {true, false}) {
        ServerMachine machine(1000);
        EXPECT_FALSE(machine.reject(404));
        ask(machine, get + get);
        EXPECT_TRUE(machine.reject(409, "this X-Call-Id is open"));
        EXPECT_EQ(machine.output(),
                  "HTTP/1.1 409 Conflict\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: "
                  "23\r\n\r\nthis X-Call-Id is open\n");
        expect_answered(machine);
        EXPECT_EQ(kind_of(machine), std::nullopt);
        EXPECT_EQ(machine.state(), ServerState::lingering);
        EXPECT_TRUE(machine.wants_read());
        machine.receive(std::string(1000, 'x'));
        EXPECT_EQ(machine.state(), ServerState::lingering);
        if (ends) {
            machine.receive_end();
        } else {
            machine.receive("x");
        }
        EXPECT_EQ(machine.state(), ServerState::over);
        EXPECT_EQ(kind_of(machine), std::nullopt);
        EXPECT_TRUE(machine.output().empty());
        EXPECT_FALSE(machine.wants_read());
    }
}

TEST(ServerAnswers, AMalformedRequestGetsTheError) {
    ServerMachine machine;
    machine.receive("GET / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody");
    const auto event = machine.next();
    ASSERT_TRUE(event);
    EXPECT_EQ(event->kind, ServerEvent::Kind::malformed);
    EXPECT_EQ(event->status, 400);
    EXPECT_EQ(event->why, "its end is told more than once, by Content-Length or Transfer-Encoding");
    EXPECT_TRUE(machine.output().starts_with("HTTP/1.1 400 Bad Request\r\n"));
    EXPECT_NE(machine.output().find("Connection: close\r\n"), std::string_view::npos);
    EXPECT_TRUE(machine.output().ends_with(event->why + "\n"));
}

// Expect: 100-continue

TEST(ServerContinue, IsSentOnceAndOnlyWhileTheBodyIsAwaited) {
    const std::string head = "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n";
    for (std::size_t cut = 0; cut <= head.size() + 4; ++cut) {
        const std::string bytes = head + "body";
        const Trace trace = serve(pieces_of(bytes, {cut}));
        EXPECT_EQ(trace.continues, cut >= head.size() && cut < bytes.size()) << cut;
    }
    ServerMachine machine;
    machine.receive(head);
    EXPECT_EQ(kind_of(machine), std::nullopt);
    EXPECT_EQ(machine.output(), "HTTP/1.1 100 Continue\r\n\r\n");
    machine.wrote(10);  // the rest must not be lost when the response follows
    ask(machine, "body");
    EXPECT_TRUE(machine.answer(served()));
    EXPECT_EQ(machine.output(), "00 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved");
    // The next request gets its own 100 Continue.
    drain(machine);
    machine.receive(head);
    EXPECT_EQ(kind_of(machine), ServerEvent::Kind::answered);
    EXPECT_EQ(kind_of(machine), std::nullopt);
    EXPECT_EQ(machine.output(), "HTTP/1.1 100 Continue\r\n\r\n");
    ServerMachine old_client;
    old_client.receive("POST / HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    EXPECT_EQ(kind_of(old_client), std::nullopt);
    EXPECT_TRUE(old_client.output().empty());
}

// Clients that end their sending

TEST(ServerHalfClosed, StillGetsItsResponses) {
    ServerMachine machine;
    machine.receive(get + post + get.substr(0, 9));
    machine.receive_end();
    EXPECT_FALSE(machine.wants_read());
    for (int i = 0; i < 2; ++i) {
        EXPECT_EQ(kind_of(machine), ServerEvent::Kind::request);
        EXPECT_EQ(kind_of(machine), ServerEvent::Kind::half_closed);
        EXPECT_EQ(kind_of(machine), std::nullopt);
        EXPECT_TRUE(machine.answer(served()));
        EXPECT_NE(machine.output().find("served"), std::string_view::npos);
        expect_answered(machine);
    }
    EXPECT_EQ(kind_of(machine), std::nullopt);
    EXPECT_EQ(machine.state(), ServerState::over);
}

TEST(ServerHalfClosed, LastResponseClosesTheConnection) {
    ServerMachine machine;
    ask(machine);
    machine.receive_end();
    EXPECT_EQ(kind_of(machine), ServerEvent::Kind::half_closed);
    EXPECT_TRUE(machine.answer(served()));
    EXPECT_NE(machine.output().find("Connection: close\r\n"), std::string_view::npos);
    expect_answered(machine);
    EXPECT_EQ(machine.state(), ServerState::over);
}

// A response that is being written when the client ends its sending is still written completely.
TEST(ServerHalfClosed, WhileTheAnswerIsWritten) {
    for (const bool last : {true, false}) {
        ServerMachine machine;
        ask(machine);
        EXPECT_TRUE(machine.answer(served(), last));
        machine.wrote(5);
        machine.receive_end();
        EXPECT_EQ(kind_of(machine), std::nullopt);
        EXPECT_EQ(machine.state(), ServerState::writing);
        expect_answered(machine);
        EXPECT_EQ(kind_of(machine), std::nullopt);
        EXPECT_EQ(machine.state(), ServerState::over);
    }
}

TEST(ServerHalfClosed, ContinueProbesHttp11Clients) {
    ServerMachine machine;
    EXPECT_FALSE(machine.send_continue());
    ask(machine);
    EXPECT_TRUE(machine.send_continue());  // the owner may know of an unread end
    machine.receive_end();
    EXPECT_TRUE(machine.send_continue());  // no second 100 Continue while the first is unwritten
    EXPECT_EQ(machine.output(), "HTTP/1.1 100 Continue\r\n\r\n");
    drain(machine);
    // Writing the 100 Continue causes no `answered` event.
    EXPECT_EQ(kind_of(machine), ServerEvent::Kind::half_closed);
    EXPECT_EQ(kind_of(machine), std::nullopt);
    EXPECT_TRUE(machine.send_continue());
    EXPECT_TRUE(machine.answer(served()));
    EXPECT_TRUE(machine.output().starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"));
    EXPECT_FALSE(machine.send_continue());
    ServerMachine old_client;
    ask(old_client, "GET / HTTP/1.0\r\n\r\n");
    old_client.receive_end();
    EXPECT_FALSE(old_client.send_continue());
    EXPECT_TRUE(old_client.output().empty());
}

// Limits on memory and unread input

// Reading is suspended while a client sends too far ahead, and every request is served in the end.
TEST(ServerBounds, PipelinedInputIsBounded) {
    ServerMachine machine;
    const std::string one(1000, 'x');
    const std::string request = "POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + one;
    const int sent = 400;
    std::string bytes;
    for (int i = 0; i < sent; ++i) bytes += request;
    std::string_view rest = bytes;
    int taken = 0;
    constexpr std::size_t piece = 8192;
    std::size_t received_bytes = 0;  // bytes received while one request waited
    for (;;) {
        while (auto event = machine.next()) {
            if (event->kind != ServerEvent::Kind::request) continue;
            ++taken;
            EXPECT_EQ(event->request.body, one);
        }
        if (machine.state() == ServerState::waiting && (!machine.wants_read() || rest.empty())) {
            EXPECT_LE(received_bytes, ServerMachine::max_pipelined_bytes + 2 * piece);
            received_bytes = 0;
            EXPECT_TRUE(machine.answer(served()));
            drain(machine);
            continue;
        }
        if (rest.empty()) break;
        ASSERT_TRUE(machine.wants_read());
        machine.receive(rest.substr(0, piece));
        received_bytes += std::min(piece, rest.size());
        rest.remove_prefix(std::min(piece, rest.size()));
    }
    EXPECT_EQ(taken, sent);
    EXPECT_TRUE(machine.between_requests());
}

TEST(ServerBounds, InputAfterTheLastResponseIsDiscarded) {
    ServerMachine machine;
    ask(machine);
    EXPECT_TRUE(machine.answer(served(), true));
    while (machine.wants_read()) machine.receive(std::string(8192, 'x'));
    EXPECT_EQ(machine.state(), ServerState::writing);
    expect_answered(machine);
    EXPECT_EQ(machine.state(), ServerState::lingering);
    EXPECT_TRUE(machine.wants_read());
}

TEST(ServerBounds, AResetEndsTheConnection) {
    ServerMachine machine;
    ask(machine, get + get);
    machine.reset();
    EXPECT_EQ(machine.state(), ServerState::over);
    EXPECT_FALSE(machine.answer(served()));
    EXPECT_FALSE(machine.reject(400));
    EXPECT_FALSE(machine.send_continue());
    machine.receive(get);
    EXPECT_EQ(kind_of(machine), std::nullopt);
    EXPECT_TRUE(machine.output().empty());
}

// Thousands of clients keep idle connections, so an idle machine must use little memory.
TEST(ServerBounds, IdleConnectionsAreSmall) {
    EXPECT_LT(sizeof(ServerMachine), 400U);
#ifdef FLAXDOOR_COUNTS_MEMORY
    constexpr std::size_t connections = 1000;
    const std::string large = "POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + std::string(60000, 'x');
    std::vector<std::unique_ptr<ServerMachine>> idle;
    idle.reserve(connections);
    const auto before = ::mallinfo2().uordblks;
    for (std::size_t i = 0; i < connections; ++i) {
        idle.push_back(std::make_unique<ServerMachine>());
        ServerMachine& machine = *idle.back();
        for (int turn = 0; turn < 2; ++turn) {
            for (const auto piece : pieces_of(large, {10, 5000, 30000})) {
                machine.receive(piece);
                if (kind_of(machine) != ServerEvent::Kind::request) continue;
                EXPECT_TRUE(machine.answer(served(std::string(60000, 'y'))));
                expect_answered(machine);
                EXPECT_EQ(kind_of(machine), std::nullopt);
            }
        }
        EXPECT_TRUE(machine.between_requests());
    }
    EXPECT_LT((::mallinfo2().uordblks - before) / connections, 400U);
#endif
}

}  // namespace
}  // namespace flaxdoor::http::test
