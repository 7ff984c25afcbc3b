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
    std::size_t place = 0;
    if (const auto known = find(client)) {
        place = *known;
    } else if (used_ < counters) {
        place = used_++;
        clients_[place] = client;
    } else {
        const auto least = std::min_element(counters_.begin(), counters_.end(),
                                            [](const auto& a, const auto& b) { return a.count < b.count; });
        place = static_cast<std::size_t>(least - counters_.begin());
        clients_[place] = client;
        least->error = least->count;
        least->paid_until = {};
        least->open = 0;
    }
    counters_[place].count += amount;
    return place;
}

void HeavyHitters::halve() {
    total_ /= 2;
    for (Counter& each : counters_) {
        each.count /= 2;
        each.error /= 2;
    }
}

}  // namespace flaxdoor::door
