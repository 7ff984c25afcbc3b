// What an experiment's file may say. Read by the settings' own reader, so that every fault is named with its
// line, units are wanted and unknown keys are errors.
#pragma once

#include <array>

#include "experiment/experiment.h"
#include "settings/schema.h"

namespace flaxdoor::lab::keys {

using settings::Key;

inline constexpr std::array<std::string_view, 3> effect_words{"safe", "keyed", "unsafe"};
inline constexpr std::array<std::string_view, 2> group_words{"all", "zone"};
inline constexpr std::array<std::string_view, 4> law_words{"fixed", "exponential", "lognormal", "pareto"};
inline constexpr std::array<std::string_view, 2> roster_words{"pushed", "asked"};
inline constexpr std::array<std::string_view, 3> repeats_words{"none", "blind", "heeding"};
inline constexpr std::array<std::string_view, 21> trouble_words{
    "burst",         "tenant_flood", "heavy",        "shared_slow", "slow",           "failing",
    "hang",          "crash",        "drain",        "replace",     "kill_balancers", "roll_balancers",
    "zone_lost",     "zone_cut",     "answers_lost", "resets",      "late_connect",   "roster_late",
    "roster_silent", "roster_down",  "primary_lost"};
inline constexpr std::array<std::string_view, 9> of_words{
    "rules", "served", "answered", "refused", "failed", "p99", "recovers", "falls", "memory"};

namespace experiment {

inline constexpr Key<std::string> name{{.table = "experiment",
                                        .name = "name",
                                        .most = 63,
                                        .takes = settings::Takes::restart,
                                        .meaning = "What the experiment is called."}};
inline constexpr Key<std::string> question{{.table = "experiment",
                                            .name = "question",
                                            .fallback = "",
                                            .least = 0,
                                            .takes = settings::Takes::restart,
                                            .meaning = "The question that it answers, in a sentence."}};
inline constexpr Key<Micros> lasts{{.table = "experiment",
                                    .name = "lasts",
                                    .fallback = std::chrono::seconds(60),
                                    .least = std::chrono::milliseconds(100),
                                    .most = std::chrono::hours(24),
                                    .takes = settings::Takes::restart,
                                    .meaning = "How long calls come."}};
inline constexpr Key<Micros> settles{
    {.table = "experiment",
     .name = "settles",
     .fallback = std::chrono::seconds(2),
     .takes = settings::Takes::restart,
     .meaning = "How much of the beginning is not counted in shares and percentiles."}};
inline constexpr Key<std::int64_t> first_seed{{.table = "experiment",
                                               .name = "first_seed",
                                               .fallback = 1,
                                               .least = 0,
                                               .takes = settings::Takes::restart,
                                               .meaning = "The first seed."}};
inline constexpr Key<std::int64_t> seeds{{.table = "experiment",
                                          .name = "seeds",
                                          .fallback = 3,
                                          .least = 1,
                                          .most = 1000,
                                          .unit = "seeds",
                                          .takes = settings::Takes::restart,
                                          .meaning = "How many worlds are drawn for each variant."}};
inline constexpr Key<Micros> grid{
    {.table = "experiment",
     .name = "grid",
     .fallback = Micros{0},
     .most = std::chrono::seconds(10),
     .takes = settings::Takes::restart,
     .meaning = "Over 0, everything happens at whole multiples of it: for `explore`."}};
inline constexpr Key<bool> real{
    {.table = "experiment",
     .name = "real",
     .fallback = false,
     .takes = settings::Takes::restart,
     .meaning = "Whether a part of it is also played by real processes on loopback."}};

}  // namespace experiment

namespace real {

inline constexpr Key<std::int64_t> balancers{{.table = "real",
                                              .name = "balancers",
                                              .fallback = 2,
                                              .least = 1,
                                              .most = 32,
                                              .unit = "balancers",
                                              .takes = settings::Takes::restart,
                                              .meaning = "How many real balancers there are at most."}};
inline constexpr Key<std::int64_t> servers{
    {.table = "real",
     .name = "servers",
     .fallback = 6,
     .least = 1,
     .most = 200,
     .unit = "servers",
     .takes = settings::Takes::restart,
     .meaning = "How many stand-in nodes there are at most at the beginning."}};
inline constexpr Key<Micros> lasts{
    {.table = "real",
     .name = "lasts",
     .fallback = std::chrono::seconds(20),
     .least = std::chrono::milliseconds(100),
     .most = std::chrono::hours(1),
     .takes = settings::Takes::restart,
     .meaning = "How long it goes on at most; troubles come and go by the same proportion."}};
inline constexpr Key<double> rate_share{{.table = "real",
                                         .name = "rate_share",
                                         .fallback = 1.0,
                                         .least = 0.001,
                                         .most = 10.0,
                                         .unit = "share",
                                         .takes = settings::Takes::restart,
                                         .meaning = "Of the calls that each server has in the whole "
                                                    "experiment, for a machine that can not carry them."}};
inline constexpr Key<double> share_within{
    {.table = "real",
     .name = "share_within",
     .fallback = 0.03,
     .least = 0.0,
     .most = 1.0,
     .unit = "share",
     .takes = settings::Takes::restart,
     .meaning = "How far the served share may part from what was foretold."}};
inline constexpr Key<double> p50_within{{.table = "real",
                                         .name = "p50_within",
                                         .fallback = 1.5,
                                         .least = 1.0,
                                         .most = 100.0,
                                         .unit = "times",
                                         .takes = settings::Takes::restart,
                                         .meaning = "By which factor p50 may part."}};
inline constexpr Key<double> p99_within{{.table = "real",
                                         .name = "p99_within",
                                         .fallback = 2.0,
                                         .least = 1.0,
                                         .most = 100.0,
                                         .unit = "times",
                                         .takes = settings::Takes::restart,
                                         .meaning = "By which factor p99 may part."}};
inline constexpr Key<Micros> span_within{
    {.table = "real",
     .name = "span_within",
     .fallback = std::chrono::milliseconds(3),
     .takes = settings::Takes::restart,
     .meaning = "Percentiles that differ by no more than this do not part, whatever the factor."}};

}  // namespace real

namespace fleet {

inline constexpr Key<std::int64_t> balancers{{.table = "fleet",
                                              .name = "balancers",
                                              .fallback = 12,
                                              .least = 1,
                                              .most = 10000,
                                              .unit = "balancers",
                                              .takes = settings::Takes::restart,
                                              .meaning = "How many balancers there are."}};
inline constexpr Key<Micros> front_notices{
    {.table = "fleet",
     .name = "front_notices",
     .fallback = std::chrono::seconds(2),
     .most = std::chrono::minutes(5),
     .takes = settings::Takes::restart,
     .meaning = "How long the layer before the balancers sends to one that has died."}};
inline constexpr Key<bool> knows_start{
    {.table = "fleet",
     .name = "knows_start",
     .fallback = true,
     .takes = settings::Takes::restart,
     .meaning = "Whether a balancer starts with the list of the beginning; else with none."}};

inline constexpr Key<bool> door{{.table = "fleet",
                                 .name = "door",
                                 .fallback = false,
                                 .meaning = "Whether requests wait at the door, fair by tenant and client."}};

}  // namespace fleet

namespace zone {

inline constexpr Key<std::string> name{{.table = "zone",
                                        .name = "name",
                                        .most = 63,
                                        .takes = settings::Takes::restart,
                                        .meaning = "What the zone is called."}};
inline constexpr Key<double> traffic{{.table = "zone",
                                      .name = "traffic",
                                      .fallback = 1.0,
                                      .least = 0.0,
                                      .most = 1000.0,
                                      .unit = "parts",
                                      .takes = settings::Takes::restart,
                                      .meaning = "Its part of the clients and balancers."}};
inline constexpr Key<double> servers{{.table = "zone",
                                      .name = "servers",
                                      .fallback = 1.0,
                                      .least = 0.0,
                                      .most = 1000.0,
                                      .unit = "parts",
                                      .takes = settings::Takes::restart,
                                      .meaning = "Its part of the servers."}};

}  // namespace zone

namespace of_class {

inline constexpr Key<std::string> name{{.table = "class",
                                        .name = "name",
                                        .most = 63,
                                        .takes = settings::Takes::restart,
                                        .meaning = "What the class is called."}};
inline constexpr Key<double> share{{.table = "class",
                                    .name = "share",
                                    .fallback = 1.0,
                                    .least = 0.0,
                                    .most = 1000.0,
                                    .unit = "parts",
                                    .takes = settings::Takes::restart,
                                    .meaning = "Its part of all calls."}};
inline constexpr Key<Micros> aim{{.table = "class",
                                  .name = "aim",
                                  .fallback = std::chrono::milliseconds(150),
                                  .least = std::chrono::milliseconds(1),
                                  .takes = settings::Takes::restart,
                                  .meaning = "An answer within this earns its full worth."}};
inline constexpr Key<Micros> deadline{{.table = "class",
                                       .name = "deadline",
                                       .fallback = std::chrono::milliseconds(750),
                                       .least = std::chrono::milliseconds(1),
                                       .takes = settings::Takes::restart,
                                       .meaning = "The longest that a client waits."}};
inline constexpr Key<double> worth{{.table = "class",
                                    .name = "worth",
                                    .fallback = 1.0,
                                    .least = 0.0,
                                    .most = 1000.0,
                                    .unit = "points",
                                    .takes = settings::Takes::restart,
                                    .meaning = "What an answer in time is worth."}};
inline constexpr Key<double> late_worth{{.table = "class",
                                         .name = "late_worth",
                                         .fallback = 0.3,
                                         .least = 0.0,
                                         .most = 1.0,
                                         .unit = "share",
                                         .takes = settings::Takes::restart,
                                         .meaning = "The share of it that one after the aim still earns."}};
inline constexpr Key<Effect> effect{
    {.table = "class",
     .name = "effect",
     .fallback = Effect::safe,
     .words = effect_words,
     .takes = settings::Takes::restart,
     .meaning = "Whether a call may run twice: safe; keyed, where servers drop repeats; unsafe, never."}};
inline constexpr Key<DeduplicationScope> group{
    {.table = "class",
     .name = "group",
     .fallback = DeduplicationScope::zone,
     .words = group_words,
     .takes = settings::Takes::restart,
     .meaning = "Which servers together drop the repeats of a keyed call."}};
inline constexpr Key<Micros> window{{.table = "class",
                                     .name = "window",
                                     .fallback = std::chrono::milliseconds(1500),
                                     .takes = settings::Takes::restart,
                                     .meaning = "For how long they do."}};
inline constexpr Key<Micros> work{{.table = "class",
                                   .name = "work",
                                   .fallback = std::chrono::milliseconds(10),
                                   .least = std::chrono::microseconds(1),
                                   .most = std::chrono::minutes(10),
                                   .takes = settings::Takes::restart,
                                   .meaning = "The mean work of a call, on a core of speed 1."}};
inline constexpr Key<Law> law{{.table = "class",
                               .name = "law",
                               .fallback = Law::exponential,
                               .words = law_words,
                               .takes = settings::Takes::restart,
                               .meaning = "How its work is spread."}};
inline constexpr Key<double> spread{
    {.table = "class",
     .name = "spread",
     .fallback = 1.0,
     .least = 0.01,
     .most = 100.0,
     .takes = settings::Takes::restart,
     .meaning = "Lognormal: the deviation of the logarithm; Pareto: the exponent, over 1."}};

}  // namespace of_class

namespace tenant {

inline constexpr Key<std::string> name{{.table = "tenant",
                                        .name = "name",
                                        .most = 63,
                                        .takes = settings::Takes::restart,
                                        .meaning = "What the tenant is called."}};
inline constexpr Key<double> share{{.table = "tenant",
                                    .name = "share",
                                    .fallback = 1.0,
                                    .least = 0.0,
                                    .most = 1000.0,
                                    .unit = "parts",
                                    .takes = settings::Takes::restart,
                                    .meaning = "Its part of the clients."}};
inline constexpr Key<double> quota{
    {.table = "tenant",
     .name = "quota",
     .fallback = 0.0,
     .least = 0.0,
     .unit = "calls a second",
     .takes = settings::Takes::restart,
     .meaning = "What it may send within its share, over all balancers; 0: no quota."}};
inline constexpr Key<double> fraction{{.table = "tenant",
                                       .name = "fraction",
                                       .fallback = 0.0,
                                       .least = 0.0,
                                       .most = 1.0,
                                       .unit = "share",
                                       .takes = settings::Takes::restart,
                                       .meaning = "Its share of the service; 0: not told."}};

}  // namespace tenant

namespace servers {

inline constexpr Key<std::int64_t> count{{.table = "servers",
                                          .name = "count",
                                          .fallback = 12,
                                          .least = 1,
                                          .most = 100000,
                                          .unit = "servers",
                                          .takes = settings::Takes::restart,
                                          .meaning = "How many there are at the beginning."}};
inline constexpr Key<std::int64_t> cores{{.table = "servers",
                                          .name = "cores",
                                          .fallback = 1,
                                          .least = 1,
                                          .most = 1024,
                                          .unit = "cores",
                                          .takes = settings::Takes::restart,
                                          .meaning = "How many calls a server works on at once."}};
inline constexpr Key<double> speed_least{{.table = "servers",
                                          .name = "speed_least",
                                          .fallback = 1.0,
                                          .least = 0.01,
                                          .most = 100.0,
                                          .takes = settings::Takes::restart,
                                          .meaning = "The slowest core; each server draws its own."}};
inline constexpr Key<double> speed_most{{.table = "servers",
                                         .name = "speed_most",
                                         .fallback = 1.0,
                                         .least = 0.01,
                                         .most = 100.0,
                                         .takes = settings::Takes::restart,
                                         .meaning = "The fastest core."}};
inline constexpr Key<std::int64_t> waiting_room{
    {.table = "servers",
     .name = "waiting_room",
     .fallback = 64,
     .least = 0,
     .most = 1000000,
     .unit = "calls",
     .takes = settings::Takes::restart,
     .meaning = "How many wait for a core; more are turned away."}};
inline constexpr Key<std::int64_t> connections{{.table = "servers",
                                                .name = "connections",
                                                .fallback = 80,
                                                .least = 1,
                                                .most = 1000000,
                                                .unit = "connections",
                                                .takes = settings::Takes::restart,
                                                .meaning = "How many connections a server holds."}};
inline constexpr Key<Micros> handshake_work{{.table = "servers",
                                             .name = "handshake_work",
                                             .fallback = std::chrono::milliseconds(2),
                                             .most = std::chrono::seconds(10),
                                             .takes = settings::Takes::restart,
                                             .meaning = "The work of a new connection."}};
inline constexpr Key<std::int64_t> thrash_from{
    {.table = "servers",
     .name = "thrash_from",
     .fallback = 0,
     .least = 0,
     .most = 1000000,
     .unit = "calls",
     .takes = settings::Takes::restart,
     .meaning = "Calls in hand beyond which work grows; 0: never."}};
inline constexpr Key<double> thrash_each{{.table = "servers",
                                          .name = "thrash_each",
                                          .fallback = 0.0,
                                          .least = 0.0,
                                          .most = 10.0,
                                          .unit = "share",
                                          .takes = settings::Takes::restart,
                                          .meaning = "By so much for each of them."}};
inline constexpr Key<double> cold_share{{.table = "servers",
                                         .name = "cold_share",
                                         .fallback = 0.33,
                                         .least = 0.01,
                                         .most = 1.0,
                                         .unit = "share",
                                         .takes = settings::Takes::restart,
                                         .meaning = "Of its speed that a server has when it starts."}};
inline constexpr Key<Micros> ramp{{.table = "servers",
                                   .name = "ramp",
                                   .fallback = std::chrono::milliseconds(8600),
                                   .least = std::chrono::milliseconds(1),
                                   .takes = settings::Takes::restart,
                                   .meaning = "Until it has all of it."}};
inline constexpr Key<double> fall_multiple{
    {.table = "servers",
     .name = "fall_multiple",
     .fallback = 4.0,
     .least = 0.01,
     .most = 1000.0,
     .takes = settings::Takes::restart,
     .meaning = "Sent more than this multiple of what it can do, a cold server falls."}};
inline constexpr Key<Micros> fall_span{{.table = "servers",
                                        .name = "fall_span",
                                        .fallback = std::chrono::seconds(1),
                                        .least = std::chrono::milliseconds(1),
                                        .takes = settings::Takes::restart,
                                        .meaning = "For so long."}};
inline constexpr Key<Micros> report_every{{.table = "servers",
                                           .name = "report_every",
                                           .fallback = std::chrono::milliseconds(500),
                                           .takes = settings::Takes::restart,
                                           .meaning = "How old the report of load in its answers may be."}};

}  // namespace servers

namespace network {

inline constexpr Key<Micros> local{{.table = "network",
                                    .name = "local",
                                    .fallback = std::chrono::microseconds(200),
                                    .most = std::chrono::seconds(10),
                                    .takes = settings::Takes::restart,
                                    .meaning = "One way within a zone."}};
inline constexpr Key<Micros> between{{.table = "network",
                                      .name = "between",
                                      .fallback = std::chrono::milliseconds(3),
                                      .most = std::chrono::seconds(10),
                                      .takes = settings::Takes::restart,
                                      .meaning = "One way from zone to zone."}};
inline constexpr Key<double> jitter{
    {.table = "network",
     .name = "jitter",
     .fallback = 0.2,
     .least = 0.0,
     .most = 0.99,
     .unit = "share",
     .takes = settings::Takes::restart,
     .meaning = "What is added to a way or taken off, at most, evenly drawn."}};
inline constexpr Key<Micros> idle_close{{.table = "network",
                                         .name = "idle_close",
                                         .fallback = std::chrono::seconds(15),
                                         .least = std::chrono::milliseconds(1),
                                         .takes = settings::Takes::restart,
                                         .meaning = "After so long an idle connection is closed."}};

}  // namespace network

namespace roster {

inline constexpr Key<RosterMode> mode{
    {.table = "roster",
     .name = "mode",
     .fallback = RosterMode::pushed,
     .words = roster_words,
     .takes = settings::Takes::restart,
     .meaning = "Whether lists are pushed to an agent beside each balancer, or asked for."}};
inline constexpr Key<Micros> late_least{{.table = "roster",
                                         .name = "late_least",
                                         .fallback = std::chrono::milliseconds(100),
                                         .takes = settings::Takes::restart,
                                         .meaning = "The least time until a balancer is told of a change."}};
inline constexpr Key<Micros> late_most{{.table = "roster",
                                        .name = "late_most",
                                        .fallback = std::chrono::seconds(1),
                                        .takes = settings::Takes::restart,
                                        .meaning = "The greatest."}};
inline constexpr Key<Micros> answers{{.table = "roster",
                                      .name = "answers",
                                      .fallback = std::chrono::milliseconds(1),
                                      .most = std::chrono::minutes(1),
                                      .takes = settings::Takes::restart,
                                      .meaning = "The time that a call to it takes."}};
inline constexpr Key<double> nonsense{{.table = "roster",
                                       .name = "nonsense",
                                       .fallback = 0.0,
                                       .least = 0.0,
                                       .most = 0.9,
                                       .unit = "share",
                                       .takes = settings::Takes::restart,
                                       .meaning = "What it tells that can't be read."}};

}  // namespace roster

namespace clients {

inline constexpr Key<std::int64_t> count{{.table = "clients",
                                          .name = "count",
                                          .fallback = 1000,
                                          .least = 1,
                                          .most = 1000000,
                                          .unit = "clients",
                                          .takes = settings::Takes::restart,
                                          .meaning = "How many there are."}};
inline constexpr Key<double> rate{{.table = "clients",
                                   .name = "rate",
                                   .fallback = 600.0,
                                   .least = 0.0,
                                   .most = 10000000.0,
                                   .unit = "calls a second",
                                   .takes = settings::Takes::restart,
                                   .meaning = "What all of them send, before repeats."}};
inline constexpr Key<double> patience{
    {.table = "clients",
     .name = "patience",
     .fallback = 0.7,
     .least = 0.01,
     .most = 1.0,
     .unit = "share",
     .takes = settings::Takes::restart,
     .meaning = "Of its deadline that a call's client waits at least; drawn up to all of it."}};
inline constexpr Key<Repeats> repeats{
    {.table = "clients",
     .name = "repeats",
     .fallback = Repeats::none,
     .words = repeats_words,
     .takes = settings::Takes::restart,
     .meaning = "Whether clients ask again: not, after their own time, or when they were told."}};
inline constexpr Key<std::int64_t> repeats_most{{.table = "clients",
                                                 .name = "repeats_most",
                                                 .fallback = 1,
                                                 .least = 0,
                                                 .most = 7,
                                                 .unit = "repeats",
                                                 .takes = settings::Takes::restart,
                                                 .meaning = "How often for one call."}};
inline constexpr Key<Micros> wait{{.table = "clients",
                                   .name = "wait",
                                   .fallback = std::chrono::milliseconds(200),
                                   .takes = settings::Takes::restart,
                                   .meaning = "Before a repeat; from half to one and a half times this."}};
inline constexpr Key<double> leave{{.table = "clients",
                                    .name = "leave",
                                    .fallback = 0.0,
                                    .least = 0.0,
                                    .most = 1.0,
                                    .unit = "share",
                                    .takes = settings::Takes::restart,
                                    .meaning = "Of calls whose client leaves before its time."}};
inline constexpr Key<std::string> shape{
    {.table = "clients",
     .name = "shape",
     .fallback = "1",
     .least = 1,
     .takes = settings::Takes::restart,
     .meaning = "Factors of the rate over equal parts of the time, as \"1 1.5 1\"."}};

}  // namespace clients

namespace postgres {

inline constexpr Key<double> rate{{.table = "postgres",
                                   .name = "rate",
                                   .fallback = 0.0,
                                   .least = 0.0,
                                   .most = 10000000.0,
                                   .unit = "units a second",
                                   .takes = settings::Takes::restart,
                                   .meaning = "What is sent to PostgreSQL's primary; 0: there is none."}};
inline constexpr Key<std::int64_t> standbys{{.table = "postgres",
                                             .name = "standbys",
                                             .fallback = 1,
                                             .least = 0,
                                             .most = 100,
                                             .unit = "servers",
                                             .takes = settings::Takes::restart,
                                             .meaning = "How many servers stand by."}};
inline constexpr Key<Micros> work{{.table = "postgres",
                                   .name = "work",
                                   .fallback = std::chrono::milliseconds(4),
                                   .least = std::chrono::microseconds(1),
                                   .takes = settings::Takes::restart,
                                   .meaning = "The mean work of a unit."}};
inline constexpr Key<Micros> deadline{{.table = "postgres",
                                       .name = "deadline",
                                       .fallback = std::chrono::seconds(2),
                                       .least = std::chrono::milliseconds(1),
                                       .takes = settings::Takes::restart,
                                       .meaning = "The longest that a client waits."}};

}  // namespace postgres

namespace module {

inline constexpr Key<std::int64_t> max_attempts{{.table = "module",
                                                 .name = "max_attempts",
                                                 .fallback = 5,
                                                 .least = 1,
                                                 .most = 100,
                                                 .unit = "attempts",
                                                 .takes = settings::Takes::restart,
                                                 .meaning = "Of one call."}};
inline constexpr Key<bool> parallel_attempts{
    {.table = "module",
     .name = "parallel_attempts",
     .fallback = true,
     .takes = settings::Takes::restart,
     .meaning = "Whether two attempts of one call may run at once."}};
inline constexpr Key<bool> may_cancel{{.table = "module",
                                       .name = "may_cancel",
                                       .fallback = true,
                                       .takes = settings::Takes::restart,
                                       .meaning = "Whether attempts may be taken back."}};
inline constexpr Key<double> fair_share{
    {.table = "module",
     .name = "fair_share",
     .fallback = 2.0,
     .least = 0.01,
     .most = 1000.0,
     .unit = "attempts a server",
     .takes = settings::Takes::restart,
     .meaning = "What all balancers together may have in flight at least."}};
inline constexpr Key<Micros> connect_timeout{{.table = "module",
                                              .name = "connect_timeout",
                                              .fallback = std::chrono::milliseconds(250),
                                              .takes = settings::Takes::restart,
                                              .meaning = "When a connection that is not up has failed."}};
inline constexpr Key<bool> retry_after{{.table = "module",
                                        .name = "retry_after",
                                        .fallback = true,
                                        .takes = settings::Takes::restart,
                                        .meaning = "Whether refusals tell when to come back."}};
inline constexpr Key<Micros> max_retry_after{{.table = "module",
                                              .name = "max_retry_after",
                                              .fallback = std::chrono::milliseconds(500),
                                              .takes = settings::Takes::restart,
                                              .meaning = "The longest advice that clients heed."}};
inline constexpr Key<Micros> drain_grace{
    {.table = "module",
     .name = "drain_grace",
     .fallback = std::chrono::seconds(2),
     .takes = settings::Takes::restart,
     .meaning = "How long after a drain was told new work may still go there."}};
inline constexpr Key<Micros> answer_slack{{.table = "module",
                                           .name = "answer_slack",
                                           .fallback = std::chrono::milliseconds(5),
                                           .takes = settings::Takes::restart,
                                           .meaning = "How long after their time final answers count."}};
inline constexpr Key<Micros> ask_within{{.table = "module",
                                         .name = "ask_within",
                                         .fallback = std::chrono::seconds(10),
                                         .least = std::chrono::milliseconds(1),
                                         .takes = settings::Takes::restart,
                                         .meaning = "How often the list must be asked for, where it is."}};

}  // namespace module

namespace trouble {

inline constexpr Key<std::string> name{{.table = "trouble",
                                        .name = "name",
                                        .most = 63,
                                        .takes = settings::Takes::restart,
                                        .meaning = "What the trouble is called."}};
inline constexpr Key<Trouble::Kind> kind{{.table = "trouble",
                                          .name = "kind",
                                          .fallback = Trouble::Kind::burst,
                                          .words = trouble_words,
                                          .takes = settings::Takes::restart,
                                          .meaning = "What happens."}};
inline constexpr Key<Micros> at{{.table = "trouble",
                                 .name = "at",
                                 .fallback = std::chrono::seconds(10),
                                 .takes = settings::Takes::restart,
                                 .meaning = "When it begins."}};
inline constexpr Key<Micros> lasts{{.table = "trouble",
                                    .name = "lasts",
                                    .fallback = std::chrono::seconds(5),
                                    .takes = settings::Takes::restart,
                                    .meaning = "How long it lasts."}};
inline constexpr Key<double> share{{.table = "trouble",
                                    .name = "share",
                                    .fallback = 0.1,
                                    .least = 0.0,
                                    .most = 1.0,
                                    .unit = "share",
                                    .takes = settings::Takes::restart,
                                    .meaning = "Of the servers or balancers that it hits."}};
inline constexpr Key<double> size{{.table = "trouble",
                                   .name = "size",
                                   .fallback = 2.0,
                                   .least = 0.001,
                                   .most = 1000.0,
                                   .takes = settings::Takes::restart,
                                   .meaning = "Its factor, or its chance."}};
inline constexpr Key<Micros> by{{.table = "trouble",
                                 .name = "by",
                                 .fallback = std::chrono::seconds(1),
                                 .takes = settings::Takes::restart,
                                 .meaning = "How much later things come."}};
inline constexpr Key<std::string> on{
    {.table = "trouble",
     .name = "on",
     .fallback = "",
     .least = 0,
     .takes = settings::Takes::restart,
     .meaning = "A zone, a class, a tenant, or \"server 3\", where the kind wants one."}};

}  // namespace trouble

namespace axis {

inline constexpr Key<std::string> name{{.table = "axis",
                                        .name = "name",
                                        .most = 63,
                                        .takes = settings::Takes::restart,
                                        .meaning = "What varies, in a word."}};
inline constexpr Key<std::string> key{
    {.table = "axis",
     .name = "key",
     .takes = settings::Takes::restart,
     .meaning = "The setting, as \"fleet.balancers\" or \"class.book.worth\"."}};
inline constexpr Key<std::vector<std::string>> values{
    {.table = "axis",
     .name = "values",
     .least = 1,
     .most = 64,
     .takes = settings::Takes::restart,
     .meaning = "What it is set to, each as it would stand in this file."}};

}  // namespace axis

namespace range {

inline constexpr Key<std::string> name{{.table = "range",
                                        .name = "name",
                                        .most = 63,
                                        .takes = settings::Takes::restart,
                                        .meaning = "What is drawn, in a word."}};
inline constexpr Key<std::string> key{
    {.table = "range",
     .name = "key",
     .takes = settings::Takes::restart,
     .meaning = "The setting, as \"fleet.balancers\" or \"trouble.crash.at\"."}};
inline constexpr Key<std::string> least{
    {.table = "range",
     .name = "least",
     .takes = settings::Takes::restart,
     .meaning = "The least that it is set to, as it would stand in this file."}};
inline constexpr Key<std::string> most{
    {.table = "range", .name = "most", .takes = settings::Takes::restart, .meaning = "The most."}};

}  // namespace range

namespace expect {

inline constexpr Key<std::string> name{{.table = "expect",
                                        .name = "name",
                                        .most = 63,
                                        .takes = settings::Takes::restart,
                                        .meaning = "What the expectation is called."}};
inline constexpr Key<Expectation::Of> of{{.table = "expect",
                                          .name = "of",
                                          .fallback = Expectation::Of::rules,
                                          .words = of_words,
                                          .takes = settings::Takes::restart,
                                          .meaning = "What is looked at."}};
inline constexpr Key<std::string> on{{.table = "expect",
                                      .name = "on",
                                      .fallback = "",
                                      .least = 0,
                                      .takes = settings::Takes::restart,
                                      .meaning = "A class, a tenant or a trouble, where one is meant."}};
inline constexpr Key<double> least{{.table = "expect",
                                    .name = "least",
                                    .fallback = 0.0,
                                    .least = 0.0,
                                    .most = 1.0,
                                    .unit = "share",
                                    .takes = settings::Takes::restart,
                                    .meaning = "The least share, of served and answered."}};
inline constexpr Key<double> most{{.table = "expect",
                                   .name = "most",
                                   .fallback = 0.0,
                                   .least = 0.0,
                                   .takes = settings::Takes::restart,
                                   .meaning = "The greatest share, number or factor, of the others."}};
inline constexpr Key<Micros> within{{.table = "expect",
                                     .name = "within",
                                     .fallback = std::chrono::seconds(1),
                                     .takes = settings::Takes::restart,
                                     .meaning = "The greatest time, of p99 and recovers."}};

}  // namespace expect

}  // namespace flaxdoor::lab::keys
