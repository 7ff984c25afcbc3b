// The manifest, which names the current files of a store; docs/store_format.md, "Manifest".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/identity.h"
#include "store/run.h"

namespace flaxdoor::store {

// Content of a manifest.
struct Manifest {
    Identity identity{};  // identity of the store
    std::uint64_t number = 0;
    std::uint64_t log = 0;        // number of the oldest log that is still needed
    std::uint64_t sequence = 0;   // all operations up to this one are in the runs
    std::uint64_t synced = 0;     // greatest sequence known to be durable
    std::uint64_t next_file = 1;  // number of the next new file
    std::vector<RunMetadata> runs;
};

[[nodiscard]] std::string encode(const Manifest& manifest);
struct Decoded {
    std::optional<Manifest> manifest;
    bool newer_version = false;  // written by a newer format version
};
// Returns no manifest if the bytes are damaged or of a newer version.
[[nodiscard]] Decoded decode_manifest(std::string_view bytes);

}  // namespace flaxdoor::store
