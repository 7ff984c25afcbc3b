#include "settings/tables/door.h"

#include "settings/values.h"

namespace flaxdoor::settings::door {

namespace {

std::optional<Objection> check_client_header(const Row& row) {
    const bool uses_header = row.get(client) == Client::header,
               header_set = row.get(client_header).has_value();
    if (uses_header == header_set) return std::nullopt;
    if (uses_header) return Objection{"client_header is missing", "set client_header"};
    return Objection{"client_header is not used", "set client = \"header\""};
}

}  // namespace

Table table() {
    return {.name = "door",
            .kind = Kind::optional,
            .meaning = "Requests that the servers have no room for wait in fair queues by tenant and client.",
            .settings = {client, client_header, others_weight, max_waiting, max_bytes, head_start, patience,
                         whole_seconds, client_open, client_rate, client_burst},
            .checks = {{{"client", "client_header"},
                        "client_header goes with client = \"header\".",
                        check_client_header}}};
}

Table tenant_table() {
    return {.name = "door_tenant",
            .kind = Kind::many,
            .meaning =
                "What a tenant gets at the door; one without a row has the share that the platform "
                "told, else weight 1, and no limit.",
            .settings = {tenant_name, tenant_weight, tenant_open, tenant_rate, tenant_burst},
            .presence_takes = Takes::reload,
            .unique = "name",
            .most_rows = 256};
}

Table class_table() {
    return {.name = "door_class",
            .kind = Kind::many,
            .meaning = "Limits of a class at the door.",
            .settings = {class_name, class_open, class_rate, class_burst},
            .presence_takes = Takes::reload,
            .unique = "name",
            .most_rows = 256};
}

}  // namespace flaxdoor::settings::door
