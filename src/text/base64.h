// Decodes Base64 (RFC 4648, section 4) leniently: skips characters outside its alphabet, such as line ends.
#pragma once

#include <string>
#include <string_view>

namespace flaxdoor::text {

[[nodiscard]] std::string decode_base64(std::string_view text);

}  // namespace flaxdoor::text
