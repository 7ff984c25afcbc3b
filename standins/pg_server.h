// A stand-in for a PostgreSQL server, on loopback. It speaks the protocol of the manual's chapter
// "Frontend/Backend Protocol" (version 3.0), as a server does: logins (trust, MD5, SCRAM-SHA-256), TLS,
// simple and extended queries with statements, portals and row limits, COPY both ways, cancels by key,
// implicit transactions, errors that skip to the Sync (pg_conversation.h). It dies where it is told to: at
// any byte that it receives or sends. Which statements there are says pg_statement.h, what they do
// pg_engine.h.
//
// Not in it: binary formats, FunctionCall, replication, GSSAPI, channel binding.
// It shares no code with the product (src/): what it is made of (standins/pg_*) is its own.
// Threading: the executor's one thread.   Ownership: the journal is borrowed, a database shared.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "standins/pg_engine.h"

namespace standins::pg {

enum class Authentication { trust, md5, scram };

struct ServerOptions {
    std::string name = "a";
    bool standby = false;
    std::string refuse_with{};  // the SQLSTATE with which logins are turned away; empty: they are let in
    std::uint16_t port = 0;
    Authentication authentication = Authentication::trust;
    std::string password{};                // of every user
    std::string certificate{}, key{};      // files in PEM; empty: TLS is declined
    std::shared_ptr<Database> database{};  // empty: one of its own
};

class Server {
public:
    Server(boost::asio::any_io_executor executor, Journal& journal, ServerOptions options = {});
    ~Server();

    std::uint16_t port() const;

    // Closes everything, at once; connections with a reset if `reset`. What was committed stays.
    void die(bool reset = false);
    // The same, and says so to every session (57P01).
    void shut_down();
    void terminate_sessions();
    bool dead() const;
    // Listens again, with nothing known but the database.
    void restart();

    void release();  // whoever sleeps
    void promote();  // a standby; its sessions hear of it with their next query
    // Raw bytes to every session.
    void say(const std::string& bytes);
    void stall(bool stalled);  // takes no bytes

    // Run straight, without a connection: the first value of the last result, or its tag. A Problem is
    // thrown.
    std::string sql(const std::string& text);
    std::shared_ptr<Database> database() const;

    std::size_t sessions() const;        // open, logged in
    std::size_t logins() const;          // so far
    std::size_t logins_at_once() const;  // the most that were under way
    std::size_t cancels() const;         // that came with a known key
    void refuse_logins(const std::string& code);
    // Delays each login until logins are let go on.
    void hold_logins(bool held);
    // The next cancel that comes is dealt with only when it is let go.
    void hold_cancels(bool held);

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace standins::pg
