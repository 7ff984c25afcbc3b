#include "random/stream.h"

namespace flaxdoor::lab {

namespace {

struct Product {
    std::uint32_t high, low;
};
constexpr Product multiply(std::uint32_t a, std::uint32_t b) {
    const std::uint64_t product = std::uint64_t{a} * b;
    return {static_cast<std::uint32_t>(product >> 32U), static_cast<std::uint32_t>(product)};
}

}  // namespace

std::array<std::uint32_t, 4> philox(std::array<std::uint32_t, 4> counter, std::array<std::uint32_t, 2> key) {
    for (int round = 0; round < 10; ++round) {
        const Product first = multiply(0xD2511F53U, counter[0]);
        const Product second = multiply(0xCD9E8D57U, counter[2]);
        counter = {second.high ^ counter[1] ^ key[0], second.low, first.high ^ counter[3] ^ key[1],
                   first.low};
        key[0] += 0x9E3779B9U;
        key[1] += 0xBB67AE85U;
    }
    return counter;
}

Stream::Stream(std::uint64_t seed, Whose whose, std::uint64_t owner, std::uint32_t part)
    : key_{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32U)},
      // The lowest word counts blocks. The next one holds `whose` in 4 bits and `part` in 28 bits.
      counter_{0, static_cast<std::uint32_t>(whose) << 28U | (part & 0xFFFFFFFU),
               static_cast<std::uint32_t>(owner), static_cast<std::uint32_t>(owner >> 32U)} {}

Stream::result_type Stream::operator()() {
    if (used_ >= 4) {
        block_ = philox(counter_, key_);
        ++counter_[0];
        used_ = 0;
    }
    const result_type number = std::uint64_t{block_[used_ + 1]} << 32U | block_[used_];
    used_ += 2;
    return number;
}

double Stream::share() { return static_cast<double>((*this)() >> 11U) * 0x1.0p-53; }

std::uint64_t Stream::below(std::uint64_t n) {
    // Numbers from the incomplete part of the range are rejected, because they would favour small results.
    const std::uint64_t rejected = (max() - n + 1) % n;
    std::uint64_t number = (*this)();
    while (number < rejected) number = (*this)();
    return number % n;
}

}  // namespace flaxdoor::lab
