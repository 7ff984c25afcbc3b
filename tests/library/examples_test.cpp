// Runs the example programs against stand-ins that record what they executed. With the library a check-in
// must never be executed twice, at whichever point an upstream fails. The hand-written retries of
// checkin_before do execute some check-ins twice, which proves that this test would notice.
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <sstream>

#include "fleet.h"

namespace flaxdoor::test {
namespace {

struct ProgramOutput {
    int status = -1;
    std::string text;
};

// Starts a program, which runs until it exits by itself. Closes all other descriptors in the child: a
// stand-in could not listen again on an address whose listener a child still holds.
std::future<ProgramOutput> run(const std::string& program, const std::string& arguments, const Fleet& fleet) {
    std::vector<std::string> words = {program};
    std::istringstream remaining(arguments);
    for (std::string word; remaining >> word;) words.push_back(word);
    words.insert(words.end(), fleet.addresses().begin(), fleet.addresses().end());
    return std::async(std::launch::async, [words = std::move(words)]() mutable {
        ProgramOutput output;
        std::vector<char*> command;
        for (auto& word : words) command.push_back(word.data());
        command.push_back(nullptr);
        std::array<int, 2> pipe{};
        if (::pipe2(pipe.data(), O_CLOEXEC) != 0) return output;
        const pid_t child = ::fork();
        if (child == 0) {
            ::dup2(pipe[1], STDOUT_FILENO);
            ::close_range(3, ~0U, 0);
            ::execv(command[0], command.data());
            ::_exit(127);
        }
        ::close(pipe[1]);
        std::array<char, 4096> buffer{};
        for (ssize_t received = 0; (received = ::read(pipe[0], buffer.data(), buffer.size())) > 0;) {
            output.text.append(buffer.data(), static_cast<std::size_t>(received));
        }
        ::close(pipe[0]);
        ::waitpid(child, &output.status, 0);
        return output;
    });
}

// Every fault of the stand-ins. It affects one request, or connection, in three.
constexpr const char* faults[] = {"before_accept,late=400,conn_every=3",
                                  "after_n_request_bytes=0,conn_every=3",
                                  "after_n_request_bytes=40,req_every=3",
                                  "after_n_request_bytes=40,end=silence,req_every=3",
                                  "after_last_byte,end=rst,req_every=3",
                                  "after_last_byte,end=fin,req_every=3",
                                  "after_work,end=rst,req_every=3",
                                  "after_work,end=fin,req_every=3",
                                  "after_head,req_every=3",
                                  "after_n_body_bytes=9,req_every=3",
                                  "after_n_body_bytes=9,end=fin,framing=chunked,req_every=3",
                                  "never,req_every=3",
                                  "never,run=0,req_every=3",
                                  "noise=60,req_every=3",
                                  "wrong_length=5,req_every=3",
                                  "second_answer,req_every=3",
                                  "foreign_answer,req_every=3",
                                  "status=500,req_every=3",
                                  "status=503,run=0,req_every=3",
                                  "turn_away,req_every=3",
                                  "refuse,for=50,conn_every=3"};
constexpr int check_ins = 20;

struct Tally {
    int in = 0, unknown = 0, failed = 0;
    int ran_twice = 0;
    int in_not_once = 0;  // reported as in, but not executed exactly once
};

Tally check_output(const ProgramOutput& output, Fleet& fleet, const std::string& name) {
    EXPECT_EQ(output.status, 0) << output.text;
    EXPECT_EQ(fleet.run_on_loop([](Fleet& stand_ins) {
        for (std::size_t i = 0; i < stand_ins.size(); ++i) {
            stand_ins.node(i).clear_faults();
            stand_ins.node(i).listen();
        }
        return 0;
    }),
              0);
    EXPECT_TRUE(fleet.wait_until_idle());
    Tally tally;
    std::istringstream lines(output.text);
    std::string donor, outcome;
    int reported = 0;
    while (lines >> donor >> outcome) {
        ++reported;
        const auto runs =
            fleet.run_on_loop([&](Fleet& stand_ins) { return stand_ins.effects().runs_of_operation(donor); });
        tally.in += outcome == "in";
        tally.unknown += outcome == "unknown";
        tally.failed += outcome == "failed";
        tally.ran_twice += runs > 1;
        tally.in_not_once += outcome == "in" && runs != 1;
        if (outcome == "failed" && name == "after") {
            EXPECT_EQ(runs, 0U) << donor;
        }
    }
    EXPECT_EQ(reported, check_ins) << output.text;
    return tally;
}

TEST(Examples, CheckInIsNeverExecutedTwice) {
    // Runs each service with each fault, all concurrently, each against stand-ins of its own.
    std::vector<std::unique_ptr<Fleet>> fleets;
    std::vector<std::future<ProgramOutput>> before, after;
    for (const char* const fault_spec : faults) {
        for (auto* const service : {&before, &after}) {
            fleets.push_back(std::make_unique<Fleet>(3));
            Fleet& fleet = *fleets.back();
            for (std::size_t i = 0; i < fleet.size(); ++i) fleet.fault(i, fault_spec);
            const bool is_before = service == &before;
            service->push_back(
                run(is_before ? CHECKIN_BEFORE : CHECKIN_AFTER, std::to_string(check_ins), fleet));
        }
    }
    int seen_twice = 0, in = 0;
    for (std::size_t i = 0; i < std::size(faults); ++i) {
        const Tally tally_before = check_output(before[i].get(), *fleets[2 * i], "before");
        const Tally tally_after = check_output(after[i].get(), *fleets[2 * i + 1], "after");
        std::printf("%-58s before: %2d in, %2d twice   after: %2d in, %d unknown, %d failed, %d twice\n",
                    faults[i], tally_before.in, tally_before.ran_twice, tally_after.in, tally_after.unknown,
                    tally_after.failed, tally_after.ran_twice);
        EXPECT_EQ(tally_after.ran_twice, 0) << faults[i];
        EXPECT_EQ(tally_after.in_not_once, 0) << faults[i];
        seen_twice += tally_before.ran_twice;
        in += tally_after.in;
    }
    // Proves that the test notices a repeat: hand-written retries do execute check-ins twice.
    EXPECT_GE(seen_twice, 10);
    EXPECT_GT(in, static_cast<int>(std::size(faults)) * check_ins / 2);
}

TEST(Examples, FirstCall) {
    Fleet fleet(1);
    const ProgramOutput output = run(FIRST_CALL, "", fleet).get();
    EXPECT_EQ(output.status, 0);
    EXPECT_EQ(output.text.substr(0, 18), "served (none): id=") << output.text;
}

TEST(Examples, CoroutineHost) {
    Fleet fleet(3);
    const ProgramOutput output = run(COROUTINE_HOST, "3 200", fleet).get();
    EXPECT_EQ(output.status, 0);
    for (const char* const line : {"visitor-1 ", "visitor-2 ", "visitor-3 ", "\nclosed\n"}) {
        EXPECT_NE(output.text.find(line), std::string::npos) << output.text;
    }
    EXPECT_NE(output.text.find("served (none)"), std::string::npos) << output.text;
    EXPECT_TRUE(fleet.run_on_loop([](Fleet& stand_ins) { return stand_ins.effects().ran_again().empty(); }));
}

// At closing time unsent calls are cancelled with `total`. No server is listed, so all calls are unsent.
TEST(Examples, CoroutineHostCancelsUnsentCalls) {
    Fleet empty_fleet(0);
    const ProgramOutput output = run(COROUTINE_HOST, "3 1", empty_fleet).get();
    EXPECT_EQ(output.status, 0);
    std::istringstream lines(output.text);
    int cancelled = 0;
    for (std::string line; std::getline(lines, line);) {
        cancelled += line.find("failed (cancelled)") != std::string::npos;
        EXPECT_EQ(line.find("may have run"), std::string::npos) << line;
    }
    EXPECT_EQ(cancelled, 3) << output.text;
}

}  // namespace
}  // namespace flaxdoor::test
