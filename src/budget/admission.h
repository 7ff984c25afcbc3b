// Applies the budgets at the core's admission (core/admission.h): selects the budgets that apply to a call
// and takes a permit of each.
//
// A call needs a permit of every budget that applies to it. If one budget has none, the permits of the others
// are released.
//
// Threading: the core's thread.   Ownership: the holder and the clock are borrowed and outlive the admission,
//            which outlives the permits.
// Time:      the holder's clock, which advances while the process is suspended; the core's times are ignored.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "budget/holder.h"
#include "core/admission.h"
#include "core/ports.h"

namespace flaxdoor::budget {

class Admission final : public core::Admission {
public:
    struct Figures {
        std::string budget;
        std::uint64_t permits = 0;  // committed
        std::uint64_t refused = 0;  // calls and later attempts that found no permit
        std::uint64_t lapsed = 0;   // attempts that were not started because their permit had been revoked
    };
    // `on_want` is called when the holder may want to send a request earlier (Holder::next_request).
    Admission(Holder& holder, const core::Clock& clock, std::function<void()> on_want);
    ~Admission() override;

    core::AdmissionResult admit(core::Call& call, const std::string& pool, const Settings& settings,
                                Time now) override;
    const std::vector<Figures>& figures() const { return figures_; }

private:
    class CallPermits;
    Counts counts(std::size_t budget) const;
    Micros retry_delay(std::size_t budget, Time now);
    void on_refused(std::size_t budget, Time now);

    Holder& holder_;
    const core::Clock& clock_;
    const std::function<void()> on_want_;
    std::vector<Figures> figures_;
};

}  // namespace flaxdoor::budget
