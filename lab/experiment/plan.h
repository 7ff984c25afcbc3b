// An experiment's file, read: the worlds to be played.
//
// Format:    TOML by lab/experiment/keys.h; docs/operators/lab.md explains it.
// Errors:    all faults at once, each with its place and likely mend, or the plan; never both.
// Bounds:    the reader's; at most 10,000 cells.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "experiment/experiment.h"
#include "settings/faults.h"
#include "settings/schema.h"
#include "settings/values.h"

namespace flaxdoor::lab {

// Calls that real mode plays at most: what it saw of them is held until its end.
inline constexpr std::size_t real_calls_most = 100'000;

// One variant of the matrix: which value each axis has, as "balancers=30 late=5s".
struct Variant {
    std::string name;  // empty where there is no axis
    settings::Values values;
};

// A setting of the file: of a table, or of one of its rows.
struct SettingPlace {
    std::size_t table = 0, setting = 0;  // places in the schema
    std::optional<std::string> row;      // its label
};

// What a hunt draws: numbers or durations, both ends included.
struct Range {
    std::string name;
    SettingPlace place;
    settings::Value least, most;
};

struct Plan {
    std::string name, question;
    std::vector<Variant> variants;
    std::vector<std::uint64_t> seeds;
    std::vector<Range> ranges;
    bool real = false;

    std::size_t cells() const { return variants.size() * seeds.size(); }
    // Variants one after another, each with all its seeds.
    Experiment cell(std::size_t number) const;
};

settings::Schema experiment_schema();

[[nodiscard]] std::variant<Plan, settings::Faults> read_plan_text(std::string_view text);
[[nodiscard]] std::variant<Plan, settings::Faults> read_plan_file(const std::string& path);

// The experiment that these values say, for one seed.
Experiment experiment_of(const settings::Values& values, std::uint64_t seed);
void set(settings::Values& values, const SettingPlace& place, settings::Value value);
// A file that says these values, and reads back as them.
std::string toml_of(const settings::Values& values);

}  // namespace flaxdoor::lab
