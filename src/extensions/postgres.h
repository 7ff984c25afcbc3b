// Builds the PostgreSQL extension of the engine from the operator's settings.
//
// Errors: postgres_options() returns faults, each with its position in the operator's file. It does not throw.
#pragma once

#include <cstdint>
#include <variant>

#include "engine/extension.h"
#include "pg/service.h"
#include "settings/faults.h"
#include "settings/values.h"

namespace flaxdoor::extensions {

// Requires that the file has [postgres]. Reads the files named there.
[[nodiscard]] std::variant<pg::ServiceOptions, settings::Faults> postgres_options(
    const settings::Values& values, std::uint64_t seed);

// Returns the factory that adds PostgreSQL to an engine. The factory throws std::invalid_argument if there
// are faults.
[[nodiscard]] engine::ExtensionFactory postgres();

}  // namespace flaxdoor::extensions
