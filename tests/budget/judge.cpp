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

constexpr Us never = std::numeric_limits<Us>::max();

std::string text_of(Amount amount) {
    return "[" + std::to_string(amount.rate) + ", " + std::to_string(amount.size) + "]";
}

bool beyond(Amount amount, Amount whole) { return amount.rate > whole.rate || amount.size > whole.size; }

// For how long after a change of the whole the greater one counts.
Us transition(const Terms& terms, const Budget& budget) {
    const auto stretched = [&](Us time) {
        return static_cast<Us>(std::ceil(static_cast<double>(time) * (1 + terms.drift))) + 1;
    };
    return stretched(terms.term) + (budget.counts == Counts::concurrency ? stretched(terms.longest) : 0);
}

// The most that was the whole at any moment from `from` to `to`, and for a transition before.
Amount whole_in(const Terms& terms, const Budget& budget, Us from, Us to) {
    Amount most;
    const Us linger = transition(terms, budget);
    for (std::size_t i = 0; i < budget.wholes.size(); ++i) {
        const Us over = i + 1 < budget.wholes.size() ? budget.wholes[i + 1].from + linger : never;
        if (budget.wholes[i].from > to && i > 0) break;
        if (over <= from) continue;
        most.rate = std::max(most.rate, budget.wholes[i].amount.rate);
        most.size = std::max(most.size, budget.wholes[i].amount.size);
    }
    return most;
}

// One grant of the budget, and when it no longer counts.
struct Counted {
    const Grant* grant;
    Us over;
};

std::vector<Counted> counted_grants(const Terms& terms, const Budget& budget, const Log& log) {
    std::map<std::pair<std::string, std::string>, std::vector<const Told*>> told;
    for (const Told& each : log.told) told[{each.holder, each.instance}].push_back(&each);
    // Of one process, in the order in which they were written, whichever budget: one fence may leave this budget out.
    std::map<std::pair<std::string, std::string>, std::vector<const Grant*>> by_process;
    for (const Grant& each : log.grants) by_process[{each.holder, each.instance}].push_back(&each);
    const Us held_on = budget.counts == Counts::concurrency
                           ? static_cast<Us>(static_cast<double>(terms.longest) * (1 - terms.drift))
                           : 0;
    std::vector<Counted> all;
    for (const auto& [process, grants] : by_process) {
        const auto its = told.find(process);
        for (std::size_t i = 0; i < grants.size(); ++i) {
            const Grant& grant = *grants[i];
            if (grant.budget != budget.name) continue;
            Us over = grant.until + held_on;
            if (its != told.end()) {
                for (const Told* each : its->second) {
                    if (each->taken > grant.fence || (each->leaving && each->at >= grant.at))
                        over = std::min(over, std::max(each->at, grant.at));
                }
            } else {
                std::set<Fence> later;
                for (std::size_t j = i + 1; j < grants.size() && later.size() < 2; ++j) {
                    if (grants[j]->fence > grant.fence && later.insert(grants[j]->fence).second &&
                        later.size() == 2) {
                        over = std::min(over, grants[j]->at);
                    }
                }
            }
            all.push_back({&grant, over});
        }
    }
    std::sort(all.begin(), all.end(),
              [](const Counted& a, const Counted& b) { return a.grant->at < b.grant->at; });
    return all;
}

bool under(const Budget& budget, const Attempt& attempt) {
    return (budget.tenant.empty() || budget.tenant == attempt.tenant) &&
           (budget.of_class.empty() || budget.of_class == attempt.of_class);
}

// Those that took a permit, in the order of their coming.
std::vector<const Attempt*> takers(const Budget& budget, const Log& log) {
    std::vector<const Attempt*> all, taking;
    for (const Attempt& each : log.attempts) {
        if (under(budget, each)) all.push_back(&each);
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const Attempt* a, const Attempt* b) { return a->begun < b->begun; });
    std::set<std::string> calls;
    for (const Attempt* each : all) {
        const bool first = calls.insert(each->call).second;
        if (budget.counts == Counts::requests && !first) continue;
        if (budget.counts == Counts::retries && first) continue;
        taking.push_back(each);
    }
    return taking;
}

std::vector<Finding> too_many_at_once(const Terms& terms, const Budget& budget, const Log& log) {
    std::vector<std::pair<Us, int>> steps;
    for (const Attempt* each : takers(budget, log)) {
        steps.emplace_back(each->begun, 1);
        steps.emplace_back(std::max(each->ended, each->begun), -1);
    }
    std::sort(steps.begin(), steps.end());  // at one moment ends come first
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

std::vector<Finding> too_many_in_a_window(const Terms& terms, const Budget& budget, const Log& log) {
    const auto all = takers(budget, log);
    std::vector<Us> earliest;
    for (const Attempt* each : all)
        earliest.push_back(std::min(each->begun, std::max(each->sent, each->begun - terms.way)));
    // What could come in from the first moment on.
    const Us zero = all.empty() ? 0 : *std::min_element(earliest.begin(), earliest.end());
    std::set<Us> edges;
    for (const Whole& each : budget.wholes) {
        edges.insert(each.from);
        edges.insert(each.from + transition(terms, budget));
    }
    const auto income = [&](Us to) {  // in millionths of a thousandth
        std::int64_t sum = 0;
        Us at = zero;
        for (const Us edge : edges) {
            if (edge <= at || edge >= to) continue;
            sum += whole_in(terms, budget, at, at).rate * (edge - at);
            at = edge;
        }
        return sum + whole_in(terms, budget, at, at).rate * (to - at);
    };
    constexpr std::int64_t permit = 1'000'000'000;
    std::vector<std::int64_t> income_to;
    for (const Attempt* each : all) income_to.push_back(income(each->begun));
    for (std::size_t i = 0; i < all.size(); ++i) {
        const Us from = earliest[i];
        const std::int64_t before = income(from);
        std::int64_t count = 0;
        for (std::size_t j = 0; j < all.size(); ++j) {
            if (earliest[j] < from) continue;
            ++count;
            const std::int64_t may = income_to[j] - before;
            if (count * permit <= may) continue;
            const std::int64_t size = whole_in(terms, budget, from, all[j]->begun).size;
            if ((count - size) * permit > may) {
                return {{all[j]->begun, budget.name + ": " + std::to_string(count) + " permits in " +
                                            std::to_string(all[j]->begun - from) + " us, " +
                                            std::to_string(may / permit + size) + " are there"}};
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
    Us last_at = 0;
    for (const Grant& each : log.grants) {
        const std::string process = each.holder + "/" + each.instance;
        const bool same_reply = each.fence == last && process == last_process && each.at - last_at < 1000;
        if (each.fence < last || (each.fence == last && !same_reply)) {
            found.push_back({each.at, "the fence of a grant to " + process + " is not above the one before"});
            break;
        }
        last = each.fence;
        last_process = process;
        last_at = each.at;
    }
    const auto counted = counted_grants(terms, budget, log);
    std::set<Us> moments;
    for (const Counted& each : counted) moments.insert(each.grant->at);
    for (const Whole& each : budget.wholes) moments.insert(each.from + transition(terms, budget));
    for (const Us at : moments) {
        std::map<std::pair<std::string, std::string>, Amount> by_process;
        for (const Counted& each : counted) {
            if (each.grant->at > at) break;
            if (each.over <= at) continue;
            Amount& its = by_process[{each.grant->holder, each.grant->instance}];
            its.rate = std::max(its.rate, each.grant->share.rate);
            its.size = std::max(its.size, each.grant->share.size);
        }
        Amount sum{budget.reserve.rate * budget.balancers, budget.reserve.size * budget.balancers};
        for (const auto& [process, its] : by_process) {
            sum.rate += its.rate;
            sum.size += its.size;
        }
        const Amount whole = whole_in(terms, budget, at, at);
        if (!beyond(sum, whole)) continue;
        std::string who;
        for (const auto& [process, its] : by_process) who += ", " + process.first + " " + text_of(its);
        found.push_back({at, budget.name + ": shares of " + text_of(sum) + " are in force, the whole is " +
                                 text_of(whole) + who});
        break;
    }
    return found;
}

std::vector<Finding> work_findings(const Terms& terms, const Budget& budget, const Log& log) {
    return budget.counts == Counts::concurrency ? too_many_at_once(terms, budget, log)
                                                : too_many_in_a_window(terms, budget, log);
}

std::vector<Finding> findings(const Terms& terms, const Budget& budget, const Log& log) {
    auto all = grant_findings(terms, budget, log);
    for (auto& each : work_findings(terms, budget, log)) all.push_back(std::move(each));
    return all;
}

std::int64_t used(const Budget& budget, const Log& log, Us from, Us to) {
    const auto all = takers(budget, log);
    return std::count_if(all.begin(), all.end(),
                         [&](const Attempt* each) { return from <= each->begun && each->begun < to; });
}

std::optional<Us> until_use(const Budget& budget, const Log& log, Us from, Us window, double share) {
    const auto all = takers(budget, log);
    for (std::size_t i = 0; i < all.size(); ++i) {
        const Us end = all[i]->begun;
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
        if (in.eof()) break;  // no line end: it was not written to its end
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
