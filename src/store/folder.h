// The files of a store folder and the selection of those that are current; docs/store_format.md. Used when a
// store is opened and by salvage.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/files.h"
#include "store/manifest.h"
#include "store/recovery.h"
#include "store/status.h"

namespace flaxdoor::store {

inline constexpr std::size_t max_manifest_bytes = 16 * 1024 * 1024;
// Limit for all logs together that are read when a store is opened.
inline constexpr std::uint64_t max_total_log_bytes = 256 * 1024 * 1024;
// Number of levels of runs.
inline constexpr std::size_t max_levels = 7;

// Returns the result for a failed file operation that had no effect: `refused` if it cannot succeed later
// (read-only or no permission), otherwise `retry`.
[[nodiscard]] Result file_error(std::string_view what, int error);

// Reads a whole file. A file of more than `max_bytes` bytes is `corrupt`.
[[nodiscard]] Result read_file(Files& files, const std::string& name, std::uint64_t max_bytes,
                               std::string& bytes);

// Numbers of the files found in a folder, by kind.
struct FolderFiles {
    std::vector<std::uint64_t> logs, runs, manifests;  // in ascending order
    bool identity = false;                             // whether the file IDENTITY exists
    std::uint64_t max_number = 0;                      // greatest number of any file
};
// Lists the files of the folder. Names that belong to no store are added to `unknown_names`; without it the
// result is `refused`.
[[nodiscard]] Result list_store_files(Files& files, FolderFiles& found,
                                      std::vector<std::string>* unknown_names = nullptr);

// Reads the newest readable manifest of this store. An unreadable newer one was never in effect, as its
// write did not complete. Leaves `manifest` empty if none is readable.
[[nodiscard]] Result load_current_manifest(Files& files, const FolderFiles& found,
                                           const std::optional<Identity>& identity,
                                           std::optional<Manifest>& manifest);

// Reads all logs whose number is at least `min_number`.
[[nodiscard]] Result read_logs(Files& files, const FolderFiles& found, std::uint64_t min_number,
                               std::vector<LogBytes>& logs);

}  // namespace flaxdoor::store
