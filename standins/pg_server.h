// A stand-in for a PostgreSQL server, on loopback: it understands a few texts, keeps count of what it ran and
// what it committed, and dies where it is told to: at any byte that it receives or sends.
//
// Texts:   INSERT INTO t VALUES (N)   the effect N
//          SELECT …                   one row; SELECT rows(N, SIZE): N rows of SIZE bytes; SELECT 1/0: an
//          error;
//                                     SELECT pg_sleep(…): answers only to a cancel, or to release()
//          BEGIN, COMMIT, ROLLBACK, SET …, SELECT pg_catalog.set_config(…), DISCARD ALL
//          COPY t FROM STDIN          each line N of the data is the effect N
//          COPY t TO STDOUT           100 rows; COPY big TO STDOUT: rows without end
//          SELECT * FROM changed      once after alter(): a prepared statement's plan is no longer taken
// Threading: the executor's one thread.   Ownership: the journal is borrowed.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace standins::pg {

struct Effect {
    int executed = 0, committed = 0;
};

constexpr std::size_t never = ~std::size_t{0};

// What all servers of a test did, and where the first of them dies.
struct Journal {
    std::map<long, Effect> effects;
    std::vector<std::string> texts;  // run, in their order, with the server's name in front
    // The server that receives, or sends, the last of so many bytes of sessions (logins left out) dies. What
    // is whole among the bytes received is still run, and its answer lost.
    std::size_t receive_left = never, send_left = never;
    std::size_t received = 0, sent = 0;  // so far
};

struct ServerOptions {
    std::string name = "a";
    bool standby = false;
    std::string refuse_with;  // the SQLSTATE with which logins are turned away; empty: they are let in
    std::uint16_t port = 0;
};

class Server {
public:
    Server(boost::asio::any_io_executor executor, Journal& journal, ServerOptions options = {});
    ~Server();

    std::uint16_t port() const;

    // Closes everything; connections with a reset if `reset`.
    void die(bool reset = false);
    bool dead() const;
    // Listens again, with nothing known.
    void restart();

    void release();  // whoever sleeps
    void alter();    // a table that prepared statements stand on
    void promote();  // a standby; its sessions hear of it with their next query
    // Raw bytes to every session.
    void say(const std::string& bytes);
    void stall(bool stalled);  // takes no bytes

    std::size_t sessions() const;        // open, logged in
    std::size_t logins() const;          // so far
    std::size_t logins_at_once() const;  // the most that were under way
    std::size_t cancels() const;         // that came with a known key
    void refuse_logins(const std::string& code);
    // Delays each login until logins are let go on.
    void hold_logins(bool held);
    // The next cancel that comes is dealt with only when it is let go.
    void hold_cancels(bool held);
    std::vector<std::string> settings_seen() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace standins::pg
