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

class Quota final : public core::Admission {
public:
    static constexpr int no_limit = std::numeric_limits<int>::max();

    int calls = no_limit;                        // calls that may still be admitted
    int further = no_limit;                      // attempts after a call's first that may still begin
    Micros come_back = std::chrono::seconds(7);  // retry delay advised to rejected calls
    int refused = 0;                             // calls and attempts rejected so far

    core::Admitted admit(core::Call&, const std::string&, const Settings&, Time) override {
        core::Admitted admitted;
        if (calls <= 0) {
            ++refused;
            admitted.refused = true;
            admitted.retry_after = come_back;
            return admitted;
        }
        if (calls != no_limit) --calls;
        admitted.permits = std::make_unique<QuotaPermits>(*this);
        return admitted;
    }

private:
    struct QuotaPermits final : core::Permits {
        explicit QuotaPermits(Quota& quota) : owner(quota) {}
        bool allow(int attempt, Time) override {
            if (attempt == 0) return true;
            if (owner.further <= 0) {
                ++owner.refused;
                return false;
            }
            if (owner.further != no_limit) --owner.further;
            return true;
        }
        bool begin(int, Time) override { return true; }
        void end(int, bool, Time) override {}
        Micros retry_after(Time) override { return owner.come_back; }
        Quota& owner;
    };
};

}  // namespace flaxdoor::test
