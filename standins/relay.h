// A stand-in of the network between a client of HTTP/1.1 and its server: it passes whole requests and answers on, and
// by command or by chance it cuts, delays, holds, drops or doubles them. One relay for each pair that is to be cut by
// itself.
//
// Every exchange has a connection of its own to the server, so that what is held or doubled does not hold up what
// comes later. On the client's side connections are kept, with one exchange at a time.
//
// Threading: on the thread of the io_context, which must outlive it. Chance: by the seed, drawn for each request in the
// order of their coming. Errors: a listener that can't be opened throws boost::system::system_error; what is no HTTP, or
// longer than `bytes_most`, ends its connection. Bounded: connections, bytes of a message.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace flaxdoor::standins {

class Relay {
public:
    static constexpr std::size_t connections_most = 256;
    static constexpr std::size_t bytes_most = 256 * 1024;

    // What does not come through. Nobody is told: connections stay silent, and are reset when the cut is healed.
    enum class Cut { none, requests, answers, both };

    // Shares of the requests, 0 to 1; each is drawn by itself.
    struct Chances {
        double dropped = 0;  // the server has it, and the connection closes without its answer
        double held = 0;     // the answer waits for `hold`
        double doubled =
            0;  // the same bytes go again, `hold` later, on a connection of their own; that answer is lost
        double repeated = 0;  // the same, at once, and it is the second answer that the client gets
        std::chrono::milliseconds hold{0};
        std::chrono::milliseconds delay{0};  // of every request: evenly drawn, up to this
    };

    struct Counts {
        std::uint64_t requests = 0, answers = 0;  // that came; that were given to the client
        std::uint64_t lost = 0;                   // requests or answers, by a cut
        std::uint64_t dropped = 0, held = 0, doubled = 0, repeated = 0;
        std::uint64_t unreachable = 0;  // no server, or no whole answer from it
    };

    struct Settings {
        std::uint64_t seed = 1;
        // Told each request's body as it comes, whatever becomes of it.
        std::function<void(std::string_view body)> on_request;
    };

    // Listens on loopback, on a port of its own.
    Relay(boost::asio::io_context& loop, Settings settings);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const;
    void to(const boost::asio::ip::tcp::endpoint& server);  // from the next request on
    void cut(Cut cut);
    void chances(const Chances& chances);
    [[nodiscard]] const Counts& counts() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::standins
