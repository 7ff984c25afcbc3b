// Checks that a machine's results do not depend on how its input is split.
#pragma once

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "http/drive.h"

namespace flaxdoor::http::test {

constexpr std::size_t small_message_bytes =
    4096;  // messages up to this size are also split into single bytes

// Distance in bytes between the positions at which a message is cut. The sanitizer build, which is not optimized, cuts
// large messages at every seventeenth byte only; the Release build, which runs the same tests, cuts at every byte.
constexpr std::size_t stride_of([[maybe_unused]] std::size_t bytes) {
#ifdef __SANITIZE_ADDRESS__
    return bytes > small_message_bytes ? 17 : 1;
#else
    return 1;
#endif
}

// Expects the same result of `run` for the complete bytes, for a cut at every position, for random pairs of cuts, and
// for single bytes.
template <typename Run>
void expect_same_for_every_split(const std::string& bytes, unsigned seed, Run run) {
    const std::string whole = run({bytes});
    for (std::size_t cut = 0; cut <= bytes.size(); cut += stride_of(bytes.size())) {
        ASSERT_EQ(run(pieces_of(bytes, {cut})), whole) << "cut at " << cut;
    }
    testing::Test::RecordProperty("seed", static_cast<int>(seed));
    std::mt19937 generator(seed);
    std::uniform_int_distribution<std::size_t> at(0, bytes.size());
    for (int i = 0; i < 300; ++i) {
        const auto first = at(generator), second = at(generator);
        ASSERT_EQ(run(pieces_of(bytes, {first, second})), whole)
            << "cut at " << first << " and " << second << ", seed " << seed;
    }
    if (bytes.size() <= small_message_bytes) {
        ASSERT_EQ(run(bytes_of(bytes)), whole) << "byte by byte";
    }
}

}  // namespace flaxdoor::http::test
