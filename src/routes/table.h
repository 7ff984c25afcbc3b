// The route table of one port. It is immutable: a request keeps using the table with which it started.
//
// Threading: a Table may be read from any thread.   Ownership: a Hit points into its Table.
// Errors:    build() returns a text that names the invalid regular expression, and no table.
// Format:    matching and precedence follow HTTPRoute of the Gateway API v1; docs/design/gateway.md,
//            "Matching", describes what it leaves open.
// Cost:      the work for a request grows with the segments of its path and with the number of matches that
//            share its host and path.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "http/message.h"
#include "routes/rule.h"

namespace flaxdoor::routes {

// The parts of a request that routing uses.
struct RequestView {
    std::string_view method;
    std::string_view host;   // lower case, without port
    std::string_view path;   // begins with '/'
    std::string_view query;  // the part after '?'
    const http::Fields* fields = nullptr;
};

// Parts of a request target; the views point into it. `why` is empty unless the target can't be routed; then
// it is the error message.
struct Target {
    std::string_view path, query;
    std::string why;
};
[[nodiscard]] Target split_target(std::string_view target);
// Normalizes the value of a Host field: lower case, without port and trailing dot. Returns an empty string if
// it is unusable.
[[nodiscard]] std::string host_of(std::string_view field);

// Returns whether `host` matches `pattern`: an exact name, "*.suffix" (one label or more), or empty for any
// host.
[[nodiscard]] bool host_matches(std::string_view pattern, std::string_view host);

// Returns the error message of an invalid regular expression, or an empty string for a valid one.
[[nodiscard]] std::string regex_fault(const std::string& pattern);

// Result of Table::match(). Pointers are null where nothing matched.
struct Hit {
    const Listener* listener = nullptr;
    const Route* route = nullptr;  // null: no route of the listener matches
    const Rule* rule = nullptr;
    const Match* match = nullptr;
    std::size_t rule_number = 0, match_number = 0;  // counted from 0
};

class Table {
public:
    static std::variant<std::shared_ptr<const Table>, std::string> build(TableSpec spec);
    ~Table();
    Table(const Table&) = delete;
    Table& operator=(const Table&) = delete;

    // Returns the listener of a host, or null if there is none.
    const Listener* listener_of(std::string_view host) const;
    Hit match(const RequestView& request) const;

    const TableSpec& spec() const;
    std::size_t size() const;  // number of matches

private:
    struct Impl;
    explicit Table(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

// Selects a backend by weight. `chance` is a random number in [0, 1). Returns null if no backend has a
// weight.
[[nodiscard]] const Backend* choose(const Rule& rule, double chance);

}  // namespace flaxdoor::routes
