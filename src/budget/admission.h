// The budgets at the core's admission (core/admission.h): which budgets a call falls under, and a permit of each.
//
// A call has to have a permit of every budget that it falls under; where one has none, those of the others are given back.
//
// Threading: the core's one thread.   Ownership: the holder and the clock are borrowed and outlive it; it outlives
//            the permits.
// Time:      the holder's own clock, which counts while the process is paused; the core's times are not looked at.
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
        std::uint64_t permits = 0;  // used
        std::uint64_t refused = 0;  // calls and further attempts, for want of one
        std::uint64_t lapsed = 0;   // attempts that were not begun since their permit had ended
    };
    // `on_want`: called when the holder wants to ask sooner than it did (Holder::next_request).
    Admission(Holder& holder, const core::Clock& clock, std::function<void()> on_want);
    ~Admission() override;

    core::Admitted admit(core::Call& call, const std::string& pool, const Settings& settings,
                         Time now) override;
    const std::vector<Figures>& figures() const { return figures_; }

private:
    class Held;
    Counts counts(std::size_t budget) const;
    Micros wait_for(std::size_t budget, Time now);
    void on_refused(std::size_t budget, Time now);

    Holder& holder_;
    const core::Clock& clock_;
    const std::function<void()> on_want_;
    std::vector<Figures> figures_;
};

}  // namespace flaxdoor::budget
