#include "store/recovery.h"

#include <algorithm>

namespace flaxdoor::store {

namespace {

// Bytes of the shortest operation: kind, key length and a key of one byte
constexpr std::uint64_t min_operation_bytes = 3;
// Lower limit of the bytes that are hashed while scanning.
constexpr std::uint64_t min_hash_budget = 64 * 1024 * 1024;

// Scans the bytes after an unreadable record for the greatest sequence that a readable record states as
// synced. These bytes may be arbitrary. Bytes whose sequence or length is impossible for these logs are not
// hashed, and the number of hashed bytes is bounded.
class DurableSequenceScan {
public:
    DurableSequenceScan(std::uint64_t sequence, std::uint64_t log_bytes)
        : min_sequence_(sequence + 1),
          max_sequence_(sequence + log_bytes / min_operation_bytes),
          hash_budget_(std::max(min_hash_budget, 4 * log_bytes)) {}

    void scan(const LogReader& reader, std::uint64_t from) {
        if (!reader.has_header()) return;
        std::uint64_t offset = std::max<std::uint64_t>(from, log_header_bytes);
        offset = (offset + record_alignment - 1) / record_alignment * record_alignment;
        while (!exhausted_ && offset + record_header_bytes <= reader.size()) {
            const std::uint64_t sequence = reader.stated_sequence(offset);
            const std::uint64_t length = reader.stated_length(offset);
            std::uint64_t next = offset + record_alignment;
            if (sequence >= min_sequence_ && sequence <= max_sequence_ &&
                length <= reader.size() - offset - record_header_bytes) {
                exhausted_ = length > hash_budget_;
                if (exhausted_) return;
                hash_budget_ -= length;
                if (const auto record = reader.at(offset)) {
                    durable_sequence_ = std::max(durable_sequence_, record->synced);
                    next = record->end;
                }
            }
            offset = next;
        }
    }

    std::uint64_t durable_sequence() const { return durable_sequence_; }
    bool exhausted() const { return exhausted_; }

private:
    const std::uint64_t min_sequence_, max_sequence_;
    std::uint64_t hash_budget_;
    std::uint64_t durable_sequence_ = 0;
    bool exhausted_ = false;
};

}  // namespace

RecoveredLogs recover(const std::vector<LogBytes>& logs, const Identity& identity, std::uint64_t sequence,
                      std::uint64_t synced) {
    RecoveredLogs recovered;
    recovered.last_sequence = sequence;
    recovered.durable_sequence = synced;
    std::uint64_t bytes = 0;
    for (const LogBytes& log : logs) bytes += log.bytes.size();
    DurableSequenceScan scanner(sequence, bytes);
    const auto damage = [&](const std::string& what) {
        if (!recovered.result) return;
        recovered.result = Result::corrupt(recovered.unreadable_file + ", offset " +
                                           std::to_string(recovered.unreadable_offset) + ": " + what);
    };
    std::vector<LogOperation> operations;
    for (const LogBytes& log : logs) {
        const LogReader reader(log.bytes, identity, log.number);
        if (reader.newer_version()) {
            recovered.result = Result::refused(log.name + ": written by a newer version");
            return recovered;
        }
        recovered.durable_sequence = std::max(recovered.durable_sequence, reader.synced());
        if (recovered.has_unreadable) {
            scanner.scan(reader, 0);
            recovered.dropped_bytes += log.bytes.size();
            continue;
        }
        if (&log != &logs.front() && reader.synced() > recovered.last_sequence) {
            // The previous log is durable up to its end, but its end is missing.
            const LogBytes& previous = *(&log - 1);
            recovered.has_unreadable = true;
            recovered.unreadable_file = previous.name;
            recovered.unreadable_offset = previous.bytes.size();
            scanner.scan(reader, 0);
            continue;
        }
        std::uint64_t at = reader.has_header() ? log_header_bytes : 0;
        bool intact = reader.has_header();
        while (intact && at < reader.size()) {
            const auto record = reader.at(at);
            intact = record && record->first_sequence == recovered.last_sequence + 1 &&
                     read_operations(*record, operations);
            if (!intact) break;
            recovered.durable_sequence = std::max(recovered.durable_sequence, record->synced);
            recovered.last_sequence = record->last_sequence();
            recovered.records.push_back(*record);
            at = record->end;
        }
        if (intact) continue;
        recovered.has_unreadable = true;
        recovered.unreadable_file = log.name;
        recovered.unreadable_offset = at;
        recovered.dropped_bytes = log.bytes.size() - at;
        scanner.scan(reader, at);
        // A header is durable before a manifest names its log, and before a record follows it.
        const bool first = &log == &logs.front();
        if (!reader.has_header() && (first || log.bytes.size() > log_header_bytes)) {
            damage("the header of the log cannot be read");
        }
    }
    recovered.durable_sequence = std::max(recovered.durable_sequence, scanner.durable_sequence());
    if (recovered.has_unreadable && recovered.last_sequence < recovered.durable_sequence) {
        damage("a durable record cannot be read (sequence " + std::to_string(recovered.last_sequence + 1) +
               ", durable up to " + std::to_string(recovered.durable_sequence) + ")");
    }
    if (recovered.has_unreadable && scanner.exhausted())
        damage("the bytes after the unreadable record exceed the limit for scanning");
    // Logs without an unreadable record may still be too short: another record or the manifest states a
    // greater durable sequence.
    if (!recovered.has_unreadable && recovered.last_sequence < recovered.durable_sequence) {
        const bool any = !logs.empty();
        recovered.unreadable_file = any ? logs.back().name : "log";
        recovered.unreadable_offset = any ? logs.back().bytes.size() : 0;
        damage("the log ends at sequence " + std::to_string(recovered.last_sequence) +
               ", but operations up to " + std::to_string(recovered.durable_sequence) + " were durable");
    }
    return recovered;
}

}  // namespace flaxdoor::store
