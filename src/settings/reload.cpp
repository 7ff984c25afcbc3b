#include "settings/reload.h"

#include <algorithm>

#include "settings/reader.h"
#include "settings/units.h"

namespace flaxdoor::settings {

namespace {

std::string toml_or_empty(const std::optional<Value>& value) {
    return value ? toml_of(*value) : std::string();
}

const Row* find_row(const std::vector<Row>& rows, const std::string& label) {
    const auto found =
        std::find_if(rows.begin(), rows.end(), [&](const Row& row) { return row.label() == label; });
    return found == rows.end() ? nullptr : &*found;
}

std::string displayed_name(const Table& table, const Row& row) {
    return table.kind != Kind::many ? table.name : table.name + "[" + in_quotes(row.label()) + "]";
}

// Returns whether the new file enables or disables the table's subsystem.
bool presence_changed(const Table& table, const Values::Part& was, const Values::Part& wanted) {
    return table.kind == Kind::optional && was.given != wanted.given;
}

void append_changes(const Table& table, const Row& was, const Row& wanted, std::vector<Change>& result) {
    for (std::size_t i = 0; i < table.settings.size(); ++i) {
        const auto& before = was.slots()[i].value;
        const auto& after = wanted.slots()[i].value;
        if (before == after) continue;
        result.push_back({displayed_name(table, wanted) + "." + table.settings[i].name,
                          table.settings[i].takes, toml_or_empty(before), toml_or_empty(after)});
    }
}

// Returns the row that applies until a restart: settings that need a restart keep their old values.
Row merged(const Table& table, const Row& was, const Row& wanted) {
    Row row = wanted;
    for (std::size_t i = 0; i < table.settings.size(); ++i) {
        if (table.settings[i].takes == Takes::restart) row.slots()[i].value = was.slots()[i].value;
    }
    return row;
}

std::vector<Row> merged(const Table& table, const std::vector<Row>& was, const std::vector<Row>& wanted) {
    if (table.kind != Kind::many) return {merged(table, was.front(), wanted.front())};
    const bool keep_old_rows = table.presence_takes == Takes::restart;
    std::vector<Row> rows;
    for (const Row& row : wanted) {
        const Row* const before = find_row(was, row.label());
        if (before) {
            rows.push_back(merged(table, *before, row));
        } else if (!keep_old_rows) {
            rows.push_back(row);
        }
    }
    for (const Row& row : was) {
        if (keep_old_rows && !find_row(wanted, row.label())) rows.push_back(row);
    }
    return rows;
}

}  // namespace

std::vector<Change> changes(const Values& was, const Values& wanted) {
    std::vector<Change> result;
    const auto& tables = wanted.schema().tables();
    for (std::size_t table_index = 0; table_index < tables.size(); ++table_index) {
        const Table& table = tables[table_index];
        const auto& before = was.parts()[table_index].rows;
        const auto& after = wanted.parts()[table_index].rows;
        if (presence_changed(table, was.parts()[table_index], wanted.parts()[table_index])) {
            const bool enabled = wanted.parts()[table_index].given;
            result.push_back(
                {table.name, table.presence_takes, enabled ? "" : "given", enabled ? "given" : ""});
            continue;
        }
        if (table.kind != Kind::many) {
            append_changes(table, before.front(), after.front(), result);
            continue;
        }
        for (const Row& row : after) {
            const Row* const old = find_row(before, row.label());
            if (old) {
                append_changes(table, *old, row, result);
            } else {
                result.push_back({displayed_name(table, row), table.presence_takes, {}, "a new row"});
            }
        }
        for (const Row& row : before) {
            if (find_row(after, row.label())) continue;
            result.push_back({displayed_name(table, row), table.presence_takes, "a row", {}});
        }
    }
    return result;
}

std::variant<Reload, Faults> reload(const Values& was, const Values& wanted) {
    Reload result{wanted, {}, {}};
    for (Change& change : changes(was, wanted)) {
        (change.takes == Takes::reload ? result.taken : result.held).push_back(std::move(change));
    }
    const auto& tables = wanted.schema().tables();
    for (std::size_t table_index = 0; table_index < tables.size(); ++table_index) {
        auto& part = result.values.parts()[table_index];
        if (!presence_changed(tables[table_index], was.parts()[table_index], part)) {
            part.rows =
                merged(tables[table_index], was.parts()[table_index].rows, wanted.parts()[table_index].rows);
        } else if (tables[table_index].presence_takes == Takes::restart) {
            part = was.parts()[table_index];
        }
    }
    Faults faults = check_values(result.values);
    if (!faults.empty()) return faults;
    return result;
}

std::string line_of(const Change& change) {
    if (change.was.empty()) return change.key + ": now " + change.will_be;
    if (change.will_be.empty()) return change.key + ": no longer " + change.was;
    return change.key + ": " + change.was + " to " + change.will_be;
}

}  // namespace flaxdoor::settings
