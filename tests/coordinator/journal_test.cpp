// Tests of the journal over an in-memory disk: if the process is killed or the machine loses power at any
// point, the next start either knows every grant whose reply was sent, or reports that its records may be
// incomplete.
#include "coordinator/journal.h"

#include <gtest/gtest.h>

#include <cerrno>
#include <functional>
#include <map>
#include <optional>

#include "capturing_log.h"
#include "model.h"
#include "service_parts.h"
#include "sim_files.h"

namespace flaxdoor::coordinator::test {
namespace {

using store::test::Cut;
using store::test::Disk;
using store::test::Fault;
using store::test::Image;

// A step of a run. Its position among the operations on the store's files is their number.
struct Step {
    std::size_t operations = 0;                 // number of file operations before this step
    std::optional<std::string> witness{};       // new text of the witness; an empty text removes it
    std::optional<budget::LeaseReply> reply{};  // a reply that was sent
    std::string holder{};
    Time until{};
};

// Everything that a run of the service did.
struct RunRecord {
    store::test::SimFiles files;
    std::vector<Step> steps;
    std::string witness;
};

class RecordedWitness final : public Witness {
public:
    explicit RecordedWitness(RunRecord& run) : run_(run) {}
    int read(std::string& text) override {
        text = run_.witness;
        return text.empty() ? ENOENT : 0;
    }
    int write(const std::string& text) override { return set(text); }
    int remove() override { return set({}); }

private:
    int set(std::string text) {
        run_.witness = std::move(text);
        run_.steps.push_back({run_.files.operations().size(), run_.witness, {}, {}, {}});
        return 0;
    }
    RunRecord& run_;
};

// Runs the service for `requests` requests of three processes, of which one stops and all change their
// demand. Names are two bytes, as short as possible.
void play(RunRecord& run, int requests) {
    ServiceParts parts;
    parts.files = std::make_unique<BorrowedFiles>(run.files);
    parts.witness = std::make_unique<RecordedWitness>(run);
    auto service = parts.service();
    ASSERT_TRUE(service);
    std::map<std::string, budget::FencingToken> accepted;
    for (int i = 0; i < requests; ++i) {
        parts.clock.at += Micros(400'000);
        const std::string holder = i % 3 == 2 && i > requests / 2 ? "n1" : "n" + std::to_string(i % 3);
        budget::LeaseRequest request =
            parts.request(holder, static_cast<std::uint64_t>(i + 1), 1000 * (i % 7));
        request.accepted = accepted[holder];
        const auto reply = parts.ask(*service, request);
        ASSERT_TRUE(reply);
        if (reply->verdict != budget::Verdict::granted) continue;
        accepted[holder] = {reply->epoch, reply->seq};
        run.steps.push_back(
            {run.files.operations().size(), {}, reply, holder, parts.clock.at + Micros(1'000'000)});
    }
}

Journal::Opened open(const Image& image, const std::string& witness, Time now, const std::string& boot,
                     RunRecord& reopened) {
    reopened.files = store::test::SimFiles(image);
    reopened.witness = witness;
    Journal::Dependencies world;
    world.files = std::make_unique<BorrowedFiles>(reopened.files);
    world.chance = store::test::counting(77);
    world.witness = std::make_unique<RecordedWitness>(reopened);
    world.boot = boot;
    world.now = now;
    world.unix_now = Time(5);
    return Journal::open(std::move(world));
}

bool knows(const budget::Authority::RestoredState& start, const Step& step) {
    for (const budget::Record& record : start.records) {
        for (const auto& allocation : record.allocations) {
            if (record.holder == step.holder &&
                allocation.fence == budget::FencingToken{step.reply->epoch, step.reply->seq})
                return true;
        }
    }
    return false;
}

// Opens a copy of the store as of a point of the run, and checks that a current start knows the last grant
// that was sent to each holder. Earlier grants are superseded once the holder has reported the last one.
void check(const RunRecord& run, std::size_t operations, std::size_t steps, const Image& image,
           const std::string& boot) {
    std::string witness;
    std::map<std::string, const Step*> last_of;
    Time now = ServiceParts::start;
    std::uint64_t epoch = 0;
    for (std::size_t i = 0; i < steps; ++i) {
        const Step& step = run.steps[i];
        if (step.witness) witness = *step.witness;
        if (!step.reply) continue;
        last_of[step.holder] = &step;
        now = step.until - Micros(1'000'000);
        epoch = step.reply->epoch;
    }
    RunRecord reopened;
    const Journal::Opened opened = open(image, witness, now + Micros(1), boot, reopened);
    ASSERT_TRUE(opened.result) << operations << ": " << opened.result.why;
    EXPECT_GT(opened.start.epoch, epoch) << operations;
    if (boot != ServiceParts::boot_id) {
        EXPECT_FALSE(opened.start.complete);
        EXPECT_TRUE(opened.start.records.empty());
    }
    if (!opened.start.complete) return;
    for (const auto& [holder, step] : last_of) {
        if (step->until <= now) continue;  // the lease has ended, so its record may be removed
        EXPECT_TRUE(knows(opened.start, *step))
            << "operation " << operations << ", step " << steps << ": a grant to " << holder
            << " was sent, and a current start does not know it";
    }
}

TEST(CoordinatorJournal, KilledOrPowerLostAtEveryPoint) {
    RunRecord run;
    ASSERT_NO_FATAL_FAILURE(play(run, 40));
    std::size_t current = 0;
    for (std::size_t done = 0, steps = 0; done <= run.files.operations().size(); ++done) {
        Disk disk;
        for (std::size_t i = 0; i < done; ++i) disk.apply(run.files.operations()[i]);
        // Between two operations: before, between and after the steps at this point.
        for (;;) {
            ASSERT_NO_FATAL_FAILURE(
                check(run, done, steps, disk.visible(), ServiceParts::boot_id));  // killed
            const Image kept = disk.cut({.kept = 0, .names_kept = 0, .stale = {}});
            ASSERT_NO_FATAL_FAILURE(check(run, done, steps, kept, "another"));  // power lost
            // A remote disk that alone lost its unsynced data.
            ASSERT_NO_FATAL_FAILURE(check(run, done, steps, kept, ServiceParts::boot_id));
            RunRecord reopened;
            current += open(disk.visible(), steps ? run.witness : "",
                            ServiceParts::start + Micros(60'000'000), ServiceParts::boot_id, reopened)
                           .start.complete;
            if (steps == run.steps.size() || run.steps[steps].operations != done) break;
            ++steps;
        }
        if (done < run.files.operations().size()) {  // the next operation is torn
            const auto& next = run.files.operations()[done];
            if (next.kind == store::test::Operation::Kind::append && next.bytes.size() > 1) {
                Disk torn = disk;
                torn.apply(next, next.bytes.size() / 2);
                ASSERT_NO_FATAL_FAILURE(check(run, done, steps, torn.visible(), ServiceParts::boot_id));
            }
        }
    }
    EXPECT_GT(current, 0u) << "the last state is current according to its witness";
}

TEST(CoordinatorJournal, WhatMakesAStartCurrent) {
    RunRecord run;
    ASSERT_NO_FATAL_FAILURE(play(run, 20));
    const Image last = run.files.disk().visible();
    std::string earlier_witness;  // the witness at the middle of the run
    std::size_t earlier_operations = 0;
    for (std::size_t i = 0; i < run.steps.size() / 2; ++i) {
        if (run.steps[i].witness) {
            earlier_witness = *run.steps[i].witness;
            earlier_operations = run.steps[i].operations;
        }
    }
    Disk earlier_disk;
    for (std::size_t i = 0; i < earlier_operations; ++i) earlier_disk.apply(run.files.operations()[i]);
    const Image earlier_image = earlier_disk.visible();
    const Time later = ServiceParts::start + Micros(60'000'000);
    const auto changed_witness = [&](const char* what, const char* with) {
        std::string text = run.witness;
        return text.replace(text.find(what), std::string(what).size(), with);
    };
    const struct {
        const char* name;
        const Image& image;
        std::string witness;
        Time now;
        const char* boot;
        bool current;
        const char* why;
    } cases[] = {
        {"the latest store", last, run.witness, later, ServiceParts::boot_id, true, ""},
        {"no witness", last, "", later, ServiceParts::boot_id, false, "the witness: "},
        {"an older copy", earlier_image, run.witness, later, ServiceParts::boot_id, false,
         "the store is an older copy"},
        {"an older copy with its witness", earlier_image, earlier_witness, later, ServiceParts::boot_id, true,
         ""},  // the design accepts this
        {"an empty store", Image{}, run.witness, later, ServiceParts::boot_id, false, "the store is empty"},
        {"another boot", last, run.witness, later, "other", false, "the machine was restarted"},
        {"a witness of another boot", last, changed_witness("boot-1", "boot-2"), later, ServiceParts::boot_id,
         false, "the witness belongs to another boot"},
        {"a witness of another copy", last, changed_witness("\"opening\":\"", "\"opening\":\"0"), later,
         ServiceParts::boot_id, false, "the witness belongs to another copy"},
        {"a witness of another store", last, changed_witness("\"store\":\"", "\"store\":\"0"), later,
         ServiceParts::boot_id, false, "the witness belongs to another store"},
        {"a truncated witness", last, run.witness.substr(0, 20), later, ServiceParts::boot_id, false,
         "the witness: no JSON"},
        {"the previous start was still waiting", last, run.witness, ServiceParts::start + Micros(2'000'000),
         ServiceParts::boot_id, false, "the previous start had incomplete"},
    };
    for (const auto& each : cases) {
        RunRecord reopened;
        const auto opened = open(each.image, each.witness, each.now, each.boot, reopened);
        ASSERT_TRUE(opened.result) << each.name << ": " << opened.result.why;
        EXPECT_EQ(opened.start.complete, each.current) << each.name << ": " << opened.incomplete_reason;
        EXPECT_TRUE(opened.incomplete_reason.starts_with(each.why))
            << each.name << ": " << opened.incomplete_reason;
        EXPECT_EQ(opened.start.longest_term, each.image.empty() ? Micros(0) : Micros(1'000'000)) << each.name;
        // A start that is not current makes the next one not current either, unless it has finished waiting.
        if (each.current || each.boot != std::string(ServiceParts::boot_id)) continue;
        RunRecord again;
        EXPECT_FALSE(open(reopened.files.disk().visible(), reopened.witness, each.now, each.boot, again)
                         .start.complete)
            << each.name;
    }
}

// A misconfiguration gives two coordinators the same witness. The witness confirms only the latest store of
// the coordinator that wrote it last.
TEST(CoordinatorJournal, TwoCoordinatorsWithOneWitness) {
    struct SharedWitness final : Witness {
        explicit SharedWitness(std::string& text) : shared_text(text) {}
        int read(std::string& text) override {
            text = shared_text;
            return text.empty() ? ENOENT : 0;
        }
        int write(const std::string& text) override {
            shared_text = text;
            return 0;
        }
        int remove() override { return write({}); }
        std::string& shared_text;
    };
    for (const bool copied : {false, true}) {  // separate stores, or one a copy of the other
        for (const std::string order : {"ab", "ba", "aab", "bba", "abab"}) {
            SCOPED_TRACE(order + (copied ? ", copied" : ""));
            std::string witness;
            store::test::SimFiles files[2];
            ServiceParts parts[2];
            std::unique_ptr<Service> services[2];
            const auto begin = [&](std::size_t i) {
                parts[i].chance = 1000 * (i + 1);
                parts[i].files = std::make_unique<BorrowedFiles>(files[i]);
                parts[i].witness = std::make_unique<SharedWitness>(witness);
                services[i] = parts[i].service();
                ASSERT_TRUE(services[i]);
                parts[i].clock.at += Micros(2'500'000);
            };
            ASSERT_NO_FATAL_FAILURE(begin(0));
            ASSERT_TRUE(parts[0].ask(*services[0], parts[0].request("n1", 1, 1)));
            if (copied) files[1] = store::test::SimFiles(files[0].disk().visible());
            ASSERT_NO_FATAL_FAILURE(begin(1));
            std::uint64_t number = 2;
            for (const char coordinator : order) {
                const auto i = static_cast<std::size_t>(coordinator - 'a');
                ASSERT_TRUE(parts[i].ask(*services[i], parts[i].request("n1", number++, 1)));
            }
            const auto last = static_cast<std::size_t>(order.back() - 'a');
            for (const std::size_t i : {0U, 1U}) {
                const Image kept = files[i].disk().visible();
                RunRecord reopened;
                const auto opened = open(kept, witness, ServiceParts::start + Micros(60'000'000),
                                         ServiceParts::boot_id, reopened);
                EXPECT_EQ(opened.start.complete, i == last) << i << ": " << opened.incomplete_reason;
            }
        }
    }
}

// An authority that has stepped down does not know its successor's grants. Nor does its next start, although
// its store is complete and up to date.
TEST(CoordinatorJournal, StartAfterSteppingDownIsNotCurrent) {
    for (const bool stepped_down : {false, true}) {
        RunRecord run;
        Time end{};
        {
            ServiceParts parts;
            parts.files = std::make_unique<BorrowedFiles>(run.files);
            parts.witness = std::make_unique<RecordedWitness>(run);
            auto service = parts.service();
            ASSERT_TRUE(service);
            parts.clock.at += Micros(2'500'000);
            ASSERT_EQ(parts.ask(*service, parts.request("n1", 1, 1))->verdict, budget::Verdict::granted);
            auto request = parts.request("n1", 2, 1);
            request.epoch = stepped_down ? 1000 : 0;
            ASSERT_EQ(parts.ask(*service, request)->verdict,
                      stepped_down ? budget::Verdict::stepped_down : budget::Verdict::granted);
            end = parts.clock.at;
        }
        RunRecord again;
        const auto opened = open(run.files.disk().visible(), run.witness, end, ServiceParts::boot_id, again);
        EXPECT_EQ(opened.start.complete, !stepped_down) << opened.incomplete_reason;
    }
}

// Two copies of a store are used separately. A copy that is put back has more commits than the other one's
// witness and still is not current.
TEST(CoordinatorJournal, DivergedCopies) {
    RunRecord run;
    ASSERT_NO_FATAL_FAILURE(play(run, 20));
    const Time later = ServiceParts::start + Micros(60'000'000);
    RunRecord copy;
    ASSERT_TRUE(open(run.files.disk().visible(), run.witness, later, ServiceParts::boot_id, copy).result);
    RunRecord again;
    const auto opened = open(run.files.disk().visible(), copy.witness, later, ServiceParts::boot_id, again);
    EXPECT_FALSE(opened.start.complete);
    EXPECT_EQ(opened.incomplete_reason, "the witness belongs to another copy of the store");
}

// Each write fails once, in turn. A failed commit sends no reply, and everything acknowledged is in the
// store.
TEST(CoordinatorJournal, EachWriteFailsOnce) {
    RunRecord complete;
    ASSERT_NO_FATAL_FAILURE(play(complete, 6));
    std::size_t refused = 0;
    for (const int error : {ENOSPC, EIO}) {
        for (std::size_t n = 0; n < complete.files.calls(); ++n) {
            RunRecord run;
            run.files.fault = [&](const store::test::Call& call) -> std::optional<Fault> {
                return call.number == n && call.writes() ? std::optional(Fault{error, 3}) : std::nullopt;
            };
            ServiceParts parts;
            parts.files = std::make_unique<BorrowedFiles>(run.files);
            parts.witness = std::make_unique<RecordedWitness>(run);
            auto service = parts.service();
            if (!service) continue;  // the store could not be opened, which open() reports
            for (int i = 0; i < 6; ++i) {
                parts.clock.at += Micros(1'500'000);
                const auto request = parts.request("n1", static_cast<std::uint64_t>(i + 1), 1000);
                const auto reply = parts.ask(*service, request);
                refused += !reply;
                if (!reply || reply->verdict != budget::Verdict::granted) continue;
                run.steps.push_back(
                    {run.files.operations().size(), {}, reply, "n1", parts.clock.at + Micros(1'000'000)});
            }
            service.reset();
            EXPECT_FALSE(run.steps.empty());
            run.files.fault = {};
            ASSERT_NO_FATAL_FAILURE(check(run, run.files.operations().size(), run.steps.size(),
                                          run.files.disk().visible(), ServiceParts::boot_id))
                << "call " << n;
        }
    }
    EXPECT_GT(refused, 0u);
}

// A witness that can't be written is removed. If that fails as well, the commit fails.
TEST(CoordinatorJournal, WitnessThatCantBeWritten) {
    struct FailingWitness final : Witness {
        explicit FailingWitness(int& remove_result) : remove_result_(remove_result) {}
        int read(std::string&) override { return ENOENT; }
        int write(const std::string&) override { return ENOSPC; }
        int remove() override { return remove_result_; }
        int& remove_result_;
    };
    int remove_result = 0;
    ServiceParts parts;
    parts.witness = std::make_unique<FailingWitness>(remove_result);
    auto service = parts.service();
    ASSERT_TRUE(service);
    EXPECT_TRUE(parts.ask(*service, parts.request("n1", 1, 1)));
    EXPECT_TRUE(parts.log.has("the witness can't be written: No space left on device"));
    remove_result = EACCES;
    EXPECT_FALSE(parts.ask(*service, parts.request("n1", 2, 1)));
    EXPECT_TRUE(parts.log.has("coordinator: nothing is granted: the store: the witness can't be written"));
    remove_result = 0;
    EXPECT_TRUE(parts.ask(*service, parts.request("n1", 3, 1)));
    EXPECT_TRUE(parts.log.has("coordinator: grants are written again"));
}

}  // namespace
}  // namespace flaxdoor::coordinator::test
