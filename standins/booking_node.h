// A stand-in of an upstream, the booking node: the upstream side of the platform's protocol on a real socket.
// It answers each request with a body made for that request, counts every effect, and fails at a named point
// when told to.
//
// Threading: everything on the thread that runs the io_context; no thread of its own. Ownership: the
// io_context must outlive the node. The node's end closes all it holds. Units: as named; times are steady.
// Errors: a listener that can't be opened throws boost::system::system_error from the constructor or
// come_back(). Bounded: connections, queue, bytes of a request, records, events and remembered keys all have
// a limit in Settings.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "effects.h"
#include "fault.h"

namespace flaxdoor::standins {

// How long one request works: a fixed time, or drawn round a mean.
struct Work {
    enum class Shape { fixed, exponential, uniform };  // uniform: from 0.5 to 1.5 of the mean
    std::chrono::microseconds mean{0};
    Shape shape = Shape::fixed;
};

// One step in the life of a connection or request.
struct NodeEvent {
    enum class Kind {
        accepted,
        first_byte,   // of a request
        last_byte,    // of a request
        turned_away,  // 503 with X-Rejected
        dropped,      // a repeat of a key: its answer is the first's
        ran,          // a worker took it up: the effect has happened
        finished,     // its work is done
        answered,     // the last byte of its answer was given to the socket
        given_up,     // the other side ended or closed before its answer
        fault,        // a scripted fault struck; `text` names the point
        ended,        // the connection is closed; `text` tells why
        died,
        came_back,
    };
    Kind kind{};
    Time at;
    std::uint64_t connection = 0;  // numbered from 1 in order of accepts
    std::uint64_t request = 0;     // numbered from 1 in order of first bytes; 0: not about a request
    std::string call_id, key, cls, text;
};
[[nodiscard]] std::string_view name_of(NodeEvent::Kind kind);

struct NodeCounts {
    std::uint64_t accepted = 0, open = 0, over_cap = 0, idle_closed = 0;
    std::uint64_t begun = 0;        // requests of which a byte came
    std::uint64_t started = 0;      // requests whose last byte came
    std::uint64_t ran = 0;          // taken up by a worker
    std::uint64_t finished = 0;     // worked to the end
    std::uint64_t answered = 0;     // 200 and the whole body given to the socket
    std::uint64_t dropped = 0;      // repeats of a key, answered as the first was
    std::uint64_t turned_away = 0;  // 503 with X-Rejected: 1
    std::uint64_t given_up = 0;     // the other side left before the answer; the work runs on
    std::uint64_t cut_short = 0;    // connections that ended amid a request
    std::uint64_t bad = 0, without_id = 0, unknown_id = 0, probes = 0, pipelined = 0, faults = 0;
    std::uint64_t running = 0, queued = 0;
    std::uint64_t events_lost = 0;
    std::map<std::string, std::uint64_t> ran_by_class;
};

class BookingNode {
public:
    enum class Measure { inflight, queue, util, latency_ms, eps, qps };

    struct Settings {
        boost::asio::ip::tcp::endpoint listen{boost::asio::ip::address_v4::loopback(), 0};
        std::string name;  // in records and answers; empty: the address
        Detail detail = Detail::full;
        std::uint64_t seed = 1;  // of work times, chances and noise

        std::size_t workers = 64;
        std::size_t queue_most = 256;  // beyond: 503 with X-Rejected
        Work work;                     // of classes that are not named below
        std::map<std::string, Work, std::less<>> work_by_class;
        // Where set: a request's work, before what a first request on a connection and a cold node add.
        std::function<std::chrono::microseconds(std::string_view call_id)> work_for;
        std::chrono::microseconds first_on_connection{0};  // more work for the first request on a connection
        // Once started, or back: work takes 1/share as long, the share growing evenly from cold_share to 1.
        double cold_share = 1.0;
        std::chrono::milliseconds cold_for{0};
        bool cold_at_start = false;  // also at the first start, not only after come_back()

        std::size_t connections_most = 4096;      // beyond: 503 with X-Rejected, then closed
        std::chrono::milliseconds idle_close{0};  // 0: never
        bool answer_half_closed = false;  // false: the end of the other's sending gives the request up
        bool turn_away_late = false;      // queued beyond its budget: 503 with X-Rejected

        std::vector<std::pair<Measure, std::string>> report;  // X-Load-Report: measures and their names
        bool report_on_answers = true;
        bool probes = false;           // GET /health and /status/load; else 404
        std::size_t body_padding = 0;  // bytes added to each answer

        std::chrono::milliseconds key_window{10'000};
        std::size_t keys_most = 200'000;
        std::size_t records_most = 1'000'000;
        std::size_t events_most = 1'000'000;
        // Shared between nodes where set; else each has its own.
        std::shared_ptr<Effects> effects;
        std::shared_ptr<KeyWindow> keys;
        // Where set: ids it denies are answered 400.
        std::function<bool(std::string_view call_id)> known_call;
        // Full detail: told each event as it happens. It may call the node, but not end it.
        std::function<void(const NodeEvent&)> on_event;
    };

    BookingNode(boost::asio::io_context& loop, Settings settings);
    ~BookingNode();
    BookingNode(const BookingNode&) = delete;
    BookingNode& operator=(const BookingNode&) = delete;

    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const;
    [[nodiscard]] const std::string& name() const;

    // Rules are tried in the order they were added; the first that applies strikes.
    void add(Fault fault);
    void clear_faults();

    void die();        // resets every connection, forgets what it was doing, refuses new ones
    void come_back();  // the same port, nothing held, cold
    void listen();     // ends a refuse or before_accept that has no time of its own
    // The machine is cut off: open connections are silent and new ones never come up. Work runs on.
    void vanish();
    void reappear(bool reset_connections);
    // The process stands still: nothing is accepted, read, finished or answered. 0: until resume().
    void stall(std::chrono::milliseconds time = std::chrono::milliseconds{0});
    void resume();

    [[nodiscard]] NodeCounts counts() const;
    [[nodiscard]] const Effects& effects() const;
    [[nodiscard]] const std::vector<NodeEvent>& events() const;
    [[nodiscard]] std::size_t count_of(NodeEvent::Kind kind) const;
    [[nodiscard]] std::string counts_json() const;  // one line

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

// The body that a node makes for a request, and what a client needs to tell its own.
// id=... class=... key=... digest=... node=...   (one line, then padding)
[[nodiscard]] std::string body_for(std::string_view call_id, std::string_view cls, std::string_view key,
                                   std::string_view request_body, std::string_view node, std::size_t padding);
// Whether the body was made for this request. A repeat of a key gets the answer made for the first, which has
// another id: the key and the digest tell.
[[nodiscard]] bool made_for(std::string_view body, std::string_view call_id, std::string_view cls,
                            std::string_view key, std::string_view request_body);

[[nodiscard]] std::optional<BookingNode::Measure> measure_of(std::string_view name);

}  // namespace flaxdoor::standins
