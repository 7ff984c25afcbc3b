// Tests of limits, identity, snapshots, streams, and the POSIX files.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <string>

#include "folder_here.h"
#include "model.h"
#include "sim_files.h"
#include "workload.h"

namespace flaxdoor::store::test {
namespace {

struct OpenStore {
    SimFiles files;
    std::unique_ptr<Engine> engine;
    SpaceId keys = 0, streams = 0;

    explicit OpenStore(EngineOptions options = {}) {
        auto opened = Engine::open(files, options, counting(1));
        EXPECT_TRUE(opened.result) << opened.result.why;
        engine = std::move(opened.engine);
        EXPECT_TRUE(engine->space("keys", SpaceKind::keys, true, keys));
        EXPECT_TRUE(engine->space("streams", SpaceKind::streams, true, streams));
    }
    Status status(const Batch& batch) { return write(*engine, batch).result.status; }
};

TEST(StoreBounds, KeysValuesAndBatches) {
    OpenStore store;
    const std::size_t before = store.files.operations().size();
    const std::string longest_key(max_key, 'k'), longest_value(max_value, 'v');
    Batch batch;
    const auto expect_refused = [&](const char* what) {
        EXPECT_EQ(store.status(batch), Status::refused) << what;
        batch = {};
    };
    batch.put(store.keys, longest_key + "k", "v");
    expect_refused("key too long");
    batch.put(store.keys, "", "v");
    expect_refused("empty key");
    batch.put(store.keys, "k", longest_value + "v");
    expect_refused("value too long");
    for (int i = 0; i < 5; ++i) batch.put(store.keys, "k" + std::to_string(i), longest_value);
    expect_refused("too many bytes");
    for (std::size_t i = 0; i <= max_operations; ++i) batch.put(store.keys, "k", "v");
    expect_refused("too many operations");
    batch.append(store.streams, longest_key + "k", "v");
    expect_refused("stream name too long");
    EXPECT_EQ(store.files.operations().size(), before);

    for (int i = 0; i < 3; ++i)
        batch.put(store.keys, longest_key.substr(1) + std::to_string(i), longest_value);
    EXPECT_EQ(store.status(batch), Status::ok);
    batch = {};
    for (std::size_t i = 0; i < max_operations; ++i) batch.put(store.keys, "k", std::to_string(i));
    EXPECT_EQ(store.status(batch), Status::ok);
    std::optional<std::string> value;
    ASSERT_TRUE(store.engine->get(store.keys, "k", value));
    EXPECT_EQ(value, std::to_string(max_operations - 1));
    // A scan stops after 4 MiB and can be continued after its last key.
    std::vector<Engine::Item> items;
    ASSERT_TRUE(store.engine->scan(store.keys, "", "", 10'000, items));
    EXPECT_EQ(items.size(), 4U);
}

TEST(StoreBounds, ScansStopAtTheByteLimit) {
    OpenStore store;
    for (int i = 0; i < 6; ++i) {
        Batch batch;
        batch.put(store.keys, std::to_string(i), std::string(max_value, 'v'));
        ASSERT_EQ(store.status(batch), Status::ok);
        ASSERT_TRUE(finish_work(*store.engine));
    }
    std::vector<Engine::Item> items;
    ASSERT_TRUE(store.engine->scan(store.keys, "", "", 10'000, items));
    ASSERT_EQ(items.size(), 4U);
    ASSERT_TRUE(store.engine->scan(store.keys, items.back().key + '\0', "", 10'000, items));
    EXPECT_EQ(items.size(), 2U);
}

TEST(StoreBounds, SpacesAndKinds) {
    OpenStore store;
    for (const bool streams : {false, true}) {
        for (const SpaceId space : {SpaceId{0}, SpaceId{99}, streams ? store.keys : store.streams}) {
            Batch put, erase;
            if (streams) {
                put.append(space, "s", "v");
                erase.trim(space, "s", 1);
            } else {
                put.put(space, "nkeys", "v");
                erase.erase(space, "nkeys");
            }
            EXPECT_EQ(store.status(put), Status::refused) << space;
            EXPECT_EQ(store.status(erase), Status::refused) << space;
        }
    }
    // A refused batch does not affect the others.
    Batch good, bad;
    good.put(store.keys, "k", "v");
    bad.put(SpaceId{99}, "k", "v");
    const Batch* const group[] = {&good, &bad, &good};
    const auto written = store.engine->write(group, true);
    EXPECT_TRUE(written[0].result);
    EXPECT_EQ(written[1].result.status, Status::refused);
    EXPECT_TRUE(written[2].result);
    EXPECT_EQ(written[2].sequence, written[0].sequence + 1);

    SpaceId id = 0;
    EXPECT_EQ(store.engine->space("keys", SpaceKind::streams, true, id).status, Status::refused);
    EXPECT_EQ(store.engine->space("", SpaceKind::keys, true, id).status, Status::refused);
    EXPECT_EQ(store.engine->space(std::string(201, 'n'), SpaceKind::keys, true, id).status, Status::refused);
    EXPECT_EQ(store.engine->space("none", SpaceKind::keys, false, id).status, Status::refused);
    std::optional<std::string> value;
    EXPECT_EQ(store.engine->get(store.streams, "k", value).status, Status::refused);
    EXPECT_EQ(store.engine->get(0, "nkeys", value).status, Status::refused);
    std::vector<Engine::Item> items;
    EXPECT_EQ(store.engine->scan(0, "", "", 10, items).status, Status::refused);
}

TEST(StoreBounds, MaximumNumberOfSpaces) {
    OpenStore store;
    std::vector<SpaceId> ids;
    SpaceId id = 0;
    for (int i = 0; i < 998; ++i) {
        const std::string name = "space " + std::to_string(i);
        ASSERT_TRUE(store.engine->space(name, SpaceKind::keys, true, id));
        ids.push_back(id);
        Batch batch;
        batch.put(id, "first", name);
        batch.put(id, "\xff\xff last", name);
        ASSERT_EQ(store.status(batch), Status::ok);
    }
    EXPECT_EQ(store.engine->space("one more", SpaceKind::keys, true, id).status, Status::refused);
    // Each space holds only its own keys.
    for (std::size_t i = 0; i < ids.size(); ++i) {
        std::vector<Engine::Item> items;
        ASSERT_TRUE(store.engine->scan(ids[i], "", "", 10, items));
        ASSERT_EQ(items.size(), 2U) << ids[i];
        EXPECT_EQ(items[0].value, "space " + std::to_string(i));
        EXPECT_EQ(items[1].value, items[0].value);
    }
}

TEST(StoreStreams, PositionsOnlyGrow) {
    OpenStore store;
    Batch batch;
    for (int i = 0; i < 10; ++i) batch.append(store.streams, "s", std::to_string(i));
    auto written = write(*store.engine, batch);
    ASSERT_EQ(written.positions.size(), 10U);
    EXPECT_EQ(written.positions.back(), 9U);
    // All elements are trimmed, including some of the same group and batch.
    Batch more, trim;
    more.append(store.streams, "s", "10");
    trim.append(store.streams, "s", "11");
    trim.trim(store.streams, "s", 1000);
    trim.append(store.streams, "s", "12");
    const Batch* const group[] = {&more, &trim};
    const auto both = store.engine->write(group, true);
    EXPECT_EQ(both[0].positions, std::vector<std::uint64_t>{10});
    EXPECT_EQ(both[1].positions, (std::vector<std::uint64_t>{11, 12}));
    std::vector<Engine::Element> elements;
    ASSERT_TRUE(store.engine->read_stream(store.streams, "s", 0, 100, elements));
    ASSERT_EQ(elements.size(), 1U);
    EXPECT_EQ(elements[0].position, 12U);
    EXPECT_EQ(elements[0].value, "12");
    trim = {};
    trim.trim(store.streams, "s", 13);
    ASSERT_EQ(store.status(trim), Status::ok);
    store.engine->compact_all();
    ASSERT_TRUE(finish_work(*store.engine));
    store.engine.reset();
    auto opened = Engine::open(store.files, {}, counting(2));
    std::uint64_t next = 0;
    ASSERT_TRUE(opened.engine->next_position(store.streams, "s", next));
    EXPECT_EQ(next, 13U);
}

TEST(StoreStreams, ManyElementsAreFoundAndTrimmedInSteps) {
    OpenStore store;
    for (int n = 0; n < 3; ++n) {
        Batch batch;
        for (int i = 0; i < 9'000; ++i) batch.append(store.streams, "s", "x");
        ASSERT_EQ(store.status(batch), Status::ok);
    }
    store.engine.reset();
    auto opened = Engine::open(store.files, {}, counting(2));
    store.engine = std::move(opened.engine);
    std::uint64_t next = 0;
    ASSERT_TRUE(store.engine->next_position(store.streams, "s", next));
    EXPECT_EQ(next, 27'000U);
    Batch trim;
    trim.trim(store.streams, "s", 20'000);
    EXPECT_EQ(store.status(trim), Status::refused);
    for (std::uint64_t before = 5'000; before <= 20'000; before += 5'000) {
        trim = {};
        trim.trim(store.streams, "s", before);
        EXPECT_EQ(store.status(trim), Status::ok);
    }
    std::vector<Engine::Element> elements;
    ASSERT_TRUE(store.engine->read_stream(store.streams, "s", 0, 1, elements));
    EXPECT_EQ(elements.front().position, 20'000U);
}

// model_test.cpp tests what an open snapshot reads. This tests that a released snapshot frees the old
// versions.
TEST(StoreSnapshot, ReleasedSnapshotFreesOldVersions) {
    OpenStore store(small_options());
    make_spaces(*store.engine, nullptr);
    WorkloadMaker maker(4);
    const auto write_and_compact = [&](int batches) {
        for (int i = 0; i < batches; ++i) {
            while (store.engine->crowded()) ASSERT_TRUE(store.engine->step());
            ASSERT_EQ(store.status(batch_of(*store.engine, maker.next())), Status::ok);
        }
        store.engine->compact_all();
        ASSERT_TRUE(finish_work(*store.engine));
    };
    write_and_compact(60);
    const std::uint64_t snapshot = store.engine->take_snapshot();
    for (int i = 0; i < 4; ++i) write_and_compact(60);
    const std::uint64_t held_bytes = store.engine->figures().run_bytes;
    store.engine->release_snapshot(snapshot);
    write_and_compact(1);
    EXPECT_LT(store.engine->figures().run_bytes, held_bytes);
}

// Guards against a log that grows without bound when few keys are overwritten, as the memory table then
// stays small.
TEST(StoreBounds, OverwritesDoNotFillTheLog) {
    OpenStore store(small_options());
    Batch batch;
    batch.put(store.keys, "k", "some value");
    for (int i = 0; i < 2'000; ++i) {
        ASSERT_TRUE(finish_work(*store.engine));
        ASSERT_EQ(store.status(batch), Status::ok);
        ASSERT_LT(store.files.disk().bytes(), 20'000U);
    }
}

// Memory and log stay bounded while no runs are written, and the caller gets an error.
TEST(StoreBounds, WritesAreRejectedWhileNoRunIsWritten) {
    OpenStore store(small_options());
    int written = 0;
    for (int i = 0; i < 2'000; ++i) {
        Batch batch;
        batch.put(store.keys, "k" + std::to_string(i), "some value");
        const Status status = store.status(batch);
        if (status == Status::ok) ++written;
        ASSERT_TRUE(status == Status::ok || status == Status::retry);
    }
    EXPECT_LT(written, 200);
    EXPECT_TRUE(store.engine->crowded());
    ASSERT_TRUE(finish_work(*store.engine));
    Batch batch;
    batch.put(store.keys, "k", "v");
    EXPECT_EQ(store.status(batch), Status::ok);
}

TEST(StoreIdentity, UnexpectedIdentityIsRefused) {
    OpenStore store;
    const Identity identity = store.engine->identity();
    store.engine.reset();
    const Image copied = store.files.disk().visible();
    EngineOptions options;
    options.expected = identity;
    options.expected->front() ^= 1;
    SimFiles other(copied);
    const auto opened = Engine::open(other, options, counting(2));
    EXPECT_EQ(opened.result.status, Status::refused);
    EXPECT_NE(opened.result.why.find(store::text_of(identity)), std::string::npos);
    EXPECT_TRUE(other.operations().empty());
    options.expected = identity;
    EXPECT_TRUE(Engine::open(other, options, counting(2)).result);
    // With an expected identity no store is created.
    SimFiles empty;
    EXPECT_EQ(Engine::open(empty, options, counting(3)).result.status, Status::refused);
    // Two new stores have different identities.
    SimFiles second;
    EXPECT_NE(Engine::open(second, {}, counting(4)).engine->identity(), identity);
}

// Real files

TEST(StorePosix, MatchesModel) {
    const FolderHere folder;
    Model model;
    for (const auto& [space, kind] : names().spaces) model.make_space(space, kind);
    WorkloadMaker maker(6);
    for (int i = 0; i < 4; ++i) {
        std::unique_ptr<Files> files;
        ASSERT_EQ(open_folder(folder.path() + "/store", true, files), 0);
        auto opened = Engine::open(*files, small_options(), counting(static_cast<std::uint64_t>(i)));
        ASSERT_TRUE(opened.result) << opened.result.why;
        EXPECT_EQ(opened.opening.made, i == 0);
        make_spaces(*opened.engine, nullptr);
        for (int n = 0; n < 15; ++n) {
            const Changes changes = maker.next();
            ASSERT_TRUE(write(*opened.engine, changes, n % 8 == 0).result);
            model.apply(changes);
            ASSERT_TRUE(finish_work(*opened.engine));
        }
        ASSERT_EQ(text_of(*opened.engine, names()), model.text());
        ASSERT_TRUE(opened.engine->verify([](const std::string&) {}));
        // The same owner can open the store again without being locked out, for example after a failed sync.
        opened.engine.reset();
        opened = Engine::open(*files, small_options(), counting(100));
        ASSERT_TRUE(opened.result) << opened.result.why;
        ASSERT_EQ(text_of(*opened.engine, names()), model.text());
    }
}

TEST(StorePosix, FailedCallsReturnErrno) {
    const FolderHere folder;
    std::unique_ptr<Files> files;
    EXPECT_EQ(open_folder(folder.path() + "/none", false, files), ENOENT);
    EXPECT_EQ(open_folder(folder.path() + "/none/deeper", true, files), ENOENT);
    ASSERT_EQ(open_folder(folder.path(), false, files), 0);
    std::unique_ptr<File> file, again;
    EXPECT_EQ(files->open("a", file), ENOENT);
    EXPECT_EQ(files->remove("a"), ENOENT);
    ASSERT_EQ(files->create("a", file), 0);
    EXPECT_EQ(files->create("a", again), EEXIST);
    ASSERT_EQ(file->append("hello"), 0);
    ASSERT_EQ(file->append(" there"), 0);
    ASSERT_EQ(file->truncate(5), 0);
    ASSERT_EQ(file->append("!"), 0);
    EXPECT_EQ(file->sync(), 0);
    std::string text;
    ASSERT_EQ(file->read(1, 100, text), 0);
    EXPECT_EQ(text, "ello!");
    ASSERT_EQ(files->open("a", again), 0);
    EXPECT_EQ(again->append("x"), EBADF);  // opened for reading
    ASSERT_EQ(files->remove("a"), 0);
    ASSERT_EQ(again->read(0, 2, text), 0);
    EXPECT_EQ(text, "he");
    EXPECT_EQ(files->sync_folder(), 0);
}

TEST(StorePosix, SecondProcessIsLockedOut) {
    const FolderHere folder;
    std::unique_ptr<Files> files;
    ASSERT_EQ(open_folder(folder.path(), false, files), 0);
    auto opened = Engine::open(*files, {}, counting(1));
    ASSERT_TRUE(opened.result);
    const auto second = [&] {
        const pid_t child = ::fork();
        if (child == 0) {
            std::unique_ptr<Files> child_files;
            if (open_folder(folder.path(), false, child_files) != 0) ::_exit(9);
            const auto result = Engine::open(*child_files, {}, counting(2)).result;
            ::_exit(result ? 1 : result.status == Status::refused ? 2 : 3);
        }
        int status = 0;
        ::waitpid(child, &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    };
    EXPECT_EQ(second(), 2);
    opened.engine.reset();
    files.reset();
    EXPECT_EQ(second(), 1);
}

}  // namespace
}  // namespace flaxdoor::store::test
