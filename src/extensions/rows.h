// Helpers to read rows of the operator's settings.
#pragma once

#include <string>
#include <string_view>

#include "loop/sockets.h"
#include "settings/faults.h"
#include "settings/values.h"

namespace flaxdoor::extensions {

// Adds a fault at the position of the key, or of the row if the file does not set the key.
inline void add_fault(settings::Faults& faults, const settings::Row& row, std::string_view key,
                      const std::string& what, const std::string& remedy) {
    const settings::Row::Slot& slot = row.slots()[row.table().index_of(key)];
    faults.add(
        {slot.given ? slot.key : row.place(), what, row.table().name + "." + std::string(key), remedy});
}

// Sets `endpoint` to an address of the settings, or adds a fault if the host is not an IPv4 address. Host
// names are not resolved.
inline void set_endpoint(settings::Faults& faults, loop::tcp::endpoint& endpoint,
                         const settings::Address& address, const settings::Row& row, std::string_view key) {
    try {
        endpoint = loop::endpoint_of(address.host, address.port);
    } catch (const std::invalid_argument&) {
        add_fault(faults, row, key, "not an IPv4 address: " + address.host,
                  "host names are not resolved: write its address");
    }
}

template <typename K>
std::size_t count_of(const settings::Row& row, const K& key) {
    return static_cast<std::size_t>(row.get(key));
}

}  // namespace flaxdoor::extensions
