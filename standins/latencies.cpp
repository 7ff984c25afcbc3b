#include "standins/latencies.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace flaxdoor::standins {

void Latencies::add(std::chrono::microseconds latency) {
    const auto us = static_cast<std::uint64_t>(std::clamp<std::int64_t>(latency.count(), 0, 0xffffffffLL));
    if (counts_.empty()) counts_.resize(buckets);
    // Below 2^fine_bits a bucket each; above, 2^fine_bits buckets for each power of two.
    std::size_t index = us;
    if (us >= (1U << fine_bits)) {
        const auto shift = static_cast<unsigned>(std::bit_width(us)) - fine_bits - 1;
        index = (static_cast<std::size_t>(shift + 1) << fine_bits) + ((us >> shift) - (1U << fine_bits));
    }
    ++counts_[index];
    ++count_;
    most_ = std::max(most_, us);
}

std::chrono::microseconds Latencies::quantile(double q) const {
    if (count_ == 0) return std::chrono::microseconds(0);
    const auto wanted =
        std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(count_))));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        seen += counts_[i];
        if (seen < wanted) continue;
        std::uint64_t upper = i;
        if (i >= (1U << fine_bits)) {
            const auto shift = (i >> fine_bits) - 1;
            upper = (((i & ((1U << fine_bits) - 1)) + (1U << fine_bits) + 1) << shift) - 1;
        }
        return std::chrono::microseconds(std::min(upper, most_));
    }
    return most();
}

void Latencies::merge(const Latencies& other) {
    if (other.counts_.empty()) return;
    if (counts_.empty()) counts_.resize(buckets);
    for (std::size_t i = 0; i < buckets; ++i) counts_[i] += other.counts_[i];
    count_ += other.count_;
    most_ = std::max(most_, other.most_);
}

}  // namespace flaxdoor::standins
