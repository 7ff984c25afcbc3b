// Case folding as PostgreSQL does it: ASCII only, independent of the locale.
#pragma once

#include <string>
#include <string_view>

namespace flaxdoor::pg {

constexpr char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

inline std::string lower(std::string_view text) {
    std::string out(text);
    for (char& c : out) c = lower(c);
    return out;
}

}  // namespace flaxdoor::pg
