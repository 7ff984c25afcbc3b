#include "budget/division.h"

#include <algorithm>

namespace flaxdoor::budget {

namespace {

// Of two numbers up to 1e13 and 1e6: their product most often fits into 64 bits, and always into 128.
std::int64_t part(std::int64_t whole, std::int64_t weight, std::int64_t weights) {
    std::int64_t product = 0;
    if (!__builtin_mul_overflow(whole, weight, &product)) return product / weights;
    return static_cast<std::int64_t>(static_cast<__int128>(whole) * weight / weights);
}

// Those who want a permit, who have been without for longest first; in the order of the claims where all can have one.
std::vector<std::size_t> wanting(const std::vector<Claim>& claims, std::int64_t whole) {
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < claims.size(); ++i) {
        if (claims[i].wants.size > 0) order.push_back(i);
    }
    if (static_cast<std::int64_t>(order.size()) <= whole) return order;
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return claims[a].without > claims[b].without; });
    return order;
}

// Everyone who wants a permit has one before anyone has two; where there are fewer than that, those who have been
// without for longest.
std::vector<std::int64_t> sizes_of(std::int64_t whole, const std::vector<Claim>& claims) {
    std::vector<std::int64_t> sizes(claims.size(), 0);
    std::vector<std::int64_t> more(claims.size(), 0), weights(claims.size(), 1);
    std::int64_t left = whole;
    for (const std::size_t i : wanting(claims, whole)) {
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
    struct One {
        std::int64_t wants, weight;
        std::size_t at;
    };
    std::vector<std::int64_t> parts(wants.size(), 0);
    if (wants.empty()) return parts;
    std::vector<One> order;
    order.reserve(wants.size());
    std::int64_t weight = 0;
    bool alike = true;
    for (std::size_t i = 0; i < wants.size(); ++i) {
        order.push_back({wants[i], weights[i], i});
        weight += weights[i];
        alike = alike && weights[i] == weights[0];
    }
    const std::int64_t weights_in_all = weight;
    if (alike) {
        std::sort(order.begin(), order.end(), [](const One& a, const One& b) {
            return a.wants != b.wants ? a.wants < b.wants : a.at < b.at;
        });
    } else {
        std::stable_sort(order.begin(), order.end(), [](const One& a, const One& b) {
            return static_cast<__int128>(a.wants) * b.weight < static_cast<__int128>(b.wants) * a.weight;
        });
    }
    std::int64_t left = whole;
    for (const One& one : order) {
        parts[one.at] = std::min(one.wants, part(left, one.weight, weight));
        left -= parts[one.at];
        weight -= one.weight;
    }
    weight = weights_in_all;
    for (const One& one : order) {
        const std::int64_t more = part(left, one.weight, weight);
        parts[one.at] += more;
        left -= more;
        weight -= one.weight;
    }
    return parts;
}

std::vector<Amount> divide(Amount whole, Counts counts, const std::vector<Claim>& claims) {
    std::vector<Amount> parts(claims.size());
    const auto sizes = sizes_of(whole.size, claims);
    for (std::size_t i = 0; i < claims.size(); ++i) parts[i].size = sizes[i];
    if (counts == Counts::concurrency) return parts;
    std::vector<std::size_t> filled;
    std::vector<std::int64_t> wants, weights;
    for (std::size_t i = 0; i < claims.size(); ++i) {
        if (sizes[i] == 0) continue;
        filled.push_back(i);
        wants.push_back(claims[i].wants.rate);
        weights.push_back(claims[i].weight);
    }
    const auto rates = max_min(whole.rate, wants, weights);
    for (std::size_t n = 0; n < filled.size(); ++n) parts[filled[n]].rate = rates[n];
    return parts;
}

}  // namespace flaxdoor::budget
