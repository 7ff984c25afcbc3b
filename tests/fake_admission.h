// A core::Admission whose decisions the test sets. It shows what the core does with calls and attempts that
// an admission rejects, whatever listener a call arrived at.
#pragma once

#include <limits>
#include <memory>
#include <string>

#include "core/core.h"

namespace flaxdoor::test {

// Returns options with this admission; null: without one.
inline core::Options options_with(core::Admission* admission) {
    core::Options options;
    options.admission = admission;
    return options;
}

class FakeAdmission final : public core::Admission {
public:
    static constexpr int no_limit = std::numeric_limits<int>::max();

    int remaining_calls = no_limit;                // calls that may still be admitted
    int remaining_retries = no_limit;              // attempts after a call's first that may still begin
    Micros retry_delay = std::chrono::seconds(7);  // retry delay advised to rejected calls
    Micros whole_attempt_limit{};                  // of each admitted call; zero: none
    int refused = 0;                               // calls and attempts rejected so far

    core::AdmissionResult admit(core::Call& call, const std::string&, const Settings&, Time) override {
        call.whole_attempt_limit = whole_attempt_limit;
        core::AdmissionResult admitted;
        if (remaining_calls <= 0) {
            ++refused;
            admitted.refused = true;
            admitted.retry_after = retry_delay;
            return admitted;
        }
        if (remaining_calls != no_limit) --remaining_calls;
        admitted.permits = std::make_unique<QuotaPermits>(*this);
        return admitted;
    }

private:
    struct QuotaPermits final : core::CallPermits {
        explicit QuotaPermits(FakeAdmission& quota) : owner(quota) {}
        bool reserve(int attempt, Time) override {
            if (attempt == 0) return true;
            if (owner.remaining_retries <= 0) {
                ++owner.refused;
                return false;
            }
            if (owner.remaining_retries != no_limit) --owner.remaining_retries;
            return true;
        }
        bool commit(int, Time) override { return true; }
        void release(int, bool, Time) override {}
        Micros remaining(int) const override { return {}; }
        Micros retry_after(Time) override { return owner.retry_delay; }
        FakeAdmission& owner;
    };
};

}  // namespace flaxdoor::test
