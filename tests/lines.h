// A log that keeps its lines.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace flaxdoor::test {

struct Lines final : core::Log {
    void event(const core::Event& event, std::span<const core::Value> values) override {
        all.push_back(core::text_of(event, values));
    }
    std::size_t count(std::string_view start) const {
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [&](const auto& l) { return l.starts_with(start); }));
    }
    bool has(std::string_view part) const {
        return std::any_of(all.begin(), all.end(),
                           [&](const auto& l) { return l.find(part) != std::string::npos; });
    }
    std::vector<std::string> all;
};

}  // namespace flaxdoor::test
