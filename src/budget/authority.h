// The coordinator's decision logic: divides the budgets among the lease holders. The shares that may be in
// force never sum to more than the whole.
//
// The amount counted for a holder is the largest of all grants that it may have accepted or may still accept,
// and of the use that it reports. A grant counts until it is known to be superseded or has ended: a holder
// reports the highest fencing token that it has accepted, and never accepts a lower one. A grant of
// concurrency permits counts until the attempts that began under it must have ended. A share grows only out
// of what is left of the whole after the reserves and after the amounts counted for all other holders.
// Therefore a share shrinks at its holder before it grows elsewhere.
//
// Durability: what on_request() puts into `changes` must be stored before its reply is sent. If storing
//             fails, the reply must not be sent; the grant counts until it ends.
// Restart:    with `complete`, the records hold everything that was granted. Otherwise grants of an earlier
//             authority that this one does not know may be in force, and nothing is granted until the longest
//             lease term has passed.
// Time:       passed in; one clock that continues over a restart of the process (CLOCK_BOOTTIME). Ends in
//             records are times of that clock.
// Threading:  single-threaded.
// Errors:     std::invalid_argument, naming the budget, for inconsistent terms; nothing else is thrown.
// Bounds:     BudgetConfig::max_holders processes, `max_open_grants` grants of each that are not known to be
//             superseded.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "budget/messages.h"
#include "budget/terms.h"

namespace flaxdoor::budget {

// Durable state of one process that may hold an allocation. Budgets are stored by name, since the
// configuration changes.
struct Record {
    struct Allocation {
        FencingToken fence;
        Time until{};  // by the authority's clock
        std::vector<std::pair<std::string, Amount>> shares;
    };
    std::string holder, instance;
    std::uint64_t number = 0;  // of the last request
    Time last_request_at{};
    std::vector<Allocation> allocations;
    std::vector<std::pair<std::string, std::int64_t>> in_use;
    std::vector<std::pair<std::string, Amount>> reserves;
};

// A record to be written, or to be removed if `record` is empty.
struct Change {
    std::string holder, instance;
    std::optional<Record> record;
};

// Throws std::invalid_argument if the terms are inconsistent.
void check(const BudgetConfig& terms);

class Authority {
public:
    static constexpr std::size_t max_open_grants = 16;

    struct RestoredState {
        std::uint64_t epoch = 1;  // higher than any earlier one
        bool complete = false;    // the records hold every grant that may be in force
        std::vector<Record> records;
        Micros longest_term{};  // of any lease granted before
    };
    Authority(BudgetConfig terms, RestoredState start, Time now);

    [[nodiscard]] LeaseReply on_request(const LeaseRequest& request, Time now, std::vector<Change>& changes);
    // Applies new terms without revoking anything: allocations in force end or shrink as their holders send
    // requests. Throws as the constructor does; then nothing has changed.
    void update_terms(BudgetConfig terms, Time now);

    std::uint64_t epoch() const { return epoch_; }  // may rise while the authority waits after a start
    Time waits_until() const { return waits_until_; }
    bool stepped_down() const { return stepped_down_; }
    const BudgetConfig& terms() const { return terms_; }

    // The allocation of one budget to one process, and why more than its share is counted.
    struct Held {
        std::string budget, holder, instance;
        Amount counted;  // of the whole
        Amount share;    // of the last grant
        Amount wants;
        std::int64_t in_use = 0;
        Time until{};  // of the last grant
        // Why more than the share is counted: not yet released, attempts may be running, or in use.
        std::string_view why;
    };
    struct Sum {
        std::string budget;
        Counts counts = Counts::requests;
        Amount whole, reserved, counted;
    };
    struct View {
        std::vector<Sum> sums;
        std::vector<Held> held;
    };
    [[nodiscard]] View view(Time now) const;

private:
    struct Allocation {
        FencingToken fence;
        Time until{};
        std::vector<Amount> shares;  // by index in budgets_
    };
    // State of one process. Vectors are indexed like budgets_.
    struct HolderState {
        std::uint64_t number = 0;
        Time last_request_at{};
        bool leaving = false;
        // Consecutive requests that reported an older fencing token than the last grant's.
        int unaccepted_grants = 0;
        std::vector<Allocation> allocations;
        std::vector<Amount> wants, reserves;
        std::vector<std::int64_t> in_use;
        // When the holder began to want a permit without having one; zero if it has one or wants none.
        std::vector<Time> without_permit_since;
        // Readings of both clocks at the start of the interval over which the holder's clock is compared.
        Time holder_clock{}, authority_clock{};
        bool clock_off = false;
    };
    using Key = std::pair<std::string, std::string>;  // holder, instance

    // The processes that count at one moment.
    struct ActiveHolders {
        struct Reserving {
            const HolderState* holder = nullptr;
            bool extra = false;  // its name is used by another process too, or it exceeds the expected number
        };
        std::vector<Reserving> reserving;
        std::vector<const HolderState*> claiming;
    };
    ActiveHolders active_holders(Time now) const;

    Amount counted(const HolderState& holder, std::size_t budget, Time now) const;
    Amount reserved(std::size_t budget, const ActiveHolders& active) const;
    bool is_active(const HolderState& holder, Time now) const;
    static bool accepts_grants(const HolderState& holder);
    std::optional<std::string> clock_fault(HolderState& holder, Time holder_now, Time now) const;
    std::optional<std::string> configuration_mismatch(const LeaseRequest& request) const;
    void record_request(HolderState& holder, const LeaseRequest& request, Time now);
    LeaseReply grant(HolderState& holder, Time now);
    Amount fair_share(std::size_t budget, const HolderState& holder, Amount shared,
                      const ActiveHolders& active, Time now) const;
    void add(HolderState& holder, Allocation allocation) const;
    void expire_holders(Time now, std::vector<Change>& changes);
    Record record_of(const Key& key, const HolderState& holder) const;
    std::size_t find_or_add(const std::string& budget);
    std::size_t find(const std::string& budget) const;
    void resize_holders();
    void begin_waiting(Time now);

    BudgetConfig terms_;
    // Configured budgets, and removed ones of which an allocation may still be in force.
    std::vector<Budget> budgets_;
    std::uint64_t epoch_;
    std::uint64_t seq_ = 0;
    Time waits_until_{};
    Time concurrency_waits_until_{};  // nothing of a concurrency budget is granted before
    Micros longest_term_{};
    bool stepped_down_ = false;
    std::map<Key, HolderState> holders_;
    std::map<std::string, std::string> current_instance_;  // by holder name
    Time last_expiry_at_{};
};

}  // namespace flaxdoor::budget
