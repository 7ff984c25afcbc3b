// A view of a folder that keeps all changes in memory. It opens a store without changing its files, also
// while another process has the store open. Writes that the other process makes meanwhile may be partly
// visible.
//
// Threading: one thread.   Ownership: the underlying files are borrowed and must outlive this object and the
//            files opened through it.
// Bounds:    holds all data written through it. Opening a store writes about as many bytes as its logs hold.
#pragma once

#include <algorithm>
#include <cerrno>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "store/files.h"

namespace flaxdoor::store {

class Overlay final : public Files {
public:
    explicit Overlay(Files& base) : base_(base) {}

    int create(const std::string& name, std::unique_ptr<File>& file) override {
        std::vector<std::string> names;
        if (const int error = list(names); error != 0) return error;
        if (std::find(names.begin(), names.end(), name) != names.end()) return EEXIST;
        const auto bytes = std::make_shared<std::string>();
        created_[name] = bytes;
        file = std::make_unique<MemoryFile>(bytes);
        return 0;
    }
    int open(const std::string& name, std::unique_ptr<File>& file) override {
        const auto created = created_.find(name);
        if (created != created_.end()) {
            file = std::make_unique<MemoryFile>(created->second);
            return 0;
        }
        return removed_.contains(name) ? ENOENT : base_.open(name, file);
    }
    int remove(const std::string& name) override {
        if (created_.erase(name) == 0) removed_.insert(name);
        return 0;
    }
    int list(std::vector<std::string>& names) override {
        // The list of names is read once: files that another process creates later do not belong to this
        // view.
        if (!listed_) {
            if (const int error = base_.list(base_names_); error != 0) return error;
            listed_ = true;
        }
        names = base_names_;
        std::erase_if(names, [&](const std::string& name) { return removed_.contains(name); });
        for (const auto& [name, bytes] : created_) names.push_back(name);
        return 0;
    }
    int sync_folder() override { return 0; }
    int lock() override { return 0; }

private:
    class MemoryFile final : public File {
    public:
        explicit MemoryFile(std::shared_ptr<std::string> bytes) : bytes_(std::move(bytes)) {}
        int append(std::string_view bytes) override {
            bytes_->append(bytes);
            return 0;
        }
        int read(std::uint64_t offset, std::size_t n, std::string& out) override {
            out = offset < bytes_->size() ? bytes_->substr(offset, n) : std::string();
            return 0;
        }
        int truncate(std::uint64_t size) override {
            bytes_->resize(size);
            return 0;
        }
        int sync() override { return 0; }
        int size(std::uint64_t& size) override {
            size = bytes_->size();
            return 0;
        }

    private:
        const std::shared_ptr<std::string> bytes_;
    };

    Files& base_;
    bool listed_ = false;
    std::vector<std::string> base_names_;
    std::map<std::string, std::shared_ptr<std::string>> created_;
    std::set<std::string> removed_;
};

}  // namespace flaxdoor::store
