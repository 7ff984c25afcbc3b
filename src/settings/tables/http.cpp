#include "settings/tables/http.h"

#include "settings/values.h"

namespace flaxdoor::settings::http {

namespace {

std::optional<Objection> check_idle_timeouts(const Row& row) {
    const Micros idle = row.get(idle_timeout), crowded = row.get(idle_timeout_crowded);
    if (crowded <= idle) return std::nullopt;
    return Objection{
        "idle_timeout_crowded, " + text_of(crowded) + ", must not exceed idle_timeout, " + text_of(idle),
        "raise idle_timeout or lower idle_timeout_crowded"};
}

std::optional<Objection> check_connection_shares(const Row& row) {
    const double kept = row.get(keepalive_share), all = row.get(client_share);
    if (kept <= all) return std::nullopt;
    return Objection{"keepalive_share, " + text_of(kept) + ", must not exceed client_share, " + text_of(all),
                     "raise client_share or lower keepalive_share"};
}

}  // namespace

Table table() {
    return {.name = "http",
            .meaning = "Clients' connections: how long they may take, and how many there may be.",
            .settings = {request_timeout, idle_timeout, idle_timeout_crowded, send_timeout, linger_timeout,
                         linger_bytes, client_share, keepalive_share},
            .checks = {{{"idle_timeout_crowded", "idle_timeout"},
                        "`idle_timeout_crowded` must not exceed `idle_timeout`.",
                        check_idle_timeouts},
                       {{"keepalive_share", "client_share"},
                        "`keepalive_share` must not exceed `client_share`.",
                        check_connection_shares}}};
}

}  // namespace flaxdoor::settings::http
