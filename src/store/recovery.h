// Recovery of the log records after a normal end, a crash or a power cut. Determines the valid records, and
// whether the bytes after them are an incomplete write (a tail) or damage. docs/store_format.md, "Recovery".
// No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "store/log.h"
#include "store/status.h"

namespace flaxdoor::store {

// A log file that was read completely.
struct LogBytes {
    std::string name;
    std::uint64_t number = 0;
    std::string bytes;
};

// Result of recover().
struct RecoveredLogs {
    std::vector<Record> records;  // valid records in order; they refer to the bytes of the logs
    std::uint64_t last_sequence = 0;
    std::uint64_t durable_sequence = 0;  // greatest sequence known to have been durable
    // The first unreadable record, if there is one, and the size of what is lost with it.
    bool has_unreadable = false;
    std::string unreadable_file;  // name of the file
    std::uint64_t unreadable_offset = 0;
    std::uint64_t dropped_bytes = 0;  // bytes from there to the end of the last log
    Result result;  // `corrupt` if the logs are damaged, `refused` if they are of a newer version
};

// Recovers the records of `logs`, which are in ascending order of number and start with the log named by the
// manifest. The manifest also states that the runs hold all operations up to `sequence`, and that all up to
// `synced` were durable.
[[nodiscard]] RecoveredLogs recover(const std::vector<LogBytes>& logs, const Identity& identity,
                                    std::uint64_t sequence, std::uint64_t synced);

}  // namespace flaxdoor::store
