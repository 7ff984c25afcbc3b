// HTTPS listeners: certificates selected by the requested server name, and requests that are not served.
#include <boost/asio/ssl.hpp>

#include "rig.h"
#include "standins/certificate.h"

namespace flaxdoor::gateway::test {
namespace {

namespace ssl = asio::ssl;

std::string base64(const std::string& text) {
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text) {
        bits = (bits << 8) | static_cast<unsigned char>(c);
        for (count += 8; count >= 6; count -= 6) out += digits[(bits >> (count - 6)) & 63];
    }
    if (count > 0) out += digits[(bits << (6 - count)) & 63];
    return out;
}
std::string secret(const std::string& name, const standins::Certificate& certificate,
                   const standins::Certificate& key_owner) {
    return "kind: Secret\nmetadata: {name: " + name +
           ", namespace: booking}\ntype: kubernetes.io/tls\ndata: {tls.crt: " +
           base64(certificate.certificate_text()) + ", tls.key: " + base64(key_owner.key_text()) + "}\n---\n";
}

std::string secret(const std::string& name, const standins::Certificate& certificate) {
    return secret(name, certificate, certificate);
}

// Sends one request over TLS. Requires the certificate `trusted` for `name`. Returns "200 a", or the step
// that failed.
std::string ask(Rig& rig, const std::string& name, const standins::Certificate& trusted,
                const std::string& bytes) {
    ssl::context context(ssl::context::tls_client);
    context.load_verify_file(trusted.certificate());
    ssl::stream<tcp::socket> stream(rig.io, context);
    stream.set_verify_mode(ssl::verify_peer);
    stream.set_verify_callback(ssl::host_name_verification(name));
    SSL_set_tlsext_host_name(stream.native_handle(), name.c_str());
    stream.next_layer().connect(*rig.runtime->address(443));
    std::string in, result;
    std::array<char, 4096> room;
    std::function<void()> read = [&] {
        stream.async_read_some(asio::buffer(room), [&](error_code error, std::size_t got) {
            in.append(room.data(), got);
            const std::string message = standins::peers::take_message(in);
            if (!message.empty()) {
                result = message.substr(9, 3) + " " + message.substr(message.find("\r\n\r\n") + 4);
            } else if (error) {
                result = "ended";
            } else {
                read();
            }
        });
    };
    stream.async_handshake(ssl::stream_base::client, [&](error_code error) {
        if (error) {
            result = "handshake";
            return;
        }
        asio::async_write(stream, asio::buffer(bytes), [&](error_code failed, std::size_t) {
            if (failed) result = "write";
        });
        read();
    });
    EXPECT_TRUE(rig.until([&] { return !result.empty(); }));
    error_code ignored;
    stream.next_layer().close(ignored);
    rig.io.restart();
    rig.io.poll();
    return result;
}

TEST(GatewayTls, SelectsListenersByNameAndRejectsOtherRequests) {
    const standins::Certificate a("a.example"), wild("*.wild.example"), renewed("a.example");
    Rig rig;
    Backend& backend = rig.add_backend("x");
    rig.options.plan.certificate_fault = tls::Context::fault_of;
    rig.api.play(
        class_and_gateway("    - {name: a, port: 443, protocol: HTTPS, hostname: a.example, tls: "
                          "{certificateRefs: [{name: a}]}}\n"
                          "    - {name: w, port: 443, protocol: HTTPS, hostname: \"*.wild.example\", tls: "
                          "{certificateRefs: [{name: w}]}}\n"));
    rig.api.play(secret("a", a) + secret("w", wild) + service("s") + slice("s", {{backend.port(), "p"}}) +
                 http_route("r", to_service("s")));
    ASSERT_TRUE(rig.serve("", 443));
    EXPECT_EQ(ask(rig, "a.example", a, get("a.example", "/")), "200 x");
    EXPECT_EQ(header(backend.requests.back(), "X-Forwarded-Proto"), "https");
    EXPECT_EQ(ask(rig, "q.wild.example", wild, get("q.wild.example", "/")), "200 x");
    EXPECT_EQ(ask(rig, "a.example", a, get("q.wild.example", "/")).substr(0, 3), "421");
    EXPECT_EQ(ask(rig, "a.example", wild, get("a.example", "/")), "handshake");
    EXPECT_EQ(ask(rig, "other.example", a, get("a.example", "/")), "handshake")
        << "there is no certificate for the name";
    // Plain HTTP is not answered on a TLS port.
    const auto plain = rig.send(get("a.example", "/"), 443);
    ASSERT_TRUE(rig.until([&] { return plain->ended; }));
    EXPECT_TRUE(plain->answers.empty());
    // New connections use the renewed certificate.
    rig.api.play(secret("a", renewed));
    ASSERT_TRUE(rig.until([&] { return ask(rig, "a.example", renewed, get("a.example", "/")) == "200 x"; }));
    // A key that doesn't belong to the certificate disables only its own listener.
    rig.api.play(secret("a", a, wild));
    ASSERT_TRUE(rig.until([&] {
        return rig.listener_condition("booking/front", 0, "ResolvedRefs") == "False InvalidCertificateRef";
    }));
    EXPECT_EQ(rig.listener_condition("booking/front", 0, "Programmed"), "False Invalid");
    EXPECT_EQ(ask(rig, "q.wild.example", wild, get("q.wild.example", "/")), "200 x");
    EXPECT_EQ(ask(rig, "a.example", renewed, get("a.example", "/")), "handshake");
    // A long request, sent in several TLS records.
    EXPECT_EQ(
        ask(rig, "q.wild.example", wild, get("q.wild.example", "/", "POST", "", std::string(60000, 'y'))),
        "200 x");
    EXPECT_EQ(rig.core.figures().faults, 0U);
}

}  // namespace
}  // namespace flaxdoor::gateway::test
