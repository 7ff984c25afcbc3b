// flaxdoor_relay: the floor of any proxy here. Each client's connection gets one to the next server in turn,
// and bytes are copied both ways, on one thread; nothing is understood, nothing is shared.
#include <memory>
#include <vector>

#include "proxy.h"

namespace {

using namespace flaxdoor::bench;

struct Pair;
struct Side {
    Pair* pair = nullptr;
    int fd = -1;
    std::string unsent;  // what the socket did not take; while there is any, the other side is not read
    bool ended = false;  // its peer sends nothing more
    std::uint32_t asked = EPOLLIN;
};
struct Pair {
    Side client, server;
    bool over = false;
};

class Relay {
public:
    Relay(int listener, const std::vector<sockaddr_in>& servers) : servers_(servers), listener_(listener) {
        poll_.add(listener_, EPOLLIN, nullptr);
    }
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    [[noreturn]] void run() {
        for (;;) {
            poll_.wait(-1, [this](void* of, std::uint32_t events) {
                if (of) {
                    move(*static_cast<Side*>(of), events);
                } else {
                    accept();
                }
            });
            // Events of this turn may still have named them.
            over_.clear();
        }
    }

private:
    void accept() {
        const int fd = accept_from(listener_);
        if (fd < 0) return;
        auto pair = std::make_unique<Pair>();
        pair->client.fd = fd;
        pair->server.fd = connect_to(servers_[next_++ % servers_.size()]);
        for (Side* side : {&pair->client, &pair->server}) {
            side->pair = pair.get();
            poll_.add(side->fd, side->asked, side);
        }
        pair.release();  // until end() takes it back
    }

    void move(Side& side, std::uint32_t events) {
        Pair& pair = *side.pair;
        if (pair.over) return;
        Side& other = &side == &pair.client ? pair.server : pair.client;
        if (events & EPOLLOUT) {
            send(side, "");
            if (side.unsent.empty() && other.ended) ::shutdown(side.fd, SHUT_WR);
        }
        if (!pair.over && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) && other.unsent.empty() && !side.ended) {
            const auto got = ::recv(side.fd, room_.data(), room_.size(), 0);
            if (got > 0) {
                send(other, {room_.data(), static_cast<std::size_t>(got)});
            } else if (got == 0) {
                side.ended = true;
                ::shutdown(other.fd, SHUT_WR);
            } else if (errno != EAGAIN) {
                pair.over = true;
            }
        } else if (events & EPOLLERR) {
            pair.over = true;
        }
        if (pair.over || (side.ended && other.ended)) return end(pair);
        ask(side, other);
        ask(other, side);
    }

    void send(Side& to, std::string_view bytes) {
        if (!to.unsent.empty()) bytes = to.unsent;
        const auto sent = ::send(to.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN) {
            to.pair->over = true;
            return;
        }
        if (sent > 0) bytes.remove_prefix(static_cast<std::size_t>(sent));
        std::string rest(bytes);
        to.unsent.swap(rest);
    }

    void ask(Side& side, const Side& other) {
        const std::uint32_t wanted =
            (!side.ended && other.unsent.empty() ? EPOLLIN : 0U) | (side.unsent.empty() ? 0U : EPOLLOUT);
        if (wanted == side.asked) return;
        side.asked = wanted;
        poll_.change(side.fd, wanted, &side);
    }

    void end(Pair& pair) {
        pair.over = true;
        ::close(pair.client.fd);
        ::close(pair.server.fd);
        over_.emplace_back(&pair);
    }

    Poll poll_;
    std::vector<sockaddr_in> servers_;
    std::vector<std::unique_ptr<Pair>> over_;
    std::array<char, 64 * 1024> room_{};
    std::size_t next_ = 0;
    const int listener_;
};

}  // namespace

int main(int argc, char** argv) {
    return run_proxy<Relay>(argc, argv,
                            "Copies bytes between clients and servers, in turn: the floor of a proxy");
}
