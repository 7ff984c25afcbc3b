#include "real/compare.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace flaxdoor::lab::real {

namespace {

using nlohmann::json;

Side side_of(const Tally& tally, const standins::Latencies& latency) {
    Side side;
    side.served = tally.share(tally.served);
    side.refused = tally.share(tally.refused);
    side.p50_ms = static_cast<double>(latency.quantile(0.5).count()) / 1000;
    side.p99_ms = static_cast<double>(latency.quantile(0.99).count()) / 1000;
    return side;
}

bool apart(double a, double b, double factor, Micros within) {
    if (std::abs(a - b) <= static_cast<double>(within.count()) / 1000) return false;
    return std::max(a, b) > factor * std::min(a, b);
}

json to_json(const Side& s) {
    return {{"served", s.served}, {"refused", s.refused}, {"p50_ms", s.p50_ms},
            {"p99_ms", s.p99_ms}, {"tries", s.tries},     {"attempts", s.attempts}};
}

}  // namespace

std::vector<Line> compare(const Experiment& e, const Cell& foretold, const Cell& shown) {
    std::vector<Line> lines;
    const RealPart& its = e.real_part;
    const auto add = [&](std::string of, const Tally& a, const standins::Latencies& la, const Tally& b,
                         const standins::Latencies& lb) {
        Line line{std::move(of), a.asked, side_of(a, la), side_of(b, lb), {}};
        if (std::abs(line.foretold.served - line.shown.served) > its.share_within)
            line.parts.emplace_back("served");
        // A percentile of so few calls says nothing.
        const auto enough = [&](std::uint64_t calls) { return la.count() >= calls && lb.count() >= calls; };
        if (enough(20) && apart(line.foretold.p50_ms, line.shown.p50_ms, its.p50_within, its.span_within))
            line.parts.emplace_back("p50");
        if (enough(300) && apart(line.foretold.p99_ms, line.shown.p99_ms, its.p99_within, its.span_within))
            line.parts.emplace_back("p99");
        lines.push_back(std::move(line));
    };
    const Figures &a = foretold.figures, &b = shown.figures;
    add("all", a.sum(), a.latency_all, b.sum(), b.latency_all);
    const auto each = [](const Figures& f, Side& side) {
        std::uint64_t calls = 0;
        for (const Tally& second : f.seconds) calls += second.asked;
        if (calls == 0) return;
        side.tries = static_cast<double>(f.tries) / static_cast<double>(calls);
        side.attempts = static_cast<double>(f.attempts) / static_cast<double>(calls);
    };
    each(a, lines.front().foretold);
    each(b, lines.front().shown);
    for (std::size_t c = 0; c < e.classes.size(); ++c) {
        add(e.classes[c].told.name, Figures::sum(a.by_class[c], a.settles), a.latency[c],
            Figures::sum(b.by_class[c], b.settles), b.latency[c]);
    }
    return lines;
}

json to_json(const Experiment& experiment, const Played& played) {
    json lines = json::array(), faults = json::array();
    for (const Line& line : compare(experiment, played.foretold, played.shown)) {
        lines.push_back({{"of", line.of},
                         {"calls", line.calls},
                         {"foretold", to_json(line.foretold)},
                         {"shown", to_json(line.shown)},
                         {"parts", line.parts}});
    }
    for (const auto& fault : played.faults) faults.push_back(fault);
    return {{"variant", experiment.variant},
            {"seed", experiment.seed},
            {"scale", played.scale},
            {"lag_most_us", played.lag_most_us},
            {"lines", std::move(lines)},
            {"faults", std::move(faults)},
            {"foretold", lab::to_json(played.foretold)},
            {"shown", lab::to_json(played.shown)}};
}

std::string table_of(const json& played) {
    std::string text = played["variant"].get<std::string>();
    text += (text.empty() ? "" : ", ") + std::string("seed ") +
            std::to_string(played["seed"].get<std::uint64_t>()) + ": " + played["scale"].get<std::string>() +
            "\n";
    char row[240];
    std::snprintf(row, sizeof row, "  %-16s %7s  %-17s %-15s %-17s %-17s %s\n", "foretold, shown", "calls",
                  "served %", "refused %", "p50 ms", "p99 ms", "parts");
    text += row;
    for (const json& line : played["lines"]) {
        const auto pair = [&](const char* what, double times) {
            char both[40];
            std::snprintf(both, sizeof both, "%.1f, %.1f", line["foretold"][what].get<double>() * times,
                          line["shown"][what].get<double>() * times);
            return std::string(both);
        };
        std::string parts;
        for (const auto& each : line["parts"]) parts += (parts.empty() ? "" : " ") + each.get<std::string>();
        std::snprintf(row, sizeof row, "  %-16s %7llu  %-17s %-15s %-17s %-17s %s\n",
                      line["of"].get<std::string>().c_str(),
                      static_cast<unsigned long long>(line["calls"].get<std::uint64_t>()),
                      pair("served", 100).c_str(), pair("refused", 100).c_str(), pair("p50_ms", 1).c_str(),
                      pair("p99_ms", 1).c_str(), parts.empty() ? "-" : parts.c_str());
        text += row;
    }
    const json& all = played["lines"].front();
    std::snprintf(row, sizeof row,
                  "  tries a call %.3f, %.3f; attempts a call %.3f, %.3f; sent at most %.1f ms behind\n",
                  all["foretold"]["tries"].get<double>(), all["shown"]["tries"].get<double>(),
                  all["foretold"]["attempts"].get<double>(), all["shown"]["attempts"].get<double>(),
                  played["lag_most_us"].get<double>() / 1000);
    text += row;
    for (const char* const side : {"foretold", "shown"}) {
        for (const json& each : played[side]["broken"])
            text += "  " + std::string(side) + ": " + each["what"].get<std::string>() + "\n";
        for (const json& each : played[side]["met"]) {
            if (each["met"] == true) continue;
            text += "  not met (" + std::string(side) + "): " + each["expectation"].get<std::string>() +
                    "; found " + each["found"].get<std::string>() + "\n";
        }
    }
    for (const json& each : played["faults"]) text += "  " + each.get<std::string>() + "\n";
    return text;
}

bool holds(const json& played) {
    if (!played["faults"].empty() || played["foretold"]["rules_broken"] != 0 ||
        played["shown"]["rules_broken"] != 0)
        return false;
    const json& met = played["shown"]["met"];
    if (!std::all_of(met.begin(), met.end(), [](const json& each) { return each["met"] == true; }))
        return false;
    return std::all_of(played["lines"].begin(), played["lines"].end(),
                       [](const json& line) { return line["parts"].empty(); });
}

}  // namespace flaxdoor::lab::real
