// The file in which a program's calls on sockets are counted (FLAXDOOR_CALLS, see faults.cpp), as the one who started it
// reads them.
//
// Threading: any. Errors: std::system_error where there can be no such file. The file goes with its owner.
#pragma once

#include <sys/mman.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <system_error>

#include "counts.h"

namespace flaxdoor::standins::sockets {

class CountsFile {
public:
    CountsFile() : path_((std::filesystem::temp_directory_path() / "suite-counts-XXXXXX").string()) {
        const int file = ::mkstemp(path_.data());
        if (file < 0 || ::ftruncate(file, sizeof(Counts)) != 0) fail("counts");
        void* const at = ::mmap(nullptr, sizeof(Counts), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        ::close(file);
        if (at == MAP_FAILED) fail("mmap");
        counts_ = static_cast<Counts*>(at);
    }
    ~CountsFile() {
        ::munmap(counts_, sizeof(Counts));
        std::filesystem::remove(path_);
    }
    CountsFile(const CountsFile&) = delete;
    CountsFile& operator=(const CountsFile&) = delete;

    const std::string& path() const { return path_; }
    unsigned made(Call call) const { return counts_->made[static_cast<std::size_t>(call)]; }
    unsigned failed() const { return counts_->failed; }

private:
    [[noreturn]] static void fail(const char* what) {
        throw std::system_error(errno, std::generic_category(), what);
    }
    std::string path_;
    Counts* counts_ = nullptr;
};

}  // namespace flaxdoor::standins::sockets
