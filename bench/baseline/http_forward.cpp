// flaxdoor_http_forward: the price of HTTP. Requests and answers are read, checked and worded anew by the
// same machines that the balancer has, and go to the next server in turn on a connection that is kept: no
// module, no deadlines, no second attempts, one thread.
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "http/client_machine.h"
#include "http/platform.h"
#include "http/server_machine.h"
#include "proxy.h"

namespace {

using namespace flaxdoor::bench;
namespace http = flaxdoor::http;

// A socket with what is asked of epoll for it. The one or the other kind of connection.
struct Socket {
    virtual ~Socket() = default;
    int fd = -1;
    std::uint32_t asked = EPOLLIN;
    bool over = false;
};
struct Link;
struct Client final : Socket {
    http::ServerMachine machine;
    Link* link = nullptr;  // its request is on the way
};
struct Link final : Socket {
    http::ClientMachine machine;
    Client* client = nullptr;
    std::size_t server = 0;
};

class Forward {
public:
    Forward(int listener, const std::vector<sockaddr_in>& servers) : listener_(listener) {
        for (const auto& each : servers) servers_.push_back({each, {}});
        poll_.add(listener_, EPOLLIN, nullptr);
    }
    Forward(const Forward&) = delete;
    Forward& operator=(const Forward&) = delete;

    [[noreturn]] void run() {
        for (;;) {
            poll_.wait(-1, [this](void* of, std::uint32_t) {
                auto* const socket = static_cast<Socket*>(of);
                if (!socket) return accept();
                if (socket->over) return;
                if (auto* const client = dynamic_cast<Client*>(socket)) {
                    move(*client);
                } else {
                    move(static_cast<Link&>(*socket));
                }
            });
            // Events of this turn may still have named them.
            over_.clear();
        }
    }

private:
    struct Server {
        sockaddr_in address;
        std::vector<Link*> idle;
    };

    void accept() {
        const int fd = accept_from(listener_);
        if (fd < 0) return;
        auto client = std::make_unique<Client>();
        client->fd = fd;
        poll_.add(fd, EPOLLIN, client.get());
        client.release();  // until end() takes it back
    }

    // The bytes that have come; nothing: none. Empty: the end. The machine is told of a break by `broken`.
    std::optional<std::string_view> read(const Socket& socket, bool& broken) {
        const auto got = ::recv(socket.fd, room_.data(), room_.size(), 0);
        if (got >= 0) return std::string_view(room_.data(), static_cast<std::size_t>(got));
        broken = errno != EAGAIN;
        return std::nullopt;
    }

    void move(Client& client) {
        bool broken = false;
        if (const auto bytes = read(client, broken)) {
            if (bytes->empty()) {
                client.machine.receive_end();
            } else {
                client.machine.receive(*bytes);
            }
        } else if (broken) {
            client.machine.reset();
        }
        pump(client);
    }

    void pump(Client& client) {
        for (bool more = true; more;) {
            while (auto event = client.machine.next()) {
                if (event->kind == http::ServerEvent::Kind::request)
                    forward(client, std::move(event->request));
            }
            more = write(client, client.machine);
        }
        if (client.machine.state() == http::ServerState::over) return end(client);
        if (client.machine.state() == http::ServerState::lingering) ::shutdown(client.fd, SHUT_WR);
        ask(client, client.machine.wants_read(), !client.machine.output().empty());
    }

    void forward(Client& client, http::Request request) {
        http::prepare_upstream_request(request);
        Server& server = servers_[next_ % servers_.size()];
        Link* link = nullptr;
        if (server.idle.empty()) {
            auto made = std::make_unique<Link>();
            made->fd = connect_to(server.address);
            made->server = next_ % servers_.size();
            link = made.release();  // until end() takes it back
            poll_.add(link->fd, EPOLLIN, link);
        } else {
            link = server.idle.back();
            server.idle.pop_back();
        }
        ++next_;
        link->client = &client;
        client.link = link;
        (void)link->machine.begin(request);  // it is idle
        (void)write(*link, link->machine);
        ask(*link, true, !link->machine.output().empty());
    }

    void move(Link& link) {
        if (!link.machine.output().empty()) (void)write(link, link.machine);
        bool broken = false;
        std::optional<http::ClientResult> result;
        if (const auto bytes = read(link, broken)) {
            result = bytes->empty() ? link.machine.receive_end() : link.machine.receive(*bytes);
        } else if (broken) {
            result = link.machine.reset();
        }
        if (!result) return ask(link, true, !link.machine.output().empty());
        Client* const client = std::exchange(link.client, nullptr);
        if (result->reusable) {
            servers_[link.server].idle.push_back(&link);
            ask(link, true, false);
        } else {
            std::erase(servers_[link.server].idle, &link);
            end(link);
        }
        if (!client) return;
        client->link = nullptr;
        const bool whole = result->kind == http::ClientResult::Kind::answered;
        if (whole) http::prepare_client_response(result->answer);
        (void)client->machine.answer(whole ? result->answer : http::error_response(502));
        pump(*client);
    }

    // Whether the machine has something new to say, now that bytes are written.
    template <typename Machine>
    bool write(Socket& socket, Machine& machine) {
        const auto bytes = machine.output();
        if (bytes.empty()) return false;
        const auto sent = ::send(socket.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) return false;  // a break shows when it is read
        machine.wrote(static_cast<std::size_t>(sent));
        return true;
    }

    void ask(Socket& socket, bool reads, bool writes) {
        const std::uint32_t wanted = (reads ? EPOLLIN : 0U) | (writes ? EPOLLOUT : 0U);
        if (socket.over || wanted == socket.asked) return;
        socket.asked = wanted;
        poll_.change(socket.fd, wanted, &socket);
    }

    void end(Client& client) {
        if (client.link) {
            client.link->client = nullptr;
            end(*client.link);
        }
        end(static_cast<Socket&>(client));
    }
    void end(Socket& socket) {
        socket.over = true;
        ::close(socket.fd);
        over_.emplace_back(&socket);
    }

    Poll poll_;
    std::vector<Server> servers_;
    std::vector<std::unique_ptr<Socket>> over_;
    std::array<char, 64 * 1024> room_{};
    std::size_t next_ = 0;
    const int listener_;
};

}  // namespace

int main(int argc, char** argv) {
    return run_proxy<Forward>(
        argc, argv,
        "Reads HTTP and forwards it to servers in turn, with no balancer's module: the price of HTTP");
}
