// The store's files on a stand-in of a disk (standins/disk.h). Each call that changes something is logged; any call
// can be made to fail.
//
// Threading: one thread.   Ownership: files that were handed out must not outlive their SimFiles.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "standins/disk.h"
#include "store/files.h"

namespace flaxdoor::store::test {

using standins::disk::Cut;
using standins::disk::Disk;
using standins::disk::Image;
using standins::disk::Operation;
using standins::disk::Random;

struct Call {
    enum class Kind { create, open, remove, list, sync_folder, lock, append, read, truncate, sync, size };
    std::size_t number = 0;  // from 0, of all calls
    Kind kind = Kind::create;
    std::string name;  // of the file when it was created or opened
    bool writes() const {
        return kind == Kind::create || kind == Kind::remove || kind == Kind::sync_folder ||
               kind == Kind::append || kind == Kind::truncate || kind == Kind::sync;
    }
};
std::string text_of(Call::Kind kind);

struct Fault {
    int error = 0;
    std::size_t done = 0;  // bytes of an append that are written all the same
};

class SimFiles final : public Files {
public:
    SimFiles() = default;
    explicit SimFiles(const Image& image) : disk_(image) {}
    explicit SimFiles(Disk disk) : disk_(std::move(disk)) {}

    int create(const std::string& name, std::unique_ptr<File>& file) override;
    int open(const std::string& name, std::unique_ptr<File>& file) override;
    int remove(const std::string& name) override;
    int list(std::vector<std::string>& names) override;
    int sync_folder() override;
    int lock() override;

    // Asked before each call.
    std::function<std::optional<Fault>(const Call&)> fault;
    std::optional<std::uint64_t> room;  // bytes of all files
    bool read_only = false;

    const Disk& disk() const { return disk_; }
    const std::vector<Operation>& operations() const { return operations_; }
    std::size_t calls() const { return calls_; }

private:
    class SimFile;
    std::optional<Fault> next_call(Call::Kind kind, const std::string& name);
    void done(Operation operation);

    Disk disk_;
    std::vector<Operation> operations_;
    std::size_t calls_ = 0;
};

// Says yes to syncs and does nothing.
class Forgetful final : public Files {
public:
    enum class Forgets { files, folder, both };
    Forgetful(Files& files, Forgets forgets) : files_(files), forgets_(forgets) {}
    int create(const std::string& name, std::unique_ptr<File>& file) override;
    int open(const std::string& name, std::unique_ptr<File>& file) override {
        return files_.open(name, file);
    }
    int remove(const std::string& name) override { return files_.remove(name); }
    int list(std::vector<std::string>& names) override { return files_.list(names); }
    int sync_folder() override { return forgets_ == Forgets::files ? files_.sync_folder() : 0; }
    int lock() override { return files_.lock(); }

private:
    Files& files_;
    const Forgets forgets_;
};

}  // namespace flaxdoor::store::test
