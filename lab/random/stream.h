// Random numbers by counter: a stream is named by the world's seed and by whose it is, and its n-th number
// depends on nothing else, so that one more client, or one more draw of a server, leaves all others as they
// were. A UniformRandomBitGenerator, for Boost.Random's distributions (which give the same everywhere, unlike
// those of the standard library).
//
// Formula:   Philox4x32-10 (Salmon, Moraes, Dror, Shaw: Parallel Random Numbers: As Easy as 1, 2, 3; 2011).
// Threading: a stream belongs to one thread; copies are independent and go on from the same place.
#pragma once

#include <array>
#include <cstdint>
#include <limits>

namespace flaxdoor::lab {

// Philox4x32-10 of a counter of 128 bits and a key of 64.
std::array<std::uint32_t, 4> philox(std::array<std::uint32_t, 4> counter, std::array<std::uint32_t, 2> key);

enum class Whose : std::uint32_t { client, call, attempt, server, balancer, roster, network, trouble, hunt };

class Stream {
public:
    using result_type = std::uint64_t;
    // `owner` and `part`: which client, or which call and attempt.
    Stream(std::uint64_t seed, Whose whose, std::uint64_t owner, std::uint32_t part = 0);

    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return std::numeric_limits<result_type>::max(); }
    result_type operator()();

    // At least 0 and less than 1, in steps of 2^-53.
    double share();
    // At least 0 and less than n; n over 0.
    std::uint64_t below(std::uint64_t n);
    bool chance(double p) { return p > 0 && share() < p; }

private:
    std::array<std::uint32_t, 2> key_;
    std::array<std::uint32_t, 4> counter_;
    std::array<std::uint32_t, 4> block_{};
    unsigned used_ = 4;
};

}  // namespace flaxdoor::lab
