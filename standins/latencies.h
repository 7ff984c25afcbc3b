// A log-linear histogram of latencies, for all that counts them: stand-ins, benches and the lab.
// Error: a quantile is at most 1/128 above the true one, and never above the greatest.
// Bounds: a fixed table of buckets (26 KiB), made with the first latency. Threading: plain values.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace flaxdoor::standins {

// Latencies in microseconds, in buckets less than 1% wide.
class Latencies {
public:
    void add(std::chrono::microseconds latency);
    // The latency that the share q of all stayed within; 0 when there are none.
    [[nodiscard]] std::chrono::microseconds quantile(double q) const;
    [[nodiscard]] std::uint64_t count() const { return count_; }
    [[nodiscard]] std::chrono::microseconds most() const { return std::chrono::microseconds(most_); }
    void merge(const Latencies& other);

private:
    static constexpr unsigned fine_bits = 7;
    static constexpr std::size_t buckets = (33 - fine_bits) << fine_bits;
    std::vector<std::uint64_t> counts_;
    std::uint64_t count_ = 0, most_ = 0;
};

}  // namespace flaxdoor::standins
