// The only interface through which the store accesses files (after LevelDB's Env): a folder and its files.
// open_folder() returns the POSIX implementation. Tests provide others.
//
// Threading: one thread at a time for a folder and its files.
// Errors:    functions return an errno, 0 on success. Nothing throws except std::bad_alloc.
// Durable:   bytes written by append() are durable once sync() has returned 0. A name changed by create() or
//            remove() is durable once sync_folder() has returned 0. After either has failed, only what was
//            durable before is known to be durable.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace flaxdoor::store {

// An open file of the folder.
class File {
public:
    virtual ~File() = default;
    // Appends after the last byte written. After an error, any part of `bytes` may be in the file.
    [[nodiscard]] virtual int append(std::string_view bytes) = 0;
    // Reads up to n bytes from `offset` into `out`; fewer only at the end of the file.
    [[nodiscard]] virtual int read(std::uint64_t offset, std::size_t n, std::string& out) = 0;
    // Truncates the file to `size` bytes. The next append() writes there.
    [[nodiscard]] virtual int truncate(std::uint64_t size) = 0;
    [[nodiscard]] virtual int sync() = 0;
    [[nodiscard]] virtual int size(std::uint64_t& size) = 0;
};

// A folder and its files.
class Files {
public:
    virtual ~Files() = default;
    // Creates an empty file. Returns EEXIST if the name exists.
    [[nodiscard]] virtual int create(const std::string& name, std::unique_ptr<File>& file) = 0;
    // Opens a file for reading. The file stays readable through the handle after its name is removed.
    [[nodiscard]] virtual int open(const std::string& name, std::unique_ptr<File>& file) = 0;
    [[nodiscard]] virtual int remove(const std::string& name) = 0;
    [[nodiscard]] virtual int list(std::vector<std::string>& names) = 0;
    [[nodiscard]] virtual int sync_folder() = 0;
    // Locks the folder against other processes until this object is destroyed. Returns EWOULDBLOCK if
    // another process holds the lock.
    [[nodiscard]] virtual int lock() = 0;
};

// Opens the folder at `path`. Creates it if it is missing and `create` is set.
[[nodiscard]] int open_folder(const std::string& path, bool create, std::unique_ptr<Files>& files);

}  // namespace flaxdoor::store
