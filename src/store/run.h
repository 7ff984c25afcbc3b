// Sorted runs; docs/store_format.md, "Run", describes the format. A run is written once, front to back, and
// is read block by block through a cache.
//
// Threading: one thread at a time for all runs of a store and their cache.
// Errors:    a block whose hash does not match returns `corrupt` with file and offset. A failed read returns
//            `retry`. RunWriter returns errno values.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "store/cursor.h"
#include "store/files.h"
#include "store/identity.h"

namespace flaxdoor::store {

// Least-recently-used cache of blocks, bounded by their total size in bytes.
class BlockCache {
public:
    using Block = std::shared_ptr<const std::string>;
    struct Key {
        std::uint64_t run = 0;
        std::uint64_t offset = 0;
        bool operator==(const Key&) const = default;
    };
    explicit BlockCache(std::size_t capacity) : capacity_(capacity) {}
    Block find(Key key);
    void put(Key key, Block block);

private:
    struct Entry {
        Key key;
        Block block;
    };
    struct Hash {
        std::size_t operator()(const Key& key) const {
            return (key.run << 40 ^ key.offset) * 0x9e3779b97f4a7c15ULL >> 16;
        }
    };
    const std::size_t capacity_;
    std::size_t bytes_ = 0;
    std::list<Entry> entries_;  // most recently used first
    std::unordered_map<Key, std::list<Entry>::iterator, Hash> by_key_;
};

// Description of a run in the manifest.
struct RunMetadata {
    std::uint64_t number = 0;
    std::uint8_t level = 0;
    std::uint64_t size = 0;
    std::string first, last;  // least and greatest key; both empty if unknown (salvage without a manifest)
};

// A run that can be read. Opens and loads its file on the first read.
class Run {
public:
    Run(Files& files, BlockCache& cache, const Identity& identity, RunMetadata metadata);
    const RunMetadata& metadata() const { return metadata_; }

    // Returns the newest entry of `key` that is visible to `snapshot`. `found` is false if the run holds
    // none.
    struct Found {
        bool found = false;
        bool put = false;
        std::uint64_t sequence = 0;
        std::string value;
    };
    Result get(std::string_view key, std::uint64_t snapshot, Found& out);
    // Iterates over runs that are sorted by key and do not overlap. At most one run is read at a time. With
    // `cached` unset, blocks are not added to the cache, so that a merge does not evict frequently read
    // blocks.
    static std::unique_ptr<Cursor> cursor(std::vector<std::shared_ptr<Run>> runs, bool cached);
    // Iterates from the first entry, skips unreadable blocks and reports each to `reporter`; all its results
    // are ok. A second cursor over the same run with an empty reporter skips the same blocks. It returns an
    // error for any other unreadable block.
    using LossReporter = std::function<void(const std::string&)>;
    static std::unique_ptr<Cursor> salvage_cursor(const std::shared_ptr<Run>& run, LossReporter reporter);
    // Reads the whole run, and checks every hash and the order of entries.
    Result verify(std::uint64_t& entries);
    // Checks that the file has the size stated in the manifest. Does not keep the file open if it was closed.
    Result check_size();

private:
    friend class RunCursor;
    friend class SalvageCursor;
    struct IndexEntry {
        std::string last;  // greatest key of the block
        std::uint64_t offset = 0;
        std::uint64_t length = 0;
    };
    Result open_file(std::uint64_t& size);
    Result load();                // reads footer, index and filter before the first read
    Result load_without_index();  // rebuilds the index by scanning the blocks from the front
    Result read_section(std::uint64_t offset, std::uint64_t length, std::string& out);
    Result read_block(std::size_t block, BlockCache::Block& out, bool cached = true);
    std::size_t find_block(std::string_view key) const;  // first block whose last key is not less than `key`
    bool in_block_range(std::size_t block, std::string_view key) const;
    bool may_contain(std::string_view key) const;
    Result corruption(std::uint64_t offset, const char* what) const;

    Files& files_;
    BlockCache& cache_;
    const Identity identity_;
    const RunMetadata metadata_;
    std::unique_ptr<File> file_;
    bool loaded_ = false;
    std::uint64_t salt_ = 0;
    std::uint64_t entries_ = 0;
    std::vector<IndexEntry> index_;
    std::set<std::size_t> skipped_blocks_;  // blocks that a salvage skipped
    std::string filter_;
};

// Writes a run: add() for each entry in order, finish(), sync(). The run is durable once sync() has returned
// 0.
class RunWriter {
public:
    RunWriter(std::unique_ptr<File> file, const Identity& identity, std::uint64_t number, std::uint64_t salt)
        : file_(std::move(file)), identity_(identity), number_(number), salt_(salt) {}
    [[nodiscard]] int add(std::string_view key, std::uint64_t sequence, bool put, std::string_view value);
    [[nodiscard]] int finish();
    [[nodiscard]] int sync() { return file_->sync(); }
    std::uint64_t bytes() const { return written_bytes_ + block_.size(); }
    std::uint64_t entries() const { return entries_; }
    const std::string& first() const { return first_; }
    const std::string& last() const { return last_; }

private:
    [[nodiscard]] int end_block();
    [[nodiscard]] int append(std::string_view bytes);

    std::unique_ptr<File> file_;
    const Identity identity_;
    const std::uint64_t number_;
    const std::uint64_t salt_;
    std::string block_, index_, write_buffer_;
    std::string first_, last_;
    std::vector<std::uint64_t> key_hashes_;
    std::uint64_t written_bytes_ = 0;
    std::uint64_t entries_ = 0;
    std::uint64_t min_sequence_ = 0, max_sequence_ = 0;
};

}  // namespace flaxdoor::store
