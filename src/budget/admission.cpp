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

// Permits of one call. What an attempt takes goes by how many begin before it, which is not known while several wait
// for their connections: so the permits that are set aside belong to the call, for the next so many that begin.
class Admission::Held final : public core::Permits {
public:
    Held(Admission& owner, std::vector<std::size_t> budgets) : owner_(owner), budgets_(std::move(budgets)) {}
    ~Held() override {
        while (aside_ > 0) give_back_last();
        for (const Begun& each : begun_) free_places(budgets_, each.at, false);
    }

    // One that never began leaves what was set aside for it to the next.
    bool allow(int attempt, Time) override {
        if (aside_ > static_cast<int>(waiting_.size()) || set_aside()) {
            waiting_.push_back(attempt);
            return true;
        }
        return false;
    }

    bool begin(int attempt, Time) override {
        if (std::erase(waiting_, attempt) == 0) return false;
        const Time now = owner_.clock_.now();
        Holder& holder = owner_.holder_;
        const int ordinal = next_++;
        --aside_;
        std::vector<std::size_t> used;
        bool all = true;
        for (const std::size_t budget : budgets_) {
            if (!takes(owner_.counts(budget), ordinal)) continue;
            if (holder.at(budget).use(now)) {
                used.push_back(budget);
                continue;
            }
            all = false;
            lacking_ = budget;
            ++owner_.figures_[budget].lapsed;
        }
        if (!all) {
            // Permits of the others are used up: what goes out may be less than they allow, never more.
            free_places(used, now, true);
            return false;
        }
        for (const std::size_t budget : used) ++owner_.figures_[budget].permits;
        begun_.push_back({attempt, now});
        return true;
    }

    void end(int attempt, bool known, Time) override {
        if (std::erase(waiting_, attempt) > 0) {
            // Kept for a call's next first attempt, so that it need not ask again; of a copy's nobody may have need.
            if (next_ > 0 || !waiting_.empty()) give_back_last();
            return;
        }
        const auto at =
            std::find_if(begun_.begin(), begun_.end(), [&](const Begun& b) { return b.attempt == attempt; });
        if (at == begun_.end()) return;
        free_places(budgets_, at->at, known);
        begun_.erase(at);
    }

    Micros retry_after(Time) override { return owner_.wait_for(lacking_, owner_.clock_.now()); }

    // For the first attempt, before it has a number. False: there is none.
    bool set_aside() {
        const Time now = owner_.clock_.now();
        Holder& holder = owner_.holder_;
        const int ordinal = next_ + aside_;
        for (std::size_t i = 0; i < budgets_.size(); ++i) {
            const std::size_t budget = budgets_[i];
            if (!takes(owner_.counts(budget), ordinal) || holder.at(budget).set_aside(now)) continue;
            lacking_ = budget;
            owner_.on_refused(budget, now);
            for (std::size_t j = 0; j < i; ++j) {
                if (takes(owner_.counts(budgets_[j]), ordinal)) holder.at(budgets_[j]).give_back(now);
            }
            return false;
        }
        ++aside_;
        return true;
    }

private:
    struct Begun {
        int attempt = 0;
        Time at{};
    };

    void give_back_last() {
        const Time now = owner_.clock_.now();
        const int ordinal = next_ + --aside_;
        for (const std::size_t budget : budgets_) {
            if (takes(owner_.counts(budget), ordinal)) owner_.holder_.at(budget).give_back(now);
        }
    }

    void free_places(const std::vector<std::size_t>& budgets, Time began, bool known) {
        const Time now = owner_.clock_.now();
        for (const std::size_t budget : budgets) {
            if (owner_.counts(budget) == Counts::concurrency)
                owner_.holder_.at(budget).free_place(known, began, now);
        }
    }

    Admission& owner_;
    const std::vector<std::size_t> budgets_;
    std::vector<int> waiting_;  // allowed, neither begun nor ended
    std::vector<Begun> begun_;
    std::size_t lacking_ = 0;
    int next_ = 0;   // how many have begun
    int aside_ = 0;  // for so many of the next that begin; as many as are waiting, or one more
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
    if (!held->set_aside()) {
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
    holder_.on_want(budget, now);
    on_want_();
}

}  // namespace flaxdoor::budget
