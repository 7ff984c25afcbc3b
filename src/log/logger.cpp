#include "log/logger.h"

#include <algorithm>

#include "log/events.h"
#include "settings/tables/log.h"

namespace flaxdoor::log {

namespace {

namespace keys = settings::log;
using core::Level;

constexpr std::array<std::optional<Level>, 5> levels{Level::debug, Level::info, Level::warning, Level::error,
                                                     std::nullopt};

// Its place in the table. One that is not there, which a test would have to make, shares the place of the module's.
std::size_t index_of(const core::Event& event) {
    const auto found = std::find(events::all.begin(), events::all.end(), &event);
    return found == events::all.end() ? 0 : static_cast<std::size_t>(found - events::all.begin());
}

// "EVENT=LEVEL"
std::variant<Options::Other, std::string> other_of(std::string_view text) {
    const auto equals = text.find('=');
    if (equals == text.npos) return "\"" + std::string(text) + "\" is not EVENT=LEVEL";
    const auto name = text.substr(0, equals), word = text.substr(equals + 1);
    const auto event = std::find_if(events::all.begin(), events::all.end(),
                                    [&](const auto* each) { return each->name == name; });
    if (event == events::all.end()) return "there is no event \"" + std::string(name) + "\"";
    const auto level = std::find(keys::level_words.begin(), keys::level_words.end(), word);
    if (level == keys::level_words.end()) return "there is no level \"" + std::string(word) + "\"";
    return Options::Other{static_cast<std::size_t>(event - events::all.begin()),
                          levels[static_cast<std::size_t>(level - keys::level_words.begin())]};
}

}  // namespace

std::variant<Options, settings::Faults> options_from(const settings::Values& values) {
    Options options;
    settings::Faults faults;
    const settings::Row& row = values.row("log");
    const settings::Row::Slot& list = row.slots()[row.table().index_of(keys::events.spec().name)];
    options.format = static_cast<Format>(row.get(keys::format));
    options.least = levels[static_cast<std::size_t>(row.get(keys::level))];
    for (const std::string& each : row.get(keys::events)) {
        auto other = other_of(each);
        if (auto* const fault = std::get_if<std::string>(&other)) {
            faults.add(
                {list.given ? list.key : row.place(), *fault, keys::events.text(),
                 "names are on the page docs/operators/log.md; levels are debug, info, warning, error, off"});
        } else {
            options.others.push_back(std::get<Options::Other>(other));
        }
    }
    options.rate = {row.get(keys::rate), row.get(keys::burst)};
    options.queue = {static_cast<std::size_t>(row.get(keys::queue_bytes).count),
                     static_cast<std::size_t>(row.get(keys::queue_lines))};
    if (!faults.empty()) return faults;
    return options;
}

Logger::Logger(Sink& sink, const core::Clock& clock)
    : sink_(sink), clock_(clock), limiter_(events::all.size()) {}

Logger::~Logger() {
    try {
        if (limiter_.owes()) tell_left_out(true);
        (void)flush();
    } catch (...) {  // no memory: the lines are lost
    }
}

void Logger::set(Options options) {
    options_ = std::move(options);
    limiter_.set(options_.rate);
    queue_.set(options_.queue);
}

std::optional<Level> Logger::level_of(std::size_t index) const {
    for (const auto& other : options_.others) {
        if (other.event == index) return other.level;
    }
    return events::all[index]->level;
}

void Logger::event(const core::Event& event, std::span<const core::Value> values) {
    const std::size_t index = index_of(event);
    const auto level = level_of(index);
    if (!level || !options_.least || *level < *options_.least) return;
    const bool was_waiting = waiting();
    const Time now = clock_.now();
    if (limiter_.owes()) tell_left_out(false);
    if (limiter_.take(index, now) && !put(index, event, values)) ++dropped_;
    if (!was_waiting && waiting() && on_waiting_) on_waiting_();
}

void Logger::retry() {
    if (limiter_.owes()) tell_left_out(false);
    (void)flush();
}

void Logger::tell_left_out(bool end) {
    limiter_.tell(clock_.now(), end, [this](std::size_t index, std::uint64_t count) {
        const std::array<core::Value, 2> values{count, events::all[index]->name};
        return put(index, events::log_left_out, values);
    });
}

// What waits goes first, then how many found no room beside it.
bool Logger::flush() {
    while (!queue_.empty()) {
        if (!sink_.take(queue_.front())) return false;
        queue_.pop();
    }
    if (dropped_ == 0) return sink_.pay();
    const std::array<core::Value, 1> values{dropped_};
    if (!sink_.take(
            line_of(options_.format, clock_.now(), events::log_dropped.level, events::log_dropped, values))) {
        return false;
    }
    dropped_ = 0;
    return true;
}

// Also after others were dropped it may wait: a flood that has used up its share costs the rare event nothing.
bool Logger::put(std::size_t index, const core::Event& event, std::span<const core::Value> values) {
    const std::string line = line_of(options_.format, clock_.now(),
                                     level_of(index_of(event)).value_or(event.level), event, values);
    return (flush() && sink_.take(line)) || queue_.push(index, line);
}

}  // namespace flaxdoor::log
