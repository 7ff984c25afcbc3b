// The schema of the operator's settings file: all tables of the balancer and of the coordinator.
#pragma once

#include "settings/schema.h"

namespace flaxdoor::settings {

Schema product_schema();

}  // namespace flaxdoor::settings
