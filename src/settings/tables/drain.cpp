#include "settings/tables/drain.h"

namespace flaxdoor::settings::drain {

Table table() {
    return {.name = "drain",
            .meaning = "How the balancer ends when it is asked to.",
            .settings = {keep_accepting, end_slack}};
}

}  // namespace flaxdoor::settings::drain
