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

std::string_view kind_of(Type type) {
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

std::string default_of(const Setting& setting) {
    if (setting.fallback) return toml_of(*setting.fallback);
    return setting.required ? "must be given" : "none";
}

std::string_view takes_of(Takes takes) { return takes == Takes::reload ? "reload" : "restart"; }

void add_table(std::string& out, const Table& table) {
    out += "\n## " + header_of(table) + "\n\n" + table.meaning + "\n";
    const std::string presence(takes_of(table.presence_takes));
    if (table.kind == Kind::optional) {
        out += "Off when the table is not there; to add it or take it away takes a " + presence + ".\n";
    }
    if (table.kind == Kind::many) {
        out += "Up to " + std::to_string(table.most_rows) + " rows, told apart by `" + table.unique +
               "`; to add one or take one away takes a " + presence + ".\n";
    }
    out += "\n| key | type | range | default | takes | meaning |\n| --- | --- | --- | --- | --- | --- |\n";
    for (const Setting& setting : table.settings) {
        out += "| `" + setting.name + "` | " + std::string(kind_of(setting.type)) + " | " + setting.range() +
               " | ";
        out += (setting.fallback ? "`" + default_of(setting) + "`" : default_of(setting)) + " | ";
        out += std::string(takes_of(setting.takes)) + " | " + setting.meaning + " |\n";
    }
    if (table.checks.empty()) return;
    out += "\n";
    for (const Check& check : table.checks) out += "- " + check.meaning + "\n";
}

// In lines of up to 100 columns.
void add_comment(std::string& out, std::string_view text) {
    constexpr std::size_t width = 98;
    while (!text.empty()) {
        std::size_t end = text.size();
        if (end > width) {
            end = text.rfind(' ', width);
            if (end == std::string_view::npos || end == 0) end = std::min(text.size(), text.find(' ', width));
        }
        out += "# " + std::string(text.substr(0, end)) + "\n";
        text.remove_prefix(std::min(text.size(), end + 1));
    }
}

void add_example(std::string& out, const Table& table) {
    add_comment(out, table.meaning);
    const bool all_comment = table.kind != Kind::one;
    out += (all_comment ? "#" : "") + header_of(table) + "\n";
    for (const Setting& setting : table.settings) {
        add_comment(out, setting.meaning);
        add_comment(out, "(" + std::string(kind_of(setting.type)) + ", " + setting.range() + "; " +
                             std::string(takes_of(setting.takes)) + ")");
        const bool comment = all_comment || !setting.fallback;
        out += (comment ? "#" : "") + setting.name + " = " +
               (setting.fallback ? toml_of(*setting.fallback) : std::string("...")) + "\n";
    }
}

}  // namespace

std::string page(const Schema& schema) {
    std::string out(preface);
    for (const Table& table : schema.tables()) add_table(out, table);
    if (schema.checks().empty()) return out;
    out += "\n## Between tables\n\n";
    for (const SchemaCheck& check : schema.checks()) out += "- " + check.meaning + "\n";
    return out;
}

std::string columns(const std::vector<std::vector<std::string>>& lines) {
    std::string out;
    if (lines.empty()) return out;
    std::vector<std::size_t> widths(lines.front().size());
    for (const auto& line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) widths[i] = std::max(widths[i], line[i].size());
    }
    for (const auto& line : lines) {
        for (std::size_t i = 0; i + 1 < line.size(); ++i) {
            out += line[i] + std::string(widths[i] + 2 - line[i].size(), ' ');
        }
        out += line.back() + "\n";
    }
    return out;
}

std::string listing(const Schema& schema) {
    std::vector<std::vector<std::string>> lines{{"KEY", "TYPE", "RANGE", "DEFAULT", "TAKES", "MEANING"}};
    for (const Table& table : schema.tables()) {
        for (const Setting& setting : table.settings) {
            lines.push_back({setting.text(), std::string(kind_of(setting.type)), setting.range(),
                             default_of(setting), std::string(takes_of(setting.takes)), setting.meaning});
        }
    }
    return columns(lines);
}

std::string example(const Schema& schema, std::string_view table) {
    std::string out;
    for (const Table& each : schema.tables()) {
        if (!table.empty() && each.name != table) continue;
        if (!out.empty()) out += "\n";
        add_example(out, each);
    }
    return out;
}

}  // namespace flaxdoor::settings
