// [gateway], [[route_pool]] and [[route]]: listeners whose requests are routed. Routes and pools come from
// this file or from a Kubernetes cluster. Off unless the file has [gateway].
#pragma once

#include <array>

#include "settings/schema.h"

namespace flaxdoor::settings::gateway {

enum class Cluster { none, in_cluster, kubeconfig };
inline constexpr std::array<std::string_view, 3> cluster_words{"none", "in_cluster", "kubeconfig"};
enum class Effect { unsafe, safe, keyed, by_method };
inline constexpr std::array<std::string_view, 4> effect_words{"unsafe", "safe", "keyed", "by_method"};

// ----------------------------------------------------------------------------------------------- [gateway]

inline constexpr OptionalKey<Address> listen{
    {.table = "gateway",
     .name = "listen",
     .least = 0,
     .takes = Takes::restart,
     .meaning = "Where clients of the [[route]]s connect; port 0: any that is free."}};

inline constexpr Key<Cluster> cluster{
    {.table = "gateway",
     .name = "cluster",
     .fallback = Cluster::none,
     .words = cluster_words,
     .takes = Takes::restart,
     .meaning = "Where routes come from: this file, the cluster that this program runs in, or the one that a "
                "kubeconfig names."}};

inline constexpr OptionalKey<Path> kubeconfig{{.table = "gateway",
                                               .name = "kubeconfig",
                                               .takes = Takes::restart,
                                               .meaning = "The kubeconfig whose current context is used."}};

inline constexpr Key<std::string> controller_name{
    {.table = "gateway",
     .name = "controller_name",
     .fallback = "flaxdoor.dev/gateway",
     .most = 253,
     .takes = Takes::restart,
     .meaning = "The controllerName of the GatewayClasses that are this program's."}};

inline constexpr Key<std::string> bind_address{
    {.table = "gateway",
     .name = "bind_address",
     .fallback = "0.0.0.0",
     .most = 15,
     .takes = Takes::restart,
     .meaning = "The IPv4 address at which a cluster's listeners are opened."}};

inline constexpr Key<std::vector<std::string>> ports{
    {.table = "gateway",
     .name = "ports",
     .fallback = std::span<const std::string_view>(),
     .takes = Takes::restart,
     .meaning = "Where a listener's port is opened instead, as \"80=8080\"; 0: any that is free."}};

inline constexpr Key<std::vector<std::string>> public_addresses{
    {.table = "gateway",
     .name = "public_addresses",
     .fallback = std::span<const std::string_view>(),
     .most = 16,
     .takes = Takes::restart,
     .meaning = "The addresses under which clients reach the Gateways, as their status tells."}};

inline constexpr Key<bool> write_status{
    {.table = "gateway",
     .name = "write_status",
     .fallback = true,
     .takes = Takes::restart,
     .meaning = "Whether statuses are written, by the one process that holds the Lease."}};

inline constexpr Key<std::int64_t> status_writes{
    {.table = "gateway",
     .name = "status_writes",
     .fallback = 50,
     .least = 1,
     .most = 10'000,
     .unit = "writes a second",
     .takes = Takes::restart,
     .meaning = "How many statuses may be written a second, over time."}};

inline constexpr OptionalKey<std::string> lease_namespace{
    {.table = "gateway",
     .name = "lease_namespace",
     .most = 63,
     .takes = Takes::restart,
     .meaning = "The namespace of the Lease; without it the pod's, or the context's."}};

inline constexpr Key<std::string> lease_name{{.table = "gateway",
                                              .name = "lease_name",
                                              .fallback = "flaxdoor-gateway",
                                              .most = 253,
                                              .takes = Takes::restart,
                                              .meaning = "The name of the Lease."}};

inline constexpr OptionalKey<std::string> identity{
    {.table = "gateway",
     .name = "identity",
     .most = 253,
     .takes = Takes::restart,
     .meaning = "What this process is called in the Lease; without it the host's name and a number."}};

inline constexpr Key<Micros> apply_every{
    {.table = "gateway",
     .name = "apply_every",
     .fallback = std::chrono::milliseconds(50),
     .least = std::chrono::milliseconds(1),
     .most = std::chrono::seconds(10),
     .takes = Takes::restart,
     .meaning = "The least time between two changes of the cluster that are taken; what comes meanwhile is "
                "taken together."}};

inline constexpr Key<Micros> guard_hold{
    {.table = "gateway",
     .name = "guard_hold",
     .fallback = std::chrono::seconds(30),
     .least = std::chrono::seconds(0),
     .most = std::chrono::hours(1),
     .takes = Takes::restart,
     .meaning = "How long what an implausible whole list lacks is kept; 0: not at all."}};

inline constexpr Key<double> guard_share{
    {.table = "gateway",
     .name = "guard_share",
     .fallback = 0.5,
     .least = 0.01,
     .most = 1,
     .unit = "share",
     .takes = Takes::restart,
     .meaning = "The share of a kind's objects that a whole list may lack before it is implausible."}};

inline constexpr OptionalKey<std::string> zone{
    {.table = "gateway",
     .name = "zone",
     .most = 63,
     .takes = Takes::restart,
     .meaning = "This balancer's zone, as the cluster or [[route_pool]] names it."}};

inline constexpr Key<std::int64_t> max_clients{
    {.table = "gateway",
     .name = "max_clients",
     .fallback = 1000,
     .least = 1,
     .most = 1'000'000,
     .unit = "connections",
     .takes = Takes::reload,
     .meaning = "How many connections of clients a listener holds at once."}};

inline constexpr Key<std::int64_t> max_server_connections{
    {.table = "gateway",
     .name = "max_server_connections",
     .fallback = 1000,
     .least = 1,
     .most = 1'000'000,
     .unit = "connections",
     .takes = Takes::reload,
     .meaning = "How many connections to servers may be open, over all pools."}};

inline constexpr Key<Bytes> max_body{
    {.table = "gateway",
     .name = "max_body",
     .fallback = kibibytes(64),
     .least = kibibytes(1),
     .most = mebibytes(64),
     .takes = Takes::restart,
     .meaning = "The longest body of a request or an answer; each is held whole."}};

inline constexpr Key<Micros> request_timeout{
    {.table = "gateway",
     .name = "request_timeout",
     .fallback = std::chrono::seconds(10),
     .least = std::chrono::milliseconds(10),
     .most = std::chrono::hours(1),
     .takes = Takes::reload,
     .meaning = "How long a client may take to bring a request, a TLS handshake included."}};

inline constexpr Key<Micros> idle_timeout{
    {.table = "gateway",
     .name = "idle_timeout",
     .fallback = std::chrono::minutes(5),
     .least = std::chrono::milliseconds(10),
     .takes = Takes::reload,
     .meaning = "After so long a client's connection between two requests is closed."}};

inline constexpr Key<Micros> aim{
    {.table = "gateway",
     .name = "aim",
     .fallback = std::chrono::seconds(1),
     .least = std::chrono::milliseconds(1),
     .most = std::chrono::hours(1),
     .takes = Takes::restart,
     .meaning = "The time in which an answer is wanted, where the route says nothing."}};

inline constexpr Key<Micros> deadline{
    {.table = "gateway",
     .name = "deadline",
     .fallback = std::chrono::seconds(15),
     .least = std::chrono::milliseconds(10),
     .most = std::chrono::hours(1),
     .takes = Takes::restart,
     .meaning = "The longest that a request may take, where the route says nothing."}};

inline constexpr Key<std::int64_t> attempts{
    {.table = "gateway",
     .name = "attempts",
     .fallback = 3,
     .least = 1,
     .most = 16,
     .unit = "attempts",
     .takes = Takes::reload,
     .meaning =
         "How often a request may be sent, at most; what may have run is repeated only where the route "
         "says that this is harmless."}};

inline constexpr Key<Micros> connect_timeout{{.table = "gateway",
                                              .name = "connect_timeout",
                                              .fallback = std::chrono::seconds(1),
                                              .least = std::chrono::milliseconds(10),
                                              .most = std::chrono::minutes(1),
                                              .takes = Takes::reload,
                                              .meaning = "How long a server may take to be reached."}};

inline constexpr Key<Micros> server_idle{
    {.table = "gateway",
     .name = "server_idle",
     .fallback = std::chrono::seconds(30),
     .least = std::chrono::milliseconds(100),
     .most = std::chrono::hours(1),
     .takes = Takes::reload,
     .meaning = "After so long servers close connections that carry nothing; ours are closed ahead of it."}};

inline constexpr Key<Micros> max_retry_after{
    {.table = "gateway",
     .name = "max_retry_after",
     .fallback = std::chrono::seconds(60),
     .least = std::chrono::seconds(1),
     .most = std::chrono::hours(1),
     .takes = Takes::reload,
     .meaning = "The longest time to come back that a refusal names."}};

inline constexpr Key<Micros> slow_start{
    {.table = "gateway",
     .name = "slow_start",
     .fallback = std::chrono::seconds(10),
     .least = std::chrono::seconds(0),
     .most = std::chrono::hours(1),
     .takes = Takes::reload,
     .meaning = "How long a server that has come takes to be warm; 0: it is at once."}};

inline constexpr Key<double> cold_share{
    {.table = "gateway",
     .name = "cold_share",
     .fallback = 0.2,
     .least = 0.01,
     .most = 1,
     .unit = "share",
     .takes = Takes::reload,
     .meaning = "The share of its work that a server which has come is given at first."}};

inline constexpr Key<double> in_flight{
    {.table = "gateway",
     .name = "in_flight",
     .fallback = 8,
     .least = 1,
     .most = 10'000,
     .unit = "requests",
     .takes = Takes::reload,
     .meaning = "What a server is taken to serve at once before anything is known of it; more is learned."}};

// ------------------------------------------------------------------------------------------ [[route_pool]]

inline constexpr Key<std::string> pool_name{{.table = "route_pool",
                                             .name = "name",
                                             .most = 253,
                                             .takes = Takes::reload,
                                             .meaning = "What the pool is called in [[route]]s."}};

inline constexpr Key<std::vector<std::string>> servers{
    {.table = "route_pool",
     .name = "servers",
     .most = 1000,
     .takes = Takes::reload,
     .meaning = "Its servers, as \"10.0.0.1:8080\", with a zone as \"10.0.0.1:8080 a\"."}};

inline constexpr Key<std::vector<std::string>> draining{{.table = "route_pool",
                                                         .name = "draining",
                                                         .fallback = std::span<const std::string_view>(),
                                                         .most = 1000,
                                                         .takes = Takes::reload,
                                                         .meaning = "Those of them that get nothing new."}};

// ----------------------------------------------------------------------------------------------- [[route]]

inline constexpr Key<std::string> route_name{
    {.table = "route",
     .name = "name",
     .most = 253,
     .takes = Takes::reload,
     .meaning = "The route's name; among equals the first by name is taken."}};

inline constexpr Key<std::vector<std::string>> hosts{
    {.table = "route",
     .name = "hosts",
     .fallback = std::span<const std::string_view>(),
     .most = 16,
     .takes = Takes::reload,
     .meaning = "Its hosts, exact or as \"*.example.com\"; none: all."}};

inline constexpr OptionalKey<std::string> path{
    {.table = "route",
     .name = "path",
     .takes = Takes::reload,
     .meaning =
         "Its path: \"/a\" and all below it, \"= /a\" that one alone, \"~ /a.*\" a regular expression for "
         "the whole path; without it every path."}};

inline constexpr OptionalKey<std::string> method{{.table = "route",
                                                  .name = "method",
                                                  .most = 16,
                                                  .takes = Takes::reload,
                                                  .meaning = "Its method; without it every one."}};

inline constexpr Key<std::vector<std::string>> headers{
    {.table = "route",
     .name = "headers",
     .fallback = std::span<const std::string_view>(),
     .most = 16,
     .takes = Takes::reload,
     .meaning = "Headers that a request must have, as \"Name: value\" or \"Name ~ expression\"."}};

inline constexpr Key<std::vector<std::string>> queries{
    {.table = "route",
     .name = "queries",
     .fallback = std::span<const std::string_view>(),
     .most = 16,
     .takes = Takes::reload,
     .meaning = "Query parameters that a request must have, as \"name=value\" or \"name ~ expression\"."}};

inline constexpr Key<std::vector<std::string>> pools{
    {.table = "route",
     .name = "pools",
     .fallback = std::span<const std::string_view>(),
     .most = 16,
     .takes = Takes::reload,
     .meaning = "The pools that it goes to, with a weight as \"name 3\" where it is not 1."}};

inline constexpr OptionalKey<std::string> redirect{
    {.table = "route",
     .name = "redirect",
     .takes = Takes::reload,
     .meaning =
         "Answered with a redirect instead, as \"302 https://host/path\"; without a path the request's."}};

inline constexpr OptionalKey<std::string> rewrite{
    {.table = "route",
     .name = "rewrite",
     .takes = Takes::reload,
     .meaning = "The path that its prefix becomes on the way to a server."}};

inline constexpr Key<std::vector<std::string>> set_headers{
    {.table = "route",
     .name = "set_headers",
     .fallback = std::span<const std::string_view>(),
     .most = 16,
     .takes = Takes::reload,
     .meaning = "Headers that a request gets on its way to a server, as \"Name: value\"."}};

inline constexpr Key<Effect> effect{
    {.table = "route",
     .name = "effect",
     .fallback = Effect::unsafe,
     .words = effect_words,
     .takes = Takes::reload,
     .meaning = "Whether a repeat is harmless: never, always, under an Idempotency-Key, or for GET, HEAD and "
                "OPTIONS."}};

inline constexpr OptionalKey<Micros> route_aim{{.table = "route",
                                                .name = "aim",
                                                .least = std::chrono::milliseconds(1),
                                                .most = std::chrono::hours(1),
                                                .takes = Takes::reload,
                                                .meaning = "The time in which its answer is wanted."}};

inline constexpr OptionalKey<Micros> timeout{{.table = "route",
                                              .name = "timeout",
                                              .least = std::chrono::milliseconds(1),
                                              .most = std::chrono::hours(1),
                                              .takes = Takes::reload,
                                              .meaning = "The longest that a request of it may take."}};

inline constexpr OptionalKey<Micros> server_timeout{
    {.table = "route",
     .name = "server_timeout",
     .least = std::chrono::milliseconds(1),
     .most = std::chrono::hours(1),
     .takes = Takes::reload,
     .meaning = "The longest that one server may take for it."}};

inline constexpr OptionalKey<std::int64_t> retries{
    {.table = "route",
     .name = "retries",
     .most = 100,
     .unit = "repeats",
     .takes = Takes::reload,
     .meaning = "How often a request of it may be repeated, at most; the decision module may want less."}};

inline constexpr OptionalKey<double> retry_budget{
    {.table = "route",
     .name = "retry_budget",
     .most = 1,
     .unit = "share",
     .takes = Takes::reload,
     .meaning = "The share of its requests that may be repeats, over ten seconds."}};

Table table();
Table pool_table();
Table route_table();
std::vector<SchemaCheck> checks();

}  // namespace flaxdoor::settings::gateway
