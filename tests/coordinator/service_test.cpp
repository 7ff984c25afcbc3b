// The service by its messages, and over real connections.
#include "coordinator/service.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <fstream>

#include "http/front.h"
#include "loop/alarm.h"
#include "service_parts.h"
#include "standins/run_until.h"

namespace flaxdoor::coordinator::test {
namespace {

using boost::asio::ip::tcp;
using budget::Verdict;

// One that has waited out what may have been in force before it.
struct Granting {
    explicit Granting(GrantsLog* grants = nullptr) : service(parts.service(grants)) {
        parts.clock.at += Micros(2'500'000);
    }
    Parts parts;
    std::unique_ptr<Service> service;
};

TEST(CoordinatorService, AnswersByPathAndMethod) {
    Granting g;
    const std::string good = encode(g.parts.request("n1", 1, 1000));
    const struct {
        const char *method, *target;
        std::string body;
        int status;
    } cases[] = {
        {"POST", "/v1/leases", good, 200},
        {"POST", "/v1/leases", "", 400},
        {"POST", "/v1/leases", good.substr(0, good.size() / 2), 400},
        {"GET", "/v1/leases", "", 405},
        {"GET", "/v1/budgets", "", 200},
        {"DELETE", "/v1/budgets", "", 405},
        {"GET", "/ready", "", 200},
        {"GET", "/", "", 404},
        {"POST", "/v1/leases/", good, 404},
    };
    for (const auto& each : cases) {
        EXPECT_EQ(Parts::send(*g.service, each.method, each.target, each.body).status, each.status)
            << each.method << " " << each.target << " " << each.body;
    }
    EXPECT_EQ(Parts::send(*g.service, "GET", "/ready", "", true).status, 503) << "while it drains";
}

TEST(CoordinatorService, WaitsThenGrants) {
    Parts parts;
    auto service = parts.service();
    EXPECT_EQ(Parts::send(*service, "GET", "/ready").status, 503);
    EXPECT_EQ(parts.ask(*service, parts.request("n1", 1, 5000))->verdict, Verdict::waiting);
    EXPECT_TRUE(parts.log.has("nothing is granted for 1001 ms: the store is empty"));
    parts.clock.at += Micros(1'100'000);
    EXPECT_EQ(Parts::send(*service, "GET", "/ready").status, 200);
    const auto granted = parts.ask(*service, parts.request("n1", 2, 5000));
    ASSERT_EQ(granted->verdict, Verdict::granted);
    ASSERT_EQ(granted->grants.size(), 1u);
    EXPECT_GT(granted->grants[0].share.rate, 0);
}

TEST(CoordinatorService, DoubledAndLateRequestsChangeNothing) {
    Granting g;
    const auto first = g.parts.request("n1", 5, 5000);
    EXPECT_EQ(g.parts.ask(*g.service, first)->verdict, Verdict::granted);
    const View before = g.service->view();
    EXPECT_EQ(g.parts.ask(*g.service, first)->verdict, Verdict::waiting);
    EXPECT_EQ(g.parts.ask(*g.service, g.parts.request("n1", 4, 1))->verdict, Verdict::waiting);
    EXPECT_EQ(encode(g.service->view()), encode(before));
}

TEST(CoordinatorService, EachRefusalIsToldOnceAndSeen) {
    Granting g;
    auto older = g.parts.request("n1", 1, 1000), later = older;
    later.instance = "n1-2";
    EXPECT_EQ(g.parts.ask(*g.service, older)->verdict, Verdict::granted);
    EXPECT_EQ(g.parts.ask(*g.service, later)->verdict, Verdict::granted);
    for (int i = 2; i < 5; ++i) {
        older.number = static_cast<std::uint64_t>(i);
        EXPECT_EQ(g.parts.ask(*g.service, older)->verdict, Verdict::name_taken);
    }
    auto odd = g.parts.request("n2", 1, 1000);
    odd.needs[0].counts = budget::Counts::retries;
    EXPECT_EQ(g.parts.ask(*g.service, odd)->verdict, Verdict::at_odds);
    EXPECT_EQ(g.parts.log.count("coordinator: n1 is the name of two processes: n1-1 is refused"), 1u);
    EXPECT_EQ(g.parts.log.count("coordinator: n2 (n2-1): at_odds: b counts something else here"), 1u);
    EXPECT_EQ(g.service->view().refused.size(), 2u);
    g.parts.clock.at += Micros(61'000'000);
    EXPECT_EQ(g.service->view().refused.size(), 0u);
}

TEST(CoordinatorService, AnotherOfALaterEpochEndsIt) {
    Granting g;
    EXPECT_EQ(g.parts.ask(*g.service, g.parts.request("n1", 1, 1000))->verdict, Verdict::granted);
    auto told = g.parts.request("n1", 2, 1000);
    told.epoch = 1'000'000;
    EXPECT_EQ(g.parts.ask(*g.service, told)->verdict, Verdict::stepped_down);
    EXPECT_EQ(g.parts.ask(*g.service, g.parts.request("n2", 1, 1000))->verdict, Verdict::stepped_down);
    EXPECT_EQ(g.parts.log.count("coordinator: stepped down"), 1u);
    EXPECT_EQ(Parts::send(*g.service, "GET", "/ready").status, 503);
    EXPECT_TRUE(g.service->view().stepped_down);
}

// What is done when a disk fills, and when it has room again.
TEST(CoordinatorService, ADiskThatIsFull) {
    store::test::SimFiles files;
    Parts parts;
    parts.files = std::make_unique<Borrowed>(files);
    auto service = parts.service();
    parts.clock.at += Micros(2'500'000);
    files.room = files.disk().bytes();
    EXPECT_FALSE(parts.ask(*service, parts.request("n1", 1, 1000)));
    EXPECT_FALSE(parts.ask(*service, parts.request("n1", 2, 1000)));
    EXPECT_EQ(parts.log.count("coordinator: nothing is granted: the store: "), 1u);
    EXPECT_EQ(Parts::send(*service, "GET", "/ready").status, 503);
    // What could not be told is counted all the same.
    EXPECT_GT(service->view().sums[0].counted.rate, 0);
    files.room.reset();
    EXPECT_EQ(parts.ask(*service, parts.request("n1", 3, 1000))->verdict, Verdict::granted);
    EXPECT_EQ(parts.log.count("coordinator: grants are written again"), 1u);
    EXPECT_EQ(Parts::send(*service, "GET", "/ready").status, 200);
}

TEST(CoordinatorService, AChangeTakesWholesAndLeavesWhatBalancersHave) {
    Granting g;
    budget::Terms terms = Parts::terms();
    terms.term = std::chrono::seconds(9);
    terms.expected = 1;
    terms.budgets[0].whole = {900, 4};
    terms.budgets[0].reserve = {1, 1};
    terms.budgets.push_back({"more", budget::Counts::concurrency, "", "", "", {0, 5}, {}});
    g.service->change(terms);
    const budget::Terms& now = g.service->terms();
    EXPECT_EQ(now.term, std::chrono::seconds(1));
    EXPECT_EQ(now.expected, 3);
    ASSERT_EQ(now.budgets.size(), 2u);
    EXPECT_EQ(now.budgets[0].whole, (budget::Amount{900, 4}));
    EXPECT_EQ(now.budgets[0].reserve, (budget::Amount{100, 1}));
    terms.budgets[0].whole = {200, 4};  // less than three reserves
    EXPECT_THROW(g.service->change(terms), std::invalid_argument);
    EXPECT_EQ(g.service->terms().budgets[0].whole, (budget::Amount{900, 4}));
}

TEST(CoordinatorService, GrantsAreLoggedAheadOfTheirReply) {
    const std::string path = ::testing::TempDir() + "coordinator_grants_" + std::to_string(::getpid());
    GrantsLog grants;
    ASSERT_EQ(grants.open(path), 0);
    Granting g(&grants);
    EXPECT_EQ(g.parts.ask(*g.service, g.parts.request("n1", 1, 1000))->verdict, Verdict::granted);
    std::ifstream file(path);
    std::string line, more;
    ASSERT_TRUE(std::getline(file, line));
    EXPECT_FALSE(std::getline(file, more));
    const std::string now = std::to_string(g.parts.clock.at.count());
    for (const std::string& part :
         {"\"time_us\":" + now, std::string("\"holder\":\"n1\""), std::string("\"instance\":\"n1-1\""),
          std::string("\"budget\":\"b\""), std::string("\"seq\":1"), std::string("\"share\":["),
          "\"until_us\":" + std::to_string(g.parts.clock.at.count() + 1'001'000)}) {
        EXPECT_NE(line.find(part), line.npos) << part << " in " << line;
    }
    std::remove(path.c_str());
    // One that takes nothing: no reply.
    GrantsLog full;
    ASSERT_EQ(full.open("/dev/full"), 0);
    Granting other(&full);
    EXPECT_FALSE(other.parts.ask(*other.service, other.parts.request("n1", 1, 1000)));
    EXPECT_TRUE(other.parts.log.has("the grants' log: No space left on device"));
}

// Over connections of the front, as balancers come.
class CoordinatorConnections : public ::testing::Test {
protected:
    CoordinatorConnections() { front.listen(tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)); }
    struct Client {
        explicit Client(CoordinatorConnections& its) : socket(its.loop) {
            socket.connect(its.front.address());
            socket.non_blocking(true);
        }
        void say(const std::string& text) { boost::asio::write(socket, boost::asio::buffer(text)); }
        // Takes in what has come.
        std::size_t answers(const std::string& start) {
            char room[4096];
            for (;;) {
                boost::system::error_code error;
                const std::size_t n = socket.read_some(boost::asio::buffer(room), error);
                if (error && error != boost::asio::error::would_block) ended = true;
                if (error) break;
                in.append(room, n);
            }
            std::size_t count = 0;
            for (auto at = in.find(start); at != in.npos; at = in.find(start, at + 1)) ++count;
            return count;
        }
        tcp::socket socket;
        std::string in;
        bool ended = false;
    };
    static std::string post(const std::string& body) {
        return "POST /v1/leases HTTP/1.1\r\nHost: c\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }
    template <typename Happened>
    bool until(Happened happened) {
        return standins::run_until(loop, happened);
    }

    boost::asio::io_context loop{1};
    Granting g;
    loop::Clock clock;
    loop::Alarm alarm{loop.get_executor(), clock};
    core::Core core{clock, alarm, g.parts.log};
    http::Front front{loop.get_executor(), core, *g.service, clock, {}};
};

TEST_F(CoordinatorConnections, KeptDoubledCutAndUnknown) {
    Client kept(*this), cut(*this), huge(*this);
    const std::string request = post(encode(g.parts.request("n1", 1, 1000)));
    kept.say(request + request);  // the same bytes twice on one connection
    ASSERT_TRUE(until([&] { return kept.answers("HTTP/1.1 200") == 2; })) << kept.in;
    EXPECT_EQ(kept.answers("\"verdict\":\"granted\""), 1u);
    EXPECT_EQ(kept.answers("an older request than the last"), 1u);
    kept.say(post("{}"));
    ASSERT_TRUE(until([&] { return kept.answers("HTTP/1.1 400") == 1; })) << kept.in;
    EXPECT_EQ(kept.answers("holder: missing"), 1u);
    kept.say(post(encode(g.parts.request("n1", 2, 1000))));
    ASSERT_TRUE(until([&] { return kept.answers("HTTP/1.1 200") == 3; })) << "the connection goes on";

    // Cut within a request: nothing of it counts.
    const std::string third = post(encode(g.parts.request("n1", 3, 1000)));
    const std::string before = encode(g.service->view());
    cut.say(third.substr(0, third.size() - 1));
    cut.socket.shutdown(tcp::socket::shutdown_send);
    ASSERT_TRUE(until([&] { return cut.answers("x"), cut.ended; }));
    EXPECT_EQ(encode(g.service->view()), before);

    huge.say(post(std::string(message_most + 1, ' ')));
    ASSERT_TRUE(until([&] { return huge.answers("HTTP/1.1 413") == 1; })) << huge.in;
}

}  // namespace
}  // namespace flaxdoor::coordinator::test
