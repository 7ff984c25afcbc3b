#include "budget/admission.h"

#include <algorithm>
#include <functional>

namespace flaxdoor::budget {

namespace {

bool applies_to(const Budget& budget, const core::Call& call, const std::string& pool,
                const Settings& settings) {
    if (!budget.pool.empty() && budget.pool != pool) return false;
    if (!budget.of_class.empty() &&
        budget.of_class != settings.classes[static_cast<std::size_t>(call.class_index)].name) {
        return false;
    }
    if (budget.tenant.empty()) return true;
    const auto tenant_index = static_cast<std::size_t>(call.tenant.number);
    return call.tenant.kind == core::Tenant::Kind::known && tenant_index < settings.tenants.size() &&
           budget.tenant == settings.tenants[tenant_index].name;
}

bool takes_permit(Counts counts, int attempt) {
    switch (counts) {
        case Counts::requests: return attempt == 0;
        case Counts::retries: return attempt > 0;
        case Counts::attempts:
        case Counts::concurrency: return true;
    }
    return true;
}

}  // namespace

// The permits of one call. Which budgets an attempt takes permits of depends on how many attempts of the call
// begin before it, which is not known while several of them wait for connections. Reserved permits therefore
// belong to the call: they serve the next attempts that begin, whichever these are.
class Admission::CallPermits final : public core::CallPermits {
public:
    CallPermits(Admission& owner, std::vector<std::size_t> budgets)
        : owner_(owner), budgets_(std::move(budgets)) {}
    ~CallPermits() override {
        while (reserved_ > 0) release_last();
        for (const BegunAttempt& attempt : begun_) end_attempts(budgets_, attempt.at, false);
    }

    // An attempt that never began leaves its reserved permits to the next attempt.
    bool reserve(int attempt, Time) override {
        if (reserved_ > static_cast<int>(allowed_.size()) || set_aside()) {
            allowed_.push_back(attempt);
            return true;
        }
        return false;
    }

    bool commit(int attempt, Time) override {
        if (std::erase(allowed_, attempt) == 0) return false;
        const Time now = owner_.clock_.now();
        Holder& holder = owner_.holder_;
        const int ordinal = begun_count_++;
        --reserved_;
        std::vector<std::size_t> committed;
        bool all_committed = true;
        for (const std::size_t budget : budgets_) {
            if (!takes_permit(owner_.counts(budget), ordinal)) continue;
            if (holder.allowance(budget).commit(now)) {
                committed.push_back(budget);
                continue;
            }
            all_committed = false;
            missing_budget_ = budget;
            ++owner_.figures_[budget].lapsed;
        }
        if (!all_committed) {
            // The permits that were committed for the other budgets are spent: less may be sent than these
            // budgets allow, but never more.
            end_attempts(committed, now, true);
            return false;
        }
        for (const std::size_t budget : committed) ++owner_.figures_[budget].permits;
        begun_.push_back({attempt, now});
        return true;
    }

    void release(int attempt, bool known, Time) override {
        if (std::erase(allowed_, attempt) > 0) {
            // Keeps the permits if the call's first attempt is still to begin, so that it need not reserve
            // them again. Permits of a hedged attempt are released, since no other attempt may need them.
            if (begun_count_ > 0 || !allowed_.empty()) release_last();
            return;
        }
        const auto found = std::find_if(begun_.begin(), begun_.end(),
                                        [&](const BegunAttempt& b) { return b.attempt == attempt; });
        if (found == begun_.end()) return;
        end_attempts(budgets_, found->at, known);
        begun_.erase(found);
    }

    Micros remaining(int attempt) const override {
        const auto found = std::find_if(begun_.begin(), begun_.end(),
                                        [&](const BegunAttempt& b) { return b.attempt == attempt; });
        if (found == begun_.end()) return {};
        return owner_.holder_.permit_held_until(found->at) - owner_.clock_.now();
    }

    Micros retry_after(Time) override { return owner_.retry_delay(missing_budget_, owner_.clock_.now()); }

    // Reserves the permits of the next attempt, for the first one before it has a number. Returns false if a
    // budget has none.
    bool set_aside() {
        const Time now = owner_.clock_.now();
        Holder& holder = owner_.holder_;
        const int ordinal = begun_count_ + reserved_;
        for (std::size_t i = 0; i < budgets_.size(); ++i) {
            const std::size_t budget = budgets_[i];
            if (!takes_permit(owner_.counts(budget), ordinal) || holder.allowance(budget).reserve(now))
                continue;
            missing_budget_ = budget;
            owner_.on_refused(budget, now);
            for (std::size_t j = 0; j < i; ++j) {
                if (takes_permit(owner_.counts(budgets_[j]), ordinal))
                    holder.allowance(budgets_[j]).release(now);
            }
            return false;
        }
        ++reserved_;
        return true;
    }

private:
    struct BegunAttempt {
        int attempt = 0;
        Time at{};
    };

    void release_last() {
        const Time now = owner_.clock_.now();
        const int ordinal = begun_count_ + --reserved_;
        for (const std::size_t budget : budgets_) {
            if (takes_permit(owner_.counts(budget), ordinal)) owner_.holder_.allowance(budget).release(now);
        }
    }

    void end_attempts(const std::vector<std::size_t>& budgets, Time began, bool known) {
        const Time now = owner_.clock_.now();
        for (const std::size_t budget : budgets) {
            if (owner_.counts(budget) == Counts::concurrency)
                owner_.holder_.allowance(budget).end_attempt(known, began, now);
        }
    }

    Admission& owner_;
    const std::vector<std::size_t> budgets_;
    std::vector<int> allowed_;  // attempts that have neither begun nor ended
    std::vector<BegunAttempt> begun_;
    std::size_t missing_budget_ = 0;
    int begun_count_ = 0;  // attempts that have begun
    int reserved_ = 0;     // attempts with reserved permits: as many as allowed_ holds, or one more
};

Admission::Admission(Holder& holder, const core::Clock& clock, std::function<void()> on_want)
    : holder_(holder), clock_(clock), on_want_(std::move(on_want)) {
    for (const Budget& budget : holder_.terms().budgets) figures_.push_back({budget.name, 0, 0, 0});
}
Admission::~Admission() = default;

core::AdmissionResult Admission::admit(core::Call& call, const std::string& pool, const Settings& settings,
                                       Time now) {
    std::vector<std::size_t> applicable;
    const auto& budgets = holder_.terms().budgets;
    for (std::size_t i = 0; i < budgets.size(); ++i) {
        if (!applies_to(budgets[i], call, pool, settings)) continue;
        applicable.push_back(i);
        if (budgets[i].counts != Counts::concurrency) continue;
        // The attempt must not outlast its concurrency permit, which the authority frees after `longest` if
        // it does not hear of it again.
        const Micros longest = holder_.terms().max_attempt_duration;
        Micros& limit = call.whole_attempt_limit;
        limit = limit > Micros{} ? std::min(limit, longest) : longest;
    }
    core::AdmissionResult admitted;
    if (applicable.empty()) return admitted;
    auto permits = std::make_unique<CallPermits>(*this, std::move(applicable));
    if (!permits->set_aside()) {
        admitted.refused = true;
        admitted.retry_after = permits->retry_after(now);
        return admitted;
    }
    admitted.permits = std::move(permits);
    return admitted;
}

Counts Admission::counts(std::size_t budget) const { return holder_.terms().budgets[budget].counts; }

// Returns the time until the present share may yield a permit, or if there is none, until the next lease
// request may bring a share.
Micros Admission::retry_delay(std::size_t budget, Time now) {
    const auto next = holder_.allowance(budget).time_to_next_permit(now);
    const Micros until_request =
        std::max(holder_.next_request() - now, Micros{0}) + Micros(std::chrono::milliseconds(1));
    return next && *next > Micros{0} ? std::min(*next, until_request + holder_.terms().lease_term)
                                     : until_request;
}

void Admission::on_refused(std::size_t budget, Time now) {
    ++figures_[budget].refused;
    holder_.on_refusal(budget, now);
    on_want_();
}

}  // namespace flaxdoor::budget
