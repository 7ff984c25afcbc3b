// Update guard: delays removals when a full list implausibly lacks most of the known resources at once, as
// the list of a faulty API server may. Additions and changes of such a list apply at once, and so does a
// DELETED event.
//
// Threading: one thread at a time.   Time is an argument.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gateway/resources.h"

namespace flaxdoor::gateway {

class UpdateGuard {
public:
    struct Options {
        Micros hold = std::chrono::seconds(30);  // how long removals are delayed; 0 turns the guard off
        double most = 0.5;      // largest share of the known resources that one list may remove at once
        std::size_t least = 1;  // with fewer known resources no list is implausible
    };
    explicit UpdateGuard(Options options) : options_(options) {}

    // Decides on a full list. `known_count` resources of the kind were known before it, and the list lacks
    // those in `missing`. Returns the keys to remove now; the others are held. A later list decides again.
    [[nodiscard]] std::vector<std::string> on_list(Time now, KindOf kind, std::size_t known_count,
                                                   std::vector<std::string> missing);
    // Ends the hold of a resource that an event named.
    void on_event(KindOf kind, const std::string& key);
    // Returns the keys whose hold has expired. The caller removes them now.
    [[nodiscard]] std::vector<std::pair<KindOf, std::string>> due(Time now);

    // Returns when the next hold expires.
    std::optional<Time> next() const;
    // Describes what is held, for people; empty: nothing is held. The text stays the same while the holds do.
    std::string text() const;
    bool holds(KindOf kind, const std::string& key) const;

private:
    struct Hold {
        Time until{};
        std::size_t known_count = 0;
        std::set<std::string> keys;
    };
    Options options_;
    std::map<KindOf, Hold> holds_;
};

}  // namespace flaxdoor::gateway
