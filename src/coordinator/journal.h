// The authority's durable state in the embedded store: its epoch, what each process may hold, and from when
// on the records are complete, that is, hold every grant that may be in force.
//
// A store can't tell whether it is the latest copy of itself. A start is therefore current only if the
// witness confirms it: a small file in another place, written after each commit and before the reply. It
// holds the store's identity, the opening (a random number drawn at each start, which differs between copies
// that were used separately), the number of commits and the machine's boot id. A store with fewer commits
// than the witness is an older copy. A witness that can't be written is removed. If it can't be removed
// either, the commit fails, since an outdated witness would confirm an outdated store.
//
// Durability: if commit() returns ok, its changes survive the process. Otherwise nothing that depends on them
//             may be sent. Records are not synced to the disk. After a power failure, they hold times of an
//             earlier boot's clock, and the start waits as if there were none. If only the disk loses writes
//             (a remote disk), the store has fewer commits than the witness. The state that must survive a
//             reboot (Standing) is synced with its commit.
// Blocking:   open(), and a commit that changes Standing, wait for the disk.   Threading: single-threaded.
// Ownership:  owns its files and its witness.
// Errors:     store/status.h. retry: nothing is known to have changed, and the commit may be tried again
//             later (the next commit reopens the store if necessary). Only std::bad_alloc is thrown.
// Bounds:     a commit erases at most `max_commit_records` records; a later commit erases the rest. A record
//             has at most one MiB (store::max_value).
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

#include "budget/authority.h"
#include "store/engine.h"

namespace flaxdoor::coordinator {

// Functions return an errno, or 0 on success.
class Witness {
public:
    virtual ~Witness() = default;
    [[nodiscard]] virtual int read(std::string& text) = 0;  // ENOENT if there is none
    [[nodiscard]] virtual int write(const std::string& text) = 0;
    [[nodiscard]] virtual int remove() = 0;  // 0 also if there was none
};

// A file that is replaced atomically by a rename. It need not survive a power failure, since the boot id
// differs afterwards.
class WitnessFile final : public Witness {
public:
    explicit WitnessFile(std::string path) : path_(std::move(path)) {}
    int read(std::string& text) override;
    int write(const std::string& text) override;
    int remove() override;

private:
    const std::string path_;
};

class Journal {
public:
    static constexpr std::size_t max_commit_records = 1000;

    struct Dependencies {
        std::unique_ptr<store::Files> files;  // of the store's directory
        store::Engine::Chance chance;
        std::unique_ptr<Witness> witness;  // may be null; then no start is current
        // The machine's boot id. Times of the authority's clock are only comparable within one boot.
        std::string boot;
        Time now{};  // by the authority's clock
        Time unix_now{};
    };
    struct Opened {
        std::unique_ptr<Journal> journal;  // null unless the result is ok
        store::Result result;
        budget::Authority::RestoredState start;
        std::string incomplete_reason;  // why the start is not current; empty if it is
    };
    // Opens the store, which takes a commit of its own. Fails with `refused` if the store is of a newer
    // version, in use, or does not belong to an authority.
    [[nodiscard]] static Opened open(Dependencies world);

    // State of the authority after a change.
    struct Standing {
        std::uint64_t epoch = 0;
        // From this time on the records hold every grant in force. A start before it is not current.
        Time known_from{};
        Micros longest_term{};
    };
    [[nodiscard]] store::Result commit(const Standing& standing, std::span<const budget::Change> changes);
    // Returns true if a commit would change more of the head than the number of commits.
    bool differs(const Standing& standing) const;

    // Performs one bounded step of the store's background work. Returns false if none is left.
    bool run_background_step();
    // Returns why the witness can't be written; empty if it can.
    const std::string& witness_trouble() const { return witness_trouble_; }
    std::uint64_t commits() const { return head_.commits; }

private:
    struct Head {
        std::uint64_t epoch = 0, commits = 0;
        std::string opening, boot;
        Time known_from{};
        Micros longest_term{};
    };
    explicit Journal(Dependencies world) : world_(std::move(world)) {}

    static std::string encode(const Head& head);
    // Leaves `head` empty if the store has none.
    store::Result read_head(std::optional<Head>& head);
    store::Result open_engine();
    store::Result reopen();
    store::Result read_records(std::vector<budget::Record>& records);
    store::Result erase_records();
    store::Result write_head(Head head, store::Batch& batch, bool durable);
    store::Result update_witness();
    std::string incomplete_reason(const Head& head) const;

    Dependencies world_;
    std::unique_ptr<store::Engine> engine_;  // borrows the files
    store::SpaceId space_ = 0;
    Head head_;
    std::set<std::string> pending_erasures_;  // keys of removed records
    std::string witness_trouble_;
};

}  // namespace flaxdoor::coordinator
