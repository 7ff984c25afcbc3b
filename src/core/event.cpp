#include "core/event.h"

namespace flaxdoor::core {

namespace {

struct ValueToText {
    std::string operator()(std::string_view text) const { return std::string(text); }
    template <class T>
    std::string operator()(T number) const {
        return std::to_string(number);
    }
};

}  // namespace

std::string text_of(const Event& event, std::span<const Value> values) {
    std::string line;
    std::string_view rest = event.text;
    for (auto open = rest.find('{'); open != rest.npos; open = rest.find('{')) {
        const auto close = rest.find('}', open);
        std::string_view field = rest.substr(open + 1, close - open - 1);
        const auto colon = field.find(':');
        const std::string_view noun = colon == field.npos ? std::string_view() : field.substr(colon + 1);
        field = field.substr(0, colon);
        line += rest.substr(0, open);
        for (std::size_t i = 0; i < event.count && i < values.size(); ++i) {
            if (event.names[i] != field) continue;
            const std::string value = std::visit(ValueToText(), values[i].held());
            line += value;
            if (!noun.empty()) line.append(1, ' ').append(noun).append(value == "1" ? "" : "s");
        }
        rest.remove_prefix(close + 1);
    }
    return line.append(rest);
}

}  // namespace flaxdoor::core
