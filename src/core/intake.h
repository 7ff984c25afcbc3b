// Where a front hands in its calls: the core itself, or whoever stands ahead of it and holds some back.
//
// Threading and re-entrancy: as of the core's own functions of these names (core.h).
#pragma once

#include "core/core.h"

namespace flaxdoor::core {

class Intake {
public:
    virtual ~Intake() = default;
    // The id is the intake's own, not the core's.
    [[nodiscard]] virtual Taken take(Call call, Front& front, std::uint64_t token, CallId* id) = 0;
    virtual void leave(CallId call) = 0;
};

}  // namespace flaxdoor::core
