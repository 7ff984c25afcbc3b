// A balancer's agent before a coordinator made by hand, on loopback: whatever it answers, or does not, the agent asks again,
// tells why there is no lease, and takes the first that is granted.
#include "coordinator/agent.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>

#include "coordinator/wire.h"
#include "lines.h"
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

// Answers each request with what `answers` says: bytes, or nothing at all. "close" ends the connection.
struct Scripted {
    using Answers = std::function<std::string(const budget::LeaseRequest&)>;
    Scripted(asio::io_context& its_loop, Answers its_answers)
        : loop(its_loop),
          answers(std::move(its_answers)),
          acceptor(loop, {asio::ip::address_v4::loopback(), 0}) {
        accept();
    }

    struct Connection : std::enable_shared_from_this<Connection> {
        Connection(Scripted& its_owner, tcp::socket its_socket)
            : owner(its_owner), socket(std::move(its_socket)) {}
        void read() {
            socket.async_read_some(asio::buffer(room),
                                   [self = shared_from_this()](error_code error, std::size_t n) {
                                       if (error) return;
                                       self->in.append(self->room.data(), n);
                                       self->take();
                                   });
        }
        void take() {
            const auto body = in.find("\r\n\r\n");
            const auto length = in.find("Content-Length: ");
            if (body == std::string::npos || length == std::string::npos) return read();
            const std::size_t size = std::stoul(in.substr(length + 16));
            if (in.size() < body + 4 + size) return read();
            const auto request = decode_request(in.substr(body + 4, size));
            in.erase(0, body + 4 + size);
            ASSERT_TRUE(std::holds_alternative<budget::LeaseRequest>(request));
            owner.requests.push_back(std::get<budget::LeaseRequest>(request));
            out = owner.answers(owner.requests.back());
            if (out == "close") return socket.close();
            asio::async_write(socket, asio::buffer(out),
                              [self = shared_from_this()](error_code, std::size_t) {});
            read();
        }
        Scripted& owner;
        tcp::socket socket;
        std::array<char, 4096> room{};
        std::string in, out;
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

budget::Terms terms() {
    budget::Terms terms;
    terms.term = std::chrono::milliseconds(300);
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
    explicit World(Scripted::Answers answers)
        : coordinator(loop, std::move(answers)),
          agent(loop.get_executor(), clock, log, holder, coordinator.acceptor.local_endpoint()) {}
    // Until it holds; a minute is for a machine that stands still.
    void until(const std::function<bool()>& holds) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::minutes(1);
        while (!holds()) {
            ASSERT_TRUE(loop.run_one_until(end)) << "it never came";
            if (loop.stopped()) loop.restart();
        }
    }

    asio::io_context loop;
    loop::BootClock clock;
    flaxdoor::test::Lines log;
    budget::Holder holder{{terms(), "n1", "i1", 1}, clock.now()};
    Scripted coordinator;
    Agent agent;
};

// The first request meets this; all others are granted.
TEST(BudgetAgent, AsksAgainWhateverTheFirstAnswer) {
    struct Case {
        const char* what;
        std::function<std::string(const budget::LeaseRequest&)> first;
        const char* line;
        bool same_connection;
    };
    using R = const budget::LeaseRequest&;
    using budget::Verdict;
    const Case cases[] = {
        {"nothing", [](R) { return ""; }, "budgets: no lease, only the reserve: no answer in time", false},
        {"an end", [](R) { return "close"; }, "budgets: no lease, only the reserve: the connection broke",
         false},
        {"no HTTP", [](R) { return "gibberish\r\n\r\n"; },
         "budgets: no lease, only the reserve: no answer: ", false},
        {"no JSON", [](R) { return http(200, "{"); },
         "budgets: no lease, only the reserve: no reply: ", true},
        {"no disk", [](R) { return http(503, "no room on the disk"); },
         "budgets: no lease, only the reserve: status 503: no room on the disk", true},
        {"a name taken", [](R r) { return http(200, reply(r, Verdict::name_taken)); },
         "budgets: no lease and no reserve, the name is taken: so it is", true},
        {"a clock off", [](R r) { return http(200, reply(r, Verdict::clock_off)); },
         "budgets: the clocks do not agree: so it is", true},
        {"stepped down", [](R r) { return http(200, reply(r, Verdict::stepped_down)); },
         "budgets: the coordinator has stepped down: so it is", true},
        {"other terms", [](R r) { return http(200, reply(r, Verdict::at_odds)); },
         "budgets: the coordinator has other terms: so it is", true},
        {"a wait", [](R r) { return http(200, reply(r, Verdict::waiting)); },
         "budgets: no lease, only the reserve: so it is", true},
        {"a connection for one answer", [](R r) { return http(200, reply(r), "Connection: close\r\n"); },
         "budgets: leased by the coordinator at ", false},
    };
    for (const Case& each : cases) {
        SCOPED_TRACE(each.what);
        World* its = nullptr;
        World world([&](R request) {
            return its->coordinator.requests.size() == 1 ? each.first(request) : http(200, reply(request));
        });
        its = &world;
        world.agent.start();
        world.until([&] {
            return world.coordinator.requests.size() > 1 && world.holder.supervised(world.clock.now());
        });
        EXPECT_EQ(world.log.count(each.line), 1u) << ::testing::PrintToString(world.log.all);
        EXPECT_EQ(world.log.count("budgets: leased by the coordinator at "), 1u);
        EXPECT_EQ(world.coordinator.connections, each.same_connection ? 1 : 2);
        EXPECT_EQ(world.holder.at(0).leased(world.clock.now()), (budget::Amount{8000, 8}));
    }
}

TEST(BudgetAgent, TellsThatItLeavesAndAsksNoMore) {
    World* its = nullptr;
    World world([&](const auto& request) { return http(200, reply(request)); });
    its = &world;
    world.agent.start();
    world.until([&] { return its->holder.supervised(its->clock.now()); });
    world.agent.leave();
    EXPECT_EQ(world.holder.at(0).in_force(world.clock.now()), budget::Amount{});
    world.until([&] { return its->coordinator.requests.back().leaving; });
    world.agent.on_want();
    // Its end has nothing more to wait for: only the stand-in's accept is left.
    world.coordinator.acceptor.close();
    world.loop.run();
    EXPECT_TRUE(world.coordinator.requests.back().leaving);
    EXPECT_FALSE(world.holder.supervised(world.clock.now()));
}

TEST(BudgetAgent, NobodyIsThere) {
    World world([](const auto&) { return ""; });
    world.coordinator.acceptor.close();
    world.agent.start();
    world.until([&] { return world.log.count("budgets: no lease, only the reserve: no connection") == 1; });
    // Gone with a connection under way, and a wake-up due.
}

}  // namespace
}  // namespace flaxdoor::coordinator::test
