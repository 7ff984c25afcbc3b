#include "backlog.h"

#include <sys/socket.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

namespace flaxdoor::standins {

namespace {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

// With a backlog of 0 the kernel holds one; the other finds it full.
constexpr int fillers = 2;
// proc(5): the state of a socket that has asked and was not answered.
constexpr const char* asked = "02";

}  // namespace

FullBacklog::FullBacklog(tcp::acceptor& acceptor) : acceptor_(acceptor) {
    ::listen(acceptor_.native_handle(), 0);
    const tcp::endpoint address = acceptor_.local_endpoint();
    for (int i = 0; i < fillers; ++i) {
        Error error;
        tcp::socket filler(acceptor_.get_executor());
        filler.open(address.protocol(), error);
        filler.non_blocking(true, error);
        // Not through Asio: it would wait for the end of the connect.
        ::connect(filler.native_handle(), address.data(), static_cast<socklen_t>(address.size()));
        fillers_.push_back(std::move(filler));
    }
}

std::vector<tcp::socket> FullBacklog::make_room(int backlog) {
    ::listen(acceptor_.native_handle(), backlog);
    acceptor_.non_blocking(true);
    std::vector<tcp::socket> others;
    for (Error error; !error;) {
        tcp::socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, error);
        if (error) break;
        const auto peer = socket.remote_endpoint(error);
        const bool filler = std::any_of(fillers_.begin(), fillers_.end(), [&](const tcp::socket& each) {
            Error unknown;
            return !error && each.local_endpoint(unknown) == peer;
        });
        if (!filler) others.push_back(std::move(socket));
        error.clear();
    }
    fillers_.clear();
    return others;
}

bool connecting_to(const tcp::endpoint& address) {
    std::ostringstream port;
    port << std::uppercase << std::hex << address.port();
    std::string wanted = port.str();
    wanted.insert(0, 4 - std::min<std::size_t>(4, wanted.size()), '0');
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);  // the names of its columns
    while (std::getline(table, line)) {
        std::istringstream columns(line);
        std::string number, local, remote, state;
        columns >> number >> local >> remote >> state;
        if (state == asked && remote.ends_with(":" + wanted)) return true;
    }
    return false;
}

}  // namespace flaxdoor::standins
