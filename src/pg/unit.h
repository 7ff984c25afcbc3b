// Interfaces between client sessions (listener.cpp) and server connections (server_connection_pool.cpp).
// Threading: the loop's thread only. Life: no object outlives the loop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/call.h"
#include "pg/server_machine.h"
#include "pg/session.h"

namespace flaxdoor::pg {

// A server connection, as seen by the client that is linked to it. Valid from on_link() until release(),
// abandon() or on_server_lost().
class ServerLink {
public:
    virtual ~ServerLink() = default;
    virtual ServerMachine& machine() = 0;
    virtual UpstreamId upstream() const = 0;
    virtual bool takes_work() const = 0;
    // The machine has output to be written.
    virtual void flush() = 0;
    virtual void resume() = 0;  // the client accepts bytes again
    virtual void started() = 0;
    virtual void served() = 0;
    virtual void release(bool dirty) = 0;
    // Asks the server to cancel what runs; its answer still follows.
    virtual void cancel() = 0;
    // Ends the link, whatever runs: the attempt ends with this outcome, or as one that was never executed.
    virtual void abandon(Outcome outcome) = 0;
};

// A client, as seen by the server connection that is linked to it.
class LinkedClient {
public:
    virtual ~LinkedClient() = default;
    virtual const std::string& user() const = 0;
    // The policy module has chosen an upstream; the client may still wait for a connection to it.
    virtual void on_placed() = 0;
    // An attempt has ended with nothing sent. `tell` reports that to the core.
    virtual void ended_unsent(const std::function<void()>& tell) = 0;
    // Returns the server connection that the client requires; null if any will do.
    virtual ServerLink* required_link() const = 0;
    [[nodiscard]] virtual bool on_link(ServerLink& server_link) = 0;
    virtual void on_server(const ServerEvent& event) = 0;
    // All available events have been passed in, or the server accepts bytes again.
    virtual void after_server() = 0;
    // The link has ended. This ends the client's session if the server held its state.
    virtual LossReport on_server_lost(LossCause cause) = 0;
    // The server is draining. `at_limit`: the time limit for open transactions has passed.
    virtual void on_drain(bool at_limit) = 0;
    // Returns true while the client's output buffer is full.
    virtual bool is_output_full() const = 0;
};

struct ClientPayload : core::Payload {
    explicit ClientPayload(std::weak_ptr<LinkedClient> linked_client) : client(std::move(linked_client)) {}
    std::weak_ptr<LinkedClient> client;
};

}  // namespace flaxdoor::pg
