// Tests of the service by its messages and over real connections.
#include "coordinator/service.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <fstream>

#include "http/listener.h"
#include "loop/alarm.h"
#include "service_parts.h"
#include "standins/run_until.h"

namespace flaxdoor::coordinator::test {
namespace {

using boost::asio::ip::tcp;
using budget::Verdict;

// A service whose wait after the start is over.
struct ReadyService {
    explicit ReadyService(GrantLog* grants = nullptr) : service(parts.service(grants)) {
        parts.clock.at += Micros(2'500'000);
    }
    ServiceParts parts;
    std::unique_ptr<Service> service;
};

TEST(CoordinatorService, AnswersByPathAndMethod) {
    ReadyService ready;
    const std::string good = encode(ready.parts.request("n1", 1, 1000));
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
        EXPECT_EQ(ServiceParts::send(*ready.service, each.method, each.target, each.body).status, each.status)
            << each.method << " " << each.target << " " << each.body;
    }
    EXPECT_EQ(ServiceParts::send(*ready.service, "GET", "/ready", "", true).status, 503) << "while it drains";
}

TEST(CoordinatorService, WaitsThenGrants) {
    ServiceParts parts;
    auto service = parts.service();
    EXPECT_EQ(ServiceParts::send(*service, "GET", "/ready").status, 503);
    EXPECT_EQ(parts.ask(*service, parts.request("n1", 1, 5000))->verdict, Verdict::waiting);
    EXPECT_TRUE(parts.log.has("nothing is granted for 1001 ms: the store is empty"));
    parts.clock.at += Micros(1'100'000);
    EXPECT_EQ(ServiceParts::send(*service, "GET", "/ready").status, 200);
    const auto granted = parts.ask(*service, parts.request("n1", 2, 5000));
    ASSERT_EQ(granted->verdict, Verdict::granted);
    ASSERT_EQ(granted->grants.size(), 1u);
    EXPECT_GT(granted->grants[0].share.rate, 0);
}

TEST(CoordinatorService, DuplicateAndLateRequestsChangeNothing) {
    ReadyService ready;
    const auto first = ready.parts.request("n1", 5, 5000);
    EXPECT_EQ(ready.parts.ask(*ready.service, first)->verdict, Verdict::granted);
    const View before = ready.service->view();
    EXPECT_EQ(ready.parts.ask(*ready.service, first)->verdict, Verdict::waiting);
    EXPECT_EQ(ready.parts.ask(*ready.service, ready.parts.request("n1", 4, 1))->verdict, Verdict::waiting);
    EXPECT_EQ(encode(ready.service->view()), encode(before));
}

TEST(CoordinatorService, EachRefusalIsLoggedOnceAndInTheView) {
    ReadyService ready;
    auto older = ready.parts.request("n1", 1, 1000), later = older;
    later.instance = "n1-2";
    EXPECT_EQ(ready.parts.ask(*ready.service, older)->verdict, Verdict::granted);
    EXPECT_EQ(ready.parts.ask(*ready.service, later)->verdict, Verdict::granted);
    for (int i = 2; i < 5; ++i) {
        older.number = static_cast<std::uint64_t>(i);
        EXPECT_EQ(ready.parts.ask(*ready.service, older)->verdict, Verdict::name_taken);
    }
    auto mismatched = ready.parts.request("n2", 1, 1000);
    mismatched.needs[0].counts = budget::Counts::retries;
    EXPECT_EQ(ready.parts.ask(*ready.service, mismatched)->verdict, Verdict::at_odds);
    EXPECT_EQ(ready.parts.log.count("coordinator: n1 is the name of two processes: n1-1 is refused"), 1u);
    EXPECT_EQ(ready.parts.log.count("coordinator: n2 (n2-1): at_odds: b counts something else here"), 1u);
    EXPECT_EQ(ready.service->view().refused.size(), 2u);
    ready.parts.clock.at += Micros(61'000'000);
    EXPECT_EQ(ready.service->view().refused.size(), 0u);
}

TEST(CoordinatorService, StepsDownForAHigherEpoch) {
    ReadyService ready;
    EXPECT_EQ(ready.parts.ask(*ready.service, ready.parts.request("n1", 1, 1000))->verdict, Verdict::granted);
    auto request = ready.parts.request("n1", 2, 1000);
    request.epoch = 1'000'000;
    EXPECT_EQ(ready.parts.ask(*ready.service, request)->verdict, Verdict::stepped_down);
    EXPECT_EQ(ready.parts.ask(*ready.service, ready.parts.request("n2", 1, 1000))->verdict,
              Verdict::stepped_down);
    EXPECT_EQ(ready.parts.log.count("coordinator: stepped down"), 1u);
    EXPECT_EQ(ServiceParts::send(*ready.service, "GET", "/ready").status, 503);
    EXPECT_TRUE(ready.service->view().stepped_down);
}

// The disk becomes full, and later has space again.
TEST(CoordinatorService, FullDisk) {
    store::test::SimFiles files;
    ServiceParts parts;
    parts.files = std::make_unique<BorrowedFiles>(files);
    auto service = parts.service();
    parts.clock.at += Micros(2'500'000);
    files.room = files.disk().bytes();
    EXPECT_FALSE(parts.ask(*service, parts.request("n1", 1, 1000)));
    EXPECT_FALSE(parts.ask(*service, parts.request("n1", 2, 1000)));
    EXPECT_EQ(parts.log.count("coordinator: nothing is granted: the store: "), 1u);
    EXPECT_EQ(ServiceParts::send(*service, "GET", "/ready").status, 503);
    // A grant whose reply could not be sent is counted nevertheless.
    EXPECT_GT(service->view().sums[0].counted.rate, 0);
    files.room.reset();
    EXPECT_EQ(parts.ask(*service, parts.request("n1", 3, 1000))->verdict, Verdict::granted);
    EXPECT_EQ(parts.log.count("coordinator: grants are written again"), 1u);
    EXPECT_EQ(ServiceParts::send(*service, "GET", "/ready").status, 200);
}

TEST(CoordinatorService, ChangeAppliesWholesAndKeepsWhatBalancersReadAtTheirStart) {
    ReadyService ready;
    budget::BudgetConfig terms = ServiceParts::terms();
    terms.lease_term = std::chrono::seconds(9);
    terms.expected_balancers = 1;
    terms.budgets[0].whole = {900, 4};
    terms.budgets[0].reserve = {1, 1};
    terms.budgets.push_back({"more", budget::Counts::concurrency, "", "", "", {0, 5}, {}});
    ready.service->update_budgets(terms);
    const budget::BudgetConfig& now = ready.service->terms();
    EXPECT_EQ(now.lease_term, std::chrono::seconds(1));
    EXPECT_EQ(now.expected_balancers, 3);
    ASSERT_EQ(now.budgets.size(), 2u);
    EXPECT_EQ(now.budgets[0].whole, (budget::Amount{900, 4}));
    EXPECT_EQ(now.budgets[0].reserve, (budget::Amount{100, 1}));
    terms.budgets[0].whole = {200, 4};  // less than three reserves
    EXPECT_THROW(ready.service->update_budgets(terms), std::invalid_argument);
    EXPECT_EQ(ready.service->terms().budgets[0].whole, (budget::Amount{900, 4}));
}

TEST(CoordinatorService, GrantsAreLoggedBeforeTheirReply) {
    const std::string path = ::testing::TempDir() + "coordinator_grants_" + std::to_string(::getpid());
    GrantLog grants;
    ASSERT_EQ(grants.open(path), 0);
    ReadyService ready(&grants);
    EXPECT_EQ(ready.parts.ask(*ready.service, ready.parts.request("n1", 1, 1000))->verdict, Verdict::granted);
    std::ifstream file(path);
    std::string line, more;
    ASSERT_TRUE(std::getline(file, line));
    EXPECT_FALSE(std::getline(file, more));
    const std::string now = std::to_string(ready.parts.clock.at.count());
    for (const std::string& part :
         {"\"time_us\":" + now, std::string("\"holder\":\"n1\""), std::string("\"instance\":\"n1-1\""),
          std::string("\"budget\":\"b\""), std::string("\"seq\":1"), std::string("\"share\":["),
          "\"until_us\":" + std::to_string(ready.parts.clock.at.count() + 1'001'000)}) {
        EXPECT_NE(line.find(part), line.npos) << part << " in " << line;
    }
    std::remove(path.c_str());
    // If the log can't be written, no reply is sent.
    GrantLog full;
    ASSERT_EQ(full.open("/dev/full"), 0);
    ReadyService other(&full);
    EXPECT_FALSE(other.parts.ask(*other.service, other.parts.request("n1", 1, 1000)));
    EXPECT_TRUE(other.parts.log.has("the grants log: No space left on device"));
}

// Sends requests over connections to the HTTP listener, as balancers do.
class CoordinatorConnections : public ::testing::Test {
protected:
    CoordinatorConnections() { front.listen(tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)); }
    struct Client {
        explicit Client(CoordinatorConnections& owner) : socket(owner.loop) {
            socket.connect(owner.front.address());
            socket.non_blocking(true);
        }
        void send(const std::string& text) { boost::asio::write(socket, boost::asio::buffer(text)); }
        // Reads what has arrived. Returns how often `start` has been received so far.
        std::size_t count_received(const std::string& start) {
            char buffer[4096];
            for (;;) {
                boost::system::error_code error;
                const std::size_t n = socket.read_some(boost::asio::buffer(buffer), error);
                if (error && error != boost::asio::error::would_block) closed = true;
                if (error) break;
                input.append(buffer, n);
            }
            std::size_t count = 0;
            for (auto at = input.find(start); at != input.npos; at = input.find(start, at + 1)) ++count;
            return count;
        }
        tcp::socket socket;
        std::string input;
        bool closed = false;
    };
    static std::string post(const std::string& body) {
        return "POST /v1/leases HTTP/1.1\r\nHost: c\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }
    template <typename Happened>
    bool run_until(Happened happened) {
        return standins::run_until(loop, happened);
    }

    boost::asio::io_context loop{1};
    ReadyService ready;
    loop::Clock clock;
    loop::Alarm alarm{loop.get_executor(), clock};
    core::Core core{clock, alarm, ready.parts.log};
    http::Listener front{loop.get_executor(), core, *ready.service, clock, {}};
};

TEST_F(CoordinatorConnections, PersistentDuplicateTruncatedAndInvalidRequests) {
    Client kept(*this), truncated(*this), oversized(*this);
    const std::string request = post(encode(ready.parts.request("n1", 1, 1000)));
    kept.send(request + request);  // the same request twice on one connection
    ASSERT_TRUE(run_until([&] { return kept.count_received("HTTP/1.1 200") == 2; })) << kept.input;
    EXPECT_EQ(kept.count_received("\"verdict\":\"granted\""), 1u);
    EXPECT_EQ(kept.count_received("an older request than the last"), 1u);
    kept.send(post("{}"));
    ASSERT_TRUE(run_until([&] { return kept.count_received("HTTP/1.1 400") == 1; })) << kept.input;
    EXPECT_EQ(kept.count_received("holder: missing"), 1u);
    kept.send(post(encode(ready.parts.request("n1", 2, 1000))));
    ASSERT_TRUE(run_until([&] { return kept.count_received("HTTP/1.1 200") == 3; }))
        << "the connection stays open";

    // A truncated request has no effect.
    const std::string third = post(encode(ready.parts.request("n1", 3, 1000)));
    const std::string before = encode(ready.service->view());
    truncated.send(third.substr(0, third.size() - 1));
    truncated.socket.shutdown(tcp::socket::shutdown_send);
    ASSERT_TRUE(run_until([&] { return truncated.count_received("x"), truncated.closed; }));
    EXPECT_EQ(encode(ready.service->view()), before);

    oversized.send(post(std::string(max_message_size + 1, ' ')));
    ASSERT_TRUE(run_until([&] { return oversized.count_received("HTTP/1.1 413") == 1; })) << oversized.input;
}

}  // namespace
}  // namespace flaxdoor::coordinator::test
