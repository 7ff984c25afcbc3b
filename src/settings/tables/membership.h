// [membership]: the list of upstreams from service discovery.
#pragma once

#include "settings/schema.h"

namespace flaxdoor::settings::membership {

inline constexpr Key<Bytes> max_line_bytes{
    {.table = "membership",
     .name = "max_line_bytes",
     .fallback = mebibytes(4),
     .least = kibibytes(64),
     .most = mebibytes(64),
     .takes = Takes::reload,
     .meaning = "The longest line that a list of upstreams may have; a longer one is turned down."}};

inline constexpr Key<Micros> silence_timeout{{.table = "membership",
                                              .name = "silence_timeout",
                                              .fallback = std::chrono::seconds(3),
                                              .least = std::chrono::milliseconds(100),
                                              .most = std::chrono::minutes(10),
                                              .takes = Takes::reload,
                                              .meaning =
                                                  "How long a watch that has told something may say nothing "
                                                  "before it counts as lost; discovery sends an "
                                                  "empty line every 2s."}};

inline constexpr Key<Micros> answer_timeout{
    {.table = "membership",
     .name = "answer_timeout",
     .fallback = std::chrono::seconds(4),
     .least = std::chrono::milliseconds(100),
     .most = std::chrono::minutes(10),
     .takes = Takes::reload,
     .meaning = "How long a call to discovery may wait for its first answer before it counts as lost."}};

Table table();

}  // namespace flaxdoor::settings::membership
