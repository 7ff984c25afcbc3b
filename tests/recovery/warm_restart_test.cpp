// Tests of the store behind the engine, with a disk that the test blocks. A blocked disk must never delay a
// request.
#include "engine/warm_restart.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

#include "capturing_log.h"
#include "engine/engine.h"
#include "minimal_config.h"
#include "recovery/recorder.h"
#include "settings/product.h"
#include "settings/reader.h"
#include "standins/booking_node.h"
#include "standins/load_client.h"
#include "standins/run_until.h"
#include "store/folder_here.h"

namespace flaxdoor::engine::test {
namespace {

using flaxdoor::test::CapturingLog;
using flaxdoor::test::minimal_config;
using flaxdoor::test::service;
using nlohmann::json;
using namespace std::chrono_literals;
using standins::run_until;

// Controls what the disk may do. Blocked calls wait until the test releases them. If it never does, because
// the program waits for the disk, they continue after a time limit and set `timed_out`.
struct Disk {
    enum class Hold { nothing, syncs, all };
    void hold(Hold mode) {
        const std::lock_guard lock(mutex);
        hold_mode = mode;
    }
    void release() {
        const std::lock_guard lock(mutex);
        hold_mode = Hold::nothing;
        changed.notify_all();
    }
    void fail(int Disk::*error_field, int error) {
        const std::lock_guard lock(mutex);
        this->*error_field = error;
    }
    int pass(bool sync) {
        std::unique_lock lock(mutex);
        appends += !sync;
        const auto released = [&] {
            return hold_mode == Hold::nothing || (hold_mode == Hold::syncs && !sync);
        };
        if (!released()) {
            ++held_calls;
            if (!changed.wait_for(lock, 15s, released)) timed_out = true;
            --held_calls;
        }
        if (!sync && fail_once != 0) return std::exchange(fail_once, 0);
        return sync ? sync_error : append_error;
    }
    std::mutex mutex;
    std::condition_variable changed;
    Hold hold_mode = Hold::nothing;
    int held_calls = 0;
    bool timed_out = false;
    int append_error = 0, sync_error = 0;
    int fail_once = 0;  // error of the next append
    std::size_t appends = 0;
};

class BlockableFile final : public store::File {
public:
    BlockableFile(std::shared_ptr<Disk> disk, std::unique_ptr<store::File> file)
        : disk_(std::move(disk)), file_(std::move(file)) {}
    int append(std::string_view bytes) override {
        const int error = disk_->pass(false);
        return error != 0 ? error : file_->append(bytes);
    }
    int read(std::uint64_t offset, std::size_t count, std::string& out) override {
        return file_->read(offset, count, out);
    }
    int truncate(std::uint64_t size) override { return file_->truncate(size); }
    int sync() override {
        const int error = disk_->pass(true);
        return error != 0 ? error : file_->sync();
    }
    int size(std::uint64_t& size) override { return file_->size(size); }

private:
    const std::shared_ptr<Disk> disk_;
    const std::unique_ptr<store::File> file_;
};

class BlockableFiles final : public store::Files {
public:
    BlockableFiles(std::shared_ptr<Disk> disk, std::unique_ptr<store::Files> files)
        : disk_(std::move(disk)), files_(std::move(files)) {}
    int create(const std::string& name, std::unique_ptr<store::File>& file) override {
        const int error = files_->create(name, file);
        if (error == 0) file = std::make_unique<BlockableFile>(disk_, std::move(file));
        return error;
    }
    int open(const std::string& name, std::unique_ptr<store::File>& file) override {
        (void)disk_->pass(false);
        return files_->open(name, file);
    }
    int remove(const std::string& name) override { return files_->remove(name); }
    int list(std::vector<std::string>& names) override { return files_->list(names); }
    int sync_folder() override {
        const int error = disk_->pass(true);
        return error != 0 ? error : files_->sync_folder();
    }
    int lock() override { return files_->lock(); }

private:
    const std::shared_ptr<Disk> disk_;
    const std::unique_ptr<store::Files> files_;
};

struct Stage {
    Stage() : node(loop, node_settings()), config(minimal_config(loop::text_of(node.address()))) {
        config["settings"]["services"] = json::array({service("look", "idempotent", 500, 3000)});
    }
    ~Stage() {
        disk->release();
        if (testing::Test::HasFailure()) {
            for (const auto& line : log.all) std::cerr << "log: " << line << "\n";
        }
    }

    static standins::BookingNode::Settings node_settings() {
        standins::BookingNode::Settings settings;
        settings.work.mean = 1ms;
        return settings;
    }
    // Starts the engine. The test hands in the lists.
    void start() {
        const std::string text = "[store]\nfolder = \"" + folder.path() + "\"\nopen_within = \"" +
                                 open_within + "\"\nremember_every = \"100ms\"\nsoon = \"1ms\"\n";
        EngineOptions options{parse_config(config.dump()), std::get<settings::Values>(settings::read_text(
                                                               text, settings::product_schema()))};
        options.uses_discovery = false;
        options.open_folder = open_blockable_folder();
        engine = std::make_unique<Engine>(loop.get_executor(), log, std::move(options));
    }
    std::function<int(const std::string&, bool, std::unique_ptr<store::Files>&)> open_blockable_folder()
        const {
        return [disk = disk](const std::string& path, bool make, std::unique_ptr<store::Files>& files) {
            const int error = store::open_folder(path, make, files);
            if (error == 0) files = std::make_unique<BlockableFiles>(disk, std::move(files));
            return error;
        };
    }
    // Drains the engine and destroys it. Returns whether it ended in time.
    bool drained() {
        bool done = false;
        engine->drain([&] { done = true; });
        const bool in_time = run_until(loop, [&] { return done; });
        engine.reset();
        return in_time;
    }
    // Makes a WarmRestart without an engine.
    std::unique_ptr<WarmRestart> keeper(Micros remember_every) {
        WarmRestart::Options options;
        options.folder = folder.path();
        options.open_within = 5s;
        options.snapshot_interval = remember_every;
        options.half_life = 10min;
        options.open_folder = open_blockable_folder();
        return std::make_unique<WarmRestart>(loop.get_executor(), log, clock, options,
                                             recovery::ListOrigin{"d", "api", "n0"});
    }
    bool under_way(const WarmRestart& keeper, std::size_t writes) {
        return run_until(loop, [&] { return keeper.pending_writes() == writes; });
    }
    bool finished(WarmRestart& keeper) {
        bool done = false;
        keeper.finish([&] { done = true; });
        disk->release();
        return run_until(loop, [&] { return done; }) && keeper.pending_writes() == 0;
    }
    void receive_list(std::uint64_t version) {
        core::MemberList list = parse_config(config.dump()).known;
        list.kind = ListKind::full;
        list.version = version;
        engine->apply_list(std::move(list));
    }
    // Sends the given number of requests, with a new list after every 20 of them. Returns whether all were
    // served.
    bool load(std::uint64_t calls) {
        standins::LoadClient::Settings settings;
        settings.targets = {*engine->address()};
        settings.classes = {{"look", standins::CallKind::safe, 1, 2000, 0}};
        settings.connections = 2;  // what one node accepts at first
        settings.calls = calls;
        settings.seed = ++seed;
        std::uint64_t served = 0;
        settings.on_result = [&](const standins::CallResult& result) {
            served += result.outcome == standins::Outcome::served;
            if (served % 20 == 0) receive_list(++version);
        };
        standins::LoadClient client(loop, settings);
        client.start();
        const bool done = run_until(
            loop, [&] { return client.done(); }, 30s);
        EXPECT_EQ(served, calls);
        return done && served == calls;
    }
    int held_calls() const {
        const std::lock_guard lock(disk->mutex);
        return disk->held_calls;
    }
    bool timed_out() const {
        const std::lock_guard lock(disk->mutex);
        return disk->timed_out;
    }
    // Returns the version of the list that a restart would find.
    std::uint64_t stored_version() {
        const auto stored = stored_snapshot();
        return stored.list ? stored.list->head.version : 0;
    }
    recovery::StoredSnapshot stored_snapshot() {
        store::Options options;
        options.engine.make = false;
        auto opened = store::Store::open(folder.path(), options);
        if (!opened.store) return {};
        std::promise<recovery::StoredSnapshot> decoded;
        (void)opened.store->ask([&](store::Engine& store_engine) {
            store::SpaceId id = 0;
            std::vector<store::Engine::Item> items;
            std::vector<std::pair<std::string, std::string>> values;
            if (store_engine.space("pools", store::SpaceKind::keys, false, id)) {
                (void)store_engine.scan(id, "", "", 1000, items);
            }
            for (auto& item : items) values.emplace_back(item.key, item.value);
            decoded.set_value(recovery::decode("api", values));
        });
        return decoded.get_future().get();
    }

    boost::asio::io_context loop;
    loop::Clock clock;
    const store::test::FolderHere folder;
    std::shared_ptr<Disk> disk = std::make_shared<Disk>();
    standins::BookingNode node;
    json config;
    CapturingLog log;
    std::unique_ptr<Engine> engine;
    std::uint64_t version = 100, seed = 0;
    std::string open_within = "1m";  // longer than opening takes on any machine
};

TEST(Keeper, StoresTheLastListAndRestoresIt) {
    Stage stage;
    stage.start();
    EXPECT_EQ(stage.log.count("store: no list is kept yet"), 1U);
    stage.receive_list(41);
    ASSERT_TRUE(stage.load(50));
    ASSERT_TRUE(stage.drained());
    EXPECT_EQ(stage.stored_version(), stage.version);
    stage.start();
    EXPECT_EQ(stage.log.count("store: list " + std::to_string(stage.version) + " with 1 server, "), 1U);
    EXPECT_NE(stage.log.all[stage.log.all.size() - 2].find("; 1 server remembered"), std::string::npos);
    ASSERT_TRUE(stage.load(10));
}

// The sync is blocked from before the first request until after the last answer.
TEST(Keeper, AStalledDiskUnderLoadDelaysNoRequest) {
    Stage stage;
    stage.start();
    ASSERT_TRUE(stage.load(20));
    stage.disk->hold(Disk::Hold::syncs);
    stage.receive_list(++stage.version);
    ASSERT_TRUE(run_until(stage.loop, [&] { return stage.held_calls() > 0; }));
    ASSERT_TRUE(stage.load(2000));
    EXPECT_GT(stage.held_calls(), 0) << "the disk was released before the last answer";
    EXPECT_FALSE(stage.timed_out());
    stage.disk->release();
    // Lists that were received in the meantime are stored.
    ASSERT_TRUE(stage.drained());
    EXPECT_EQ(stage.stored_version(), stage.version);
}

// Changes that arrive while the disk is blocked are merged: the queue does not grow.
TEST(Keeper, PendingWritesAreBounded) {
    Stage stage;
    core::MemberList list = parse_config(stage.config.dump()).known;
    auto keeper = stage.keeper(10ms);
    (void)keeper->restore(list, {});
    double limit = 2;
    keeper->start_recording([&](UpstreamId) {
        LearnedState memory;
        memory.concurrency_limit = limit *= 1.5;
        return std::optional(memory);
    });
    stage.disk->hold(Disk::Hold::all);
    list.kind = ListKind::full;
    std::size_t max_writes = 0;
    for (int i = 0; i < 200; ++i) {
        ++list.version;
        keeper->on_list(list);
        stage.loop.restart();
        stage.loop.run_one_for(20ms);
        max_writes = std::max(max_writes, keeper->pending_writes());
    }
    EXPECT_EQ(max_writes, 4U);
    ASSERT_TRUE(stage.finished(*keeper));
    keeper.reset();
    EXPECT_EQ(stage.stored_version(), list.version);
}

// All reads, writes and syncs of the store are blocked. The start waits for 200 ms and then serves. The
// shutdown waits for two seconds and then ends.
TEST(Keeper, ADiskStalledFromTheStartDelaysNoRequest) {
    Stage stage;
    stage.start();
    stage.receive_list(++stage.version);
    ASSERT_TRUE(stage.load(20));
    stage.engine.reset();
    stage.disk->hold(Disk::Hold::all);
    stage.open_within = "200ms";
    stage.start();
    EXPECT_EQ(stage.log.count("store: not read within 200 ms"), 1U);
    ASSERT_TRUE(stage.load(500));
    EXPECT_GT(stage.held_calls(), 0);
    ASSERT_TRUE(stage.drained());
    EXPECT_GT(stage.held_calls(), 0) << "the shutdown waited for the disk";
    EXPECT_FALSE(stage.timed_out());
}

// The disk recovers: from then on the store is written to.
TEST(Keeper, AStoreThatIsReadTooLateIsStillWrittenTo) {
    Stage stage;
    stage.open_within = "200ms";
    stage.disk->hold(Disk::Hold::all);
    stage.start();
    stage.receive_list(++stage.version);
    ASSERT_TRUE(stage.load(20));
    stage.disk->release();
    ASSERT_TRUE(run_until(stage.loop, [&] { return stage.log.count("store: in use again") == 1; }));
    ASSERT_TRUE(stage.drained());
    EXPECT_EQ(stage.stored_version(), stage.version);
}

struct Failure {
    const char* name;
    int Disk::*error_field;
    int error;
    bool recovers;  // whether the store is used again once the disk works
};

void PrintTo(const Failure& failure, std::ostream* out) { *out << failure.name; }

class KeeperDisk : public testing::TestWithParam<Failure> {};

TEST_P(KeeperDisk, FailureDelaysNoRequestAndIsLoggedOnce) {
    const Failure& failure = GetParam();
    Stage stage;
    stage.start();
    stage.receive_list(++stage.version);
    ASSERT_TRUE(stage.load(20));
    const auto version_before = stage.version;
    stage.disk->fail(failure.error_field, failure.error);
    stage.receive_list(++stage.version);
    ASSERT_TRUE(run_until(stage.loop, [&] { return stage.log.count("store: nothing is kept: ") > 0; }));
    ASSERT_TRUE(stage.load(500));
    EXPECT_EQ(stage.log.count("store: nothing is kept: "), 1U);
    if (!failure.recovers) return;
    stage.disk->fail(failure.error_field, 0);
    ASSERT_TRUE(run_until(stage.loop, [&] { return stage.log.count("store: in use again") == 1; }));
    ASSERT_TRUE(stage.drained());
    EXPECT_GT(stage.stored_version(), version_before);
    EXPECT_EQ(stage.stored_version(), stage.version);
}

INSTANTIATE_TEST_SUITE_P(Keeper, KeeperDisk,
                         testing::Values(Failure{"Full", &Disk::append_error, ENOSPC, true},
                                         Failure{"SyncFails", &Disk::sync_error, EIO, false}),
                         [](const auto& info) { return std::string(info.param.name); });

// The shutdown makes one attempt to write.
TEST(Keeper, AFullDiskDoesNotDelayTheShutdown) {
    Stage stage;
    stage.start();
    ASSERT_TRUE(stage.load(20));
    std::size_t appends_before = 0;
    {
        const std::lock_guard lock(stage.disk->mutex);
        stage.disk->append_error = ENOSPC;
        appends_before = stage.disk->appends;
    }
    stage.receive_list(++stage.version);
    ASSERT_TRUE(stage.drained());
    const std::lock_guard lock(stage.disk->mutex);
    EXPECT_LT(stage.disk->appends - appends_before, 100U);
}

// The store was written with a clock that was an hour ahead. The daemon serves, and takes no server for
// younger or older than it is.
TEST(Keeper, AClockThatWasSetBackDoesNoHarm) {
    Stage stage;
    const auto now = std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
    const Time ahead = now + std::chrono::hours(1);
    {
        auto opened = store::Store::open(stage.folder.path(), {});
        ASSERT_TRUE(opened.store);
        (void)opened.store->ask([&](store::Engine& store_engine) {
            store::SpaceId id = 0;
            ASSERT_TRUE(store_engine.space("pools", store::SpaceKind::keys, true, id));
            recovery::Recorder recorder({"127.0.0.1:1", "api", "n0"}, {}, ahead);
            core::MemberList list = parse_config(stage.config.dump()).known;
            list.kind = ListKind::full;
            list.version = 50;
            list.members[0].entry.started_at = ahead - std::chrono::minutes(30);
            recorder.on_list(ahead, list);
            store::Batch batch;
            for (const auto& change : recorder.take_list_changes()) batch.put(id, change.key, *change.value);
            const store::Batch* const batch_pointer = &batch;
            ASSERT_TRUE(store_engine.write({&batch_pointer, 1}, true)[0].result);
        });
    }
    stage.start();
    EXPECT_EQ(stage.log.count("store: the clock has gone back"), 1U);
    EXPECT_EQ(stage.log.count("store: list 50 with 1 server, 0 s old"), 1U);
    // The server had run for half an hour: it is not in slow start, although its start time lies in the
    // future.
    ASSERT_TRUE(stage.load(500));
}

// Without its table the store uses neither a thread nor a file.
TEST(Keeper, WithoutTheTableThereIsNoStore) {
    Stage stage;
    EngineOptions options{parse_config(stage.config.dump()), settings::Values(settings::product_schema())};
    bool opened = false;
    options.open_folder = [&](const std::string&, bool, std::unique_ptr<store::Files>&) {
        opened = true;
        return EIO;
    };
    stage.engine = std::make_unique<Engine>(stage.loop.get_executor(), stage.log, std::move(options));
    ASSERT_TRUE(stage.load(50));
    EXPECT_FALSE(opened);
    EXPECT_EQ(stage.log.count("store"), 0U);
}

// The engine may be destroyed at any time, also with pending callbacks of the store.
TEST(Keeper, MayBeDestroyedAtAnyTime) {
    for (int steps = 0; steps < 40; ++steps) {
        Stage stage;
        stage.start();
        stage.receive_list(++stage.version);
        if (steps % 3 == 0) stage.engine->drain([] {});
        for (int i = 0; i < steps; ++i) stage.loop.run_one_for(2ms);
        stage.engine.reset();
        stage.loop.restart();
        stage.loop.run_for(3ms);
    }
}

core::MemberList make_list(std::uint64_t version, std::size_t members) {
    core::MemberList list;
    list.kind = ListKind::full;
    list.version = version;
    for (UpstreamId id = 1; id <= members; ++id) {
        core::Member member;
        member.entry.id = id;
        member.name = "server-" + std::to_string(id);
        member.address = "127.0.0.1:" + std::to_string(10000 + id);
        list.members.push_back(std::move(member));
    }
    return list;
}

// The write of a list fails while the next one, which has only the changed parts, is queued. After a crash
// the store must hold one list that existed, never a mixture of two.
TEST(Keeper, AFailedWriteLeavesNoMixtureOfTwoLists) {
    Stage stage;
    auto keeper = stage.keeper(1h);
    (void)keeper->restore({}, {});
    keeper->on_list(make_list(1, 2));
    ASSERT_TRUE(stage.under_way(*keeper, 1) && stage.under_way(*keeper, 0));
    stage.disk->hold(Disk::Hold::all);
    auto list = make_list(2, 2);
    list.members[0].entry.state = UpstreamState::draining;
    keeper->on_list(list);
    ASSERT_TRUE(
        run_until(stage.loop, [&] { return keeper->pending_writes() == 1 && stage.held_calls() == 1; }));
    list.version = 3;
    list.members[1].entry.state = UpstreamState::draining;
    keeper->on_list(list);
    // The write need not have been queued yet.
    (void)run_until(
        stage.loop, [&] { return keeper->pending_writes() == 2; }, 500ms);
    stage.disk->fail(&Disk::fail_once, ENOSPC);
    stage.disk->release();
    ASSERT_TRUE(stage.under_way(*keeper, 0));
    keeper.reset();
    const auto snapshot = stage.stored_snapshot();
    ASSERT_TRUE(snapshot.list);
    std::size_t draining = 0;
    for (const auto& member : snapshot.list->members)
        draining += member.entry.state == UpstreamState::draining;
    EXPECT_EQ(draining, snapshot.list->head.version - 1) << "list " << snapshot.list->head.version;
}

// The largest list that is stored exceeds what a single read of the store returns.
TEST(Keeper, TheLargestListIsReadWithItsLearnedState) {
    Stage stage;
    auto list = make_list(1, recovery::Recorder::max_members);
    for (auto& member : list.members) member.name.resize(100, 'n');
    auto keeper = stage.keeper(100ms);
    (void)keeper->restore({}, {});
    keeper->on_list(list);
    keeper->start_recording([&](UpstreamId id) {
        LearnedState memory;
        memory.concurrency_limit = 20 + 1.0 / static_cast<double>(id);
        memory.own_in_flight = 3 + 1.0 / static_cast<double>(id);
        memory.latency_us = memory.unloaded_latency_us = 9000 + 1.0 / static_cast<double>(id);
        memory.ejected = memory.connect_failed = true;
        memory.cold_start_at = memory.ejected_until = memory.answered_at = stage.clock.now();
        return std::optional(memory);
    });
    ASSERT_TRUE(run_until(stage.loop, [&] { return keeper->pending_writes() > 0; }));
    ASSERT_TRUE(stage.finished(*keeper));
    keeper.reset();
    keeper = stage.keeper(100ms);
    core::MemberList empty;
    empty.kind = ListKind::cached;
    const auto restored = keeper->restore(empty, {});
    EXPECT_EQ(restored.members.size(), list.members.size());
    EXPECT_TRUE(std::all_of(restored.members.begin(), restored.members.end(),
                            [](const auto& member) { return member.entry.restored.has_value(); }));
}

// The stored form of some names takes more bytes than the recorder assumes. Parts that were not written must
// not count as written.
TEST(Keeper, AListTooLargeToWriteLeavesNoMixtureOfTwoLists) {
    Stage stage;
    auto keeper = stage.keeper(10ms);
    (void)keeper->restore({}, {});
    keeper->on_list(make_list(1, 8000));
    ASSERT_TRUE(stage.under_way(*keeper, 1) && stage.under_way(*keeper, 0));
    auto large = make_list(2, 8000);
    for (auto& member : large.members) {
        member.name += std::string(100, '\x01');
        member.entry.state = UpstreamState::draining;
    }
    keeper->on_list(large);
    ASSERT_TRUE(run_until(stage.loop, [&] { return stage.log.count("store: not kept: ") == 1; }));
    large.version = 3;
    large.members[0].name = "another";
    keeper->on_list(large);
    (void)run_until(
        stage.loop, [&] { return keeper->pending_writes() == 1; }, 500ms);
    ASSERT_TRUE(stage.under_way(*keeper, 0));
    keeper.reset();
    const auto snapshot = stage.stored_snapshot();
    if (!snapshot.list) return;
    EXPECT_EQ(snapshot.list->head.version, 1U);
}

}  // namespace
}  // namespace flaxdoor::engine::test
