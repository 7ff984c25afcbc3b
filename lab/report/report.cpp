#include "report/report.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>

#include "report/charts.h"

namespace flaxdoor::lab {

namespace {

using nlohmann::json;

// The cells of one variant, in the order in which variants came.
struct Group {
    std::string name;
    std::vector<const json*> cells;
};

std::vector<Group> groups_of(const std::vector<json>& cells) {
    std::vector<Group> groups;
    for (const json& cell : cells) {
        const std::string name = cell["variant"];
        const auto found =
            std::find_if(groups.begin(), groups.end(), [&](const Group& g) { return g.name == name; });
        if (found == groups.end()) {
            groups.push_back({name, {&cell}});
        } else {
            found->cells.push_back(&cell);
        }
    }
    return groups;
}

struct Spread {
    double least = 0, middle = 0, most = 0;
};
Spread spread_of(std::vector<double> values) {
    if (values.empty()) return {};
    std::sort(values.begin(), values.end());
    const std::size_t n = values.size();
    return {values.front(), n % 2 == 1 ? values[n / 2] : (values[n / 2 - 1] + values[n / 2]) / 2,
            values.back()};
}

template <typename Of>
Spread spread_of(const Group& group, Of of) {
    std::vector<double> values;
    for (const json* const cell : group.cells) values.push_back(of(*cell));
    return spread_of(std::move(values));
}

// What is looked at of a world, in the order of the tables.
struct Column {
    const char* name;
    double (*of)(const json& cell);
    bool percent;
};
double share(const json& cell, const char* of) {
    const json& sum = cell["figures"]["sum"];
    const double asked = sum["asked"];
    return asked > 0 ? sum[of].get<double>() / asked : 0;
}
double latency_ms(const json& cell, const char* of) {
    return cell["figures"]["latency"][of].get<double>() / 1000;
}
constexpr Column columns[] = {
    {"service", [](const json& c) { return c["figures"]["sum"]["service"].get<double>(); }, true},
    {"worst 10 s", [](const json& c) { return c["figures"]["worst_ten_seconds"].get<double>(); }, true},
    {"served", [](const json& c) { return share(c, "served"); }, true},
    {"refused", [](const json& c) { return share(c, "refused"); }, true},
    {"failed", [](const json& c) { return share(c, "failed"); }, true},
    {"p50 ms", [](const json& c) { return latency_ms(c, "p50_us"); }, false},
    {"p99 ms", [](const json& c) { return latency_ms(c, "p99_us"); }, false},
    {"attempts a call",
     [](const json& c) {
         const double asked = c["figures"]["sum"]["asked"];
         return asked > 0 ? c["figures"]["attempts"].get<double>() / asked : 0;
     },
     false},
    {"falls", [](const json& c) { return c["figures"]["falls"].get<double>(); }, false},
    {"rules broken", [](const json& c) { return c["rules_broken"].get<double>(); }, false},
};

std::string text_of(double value, bool percent) {
    char text[32];
    std::snprintf(text, sizeof text, percent ? "%.2f%%" : "%.4g", percent ? value * 100 : value);
    return text;
}
std::string text_of(const Spread& s, bool percent) {
    if (s.least == s.most) return text_of(s.middle, percent);
    return text_of(s.middle, percent) + " (" + text_of(s.least, percent) + ".." + text_of(s.most, percent) +
           ")";
}

std::vector<double> numbers(const json& values) { return values.get<std::vector<double>>(); }

// Second by second over the seeds of a variant.
template <typename Of>
Line line_of(const std::string& name, const Group& group, Of of) {
    Line line{name, {}, {}, {}};
    std::vector<std::vector<double>> all;
    std::size_t count = 0;
    for (const json* const cell : group.cells) {
        all.push_back(numbers(of(*cell)));
        count = std::max(count, all.back().size());
    }
    for (std::size_t s = 0; s < count; ++s) {
        std::vector<double> values;
        for (const auto& each : all) {
            if (s < each.size()) values.push_back(each[s]);
        }
        const Spread spread = spread_of(values);
        line.middle.push_back(spread.middle);
        line.least.push_back(spread.least);
        line.most.push_back(spread.most);
    }
    return line;
}

std::string shown(const std::string& variant) { return variant.empty() ? "as it stands" : variant; }

constexpr const char* style = R"(<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:900px;margin:2rem auto;padding:0 1rem;color:#222}
h1{font-size:1.5rem}h2{font-size:1.15rem;margin-top:2.2rem}table{border-collapse:collapse;font-size:13px}
td,th{padding:.25rem .6rem;border-bottom:1px solid #ddd;text-align:right;white-space:nowrap}
td:first-child,th:first-child{text-align:left}figure{margin:1rem 0}figcaption{font-weight:600;font-size:13px}
svg{width:100%;height:auto}.small{font-size:10px;fill:#555}.grid{stroke:#e4e4e4}.trouble{fill:#d49a1f;opacity:.13}
.legend span{margin-right:1rem;font-size:12px}.legend i{display:inline-block;width:10px;height:10px;margin-right:.3rem}
.yes{color:#2c6e36}.no{color:#b3261e;font-weight:600}pre{background:#f6f6f6;padding:.8rem;overflow:auto;font-size:12px}
.wide{overflow:auto}</style>)";

// What the emulator foretold of the same part, beside what the sockets showed.
std::string real_part(const std::vector<json>& real) {
    std::string page;
    for (const json& played : real) {
        page += "<h2>For real: " + escaped(shown(played["variant"])) + "</h2><p>" +
                escaped(played["scale"].get<std::string>()) +
                ". Each cell: foretold by the emulator, shown by the "
                "sockets.</p><table><tr><th></th><th>calls</th>"
                "<th>served</th><th>refused</th><th>p50 ms</th><th>p99 ms</th><th>parts</th></tr>";
        for (const json& line : played["lines"]) {
            page += "<tr><td>" + escaped(line["of"].get<std::string>()) + "</td><td>" +
                    std::to_string(line["calls"].get<std::uint64_t>()) + "</td>";
            for (const char* const what : {"served", "refused", "p50_ms", "p99_ms"}) {
                const bool percent = what[0] != 'p';
                page += "<td>" + text_of(line["foretold"][what].get<double>(), percent) + ", " +
                        text_of(line["shown"][what].get<double>(), percent) + "</td>";
            }
            std::string parts;
            for (const json& each : line["parts"])
                parts += (parts.empty() ? "" : ", ") + each.get<std::string>();
            page += "<td class=\"" + std::string(parts.empty() ? "yes\">no" : "no\">" + escaped(parts)) +
                    "</td></tr>";
        }
        page += "</table>\n";
        std::vector<Band> bands;
        for (const json& each : played["shown"]["troubles"]) {
            const double from = each["at_us"].get<double>() / 1e6;
            bands.push_back({each["name"], from, from + each["lasts_us"].get<double>() / 1e6});
        }
        std::vector<Line> lines;
        for (const char* const side : {"foretold", "shown"}) {
            Group one;
            one.name = side;
            one.cells.push_back(&played[side]);
            lines.push_back(line_of(side, one, [](const json& cell) -> const json& {
                return cell["figures"]["seconds"]["service"];
            }));
        }
        page += line_chart("Service, foretold and shown", lines, bands, 1, true);
        std::string wrong;
        for (const json& each : played["shown"]["broken"])
            wrong += "<li>" + escaped(each["what"].get<std::string>()) + "</li>";
        for (const json& each : played["faults"])
            wrong += "<li>" + escaped(each.get<std::string>()) + "</li>";
        if (!wrong.empty()) page += "<ul class=\"no\">" + wrong + "</ul>\n";
    }
    return page;
}

}  // namespace

std::string csv_of(const std::vector<json>& cells) {
    std::string text = "variant,seed,digest";
    for (const Column& column : columns) {
        std::string name = column.name;
        std::replace(name.begin(), name.end(), ' ', '_');
        text += "," + name;
    }
    text += ",expectations_met,expectations\n";
    for (const json& cell : cells) {
        text += "\"" + cell["variant"].get<std::string>() + "\"," +
                std::to_string(cell["seed"].get<std::uint64_t>()) + "," + cell["digest"].get<std::string>();
        char number[32];
        for (const Column& column : columns) {
            std::snprintf(number, sizeof number, ",%.6g", column.of(cell));
            text += number;
        }
        const auto met = std::count_if(cell["met"].begin(), cell["met"].end(),
                                       [](const json& m) { return m["met"] == true; });
        text += "," + std::to_string(met) + "," + std::to_string(cell["met"].size()) + "\n";
    }
    return text;
}

std::string table_of(const std::vector<json>& cells) {
    std::vector<std::vector<std::string>> rows{{"variant", "seeds"}};
    for (const Column& column : columns) rows[0].emplace_back(column.name);
    for (const Group& group : groups_of(cells)) {
        std::vector<std::string> row{shown(group.name), std::to_string(group.cells.size())};
        for (const Column& column : columns)
            row.push_back(text_of(spread_of(group, column.of), column.percent));
        rows.push_back(std::move(row));
    }
    std::vector<std::size_t> widths(rows[0].size());
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const std::string room(widths[i] - row[i].size(), ' ');
            text += i == 0 ? row[i] + room : "  " + room + row[i];
        }
        text += "\n";
    }
    return text;
}

std::string html_of(const std::string& name, const std::string& question, const std::string& plan_text,
                    const std::vector<json>& cells, const std::vector<json>& real) {
    const auto groups = groups_of(cells);
    std::string page =
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + escaped(name) +
        "</title>" + style + "</head><body><h1>" + escaped(name) + "</h1><p>" + escaped(question) +
        "</p>\n<h2>Variants</h2><p>The middle of the seeds, with the least and the greatest.</p>"
        "<div class=\"wide\"><table><tr><th>variant</th><th>seeds</th>";
    for (const Column& column : columns) page += "<th>" + std::string(column.name) + "</th>";
    page += "</tr>";
    for (const Group& group : groups) {
        page += "<tr><td>" + escaped(shown(group.name)) + "</td><td>" + std::to_string(group.cells.size()) +
                "</td>";
        for (const Column& column : columns) {
            page += "<td>" + text_of(spread_of(group, column.of), column.percent) + "</td>";
        }
        page += "</tr>";
    }
    page += "</table></div>\n";
    if (groups.size() > 1) {
        for (const std::size_t c : {std::size_t{0}, std::size_t{6}}) {
            std::vector<Bar> bars;
            for (const Group& group : groups) {
                const Spread s = spread_of(group, columns[c].of);
                bars.push_back({shown(group.name), s.middle, s.least, s.most});
            }
            page += bar_chart(std::string(columns[c].name) + ", middle, least and greatest of the seeds",
                              bars, columns[c].percent);
        }
    }

    page +=
        "<h2>Expectations</h2><table><tr><th>variant</th><th>expectation</th><th>worst "
        "found</th><th>seeds</th></tr>";
    for (const Group& group : groups) {
        const json& first = (*group.cells.front())["met"];
        for (std::size_t m = 0; m < first.size(); ++m) {
            std::size_t met = 0;
            std::string found = first[m]["found"];
            for (const json* const cell : group.cells) {
                const bool yes = (*cell)["met"][m]["met"];
                met += yes ? 1 : 0;
                if (!yes) found = (*cell)["met"][m]["found"];
            }
            const bool all = met == group.cells.size();
            page += "<tr><td>" + escaped(shown(group.name)) + "</td><td>" +
                    escaped(first[m]["expectation"].get<std::string>()) + "</td><td>" + escaped(found) +
                    "</td><td class=\"" + (all ? "yes\">met by all " : "no\">met by ") + std::to_string(met) +
                    " of " + std::to_string(group.cells.size()) + "</td></tr>";
        }
    }
    page += "</table>\n";
    std::string broken;
    for (const json& cell : cells) {
        for (const json& each : cell["broken"]) {
            broken += "<li>" +
                      escaped(shown(cell["variant"]) + ", seed " +
                              std::to_string(cell["seed"].get<std::uint64_t>()) + ": " +
                              each["what"].get<std::string>()) +
                      "</li>";
        }
    }
    if (!broken.empty()) page += "<h2 class=\"no\">Broken rules</h2><ul>" + broken + "</ul>\n";

    std::vector<Band> bands;
    if (!cells.empty()) {
        for (const json& each : cells.front()["troubles"]) {
            const double from = each["at_us"].get<double>() / 1e6;
            bands.push_back({each["name"], from, from + each["lasts_us"].get<double>() / 1e6});
        }
    }
    page += "<h2>Over time</h2>\n";
    const auto over_time = [&](const std::string& title, const char* what, double top, bool percent) {
        std::vector<Line> lines;
        for (const Group& group : groups) {
            lines.push_back(line_of(shown(group.name), group, [&](const json& cell) -> const json& {
                return cell["figures"]["seconds"][what];
            }));
        }
        page += line_chart(title, lines, bands, top, percent);
    };
    over_time("Service: worth answered in time, of worth asked", "service", 1, true);
    over_time("Calls refused a second", "refused", 0, false);
    over_time("Calls failed a second", "failed", 0, false);
    over_time("Calls that balancers hold", "open", 0, false);
    for (const Group& group : groups) {
        const json& figures = (*group.cells.front())["figures"];
        page += "<h2>" + escaped(shown(group.name)) + "</h2>\n";
        for (const char* const kind : {"classes", "tenants"}) {
            if (!figures.contains(kind) || figures[kind].empty()) continue;
            std::vector<Line> lines;
            std::string rows;
            for (std::size_t i = 0; i < figures[kind].size(); ++i) {
                const json& one = figures[kind][i];
                lines.push_back(line_of(one["name"], group, [&](const json& cell) -> const json& {
                    return cell["figures"][kind][i]["service"];
                }));
                const json& sum = one["sum"];
                rows += "<tr><td>" + escaped(one["name"].get<std::string>()) + "</td>";
                for (const char* const of : {"asked", "served", "refused", "failed"}) {
                    rows += "<td>" + std::to_string(sum[of].get<std::uint64_t>()) + "</td>";
                }
                rows += "<td>" + text_of(sum["service"].get<double>(), true) + "</td>";
                for (const char* const of : {"p50_us", "p90_us", "p99_us", "p999_us"}) {
                    rows += one.contains("latency")
                                ? "<td>" + text_of(one["latency"][of].get<double>() / 1000, false) + "</td>"
                                : "<td></td>";
                }
                rows += "</tr>";
            }
            page += line_chart("Service by " + std::string(kind), lines, bands, 1, true) +
                    "<table><tr><th></th><th>asked</th><th>served</th><th>refused</th><th>failed</"
                    "th><th>service</th>"
                    "<th>p50 ms</th><th>p90</th><th>p99</th><th>p99.9</th></tr>" +
                    rows + "</table><p>Counts of the first seed.</p>\n";
        }
        std::vector<std::vector<double>> rows;
        for (const json& row : figures["load"]) rows.push_back(numbers(row));
        page += heat_map("Requests in hand by server, first seed", rows, bands);
    }
    page += real_part(real);
    return page + "<h2>The experiment</h2><pre>" + escaped(plan_text) + "</pre></body></html>\n";
}

}  // namespace flaxdoor::lab
