// A listener whose backlog is full: what asks to connect gets no answer, as from a machine that is cut off, and comes
// up when there is room again, about a second after it asked (the kernel asks anew by then).
//
// Threading: the caller's.   Ownership: the acceptor is borrowed; it must listen, and nobody may accept meanwhile.
// Errors:    none of its own: what can't be opened fills nothing.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <vector>

namespace flaxdoor::standins {

class FullBacklog {
public:
    explicit FullBacklog(boost::asio::ip::tcp::acceptor& acceptor);
    // There is room again, for so many. What only filled it is accepted and dropped; whoever else has come is handed
    // over.
    [[nodiscard]] std::vector<boost::asio::ip::tcp::socket> make_room(int backlog);

private:
    boost::asio::ip::tcp::acceptor& acceptor_;
    std::vector<boost::asio::ip::tcp::socket> fillers_;
};

// Somebody on this machine asks for a connection to that address and has had no answer.
[[nodiscard]] bool connecting_to(const boost::asio::ip::tcp::endpoint& address);

}  // namespace flaxdoor::standins
