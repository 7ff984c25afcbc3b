#include "fleet/scheduler.h"

#include <algorithm>

namespace flaxdoor::lab {

namespace {

bool later(const Happening& a, const Happening& b) { return a.at != b.at ? a.at > b.at : a.order > b.order; }

}  // namespace

void Scheduler::set(Time at, What what, std::uint32_t who, std::uint64_t a, std::uint64_t b) {
    at = std::max(at, now_);
    if (grid_ > Micros{0}) {
        if (const Micros excess = (at - begins_) % grid_; excess > Micros{0}) at += grid_ - excess;
    }
    heap_.push_back({at, ++next_order_, what, who, a, b});
    std::push_heap(heap_.begin(), heap_.end(), later);
}

Happening Scheduler::pop() {
    std::pop_heap(heap_.begin(), heap_.end(), later);
    const Happening first = heap_.back();
    heap_.pop_back();
    return first;
}

Happening Scheduler::next() {
    ++happened_;
    if (!chooser_) {
        const Happening first = pop();
        now_ = first.at;
        return first;
    }
    if (standing_.empty()) now_ = heap_.front().at;
    while (!heap_.empty() && heap_.front().at == now_) standing_.push_back(pop());
    const std::size_t chosen = standing_.size() > 1 ? chooser_->choose(standing_) : 0;
    const Happening picked = standing_[chosen];
    standing_.erase(standing_.begin() + static_cast<std::ptrdiff_t>(chosen));
    return picked;
}

}  // namespace flaxdoor::lab
