// Tests of `flaxdoor store ...`: its output, its exit status, and that commands which only read change
// nothing.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>

#include "program.h"
#include "store/folder_here.h"
#include "store/store.h"

namespace {

namespace fs = std::filesystem;
using namespace flaxdoor::store;
using flaxdoor::test::content_of;
using flaxdoor::test::ProgramResult;
using nlohmann::json;

class StoreProgram : public testing::Test {
protected:
    std::string path(const std::string& name = "store") const { return root_.path() + "/" + name; }
    ProgramResult run(const std::string& arguments) const {
        return flaxdoor::test::run_program(PROGRAM, "store " + arguments, root_.path());
    }
    std::map<std::string, std::string> files() const {
        std::map<std::string, std::string> contents;
        for (const auto& entry : fs::directory_iterator(path())) {
            contents[entry.path().filename().string()] = content_of(entry.path());
        }
        return contents;
    }
    std::unique_ptr<Store> open() const {
        Options options;
        options.engine.memory_table = 64 * 1024;  // small, so that runs are written
        auto opened = Store::open(path(), options);
        EXPECT_TRUE(opened.result) << opened.result.why;
        return std::move(opened.store);
    }
    // Writes `count` keys to the balancer's space.
    static void fill(Store& store, int count) {
        SpaceId space = 0;
        std::string why;
        (void)store.ask([&](Engine& engine) {
            const auto result = engine.space("pools", SpaceKind::keys, true, space);
            why = result.why;
            for (int i = 0; i < count; ++i) {
                Batch batch;
                batch.put(space, "api/k" + std::to_string(i), std::string(500, 'v'));
                const Batch* const batch_pointer = &batch;
                const auto written = engine.write({&batch_pointer, 1}, i % 50 == 0 || i + 1 == count);
                if (!written[0].result) why = written[0].result.why;
                while (engine.crowded() || (i % 50 == 0 && engine.has_work())) {
                    if (!engine.step()) break;
                }
            }
        });
        store.close();
        EXPECT_EQ(why, "");
    }

    const test::FolderHere root_;
};

TEST_F(StoreProgram, StatVerifyAndDumpChangeNothing) {
    fill(*open(), 1000);
    const auto before = files();
    ProgramResult ended = run("stat " + path());
    EXPECT_EQ(ended.status, 0) << ended.err;
    EXPECT_NE(ended.out.find("in use       no\n"), std::string::npos) << ended.out;
    ended = run("stat --json " + path());
    EXPECT_EQ(ended.status, 0);
    const json stat = json::parse(ended.out);
    EXPECT_EQ(stat.at("identity").get<std::string>().size(), 32U);
    EXPECT_GE(stat.at("sequence").get<std::uint64_t>(), 1000U);
    EXPECT_FALSE(stat.at("in_use").get<bool>());
    ended = run("verify " + path());
    EXPECT_EQ(ended.status, 0) << ended.err;
    EXPECT_NE(ended.out.find(path() + ": ok\n"), std::string::npos);
    ended = run("dump " + path());
    EXPECT_EQ(ended.status, 0) << ended.err;
    std::istringstream lines(ended.out);
    int count = 0;
    for (std::string line; std::getline(lines, line); ++count) {
        const json item = json::parse(line);
        EXPECT_TRUE(item.at("key").get<std::string>().starts_with("api/k"));
        EXPECT_EQ(item.at("value"), std::string(500, 'v'));
    }
    EXPECT_EQ(count, 1000);
    EXPECT_EQ(run("dump --from api/k999 " + path()).out.find("\"api/k999\""), 7U);
    EXPECT_EQ(files(), before);
}

// While a balancer has the store open, commands that read work, and commands that write are rejected.
TEST_F(StoreProgram, ReadsButDoesNotWriteAStoreThatIsInUse) {
    const auto store = open();
    SpaceId space = 0;
    std::promise<void> created;
    (void)store->ask([&](Engine& engine) {
        (void)engine.space("pools", SpaceKind::keys, true, space);
        created.set_value();
    });
    created.get_future().wait();
    ProgramResult ended = run("stat " + path());
    EXPECT_EQ(ended.status, 0) << ended.err;
    EXPECT_NE(ended.out.find("in use       yes\n"), std::string::npos) << ended.out;
    EXPECT_EQ(run("verify " + path()).status, 0);
    ended = run("compact " + path());
    EXPECT_EQ(ended.status, 3);
    EXPECT_NE(ended.err.find("another process has the store open"), std::string::npos) << ended.err;
    // The store is written to during the commands.
    std::atomic<bool> stop = false;
    std::thread writer([&] {
        for (int i = 0; !stop; ++i) {
            Batch batch;
            batch.put(space, "k" + std::to_string(i % 500), std::string(300, 'x'));
            (void)store->write(std::move(batch), Level::durable);
            if (i % 20 == 0) std::this_thread::yield();
        }
    });
    for (int i = 0; i < 10; ++i) EXPECT_EQ((ended = run("verify " + path())).status, 0) << ended.err;
    stop = true;
    writer.join();
}

TEST_F(StoreProgram, CompactLeavesFewFilesAndAllKeys) {
    for (int i = 0; i < 4; ++i) fill(*open(), 600);
    const auto runs = [&] { return json::parse(run("stat --json " + path()).out).at("runs").get<int>(); };
    const int before = runs();
    const ProgramResult ended = run("compact " + path());
    EXPECT_EQ(ended.status, 0) << ended.err;
    EXPECT_LE(runs(), before);
    EXPECT_EQ(run("verify " + path()).status, 0);
    const auto dumped = run("dump " + path()).out;
    EXPECT_EQ(std::count(dumped.begin(), dumped.end(), '\n'), 600);
}

TEST_F(StoreProgram, DamageIsReportedWithFileAndOffsetAndNotChanged) {
    fill(*open(), 1000);
    for (const auto& [name, bytes] : files()) {
        if (bytes.size() < 100 || !(name.ends_with(".run") || name.ends_with(".log"))) continue;
        std::string damaged = bytes;
        damaged[damaged.size() / 3] = static_cast<char>(damaged[damaged.size() / 3] ^ 1);
        std::ofstream(fs::path(path()) / name, std::ios::binary) << damaged;
        const auto before = files();
        const ProgramResult ended = run("verify " + path());
        EXPECT_EQ(ended.status, 1) << name;
        EXPECT_NE(ended.err.find(name + ", offset "), std::string::npos) << ended.err;
        EXPECT_EQ(files(), before);
        std::ofstream(fs::path(path()) / name, std::ios::binary) << bytes;
    }
    EXPECT_EQ(run("verify " + path()).status, 0);
}

// Salvage of an undamaged store loses nothing. Salvage of a damaged one saves the rest, reports the loss, and
// does not change the old files.
TEST_F(StoreProgram, SalvageCopiesReadableDataIntoANewStore) {
    fill(*open(), 1000);
    ProgramResult ended = run("salvage " + path() + " " + path("whole"));
    EXPECT_EQ(ended.status, 0) << ended.out << ended.err;
    EXPECT_EQ(run("dump " + path("whole")).out, run("dump " + path()).out);
    for (const auto& [name, bytes] : files()) {
        if (!name.ends_with(".run") || bytes.size() < 4096) continue;
        std::string damaged = bytes;
        damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 1);
        std::ofstream(fs::path(path()) / name, std::ios::binary) << damaged;
        break;
    }
    ASSERT_EQ(run("verify " + path()).status, 1);
    const auto before = files();
    ended = run("salvage " + path() + " " + path("saved"));
    EXPECT_EQ(ended.status, 1) << ended.err;
    EXPECT_NE(ended.out.find(".run"), std::string::npos) << ended.out;
    EXPECT_EQ(files(), before);
    EXPECT_EQ(run("verify " + path("saved")).status, 0);
    const auto saved = run("dump " + path("saved")).out;
    const auto lines = std::count(saved.begin(), saved.end(), '\n');
    EXPECT_LT(lines, 1000);
    EXPECT_GT(lines, 900);
    EXPECT_EQ(run("salvage " + path() + " " + path("saved")).status, 3);  // not empty
}

TEST_F(StoreProgram, AFolderWithoutAStoreIsReportedAndNothingIsCreated) {
    ProgramResult ended = run("stat " + path("nowhere"));
    EXPECT_EQ(ended.status, 3);
    EXPECT_NE(ended.err.find("No such file or directory"), std::string::npos) << ended.err;
    EXPECT_FALSE(fs::exists(path("nowhere")));
    fs::create_directories(path());
    for (const char* command : {"stat", "verify", "dump"}) {
        ended = run(std::string(command) + " " + path());
        EXPECT_EQ(ended.status, 3) << command;
        EXPECT_NE(ended.err.find("no store in this folder"), std::string::npos) << ended.err;
        EXPECT_TRUE(files().empty()) << command;
    }
    std::ofstream(fs::path(path()) / "notes.txt") << "mine";
    EXPECT_NE(run("stat " + path()).err.find("no store: the folder holds notes.txt"), std::string::npos);
    EXPECT_EQ(files().size(), 1U);
    EXPECT_EQ(run("").status, 2);
    EXPECT_EQ(run("stat").status, 2);
    EXPECT_EQ(run("mend " + path()).status, 2);
}

}  // namespace
