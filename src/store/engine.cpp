#include "store/engine.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "store/coding.h"
#include "store/folder.h"
#include "store/log.h"

namespace flaxdoor::store {

std::string_view text_of(Status status) {
    switch (status) {
        case Status::ok: return "ok";
        case Status::retry: return "retry";
        case Status::refused: return "refused";
        case Status::unknown: return "unknown";
        case Status::corrupt: return "corrupt";
    }
    return "unknown status";
}

namespace {

constexpr SpaceId metadata_space = 0;  // holds the metadata of the store itself
constexpr std::size_t max_space_name_bytes = 200;
constexpr std::size_t max_scan_items = 10'000;
// A scan stops after this many bytes; the last item may exceed the limit.
constexpr std::size_t max_scan_bytes = 4 * 1024 * 1024;
constexpr std::size_t max_cached_streams = 10'000;        // streams whose state is cached in memory
constexpr std::size_t max_identity_bytes = 4096;          // bytes of the file IDENTITY
constexpr std::uint64_t max_file_number = 9'000'000'000;  // greatest number of a file; names have ten digits

// Returns the key in the store: the number of the space, then the key within the space.
std::string internal_key(SpaceId space, std::string_view key) {
    std::string out;
    put_varint(out, space);
    return out.append(key);
}

// Returns the least key after all keys of a space. The last byte of a varint has its high bit clear, so the
// incremented prefix belongs to no other space.
std::string space_end(SpaceId space) {
    std::string prefix = internal_key(space, {});
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

// Returns the key under which the state of a stream is stored.
std::string stream_state_key(SpaceId space, std::string_view stream) {
    std::string key = "s";
    put_varint(key, space);
    return internal_key(metadata_space, key.append(stream));
}

std::string element_key(std::string_view stream, std::uint64_t position) {
    std::string out;
    put_text(out, stream);
    for (int shift = 56; shift >= 0; shift -= 8) out.push_back(static_cast<char>(position >> shift));
    return out;
}

std::uint64_t position_of(std::string_view element) {
    std::uint64_t position = 0;
    for (const char byte : element.substr(element.size() - 8))
        position = position << 8 | static_cast<unsigned char>(byte);
    return position;
}

}  // namespace

class Engine::Impl {
public:
    Impl(Files& files, EngineOptions options, Chance random)
        : files_(files), options_(std::move(options)), random_(std::move(random)), cache_(options_.cache) {}

    // Opening

    Result open(Opening& opening) {
        if (const int error = files_.lock(); error != 0) {
            return error == EWOULDBLOCK ? Result::refused("another process has the store open")
                                        : file_error("LOCK", error);
        }
        FolderFiles found;
        if (auto result = list_store_files(files_, found); !result) return result;
        std::optional<Identity> identity;
        if (found.identity) {
            std::string bytes;
            if (auto result = read_file(files_, "IDENTITY", max_identity_bytes, bytes); !result)
                return result;
            bool newer_version = false;
            identity = decode_identity(bytes, newer_version);
            if (newer_version) return Result::refused("IDENTITY: written by a newer version");
        }
        std::optional<Manifest> manifest;
        if (auto result = load_current_manifest(files_, found, identity, manifest); !result) return result;
        std::vector<LogBytes> logs;
        if (auto result = read_logs(files_, found, manifest ? manifest->log : 0, logs); !result)
            return result;
        if (!manifest) {
            // A crash during creation leaves at most the identity, a log header and a part of a manifest.
            const bool has_records = std::any_of(logs.begin(), logs.end(), [](const LogBytes& log) {
                return log.bytes.size() > log_header_bytes;
            });
            if (has_records || !found.runs.empty()) {
                return found.manifests.empty()
                           ? Result::corrupt("manifest, offset 0: missing, but there are logs or runs")
                           : Result::corrupt(name_of(found.manifests.back(), "manifest") +
                                             ", offset 0: cannot be read, and there is no older manifest");
            }
            if (!options_.make) return Result::refused("no store in this folder");
            if (found.max_number > max_file_number)
                return Result::refused("no store: no file numbers are left after " +
                                       std::to_string(found.max_number));
            logs.clear();
        } else {
            if (auto result = check_manifest(*manifest, found); !result) return result;
        }
        if (auto result = resolve_identity(identity, found.identity, manifest.has_value()); !result)
            return result;
        opening.made = !manifest;
        if (manifest) manifest_ = std::move(*manifest);
        manifest_.identity = identity_;
        manifest_.next_file = std::max(manifest_.next_file, found.max_number + 1);
        const RecoveredLogs recovered = recover(logs, identity_, manifest_.sequence, manifest_.synced);
        if (!recovered.result) return recovered.result;
        opening.records = recovered.records.size();
        if (recovered.has_unreadable) {
            opening.dropped = recovered.dropped_bytes;
            opening.dropped_in = recovered.unreadable_file;
            opening.dropped_at = recovered.unreadable_offset;
        }
        for (const RunMetadata& run : manifest_.runs) {
            if (auto result = add_run(run)->check_size(); !result) return result;
        }
        sequence_ = recovered.last_sequence;
        synced_sequence_ = recovered.durable_sequence;
        std::vector<LogOperation> operations;
        for (const Record& record : recovered.records) {
            (void)read_operations(record, operations);
            std::uint64_t sequence = record.first_sequence;
            for (const LogOperation& operation : operations) {
                memory_table_->add(operation.key, sequence, operation.put, operation.value, 0);
                ++sequence;
            }
        }
        logs.clear();
        // Read before anything is changed, as the spaces may be damaged too.
        if (auto result = read_spaces(); !result) return result;
        return checkpoint_recovered_state(found);
    }

    const Identity& identity() const { return identity_; }
    std::optional<Result> broken() const { return write_error_; }

    // Writing

    std::vector<Written> write(std::span<const Batch* const> batches, bool durable, bool internal = false) {
        std::vector<Written> written(batches.size());
        std::string bytes;
        struct Prepared {
            std::size_t batch = 0;
            std::vector<Change> changes;
        };
        std::vector<Prepared> prepared;
        // Retries a freeze that failed after the last write.
        if (!write_error_ && needs_flush() && !immutable_table_) (void)freeze_memory_table();
        std::uint64_t sequence = sequence_;
        StreamStates streams;  // states after the batches prepared so far
        for (std::size_t i = 0; i < batches.size(); ++i) {
            if (write_error_) {
                written[i].result = writes_refused();
                continue;
            }
            if (over_hard_limit()) {
                written[i].result = Result::retry(
                    "the memory table or the log is full and could not be written to a run yet");
                continue;
            }
            Prepared entry{i, {}};
            StreamStates batch_streams;
            written[i].result =
                prepare(*batches[i], internal, streams, batch_streams, entry.changes, written[i].positions);
            if (!written[i].result) {
                written[i].positions.clear();
                continue;
            }
            for (auto& [stream, state] : batch_streams) streams[stream] = state;
            if (entry.changes.empty()) {
                written[i].sequence = sequence;
                continue;
            }
            RecordWriter record;
            for (const Change& change : entry.changes) {
                if (change.put) {
                    record.put(change.key, change.value);
                } else {
                    record.erase(change.key);
                }
            }
            record.finish(bytes, log_salt_, sequence + 1, synced_sequence_);
            sequence += entry.changes.size();
            written[i].sequence = sequence;
            prepared.push_back(std::move(entry));
        }
        // A batch that changes nothing is also acknowledged only together with the writes before it.
        const auto sync_accepted = [&] {
            if (std::none_of(written.begin(), written.end(),
                             [](const Written& entry) { return bool(entry.result); }))
                return;
            const Result synced = sync();
            for (Written& result_entry : written) {
                if (result_entry.result && !synced) result_entry.result = synced;
            }
        };
        if (prepared.empty()) {
            if (durable) sync_accepted();
            return written;
        }
        const Result result = append(bytes);
        if (!result) {
            for (const Prepared& entry : prepared) {
                Written& result_entry = written[entry.batch];
                result_entry.result = result;
                if (result.status == Status::unknown) continue;
                result_entry.sequence = 0;
                result_entry.positions.clear();
            }
            for (Written& result_entry : written) {
                if (result_entry.result) result_entry.sequence = sequence_;
            }
            if (durable || write_error_) sync_accepted();
            return written;
        }
        for (auto& [stream, state] : streams) cache_stream_state(stream, state);
        const std::uint64_t snapshot = snapshots_.empty() ? 0 : *snapshots_.rbegin();
        for (const Prepared& entry : prepared) {
            for (const Change& change : entry.changes) {
                ++sequence_;
                memory_table_->add(change.key, sequence_, change.put, change.value, snapshot);
                figures_.user_bytes += change.key.size() + change.value.size();
            }
            ++figures_.batches;
            figures_.operations += entry.changes.size();
        }
        if (durable) sync_accepted();
        // If this fails, step() retries it.
        if (!write_error_ && needs_flush() && !immutable_table_) (void)freeze_memory_table();
        return written;
    }

    Result sync() {
        if (write_error_) return writes_refused();
        if (synced_sequence_ == sequence_) return Result::ok();
        ++figures_.syncs;
        if (const int error = log_->sync(); error != 0) {
            return fail_writes("sync of " + name_of(log_number_, "log"), error);
        }
        synced_sequence_ = sequence_;
        return Result::ok();
    }

    bool synced() const { return synced_sequence_ == sequence_; }

    Result space(std::string_view name, SpaceKind kind, bool create, SpaceId& id) {
        const auto known = spaces_.find(name);
        if (known != spaces_.end()) {
            if (known->second.kind != kind)
                return Result::refused("space " + std::string(name) + " is of another kind");
            id = known->second.id;
            return Result::ok();
        }
        if (!create) return Result::refused("unknown space " + std::string(name));
        if (name.empty() || name.size() > max_space_name_bytes)
            return Result::refused("the name of a space must have 1 to 200 bytes");
        if (spaces_.size() >= max_spaces)
            return Result::refused("the store already has the maximum of 1,000 spaces");
        SpaceId next_id = metadata_space + 1;
        for (const auto& [other_name, other_space] : spaces_) next_id = std::max(next_id, other_space.id + 1);
        std::string value;
        put_varint(value, next_id);
        value.push_back(static_cast<char>(kind));
        Batch batch;
        batch.put(metadata_space, "n" + std::string(name), value);
        const Batch* const batch_pointer = &batch;
        auto written = write(std::span(&batch_pointer, 1), true, true);
        if (!written.front().result) return written.front().result;
        spaces_.emplace(std::string(name), Space{next_id, kind});
        space_kinds_[next_id] = kind;
        id = next_id;
        return Result::ok();
    }

    // Reading

    std::uint64_t take_snapshot() {
        snapshots_.insert(sequence_);
        return sequence_;
    }
    void release_snapshot(std::uint64_t snapshot) {
        const auto found = snapshots_.find(snapshot);
        if (found != snapshots_.end()) snapshots_.erase(found);
    }

    Result get(SpaceId space, std::string_view key, std::optional<std::string>& value,
               std::optional<std::uint64_t> snapshot) {
        value.reset();
        if (auto result = check_space(space, SpaceKind::keys); !result) return result;
        return get_internal(internal_key(space, key), value, snapshot.value_or(sequence_));
    }

    Result scan(SpaceId space, std::string_view from, std::string_view to, std::size_t max_items,
                std::vector<Item>& items, std::optional<std::uint64_t> snapshot) {
        if (auto result = check_space(space, SpaceKind::keys); !result) return result;
        return scan_internal(space, internal_key(space, from),
                             to.empty() ? space_end(space) : internal_key(space, to), max_items, items,
                             snapshot.value_or(sequence_));
    }

    Result read_stream(SpaceId space, std::string_view stream, std::uint64_t from, std::size_t max_elements,
                       std::vector<Element>& elements, std::optional<std::uint64_t> snapshot) {
        elements.clear();
        if (auto result = check_space(space, SpaceKind::streams); !result) return result;
        // Starts at the first position that is not trimmed, instead of skipping trimmed elements one by one.
        StreamState state;
        const std::uint64_t visible_sequence = snapshot.value_or(sequence_);
        if (auto result = read_stream_state(space, stream, visible_sequence, state); !result) return result;
        std::vector<Item> items;
        const auto first = internal_key(space, element_key(stream, std::max(from, state.first)));
        const auto last = internal_key(space, element_key(stream, ~0ULL));
        if (auto result = scan_internal(space, first, last, max_elements, items, visible_sequence); !result)
            return result;
        const std::size_t key_size = element_key(stream, 0).size();
        for (Item& item : items) {
            if (item.key.size() != key_size) {
                return Result::corrupt("stream " + std::string(stream) + ": an entry is not a valid element");
            }
            elements.push_back({position_of(item.key), std::move(item.value)});
        }
        return Result::ok();
    }

    Result next_position(SpaceId space, std::string_view stream, std::uint64_t& position) {
        if (auto result = check_space(space, SpaceKind::streams); !result) return result;
        StreamState state;
        auto result = find_stream_state(space, stream, state);
        position = state.next;
        return result;
    }

    // Background work

    bool has_work() const {
        if (write_error_) return false;
        return merge_ || immutable_table_ || needs_flush() || flush_requested_ || next_merge().has_value();
    }

    bool crowded() const {
        if (write_error_) return false;
        return (needs_flush() && immutable_table_) || over_hard_limit() ||
               levels_[0].size() >= options_.stall_at;
    }

    // A flush of the memory table goes before a running merge, as writes only wait for the flush.
    Result step() {
        if (write_error_) return writes_refused();
        ++figures_.steps;
        if (!immutable_table_ && (needs_flush() || (flush_requested_ && !memory_table_->empty())))
            return freeze_memory_table();
        flush_requested_ = flush_requested_ && !memory_table_->empty();
        std::unique_ptr<Job>& job = immutable_table_ ? flush_ : merge_;
        if (!job) {
            if (immutable_table_) {
                begin_flush();
            } else if (const auto merge = next_merge()) {
                begin_merge(*merge);
            } else {
                compact_requested_ = false;
                return Result::ok();
            }
        }
        Result result = continue_job(*job);
        if (!result) discard_job(job);
        if (result && !immutable_table_ && !merge_ && compact_requested_ && !flush_requested_ &&
            !next_merge())
            compact_requested_ = false;
        return result;
    }

    void compact_all() { compact_requested_ = flush_requested_ = true; }

    Result verify(const std::function<void(const std::string&)>& progress) {
        for (const auto& level : levels_) {
            for (const auto& run : level) {
                std::uint64_t entries = 0;
                if (auto result = run->verify(entries); !result) return result;
                progress(name_of(run->metadata().number, "run") + ": level " +
                         std::to_string(run->metadata().level) + ", " + std::to_string(entries) +
                         " entries, ok");
            }
        }
        const std::string name = name_of(manifest_.number, "manifest");
        std::string bytes;
        if (auto result = read_file(files_, name, max_manifest_bytes, bytes); !result) return result;
        // Numbers of files may have been assigned since the manifest was written, so only the runs are
        // compared.
        auto decoded = decode_manifest(bytes);
        if (!decoded.manifest || decoded.manifest->runs.size() != manifest_.runs.size())
            return Result::corrupt(name + ", offset 0: cannot be read");
        progress(name + ": ok");
        FolderFiles found;
        if (auto result = list_store_files(files_, found); !result) return result;
        std::vector<LogBytes> logs;
        if (auto result = read_logs(files_, found, manifest_.log, logs); !result) return result;
        const RecoveredLogs recovered = recover(logs, identity_, manifest_.sequence, synced_sequence_);
        if (!recovered.result) return recovered.result;
        if (recovered.last_sequence != sequence_ && !write_error_) {
            return Result::corrupt(recovered.unreadable_file + ", offset " +
                                   std::to_string(recovered.unreadable_offset) +
                                   ": written records cannot be read");
        }
        for (const LogBytes& log : logs) progress(log.name + ": ok");
        return Result::ok();
    }

    EngineFigures figures() const {
        EngineFigures figures = figures_;
        figures.sequence = sequence_;
        figures.synced = synced_sequence_;
        figures.memory_bytes = memory_table_->bytes() + (immutable_table_ ? immutable_table_->bytes() : 0);
        for (const auto& level : levels_) {
            std::uint64_t bytes = 0;
            for (const auto& run : level) bytes += run->metadata().size;
            figures.level_bytes.push_back(bytes);
            figures.run_bytes += bytes;
            figures.runs += level.size();
        }
        return figures;
    }

private:
    struct Change {
        bool put = false;
        std::string key;  // internal key, including the space
        std::string value;
    };
    struct Space {
        SpaceId id = 0;
        SpaceKind kind = SpaceKind::keys;
    };
    // State of a stream: all positions from `first` on and below `next` exist.
    struct StreamState {
        std::uint64_t first = 0, next = 0;
    };
    using StreamStates = std::map<std::pair<SpaceId, std::string>, StreamState>;
    using RunPointer = std::shared_ptr<Run>;

    // Opening

    // Checks that the files named by the manifest exist and that its content is consistent.
    static Result check_manifest(const Manifest& manifest, const FolderFiles& found) {
        const std::string name = name_of(manifest.number, "manifest");
        if (!std::binary_search(found.logs.begin(), found.logs.end(), manifest.log)) {
            return Result::corrupt(name_of(manifest.log, "log") + ", offset 0: missing, though " + name +
                                   " names it");
        }
        std::set<std::uint64_t> numbers;
        for (const RunMetadata& run : manifest.runs) {
            if (!std::binary_search(found.runs.begin(), found.runs.end(), run.number)) {
                return Result::corrupt(name_of(run.number, "run") + ", offset 0: missing, though " + name +
                                       " names it");
            }
            if (run.level >= max_levels || run.first.empty() || run.last < run.first ||
                !numbers.insert(run.number).second)
                return Result::corrupt(name + ", offset 0: invalid entry of run " +
                                       std::to_string(run.number));
        }
        // Below level 0, no two runs overlap.
        std::map<std::uint8_t, std::map<std::string, std::string>> levels;
        for (const RunMetadata& run : manifest.runs) {
            if (run.level > 0 && !levels[run.level].emplace(run.first, run.last).second)
                return Result::corrupt(name + ", offset 0: runs overlap");
        }
        for (const auto& [level, ranges] : levels) {
            std::string previous_last;
            for (const auto& [first, last_key] : ranges) {
                if (!previous_last.empty() && first <= previous_last)
                    return Result::corrupt(name + ", offset 0: runs overlap");
                previous_last = last_key;
            }
        }
        if (manifest.next_file > max_file_number || found.max_number > max_file_number)
            return Result::corrupt(name + ", offset 0: no file numbers are left");
        return Result::ok();
    }

    // Checks the identity of an existing store. Draws and writes an identity for a new store.
    Result resolve_identity(std::optional<Identity> identity, bool file_exists, bool store_exists) {
        if (store_exists && !identity) {
            return Result::corrupt(std::string("IDENTITY, offset 0: ") +
                                   (file_exists ? "cannot be read" : "missing"));
        }
        if (!identity) {
            identity.emplace();
            for (std::size_t i = 0; i < identity->size(); i += 8) {
                const std::uint64_t number = random_();
                for (std::size_t j = 0; j < 8; ++j)
                    (*identity)[i + j] = static_cast<std::uint8_t>(number >> (8 * j));
            }
        }
        identity_ = *identity;
        if (options_.expected && *options_.expected != identity_) {
            return Result::refused("another's store: it is " + text_of(identity_) + ", not " +
                                   text_of(*options_.expected));
        }
        if (store_exists) return Result::ok();
        // A file left by an interrupted creation is not known to be durable.
        if (file_exists) {
            if (const int error = files_.remove("IDENTITY"); error != 0) return file_error("IDENTITY", error);
        }
        std::unique_ptr<File> file;
        if (const int error = files_.create("IDENTITY", file); error != 0)
            return file_error("IDENTITY", error);
        int error = file->append(encode(identity_));
        if (error == 0) error = file->sync();
        if (error == 0) error = files_.sync_folder();
        return error == 0 ? Result::ok() : file_error("IDENTITY", error);
    }

    // Makes the recovered state durable before anything is served, as nothing that was read from the logs is
    // known to be durable. Writes it to a run, starts a new log, and installs a manifest that names both.
    // Therefore a dropped tail cannot reappear either.
    Result checkpoint_recovered_state(const FolderFiles& found) {
        // Removes unnamed runs first, as files left by a crash may fill the disk. If there is another
        // manifest, it may name these runs, and the current manifest is not known to be durable.
        if (found.manifests.size() == 1) {
            std::set<std::uint64_t> named;
            for (const RunMetadata& run : manifest_.runs) named.insert(run.number);
            for (const std::uint64_t number : found.runs) {
                if (!named.contains(number)) (void)files_.remove(name_of(number, "run"));
            }
        }
        Manifest manifest = manifest_;
        std::optional<RunMetadata> new_run;
        if (!memory_table_->empty()) {
            const std::uint64_t number = next_number();
            std::unique_ptr<File> file;
            if (const int error = files_.create(name_of(number, "run"), file); error != 0)
                return file_error(name_of(number, "run"), error);
            RunWriter writer(std::move(file), identity_, number, random_());
            const auto cursor = memory_table_->cursor();
            auto result = cursor->seek({});
            int error = 0;
            for (; result && error == 0 && cursor->valid(); result = cursor->next()) {
                error = writer.add(cursor->key(), cursor->sequence(), cursor->is_put(), cursor->value());
            }
            if (error == 0) error = writer.finish();
            if (error == 0) error = writer.sync();
            if (error != 0) return file_error(name_of(number, "run"), error);
            figures_.written_bytes += writer.bytes();
            new_run = RunMetadata{number, 0, writer.bytes(), writer.first(), writer.last()};
            manifest.runs.push_back(*new_run);
        }
        if (auto result = new_log(); !result) return result;
        memory_table_ = std::make_unique<MemoryTable>();
        manifest.log = log_number_;
        manifest.sequence = manifest.synced = sequence_;
        if (auto result = install_manifest(std::move(manifest)); !result) return result;
        if (new_run) add_run(*new_run);
        synced_sequence_ = sequence_;
        remove_obsolete_files(found);
        return Result::ok();
    }

    // Removes files that are not current. The next opening retries files that cannot be removed now.
    void remove_obsolete_files(const FolderFiles& found) {
        std::set<std::uint64_t> named;
        for (const RunMetadata& run : manifest_.runs) named.insert(run.number);
        for (const std::uint64_t number : found.manifests) (void)files_.remove(name_of(number, "manifest"));
        for (const std::uint64_t number : found.logs) (void)files_.remove(name_of(number, "log"));
        for (const std::uint64_t number : found.runs) {
            if (!named.contains(number)) (void)files_.remove(name_of(number, "run"));
        }
    }

    Result read_spaces() {
        std::vector<Item> items;
        if (auto result = scan_internal(metadata_space, internal_key(metadata_space, "n"),
                                        internal_key(metadata_space, "o"), max_spaces, items, sequence_);
            !result) {
            return result;
        }
        for (const Item& item : items) {
            Reader reader(item.value);
            const std::uint64_t id = reader.varint();
            const auto kind = static_cast<SpaceKind>(reader.u8());
            const bool good = reader.good() && reader.empty() && id > metadata_space && id <= max_spaces &&
                              (kind == SpaceKind::keys || kind == SpaceKind::streams) &&
                              space_kinds_.emplace(static_cast<SpaceId>(id), kind).second;
            if (!good) return Result::corrupt("space " + item.key.substr(1) + ": cannot be read");
            spaces_.emplace(item.key.substr(1), Space{static_cast<SpaceId>(id), kind});
        }
        return Result::ok();
    }

    // Files and manifest

    std::uint64_t next_number() { return manifest_.next_file++; }

    // Refuses all further writes, as after a failed sync it is unknown which unsynced bytes are durable.
    Result fail_writes(const std::string& what, int error) {
        write_error_ = Result::unknown(what + ": " + std::strerror(error));
        return *write_error_;
    }
    Result writes_refused() const {
        return Result::refused("writes are refused after an earlier error: " + write_error_->why);
    }

    Result new_log() {
        const std::uint64_t number = next_number();
        const std::uint64_t salt = random_();
        const std::string name = name_of(number, "log");
        const std::string header = log_header(identity_, number, salt, synced_sequence_);
        std::unique_ptr<File> file;
        if (const int error = files_.create(name, file); error != 0) return file_error(name, error);
        if (const int error = file->append(header); error != 0) {
            // The file must not stay, as a log without a header counts as damage once records follow in the
            // next log.
            if (const int remove_error = files_.remove(name); remove_error != 0)
                return fail_writes(name, remove_error);
            return file_error(name, error);
        }
        if (const int error = file->sync(); error != 0) return fail_writes("sync of " + name, error);
        if (const int error = files_.sync_folder(); error != 0)
            return fail_writes("sync of the folder", error);
        figures_.written_bytes += header.size();
        log_ = std::move(file);
        log_number_ = number;
        log_salt_ = salt;
        log_size_ = header.size();
        return Result::ok();
    }

    // Writes a manifest and makes it current, then removes the previous one. Syncs the folder before the
    // manifest is created: of several name changes between two syncs any may be lost, and all named files
    // must exist first. After `retry` the new manifest is not and never will be current. After `unknown` it
    // may be current, so all files named by either manifest must stay.
    Result install_manifest(Manifest manifest) {
        const std::uint64_t previous = manifest_.number;
        if (const int error = files_.sync_folder(); error != 0)
            return fail_writes("sync of the folder", error);
        manifest.number = next_number();
        manifest.next_file = manifest_.next_file;
        const std::string name = name_of(manifest.number, "manifest");
        const std::string bytes = encode(manifest);
        std::unique_ptr<File> file;
        int error = files_.create(name, file);
        if (error != 0) return file_error(name, error);
        error = file->append(bytes);
        if (error != 0) {
            // The manifest may be complete in spite of the error. It is removed only once it is known to be
            // unreadable.
            int repair_error = file->truncate(0);
            if (repair_error == 0) repair_error = file->sync();
            if (repair_error != 0) return fail_writes(name, repair_error);
            (void)files_.remove(name);
            return file_error(name, error);
        }
        if (error = file->sync(); error != 0) return fail_writes("sync of " + name, error);
        if (error = files_.sync_folder(); error != 0) return fail_writes("sync of the folder", error);
        figures_.written_bytes += bytes.size();
        manifest_ = std::move(manifest);
        if (previous != 0) (void)files_.remove(name_of(previous, "manifest"));
        return Result::ok();
    }

    // Appends to the log. Removes what a failed append wrote, as recovery could mistake it for a complete
    // record.
    Result append(std::string_view bytes) {
        const int error = log_->append(bytes);
        if (error == 0) {
            log_size_ += bytes.size();
            figures_.written_bytes += bytes.size();
            return Result::ok();
        }
        std::uint64_t size = 0;
        if (log_->size(size) == 0 && size == log_size_) return file_error(name_of(log_number_, "log"), error);
        int repair_error = log_->truncate(log_size_);
        if (repair_error == 0) repair_error = log_->sync();
        if (repair_error != 0) return fail_writes(name_of(log_number_, "log"), error);
        synced_sequence_ = sequence_;  // the sync also covered all earlier writes
        return file_error(name_of(log_number_, "log"), error);
    }

    RunPointer add_run(const RunMetadata& metadata) {
        auto& level = levels_[metadata.level];
        auto run = std::make_shared<Run>(files_, cache_, identity_, metadata);
        // Level 0 is ordered by age, newest last. The other levels are ordered by key.
        const auto at = metadata.level == 0
                            ? std::upper_bound(level.begin(), level.end(), run,
                                               [](const RunPointer& a, const RunPointer& b) {
                                                   return a->metadata().number < b->metadata().number;
                                               })
                            : std::upper_bound(level.begin(), level.end(), run,
                                               [](const RunPointer& a, const RunPointer& b) {
                                                   return a->metadata().first < b->metadata().first;
                                               });
        level.insert(at, run);
        return run;
    }

    // Writing

    Result check_space(SpaceId space, SpaceKind kind) const {
        const auto found = space_kinds_.find(space);
        if (found == space_kinds_.end()) return Result::refused("unknown space " + std::to_string(space));
        if (found->second != kind)
            return Result::refused("space " + std::to_string(space) + " is of another kind");
        return Result::ok();
    }

    // Translates a batch into changes. `streams` holds the stream states after the previous batches;
    // `batch_streams` receives the states after this batch.
    Result prepare(const Batch& batch, bool internal, const StreamStates& streams,
                   StreamStates& batch_streams, std::vector<Change>& changes,
                   std::vector<std::uint64_t>& positions) {
        if (batch.bytes() > max_batch || batch.operations().size() > max_operations) {
            return Result::refused("a batch is limited to 4 MiB and 10,000 operations");
        }
        std::size_t bytes = 0;
        const auto add = [&](bool put, std::string key, std::string value) {
            bytes += key.size() + value.size();
            changes.push_back({put, std::move(key), std::move(value)});
        };
        for (const Batch::Operation& operation : batch.operations()) {
            const bool stream = operation.kind == Batch::Kind::append || operation.kind == Batch::Kind::trim;
            if (!internal) {
                auto result = check_space(operation.space, stream ? SpaceKind::streams : SpaceKind::keys);
                if (!result) return result;
            }
            if (operation.key.empty() || operation.key.size() > max_key)
                return Result::refused("a key must have 1 to 1,024 bytes");
            if (operation.value.size() > max_value) return Result::refused("a value is limited to 1 MiB");
            if (!stream) {
                const bool put = operation.kind == Batch::Kind::put;
                add(put, internal_key(operation.space, operation.key), put ? operation.value : std::string());
                continue;
            }
            const std::pair<SpaceId, std::string> stream_id{operation.space, operation.key};
            if (!batch_streams.contains(stream_id)) {
                const auto previous = streams.find(stream_id);
                StreamState state;
                if (previous != streams.end()) {
                    state = previous->second;
                } else if (auto result = find_stream_state(operation.space, operation.key, state); !result) {
                    return result;
                }
                batch_streams.emplace(stream_id, state);
            }
            StreamState& state = batch_streams.at(stream_id);
            if (operation.kind == Batch::Kind::append) {
                positions.push_back(state.next);
                add(true, internal_key(operation.space, element_key(operation.key, state.next++)),
                    operation.value);
                continue;
            }
            const std::uint64_t before = std::min(operation.before, state.next);
            if (before <= state.first) continue;
            if (before - state.first >= max_operations - std::min(changes.size(), max_operations))
                return Result::refused(
                    "more than 10,000 operations including trimmed elements: trim in smaller steps");
            for (; state.first < before; ++state.first)
                add(false, internal_key(operation.space, element_key(operation.key, state.first)), {});
            // Stores the next position, as no element may be left from which to derive it.
            std::string value;
            put_varint(value, state.next);
            put_varint(value, state.first);
            add(true, stream_state_key(operation.space, operation.key), std::move(value));
        }
        if (changes.size() > max_operations || bytes > 2 * max_batch)
            return Result::refused("a batch trims too much: trim in smaller steps");
        return Result::ok();
    }

    // Reads the state stored by the last trim. Elements appended later may lie at and after `next`.
    Result read_stream_state(SpaceId space, std::string_view stream, std::uint64_t snapshot,
                             StreamState& state) {
        state = {};
        std::optional<std::string> value;
        if (auto result = get_internal(stream_state_key(space, stream), value, snapshot); !result)
            return result;
        if (!value) return Result::ok();
        Reader reader(*value);
        state.next = reader.varint();
        state.first = reader.varint();
        if (reader.good() && reader.empty() && state.first <= state.next) return Result::ok();
        return Result::corrupt("stream " + std::string(stream) + ": its state cannot be read");
    }

    Result find_stream_state(SpaceId space, std::string_view stream, StreamState& state) {
        const auto cached = stream_cache_.find({space, std::string(stream)});
        if (cached != stream_cache_.end()) {
            state = cached->second;
            return Result::ok();
        }
        if (auto result = read_stream_state(space, stream, sequence_, state); !result) return result;
        // No element from `next` on was ever trimmed, so the elements are contiguous. Finds the first
        // missing position by exponential, then binary search.
        bool exists = false;
        const auto probe = [&](std::uint64_t position) {
            std::optional<std::string> value;
            auto result = get_internal(internal_key(space, element_key(stream, position)), value, sequence_);
            exists = value.has_value();
            return result;
        };
        std::uint64_t stride = 1;
        std::uint64_t low = state.next;  // all positions below exist or have been trimmed
        for (;; stride *= 2) {
            if (auto result = probe(low + stride - 1); !result) return result;
            if (!exists) break;
            low += stride;
        }
        std::uint64_t high = low + stride - 1;  // first position known to be missing
        while (low < high) {
            const std::uint64_t middle = low + (high - low) / 2;
            if (auto result = probe(middle); !result) return result;
            if (exists) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        state.next = low;
        cache_stream_state({space, std::string(stream)}, state);
        return Result::ok();
    }

    void cache_stream_state(const StreamStates::key_type& stream, const StreamState& state) {
        if (stream_cache_.size() >= max_cached_streams)
            stream_cache_.clear();  // evicted states can be read again
        stream_cache_[stream] = state;
    }

    // Whether the memory table or its log has reached its limit.
    bool needs_flush() const {
        return memory_table_->bytes() >= options_.memory_table || log_size_ >= options_.log;
    }
    // Whether it has reached twice the limit because the previous memory table was not written in time.
    bool over_hard_limit() const {
        return memory_table_->bytes() >= 2 * options_.memory_table || log_size_ >= 2 * options_.log;
    }

    // Makes the memory table immutable and starts a new table and a new log.
    Result freeze_memory_table() {
        if (auto result = sync(); !result) return result;
        if (auto result = new_log(); !result) return result;
        flush_requested_ = false;
        immutable_table_ = std::move(memory_table_);
        memory_table_ = std::make_unique<MemoryTable>();
        return Result::ok();
    }

    // Reading

    Result get_internal(const std::string& key, std::optional<std::string>& value, std::uint64_t snapshot) {
        for (const auto* table : {memory_table_.get(), immutable_table_.get()}) {
            if (!table) continue;
            if (const auto* version = table->find(key, snapshot)) {
                if (version->put) value = version->value;
                return Result::ok();
            }
        }
        Run::Found found;
        auto& level_0 = levels_[0];
        for (auto run = level_0.rbegin(); run != level_0.rend(); ++run) {
            if (auto result = (*run)->get(key, snapshot, found); !result) return result;
            if (found.found) break;
        }
        for (std::size_t level = 1; level < levels_.size() && !found.found; ++level) {
            const auto& runs = levels_[level];
            const auto candidate = std::lower_bound(runs.begin(), runs.end(), key,
                                                    [](const RunPointer& run, const std::string& wanted) {
                                                        return run->metadata().last < wanted;
                                                    });
            if (candidate == runs.end()) continue;
            if (auto result = (*candidate)->get(key, snapshot, found); !result) return result;
        }
        if (found.found && found.put) value = std::move(found.value);
        return Result::ok();
    }

    Result scan_internal(SpaceId space, const std::string& from, const std::string& to, std::size_t max_items,
                         std::vector<Item>& items, std::uint64_t snapshot) {
        items.clear();
        max_items = std::min(max_items, max_scan_items);
        std::vector<std::unique_ptr<Cursor>> parts;
        parts.push_back(memory_table_->cursor());
        if (immutable_table_) parts.push_back(immutable_table_->cursor());
        for (const auto& level : levels_) {
            std::vector<RunPointer> runs;
            for (const auto& run : level) {
                if (run->metadata().last >= from && run->metadata().first < to) runs.push_back(run);
            }
            add_cursors(&level == &levels_.front(), std::move(runs), true, parts);
        }
        MergeCursor cursor(std::move(parts));
        if (auto result = cursor.seek(from); !result) return result;
        const std::size_t prefix = internal_key(space, {}).size();
        std::string last_key;
        bool has_last = false;
        std::size_t bytes = 0;
        while (cursor.valid() && cursor.key() < to && items.size() < max_items && bytes < max_scan_bytes) {
            const bool is_older_version = has_last && cursor.key() == last_key;
            if (!is_older_version && cursor.sequence() <= snapshot) {
                has_last = true;
                last_key = cursor.key();
                if (cursor.is_put()) {
                    items.push_back({std::string(cursor.key().substr(prefix)), std::string(cursor.value())});
                    bytes += items.back().key.size() + items.back().value.size();
                }
            }
            if (auto result = cursor.next(); !result) return result;
        }
        return Result::ok();
    }

    // Adds cursors over runs of one level. Runs of level 0 overlap and need a cursor each.
    static void add_cursors(bool overlap, std::vector<RunPointer> runs, bool cached,
                            std::vector<std::unique_ptr<Cursor>>& parts) {
        if (!overlap) {
            if (!runs.empty()) parts.push_back(Run::cursor(std::move(runs), cached));
            return;
        }
        for (RunPointer& run : runs) parts.push_back(Run::cursor({std::move(run)}, cached));
    }

    // Background work

    // A flush or merge. Its outputs replace its inputs once they are written, synced and named by a
    // manifest.
    struct Job {
        std::unique_ptr<Cursor> cursor;
        bool flush = false;
        std::vector<RunPointer> inputs;
        std::uint8_t level = 0;  // level of the outputs
        bool started = false;
        std::unique_ptr<RunWriter> writer;
        std::uint64_t number = 0;  // number of the run being written
        std::vector<RunMetadata> outputs;
        std::string previous_key;  // key of the previous entry
        std::uint64_t previous_sequence = 0;
        bool has_previous = false;
    };
    struct Merge {
        std::size_t level = 0;
        std::vector<RunPointer> upper;
    };

    void begin_flush() {
        flush_ = std::make_unique<Job>();
        flush_->cursor = immutable_table_->cursor();
        flush_->flush = true;
    }

    // Selects the next merge, if one is needed: the level that exceeds its limit by the greatest factor. If
    // level 0 always went first, level 1 would grow without bound under sustained writes, and each merge
    // into level 1 rewrites all of it.
    std::optional<Merge> next_merge() const {
        std::optional<std::size_t> chosen_level;
        double best_score = 0;
        auto max_bytes = static_cast<double>(options_.level_bytes);
        for (std::size_t level = 0; level + 1 < max_levels; ++level) {
            double score = 0;
            if (level == 0) {
                score = static_cast<double>(levels_[0].size()) / static_cast<double>(options_.merge_at);
            } else {
                std::uint64_t bytes = 0;
                for (const auto& run : levels_[level]) bytes += run->metadata().size;
                score = static_cast<double>(bytes) / max_bytes;
                max_bytes *= 10;
            }
            const bool needed = level == 0 ? score >= 1 : score > 1;
            if (needed && score > best_score) {
                chosen_level = level;
                best_score = score;
            }
        }
        for (std::size_t level = 0; compact_requested_ && !chosen_level && level + 1 < max_levels; ++level) {
            const bool has_lower_runs =
                std::any_of(levels_.begin() + static_cast<std::ptrdiff_t>(level) + 1, levels_.end(),
                            [](const auto& lower_level) { return !lower_level.empty(); });
            if (!levels_[level].empty() && (level == 0 || has_lower_runs)) chosen_level = level;
        }
        if (!chosen_level) return std::nullopt;
        const auto& runs = levels_[*chosen_level];
        if (*chosen_level == 0) return Merge{0, runs};
        // Continues after the run that was merged last, so that all runs of the level take turns.
        auto next_run = std::upper_bound(runs.begin(), runs.end(), merge_positions_[*chosen_level],
                                         [](const std::string& previous_first, const RunPointer& run) {
                                             return previous_first < run->metadata().first;
                                         });
        if (next_run == runs.end()) next_run = runs.begin();
        return Merge{*chosen_level, {*next_run}};
    }

    void begin_merge(const Merge& merge) {
        merge_ = std::make_unique<Job>();
        Job* const job = merge_.get();
        job->level = static_cast<std::uint8_t>(merge.level + 1);
        job->inputs = merge.upper;
        std::string first_key = merge.upper.front()->metadata().first,
                    last_key = merge.upper.front()->metadata().last;
        for (const auto& run : merge.upper) {
            first_key = std::min(first_key, run->metadata().first);
            last_key = std::max(last_key, run->metadata().last);
        }
        if (merge.level > 0) merge_positions_[merge.level] = merge.upper.front()->metadata().first;
        std::vector<RunPointer> lower;
        for (const auto& run : levels_[job->level]) {
            if (run->metadata().last >= first_key && run->metadata().first <= last_key) lower.push_back(run);
        }
        job->inputs.insert(job->inputs.end(), lower.begin(), lower.end());
        std::vector<std::unique_ptr<Cursor>> parts;
        add_cursors(merge.level == 0, merge.upper, false, parts);
        add_cursors(false, std::move(lower), false, parts);
        job->cursor = std::make_unique<MergeCursor>(std::move(parts));
    }

    // Whether a run below `level` may contain the key.
    bool may_exist_below(std::string_view key, std::uint8_t level) const {
        for (std::size_t lower_level = level + 1U; lower_level < levels_.size(); ++lower_level) {
            for (const auto& run : levels_[lower_level]) {
                if (run->metadata().first <= key && key <= run->metadata().last) return true;
            }
        }
        return false;
    }

    // Whether an entry is the newest of its key or visible to a snapshot.
    bool must_keep(const Cursor& cursor, bool first_of_key, std::uint64_t newer_sequence) const {
        if (first_of_key) return true;
        const auto seen = snapshots_.lower_bound(cursor.sequence());
        return seen != snapshots_.end() && *seen < newer_sequence;
    }

    Result continue_job(Job& job) {
        if (!job.started) {
            if (auto result = job.cursor->seek({}); !result) return result;
            job.started = true;
        }
        std::size_t bytes_processed = 0;
        while (job.cursor->valid()) {
            if (bytes_processed >= options_.step_bytes) return Result::ok();
            const Cursor& cursor = *job.cursor;
            const bool first_of_key = !job.has_previous || cursor.key() != job.previous_key;
            const bool keep = must_keep(cursor, first_of_key, job.previous_sequence);
            // An erase marker is obsolete if it hides no entry of a lower level and no snapshot needs it.
            const bool obsolete = keep && !cursor.is_put() && job.level > 0 &&
                                  !may_exist_below(cursor.key(), job.level) &&
                                  (snapshots_.empty() || *snapshots_.begin() >= cursor.sequence());
            bytes_processed += cursor.key().size() + cursor.value().size() + 16;
            if (keep && !obsolete) {
                // All versions of a key stay in one run, as runs of a level must not overlap.
                if (job.writer && first_of_key && job.writer->bytes() >= options_.run_bytes &&
                    job.level > 0) {
                    if (auto result = finish_output(job); !result) return result;
                }
                if (!job.writer) {
                    if (auto result = begin_output(job); !result) return result;
                }
                const int error =
                    job.writer->add(cursor.key(), cursor.sequence(), cursor.is_put(), cursor.value());
                if (error != 0) return file_error(name_of(job.number, "run"), error);
            }
            job.has_previous = true;
            if (first_of_key) job.previous_key = cursor.key();
            job.previous_sequence = cursor.sequence();
            if (auto result = job.cursor->next(); !result) return result;
        }
        if (job.writer) {
            if (auto result = finish_output(job); !result) return result;
        }
        return finish_job(job);
    }

    Result begin_output(Job& job) {
        job.number = next_number();
        std::unique_ptr<File> file;
        const int error = files_.create(name_of(job.number, "run"), file);
        if (error != 0) return file_error(name_of(job.number, "run"), error);
        job.writer = std::make_unique<RunWriter>(std::move(file), identity_, job.number, random_());
        return Result::ok();
    }

    Result finish_output(Job& job) {
        if (const int error = job.writer->finish(); error != 0)
            return file_error(name_of(job.number, "run"), error);
        if (const int error = job.writer->sync(); error != 0)
            return fail_writes("sync of " + name_of(job.number, "run"), error);
        const std::uint64_t size = job.writer->bytes();
        figures_.written_bytes += size;
        job.outputs.push_back({job.number, job.level, size, job.writer->first(), job.writer->last()});
        job.writer.reset();
        return Result::ok();
    }

    Result finish_job(Job& job) {
        Manifest manifest = manifest_;
        for (const auto& run : job.inputs) {
            std::erase_if(manifest.runs, [&](const RunMetadata& metadata) {
                return metadata.number == run->metadata().number;
            });
        }
        for (const RunMetadata& metadata : job.outputs) manifest.runs.push_back(metadata);
        const std::uint64_t old_log = manifest.log;
        if (job.flush) {
            manifest.log = log_number_;
            manifest.sequence = std::max(manifest.sequence, immutable_table_->last_sequence());
        }
        manifest.synced = std::max(manifest.synced, synced_sequence_);
        if (auto result = install_manifest(std::move(manifest)); !result) return result;
        const bool flush = job.flush;
        for (const auto& run : job.inputs) {
            std::erase(levels_[run->metadata().level], run);
            (void)files_.remove(name_of(run->metadata().number, "run"));
        }
        for (const RunMetadata& metadata : job.outputs) add_run(metadata);
        if (job.flush) {
            ++figures_.flushes;
            immutable_table_.reset();
            flush_.reset();
            for (std::uint64_t number = old_log; number < manifest_.log; ++number) {
                (void)files_.remove(name_of(number, "log"));
            }
        }
        if (!flush) {
            ++figures_.merges;
            merge_.reset();
        }
        return Result::ok();
    }

    // Ends a failed job and removes its outputs. After a write error the outputs stay, as an installed
    // manifest may name them.
    void discard_job(std::unique_ptr<Job>& job) {
        if (!job) return;
        if (!write_error_) {
            for (const RunMetadata& metadata : job->outputs)
                (void)files_.remove(name_of(metadata.number, "run"));
            if (job->number != 0) (void)files_.remove(name_of(job->number, "run"));
        }
        job.reset();
    }

    Files& files_;
    const EngineOptions options_;
    const Chance random_;
    BlockCache cache_;
    Identity identity_{};
    Manifest manifest_;
    std::vector<std::vector<RunPointer>> levels_{max_levels};
    // Per level: first key of the run that was merged last.
    std::vector<std::string> merge_positions_{max_levels};

    std::unique_ptr<File> log_;
    std::uint64_t log_number_ = 0;
    std::uint64_t log_size_ = 0;
    std::uint64_t log_salt_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t synced_sequence_ = 0;
    std::unique_ptr<MemoryTable> memory_table_ = std::make_unique<MemoryTable>();
    std::unique_ptr<MemoryTable> immutable_table_;  // immutable table being written to a run
    std::unique_ptr<Job> flush_, merge_;
    bool compact_requested_ = false;  // compact_all() was requested and is not finished
    bool flush_requested_ = false;    // the memory table is to be flushed even if it is not full
    std::optional<Result> write_error_;

    std::map<std::string, Space, std::less<>> spaces_;
    std::map<SpaceId, SpaceKind> space_kinds_;
    StreamStates stream_cache_;
    std::multiset<std::uint64_t> snapshots_;
    EngineFigures figures_;
};

Engine::Engine(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Engine::~Engine() = default;

Engine::Opened Engine::open(Files& files, EngineOptions options, Chance random) {
    Opened opened;
    auto impl = std::make_unique<Impl>(files, std::move(options), std::move(random));
    opened.result = impl->open(opened.opening);
    // Nothing was served, so a later opening does not depend on anything that this one failed to sync.
    if (opened.result.status == Status::unknown) opened.result.status = Status::retry;
    if (opened.result) opened.engine.reset(new Engine(std::move(impl)));
    return opened;
}

Result Engine::space(std::string_view name, SpaceKind kind, bool create, SpaceId& id) {
    return impl_->space(name, kind, create, id);
}
std::vector<Engine::Written> Engine::write(std::span<const Batch* const> batches, bool durable) {
    return impl_->write(batches, durable);
}
Result Engine::sync() { return impl_->sync(); }
bool Engine::synced() const { return impl_->synced(); }
std::uint64_t Engine::take_snapshot() { return impl_->take_snapshot(); }
void Engine::release_snapshot(std::uint64_t snapshot) { impl_->release_snapshot(snapshot); }
Result Engine::get(SpaceId space, std::string_view key, std::optional<std::string>& value,
                   std::optional<std::uint64_t> snapshot) {
    return impl_->get(space, key, value, snapshot);
}
Result Engine::scan(SpaceId space, std::string_view from, std::string_view to, std::size_t max_items,
                    std::vector<Item>& items, std::optional<std::uint64_t> snapshot) {
    return impl_->scan(space, from, to, max_items, items, snapshot);
}
Result Engine::read_stream(SpaceId space, std::string_view stream, std::uint64_t from,
                           std::size_t max_elements, std::vector<Element>& elements,
                           std::optional<std::uint64_t> snapshot) {
    return impl_->read_stream(space, stream, from, max_elements, elements, snapshot);
}
Result Engine::next_position(SpaceId space, std::string_view stream, std::uint64_t& position) {
    return impl_->next_position(space, stream, position);
}
bool Engine::has_work() const { return impl_->has_work(); }
bool Engine::crowded() const { return impl_->crowded(); }
Result Engine::step() { return impl_->step(); }
void Engine::compact_all() { impl_->compact_all(); }
Result Engine::verify(const std::function<void(const std::string&)>& progress) {
    return impl_->verify(progress);
}
const Identity& Engine::identity() const { return impl_->identity(); }
EngineFigures Engine::figures() const { return impl_->figures(); }
std::optional<Result> Engine::broken() const { return impl_->broken(); }

}  // namespace flaxdoor::store
