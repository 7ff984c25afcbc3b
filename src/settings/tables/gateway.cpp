#include "settings/tables/gateway.h"

#include <algorithm>

#include "settings/values.h"

namespace flaxdoor::settings::gateway {

namespace {

std::optional<Objection> check_kubeconfig(const Row& row) {
    const bool required = row.get(cluster) == Cluster::kubeconfig;
    if (required == row.get(kubeconfig).has_value()) return std::nullopt;
    if (required) return Objection{"no kubeconfig is named", "set kubeconfig"};
    return Objection{"kubeconfig is not used", "set cluster = \"kubeconfig\""};
}

std::optional<Objection> check_aim(const Row& row) {
    if (row.get(aim) <= row.get(deadline)) return std::nullopt;
    return Objection{"aim exceeds deadline", "lower aim or raise deadline"};
}

std::optional<Objection> check_route_aim(const Row& row) {
    if (!row.get(route_aim) || !row.get(timeout) || *row.get(route_aim) <= *row.get(timeout))
        return std::nullopt;
    return Objection{"aim exceeds timeout", "lower aim or raise timeout"};
}

std::optional<Objection> check_server_timeout(const Row& row) {
    if (!row.get(server_timeout) || !row.get(timeout) || *row.get(server_timeout) <= *row.get(timeout))
        return std::nullopt;
    return Objection{"server_timeout exceeds timeout", "lower server_timeout or raise timeout"};
}

std::optional<Objection> check_route_target(const Row& row) {
    if (row.get(redirect).has_value() != row.get(pools).empty())
        return Objection{"a route has pools or a redirect", "set exactly one of them"};
    return std::nullopt;
}

Position place_of(const Row& row, std::string_view key) {
    const Row::Slot& slot = row.slots()[row.table().index_of(key)];
    return slot.given ? slot.key : row.place();
}

std::optional<Objection> check_listen(const Values& values) {
    if (!values.given("gateway")) return std::nullopt;
    const Row& row = values.row("gateway");
    const bool required = row.get(cluster) == Cluster::none;
    if (required == row.get(listen).has_value()) return std::nullopt;
    if (required)
        return Objection{"without a cluster nothing says where to listen", "set listen", row.place()};
    return Objection{"listen is not used with a cluster, whose Gateways name their ports",
                     "remove it; see bind_address and ports", place_of(row, "listen")};
}

std::optional<Objection> check_pools_exist(const Values& values) {
    const auto& known = values.rows("route_pool");
    for (const Row& route : values.rows("route")) {
        for (const std::string& each : route.get(pools)) {
            const std::string name = each.substr(0, each.find(' '));
            const bool found =
                std::any_of(known.begin(), known.end(), [&](const Row& row) { return row.label() == name; });
            if (!found)
                return Objection{"no such pool: " + name, "add a [[route_pool]] of that name",
                                 place_of(route, "pools")};
        }
    }
    return std::nullopt;
}

std::optional<Objection> check_gateway_table(const Values& values) {
    const bool given = values.given("gateway");
    if (given && values.row("gateway").get(cluster) == Cluster::none) return std::nullopt;
    for (const char* table : {"route_pool", "route"}) {
        const auto& rows = values.rows(table);
        if (rows.empty()) continue;
        return Objection{
            std::string("[[") + table + "]] " + (given ? "beside a cluster" : "without [gateway]"),
            given ? "remove the rows, or set cluster = \"none\"" : "add [gateway] with listen",
            rows.front().place()};
    }
    return std::nullopt;
}

}  // namespace

Table table() {
    return {
        .name = "gateway",
        .kind = Kind::optional,
        .meaning = "Listeners whose requests are routed, by the rows below or by a Kubernetes cluster.",
        .settings = {listen,           cluster,
                     kubeconfig,       controller_name,
                     bind_address,     ports,
                     public_addresses, write_status,
                     status_writes,    lease_namespace,
                     lease_name,       identity,
                     apply_every,      guard_hold,
                     guard_share,      zone,
                     max_clients,      max_server_connections,
                     max_body,         request_timeout,
                     idle_timeout,     aim,
                     deadline,         attempts,
                     connect_timeout,  server_idle,
                     max_retry_after,  slow_start,
                     cold_share,       in_flight},
        .checks = {{{"cluster", "kubeconfig"}, "A kubeconfig is named where one is used.", check_kubeconfig},

                   {{"aim", "deadline"}, "`aim` does not exceed `deadline`.", check_aim}}};
}

Table pool_table() {
    return {.name = "route_pool",
            .kind = Kind::many,
            .meaning = "Servers that requests are routed to.",
            .settings = {pool_name, servers, draining},
            .presence_takes = Takes::reload,
            .unique = "name"};
}

Table route_table() {
    return {.name = "route",
            .kind = Kind::many,
            .meaning = "Which requests go to which pools.",
            .settings = {route_name, hosts, path, method, headers, queries, pools, redirect, rewrite,
                         set_headers, effect, route_aim, timeout, server_timeout, retries, retry_budget},
            .checks = {{{"pools", "redirect"}, "A route has pools or a redirect.", check_route_target},
                       {{"aim", "timeout"}, "`aim` does not exceed `timeout`.", check_route_aim},
                       {{"server_timeout", "timeout"},
                        "`server_timeout` does not exceed `timeout`.",
                        check_server_timeout}},
            .presence_takes = Takes::reload,
            .unique = "name",
            .most_rows = 20000};
}

std::vector<SchemaCheck> checks() {
    return {{{"gateway.listen", "gateway.cluster"},
             "`listen` is given where there is no cluster, and only there.",
             check_listen},
            {{"route.pools", "route_pool.name"},
             "The pools of a route are rows of [[route_pool]].",
             check_pools_exist},
            {{"route.name", "route_pool.name", "gateway.cluster"},
             "Rows of routes go with the table [gateway], and not with a cluster.",
             check_gateway_table}};
}

}  // namespace flaxdoor::settings::gateway
