// The door between HTTP's front and the core: a handler that reads who asks, an intake that holds calls back,
// and the core's front for those that it handed over. Without [door] there is none, and the front calls the
// core.
//
//   - A call that waits keeps its deadline: `received` stays when it came, so that its budget has shrunk.
//   - What was handed over is answered as the core says, at once; a refusal of the module is told the later of
//     its own and the door's time to come back. The door's time is told only where the platform heeds it.
//   - Who leaves while it waits is taken out; the core never hears of it.
//
// Threading: the core's one thread.   Ownership: all that it is made with is borrowed and outlives it; it
//            outlives the front that hands in calls, and is there until the pool is removed.
// Errors:    the constructor and change() throw std::invalid_argument when the terms contradict themselves.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "core/intake.h"
#include "door/door.h"
#include "http/handler.h"
#include "settings/values.h"

namespace flaxdoor::engine {

class Doorway final : public core::Intake, public core::Front, public http::Handler {
public:
    struct World {
        core::Core& core;
        const core::Clock& clock;
        core::Alarm& alarm;  // its own: on_alarm() is called when it rings
        core::Log& log;
        http::Handler& handler;  // what the requests mean
    };
    Doorway(const World& world, const Settings& settings, const settings::Values& operators,
            std::uint64_t seed);
    ~Doorway() override;

    void change(const Settings& settings, const settings::Values& operators);
    // Nothing new waits.
    void begin_drain();
    // Refuses what waits still.
    void stop();
    void on_alarm();
    door::Figures figures() const;

    // As an intake.
    core::Taken take(core::Call call, core::Front& front, std::uint64_t token, core::CallId* id) override;
    void leave(core::CallId call) override;
    // As the front of what was handed over.
    bool on_sending(std::uint64_t token) override;
    void on_started(std::uint64_t token, std::unique_ptr<core::Payload> head) override;
    void on_final(std::uint64_t token, core::Final answer) override;
    // As a handler. What on_request() reads of a request counts for the take() that follows it.
    std::variant<Answer, Ask> on_request(http::Request message, const From& from) override;
    http::Response on_final(core::Final final, http::Asked* asked) override;
    Answer on_not_taken(core::Taken taken, http::Asked* asked) override;

private:
    struct Held {
        core::Front* front = nullptr;
        std::uint64_t token = 0;
        core::CallId in_core = 0;
        bool handed = false;
        core::Call call;  // while it waits
    };

    door::Terms terms_of(const Settings& settings, const settings::Values& operators);
    void hand(door::Ticket ticket);
    void answer(door::Ticket ticket, core::Final final, const std::string& token);
    core::Final refused(const door::Refusal& refusal) const;
    void pump();

    World world_;
    bool tells_ = false;  // when to come back
    Micros own_limit_{};
    std::string client_header_;
    enum class By { address, header, key } by_ = By::address;
    std::unique_ptr<door::Door> door_;
    std::unordered_map<door::Ticket, Held> held_;
    std::unordered_set<std::string> names_;  // of those that wait
    std::string client_, came_with_;         // of the request that is being taken
    std::size_t bytes_ = 0;                  // the same
    std::string telling_;                    // the token of the refusal that is being told
    bool pumping_ = false;
};

}  // namespace flaxdoor::engine
