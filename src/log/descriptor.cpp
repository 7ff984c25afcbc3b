#include "log/descriptor.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

namespace flaxdoor::log {

namespace {

// Opens the same pipe or terminal again, with status flags of its own. Returns -1 if that is not possible.
// Polling the shared descriptor is not enough: a terminal reports POLLOUT when there is space for one byte and then blocks
// for the rest of the line, and another writer may fill a pipe between the poll and the write.
int reopen(int descriptor) {
    struct stat status {};
    if (::fstat(descriptor, &status) != 0 || !(S_ISFIFO(status.st_mode) || ::isatty(descriptor) == 1))
        return -1;
    const std::string path = "/proc/self/fd/" + std::to_string(descriptor);
    return ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
}

}  // namespace

DescriptorSink::DescriptorSink(int descriptor) : DescriptorSink(descriptor, ::write) {}
DescriptorSink::DescriptorSink(int descriptor, Write write)
    : reopened_(reopen(descriptor)), descriptor_(reopened_ >= 0 ? reopened_ : descriptor), write_(write) {}
DescriptorSink::~DescriptorSink() {
    if (reopened_ >= 0) ::close(reopened_);
}

bool DescriptorSink::writable() const {
    pollfd request{descriptor_, POLLOUT, 0};
    return ::poll(&request, 1, 0) > 0 && (request.revents & POLLOUT) != 0;
}

bool DescriptorSink::finish_partial_line() {
    if (unwritten_.empty()) return true;
    if (!writable()) return false;
    const ssize_t written = write_(descriptor_, unwritten_.data(), unwritten_.size());
    if (written > 0) unwritten_.erase(0, static_cast<std::size_t>(written));
    return unwritten_.empty();
}

bool DescriptorSink::try_write(std::string_view line) {
    if (!finish_partial_line() || !writable()) return false;
    const ssize_t written = write_(descriptor_, line.data(), line.size());
    if (written <= 0) return false;
    unwritten_ = line.substr(static_cast<std::size_t>(written));
    return true;
}

}  // namespace flaxdoor::log
