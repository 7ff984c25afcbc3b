// The list of settings: tables, their keys, and the checks between keys. A subsystem provides its Table; the
// program's Schema is put together from them in one place (settings/product.cpp).
//
// Threading: a Schema never changes; copies share it and may be used from any thread.
// Errors:    a list that contradicts itself is a fault of the program: std::logic_error, which the tests see.
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

// A Key without its type.
struct Setting {
    template <class T>
    Setting(const Key<T>& key)  // not explicit: a table's list is a list of keys
        : Setting(key.spec(), !key.spec().fallback) {}
    template <class T>
    Setting(const OptionalKey<T>& key) : Setting(key.spec(), false) {}

    std::string text() const { return table + "." + name; }
    // "1ms..24h", "share or free", "1..1024 bytes"; empty where nothing is to be said.
    std::string range() const;

    std::string table;
    std::string name;
    Type type;
    bool required;
    std::optional<Value> fallback;
    Value least;  // of a text its length, of a list its entries, of an address the port
    Value most;
    std::vector<std::string> words;
    std::string unit;
    Takes takes;
    std::string meaning;

private:
    template <class T>
    Setting(const Spec<T>& spec, bool must);
};

// What a check has against the values.
struct Objection {
    std::string what;
    std::string mend;
    Position at{};  // where it is clear which of several rows is meant
};

// Between keys of one table. It runs only when none of `keys` has a fault of its own. The fault is placed at
// the first of them that the file gives.
struct Check {
    std::vector<std::string> keys;  // names without the table
    std::string meaning;            // one sentence, for the page
    std::optional<Objection> (*run)(const Row& row);
};

// Between tables. It runs only when none of these has a fault.
struct SchemaCheck {
    std::vector<std::string> keys;  // "table.name"
    std::string meaning;
    std::optional<Objection> (*run)(const Values& values);
};

enum class Kind {
    one,       // [name], at most once; without it every key has its default
    optional,  // [name], at most once; it turns its subsystem on, and has values only when it is given
    many,      // [[name]], any number of rows, told apart by the value of `unique`; their order is no setting
};

struct Table {
    std::string name{};
    Kind kind = Kind::one;
    std::string meaning{};
    std::vector<Setting> settings{};
    std::vector<Check> checks{};
    Takes presence_takes = Takes::restart;  // for a row, or an optional table, that comes or goes
    // Of a table with rows:
    std::string unique{};  // name of a text, choice or address that must be given
    std::size_t most_rows = 1000;

    const Setting* find(std::string_view key) const;
    std::size_t index_of(std::string_view key) const;  // throws std::logic_error when there is none
};

class Schema {
public:
    explicit Schema(std::vector<Table> tables, std::vector<SchemaCheck> checks = {});

    const std::vector<Table>& tables() const { return held_->tables; }
    const std::vector<SchemaCheck>& checks() const { return held_->checks; }
    const Table* find(std::string_view table) const;
    std::size_t index_of(std::string_view table) const;  // throws std::logic_error when there is none
    // The table, kept as long as whoever holds this.
    std::shared_ptr<const Table> share(std::size_t index) const { return {held_, &held_->tables[index]}; }

private:
    struct Held {
        std::vector<Table> tables;
        std::vector<SchemaCheck> checks;
    };
    std::shared_ptr<const Held> held_;
};

// --------------------------------------------------------------------------------------------------------

template <class T>
Setting::Setting(const Spec<T>& spec, bool must)
    : table(spec.table),
      name(spec.name),
      type(Form<T>::type),
      required(must),
      words(spec.words.begin(), spec.words.end()),
      unit(spec.unit),
      takes(spec.takes),
      meaning(spec.meaning) {
    if constexpr (!std::is_same_v<typename Form<T>::Bound, Unbounded>) {
        least = spec.least;
        most = spec.most;
    }
    if (!spec.fallback) return;
    if constexpr (Form<T>::type == Type::choice) {
        fallback = words[static_cast<std::size_t>(*spec.fallback)];
    } else if constexpr (Form<T>::type == Type::texts) {
        fallback = std::vector<std::string>(spec.fallback->begin(), spec.fallback->end());
    } else if constexpr (std::is_same_v<typename Form<T>::Held, std::string_view>) {
        fallback = std::string(*spec.fallback);
    } else {
        fallback = *spec.fallback;
    }
}

}  // namespace flaxdoor::settings
