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
            // The mean of exp(N(m, s^2)) is exp(m + s^2 / 2).
            value = boost::random::lognormal_distribution<>(std::log(mean) - draw.shape * draw.shape / 2,
                                                            draw.shape)(stream);
            break;
        case Law::pareto:
            // The mean of a Pareto distribution with minimum x and shape a is x a / (a - 1).
            value = mean * (draw.shape - 1) / draw.shape / std::pow(1 - stream.share(), 1 / draw.shape);
            break;
    }
    return Micros(std::max<std::int64_t>(1, std::llround(std::min(value, 3.6e9))));
}

DrawnCall draw_call(const Experiment& experiment, std::uint64_t first) {
    Stream stream(experiment.seed, Whose::call, first);
    DrawnCall call;
    double sum = 0;
    for (const CallClass& call_class : experiment.classes) sum += call_class.share;
    double position = stream.share() * sum;
    call.class_index = static_cast<int>(experiment.classes.size()) - 1;
    for (std::size_t i = 0; i < experiment.classes.size(); ++i) {
        position -= experiment.classes[i].share;
        if (position >= 0) continue;
        call.class_index = static_cast<int>(i);
        break;
    }
    const CallClass& drawn_class = experiment.classes[static_cast<std::size_t>(call.class_index)];
    call.work = drawn(drawn_class.work, stream);
    if (drawn_class.told.effect == flaxdoor::Effect::keyed)
        call.key = static_cast<std::uint32_t>(stream()) | 1U;
    return call;
}

Stream stream_of_try(std::uint64_t seed, std::uint64_t first, int number) {
    return Stream(seed, Whose::call, first, 1 + static_cast<std::uint32_t>(number));
}

DrawnTry draw_try(const ClientModel& clients, Micros deadline, Stream& stream) {
    const double least = clients.patience_least;
    const auto of_deadline = [&](double share) {
        return Micros(static_cast<std::int64_t>(static_cast<double>(deadline.count()) * share));
    };
    DrawnTry request;
    // Whole milliseconds, the unit of the clients' time-budget header.
    request.patience = std::max<Micros>(
        std::chrono::milliseconds(1),
        std::chrono::floor<std::chrono::milliseconds>(of_deadline(least + (1 - least) * stream.share())));
    const bool leaves = stream.chance(clients.leave);
    const double leave_position = stream.share();
    if (leaves) request.leaves = of_deadline(least * leave_position);
    request.pick = stream.share();
    return request;
}

std::optional<Micros> asks_again(const ClientModel& clients, std::uint64_t seed, const Over& over) {
    if (clients.repeats == Repeats::none || over.number >= std::min(clients.repeats_most, 7))
        return std::nullopt;
    // A client does not retry an unsafe call that may have executed.
    if (over.unsafe && !over.refused) return std::nullopt;
    Stream stream(seed, Whose::network, over.call, 2);
    const double spread = 0.5 + stream.share();
    if (clients.repeats == Repeats::heeding && over.retry_after > Micros{0}) return over.retry_after;
    return Micros(static_cast<std::int64_t>(static_cast<double>(clients.wait.count()) * spread));
}

}  // namespace flaxdoor::lab
