#include "settings/tables/budget.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cmath>

#include "settings/values.h"

namespace flaxdoor::settings::budget {

namespace {

// A little is added for what a decimal loses as a binary fraction: 0.003 is three thousandths.
std::int64_t thousandths(double rate) { return static_cast<std::int64_t>(std::floor(rate * 1000 + 1e-6)); }

std::optional<Objection> no_plain_name(const Row& row) {
    const std::string name = row.get(limit_name);
    const bool plain = std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
               c == '_' || c == '.';
    });
    if (plain) return std::nullopt;
    return Objection{"no name of a budget: " + in_quotes(name), "use letters, digits, '-', '_' and '.'"};
}

bool counts_places(const Row& row) { return row.get(counts) == Counts::concurrency; }

std::optional<Objection> rate_and_places(const Row& row) {
    const auto unused = [&](bool given, const char* name) {
        return given ? std::optional(std::string(name)) : std::nullopt;
    };
    if (counts_places(row)) {
        if (!row.get(places)) return Objection{"no places are given", "give places"};
        for (const auto& name :
             {unused(row.get(rate).has_value(), "rate"), unused(row.get(burst).has_value(), "burst"),
              unused(row.get(reserve_rate).has_value(), "reserve_rate"),
              unused(row.get(reserve_burst).has_value(), "reserve_burst")}) {
            if (name)
                return Objection{*name + " does not go with counts = \"concurrency\"",
                                 "leave it out, and give places"};
        }
        return std::nullopt;
    }
    if (!row.get(rate)) return Objection{"no rate is given", "give rate"};
    for (const auto& name : {unused(row.get(places).has_value(), "places"),
                             unused(row.get(reserve_places).has_value(), "reserve_places")}) {
        if (name)
            return Objection{*name + " goes with counts = \"concurrency\" only",
                             "leave it out, and give rate"};
    }
    if (row.get(reserve_burst) && !row.get(reserve_rate))
        return Objection{"reserve_burst without reserve_rate", "give reserve_rate, or leave it out"};
    return std::nullopt;
}

// A table that is not given has no value of a key that must be.
bool has(const Row& row, std::string_view key) {
    return row.slots()[row.table().index_of(key)].value.has_value();
}

std::optional<Objection> no_address(const Row& row) {
    if (!has(row, "coordinator")) return std::nullopt;
    const std::string host = row.get(coordinator).host;
    in_addr room;
    if (inet_pton(AF_INET, host.c_str(), &room) == 1) return std::nullopt;
    return Objection{"no IPv4 address: " + in_quotes(host), "give the coordinator's address"};
}

std::optional<Objection> witness_in_store(const Row& row) {
    if (!has(row, "store")) return std::nullopt;
    const auto its = row.get(witness);
    std::string folder = row.get(store).text;
    while (folder.size() > 1 && folder.back() == '/') folder.pop_back();
    if (!its || (its->text != folder && its->text.rfind(folder + "/", 0) != 0)) return std::nullopt;
    return Objection{"the witness lies in the store's folder",
                     "put it where it does not travel with the store"};
}

Position place_of(const Row& row, std::string_view key) {
    const Row::Slot& slot = row.slots()[row.table().index_of(key)];
    return slot.given ? slot.key : row.place();
}

// Rows of the wrong kind have a fault of their own.
bool whole_given(const Row& row) {
    return counts_places(row) ? row.get(places).has_value() : row.get(rate).has_value();
}

// The first row whose reserves are more than its whole, by `key`, which is what was given of them.
template <class Over>
std::optional<Objection> beyond(const Values& values, const char* what, const char* key, Over over) {
    if (!values.given("budget")) return std::nullopt;
    const auto count = values.row("budget").get(balancers);
    for (const Row& row : values.rows("budget_limit")) {
        if (!whole_given(row) || !over(whole_of(row), reserve_of(row), count)) continue;
        const bool given = has(row, key);
        return Objection{"the reserves of " + std::to_string(count) + " balancers are more than " + what +
                             " of " + row.label(),
                         given ? std::string("lower ") + key + ", or raise " + what
                               : std::string("raise ") + what + ": each reserve has at least one of it",
                         place_of(row, given ? key : "reserve_rate")};
    }
    return std::nullopt;
}

std::optional<Objection> reserves_beyond_the_rate(const Values& values) {
    return beyond(values, "rate", "reserve_rate", [](Size whole, Size reserve, std::int64_t count) {
        return reserve.rate * count > whole.rate;
    });
}

std::optional<Objection> reserves_beyond_the_burst(const Values& values) {
    return beyond(values, "burst", "reserve_burst", [](Size whole, Size reserve, std::int64_t count) {
        return whole.rate > 0 && reserve.size * count > whole.size;
    });
}

std::optional<Objection> reserves_beyond_the_places(const Values& values) {
    return beyond(values, "places", "reserve_places", [](Size whole, Size reserve, std::int64_t count) {
        return whole.rate == 0 && reserve.size * count > whole.size;
    });
}

std::optional<Objection> without_budget(const Values& values) {
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
    const std::int64_t all = thousandths(row.get(rate).value_or(0));
    return {all, row.get(burst).value_or(std::max<std::int64_t>(all / 1000, 1))};
}

Size reserve_of(const Row& row) {
    if (counts_places(row)) return {0, row.get(reserve_places).value_or(0)};
    const auto its = row.get(reserve_rate);
    if (!its) return {};
    const Size whole = whole_of(row);
    const std::int64_t part = thousandths(*its);
    const std::int64_t same_part = whole.rate > 0 ? whole.size * part / whole.rate : 0;
    return {part, row.get(reserve_burst).value_or(std::max<std::int64_t>(same_part, 1))};
}

Table table() {
    return {.name = "budget",
            .kind = Kind::optional,
            .meaning =
                "Limits of the whole fleet: a coordinator divides them among its balancers by need. The "
                "same file is for both; the coordinator takes changed amounts of [[budget_limit]] with a "
                "SIGHUP, a balancer with a restart.",
            .settings = {coordinator, balancers, term, clock_drift, longest_deadline, max_processes},
            .checks = {{{"coordinator"}, "The coordinator is named by an IPv4 address.", no_address}}};
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
        .checks = {{{"name"}, "A name has letters, digits, '-', '_' and '.'.", no_plain_name},
                   {{"counts", "rate", "burst", "places", "reserve_rate", "reserve_burst", "reserve_places"},
                    "Places go with counts = \"concurrency\", a rate with all others.",
                    rate_and_places}},
        .unique = "name",
        .most_rows = limits_most};
}

Table coordinator_table() {
    return {.name = "coordinator",
            .kind = Kind::optional,
            .meaning = "The coordinator's own: read by `flaxdoor coordinator`, and by no balancer.",
            .settings = {listen, store, witness},
            .checks = {
                {{"witness", "store"}, "The witness does not lie in the store's folder.", witness_in_store}}};
}

std::vector<SchemaCheck> checks() {
    return {
        {{"budget_limit.reserve_rate", "budget_limit.counts", "budget_limit.rate", "budget.balancers"},
         "The `reserve_rate`s of all balancers together are no more than `rate`.",
         reserves_beyond_the_rate},
        {{"budget_limit.reserve_burst", "budget_limit.reserve_rate", "budget_limit.counts",
          "budget_limit.rate", "budget_limit.burst", "budget.balancers"},
         "What of the burst goes with them is together no more than `burst`.",
         reserves_beyond_the_burst},
        {{"budget_limit.reserve_places", "budget_limit.counts", "budget_limit.places", "budget.balancers"},
         "The `reserve_places` of all balancers together are no more than `places`.",
         reserves_beyond_the_places},
        {{"budget_limit.name", "coordinator.listen"},
         "Budgets and a coordinator go with the table [budget].",
         without_budget}};
}

}  // namespace flaxdoor::settings::budget
