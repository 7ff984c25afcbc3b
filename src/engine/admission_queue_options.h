// Computes the options of the admission queue from the platform's settings (which tenants and classes exist) and the
// operator's file (their limits and weights). No state; may be called on any thread.
#pragma once

#include <functional>
#include <string>

#include "door/door.h"
#include "flaxdoor/decide.h"
#include "settings/values.h"

namespace flaxdoor::engine {

// `log` receives a message for each row of a tenant or class that the platform does not name.
[[nodiscard]] door::Terms admission_queue_options(const Settings& settings, const settings::Values& operators,
                                                  const std::function<void(const std::string&)>& log);

}  // namespace flaxdoor::engine
