// Reads JSON objects field by field and reports the first error with the path of its field. Internal to this
// folder's sources.
//
// Threading: pure functions.   Errors: as in wire.h.   Bounds: the arguments of each reader, and wire.h's.
#pragma once

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "coordinator/wire.h"

namespace flaxdoor::coordinator {

using Json = nlohmann::json;

// Reads the fields of one object. The first error of the whole text is kept in `fault`; values read after it
// are meaningless.
class Fields {
public:
    Fields(std::string& fault, const Json* object, std::string where)
        : fault_(fault), object_(object), where_(std::move(where)) {
        if (object_ && !object_->is_object()) fail(where_, "no object");
    }

    std::uint64_t number(const char* name) const { return unsigned_of(find(name), path(name), max_number); }
    std::int64_t integer(const char* name, std::int64_t min_value, std::int64_t max_value) const {
        return integer_of(find(name), path(name), min_value, max_value);
    }
    Time time(const char* name) const { return Time(integer(name, 0, max_time)); }
    Micros span(const char* name) const { return Micros(integer(name, 0, max_span.count())); }
    bool flag(const char* name) const {
        const Json* const value = find(name);
        if (value && !value->is_boolean()) fail(path(name), "neither true nor false");
        return value && value->is_boolean() && value->get<bool>();
    }
    std::string name(const char* name) const {
        std::string text = string_at(name);
        if (fault_.empty() && !valid_name(text)) {
            fail(path(name),
                 "no name of 1 to " + std::to_string(max_name_size) + " bytes without control characters");
        }
        return text;
    }
    std::string why(const char* name) const {
        std::string text = string_at(name);
        if (text.size() > max_reason_size)
            fail(path(name), "longer than " + std::to_string(max_reason_size) + " bytes");
        return text;
    }
    template <typename Value, std::size_t n>
    Value one_of(const char* name, const std::array<Value, n>& all) const {
        const std::string text = string_at(name);
        for (const Value candidate : all) {
            if (text_of(candidate) == text) return candidate;
        }
        fail(path(name), "not a word that is known here");
        return all.front();
    }
    budget::FencingToken fence(const char* name) const {
        const Json* const pair = pair_at(name);
        if (!pair) return {};
        return {unsigned_of(&(*pair)[0], path(name) + "[0]", max_number),
                unsigned_of(&(*pair)[1], path(name) + "[1]", max_number)};
    }
    // Reads an amount. A sum over several holders may be up to `factor` times the bound of one.
    budget::Amount amount(const char* name, std::int64_t factor = 1) const {
        const Json* const pair = pair_at(name);
        if (!pair) return {};
        return {integer_of(&(*pair)[0], path(name) + "[0]", 0, max_rate * factor),
                integer_of(&(*pair)[1], path(name) + "[1]", 0, max_size * factor)};
    }
    // Calls `read(Fields)` for each object of a list.
    template <typename Read>
    void for_each(const char* name, std::size_t max_entries, Read read) const {
        const Json* const list = find(name);
        if (!list) return;
        if (!list->is_array()) return fail(path(name), "no list");
        if (list->size() > max_entries)
            return fail(path(name), "more than " + std::to_string(max_entries) + " entries");
        for (std::size_t i = 0; i < list->size() && fault_.empty(); ++i) {
            read(Fields(fault_, &(*list)[i], path(name) + "[" + std::to_string(i) + "]"));
        }
    }

private:
    void fail(const std::string& where, const std::string& what) const {
        if (fault_.empty()) fault_ = where.empty() ? what : where + ": " + what;
    }
    std::string path(const char* name) const { return where_.empty() ? name : where_ + "." + name; }
    const Json* find(const char* name) const {
        if (!fault_.empty() || !object_) return nullptr;
        const auto found = object_->find(name);
        if (found != object_->end()) return &*found;
        fail(path(name), "missing");
        return nullptr;
    }
    std::string string_at(const char* name) const {
        const Json* const value = find(name);
        if (!value) return {};
        if (value->is_string()) return value->get<std::string>();
        fail(path(name), "no text");
        return {};
    }
    const Json* pair_at(const char* name) const {
        const Json* const value = find(name);
        if (value && value->is_array() && value->size() == 2) return value;
        fail(path(name), "no list of two numbers");
        return nullptr;
    }
    std::uint64_t unsigned_of(const Json* value, const std::string& where, std::uint64_t max_value) const {
        if (!value) return 0;
        if (!value->is_number_unsigned()) {
            fail(where, "no whole number from 0");
        } else if (value->get<std::uint64_t>() > max_value) {
            fail(where, "above " + std::to_string(max_value));
        } else {
            return value->get<std::uint64_t>();
        }
        return 0;
    }
    std::int64_t integer_of(const Json* value, const std::string& where, std::int64_t min_value,
                            std::int64_t max_value) const {
        if (!value) return 0;
        // The parser yields an unsigned value for a number without a sign; it may exceed the range of the
        // signed type.
        if (value->is_number_unsigned() || min_value >= 0) {
            return static_cast<std::int64_t>(
                unsigned_of(value, where, static_cast<std::uint64_t>(max_value)));
        }
        if (!value->is_number_integer() || value->get<std::int64_t>() < min_value) {
            fail(where, "no whole number from " + std::to_string(min_value));
            return 0;
        }
        return value->get<std::int64_t>();
    }

    std::string& fault_;
    const Json* object_ = nullptr;
    std::string where_;
};

// Decodes a text of at most `max_bytes` bytes; `read(Fields, Value&)` reads the outermost object.
template <typename Value, typename Read>
std::variant<Value, Malformed> decode(std::string_view text, std::size_t max_bytes, Read read) {
    if (text.size() > max_bytes) return Malformed{"longer than " + std::to_string(max_bytes) + " bytes"};
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded()) return Malformed{"no JSON"};
    std::string fault;
    Value value;
    read(Fields(fault, &json, {}), value);
    if (!fault.empty()) return Malformed{std::move(fault)};
    return value;
}

// Encodes JSON. Replaces bytes that are not UTF-8 by the replacement character instead of throwing.
inline std::string text_of_json(const Json& json) {
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

inline Json json_of(budget::Amount amount) { return Json::array({amount.rate, amount.size}); }

}  // namespace flaxdoor::coordinator
