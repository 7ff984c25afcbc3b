#include "run/expect.h"

#include <algorithm>
#include <cstdio>

namespace flaxdoor::lab {

namespace {

using Of = Expectation::Of;

std::string format_number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", value);
    return text;
}
std::string format_seconds(double value) { return format_number(value) + " s"; }

std::string describe(const Expectation& expectation) {
    const std::string on = expectation.on.empty() ? "" : " of " + expectation.on;
    const std::string limit = format_number(expectation.most_or_least);
    const std::string span = format_seconds(static_cast<double>(expectation.span.count()) / 1e6);
    switch (expectation.of) {
        case Of::rules: return "no rule is broken";
        case Of::served: return "service" + on + " is at least " + limit;
        case Of::answered: return "of calls" + on + " at least " + limit + " are served";
        case Of::refused: return "of calls" + on + " at most " + limit + " are refused";
        case Of::failed: return "of calls" + on + " at most " + limit + " fail";
        case Of::p99: return "p99" + on + " is at most " + span;
        case Of::recovers: return "service is full within " + span + " of the end of " + expectation.on;
        case Of::falls: return "at most " + limit + " cold servers fall";
        case Of::memory: return "open calls grow at most " + limit + "-fold";
    }
    return "";
}

// Returns the counts by second of the class or tenant that the expectation names, or of all calls.
const std::vector<Tally>* seconds_of(const Expectation& expectation, const Terms& terms,
                                     const Figures& figures) {
    if (expectation.on.empty()) return &figures.seconds;
    for (std::size_t index = 0; index < terms.classes.size(); ++index) {
        if (terms.classes[index].name == expectation.on) return &figures.by_class[index];
    }
    for (std::size_t index = 0; index < terms.tenants.size(); ++index) {
        if (terms.tenants[index] == expectation.on) return &figures.by_tenant[index];
    }
    return &figures.seconds;
}

// Returns the seconds from a trouble's end to recovery: the first second that starts three seconds with at least
// 0.99 of the service of the five seconds before the trouble. Returns 1e9 if there is no recovery.
double recovery_seconds(const Terms& terms, const Figures& figures, const std::string& name) {
    const auto trouble = std::find_if(terms.troubles.begin(), terms.troubles.end(),
                                      [&](const auto& candidate) { return candidate.name == name; });
    if (trouble == terms.troubles.end()) return 0;
    const auto begin = static_cast<std::size_t>(trouble->at_us / 1'000'000);
    const auto end = static_cast<std::size_t>((trouble->at_us + trouble->lasts_us + 999'999) / 1'000'000);
    Tally before;
    for (std::size_t second = begin > 5 ? begin - 5 : 0; second < std::min(begin, figures.seconds.size());
         ++second) {
        before.add(figures.seconds[second]);
    }
    for (std::size_t second = end; second + 3 <= figures.seconds.size(); ++second) {
        Tally three;
        for (std::size_t i = second; i < second + 3; ++i) three.add(figures.seconds[i]);
        if (three.service() >= 0.99 * before.service()) return static_cast<double>(second - end);
    }
    return 1e9;
}

// Returns the mean number of open calls in the last third of the run relative to that in the first third.
double open_growth(const Figures& figures) {
    const std::size_t third = figures.open.size() / 3;
    if (third == 0) return 1;
    const auto mean = [&](std::size_t from) {
        double sum = 0;
        for (std::size_t i = from; i < from + third; ++i) sum += figures.open[i];
        return sum / static_cast<double>(third);
    };
    return (mean(figures.open.size() - third) + 1) / (mean(0) + 1);
}

}  // namespace

std::vector<Met> meets(const Experiment& experiment, const Terms& terms, const Figures& figures,
                       const Findings& findings) {
    std::vector<Met> all;
    for (const Expectation& expectation : experiment.expectations) {
        const Tally sum = Figures::sum(*seconds_of(expectation, terms, figures), figures.settles);
        const auto share = [&](std::uint64_t of) { return sum.share(of); };
        const auto at_least = [&](double found) {
            all.push_back({describe(expectation), found >= expectation.most_or_least, format_number(found)});
        };
        const auto at_most = [&](double found) {
            all.push_back({describe(expectation), found <= expectation.most_or_least, format_number(found)});
        };
        const auto within = [&](double found) {
            all.push_back({describe(expectation),
                           found <= static_cast<double>(expectation.span.count()) / 1e6,
                           found > 1e8 ? "never" : format_seconds(found)});
        };
        switch (expectation.of) {
            case Of::rules: {
                std::uint64_t broken = 0;
                for (const auto count : findings.counts.broken) broken += count;
                std::string found = std::to_string(broken) + " broken";
                if (figures.faults > 0)
                    found += ", and the cores reported " + std::to_string(figures.faults) + " faults";
                all.push_back({describe(expectation), broken == 0 && figures.faults == 0, std::move(found)});
                break;
            }
            case Of::served: at_least(sum.service()); break;
            case Of::answered: at_least(share(sum.served)); break;
            case Of::refused: at_most(share(sum.refused)); break;
            case Of::failed: at_most(share(sum.failed)); break;
            case Of::p99: {
                const standins::Latencies* latency = &figures.latency_all;
                for (std::size_t index = 0; index < terms.classes.size(); ++index) {
                    if (terms.classes[index].name == expectation.on) latency = &figures.latency[index];
                }
                within(static_cast<double>(latency->quantile(0.99).count()) / 1e6);
                break;
            }
            case Of::recovers: within(recovery_seconds(terms, figures, expectation.on)); break;
            case Of::falls: at_most(static_cast<double>(figures.falls)); break;
            case Of::memory: at_most(open_growth(figures)); break;
        }
    }
    return all;
}

}  // namespace flaxdoor::lab
