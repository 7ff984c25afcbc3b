#include "settings/tables/budget.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cmath>

#include "settings/values.h"

namespace flaxdoor::settings::budget {

namespace {

// The small addend compensates for decimals that have no exact binary fraction: 0.003 gives three
// thousandths.
std::int64_t to_thousandths(double rate) { return static_cast<std::int64_t>(std::floor(rate * 1000 + 1e-6)); }

std::optional<Objection> check_limit_name(const Row& row) {
    const std::string name = row.get(limit_name);
    const bool valid = std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
               c == '_' || c == '.';
    });
    if (valid) return std::nullopt;
    return Objection{"invalid budget name: " + in_quotes(name), "use letters, digits, '-', '_' and '.'"};
}

bool counts_places(const Row& row) { return row.get(counts) == Counts::concurrency; }

std::optional<Objection> check_amount_keys(const Row& row) {
    const auto name_if_set = [&](bool given, const char* name) {
        return given ? std::optional(std::string(name)) : std::nullopt;
    };
    if (counts_places(row)) {
        if (!row.get(places)) return Objection{"places is missing", "set places"};
        for (const auto& name : {name_if_set(row.get(rate).has_value(), "rate"),
                                 name_if_set(row.get(burst).has_value(), "burst"),
                                 name_if_set(row.get(reserve_rate).has_value(), "reserve_rate"),
                                 name_if_set(row.get(reserve_burst).has_value(), "reserve_burst")}) {
            if (name)
                return Objection{*name + " can't be combined with counts = \"concurrency\"",
                                 "remove it and set places"};
        }
        return std::nullopt;
    }
    if (!row.get(rate)) return Objection{"rate is missing", "set rate"};
    for (const auto& name : {name_if_set(row.get(places).has_value(), "places"),
                             name_if_set(row.get(reserve_places).has_value(), "reserve_places")}) {
        if (name) return Objection{*name + " requires counts = \"concurrency\"", "remove it and set rate"};
    }
    if (row.get(reserve_burst) && !row.get(reserve_rate))
        return Objection{"reserve_burst without reserve_rate", "set reserve_rate or remove reserve_burst"};
    return std::nullopt;
}

// Returns whether the row has a value for the key. A table that the file does not have has no values for
// required keys.
bool has(const Row& row, std::string_view key) {
    return row.slots()[row.table().index_of(key)].value.has_value();
}

std::optional<Objection> check_coordinator_address(const Row& row) {
    if (!has(row, "coordinator")) return std::nullopt;
    const std::string host = row.get(coordinator).host;
    in_addr parsed;
    if (inet_pton(AF_INET, host.c_str(), &parsed) == 1) return std::nullopt;
    return Objection{"not an IPv4 address: " + in_quotes(host), "set the coordinator's IPv4 address"};
}

std::optional<Objection> check_witness_location(const Row& row) {
    if (!has(row, "store")) return std::nullopt;
    const auto value = row.get(witness);
    std::string folder = row.get(store).text;
    while (folder.size() > 1 && folder.back() == '/') folder.pop_back();
    if (!value || (value->text != folder && value->text.rfind(folder + "/", 0) != 0)) return std::nullopt;
    return Objection{"the witness is in the store's folder", "put it where it is not copied with the store"};
}

Position place_of(const Row& row, std::string_view key) {
    const Row::Slot& slot = row.slots()[row.table().index_of(key)];
    return slot.given ? slot.key : row.place();
}

// Returns whether the row has the amount that its kind requires. check_amount_keys() reports rows that lack
// it.
bool has_whole(const Row& row) {
    return counts_places(row) ? row.get(places).has_value() : row.get(rate).has_value();
}

// Reports the first row for which `over` says that the reserves of all balancers exceed the whole fleet's
// amount. The fault is at `key` if the row sets it, else at reserve_rate.
template <class Over>
std::optional<Objection> check_reserves(const Values& values, const char* what, const char* key, Over over) {
    if (!values.given("budget")) return std::nullopt;
    const auto count = values.row("budget").get(balancers);
    for (const Row& row : values.rows("budget_limit")) {
        if (!has_whole(row) || !over(whole_of(row), reserve_of(row), count)) continue;
        const bool given = has(row, key);
        return Objection{
            "the reserves of " + std::to_string(count) + " balancers exceed " + what + " of " + row.label(),
            given ? std::string("lower ") + key + ", or raise " + what
                  : std::string("raise ") + what + ": each reserve is at least 1",
            place_of(row, given ? key : "reserve_rate")};
    }
    return std::nullopt;
}

std::optional<Objection> check_rate_reserves(const Values& values) {
    return check_reserves(values, "rate", "reserve_rate", [](Size whole, Size reserve, std::int64_t count) {
        return reserve.rate * count > whole.rate;
    });
}

std::optional<Objection> check_burst_reserves(const Values& values) {
    return check_reserves(values, "burst", "reserve_burst", [](Size whole, Size reserve, std::int64_t count) {
        return whole.rate > 0 && reserve.size * count > whole.size;
    });
}

std::optional<Objection> check_place_reserves(const Values& values) {
    return check_reserves(values, "places", "reserve_places",
                          [](Size whole, Size reserve, std::int64_t count) {
                              return whole.rate == 0 && reserve.size * count > whole.size;
                          });
}

std::optional<Objection> check_budget_table(const Values& values) {
    if (values.given("budget")) return std::nullopt;
    const auto& rows = values.rows("budget_limit");
    if (!rows.empty())
        return Objection{"[[budget_limit]] without [budget]", "add [budget] with coordinator and balancers",
                         rows.front().place()};
    if (values.given("coordinator"))
        return Objection{"[coordinator] without [budget]", "add [budget] with coordinator and balancers",
                         values.row("coordinator").place()};
    return std::nullopt;
}

}  // namespace

Size whole_of(const Row& row) {
    if (counts_places(row)) return {0, row.get(places).value_or(0)};
    const std::int64_t fleet_rate = to_thousandths(row.get(rate).value_or(0));
    return {fleet_rate, row.get(burst).value_or(std::max<std::int64_t>(fleet_rate / 1000, 1))};
}

Size reserve_of(const Row& row) {
    if (counts_places(row)) return {0, row.get(reserve_places).value_or(0)};
    const auto value = row.get(reserve_rate);
    if (!value) return {};
    const Size whole = whole_of(row);
    const std::int64_t reserve_rate_thousandths = to_thousandths(*value);
    const std::int64_t proportional_burst =
        whole.rate > 0 ? whole.size * reserve_rate_thousandths / whole.rate : 0;
    return {reserve_rate_thousandths,
            row.get(reserve_burst).value_or(std::max<std::int64_t>(proportional_burst, 1))};
}

Table table() {
    return {
        .name = "budget",
        .kind = Kind::optional,
        .meaning =
            "Limits of the whole fleet: a coordinator divides them among its balancers by need. The "
            "same file is for both; the coordinator takes changed amounts of [[budget_limit]] with a "
            "SIGHUP, a balancer with a restart.",
        .settings = {coordinator, balancers, term, clock_drift, longest_deadline, max_processes},
        .checks = {
            {{"coordinator"}, "The coordinator is named by an IPv4 address.", check_coordinator_address}}};
}

Table limit_table() {
    return {
        .name = "budget_limit",
        .kind = Kind::many,
        .meaning =
            "One budget. A request falls under each whose tenant, class and pool are its own, and needs "
            "a permit of all of them.",
        .settings = {limit_name, counts, tenant, of_class, pool, rate, burst, places, reserve_rate,
                     reserve_burst, reserve_places},
        .checks = {{{"name"}, "A name has letters, digits, '-', '_' and '.'.", check_limit_name},
                   {{"counts", "rate", "burst", "places", "reserve_rate", "reserve_burst", "reserve_places"},
                    "Places go with counts = \"concurrency\", a rate with all others.",
                    check_amount_keys}},
        .unique = "name",
        .most_rows = max_limits};
}

Table coordinator_table() {
    return {.name = "coordinator",
            .kind = Kind::optional,
            .meaning = "The coordinator's own: read by `flaxdoor coordinator`, and by no balancer.",
            .settings = {listen, store, witness},
            .checks = {{{"witness", "store"},
                        "The witness does not lie in the store's folder.",
                        check_witness_location}}};
}

std::vector<SchemaCheck> checks() {
    return {
        {{"budget_limit.reserve_rate", "budget_limit.counts", "budget_limit.rate", "budget.balancers"},
         "The `reserve_rate`s of all balancers together are no more than `rate`.",
         check_rate_reserves},
        {{"budget_limit.reserve_burst", "budget_limit.reserve_rate", "budget_limit.counts",
          "budget_limit.rate", "budget_limit.burst", "budget.balancers"},
         "What of the burst goes with them is together no more than `burst`.",
         check_burst_reserves},
        {{"budget_limit.reserve_places", "budget_limit.counts", "budget_limit.places", "budget.balancers"},
         "The `reserve_places` of all balancers together are no more than `places`.",
         check_place_reserves},
        {{"budget_limit.name", "coordinator.listen"},
         "Budgets and a coordinator go with the table [budget].",
         check_budget_table}};
}

}  // namespace flaxdoor::settings::budget
