#include "sim_files.h"

#include <algorithm>
#include <cerrno>

namespace flaxdoor::store::test {

std::string text_of(Call::Kind kind) {
    constexpr const char* names[] = {"create", "open", "remove",   "list", "sync_folder", "lock",
                                     "append", "read", "truncate", "sync", "size"};
    return names[static_cast<std::size_t>(kind)];
}

class SimFiles::SimFile final : public File {
public:
    SimFile(SimFiles& files, std::string name, std::size_t inode)
        : files_(files), name_(std::move(name)), inode_(inode) {}

    int append(std::string_view bytes) override {
        auto fault = files_.next_call(Call::Kind::append, name_);
        if (!fault && files_.read_only) fault = Fault{EROFS, 0};
        if (!fault && files_.room) {
            const std::uint64_t used = files_.disk_.bytes();
            const std::uint64_t remaining = *files_.room - std::min(*files_.room, used);
            if (bytes.size() > remaining) fault = Fault{ENOSPC, static_cast<std::size_t>(remaining)};
        }
        const std::string_view part = fault ? bytes.substr(0, std::min(fault->done, bytes.size())) : bytes;
        if (!part.empty()) {
            files_.apply({Operation::Kind::append, {}, inode_, end_offset_, std::string(part)});
            end_offset_ += part.size();
        }
        return fault ? fault->error : 0;
    }
    int read(std::uint64_t offset, std::size_t n, std::string& out) override {
        if (const auto fault = files_.next_call(Call::Kind::read, name_)) return fault->error;
        const std::string& content = files_.disk_.content(inode_);
        out = offset < content.size() ? content.substr(offset, n) : std::string();
        return 0;
    }
    int truncate(std::uint64_t size) override {
        if (const auto fault = files_.next_call(Call::Kind::truncate, name_)) return fault->error;
        if (files_.read_only) return EROFS;
        files_.apply({Operation::Kind::truncate, {}, inode_, size});
        end_offset_ = size;
        return 0;
    }
    int sync() override {
        const auto fault = files_.next_call(Call::Kind::sync, name_);
        files_.apply({fault ? Operation::Kind::failed_sync : Operation::Kind::sync, {}, inode_});
        return fault ? fault->error : 0;
    }
    int size(std::uint64_t& size) override {
        if (const auto fault = files_.next_call(Call::Kind::size, name_)) return fault->error;
        size = files_.disk_.content(inode_).size();
        return 0;
    }

private:
    SimFiles& files_;
    const std::string name_;
    const std::size_t inode_;
    std::uint64_t end_offset_ = 0;
};

std::optional<Fault> SimFiles::next_call(Call::Kind kind, const std::string& name) {
    const Call call{calls_++, kind, name};
    return fault ? fault(call) : std::nullopt;
}

void SimFiles::apply(Operation operation) {
    disk_.apply(operation);
    operations_.push_back(std::move(operation));
}

int SimFiles::create(const std::string& name, std::unique_ptr<File>& file) {
    if (const auto fault = next_call(Call::Kind::create, name)) return fault->error;
    if (read_only) return EROFS;
    if (disk_.find(name)) return EEXIST;
    if (room && disk_.bytes() >= *room) return ENOSPC;
    const std::size_t inode = disk_.inodes();
    apply({Operation::Kind::create, name, inode});
    file = std::make_unique<SimFile>(*this, name, inode);
    return 0;
}

int SimFiles::open(const std::string& name, std::unique_ptr<File>& file) {
    if (const auto fault = next_call(Call::Kind::open, name)) return fault->error;
    const auto inode = disk_.find(name);
    if (!inode) return ENOENT;
    file = std::make_unique<SimFile>(*this, name, *inode);
    return 0;
}

int SimFiles::remove(const std::string& name) {
    if (const auto fault = next_call(Call::Kind::remove, name)) return fault->error;
    if (read_only) return EROFS;
    const auto inode = disk_.find(name);
    if (!inode) return ENOENT;
    apply({Operation::Kind::remove, name, *inode});
    return 0;
}

int SimFiles::list(std::vector<std::string>& names) {
    if (const auto fault = next_call(Call::Kind::list, {})) return fault->error;
    names = disk_.names();
    return 0;
}

int SimFiles::sync_folder() {
    const auto fault = next_call(Call::Kind::sync_folder, {});
    apply({fault ? Operation::Kind::failed_sync_folder : Operation::Kind::sync_folder, {}});
    return fault ? fault->error : 0;
}

int SimFiles::lock() {
    const auto fault = next_call(Call::Kind::lock, {});
    return fault ? fault->error : 0;
}

// Skipped syncs

namespace {

class UnsyncedFile final : public File {
public:
    explicit UnsyncedFile(std::unique_ptr<File> file) : file_(std::move(file)) {}
    int append(std::string_view bytes) override { return file_->append(bytes); }
    int read(std::uint64_t offset, std::size_t n, std::string& out) override {
        return file_->read(offset, n, out);
    }
    int truncate(std::uint64_t size) override { return file_->truncate(size); }
    int sync() override { return 0; }
    int size(std::uint64_t& size) override { return file_->size(size); }

private:
    std::unique_ptr<File> file_;
};

}  // namespace

int SyncSkippingFiles::create(const std::string& name, std::unique_ptr<File>& file) {
    const int error = files_.create(name, file);
    if (error == 0 && skipped_ != Skipped::folder) file = std::make_unique<UnsyncedFile>(std::move(file));
    return error;
}

}  // namespace flaxdoor::store::test
