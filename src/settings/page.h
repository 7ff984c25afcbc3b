// The list of settings for people: the page in docs/operators, a table for a terminal, an example file.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "settings/schema.h"

namespace flaxdoor::settings {

// Markdown, as docs/operators/settings.md holds it.
std::string page(const Schema& schema);

// Lines of words, each column as wide as it must be.
std::string columns(const std::vector<std::vector<std::string>>& lines);

// Columns of text, one line a setting.
std::string listing(const Schema& schema);

// A file that gives every setting its default, each with its meaning above it. What has no default, and rows,
// stand there as comments. With a table's name only that table.
std::string example(const Schema& schema, std::string_view table = {});

}  // namespace flaxdoor::settings
