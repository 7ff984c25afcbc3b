#include "disk.h"

#include <algorithm>

namespace flaxdoor::standins::disk {

namespace {

bool kept(double probability, Random* chance) {
    if (probability <= 0) return false;
    if (probability >= 1) return true;
    return std::uniform_real_distribution<double>(0, 1)(*chance) < probability;
}

void grow(std::string& content, std::size_t size, std::string_view stale) {
    for (std::size_t at = content.size(); at < size; ++at)
        content.push_back(at < stale.size() ? stale[at] : '\0');
}

}  // namespace

std::string text_of(const Operation& operation) {
    using Kind = Operation::Kind;
    const std::string file = "file " + std::to_string(operation.inode);
    switch (operation.kind) {
        case Kind::create: return "create " + operation.name + " as " + file;
        case Kind::remove: return "remove " + operation.name;
        case Kind::append:
            return "append " + std::to_string(operation.bytes.size()) + " at " +
                   std::to_string(operation.at) + " to " + file;
        case Kind::truncate: return "truncate " + file + " to " + std::to_string(operation.at);
        case Kind::sync: return "sync " + file;
        case Kind::failed_sync: return "failed sync of " + file;
        case Kind::sync_folder: return "sync the folder";
        case Kind::failed_sync_folder: return "failed sync of the folder";
    }
    return {};
}

Disk::Disk(const Image& image) {
    for (const auto& [name, content] : image) {
        names_[name] = base_names_[name] = inodes_.size();
        inodes_.push_back({content, content, {}});
    }
}

void Disk::write(std::string& content, const Change& change, std::size_t part, const Cut& cut) {
    if (!change.append) {
        content.resize(std::min<std::size_t>(content.size(), change.at));
        return;
    }
    grow(content, change.at, cut.stale);
    const std::string_view done = std::string_view(change.bytes).substr(0, part);
    const std::size_t end = change.at + done.size();
    if (content.size() < end) content.resize(end);
    content.replace(change.at, done.size(), done);
    if (cut.grown) grow(content, change.at + change.bytes.size(), cut.stale);
}

void Disk::apply(const Operation& operation, std::optional<std::size_t> part) {
    using Kind = Operation::Kind;
    const auto settle_names = [&](State state) {
        for (NameChange& change : name_changes_) {
            if (change.state == State::open) change.state = state;
        }
        std::size_t n = 0;
        for (; n < name_changes_.size() && name_changes_[n].state == State::durable; ++n) {
            const NameChange& change = name_changes_[n];
            if (change.inode) {
                base_names_[change.name] = *change.inode;
            } else {
                base_names_.erase(change.name);
            }
        }
        name_changes_.erase(name_changes_.begin(), name_changes_.begin() + static_cast<std::ptrdiff_t>(n));
    };
    const auto settle = [&](State state) {
        Inode& inode = inodes_[operation.inode];
        for (Change& change : inode.changes) {
            if (change.state == State::open) change.state = state;
        }
        std::size_t n = 0;
        for (; n < inode.changes.size() && inode.changes[n].state == State::durable; ++n)
            write(inode.base, inode.changes[n], inode.changes[n].bytes.size(), {});
        inode.changes.erase(inode.changes.begin(), inode.changes.begin() + static_cast<std::ptrdiff_t>(n));
    };
    switch (operation.kind) {
        case Kind::create:
            names_[operation.name] = inodes_.size();
            name_changes_.push_back({operation.name, inodes_.size()});
            inodes_.emplace_back();
            return;
        case Kind::remove:
            names_.erase(operation.name);
            name_changes_.push_back({operation.name, std::nullopt});
            return;
        case Kind::append:
        case Kind::truncate: {
            Change change{operation.kind == Kind::append, operation.at, operation.bytes};
            if (part) change.bytes.resize(std::min(change.bytes.size(), *part));
            Inode& inode = inodes_[operation.inode];
            write(inode.visible, change, change.bytes.size(), {});
            inode.changes.push_back(std::move(change));
            return;
        }
        case Kind::sync: return settle(State::durable);
        case Kind::failed_sync: return settle(State::limbo);
        case Kind::sync_folder: return settle_names(State::durable);
        case Kind::failed_sync_folder: return settle_names(State::limbo);
    }
}

Image Disk::visible() const {
    Image image;
    for (const auto& [name, inode] : names_) image[name] = inodes_[inode].visible;
    return image;
}

std::string Disk::content_after(std::size_t inode, const Operation* torn, std::size_t part,
                                const Cut& cut) const {
    std::string content = inodes_[inode].base;
    const Cut whole{1, 1, cut.stale, false, nullptr};
    for (const Change& change : inodes_[inode].changes) {
        if (change.state == State::durable || kept(cut.kept, cut.chance))
            write(content, change, change.bytes.size(), whole);
    }
    if (torn && torn->inode == inode) write(content, {true, torn->at, torn->bytes}, part, cut);
    return content;
}

Image Disk::build(const Operation* torn, std::size_t part, const Cut& cut) const {
    auto names = base_names_;
    for (const NameChange& change : name_changes_) {
        if (change.state != State::durable && !kept(cut.names_kept, cut.chance)) continue;
        if (change.inode) {
            names[change.name] = *change.inode;
        } else {
            names.erase(change.name);
        }
    }
    Image image;
    for (const auto& [name, inode] : names) image[name] = content_after(inode, torn, part, cut);
    return image;
}

Image Disk::cut(const Cut& cut) const { return build(nullptr, 0, cut); }
Image Disk::cut_within(const Operation& append, std::size_t part, const Cut& cut) const {
    return build(&append, part, cut);
}

std::uint64_t Disk::bytes() const {
    std::uint64_t bytes = 0;
    for (const auto& [name, inode] : names_) bytes += inodes_[inode].visible.size();
    return bytes;
}

std::optional<std::size_t> Disk::find(const std::string& name) const {
    const auto found = names_.find(name);
    return found == names_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::string> Disk::names() const {
    std::vector<std::string> names;
    for (const auto& [name, inode] : names_) names.push_back(name);
    return names;
}

}  // namespace flaxdoor::standins::disk
