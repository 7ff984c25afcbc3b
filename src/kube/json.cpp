#include "kube/json.h"

namespace flaxdoor::kube {

namespace {

constexpr int max_depth = 200;

bool too_deep(std::string_view text) {
    int depth = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (quoted) {
            if (c == '\\') ++i;
            if (c == '"') quoted = false;
        } else if (c == '"') {
            quoted = true;
        } else if (c == '{' || c == '[') {
            if (++depth > max_depth) return true;
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    return false;
}

}  // namespace

nlohmann::json read_json(std::string_view text) {
    if (too_deep(text)) return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::parse(text, nullptr, false);
}

}  // namespace flaxdoor::kube
