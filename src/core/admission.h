// What a call needs beside the module's word: permits of budgets that are kept by whoever puts the core together. The
// core asks before it hands a call to the module, before each attempt, ahead of each attempt's first byte, and
// tells how it ended. What is refused here never ran, and is answered at once.
//
// Threading, re-entrancy: as of the core's ports (ports.h); none of these calls the core.
// Ownership: permits belong to their call and go with it, the admission outlives the core.
#pragma once

#include <memory>
#include <string>

#include "core/call.h"

namespace flaxdoor::core {

// Of one call. Destroyed when it is forgotten: attempts that had begun then have ends that nobody knows.
class Permits {
public:
    virtual ~Permits() = default;
    // Of an attempt that the module wants to make, by its number. False: there is none, and the call is over.
    [[nodiscard]] virtual bool allow(int attempt, Time now) = 0;
    // Its first byte is about to go out. False: what was allowed has ended since, nothing goes out, and the call is
    // over.
    [[nodiscard]] virtual bool begin(int attempt, Time now) = 0;
    // It has ended here. `known`: it has ended at its server too, or never began.
    virtual void end(int attempt, bool known, Time now) = 0;
    // When to come back, after a false; zero: not known.
    virtual Micros retry_after(Time now) = 0;
};

struct Admitted {
    std::unique_ptr<Permits> permits;  // may be null: the call needs none
    bool refused = false;
    Micros retry_after{};  // zero: not known
};

class Admission {
public:
    virtual ~Admission() = default;
    // May narrow the call (its attempt_limit).
    [[nodiscard]] virtual Admitted admit(Call& call, const std::string& pool, const Settings& settings,
                                         Time now) = 0;
};

}  // namespace flaxdoor::core
