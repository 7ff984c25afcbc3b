// Counter-based random streams. The n-th number of a stream depends only on the seed, on the stream's kind and owner
// and on n. An additional client, or an additional draw of one server, therefore changes no other stream.
// Stream is a UniformRandomBitGenerator for the distributions of Boost.Random, which give the same results on all
// platforms, unlike those of the standard library.
//
// Algorithm: Philox4x32-10 (Salmon, Moraes, Dror, Shaw: Parallel Random Numbers: As Easy as 1, 2, 3; 2011).
// Threading: a stream belongs to one thread. Copies are independent and continue from the same position.
#pragma once

#include <array>
#include <cstdint>
#include <limits>

namespace flaxdoor::lab {

// Returns the Philox4x32-10 block for a 128-bit counter and a 64-bit key.
std::array<std::uint32_t, 4> philox(std::array<std::uint32_t, 4> counter, std::array<std::uint32_t, 2> key);

// The kind of the owner of a stream.
enum class Whose : std::uint32_t { client, call, attempt, server, balancer, roster, network, trouble, hunt };

class Stream {
public:
    using result_type = std::uint64_t;
    // `owner` and `part` identify the owner within its kind, such as a client, or a call and its attempt.
    Stream(std::uint64_t seed, Whose whose, std::uint64_t owner, std::uint32_t part = 0);

    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return std::numeric_limits<result_type>::max(); }
    result_type operator()();

    // Returns a uniform number in [0, 1), a multiple of 2^-53.
    double share();
    // Returns a uniform integer in [0, n). Requires n > 0.
    std::uint64_t below(std::uint64_t n);
    // Returns true with probability p.
    bool chance(double p) { return p > 0 && share() < p; }

private:
    std::array<std::uint32_t, 2> key_;
    std::array<std::uint32_t, 4> counter_;
    std::array<std::uint32_t, 4> block_{};
    unsigned used_ = 4;
};

}  // namespace flaxdoor::lab
