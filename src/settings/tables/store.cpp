#include "settings/tables/store.h"

#include "settings/values.h"

namespace flaxdoor::settings::store {

namespace {

std::optional<Objection> check_identity(const Row& row) {
    const auto text = row.get(identity);
    if (!text || text->find_first_not_of("0123456789abcdef") == std::string::npos) return std::nullopt;
    return Objection{"invalid identity: " + *text,
                     "write 32 of the digits 0-9 and a-f, as printed by `flaxdoor store stat`"};
}

}  // namespace

Table table() {
    return {.name = "store",
            .kind = Kind::optional,
            .meaning =
                "What is kept on a disk and read again at the next start: the last list, and what was "
                "learned of each upstream.",
            .settings = {folder, identity, open_within, remember_every, half_life, soon, queue_bytes,
                         queue_requests, work_rate},
            .checks = {{{"identity"}, "An identity has 32 of the digits 0-9 and a-f.", check_identity}}};
}

}  // namespace flaxdoor::settings::store
