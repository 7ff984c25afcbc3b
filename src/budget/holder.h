// A balancer's side of the budgets: what it asks the authority for, which replies it takes, and what it may use.
//
// A lease counts from when its request was *sent*, by this process's own clock. A reply is taken only when its
// request is one of the last few, its fence is the highest seen, and its term has not passed. All grants of a
// reply are taken together.
//
// Time:      handed in, from one clock that counts while the process is paused (CLOCK_BOOTTIME). Every look at an
//            allowance checks its lease first, so nothing is let through on one that ended during a pause.
// Threading: one thread.   Ownership: its own.   Chance: the seed spreads the requests of a fleet.
// Errors:    none; a reply that can't be used changes nothing but when to ask next.
// Bounds:    `sent_most` requests are remembered.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "budget/allowance.h"
#include "budget/messages.h"
#include "budget/terms.h"

namespace flaxdoor::budget {

class Holder {
public:
    struct Options {
        Terms terms;
        std::string name, instance;
        std::uint64_t seed = 0;
    };
    // Reserves that count places come into force `longest` from now: attempts of a process that had this name before
    // may still run.
    Holder(Options options, Time now);

    // ------------------------------------------------------------------------------------------- asking
    // When the next request is to go out; it may become earlier with every call of this class.
    Time next_request() const { return next_; }
    [[nodiscard]] LeaseRequest request(Time now);
    void on_reply(const LeaseReply& reply, Time now);
    void on_no_reply(Time now);  // the last request failed, or has been given up
    // Lets go of all leases and of the reserve, for good; the request tells it.
    [[nodiscard]] LeaseRequest leave(Time now);

    // ----------------------------------------------------------------------------------------- admission
    std::size_t size() const { return allowances_.size(); }
    const Terms& terms() const { return terms_; }
    // Something was refused for want of a share: asks sooner, where that tells the authority something. What it has been
    // told already it divides by, and says itself when there may be more.
    void on_want(std::size_t budget, Time now);
    Allowance& at(std::size_t budget) { return allowances_[budget]; }

    // --------------------------------------------------------------------------------------------- looks
    Verdict last_verdict() const { return verdict_; }
    const std::string& why() const { return why_; }
    Fence taken() const { return taken_; }
    bool supervised(Time now);  // a lease is in force

private:
    struct Sent {
        std::uint64_t number = 0;
        Time at{};
    };
    // Places wanted at once, the most of this term and of the one before it.
    struct Peak {
        std::int64_t before = 0, now = 0;
        Time since{};
    };
    static constexpr std::size_t sent_most = 8;

    void bring_reserves(Time now);
    bool is_news(std::size_t budget, Time now);
    // Of permits: more than chance can have brought.
    bool burst(std::size_t budget, std::int64_t wanted, double span) const;
    void ask_again(Time now, Micros after);
    Micros spread(Micros span);

    Terms terms_;
    const std::string name_, instance_;
    std::uint64_t chance_;
    std::vector<Allowance> allowances_;
    std::vector<double> rates_;  // wanted, permits a second, smoothed
    std::vector<Peak> peaks_;    // of places
    std::vector<Amount> told_;   // wanted, with the last request
    Time reserves_from_{};       // of those that count places
    bool reserves_lost_ = false;
    bool left_ = false;

    std::vector<Sent> sent_;
    std::uint64_t last_number_ = 0;
    Time asked_at_{};
    Time next_{};
    Micros gap_{};  // between two requests, unless one is due
    Micros back_off_{};
    Fence taken_;
    std::uint64_t epoch_ = 0;  // highest heard of
    Time leased_until_{};
    Verdict verdict_ = Verdict::waiting;
    std::string why_;
};

}  // namespace flaxdoor::budget
