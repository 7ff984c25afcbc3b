#include "door/window.h"

#include <algorithm>

namespace flaxdoor::door {

bool ConcurrencyWindow::has_room(Time now, bool others_wait) const {
    const std::size_t sent = in_flight_ - unsent_.size();
    const bool many_unsent = unsent_.size() > 1 + sent / 8;
    if (others_wait && many_unsent) return false;
    if (many_unsent && now - unsent_.front() >= patience_) return false;
    if (unsent_.size() >= 64 + 2 * sent) return false;
    return !others_wait || static_cast<double>(in_flight_) < size_;
}

ConcurrencyWindow::InFlight ConcurrencyWindow::dispatch(Time now, bool others_wait) {
    ++in_flight_;
    ++dispatched_;
    if (!others_wait)
        size_ = no_recent_refusal() ? no_limit : std::max(size_, static_cast<double>(in_flight_));
    return {unsent_.insert(unsent_.end(), now), false, dispatched_};
}

void ConcurrencyWindow::sending(InFlight& call) {
    if (call.sent) return;
    call.sent = true;
    unsent_.erase(call.unsent);
}

void ConcurrencyWindow::end(InFlight& call, End end) {
    if (!call.sent) unsent_.erase(call.unsent);
    call.sent = true;
    if (end == End::no_room && call.number > shrunk_at_) {
        shrunk_at_ = dispatched_;
        size_ = std::max(1.0, 0.8 * static_cast<double>(in_flight_));
    }
    if (end == End::served) size_ += no_recent_refusal() ? 1 : 1 / std::max(1.0, size_);
    --in_flight_;
}

}  // namespace flaxdoor::door
