// The log of a program: takes events and writes lines to a sink, which may accept nothing for a while. Lines that the sink
// does not accept wait in a bounded queue. Lines that do not fit into the queue are dropped and counted; the count is
// written before the next line that the sink accepts. The logger never blocks.
//
// Threading: one thread.   Ownership: sink and clock are borrowed and must outlive the logger.
// Errors:    throws std::bad_alloc only; the line is lost then.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <variant>
#include <vector>

#include "core/ports.h"
#include "log/descriptor.h"
#include "log/format.h"
#include "log/limiter.h"
#include "log/queue.h"
#include "settings/faults.h"
#include "settings/values.h"

namespace flaxdoor::log {

struct Options {
    Format format = Format::text;
    // Events below this level are not written; none: no event is.
    std::optional<core::Level> min_level = core::Level::info;
    // Replaces the level of one event; none: the event is never written.
    struct LevelOverride {
        std::size_t event;  // index in events::all
        std::optional<core::Level> level;
    };
    std::vector<LevelOverride> overrides{};
    RateLimiter::Rate rate{};
    LineQueue::Bounds queue{};
};

// Reads the table [log]. Returns faults for an unknown event or level.
std::variant<Options, settings::Faults> options_from(const settings::Values& values);

class Logger final : public core::Log {
public:
    Logger(Sink& sink, const core::Clock& clock);
    // Writes what is pending, as far as the sink accepts it.
    ~Logger() override;
    Logger(const Logger&) = delete;
    Logger& operator=(const Logger&) = delete;

    void set(Options options);
    void event(const core::Event& event, std::span<const core::Value> values) override;

    // Sets a callback that is called each time output becomes pending. While output is pending, the owner must call
    // retry() from time to time, because no further event may come to write it.
    void on_pending(std::function<void()> callback) { on_pending_ = std::move(callback); }
    // Returns whether queued lines, counts of dropped or suppressed lines, or a partly written line wait for the sink.
    [[nodiscard]] bool has_pending() const {
        return dropped_ > 0 || !queue_.empty() || limiter_.has_suppressed() || sink_.has_partial_line();
    }
    void retry();

private:
    std::optional<core::Level> level_of(std::size_t index) const;
    // Writes the line or queues it. Returns false if the queue is full.
    [[nodiscard]] bool write_or_queue(std::size_t index, const core::Event& event,
                                      std::span<const core::Value> values);
    bool flush();
    void report_suppressed(bool end);

    Sink& sink_;
    const core::Clock& clock_;
    Options options_;
    RateLimiter limiter_;
    LineQueue queue_;
    std::uint64_t dropped_ = 0;
    std::function<void()> on_pending_;
};

}  // namespace flaxdoor::log
