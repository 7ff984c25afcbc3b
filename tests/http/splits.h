// The same bytes in every split that both machines' tests go through.
#pragma once

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "http/drive.h"

namespace flaxdoor::http::test {

constexpr std::size_t small = 4096;  // messages up to this size are tried in still more ways

// How far apart the places are where a message is cut: one byte. The sanitizers' build, which has no optimizer, looks at
// every seventeenth place of a large one; the Release build, which the suite runs too, at each.
constexpr std::size_t stride_of([[maybe_unused]] std::size_t bytes) {
#ifdef __SANITIZE_ADDRESS__
    return bytes > small ? 17 : 1;
#else
    return 1;
#endif
}

// What `play` tells of the bytes, cut at every place, at two places by chance, and byte by byte.
template <typename Play>
void expect_the_same_in_splits(const std::string& bytes, unsigned seed, Play play) {
    const std::string whole = play({bytes});
    for (std::size_t cut = 0; cut <= bytes.size(); cut += stride_of(bytes.size())) {
        ASSERT_EQ(play(pieces_of(bytes, {cut})), whole) << "cut at " << cut;
    }
    testing::Test::RecordProperty("seed", static_cast<int>(seed));
    std::mt19937 chance(seed);
    std::uniform_int_distribution<std::size_t> at(0, bytes.size());
    for (int i = 0; i < 300; ++i) {
        const auto first = at(chance), second = at(chance);
        ASSERT_EQ(play(pieces_of(bytes, {first, second})), whole)
            << "cut at " << first << " and " << second << ", seed " << seed;
    }
    if (bytes.size() <= small) {
        ASSERT_EQ(play(bytes_of(bytes)), whole) << "byte by byte";
    }
}

}  // namespace flaxdoor::http::test
