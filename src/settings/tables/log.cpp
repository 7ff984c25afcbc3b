#include "settings/tables/log.h"

namespace flaxdoor::settings::log {

Table table() {
    return {.name = "log",
            .meaning = "The lines on standard error. Each event: log.md.",
            .settings = {format, level, events, rate, burst, queue_bytes, queue_lines}};
}

}  // namespace flaxdoor::settings::log
