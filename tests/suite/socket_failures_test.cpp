// Injects failures into the socket calls that the balancer makes during a fixed sequence of requests: each call once,
// one run per call, and then several calls in a row. In all cases every client gets one complete response, or the end
// of its connection with nothing forwarded; no unsafe request is sent twice; and the next plain request is served.
#include <algorithm>
#include <cstdlib>
#include <map>
#include <ostream>
#include <set>

#include "peers.h"
#include "standins/socket_faults/counts_file.h"

namespace flaxdoor::test {
namespace {

using standins::sockets::Call;
using standins::sockets::call_names;
using standins::sockets::CountsFile;

// The worst effect that a failure may have on a client.
enum class Bound {
    answered,  // a complete response with any status
    cut,       // or the end of its connection, with nothing forwarded
    broken     // or the end of its connection, as after a network failure
};

// One run of the request sequence: upstreams and discovery respond at once, and the clients record their responses.
class RequestSequence {
public:
    RequestSequence(const std::string& plan, Bound bound)
        : bound_(bound), may_eject_upstream_(has(plan, "connected:")) {
        fixture_.environment = {
            {"LD_PRELOAD", SUITE_FAULTS}, {"FLAXDOOR_CALLS", counts_.path()}, {"FLAXDOOR_FAIL", plan}};
        std::string options = "verify_asan_link_order=0";  // the preloaded library precedes the sanitizer's
        if (const char* const configured = std::getenv("ASAN_OPTIONS"))
            options = configured + (":" + options);
        fixture_.environment.emplace_back("ASAN_OPTIONS", options);
    }

    ~RequestSequence() {
        if (!testing::Test::HasFailure() && std::uncaught_exceptions() == 0) return;
        for (const auto& request : requests_) {
            std::cerr << request.id << " of client " << request.client << ": sent " << sent_[request.id]
                      << " times, status " << status(request.answer) << '\n';
        }
    }
    RequestSequence(const RequestSequence&) = delete;
    RequestSequence& operator=(const RequestSequence&) = delete;

    void run() {
        const auto address = fixture_.form->start({fixture_.config.dump(), {}, fixture_.environment});
        if (!address) {  // the failure prevented the start, and the balancer must log that and exit
            EXPECT_EQ(fixture_.form->status(), 1);
            EXPECT_EQ(fixture_.logged("flaxdoor: "), 1U);
            EXPECT_GT(counts_.failed(), 0U);
            return;
        }
        fixture_.address = *address;
        ask({{0, Kind::look}});
        ask({{0, Kind::once}, {1, Kind::keyed}, {2, Kind::look}});
        ask({{0, Kind::look}, {1, Kind::once}});
        clients_[1]->close();
        clients_.erase(1);
        ask({{1, Kind::once}, {0, Kind::once}});
        ask({{1, Kind::look}});
        expect_still_serving();
        check_results();
    }

    // Shuts the balancer down gracefully while connections are open.
    void end() {
        for (const auto& [client, wire] : clients_) wire->close();
        fixture_.shut_down();
        fixture_.until_exited();
    }

    const CountsFile& counts() const { return counts_; }

private:
    enum class Kind { look, once, keyed };
    struct RecordedRequest {
        int client = 0;
        Kind kind{};
        std::string id;
        std::string answer;  // empty: the connection ended
    };

    void ask(std::vector<std::pair<int, Kind>> clients_and_kinds, int budget_ms = 600) {
        const std::size_t first = requests_.size();
        for (const auto& [client, kind] : clients_and_kinds) {
            auto& wire = clients_[client];
            if (!wire || wire->ended) wire = fixture_.client();
            const std::string id = std::to_string(requests_.size()) + "-n";
            wire->send(kind == Kind::look   ? fixture_.look(budget_ms, id)
                       : kind == Kind::once ? fixture_.once(budget_ms, "body", id)
                                            : fixture_.keyed(budget_ms, id));
            requests_.push_back({client, kind, id, {}});
        }
        fixture_.until([&] {
            serve();
            bool all = true;
            for (std::size_t i = first; i < requests_.size(); ++i) {
                RecordedRequest& request = requests_[i];
                const auto& wire = clients_[request.client];
                if (request.answer.empty()) request.answer = wire->take();
                all = all && (!request.answer.empty() || wire->ended);
            }
            return all;
        });
    }

    void serve() {
        while (true) {
            const auto [wire, request] = fixture_.received_request();
            if (!wire) break;
            const auto id = header(request, "X-Call-Id");
            ++sent_[id];
            // Closes every other connection with its response, so that the sequence includes new connections.
            wire->send(ok(id, ++served_ % 2 == 0 ? "Connection: close\r\n" : ""));
        }
        for (const auto& watch : fixture_.discovery.wires) {
            if (has(watch->in, "\r\n\r\n") && watches_.insert(watch).second)
                watch->send(watch_head + chunk("\n"));
        }
    }

    // Expects that a plain request of a new client is served. The request may meet the injected failure itself; then
    // the next one must be served. After failed upstream connections, an upstream may be ejected for a while, so
    // further requests may be needed.
    void expect_still_serving() {
        const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(100);
        unsigned before = 0;
        do {
            before = counts_.failed();
            clients_[9] = nullptr;
            ask({{9, Kind::look}}, 5000);
        } while (status(requests_.back().answer) != 200 &&
                 (counts_.failed() > before ||
                  (may_eject_upstream_ && std::chrono::steady_clock::now() < give_up_at)));
        EXPECT_EQ(status(requests_.back().answer), 200);
        fixture_.until([&] {
            serve();
            return std::any_of(watches_.begin(), watches_.end(), [](const auto& w) { return !w->ended; });
        });
    }

    void check_results() {
        serve();
        for (const auto& request : requests_) {
            const int sent = sent_[request.id];
            const int response_status = status(request.answer);
            if (request.kind == Kind::once) {
                EXPECT_LE(sent, 1) << request.id;
            }
            if (response_status == 200) {
                EXPECT_EQ(body(request.answer), request.id);
                EXPECT_GE(sent, 1) << request.id;
            }
            if (refused(request.answer) && request.kind == Kind::once) {
                EXPECT_EQ(sent, 0) << request.id;
            }
            if (response_status != 0) continue;
            EXPECT_NE(bound_, Bound::answered) << request.id << " was not answered";
            if (bound_ == Bound::cut) {
                EXPECT_EQ(sent, 0) << request.id;
            }
        }
        for (const auto& [client, wire] : clients_) EXPECT_EQ(wire->in, "");  // nothing follows the responses
    }

    const Bound bound_;
    const bool may_eject_upstream_;  // the injected failure may be attributed to an upstream
    CountsFile counts_;
    BalancerFixture fixture_;
    std::map<int, std::shared_ptr<Wire>> clients_;
    std::vector<RecordedRequest> requests_;
    std::map<std::string, int> sent_;  // by id: how often upstreams received the complete request
    std::set<std::shared_ptr<Wire>> watches_;
    int served_ = 0;
};

struct Case {
    Call call;
    const char* error;
    Bound bound;
};

void PrintTo(const Case& c, std::ostream* out) {
    *out << call_names[static_cast<std::size_t>(c.call)] << ' ' << c.error;
}

class SocketFailures : public testing::TestWithParam<Case> {
protected:
    std::string name() const { return std::string(call_names[static_cast<std::size_t>(GetParam().call)]); }
};

TEST_P(SocketFailures, EachCallOnce) {
    unsigned calls = 0;
    {
        RequestSequence without_failures("", Bound::answered);
        without_failures.run();
        calls = without_failures.counts().made(GetParam().call);
    }
    ASSERT_GT(calls, 0U);
    unsigned failures_met = 0;
    for (unsigned n = 0; n < calls; ++n) {
        const std::string plan = name() + ":" + std::to_string(n) + ":" + GetParam().error;
        SCOPED_TRACE(plan);
        RequestSequence sequence(plan, GetParam().bound);
        try {
            sequence.run();
        } catch (const std::exception& error) {
            ADD_FAILURE() << error.what();
        }
        failures_met += sequence.counts().failed();
        if (HasFailure()) return;
    }
    // The number of calls varies between runs, but most runs must have met their failure.
    EXPECT_GE(failures_met, calls / 2);
}

INSTANTIATE_TEST_SUITE_P(
    Each, SocketFailures,
    testing::Values(
        Case{Call::accept, "EMFILE", Bound::answered}, Case{Call::accept, "ENFILE", Bound::answered},
        Case{Call::accept, "ENOBUFS", Bound::answered}, Case{Call::accept, "ENOMEM", Bound::answered},
        Case{Call::accept, "ECONNABORTED", Bound::answered}, Case{Call::accept, "EPROTO", Bound::answered},
        Case{Call::accept, "EPERM", Bound::answered}, Case{Call::accept, "EINTR", Bound::answered},
        Case{Call::socket, "EMFILE", Bound::answered}, Case{Call::socket, "ENOBUFS", Bound::answered},
        Case{Call::connect, "EADDRNOTAVAIL", Bound::answered},
        Case{Call::connect, "ENETUNREACH", Bound::answered}, Case{Call::connect, "ENOBUFS", Bound::answered},
        Case{Call::connected, "ECONNREFUSED", Bound::answered},
        Case{Call::connected, "ETIMEDOUT", Bound::answered}, Case{Call::write, "EINTR", Bound::answered},
        Case{Call::write, "EAGAIN", Bound::answered}, Case{Call::write, "SHORT", Bound::answered},
        Case{Call::write, "EPIPE", Bound::broken}, Case{Call::write, "ENOBUFS", Bound::broken},
        Case{Call::read, "EINTR", Bound::answered}, Case{Call::read, "SHORT", Bound::answered},
        Case{Call::read, "ECONNRESET", Bound::broken}, Case{Call::read, "ENOMEM", Bound::broken},
        Case{Call::epoll_ctl, "ENOMEM", Bound::cut}, Case{Call::epoll_ctl, "ENOSPC", Bound::cut},
        Case{Call::epoll_wait, "EINTR", Bound::answered}),
    [](const auto& info) {
        return std::string(call_names[static_cast<std::size_t>(info.param.call)]) + "_" + info.param.error;
    });

struct Plan {
    const char* name;
    const char* plan;
    Bound bound;
};

void PrintTo(const Plan& p, std::ostream* out) { *out << p.plan; }

// Several failures in a row and of several kinds together, during the failures and afterwards.
class ManySocketFailures : public testing::TestWithParam<Plan> {};

TEST_P(ManySocketFailures, Pass) {
    RequestSequence sequence(GetParam().plan, GetParam().bound);
    sequence.run();
    EXPECT_GT(sequence.counts().failed(), 2U);
    sequence.end();
}

const auto name_of_plan = [](const auto& info) { return std::string(info.param.name); };

INSTANTIATE_TEST_SUITE_P(
    Some, ManySocketFailures,
    testing::Values(Plan{"NoDescriptorToAccept", "accept:1..25:EMFILE", Bound::answered},
                    Plan{"AbortedBeforeAccept", "accept:0..9:ECONNABORTED", Bound::answered},
                    Plan{"NoPortToConnect", "connect:2..7:EADDRNOTAVAIL", Bound::answered},
                    Plan{"RefusedConnections", "connected:1..4:ECONNREFUSED", Bound::answered},
                    Plan{"ShortWrites", "write:2..40:SHORT", Bound::answered},
                    Plan{"ShortReads", "read:0..400:SHORT", Bound::answered},
                    Plan{"Interrupted", "read:0..99:EINTR,write:0..99:EINTR", Bound::answered},
                    Plan{"NoBuffersToWrite", "write:6..11:ENOBUFS", Bound::broken},
                    Plan{"NoMemoryToRead", "read:12..30:ENOMEM", Bound::broken}),
    name_of_plan);

// Fault: a local shortage of resources counted against the upstreams, which were ejected for a while. (Run with
// FLAXDOOR_SUITE_FAULTS.)
INSTANTIATE_TEST_SUITE_P(Faults, ManySocketFailures,
                         testing::Values(Plan{"NoDescriptorToConnect", "socket:2..9:EMFILE", Bound::answered},
                                         Plan{"NoMemoryToWatch", "epoll_ctl:3..12:ENOMEM", Bound::cut},
                                         Plan{"SeveralShortages",
                                              "accept:1..6:ENFILE,socket:2..7:ENFILE,epoll_ctl:4..9:ENOMEM",
                                              Bound::cut}),
                         name_of_plan);

}  // namespace
}  // namespace flaxdoor::test
