// What the front's clients and the back's connections are to each other. One thread; nobody outlives the
// loop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/call.h"
#include "pg/server_machine.h"
#include "pg/session.h"

namespace flaxdoor::pg {

// A connection to a server, for the client that it is linked to. Valid between on_link() and release(),
// abandon() or on_server_lost().
class Carrier {
public:
    virtual ~Carrier() = default;
    virtual ServerMachine& machine() = 0;
    virtual UpstreamId upstream() const = 0;
    virtual bool takes_work() const = 0;
    // The machine has output.
    virtual void flush() = 0;
    virtual void resume() = 0;  // the client takes bytes again
    virtual void started() = 0;
    virtual void served() = 0;
    virtual void release(bool dirty) = 0;
    // Stops what runs; its end still comes.
    virtual void cancel() = 0;
    // The link is over, whatever runs: the attempt ends with this outcome, or as one that never ran.
    virtual void abandon(Outcome outcome) = 0;
};

// A client, for the connection that it is linked to.
class Unit {
public:
    virtual ~Unit() = default;
    virtual const std::string& user() const = 0;
    // The module has found it a place; it may still wait for a connection.
    virtual void on_placed() = 0;
    // An attempt of it has ended with nothing sent: `tell` says so to the core.
    virtual void ended_unsent(const std::function<void()>& tell) = 0;
    // The one that it wants and no other.
    virtual Carrier* tied() const = 0;
    [[nodiscard]] virtual bool on_link(Carrier& carrier) = 0;
    virtual void on_server(const ServerEvent& event) = 0;
    // All events that there were have been handed in; or the server takes bytes again.
    virtual void after_server() = 0;
    virtual Loss on_server_lost() = 0;
    // The server drains; `at_limit`: the time that is left for what is open is over.
    virtual void on_drain(bool at_limit) = 0;
    // It takes no more bytes for now.
    virtual bool crowded() const = 0;
};

struct UnitPayload : core::Payload {
    explicit UnitPayload(std::weak_ptr<Unit> whose) : unit(std::move(whose)) {}
    std::weak_ptr<Unit> unit;
};

}  // namespace flaxdoor::pg
