#include "text/base64.h"

#include <cstdint>

namespace flaxdoor::text {

std::string decode_base64(std::string_view text) {
    static constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    out.reserve(text.size() / 4 * 3);
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text) {
        const auto value = digits.find(c);
        if (value == std::string_view::npos) continue;
        bits = (bits << 6) | static_cast<std::uint32_t>(value);
        if ((count += 6) >= 8) {
            count -= 8;
            out += static_cast<char>((bits >> count) & 0xff);
        }
    }
    return out;
}

}  // namespace flaxdoor::text
