// [store]: state that is kept across restarts. Off unless the file has [store].
#pragma once

#include "settings/schema.h"

namespace flaxdoor::settings::store {

inline constexpr Key<Path> folder{
    {.table = "store",
     .name = "folder",
     .takes = Takes::restart,
     .meaning = "The folder that the store has for itself; it is made when it is missing."}};

inline constexpr OptionalKey<std::string> identity{
    {.table = "store",
     .name = "identity",
     .least = 32,
     .most = 32,
     .takes = Takes::restart,
     .meaning =
         "The store that is expected there, as `flaxdoor store stat` tells it; another one is not used."}};

inline constexpr Key<Micros> open_within{
    {.table = "store",
     .name = "open_within",
     .fallback = std::chrono::seconds(1),
     .least = std::chrono::milliseconds(0),
     .most = std::chrono::minutes(1),
     .takes = Takes::restart,
     .meaning = "How long a start waits for what is stored; later it is not heeded, and the store is only "
                "written to."}};

inline constexpr Key<Micros> remember_every{
    {.table = "store",
     .name = "remember_every",
     .fallback = std::chrono::seconds(10),
     .least = std::chrono::milliseconds(100),
     .most = std::chrono::hours(1),
     .takes = Takes::restart,
     .meaning = "How often what was learned of each upstream is written, where it has changed."}};

inline constexpr Key<Micros> half_life{
    {.table = "store",
     .name = "half_life",
     .fallback = std::chrono::minutes(10),
     .least = std::chrono::seconds(1),
     .most = std::chrono::hours(24),
     .takes = Takes::restart,
     .meaning = "After so long half of what was learned of an upstream still counts at a start."}};

inline constexpr Key<Micros> soon{
    {.table = "store",
     .name = "soon",
     .fallback = std::chrono::milliseconds(100),
     .least = std::chrono::milliseconds(1),
     .most = std::chrono::minutes(1),
     .takes = Takes::restart,
     .meaning = "How long what was written may wait for its sync, together with what follows it."}};

inline constexpr Key<Bytes> queue_bytes{
    {.table = "store",
     .name = "queue_bytes",
     .fallback = mebibytes(16),
     .least = mebibytes(8),
     .most = mebibytes(1024),
     .takes = Takes::restart,
     .meaning = "How much may wait for the disk; what comes beyond is not kept, and is written anew later."}};

inline constexpr Key<std::int64_t> queue_requests{{.table = "store",
                                                   .name = "queue_requests",
                                                   .fallback = 10'000,
                                                   .least = 16,
                                                   .most = 1'000'000,
                                                   .unit = "requests",
                                                   .takes = Takes::restart,
                                                   .meaning = "The same, counted in requests."}};

inline constexpr Key<Bytes> work_rate{
    {.table = "store",
     .name = "work_rate",
     .fallback = mebibytes(64),
     .least = Bytes{0},
     .most = mebibytes(1024),
     .takes = Takes::restart,
     .meaning = "How much the store's background work may write in a second; 0: as fast as it can."}};

Table table();

}  // namespace flaxdoor::settings::store
