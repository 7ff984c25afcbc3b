// Renders the list of settings for operators: as a Markdown page, as a table for a terminal, and as an
// example file.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "settings/schema.h"

namespace flaxdoor::settings {

// Returns the content of docs/operators/settings.md (Markdown).
std::string page(const Schema& schema);

// Formats lines of words as columns; each column is as wide as its longest word.
std::string columns(const std::vector<std::vector<std::string>>& lines);

// Returns the settings as columns of text, one line per setting.
std::string listing(const Schema& schema);

// Returns a settings file that sets every key to its default, with a description above each key. Keys without
// a default, optional tables and rows are commented out. If `table` is not empty, only that table is
// included.
std::string example(const Schema& schema, std::string_view table = {});

}  // namespace flaxdoor::settings
