// Checks the results of a world against the expectations of its experiment. Pure functions.
#pragma once

#include <string>
#include <vector>

#include "experiment/experiment.h"
#include "judge/findings.h"
#include "run/figures.h"

namespace flaxdoor::lab {

// The result of one expectation.
struct Met {
    std::string expectation;  // as text for people
    bool met = false;
    std::string found;  // the measured value, as text
};

// Returns one result for each expectation, in the experiment's order.
std::vector<Met> meets(const Experiment& experiment, const Terms& terms, const Figures& figures,
                       const Findings& findings);

}  // namespace flaxdoor::lab
