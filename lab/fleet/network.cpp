#include "fleet/network.h"

namespace flaxdoor::lab {

Micros Network::latency(int from, int to, Stream& stream) const {
    const auto& network = parts_.experiment.network;
    const Micros base = from == to ? network.local : network.between;
    if (network.jitter <= 0) return base;
    const double factor = 1 + network.jitter * (2 * stream.share() - 1);
    return Micros(static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
}

Micros Network::late_connect(Stream& stream) const {
    if (late_connect_ <= Micros{0}) return Micros{0};
    return Micros(static_cast<std::int64_t>(static_cast<double>(late_connect_.count()) * stream.share()));
}

}  // namespace flaxdoor::lab
