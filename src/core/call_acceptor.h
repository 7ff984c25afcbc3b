// The interface through which the client side hands in its calls: implemented by whatever accepts calls ahead
// of the core, such as an admission queue that holds some back.
//
// Threading and re-entrancy: as for the functions of the same names in core.h.
#pragma once

#include "core/core.h"

namespace flaxdoor::core {

class CallAcceptor {
public:
    virtual ~CallAcceptor() = default;
    // The id is the acceptor's own, not the core's.
    [[nodiscard]] virtual AcceptResult accept_call(Call call, Downstream& front, std::uint64_t token,
                                                   CallId* id) = 0;
    virtual void abandon_call(CallId call) = 0;
};

}  // namespace flaxdoor::core
