// The values of one settings file. A setting that the file does not set has its default.
//
// Threading: Values may be read from any thread while no thread modifies them; copies are independent.
// Ownership: a Row returned by reference is owned by its Values; a copied Row is independent. get() returns
//            copies.
// Errors:    reading a key or a table that the schema does not have, or a required value that is not set, is
//            a bug in the program and throws std::logic_error.
#pragma once

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "settings/key.h"
#include "settings/schema.h"
#include "settings/types.h"
#include "settings/units.h"

namespace flaxdoor::settings {

// One table, or one row of a [[table]].
class Row {
public:
    explicit Row(std::shared_ptr<const Table> table);

    template <class T>
    T get(const Key<T>& key) const;
    template <class T>
    std::optional<T> get(const OptionalKey<T>& key) const;

    // Returns the value of the unique key of a [[table]].
    const std::string& label() const;

    // Untyped access. Slots have the order of the table's settings.
    struct Slot {
        std::optional<Value> value;  // empty if the setting has neither a value in the file nor a default
        bool given = false;          // whether the file sets the key
        Position key, place;         // positions of the key and of its value in the file
        bool faulty = false;         // whether the value is invalid, or required and missing
    };
    const std::vector<Slot>& slots() const { return slots_; }
    std::vector<Slot>& slots() { return slots_; }
    const Table& table() const { return *table_; }
    Position place() const { return place_; }
    void set_place(Position place) { place_ = place; }

private:
    const Value* find(std::string_view table, std::string_view name) const;

    std::shared_ptr<const Table> table_;
    std::vector<Slot> slots_;
    Position place_;
};

class Values {
public:
    explicit Values(Schema schema);  // all defaults

    template <class K>
    auto get(const K& key) const {
        return row(key.spec().table).get(key);
    }
    // Returns the row of a [table]. An optional table has values only if given() returns true.
    const Row& row(std::string_view table) const;
    // Returns the rows of a [[table]] in the order of the file.
    const std::vector<Row>& rows(std::string_view table) const;
    // Returns whether the file has the table.
    bool given(std::string_view table) const;
    // Returns the number of keys that the file sets.
    std::size_t count_given() const;

    const Schema& schema() const { return schema_; }

    // The tables in the order of the schema, for code that builds or merges values.
    struct Part {
        bool given = false;
        std::vector<Row> rows;  // exactly one row unless the table's kind is `many`
    };
    const std::vector<Part>& parts() const { return parts_; }
    std::vector<Part>& parts() { return parts_; }

private:
    Schema schema_;
    std::vector<Part> parts_;
};

// Implementation

template <class T>
T value_as(const Value& value, const Spec<T>& spec) {
    if constexpr (SettingTraits<T>::type == Type::choice) {
        const std::string& word = std::get<std::string>(value);
        for (std::size_t i = 0; i < spec.words.size(); ++i) {
            if (spec.words[i] == word) return static_cast<T>(i);
        }
        throw std::logic_error("word is not a choice: " + word);
    } else if constexpr (SettingTraits<T>::type == Type::address) {
        const auto parsed = parse_address(std::get<std::string>(value));
        if (const auto* address = std::get_if<Address>(&parsed)) return *address;
        throw std::logic_error("address was not validated");
    } else if constexpr (SettingTraits<T>::type == Type::path) {
        return Path{std::get<std::string>(value)};
    } else {
        return std::get<T>(value);
    }
}

template <class T>
T Row::get(const Key<T>& key) const {
    const Value* const value = find(key.spec().table, key.spec().name);
    if (!value) throw std::logic_error("no value is set for " + key.text());
    return value_as<T>(*value, key.spec());
}

template <class T>
std::optional<T> Row::get(const OptionalKey<T>& key) const {
    const Value* const value = find(key.spec().table, key.spec().name);
    if (!value) return std::nullopt;
    return value_as<T>(*value, key.spec());
}

}  // namespace flaxdoor::settings
