// JSON texts of this folder, field by field: a value or the first fault, which names the field. Used inside the sources
// only.
//
// Threading: plain functions.   Errors: as wire.h.   Bounds: each reader's arguments, and wire.h's.
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

// One object. The first fault of the whole text stays, and what is read after it is of no account.
class Fields {
public:
    Fields(std::string& fault, const Json* object, std::string where)
        : fault_(fault), object_(object), where_(std::move(where)) {
        if (object_ && !object_->is_object()) fail(where_, "no object");
    }

    std::uint64_t number(const char* name) const { return unsigned_of(find(name), path(name), number_most); }
    std::int64_t integer(const char* name, std::int64_t least, std::int64_t most) const {
        return integer_of(find(name), path(name), least, most);
    }
    Time time(const char* name) const { return Time(integer(name, 0, time_most)); }
    Micros span(const char* name) const { return Micros(integer(name, 0, span_most.count())); }
    bool flag(const char* name) const {
        const Json* const value = find(name);
        if (value && !value->is_boolean()) fail(path(name), "neither true nor false");
        return value && value->is_boolean() && value->get<bool>();
    }
    std::string name(const char* name) const {
        std::string text = text_at(name);
        if (fault_.empty() && !valid_name(text)) {
            fail(path(name),
                 "no name of 1 to " + std::to_string(name_most) + " bytes without control characters");
        }
        return text;
    }
    std::string why(const char* name) const {
        std::string text = text_at(name);
        if (text.size() > why_most) fail(path(name), "longer than " + std::to_string(why_most) + " bytes");
        return text;
    }
    template <typename Value, std::size_t n>
    Value one_of(const char* name, const std::array<Value, n>& all) const {
        const std::string text = text_at(name);
        for (const Value each : all) {
            if (text_of(each) == text) return each;
        }
        fail(path(name), "not a word that is known here");
        return all.front();
    }
    budget::Fence fence(const char* name) const {
        const Json* const pair = pair_at(name);
        if (!pair) return {};
        return {unsigned_of(&(*pair)[0], path(name) + "[0]", number_most),
                unsigned_of(&(*pair)[1], path(name) + "[1]", number_most)};
    }
    // Of many holders up to `many` times as much.
    budget::Amount amount(const char* name, std::int64_t many = 1) const {
        const Json* const pair = pair_at(name);
        if (!pair) return {};
        return {integer_of(&(*pair)[0], path(name) + "[0]", 0, rate_most * many),
                integer_of(&(*pair)[1], path(name) + "[1]", 0, size_most * many)};
    }
    // Calls `read(Fields)` for each object of a list.
    template <typename Read>
    void each(const char* name, std::size_t most, Read read) const {
        const Json* const list = find(name);
        if (!list) return;
        if (!list->is_array()) return fail(path(name), "no list");
        if (list->size() > most) return fail(path(name), "more than " + std::to_string(most) + " entries");
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
    std::string text_at(const char* name) const {
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
    std::uint64_t unsigned_of(const Json* value, const std::string& where, std::uint64_t most) const {
        if (!value) return 0;
        if (!value->is_number_unsigned()) {
            fail(where, "no whole number from 0");
        } else if (value->get<std::uint64_t>() > most) {
            fail(where, "above " + std::to_string(most));
        } else {
            return value->get<std::uint64_t>();
        }
        return 0;
    }
    std::int64_t integer_of(const Json* value, const std::string& where, std::int64_t least,
                            std::int64_t most) const {
        if (!value) return 0;
        // Text without a sign is unsigned to the parser, and may be beyond what the signed kind holds.
        if (value->is_number_unsigned() || least >= 0) {
            return static_cast<std::int64_t>(unsigned_of(value, where, static_cast<std::uint64_t>(most)));
        }
        if (!value->is_number_integer() || value->get<std::int64_t>() < least) {
            fail(where, "no whole number from " + std::to_string(least));
            return 0;
        }
        return value->get<std::int64_t>();
    }

    std::string& fault_;
    const Json* object_ = nullptr;
    std::string where_;
};

// `read(Fields, Value&)` reads the whole.
template <typename Value, typename Read>
std::variant<Value, Malformed> decode(std::string_view text, std::size_t most, Read read) {
    if (text.size() > most) return Malformed{"longer than " + std::to_string(most) + " bytes"};
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded()) return Malformed{"no JSON"};
    std::string fault;
    Value value;
    read(Fields(fault, &json, {}), value);
    if (!fault.empty()) return Malformed{std::move(fault)};
    return value;
}

// What is no UTF-8 is written as what stands for it: nothing is thrown.
inline std::string text_of_json(const Json& json) {
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

inline Json json_of(budget::Amount amount) { return Json::array({amount.rate, amount.size}); }

}  // namespace flaxdoor::coordinator
