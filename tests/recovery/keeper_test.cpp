// The store behind the engine, with a disk that the test holds: what the disk does never reaches a request.
#include "engine/keeper.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

#include "engine/engine.h"
#include "lines.h"
#include "plain_config.h"
#include "recovery/recorder.h"
#include "settings/product.h"
#include "settings/reader.h"
#include "standins/booking_node.h"
#include "standins/load_client.h"
#include "standins/run_until.h"
#include "store/folder_here.h"

namespace flaxdoor::engine::test {
namespace {

using flaxdoor::test::Lines;
using flaxdoor::test::plain;
using flaxdoor::test::service;
using nlohmann::json;
using namespace std::chrono_literals;
using standins::run_until;

// What the test lets the disk do. Held calls wait until the test lets go; should it never get there (because
// the program waits for the disk), they go on by themselves after a while, and say so.
struct Disk {
    enum class Holds { nothing, syncs, all };
    void hold(Holds what) {
        const std::lock_guard lock(mutex);
        holds = what;
    }
    void let_go() {
        const std::lock_guard lock(mutex);
        holds = Holds::nothing;
        changed.notify_all();
    }
    void fail(int Disk::*what, int error) {
        const std::lock_guard lock(mutex);
        this->*what = error;
    }
    int pass(bool sync) {
        std::unique_lock lock(mutex);
        appends += !sync;
        const auto free = [&] { return holds == Holds::nothing || (holds == Holds::syncs && !sync); };
        if (!free()) {
            ++held;
            if (!changed.wait_for(lock, 15s, free)) forced = true;
            --held;
        }
        if (!sync && fail_once != 0) return std::exchange(fail_once, 0);
        return sync ? sync_error : append_error;
    }
    std::mutex mutex;
    std::condition_variable changed;
    Holds holds = Holds::nothing;
    int held = 0;
    bool forced = false;
    int append_error = 0, sync_error = 0;
    int fail_once = 0;  // of the next append
    std::size_t appends = 0;
};

class HeldFile final : public store::File {
public:
    HeldFile(std::shared_ptr<Disk> disk, std::unique_ptr<store::File> file)
        : disk_(std::move(disk)), file_(std::move(file)) {}
    int append(std::string_view bytes) override {
        const int error = disk_->pass(false);
        return error != 0 ? error : file_->append(bytes);
    }
    int read(std::uint64_t offset, std::size_t n, std::string& out) override {
        return file_->read(offset, n, out);
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

class HeldFiles final : public store::Files {
public:
    HeldFiles(std::shared_ptr<Disk> disk, std::unique_ptr<store::Files> files)
        : disk_(std::move(disk)), files_(std::move(files)) {}
    int create(const std::string& name, std::unique_ptr<store::File>& file) override {
        const int error = files_->create(name, file);
        if (error == 0) file = std::make_unique<HeldFile>(disk_, std::move(file));
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
    Stage() : node(loop, node_settings()), config(plain(loop::text_of(node.address()))) {
        config["settings"]["services"] = json::array({service("look", "idempotent", 500, 3000)});
    }
    ~Stage() {
        disk->let_go();
        if (testing::Test::HasFailure()) {
            for (const auto& line : log.all) std::cerr << "log: " << line << "\n";
        }
    }

    static standins::BookingNode::Settings node_settings() {
        standins::BookingNode::Settings s;
        s.work.mean = 1ms;
        return s;
    }
    // Lists are handed in by the test.
    void start() {
        const std::string text = "[store]\nfolder = \"" + folder.path() + "\"\nopen_within = \"" +
                                 open_within + "\"\nremember_every = \"100ms\"\nsoon = \"1ms\"\n";
        EngineOptions options{parse_config(config.dump()), std::get<settings::Values>(settings::read_text(
                                                               text, settings::product_schema()))};
        options.asks_roster = false;
        options.open_folder = open_held();
        engine = std::make_unique<Engine>(loop.get_executor(), log, std::move(options));
    }
    std::function<int(const std::string&, bool, std::unique_ptr<store::Files>&)> open_held() const {
        return [disk = disk](const std::string& path, bool make, std::unique_ptr<store::Files>& files) {
            const int error = store::open_folder(path, make, files);
            if (error == 0) files = std::make_unique<HeldFiles>(disk, std::move(files));
            return error;
        };
    }
    // The engine ends as it does when it is told to, and is no more.
    bool drained() {
        bool told = false;
        engine->drain([&] { told = true; });
        const bool in_time = run_until(loop, [&] { return told; });
        engine.reset();
        return in_time;
    }
    // A keeper without an engine round it.
    std::unique_ptr<Keeper> keeper(Micros remember_every) {
        Keeper::Options options;
        options.folder = folder.path();
        options.open_within = 5s;
        options.remember_every = remember_every;
        options.half_life = 10min;
        options.open_folder = open_held();
        return std::make_unique<Keeper>(loop.get_executor(), log, clock, options,
                                        recovery::History{"d", "api", "n0"});
    }
    bool under_way(const Keeper& its, std::size_t writes) {
        return run_until(loop, [&] { return its.under_way() == writes; });
    }
    bool finished(Keeper& its) {
        bool told = false;
        its.finish([&] { told = true; });
        disk->let_go();
        return run_until(loop, [&] { return told; }) && its.under_way() == 0;
    }
    void tell(std::uint64_t version) {
        core::MemberList list = parse_config(config.dump()).known;
        list.kind = ListKind::full;
        list.version = version;
        engine->take_list(std::move(list));
    }
    // So many requests, with a new list now and then; true when all were served.
    bool load(std::uint64_t calls) {
        standins::LoadClient::Settings s;
        s.targets = {*engine->address()};
        s.classes = {{"look", standins::CallKind::safe, 1, 2000, 0}};
        s.connections = 2;  // what one node takes at first
        s.calls = calls;
        s.seed = ++seed;
        std::uint64_t served = 0;
        s.on_result = [&](const standins::CallResult& result) {
            served += result.outcome == standins::Outcome::served;
            if (served % 20 == 0) tell(++version);
        };
        standins::LoadClient client(loop, s);
        client.start();
        const bool done = run_until(
            loop, [&] { return client.done(); }, 30s);
        EXPECT_EQ(served, calls);
        return done && served == calls;
    }
    int held() const {
        const std::lock_guard lock(disk->mutex);
        return disk->held;
    }
    bool forced() const {
        const std::lock_guard lock(disk->mutex);
        return disk->forced;
    }
    // The version that another start would find.
    std::uint64_t kept() {
        const auto stored = kept_all();
        return stored.list ? stored.list->head.version : 0;
    }
    recovery::StoredSnapshot kept_all() {
        store::Options options;
        options.engine.make = false;
        auto opened = store::Store::open(folder.path(), options);
        if (!opened.store) return {};
        std::promise<recovery::StoredSnapshot> told;
        (void)opened.store->ask([&](store::Engine& e) {
            store::SpaceId id = 0;
            std::vector<store::Engine::Item> items;
            std::vector<std::pair<std::string, std::string>> values;
            if (e.space("pools", store::SpaceKind::keys, false, id)) {
                (void)e.scan(id, "", "", 1000, items);
            }
            for (auto& item : items) values.emplace_back(item.key, item.value);
            told.set_value(recovery::decode("api", values));
        });
        return told.get_future().get();
    }

    boost::asio::io_context loop;
    loop::Clock clock;
    const store::test::FolderHere folder;
    std::shared_ptr<Disk> disk = std::make_shared<Disk>();
    standins::BookingNode node;
    json config;
    Lines log;
    std::unique_ptr<Engine> engine;
    std::uint64_t version = 100, seed = 0;
    std::string open_within = "1m";  // beyond any machine's patience
};

TEST(Keeper, KeepsTheLastListAndHandsItOverTheNextTime) {
    Stage s;
    s.start();
    EXPECT_EQ(s.log.count("store: no list is kept yet"), 1U);
    s.tell(41);
    ASSERT_TRUE(s.load(50));
    ASSERT_TRUE(s.drained());
    EXPECT_EQ(s.kept(), s.version);
    s.start();
    EXPECT_EQ(s.log.count("store: list " + std::to_string(s.version) + " with 1 server, "), 1U);
    EXPECT_NE(s.log.all[s.log.all.size() - 2].find("; 1 server remembered"), std::string::npos);
    ASSERT_TRUE(s.load(10));
}

// The sync is held from before the first request until after the last answer.
TEST(Keeper, AStalledDiskUnderLoadDelaysNoRequest) {
    Stage s;
    s.start();
    ASSERT_TRUE(s.load(20));
    s.disk->hold(Disk::Holds::syncs);
    s.tell(++s.version);
    ASSERT_TRUE(run_until(s.loop, [&] { return s.held() > 0; }));
    ASSERT_TRUE(s.load(2000));
    EXPECT_GT(s.held(), 0) << "the disk was let go before the last answer";
    EXPECT_FALSE(s.forced());
    s.disk->let_go();
    // And what was told meanwhile is kept.
    ASSERT_TRUE(s.drained());
    EXPECT_EQ(s.kept(), s.version);
}

// What comes while the disk stands still joins into one state: the queue does not grow.
TEST(Keeper, WritesUnderWayAreBounded) {
    Stage s;
    core::MemberList list = parse_config(s.config.dump()).known;
    auto keeper = s.keeper(10ms);
    (void)keeper->begin(list, {});
    double limit = 2;
    keeper->remember([&](UpstreamId) {
        UpstreamMemory memory;
        memory.limit = limit *= 1.5;
        return std::optional(memory);
    });
    s.disk->hold(Disk::Holds::all);
    list.kind = ListKind::full;
    std::size_t most = 0;
    for (int i = 0; i < 200; ++i) {
        ++list.version;
        keeper->on_list(list);
        s.loop.restart();
        s.loop.run_one_for(20ms);
        most = std::max(most, keeper->under_way());
    }
    EXPECT_EQ(most, 4U);
    ASSERT_TRUE(s.finished(*keeper));
    keeper.reset();
    EXPECT_EQ(s.kept(), list.version);
}

// Nothing of the store comes back at all: reads, writes, syncs. The start waits its 200 ms and serves; the
// end waits its two seconds and goes.
TEST(Keeper, ADiskThatIsStalledFromTheStartDelaysNoRequest) {
    Stage s;
    s.start();
    s.tell(++s.version);
    ASSERT_TRUE(s.load(20));
    s.engine.reset();
    s.disk->hold(Disk::Holds::all);
    s.open_within = "200ms";
    s.start();
    EXPECT_EQ(s.log.count("store: not read within 200 ms"), 1U);
    ASSERT_TRUE(s.load(500));
    EXPECT_GT(s.held(), 0);
    ASSERT_TRUE(s.drained());
    EXPECT_GT(s.held(), 0) << "it waited for the disk";
    EXPECT_FALSE(s.forced());
}

// A disk that comes to itself: from then on it is written to.
TEST(Keeper, AStoreThatIsReadTooLateIsStillWrittenTo) {
    Stage s;
    s.open_within = "200ms";
    s.disk->hold(Disk::Holds::all);
    s.start();
    s.tell(++s.version);
    ASSERT_TRUE(s.load(20));
    s.disk->let_go();
    ASSERT_TRUE(run_until(s.loop, [&] { return s.log.count("store: in use again") == 1; }));
    ASSERT_TRUE(s.drained());
    EXPECT_EQ(s.kept(), s.version);
}

struct Failure {
    const char* name;
    int Disk::*what;
    int error;
    bool passes;  // whether the store is used again once the disk is in order
};

void PrintTo(const Failure& its, std::ostream* out) { *out << its.name; }

class KeeperDisk : public testing::TestWithParam<Failure> {};

TEST_P(KeeperDisk, ThatFailsDelaysNoRequestAndIsSaidOnce) {
    const Failure& its = GetParam();
    Stage s;
    s.start();
    s.tell(++s.version);
    ASSERT_TRUE(s.load(20));
    const auto kept_before = s.version;
    s.disk->fail(its.what, its.error);
    s.tell(++s.version);
    ASSERT_TRUE(run_until(s.loop, [&] { return s.log.count("store: nothing is kept: ") > 0; }));
    ASSERT_TRUE(s.load(500));
    EXPECT_EQ(s.log.count("store: nothing is kept: "), 1U);
    if (!its.passes) return;
    s.disk->fail(its.what, 0);
    ASSERT_TRUE(run_until(s.loop, [&] { return s.log.count("store: in use again") == 1; }));
    ASSERT_TRUE(s.drained());
    EXPECT_GT(s.kept(), kept_before);
    EXPECT_EQ(s.kept(), s.version);
}

INSTANTIATE_TEST_SUITE_P(Keeper, KeeperDisk,
                         testing::Values(Failure{"Full", &Disk::append_error, ENOSPC, true},
                                         Failure{"SyncFails", &Disk::sync_error, EIO, false}),
                         [](const auto& info) { return std::string(info.param.name); });

// The end tries once.
TEST(Keeper, ADiskThatIsFullAtTheEndHoldsItNoLonger) {
    Stage s;
    s.start();
    ASSERT_TRUE(s.load(20));
    std::size_t tried = 0;
    {
        const std::lock_guard lock(s.disk->mutex);
        s.disk->append_error = ENOSPC;
        tried = s.disk->appends;
    }
    s.tell(++s.version);
    ASSERT_TRUE(s.drained());
    const std::lock_guard lock(s.disk->mutex);
    EXPECT_LT(s.disk->appends - tried, 100U);
}

// Written by a clock that was an hour ahead: it serves, and nothing of it is taken for young or for old.
TEST(Keeper, AClockThatHasGoneBackDoesNoHarm) {
    Stage s;
    const auto now = std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
    const Time ahead = now + std::chrono::hours(1);
    {
        auto opened = store::Store::open(s.folder.path(), {});
        ASSERT_TRUE(opened.store);
        (void)opened.store->ask([&](store::Engine& e) {
            store::SpaceId id = 0;
            ASSERT_TRUE(e.space("pools", store::SpaceKind::keys, true, id));
            recovery::Recorder recorder({"127.0.0.1:1", "api", "n0"}, {}, ahead);
            core::MemberList list = parse_config(s.config.dump()).known;
            list.kind = ListKind::full;
            list.version = 50;
            list.members[0].entry.started_at = ahead - std::chrono::minutes(30);
            recorder.on_list(ahead, list);
            store::Batch batch;
            for (const auto& change : recorder.take_list_changes()) batch.put(id, change.key, *change.value);
            const store::Batch* const one = &batch;
            ASSERT_TRUE(e.write({&one, 1}, true)[0].result);
        });
    }
    s.start();
    EXPECT_EQ(s.log.count("store: the clock has gone back"), 1U);
    EXPECT_EQ(s.log.count("store: list 50 with 1 server, 0 s old"), 1U);
    // It had run for half an hour: it is no cold one, though it started "later than now".
    ASSERT_TRUE(s.load(500));
}

// Off, it costs nothing: no thread, no file.
TEST(Keeper, WithoutTheTableThereIsNoStore) {
    Stage s;
    EngineOptions options{parse_config(s.config.dump()), settings::Values(settings::product_schema())};
    bool opened = false;
    options.open_folder = [&](const std::string&, bool, std::unique_ptr<store::Files>&) {
        opened = true;
        return EIO;
    };
    s.engine = std::make_unique<Engine>(s.loop.get_executor(), s.log, std::move(options));
    ASSERT_TRUE(s.load(50));
    EXPECT_FALSE(opened);
    EXPECT_EQ(s.log.count("store"), 0U);
}

// It may go at any time, whatever the store is about to tell it.
TEST(Keeper, MayGoAtAnyTime) {
    for (int steps = 0; steps < 40; ++steps) {
        Stage s;
        s.start();
        s.tell(++s.version);
        if (steps % 3 == 0) s.engine->drain([] {});
        for (int i = 0; i < steps; ++i) s.loop.run_one_for(2ms);
        s.engine.reset();
        s.loop.restart();
        s.loop.run_for(3ms);
    }
}

core::MemberList many(std::uint64_t version, std::size_t members) {
    core::MemberList list;
    list.kind = ListKind::full;
    list.version = version;
    for (UpstreamId id = 1; id <= members; ++id) {
        core::Member m;
        m.entry.id = id;
        m.name = "server-" + std::to_string(id);
        m.address = "127.0.0.1:" + std::to_string(10000 + id);
        list.members.push_back(std::move(m));
    }
    return list;
}

// A write of a list that fails while the next one is queued: the next holds a part of it only. What is found
// after a cut then is a list that there was, never a mixture of two.
TEST(Keeper, AWriteThatFailsLeavesNoMixtureOfTwoLists) {
    Stage s;
    auto keeper = s.keeper(1h);
    (void)keeper->begin({}, {});
    keeper->on_list(many(1, 2));
    ASSERT_TRUE(s.under_way(*keeper, 1) && s.under_way(*keeper, 0));
    s.disk->hold(Disk::Holds::all);
    auto list = many(2, 2);
    list.members[0].entry.state = UpstreamState::draining;
    keeper->on_list(list);
    ASSERT_TRUE(run_until(s.loop, [&] { return keeper->under_way() == 1 && s.held() == 1; }));
    list.version = 3;
    list.members[1].entry.state = UpstreamState::draining;
    keeper->on_list(list);
    // It need not be written yet.
    (void)run_until(
        s.loop, [&] { return keeper->under_way() == 2; }, 500ms);
    s.disk->fail(&Disk::fail_once, ENOSPC);
    s.disk->let_go();
    ASSERT_TRUE(s.under_way(*keeper, 0));
    keeper.reset();
    const auto found = s.kept_all();
    ASSERT_TRUE(found.list);
    std::size_t draining = 0;
    for (const auto& m : found.list->members) draining += m.entry.state == UpstreamState::draining;
    EXPECT_EQ(draining, found.list->head.version - 1) << "list " << found.list->head.version;
}

// As many as are kept have more than one look at the store gives.
TEST(Keeper, TheLargestListIsReadWithAllThatWasLearned) {
    Stage s;
    auto list = many(1, recovery::Recorder::max_members);
    for (auto& m : list.members) m.name.resize(100, 'n');
    auto keeper = s.keeper(100ms);
    (void)keeper->begin({}, {});
    keeper->on_list(list);
    keeper->remember([&](UpstreamId id) {
        UpstreamMemory memory;
        memory.limit = 20 + 1.0 / static_cast<double>(id);
        memory.ours = 3 + 1.0 / static_cast<double>(id);
        memory.latency_us = memory.idle_us = 9000 + 1.0 / static_cast<double>(id);
        memory.out = memory.died = true;
        memory.cold_since = memory.out_until = memory.answered_at = s.clock.now();
        return std::optional(memory);
    });
    ASSERT_TRUE(run_until(s.loop, [&] { return keeper->under_way() > 0; }));
    ASSERT_TRUE(s.finished(*keeper));
    keeper.reset();
    keeper = s.keeper(100ms);
    core::MemberList none;
    none.kind = ListKind::cached;
    const auto begun = keeper->begin(none, {});
    EXPECT_EQ(begun.members.size(), list.members.size());
    EXPECT_TRUE(std::all_of(begun.members.begin(), begun.members.end(),
                            [](const auto& m) { return m.entry.memory.has_value(); }));
}

// Names that take more room written than the recorder counts: what was not written is not taken for written.
TEST(Keeper, AListThatIsTooLargeToWriteLeavesNoMixtureOfTwo) {
    Stage s;
    auto keeper = s.keeper(10ms);
    (void)keeper->begin({}, {});
    keeper->on_list(many(1, 8000));
    ASSERT_TRUE(s.under_way(*keeper, 1) && s.under_way(*keeper, 0));
    auto large = many(2, 8000);
    for (auto& m : large.members) {
        m.name += std::string(100, '\x01');
        m.entry.state = UpstreamState::draining;
    }
    keeper->on_list(large);
    ASSERT_TRUE(run_until(s.loop, [&] { return s.log.count("store: not kept: ") == 1; }));
    large.version = 3;
    large.members[0].name = "another";
    keeper->on_list(large);
    (void)run_until(
        s.loop, [&] { return keeper->under_way() == 1; }, 500ms);
    ASSERT_TRUE(s.under_way(*keeper, 0));
    keeper.reset();
    const auto found = s.kept_all();
    if (!found.list) return;
    EXPECT_EQ(found.list->head.version, 1U);
}

}  // namespace
}  // namespace flaxdoor::engine::test
