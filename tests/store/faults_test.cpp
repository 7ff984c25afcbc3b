// Makes each file call fail once in turn, fills the disk and frees it again, and makes the folder read-only.
// Guards against lost acknowledged batches and against an engine that does not recover.
#include <gtest/gtest.h>

#include <algorithm>
#include <cerrno>
#include <iostream>
#include <map>
#include <set>

#include "history.h"
#include "store/coding.h"

namespace flaxdoor::store::test {
namespace {

// Drives an engine through failures. Tracks what was written and what must be durable.
class Driver {
public:
    Driver(SimFiles& files, std::uint64_t seed) : files_(files), random_(seed), maker_(seed) {}

    // Opens the store. A failed opening must state why, and is retried.
    void open() {
        engine_.reset();
        for (int tries = 0;; ++tries) {
            auto opened = Engine::open(files_, small_options(), counting(++salts_));
            if (!opened.result) {
                note(opened.result);
                ASSERT_TRUE(opened.result.status == Status::retry || opened.result.status == Status::refused)
                    << describe(opened.result);
                ASSERT_LT(tries, 4) << describe(opened.result);
                check_cut();
                continue;
            }
            engine_ = std::move(opened.engine);
            break;
        }
        check_recovered_state("after opening");
        history_.states.resize(found_state_ + 1);
        model_ = *history_.states[found_state_].model;
        min_state_ = found_state_;
    }

    void spaces() {
        for (const auto& [space, kind] : names().spaces) {
            for (int tries = 0;; ++tries) {
                SpaceId id = 0;
                const Result result = engine_->space(space, kind, true, id);
                if (result) break;
                note(result);
                ASSERT_LT(tries, 4) << describe(result);
                if (result.status == Status::unknown) {
                    Model more = model_;
                    more.make_space(space, kind);
                    const std::uint64_t sequence = history_.states.back().sequence + 1;
                    history_.add(sequence, std::make_shared<const Model>(std::move(more)));
                    ASSERT_NO_FATAL_FAILURE(after_unknown());
                }
            }
            if (model_.text().find(" " + space + "\n") != std::string::npos) continue;
            model_.make_space(space, kind);
            history_.add(engine_->figures().sequence, std::make_shared<const Model>(model_));
            min_state_ = history_.states.size() - 1;
        }
    }

    void write() {
        for (std::size_t before = results.size(); engine_->crowded() && results.size() == before;) {
            ASSERT_NO_FATAL_FAILURE(step());
        }
        const Changes changes = maker_.next();
        const bool durable = random_() % 3 != 0;
        const auto written = test::write(*engine_, changes, durable);
        note(written.result);
        const bool may_be_stored = written.result || written.result.status == Status::unknown;
        if (may_be_stored && written.sequence != history_.states.back().sequence) {
            Model after = model_;
            after.apply(changes);
            history_.add(written.sequence, std::make_shared<const Model>(after));
            // The engine does not return the content of a failed append.
            if (engine_->figures().sequence == written.sequence) model_ = std::move(after);
        }
        if (written.result && durable) min_state_ = history_.states.size() - 1;
        if (!written.result || (thorough && !results.empty())) check_cut();
        reopen_if_broken();
    }

    void step() {
        if (!engine_->has_work()) return;
        const Result result = engine_->step();
        note(result);
        if (!result) check_cut();
        reopen_if_broken();
    }

    void sync() {
        const Result result = engine_->sync();
        note(result);
        if (result) min_state_ = history_.states.size() - 1;
        reopen_if_broken();
    }

    // Reads return the stored content or an error.
    void read() {
        const std::string text = text_of(*engine_, names(), 100);
        if (text.starts_with("failed: retry")) {
            ++failed_reads;
        } else {
            ASSERT_EQ(text, model_.text());
        }
    }

    // Opens the store again if it refuses writes for good.
    void reopen_if_broken() {
        if (engine_->broken()) after_unknown();
    }

    // After `unknown` the engine must acknowledge no writes and continue to serve reads until it is opened
    // again.
    void after_unknown() {
        ++unknowns;
        Batch batch;
        SpaceId id = 0;
        if (engine_->space("lists", SpaceKind::keys, false, id)) {
            batch.put(id, "key", "value");
            for (const bool durable : {true, false}) {
                ASSERT_EQ(test::write(*engine_, batch, durable).result.status, Status::refused);
            }
        }
        ASSERT_EQ(engine_->sync().status, Status::refused);
        ASSERT_EQ(engine_->step().status, Status::refused);
        ASSERT_FALSE(engine_->has_work());
        const std::string text = text_of(*engine_, names(), 100);
        ASSERT_EQ(text, model_.text());
        check_cut();
        ASSERT_NO_FATAL_FAILURE(open());
        check_cut();
    }

    // Opens a new store and creates its spaces.
    void open_new() {
        ASSERT_NO_FATAL_FAILURE(open());
        spaces();
    }
    // Writes a batch and does one background step.
    void write_and_step() {
        ASSERT_NO_FATAL_FAILURE(write());
        step();
    }

    // Checks what a power cut at this point leaves.
    void check_cut() {
        for (int i = 0; i < 2; ++i) {
            const Image image = files_.disk().cut(random_cut(random_, {}));
            const Checked checked = checker_.check(image, history_, min_state_, history_.states.size() - 1);
            ASSERT_EQ(checked.violation, "");
        }
    }

    Engine& engine() { return *engine_; }
    Random& random() { return random_; }
    const Model& model() const { return model_; }
    std::set<Status> seen;  // statuses other than ok
    std::vector<std::pair<Status, std::string>> results;
    int unknowns = 0, failed_reads = 0;
    bool thorough = false;  // after a failure, checks a power cut after each write

private:
    static std::string describe(const Result& result) {
        return std::string(text_of(result.status)) + ": " + result.why;
    }
    void note(const Result& result) {
        if (result) return;
        seen.insert(result.status);
        results.emplace_back(result.status, result.why);
        ASSERT_NE(result.status, Status::corrupt) << result.why;
    }
    void check_recovered_state(const std::string& what) {
        const std::uint64_t sequence = engine_->figures().sequence;
        for (std::size_t n = 0; n < history_.states.size(); ++n) {
            if (history_.states[n].sequence != sequence) continue;
            found_state_ = n;
            ASSERT_GE(n, min_state_) << what;
            const std::string text = text_of(*engine_, names(), 100);
            if (!text.starts_with("failed: retry")) {
                ASSERT_EQ(text, *history_.states[n].text) << what;
            }
            return;
        }
        FAIL() << what << ": sequence " << sequence << " is not the end of a batch";
    }

    SimFiles& files_;
    Random random_;
    WorkloadMaker maker_;
    std::unique_ptr<Engine> engine_;
    History history_;
    Model model_;
    std::size_t min_state_ = 0, found_state_ = 0;
    std::uint64_t salts_ = 0;
    Checker checker_;
};

void work(Driver& driver, int batches) {
    ASSERT_NO_FATAL_FAILURE(driver.open_new());
    for (int i = 0; i < batches; ++i) {
        ASSERT_NO_FATAL_FAILURE(driver.write());
        for (std::uint64_t n = driver.random()() % 3; n > 0; --n) ASSERT_NO_FATAL_FAILURE(driver.step());
        if (i % 8 == 5) {
            ASSERT_NO_FATAL_FAILURE(driver.sync());
        }
        if (i % 8 == 7) {
            ASSERT_NO_FATAL_FAILURE(driver.read());
        }
        if (i == batches / 2) {
            ASSERT_NO_FATAL_FAILURE(driver.open());
        }
    }
    // Without further failures all work completes.
    for (int n = 0; n < 1000 && driver.engine().has_work(); ++n) ASSERT_NO_FATAL_FAILURE(driver.step());
    ASSERT_FALSE(driver.engine().has_work());
    ASSERT_NO_FATAL_FAILURE(driver.sync());
    ASSERT_NO_FATAL_FAILURE(driver.read());
    ASSERT_NO_FATAL_FAILURE(driver.check_cut());
    ASSERT_NO_FATAL_FAILURE(driver.open());
}

TEST(StoreFaults, EachCallFailsOnce) {
    const std::uint64_t seed = 3;
    const int batches = long_form() ? 60 : 24;
    std::vector<Call> calls;
    {
        SimFiles files;
        files.fault = [&](const Call& call) {
            calls.push_back(call);
            return std::nullopt;
        };
        Driver driver(files, seed);
        ASSERT_NO_FATAL_FAILURE(work(driver, batches));
        ASSERT_TRUE(driver.results.empty());
    }
    std::map<std::string, int> status_counts;
    std::uint64_t runs = 0;
    const std::size_t stride = sanitized && !long_form() ? 16 : 1;
    for (std::size_t n = 0; n < calls.size(); n += stride) {
        struct FaultVariant {
            int error;
            std::size_t done;
            int writes_after = 0;  // number of later writing calls that fail as well
        };
        std::vector<FaultVariant> variants = {{EIO, 0}};
        if (calls[n].writes()) {
            variants.push_back({ENOSPC, 0});
            variants.push_back({EROFS, 0});
            variants.push_back({EIO, 10, 1});
            variants.push_back({EIO, 10, 3});
        }
        if (calls[n].kind == Call::Kind::append) {
            variants.push_back({ENOSPC, 20});
            variants.push_back({EIO, 1'000'000});  // all bytes are written
        }
        for (const FaultVariant& variant : variants) {
            SCOPED_TRACE("call " + std::to_string(n) + " " + text_of(calls[n].kind) + " " + calls[n].name +
                         " " + std::to_string(variant.error) + " done " + std::to_string(variant.done));
            SimFiles files;
            int remaining_faults = variant.writes_after;
            files.fault = [&](const Call& call) -> std::optional<Fault> {
                if (call.number == n) return Fault{variant.error, variant.done};
                if (call.number < n || remaining_faults == 0 || !call.writes()) return std::nullopt;
                --remaining_faults;
                return Fault{EIO, 0};
            };
            Driver driver(files, seed);
            driver.thorough = variant.writes_after > 0 && calls[n].kind == Call::Kind::append &&
                              calls[n].name.ends_with(".log");
            work(driver, batches);
            ASSERT_FALSE(HasFatalFailure());
            ++runs;
            // Guarantees for each kind of call.
            const std::string kind = calls[n].name.substr(calls[n].name.find('.') + 1);
            const std::string call = text_of(calls[n].kind) + (kind.empty() ? "" : " " + kind);
            for (const auto& [status, why] : driver.results)
                ++status_counts[call + ": " + std::string(text_of(status))];
            if (driver.results.empty()) ++status_counts[call + ": not reported"];
            if (variant.writes_after > 0) continue;
            if (calls[n].kind == Call::Kind::remove) {
                ASSERT_EQ(driver.unknowns, 0);
            }
            const bool permanent = variant.error == EROFS && calls[n].kind != Call::Kind::sync &&
                                   calls[n].kind != Call::Kind::sync_folder;
            if (permanent) {
                ASSERT_FALSE(driver.seen.contains(Status::retry));
            }
            if (variant.error != EROFS && driver.unknowns == 0) {
                ASSERT_FALSE(driver.seen.contains(Status::refused));
            }
            if (calls[n].kind == Call::Kind::sync) {
                ASSERT_TRUE(!driver.results.empty() || driver.unknowns > 0);
            }
        }
    }
    std::cout << calls.size() << " calls, " << runs << " runs, seed " << seed << "\n";
    if (!long_form()) return;
    for (const auto& [what, times] : status_counts) std::cout << "  " << what << " (" << times << ")\n";
}

// Full disk

TEST(StoreFaults, FullDiskThenSpace) {
    std::set<std::string> where;
    for (std::uint64_t room = 200; room < 9'000; room += long_form() ? 17 : 251) {
        SCOPED_TRACE("room " + std::to_string(room));
        SimFiles files;
        Driver driver(files, 5);
        files.fault = [&](const Call& call) -> std::optional<Fault> {
            // Notes which kinds of files fill the disk.
            if (call.kind == Call::Kind::append && files.room && files.disk().bytes() + 40 > *files.room)
                where.insert(call.name.substr(call.name.find('.') + 1));
            return std::nullopt;
        };
        ASSERT_NO_FATAL_FAILURE(driver.open_new());
        files.room = room;
        int refused = 0;
        for (int i = 0; i < 200 && refused < 10; ++i) {
            const std::size_t before = driver.results.size();
            ASSERT_NO_FATAL_FAILURE(driver.write_and_step());
            ASSERT_NO_FATAL_FAILURE(driver.read());
            refused = driver.results.size() == before ? 0 : refused + 1;
        }
        ASSERT_EQ(driver.unknowns, 0);
        ASSERT_EQ(driver.failed_reads, 0);
        ASSERT_EQ(driver.seen, (std::set<Status>{Status::retry}));
        files.room.reset();
        const std::size_t before = driver.results.size();
        for (int i = 0; i < 20; ++i) {
            while (driver.engine().has_work()) ASSERT_NO_FATAL_FAILURE(driver.step());
            ASSERT_NO_FATAL_FAILURE(driver.write());
            ASSERT_EQ(driver.results.size(), before) << driver.results.back().second;
        }
        ASSERT_NO_FATAL_FAILURE(driver.read());
        ASSERT_NO_FATAL_FAILURE(driver.sync());
        ASSERT_NO_FATAL_FAILURE(driver.check_cut());
        // Failed operations leave no files.
        std::uint64_t runs = 0, others = 0;
        for (const std::string& name : files.disk().names()) ++(name.ends_with(".run") ? runs : others);
        ASSERT_EQ(runs, driver.engine().figures().runs);
        ASSERT_LE(others, 4U);  // identity, manifest, two logs
        ASSERT_NO_FATAL_FAILURE(driver.open());
    }
    EXPECT_EQ(where, (std::set<std::string>{"log", "manifest", "run"}));
}

TEST(StoreFaults, OpeningOnAFullDisk) {
    SimFiles files;
    const Recording recording = record(files, files, 20, 1, 20);
    const std::string text = *recording.history.states.back().text;
    const std::uint64_t used = files.disk().bytes();
    for (std::uint64_t more = 0; more < 400; more += 7) {
        SimFiles after(files.disk().visible());
        after.room = used + more;
        int tries = 0;
        for (; tries < 3; ++tries) {
            auto opened = Engine::open(after, small_options(), counting(9));
            if (!opened.result) {
                ASSERT_EQ(opened.result.status, Status::retry) << opened.result.why;
                continue;
            }
            ASSERT_EQ(text_of(*opened.engine, names()), text);
        }
        after.room.reset();
        auto opened = Engine::open(after, small_options(), counting(10));
        ASSERT_TRUE(opened.result) << opened.result.why;
        ASSERT_EQ(text_of(*opened.engine, names()), text);
    }
    // A run left by an interrupted merge does not prevent the opening.
    Image image = files.disk().visible();
    image[name_of(8888, "run")] = std::string(1000, 'x');
    SimFiles full(image);
    full.room = used + 1000;
    auto opened = Engine::open(full, small_options(), counting(11));
    ASSERT_TRUE(opened.result) << opened.result.why;
}

TEST(StoreFaults, FolderTurnsReadOnly) {
    SimFiles files;
    Driver driver(files, 8);
    ASSERT_NO_FATAL_FAILURE(driver.open_new());
    for (int i = 0; i < 30; ++i) {
        ASSERT_NO_FATAL_FAILURE(driver.write_and_step());
    }
    ASSERT_NO_FATAL_FAILURE(driver.sync());
    files.read_only = true;
    for (int i = 0; i < 10; ++i) {
        ASSERT_NO_FATAL_FAILURE(driver.write_and_step());
        ASSERT_NO_FATAL_FAILURE(driver.read());
    }
    EXPECT_EQ(driver.seen, (std::set<Status>{Status::refused}));
    EXPECT_EQ(Engine::open(files, small_options(), counting(1)).result.status, Status::refused);
    files.read_only = false;
    const std::size_t before = driver.results.size();
    for (int i = 0; i < 10; ++i) {
        ASSERT_NO_FATAL_FAILURE(driver.write_and_step());
    }
    EXPECT_EQ(driver.results.size(), before);
    ASSERT_NO_FATAL_FAILURE(driver.open());
}

// Random failures one after the other: I/O errors, a full disk, and a read-only folder.
TEST(StoreFaults, ManyFailures) {
    const std::uint64_t seeds = long_form() ? 2000 : 40;
    int unknowns = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        SimFiles files;
        Random random(seed);
        bool failing = false;
        files.fault = [&](const Call& call) -> std::optional<Fault> {
            if (!failing || !call.writes() || random() % 40 != 0) return std::nullopt;
            failing = false;  // one fault per request
            const int errors[] = {EIO, ENOSPC, EROFS};
            return Fault{errors[random() % 3], static_cast<std::size_t>(random() % 60)};
        };
        Driver driver(files, seed);
        ASSERT_NO_FATAL_FAILURE(driver.open_new());
        for (int i = 0; i < 100; ++i) {
            failing = true;
            ASSERT_NO_FATAL_FAILURE(driver.write());
            failing = true;
            ASSERT_NO_FATAL_FAILURE(driver.step());
            failing = random() % 2 == 0;
            if (random() % 10 == 0) {
                ASSERT_NO_FATAL_FAILURE(driver.sync());
            }
            failing = random() % 2 == 0;
            if (random() % 20 == 0) {
                ASSERT_NO_FATAL_FAILURE(driver.open());
            }
        }
        failing = false;
        ASSERT_NO_FATAL_FAILURE(driver.read());
        ASSERT_NO_FATAL_FAILURE(driver.open());
        unknowns += driver.unknowns;
    }
    EXPECT_GT(unknowns, 0);
}

// An empty batch must not be acknowledged before the writes ahead of it are synced, nor while their outcome
// is unknown.
TEST(StoreFaults, EmptyBatchIsNotAcknowledgedBeforeTheSync) {
    for (const bool repaired : {false, true}) {
        SimFiles files;
        auto opened = Engine::open(files, {}, counting(1));
        ASSERT_TRUE(opened.result);
        SpaceId space = 0;
        ASSERT_TRUE(opened.engine->space("keys", SpaceKind::keys, true, space));
        Batch before, fails;
        const Batch nothing;
        before.put(space, "before", "v");
        fails.put(space, "fails", "v");
        ASSERT_TRUE(write(*opened.engine, before, false).result);
        files.fault = [&](const Call& call) -> std::optional<Fault> {
            if (call.kind == Call::Kind::append) return Fault{ENOSPC, repaired ? 0U : 5U};
            if (call.kind == Call::Kind::truncate && !repaired) return Fault{EIO, 0};
            return std::nullopt;
        };
        const std::vector<const Batch*> both{&fails, &nothing};
        const auto written = opened.engine->write(both, true);
        EXPECT_EQ(written[0].result.status, repaired ? Status::retry : Status::unknown);
        const bool all_durable =
            files.disk().cut({0, 0, {}, false, nullptr}) == files.disk().cut({1, 1, {}, false, nullptr});
        if (repaired) {
            EXPECT_TRUE(written[1].result);
            EXPECT_TRUE(all_durable) << "acknowledged before the sync";
        } else {
            EXPECT_FALSE(written[1].result) << "acknowledged by a store that refuses writes";
        }
    }
}

}  // namespace
}  // namespace flaxdoor::store::test
