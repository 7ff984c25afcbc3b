// Parses and formats durations, sizes and addresses, and checks the suggested corrections.
#include "settings/units.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

namespace flaxdoor::settings {
namespace {

using namespace std::chrono_literals;

template <class T>
std::string outcome_of(const std::variant<T, ParseError>& parsed) {
    const auto* why = std::get_if<ParseError>(&parsed);
    return why ? why->what + (why->suggestion.empty() ? "" : " -> " + why->suggestion) : "accepted";
}

TEST(Units, ParsesDurations) {
    const std::pair<const char*, Micros> right[] = {
        {"0s", 0us},   {"1us", 1us},     {"250ms", 250ms},     {"2s", 2s},         {"5m", 300s},
        {"24h", 24h},  {"1.5s", 1500ms}, {"0.000001s", 1us},   {"1.50ms", 1500us}, {"0.5h", 30min},
        {"010s", 10s}, {"1.0us", 1us},   {"277777h", 277777h}, {"0.25ms", 250us}};
    for (const auto& [text, span] : right) {
        const auto parsed = parse_duration(text);
        ASSERT_TRUE(std::holds_alternative<Micros>(parsed)) << text << ": " << outcome_of(parsed);
        EXPECT_EQ(std::get<Micros>(parsed), span) << text;
    }
}

TEST(Units, RejectsInvalidDurationsWithASuggestion) {
    const std::pair<const char*, const char*> wrong[] = {
        {"", R"("" is not a duration such as "250ms")"},
        {"s", R"("s" is not a duration such as "250ms")"},
        {".5s", R"(".5s" is not a duration such as "250ms")"},
        {"-1s", "a duration cannot be negative"},
        {"3", R"("3" has no unit (us, ms, s, m or h))"},
        {"1 s", R"("1 s" is not a number followed at once by us, ms, s, m or h -> 1s)"},
        {" 1s", R"(" 1s" is not a number followed at once by us, ms, s, m or h -> 1s)"},
        {"1S", R"("1S" is not a number followed at once by us, ms, s, m or h -> 1s)"},
        {"5min", R"("5min" is not a number followed at once by us, ms, s, m or h -> 5m)"},
        {"2 seconds", R"("2 seconds" is not a number followed at once by us, ms, s, m or h -> 2s)"},
        {"7\xc2\xb5s", "\"7\xc2\xb5s\" is not a number followed at once by us, ms, s, m or h -> 7us"},
        {"1m30s", R"("1m30s" is not a number followed at once by us, ms, s, m or h)"},
        {"2d", R"("2d" is not a number followed at once by us, ms, s, m or h -> 48h)"},
        {"1.5days", R"("1.5days" is not a number followed at once by us, ms, s, m or h)"},
        {"1.s", R"("1.s" is not a number followed at once by us, ms, s, m or h)"},
        {"1e3s", R"("1e3s" is not a number followed at once by us, ms, s, m or h)"},
        {"0.1us", R"("0.1us" is not a whole number of microseconds)"},
        {"1.0000001s", R"("1.0000001s" is not a whole number of microseconds)"},
        {"99999999999999999999s", R"("99999999999999999999s" is too large)"},
        {"277778h", R"("277778h" is too large)"}};
    for (const auto& [text, expected] : wrong) EXPECT_EQ(outcome_of(parse_duration(text)), expected) << text;
}

TEST(Units, Sizes) {
    const std::pair<const char*, std::uint64_t> right[] = {
        {"0B", 0},         {"512B", 512},        {"64KiB", 65536},
        {"4MiB", 4194304}, {"1GiB", 1073741824}, {"1.5KiB", 1536}};
    for (const auto& [text, count] : right) {
        const auto parsed = parse_bytes(text);
        ASSERT_TRUE(std::holds_alternative<Bytes>(parsed)) << text << ": " << outcome_of(parsed);
        EXPECT_EQ(std::get<Bytes>(parsed).count, count) << text;
    }
    const std::string not_at_once = " is not a number followed at once by B, KiB, MiB or GiB";
    for (const char* thousand : {"64k", "64K", "64kb", "64KB", "64kib", "64 KiB", "64Ki"}) {
        EXPECT_EQ(outcome_of(parse_bytes(thousand)),
                  "\"" + std::string(thousand) + "\"" + not_at_once + " -> 64KiB");
    }
    EXPECT_EQ(outcome_of(parse_bytes("3mb")), "\"3mb\"" + not_at_once + " -> 3MiB");
    EXPECT_EQ(outcome_of(parse_bytes("1TiB")), "\"1TiB\"" + not_at_once);
    EXPECT_EQ(outcome_of(parse_bytes("2d")), "\"2d\"" + not_at_once);
    EXPECT_EQ(outcome_of(parse_bytes("64")), "\"64\" has no unit (B, KiB, MiB or GiB)");
    EXPECT_EQ(outcome_of(parse_bytes("0.5B")), "\"0.5B\" is not a whole number of bytes");
    EXPECT_EQ(outcome_of(parse_bytes("18014398509481985KiB")), "\"18014398509481985KiB\" is too large");
}

TEST(Units, FormattedValuesParseToTheSameValues) {
    constexpr std::uint64_t seed = 20240611;
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    for (int i = 0; i < 20000; ++i) {
        const auto number =
            random() >> (14 + random() % 50);  // below 2^50, with evenly distributed bit lengths
        const Micros span(static_cast<std::int64_t>(number % 1'000'000'000'000'000));
        const auto spans = parse_duration(text_of(span));
        ASSERT_TRUE(std::holds_alternative<Micros>(spans)) << text_of(span);
        ASSERT_EQ(std::get<Micros>(spans), span);
        const auto sizes = parse_bytes(text_of(Bytes{number}));
        ASSERT_TRUE(std::holds_alternative<Bytes>(sizes)) << text_of(Bytes{number});
        ASSERT_EQ(std::get<Bytes>(sizes).count, number);
    }
}

TEST(Units, Addresses) {
    const std::tuple<const char*, const char*, int> right[] = {
        {"127.0.0.1:80", "127.0.0.1", 80},
        {"[::1]:5432", "::1", 5432},
        {"db:0", "db", 0},
        {"db-1.a_b.example:65535", "db-1.a_b.example", 65535},
        {"0.0.0.0:1", "0.0.0.0", 1}};
    for (const auto& [text, host, port] : right) {
        const auto parsed = parse_address(text);
        ASSERT_TRUE(std::holds_alternative<Address>(parsed)) << text << ": " << outcome_of(parsed);
        EXPECT_EQ(std::get<Address>(parsed).host, host);
        EXPECT_EQ(std::get<Address>(parsed).port, port);
        EXPECT_EQ(text_of(std::get<Address>(parsed)), text);
    }
    EXPECT_EQ(outcome_of(parse_address("127.0.0.1")), "\"127.0.0.1\" has no port");
    EXPECT_EQ(outcome_of(parse_address("::1:80")), "\"::1:80\" is not HOST:PORT -> [::1]:80");
    for (const char* wrong :
         {"",        ":",    ":80",   "a:",     "a:b",  "a:65536", "a:-1", "a: 1", "1.2.3:4", "1.2.3.256:4",
          "[::1:80", "[]:1", "[a]:1", "a..b:1", ".a:1", "a.:1",    "-a:1", "a-:1", "a-.b:1",  "a b:1"}) {
        EXPECT_NE(outcome_of(parse_address(wrong)), "accepted") << wrong;
    }
    EXPECT_NE(outcome_of(parse_address(std::string(64, 'a') + ":1")), "accepted");
    EXPECT_NE(outcome_of(parse_address(std::string(3000, 'a') + ":1")), "accepted");
}

TEST(Units, SuggestsAUnitInRangeAndNearTheUsualValue) {
    EXPECT_EQ(suggest_duration(300, 10ms, 24h, 5min), "300s");
    EXPECT_EQ(suggest_duration(5, 10ms, 24h, 5min), "5m");
    EXPECT_EQ(suggest_duration(450, 0s, 1min, 450ms), "450ms");
    EXPECT_EQ(suggest_duration(1.5, 0s, 1min, 1s), "1.5s");
    EXPECT_EQ(suggest_duration(-1, 0s, 1min, 1s), "");
    EXPECT_EQ(suggest_duration(1e30, 0s, 1min, 1s), "");
    EXPECT_EQ(suggest_size(256, {0}, mebibytes(64), kibibytes(256)), "256KiB");
    EXPECT_EQ(suggest_size(4, kibibytes(64), mebibytes(64), mebibytes(4)), "4MiB");
    EXPECT_EQ(suggest_size(65536, kibibytes(64), mebibytes(64), mebibytes(4)), "64KiB");
    EXPECT_EQ(suggest_size(2.5, {0}, mebibytes(64), mebibytes(4)), "");
}

TEST(Units, EditDistance) {
    EXPECT_EQ(edit_distance("", ""), 0u);
    EXPECT_EQ(edit_distance("idle", "idle"), 0u);
    EXPECT_EQ(edit_distance("", "abc"), 3u);
    EXPECT_EQ(edit_distance("idel", "idle"), 1u);  // two adjacent letters swapped
    EXPECT_EQ(edit_distance("idle", "idles"), 1u);
    EXPECT_EQ(edit_distance("idle", "ide"), 1u);
    EXPECT_EQ(edit_distance("kitten", "sitting"), 3u);
    const std::array<std::string, 2> words{"request_timeout", "idle_timeout"};
    EXPECT_EQ(nearest("idle_timeuot", words), "idle_timeout");
    EXPECT_EQ(nearest("something", words), std::nullopt);
    EXPECT_EQ(nearest(std::string(100000, 'a'), words), std::nullopt);
}

TEST(Units, QuotesTextSafely) {
    EXPECT_EQ(in_quotes("a\x1b[31m\n\x7f"), R"("a\x1b[31m\x0a\x7f")");
    EXPECT_EQ(in_quotes("\xc2\x9b"
                        "1m"),
              R"("\x9b1m")");
    EXPECT_EQ(in_quotes("caf\xc3\xa9 \xc2\xb5"), "\"caf\xc3\xa9 \xc2\xb5\"");
    EXPECT_EQ(in_quotes(std::string(59, 'a') + "\xc3\xa9tail"), "\"" + std::string(59, 'a') + "...\"");
    EXPECT_EQ(in_quotes(std::string(1000, 'b')), "\"" + std::string(60, 'b') + "...\"");
}

}  // namespace
}  // namespace flaxdoor::settings
