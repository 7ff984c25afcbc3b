// Sorted in-memory table of the entries that are in no run yet. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/cursor.h"

namespace flaxdoor::store {

class MemoryTable {
public:
    struct Version {
        std::uint64_t sequence = 0;
        bool put = false;
        std::string value;
    };

    // Adds an entry. Requires ascending sequences. `snapshot` is the newest open snapshot, 0 if there is
    // none. The previous version of the key is removed if no snapshot can see it.
    void add(std::string_view key, std::uint64_t sequence, bool put, std::string_view value,
             std::uint64_t snapshot) {
        auto entry = entries_.find(key);
        if (entry == entries_.end()) {
            entry = entries_.emplace(std::string(key), std::vector<Version>()).first;
            bytes_ += key.size() + node_bytes;
        }
        auto& versions = entry->second;
        if (!versions.empty() && versions.back().sequence > snapshot) {
            bytes_ -= versions.back().value.size() + version_bytes;
            versions.pop_back();
        }
        versions.push_back({sequence, put, std::string(value)});
        bytes_ += value.size() + version_bytes;
        last_sequence_ = sequence;
    }

    // Returns the newest version of `key` that is visible to `snapshot`, or null if there is none.
    const Version* find(std::string_view key, std::uint64_t snapshot) const {
        const auto entry = entries_.find(key);
        if (entry == entries_.end()) return nullptr;
        for (auto version = entry->second.rbegin(); version != entry->second.rend(); ++version) {
            if (version->sequence <= snapshot) return &*version;
        }
        return nullptr;
    }

    std::unique_ptr<Cursor> cursor() const { return std::make_unique<TableCursor>(*this); }
    std::size_t bytes() const { return bytes_; }
    bool empty() const { return entries_.empty(); }
    std::uint64_t last_sequence() const { return last_sequence_; }

private:
    using Map = std::map<std::string, std::vector<Version>, std::less<>>;
    // Estimated overhead of a map node and of a version, counted by bytes().
    static constexpr std::size_t node_bytes = 96;
    static constexpr std::size_t version_bytes = 64;

    class TableCursor final : public Cursor {
    public:
        explicit TableCursor(const MemoryTable& table) : table_(table), entry_(table.entries_.end()) {}
        Result seek(std::string_view key) override {
            entry_ = table_.entries_.lower_bound(key);
            if (valid()) version_ = entry_->second.size();
            return Result::ok();
        }
        Result next() override {
            if (--version_ > 0) return Result::ok();
            if (++entry_ != table_.entries_.end()) version_ = entry_->second.size();
            return Result::ok();
        }
        bool valid() const override { return entry_ != table_.entries_.end(); }
        std::string_view key() const override { return entry_->first; }
        std::uint64_t sequence() const override { return current().sequence; }
        bool is_put() const override { return current().put; }
        std::string_view value() const override { return current().value; }

    private:
        const Version& current() const { return entry_->second[version_ - 1]; }
        const MemoryTable& table_;
        Map::const_iterator entry_;
        std::size_t version_ = 0;
    };

    Map entries_;
    std::size_t bytes_ = 0;
    std::uint64_t last_sequence_ = 0;
};

}  // namespace flaxdoor::store
