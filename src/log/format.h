// Formats an event as one line that ends with a newline: as text for people, as JSON, or as logfmt. Whatever bytes a value
// contains, the only newline is the last byte. JSON and logfmt lines contain printable ASCII only; bytes that are not valid
// UTF-8 become U+FFFD.
//
// A line has at most `max_line_bytes` bytes, which a pipe writes atomically. In a longer line, values are truncated; JSON
// and logfmt mark that with a field `cut`.
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "core/event.h"
#include "core/ports.h"

namespace flaxdoor::log {

enum class Format : std::uint8_t { text, json, logfmt };

constexpr std::size_t max_line_bytes = 4096;

std::string_view level_name(core::Level level);

// `at` is Unix time. `level` is the configured level of the event. The text format contains neither: the collector of the
// lines (such as journald) records the time itself.
std::string format_line(Format format, Time at, core::Level level, const core::Event& event,
                        std::span<const core::Value> values);

}  // namespace flaxdoor::log
