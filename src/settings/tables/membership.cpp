#include "settings/tables/membership.h"

namespace flaxdoor::settings::membership {

Table table() {
    return {.name = "membership",
            .meaning = "The list of upstreams, as discovery tells it.",
            .settings = {max_line_bytes, silence_timeout, answer_timeout}};
}

}  // namespace flaxdoor::settings::membership
