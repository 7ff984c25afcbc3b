#include "tally.h"

#include <algorithm>
#include <cstdio>

namespace flaxdoor::standins {

std::string_view name_of(Outcome outcome) {
    switch (outcome) {
        case Outcome::served: return "served";
        case Outcome::refused: return "refused";
        case Outcome::failed: return "failed";
        case Outcome::foreign: return "foreign";
        case Outcome::broken: return "broken";
        case Outcome::late: return "late";
        case Outcome::unanswered: return "unanswered";
        case Outcome::left: return "left";
    }
    return "?";
}

void ClassTally::merge(const ClassTally& other) {
    calls += other.calls;
    again += other.again;
    resent += other.resent;
    for (std::size_t i = 0; i < outcomes; ++i) by_outcome[i] += other.by_outcome[i];
    served.merge(other.served);
    answered.merge(other.answered);
}

ClassTally ClientReport::total() const {
    ClassTally sum;
    for (const auto& [name, tally] : classes) sum.merge(tally);
    return sum;
}

std::string ClientReport::table() const {
    std::string text;
    char line[320];
    std::snprintf(line, sizeof line, "%-14s %9s %9s %8s %7s %7s %7s %7s %7s %6s %9s %9s %9s\n", "class",
                  "calls", "served", "refused", "failed", "foreign", "broken", "late", "unansw", "left",
                  "p50 ms", "p99 ms", "p99.9 ms");
    text += line;
    const auto row = [&](const std::string& name, const ClassTally& t) {
        const auto ms = [&](double q) { return static_cast<double>(t.served.quantile(q).count()) / 1000.0; };
        const auto n = [&](Outcome o) { return static_cast<unsigned long long>(t[o]); };
        std::snprintf(line, sizeof line,
                      "%-14s %9llu %9llu %8llu %7llu %7llu %7llu %7llu %7llu %6llu %9.3f %9.3f %9.3f\n",
                      name.substr(0, 64).c_str(), static_cast<unsigned long long>(t.calls),
                      n(Outcome::served), n(Outcome::refused), n(Outcome::failed), n(Outcome::foreign),
                      n(Outcome::broken), n(Outcome::late), n(Outcome::unanswered), n(Outcome::left), ms(0.5),
                      ms(0.99), ms(0.999));
        text += line;
    };
    for (const auto& [name, tally] : classes) row(name, tally);
    const auto sum = total();
    row("all", sum);
    std::snprintf(
        line, sizeof line,
        "%.2f s, %.0f calls/s, %llu connections (%llu failed), surplus %llu, garbled %llu, not sent %llu, "
        "sent again %llu, lag %.3f ms, seed %llu\n",
        seconds, seconds > 0 ? static_cast<double>(sum.calls) / seconds : 0.0,
        static_cast<unsigned long long>(connections), static_cast<unsigned long long>(connects_failed),
        static_cast<unsigned long long>(surplus), static_cast<unsigned long long>(garbled),
        static_cast<unsigned long long>(not_sent), static_cast<unsigned long long>(sum.again + sum.resent),
        static_cast<double>(lag_most.count()) / 1000.0, static_cast<unsigned long long>(seed));
    text += line;
    return text;
}

}  // namespace flaxdoor::standins
