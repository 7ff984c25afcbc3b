// The file interface of the store on a simulated disk (standins/disk.h). Records each call that changes
// something, and can make any call fail.
//
// Threading: one thread.   Ownership: files opened through a SimFiles must not outlive it.
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

// A call to the file interface.
struct Call {
    enum class Kind { create, open, remove, list, sync_folder, lock, append, read, truncate, sync, size };
    std::size_t number = 0;  // index of the call among all calls, from 0
    Kind kind = Kind::create;
    std::string name;  // name of the file when it was created or opened
    bool writes() const {
        return kind == Kind::create || kind == Kind::remove || kind == Kind::sync_folder ||
               kind == Kind::append || kind == Kind::truncate || kind == Kind::sync;
    }
};
std::string text_of(Call::Kind kind);

// How a call fails.
struct Fault {
    int error = 0;
    std::size_t done = 0;  // bytes of an append that are written in spite of the error
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

    // Called before each call. Returns the fault with which the call fails, if any.
    std::function<std::optional<Fault>(const Call&)> fault;
    std::optional<std::uint64_t> room;  // limit for the total size of all files; unlimited if empty
    bool read_only = false;

    const Disk& disk() const { return disk_; }
    const std::vector<Operation>& operations() const { return operations_; }
    std::size_t calls() const { return calls_; }

private:
    class SimFile;
    std::optional<Fault> next_call(Call::Kind kind, const std::string& name);
    void apply(Operation operation);

    Disk disk_;
    std::vector<Operation> operations_;
    std::size_t calls_ = 0;
};

// Wraps files so that some syncs succeed without any effect.
class SyncSkippingFiles final : public Files {
public:
    enum class Skipped { files, folder, both };
    SyncSkippingFiles(Files& files, Skipped skipped) : files_(files), skipped_(skipped) {}
    int create(const std::string& name, std::unique_ptr<File>& file) override;
    int open(const std::string& name, std::unique_ptr<File>& file) override {
        return files_.open(name, file);
    }
    int remove(const std::string& name) override { return files_.remove(name); }
    int list(std::vector<std::string>& names) override { return files_.list(names); }
    int sync_folder() override { return skipped_ == Skipped::files ? files_.sync_folder() : 0; }
    int lock() override { return files_.lock(); }

private:
    Files& files_;
    const Skipped skipped_;
};

}  // namespace flaxdoor::store::test
