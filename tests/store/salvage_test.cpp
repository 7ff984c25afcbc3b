// Salvage must copy what can be read of a damaged store, report every loss, and leave the source unchanged.
#include <gtest/gtest.h>

#include <algorithm>
#include <cerrno>
#include <set>

#include "history.h"
#include "store/coding.h"

namespace flaxdoor::store::test {
namespace {

// A store with runs on several levels and an unflushed log, and all lines of content that it ever had.
struct WrittenStore {
    Image image;
    std::string text;
    std::set<std::string> lines;
    std::uint64_t runs = 0;
    std::string first_log;

    explicit WrittenStore(std::uint64_t seed) {
        SimFiles files;
        const Recording recording = record(files, files, seed, 1, 30);
        auto opened = Engine::open(files, small_options(), counting(9));
        WorkloadMaker maker(seed + 1);
        Model model = recording.history.last();
        for (const auto& state : recording.history.states) add(*state.model);
        for (int i = 0; i < 6; ++i) {
            const Changes changes = maker.next();
            EXPECT_TRUE(write(*opened.engine, changes).result);
            model.apply(changes);
            add(model);
        }
        image = files.disk().visible();
        runs = opened.engine->figures().runs;
        for (const auto& [name, content] : image) {
            if (name.ends_with(".log") && first_log.empty()) first_log = name;
        }
        text = model.text();
    }
    void add(const Model& model) {
        for (const auto& [space, keys] : model.keys()) {
            for (const auto& [key, value] : keys) lines.insert(space + "/" + key + "=" + value);
        }
        for (const auto& [space, streams] : model.streams()) {
            for (const auto& [name, stream] : streams) {
                for (const auto& [position, value] : stream.elements)
                    lines.insert(space + "/" + name + "/" + std::to_string(position) + "=" + value);
            }
        }
    }
    // Checks that the text holds nothing that was never written.
    void check(const std::string& salvaged_text) const {
        std::string space, stream, line;
        for (std::size_t at = 0; at < salvaged_text.size(); at += line.size() + 1) {
            line = salvaged_text.substr(at, salvaged_text.find('\n', at) - at);
            if (line.starts_with("  ")) {
                const std::string entry = space + "/" + (stream.empty() ? "" : stream + "/") + line.substr(2);
                ASSERT_TRUE(lines.contains(entry)) << entry;
            } else if (line.starts_with(" ")) {
                stream = line.substr(1, line.find(" next ") - 1);
            } else {
                space = line.substr(line.find(' ') + 1);
                stream.clear();
            }
        }
    }
};

struct SalvageOutcome {
    Result result;
    std::vector<std::string> reported;
    SimFiles to;
    std::string text;
    Identity identity{};

    explicit SalvageOutcome(const Image& image) {
        SimFiles from(image);
        result = salvage(from, to, counting(5), [&](const std::string& line) { reported.push_back(line); });
        EXPECT_TRUE(from.operations().empty());
        if (!result) return;
        // The result is a store, also after a power cut, and can be written.
        SimFiles after(to.disk().cut({0, 0, {}, false, nullptr}));
        auto opened = Engine::open(after, small_options(), counting(6));
        EXPECT_TRUE(opened.result) << opened.result.why;
        if (!opened.engine) return;
        EXPECT_FALSE(opened.opening.made);
        identity = opened.engine->identity();
        EXPECT_TRUE(opened.engine->verify([](const std::string&) {}));
        text = text_of(*opened.engine, names(), 50);
        make_spaces(*opened.engine, nullptr);
        const auto written = write(*opened.engine, Changes{{Batch::Kind::put, "lists", "more", "x", 0},
                                                           {Batch::Kind::append, "ledger", "a", "x", 0},
                                                           {Batch::Kind::trim, "ledger", "b", {}, 1000}});
        EXPECT_TRUE(written.result) << written.result.why;
        opened.engine->compact_all();
        const Result finished = finish_work(*opened.engine);
        EXPECT_TRUE(finished) << finished.why;
    }
};

TEST(StoreSalvage, UndamagedStoreLosesNothing) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const WrittenStore written(seed);
        const SalvageOutcome salvaged(written.image);
        ASSERT_TRUE(salvaged.result) << salvaged.result.why;
        EXPECT_EQ(salvaged.text, written.text);
        ASSERT_EQ(salvaged.reported.size(), 1U) << salvaged.reported.front();
    }
}

TEST(StoreSalvage, AnyByteFlipped) {
    const WrittenStore written(3);
    ASSERT_GE(written.runs, 2U);
    for (const auto& [name, content] : written.image) {
        for (std::size_t at = 0; at < content.size(); at += long_form() ? 1 : 7) {
            SCOPED_TRACE(name + " byte " + std::to_string(at));
            Image image = written.image;
            image[name][at] = static_cast<char>(content[at] ^ 4);
            const SalvageOutcome salvaged(image);
            ASSERT_TRUE(salvaged.result) << salvaged.result.why;
            ASSERT_NO_FATAL_FAILURE(written.check(salvaged.text));
            // The loss is reported with the name of the file.
            ASSERT_TRUE(std::ranges::any_of(salvaged.reported, [&file = name](const std::string& line) {
                return line.starts_with(file);
            }));
        }
    }
}

TEST(StoreSalvage, AnyFileMissing) {
    const WrittenStore written(3);
    for (const auto& [name, content] : written.image) {
        SCOPED_TRACE(name);
        Image image = written.image;
        image.erase(name);
        const SalvageOutcome salvaged(image);
        ASSERT_TRUE(salvaged.result) << salvaged.result.why;
        ASSERT_NO_FATAL_FAILURE(written.check(salvaged.text));
        // The absence of a log that no manifest names cannot be noticed.
        const bool named = !name.ends_with(".log") || name == written.first_log;
        EXPECT_GT(salvaged.reported.size(), named ? 1U : 0U);
        if (name == "IDENTITY" || name.ends_with("manifest")) {
            EXPECT_EQ(salvaged.text, written.text);
        }
    }
}

TEST(StoreSalvage, DamageWithinTheLog) {
    const WrittenStore written(3);
    for (const auto& [name, content] : written.image) {
        if (!name.ends_with(".log")) continue;
        Image image = written.image;
        image[name].replace(100, 8, 8, '\0');
        SimFiles from(image);
        EXPECT_EQ(Engine::open(from, small_options(), counting(1)).result.status, Status::corrupt);
        const SalvageOutcome salvaged(image);
        ASSERT_TRUE(salvaged.result);
        // The batches after the damage are kept, and the lost ones are reported.
        EXPECT_TRUE(std::ranges::any_of(salvaged.reported, [](const std::string& line) {
            return line.find("batches of sequence") != std::string::npos;
        }));
        EXPECT_NE(salvaged.text, written.text);
    }
}

TEST(StoreSalvage, UnusableTargetsAndFailingReads) {
    const WrittenStore written(3);
    const auto ignore_report = [](const std::string&) {};
    const auto fails_at = [](std::size_t n) {
        return [n](const Call& call) {
            return call.number == n ? std::optional(Fault{EIO, 0}) : std::nullopt;
        };
    };
    SimFiles from(written.image), full(written.image);
    EXPECT_EQ(salvage(from, full, counting(1), ignore_report).status, Status::refused);
    EXPECT_TRUE(full.operations().empty());
    // A failing target is reported and is not a store.
    std::size_t calls = 0;
    {
        SimFiles to;
        ASSERT_TRUE(salvage(from, to, counting(1), ignore_report));
        calls = to.calls();
    }
    for (std::size_t n = 0; n < calls; ++n) {
        SimFiles to;
        to.fault = fails_at(n);
        const Result result = salvage(from, to, counting(1), ignore_report);
        EXPECT_EQ(result.status, Status::retry) << n << " " << result.why;
    }
    // Failed reads are reported as losses.
    for (std::size_t n = 0; n < 40; ++n) {
        SimFiles failing(written.image), to;
        failing.fault = fails_at(n);
        std::vector<std::string> reported;
        const Result result =
            salvage(failing, to, counting(1), [&](const std::string& line) { reported.push_back(line); });
        EXPECT_TRUE(result || result.status == Status::retry) << n;
        if (!result) continue;
        auto opened = Engine::open(to, small_options(), counting(2));
        ASSERT_TRUE(opened.result) << opened.result.why;
        const std::string text = text_of(*opened.engine, names(), 50);
        ASSERT_NO_FATAL_FAILURE(written.check(text));
        if (reported.size() == 1) {
            EXPECT_EQ(text, written.text) << n;
        }
    }
}

}  // namespace
}  // namespace flaxdoor::store::test
