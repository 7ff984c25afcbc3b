// A stand-in of discovery, the roster: the whole list, and watches that stay open, as the platform's protocol
// has them; versions, drains, restarts; and what goes wrong with them.
//
// Threading: on the thread of the io_context, which must outlive it. Units: as named. Errors: a listener that
// can't be opened throws boost::system::system_error. Bounded: connections, the log of changes, bytes that
// wait for a slow watch (beyond: it is reset), events.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "effects.h"

namespace flaxdoor::standins {

struct RosterEntry {
    std::string host;
    std::string dial;
    std::string site = "a";
    std::string cls = "m2";
    std::uint32_t block = 0;
    std::string health = "active";  // active, leaving; left among changes only
    double share = 1.0;
    std::int64_t born_ms = 0;  // Unix time; 0: long ago
};

struct RosterEvent {
    enum class Kind { list_asked, list_sent, watch_opened, line_sent, watch_ended, refused };
    Kind kind{};
    Time at;
    std::uint64_t connection = 0;
    std::uint64_t version = 0;  // asked for, or sent
};

struct RosterCounts {
    std::uint64_t version = 0, entries = 0;
    std::uint64_t lists = 0, watches = 0, watches_open = 0, refused = 0;
    std::uint64_t lines = 0, heartbeats = 0, bytes = 0, slow_reset = 0, bad = 0;
};

class Roster {
public:
    enum class Down {
        unavailable,  // watches end, calls are answered 503
        reset,        // watches and calls are reset
        refuse,       // watches are reset, connections refused
    };

    struct Settings {
        boost::asio::ip::tcp::endpoint listen{boost::asio::ip::address_v4::loopback(), 0};
        std::chrono::milliseconds heartbeat{2000};
        bool whole_lines = false;  // each line holds the whole list
        std::chrono::milliseconds delay{0};
        std::size_t connections_most = 1024;
        std::size_t changes_most = 100'000;
        std::size_t waiting_bytes_most = 32 * 1024 * 1024;  // for one connection
        std::size_t events_most = 100'000;
        std::function<void(const RosterEvent&)> on_event;  // from its own turn of the loop
    };

    Roster(boost::asio::io_context& loop, Settings settings);
    explicit Roster(boost::asio::io_context& loop) : Roster(loop, Settings{}) {}
    ~Roster();
    Roster(const Roster&) = delete;
    Roster& operator=(const Roster&) = delete;

    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const;

    // Each call is one change with one new version, and goes to the watches.
    void set(const RosterEntry& entry);
    void set(const std::vector<RosterEntry>& entries);
    void remove(std::string_view host);
    void drain(std::string_view host);
    void restart(std::string_view host, std::int64_t born_ms);  // active again, born then
    void replace_all(const std::vector<RosterEntry>& entries);  // who is not among them has left

    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] std::optional<RosterEntry> find(std::string_view host) const;
    // The next change has this version and one more. It may go back; what changed before is forgotten.
    void set_version(std::uint64_t version);
    void announce();                   // the whole list, at the present version, to all watches
    void raw_line(std::string line);   // any bytes, as one line, to all watches
    void next_list(std::string body);  // the next list call gets this body

    void whole_lines(bool on);
    void delay(std::chrono::milliseconds time);  // of all that is sent from now on
    // How what is sent from now on is cut: a chunk of the coding at most so long (0: one a line), a write at
    // most so long (0: at once), and the time between two writes. Cuts fall anywhere.
    void split(std::size_t chunk_bytes, std::size_t write_bytes, std::chrono::milliseconds between);
    void down(Down how = Down::unavailable);
    void up();
    void silent(bool on);  // takes connections and calls, sends nothing; later, what has waited
    void end_watches(bool reset);

    [[nodiscard]] RosterCounts counts() const;
    [[nodiscard]] const std::vector<RosterEvent>& events() const;
    [[nodiscard]] std::string counts_json() const;  // one line

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

// Reads one entry as discovery writes it; missing fields keep the defaults. Error: which field is wrong.
struct ParsedEntry {
    std::optional<RosterEntry> entry;
    std::string error;
};
[[nodiscard]] ParsedEntry parse_entry(std::string_view json);

}  // namespace flaxdoor::standins
