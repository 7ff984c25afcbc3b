// One event as one line, with its newline: the words that people read, JSON, or logfmt. Whatever bytes a value has, the
// line has one newline, at its end, and none but printable ASCII in JSON and logfmt (what is no UTF-8 becomes U+FFFD).
//
// A line has `line_most` bytes at most, which a pipe takes whole or not at all; of one that would be longer the values are
// cut, and JSON and logfmt say so with a field `cut`.
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "core/event.h"
#include "core/ports.h"

namespace flaxdoor::log {

enum class Format : std::uint8_t { text, json, logfmt };

constexpr std::size_t line_most = 4096;

std::string_view word_of(core::Level level);

// `at` is Unix time, and `level` what the event counts as. Text has neither: whoever collects the lines writes the time
// beside them.
std::string line_of(Format format, Time at, core::Level level, const core::Event& event,
                    std::span<const core::Value> values);

}  // namespace flaxdoor::log
