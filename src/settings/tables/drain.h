// [drain]: graceful shutdown of the balancer.
#pragma once

#include "settings/schema.h"

namespace flaxdoor::settings::drain {

inline constexpr Key<Micros> keep_accepting{
    {.table = "drain",
     .name = "keep_accepting",
     .fallback = std::chrono::milliseconds(450),
     .least = std::chrono::milliseconds(0),
     .most = std::chrono::minutes(1),
     .takes = Takes::reload,
     .meaning = "How long new connections are still taken after the end was asked for (SIGTERM, SIGINT)."}};

inline constexpr Key<Micros> end_slack{
    {.table = "drain",
     .name = "end_slack",
     .fallback = std::chrono::milliseconds(100),
     .least = std::chrono::milliseconds(0),
     .most = std::chrono::minutes(1),
     .takes = Takes::reload,
     .meaning =
         "How long past `keep_accepting` and the longest deadline of any class what is still open is waited "
         "for."}};

Table table();

}  // namespace flaxdoor::settings::drain
