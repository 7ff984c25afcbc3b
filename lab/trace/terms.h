// The terms of a world: its layout and the limits of its rules. They form the head of its trace, for the judge and
// the reports. They are plain values and deliberately not the policy module's settings, so that the judge shares no
// code with what it judges.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace flaxdoor::lab {

struct Terms {
    enum class Effect : std::uint8_t { safe, keyed, unsafe };
    struct Class {
        std::string name;
        Effect effect = Effect::safe;
        bool by_zone =
            false;  // keyed: only servers of the same zone drop duplicates; otherwise all servers do
        std::uint64_t window_us = 0;  // keyed: time for which servers drop duplicates
        std::uint64_t aim_us = 0, deadline_us = 0;
        double worth = 1, late_worth = 0;
        friend bool operator==(const Class&, const Class&) = default;
    };
    struct Trouble {
        std::string name;
        std::uint64_t at_us = 0, lasts_us = 0;
        friend bool operator==(const Trouble&, const Trouble&) = default;
    };
    std::string experiment, variant;
    std::uint64_t seed = 0;
    std::uint64_t lasts_us = 0;
    std::vector<Class> classes;
    std::vector<std::string> tenants;
    std::vector<std::string> zones;
    std::vector<std::uint8_t> server_zones;    // zone of server i, including servers that start later
    std::vector<std::uint8_t> balancer_zones;  // zone of balancer i
    std::uint32_t clients = 0;
    std::vector<Trouble> troubles;
    std::uint64_t answer_slack_us = 0;  // an answer is in time until this long after the client's timeout
    std::uint64_t drain_grace_us = 0;
    double cold_share = 1;  // initial capacity of a cold server, as a share of its warm capacity
    std::uint64_t ramp_us = 0;
    double fall_multiple = 0;  // 0: the rule does not apply
    std::uint64_t fall_span_us = 0;
    // Mean work of a call, for the allowance for random arrivals: a server that bears n calls of this work also
    // bears 3 * sqrt(n) + 3 more. 0: there is no allowance.
    double mean_work_us = 0;
    friend bool operator==(const Terms&, const Terms&) = default;
};

}  // namespace flaxdoor::lab
