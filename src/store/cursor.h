// Iteration over entries in ascending order of key; entries of one key come newest first.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "store/status.h"

namespace flaxdoor::store {

class Cursor {
public:
    virtual ~Cursor() = default;
    // Moves to the first entry whose key is not less than `key`.
    virtual Result seek(std::string_view key) = 0;
    virtual Result next() = 0;
    [[nodiscard]] virtual bool valid() const = 0;
    // The current entry. Requires valid(). The returned views are valid until the cursor moves.
    [[nodiscard]] virtual std::string_view key() const = 0;
    [[nodiscard]] virtual std::uint64_t sequence() const = 0;
    [[nodiscard]] virtual bool is_put() const = 0;
    [[nodiscard]] virtual std::string_view value() const = 0;
};

// Merges the entries of several cursors into one order. Each move compares all inputs linearly, as there are
// few.
class MergeCursor final : public Cursor {
public:
    explicit MergeCursor(std::vector<std::unique_ptr<Cursor>> cursors) {
        for (auto& cursor : cursors) inputs_.push_back({std::move(cursor)});
    }
    Result seek(std::string_view key) override {
        for (Input& input : inputs_) {
            if (auto result = input.cursor->seek(key); !result) return result;
            input.refresh();
        }
        select_smallest();
        return Result::ok();
    }
    Result next() override {
        if (auto result = smallest_->cursor->next(); !result) return result;
        smallest_->refresh();
        select_smallest();
        return Result::ok();
    }
    bool valid() const override { return smallest_ != nullptr; }
    std::string_view key() const override { return smallest_->key; }
    std::uint64_t sequence() const override { return smallest_->sequence; }
    bool is_put() const override { return smallest_->cursor->is_put(); }
    std::string_view value() const override { return smallest_->cursor->value(); }

private:
    // An input with its cached position, so that a move of one input does not query the others.
    struct Input {
        std::unique_ptr<Cursor> cursor;
        bool valid = false;
        std::string_view key = {};
        std::uint64_t sequence = 0;
        void refresh() {
            valid = cursor->valid();
            if (!valid) return;
            key = cursor->key();
            sequence = cursor->sequence();
        }
    };
    void select_smallest() {
        smallest_ = nullptr;
        for (Input& input : inputs_) {
            if (!input.valid) continue;
            if (!smallest_) {
                smallest_ = &input;
                continue;
            }
            const int order = input.key.compare(smallest_->key);
            if (order < 0 || (order == 0 && input.sequence > smallest_->sequence)) smallest_ = &input;
        }
    }
    std::vector<Input> inputs_;
    Input* smallest_ = nullptr;
};

}  // namespace flaxdoor::store
