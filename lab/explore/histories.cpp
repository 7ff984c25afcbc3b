#include "explore/histories.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace flaxdoor::lab {

namespace {

std::uint64_t hash(std::initializer_list<std::uint64_t> numbers) {
    return XXH3_64bits(numbers.begin(), numbers.size() * sizeof(std::uint64_t));
}

}  // namespace

// The state is the sum of the hashes of each entity's identity and history. It does not depend on the order of events
// of different entities.
void Histories::append(Kind kind, std::uint32_t number, std::uint64_t event) {
    std::uint64_t& entity_history = history(kind, number);
    const auto contribution = [&] {
        return entity_history == 0 ? 0 : hash({static_cast<std::uint64_t>(kind), number, entity_history});
    };
    state_ -= contribution();
    entity_history = hash({entity_history, event});
    state_ += contribution();
}

void Histories::meets(const Happening& event, std::uint64_t name) {
    const std::uint64_t event_hash =
        hash({static_cast<std::uint64_t>(event.what), name, static_cast<std::uint64_t>(event.at.count()),
              history(Kind::troubles)});
    switch (event.what) {
        case What::client_calls:
        case What::client_repeats:
        case What::try_answered:
        case What::try_broken:
        case What::try_given_up:
            return append(Kind::client, event.who, hash({event_hash, history(Kind::front)}));
        case What::flight_comes:
        case What::server_reports: return append(Kind::server, event.who, event_hash);
        case What::server_done:
            // The effect may be a duplicate of one at another server.
            append(Kind::effects, 0, event_hash);
            return append(Kind::server, event.who, hash({event_hash, history(Kind::effects)}));
        case What::try_comes:
        case What::try_left:
        case What::connected:
        case What::connect_refused:
        case What::flight_answered:
        case What::alarm:
        case What::sweep: return append(Kind::balancer, event.who, event_hash);
        case What::roster_tells:
        case What::roster_answers:
        case What::watch_checked:
            return append(Kind::balancer, event.who, hash({event_hash, history(Kind::roster)}));
        case What::balancer_up:
        case What::balancer_ended:
        case What::front_forgets:
            append(Kind::front, 0, event_hash);
            return append(Kind::balancer, event.who, event_hash);
        case What::trouble_begins:
        case What::trouble_ends:
        case What::trouble_step:
            append(Kind::roster, 0, event_hash);
            append(Kind::front, 0, event_hash);
            return append(Kind::troubles, 0, event_hash);
        case What::end: return;
    }
}

}  // namespace flaxdoor::lab
