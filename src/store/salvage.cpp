// Salvage in two passes over everything that can be read. The first reports losses and determines the state
// of the streams. The second writes the newest value of each key into runs that do not overlap.
// docs/store_format.md, "Salvage".
#include <algorithm>
#include <cerrno>
#include <map>
#include <set>

#include "store/coding.h"
#include "store/cursor.h"
#include "store/engine.h"
#include "store/folder.h"
#include "store/log.h"
#include "store/memory_table.h"
#include "store/recovery.h"

namespace flaxdoor::store {

namespace {

using LossReport = std::function<void(const std::string&)>;

constexpr std::uint64_t run_bytes = 4 * 1024 * 1024;  // size of one output run
// Limit of the bytes that are hashed to find records after damage.
constexpr std::uint64_t max_hashed_bytes = 1024 * 1024 * 1024;

class Salvage {
public:
    Salvage(Files& from, Files& to, Engine::Chance random, const LossReport& report)
        : from_(from), to_(to), random_(std::move(random)), report_(report), cache_(8 * 1024 * 1024) {}

    Result run() {
        if (auto result = lock(); !result) return result;
        if (auto result = read_folder(); !result) return result;
        if (auto result = choose_manifest(); !result) return result;
        if (auto result = load_logs(); !result) return result;
        if (auto result = survey(); !result) return result;
        return write();
    }

private:
    struct Extent {
        std::uint64_t first_position = 0, next_position = 0;  // as stated by the stored state of the stream
        std::uint64_t last_position = 0;                      // greatest position that was found
        bool has_elements = false;
    };

    Result lock() {
        for (Files* files : {&from_, &to_}) {
            if (const int error = files->lock(); error != 0) {
                return error == EWOULDBLOCK ? Result::refused("another process has the store open")
                                            : file_error("LOCK", error);
            }
        }
        FolderFiles found;
        std::vector<std::string> unknown_names;
        if (auto result = list_store_files(to_, found, &unknown_names); !result) return result;
        if (found.identity || found.max_number != 0 || !unknown_names.empty() || !found.logs.empty())
            return Result::refused("the folder to write to is not empty");
        return Result::ok();
    }

    Result read_folder() {
        std::vector<std::string> unknown_names;
        if (auto result = list_store_files(from_, found_, &unknown_names); !result) return result;
        for (const std::string& name : unknown_names) report_(name + ": not a file of a store, ignored");
        if (!found_.identity) {
            report_("IDENTITY: missing");
            return Result::ok();
        }
        std::string bytes;
        const auto result = read_file(from_, "IDENTITY", 4096, bytes);
        bool newer_version = false;
        if (result) identity_ = decode_identity(bytes, newer_version);
        if (newer_version) return Result::refused("IDENTITY: written by a newer version");
        if (!identity_) report_("IDENTITY, offset 0: cannot be read");
        return Result::ok();
    }

    Result choose_manifest() {
        for (auto number = found_.manifests.rbegin(); number != found_.manifests.rend() && !manifest_;
             ++number) {
            const std::string name = name_of(*number, "manifest");
            std::string bytes;
            const auto result = read_file(from_, name, max_manifest_bytes, bytes);
            auto decoded = decode_manifest(bytes);
            if (decoded.newer_version) return Result::refused(name + ": written by a newer version");
            const bool valid = result && decoded.manifest && decoded.manifest->number == *number &&
                               (!identity_ || *identity_ == decoded.manifest->identity);
            if (valid) {
                manifest_ = std::move(decoded.manifest);
            } else {
                report_(result ? name + ", offset 0: cannot be read" : result.why);
            }
        }
        if (manifest_ && !identity_) identity_ = manifest_->identity;
        if (!identity_) {
            // The header of a log states the identity as well.
            for (const std::uint64_t number : found_.logs) {
                std::string bytes;
                if (!identity_ && read_file(from_, name_of(number, "log"), max_total_log_bytes, bytes))
                    identity_ = identity_of_log(bytes);
            }
        }
        if (!identity_) {
            report_(
                "no file states the identity of the store: a new one is drawn, and runs of another "
                "store cannot be recognized");
            identity_.emplace();
            for (auto& byte : *identity_) byte = static_cast<std::uint8_t>(random_());
        }
        if (!manifest_) {
            report_("no manifest can be read: all runs and logs are used, including obsolete ones");
            for (const std::uint64_t number : found_.runs) {
                std::unique_ptr<File> file;
                RunMetadata metadata;
                metadata.number = number;
                if (from_.open(name_of(number, "run"), file) != 0 || file->size(metadata.size) != 0) {
                    report_(name_of(number, "run") + ": cannot be opened");
                    continue;
                }
                add_run(metadata);
            }
            return Result::ok();
        }
        last_sequence_ = manifest_->sequence;
        for (const RunMetadata& metadata : manifest_->runs) {
            if (std::binary_search(found_.runs.begin(), found_.runs.end(), metadata.number)) {
                add_run(metadata);
                continue;
            }
            report_(name_of(metadata.number, "run") + ": missing, keys " + printable_key(metadata.first) +
                    " to " + printable_key(metadata.last) + " may be missing or have an older value");
        }
        return Result::ok();
    }

    void add_run(const RunMetadata& metadata) {
        runs_.push_back(std::make_shared<Run>(from_, cache_, *identity_, metadata));
    }

    Result load_logs() {
        std::vector<LogBytes> logs;
        const std::uint64_t min_number = manifest_ ? manifest_->log : 0;
        if (manifest_ && !std::binary_search(found_.logs.begin(), found_.logs.end(), min_number))
            report_(name_of(min_number, "log") + ": missing, the latest writes are lost");
        for (const std::uint64_t number : found_.logs) {
            if (number < min_number) continue;
            LogBytes log{name_of(number, "log"), number, {}};
            if (auto result = read_file(from_, log.name, max_total_log_bytes, log.bytes); !result) {
                report_(result.why + ": the whole log is lost");
                continue;
            }
            logs.push_back(std::move(log));
        }
        if (manifest_) {
            const RecoveredLogs recovered = recover(logs, *identity_, manifest_->sequence, manifest_->synced);
            if (recovered.result.status == Status::refused) return recovered.result;
            if (recovered.result) {
                if (recovered.has_unreadable) {
                    report_(recovered.unreadable_file + ", offset " +
                            std::to_string(recovered.unreadable_offset) +
                            ": dropped an incomplete write of " + std::to_string(recovered.dropped_bytes) +
                            " bytes that was never durable");
                }
                for (const Record& record : recovered.records) apply_record(record);
                return Result::ok();
            }
            report_(recovered.result.why);
        }
        for (const LogBytes& log : logs) {
            const LogReader reader(log.bytes, *identity_, log.number);
            if (reader.newer_version()) return Result::refused(log.name + ": written by a newer version");
            salvage_log(log, reader);
        }
        return Result::ok();
    }

    // Applies every readable batch and reports the gaps between them.
    void salvage_log(const LogBytes& log, const LogReader& reader) {
        if (!reader.has_header()) {
            report_(log.name + ", offset 0: its header cannot be read, all " +
                    std::to_string(log.bytes.size()) + " bytes are lost");
            return;
        }
        std::uint64_t lost_from = 0;
        const auto report_gap = [&](std::uint64_t to) {
            if (lost_from != 0)
                report_(log.name + ", offset " + std::to_string(lost_from) + " to " + std::to_string(to) +
                        ": cannot be read");
            lost_from = 0;
        };
        std::uint64_t at = log_header_bytes;
        while (at < log.bytes.size()) {
            const bool header_fits = at + record_header_bytes <= log.bytes.size();
            const std::uint64_t length = header_fits ? reader.stated_length(at) : 0;
            std::optional<Record> record;
            if (header_fits && length <= log.bytes.size() - at &&
                length <= max_hashed_bytes - hashed_bytes_) {
                hashed_bytes_ += length;
                record = reader.at(at);
            }
            std::vector<LogOperation> operations;
            if (!record || record->first_sequence <= last_sequence_ ||
                !read_operations(*record, operations)) {
                if (lost_from == 0) lost_from = at;
                at = std::min<std::uint64_t>(at + record_alignment, log.bytes.size());
                continue;
            }
            report_gap(at);
            if (record->first_sequence != last_sequence_ + 1 && (manifest_ || last_sequence_ != 0)) {
                report_(log.name + ": batches of sequence " + std::to_string(last_sequence_ + 1) + " to " +
                        std::to_string(record->first_sequence - 1) + " are lost");
            }
            apply_record(*record);
            at = record->end;
        }
        report_gap(log.bytes.size());
    }

    void apply_record(const Record& record) {
        std::vector<LogOperation> operations;
        if (!read_operations(record, operations)) return;
        std::uint64_t sequence = record.first_sequence;
        for (const LogOperation& operation : operations)
            table_.add(operation.key, sequence++, operation.put, operation.value, 0);
        last_sequence_ = std::max(last_sequence_, record.last_sequence());
    }

    std::unique_ptr<Cursor> merged_cursor(const LossReport& report) {
        std::vector<std::unique_ptr<Cursor>> cursors;
        cursors.push_back(table_.cursor());
        cursors.push_back(repairs_.cursor());
        for (const auto& run : runs_) cursors.push_back(Run::salvage_cursor(run, report));
        return std::make_unique<MergeCursor>(std::move(cursors));
    }

    // Visits the newest entry of each key if it is a value.
    template <typename Visit>
    Result for_each_newest(const LossReport& report, Visit visit) {
        const auto cursor = merged_cursor(report);
        if (auto result = cursor->seek({}); !result) return result;
        std::string last_key;
        for (bool has_last = false; cursor->valid();) {
            // Entries out of order are damage and are skipped.
            if (!has_last || cursor->key() > last_key) {
                has_last = true;
                last_key = cursor->key();
                max_sequence_ = std::max(max_sequence_, cursor->sequence());
                if (cursor->is_put()) {
                    if (auto result = visit(*cursor); !result) return result;
                }
            }
            if (auto result = cursor->next(); !result) return result;
        }
        return Result::ok();
    }

    // First pass. The metadata in space 0 is visited first, so that the kinds of all other spaces are known
    // when their entries follow.
    Result survey() {
        auto result = for_each_newest(report_, [&](const Cursor& cursor) {
            Reader reader(cursor.key());
            const std::uint64_t space = reader.varint();
            const std::string_view entry_key = cursor.key().substr(cursor.key().size() - reader.left());
            if (space == 0) {
                if (survey_metadata(entry_key, cursor.value())) return Result::ok();
                report_("entry " + printable_key(cursor.key()) + ": cannot be read, left out");
                unreadable_keys_.insert(std::string(cursor.key()));
            } else if (space <= max_spaces) {
                survey_entry(static_cast<SpaceId>(space), entry_key);
            }
            return Result::ok();
        });
        if (!result) return result;
        last_sequence_ = std::max(last_sequence_, max_sequence_);
        for (const SpaceId space : unnamed_spaces_) {
            std::string name = "lost-" + std::to_string(space);
            while (space_names_.contains(name)) name += "-";
            report_("space " + std::to_string(space) +
                    ": its name and kind are lost, its entries are kept in " + name);
            std::string value;
            put_varint(value, space);
            value.push_back(static_cast<char>(SpaceKind::keys));
            add_metadata("n" + name, value);
        }
        for (const auto& [stream, extent] : streams_) {
            if (!extent.has_elements) continue;
            std::string key = "s", value;
            put_varint(key, stream.first);
            put_varint(value, std::max(extent.next_position, extent.last_position + 1));
            put_varint(value, extent.first_position);
            add_metadata(key.append(stream.second), value);
        }
        return Result::ok();
    }

    void add_metadata(const std::string& metadata_key, const std::string& value) {
        std::string key;
        put_varint(key, 0);
        repairs_.add(key.append(metadata_key), ++last_sequence_, true, value, 0);
    }

    // Records an entry of space 0. Returns false if the store could not have written it.
    bool survey_metadata(std::string_view metadata_key, std::string_view value) {
        Reader reader(value);
        const std::uint64_t number = reader.varint();
        if (metadata_key.starts_with("n")) {
            const auto kind = static_cast<SpaceKind>(reader.u8());
            const bool valid = reader.good() && reader.empty() && number > 0 && number <= max_spaces &&
                               (kind == SpaceKind::keys || kind == SpaceKind::streams);
            if (!valid || !space_kinds_.emplace(static_cast<SpaceId>(number), kind).second) return false;
            return space_names_.insert(std::string(metadata_key.substr(1))).second;
        }
        if (!metadata_key.starts_with("s")) return false;
        Reader name(metadata_key.substr(1));
        const std::uint64_t space = name.varint();
        const std::uint64_t first_position = reader.varint();
        if (!name.good() || !reader.good() || !reader.empty() || space > max_spaces ||
            first_position > number)
            return false;
        Extent& extent = streams_[{static_cast<SpaceId>(space),
                                   std::string(metadata_key.substr(metadata_key.size() - name.left()))}];
        extent.next_position = number;
        extent.first_position = first_position;
        return true;
    }

    void survey_entry(SpaceId space, std::string_view entry_key) {
        const auto kind = space_kinds_.find(space);
        if (kind == space_kinds_.end()) {
            unnamed_spaces_.insert(space);
            ++key_count_;
            return;
        }
        if (kind->second == SpaceKind::keys) {
            ++key_count_;
            return;
        }
        Reader reader(entry_key);
        const std::string_view name = reader.text();
        std::uint64_t position = 0;
        const std::string_view position_bytes = reader.bytes(8);
        if (!reader.good() || !reader.empty()) {
            report_("space " + std::to_string(space) + ": an entry is not a valid element of a stream");
            return;
        }
        for (const char byte : position_bytes) position = position << 8 | static_cast<unsigned char>(byte);
        if (position == ~0ULL) return;
        Extent& extent = streams_[{space, std::string(name)}];
        const std::uint64_t expected = extent.has_elements ? extent.last_position + 1 : extent.first_position;
        if (position > expected) {
            std::string stream;
            put_varint(stream, space);
            report_("stream " + printable_key(stream.append(name)) + ": positions " +
                    std::to_string(expected) + " to " + std::to_string(position - 1) + " are lost");
        }
        extent.has_elements = true;
        extent.last_position = position;
        ++element_count_;
    }

    // Second pass. All files and their names are durable before the manifest that names them is written.
    Result write() {
        Manifest manifest;
        manifest.identity = *identity_;
        if (auto result = write_file("IDENTITY", encode(*identity_)); !result) return result;
        manifest.log = manifest.next_file++;
        const std::string header = log_header(*identity_, manifest.log, random_(), last_sequence_);
        if (auto result = write_file(name_of(manifest.log, "log"), header); !result) return result;
        std::unique_ptr<RunWriter> writer;
        std::uint64_t number = 0;
        const auto finish_run = [&] {
            int error = writer->finish();
            if (error == 0) error = writer->sync();
            if (error != 0) return file_error(name_of(number, "run"), error);
            manifest.runs.push_back({number, 1, writer->bytes(), writer->first(), writer->last()});
            writer.reset();
            return Result::ok();
        };
        auto result = for_each_newest({}, [&](const Cursor& cursor) {
            if (unreadable_keys_.contains(std::string(cursor.key()))) return Result::ok();
            if (writer && writer->bytes() >= run_bytes) {
                if (auto finished = finish_run(); !finished) return finished;
            }
            if (!writer) {
                number = manifest.next_file++;
                std::unique_ptr<File> file;
                if (const int error = to_.create(name_of(number, "run"), file); error != 0)
                    return file_error(name_of(number, "run"), error);
                writer = std::make_unique<RunWriter>(std::move(file), *identity_, number, random_());
            }
            const int error = writer->add(cursor.key(), cursor.sequence(), true, cursor.value());
            return error == 0 ? Result::ok() : file_error(name_of(number, "run"), error);
        });
        if (result && writer) result = finish_run();
        if (!result) return result;
        manifest.number = manifest.next_file++;
        manifest.sequence = manifest.synced = last_sequence_;
        if (const int error = to_.sync_folder(); error != 0) return file_error("folder", error);
        result = write_file(name_of(manifest.number, "manifest"), encode(manifest));
        if (!result) return result;
        if (const int error = to_.sync_folder(); error != 0) return file_error("folder", error);
        report_(std::to_string(key_count_) + " keys and " + std::to_string(element_count_) +
                " elements of streams were copied");
        return Result::ok();
    }

    Result write_file(const std::string& name, const std::string& bytes) {
        std::unique_ptr<File> file;
        int error = to_.create(name, file);
        if (error == 0) error = file->append(bytes);
        if (error == 0) error = file->sync();
        return error == 0 ? Result::ok() : file_error(name, error);
    }

    Files& from_;
    Files& to_;
    const Engine::Chance random_;
    const LossReport report_;
    BlockCache cache_;
    FolderFiles found_;
    std::optional<Identity> identity_;
    std::optional<Manifest> manifest_;
    std::vector<std::shared_ptr<Run>> runs_;
    MemoryTable table_;    // entries recovered from the logs
    MemoryTable repairs_;  // reconstructed metadata
    std::uint64_t last_sequence_ = 0;
    std::uint64_t max_sequence_ = 0;
    std::uint64_t hashed_bytes_ = 0;
    std::map<SpaceId, SpaceKind> space_kinds_;
    std::set<std::string> space_names_, unreadable_keys_;
    std::set<SpaceId> unnamed_spaces_;
    std::map<std::pair<SpaceId, std::string>, Extent> streams_;
    std::uint64_t key_count_ = 0, element_count_ = 0;
};

}  // namespace

Result salvage(Files& from, Files& to, Engine::Chance random, const LossReport& report) {
    return Salvage(from, to, std::move(random), report).run();
}

}  // namespace flaxdoor::store
