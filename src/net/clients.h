// Clients: listening, readiness, requests in, one answer each out, and noticing that a client has gone.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "flaxdoor/decide.h"
#include "net/clock.h"
#include "net/http.h"

namespace flaxdoor::net {

// A request that has been understood. Its `deadline` is not set: what it has left stands in `budget`.
struct ClientRequest {
    Request facts;
    Micros budget{};
    HttpRequest message;
};

class ClientEvents {
public:
    virtual ~ClientEvents() = default;
    virtual void on_client_request(ClientRequest request) = 0;
    virtual void on_client_left(RequestId request) = 0;
};

class Clients {
public:
    // `most` connections are held at once.
    Clients(boost::asio::io_context& loop, const Clock& clock, const Settings& settings, std::size_t most,
            ClientEvents& events);
    ~Clients();

    // Throws boost::system::system_error when the address can't be listened on.
    void listen(const boost::asio::ip::tcp::endpoint& address);
    boost::asio::ip::tcp::endpoint address() const;

    // The one answer of a request. One whose client has gone is dropped.
    void answer(RequestId request, HttpResponse response);
    // From now on every answer closes its connection; those between requests are closed. Returns whether
    // there are others: a request is coming in or waits, or an answer may not have arrived.
    bool wind_down();
    void stop();

private:
    class Connection;
    friend class Connection;

    void accept();
    void take_connection();
    void accept_later();
    bool make_room();
    void sweep();
    void closed(Connection* connection);

    boost::asio::io_context& loop_;
    const Clock& clock_;
    const Settings& settings_;
    const std::size_t most_;
    ClientEvents& events_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_;
    boost::asio::steady_timer sweep_;
    std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
    std::unordered_map<RequestId, Connection*> waiting_;
    RequestId last_id_ = 0;
    bool accepting_ = false;  // an accept is under way
    bool winding_down_ = false;
};

// The request as the policy knows it, or nothing when its headers are not as they must be.
std::optional<ClientRequest> understand(HttpRequest message, const Settings& settings);

}  // namespace flaxdoor::net
