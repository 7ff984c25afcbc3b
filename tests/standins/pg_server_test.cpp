// The stand-in of a PostgreSQL server as others rely on it: what it is while it is dead.
#include "standins/pg_server.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace standins::pg {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// A test that runs beside could get its port, and clients of the dead one would come to the other's server.
TEST(PgServer, ADeadOneTurnsAwayAndKeepsItsPort) {
    asio::io_context loop;
    Journal journal;
    Server server(loop.get_executor(), journal);
    const tcp::endpoint where(asio::ip::address_v4::loopback(), server.port());
    server.die();
    tcp::socket client(loop), other(loop, tcp::v4());
    boost::system::error_code error;
    EXPECT_EQ(client.connect(where, error), asio::error::connection_refused);
    EXPECT_EQ(other.bind(where, error), asio::error::address_in_use);
    server.restart();
    EXPECT_EQ(server.port(), where.port());
    tcp::socket again(loop);
    EXPECT_FALSE(again.connect(where, error)) << error.message();
}

}  // namespace
}  // namespace standins::pg
