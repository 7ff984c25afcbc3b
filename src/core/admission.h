// Interface to limits beyond the policy's own, such as fleet budgets. The core asks for a permit before it
// hands a call to the policy, before each attempt, and ahead of each attempt's first byte, and reports how
// each attempt ended. A call that is denied a permit has not been executed, and is answered at once.
//
// Threading and re-entrancy: as for the core's ports (ports.h). No function here may call the core.
// Ownership: a call owns its permits; the admission must outlive the core.
#pragma once

#include <memory>
#include <string>

#include "core/call.h"

namespace flaxdoor::core {

// The permits of one call. Destroyed when the core drops the call. If an attempt has begun by then and its
// end was not reported, its outcome is unknown.
class CallPermits {
public:
    virtual ~CallPermits() = default;
    // Reserves a permit for an attempt that the policy wants to make. Returns false if there is none: the
    // call ends.
    [[nodiscard]] virtual bool reserve(int attempt, Time now) = 0;
    // Commits the attempt's permit just before its first byte is sent. Returns false if the reservation has
    // lapsed: nothing is sent, and the call ends.
    [[nodiscard]] virtual bool commit(int attempt, Time now) = 0;
    // Releases the permit of an attempt that has ended here. `known`: the attempt has ended at its server
    // too, or never began.
    virtual void release(int attempt, bool known, Time now) = 0;
    // Returns for how much longer the permit of an attempt that is under way is sure to be held. An attempt whose
    // answer has begun may go on for that time, beyond the call's whole_attempt_limit.
    virtual Micros remaining(int attempt) const = 0;
    // Returns after how long a client should retry a call that was denied a permit; zero if that is unknown.
    virtual Micros retry_after(Time now) = 0;
};

struct AdmissionResult {
    std::unique_ptr<CallPermits> permits;  // null if the call needs none
    bool refused = false;
    Micros retry_after{};  // zero: unknown
};

class Admission {
public:
    virtual ~Admission() = default;
    // May tighten the call's whole_attempt_limit.
    [[nodiscard]] virtual AdmissionResult admit(Call& call, const std::string& pool, const Settings& settings,
                                                Time now) = 0;
};

}  // namespace flaxdoor::core
