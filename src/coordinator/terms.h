// The operator's file as the terms of its budgets: the same for the coordinator and for balancers.
//
// Pure function; any thread.   Errors: none; the file has been checked (settings/tables/budget.h). Without [budget] asking
//                              is a fault of the program: std::logic_error.
#pragma once

#include "budget/terms.h"
#include "settings/values.h"

namespace flaxdoor::coordinator {

[[nodiscard]] budget::Terms terms_of(const settings::Values& operators);

}  // namespace flaxdoor::coordinator
