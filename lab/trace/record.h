// The records of a trace: the events of a world as its clients, balancers, servers, service discovery and operators
// see them. A record precedes the records of its consequences, even at the same time: `heard` precedes the `sending`
// that it causes, `taken` precedes the core's handling of the call, and `told` precedes the reading of the list.
// The judge, the call histories and the reports know a world only through its records.
//
// Units:     times in microseconds from the start of the world; they never decrease.
// Threading: plain values.
// Format:    trace/file.h defines the encoding in a file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace flaxdoor::lab {

enum class Event : std::uint8_t {
    // The clients' view. `who` is a client, `peer` the balancer.
    asked,     // a request leaves its client; a: the client's timeout, us; b: see Asked
    repeats,   // follows `asked` for a client retry; a: the call that it repeats
    received,  // the final answer reached the client; a: Verdict; b: retry-after, us, 0 for none
    gave_up,   // the client timed out or disconnected; no answer is owed to it any more
    unreached,  // no balancer accepted it: it is dead or refuses connections; a: 1 if the connection broke later

    // The balancers' view. `who` is a balancer.
    taken,         // the balancer has received a whole call; peer: the client
    final_answer,  // the call's only final answer; peer: the client; a: Verdict; b: retry-after, us
    sending,       // an attempt's first byte leaves; peer: the server; a: number of the attempt
    heard,  // the balancer learns the end of an attempt; peer: the server; a: number of the attempt; b: Heard
    came_up,      // a process started; a: number of starts
    killed,       // the process was killed; the clients retry its calls
    told_to_end,  // the process was asked to shut down (SIGTERM)
    ended,        // the process shut down

    // The servers' view. `who` is a server, `peer` a balancer.
    arrived,      // the server has received a whole attempt; a: number of the attempt; b: its work, us on a
                  // core of speed 1
    turned_away,  // the attempt was rejected and never executes; a: number of the attempt
    ran,          // the attempt executed; a: number of the attempt; b: 1, or 0 for a dropped duplicate
    replied,      // the server's answer left; a: number of the attempt; b: Reply
    server_up,    // a process started; a: warm capacity, us of work per second; b: 1 for a cold start
    server_down,  // the process died or was removed
    fell,         // the server failed from overload during its slow start
    load,         // a sample; a: requests held; b: of these, queued

    // The view of service discovery. `who` is the balancer that is notified, `peer` the server.
    told,  // a: Word; b: start of the server's process, us, 0 for long ago

    // The operators' view.
    trouble,  // a: index in the timetable; b: 1 when it begins, 0 when it ends
    over,     // the end of the world; no record follows
};

inline constexpr std::size_t event_kinds = static_cast<std::size_t>(Event::over) + 1;

enum class Verdict : std::uint8_t { served, refused, failed };
enum class Reply : std::uint8_t { ok, error, spoilt };
// The end of an attempt, as its balancer sees it. never_left: the connection was refused, was not established, or
// broke before the last byte was written. Only never_left and turned_away prove that the attempt never executes.
enum class Heard : std::uint8_t { ok, error, turned_away, never_left, reset, timed_out };
// The state of a server that service discovery announces.
enum class Word : std::uint8_t { ready, draining, gone };

struct Record {
    std::uint64_t at = 0;
    Event event = Event::over;
    std::uint32_t who = 0;
    std::uint32_t peer = 0;
    std::uint64_t call = 0;  // 0 for none; each client retry has a number of its own
    std::uint64_t a = 0;
    std::uint64_t b = 0;
    friend bool operator==(const Record&, const Record&) = default;
};

// The content of `b` in a record `asked`.
struct Asked {
    std::uint8_t class_index = 0;
    std::uint8_t zone = 0;
    std::uint16_t tenant = 0;
    std::uint32_t key = 0;  // key of a keyed call; 0 for none
    constexpr std::uint64_t packed() const {
        return std::uint64_t{class_index} | std::uint64_t{zone} << 8U | std::uint64_t{tenant} << 16U |
               std::uint64_t{key} << 32U;
    }
    static constexpr Asked unpacked(std::uint64_t b) {
        return {static_cast<std::uint8_t>(b), static_cast<std::uint8_t>(b >> 8U),
                static_cast<std::uint16_t>(b >> 16U), static_cast<std::uint32_t>(b >> 32U)};
    }
};

std::string_view text_of(Event event);
std::string_view text_of(Verdict verdict);
std::string_view text_of(Reply reply);
std::string_view text_of(Heard heard);
std::string_view text_of(Word word);

// Returns a time as text, such as "12.345678 s".
std::string text_of_time(std::uint64_t us);

// Receives the records of a world, in order and on the world's thread.
class Sink {
public:
    virtual ~Sink() = default;
    virtual void put(const Record& record) = 0;
};

}  // namespace flaxdoor::lab
