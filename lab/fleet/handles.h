// Things of a world under numbers that are never used again; those that are over are let go of in order, so
// that a number costs no look-up.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace flaxdoor::lab {

template <typename Thing>
class Handles {
public:
    std::uint64_t add(Thing thing) {
        things_.emplace_back(std::move(thing));
        ++held_;
        return first_ + things_.size() - 1;
    }
    // Null once it is over.
    Thing* find(std::uint64_t handle) {
        if (handle < first_ || handle - first_ >= things_.size()) return nullptr;
        auto& thing = things_[handle - first_];
        return thing ? &*thing : nullptr;
    }
    void erase(std::uint64_t handle) {
        if (!find(handle)) return;
        things_[handle - first_].reset();
        --held_;
        for (; !things_.empty() && !things_.front(); ++first_) things_.pop_front();
    }
    std::size_t size() const { return held_; }

private:
    std::uint64_t first_ = 1;
    std::deque<std::optional<Thing>> things_;
    std::size_t held_ = 0;
};

}  // namespace flaxdoor::lab
