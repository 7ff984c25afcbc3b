// Sorted runs: docs/store_format.md, "Run". Written once, front to back; read by blocks through a cache.
//
// Threading: one thread at a time for a store's runs and its cache.
// Errors:    a block whose hash does not match is corrupt, with file and offset; a call on a file that failed
//            is retry (a read) or as the writer's caller takes it.
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

// Blocks that were read, the one used longest ago dropped first.
class BlockCache {
public:
    using Block = std::shared_ptr<const std::string>;
    struct Place {
        std::uint64_t run = 0;
        std::uint64_t offset = 0;
        bool operator==(const Place&) const = default;
    };
    explicit BlockCache(std::size_t most) : most_(most) {}
    Block find(Place place);
    void put(Place place, Block block);

private:
    struct Held {
        Place place;
        Block block;
    };
    struct Hash {
        std::size_t operator()(const Place& place) const {
            return (place.run << 40 ^ place.offset) * 0x9e3779b97f4a7c15ULL >> 16;
        }
    };
    const std::size_t most_;
    std::size_t bytes_ = 0;
    std::list<Held> held_;  // the one used latest first
    std::unordered_map<Place, std::list<Held>::iterator, Hash> places_;
};

// What a manifest says of a run.
struct RunFacts {
    std::uint64_t number = 0;
    std::uint8_t level = 0;
    std::uint64_t size = 0;
    std::string first, last;  // keys; both empty when they are not known, as in a salvage without a manifest
};

class Run {
public:
    Run(Files& files, BlockCache& cache, const Identity& identity, RunFacts facts);
    const RunFacts& facts() const { return facts_; }

    // The newest entry of the key that a snapshot sees; `found` false when there is none here.
    struct Found {
        bool found = false;
        bool put = false;
        std::uint64_t sequence = 0;
        std::string value;
    };
    Result get(std::string_view key, std::uint64_t snapshot, Found& out);
    // All entries of runs in order of their keys, which do not overlap; one of them is read at a time. What
    // is read once, as by a merge, is not kept in the cache, where it would push out what is read often.
    static std::unique_ptr<Cursor> cursor(std::vector<std::shared_ptr<Run>> runs, bool cached);
    // From the first entry on, past what can't be read: that is told, and its results are always ok. A second
    // one of the same run, with `told` empty, passes over the same; what else can't be read then is its
    // result.
    using Told = std::function<void(const std::string&)>;
    static std::unique_ptr<Cursor> salvage_cursor(const std::shared_ptr<Run>& self, Told told);
    // Reads all of it and checks every hash and the order.
    Result verify(std::uint64_t& entries);
    // Whether the file is as long as the manifest says; it is not held open for that.
    Result check_size();

private:
    friend class RunCursor;
    friend class SalvageCursor;
    struct Place {
        std::string last;  // key
        std::uint64_t offset = 0;
        std::uint64_t length = 0;
    };
    Result open_file(std::uint64_t& size);
    Result load();                // once, before anything is read
    Result load_without_index();  // finds the blocks that follow one another from the front
    Result read_piece(std::uint64_t offset, std::uint64_t length, std::string& out);
    Result read_block(std::size_t i, BlockCache::Block& out, bool cached = true);
    std::size_t block_of(std::string_view key) const;  // the first whose last key is not below
    bool within(std::size_t block, std::string_view key) const;
    bool may_hold(std::string_view key) const;
    Result damaged(std::uint64_t offset, const char* what) const;

    Files& files_;
    BlockCache& cache_;
    const Identity identity_;
    const RunFacts facts_;
    std::unique_ptr<File> file_;
    bool loaded_ = false;
    std::uint64_t salt_ = 0;
    std::uint64_t entries_ = 0;
    std::vector<Place> index_;
    std::set<std::size_t> given_up_;  // blocks, by a salvage
    std::string filter_;
};

// Builds a run: entries in order, finish(), sync(). What it has written is durable once that has returned 0.
class RunWriter {
public:
    RunWriter(std::unique_ptr<File> file, const Identity& identity, std::uint64_t number, std::uint64_t salt)
        : file_(std::move(file)), identity_(identity), number_(number), salt_(salt) {}
    [[nodiscard]] int add(std::string_view key, std::uint64_t sequence, bool put, std::string_view value);
    [[nodiscard]] int finish();
    [[nodiscard]] int sync() { return file_->sync(); }
    std::uint64_t bytes() const { return written_ + block_.size(); }
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
    std::string block_, index_, pending_;
    std::string first_, last_;
    std::vector<std::uint64_t> hashes_;
    std::uint64_t written_ = 0;
    std::uint64_t entries_ = 0;
    std::uint64_t least_ = 0, greatest_ = 0;
};

}  // namespace flaxdoor::store
