// Updates that a configuration source (the operator's file or a cluster) sends to the event loop: route
// tables and pools, as immutable values.
//
// Threading: created on any thread, read on the loop's thread.   Order: changes are applied in the order of
//            their creation. A change lists only the pools that differ from those of earlier changes.
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
    Time since{};  // when it started; zero: long ago or unknown
    bool operator==(const Server&) const = default;
};

struct PoolChange {
    std::string key;
    std::vector<routes::CallClass> classes;
    std::vector<Server> servers;  // the complete list
};

// A listening port, keyed by the port number of its listeners. RuntimeOptions::moved may open it at another
// number.
struct Port {
    std::shared_ptr<const tls::Context> tls;  // null: plain HTTP
    std::shared_ptr<const routes::Table> table;
};
using Ports = std::map<std::uint16_t, Port>;

struct Change {
    std::uint64_t number = 0;
    std::shared_ptr<const Ports> ports;  // null: unchanged
    std::vector<PoolChange> pools;
    std::vector<std::string> gone;  // keys of removed pools
};

// Derives the id of an upstream from its name (FNV-1a, 64 bits), so that all balancers use the same id for
// it.
[[nodiscard]] inline UpstreamId id_of(std::string_view name) {
    std::uint64_t hash = 14695981039346656037ull;
    for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ull;
    return hash;
}

}  // namespace flaxdoor::ingress
