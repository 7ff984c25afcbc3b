// The one place that divides budgets. It never lets the shares that may be in force sum to more than the whole.
//
// What counts as in force for a holder is the most of all grants that it may still take or have: those not known to be
// superseded (it tells the highest fence that it has taken, and never takes a lower one) and not ended; places
// count until attempts that began under them must have ended; and what it says it uses. A share grows only out of
// what is left of the whole after the reserves and what counts for everyone else. So a share shrinks at its
// holder before it grows anywhere.
//
// Durability: what on_request() puts into `changes` must outlast the process before its reply goes out. If that fails, the reply
//             must not: what was granted stays counted until its end.
// After a start: with `current` the records are all that was granted; else grants of an earlier authority may be in
//             force that nobody here knows, and nothing is granted until the longest term has passed.
// Time:       handed in; one clock that goes on over a restart of the process (CLOCK_BOOTTIME), by which records have
//             their ends. Threading: one thread. Errors: none thrown but for terms that contradict themselves
//             (std::invalid_argument, naming the budget).
// Bounds:     Terms::holders_most processes, `grants_most` grants of each that are not known to be superseded.
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

// What must last of one process that may hold something. Budgets by name, since files change.
struct Record {
    struct Given {
        Fence fence;
        Time until{};  // by the authority's clock
        std::vector<std::pair<std::string, Amount>> shares;
    };
    std::string holder, instance;
    std::uint64_t number = 0;  // of its last request
    Time heard{};
    std::vector<Given> given;
    std::vector<std::pair<std::string, std::int64_t>> in_use;
    std::vector<std::pair<std::string, Amount>> reserves;
};

// Of one record: to be written, or to be removed where `record` is empty.
struct Change {
    std::string holder, instance;
    std::optional<Record> record;
};

// Throws std::invalid_argument.
void check(const Terms& terms);

class Authority {
public:
    static constexpr std::size_t grants_most = 16;

    struct Start {
        std::uint64_t epoch = 1;  // higher than any before it
        bool current = false;     // the records are all that there is
        std::vector<Record> records;
        Micros longest_term{};  // of any lease that was granted before
    };
    Authority(Terms terms, Start start, Time now);

    [[nodiscard]] LeaseReply on_request(const LeaseRequest& request, Time now, std::vector<Change>& changes);
    // Nothing is taken back: what is in force ends or shrinks as its holders ask. Throws as the constructor; then
    // nothing has changed.
    void change(Terms terms, Time now);

    std::uint64_t epoch() const { return epoch_; }  // may rise while it waits
    Time waits_until() const { return waits_until_; }
    bool stepped_down() const { return stepped_down_; }
    const Terms& terms() const { return terms_; }

    // Who holds what, and why what is not granted is not.
    struct Held {
        std::string budget, holder, instance;
        Amount counted;  // of the whole
        Amount share;    // of the last grant
        Amount wants;
        std::int64_t in_use = 0;
        Time until{};          // of the last grant
        std::string_view why;  // counted beyond the share: not yet told, ended but may run, in use
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
    struct Given {
        Fence fence;
        Time until{};
        std::vector<Amount> shares;  // by place in budgets_
    };
    struct Party {
        std::uint64_t number = 0;
        Time heard{};
        bool leaving = false;
        int untaken = 0;  // requests in a row that told of no grant since the last one
        std::vector<Given> given;
        std::vector<Amount> wants, reserves;
        std::vector<std::int64_t> in_use;
        std::vector<Time>
            without;  // since then it has wanted a permit and had none; zero: it has one or wants none
        // Of its clock and of this one, at a request some terms ago.
        Time its_clock{}, our_clock{};
        bool clock_off = false;
    };
    using Key = std::pair<std::string, std::string>;  // holder, instance

    // Who counts for what, at one moment.
    struct Present {
        struct Reserving {
            const Party* party = nullptr;
            bool beyond = false;  // it has another one's name, or is one more than expected
        };
        std::vector<Reserving> reserving;
        std::vector<const Party*> claiming;
    };
    Present present(Time now) const;

    Amount counted(const Party& party, std::size_t budget, Time now) const;
    Amount reserved(std::size_t budget, const Present& present) const;
    bool heard_lately(const Party& party, Time now) const;
    static bool takes_grants(const Party& party);
    std::optional<std::string> clock_fault(Party& party, Time its, Time now) const;
    std::optional<std::string> at_odds(const LeaseRequest& request) const;
    void note(Party& party, const LeaseRequest& request, Time now);
    LeaseReply grant(Party& party, Time now);
    Amount target(std::size_t budget, const Party& party, Amount shared, const Present& present,
                  Time now) const;
    void add(Party& party, Given given) const;
    void forget_old(Time now, std::vector<Change>& changes);
    Record record_of(const Key& key, const Party& party) const;
    std::size_t place_of(const std::string& budget);
    std::size_t find(const std::string& budget) const;
    void widen();
    void wait(Time now);

    Terms terms_;
    std::vector<Budget>
        budgets_;  // those of the terms, and those that are gone while something of them may be in force
    std::uint64_t epoch_;
    std::uint64_t seq_ = 0;
    Time waits_until_{};
    Time places_from_{};  // the same for budgets that count places
    Micros longest_term_{};
    bool stepped_down_ = false;
    std::map<Key, Party> parties_;
    std::map<std::string, std::string> current_;  // which instance has a name
    Time swept_{};
};

}  // namespace flaxdoor::budget
