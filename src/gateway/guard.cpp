#include "gateway/guard.h"

#include <algorithm>

namespace flaxdoor::gateway {

std::vector<std::string> UpdateGuard::on_list(Time now, KindOf kind, std::size_t known_count,
                                              std::vector<std::string> missing) {
    const auto current = holds_.find(kind);
    const bool implausible =
        known_count >= options_.least && options_.hold > Micros{0} &&
        static_cast<double>(missing.size()) > options_.most * static_cast<double>(known_count);
    if (!implausible) {
        if (current != holds_.end()) holds_.erase(current);
        return missing;
    }
    Hold hold;
    // Another implausible list does not extend the hold, so that it ends even if the lists stay the same.
    hold.until = current == holds_.end() ? now + options_.hold : current->second.until;
    hold.known_count = known_count;
    hold.keys = {missing.begin(), missing.end()};
    holds_[kind] = std::move(hold);
    return {};
}

void UpdateGuard::on_event(KindOf kind, const std::string& key) {
    const auto found = holds_.find(kind);
    if (found == holds_.end()) return;
    found->second.keys.erase(key);
    if (found->second.keys.empty()) holds_.erase(found);
}

std::vector<std::pair<KindOf, std::string>> UpdateGuard::due(Time now) {
    std::vector<std::pair<KindOf, std::string>> out;
    for (auto entry = holds_.begin(); entry != holds_.end();) {
        if (entry->second.until > now) {
            ++entry;
            continue;
        }
        for (const std::string& key : entry->second.keys) out.emplace_back(entry->first, key);
        entry = holds_.erase(entry);
    }
    return out;
}

std::optional<Time> UpdateGuard::next() const {
    std::optional<Time> first;
    for (const auto& [kind, hold] : holds_) first = std::min(first.value_or(hold.until), hold.until);
    return first;
}

std::string UpdateGuard::text() const {
    std::string all;
    for (const auto& [kind, hold] : holds_) {
        all += (all.empty() ? "" : "; ") + std::string(name_of(kind)) + ": a whole list lacked " +
               std::to_string(hold.keys.size()) + " of " + std::to_string(hold.known_count) +
               "; they stay until " + write_time(hold.until.count() / 1'000'000);
    }
    return all;
}

bool UpdateGuard::holds(KindOf kind, const std::string& key) const {
    const auto found = holds_.find(kind);
    return found != holds_.end() && found->second.keys.contains(key);
}

}  // namespace flaxdoor::gateway
