// The door between a front and the core: an intake that holds calls back, and the core's front for those that
// it handed over.
//
//   - A call that waits keeps its deadline: `received` stays when it came, so that its budget has shrunk.
//   - What was handed over is answered as the core says, at once; a refusal of the module is told the later of
//     its own and the door's time to come back. The door's time is told only where the platform heeds it.
//   - Who leaves while it waits is taken out; the core never hears of it.
//
// Threading: the core's one thread.   Ownership: all that it is made with is borrowed and outlives it; it
//            outlives the fronts that hand in calls, and is there until their pool is removed.
// Errors:    the constructor and change() throw std::invalid_argument when the terms contradict themselves.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "core/intake.h"
#include "door/door.h"

namespace flaxdoor::door {

class Gate final : public core::Intake, public core::Front {
public:
    struct World {
        core::Core& core;
        const core::Clock& clock;
        core::Alarm& alarm;  // its own: on_alarm() is called when it rings
    };
    struct Options {
        bool tells = false;                           // when to come back
        Micros own_limit = std::chrono::seconds(30);  // as core::Options has it
        bool client_by_key = false;                   // of a call that has one
    };
    Gate(const World& world, Terms terms, Options options, std::uint64_t seed, const Tokens::Secret& secret);
    ~Gate() override;

    // What waits keeps its class and tenant by name; one whose class is gone is refused in its turn. To be
    // called ahead of the core's change_pool(), with nothing in between.
    void change(Terms terms, Options options);
    // Nothing new waits.
    void begin_drain();
    // Refuses what waits still.
    void stop();
    void on_alarm();
    Figures figures() const;

    // Who asks: counts for the take() that follows it.
    void asked_by(std::string client, std::string came_with, std::size_t bytes);
    core::Taken take(core::Call call, core::Front& front, std::uint64_t token, core::CallId* id) override;
    void leave(core::CallId call) override;
    // While a front's on_final() runs: the token that its client is to be told; empty: none.
    const std::string& telling() const { return telling_; }

    bool on_sending(std::uint64_t token) override;
    void on_started(std::uint64_t token, std::unique_ptr<core::Payload> head) override;
    void on_final(std::uint64_t token, core::Final answer) override;

private:
    struct Held {
        core::Front* front = nullptr;
        std::uint64_t token = 0;
        core::CallId in_core = 0;
        bool handed = false;
        core::Call call;  // while it waits
    };

    void hand(Ticket ticket);
    void answer(Ticket ticket, core::Final final, const std::string& token);
    core::Final refused(const Refusal& refusal) const;
    void give_up(Ticket ticket) noexcept;
    void pump();

    World world_;
    Options options_;
    Door door_;
    std::unordered_map<Ticket, Held> held_;
    std::unordered_set<std::string> names_;  // of those that wait
    std::string client_, came_with_;         // of the request that is being taken
    std::size_t bytes_ = 0;                  // the same
    std::string telling_;
    bool pumping_ = false;
};

}  // namespace flaxdoor::door
