// What an authority must know after its next start, in the embedded store: its epoch, what each process may hold, and
// whether that is all that may be in force.
//
// Nothing in a store tells whether it is the latest copy of itself. So a start counts as current only when the witness
// shows it: a small file in another place, written after each commit and before its reply, with the store's identity, the
// opening (drawn at random at each start, so that two copies that went on apart differ), the number of commits and the
// machine's boot. A store that has fewer commits than the witness tells of is an older copy. Where a witness can't be
// written it is removed; where it can't be removed either, the commit has failed: an old one would vouch for an old copy.
//
// Durability: commit() has returned ok: its changes outlast this process. Otherwise nothing may go out that depends on them.
//             Records are not synced: after a power cut they are times of another boot's clock, and the start waits as
//             with none; where only the disk forgets (one at another machine), the store has fewer commits than the
//             witness tells of. What counts over a boot (Standing) is synced with its commit.
// Waits:      open(), and a commit with another standing, wait for the disk. Threading: one thread.
// Ownership:  its own files and witness.
// Errors:     store/status.h. retry: nothing is known to have changed, again later (the next commit opens the store anew
//             where that is needed). Nothing is thrown but std::bad_alloc.
// Bounds:     a commit of `commit_most` records; what is to be removed beyond that goes with a later one. A record of one
//             MiB (store::value_most).
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

// An errno each; 0: done.
class Witness {
public:
    virtual ~Witness() = default;
    [[nodiscard]] virtual int read(std::string& text) = 0;  // ENOENT: there is none
    [[nodiscard]] virtual int write(const std::string& text) = 0;
    [[nodiscard]] virtual int remove() = 0;  // 0 also when there was none
};

// A file that is replaced as a whole, by a rename. It need not outlive a power cut: after one the boot is another.
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
    static constexpr std::size_t commit_most = 1000;

    struct World {
        std::unique_ptr<store::Files> files;  // the store's folder
        store::Engine::Chance chance;
        std::unique_ptr<Witness> witness;  // may be null: no start is current
        std::string boot;                  // of the machine, by which times of the authority's clock count
        Time now{};                        // by that clock
        Time unix_now{};
    };
    struct Opened {
        std::unique_ptr<Journal> journal;  // null unless the result is ok
        store::Result result;
        budget::Authority::Start start;
        std::string why;  // it is not current
    };
    // refused: what is there is of a newer version, in use, or no authority's. The opening is a commit of its own.
    [[nodiscard]] static Opened open(World world);

    // Of the authority, as it is behind the change.
    struct Standing {
        std::uint64_t epoch = 0;
        // From then on all that is in force is known. A start before that is not current.
        Time known_from{};
        Micros longest_term{};
    };
    [[nodiscard]] store::Result commit(const Standing& standing, std::span<const budget::Change> changes);
    // Whether a commit would change more than the count of commits.
    bool differs(const Standing& standing) const;

    // Background work of the store: one bounded step; false: there is none.
    bool tidy();
    // What keeps the witness from being written; empty: nothing does.
    const std::string& witness_trouble() const { return witness_trouble_; }
    std::uint64_t commits() const { return head_.commits; }

private:
    struct Head {
        std::uint64_t epoch = 0, commits = 0;
        std::string opening, boot;
        Time known_from{};
        Micros longest_term{};
    };
    explicit Journal(World world) : world_(std::move(world)) {}

    static std::string encode(const Head& head);
    // Empty where there is none.
    store::Result read_head(std::optional<Head>& head);
    store::Result open_engine();
    store::Result open_again();
    store::Result read_records(std::vector<budget::Record>& records);
    store::Result forget_records();
    store::Result put(Head head, store::Batch& batch, bool durable);
    store::Result show();
    std::string not_current(const Head& head) const;

    World world_;
    std::unique_ptr<store::Engine> engine_;  // borrows the files
    store::SpaceId space_ = 0;
    Head head_;
    std::set<std::string> to_erase_;  // keys of records that are gone
    std::string witness_trouble_;
};

}  // namespace flaxdoor::coordinator
