// [budget], [[budget_limit]] and [coordinator]: limits that all balancers of a fleet share. Balancers and the
// coordinator read the same file. The limits are off unless the file has [budget].
#pragma once

#include <array>

#include "settings/schema.h"

namespace flaxdoor::settings::budget {

enum class Counts { requests, attempts, retries, concurrency };
inline constexpr std::array<std::string_view, 4> counts_words{"requests", "attempts", "retries",
                                                              "concurrency"};

// Greatest number of limits: a message of a balancer has room for this many if all names have the greatest
// length.
inline constexpr std::size_t max_limits = 200;

// ------------------------------------------------------------------------------------------------ [budget]

inline constexpr Key<Address> coordinator{
    {.table = "budget",
     .name = "coordinator",
     .takes = Takes::restart,
     .meaning = "Where the coordinator is reached, by its IPv4 address."}};

inline constexpr Key<std::int64_t> balancers{{.table = "budget",
                                              .name = "balancers",
                                              .least = 1,
                                              .most = 1024,
                                              .unit = "balancers",
                                              .takes = Takes::restart,
                                              .meaning =
                                                  "How many balancers there are at most, each under a name "
                                                  "of its own (`name` in NODE_CONFIG): for so many a "
                                                  "reserve is set aside."}};

// The ranges of term and clock_drift need no check between the two keys: twice the greatest drift is a tenth
// of a term, and the shortest term has time for ten round trips of 20 ms.
inline constexpr Key<Micros> term{
    {.table = "budget",
     .name = "term",
     .fallback = std::chrono::seconds(3),
     .least = std::chrono::milliseconds(200),
     .most = std::chrono::minutes(1),
     .takes = Takes::restart,
     .meaning = "For how long a share is leased: so long what a dead balancer had is missed, and so long a "
                "balancer keeps its share without the coordinator."}};

inline constexpr Key<double> clock_drift{
    {.table = "budget",
     .name = "clock_drift",
     .fallback = 0.001,
     .least = 0.0001,
     .most = 0.05,
     .unit = "share",
     .takes = Takes::restart,
     .meaning = "How far the rate of each machine's clock may be off; a lease is so much shorter at its "
                "holder."}};

inline constexpr Key<Micros> longest_deadline{
    {.table = "budget",
     .name = "longest_deadline",
     .fallback = std::chrono::seconds(30),
     .least = std::chrono::milliseconds(100),
     .most = std::chrono::hours(1),
     .takes = Takes::restart,
     .meaning = "The longest that an attempt under a budget of places may take; the places of a balancer "
                "that died are kept so long."}};

inline constexpr Key<std::int64_t> max_processes{
    {.table = "budget",
     .name = "max_processes",
     .fallback = 1024,
     .least = 1,
     .most = 10'000,
     .unit = "processes",
     .takes = Takes::restart,
     .meaning = "How many processes the coordinator knows at once, those included that have gone lately."}};

// ------------------------------------------------------------------------------------------ [[budget_limit]]

inline constexpr Key<std::string> limit_name{
    {.table = "budget_limit",
     .name = "name",
     .most = 64,
     .takes = Takes::restart,
     .meaning = "What the budget is called, of letters, digits, '-', '_' and '.'."}};

inline constexpr Key<Counts> counts{
    {.table = "budget_limit",
     .name = "counts",
     .words = counts_words,
     .takes = Takes::restart,
     .meaning = "What takes a permit: each request once, each attempt to a server, each attempt after a "
                "request's first, or each attempt for as long as it is under way."}};

inline constexpr OptionalKey<std::string> tenant{
    {.table = "budget_limit",
     .name = "tenant",
     .most = 253,
     .takes = Takes::restart,
     .meaning = "Only requests of this tenant, as the platform names it."}};

inline constexpr OptionalKey<std::string> of_class{
    {.table = "budget_limit",
     .name = "class",
     .most = 253,
     .takes = Takes::restart,
     .meaning = "Only requests of this class, as the platform names it."}};

inline constexpr OptionalKey<std::string> pool{{.table = "budget_limit",
                                                .name = "pool",
                                                .most = 253,
                                                .takes = Takes::restart,
                                                .meaning = "Only requests to this pool of servers."}};

inline constexpr OptionalKey<double> rate{
    {.table = "budget_limit",
     .name = "rate",
     .least = 0.001,
     .most = 1e6,
     .unit = "permits/s",
     .takes = Takes::restart,
     .meaning = "How many permits a second the whole fleet has; a thousandth of one apart."}};

inline constexpr OptionalKey<std::int64_t> burst{
    {.table = "budget_limit",
     .name = "burst",
     .least = 1,
     .most = 1'000'000,
     .unit = "permits",
     .takes = Takes::restart,
     .meaning = "How many may be saved up, over the whole fleet; without it as many as come in a second, "
                "and at least one."}};

inline constexpr OptionalKey<std::int64_t> places{
    {.table = "budget_limit",
     .name = "places",
     .least = 1,
     .most = 1'000'000,
     .unit = "attempts",
     .takes = Takes::restart,
     .meaning = "With counts = \"concurrency\": how many attempts may be under way at once, over the whole "
                "fleet."}};

inline constexpr OptionalKey<double> reserve_rate{
    {.table = "budget_limit",
     .name = "reserve_rate",
     .least = 0.001,
     .most = 1e6,
     .unit = "permits/s",
     .takes = Takes::restart,
     .meaning = "How much of the rate each balancer has for itself, with the coordinator or without."}};

inline constexpr OptionalKey<std::int64_t> reserve_burst{
    {.table = "budget_limit",
     .name = "reserve_burst",
     .least = 1,
     .most = 1'000'000,
     .unit = "permits",
     .takes = Takes::restart,
     .meaning = "How much of the burst goes with it; without it the same part as of the rate, and at least "
                "one."}};

inline constexpr OptionalKey<std::int64_t> reserve_places{
    {.table = "budget_limit",
     .name = "reserve_places",
     .least = 1,
     .most = 1'000'000,
     .unit = "attempts",
     .takes = Takes::restart,
     .meaning = "How many of the places each balancer has for itself; in force longest_deadline after its "
                "start."}};

// ------------------------------------------------------------------------------------------- [coordinator]

inline constexpr Key<Address> listen{
    {.table = "coordinator",
     .name = "listen",
     .least = 0,
     .takes = Takes::restart,
     .meaning = "Where `flaxdoor coordinator` listens; port 0: any that is free."}};

inline constexpr Key<Path> store{
    {.table = "coordinator",
     .name = "store",
     .takes = Takes::restart,
     .meaning = "The folder that its store has for itself; it is made when it is missing."}};

inline constexpr OptionalKey<Path> witness{
    {.table = "coordinator",
     .name = "witness",
     .takes = Takes::restart,
     .meaning = "A file that shows at a start that the store is the latest, so that no term has to be "
                "waited out; in a place that is never copied or restored with the store, such as /run."}};

// The amounts of a row in the units of budget/terms.h: the rate in thousandths of a permit per second, the
// size in whole permits or places. Both are rounded down, so that reserves which fit as written also fit
// after the conversion.
struct Size {
    std::int64_t rate = 0;
    std::int64_t size = 0;
};
[[nodiscard]] Size whole_of(const Row& row);    // for the whole fleet
[[nodiscard]] Size reserve_of(const Row& row);  // for one balancer

[[nodiscard]] Table table();
[[nodiscard]] Table limit_table();
[[nodiscard]] Table coordinator_table();
// Returns the checks between tables.
[[nodiscard]] std::vector<SchemaCheck> checks();

}  // namespace flaxdoor::settings::budget
