#include "settings/product.h"

#include "settings/tables/budget.h"
#include "settings/tables/core.h"
#include "settings/tables/door.h"
#include "settings/tables/drain.h"
#include "settings/tables/gateway.h"
#include "settings/tables/http.h"
#include "settings/tables/log.h"
#include "settings/tables/membership.h"
#include "settings/tables/postgres.h"
#include "settings/tables/store.h"

namespace flaxdoor::settings {

// The only place that lists all subsystems. Each adds its tables here, in the order of the settings page.
Schema product_schema() {
    auto checks = postgres::checks();
    for (auto& check : gateway::checks()) checks.push_back(std::move(check));
    for (auto& check : budget::checks()) checks.push_back(std::move(check));
    return Schema(
        {http::table(), core::table(), drain::table(), log::table(), membership::table(), store::table(),
         door::table(), door::tenant_table(), door::class_table(), budget::table(), budget::limit_table(),
         budget::coordinator_table(), postgres::table(), postgres::server_table(), postgres::database_table(),
         postgres::user_table(), gateway::table(), gateway::pool_table(), gateway::route_table()},
        std::move(checks));
}

}  // namespace flaxdoor::settings
