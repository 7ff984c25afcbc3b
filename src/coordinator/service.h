// The authority as an HTTP service: POST /v1/leases, GET /v1/budgets, GET /ready (docs/design/budget.md, "On
// the wire").
//
// A request is answered synchronously: the authority decides, the journal commits and updates the witness
// (journal.h), then the reply is encoded. A commit blocks the event loop and commits are serialized; the
// process has no other work. A request that could not be committed is answered with 503; its grant counts
// until it ends.
//
// Threading: the event loop's thread.   Ownership: the clock, the log and the grants log are borrowed and
//            outlive the service.
// Time:      the clock must continue over a restart of the process and advance while it is suspended
//            (CLOCK_BOOTTIME).
// Errors:    the constructor and update_budgets() throw std::invalid_argument for inconsistent terms.
// Bounds:    at most `max_refused` refused processes are remembered, each for a minute.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "budget/authority.h"
#include "coordinator/grant_log.h"
#include "coordinator/journal.h"
#include "coordinator/wire.h"
#include "core/ports.h"
#include "http/handler.h"

namespace flaxdoor::coordinator {

class Service final : public http::Handler {
public:
    static constexpr std::size_t max_refused = 256;
    static constexpr Micros refused_retention = std::chrono::minutes(1);

    // Requires that `opened` holds a journal. `grants` may be null.
    Service(budget::BudgetConfig terms, Journal::Opened opened, const core::Clock& clock, core::Log& log,
            GrantLog* grants);

    std::variant<LocalResponse, Forward> on_request(http::Request message,
                                                    const ConnectionInfo& from) override;
    // Not called, since no request is passed to the core.
    http::Response on_final(core::FinalAnswer final, http::RequestContext* asked) override;
    LocalResponse on_call_rejected(core::AcceptResult taken, http::RequestContext* asked) override;

    // Applies changed wholes and added or removed budgets. Balancers read all other settings at their own
    // start: lease term, clock drift, number of balancers, attempt duration, reserves and what a budget
    // counts stay unchanged. If it throws, nothing has changed.
    void update_budgets(const budget::BudgetConfig& updated);
    const budget::BudgetConfig& terms() const { return authority_.terms(); }

    [[nodiscard]] View view() const;
    [[nodiscard]] bool ready() const;
    // Performs one bounded step of the store's background work. Returns false if none is left.
    bool run_background_step() { return journal_->run_background_step(); }

private:
    using Key = std::pair<std::string, std::string>;  // holder, instance
    struct Refused {
        budget::Verdict verdict = budget::Verdict::waiting;
        std::string why;
        Time at{};
    };

    http::Response lease(const std::string& body);
    Journal::Standing standing() const;
    // Returns false if the reply must not be sent.
    bool commit(const std::vector<budget::Change>& changes);
    void update_refused(const budget::LeaseRequest& request, const budget::LeaseReply& reply, Time now);
    void log_refused(const Key& key, const Refused& refused);
    void set_trouble(std::string trouble);

    const core::Clock& clock_;
    core::Log& log_;
    GrantLog* const grants_;
    const std::unique_ptr<Journal> journal_;
    budget::Authority authority_;
    Micros longest_term_;
    std::string trouble_;  // why grants can't be committed; empty if they can
    std::string witness_trouble_;
    bool logged_stepped_down_ = false;
    std::map<Key, Refused> refused_;
};

}  // namespace flaxdoor::coordinator
