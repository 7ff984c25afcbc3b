// A run as one HTML file to look at, with nothing fetched: service, refusals and open calls over time by
// variant, classes and tenants, latency percentiles, the load of each server as a heat map, troubles as
// bands, variants beside one another with their spread over seeds, expectations with their verdicts. And the
// sums as CSV.
//
// Reads what a run's folder keeps (run/runner.h). Pure functions of that; charts are SVG written here.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace flaxdoor::lab {

// `plan_text` stands in the page as it was. `real`: what real mode showed beside what was foretold
// (real/compare.h), a part for each variant that was played.
std::string html_of(const std::string& name, const std::string& question, const std::string& plan_text,
                    const std::vector<nlohmann::json>& cells, const std::vector<nlohmann::json>& real = {});

// A line for each cell: variant, seed, service, shares, percentiles, falls, broken rules, expectations met.
std::string csv_of(const std::vector<nlohmann::json>& cells);

// The same, as a table for a terminal, a line for each variant with its spread over seeds.
std::string table_of(const std::vector<nlohmann::json>& cells);

}  // namespace flaxdoor::lab
