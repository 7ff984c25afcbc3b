// From the operator's file to what PostgreSQL's side is made of. Reads the files that are named there.
//
// Errors: faults, each with its place in the operator's file; nothing is thrown.
#pragma once

#include <cstdint>
#include <variant>

#include "engine/side.h"
#include "pg/service.h"
#include "settings/faults.h"
#include "settings/values.h"

namespace flaxdoor::sides {

// To be asked for only where the file has [postgres].
[[nodiscard]] std::variant<pg::ServiceOptions, settings::Faults> postgres_options(
    const settings::Values& values, std::uint64_t seed);

// What turns it on in an engine.
[[nodiscard]] engine::SideMaker postgres();

}  // namespace flaxdoor::sides
