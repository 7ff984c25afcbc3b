// Compares the page of events with the table of events: each event has a row with its level, fields and text, and each row
// belongs to an event.
#include "log/events.h"

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "log/format.h"

namespace flaxdoor::log::test {
namespace {

std::string content_of(const std::string& path) {
    std::ifstream file(std::string(SOURCE_ROOT) + "/" + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

TEST(Events, ThePageListsEveryEvent) {
    std::map<std::string, std::string> rows;  // from an event's name to its row
    std::istringstream page(content_of("docs/operators/log.md"));
    bool events_begin = false;
    for (std::string row; std::getline(page, row);) {
        events_begin = events_begin || row.starts_with("| event |");
        if (!events_begin || !row.starts_with("| `")) continue;
        const auto name = row.substr(3, row.find('`', 3) - 3);
        EXPECT_TRUE(rows.emplace(name, row).second) << "listed twice on the page: " << name;
    }
    for (const core::Event* const event : events::all) {
        std::string start =
            "| `" + std::string(event->name) + "` | " + std::string(level_name(event->level)) + " | ";
        for (std::size_t i = 0; i < event->count; ++i)
            start += (i ? ", `" : "`") + std::string(event->names[i]) + "`";
        start += std::string(event->count ? " " : "") + "| `" + std::string(event->text) + "` | ";
        const auto row = rows.find(std::string(event->name));
        if (row == rows.end()) {
            ADD_FAILURE() << "missing on the page: " << start;
            continue;
        }
        EXPECT_TRUE(row->second.starts_with(start)) << row->second << "\nshould start with\n" << start;
        rows.erase(row);
    }
    for (const auto& [name, row] : rows) ADD_FAILURE() << "row of an unknown event: " << row;
}

// Every event that the headers declare is in the table, and its name is unique.
TEST(Events, TheTableListsEveryDeclaredEvent) {
    std::set<std::string_view> names;
    for (const core::Event* const event : events::all)
        EXPECT_TRUE(names.insert(event->name).second) << event->name;
    std::size_t declared = 0;
    for (const char* const header : {"src/log/events.h", "src/core/event.h"}) {
        const std::string text = content_of(header);
        for (auto at = text.find("inline constexpr auto "); at != text.npos;
             at = text.find("inline constexpr auto ", at + 1)) {
            ++declared;
        }
    }
    EXPECT_EQ(declared, events::all.size());
}

}  // namespace
}  // namespace flaxdoor::log::test
