#include "budget/division.h"

#include <algorithm>
#include <numeric>

namespace flaxdoor::budget {

namespace {

// Of two numbers up to 1e13 and 1e6: their product fits.
std::int64_t part(std::int64_t whole, std::int64_t weight, std::int64_t weights) {
    return static_cast<std::int64_t>(static_cast<__int128>(whole) * weight / weights);
}

std::vector<std::size_t> in_order(std::size_t count) {
    std::vector<std::size_t> order(count);
    std::iota(order.begin(), order.end(), std::size_t{0});
    return order;
}

// Everyone who wants a permit has one before anyone has two; where there are fewer than that, those who have been
// without for longest.
std::vector<std::int64_t> sizes_of(std::int64_t whole, const std::vector<Claim>& claims) {
    std::vector<std::int64_t> sizes(claims.size(), 0);
    std::vector<std::size_t> order = in_order(claims.size());
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const bool wants_a = claims[a].wants.size > 0, wants_b = claims[b].wants.size > 0;
        if (wants_a != wants_b) return wants_a;
        return claims[a].without > claims[b].without;
    });
    std::vector<std::int64_t> more(claims.size(), 0), weights(claims.size(), 1);
    std::int64_t left = whole;
    for (const std::size_t i : order) {
        if (left == 0) return sizes;
        if (claims[i].wants.size <= 0) break;
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
    std::vector<std::int64_t> parts(wants.size(), 0);
    if (wants.empty()) return parts;
    std::vector<std::size_t> order = in_order(wants.size());
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return static_cast<__int128>(wants[a]) * weights[b] < static_cast<__int128>(wants[b]) * weights[a];
    });
    std::int64_t left = whole;
    std::int64_t weight = std::accumulate(weights.begin(), weights.end(), std::int64_t{0});
    for (const std::size_t i : order) {
        parts[i] = std::min(wants[i], part(left, weights[i], weight));
        left -= parts[i];
        weight -= weights[i];
    }
    weight = std::accumulate(weights.begin(), weights.end(), std::int64_t{0});
    for (const std::size_t i : order) {
        const std::int64_t more = part(left, weights[i], weight);
        parts[i] += more;
        left -= more;
        weight -= weights[i];
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
