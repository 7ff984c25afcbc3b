#include "log/descriptor.h"

#include <poll.h>
#include <unistd.h>

namespace flaxdoor::log {

Descriptor::Descriptor(int descriptor) : Descriptor(descriptor, ::write) {}

// The descriptor may be shared with other processes, so it is not made non-blocking: it is asked first. A
// pipe says yes only where a line of the largest length fits.
bool Descriptor::ready() const {
    pollfd asked{descriptor_, POLLOUT, 0};
    return ::poll(&asked, 1, 0) > 0 && (asked.revents & POLLOUT) != 0;
}

bool Descriptor::take(std::string_view line) {
    if (!rest_.empty()) {
        if (!ready()) return false;
        const ssize_t gone = write_(descriptor_, rest_.data(), rest_.size());
        if (gone > 0) rest_.erase(0, static_cast<std::size_t>(gone));
        if (!rest_.empty()) return false;
    }
    if (!ready()) return false;
    const ssize_t gone = write_(descriptor_, line.data(), line.size());
    if (gone <= 0) return false;
    rest_ = line.substr(static_cast<std::size_t>(gone));
    return true;
}

}  // namespace flaxdoor::log
