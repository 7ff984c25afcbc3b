#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <cmath>

#include "fleet/parts.h"

namespace flaxdoor::lab {

Micros drawn(const Draw& draw, Stream& stream) {
    const auto mean = static_cast<double>(draw.mean.count());
    double value = mean;
    switch (draw.law) {
        case Law::fixed: break;
        case Law::exponential: value = boost::random::exponential_distribution<>(1 / mean)(stream); break;
        case Law::lognormal:
            // The mean of exp(N(m, s)) is exp(m + s^2 / 2).
            value = boost::random::lognormal_distribution<>(std::log(mean) - draw.shape * draw.shape / 2,
                                                            draw.shape)(stream);
            break;
        case Law::pareto:
            // The mean of a Pareto law from x on is x a / (a - 1).
            value = mean * (draw.shape - 1) / draw.shape / std::pow(1 - stream.share(), 1 / draw.shape);
            break;
    }
    return Micros(std::max<std::int64_t>(1, std::llround(std::min(value, 3.6e9))));
}

}  // namespace flaxdoor::lab
