// A log that stores its lines.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace flaxdoor::test {

struct CapturingLog final : core::Log {
    void event(const core::Event& event, std::span<const core::Value> values) override {
        all.push_back(core::text_of(event, values));
    }
    // Returns the number of lines that start with the text.
    std::size_t count(std::string_view start) const {
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [&](const auto& line) { return line.starts_with(start); }));
    }
    // Returns whether a line contains the text.
    bool has(std::string_view part) const {
        return std::any_of(all.begin(), all.end(),
                           [&](const auto& line) { return line.find(part) != std::string::npos; });
    }
    std::vector<std::string> all;
};

}  // namespace flaxdoor::test
