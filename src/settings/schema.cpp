#include "settings/schema.h"

#include <algorithm>
#include <set>
#include <stdexcept>

#include "settings/units.h"

namespace flaxdoor::settings {

namespace {

// Formats the range of a length or a number of entries with its unit.
std::string count_range(const Setting& setting, std::string_view counted_unit) {
    return toml_of(setting.least) + ".." + toml_of(setting.most) + " " + std::string(counted_unit);
}

void check_table(const Table& table) {
    const auto throw_error = [&](const std::string& what) {
        throw std::logic_error("table " + table.name + ": " + what);
    };
    if (!is_key_name(table.name)) throw_error("names must be lower_case");
    if (table.meaning.empty()) throw_error("has no meaning");
    std::set<std::string> seen_names;
    for (const Setting& setting : table.settings) {
        if (setting.table != table.name) throw_error(setting.text() + " belongs to another table");
        if (!seen_names.insert(setting.name).second) throw_error(setting.name + " is listed twice");
    }
    for (const Check& check : table.checks) {
        if (check.keys.empty() || !check.run) throw_error("a check has no keys or no function");
        for (const std::string& key : check.keys) {
            if (!seen_names.count(key)) throw_error("a check names an unknown key: " + key);
        }
    }
    const bool required = std::any_of(table.settings.begin(), table.settings.end(),
                                      [](const Setting& setting) { return setting.required; });
    if (table.kind == Kind::one && required)
        throw_error("only an optional table or a table with rows can have a required key");
    if (table.kind != Kind::many) return;
    const Setting* const unique = table.find(table.unique);
    if (!unique || !unique->required) throw_error("a table with rows needs a required unique key");
    if (unique->type != Type::text && unique->type != Type::choice && unique->type != Type::address) {
        throw_error("the unique key must be a text, a choice or an address");
    }
}

}  // namespace

std::string Setting::range() const {
    switch (type) {
        case Type::boolean: return "true or false";
        case Type::integer:
        case Type::real: return toml_of(least) + ".." + toml_of(most) + (unit.empty() ? "" : " " + unit);
        case Type::duration: return text_of(std::get<Micros>(least)) + ".." + text_of(std::get<Micros>(most));
        case Type::bytes: return text_of(std::get<Bytes>(least)) + ".." + text_of(std::get<Bytes>(most));
        case Type::text:
        case Type::path: return count_range(*this, "bytes");
        case Type::address: return "port " + toml_of(least) + ".." + toml_of(most);
        case Type::texts: return count_range(*this, "entries");
        case Type::choice: break;
    }
    std::string result;
    for (std::size_t i = 0; i < words.size(); ++i) {
        if (i > 0) result += i + 1 == words.size() ? " or " : ", ";
        result += "\"" + words[i] + "\"";
    }
    return result;
}

const Setting* Table::find(std::string_view key) const {
    const auto found = std::find_if(settings.begin(), settings.end(),
                                    [&](const Setting& setting) { return setting.name == key; });
    return found == settings.end() ? nullptr : &*found;
}

std::size_t Table::index_of(std::string_view key) const {
    const Setting* const found = find(key);
    if (!found) throw std::logic_error("table " + name + " has no key " + std::string(key));
    return static_cast<std::size_t>(found - settings.data());
}

Schema::Schema(std::vector<Table> tables, std::vector<SchemaCheck> checks) {
    std::set<std::string> seen_names;
    for (const Table& table : tables) {
        check_table(table);
        if (!seen_names.insert(table.name).second)
            throw std::logic_error("table " + table.name + " is listed twice");
    }
    data_ = std::make_shared<const Data>(Data{std::move(tables), std::move(checks)});
    for (const SchemaCheck& check : data_->checks) {
        if (check.keys.empty() || !check.run) throw std::logic_error("a check has no keys or no function");
        for (const std::string& key : check.keys) {
            const auto dot = key.find('.');
            if (dot == std::string::npos)
                throw std::logic_error("a check names a key that is not written as table.key: " + key);
            this->tables()[index_of(key.substr(0, dot))].index_of(key.substr(dot + 1));
        }
    }
}

const Table* Schema::find(std::string_view table) const {
    const auto found = std::find_if(tables().begin(), tables().end(),
                                    [&](const Table& candidate) { return candidate.name == table; });
    return found == tables().end() ? nullptr : &*found;
}

std::size_t Schema::index_of(std::string_view table) const {
    const Table* const found = find(table);
    if (!found) throw std::logic_error("the schema has no table " + std::string(table));
    return static_cast<std::size_t>(found - tables().data());
}

}  // namespace flaxdoor::settings
