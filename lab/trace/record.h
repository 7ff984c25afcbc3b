// What happened in a world, as its clients, servers, roster and network saw it: one record an event, in the
// order in which things happened: a record stands before those of what follows from it, also at the same
// instant (heard before the sending that it leads to, taken before the core has the call, told before its
// list is read). The judge, the stories and the reports know a world by this alone.
//
// Units:     times in microseconds from the world's beginning, 0 or more, never going back.
// Threading: plain values.
// Format:    trace/file.h says how records stand in a file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace flaxdoor::lab {

enum class Event : std::uint8_t {
    // The clients' view. `who` is a client, `peer` the balancer.
    asked,      // a try leaves its client; a: how long it waits, us; b: see Asked
    repeats,    // tells of an asked call: it is a retry; a: the call that it repeats
    received,   // the final answer reached the client; a: Verdict; b: time to come back, us, 0: none
    gave_up,    // the client went: nothing is owed to it any more
    unreached,  // nobody took it: the balancer is dead or refuses connections; a: 1 if its link broke later

    // The balancers' view. `who` is a balancer.
    taken,         // it has the whole of a call; peer: the client
    final_answer,  // its one final answer; peer: the client; a: Verdict; b: time to come back, us
    sending,       // an attempt's first byte leaves; peer: the server; a: number of the attempt
    heard,         // it learns how an attempt ended; peer: the server; a: number of the attempt; b: Heard
    came_up,       // the process is up; a: how often it was
    killed,        // it died without a word: what it held is its clients' to repeat
    told_to_end,   // it was asked to end (SIGTERM)
    ended,         // it ended by itself

    // The servers' view. `who` is a server, `peer` a balancer.
    arrived,      // an attempt is whole at the server; a: number of the attempt; b: its work, us on a core of
                  // speed 1
    turned_away,  // it never runs; a: number of the attempt
    ran,          // its effect happened; a: number of the attempt; b: 1, or 0 for a repeat that was dropped
    replied,      // its answer left; a: number of the attempt; b: Reply
    server_up,    // a process began; a: warm capacity, us of work a second; b: 1 if it starts cold
    server_down,  // it died or was taken out
    fell,         // it was sent more than it bears while cold
    load,         // a sample; a: requests in hand; b: of these, waiting

    // The roster's view. `who` is the balancer that is told, `peer` the server.
    told,  // a: Word; b: when the server's process began, us, 0: long ago

    // The operators' view.
    trouble,  // a: its number in the timetable; b: 1 begins, 0 ends
    over,     // the world's end; nothing follows
};

inline constexpr std::size_t event_kinds = static_cast<std::size_t>(Event::over) + 1;

enum class Verdict : std::uint8_t { served, refused, failed };
enum class Reply : std::uint8_t { ok, error, spoilt };
// never_left: refused, never came up, or broke before its last byte was written. Only this and turned_away
// prove to a balancer that the attempt has not run and will not.
enum class Heard : std::uint8_t { ok, error, turned_away, never_left, reset, timed_out };
enum class Word : std::uint8_t { ready, draining, gone };

struct Record {
    std::uint64_t at = 0;
    Event event = Event::over;
    std::uint32_t who = 0;
    std::uint32_t peer = 0;
    std::uint64_t call = 0;  // 0: none; every try of a client has a number of its own
    std::uint64_t a = 0;
    std::uint64_t b = 0;
    friend bool operator==(const Record&, const Record&) = default;
};

// `b` of an asked call.
struct Asked {
    std::uint8_t class_index = 0;
    std::uint8_t zone = 0;
    std::uint16_t tenant = 0;
    std::uint32_t key = 0;  // 0: none; what a keyed call's effect is about
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

// "12.345678 s"
std::string text_of_time(std::uint64_t us);

// Where a world puts its records. Called on the world's thread, in order.
class Sink {
public:
    virtual ~Sink() = default;
    virtual void put(const Record& record) = 0;
};

}  // namespace flaxdoor::lab
