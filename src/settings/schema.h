// The schema of a settings file: tables, their keys, and the checks between keys. Each subsystem provides its
// Table; settings/product.cpp combines them into the program's Schema.
//
// Threading: a Schema is immutable; its copies share their data and may be used from any thread.
// Errors:    a contradictory schema is a bug in the program and throws std::logic_error.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/key.h"
#include "settings/types.h"

namespace flaxdoor::settings {

class Row;
class Values;

// A Key or OptionalKey without its static type.
struct Setting {
    template <class T>
    Setting(const Key<T>& key)  // implicit, because a table lists its keys as settings
        : Setting(key.spec(), !key.spec().fallback) {}
    template <class T>
    Setting(const OptionalKey<T>& key) : Setting(key.spec(), false) {}

    std::string text() const { return table + "." + name; }
    // Returns the allowed values for people, as in "1ms..24h" or "1..1024 bytes"; for a choice, its words.
    std::string range() const;

    std::string table;
    std::string name;
    Type type;
    bool required;
    std::optional<Value> fallback;
    Value least;  // the length of a text, the number of entries of a list, or the port of an address
    Value most;
    std::vector<std::string> words;
    std::string unit;
    Takes takes;
    std::string meaning;

private:
    template <class T>
    Setting(const Spec<T>& spec, bool is_required);
};

// Describes why a check rejects the values.
struct Objection {
    std::string what;
    std::string mend;
    Position at{};  // set if the check knows which of several rows is at fault
};

// A check between keys of one table. It runs only if none of `keys` has a fault of its own. A fault is
// reported at the first of `keys` that the file sets.
struct Check {
    std::vector<std::string> keys;  // names without the table
    std::string meaning;            // one sentence for the settings page
    std::optional<Objection> (*run)(const Row& row);
};

// A check between tables. It runs only if none of `keys` has a fault of its own.
struct SchemaCheck {
    std::vector<std::string> keys;  // "table.name"
    std::string meaning;
    std::optional<Objection> (*run)(const Values& values);
};

enum class Kind {
    one,       // [name], at most once; if it is absent, every key has its default
    optional,  // [name], at most once; it enables its subsystem and has values only if the file has it
    many,  // [[name]], any number of rows, identified by the value of `unique`; their order has no meaning
};

struct Table {
    std::string name{};
    Kind kind = Kind::one;
    std::string meaning{};
    std::vector<Setting> settings{};
    std::vector<Check> checks{};
    Takes presence_takes = Takes::restart;  // when a row or an optional table is added or removed
    // For a table with rows:
    std::string unique{};  // name of a required key of type text, choice or address
    std::size_t most_rows = 1000;

    const Setting* find(std::string_view key) const;
    std::size_t index_of(std::string_view key) const;  // throws std::logic_error if there is no such key
};

class Schema {
public:
    explicit Schema(std::vector<Table> tables, std::vector<SchemaCheck> checks = {});

    const std::vector<Table>& tables() const { return data_->tables; }
    const std::vector<SchemaCheck>& checks() const { return data_->checks; }
    const Table* find(std::string_view table) const;
    std::size_t index_of(std::string_view table) const;  // throws std::logic_error if there is no such table
    // Returns the table; the pointer keeps the schema's data alive.
    std::shared_ptr<const Table> shared_table(std::size_t index) const {
        return {data_, &data_->tables[index]};
    }

private:
    struct Data {
        std::vector<Table> tables;
        std::vector<SchemaCheck> checks;
    };
    std::shared_ptr<const Data> data_;
};

// Implementation

template <class T>
Setting::Setting(const Spec<T>& spec, bool is_required)
    : table(spec.table),
      name(spec.name),
      type(SettingTraits<T>::type),
      required(is_required),
      words(spec.words.begin(), spec.words.end()),
      unit(spec.unit),
      takes(spec.takes),
      meaning(spec.meaning) {
    if constexpr (!std::is_same_v<typename SettingTraits<T>::Bound, Unbounded>) {
        least = spec.least;
        most = spec.most;
    }
    if (!spec.fallback) return;
    if constexpr (SettingTraits<T>::type == Type::choice) {
        fallback = words[static_cast<std::size_t>(*spec.fallback)];
    } else if constexpr (SettingTraits<T>::type == Type::texts) {
        fallback = std::vector<std::string>(spec.fallback->begin(), spec.fallback->end());
    } else if constexpr (std::is_same_v<typename SettingTraits<T>::Stored, std::string_view>) {
        fallback = std::string(*spec.fallback);
    } else {
        fallback = *spec.fallback;
    }
}

}  // namespace flaxdoor::settings
