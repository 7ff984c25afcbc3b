#include "judge.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <utility>

namespace flaxdoor::judge {

namespace {

constexpr Microseconds never = std::numeric_limits<Microseconds>::max();

std::string text_of(Amount amount) {
    return "[" + std::to_string(amount.rate) + ", " + std::to_string(amount.size) + "]";
}

bool exceeds(Amount amount, Amount whole) { return amount.rate > whole.rate || amount.size > whole.size; }

// Returns how long the larger whole counts after a change.
Microseconds transition(const Terms& terms, const Budget& budget) {
    const auto stretched = [&](Microseconds time) {
        return static_cast<Microseconds>(std::ceil(static_cast<double>(time) * (1 + terms.drift))) + 1;
    };
    return stretched(terms.term) + (budget.counts == Counts::concurrency ? stretched(terms.longest) : 0);
}

// Returns the largest whole at any time in [from, to], including wholes that were replaced less than a
// transition before.
Amount whole_in(const Terms& terms, const Budget& budget, Microseconds from, Microseconds to) {
    Amount largest;
    const Microseconds transition_time = transition(terms, budget);
    for (std::size_t i = 0; i < budget.wholes.size(); ++i) {
        const Microseconds replaced_at =
            i + 1 < budget.wholes.size() ? budget.wholes[i + 1].from + transition_time : never;
        if (budget.wholes[i].from > to && i > 0) break;
        if (replaced_at <= from) continue;
        largest.rate = std::max(largest.rate, budget.wholes[i].amount.rate);
        largest.size = std::max(largest.size, budget.wholes[i].amount.size);
    }
    return largest;
}

// A grant of the budget, and until when it counts.
struct CountedGrant {
    const Grant* grant;
    Microseconds counts_until;
};

std::vector<CountedGrant> counted_grants(const Terms& terms, const Budget& budget, const Log& log) {
    std::map<std::pair<std::string, std::string>, std::vector<const HolderReport*>> reports_by_process;
    for (const HolderReport& each : log.holder_reports)
        reports_by_process[{each.holder, each.instance}].push_back(&each);
    // Grants of each process for all budgets, in the order of the log: a fencing token may have no grant of
    // this budget.
    std::map<std::pair<std::string, std::string>, std::vector<const Grant*>> by_process;
    for (const Grant& each : log.grants) by_process[{each.holder, each.instance}].push_back(&each);
    const Microseconds extra_hold =
        budget.counts == Counts::concurrency
            ? static_cast<Microseconds>(static_cast<double>(terms.longest) * (1 - terms.drift))
            : 0;
    std::vector<CountedGrant> all;
    for (const auto& [process, grants] : by_process) {
        const auto reports = reports_by_process.find(process);
        for (std::size_t i = 0; i < grants.size(); ++i) {
            const Grant& grant = *grants[i];
            if (grant.budget != budget.name) continue;
            Microseconds counts_until = grant.until + extra_hold;
            if (reports != reports_by_process.end()) {
                for (const HolderReport* each : reports->second) {
                    if (each->taken > grant.fence || (each->leaving && each->at >= grant.at))
                        counts_until = std::min(counts_until, std::max(each->at, grant.at));
                }
            } else {
                std::set<Fence> later;
                for (std::size_t j = i + 1; j < grants.size() && later.size() < 2; ++j) {
                    if (grants[j]->fence > grant.fence && later.insert(grants[j]->fence).second &&
                        later.size() == 2) {
                        counts_until = std::min(counts_until, grants[j]->at);
                    }
                }
            }
            all.push_back({&grant, counts_until});
        }
    }
    std::sort(all.begin(), all.end(),
              [](const CountedGrant& a, const CountedGrant& b) { return a.grant->at < b.grant->at; });
    return all;
}

bool matches(const Budget& budget, const Attempt& attempt) {
    return (budget.tenant.empty() || budget.tenant == attempt.tenant) &&
           (budget.of_class.empty() || budget.of_class == attempt.of_class);
}

// Returns the attempts that took a permit, in the order of their first bytes.
std::vector<const Attempt*> attempts_with_permit(const Budget& budget, const Log& log) {
    std::vector<const Attempt*> all, with_permit;
    for (const Attempt& each : log.attempts) {
        if (matches(budget, each)) all.push_back(&each);
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const Attempt* a, const Attempt* b) { return a->begun < b->begun; });
    std::set<std::string> calls;
    for (const Attempt* each : all) {
        const bool first = calls.insert(each->call).second;
        if (budget.counts == Counts::requests && !first) continue;
        if (budget.counts == Counts::retries && first) continue;
        with_permit.push_back(each);
    }
    return with_permit;
}

std::vector<Finding> concurrency_findings(const Terms& terms, const Budget& budget, const Log& log) {
    std::vector<std::pair<Microseconds, int>> steps;
    for (const Attempt* each : attempts_with_permit(budget, log)) {
        steps.emplace_back(each->begun, 1);
        steps.emplace_back(std::max(each->ended, each->begun), -1);
    }
    std::sort(steps.begin(), steps.end());  // at the same time, ends sort before begins
    std::int64_t running = 0;
    for (const auto& [at, step] : steps) {
        running += step;
        const Amount whole = whole_in(terms, budget, at, at);
        if (running > whole.size) {
            return {{at, budget.name + ": " + std::to_string(running) + " attempts at once of " +
                             std::to_string(whole.size)}};
        }
    }
    return {};
}

std::vector<Finding> rate_findings(const Terms& terms, const Budget& budget, const Log& log) {
    const auto all = attempts_with_permit(budget, log);
    std::vector<Microseconds> earliest;
    for (const Attempt* each : all)
        earliest.push_back(
            std::min(each->begun, std::max(each->sent, each->begun - terms.max_permit_to_first_byte)));
    // The tokens that could accrue since the earliest attempt.
    const Microseconds start = all.empty() ? 0 : *std::min_element(earliest.begin(), earliest.end());
    std::set<Microseconds> edges;
    for (const Whole& each : budget.wholes) {
        edges.insert(each.from);
        edges.insert(each.from + transition(terms, budget));
    }
    const auto tokens_accrued_until = [&](Microseconds to) {  // in billionths of a permit
        std::int64_t sum = 0;
        Microseconds from = start;
        for (const Microseconds edge : edges) {
            if (edge <= from || edge >= to) continue;
            sum += whole_in(terms, budget, from, from).rate * (edge - from);
            from = edge;
        }
        return sum + whole_in(terms, budget, from, from).rate * (to - from);
    };
    constexpr std::int64_t permit = 1'000'000'000;
    std::vector<std::int64_t> accrued_until_begin;
    for (const Attempt* each : all) accrued_until_begin.push_back(tokens_accrued_until(each->begun));
    for (std::size_t i = 0; i < all.size(); ++i) {
        const Microseconds from = earliest[i];
        const std::int64_t before = tokens_accrued_until(from);
        std::int64_t count = 0;
        for (std::size_t j = 0; j < all.size(); ++j) {
            if (earliest[j] < from) continue;
            ++count;
            const std::int64_t available = accrued_until_begin[j] - before;
            if (count * permit <= available) continue;
            const std::int64_t size = whole_in(terms, budget, from, all[j]->begun).size;
            if ((count - size) * permit > available) {
                return {{all[j]->begun, budget.name + ": " + std::to_string(count) + " permits in " +
                                            std::to_string(all[j]->begun - from) + " us, " +
                                            std::to_string(available / permit + size) + " are available"}};
            }
        }
    }
    return {};
}

}  // namespace

std::vector<Finding> grant_findings(const Terms& terms, const Budget& budget, const Log& log) {
    std::vector<Finding> found;
    Fence last;
    std::string last_process;
    Microseconds last_at = 0;
    for (const Grant& each : log.grants) {
        const std::string process = each.holder + "/" + each.instance;
        const bool same_reply = each.fence == last && process == last_process && each.at - last_at < 1000;
        if (each.fence < last || (each.fence == last && !same_reply)) {
            found.push_back(
                {each.at, "the fence of a grant to " + process + " is not above the previous one"});
            break;
        }
        last = each.fence;
        last_process = process;
        last_at = each.at;
    }
    const auto counted = counted_grants(terms, budget, log);
    std::set<Microseconds> moments;
    for (const CountedGrant& each : counted) moments.insert(each.grant->at);
    for (const Whole& each : budget.wholes) moments.insert(each.from + transition(terms, budget));
    for (const Microseconds at : moments) {
        std::map<std::pair<std::string, std::string>, Amount> by_process;
        for (const CountedGrant& each : counted) {
            if (each.grant->at > at) break;
            if (each.counts_until <= at) continue;
            Amount& largest = by_process[{each.grant->holder, each.grant->instance}];
            largest.rate = std::max(largest.rate, each.grant->share.rate);
            largest.size = std::max(largest.size, each.grant->share.size);
        }
        Amount sum{budget.reserve.rate * budget.balancers, budget.reserve.size * budget.balancers};
        for (const auto& [process, share] : by_process) {
            sum.rate += share.rate;
            sum.size += share.size;
        }
        const Amount whole = whole_in(terms, budget, at, at);
        if (!exceeds(sum, whole)) continue;
        std::string holders;
        for (const auto& [process, share] : by_process)
            holders += ", " + process.first + " " + text_of(share);
        found.push_back({at, budget.name + ": shares of " + text_of(sum) + " are in force, the whole is " +
                                 text_of(whole) + holders});
        break;
    }
    return found;
}

std::vector<Finding> work_findings(const Terms& terms, const Budget& budget, const Log& log) {
    return budget.counts == Counts::concurrency ? concurrency_findings(terms, budget, log)
                                                : rate_findings(terms, budget, log);
}

std::vector<Finding> findings(const Terms& terms, const Budget& budget, const Log& log) {
    auto all = grant_findings(terms, budget, log);
    for (auto& each : work_findings(terms, budget, log)) all.push_back(std::move(each));
    return all;
}

std::int64_t count_permits(const Budget& budget, const Log& log, Microseconds from, Microseconds to) {
    const auto all = attempts_with_permit(budget, log);
    return std::count_if(all.begin(), all.end(),
                         [&](const Attempt* each) { return from <= each->begun && each->begun < to; });
}

std::optional<Microseconds> time_until_used(const Budget& budget, const Log& log, Microseconds from,
                                            Microseconds window, double share) {
    const auto all = attempts_with_permit(budget, log);
    for (std::size_t i = 0; i < all.size(); ++i) {
        const Microseconds end = all[i]->begun;
        if (end - window < from) continue;
        Amount whole;
        for (const Whole& each : budget.wholes) {
            if (each.from <= end || &each == &budget.wholes.front()) whole = each.amount;
        }
        std::int64_t count = 0;
        for (std::size_t j = i + 1; j-- > 0 && all[j]->begun > end - window;) ++count;
        if (static_cast<double>(count) * 1e9 >=
            share * static_cast<double>(whole.rate) * static_cast<double>(window)) {
            return end - from;
        }
    }
    return std::nullopt;
}

std::vector<Grant> read_grants(std::istream& in) {
    std::vector<Grant> all;
    std::string line;
    for (int number = 1; std::getline(in, line); ++number) {
        if (in.eof()) break;  // no line end: the line is incomplete
        try {
            const auto object = nlohmann::json::parse(line);
            const auto& share = object.at("share");
            all.push_back({object.at("time_us"),
                           object.at("until_us"),
                           object.at("holder"),
                           object.at("instance"),
                           {object.at("epoch"), object.at("seq")},
                           object.at("budget"),
                           {share.at(0), share.at(1)}});
        } catch (const nlohmann::json::exception& error) {
            throw std::runtime_error("grants, line " + std::to_string(number) + ": " + error.what());
        }
    }
    return all;
}

}  // namespace flaxdoor::judge
