#include "store/run.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "store/coding.h"

namespace flaxdoor::store {

namespace {

constexpr std::size_t block_bytes = 4096;
constexpr std::size_t write_buffer_bytes = 64 * 1024;  // size of one write to the file
constexpr std::size_t footer_bytes = 112;
constexpr std::uint32_t version = 1;
// Limit for a run that is read without its index.
constexpr std::uint64_t max_salvage_run_bytes = 256 * 1024 * 1024;
constexpr std::size_t hash_bytes = 8;
constexpr std::string_view magic = "flaxsrun";
constexpr std::uint64_t filter_bits_per_key = 10;
constexpr std::uint8_t filter_probes = 7;

template <typename Visit>
bool for_each_probe(std::uint64_t hash, std::uint8_t probe_count, std::uint64_t bits, Visit visit) {
    const std::uint64_t h1 = hash & 0xffffffffU;
    const std::uint64_t h2 = hash >> 32 | 1;
    for (std::uint8_t i = 0; i < probe_count; ++i) {
        if (!visit((h1 + i * h2) % bits)) return false;
    }
    return true;
}

// Reads the entries of one block from front to back.
class BlockReader {
public:
    BlockReader() = default;
    explicit BlockReader(BlockCache::Block block) : block_(std::move(block)), rest_(*block_) {}

    bool at_end() const { return rest_.empty(); }
    std::size_t left() const { return rest_.left(); }
    // Reads the next entry. Returns false if it is malformed or not after the previous entry.
    bool next() {
        const std::uint64_t prefix_length = rest_.varint();
        const std::uint64_t suffix_length = rest_.varint();
        const std::uint64_t tag = rest_.varint();
        const std::uint64_t value = (tag & 1) != 0 ? rest_.varint() : 0;
        if (!rest_.good() || prefix_length > key_.size()) return false;
        const std::string_view suffix = rest_.bytes(suffix_length);
        value_ = rest_.bytes(value);
        if (!rest_.good()) return false;
        const int order = suffix.compare(std::string_view(key_).substr(prefix_length));
        if (has_entry_ && (order < 0 || (order == 0 && tag >> 1 >= sequence_))) return false;
        has_entry_ = true;
        key_.resize(prefix_length);
        key_.append(suffix);
        sequence_ = tag >> 1;
        is_put_ = (tag & 1) != 0;
        return true;
    }
    const std::string& key() const { return key_; }
    std::uint64_t sequence() const { return sequence_; }
    bool put() const { return is_put_; }
    std::string_view value() const { return value_; }

private:
    BlockCache::Block block_;
    Reader rest_{{}};
    std::string key_;
    std::uint64_t sequence_ = 0;
    bool has_entry_ = false;
    bool is_put_ = false;
    std::string_view value_;
};

}  // namespace

// Block cache

BlockCache::Block BlockCache::find(Key key) {
    const auto found = by_key_.find(key);
    if (found == by_key_.end()) return nullptr;
    entries_.splice(entries_.begin(), entries_, found->second);
    return found->second->block;
}

void BlockCache::put(Key key, Block block) {
    const auto [position, added] = by_key_.try_emplace(key);
    if (!added) return;
    bytes_ += block->size();
    entries_.push_front({key, std::move(block)});
    position->second = entries_.begin();
    while (bytes_ > capacity_ && entries_.size() > 1) {
        bytes_ -= entries_.back().block->size();
        by_key_.erase(entries_.back().key);
        entries_.pop_back();
    }
}

// Reading

Run::Run(Files& files, BlockCache& cache, const Identity& identity, RunMetadata metadata)
    : files_(files), cache_(cache), identity_(identity), metadata_(std::move(metadata)) {}

Result Run::corruption(std::uint64_t offset, const char* what) const {
    return Result::corrupt(name_of(metadata_.number, "run") + ", offset " + std::to_string(offset) + ": " +
                           what);
}

Result Run::read_section(std::uint64_t offset, std::uint64_t length, std::string& out) {
    if (offset > metadata_.size || metadata_.size - offset < hash_bytes ||
        length > metadata_.size - offset - hash_bytes)
        return corruption(offset, "section exceeds the file");
    if (const int error = file_->read(offset, length + hash_bytes, out); error != 0) {
        return Result::retry(name_of(metadata_.number, "run") + ": " + std::strerror(error));
    }
    if (out.size() != length + hash_bytes) return corruption(offset, "file is too short");
    const std::uint64_t hash = u64_at(out, length);
    out.resize(length);
    return hash_of(out, salt_) == hash ? Result::ok() : corruption(offset, "hash");
}

Result Run::open_file(std::uint64_t& size) {
    const std::string name = name_of(metadata_.number, "run");
    if (!file_) {
        if (const int error = files_.open(name, file_); error != 0) {
            file_.reset();
            if (error == ENOENT) return corruption(0, "missing, but named by the manifest");
            return Result::retry(name + ": " + std::strerror(error));
        }
    }
    if (const int error = file_->size(size); error != 0)
        return Result::retry(name + ": " + std::strerror(error));
    if (size == metadata_.size && size >= footer_bytes) return Result::ok();
    return corruption(std::min(size, metadata_.size), "size differs from the manifest");
}

Result Run::load() {
    if (loaded_) return Result::ok();
    std::uint64_t size = 0;
    if (auto result = open_file(size); !result) return result;
    const std::uint64_t footer_offset = metadata_.size - footer_bytes;
    std::string footer;
    if (const int error = file_->read(footer_offset, footer_bytes, footer); error != 0) {
        return Result::retry(name_of(metadata_.number, "run") + ": " + std::strerror(error));
    }
    if (footer.size() != footer_bytes || std::string_view(footer).substr(104) != magic)
        return corruption(footer_offset, "footer missing");
    if (hash_of(std::string_view(footer).substr(0, 96), 0) != u64_at(footer, 96))
        return corruption(footer_offset, "footer hash mismatch");
    if (u32_at(footer, 88) > version) {
        return Result::refused(name_of(metadata_.number, "run") + ": written by a newer version");
    }
    if (u32_at(footer, 88) != version || u32_at(footer, 92) != 0) return corruption(footer_offset, "footer");
    if (identity_at(footer, 64) != identity_ || u64_at(footer, 80) != metadata_.number)
        return corruption(footer_offset, "footer belongs to another file");
    // The sections must be adjacent: no byte lies outside of them.
    const std::uint64_t index_at = u64_at(footer, 0), filter_at = u64_at(footer, 16);
    if (index_at > footer_offset || filter_at > footer_offset || u64_at(footer, 8) > footer_offset ||
        u64_at(footer, 24) > footer_offset || index_at + u64_at(footer, 8) + hash_bytes != filter_at ||
        filter_at + u64_at(footer, 24) + hash_bytes != footer_offset) {
        return corruption(footer_offset, "footer");
    }
    salt_ = u64_at(footer, 56);
    entries_ = u64_at(footer, 32);
    std::string index;
    if (auto result = read_section(u64_at(footer, 0), u64_at(footer, 8), index); !result) return result;
    if (auto result = read_section(u64_at(footer, 16), u64_at(footer, 24), filter_); !result) return result;
    index_.clear();
    Reader reader(index);
    std::uint64_t next_offset = 0;
    while (!reader.empty()) {
        IndexEntry entry;
        entry.last = reader.text();
        entry.offset = reader.varint();
        entry.length = reader.varint();
        if (!reader.good() || entry.offset != next_offset || entry.length > index_at)
            return corruption(index_at, "index");
        next_offset = entry.offset + entry.length + hash_bytes;
        index_.push_back(std::move(entry));
    }
    const bool in_order =
        std::is_sorted(index_.begin(), index_.end(),
                       [](const IndexEntry& a, const IndexEntry& b) { return a.last < b.last; });
    if (next_offset != index_at || !in_order || index_.empty() ||
        (!metadata_.last.empty() && index_.back().last != metadata_.last))
        return corruption(index_at, "index");
    index_.shrink_to_fit();
    loaded_ = true;
    return Result::ok();
}

Result Run::check_size() {
    const bool was_open = file_ != nullptr;
    std::uint64_t size = 0;
    auto result = open_file(size);
    if (!was_open) file_.reset();
    return result;
}

Result Run::read_block(std::size_t block, BlockCache::Block& out, bool cached) {
    const BlockCache::Key key{metadata_.number, index_[block].offset};
    out = cache_.find(key);
    if (out) return Result::ok();
    auto bytes = std::make_shared<std::string>();
    if (auto result = read_section(index_[block].offset, index_[block].length, *bytes); !result)
        return result;
    out = std::move(bytes);
    if (cached) cache_.put(key, out);
    return Result::ok();
}

std::size_t Run::find_block(std::string_view key) const {
    const auto found = std::lower_bound(
        index_.begin(), index_.end(), key,
        [](const IndexEntry& entry, std::string_view wanted) { return entry.last < wanted; });
    return static_cast<std::size_t>(found - index_.begin());
}

bool Run::in_block_range(std::size_t block, std::string_view key) const {
    return key <= index_[block].last && (block == 0 ? key >= metadata_.first : key >= index_[block - 1].last);
}

bool Run::may_contain(std::string_view key) const {
    if (filter_.size() < 2) return true;
    const auto probe_count = static_cast<std::uint8_t>(filter_[0]);
    const std::uint64_t bits = (filter_.size() - 1) * 8;
    return for_each_probe(hash_of(key, 0), probe_count, bits, [&](std::uint64_t bit) {
        return (static_cast<unsigned char>(filter_[1 + bit / 8]) >> (bit % 8) & 1) != 0;
    });
}

Result Run::get(std::string_view key, std::uint64_t snapshot, Found& out) {
    out.found = false;
    if (key < metadata_.first || key > metadata_.last) return Result::ok();
    if (auto result = load(); !result) return result;
    if (!may_contain(key)) return Result::ok();
    for (std::size_t block_index = find_block(key); block_index < index_.size(); ++block_index) {
        BlockCache::Block block;
        if (auto result = read_block(block_index, block); !result) return result;
        BlockReader reader(block);
        while (!reader.at_end()) {
            if (!reader.next()) return corruption(index_[block_index].offset, "entry");
            const int order = std::string_view(reader.key()).compare(key);
            if (order > 0) return Result::ok();
            if (order < 0 || reader.sequence() > snapshot) continue;
            out = {true, reader.put(), reader.sequence(), std::string(reader.value())};
            return Result::ok();
        }
        if (index_[block_index].last != key) break;  // otherwise the next block may hold older versions
    }
    return Result::ok();
}

class RunCursor final : public Cursor {
public:
    RunCursor(std::vector<std::shared_ptr<Run>> runs, bool cached)
        : runs_(std::move(runs)), cached_(cached) {}

    Result seek(std::string_view key) override {
        valid_ = false;
        run_index_ = 0;
        while (run_index_ < runs_.size() && runs_[run_index_]->metadata().last < key) ++run_index_;
        if (run_index_ == runs_.size()) return Result::ok();
        if (auto result = runs_[run_index_]->load(); !result) return result;
        block_index_ = runs_[run_index_]->find_block(key);
        if (auto result = open_block(); !result) return result;
        do {
            if (auto result = next(); !result) return result;
        } while (valid_ && reader_.key() < key);
        return Result::ok();
    }

    Result next() override {
        while (reader_.at_end()) {
            valid_ = false;
            ++block_index_;
            if (auto result = open_block(); !result || run_index_ == runs_.size()) return result;
        }
        valid_ = reader_.next() && runs_[run_index_]->in_block_range(block_index_, reader_.key());
        return valid_
                   ? Result::ok()
                   : runs_[run_index_]->corruption(runs_[run_index_]->index_[block_index_].offset, "entry");
    }

    bool valid() const override { return valid_; }
    std::string_view key() const override { return reader_.key(); }
    std::uint64_t sequence() const override { return reader_.sequence(); }
    bool is_put() const override { return reader_.put(); }
    std::string_view value() const override { return reader_.value(); }

private:
    // After the last block of a run, continues with the first block of the next run.
    Result open_block() {
        reader_ = {};
        while (block_index_ >= runs_[run_index_]->index_.size()) {
            if (++run_index_ == runs_.size()) return Result::ok();
            if (auto result = runs_[run_index_]->load(); !result) return result;
            block_index_ = 0;
        }
        BlockCache::Block block;
        auto result = runs_[run_index_]->read_block(block_index_, block, cached_);
        if (result) reader_ = BlockReader(std::move(block));
        return result;
    }

    const std::vector<std::shared_ptr<Run>> runs_;
    const bool cached_;
    std::size_t run_index_ = 0;  // index into runs_
    std::size_t block_index_ = 0;
    BlockReader reader_;
    bool valid_ = false;
};

std::unique_ptr<Cursor> Run::cursor(std::vector<std::shared_ptr<Run>> runs, bool cached) {
    return std::make_unique<RunCursor>(std::move(runs), cached);
}

// Finds the end of each block by checking after every entry whether the hash of the bytes read so far
// follows.
Result Run::load_without_index() {
    std::uint64_t size = 0;
    if (auto result = open_file(size); !result && result.status != Status::corrupt) return result;
    if (!file_ || size < footer_bytes || size > max_salvage_run_bytes)
        return corruption(0, "file is too short or too long");
    std::string bytes;
    if (const int error = file_->read(0, size, bytes); error != 0 || bytes.size() != size)
        return Result::retry(name_of(metadata_.number, "run") + ": " + std::strerror(error));
    const std::string_view footer = std::string_view(bytes).substr(size - footer_bytes);
    if (footer.substr(104) != magic || hash_of(footer.substr(0, 96), 0) != u64_at(footer, 96) ||
        identity_at(footer, 64) != identity_ || u64_at(footer, 80) != metadata_.number) {
        return corruption(size - footer_bytes, "footer");
    }
    salt_ = u64_at(footer, 56);
    index_.clear();
    filter_.clear();
    const std::string_view data = std::string_view(bytes).substr(0, size - footer_bytes);
    std::size_t offset = 0;
    while (offset < data.size()) {
        BlockReader reader(std::make_shared<std::string>(data.substr(offset)));
        bool complete = false;
        while (!complete && !reader.at_end() && reader.next()) {
            const std::size_t length = data.size() - offset - reader.left();
            complete = reader.left() >= hash_bytes &&
                       hash_of(data.substr(offset, length), salt_) == u64_at(data, offset + length);
            if (!complete) continue;
            index_.push_back({reader.key(), offset, length});
            offset += length + hash_bytes;
        }
        if (!complete) break;
    }
    loaded_ = true;
    return Result::ok();
}

class SalvageCursor final : public Cursor {
public:
    SalvageCursor(std::shared_ptr<Run> run, Run::LossReporter reporter)
        : run_(std::move(run)), reporter_(std::move(reporter)) {}

    Result seek(std::string_view) override {
        const RunMetadata& metadata = run_->metadata();
        if (const auto result = run_->load(); !result) {
            if (!reporter_) return result;
            reporter_(result.why);
            if (const auto scanned = run_->load_without_index(); !scanned) {
                reporter_(scanned.why + ": the whole run is lost, keys " + printable_key(metadata.first) +
                          " to " + printable_key(metadata.last));
                run_->index_.clear();
                run_->loaded_ = true;
                return Result::ok();
            }
            const std::string last_key = run_->index_.empty() ? metadata.first : run_->index_.back().last;
            reporter_(name_of(metadata.number, "run") + ": read without its index, up to key " +
                      printable_key(last_key) + " of " + printable_key(metadata.last));
        }
        block_index_ = 0;
        if (auto result = open_blocks(); !result) return result;
        return next();
    }

    Result next() override {
        for (;;) {
            if (block_index_ >= run_->index_.size()) {
                valid_ = false;
                return Result::ok();
            }
            if (!reader_.at_end()) {
                valid_ = reader_.next() && run_->in_block_range(block_index_, reader_.key());
                if (valid_) return Result::ok();
                reader_ = BlockReader();
                if (auto result = report_loss(run_->corruption(run_->index_[block_index_].offset, "entry"));
                    !result)
                    return result;
            }
            ++block_index_;
            if (auto result = open_blocks(); !result) return result;
        }
    }

    bool valid() const override { return valid_; }
    std::string_view key() const override { return reader_.key(); }
    std::uint64_t sequence() const override { return reader_.sequence(); }
    bool is_put() const override { return reader_.put(); }
    std::string_view value() const override { return reader_.value(); }

private:
    // Opens the next readable block.
    Result open_blocks() {
        for (; block_index_ < run_->index_.size(); ++block_index_) {
            if (!reporter_ && run_->skipped_blocks_.contains(block_index_)) continue;
            BlockCache::Block block;
            const auto result = run_->read_block(block_index_, block);
            if (result) {
                reader_ = BlockReader(std::move(block));
                return result;
            }
            if (auto reported = report_loss(result); !reported) return reported;
        }
        return Result::ok();
    }
    Result report_loss(const Result& result) {
        if (!reporter_) return result;
        run_->skipped_blocks_.insert(block_index_);
        const std::string previous_key =
            block_index_ == 0 ? run_->metadata().first : run_->index_[block_index_ - 1].last;
        reporter_(result.why + ": keys from " + printable_key(previous_key) + " to " +
                  printable_key(run_->index_[block_index_].last) + " may be missing or have an older value");
        return Result::ok();
    }

    const std::shared_ptr<Run> run_;
    const Run::LossReporter reporter_;
    std::size_t block_index_ = 0;
    BlockReader reader_;
    bool valid_ = false;
};

std::unique_ptr<Cursor> Run::salvage_cursor(const std::shared_ptr<Run>& run, LossReporter reporter) {
    return std::make_unique<SalvageCursor>(run, std::move(reporter));
}

Result Run::verify(std::uint64_t& entries) {
    entries = 0;
    if (auto result = load(); !result) return result;
    std::string bytes, previous_key;
    std::uint64_t sequence = 0;
    for (const IndexEntry& entry : index_) {
        auto block = std::make_shared<std::string>();
        if (auto result = read_section(entry.offset, entry.length, *block); !result) return result;
        BlockReader reader(std::move(block));
        while (!reader.at_end()) {
            if (!reader.next()) return corruption(entry.offset, "entry");
            const bool in_order = entries == 0 || previous_key < reader.key() ||
                                  (previous_key == reader.key() && sequence > reader.sequence());
            if (!in_order) return corruption(entry.offset, "entries out of order");
            previous_key = reader.key();
            sequence = reader.sequence();
            ++entries;
        }
        if (previous_key != entry.last)
            return corruption(entry.offset, "last key of the block differs from the index");
    }
    return entries == entries_ ? Result::ok() : corruption(0, "number of entries differs from the footer");
}

// Writing

int RunWriter::append(std::string_view bytes) {
    write_buffer_.append(bytes);
    written_bytes_ += bytes.size();
    if (write_buffer_.size() < write_buffer_bytes) return 0;
    const int error = file_->append(write_buffer_);
    write_buffer_.clear();
    return error;
}

int RunWriter::add(std::string_view key, std::uint64_t sequence, bool put, std::string_view value) {
    const bool new_block = block_.empty();
    std::size_t shared = 0;
    if (!new_block) {
        const auto max_shared = std::min(key.size(), last_.size());
        while (shared < max_shared && key[shared] == last_[shared]) ++shared;
    }
    put_varint(block_, shared);
    put_varint(block_, key.size() - shared);
    put_varint(block_, sequence << 1 | (put ? 1 : 0));
    if (put) put_varint(block_, value.size());
    block_.append(key.substr(shared));
    if (put) block_.append(value);
    if (entries_ == 0) {
        first_ = key;
        min_sequence_ = max_sequence_ = sequence;
    }
    if (entries_ == 0 || key != last_) key_hashes_.push_back(hash_of(key, 0));
    last_ = key;
    min_sequence_ = std::min(min_sequence_, sequence);
    max_sequence_ = std::max(max_sequence_, sequence);
    ++entries_;
    return block_.size() >= block_bytes ? end_block() : 0;
}

int RunWriter::end_block() {
    put_text(index_, last_);
    put_varint(index_, written_bytes_);
    put_varint(index_, block_.size());
    put_u64(block_, hash_of(block_, salt_));
    const int error = append(block_);
    block_.clear();
    return error;
}

int RunWriter::finish() {
    if (!block_.empty()) {
        if (const int error = end_block(); error != 0) return error;
    }
    const std::uint64_t bits = std::max<std::uint64_t>(64, key_hashes_.size() * filter_bits_per_key);
    std::string filter(1 + (bits + 7) / 8, '\0');
    filter[0] = static_cast<char>(filter_probes);
    for (const std::uint64_t hash : key_hashes_) {
        (void)for_each_probe(hash, filter_probes, (filter.size() - 1) * 8, [&](std::uint64_t bit) {
            filter[1 + bit / 8] = static_cast<char>(filter[1 + bit / 8] | 1 << (bit % 8));
            return true;
        });
    }
    std::string footer;
    put_u64(footer, written_bytes_);
    put_u64(footer, index_.size());
    put_u64(footer, written_bytes_ + index_.size() + hash_bytes);
    put_u64(footer, filter.size());
    put_u64(footer, entries_);
    put_u64(footer, min_sequence_);
    put_u64(footer, max_sequence_);
    put_u64(footer, salt_);
    put_identity(footer, identity_);
    put_u64(footer, number_);
    put_u32(footer, version);
    put_u32(footer, 0);
    put_u64(footer, hash_of(footer, 0));
    footer.append(magic);
    put_u64(index_, hash_of(index_, salt_));
    put_u64(filter, hash_of(filter, salt_));
    for (const std::string* section : {&index_, &filter, &footer}) {
        if (const int error = append(*section); error != 0) return error;
    }
    if (!write_buffer_.empty()) {
        const int error = file_->append(write_buffer_);
        write_buffer_.clear();
        if (error != 0) return error;
    }
    return 0;
}

}  // namespace flaxdoor::store
