#include "settings/tables/core.h"

namespace flaxdoor::settings::core {

Table table() {
    return {.name = "core",
            .meaning = "Calls, wherever they come from.",
            .settings = {max_open_calls, default_deadline, unknown_tenants}};
}

}  // namespace flaxdoor::settings::core
