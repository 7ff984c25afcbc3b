// The door's terms from the platform's settings (who there is) and the operator's file (what they get).
// `log` is told of rows for tenants and classes that the platform does not name. No state, any thread.
#pragma once

#include <functional>
#include <string>

#include "door/door.h"
#include "flaxdoor/decide.h"
#include "settings/values.h"

namespace flaxdoor::engine {

[[nodiscard]] door::Terms door_terms(const Settings& settings, const settings::Values& operators,
                                     const std::function<void(const std::string&)>& log);

}  // namespace flaxdoor::engine
