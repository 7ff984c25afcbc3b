#include "settings/faults.h"

#include <algorithm>

namespace flaxdoor::settings {

std::string line_of(const std::string& file, const Fault& fault) {
    std::string line = file;
    if (fault.at.line > 0) {
        line += ":" + std::to_string(fault.at.line) + ":" + std::to_string(fault.at.column);
    }
    line += ": " + fault.what;
    if (!fault.key.empty()) line += " (" + fault.key + ")";
    if (!fault.remedy.empty()) line += "; " + fault.remedy;
    return line;
}

void Faults::add(Fault fault) {
    const auto position = std::upper_bound(kept_.begin(), kept_.end(), fault.at,
                                           [](Position at, const Fault& other) { return at < other.at; });
    kept_.insert(position, std::move(fault));
    if (kept_.size() <= max_kept) return;
    kept_.pop_back();
    ++omitted_count_;
}

std::string Faults::text(const std::string& file) const {
    std::string all;
    for (const Fault& fault : kept_) all += line_of(file, fault) + "\n";
    if (omitted_count_ > 0) all += file + ": and " + std::to_string(omitted_count_) + " more\n";
    return all;
}

}  // namespace flaxdoor::settings
