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

// Returns the event's index in events::all. An event that is not in the table (only a test could define one) shares the
// index of the module's event.
std::size_t index_of(const core::Event& event) {
    const auto found = std::find(events::all.begin(), events::all.end(), &event);
    return found == events::all.end() ? 0 : static_cast<std::size_t>(found - events::all.begin());
}

// Parses "EVENT=LEVEL". Returns a message on error.
std::variant<Options::LevelOverride, std::string> parse_override(std::string_view text) {
    const auto equals = text.find('=');
    if (equals == text.npos) return "\"" + std::string(text) + "\" is not EVENT=LEVEL";
    const auto name = text.substr(0, equals), word = text.substr(equals + 1);
    const auto event = std::find_if(events::all.begin(), events::all.end(),
                                    [&](const auto* each) { return each->name == name; });
    if (event == events::all.end()) return "there is no event \"" + std::string(name) + "\"";
    const auto level = std::find(keys::level_words.begin(), keys::level_words.end(), word);
    if (level == keys::level_words.end()) return "there is no level \"" + std::string(word) + "\"";
    return Options::LevelOverride{static_cast<std::size_t>(event - events::all.begin()),
                                  levels[static_cast<std::size_t>(level - keys::level_words.begin())]};
}

}  // namespace

std::variant<Options, settings::Faults> options_from(const settings::Values& values) {
    Options options;
    settings::Faults faults;
    const settings::Row& row = values.row("log");
    const settings::Row::Slot& list = row.slots()[row.table().index_of(keys::events.spec().name)];
    options.format = static_cast<Format>(row.get(keys::format));
    options.min_level = levels[static_cast<std::size_t>(row.get(keys::level))];
    for (const std::string& each : row.get(keys::events)) {
        auto parsed = parse_override(each);
        if (auto* const fault = std::get_if<std::string>(&parsed)) {
            faults.add(
                {list.given ? list.key : row.place(), *fault, keys::events.text(),
                 "names are on the page docs/operators/log.md; levels are debug, info, warning, error, off"});
        } else {
            options.overrides.push_back(std::get<Options::LevelOverride>(parsed));
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
        if (limiter_.has_suppressed()) report_suppressed(true);
        (void)flush();
    } catch (...) {  // out of memory: the lines are lost
    }
}

void Logger::set(Options options) {
    options_ = std::move(options);
    limiter_.set_rate(options_.rate);
    queue_.set_bounds(options_.queue);
}

std::optional<Level> Logger::level_of(std::size_t index) const {
    for (const auto& entry : options_.overrides) {
        if (entry.event == index) return entry.level;
    }
    return events::all[index]->level;
}

void Logger::event(const core::Event& event, std::span<const core::Value> values) {
    const std::size_t index = index_of(event);
    const auto level = level_of(index);
    if (!level || !options_.min_level || *level < *options_.min_level) return;
    const bool was_pending = has_pending();
    const Time now = clock_.now();
    if (limiter_.has_suppressed()) report_suppressed(false);
    if (limiter_.allow(index, now) && !write_or_queue(index, event, values)) ++dropped_;
    if (!was_pending && has_pending() && on_pending_) on_pending_();
}

void Logger::retry() {
    if (limiter_.has_suppressed()) report_suppressed(false);
    (void)flush();
}

void Logger::report_suppressed(bool end) {
    limiter_.report_suppressed(clock_.now(), end, [this](std::size_t index, std::uint64_t count) {
        const std::array<core::Value, 2> values{count, events::all[index]->name};
        return write_or_queue(index, events::log_left_out, values);
    });
}

// Writes the queued lines, then the count of dropped lines. Returns whether nothing is left to write.
bool Logger::flush() {
    while (!queue_.empty()) {
        if (!sink_.try_write(queue_.front())) return false;
        queue_.pop();
    }
    if (dropped_ == 0) return sink_.finish_partial_line();
    const std::array<core::Value, 1> values{dropped_};
    if (!sink_.try_write(format_line(options_.format, clock_.now(), events::log_dropped.level,
                                     events::log_dropped, values))) {
        return false;
    }
    dropped_ = 0;
    return true;
}

// A line may be queued even after lines of other events were dropped: a flood that has used up its share of the queue
// must not cost a rare event its line.
bool Logger::write_or_queue(std::size_t index, const core::Event& event,
                            std::span<const core::Value> values) {
    const std::string line = format_line(options_.format, clock_.now(),
                                         level_of(index_of(event)).value_or(event.level), event, values);
    return (flush() && sink_.try_write(line)) || queue_.push(index, line);
}

}  // namespace flaxdoor::log
