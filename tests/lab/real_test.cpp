// Real mode: the scale, the open loop under a client that was held up (a fake clock), what can't be played, and
// short runs of the daemon with stand-ins, judged.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <cmath>
#include <cstring>
#include <nlohmann/json.hpp>

#include "experiment/plan.h"
#include "fleet/parts.h"
#include "judge/judge.h"
#include "real/callers.h"
#include "real/compare.h"
#include "real/daemon.h"
#include "real/links.h"
#include "real/play.h"
#include "real/scale.h"
#include "run/figures.h"
#include "standins/run_until.h"

namespace flaxdoor::lab::real {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Patient clients and little to do: no verdict hangs on how fast this machine is.
Experiment patient(Effect effect = Effect::safe) {
    Experiment e;
    e.name = "patient";
    e.classes.resize(1);
    e.classes[0].told = {.name = "look"};
    e.classes[0].told.aim = milliseconds(200);
    e.classes[0].told.deadline = seconds(20);
    e.classes[0].told.effect = effect;
    if (effect == Effect::keyed) e.classes[0].told.window = seconds(60);
    e.classes[0].work = {Law::fixed, milliseconds(2), 1};
    e.settles = Micros{0};
    e.lasts = milliseconds(1200);
    e.fleet.balancers = 1;
    e.servers.count = 2;
    e.servers.speed_least = e.servers.speed_most = 1;
    e.clients.count = 20;
    e.clients.rate = 60;
    e.clients.patience_least = 1;
    return e;
}

Trouble trouble(Trouble::Kind kind, Micros at, Micros lasts) {
    Trouble t;
    t.name = "t";
    t.kind = kind;
    t.at = at;
    t.lasts = lasts;
    t.share = 0.5;
    return t;
}

// --------------------------------------------------------------------------------------------------- scale

TEST(Scale, KeepsEachServersLoadAndTheOrderOfTroubles) {
    Experiment e = patient();
    e.fleet.balancers = 30;
    e.servers.count = 36;
    e.clients.rate = 2000;
    e.lasts = seconds(40);
    e.settles = seconds(8);
    e.troubles = {trouble(Trouble::Kind::crash, seconds(10), seconds(16))};
    e.real_part = {.balancers = 2, .servers = 9, .lasts = seconds(10), .rate_share = 0.5};
    const Experiment part = scaled(e);
    EXPECT_EQ(part.fleet.balancers, 2);
    EXPECT_EQ(part.servers.count, 9);
    EXPECT_DOUBLE_EQ(part.clients.rate / part.servers.count, 0.5 * e.clients.rate / e.servers.count);
    EXPECT_EQ(part.troubles[0].at, milliseconds(2500));
    EXPECT_EQ(part.troubles[0].lasts, seconds(4));
    EXPECT_EQ(part.settles, milliseconds(2500));
    EXPECT_EQ(part.classes[0].work.mean, e.classes[0].work.mean);
    EXPECT_EQ(scale_text(e, part),
              "2 of 30 balancers, 9 of 36 servers, 250 of 2000 calls a second, 10 of 40 s");
    // What there is less of than may be real is taken whole.
    const Experiment all = scaled(patient());
    EXPECT_EQ(all.servers.count, 2);
    EXPECT_DOUBLE_EQ(all.clients.rate, patient().clients.rate);
    EXPECT_EQ(all.lasts, patient().lasts);
}

// ----------------------------------------------------------------------------------------------- histogram

class Histogram : public testing::TestWithParam<Draw> {};

// Never under the latency of that rank, and at most 1/128 over it.
TEST_P(Histogram, StandsWithinItsErrorOfTheExactRank) {
    Stream stream(11, Whose::call, 1);
    standins::Latencies histogram;
    std::vector<std::int64_t> exact;
    for (int i = 0; i < 20'000; ++i) {
        const Micros took = drawn(GetParam(), stream);
        exact.push_back(took.count());
        histogram.add(took);
    }
    std::sort(exact.begin(), exact.end());
    for (const double q : {0.001, 0.1, 0.5, 0.9, 0.99, 0.999, 1.0}) {
        const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(exact.size()))) - 1;
        const auto shown = histogram.quantile(q).count();
        EXPECT_GE(shown, exact[rank]) << q;
        EXPECT_LE(shown, exact[rank] + exact[rank] / 128) << q;
    }
}
INSTANTIATE_TEST_SUITE_P(Real, Histogram,
                         testing::Values(Draw{Law::exponential, milliseconds(20), 1},
                                         Draw{Law::lognormal, milliseconds(5), 1.5},
                                         Draw{Law::pareto, seconds(1), 1.2}));

// ----------------------------------------------------------------------------------------------- open loop

struct Held final : Wires {
    void send(std::uint32_t, std::uint64_t call, const standins::Call&) override { calls.push_back(call); }
    void leave(std::uint64_t) override {}
    std::vector<std::uint64_t> calls;
};

Figures figures_of(const Experiment& e, const std::vector<Record>& records) {
    Terms terms;
    terms.classes = {{.name = "look", .deadline_us = 20'000'000}};
    terms.lasts_us = static_cast<std::uint64_t>(e.lasts.count());
    Counter counter(terms, 0);
    for (const Record& record : records) counter.put(record);
    return counter.finish();
}

struct Stall {
    const char* name;
    std::uint64_t woken, answered;  // us: when the client runs for the first time, and when all answers come
};
class OpenLoop : public testing::TestWithParam<Stall> {};

// A call each 10 ms for a second. Whoever stands still, the client or what it asks, each call counts from when it
// was due: the k-th of 100 took (answered - 10 ms k), and half of them took half a second.
TEST_P(OpenLoop, CountsFromWhenACallWasDue) {
    const Experiment e = patient();
    Script script(e);
    for (std::uint32_t k = 0; k < 100; ++k)
        script.calls.push_back(
            {k * 10'000ULL, std::uint64_t{k + 1} << 32U | 1U, k, 0, -1, 0, 0, milliseconds(1)});
    Recorder recorder;
    Held wires;
    const std::vector<std::uint8_t> zones{0};
    Callers callers(e, script, zones, recorder, wires);
    callers.front_takes(0);
    for (std::uint64_t now = GetParam().woken; callers.next() && *callers.next() < 1'000'000;
         now = std::max(now, *callers.next())) {
        callers.advance(now);
        if (now >= GetParam().answered) break;
    }
    ASSERT_EQ(wires.calls.size(), 100u);  // none waits for the answer of another
    const std::uint64_t answered = GetParam().answered;
    for (const std::uint64_t call : wires.calls) {
        callers.taken(call, answered);
        callers.answered(call, Verdict::served, Micros{0}, answered);
    }
    EXPECT_TRUE(callers.done());
    EXPECT_EQ(callers.lag_most(), GetParam().woken);
    const Figures figures = figures_of(e, recorder.finish());
    EXPECT_EQ(figures.latency_all.count(), 100u);
    for (const double q : {0.01, 0.5, 0.99, 1.0}) {
        // The latency of that rank, exactly: the k-th shortest is of the k-th last.
        const double exact = static_cast<double>(answered) - 1'000'000 + std::ceil(q * 100) * 10'000;
        const auto shown = static_cast<double>(figures.latency_all.quantile(q).count());
        EXPECT_GE(shown, exact) << q;
        EXPECT_LE(shown, exact * (1 + 1.0 / 128) + 1) << q;
    }
}
INSTANTIATE_TEST_SUITE_P(Real, OpenLoop,
                         testing::Values(Stall{"ServerStandsStill", 0, 1'000'000},
                                         Stall{"ClientStandsStill", 1'000'000, 1'000'100}),
                         [](const auto& its) { return its.param.name; });

// Bytes that were under way when a balancer was killed reach a node after its death.
TEST(Records, WhatAKilledBalancerHadWrittenWasSentBeforeItsDeath) {
    Recorder recorder;
    recorder.note(10, Event::killed, 0);
    recorder.note(14, Event::sending, 0, 1, 7, 1);
    recorder.note(20, Event::came_up, 0);
    recorder.note(25, Event::sending, 0, 1, 8, 1);
    std::vector<std::pair<Event, std::uint64_t>> seen;
    for (const Record& each : recorder.finish()) seen.emplace_back(each.event, each.at);
    EXPECT_EQ(seen, (std::vector<std::pair<Event, std::uint64_t>>{{Event::sending, 10},
                                                                  {Event::killed, 10},
                                                                  {Event::came_up, 20},
                                                                  {Event::sending, 25},
                                                                  {Event::over, 25}}));
}

// --------------------------------------------------------------------------------------------- what is refused

struct Refused {
    const char* name;
    const char* more;
    const char* says;
};
class RealFile : public testing::TestWithParam<Refused> {};

TEST_P(RealFile, IsRefusedWithLineAndMend) {
    const std::string head = "[experiment]\nname = \"x\"\nreal = true\n";
    const std::string tail = "\n[[class]]\nname = \"look\"\n";
    auto read = read_plan_text(head + GetParam().more + tail);
    const auto* const faults = std::get_if<settings::Faults>(&read);
    ASSERT_TRUE(faults);
    const std::string text = faults->text("file");
    EXPECT_NE(text.find(GetParam().says), std::string::npos) << text;
    EXPECT_EQ(text.rfind("file:", 0), 0u) << text;
    EXPECT_NE(text.find("; "), std::string::npos) << text;  // the mend
    // Without real it can be played.
    EXPECT_TRUE(std::holds_alternative<Plan>(
        read_plan_text("[experiment]\nname = \"x\"\n" + std::string(GetParam().more) + tail)));
}
INSTANTIATE_TEST_SUITE_P(
    Real, RealFile,
    testing::Values(
        Refused{"ZoneCut",
                "[[zone]]\nname = \"a\"\n[[trouble]]\nname = \"t\"\nkind = \"zone_cut\"\non = \"a\"\n",
                "file:8:8: real = true: stand-ins on one machine can't play \"zone_cut\""},
        Refused{"AnswersLost", "[[trouble]]\nname = \"t\"\nkind = \"answers_lost\"\n", "\"answers_lost\""},
        Refused{"ServerBeyond", "[[trouble]]\nname = \"t\"\nkind = \"slow\"\non = \"server 9\"\n",
                "file:7:6: real = true: \"server 9\" is not among the 6"},
        Refused{"Door", "[fleet]\ndoor = true\n", "file:5:8: real = true: the daemons have no door"},
        Refused{"AskedRoster", "[roster]\nmode = \"asked\"\n", "file:5:8: real = true: only a pushed roster"},
        Refused{"Postgres", "[postgres]\nrate = 5.0\n", "PostgreSQL"},
        Refused{"TwoWindows",
                "[[class]]\nname = \"a\"\neffect = \"keyed\"\nwindow = \"1s\"\n"
                "[[class]]\nname = \"b\"\neffect = \"keyed\"\nwindow = \"2s\"\n",
                "file:11:10: real = true: a stand-in node has one window"},
        Refused{"TooManyCalls", "[clients]\nrate = 100000.0\n", "at most 100000 are played"}),
    [](const auto& its) { return its.param.name; });

// ------------------------------------------------------------------------------------------------ on sockets

PlayOptions beside() {
    PlayOptions options;
    options.program = LAB_BALANCER;
    return options;
}

struct ShortRun {
    const char* name;
    Effect effect;
    std::optional<Trouble::Kind> kind;
};
class Sockets : public testing::TestWithParam<ShortRun> {};

// The daemon and two nodes; a node dies and another comes in its place, or the balancers restart.
TEST_P(Sockets, AreJudgedAndComeToWhatWasForetold) {
    Experiment e = patient(GetParam().effect);
    if (GetParam().kind) e.troubles = {trouble(*GetParam().kind, milliseconds(300), milliseconds(400))};
    const auto played = play(e, beside());
    ASSERT_TRUE(played);
    EXPECT_TRUE(played->faults.empty()) << played->faults.front();
    for (const Broken& broken : played->shown.findings.broken()) ADD_FAILURE() << broken.text();
    const auto calls = played->foretold.figures.sum().asked;
    EXPECT_GT(calls, 40u);
    // All calls were asked, and none was lost on the way: the world ended by its last answer.
    EXPECT_EQ(played->shown.figures.sum().asked, calls);
    EXPECT_EQ(played->shown.findings.counts.undecided, 0u);
    EXPECT_GE(played->shown.findings.counts.sendings, played->shown.findings.counts.answers[0]);
    if (!GetParam().kind) {
        EXPECT_EQ(played->shown.figures.sum().served, calls);
    }
    const auto line = to_json(e, *played);
    EXPECT_EQ(line["lines"][0]["calls"], calls);
    EXPECT_NE(table_of(line).find("look"), std::string::npos);
}
INSTANTIATE_TEST_SUITE_P(
    Real, Sockets,
    testing::Values(ShortRun{"Calm", Effect::safe, std::nullopt},
                    ShortRun{"NodeKilled", Effect::unsafe, Trouble::Kind::crash},
                    ShortRun{"NodeReplaced", Effect::keyed, Trouble::Kind::replace},
                    ShortRun{"BalancerRolled", Effect::safe, Trouble::Kind::roll_balancers},
                    ShortRun{"BalancerKilled", Effect::safe, Trouble::Kind::kill_balancers}),
    [](const auto& its) { return its.param.name; });

TEST(Sockets, AProgramThatIsNoneIsToldAndNothingIsLeft) {
    PlayOptions options = beside();
    const std::atomic<bool> stop{true};
    options.stop = &stop;
    EXPECT_FALSE(play(patient(), options));
    options.stop = nullptr;
    options.program = "/nonexistent/balancer";
    EXPECT_THROW((void)play(patient(), options), std::system_error);
    options.program = "/bin/false";  // ends at its start: with how, and not after the time for a start
    try {
        (void)play(patient(), options);
        ADD_FAILURE() << "it did not start";
    } catch (const std::runtime_error& error) {
        EXPECT_NE(std::string(error.what()).find("balancer 0 ended with 1"), std::string::npos)
            << error.what();
    }
    EXPECT_EQ(::waitpid(-1, nullptr, WNOHANG), -1);  // no child of any kind
}

// A listener that lived on in a balancer's process would take connections for a node that died: they would hang.
TEST(Sockets, NothingOfTheNodesLivesOnInABalancer) {
    namespace asio = boost::asio;
    using asio::ip::tcp;
    asio::io_context loop{1};
    tcp::acceptor holder(loop, tcp::v4()), listener(loop, tcp::v4());
    for (tcp::acceptor* const each : {&holder, &listener})
        each->set_option(tcp::acceptor::reuse_address(true));
    holder.bind({asio::ip::address_v4::loopback(), 0});
    const auto address = holder.local_endpoint();
    listener.bind(address);
    listener.listen();
    Daemon::Words words;
    words.program = "/usr/bin/yes";  // it goes on until it is ended
    const Daemon process(loop, std::move(words));
    listener.close();
    boost::system::error_code error;
    tcp::socket client(loop);
    client.connect(address, error);
    EXPECT_EQ(error, asio::error::connection_refused);
    EXPECT_FALSE(process.ended());
}

// A balancer that answers twice, or lets its client's connection go: the judge finds it from the clients' records.
struct Wrong {
    const char* name;
    const char* answer;
    const char* says;
};
class WrongBalancer : public testing::TestWithParam<Wrong> {};

TEST_P(WrongBalancer, IsFound) {
    namespace asio = boost::asio;
    using asio::ip::tcp;
    asio::io_context loop{1};
    tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
    tcp::socket socket(loop);
    std::string request;
    acceptor.async_accept(socket, [&](auto error) {
        ASSERT_FALSE(error);
        asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", [&](auto failed, auto) {
            ASSERT_FALSE(failed);
            asio::write(socket, asio::buffer(GetParam().answer, std::strlen(GetParam().answer)));
            socket.close();
        });
    });
    Experiment e = patient();
    Script script(e);
    script.calls.push_back({0, std::uint64_t{1} << 32U | 1U, 0, 0, -1, 0, 0, milliseconds(1)});
    Recorder recorder;
    recorder.begin(std::chrono::steady_clock::now());
    Links links(loop, recorder);
    const std::vector<std::uint8_t> zones{0};
    Callers callers(e, script, zones, recorder, links);
    links.tell(callers);
    links.set(0, acceptor.local_endpoint());
    callers.front_takes(0);
    callers.advance(0);
    ASSERT_TRUE(standins::run_until(loop, [&] { return callers.done() && links.open() == 0; }));
    Terms terms;
    terms.classes = {{.name = "look", .deadline_us = 20'000'000}};
    Judge judge(terms);
    auto records = recorder.finish();
    records.back().at = 60'000'000;  // the world goes on past the client's time
    for (const Record& record : records) judge.put(record);
    std::string found;
    for (const Broken& broken : judge.finish().broken()) found += broken.text() + "\n";
    EXPECT_NE(found.find(GetParam().says), std::string::npos) << found;
}
INSTANTIATE_TEST_SUITE_P(
    Real, WrongBalancer,
    testing::Values(Wrong{"AnswersTwice",
                          "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
                          "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
                          "a second final answer"},
                    Wrong{"LetsGo", "", "did not answer it"},
                    Wrong{"MakesItUp", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                          "no server made an answer"}),
    [](const auto& its) { return its.param.name; });

}  // namespace
}  // namespace flaxdoor::lab::real
