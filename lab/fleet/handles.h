// Objects of a world, addressed by handles that are never reused. Storage is a window over ascending handles: an
// erased object is freed when all older ones are erased as well, and finding an object is an index operation.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace flaxdoor::lab {

template <typename Object>
class Handles {
public:
    std::uint64_t add(Object object) {
        objects_.emplace_back(std::move(object));
        ++count_;
        return first_ + objects_.size() - 1;
    }
    // Returns null for an object that was erased.
    Object* find(std::uint64_t handle) {
        if (handle < first_ || handle - first_ >= objects_.size()) return nullptr;
        auto& object = objects_[handle - first_];
        return object ? &*object : nullptr;
    }
    void erase(std::uint64_t handle) {
        if (!find(handle)) return;
        objects_[handle - first_].reset();
        --count_;
        for (; !objects_.empty() && !objects_.front(); ++first_) objects_.pop_front();
    }
    std::size_t size() const { return count_; }

private:
    std::uint64_t first_ = 1;
    std::deque<std::optional<Object>> objects_;
    std::size_t count_ = 0;
};

}  // namespace flaxdoor::lab
