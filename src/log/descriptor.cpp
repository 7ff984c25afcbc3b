#include "log/descriptor.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

namespace flaxdoor::log {

namespace {

// The same pipe or terminal, with a status of its own; -1 where there is none to be had. A terminal says that it takes
// something when there is room for a byte, and then waits for the rest of the line; of a pipe somebody else may take the
// room in between.
int opened_anew(int descriptor) {
    struct stat what {};
    if (::fstat(descriptor, &what) != 0 || !(S_ISFIFO(what.st_mode) || ::isatty(descriptor) == 1)) return -1;
    const std::string path = "/proc/self/fd/" + std::to_string(descriptor);
    return ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
}

}  // namespace

Descriptor::Descriptor(int descriptor) : Descriptor(descriptor, ::write) {}
Descriptor::Descriptor(int descriptor, Write write)
    : own_(opened_anew(descriptor)), descriptor_(own_ >= 0 ? own_ : descriptor), write_(write) {}
Descriptor::~Descriptor() {
    if (own_ >= 0) ::close(own_);
}

bool Descriptor::ready() const {
    pollfd asked{descriptor_, POLLOUT, 0};
    return ::poll(&asked, 1, 0) > 0 && (asked.revents & POLLOUT) != 0;
}

bool Descriptor::pay() {
    if (rest_.empty()) return true;
    if (!ready()) return false;
    const ssize_t gone = write_(descriptor_, rest_.data(), rest_.size());
    if (gone > 0) rest_.erase(0, static_cast<std::size_t>(gone));
    return rest_.empty();
}

bool Descriptor::take(std::string_view line) {
    if (!pay() || !ready()) return false;
    const ssize_t gone = write_(descriptor_, line.data(), line.size());
    if (gone <= 0) return false;
    rest_ = line.substr(static_cast<std::size_t>(gone));
    return true;
}

}  // namespace flaxdoor::log
