#include "door/window.h"

#include <algorithm>

namespace flaxdoor::door {

bool Window::room(Time now, bool others_wait) const {
    const std::size_t sent = in_flight_ - unsent_.size();
    const bool some = unsent_.size() > 1 + sent / 8;
    if (others_wait && some) return false;
    if (some && now - unsent_.front() >= patience_) return false;
    if (unsent_.size() >= 64 + 2 * sent) return false;
    return !others_wait || static_cast<double>(in_flight_) < size_;
}

Window::Handed Window::hand_over(Time now, bool others_wait) {
    ++in_flight_;
    ++handed_;
    if (!others_wait) size_ = calm() ? no_limit : std::max(size_, static_cast<double>(in_flight_));
    return {unsent_.insert(unsent_.end(), now), false, handed_};
}

void Window::sending(Handed& handed) {
    if (handed.sent) return;
    handed.sent = true;
    unsent_.erase(handed.unsent);
}

void Window::end(Handed& handed, End end) {
    if (!handed.sent) unsent_.erase(handed.unsent);
    handed.sent = true;
    if (end == End::no_room && handed.number > shrunk_at_) {
        shrunk_at_ = handed_;
        size_ = std::max(1.0, 0.8 * static_cast<double>(in_flight_));
    }
    if (end == End::served) size_ += calm() ? 1 : 1 / std::max(1.0, size_);
    --in_flight_;
}

}  // namespace flaxdoor::door
