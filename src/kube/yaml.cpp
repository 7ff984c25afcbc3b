#include "kube/yaml.h"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <stdexcept>

namespace flaxdoor::kube {

using Json = nlohmann::json;

namespace {

constexpr int max_depth = 64;

[[noreturn]] void fail_at(const YAML::Mark& mark, const std::string& message) {
    throw std::runtime_error("line " + std::to_string(mark.line + 1) + ": " + message);
}

Json convert_scalar(const std::string& text) {
    if (text.empty() || text == "~" || text == "null" || text == "Null" || text == "NULL") return nullptr;
    if (text == "true" || text == "True" || text == "TRUE") return true;
    if (text == "false" || text == "False" || text == "FALSE") return false;
    const char* const begin = text.data() + (text.front() == '+' ? 1 : 0);
    const char* const end = text.data() + text.size();
    std::int64_t whole = 0;
    if (const auto [last, bad] = std::from_chars(begin, end, whole); bad == std::errc{} && last == end)
        return whole;
    const bool digits = text.find_first_not_of("+-.eE0123456789") == std::string::npos;
    double real = 0;
    if (digits) {
        if (const auto [last, bad] = std::from_chars(begin, end, real); bad == std::errc{} && last == end)
            return real;
    }
    return text;
}

// yaml-cpp resolves aliases to the same node. Counting the converted nodes limits their expansion.
Json convert_node(const YAML::Node& node, int depth, std::size_t& nodes) {
    if (depth > max_depth) fail_at(node.Mark(), "nested too deeply");
    if (++nodes > 2'000'000) fail_at(node.Mark(), "too many values");
    switch (node.Type()) {
        case YAML::NodeType::Undefined:
        case YAML::NodeType::Null: return nullptr;
        case YAML::NodeType::Scalar:
            return node.Tag() == "!" ? Json(node.Scalar()) : convert_scalar(node.Scalar());
        case YAML::NodeType::Sequence: {
            Json out = Json::array();
            for (const auto& each : node) out.push_back(convert_node(each, depth + 1, nodes));
            return out;
        }
        case YAML::NodeType::Map: {
            Json out = Json::object();
            for (const auto& each : node) {
                if (!each.first.IsScalar()) fail_at(each.first.Mark(), "a key is not a string");
                if (out.contains(each.first.Scalar()))
                    fail_at(each.first.Mark(), "key " + each.first.Scalar() + " occurs more than once");
                out[each.first.Scalar()] = convert_node(each.second, depth + 1, nodes);
            }
            return out;
        }
    }
    return nullptr;
}

}  // namespace

std::vector<Json> read_yaml(const std::string& text) {
    std::vector<Json> out;
    try {
        std::size_t nodes = 0;
        for (const YAML::Node& document : YAML::LoadAll(text)) {
            Json value = convert_node(document, 0, nodes);
            if (!value.is_null()) out.push_back(std::move(value));
        }
    } catch (const YAML::Exception& error) {
        fail_at(error.mark, error.msg);
    }
    return out;
}

}  // namespace flaxdoor::kube
