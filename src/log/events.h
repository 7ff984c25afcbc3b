// All events that the programs of this project log, except the core's (core/event.h). The page docs/operators/log.md lists
// each event by its name; a test compares the page with this table. Event and field names never change.
// The texts are the lines of the format "text". Scripts match some of them (such as "listening on"), so change a text only
// together with what matches it.
#pragma once

#include <array>

#include "core/event.h"

namespace flaxdoor::log::events {

using core::event;
using core::Level;

// Balancer daemon

inline constexpr auto not_started = event("program.failed", Level::error, "flaxdoor: {why}", "why");
inline constexpr auto listening = event("listening", Level::info, "listening on {address}", "address");
inline constexpr auto draining = event("draining", Level::info, "draining");
inline constexpr auto drained = event("drained", Level::info, "drained");
inline constexpr auto configuration_taken = event("configuration.taken", Level::info, "configuration taken");
inline constexpr auto discovery_taken =
    event("configuration.discovery", Level::info, "configuration taken, discovery at {address}", "address");
inline constexpr auto settings_taken = event("configuration.settings", Level::info, "settings applied");
inline constexpr auto configuration_kept =
    event("configuration.kept", Level::warning, "the old configuration stays: {why}", "why");
inline constexpr auto operators_fault = event("operators.fault", Level::error, "{fault}", "fault");
inline constexpr auto operators_kept =
    event("operators.kept", Level::warning, "the old operator's file stays");
inline constexpr auto operators_contradict = event(
    "operators.contradict", Level::warning,
    "the old operator's file stays: the new values contradict settings that take a restart: {why}", "why");
inline constexpr auto operators_taken =
    event("operators.taken", Level::info, "operator's file: {change}", "change");
inline constexpr auto operators_held =
    event("operators.held", Level::warning, "operator's file: takes a restart: {change}", "change");
inline constexpr auto log_dropped = event(
    "log.dropped", Level::warning, "log: {count} lines dropped because they were not read in time", "count");
inline constexpr auto log_left_out =
    event("log.left_out", Level::warning, "log: {count} lines of event {event} suppressed by the rate limit",
          "count", "event");

inline constexpr auto memory_reclaimed =
    event("memory.reclaimed", Level::warning,
          "memory: {count} connections ended, {used} of {limit} bytes are held by connections", "count",
          "used", "limit");

// Service discovery

inline constexpr auto discovery_left_out =
    event("discovery.left_out", Level::warning, "discovery: left out: {why}", "why");
inline constexpr auto discovery_watch_failed =
    event("discovery.watch_failed", Level::warning, "discovery: watch failed: {why}", "why");
inline constexpr auto discovery_call_failed =
    event("discovery.call_failed", Level::warning, "discovery: call failed: {why}", "why");

// Embedded store

inline constexpr auto store_cut_off =
    event("store.cut_off", Level::warning,
          "store: a write that was cut off is dropped: {bytes} bytes of {file} from offset {offset}", "bytes",
          "file", "offset");
inline constexpr auto store_in_use = event("store.in_use", Level::info, "store: in use again");
inline constexpr auto store_not_heeded =
    event("store.not_heeded", Level::warning, "store: stored record ignored: {what}", "what");
inline constexpr auto store_clock_back =
    event("store.clock_back", Level::warning, "store: the clock has gone back since it was written");
inline constexpr auto store_list =
    event("store.list", Level::info,
          "store: list {version} with {servers:server}, {age_s} s old; {remembered:server} remembered",
          "version", "servers", "age_s", "remembered");
inline constexpr auto store_other_history =
    event("store.other_history", Level::warning,
          "store: what is kept is of another history: the configuration's list {version}", "version");
inline constexpr auto store_as_new =
    event("store.as_new", Level::info,
          "store: the configuration's list {version} is as new; {remembered:server} remembered", "version",
          "remembered");
inline constexpr auto store_empty = event("store.empty", Level::info, "store: no list is kept yet");
inline constexpr auto store_too_large =
    event("store.too_large", Level::warning,
          "store: the list is not stored: {servers:server} exceed the maximum", "servers");
inline constexpr auto store_trouble = event("store.trouble", Level::warning, "store: {what}", "what");

// Admission queue

inline constexpr auto door_terms = event("door.terms", Level::warning, "door: {what}", "what");
inline constexpr auto door_tenant =
    event("door.tenant", Level::info, "door: tenant {tenant}: {figures}", "tenant", "figures");

// Fleet budgets

inline constexpr auto budget_leased =
    event("budget.leased", Level::info, "budgets: leased by the coordinator at {address}", "address");
inline constexpr auto budget_unleased =
    event("budget.unleased", Level::warning, "budgets: no lease, only the reserve: {why}", "why");
inline constexpr auto budget_name_taken = event(
    "budget.name_taken", Level::error, "budgets: no lease and no reserve, the name is taken: {why}", "why");
inline constexpr auto budget_clock_off =
    event("budget.clock_off", Level::error, "budgets: the clocks do not agree: {why}", "why");
inline constexpr auto budget_stepped_down =
    event("budget.stepped_down", Level::warning, "budgets: the coordinator has stepped down: {why}", "why");
inline constexpr auto budget_at_odds =
    event("budget.at_odds", Level::error, "budgets: the coordinator has other terms: {why}", "why");
inline constexpr auto budget_terms = event("budget.terms", Level::warning, "budgets: {what}", "what");

// Gateway

inline constexpr auto gateway_listening = event(
    "gateway.listening", Level::info, "gateway: listening on {address} for port {port}", "address", "port");
inline constexpr auto gateway_port_failed =
    event("gateway.port_failed", Level::error, "gateway: port {port}: {why}", "port", "why");
inline constexpr auto gateway_port_closed =
    event("gateway.port_closed", Level::info, "gateway: stopped listening on port {port}", "port");
inline constexpr auto gateway_kept =
    event("gateway.kept", Level::warning, "gateway: the previous settings stay in effect: {fault}", "fault");
inline constexpr auto gateway_ended =
    event("gateway.ended", Level::info,
          "gateway: {routed} requests went to pools, {told} were answered by the gateway", "routed", "told");
inline constexpr auto gateway_watch_failed =
    event("gateway.watch_failed", Level::warning, "gateway: {kind}: {why}; what is known is served on",
          "kind", "why");
inline constexpr auto gateway_watch_back =
    event("gateway.watch_back", Level::info, "gateway: {kind}: watch restored", "kind");
inline constexpr auto gateway_fault = event("gateway.fault", Level::error, "gateway: fault: {what}", "what");
inline constexpr auto gateway_known =
    event("gateway.known", Level::info, "gateway: all resources have been listed");
inline constexpr auto gateway_refused = event("gateway.refused", Level::warning, "gateway: {what}", "what");
inline constexpr auto gateway_held_back =
    event("gateway.held_back", Level::warning, "gateway: held back: {what}", "what");
inline constexpr auto gateway_released =
    event("gateway.released", Level::info, "gateway: nothing is held back any more");
inline constexpr auto gateway_table_kept =
    event("gateway.table_kept", Level::warning, "gateway: port {port} keeps its previous route table: {why}",
          "port", "why");
inline constexpr auto gateway_status_refused =
    event("gateway.status_refused", Level::warning,
          "gateway: status of {kind} {name} was refused: {status} {body}", "kind", "name", "status", "body");
inline constexpr auto gateway_lease_lost =
    event("gateway.lease_lost", Level::warning, "gateway: lost the Lease");
inline constexpr auto gateway_lease_ours =
    event("gateway.lease_ours", Level::info, "gateway: acquired the Lease");

// PostgreSQL

inline constexpr auto postgres_listening =
    event("postgres.listening", Level::info, "postgres: listening on {address}", "address");
inline constexpr auto postgres_kept = event(
    "postgres.kept", Level::warning, "postgres: the previous settings stay in effect: {fault}", "fault");
inline constexpr auto postgres_ended =
    event("postgres.ended", Level::info, "postgres: {units} units went to the module", "units");

// Coordinator

inline constexpr auto coordinator_waiting =
    event("coordinator.waiting", Level::info, "coordinator: nothing is granted for {wait_ms} ms: {why}",
          "wait_ms", "why");
inline constexpr auto coordinator_current =
    event("coordinator.current", Level::info, "coordinator: the store is the latest, leases go on");
inline constexpr auto coordinator_stepped_down =
    event("coordinator.stepped_down", Level::error,
          "coordinator: stepped down: {holder} knows a coordinator of a later epoch", "holder");
inline constexpr auto coordinator_not_written =
    event("coordinator.not_written", Level::error, "coordinator: nothing is granted: {why}", "why");
inline constexpr auto coordinator_writes_again =
    event("coordinator.writes_again", Level::info, "coordinator: grants are written again");
inline constexpr auto coordinator_witness =
    event("coordinator.witness", Level::warning, "coordinator: {why}; the next start waits", "why");
inline constexpr auto coordinator_name_taken =
    event("coordinator.name_taken", Level::warning,
          "coordinator: {holder} is the name of two processes: {instance} is refused: {why}", "holder",
          "instance", "why");
inline constexpr auto coordinator_clock_off =
    event("coordinator.clock_off", Level::warning,
          "coordinator: the clock of {holder} ({instance}) is off: {why}", "holder", "instance", "why");
inline constexpr auto coordinator_refused =
    event("coordinator.refused", Level::warning, "coordinator: {holder} ({instance}): {verdict}: {why}",
          "holder", "instance", "verdict", "why");
inline constexpr auto coordinator_kept = event(
    "coordinator.kept", Level::warning, "coordinator: the previous limits stay in effect: {why}", "why");

// All events, each exactly once.
inline constexpr std::array<const core::Event*, 69> all{&core::events::from_module,
                                                        &core::events::fault,
                                                        &not_started,
                                                        &listening,
                                                        &draining,
                                                        &drained,
                                                        &configuration_taken,
                                                        &discovery_taken,
                                                        &settings_taken,
                                                        &configuration_kept,
                                                        &operators_fault,
                                                        &operators_kept,
                                                        &operators_contradict,
                                                        &operators_taken,
                                                        &operators_held,
                                                        &log_dropped,
                                                        &log_left_out,
                                                        &memory_reclaimed,
                                                        &discovery_left_out,
                                                        &discovery_watch_failed,
                                                        &discovery_call_failed,
                                                        &store_cut_off,
                                                        &store_in_use,
                                                        &store_not_heeded,
                                                        &store_clock_back,
                                                        &store_list,
                                                        &store_other_history,
                                                        &store_as_new,
                                                        &store_empty,
                                                        &store_too_large,
                                                        &store_trouble,
                                                        &door_terms,
                                                        &door_tenant,
                                                        &budget_leased,
                                                        &budget_unleased,
                                                        &budget_name_taken,
                                                        &budget_clock_off,
                                                        &budget_stepped_down,
                                                        &budget_at_odds,
                                                        &budget_terms,
                                                        &gateway_listening,
                                                        &gateway_port_failed,
                                                        &gateway_port_closed,
                                                        &gateway_kept,
                                                        &gateway_ended,
                                                        &gateway_watch_failed,
                                                        &gateway_watch_back,
                                                        &gateway_fault,
                                                        &gateway_known,
                                                        &gateway_refused,
                                                        &gateway_held_back,
                                                        &gateway_released,
                                                        &gateway_table_kept,
                                                        &gateway_status_refused,
                                                        &gateway_lease_lost,
                                                        &gateway_lease_ours,
                                                        &postgres_listening,
                                                        &postgres_kept,
                                                        &postgres_ended,
                                                        &coordinator_waiting,
                                                        &coordinator_current,
                                                        &coordinator_stepped_down,
                                                        &coordinator_not_written,
                                                        &coordinator_writes_again,
                                                        &coordinator_witness,
                                                        &coordinator_name_taken,
                                                        &coordinator_clock_off,
                                                        &coordinator_refused,
                                                        &coordinator_kept};

}  // namespace flaxdoor::log::events
