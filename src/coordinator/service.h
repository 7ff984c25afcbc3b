// The authority as an HTTP service: POST /v1/leases, GET /v1/budgets, GET /ready (docs/design/budget.md, "On the wire").
//
// A request is answered in the call: decided, committed (journal.h), shown by the witness, then worded. So a commit holds up
// the loop for as long as it takes, and one comes after the other; the process does nothing else. What could not be
// committed is answered with 503: what was granted stays counted until its end.
//
// Threading: the loop's one thread.   Ownership: clock, log and grants' log are borrowed and outlive it.
// Time:      the clock must go on over a restart of the process and count while it is paused (CLOCK_BOOTTIME).
// Errors:    the constructor and change() throw std::invalid_argument for terms that contradict themselves.
// Bounds:    `refused_most` refused processes are remembered, for a minute.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "budget/authority.h"
#include "coordinator/grants_log.h"
#include "coordinator/journal.h"
#include "coordinator/wire.h"
#include "core/ports.h"
#include "http/handler.h"

namespace flaxdoor::coordinator {

class Service final : public http::Handler {
public:
    static constexpr std::size_t refused_most = 256;
    static constexpr Micros refused_kept = std::chrono::minutes(1);

    // `opened` has a journal. `grants` may be null.
    Service(budget::Terms terms, Journal::Opened opened, const core::Clock& clock, core::Log& log,
            GrantsLog* grants);

    std::variant<Answer, Ask> on_request(http::Request message, const From& from) override;
    // Nothing is handed to the core.
    http::Response on_final(core::Final final, http::Asked* asked) override;
    Answer on_not_taken(core::Taken taken, http::Asked* asked) override;

    // New wholes, and budgets that come and go. Balancers have the rest from their own start: term, drift, number of
    // balancers, deadline, reserves and what a budget counts stay as they are. Then nothing has changed if it throws.
    void change(const budget::Terms& fresh);
    const budget::Terms& terms() const { return authority_.terms(); }

    [[nodiscard]] View view() const;
    [[nodiscard]] bool ready() const;
    // Background work of the store, a bounded step; false: there is none.
    bool tidy() { return journal_->tidy(); }

private:
    using Key = std::pair<std::string, std::string>;  // holder, instance
    struct Refused {
        budget::Verdict verdict = budget::Verdict::waiting;
        std::string why;
        Time at{};
    };

    http::Response lease(const std::string& body);
    Journal::Standing standing() const;
    // False: nothing may go out.
    bool commit(const std::vector<budget::Change>& changes);
    void note(const budget::LeaseRequest& request, const budget::LeaseReply& reply, Time now);
    void tell_refused(const Key& key, const Refused& refused);
    void set_trouble(std::string trouble);

    const core::Clock& clock_;
    core::Log& log_;
    GrantsLog* const grants_;
    const std::unique_ptr<Journal> journal_;
    budget::Authority authority_;
    Micros longest_term_;
    std::string trouble_;  // why what was granted can't be committed
    std::string witness_trouble_;
    bool told_stepped_down_ = false;
    std::map<Key, Refused> refused_;
};

}  // namespace flaxdoor::coordinator
