#include "loop/process_memory.h"

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <string_view>

namespace flaxdoor::loop {

namespace {

// Above this size glibc maps a block of its own, which is unmapped when it is freed. Set explicitly, because glibc
// otherwise raises it to the largest block freed so far, and what was held once is then kept for good.
constexpr int own_mapping_bytes = 128 * 1024;
constexpr int kept_heap_end_bytes = 512 * 1024;

}  // namespace

std::size_t resident_bytes() {
    const int file = open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
    if (file < 0) return 0;
    std::array<char, 128> buffer{};
    const ssize_t count = read(file, buffer.data(), buffer.size());
    close(file);
    if (count <= 0) return 0;
    const std::string_view text(buffer.data(), static_cast<std::size_t>(count));
    const std::size_t blank = text.find(' ');  // total pages, then resident pages
    if (blank == std::string_view::npos) return 0;
    std::size_t pages = 0;
    const auto [end, error] = std::from_chars(text.data() + blank + 1, text.data() + text.size(), pages);
    if (error != std::errc{}) return 0;
    return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

void return_freed_memory() {
    mallopt(M_MMAP_THRESHOLD, own_mapping_bytes);
    mallopt(M_TRIM_THRESHOLD, kept_heap_end_bytes);
}

void trim_heap() { malloc_trim(0); }

}  // namespace flaxdoor::loop
