#include "budget/division.h"

#include <algorithm>

namespace flaxdoor::budget {

namespace {

// Returns whole * weight / weights. The factors are at most 1e13 and 1e6: their product usually fits into 64
// bits, and always into 128.
std::int64_t weighted_part(std::int64_t whole, std::int64_t weight, std::int64_t weights) {
    std::int64_t product = 0;
    if (!__builtin_mul_overflow(whole, weight, &product)) return product / weights;
    return static_cast<std::int64_t>(static_cast<__int128>(whole) * weight / weights);
}

// Returns the indices of the claims that want a permit. If there are more of them than permits, those that
// have been without one for the longest time come first; otherwise they keep the order of the claims.
std::vector<std::size_t> claims_by_priority(const std::vector<Claim>& claims, std::int64_t whole) {
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < claims.size(); ++i) {
        if (claims[i].wants.size > 0) order.push_back(i);
    }
    if (static_cast<std::int64_t>(order.size()) <= whole) return order;
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return claims[a].terms_without_permit > claims[b].terms_without_permit;
    });
    return order;
}

// Divides the sizes. Each claim that wants a permit gets one before any claim gets two. If there are too few,
// the claims that have been without a permit for the longest time get one.
std::vector<std::int64_t> divide_sizes(std::int64_t whole, const std::vector<Claim>& claims) {
    std::vector<std::int64_t> sizes(claims.size(), 0);
    std::vector<std::int64_t> more(claims.size(), 0), weights(claims.size(), 1);
    std::int64_t left = whole;
    for (const std::size_t i : claims_by_priority(claims, whole)) {
        if (left == 0) return sizes;
        sizes[i] = 1;
        --left;
    }
    for (std::size_t i = 0; i < claims.size(); ++i) {
        more[i] = std::max<std::int64_t>(claims[i].wants.size - 1, 0);
        weights[i] = claims[i].weight;
    }
    const auto rest = max_min(left, more, weights);
    for (std::size_t i = 0; i < claims.size(); ++i) sizes[i] += rest[i];
    return sizes;
}

}  // namespace

std::vector<std::int64_t> max_min(std::int64_t whole, const std::vector<std::int64_t>& wants,
                                  const std::vector<std::int64_t>& weights) {
    struct Entry {
        std::int64_t wants, weight;
        std::size_t index;
    };
    std::vector<std::int64_t> parts(wants.size(), 0);
    if (wants.empty()) return parts;
    std::vector<Entry> order;
    order.reserve(wants.size());
    std::int64_t remaining_weight = 0;
    bool equal_weights = true;
    for (std::size_t i = 0; i < wants.size(); ++i) {
        order.push_back({wants[i], weights[i], i});
        remaining_weight += weights[i];
        equal_weights = equal_weights && weights[i] == weights[0];
    }
    const std::int64_t total_weight = remaining_weight;
    if (equal_weights) {
        std::sort(order.begin(), order.end(), [](const Entry& a, const Entry& b) {
            return a.wants != b.wants ? a.wants < b.wants : a.index < b.index;
        });
    } else {
        std::stable_sort(order.begin(), order.end(), [](const Entry& a, const Entry& b) {
            return static_cast<__int128>(a.wants) * b.weight < static_cast<__int128>(b.wants) * a.weight;
        });
    }
    std::int64_t left = whole;
    for (const Entry& entry : order) {
        parts[entry.index] = std::min(entry.wants, weighted_part(left, entry.weight, remaining_weight));
        left -= parts[entry.index];
        remaining_weight -= entry.weight;
    }
    remaining_weight = total_weight;
    for (const Entry& entry : order) {
        const std::int64_t more = weighted_part(left, entry.weight, remaining_weight);
        parts[entry.index] += more;
        left -= more;
        remaining_weight -= entry.weight;
    }
    return parts;
}

std::vector<Amount> divide(Amount whole, Counts counts, const std::vector<Claim>& claims) {
    std::vector<Amount> parts(claims.size());
    const auto sizes = divide_sizes(whole.size, claims);
    for (std::size_t i = 0; i < claims.size(); ++i) parts[i].size = sizes[i];
    if (counts == Counts::concurrency) return parts;
    std::vector<std::size_t> claims_with_size;
    std::vector<std::int64_t> wants, weights;
    for (std::size_t i = 0; i < claims.size(); ++i) {
        if (sizes[i] == 0) continue;
        claims_with_size.push_back(i);
        wants.push_back(claims[i].wants.rate);
        weights.push_back(claims[i].weight);
    }
    const auto rates = max_min(whole.rate, wants, weights);
    for (std::size_t n = 0; n < claims_with_size.size(); ++n) parts[claims_with_size[n]].rate = rates[n];
    return parts;
}

}  // namespace flaxdoor::budget
