// Charts as SVG: lines with a band round them, and a heat map. Pure functions.
#pragma once

#include <string>
#include <vector>

namespace flaxdoor::lab {

// Text as it may stand in HTML.
std::string escaped(const std::string& text);

struct Band {  // a trouble
    std::string name;
    double from = 0, to = 0;  // seconds
};

struct Line {
    std::string name;
    std::vector<double> middle;       // a value a second
    std::vector<double> least, most;  // over seeds; empty: no band
};

// `top` 0: the greatest value. Percent: the axis is labelled so.
std::string line_chart(const std::string& title, const std::vector<Line>& lines,
                       const std::vector<Band>& bands, double top = 0, bool percent = false);

// A row for each server, a column a second.
std::string heat_map(const std::string& title, const std::vector<std::vector<double>>& rows,
                     const std::vector<Band>& bands);

// A bar with a whisker from least to most for each.
struct Bar {
    std::string name;
    double middle = 0, least = 0, most = 0;
};
std::string bar_chart(const std::string& title, const std::vector<Bar>& bars, bool percent = false);

}  // namespace flaxdoor::lab
