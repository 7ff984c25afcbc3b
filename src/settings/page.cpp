#include "settings/page.h"

#include <algorithm>
#include <vector>

#include "settings/units.h"

namespace flaxdoor::settings {

namespace {

constexpr std::string_view preface = R"(# The operator's file

Made by `flaxdoor settings --page`; a test fails when it differs from what the programs take.

`flaxdoor_balancer --operator FILE` reads one TOML file. Every table and every key may be left out and then has its
default. `flaxdoor check FILE` names all that is wrong with a file, each fault as `FILE:LINE:COLUMN: what is wrong
(table.key); likely mend`; the balancer does the same at its start and does not start with a broken file.

Durations are texts with a unit: `"250ms"`, `"2s"`, `"1.5s"`, `"5m"`; the units are us, ms, s, m and h. So are sizes:
`"64KiB"`, `"4MiB"`; the units are B, KiB, MiB and GiB. A number without a unit is a fault. A file has up to 1 MiB.

SIGHUP reads the file again. Settings marked `reload` count from then on; a change of one marked `restart` is said in
the log and waits for a restart. A broken file changes nothing.
)";

std::string_view type_name(Type type) {
    switch (type) {
        case Type::boolean: return "boolean";
        case Type::integer: return "integer";
        case Type::real: return "real";
        case Type::duration: return "duration";
        case Type::bytes: return "size";
        case Type::text: return "text";
        case Type::choice: return "choice";
        case Type::address: return "address";
        case Type::path: return "path";
        case Type::texts: return "list of texts";
    }
    return "";
}

std::string header_of(const Table& table) {
    return table.kind == Kind::many ? "[[" + table.name + "]]" : "[" + table.name + "]";
}

std::string default_text(const Setting& setting) {
    if (setting.fallback) return toml_of(*setting.fallback);
    return setting.required ? "must be given" : "none";
}

std::string_view takes_name(Takes takes) { return takes == Takes::reload ? "reload" : "restart"; }

void append_table(std::string& result, const Table& table) {
    result += "\n## " + header_of(table) + "\n\n" + table.meaning + "\n";
    const std::string presence(takes_name(table.presence_takes));
    if (table.kind == Kind::optional) {
        result += "Off when the table is not there; to add it or take it away takes a " + presence + ".\n";
    }
    if (table.kind == Kind::many) {
        result += "Up to " + std::to_string(table.most_rows) + " rows, told apart by `" + table.unique +
                  "`; to add one or take one away takes a " + presence + ".\n";
    }
    result += "\n| key | type | range | default | takes | meaning |\n| --- | --- | --- | --- | --- | --- |\n";
    for (const Setting& setting : table.settings) {
        result += "| `" + setting.name + "` | " + std::string(type_name(setting.type)) + " | " +
                  setting.range() + " | ";
        result += (setting.fallback ? "`" + default_text(setting) + "`" : default_text(setting)) + " | ";
        result += std::string(takes_name(setting.takes)) + " | " + setting.meaning + " |\n";
    }
    if (table.checks.empty()) return;
    result += "\n";
    for (const Check& check : table.checks) result += "- " + check.meaning + "\n";
}

// Appends `text` as comment lines of up to 100 columns.
void append_comment(std::string& result, std::string_view text) {
    constexpr std::size_t width = 98;
    while (!text.empty()) {
        std::size_t end = text.size();
        if (end > width) {
            end = text.rfind(' ', width);
            if (end == std::string_view::npos || end == 0) end = std::min(text.size(), text.find(' ', width));
        }
        result += "# " + std::string(text.substr(0, end)) + "\n";
        text.remove_prefix(std::min(text.size(), end + 1));
    }
}

void append_example(std::string& result, const Table& table) {
    append_comment(result, table.meaning);
    const bool commented_out = table.kind != Kind::one;
    result += (commented_out ? "#" : "") + header_of(table) + "\n";
    for (const Setting& setting : table.settings) {
        append_comment(result, setting.meaning);
        append_comment(result, "(" + std::string(type_name(setting.type)) + ", " + setting.range() + "; " +
                                   std::string(takes_name(setting.takes)) + ")");
        const bool comment = commented_out || !setting.fallback;
        result += (comment ? "#" : "") + setting.name + " = " +
                  (setting.fallback ? toml_of(*setting.fallback) : std::string("...")) + "\n";
    }
}

}  // namespace

std::string page(const Schema& schema) {
    std::string result(preface);
    for (const Table& table : schema.tables()) append_table(result, table);
    if (schema.checks().empty()) return result;
    result += "\n## Between tables\n\n";
    for (const SchemaCheck& check : schema.checks()) result += "- " + check.meaning + "\n";
    return result;
}

std::string columns(const std::vector<std::vector<std::string>>& lines) {
    std::string result;
    if (lines.empty()) return result;
    std::vector<std::size_t> widths(lines.front().size());
    for (const auto& line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) widths[i] = std::max(widths[i], line[i].size());
    }
    for (const auto& line : lines) {
        for (std::size_t i = 0; i + 1 < line.size(); ++i) {
            result += line[i] + std::string(widths[i] + 2 - line[i].size(), ' ');
        }
        result += line.back() + "\n";
    }
    return result;
}

std::string listing(const Schema& schema) {
    std::vector<std::vector<std::string>> lines{{"KEY", "TYPE", "RANGE", "DEFAULT", "TAKES", "MEANING"}};
    for (const Table& table : schema.tables()) {
        for (const Setting& setting : table.settings) {
            lines.push_back({setting.text(), std::string(type_name(setting.type)), setting.range(),
                             default_text(setting), std::string(takes_name(setting.takes)), setting.meaning});
        }
    }
    return columns(lines);
}

std::string example(const Schema& schema, std::string_view table) {
    std::string result;
    for (const Table& candidate : schema.tables()) {
        if (!table.empty() && candidate.name != table) continue;
        if (!result.empty()) result += "\n";
        append_example(result, candidate);
    }
    return result;
}

}  // namespace flaxdoor::settings
