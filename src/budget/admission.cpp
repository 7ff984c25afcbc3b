#include "budget/admission.h"

#include <algorithm>
#include <functional>

namespace flaxdoor::budget {

namespace {

bool falls_under(const Budget& budget, const core::Call& call, const std::string& pool,
                 const Settings& settings) {
    if (!budget.pool.empty() && budget.pool != pool) return false;
    if (!budget.of_class.empty() &&
        budget.of_class != settings.classes[static_cast<std::size_t>(call.class_index)].name) {
        return false;
    }
    if (budget.tenant.empty()) return true;
    const auto number = static_cast<std::size_t>(call.tenant.number);
    return call.tenant.kind == core::Tenant::Kind::known && number < settings.tenants.size() &&
           budget.tenant == settings.tenants[number].name;
}

bool takes(Counts counts, int attempt) {
    switch (counts) {
        case Counts::requests: return attempt == 0;
        case Counts::retries: return attempt > 0;
        case Counts::attempts:
        case Counts::concurrency: return true;
    }
    return true;
}

}  // namespace

// Permits of one call: for the attempt that is next to begin, and for those that have begun.
class Admission::Held final : public core::Permits {
public:
    Held(Admission& owner, std::vector<std::size_t> budgets) : owner_(owner), budgets_(std::move(budgets)) {}
    ~Held() override {
        give_back();
        for (const Begun& each : begun_) free_places(each, false);
    }

    // Set aside already where the attempt before it never began.
    bool allow(int, Time) override {
        if (aside_) return true;
        const Time now = owner_.clock_.now();
        Holder& holder = owner_.holder_;
        for (std::size_t i = 0; i < budgets_.size(); ++i) {
            const std::size_t budget = budgets_[i];
            if (!takes(owner_.counts(budget), next_) || holder.at(budget).set_aside(now)) continue;
            lacking_ = budget;
            owner_.on_refused(budget, now);
            for (std::size_t j = 0; j < i; ++j) {
                if (takes(owner_.counts(budgets_[j]), next_)) holder.at(budgets_[j]).give_back(now);
            }
            return false;
        }
        aside_ = true;
        return true;
    }

    bool begin(int attempt, Time) override {
        const Time now = owner_.clock_.now();
        if (!aside_) return false;
        aside_ = false;
        Holder& holder = owner_.holder_;
        bool all = true;
        for (const std::size_t budget : budgets_) {
            if (!takes(owner_.counts(budget), next_)) continue;
            if (holder.at(budget).use(now)) continue;
            all = false;
            lacking_ = budget;
            ++owner_.figures_[budget].lapsed;
        }
        const Begun begun{attempt, now};
        if (!all) {
            // Permits of the others are used up: what goes out may be less than they allow, never more.
            free_places(begun, true);
            return false;
        }
        for (const std::size_t budget : budgets_) {
            if (takes(owner_.counts(budget), next_)) ++owner_.figures_[budget].permits;
        }
        begun_.push_back(begun);
        ++next_;
        return true;
    }

    void end(int attempt, bool known, Time) override {
        const auto at =
            std::find_if(begun_.begin(), begun_.end(), [&](const Begun& b) { return b.attempt == attempt; });
        if (at == begun_.end()) return;
        free_places(*at, known);
        begun_.erase(at);
    }

    Micros retry_after(Time) override { return owner_.wait_for(lacking_, owner_.clock_.now()); }

private:
    struct Begun {
        int attempt = 0;
        Time at{};
    };

    void give_back() {
        if (!aside_) return;
        const Time now = owner_.clock_.now();
        for (const std::size_t budget : budgets_) {
            if (takes(owner_.counts(budget), next_)) owner_.holder_.at(budget).give_back(now);
        }
        aside_ = false;
    }

    void free_places(const Begun& begun, bool known) {
        const Time now = owner_.clock_.now();
        for (const std::size_t budget : budgets_) {
            if (owner_.counts(budget) == Counts::concurrency)
                owner_.holder_.at(budget).free_place(known, begun.at, now);
        }
    }

    Admission& owner_;
    const std::vector<std::size_t> budgets_;
    std::vector<Begun> begun_;
    std::size_t lacking_ = 0;
    int next_ = 0;  // how many have begun
    bool aside_ = false;
};

Admission::Admission(Holder& holder, const core::Clock& clock, std::function<void()> on_want)
    : holder_(holder), clock_(clock), on_want_(std::move(on_want)) {
    for (const Budget& budget : holder_.terms().budgets) figures_.push_back({budget.name, 0, 0, 0});
}
Admission::~Admission() = default;

core::Admitted Admission::admit(core::Call& call, const std::string& pool, const Settings& settings,
                                Time now) {
    std::vector<std::size_t> under;
    const auto& budgets = holder_.terms().budgets;
    for (std::size_t i = 0; i < budgets.size(); ++i) {
        if (!falls_under(budgets[i], call, pool, settings)) continue;
        under.push_back(i);
        if (budgets[i].counts != Counts::concurrency) continue;
        // No longer than its place is counted as held should this process die.
        const Micros longest = holder_.terms().longest;
        call.attempt_limit = call.attempt_limit > Micros{} ? std::min(call.attempt_limit, longest) : longest;
    }
    core::Admitted admitted;
    if (under.empty()) return admitted;
    auto held = std::make_unique<Held>(*this, std::move(under));
    if (!held->allow(0, now)) {
        admitted.refused = true;
        admitted.retry_after = held->retry_after(now);
        return admitted;
    }
    admitted.permits = std::move(held);
    return admitted;
}

Counts Admission::counts(std::size_t budget) const { return holder_.terms().budgets[budget].counts; }

// Until a permit of its own share may be there; with none, until a lease that asks now may bring one.
Micros Admission::wait_for(std::size_t budget, Time now) {
    const auto next = holder_.at(budget).next(now);
    const Micros ask =
        std::max(holder_.next_request() - now, Micros{0}) + Micros(std::chrono::milliseconds(1));
    return next && *next > Micros{0} ? std::min(*next, ask + holder_.terms().term) : ask;
}

void Admission::on_refused(std::size_t budget, Time now) {
    ++figures_[budget].refused;
    holder_.on_want(now);
    on_want_();
}

}  // namespace flaxdoor::budget
