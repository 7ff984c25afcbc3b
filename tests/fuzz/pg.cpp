// PostgreSQL's protocol: any bytes of a client and of a server, in any pieces, give the same events; a
// session between both never breaks, and answers in whole messages.
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "fuzz/require.h"
#include "pg/client_machine.h"
#include "pg/server_machine.h"
#include "pg/session.h"

using namespace flaxdoor::pg;
using flaxdoor::Micros;

using flaxdoor::fuzz::require;

namespace {

std::string decoded(Sender sender, std::string_view bytes, std::size_t step) {
    Limits limits;
    limits.held = 50;
    limits.whole = 5000;
    Decoder decoder(sender, limits);
    std::string all;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        decoder.feed(bytes.substr(at, step));
        while (const auto message = decoder.next()) {
            if (message->first) all += std::string(1, message->type) + std::to_string(message->length) + ":";
            all += message->body;
            if (message->last) all += "|";
        }
    }
    // An unfinished piece is cut elsewhere by another split; what came of it is the same.
    return all + decoder.error();
}

// Takes each unit at once, with one server that says what the input says.
class Host final : public SessionHost {
public:
    explicit Host(ServerMachine& machine) : server(machine) {}
    void request_server(UnitKind, bool) override { wanted = true; }
    void leave_unit(bool) override { linked = wanted = false; }
    void unit_started() override {}
    void unit_served() override {}
    void release(bool) override { linked = false; }
    void cancel_running() override {}
    void expire_unit() override {}
    void set_deadline(Micros) override {}
    std::string& client_output() override { return output; }

    ServerMachine& server;
    std::string output;
    bool wanted = false, linked = false;
};

const std::string welcome("R\0\0\0\x08\0\0\0\0K\0\0\0\x0c\0\0\0\1\0\0\0\2Z\0\0\0\x05I", 28);

void converse(std::string_view bytes) {
    ServerOptions options;
    options.user = options.database = "x";
    options.limits.whole = 5000;
    ServerMachine server(options);
    server.receive(welcome);
    const auto up = server.next();
    require(up && up->kind == ServerEvent::Kind::logged_in, "no login");
    server.wrote(server.output().size());
    Host host(server);
    Statements statements;
    Session session(host, statements, {}, {});
    session.begin(server.parameters());
    Limits limits;
    limits.whole = 5000;
    Decoder client(Sender::client, limits);
    // Each piece has a byte for whose it is, and one for its length.
    while (bytes.size() > 2 && !session.over()) {
        const auto whose = static_cast<unsigned char>(bytes[0]);
        const auto size = static_cast<unsigned char>(bytes[1]);
        const std::string_view piece = bytes.substr(2, size);
        bytes.remove_prefix(2 + piece.size());
        if (whose % 4 == 3) {
            if (host.linked) {
                host.linked = false;
                (void)session.on_server_lost();
                if (session.in_unit()) session.on_failed(Failure::lost);
                return;
            }
            session.on_cancel();
        } else if (whose % 2) {
            server.receive(piece);
        } else {
            client.feed(piece);
        }
        while (session.can_accept_message() && !session.over()) {
            const auto message = client.next();
            if (!message) break;
            session.on_message(*message);
            if (host.wanted && session.in_unit()) {
                host.wanted = false;
                host.linked = session.on_link(server);
            }
        }
        server.wrote(server.output().size());
        while (const auto event = server.next()) {
            if (event->kind == ServerEvent::Kind::broken) {
                if (!host.linked) return;
                host.linked = false;
                (void)session.on_server_lost();
                if (session.in_unit()) session.on_failed(Failure::lost);
                return;
            }
            if (host.linked) session.on_server(*event);
        }
    }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    if (bytes.empty()) return 0;
    for (const Sender sender : {Sender::client, Sender::server}) {
        const std::string whole = decoded(sender, bytes, bytes.size());
        for (const std::size_t step : {std::size_t{1}, std::size_t{7}})
            require(decoded(sender, bytes, step) == whole, "the messages differ with the split");
    }
    ClientMachine machine({});
    machine.receive(bytes);
    while (const auto event = machine.next()) {
        if (event->kind == ClientEvent::Kind::start) {
            machine.authenticate({});
            machine.welcome({}, {});
        }
    }
    (void)facts_of(bytes);
    converse(bytes);
    return 0;
}
