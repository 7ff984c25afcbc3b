// [core]: calls of all protocols.
#pragma once

#include <array>

#include "settings/schema.h"

namespace flaxdoor::settings::core {

inline constexpr Key<std::int64_t> max_open_calls{
    {.table = "core",
     .name = "max_open_calls",
     .fallback = 0,
     .least = 0,
     .most = 1'000'000,
     .unit = "calls",
     .takes = Takes::restart,
     .meaning = "How many calls may be open at once; 0: as many as the descriptors allow."}};

inline constexpr Key<Micros> default_deadline{
    {.table = "core",
     .name = "default_deadline",
     .fallback = std::chrono::seconds(30),
     .least = std::chrono::milliseconds(1),
     .most = std::chrono::hours(24),
     .takes = Takes::reload,
     .meaning = "The longest that a call may take whose client names no deadline."}};

enum class UnknownTenants { share, refuse };
inline constexpr std::array<std::string_view, 2> unknown_tenants_words{"share", "refuse"};
inline constexpr Key<UnknownTenants> unknown_tenants{
    {.table = "core",
     .name = "unknown_tenants",
     .fallback = UnknownTenants::share,
     .words = unknown_tenants_words,
     .takes = Takes::restart,
     .meaning =
         "What a tenant counts as that the settings do not name: \"share\", all of them together as one "
         "tenant, with the smallest quota of the known; \"refuse\", its calls are turned away."}};

Table table();

}  // namespace flaxdoor::settings::core
