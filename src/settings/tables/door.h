// [door], [[door_tenant]] and [[door_class]]: the admission queue ahead of the core. Off unless the file has
// [door].
#pragma once

#include <array>

#include "settings/schema.h"

namespace flaxdoor::settings::door {

enum class Client { address, header, key };
inline constexpr std::array<std::string_view, 3> client_words{"address", "header", "key"};

// The three keys of a request limit: open requests, rate and burst. Tenants, classes and clients have one
// such limit each.
constexpr Spec<std::int64_t> open_spec(std::string_view table, std::string_view name,
                                       std::string_view meaning) {
    return {.table = table,
            .name = name,
            .fallback = 0,
            .most = 1'000'000,
            .unit = "requests",
            .takes = Takes::reload,
            .meaning = meaning};
}
constexpr Spec<double> rate_spec(std::string_view table, std::string_view name, std::string_view meaning) {
    return {.table = table,
            .name = name,
            .fallback = 0,
            .most = 1e6,
            .unit = "requests/s",
            .takes = Takes::reload,
            .meaning = meaning};
}
constexpr Spec<double> burst_spec(std::string_view table, std::string_view name) {
    return {.table = table,
            .name = name,
            .fallback = 1,
            .least = 1,
            .most = 1e6,
            .unit = "requests",
            .takes = Takes::reload,
            .meaning = "How many of that rate may come at once."};
}

// -------------------------------------------------------------------------------------------------- [door]

inline constexpr Key<Client> client{{.table = "door",
                                     .name = "client",
                                     .fallback = Client::address,
                                     .words = client_words,
                                     .takes = Takes::reload,
                                     .meaning = "What tells clients apart within a tenant: the address that "
                                                "they come from, a header, or the key of their request."}};
inline constexpr OptionalKey<std::string> client_header{
    {.table = "door",
     .name = "client_header",
     .most = 64,
     .takes = Takes::reload,
     .meaning = "The header that names the client; who sends none counts by its address."}};
inline constexpr Key<double> others_weight{
    {.table = "door",
     .name = "others_weight",
     .fallback = 1,
     .least = 0.001,
     .most = 1e6,
     .takes = Takes::reload,
     .meaning = "The weight of all tenants together that the platform does not name."}};
inline constexpr Key<std::int64_t> max_waiting{{.table = "door",
                                                .name = "max_waiting",
                                                .fallback = 10'000,
                                                .least = 1,
                                                .most = 1'000'000,
                                                .unit = "requests",
                                                .takes = Takes::reload,
                                                .meaning = "How many requests may wait."}};
inline constexpr Key<Bytes> max_bytes{{.table = "door",
                                       .name = "max_bytes",
                                       .fallback = mebibytes(64),
                                       .least = kibibytes(64),
                                       .takes = Takes::reload,
                                       .meaning = "How much what waits may hold of the door."}};
inline constexpr Key<Micros> head_start{
    {.table = "door",
     .name = "head_start",
     .fallback = std::chrono::milliseconds(0),
     .most = std::chrono::minutes(1),
     .takes = Takes::reload,
     .meaning = "A request worth the most goes ahead of those of its client that came up to so long before "
                "it, one worth less by its part of that; 0s: by arrival."}};
inline constexpr Key<Micros> patience{
    {.table = "door",
     .name = "patience",
     .fallback = std::chrono::milliseconds(5),
     .least = std::chrono::milliseconds(1),
     .most = std::chrono::seconds(1),
     .takes = Takes::restart,
     .meaning = "How long a request that was handed over may take to be sent before others begin to wait; "
                "no less than a connection takes."}};
inline constexpr Key<bool> whole_seconds{
    {.table = "door",
     .name = "whole_seconds",
     .fallback = false,
     .takes = Takes::restart,
     .meaning = "Whether clients read Retry-After in whole seconds only, as RFC 9110 has it."}};
inline constexpr Key<std::int64_t> client_open{open_spec(
    "door", "client_max_open", "How many requests of one client may wait or be under way; 0: any number.")};
inline constexpr Key<double> client_rate{
    rate_spec("door", "client_rate", "How many requests a second one client may send; 0: any number.")};
inline constexpr Key<double> client_burst{burst_spec("door", "client_burst")};

// ----------------------------------------------------------------------------------------- [[door_tenant]]

inline constexpr Key<std::string> tenant_name{{.table = "door_tenant",
                                               .name = "name",
                                               .takes = Takes::reload,
                                               .meaning = "A tenant, as the platform names it."}};
inline constexpr Key<double> tenant_weight{
    {.table = "door_tenant",
     .name = "weight",
     .fallback = 1,
     .least = 0.001,
     .most = 1e6,
     .takes = Takes::reload,
     .meaning = "Its share of the service while others want it too, over the weights of all who do."}};
inline constexpr Key<std::int64_t> tenant_open{open_spec(
    "door_tenant", "max_open", "How many of its requests may wait or be under way; 0: any number.")};
inline constexpr Key<double> tenant_rate{
    rate_spec("door_tenant", "rate", "How many requests a second it may send; 0: any number.")};
inline constexpr Key<double> tenant_burst{burst_spec("door_tenant", "burst")};

// ------------------------------------------------------------------------------------------ [[door_class]]

inline constexpr Key<std::string> class_name{{.table = "door_class",
                                              .name = "name",
                                              .takes = Takes::reload,
                                              .meaning = "A class of requests, as the platform names it."}};
inline constexpr Key<std::int64_t> class_open{
    open_spec("door_class", "max_open", "How many requests of it may wait or be under way; 0: any number.")};
inline constexpr Key<double> class_rate{
    rate_spec("door_class", "rate", "How many requests a second may come of it; 0: any number.")};
inline constexpr Key<double> class_burst{burst_spec("door_class", "burst")};

[[nodiscard]] Table table();
[[nodiscard]] Table tenant_table();
[[nodiscard]] Table class_table();

}  // namespace flaxdoor::settings::door
