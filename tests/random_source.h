// Random choices of a randomized test. They depend only on the seed, which the test prints.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <random>
#include <string>

namespace flaxdoor::test {

class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed) : random_(seed) {}

    // Returns a number from 0 to n - 1.
    std::size_t below(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_); }
    // Returns true with probability 1 / n.
    bool one_in(std::size_t n) { return below(n) == 0; }
    // Returns a number from 0 to 1.
    double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    // Returns one of the texts.
    std::string pick(std::initializer_list<const char*> all) { return all.begin()[below(all.size())]; }

private:
    std::mt19937_64 random_;
};

}  // namespace flaxdoor::test
