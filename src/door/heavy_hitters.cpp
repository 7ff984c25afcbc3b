#include "door/heavy_hitters.h"

#include <algorithm>

namespace flaxdoor::door {

std::optional<std::size_t> HeavyHitters::find(std::uint64_t client) const {
    for (std::size_t i = 0; i < used_; ++i) {
        if (clients_[i] == client) return i;
    }
    return std::nullopt;
}

std::size_t HeavyHitters::add(std::uint64_t client, double amount) {
    total_ += amount;
    std::size_t index = 0;
    if (const auto known = find(client)) {
        index = *known;
    } else if (used_ < counters) {
        index = used_++;
        clients_[index] = client;
    } else {
        const auto smallest =
            std::min_element(counters_.begin(), counters_.end(),
                             [](const auto& a, const auto& b) { return a.count < b.count; });
        index = static_cast<std::size_t>(smallest - counters_.begin());
        clients_[index] = client;
        smallest->error = smallest->count;
        smallest->paid_until = {};
        smallest->open = 0;
    }
    counters_[index].count += amount;
    return index;
}

void HeavyHitters::halve() {
    total_ /= 2;
    for (Counter& counter : counters_) {
        counter.count /= 2;
        counter.error /= 2;
    }
}

}  // namespace flaxdoor::door
