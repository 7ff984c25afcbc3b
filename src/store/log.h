// The log of batches; docs/store_format.md, "Log", describes the format. Encodes records and decodes the
// records of a file up to the first unreadable one. recovery.h decides what an unreadable record means.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/identity.h"
#include "store/status.h"

namespace flaxdoor::store {

// Sizes in bytes.
inline constexpr std::size_t log_header_bytes = 64;
inline constexpr std::size_t record_header_bytes = 32;
inline constexpr std::size_t record_alignment = 8;
inline constexpr std::size_t max_record_bytes = 16 * 1024 * 1024;  // a longer payload is no valid record

// Returns the header of a log. `synced` is the greatest sequence known to be durable.
[[nodiscard]] std::string log_header(const Identity& identity, std::uint64_t number, std::uint64_t salt,
                                     std::uint64_t synced);

// Encodes the operations of one record.
class RecordWriter {
public:
    void put(std::string_view key, std::string_view value);
    void erase(std::string_view key);
    std::uint32_t operations() const { return operations_; }
    std::size_t bytes() const { return payload_.size(); }
    // Appends the record and its padding to `out`. Requires that `out` starts at a multiple of
    // record_alignment in its file.
    void finish(std::string& out, std::uint64_t salt, std::uint64_t first_sequence,
                std::uint64_t synced) const;

private:
    std::string payload_;
    std::uint32_t operations_ = 0;
};

// A decoded record. `payload` refers to the bytes that were decoded.
struct Record {
    std::uint64_t offset = 0;
    std::uint64_t first_sequence = 0;
    std::uint32_t operations = 0;
    std::uint64_t synced = 0;  // greatest sequence known to be durable when the record was written
    std::string_view payload;
    std::uint64_t end = 0;  // offset after the padding
    std::uint64_t last_sequence() const { return first_sequence + operations - 1; }
};

struct LogOperation {
    bool put = false;
    std::string_view key, value;
};
// Decodes the operations of a record. Returns false if the payload does not match the record header.
[[nodiscard]] bool read_operations(const Record& record, std::vector<LogOperation>& out);

// Returns the identity of the store named by a log header, or nothing if the header is unreadable.
[[nodiscard]] std::optional<Identity> identity_of_log(std::string_view bytes);

// Reads the records of one log file from its bytes, which it borrows.
class LogReader {
public:
    LogReader(std::string_view bytes, const Identity& identity, std::uint64_t number);
    // Whether the header is intact and belongs to this file. A file without a valid header has no records.
    bool has_header() const { return has_header_; }
    bool newer_version() const { return newer_version_; }  // written by a format version unknown to this code
    std::uint64_t synced() const { return synced_; }
    // Return the length and the first sequence stated at this offset without verifying them. Require that
    // `offset` is at least record_header_bytes before the end.
    std::uint64_t stated_length(std::uint64_t offset) const;
    std::uint64_t stated_sequence(std::uint64_t offset) const;
    // Returns the record at this offset, or nothing unless its hash matches.
    [[nodiscard]] std::optional<Record> at(std::uint64_t offset) const;
    std::uint64_t size() const { return bytes_.size(); }

private:
    const std::string_view bytes_;
    bool has_header_ = false;
    bool newer_version_ = false;
    std::uint64_t salt_ = 0;
    std::uint64_t synced_ = 0;
};

}  // namespace flaxdoor::store
