// Kills a writing process repeatedly and checks that all acknowledged batches are present. This shows that a
// crash leaves a store that opens. It does not test syncs, as the kernel keeps unsynced data; cut_test.cpp
// does.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <iostream>
#include <random>

#include "folder_here.h"
#include "model.h"
#include "workload.h"

namespace flaxdoor::store::test {
namespace {

Changes make_batch(std::uint64_t n) {
    const std::string key = "key" + std::to_string(n % 50);
    Changes changes = {{Batch::Kind::put, "lists", key, std::to_string(n), 0},
                       {Batch::Kind::put, "weights", key, std::to_string(n) + std::string(n % 100, 'w'), 0},
                       {Batch::Kind::append, "ledger", "a", std::to_string(n), 0}};
    if (n % 7 == 0) changes.push_back({Batch::Kind::erase, "lists", "key" + std::to_string(n % 11), {}, 0});
    if (n % 20 == 0) changes.push_back({Batch::Kind::trim, "ledger", "a", {}, n - n / 4});
    return changes;
}

// Writes batches without end, starting at the number given by the position of the stream. Reports the number
// of each batch through a pipe once it is durable.
[[noreturn]] void write_until_killed(const std::string& path, int report_fd) {
    std::unique_ptr<Files> files;
    if (open_folder(path, true, files) != 0) ::_exit(2);
    std::random_device device;
    auto opened =
        Engine::open(*files, small_options(), [&] { return std::uint64_t{device()} << 32 | device(); });
    if (!opened.result) {
        std::cerr << opened.result.why << "\n";
        ::_exit(3);
    }
    Engine& engine = *opened.engine;
    make_spaces(engine, nullptr);
    SpaceId ledger = 0;
    std::uint64_t n = 0;
    if (!engine.space("ledger", SpaceKind::streams, false, ledger) || !engine.next_position(ledger, "a", n))
        ::_exit(4);
    for (;; ++n) {
        if (!write(engine, make_batch(n)).result) ::_exit(5);
        if (::write(report_fd, &n, sizeof n) != sizeof n) ::_exit(6);
        while (engine.crowded() || (n % 3 == 0 && engine.has_work())) {
            if (!engine.step()) ::_exit(7);
        }
    }
}

TEST(StoreCrash, KilledUnderLoad) {
    const FolderHere folder;
    const std::string path = folder.path() + "/store";
    const int rounds = long_form() ? 100 : 10;
    const std::uint64_t seed = 4;
    Random random(seed);
    std::uint64_t acknowledged = 0;  // batches
    for (int round = 0; round < rounds; ++round) {
        int pipe[2];
        ASSERT_EQ(::pipe(pipe), 0);
        const pid_t child = ::fork();
        ASSERT_GE(child, 0);
        if (child == 0) {
            ::close(pipe[0]);
            write_until_killed(path, pipe[1]);
        }
        ::close(pipe[1]);
        // In some rounds the process is killed while it is still opening the store.
        const std::uint64_t wanted = random() % (long_form() ? 60 : 20);
        std::uint64_t n = 0, reported = 0;
        bool killed = round > 0 && wanted < 3;
        if (killed) {
            ASSERT_EQ(::kill(child, SIGKILL), 0);
        }
        // Batches reported before the kill count as acknowledged.
        while (::read(pipe[0], &n, sizeof n) == sizeof n) {
            acknowledged = n + 1;
            if (++reported >= wanted && !killed) {
                ASSERT_EQ(::kill(child, SIGKILL), 0);
                killed = true;
            }
        }
        ::close(pipe[0]);
        int status = 0;
        ASSERT_EQ(::waitpid(child, &status, 0), child);
        ASSERT_TRUE(WIFSIGNALED(status))
            << "the process exited by itself with status " << WEXITSTATUS(status);

        std::unique_ptr<Files> files;
        ASSERT_EQ(open_folder(path, false, files), 0);
        auto opened = Engine::open(*files, small_options(), counting(random()));
        ASSERT_TRUE(opened.result) << opened.result.why;
        SpaceId ledger = 0;
        ASSERT_TRUE(opened.engine->space("ledger", SpaceKind::streams, false, ledger));
        std::uint64_t found = 0;
        ASSERT_TRUE(opened.engine->next_position(ledger, "a", found));
        ASSERT_GE(found, acknowledged);
        ASSERT_LE(found, acknowledged + 1);  // one more batch may have been under way
        Model model;
        for (const auto& [space, kind] : names().spaces) model.make_space(space, kind);
        for (std::uint64_t i = 0; i < found; ++i) model.apply(make_batch(i));
        ASSERT_EQ(text_of(*opened.engine, names(), 100), model.text());
        ASSERT_TRUE(opened.engine->verify([](const std::string&) {}));
        acknowledged = found;
    }
    std::cout << rounds << " processes killed, " << acknowledged << " batches, seed " << seed << "\n";
    EXPECT_GT(acknowledged, 0U);
}

}  // namespace
}  // namespace flaxdoor::store::test
