#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "store/files.h"

namespace flaxdoor::store {

namespace {

// Owns a file descriptor.
class Descriptor {
public:
    explicit Descriptor(int fd = -1) : fd_(fd) {}
    ~Descriptor() {
        if (fd_ >= 0) ::close(fd_);
    }
    Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Descriptor& operator=(Descriptor&& other) noexcept {
        std::swap(fd_, other.fd_);
        return *this;
    }
    int get() const { return fd_; }

private:
    int fd_;
};

class PosixFile final : public File {
public:
    explicit PosixFile(Descriptor fd) : fd_(std::move(fd)) {}

    int append(std::string_view bytes) override {
        while (!bytes.empty()) {
            const auto count =
                ::pwrite(fd_.get(), bytes.data(), bytes.size(), static_cast<off_t>(end_offset_));
            if (count < 0 && errno == EINTR) continue;
            if (count < 0) return errno;
            if (count == 0) return EIO;
            end_offset_ += static_cast<std::uint64_t>(count);
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return 0;
    }

    int read(std::uint64_t offset, std::size_t n, std::string& out) override {
        out.resize(n);
        std::size_t total = 0;
        while (total < n) {
            const auto count =
                ::pread(fd_.get(), out.data() + total, n - total, static_cast<off_t>(offset + total));
            if (count < 0 && errno == EINTR) continue;
            if (count < 0) return errno;
            if (count == 0) break;
            total += static_cast<std::size_t>(count);
        }
        out.resize(total);
        return 0;
    }

    int truncate(std::uint64_t size) override {
        if (::ftruncate(fd_.get(), static_cast<off_t>(size)) != 0) return errno;
        end_offset_ = size;
        return 0;
    }

    int sync() override { return ::fdatasync(fd_.get()) == 0 ? 0 : errno; }

    int size(std::uint64_t& size) override {
        struct stat status {};
        if (::fstat(fd_.get(), &status) != 0) return errno;
        size = static_cast<std::uint64_t>(status.st_size);
        return 0;
    }

private:
    Descriptor fd_;
    std::uint64_t end_offset_ = 0;
};

class PosixFolder final : public Files {
public:
    PosixFolder(std::string path, Descriptor fd) : path_(std::move(path)), fd_(std::move(fd)) {}

    int create(const std::string& name, std::unique_ptr<File>& file) override {
        Descriptor fd(::openat(fd_.get(), name.c_str(), O_RDWR | O_CREAT | O_EXCL | O_CLOEXEC, 0600));
        if (fd.get() < 0) return errno;
        file = std::make_unique<PosixFile>(std::move(fd));
        return 0;
    }
    int open(const std::string& name, std::unique_ptr<File>& file) override {
        // O_NONBLOCK: opening a pipe without a writer must not block the caller.
        Descriptor fd(::openat(fd_.get(), name.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC));
        if (fd.get() < 0) return errno;
        struct stat status {};
        if (::fstat(fd.get(), &status) != 0) return errno;
        if (S_ISDIR(status.st_mode)) return EISDIR;
        if (!S_ISREG(status.st_mode)) return EINVAL;
        file = std::make_unique<PosixFile>(std::move(fd));
        return 0;
    }
    int remove(const std::string& name) override {
        return ::unlinkat(fd_.get(), name.c_str(), 0) == 0 ? 0 : errno;
    }

    int list(std::vector<std::string>& names) override {
        names.clear();
        DIR* const folder = ::opendir(path_.c_str());
        if (!folder) return errno;
        errno = 0;
        while (const dirent* const entry = ::readdir(folder)) {
            const std::string name = entry->d_name;
            if (name != "." && name != "..") names.push_back(name);
        }
        const int error = errno;
        ::closedir(folder);
        return error;
    }

    int sync_folder() override { return ::fsync(fd_.get()) == 0 ? 0 : errno; }

    int lock() override {
        if (lock_.get() >= 0) return 0;
        Descriptor lock(::openat(fd_.get(), "LOCK", O_RDWR | O_CREAT | O_CLOEXEC, 0600));
        if (lock.get() < 0) return errno;
        if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0) return errno;
        lock_ = std::move(lock);
        return 0;
    }

private:
    const std::string path_;
    Descriptor fd_;
    Descriptor lock_;
};

int sync_parent(const std::string& path) {
    const std::size_t end = path.find_last_not_of('/');
    const std::size_t slash = end == path.npos ? path.npos : path.rfind('/', end);
    const std::string parent = slash == path.npos ? "." : path.substr(0, slash + 1);
    const Descriptor fd(::open(parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    return fd.get() >= 0 && ::fsync(fd.get()) == 0 ? 0 : errno;
}

}  // namespace

int open_folder(const std::string& path, bool create, std::unique_ptr<Files>& files) {
    if (create) {
        const bool created = ::mkdir(path.c_str(), 0700) == 0;
        if (!created && errno != EEXIST) return errno;
        // The name of a new folder must be durable in its parent. The parent of an existing folder may be
        // unreadable for this process, so an error counts only for a new folder.
        if (const int error = sync_parent(path); error != 0 && created) return error;
    }
    Descriptor fd(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (fd.get() < 0) return errno;
    files = std::make_unique<PosixFolder>(path, std::move(fd));
    return 0;
}

}  // namespace flaxdoor::store
