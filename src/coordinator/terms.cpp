#include "coordinator/terms.h"

#include "settings/tables/budget.h"

namespace flaxdoor::coordinator {

namespace {

namespace keys = settings::budget;

budget::Counts counts_of(keys::Counts counts) {
    switch (counts) {
        case keys::Counts::requests: return budget::Counts::requests;
        case keys::Counts::attempts: return budget::Counts::attempts;
        case keys::Counts::retries: return budget::Counts::retries;
        case keys::Counts::concurrency: return budget::Counts::concurrency;
    }
    return budget::Counts::requests;
}

budget::Amount amount_of(keys::Size size) { return {size.rate, size.size}; }

}  // namespace

budget::BudgetConfig terms_of(const settings::Values& values) {
    const auto& table = values.row("budget");
    budget::BudgetConfig terms;
    terms.expected_balancers = static_cast<int>(table.get(keys::balancers));
    terms.lease_term = table.get(keys::term);
    terms.max_clock_drift = table.get(keys::clock_drift);
    terms.max_attempt_duration = table.get(keys::longest_deadline);
    terms.max_holders = static_cast<std::size_t>(table.get(keys::max_processes));
    for (const auto& row : values.rows("budget_limit")) {
        budget::Budget each;
        each.name = row.get(keys::limit_name);
        each.counts = counts_of(row.get(keys::counts));
        each.tenant = row.get(keys::tenant).value_or("");
        each.of_class = row.get(keys::of_class).value_or("");
        each.pool = row.get(keys::pool).value_or("");
        each.whole = amount_of(keys::whole_of(row));
        each.reserve = amount_of(keys::reserve_of(row));
        terms.budgets.push_back(std::move(each));
    }
    return terms;
}

}  // namespace flaxdoor::coordinator
