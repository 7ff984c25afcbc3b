// Whether a world came to what its experiment expects. Pure functions.
#pragma once

#include <string>
#include <vector>

#include "experiment/experiment.h"
#include "judge/findings.h"
#include "run/figures.h"

namespace flaxdoor::lab {

struct Met {
    std::string expectation;  // in words
    bool met = false;
    std::string found;
};

std::vector<Met> meets(const Experiment& experiment, const Terms& terms, const Figures& figures,
                       const Findings& findings);

}  // namespace flaxdoor::lab
