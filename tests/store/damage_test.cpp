// Cases of what a power cut leaves of a compaction and of a record, and of damage that is not the result of
// a cut.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>

#include "folder_here.h"
#include "history.h"
#include "store/coding.h"
#include "store/log.h"

namespace flaxdoor::store::test {
namespace {

EngineOptions options_without_runs() {
    EngineOptions options = small_options();
    options.memory_table = options.log = 1'000'000;
    return options;
}

// A store with a few batches in one log, and the offsets of its records.
struct SmallStore {
    Image image;
    Identity identity{};
    std::string log;  // name of the log
    std::uint64_t number = 0;
    std::vector<Record> records;
    History history;  // one state per batch
    std::string bytes;

    explicit SmallStore(int batches, std::uint64_t salts = 1) {
        SimFiles files;
        auto opened = Engine::open(files, options_without_runs(), counting(salts));
        identity = opened.engine->identity();
        Model model;
        make_spaces(*opened.engine, &model);
        WorkloadMaker maker(7);
        for (int i = 0; i < batches; ++i) {
            const Changes changes = maker.next();
            const auto written = write(*opened.engine, changes);
            if (written.sequence == history.states.back().sequence) continue;
            model.apply(changes);
            history.add(written.sequence, std::make_shared<const Model>(model));
        }
        image = files.disk().visible();
        for (const auto& [name, content] : image) {
            if (name.ends_with(".log")) log = name;
        }
        number = parse_file_name(log)->number;
        bytes = image[log];
        const LogReader reader(bytes, identity, number);
        for (std::uint64_t at = log_header_bytes; at < bytes.size();) {
            const auto record = reader.at(at);
            EXPECT_TRUE(record) << at;
            if (!record) break;
            records.push_back(*record);
            at = record->end;
        }
    }
};

// A larger store with runs.
struct LargeStore {
    Image image;
    std::string text;

    explicit LargeStore(std::uint64_t seed = 20, std::uint64_t salts = 1) {
        SimFiles files;
        text = *record(files, files, seed, salts, 20).history.states.back().text;
        image = files.disk().visible();
    }
};

struct OpenOutcome {
    Result result;
    Opening opening;
    std::string text;
    Result verified;       // result of verify(), or of the opening if that failed
    bool changed = false;  // whether the opening changed anything on the disk
    Image left;
};
OpenOutcome open(const Image& image, EngineOptions options = small_options()) {
    SimFiles files(image);
    auto opened = Engine::open(files, options, counting(5));
    OpenOutcome outcome{opened.result, opened.opening, {}, opened.result, !files.operations().empty(), {}};
    if (opened.engine) {
        outcome.text = text_of(*opened.engine, names(), 100);
        outcome.verified = opened.engine->verify([](const std::string&) {});
    }
    outcome.left = files.disk().visible();
    return outcome;
}

Image with_flipped_bits(Image image, const std::string& name, std::uint64_t at, int bits = 0x10) {
    image[name][at] = static_cast<char>(image[name][at] ^ bits);
    return image;
}

void expect_damage(const Image& image, const std::string& file, std::uint64_t offset,
                   const std::string& what) {
    const OpenOutcome outcome = open(image);
    EXPECT_EQ(outcome.result.status, Status::corrupt) << what << ": " << outcome.result.why;
    EXPECT_TRUE(outcome.result.why.starts_with(file + ", offset " + std::to_string(offset)))
        << what << ": " << outcome.result.why;
    EXPECT_FALSE(outcome.changed) << what;
}
// Records

// Damage of each byte of headers, manifests, the identity, and records that a later record states as
// durable.
TEST(StoreDamage, DamageOfEachDurableByteIsDetected) {
    struct Piece {
        std::string file;
        std::uint64_t begin, end;
    };
    const SmallStore store(8);
    std::vector<Piece> pieces;
    for (std::size_t r = 0; r + 1 < store.records.size(); ++r)
        pieces.push_back({store.log, store.records[r].offset, store.records[r].end});
    for (const auto& [name, content] : store.image)
        pieces.push_back({name, 0, name == store.log ? log_header_bytes : content.size()});
    for (const Piece& piece : pieces) {
        for (std::uint64_t at = piece.begin; at < piece.end; ++at) {
            expect_damage(with_flipped_bits(store.image, piece.file, at), piece.file, piece.begin,
                          piece.file + " byte " + std::to_string(at));
        }
    }
}

TEST(StoreDamage, DamagedLastRecordIsDroppedAsTail) {
    const SmallStore store(8);
    const Record& last = store.records.back();
    const auto& states = store.history.states;
    for (std::uint64_t at = last.offset; at < last.end; ++at) {
        const OpenOutcome outcome = open(with_flipped_bits(store.image, store.log, at));
        ASSERT_TRUE(outcome.result) << outcome.result.why;
        EXPECT_EQ(outcome.text, *states[states.size() - 2].text) << at;
        EXPECT_EQ(outcome.opening.dropped_in, store.log);
        EXPECT_EQ(outcome.opening.dropped_at, last.offset);
        EXPECT_EQ(outcome.opening.dropped, last.end - last.offset);
    }
}

TEST(StoreDamage, LastRecordTornAtEveryByte) {
    const SmallStore store(8);
    // The same log with other salts stands for the former content of reused disk blocks.
    const SmallStore former(8, 2);
    ASSERT_EQ(former.bytes.size(), store.bytes.size());
    const Record& last = store.records.back();
    const auto& states = store.history.states;
    for (std::uint64_t at = last.offset; at <= last.end; ++at) {
        for (const char filler : {'\0', '\x7f', 'f', '-'}) {
            Image image = store.image;
            std::string& log = image[store.log];
            log.resize(at);
            if (filler == 'f') {
                log += former.bytes.substr(at);  // the bytes of a former file follow
            } else if (filler != '-') {
                log.resize(last.end, filler);
            }
            const OpenOutcome outcome = open(image);
            ASSERT_TRUE(outcome.result) << outcome.result.why;
            // The missing bytes may be zeros, so that the filler completes the record.
            const bool complete = log == store.bytes;
            EXPECT_EQ(outcome.text, *states[states.size() - (complete ? 1 : 2)].text) << at;
        }
    }
}

TEST(StoreDamage, WrongRecordLength) {
    const SmallStore store(8);
    const std::uint64_t last = store.records.back().offset, durable_offset = store.records[2].offset;
    for (const std::uint32_t length : {0U, 1U, 8U, 1000U, 0xffffffU, 0x7fffffffU, 0xffffffffU}) {
        const auto with_length = [&](std::uint64_t record) {
            Image image = store.image;
            std::string number;
            put_u32(number, length);
            image[store.log].replace(record + 8, 4, number);
            return image;
        };
        expect_damage(with_length(durable_offset), store.log, durable_offset,
                      "length " + std::to_string(length));
        const OpenOutcome outcome = open(with_length(last));
        ASSERT_TRUE(outcome.result) << outcome.result.why;
        EXPECT_EQ(outcome.opening.dropped_at, last);
    }
}

TEST(StoreDamage, DuplicateSequence) {
    const SmallStore store(8);
    const Record& last = store.records.back();
    const auto with_duplicate = [&](std::uint64_t durable_sequence) {
        Image image = store.image;
        RecordWriter writer;
        writer.put("\x01key", "twice");
        writer.finish(image[store.log], u64_at(store.bytes, 40), last.first_sequence, durable_sequence);
        return image;
    };
    expect_damage(with_duplicate(last.last_sequence() + 1), store.log, store.bytes.size(),
                  "states a greater durable sequence");
    const OpenOutcome outcome = open(with_duplicate(last.last_sequence()));
    ASSERT_TRUE(outcome.result) << outcome.result.why;
    EXPECT_EQ(outcome.text, *store.history.states.back().text);
    EXPECT_EQ(outcome.opening.dropped_at, store.bytes.size());
}

TEST(StoreDamage, IntactRecordsAfterATailAreDropped) {
    // The batches are written without a sync, so no record states them as durable.
    SimFiles files;
    auto opened = Engine::open(files, options_without_runs(), counting(1));
    Model model;
    make_spaces(*opened.engine, &model);
    const std::string before = model.text();
    const std::size_t durable = files.operations().size();
    WorkloadMaker maker(3);
    for (int i = 0; i < 5; ++i) {
        ASSERT_TRUE(write(*opened.engine, maker.next(), false).result);
    }
    const std::uint64_t offset_in_first_record = files.operations()[durable].at + 40;
    SimFiles after(with_flipped_bits(files.disk().visible(), name_of(1, "log"), offset_in_first_record, 1));
    auto again = Engine::open(after, options_without_runs(), counting(2));
    ASSERT_TRUE(again.result) << again.result.why;
    EXPECT_EQ(text_of(*again.engine, names()), before);
    EXPECT_GT(again.opening.dropped, 5U * 32);
    // The records stay dropped after the byte is restored.
    again.engine.reset();
    again = Engine::open(after, options_without_runs(), counting(3));
    ASSERT_TRUE(again.result);
    EXPECT_EQ(again.opening.dropped, 0U);
    EXPECT_EQ(text_of(*again.engine, names()), before);
}

// A closed log is durable up to its end, and the header of the next log states so.
TEST(StoreDamage, DamagedLastRecordOfAClosedLogIsDetected) {
    SimFiles files;
    auto opened = Engine::open(files, small_options(), counting(1));
    make_spaces(*opened.engine, nullptr);
    WorkloadMaker maker(3);
    std::vector<std::string> logs;
    while (logs.size() < 2) {
        ASSERT_TRUE(write(*opened.engine, maker.next()).result);
        logs = files.disk().names();
        std::erase_if(logs, [](const std::string& name) { return !name.ends_with(".log"); });
    }
    Image image = files.disk().visible();
    ASSERT_EQ(image[logs.back()].size(), log_header_bytes);
    const std::string log = logs.front();
    const LogReader reader(image[log], opened.engine->identity(), parse_file_name(log)->number);
    std::uint64_t last = log_header_bytes;
    while (reader.at(last)->end < image[log].size()) last = reader.at(last)->end;
    expect_damage(with_flipped_bits(image, log, last + 33, 1), log, last, "last record");
    // The record is missing completely.
    image[log].resize(last);
    expect_damage(image, log, last, "no last record");
}

// Files

TEST(StoreDamage, MissingFiles) {
    const LargeStore store;
    std::set<std::string> kinds;
    for (const auto& [name, content] : store.image) {
        Image remaining = store.image;
        remaining.erase(name);
        const std::string kind = name.substr(name.find('.') + 1);
        kinds.insert(kind);
        expect_damage(remaining, kind == "manifest" ? "manifest" : name, 0, name + " is missing");
    }
    EXPECT_EQ(kinds, (std::set<std::string>{"IDENTITY", "log", "manifest", "run"}));
    // Without any file a new store is created, unless that is disabled.
    EngineOptions options;
    options.make = false;
    EXPECT_EQ(open({}, options).result.status, Status::refused);
    EXPECT_TRUE(open({}).opening.made);
}

TEST(StoreDamage, EmptyFiles) {
    const LargeStore store;
    for (const auto& [name, content] : store.image) {
        Image emptied = store.image;
        emptied[name].clear();
        expect_damage(emptied, name, 0, name + " is empty");
    }
    // Files that a power cut may have left empty.
    for (const char* kind : {"log", "run", "manifest"}) {
        Image extended = store.image;
        extended[name_of(9999, kind)];
        const OpenOutcome outcome = open(extended);
        ASSERT_TRUE(outcome.result) << kind << ": " << outcome.result.why;
        EXPECT_EQ(outcome.text, store.text) << kind;
    }
}

TEST(StoreDamage, UnnamedFilesAreRemovedAndForeignFilesRefused) {
    const LargeStore store;
    Image image = store.image;
    image[name_of(9990, "run")] = "anything";
    image[name_of(0, "log")] = "an old one";
    image["0000000007.run.lost"] = "kept";
    image["lost+found"] = "";
    const OpenOutcome cleared = open(image);
    ASSERT_TRUE(cleared.result) << cleared.result.why;
    EXPECT_EQ(cleared.text, store.text);
    EXPECT_FALSE(cleared.left.contains(name_of(9990, "run")));
    EXPECT_FALSE(cleared.left.contains(name_of(0, "log")));
    EXPECT_TRUE(cleared.left.contains("0000000007.run.lost"));
    // A folder with foreign files is not changed.
    for (const char* name : {"notes.txt", "0000000001.tmp", "00000001.run", "0000000001.manifest.bak"}) {
        Image other = image;
        other[name] = "mine";
        const OpenOutcome outcome = open(other);
        EXPECT_EQ(outcome.result.status, Status::refused) << name;
        EXPECT_FALSE(outcome.changed);
    }
}

TEST(StoreDamage, DamageOfEachByteOfARunIsDetected) {
    const LargeStore store;
    int runs = 0;
    for (const auto& [name, content] : store.image) {
        if (!name.ends_with(".run") || ++runs > 3) continue;
        for (std::size_t at = 0; at < content.size(); ++at) {
            const OpenOutcome outcome = open(with_flipped_bits(store.image, name, at, 1));
            // Content that is read is either correct or refused as damaged.
            if (outcome.text.starts_with("failed")) {
                EXPECT_TRUE(outcome.text.starts_with("failed: corrupt: " + name + ", offset "));
            } else if (outcome.result) {
                EXPECT_EQ(outcome.text, store.text);
            }
            ASSERT_EQ(outcome.verified.status, Status::corrupt) << name << " byte " << at;
            ASSERT_TRUE(outcome.verified.why.starts_with(name + ", offset ")) << outcome.verified.why;
        }
    }
    EXPECT_GE(runs, 3);
}

// A file of the right name and size that belongs to another store.
TEST(StoreDamage, RunOfAnotherStoreIsDetected) {
    const LargeStore store, other(20, 2);
    int runs = 0;
    for (const auto& [name, content] : store.image) {
        if (!name.ends_with(".run")) continue;
        ASSERT_TRUE(other.image.contains(name));
        ASSERT_EQ(other.image.at(name).size(), content.size());
        ++runs;
        Image mixed = store.image;
        mixed[name] = other.image.at(name);
        const Result verified = open(mixed).verified;
        EXPECT_EQ(verified.status, Status::corrupt);
        EXPECT_TRUE(verified.why.starts_with(name)) << verified.why;
    }
    EXPECT_GT(runs, 0);
}

TEST(StoreDamage, NewerVersionsAreRefused) {
    const LargeStore store;
    for (const auto& [name, content] : store.image) {
        Image newer_image = store.image;
        std::string& bytes = newer_image[name];
        const auto set_newer_version = [&](std::size_t version_at, std::size_t hashed_size,
                                           std::size_t hash_at, std::size_t from) {
            bytes[version_at] = 2;
            std::string hash;
            put_u64(hash, hash_of(std::string_view(bytes).substr(from, hashed_size), 0));
            bytes.replace(hash_at, 8, hash);
        };
        const std::size_t size = bytes.size();
        if (name == "IDENTITY") set_newer_version(8, 32, 32, 0);
        if (name.ends_with(".log")) set_newer_version(8, 56, 56, 0);
        if (name.ends_with(".manifest")) set_newer_version(8, size - 8, size - 8, 0);
        if (name.ends_with(".run")) set_newer_version(size - 112 + 88, 96, size - 112 + 96, size - 112);
        const OpenOutcome outcome = open(newer_image);
        EXPECT_EQ(outcome.verified.status, Status::refused) << name;
        EXPECT_EQ(outcome.verified.why, name + ": written by a newer version");
        EXPECT_TRUE(!outcome.changed || (name.ends_with(".run") && outcome.result)) << name;
    }
}

// Compaction

TEST(StoreCut, PowerCutAtEveryStepOfACompaction) {
    // Prepares some runs without pending flushes, then records the operations of one merge.
    SimFiles files;
    auto opened = Engine::open(files, small_options(), counting(1));
    History history;
    Model model;
    make_spaces(*opened.engine, &model);
    WorkloadMaker maker(11);
    while (opened.engine->figures().flushes < 2) {
        const Changes changes = maker.next();
        ASSERT_TRUE(write(*opened.engine, changes).result);
        model.apply(changes);
        while (opened.engine->figures().flushes < 2 && opened.engine->has_work())
            ASSERT_TRUE(opened.engine->step());
    }
    history.add(opened.engine->figures().sequence, std::make_shared<const Model>(model));
    Disk disk = files.disk();
    const std::size_t begin = files.operations().size();
    ASSERT_TRUE(opened.engine->has_work());
    while (opened.engine->figures().merges == 0) ASSERT_TRUE(opened.engine->step());
    const std::vector<Operation> operations(files.operations().begin() + static_cast<std::ptrdiff_t>(begin),
                                            files.operations().end());
    Checker checker;
    Random random(1);
    std::set<std::string> steps;
    std::map<std::size_t, std::string> kinds;  // of files, by inode
    bool manifest_synced = false, folder_synced = false;
    for (std::size_t done = 0; done <= operations.size(); ++done) {
        const Operation* const next = done < operations.size() ? &operations[done] : nullptr;
        using Kind = Operation::Kind;
        const bool append = next && next->kind == Kind::append, sync = next && next->kind == Kind::sync;
        const std::string file = append || sync ? kinds[next->inode] : "";
        if (!next) {
            steps.insert("all done");
        } else if (append) {
            steps.insert(file + " half written");
        } else if (sync) {
            steps.insert(file + " written, not synced");
        } else if (next->kind == Kind::create && next->name.ends_with("manifest")) {
            steps.insert("run synced, not named");
        } else if (next->kind == Kind::sync_folder && manifest_synced) {
            steps.insert("named, folder not synced");
        } else if (next->kind == Kind::remove && folder_synced) {
            steps.insert(next->name.ends_with("manifest") ? "old ones not deleted" : "old ones half deleted");
        }
        const std::size_t bytes = append ? next->bytes.size() : 0;
        for (std::size_t part = 0; part <= bytes; part += 1 + bytes / 50) {
            for (int i = 0; i < 12; ++i) {
                Cut cut = random_cut(random, {});
                if (i < 2) cut = {static_cast<double>(i), static_cast<double>(i), {}, false, nullptr};
                const Image image = bytes > 0 ? disk.cut_within(*next, part, cut) : disk.cut(cut);
                const Checked checked = checker.check_once(image, history, 1, 1);
                ASSERT_EQ(checked.violation, "") << done << (next ? text_of(*next) : "") << " " << part;
                // No file of an unnamed run is left.
                SimFiles after(image);
                auto again = Engine::open(after, small_options(), counting(2));
                const auto left = after.disk().names();
                ASSERT_EQ(std::ranges::count_if(left, [](auto& name) { return name.ends_with(".run"); }),
                          static_cast<std::ptrdiff_t>(again.engine->figures().runs));
            }
        }
        // Kills the process at this point, and cuts the power during or after the next opening.
        for (int i = 0; i < 40; ++i) ASSERT_EQ(checker.check_killed(disk, history, 1, 1, random), "") << done;
        if (!next) break;
        if (next->kind == Kind::create) kinds[next->inode] = next->name.substr(11);
        if (sync && file == "manifest") manifest_synced = true;
        if (next->kind == Kind::sync_folder && manifest_synced) folder_synced = true;
        disk.apply(*next);
    }
    EXPECT_EQ(steps, (std::set<std::string>{"run half written", "run written, not synced",
                                            "run synced, not named", "manifest half written",
                                            "manifest written, not synced", "named, folder not synced",
                                            "old ones not deleted", "old ones half deleted", "all done"}));
}

// Guards against unbounded memory use when a folder holds huge logs that no store wrote.
TEST(StoreDamage, ManyHugeLogsAreNotReadIntoMemory) {
    const FolderHere folder;
    std::unique_ptr<Files> files;
    ASSERT_EQ(open_folder(folder.path(), true, files), 0);
    ASSERT_TRUE(Engine::open(*files, {}, counting(1)).result);
    files.reset();
    for (const char* name : {"0000000900.log", "0000000901.log"}) {
        const std::string path = folder.path() + "/" + name;
        std::ofstream(path).put('x');
        std::filesystem::resize_file(path, 200 * 1024 * 1024);  // sparse
    }
    ASSERT_EQ(open_folder(folder.path(), false, files), 0);
    const auto opened = Engine::open(*files, {}, counting(2));
    EXPECT_EQ(opened.result.status, Status::corrupt);
    EXPECT_TRUE(opened.result.why.starts_with("0000000901.log, offset ")) << opened.result.why;
}

// Guards against a new store that would run out of file numbers.
TEST(StoreDamage, NoStoreIsCreatedWithoutFreeFileNumbers) {
    const OpenOutcome outcome = open({{"9999999999.log", ""}});
    EXPECT_EQ(outcome.result.status, Status::refused) << outcome.result.why;
    EXPECT_FALSE(outcome.changed);
}

// Guards against an opening that blocks on a pipe without a writer.
TEST(StoreDamage, PipeNamedLikeALogDoesNotBlockOpening) {
    const FolderHere folder;
    ASSERT_EQ(::mkfifo((folder.path() + "/0000000005.log").c_str(), 0600), 0);
    std::unique_ptr<Files> files;
    ASSERT_EQ(open_folder(folder.path(), false, files), 0);
    const auto opened = Engine::open(*files, {}, counting(1));
    EXPECT_EQ(opened.result.status, Status::retry) << opened.result.why;
    EXPECT_TRUE(std::filesystem::is_fifo(folder.path() + "/0000000005.log"));
}

}  // namespace
}  // namespace flaxdoor::store::test
