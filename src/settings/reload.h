// Determines what a changed settings file changes in a running program (SIGHUP). Settings that need a restart
// keep their old values.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "settings/faults.h"
#include "settings/values.h"

namespace flaxdoor::settings {

struct Change {
    std::string key;  // "http.idle_timeout", "route[\"a\"].share", or "route[\"a\"]" for a whole row
    Takes takes = Takes::restart;
    std::string was;  // as TOML; `was` and `will_be` are empty if there is no such value
    std::string will_be;
};

// Returns the differences in the order of the schema. Requires that both values have the same schema. Rows
// are matched by their unique key.
[[nodiscard]] std::vector<Change> changes(const Values& was, const Values& wanted);

struct Reload {
    Values values;              // the values in effect from now on
    std::vector<Change> taken;  // changes that are in effect
    std::vector<Change> held;   // changes that need a restart
};

// Merges the new values with those that stay until a restart. Returns faults if the merged values fail a
// check; the caller then keeps the old values.
[[nodiscard]] std::variant<Reload, Faults> reload(const Values& was, const Values& wanted);

// Formats a change for the log, as in "http.idle_timeout: \"5m\" to \"1m\"".
std::string line_of(const Change& change);

}  // namespace flaxdoor::settings
