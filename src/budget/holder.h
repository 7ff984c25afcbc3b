// The lease holder: a balancer's side of the budgets. Decides what to request from the authority, which
// replies to accept, and what may be used.
//
// A lease counts from when its request was sent, by this process's own clock. A reply is accepted only if its
// request is one of the last few, its fencing token is the highest so far, and its term has not passed. All
// grants of a reply are applied together.
//
// Time:      passed in, from one clock that advances while the process is suspended (CLOCK_BOOTTIME). Every
//            access to an allowance checks its lease first, so nothing is admitted on a lease that ended
//            during a suspension.
// Threading: single-threaded.   Randomness: the seed spreads the requests of a fleet over time.
// Errors:    none; a reply that can't be used changes only the time of the next request.
// Bounds:    the last `max_sent` requests are remembered.
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
        BudgetConfig terms;
        std::string name, instance;
        std::uint64_t seed = 0;
    };
    // Concurrency reserves come into force `longest` from now: attempts of an earlier process with this name
    // may still be running.
    Holder(Options options, Time now);

    // ------------------------------------------------------------------------------------- lease requests
    // Returns when to send the next request. Any call of this class may make it earlier.
    Time next_request() const { return next_request_at_; }
    [[nodiscard]] LeaseRequest request(Time now);
    void on_reply(const LeaseReply& reply, Time now);
    void on_no_reply(Time now);  // the last request failed or was abandoned
    // Releases all leases and the reserve for good. The returned request reports it.
    [[nodiscard]] LeaseRequest leave(Time now);

    // ----------------------------------------------------------------------------------------- admission
    std::size_t size() const { return allowances_.size(); }
    const BudgetConfig& terms() const { return terms_; }
    // To be called when a permit was refused. Makes the next request earlier if it would tell the authority
    // something new. The authority already divides by the demand that was reported to it, and its replies say
    // when there may be more.
    void on_refusal(std::size_t budget, Time now);
    Allowance& allowance(std::size_t budget) { return allowances_[budget]; }

    // -------------------------------------------------------------------------------------------- state
    Verdict last_verdict() const { return last_verdict_; }
    const std::string& why() const { return why_; }
    FencingToken accepted_fence() const { return accepted_fence_; }
    bool has_lease(Time now);
    // Returns until when the authority counts the concurrency permit of an attempt that began at `began` and is
    // under way: for the longest attempt from its beginning, or from the last request that has been granted and
    // reported it.
    Time permit_held_until(Time began) const;

private:
    struct Sent {
        std::uint64_t number = 0;
        Time at{};
    };
    // Peaks of concurrency permits wanted at once, in the current lease term and in the previous one.
    struct Peak {
        std::int64_t before = 0, now = 0;
        Time since{};
    };
    static constexpr std::size_t max_sent = 8;

    void activate_reserves(Time now);
    bool demand_is_news(std::size_t budget, Time now);
    // Returns true if more permits were wanted than random variation of the demand explains.
    bool is_burst(std::size_t budget, std::int64_t wanted, double span) const;
    void request_sooner(Time now, Micros after);
    Micros with_jitter(Micros span);

    BudgetConfig terms_;
    const std::string name_, instance_;
    std::uint64_t random_state_;
    std::vector<Allowance> allowances_;
    std::vector<double> demand_rates_;    // permits wanted a second, smoothed
    std::vector<Peak> peaks_;             // of concurrency permits
    std::vector<Amount> reported_wants_;  // in the last request
    Time concurrency_reserves_from_{};
    bool reserves_withdrawn_ = false;
    bool left_ = false;

    std::vector<Sent> sent_;
    std::uint64_t last_number_ = 0;
    Time last_request_at_{};
    Time next_request_at_{};
    Micros min_interval_{};  // between two requests, except for scheduled ones
    Micros back_off_{};
    FencingToken accepted_fence_;
    std::uint64_t highest_epoch_ = 0;
    Time leased_until_{};
    Time last_granted_request_at_{};
    Verdict last_verdict_ = Verdict::waiting;
    std::string why_;
};

}  // namespace flaxdoor::budget
