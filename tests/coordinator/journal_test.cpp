// The journal over a disk in memory: at whatever point the process is killed, or the machine loses its power, the next
// start knows every grant whose reply had left, or says that it does not know all.
#include "coordinator/journal.h"

#include <gtest/gtest.h>

#include <cerrno>
#include <functional>
#include <map>
#include <optional>

#include "lines.h"
#include "model.h"
#include "service_parts.h"
#include "sim_files.h"

namespace flaxdoor::coordinator::test {
namespace {

using store::test::Cut;
using store::test::Disk;
using store::test::Fault;
using store::test::Image;

// What has been done, in order: operations on the store's files are told by their number.
struct Step {
    std::size_t operations = 0;                // done by then
    std::optional<std::string> witness{};      // written, or removed where it is empty
    std::optional<budget::LeaseReply> left{};  // a reply left
    std::string holder{};
    Time until{};
};

struct Trail {  // of a run
    store::test::SimFiles files;
    std::vector<Step> steps;
    std::string witness;
};

class Told final : public Witness {
public:
    explicit Told(Trail& run) : run_(run) {}
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
    Trail& run_;
};

// Names are two bytes as short as can be; of three processes one dies, one changes its need.
void play(Trail& run, int requests) {
    Parts parts;
    parts.files = std::make_unique<Borrowed>(run.files);
    parts.witness = std::make_unique<Told>(run);
    auto service = parts.service();
    ASSERT_TRUE(service);
    std::map<std::string, budget::Fence> taken;
    for (int i = 0; i < requests; ++i) {
        parts.clock.at += Micros(400'000);
        const std::string holder = i % 3 == 2 && i > requests / 2 ? "n1" : "n" + std::to_string(i % 3);
        budget::LeaseRequest request =
            parts.request(holder, static_cast<std::uint64_t>(i + 1), 1000 * (i % 7));
        request.taken = taken[holder];
        const auto reply = parts.ask(*service, request);
        ASSERT_TRUE(reply);
        if (reply->verdict != budget::Verdict::granted) continue;
        taken[holder] = {reply->epoch, reply->seq};
        run.steps.push_back(
            {run.files.operations().size(), {}, reply, holder, parts.clock.at + Micros(1'000'000)});
    }
}

Journal::Opened open(const Image& image, const std::string& witness, Time now, const std::string& boot,
                     Trail& fresh) {
    fresh.files = store::test::SimFiles(image);
    fresh.witness = witness;
    Journal::World world;
    world.files = std::make_unique<Borrowed>(fresh.files);
    world.chance = store::test::counting(77);
    world.witness = std::make_unique<Told>(fresh);
    world.boot = boot;
    world.now = now;
    world.unix_now = Time(5);
    return Journal::open(std::move(world));
}

bool knows(const budget::Authority::Start& start, const Step& step) {
    for (const budget::Record& record : start.records) {
        for (const auto& given : record.given) {
            if (record.holder == step.holder &&
                given.fence == budget::Fence{step.left->epoch, step.left->seq})
                return true;
        }
    }
    return false;
}

// `last_of`: the newest grant of a holder that had left by then; earlier ones are superseded once it told so.
void check(const Trail& run, std::size_t operations, std::size_t steps, const Image& image,
           const std::string& boot) {
    std::string witness;
    std::map<std::string, const Step*> last_of;
    Time now = Parts::start;
    std::uint64_t epoch = 0;
    for (std::size_t i = 0; i < steps; ++i) {
        const Step& step = run.steps[i];
        if (step.witness) witness = *step.witness;
        if (!step.left) continue;
        last_of[step.holder] = &step;
        now = step.until - Micros(1'000'000);
        epoch = step.left->epoch;
    }
    Trail fresh;
    const Journal::Opened opened = open(image, witness, now + Micros(1), boot, fresh);
    ASSERT_TRUE(opened.result) << operations << ": " << opened.result.why;
    EXPECT_GT(opened.start.epoch, epoch) << operations;
    if (boot != Parts::boot_id) {
        EXPECT_FALSE(opened.start.current);
        EXPECT_TRUE(opened.start.records.empty());
    }
    if (!opened.start.current) return;
    for (const auto& [holder, step] : last_of) {
        if (step->until <= now) continue;  // it has ended, and may be forgotten
        EXPECT_TRUE(knows(opened.start, *step))
            << "operation " << operations << ", step " << steps << ": a grant to " << holder
            << " had left, and a start that takes itself for current does not know it";
    }
}

TEST(CoordinatorJournal, CutAtEveryPoint) {
    Trail run;
    ASSERT_NO_FATAL_FAILURE(play(run, 40));
    std::size_t current = 0;
    for (std::size_t done = 0, steps = 0; done <= run.files.operations().size(); ++done) {
        Disk disk;
        for (std::size_t i = 0; i < done; ++i) disk.apply(run.files.operations()[i]);
        // Between two operations: ahead of, between and behind the steps that were taken there.
        for (;;) {
            ASSERT_NO_FATAL_FAILURE(check(run, done, steps, disk.visible(), Parts::boot_id));  // killed
            const Image kept = disk.cut({.kept = 0, .names_kept = 0, .stale = {}});
            ASSERT_NO_FATAL_FAILURE(check(run, done, steps, kept, "another"));  // no power
            // A disk of another machine, which alone lost it.
            ASSERT_NO_FATAL_FAILURE(check(run, done, steps, kept, Parts::boot_id));
            Trail fresh;
            current += open(disk.visible(), steps ? run.witness : "", Parts::start + Micros(60'000'000),
                            Parts::boot_id, fresh)
                           .start.current;
            if (steps == run.steps.size() || run.steps[steps].operations != done) break;
            ++steps;
        }
        if (done < run.files.operations().size()) {  // torn within the next one
            const auto& next = run.files.operations()[done];
            if (next.kind == store::test::Operation::Kind::append && next.bytes.size() > 1) {
                Disk torn = disk;
                torn.apply(next, next.bytes.size() / 2);
                ASSERT_NO_FATAL_FAILURE(check(run, done, steps, torn.visible(), Parts::boot_id));
            }
        }
    }
    EXPECT_GT(current, 0u) << "the last state is current by its witness";
}

TEST(CoordinatorJournal, WhatMakesAStartCurrent) {
    Trail run;
    ASSERT_NO_FATAL_FAILURE(play(run, 20));
    const Image last = run.files.disk().visible();
    std::string half;  // the witness of half the way
    std::size_t half_operations = 0;
    for (std::size_t i = 0; i < run.steps.size() / 2; ++i) {
        if (run.steps[i].witness) {
            half = *run.steps[i].witness;
            half_operations = run.steps[i].operations;
        }
    }
    Disk half_disk;
    for (std::size_t i = 0; i < half_operations; ++i) half_disk.apply(run.files.operations()[i]);
    const Image old = half_disk.visible();
    const Time later = Parts::start + Micros(60'000'000);
    const auto other = [&](const char* what, const char* with) {
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
        {"the latest", last, run.witness, later, Parts::boot_id, true, ""},
        {"no witness", last, "", later, Parts::boot_id, false, "the witness: "},
        {"a copy of a while ago", old, run.witness, later, Parts::boot_id, false,
         "the store is an older copy"},
        {"a copy with its witness of then", old, half, later, Parts::boot_id, true,
         ""},  // as the design says
        {"an empty store", Image{}, run.witness, later, Parts::boot_id, false, "the store is empty"},
        {"another boot", last, run.witness, later, "other", false, "the machine has been started since"},
        {"a witness of another boot", last, other("boot-1", "boot-2"), later, Parts::boot_id, false,
         "the witness is of another boot"},
        {"a witness of another copy", last, other("\"opening\":\"", "\"opening\":\"0"), later, Parts::boot_id,
         false, "the witness is of another copy"},
        {"a witness of another store", last, other("\"store\":\"", "\"store\":\"0"), later, Parts::boot_id,
         false, "the witness is of another store"},
        {"a witness that is cut", last, run.witness.substr(0, 20), later, Parts::boot_id, false,
         "the witness: no JSON"},
        {"while the start before waits", last, run.witness, Parts::start + Micros(2'000'000), Parts::boot_id,
         false, "the start before this one"},
    };
    for (const auto& each : cases) {
        Trail fresh;
        const auto opened = open(each.image, each.witness, each.now, each.boot, fresh);
        ASSERT_TRUE(opened.result) << each.name << ": " << opened.result.why;
        EXPECT_EQ(opened.start.current, each.current) << each.name << ": " << opened.why;
        EXPECT_TRUE(opened.why.starts_with(each.why)) << each.name << ": " << opened.why;
        EXPECT_EQ(opened.start.longest_term, each.image.empty() ? Micros(0) : Micros(1'000'000)) << each.name;
        // A start that was none tells the next one so, unless the first waits it out.
        if (each.current || each.boot != std::string(Parts::boot_id)) continue;
        Trail again;
        EXPECT_FALSE(
            open(fresh.files.disk().visible(), fresh.witness, each.now, each.boot, again).start.current)
            << each.name;
    }
}

// By a mistake in their files two coordinators have one witness: it vouches for whoever wrote it last, and for that one's
// latest store alone.
TEST(CoordinatorJournal, TwoWithOneWitness) {
    struct Shared final : Witness {
        explicit Shared(std::string& its) : text_(its) {}
        int read(std::string& text) override {
            text = text_;
            return text.empty() ? ENOENT : 0;
        }
        int write(const std::string& text) override {
            text_ = text;
            return 0;
        }
        int remove() override { return write({}); }
        std::string& text_;
    };
    for (const bool copied : {false, true}) {  // stores of their own, or one a copy of the other's
        for (const std::string order : {"ab", "ba", "aab", "bba", "abab"}) {
            SCOPED_TRACE(order + (copied ? ", copied" : ""));
            std::string witness;
            store::test::SimFiles files[2];
            Parts parts[2];
            std::unique_ptr<Service> services[2];
            const auto begin = [&](std::size_t i) {
                parts[i].chance = 1000 * (i + 1);
                parts[i].files = std::make_unique<Borrowed>(files[i]);
                parts[i].witness = std::make_unique<Shared>(witness);
                services[i] = parts[i].service();
                ASSERT_TRUE(services[i]);
                parts[i].clock.at += Micros(2'500'000);
            };
            ASSERT_NO_FATAL_FAILURE(begin(0));
            ASSERT_TRUE(parts[0].ask(*services[0], parts[0].request("n1", 1, 1)));
            if (copied) files[1] = store::test::SimFiles(files[0].disk().visible());
            ASSERT_NO_FATAL_FAILURE(begin(1));
            std::uint64_t number = 2;
            for (const char who : order) {
                const auto i = static_cast<std::size_t>(who - 'a');
                ASSERT_TRUE(parts[i].ask(*services[i], parts[i].request("n1", number++, 1)));
            }
            const auto last = static_cast<std::size_t>(order.back() - 'a');
            for (const std::size_t i : {0U, 1U}) {
                const Image kept = files[i].disk().visible();
                Trail fresh;
                const auto opened =
                    open(kept, witness, Parts::start + Micros(60'000'000), Parts::boot_id, fresh);
                EXPECT_EQ(opened.start.current, i == last) << i << ": " << opened.why;
            }
        }
    }
}

// It knows nothing of what the later one grants: nor does its next start, though nothing is older or missing.
TEST(CoordinatorJournal, OneThatSteppedDown) {
    for (const bool stepped_down : {false, true}) {
        Trail run;
        Time end{};
        {
            Parts parts;
            parts.files = std::make_unique<Borrowed>(run.files);
            parts.witness = std::make_unique<Told>(run);
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
        Trail again;
        const auto opened = open(run.files.disk().visible(), run.witness, end, Parts::boot_id, again);
        EXPECT_EQ(opened.start.current, !stepped_down) << opened.why;
    }
}

// Two copies that went on apart: the one put back has more commits than the witness of the other, and is not current.
TEST(CoordinatorJournal, CopiesThatWentOnApart) {
    Trail run;
    ASSERT_NO_FATAL_FAILURE(play(run, 20));
    const Time later = Parts::start + Micros(60'000'000);
    Trail other;
    ASSERT_TRUE(open(run.files.disk().visible(), run.witness, later, Parts::boot_id, other).result);
    Trail again;
    const auto opened = open(run.files.disk().visible(), other.witness, later, Parts::boot_id, again);
    EXPECT_FALSE(opened.start.current);
    EXPECT_EQ(opened.why, "the witness is of another copy of the store");
}

// Each write in turn fails, once: without its reply, and what was acknowledged is there.
TEST(CoordinatorJournal, EachCallFailsOnce) {
    Trail whole;
    ASSERT_NO_FATAL_FAILURE(play(whole, 6));
    std::size_t refused = 0;
    for (const int error : {ENOSPC, EIO}) {
        for (std::size_t n = 0; n < whole.files.calls(); ++n) {
            Trail run;
            run.files.fault = [&](const store::test::Call& call) -> std::optional<Fault> {
                return call.number == n && call.writes() ? std::optional(Fault{error, 3}) : std::nullopt;
            };
            Parts parts;
            parts.files = std::make_unique<Borrowed>(run.files);
            parts.witness = std::make_unique<Told>(run);
            auto service = parts.service();
            if (!service) continue;  // it could not be opened, and says so
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
                                          run.files.disk().visible(), Parts::boot_id))
                << "call " << n;
        }
    }
    EXPECT_GT(refused, 0u);
}

// A witness that can't be written goes; where even that fails, so has the commit.
TEST(CoordinatorJournal, AWitnessThatCantBeWritten) {
    struct Failing final : Witness {
        explicit Failing(int& on_remove) : on_remove_(on_remove) {}
        int read(std::string&) override { return ENOENT; }
        int write(const std::string&) override { return ENOSPC; }
        int remove() override { return on_remove_; }
        int& on_remove_;
    };
    int on_remove = 0;
    Parts parts;
    parts.witness = std::make_unique<Failing>(on_remove);
    auto service = parts.service();
    ASSERT_TRUE(service);
    EXPECT_TRUE(parts.ask(*service, parts.request("n1", 1, 1)));
    EXPECT_TRUE(parts.log.has("the witness can't be written: No space left on device"));
    on_remove = EACCES;
    EXPECT_FALSE(parts.ask(*service, parts.request("n1", 2, 1)));
    EXPECT_TRUE(parts.log.has("coordinator: nothing is granted: the store: the witness can't be written"));
    on_remove = 0;
    EXPECT_TRUE(parts.ask(*service, parts.request("n1", 3, 1)));
    EXPECT_TRUE(parts.log.has("coordinator: grants are written again"));
}

}  // namespace
}  // namespace flaxdoor::coordinator::test
