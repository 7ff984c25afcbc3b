// [log]: the log lines on standard error.
#pragma once

#include <array>

#include "settings/schema.h"

namespace flaxdoor::settings::log {

enum class Format { text, json, logfmt };
inline constexpr std::array<std::string_view, 3> format_words{"text", "json", "logfmt"};
inline constexpr Key<Format> format{
    {.table = "log",
     .name = "format",
     .fallback = Format::text,
     .words = format_words,
     .takes = Takes::reload,
     .meaning =
         "How a line is written: for people, or with time, level, event and fields as JSON or logfmt."}};

enum class Level { debug, info, warning, error, off };
inline constexpr std::array<std::string_view, 5> level_words{"debug", "info", "warning", "error", "off"};
inline constexpr Key<Level> level{{.table = "log",
                                   .name = "level",
                                   .fallback = Level::info,
                                   .words = level_words,
                                   .takes = Takes::reload,
                                   .meaning = "From which level on events are written; \"off\": none."}};

inline constexpr Key<std::vector<std::string>> events{
    {.table = "log",
     .name = "events",
     .fallback = std::span<const std::string_view>(),
     .takes = Takes::reload,
     .meaning =
         "Events that count as another level than their own, as \"module=debug\"; \"off\": never written."}};

inline constexpr Key<std::int64_t> rate{
    {.table = "log",
     .name = "rate",
     .fallback = 0,
     .least = 0,
     .most = 100'000,
     .unit = "lines a second",
     .takes = Takes::reload,
     .meaning =
         "How many lines of each event are written, beyond `burst`; how many were left out is told; 0: all "
         "are."}};

inline constexpr Key<std::int64_t> burst{
    {.table = "log",
     .name = "burst",
     .fallback = 10,
     .least = 1,
     .most = 10'000,
     .unit = "lines",
     .takes = Takes::reload,
     .meaning = "How many of each event may come at once after a pause."}};

inline constexpr Key<Bytes> queue_bytes{
    {.table = "log",
     .name = "queue_bytes",
     .fallback = kibibytes(64),
     .least = kibibytes(32),
     .most = mebibytes(16),
     .takes = Takes::reload,
     .meaning =
         "How much may wait while nobody reads the lines; of one event no more than a quarter of it. What "
         "comes beyond is dropped and counted."}};

inline constexpr Key<std::int64_t> queue_lines{{.table = "log",
                                                .name = "queue_lines",
                                                .fallback = 256,
                                                .least = 16,
                                                .most = 100'000,
                                                .unit = "lines",
                                                .takes = Takes::reload,
                                                .meaning = "The same, counted in lines."}};

Table table();

}  // namespace flaxdoor::settings::log
