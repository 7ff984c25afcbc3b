// Faults of the booking node, and the one line of text that asks for one. README.md holds the grammar.
// Threading: plain values.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flaxdoor::standins {

enum class FaultPoint {
    before_accept,          // the connection comes up, and is accepted late or never
    refuse,                 // the listener is closed, so connections are refused
    after_n_request_bytes,  // n bytes of the request are read (0: none; struck at the accept)
    after_last_byte,        // the request is read whole and does not run
    never,                  // nothing is answered; it runs, or with run=0 does not
    after_work,             // it has run and nothing is answered
    after_head,             // the answer's head is sent
    after_n_body_bytes,     // the answer's head and n bytes of its body are sent
    noise,                  // n bytes of noise in place of the answer
    wrong_length,           // Content-Length is n bytes too high (negative: too low)
    foreign_answer,         // an answer that was made for another request
    second_answer,          // a second whole answer right behind the first
    status,                 // the status n and an error's body; it runs, or with run=0 does not
    turn_away,              // 503 with X-Rejected: 1; it does not run
    informational,          // 1xx answers ahead of the answer
    slow_bytes,             // the answer comes n bytes at a time
    answer,                 // the right answer; for `framing` and `end`
};

enum class FaultEnd { fin, rst, silence, keep };    // how it ends; keep: the connection goes on
enum class Framing { length, chunked, until_end };  // how an answer tells its end

struct Fault {
    FaultPoint point = FaultPoint::answer;
    std::int64_t n = 0;  // bytes, or the status
    FaultEnd end = FaultEnd::keep;
    Framing framing = Framing::length;
    bool run = true;  // never, status: whether the request runs
    int code = 103;   // informational: which
    int count = 1;    // informational: how many
    std::chrono::milliseconds late{
        0};  // before_accept, refuse: for how long (0: until listen()); second_answer
    std::chrono::milliseconds every{10};  // slow_bytes: between two pieces
    std::uint64_t conn = 0,
                  conn_every = 0;          // the n-th, each n-th connection since the rule was added; 0: all
    std::uint64_t req = 0, req_every = 0;  // the same of requests that match all else
    std::string cls;                       // only requests of this class
    double chance = 1.0;
    std::uint64_t times = 0;  // strikes at most; 0: without end
};

// What is wrong with a line of text: which field, and the likely mend.
struct FaultError {
    std::string text;
};

struct ParsedFault {
    std::optional<Fault> fault;
    FaultError error;
};

[[nodiscard]] ParsedFault parse_fault(std::string_view spec);
[[nodiscard]] std::string_view name_of(FaultPoint point);

}  // namespace flaxdoor::standins
