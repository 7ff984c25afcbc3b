// The clients of real mode: open loop. Each call has its moment from the script, whatever became of those before
// it, and its latency counts from that moment also where the sending was late (no coordinated omission).
// Knows neither sockets nor clocks: both are given, so that a test can hold them still.
//
// Units: microseconds from the world's beginning. Threading: one thread. Memory: by calls of the script.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "experiment/experiment.h"
#include "real/recorder.h"
#include "real/script.h"
#include "standins/scripted_client.h"

namespace flaxdoor::lab::real {

// Where tries are sent.
class Wires {
public:
    virtual ~Wires() = default;
    // Ends in taken() and one of answered(), broken(), from a later turn.
    virtual void send(std::uint32_t balancer, std::uint64_t call, const standins::Call& text) = 0;
    // The client goes: its connection closes.
    virtual void leave(std::uint64_t call) = 0;
};

class Callers {
public:
    // All borrowed. `zones`: of the balancers.
    Callers(const Experiment& part, const Script& script, const std::vector<std::uint8_t>& zones,
            Recorder& recorder, Wires& wires);

    // When there is something to do next; nothing: only what the wires tell.
    std::optional<std::uint64_t> next() const;
    void advance(std::uint64_t now);

    void taken(std::uint64_t call, std::uint64_t now);
    void answered(std::uint64_t call, Verdict verdict, Micros retry_after, std::uint64_t now);
    // A second whole answer came on the connection of a call that has one.
    void answered_again(std::uint64_t call, Verdict verdict, std::uint64_t now);
    // No connection, or it ended with no whole answer; `killed`: its balancer was.
    void broken(std::uint64_t call, bool killed, std::uint64_t now);

    void front_takes(std::uint32_t balancer);
    void front_forgets(std::uint32_t balancer);

    bool done() const { return next_call_ == script_.calls.size() && open_.empty() && repeats_to_come_ == 0; }
    // For the nodes: what a call is; null: no client sent it.
    struct Sent {
        std::uint32_t balancer = 0;
        Micros work{};
    };
    const Sent* find(std::uint64_t call) const;

    std::uint64_t lag_most() const { return lag_most_; }  // the most that a sending was behind its moment
    std::uint64_t foreign() const { return foreign_; }
    void count_foreign() { ++foreign_; }

private:
    struct Open {
        std::uint32_t place = 0;  // in the script
        int number = 0;           // of the try
        std::uint32_t balancer = 0;
        bool taken = false, over = false;  // over: its client has gone, its connection is still looked at
    };
    enum class What : std::uint8_t { gives_up, leaves, forgets, repeats };
    struct Timer {
        std::uint64_t at = 0, call = 0;  // repeats: the place in the script and the try's number
        What what = What::gives_up;
        bool operator<(const Timer& other) const { return at > other.at; }  // the earliest on top
    };
    void send(std::uint32_t place, int number, std::uint64_t due, std::uint64_t now);
    void again(std::uint64_t call, const Open& over, bool refused, Micros retry_after, std::uint64_t now);

    const Experiment& part_;
    const Script& script_;
    const std::vector<std::uint8_t>& zones_;
    Recorder& recorder_;
    Wires& wires_;
    std::size_t next_call_ = 0, repeats_to_come_ = 0;
    std::unordered_map<std::uint64_t, Open> open_;
    std::unordered_map<std::uint64_t, Sent> sent_;
    std::priority_queue<Timer> timers_;
    std::vector<std::vector<std::uint32_t>> front_;  // by zone, in order
    std::uint64_t lag_most_ = 0, foreign_ = 0;
};

}  // namespace flaxdoor::lab::real
