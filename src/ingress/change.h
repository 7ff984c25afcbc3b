// What a source (the operator's file, a cluster) tells the loop: tables and pools, as immutable values.
//
// Threading: made on any thread, read on the loop's.   Order: changes are applied in the order of their
//            making; a pool stands in a change only where it differs from what was told before.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/call.h"
#include "routes/rule.h"
#include "routes/table.h"
#include "tls/tls.h"

namespace flaxdoor::ingress {

struct Server {
    UpstreamId id = 0;
    std::string name, address;
    std::string zone;
    bool draining = false;
    Time since{};  // when it started, as far as is known; zero: long ago, or not known
    bool operator==(const Server&) const = default;
};

struct PoolChange {
    std::string key;
    std::vector<routes::CallClass> classes;
    std::vector<Server> servers;  // all of them
};

// One port that is listened on, by the number that its listeners have (where it is opened may be elsewhere).
struct Port {
    std::shared_ptr<const tls::Context> tls;  // null: none
    std::shared_ptr<const routes::Table> table;
};
using Ports = std::map<std::uint16_t, Port>;

struct Change {
    std::uint64_t number = 0;
    std::shared_ptr<const Ports> ports;  // null: as before
    std::vector<PoolChange> pools;
    std::vector<std::string> gone;  // pools that are wanted no more
};

// Ids are drawn from names: the same server has the same one at every balancer (FNV-1a, 64 bits).
[[nodiscard]] inline UpstreamId id_of(std::string_view name) {
    std::uint64_t hash = 14695981039346656037ull;
    for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ull;
    return hash;
}

}  // namespace flaxdoor::ingress
