// Helpers that build route tables.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "routes/table.h"

namespace flaxdoor::routes::test {

inline Match prefix(std::string path) { return {{PathKind::prefix, std::move(path)}, "", {}, {}}; }
inline Match exact(std::string path) { return {{PathKind::exact, std::move(path)}, "", {}, {}}; }
inline Match regex(std::string path) { return {{PathKind::regex, std::move(path)}, "", {}, {}}; }

inline std::shared_ptr<const Rule> rule(std::vector<Match> matches, std::string pool = "p") {
    Rule out;
    out.matches = std::move(matches);
    Backend backend;
    backend.pool = std::move(pool);
    out.backends.push_back(backend);
    return std::make_shared<const Rule>(std::move(out));
}

inline Route route(std::string name, std::vector<std::string> hosts,
                   std::vector<std::shared_ptr<const Rule>> rules, std::int64_t created = 0) {
    return {std::move(name), created, std::move(hosts), std::move(rules)};
}

inline std::shared_ptr<const Table> table(std::vector<Route> routes, std::string host = "") {
    TableSpec spec;
    spec.listeners.push_back({"l", std::move(host), std::move(routes)});
    auto built = Table::build(std::move(spec));
    const auto* fault = std::get_if<std::string>(&built);
    EXPECT_EQ(fault, nullptr) << *fault;
    return fault ? nullptr : std::get<std::shared_ptr<const Table>>(built);
}

// Returns the pool that a request is routed to, or "404" if no rule matches.
inline std::string to(const Table& table, std::string_view host, std::string_view target,
                      std::string_view method = "GET",
                      const std::vector<std::pair<std::string, std::string>>& headers = {}) {
    http::Fields fields;
    for (const auto& [name, value] : headers) fields.add(name, value);
    const Target split = split_target(target);
    EXPECT_EQ(split.why, "");
    const Hit hit = table.match({method, host, split.path, split.query, &fields});
    return hit.rule ? hit.rule->backends.front().pool : "404";
}

}  // namespace flaxdoor::routes::test
