// One connection of a client, step by step: for tests of what a peer does with bytes that come whole, split,
// slowly, ahead of time, or not to the end. Threading: on the thread of the io_context, which must outlive
// it. Steps asked for are done in order, as far as the connection is up. Bounded: what comes is kept up to 16
// MiB, then the connection is reset.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "effects.h"
#include "http_text.h"

namespace flaxdoor::standins {

enum class CallKind { safe, keyed, unsafe };  // GET; POST with Idempotency-Key; POST

// A call as the platform's clients send it.
struct Call {
    std::string call_id;
    std::string cls = "browse";
    CallKind kind = CallKind::safe;
    std::string key;       // keyed
    std::string caller;    // empty: no X-Caller
    std::string about;     // the cookie `key`; empty: none
    std::string body;      // none for safe calls
    int budget_ms = 1000;  // 0: no X-Budget-Ms
    std::string target = "/api";
    bool again = false;
    bool closes = false;  // Connection: close
    std::string further;  // further header lines, each with its line end
};
void append_call(std::string& out, const Call& call);
[[nodiscard]] std::string text_of(const Call& call);
[[nodiscard]] bool made_for(const Answer& answer, const Call& call);

class ScriptedClient {
public:
    enum class End {
        open,     // also while it connects
        refused,  // it never came up
        fin,      // the other side ended its sending
        rst,
        left,  // by leave() or reset()
    };

    ScriptedClient(boost::asio::io_context& loop, const boost::asio::ip::tcp::endpoint& to);
    ~ScriptedClient();
    ScriptedClient(const ScriptedClient&) = delete;
    ScriptedClient& operator=(const ScriptedClient&) = delete;

    void send(std::string bytes);
    void send(const Call& call) { send(text_of(call)); }
    void send_slowly(std::string bytes, std::size_t piece, std::chrono::milliseconds every);
    void half_close();   // ends the sending, goes on reading
    void leave();        // closes
    void reset();        // closes with RST
    void read(bool on);  // false: leaves what comes in the socket

    [[nodiscard]] bool connected() const;
    [[nodiscard]] bool all_sent() const;
    [[nodiscard]] End end() const;
    [[nodiscard]] const std::vector<Answer>& answers() const;  // whole ones
    [[nodiscard]] const std::vector<Time>& answer_times() const;
    [[nodiscard]] bool garbled() const;            // what came is no HTTP
    [[nodiscard]] const std::string& raw() const;  // every byte that came
    [[nodiscard]] const std::string& rest()
        const;                                 // bytes of no whole answer (of a head, or behind the last)
    [[nodiscard]] const Answer& part() const;  // head and body so far of an answer that is not whole
    [[nodiscard]] bool head_read() const;      // part() has a head
    [[nodiscard]] boost::asio::ip::tcp::endpoint local() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace flaxdoor::standins
