// What a world's parts were told of the rules: the head of its trace, for the judge and the reports. Plain
// values; deliberately not the module's own settings, so that the judge shares nothing with what it judges.
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
        bool by_zone = false;         // keyed: servers of one zone drop repeats; else all servers together do
        std::uint64_t window_us = 0;  // keyed: for so long
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
    std::vector<std::uint8_t> server_zones;    // zone of server i, also of those that come later
    std::vector<std::uint8_t> balancer_zones;  // zone of balancer i
    std::uint32_t clients = 0;
    std::vector<Trouble> troubles;
    std::uint64_t answer_slack_us = 0;  // an answer counts so long after the client's time
    std::uint64_t drain_grace_us = 0;
    double cold_share = 1;  // of its warm capacity a cold server has at first
    std::uint64_t ramp_us = 0;
    double fall_multiple = 0;  // 0: the rule is not told
    std::uint64_t fall_span_us = 0;
    // What chance alone may add before a server falls: of n calls of this work, which are what it bears,
    // three times their root and three more. 0: nothing.
    double mean_work_us = 0;
    friend bool operator==(const Terms&, const Terms&) = default;
};

}  // namespace flaxdoor::lab
