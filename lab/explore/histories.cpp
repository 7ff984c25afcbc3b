#include "explore/histories.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace flaxdoor::lab {

namespace {

std::uint64_t hash(std::initializer_list<std::uint64_t> numbers) {
    return XXH3_64bits(numbers.begin(), numbers.size() * sizeof(std::uint64_t));
}

}  // namespace

// The state is the sum over entities of a hash of who it is and what it met: it does not depend on the order
// in which different entities met things.
void Histories::grow(Kind kind, std::uint32_t number, std::uint64_t by) {
    std::uint64_t& its = of(kind, number);
    const auto part = [&] { return its == 0 ? 0 : hash({static_cast<std::uint64_t>(kind), number, its}); };
    state_ -= part();
    its = hash({its, by});
    state_ += part();
}

void Histories::meets(const Happening& h, std::uint64_t name) {
    const std::uint64_t what = hash({static_cast<std::uint64_t>(h.what), name,
                                     static_cast<std::uint64_t>(h.at.count()), of(Kind::troubles)});
    switch (h.what) {
        case What::client_calls:
        case What::client_repeats:
        case What::try_answered:
        case What::try_broken:
        case What::try_given_up: return grow(Kind::client, h.who, hash({what, of(Kind::front)}));
        case What::flight_comes:
        case What::server_reports: return grow(Kind::server, h.who, what);
        case What::server_done:
            // Its effect may be a repeat of what ran elsewhere.
            grow(Kind::effects, 0, what);
            return grow(Kind::server, h.who, hash({what, of(Kind::effects)}));
        case What::try_comes:
        case What::try_left:
        case What::connected:
        case What::connect_refused:
        case What::flight_answered:
        case What::alarm:
        case What::sweep: return grow(Kind::balancer, h.who, what);
        case What::roster_tells:
        case What::roster_answers:
        case What::watch_checked: return grow(Kind::balancer, h.who, hash({what, of(Kind::roster)}));
        case What::balancer_up:
        case What::balancer_ended:
        case What::front_forgets: grow(Kind::front, 0, what); return grow(Kind::balancer, h.who, what);
        case What::trouble_begins:
        case What::trouble_ends:
        case What::trouble_step:
            grow(Kind::roster, 0, what);
            grow(Kind::front, 0, what);
            return grow(Kind::troubles, 0, what);
        case What::end: return;
    }
}

}  // namespace flaxdoor::lab
