// Each call on a socket that a program makes in a fixed course of requests fails once, one after the other,
// and then many in a row. Whatever it was: every client gets one whole answer, or the end of its connection
// with nothing sent on for it; nothing unsafe runs twice; and the next plain request is served.
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

// What a client may meet with because of a failure.
enum class Bound {
    answered,  // a whole answer, whichever
    cut,       // or the end of its connection, when nothing was sent on for it
    broken     // or its end, as when the network had broken it
};

// Upstreams and discovery that answer at once, clients that ask and note what they get.
class Course {
public:
    Course(const std::string& plan, Bound bound) : bound_(bound), blames_(has(plan, "connected:")) {
        s_.environment = {
            {"LD_PRELOAD", SUITE_FAULTS}, {"FLAXDOOR_CALLS", counts_.path()}, {"FLAXDOOR_FAIL", plan}};
        std::string options = "verify_asan_link_order=0";  // the library comes ahead of the sanitizer's
        if (const char* const usual = std::getenv("ASAN_OPTIONS")) options = usual + (":" + options);
        s_.environment.emplace_back("ASAN_OPTIONS", options);
    }

    ~Course() {
        if (!testing::Test::HasFailure() && std::uncaught_exceptions() == 0) return;
        for (const auto& a : asked_) {
            std::cerr << a.id << " of client " << a.client << ": sent " << sent_[a.id] << " times, told "
                      << status(a.answer) << '\n';
        }
    }
    Course(const Course&) = delete;
    Course& operator=(const Course&) = delete;

    void run() {
        const auto told = s_.form->start({s_.config.dump(), {}, s_.environment});
        if (!told) {  // it could not even begin: it says so and ends
            EXPECT_EQ(s_.form->status(), 1);
            EXPECT_EQ(s_.logged("flaxdoor: "), 1U);
            EXPECT_GT(counts_.failed(), 0U);
            return;
        }
        s_.address = *told;
        ask({{0, Kind::look}});
        ask({{0, Kind::once}, {1, Kind::keyed}, {2, Kind::look}});
        ask({{0, Kind::look}, {1, Kind::once}});
        clients_[1]->close();
        clients_.erase(1);
        ask({{1, Kind::once}, {0, Kind::once}});
        ask({{1, Kind::look}});
        serves_on();
        judge();
    }

    // What is held ends in order, too.
    void end() {
        for (const auto& [client, wire] : clients_) wire->close();
        s_.end();
        s_.until_ended();
    }

    const CountsFile& counts() const { return counts_; }

private:
    enum class Kind { look, once, keyed };
    struct Asked {
        int client = 0;
        Kind kind{};
        std::string id;
        std::string answer;  // empty: its connection ended
    };

    void ask(std::vector<std::pair<int, Kind>> whom, int budget_ms = 600) {
        const std::size_t first = asked_.size();
        for (const auto& [client, kind] : whom) {
            auto& wire = clients_[client];
            if (!wire || wire->ended) wire = s_.client();
            const std::string id = std::to_string(asked_.size()) + "-n";
            wire->say(kind == Kind::look   ? s_.look(budget_ms, id)
                      : kind == Kind::once ? s_.once(budget_ms, "body", id)
                                           : s_.keyed(budget_ms, id));
            asked_.push_back({client, kind, id, {}});
        }
        s_.until([&] {
            serve();
            bool all = true;
            for (std::size_t i = first; i < asked_.size(); ++i) {
                Asked& a = asked_[i];
                const auto& wire = clients_[a.client];
                if (a.answer.empty()) a.answer = wire->take();
                all = all && (!a.answer.empty() || wire->ended);
            }
            return all;
        });
    }

    void serve() {
        while (true) {
            const auto [wire, request] = s_.request_here();
            if (!wire) break;
            const auto id = header(request, "X-Call-Id");
            ++sent_[id];
            // Every other connection ends with its answer, so that new ones are made under way.
            wire->say(ok(id, ++served_ % 2 == 0 ? "Connection: close\r\n" : ""));
        }
        for (const auto& watch : s_.discovery.wires) {
            if (has(watch->in, "\r\n\r\n") && watches_.insert(watch).second)
                watch->say(watch_head + chunk("\n"));
        }
    }

    // A plain request of a new client is served. It may itself be what meets with the failure: then the next.
    // Where connections to an upstream were what failed, it may be kept out for a while: then the next, too.
    void serves_on() {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(100);
        unsigned before = 0;
        do {
            before = counts_.failed();
            clients_[9] = nullptr;
            ask({{9, Kind::look}}, 5000);
        } while (status(asked_.back().answer) != 200 &&
                 (counts_.failed() > before || (blames_ && std::chrono::steady_clock::now() < limit)));
        EXPECT_EQ(status(asked_.back().answer), 200);
        s_.until([&] {
            serve();
            return std::any_of(watches_.begin(), watches_.end(), [](const auto& w) { return !w->ended; });
        });
    }

    void judge() {
        serve();
        for (const auto& a : asked_) {
            const int sent = sent_[a.id];
            const int told = status(a.answer);
            if (a.kind == Kind::once) {
                EXPECT_LE(sent, 1) << a.id;
            }
            if (told == 200) {
                EXPECT_EQ(body(a.answer), a.id);
                EXPECT_GE(sent, 1) << a.id;
            }
            if (refused(a.answer) && a.kind == Kind::once) {
                EXPECT_EQ(sent, 0) << a.id;
            }
            if (told != 0) continue;
            EXPECT_NE(bound_, Bound::answered) << a.id << " was not answered";
            if (bound_ == Bound::cut) {
                EXPECT_EQ(sent, 0) << a.id;
            }
        }
        for (const auto& [client, wire] : clients_) EXPECT_EQ(wire->in, "");  // nothing after the answers
    }

    const Bound bound_;
    const bool blames_;  // an upstream may be what failed
    CountsFile counts_;
    Stage s_;
    std::map<int, std::shared_ptr<Wire>> clients_;
    std::vector<Asked> asked_;
    std::map<std::string, int> sent_;  // by id: how often the whole request came to an upstream
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

TEST_P(SocketFailures, OneAfterTheOther) {
    unsigned calls = 0;
    {
        Course clean("", Bound::answered);
        clean.run();
        calls = clean.counts().made(GetParam().call);
    }
    ASSERT_GT(calls, 0U);
    unsigned met = 0;
    for (unsigned n = 0; n < calls; ++n) {
        const std::string plan = name() + ":" + std::to_string(n) + ":" + GetParam().error;
        SCOPED_TRACE(plan);
        Course course(plan, GetParam().bound);
        try {
            course.run();
        } catch (const std::exception& error) {
            ADD_FAILURE() << error.what();
        }
        met += course.counts().failed();
        if (HasFailure()) return;
    }
    // Not each course makes the same number of calls, but nearly all of them must have met with theirs.
    EXPECT_GE(met, calls / 2);
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

// Many in a row, and several kinds together: while it lasts and afterwards.
class ManySocketFailures : public testing::TestWithParam<Plan> {};

TEST_P(ManySocketFailures, Pass) {
    Course course(GetParam().plan, GetParam().bound);
    course.run();
    EXPECT_GT(course.counts().failed(), 2U);
    course.end();
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

// Fault: what this side is short of counts against the upstreams, which are put out for a while. (Run with
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
