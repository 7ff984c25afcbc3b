// Reads the operator's settings file (TOML 1.0) into values. All settings come from the schema; the reader
// knows none of them by name.
//
// Errors: returns either the values or all faults, each with its position. If the text is not valid TOML,
//         reading stops at the first syntax error and the fault says so.
// Bounds: files of up to 1 MiB, values nested up to 16 levels deep, keys of up to 8 parts, 100 faults with
//         a text.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "settings/faults.h"
#include "settings/schema.h"
#include "settings/values.h"

namespace flaxdoor::settings {

inline constexpr std::size_t max_file_bytes = 1024 * 1024;

using Reading = std::variant<Values, Faults>;

[[nodiscard]] Reading read_text(std::string_view text, const Schema& schema);
// Reads a regular file or a symbolic link to one. Other kinds of files are rejected as a fault.
[[nodiscard]] Reading read_file(const std::string& path, const Schema& schema);

// Runs the checks between keys again, for values that were merged from two files.
[[nodiscard]] Faults check_values(const Values& values);

}  // namespace flaxdoor::settings
