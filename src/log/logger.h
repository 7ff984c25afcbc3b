// The log of a program: events in, lines out, to a sink that may take nothing for a while. What comes then waits in a
// bounded queue; what finds no room is dropped and counted, and the count goes out with the next line that is taken.
// Nothing here waits.
//
// Threading: one thread.   Ownership: sink and clock are borrowed.
// Errors:    throws for want of memory only, and the line is lost then.
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
    // From which level on events are written; none: nothing is.
    std::optional<core::Level> least = core::Level::info;
    // Events that count as another level than their own; none: never written. By their place in events::all.
    struct Other {
        std::size_t event;
        std::optional<core::Level> level;
    };
    std::vector<Other> others{};
    Limiter::Rate rate{};
    LineQueue::Bounds queue{};
};

// Of the table [log]. Faults: an event or a level that there is not.
std::variant<Options, settings::Faults> options_from(const settings::Values& values);

class Logger final : public core::Log {
public:
    Logger(Sink& sink, const core::Clock& clock);
    // Tells what is still to be told, as far as the sink takes it.
    ~Logger() override;
    Logger(const Logger&) = delete;
    Logger& operator=(const Logger&) = delete;

    void set(Options options);
    void event(const core::Event& event, std::span<const core::Value> values) override;

    // While something is to be told that no further event may bring out, somebody is to call retry() now and then:
    // `on_waiting` is called each time that this begins.
    void on_waiting(std::function<void()> told) { on_waiting_ = std::move(told); }
    [[nodiscard]] bool waiting() const {
        return dropped_ > 0 || !queue_.empty() || limiter_.owes() || sink_.owes();
    }
    void retry();

private:
    std::optional<core::Level> level_of(std::size_t index) const;
    // False: there is no room for it.
    [[nodiscard]] bool put(std::size_t index, const core::Event& event, std::span<const core::Value> values);
    bool flush();
    void tell_left_out(bool end);

    Sink& sink_;
    const core::Clock& clock_;
    Options options_;
    Limiter limiter_;
    LineQueue queue_;
    std::uint64_t dropped_ = 0;
    std::function<void()> on_waiting_;
};

}  // namespace flaxdoor::log
