// Converts the operator's settings into the budgets' configuration. The coordinator and the balancers use the
// same one.
//
// Threading: pure function.   Errors: none from the settings, which have been checked
//            (settings/tables/budget.h). Requires a [budget] table; std::logic_error otherwise.
#pragma once

#include "budget/terms.h"
#include "settings/values.h"

namespace flaxdoor::coordinator {

[[nodiscard]] budget::BudgetConfig terms_of(const settings::Values& values);

}  // namespace flaxdoor::coordinator
