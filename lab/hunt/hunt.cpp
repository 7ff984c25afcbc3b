#include "hunt/hunt.h"

#include <algorithm>
#include <exception>
#include <mutex>
#include <thread>

#include "experiment/keys.h"
#include "random/stream.h"
#include "run/runner.h"
#include "settings/reader.h"

namespace flaxdoor::lab {

namespace {

using settings::Row;
using settings::Value;
using settings::Values;

std::vector<std::string> failures_of(const Experiment& experiment, const std::atomic<bool>* stop) {
    std::vector<std::string> all;
    const auto cell = play_cell(experiment, "", stop);
    if (!cell) return all;
    for (const Broken& each : cell->findings.broken()) {
        all.push_back("rule on " + std::string(text_of(each.rule)) + ": " + each.what);
        if (all.size() >= 5) break;
    }
    // A check in the core prevented a violation by the policy module.
    if (cell->figures.faults > 0)
        all.push_back("fault of a core: " + std::to_string(cell->figures.faults) + " times");
    for (const Met& each : cell->met) {
        if (!each.met) all.push_back("not met: " + each.expectation + "; found " + each.found);
    }
    return all;
}

// Returns the subject of a failure's sentence. Two worlds show the same failure if they share a subject.
std::string subject(const std::string& sentence) {
    return sentence.substr(0, sentence.find_first_of(":;", 9));
}

bool shows_one_of(const std::vector<std::string>& wrong, const std::vector<std::string>& subjects) {
    return std::any_of(wrong.begin(), wrong.end(), [&](const std::string& each) {
        return std::find(subjects.begin(), subjects.end(), subject(each)) != subjects.end();
    });
}

Value between(const Value& least, const Value& most, Stream& stream) {
    if (const auto* const low = std::get_if<std::int64_t>(&least)) {
        const auto span = static_cast<std::uint64_t>(std::get<std::int64_t>(most) - *low) + 1;
        return *low + static_cast<std::int64_t>(stream.below(span));
    }
    if (const auto* const low = std::get_if<double>(&least)) {
        return *low + (std::get<double>(most) - *low) * stream.share();
    }
    const auto low = std::get<Micros>(least), high = std::get<Micros>(most);
    // Durations are rounded to whole milliseconds, which read better, if the range contains such a value.
    const auto drawn =
        low +
        Micros(static_cast<std::int64_t>(stream.below(static_cast<std::uint64_t>((high - low).count()) + 1)));
    const Micros rounded = std::chrono::floor<std::chrono::milliseconds>(drawn);
    return rounded >= low ? rounded : drawn;
}

Values without_ranges(Values values) {
    for (const char* const table : {"range", "axis"})
        values.parts()[values.schema().index_of(table)].rows.clear();
    return values;
}

// Returns all worlds that are one reduction step smaller. The most effective reductions come first.
std::vector<Values> reductions(const Values& values) {
    std::vector<Values> all;
    const auto remove_row = [&](const char* table, std::size_t least) {
        const std::size_t table_index = values.schema().index_of(table);
        const auto& rows = values.parts()[table_index].rows;
        for (std::size_t row = 0; rows.size() > least && row < rows.size(); ++row) {
            Values next = values;
            next.parts()[table_index].rows.erase(next.parts()[table_index].rows.begin() +
                                                 static_cast<std::ptrdiff_t>(row));
            all.push_back(std::move(next));
        }
    };
    const auto halved = [&](const char* table, const char* key, std::int64_t least) {
        const std::size_t table_index = values.schema().index_of(table);
        const std::size_t key_index = values.schema().tables()[table_index].index_of(key);
        for (std::size_t row = 0; row < values.parts()[table_index].rows.size(); ++row) {
            const Value& now = *values.parts()[table_index].rows[row].slots()[key_index].value;
            // One half, or three quarters if a half loses the failure.
            for (const double factor : {0.5, 0.75}) {
                Value next = now;
                if (const auto* const whole = std::get_if<std::int64_t>(&now)) {
                    const auto reduced = static_cast<std::int64_t>(static_cast<double>(*whole) * factor);
                    if (reduced < least || reduced == *whole) continue;
                    next = reduced;
                } else if (const auto* const real = std::get_if<double>(&now)) {
                    if (*real * factor < static_cast<double>(least)) continue;
                    next = *real * factor;
                } else {
                    const Micros reduced(static_cast<std::int64_t>(
                        static_cast<double>(std::get<Micros>(now).count()) * factor));
                    if (reduced < Micros(least)) continue;
                    next = reduced;
                }
                Values more = values;
                auto& slot = more.parts()[table_index].rows[row].slots()[key_index];
                slot.value = std::move(next);
                slot.given = true;
                all.push_back(std::move(more));
            }
        }
    };
    remove_row("trouble", 0);
    halved("experiment", "lasts", 1'000'000);
    halved("fleet", "balancers", 1);
    halved("servers", "count", 2);
    halved("clients", "rate", 1);
    halved("clients", "count", 1);
    remove_row("class", 1);
    remove_row("tenant", 0);
    remove_row("zone", 1);
    halved("trouble", "lasts", 1000);
    return all;
}

// Returns the lowest index below `count` for which `shows` is true. Several threads evaluate it concurrently.
template <typename Shows>
std::optional<std::size_t> find_first(std::size_t count, unsigned threads, const std::atomic<bool>* stop,
                                      Shows shows) {
    std::atomic<std::size_t> next{0}, found{count};
    std::mutex mutex;
    std::exception_ptr failure;
    const auto work = [&] {
        try {
            for (std::size_t i = next++; i < count && i < found; i = next++) {
                if (stop && stop->load()) return;
                if (!shows(i)) continue;
                for (std::size_t best = found; i < best && !found.compare_exchange_weak(best, i);) {
                }
            }
        } catch (...) {
            const std::lock_guard lock(mutex);
            if (!failure) failure = std::current_exception();
            next = count;
        }
    };
    {
        std::vector<std::jthread> others;
        for (unsigned t = 1; t < threads; ++t) others.emplace_back(work);
        work();
    }
    if (failure) std::rethrow_exception(failure);
    return found < count ? std::optional<std::size_t>(found) : std::nullopt;
}

}  // namespace

Hunt hunt(const Plan& plan, const HuntOptions& options) {
    Hunt result;
    std::atomic<std::size_t> played{0};
    const auto wrong = [&](const Values& values, std::uint64_t seed, const std::atomic<bool>* stop) {
        ++played;
        const Experiment experiment = experiment_of(values, seed);
        return options.wrong ? options.wrong(experiment) : failures_of(experiment, stop);
    };
    const auto tell = [&](const std::string& what) {
        if (options.tell) options.tell(what);
    };
    const auto drawn = [&](std::size_t number) {
        Stream stream(options.seed, Whose::hunt, number);
        Values values = plan.variants[number % plan.variants.size()].values;
        for (const Range& range : plan.ranges)
            set(values, range.place, between(range.least, range.most, stream));
        return without_ranges(std::move(values));
    };
    const auto seed_of = [&](std::size_t number) { return options.seed + number; };
    const auto is_valid = [](const Values& values) { return settings::check_values(values).empty(); };

    std::atomic<std::size_t> evaluated{0};
    const auto found = find_first(options.draws, options.threads, options.stop, [&](std::size_t i) {
        const Values values = drawn(i);
        const bool shows = is_valid(values) && !wrong(values, seed_of(i), options.stop).empty();
        if (!options.stop || !options.stop->load()) ++evaluated;
        return shows;
    });
    result.drawn = found ? *found + 1 : evaluated.load();
    if (found) {
        Values smallest = drawn(*found);
        const std::uint64_t seed = seed_of(*found);
        Prey prey;
        prey.draw = *found;
        // The reported failures are complete even if the hunt is to stop, so this world runs without `stop`.
        prey.wrong = wrong(smallest, seed, nullptr);
        std::vector<std::string> subjects;
        for (const std::string& each : prey.wrong) subjects.push_back(subject(each));
        tell("world " + std::to_string(*found) + ": " + (prey.wrong.empty() ? "" : prey.wrong.front()));
        // Counts the worlds that a single thread would run, so that the number of threads does not change the result.
        std::size_t left = options.shrinks;
        while (left > 0 && !(options.stop && options.stop->load())) {
            const auto candidates = reductions(smallest);
            const auto taken = find_first(
                std::min(candidates.size(), left), options.threads, options.stop, [&](std::size_t i) {
                    return is_valid(candidates[i]) &&
                           shows_one_of(wrong(candidates[i], seed, options.stop), subjects);
                });
            if (!taken) break;
            left -= *taken + 1;
            smallest = candidates[*taken];
            ++prey.steps;
            tell("smaller, step " + std::to_string(prey.steps));
        }
        if (prey.steps > 0) prey.wrong = wrong(smallest, seed, nullptr);
        const auto place = [&](const char* table, const char* key) {
            const std::size_t t = smallest.schema().index_of(table);
            return SettingPlace{t, smallest.schema().tables()[t].index_of(key), std::nullopt};
        };
        set(smallest, place("experiment", "first_seed"), static_cast<std::int64_t>(seed));
        set(smallest, place("experiment", "seeds"), std::int64_t{1});
        prey.file = toml_of(smallest);
        result.prey = std::move(prey);
    }
    result.played = played;
    return result;
}

}  // namespace flaxdoor::lab
