#include "report/charts.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace flaxdoor::lab {

namespace {

constexpr double wide = 860, high = 220, left = 56, top_room = 26, bottom = 24;
constexpr std::array colours{"#1b6ca8", "#c8553d", "#3a7d44", "#8e5ea2",
                             "#d49a1f", "#4d8076", "#a63c6b", "#666666"};

std::string number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, value >= 1000 ? "%.0f" : "%.3g", value);
    return text;
}
std::string at(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", value);
    return text;
}
const char* colour(std::size_t i) { return colours[i % colours.size()]; }

std::string head(const std::string& title, double height) {
    return "<figure><figcaption>" + escaped(title) + "</figcaption><svg viewBox=\"0 0 " + at(wide) + " " +
           at(height) + "\" role=\"img\" aria-label=\"" + escaped(title) + "\">";
}

// Troubles behind a chart whose seconds stand `each` apart.
std::string bands_svg(const std::vector<Band>& bands, double each, double height) {
    std::string svg;
    for (const Band& band : bands) {
        const double x = left + band.from * each, w = std::max(1.0, (band.to - band.from) * each);
        svg += "<rect class=\"trouble\" x=\"" + at(x) + "\" y=\"" + at(top_room) + "\" width=\"" + at(w) +
               "\" height=\"" + at(height) + "\"><title>" + escaped(band.name) +
               "</title></rect><text class=\"small\" x=\"" + at(x + 2) + "\" y=\"" + at(top_room - 4) +
               "\">" + escaped(band.name) + "</text>";
    }
    return svg;
}

std::string seconds_svg(std::size_t count, double each, double y) {
    std::string svg;
    const std::size_t step = std::max<std::size_t>(1, count / 10);
    for (std::size_t s = 0; s <= count; s += step) {
        svg += "<text class=\"small\" text-anchor=\"middle\" x=\"" +
               at(left + static_cast<double>(s) * each) + "\" y=\"" + at(y) + "\">" + std::to_string(s) +
               " s</text>";
    }
    return svg;
}

}  // namespace

std::string escaped(const std::string& text) {
    std::string out;
    for (const char c : text) {
        switch (c) {
            case '&': out += "&amp;"; break;
            case '<': out += "&lt;"; break;
            case '>': out += "&gt;"; break;
            case '"': out += "&quot;"; break;
            default: out += c;
        }
    }
    return out;
}

std::string line_chart(const std::string& title, const std::vector<Line>& lines,
                       const std::vector<Band>& bands, double top, bool percent) {
    std::size_t count = 1;
    double most = top;
    for (const Line& line : lines) {
        count = std::max(count, line.middle.size());
        if (top > 0) continue;
        for (const auto* values : {&line.middle, &line.most}) {
            for (const double value : *values) most = std::max(most, value);
        }
    }
    if (most <= 0) most = 1;
    const double each = (wide - left - 8) / static_cast<double>(count);
    const auto x = [&](std::size_t i) { return left + (static_cast<double>(i) + 0.5) * each; };
    const auto y = [&](double value) { return top_room + high * (1 - std::clamp(value / most, 0.0, 1.0)); };
    std::string svg = head(title, top_room + high + bottom) + bands_svg(bands, each, high);
    for (int i = 0; i <= 4; ++i) {
        const double value = most * i / 4;
        svg += "<line class=\"grid\" x1=\"" + at(left) + "\" x2=\"" + at(wide - 8) + "\" y1=\"" +
               at(y(value)) + "\" y2=\"" + at(y(value)) +
               "\"/><text class=\"small\" text-anchor=\"end\" x=\"" + at(left - 4) + "\" y=\"" +
               at(y(value) + 4) + "\">" + (percent ? number(value * 100) + "%" : number(value)) + "</text>";
    }
    svg += seconds_svg(count, each, top_room + high + 16);
    for (std::size_t l = 0; l < lines.size(); ++l) {
        const Line& line = lines[l];
        if (!line.least.empty() && line.least.size() == line.most.size()) {
            std::string points;
            for (std::size_t i = 0; i < line.most.size(); ++i)
                points += at(x(i)) + "," + at(y(line.most[i])) + " ";
            for (std::size_t i = line.least.size(); i-- > 0;)
                points += at(x(i)) + "," + at(y(line.least[i])) + " ";
            svg += "<polygon points=\"" + points + "\" fill=\"" + colour(l) + "\" opacity=\"0.15\"/>";
        }
        std::string points;
        for (std::size_t i = 0; i < line.middle.size(); ++i)
            points += at(x(i)) + "," + at(y(line.middle[i])) + " ";
        svg += "<polyline points=\"" + points + "\" fill=\"none\" stroke=\"" + colour(l) +
               "\" stroke-width=\"1.6\"><title>" + escaped(line.name) + "</title></polyline>";
    }
    svg += "</svg><div class=\"legend\">";
    for (std::size_t l = 0; l < lines.size(); ++l) {
        svg += "<span><i style=\"background:" + std::string(colour(l)) + "\"></i>" + escaped(lines[l].name) +
               "</span>";
    }
    return svg + "</div></figure>\n";
}

std::string heat_map(const std::string& title, const std::vector<std::vector<double>>& rows,
                     const std::vector<Band>& bands) {
    std::size_t count = 1;
    double most = 1;
    for (const auto& row : rows) {
        count = std::max(count, row.size());
        for (const double value : row) most = std::max(most, value);
    }
    const double each = (wide - left - 8) / static_cast<double>(count);
    const double tall =
        std::clamp(420.0 / static_cast<double>(std::max<std::size_t>(1, rows.size())), 2.0, 12.0);
    const double height = tall * static_cast<double>(rows.size());
    std::string svg = head(title + " (darkest: " + number(most) + ")", top_room + height + bottom);
    for (std::size_t r = 0; r < rows.size(); ++r) {
        // What is alike side by side is one rectangle.
        for (std::size_t from = 0; from < rows[r].size();) {
            const int shade = static_cast<int>(std::lround(8 * std::sqrt(rows[r][from] / most)));
            std::size_t to = from + 1;
            while (to < rows[r].size() && std::lround(8 * std::sqrt(rows[r][to] / most)) == shade) ++to;
            if (shade > 0) {
                svg += "<rect x=\"" + at(left + static_cast<double>(from) * each) + "\" y=\"" +
                       at(top_room + static_cast<double>(r) * tall) + "\" width=\"" +
                       at(static_cast<double>(to - from) * each + 0.3) + "\" height=\"" + at(tall) +
                       "\" fill=\"#1b6ca8\" opacity=\"" + number(shade / 8.0) + "\"/>";
            }
            from = to;
        }
        if (tall >= 8 || r % 20 == 0) {
            svg += "<text class=\"small\" text-anchor=\"end\" x=\"" + at(left - 4) + "\" y=\"" +
                   at(top_room + static_cast<double>(r) * tall + 8) + "\">" + std::to_string(r) + "</text>";
        }
    }
    return svg + bands_svg(bands, each, height) + seconds_svg(count, each, top_room + height + 16) +
           "</svg></figure>\n";
}

std::string bar_chart(const std::string& title, const std::vector<Bar>& bars, bool percent) {
    double most = 0;
    for (const Bar& bar : bars) most = std::max(most, bar.most);
    if (most <= 0) most = 1;
    if (percent) most = std::min(1.0, std::max(most, 0.01));
    constexpr double tall = 18, names = 260;
    const double height = tall * static_cast<double>(bars.size()) + 8;
    std::string svg = head(title, height);
    for (std::size_t b = 0; b < bars.size(); ++b) {
        const double y = 4 + tall * static_cast<double>(b);
        const auto x = [&](double value) {
            return names + (wide - names - 90) * std::clamp(value / most, 0.0, 1.0);
        };
        svg += "<text class=\"small\" text-anchor=\"end\" x=\"" + at(names - 6) + "\" y=\"" + at(y + 12) +
               "\">" + escaped(bars[b].name) + "</text><rect x=\"" + at(names) + "\" y=\"" + at(y + 2) +
               "\" width=\"" + at(x(bars[b].middle) - names) + "\" height=\"12\" fill=\"" + colour(0) +
               "\" opacity=\"0.7\"/><line x1=\"" + at(x(bars[b].least)) + "\" x2=\"" + at(x(bars[b].most)) +
               "\" y1=\"" + at(y + 8) + "\" y2=\"" + at(y + 8) +
               "\" stroke=\"#222\"/><text class=\"small\" x=\"" + at(x(bars[b].most) + 6) + "\" y=\"" +
               at(y + 12) + "\">" + (percent ? number(bars[b].middle * 100) + "%" : number(bars[b].middle)) +
               "</text>";
    }
    return svg + "</svg></figure>\n";
}

}  // namespace flaxdoor::lab
