// A stand-in of a disk with one folder, in memory: it knows what a power cut may leave of what was written. From
// the operations done the states of the disk at every point can be built again.
//
// What is durable: a file's bytes once a sync of it has succeeded, a name that was created or removed once
// the folder's has. Of all else any part may be lost, by operation, in any order. After a sync that failed,
// what was not durable before never is for sure again, whatever a later sync says, though it can still be
// read.
//
// Threading: one thread.   Errors: none; whoever uses it asks for what there is.   Bounded by what is written.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace flaxdoor::standins::disk {

using Image = std::map<std::string, std::string>;  // names and contents
using Random = std::mt19937_64;

struct Operation {
    enum class Kind { create, remove, append, truncate, sync, failed_sync, sync_folder, failed_sync_folder };
    Kind kind = Kind::create;
    std::string name = {};   // create, remove
    std::size_t inode = 0;   // of the file; not of the folder's
    std::uint64_t at = 0;    // append: offset; truncate: size
    std::string bytes = {};  // append
};
std::string text_of(const Operation& operation);

// How a cut treats what is not durable.
struct Cut {
    double kept = 1;           // probability that an operation on data has reached the disk
    double names_kept = 1;     // the same of names
    std::string_view stale;    // what lies in gaps and behind a torn end; zeros when empty
    bool grown = false;        // a torn append has set the file's size all the same
    Random* chance = nullptr;  // needed unless both are 0 or 1
};

class Disk {
public:
    Disk() = default;
    explicit Disk(const Image& image);  // all of it durable

    // Of an append that is under way `part` bytes are done.
    void apply(const Operation& operation, std::optional<std::size_t> part = std::nullopt);
    [[nodiscard]] Image visible() const;
    [[nodiscard]] Image cut(const Cut& cut) const;
    // The same with one more append that is torn after `part` bytes, without a copy of the disk.
    [[nodiscard]] Image cut_within(const Operation& append, std::size_t part, const Cut& cut) const;
    [[nodiscard]] std::uint64_t bytes() const;  // of the files that have names

    std::optional<std::size_t> find(const std::string& name) const;
    const std::string& content(std::size_t inode) const { return inodes_[inode].visible; }
    std::size_t inodes() const { return inodes_.size(); }
    std::vector<std::string> names() const;

private:
    enum class State { open, durable, limbo };
    struct Change {
        bool append = true;
        std::uint64_t at = 0;
        std::string bytes;
        State state = State::open;
    };
    struct Inode {
        std::string base = {}, visible = {};
        std::vector<Change> changes = {};
    };
    struct NameChange {
        std::string name;
        std::optional<std::size_t> inode;  // none: removed
        State state = State::open;
    };
    static void write(std::string& content, const Change& change, std::size_t part, const Cut& cut);
    [[nodiscard]] std::string content_after(std::size_t inode, const Operation* torn, std::size_t part,
                                            const Cut& cut) const;
    [[nodiscard]] Image build(const Operation* torn, std::size_t part, const Cut& cut) const;

    std::vector<Inode> inodes_;
    std::map<std::string, std::size_t> names_, base_names_;
    std::vector<NameChange> name_changes_;
};

}  // namespace flaxdoor::standins::disk
