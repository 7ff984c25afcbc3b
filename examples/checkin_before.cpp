// A check-in service without the library: sequential requests on plain sockets, with hand-written retries. It
// demonstrates a bug: it resends a check-in that was not answered, although that may have been executed.
// checkin_after.cpp is the same service with the library.
//
//     checkin_before COUNT ADDRESS:PORT...     prints "donor-N in" or "donor-N failed" for each check-in
#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace {

constexpr int max_attempts = 3;
constexpr timeval socket_timeout{0, 150'000};

// Returns the status of the response, or 0 if none arrived in time.
int send_request(const std::string& server, const std::string& request) {
    const auto colon = server.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(server.c_str() + colon + 1)));
    if (::inet_pton(AF_INET, server.substr(0, colon).c_str(), &address.sin_addr) != 1) return 0;
    const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connection < 0) return 0;
    ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &socket_timeout, sizeof socket_timeout);
    ::setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &socket_timeout, sizeof socket_timeout);
    int status = 0;
    if (::connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
        ::send(connection, request.data(), request.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(request.size())) {
        std::string answer;
        char buffer[4096];
        for (ssize_t received = 0; (received = ::recv(connection, buffer, sizeof buffer, 0)) > 0;) {
            answer.append(buffer, static_cast<std::size_t>(received));
            const auto head = answer.find("\r\n\r\n");
            const auto length = answer.find("Content-Length: ");
            if (head == std::string::npos || length > head) continue;
            if (answer.size() - head - 4 < std::strtoul(answer.c_str() + length + 16, nullptr, 10)) continue;
            status = std::atoi(answer.c_str() + 9);
            break;
        }
    }
    ::close(connection);
    return status;
}

bool check_in(int donor, const std::vector<std::string>& servers) {
    const std::string body = "donor=" + std::to_string(donor);
    for (int i = 0; i < max_attempts; ++i) {
        const std::string request = "POST /api?op=donor-" + std::to_string(donor) +
                                    " HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: t" +
                                    std::to_string(donor) + "-" + std::to_string(i) +
                                    "\r\nX-Call-Class: check-in\r\nX-Budget-Ms: 150\r\nContent-Length: " +
                                    std::to_string(body.size()) + "\r\n\r\n" + body;
        const auto server_index = static_cast<std::size_t>(donor + i) % servers.size();
        if (send_request(servers[server_index], request) == 200) return true;
        // The bug: an attempt without a readable response may have been executed, and is repeated here.
    }
    return false;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return std::puts("usage: checkin_before COUNT ADDRESS:PORT..."), 2;
    const std::vector<std::string> servers(argv + 2, argv + argc);
    for (int donor = 1; donor <= std::atoi(argv[1]); ++donor) {
        std::printf("donor-%d %s\n", donor, check_in(donor, servers) ? "in" : "failed");
    }
    return 0;
}
