// Tests of a balancer's agent against a scripted coordinator on the loopback interface: whatever the
// coordinator answers, the agent sends another request, logs why there is no lease, and accepts the first
// lease that is granted.
#include "coordinator/agent.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>

#include "capturing_log.h"
#include "coordinator/wire.h"
#include "loop/boot_clock.h"

namespace flaxdoor::coordinator::test {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

std::string http(int status, const std::string& body, const std::string& fields = {}) {
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Answers each request with the bytes that `answers` returns, possibly none. "close" closes the connection.
struct ScriptedCoordinator {
    using Answers = std::function<std::string(const budget::LeaseRequest&)>;
    ScriptedCoordinator(asio::io_context& event_loop, Answers script)
        : loop(event_loop),
          answers(std::move(script)),
          acceptor(loop, {asio::ip::address_v4::loopback(), 0}) {
        accept();
    }

    struct Connection : std::enable_shared_from_this<Connection> {
        Connection(ScriptedCoordinator& coordinator, tcp::socket client_socket)
            : owner(coordinator), socket(std::move(client_socket)) {}
        void read() {
            socket.async_read_some(asio::buffer(buffer),
                                   [self = shared_from_this()](error_code error, std::size_t n) {
                                       if (error) return;
                                       self->input.append(self->buffer.data(), n);
                                       self->on_bytes();
                                   });
        }
        void on_bytes() {
            const auto body = input.find("\r\n\r\n");
            const auto length = input.find("Content-Length: ");
            if (body == std::string::npos || length == std::string::npos) return read();
            const std::size_t size = std::stoul(input.substr(length + 16));
            if (input.size() < body + 4 + size) return read();
            const auto request = decode_request(input.substr(body + 4, size));
            input.erase(0, body + 4 + size);
            ASSERT_TRUE(std::holds_alternative<budget::LeaseRequest>(request));
            owner.requests.push_back(std::get<budget::LeaseRequest>(request));
            output = owner.answers(owner.requests.back());
            if (output == "close") return socket.close();
            asio::async_write(socket, asio::buffer(output),
                              [self = shared_from_this()](error_code, std::size_t) {});
            read();
        }
        ScriptedCoordinator& owner;
        tcp::socket socket;
        std::array<char, 4096> buffer{};
        std::string input, output;
    };
    void accept() {
        acceptor.async_accept([this](error_code error, tcp::socket socket) {
            if (error) return;
            ++connections;
            std::make_shared<Connection>(*this, std::move(socket))->read();
            accept();
        });
    }

    asio::io_context& loop;
    Answers answers;
    tcp::acceptor acceptor;
    std::vector<budget::LeaseRequest> requests;
    int connections = 0;
};

budget::BudgetConfig terms() {
    budget::BudgetConfig terms;
    terms.lease_term = std::chrono::milliseconds(300);
    budget::Budget all;
    all.name = "all";
    all.whole = {9000, 9};
    all.reserve = {1000, 1};
    terms.budgets = {all};
    return terms;
}

std::string reply(const budget::LeaseRequest& request, budget::Verdict verdict = budget::Verdict::granted) {
    budget::LeaseReply reply;
    reply.verdict = verdict;
    if (verdict != budget::Verdict::granted) reply.why = "so it is";
    reply.number = request.number;
    reply.epoch = 1;
    reply.seq = request.number;
    reply.term = std::chrono::seconds(30);
    if (verdict == budget::Verdict::granted) reply.grants = {{"all", {8000, 8}}};
    return encode(reply);
}

struct World {
    explicit World(ScriptedCoordinator::Answers answers)
        : coordinator(loop, std::move(answers)),
          agent(loop.get_executor(), clock, log, holder, coordinator.acceptor.local_endpoint()) {}
    // Runs the loop until the condition holds. The limit of a minute allows for an overloaded machine.
    void run_until(const std::function<bool()>& holds) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::minutes(1);
        while (!holds()) {
            ASSERT_TRUE(loop.run_one_until(end)) << "timed out";
            if (loop.stopped()) loop.restart();
        }
    }

    asio::io_context loop;
    loop::BootClock clock;
    flaxdoor::test::CapturingLog log;
    budget::Holder holder{{terms(), "n1", "i1", 1}, clock.now()};
    ScriptedCoordinator coordinator;
    Agent agent;
};

// The first request gets the answer of the case; all later ones are granted.
TEST(BudgetAgent, SendsAnotherRequestAfterAnyAnswer) {
    struct Case {
        const char* what;
        std::function<std::string(const budget::LeaseRequest&)> first;
        const char* line;
        bool same_connection;
    };
    using R = const budget::LeaseRequest&;
    using budget::Verdict;
    const Case cases[] = {
        {"no response", [](R) { return ""; }, "budgets: no lease, only the reserve: no response in time",
         false},
        {"connection closed", [](R) { return "close"; },
         "budgets: no lease, only the reserve: connection lost", false},
        {"not HTTP", [](R) { return "gibberish\r\n\r\n"; },
         "budgets: no lease, only the reserve: malformed response: ", false},
        {"no JSON", [](R) { return http(200, "{"); },
         "budgets: no lease, only the reserve: malformed reply: ", true},
        {"disk full", [](R) { return http(503, "no room on the disk"); },
         "budgets: no lease, only the reserve: status 503: no room on the disk", true},
        {"name taken", [](R r) { return http(200, reply(r, Verdict::name_taken)); },
         "budgets: no lease and no reserve, the name is taken: so it is", true},
        {"clock off", [](R r) { return http(200, reply(r, Verdict::clock_off)); },
         "budgets: the clocks do not agree: so it is", true},
        {"stepped down", [](R r) { return http(200, reply(r, Verdict::stepped_down)); },
         "budgets: the coordinator has stepped down: so it is", true},
        {"other configuration", [](R r) { return http(200, reply(r, Verdict::at_odds)); },
         "budgets: the coordinator has other terms: so it is", true},
        {"waiting", [](R r) { return http(200, reply(r, Verdict::waiting)); },
         "budgets: no lease, only the reserve: so it is", true},
        {"connection for one response", [](R r) { return http(200, reply(r), "Connection: close\r\n"); },
         "budgets: leased by the coordinator at ", false},
    };
    for (const Case& each : cases) {
        SCOPED_TRACE(each.what);
        World* self_world = nullptr;
        World world([&](R request) {
            return self_world->coordinator.requests.size() == 1 ? each.first(request)
                                                                : http(200, reply(request));
        });
        self_world = &world;
        world.agent.start();
        world.run_until([&] {
            return world.coordinator.requests.size() > 1 && world.holder.has_lease(world.clock.now());
        });
        EXPECT_EQ(world.log.count(each.line), 1u) << ::testing::PrintToString(world.log.all);
        EXPECT_EQ(world.log.count("budgets: leased by the coordinator at "), 1u);
        EXPECT_EQ(world.coordinator.connections, each.same_connection ? 1 : 2);
        EXPECT_EQ(world.holder.allowance(0).leased(world.clock.now()), (budget::Amount{8000, 8}));
    }
}

TEST(BudgetAgent, ReportsLeavingAndSendsNoMoreRequests) {
    World* self_world = nullptr;
    World world([&](const auto& request) { return http(200, reply(request)); });
    self_world = &world;
    world.agent.start();
    world.run_until([&] { return self_world->holder.has_lease(self_world->clock.now()); });
    world.agent.leave();
    EXPECT_EQ(world.holder.allowance(0).in_force(world.clock.now()), budget::Amount{});
    world.run_until([&] { return self_world->coordinator.requests.back().leaving; });
    world.agent.on_want();
    // The agent waits for nothing more; only the fake coordinator's accept is left in the loop.
    world.coordinator.acceptor.close();
    world.loop.run();
    EXPECT_TRUE(world.coordinator.requests.back().leaving);
    EXPECT_FALSE(world.holder.has_lease(world.clock.now()));
}

TEST(BudgetAgent, CoordinatorIsUnreachable) {
    World world([](const auto&) { return ""; });
    world.coordinator.acceptor.close();
    world.agent.start();
    world.run_until(
        [&] { return world.log.count("budgets: no lease, only the reserve: could not connect") == 1; });
    // The agent is destroyed while a connection is being established and a timer is pending.
}

}  // namespace
}  // namespace flaxdoor::coordinator::test
