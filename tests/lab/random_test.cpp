// Random numbers by counter: the published vectors, and that streams know nothing of each other.
#include <gtest/gtest.h>

#include <set>
#include <vector>

#include "random/stream.h"

namespace flaxdoor::lab {
namespace {

// Random123's kat_vectors, philox4x32 of 10 rounds.
TEST(Philox, GivesThePublishedNumbers) {
    using Words = std::array<std::uint32_t, 4>;
    constexpr std::uint32_t ones = 0xffffffffU;
    EXPECT_EQ(philox({0, 0, 0, 0}, {0, 0}), (Words{0x6627e8d5U, 0xe169c58dU, 0xbc57ac4cU, 0x9b00dbd8U}));
    EXPECT_EQ(philox({ones, ones, ones, ones}, {ones, ones}),
              (Words{0x408f276dU, 0x41c83b0eU, 0xa20bc7c6U, 0x6d5451fdU}));
    EXPECT_EQ(philox({0x243f6a88U, 0x85a308d3U, 0x13198a2eU, 0x03707344U}, {0xa4093822U, 0x299f31d0U}),
              (Words{0xd16cfe09U, 0x94fdccebU, 0x5001e420U, 0x24126ea1U}));
}

std::vector<std::uint64_t> numbers(Stream stream, std::size_t n) {
    std::vector<std::uint64_t> drawn;
    for (std::size_t i = 0; i < n; ++i) drawn.push_back(stream());
    return drawn;
}

TEST(Stream, IsCutFromItsCounter) {
    const auto block = philox({0, 0, 0, 0}, {0, 0});
    Stream stream(0, Whose::client, 0);
    EXPECT_EQ(stream(), std::uint64_t{block[1]} << 32U | block[0]);
    EXPECT_EQ(stream(), std::uint64_t{block[3]} << 32U | block[2]);
    const auto next = philox({1, 0, 0, 0}, {0, 0});
    EXPECT_EQ(stream(), std::uint64_t{next[1]} << 32U | next[0]);
}

// What one stream draws, and how much, changes no other; nor does it matter in which order they draw.
TEST(Stream, OwesNothingToOthersDraws) {
    const auto alone = numbers(Stream(42, Whose::call, 7), 100);
    Stream one(42, Whose::call, 6), same(42, Whose::call, 7), other(42, Whose::call, 8);
    for (std::size_t i = 0; i < 100; ++i) {
        for (std::size_t k = 0; k < i % 5; ++k) one();
        EXPECT_EQ(same(), alone[i]) << i;
        other.below(3);
    }
    Stream copy = same;
    EXPECT_EQ(copy(), same());
}

// Seed, kind, owner and part each name another stream, also at the edges of their bits.
TEST(Stream, NamesAreTold) {
    std::set<std::vector<std::uint64_t>> seen;
    std::size_t streams = 0;
    for (const std::uint64_t seed : {0ULL, 1ULL, 1ULL << 32U, ~0ULL}) {
        for (const Whose whose : {Whose::client, Whose::call, Whose::attempt, Whose::hunt}) {
            for (const std::uint64_t owner : {0ULL, 1ULL, 1ULL << 32U, ~0ULL}) {
                for (const std::uint32_t part : {0U, 1U, (1U << 28U) - 1}) {
                    seen.insert(numbers(Stream(seed, whose, owner, part), 4));
                    ++streams;
                }
            }
        }
    }
    EXPECT_EQ(seen.size(), streams);
}

TEST(Stream, BelowAndShareStayInTheirRange) {
    Stream stream(3, Whose::network, 1);
    std::array<unsigned, 7> met{};
    double sum = 0;
    for (int i = 0; i < 70000; ++i) {
        ++met[stream.below(7)];
        const double share = stream.share();
        ASSERT_GE(share, 0);
        ASSERT_LT(share, 1);
        sum += share;
    }
    // Six standard deviations: 92.6 and 0.0011 each.
    for (const unsigned n : met) EXPECT_NEAR(n, 10000, 556);
    EXPECT_NEAR(sum / 70000, 0.5, 0.0066);
    EXPECT_EQ(stream.below(1), 0U);
    EXPECT_FALSE(stream.chance(0));
    EXPECT_TRUE(stream.chance(1));
}

}  // namespace
}  // namespace flaxdoor::lab
