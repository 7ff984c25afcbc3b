// Reads a corpus of valid and invalid files, and random mutations of these files.
#include <algorithm>
#include <random>

#include "iterations.h"
#include "samples.h"
#include "settings/product.h"

namespace flaxdoor::settings {
namespace {

using namespace samples;

const std::filesystem::path corpus(CORPUS);

// The .expected file next to each broken file holds its faults as the program prints them.
TEST(Corpus, BrokenFilesGiveTheExpectedFaults) {
    const auto files = files_in(corpus / "broken");
    EXPECT_GE(files.size(), 15u);
    for (const auto& path : files) {
        const Reading reading = read_file(path, product_schema());
        const auto* faults = std::get_if<Faults>(&reading);
        auto expected = path;
        expected.replace_extension(".expected");
        EXPECT_EQ(faults ? faults->text(path.filename()) : "", content_of(expected)) << path;
    }
}

TEST(Corpus, GoodFilesAreAccepted) {
    const auto files = files_in(corpus / "good");
    EXPECT_GE(files.size(), 4u);
    for (const auto& path : files) EXPECT_EQ(faults_of(content_of(path), product_schema()), "") << path;
}

class Mutator {
public:
    explicit Mutator(std::uint64_t seed) : random_(seed) {}

    std::string mutate(std::string text) {
        for (auto times = below(4) + 1; times > 0; --times) mutate_once(text);
        return text;
    }

private:
    std::size_t below(std::size_t bound) { return bound == 0 ? 0 : random_() % bound; }

    void mutate_once(std::string& text) {
        static const std::vector<std::string> pieces = {
            "\"",   "'",      "\"\"\"", "'''",   "[",          "]",     "[[",       "]]",      "{",
            "}",    "=",      ".",      ",",     "#",          "\n",    "\r\n",     "\\",      "\\u",
            "-",    "+",      "1e999",  "0x",    "nan",        "inf",   "true",     "s",       "1979-05",
            "\xff", "\xc3",   "\0",     "a.b.c", "9999999999", "\"9\"", "http",     "core",    "1s",
            "KiB",  "[http]", "idle",   "\x1b",  "\t",         " = ",   "\xe2\x82", "07:32:00"};
        const std::size_t at = below(text.size() + 1);
        const std::size_t length = below(std::min<std::size_t>(text.size() - at, 1 + below(40)) + 1);
        switch (below(7)) {
            case 0: text.erase(at, length); break;
            case 1: text.insert(at, pieces[below(pieces.size())]); break;
            case 2: text.replace(at, length, pieces[below(pieces.size())]); break;
            case 3: text.insert(below(text.size() + 1), text.substr(at, length)); break;
            case 4:
                if (at < text.size()) text[at] = static_cast<char>(random_());
                break;
            case 5: text.resize(at); break;
            case 6: swap_lines(text); break;
        }
    }

    void swap_lines(std::string& text) {
        std::vector<std::string> lines(1);
        for (const char c : text) {
            lines.back() += c;
            if (c == '\n') lines.emplace_back();
        }
        std::swap(lines[below(lines.size())], lines[below(lines.size())]);
        text.clear();
        for (const std::string& line : lines) text += line;
    }

    std::mt19937_64 random_;
};

void expect_accepted_or_valid_faults(const std::string& text, const Schema& schema) {
    const Reading reading = read_text(text, schema);
    const auto* faults = std::get_if<Faults>(&reading);
    if (!faults) return;
    ASSERT_FALSE(faults->empty());
    const auto lines = static_cast<std::uint32_t>(std::count(text.begin(), text.end(), '\n')) + 1;
    Position last;
    for (const Fault& fault : faults->first()) {
        const std::string line = line_of("F", fault);
        ASSERT_GE(fault.at.line, 1u) << line;
        ASSERT_GE(fault.at.column, 1u) << line;
        ASSERT_LE(fault.at.line, lines + 1) << line;
        ASSERT_LE(last, fault.at) << line;
        ASSERT_FALSE(fault.what.empty());
        ASSERT_LE(line.size(), 1000u) << line;
        for (const char c : line) ASSERT_GE(static_cast<unsigned char>(c), 0x20) << line;
        last = fault.at;
    }
}

TEST(Corpus, MutatedFilesAreAcceptedOrGiveFaultsWithPositions) {
    std::vector<std::string> texts;
    for (const auto& folder :
         {corpus / "good", corpus / "broken", std::filesystem::path(SOURCE_ROOT) / "deploy/examples"}) {
        for (const auto& path : files_in(folder)) texts.push_back(content_of(path));
    }
    texts.push_back(
        "[all]\non = false\nlabel = \"abc\"\ncolour = \"red\"\npeer = \"[::1]:1\"\nfile = '/a'\nnames = "
        "[\"a\", \"b\"]\n"
        "[store]\nserver = \"db:5\"\n[[route]]\nname = \"a\"\nshare = 4\n[[route]]\nname = \"b\"\n");
    const Schema product = product_schema(), samples = schema();
    std::size_t accepted = 0;
    for (const std::uint64_t seed : {1, 2, 3}) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Mutator mutator(seed);
        for (int i = 0; i < flaxdoor::test::iterations(8000, 1000); ++i) {
            const std::string text = mutator.mutate(texts[static_cast<std::size_t>(i) % texts.size()]);
            SCOPED_TRACE("number " + std::to_string(i) + ":\n" + text);
            ASSERT_NO_FATAL_FAILURE(expect_accepted_or_valid_faults(text, product));
            ASSERT_NO_FATAL_FAILURE(expect_accepted_or_valid_faults(text, samples));
            accepted += std::holds_alternative<Values>(read_text(text, product)) ? 1 : 0;
        }
    }
    EXPECT_GT(accepted, 100u) << "too few mutated files are valid TOML to test the checks of values";
}

}  // namespace
}  // namespace flaxdoor::settings
