// An admission that the test fills by hand: what the core is refused by one, whatever front a call came through.
#pragma once

#include <limits>
#include <memory>
#include <string>

#include "core/core.h"

namespace flaxdoor::test {

// `admission`: null: there is none.
inline core::Options options_with(core::Admission* admission) {
    core::Options options;
    options.admission = admission;
    return options;
}

class Quota final : public core::Admission {
public:
    static constexpr int no_limit = std::numeric_limits<int>::max();

    int calls = no_limit;    // that may still be taken
    int further = no_limit;  // attempts after a call's first
    Micros come_back = std::chrono::seconds(7);
    int refused = 0;

    core::Admitted admit(core::Call&, const std::string&, const Settings&, Time) override {
        core::Admitted admitted;
        if (calls <= 0) {
            ++refused;
            admitted.refused = true;
            admitted.retry_after = come_back;
            return admitted;
        }
        if (calls != no_limit) --calls;
        admitted.permits = std::make_unique<Held>(*this);
        return admitted;
    }

private:
    struct Held final : core::Permits {
        explicit Held(Quota& its) : owner(its) {}
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
