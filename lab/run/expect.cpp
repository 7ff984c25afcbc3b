#include "run/expect.h"

#include <algorithm>
#include <cstdio>

namespace flaxdoor::lab {

namespace {

using Of = Expectation::Of;

std::string number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", value);
    return text;
}
std::string seconds(double value) { return number(value) + " s"; }

std::string words_of(const Expectation& e) {
    const std::string on = e.on.empty() ? "" : " of " + e.on;
    const std::string limit = number(e.most_or_least);
    const std::string span = seconds(static_cast<double>(e.span.count()) / 1e6);
    switch (e.of) {
        case Of::rules: return "no rule is broken";
        case Of::served: return "service" + on + " is at least " + limit;
        case Of::answered: return "of calls" + on + " at least " + limit + " are served";
        case Of::refused: return "of calls" + on + " at most " + limit + " are refused";
        case Of::failed: return "of calls" + on + " at most " + limit + " fail";
        case Of::p99: return "p99" + on + " is at most " + span;
        case Of::recovers: return "service is full within " + span + " of the end of " + e.on;
        case Of::falls: return "at most " + limit + " cold servers fall";
        case Of::memory: return "open calls grow at most " + limit + "-fold";
    }
    return "";
}

// The seconds of whom the expectation is about.
const std::vector<Tally>* seconds_of(const Expectation& e, const Terms& terms, const Figures& figures) {
    if (e.on.empty()) return &figures.seconds;
    for (std::size_t c = 0; c < terms.classes.size(); ++c) {
        if (terms.classes[c].name == e.on) return &figures.by_class[c];
    }
    for (std::size_t t = 0; t < terms.tenants.size(); ++t) {
        if (terms.tenants[t] == e.on) return &figures.by_tenant[t];
    }
    return &figures.seconds;
}

// From a trouble's end to the first second from which on three have 0.99 of the service of the five before
// it.
double recovers_after(const Terms& terms, const Figures& figures, const std::string& name) {
    const auto trouble = std::find_if(terms.troubles.begin(), terms.troubles.end(),
                                      [&](const auto& t) { return t.name == name; });
    if (trouble == terms.troubles.end()) return 0;
    const auto begin = static_cast<std::size_t>(trouble->at_us / 1'000'000);
    const auto end = static_cast<std::size_t>((trouble->at_us + trouble->lasts_us + 999'999) / 1'000'000);
    Tally before;
    for (std::size_t s = begin > 5 ? begin - 5 : 0; s < std::min(begin, figures.seconds.size()); ++s) {
        before.add(figures.seconds[s]);
    }
    for (std::size_t s = end; s + 3 <= figures.seconds.size(); ++s) {
        Tally three;
        for (std::size_t i = s; i < s + 3; ++i) three.add(figures.seconds[i]);
        if (three.service() >= 0.99 * before.service()) return static_cast<double>(s - end);
    }
    return 1e9;
}

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
    for (const Expectation& e : experiment.expectations) {
        const Tally sum = Figures::sum(*seconds_of(e, terms, figures), figures.settles);
        const auto share = [&](std::uint64_t of) { return sum.share(of); };
        const auto at_least = [&](double found) {
            all.push_back({words_of(e), found >= e.most_or_least, number(found)});
        };
        const auto at_most = [&](double found) {
            all.push_back({words_of(e), found <= e.most_or_least, number(found)});
        };
        const auto within = [&](double found) {
            all.push_back({words_of(e), found <= static_cast<double>(e.span.count()) / 1e6,
                           found > 1e8 ? "never" : seconds(found)});
        };
        switch (e.of) {
            case Of::rules: {
                std::uint64_t broken = 0;
                for (const auto count : findings.counts.broken) broken += count;
                std::string found = std::to_string(broken) + " broken";
                if (figures.faults > 0)
                    found += ", and the cores told of " + std::to_string(figures.faults) + " faults";
                all.push_back({words_of(e), broken == 0 && figures.faults == 0, std::move(found)});
                break;
            }
            case Of::served: at_least(sum.service()); break;
            case Of::answered: at_least(share(sum.served)); break;
            case Of::refused: at_most(share(sum.refused)); break;
            case Of::failed: at_most(share(sum.failed)); break;
            case Of::p99: {
                const standins::Latencies* latency = &figures.latency_all;
                for (std::size_t c = 0; c < terms.classes.size(); ++c) {
                    if (terms.classes[c].name == e.on) latency = &figures.latency[c];
                }
                within(static_cast<double>(latency->quantile(0.99).count()) / 1e6);
                break;
            }
            case Of::recovers: within(recovers_after(terms, figures, e.on)); break;
            case Of::falls: at_most(static_cast<double>(figures.falls)); break;
            case Of::memory: at_most(open_growth(figures)); break;
        }
    }
    return all;
}

}  // namespace flaxdoor::lab
