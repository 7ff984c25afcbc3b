// A queue of timers ordered by time, for the core and for sockets. Not thread-safe. set(), remove() and
// take() take O(log n). Removed timers are freed at once; their memory is kept for reuse, up to the greatest
// number that was ever set at once.
#pragma once

#include <cstddef>
#include <map>
#include <memory_resource>
#include <optional>
#include <utility>

#include "flaxdoor/decide.h"

namespace flaxdoor::core {

template <typename Due>
class Timers {
    using Map = std::pmr::multimap<Time, Due>;

public:
    using Handle = typename Map::iterator;

    // Timers with equal times come due in the order in which they were set. The handle is valid until the
    // timer is removed or taken.
    Handle set(Time at, Due due) { return map_.emplace(at, std::move(due)); }
    void remove(Handle handle) { map_.erase(handle); }
    template <typename Matches>
    void remove_if(Matches matches) {
        std::erase_if(map_, [&](const auto& item) { return matches(item.second); });
    }

    std::optional<Time> next() const {
        return map_.empty() ? std::nullopt : std::optional(map_.begin()->first);
    }
    // Removes and returns the first timer that is due by `now`.
    std::optional<Due> take(Time now) {
        if (map_.empty() || map_.begin()->first > now) return std::nullopt;
        std::optional<Due> due(std::move(map_.begin()->second));
        map_.erase(map_.begin());
        return due;
    }
    std::size_t size() const { return map_.size(); }

private:
    std::pmr::unsynchronized_pool_resource memory_;
    Map map_{&memory_};
};

}  // namespace flaxdoor::core
