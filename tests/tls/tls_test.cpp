// Two channels connected to each other, with every split of the bytes, and certificates that must not be
// trusted.
#include "tls/tls.h"

#include <gtest/gtest.h>

#include "standins/certificate.h"

namespace flaxdoor::tls {
namespace {

using standins::Certificate;

// Transfers bytes in both directions, `step` bytes at a time, until neither channel has output.
void exchange(Channel& a, Channel& b, std::size_t step) {
    for (bool moved = true; moved;) {
        moved = false;
        for (const auto& [from, to] : {std::pair{&a, &b}, std::pair{&b, &a}}) {
            const std::string bytes(from->output());
            from->wrote(bytes.size());
            for (std::size_t at = 0; at < bytes.size(); at += step) (void)to->receive(bytes.substr(at, step));
            moved |= !bytes.empty();
        }
    }
}

TEST(Tls, TransfersBothWaysInEverySplit) {
    const Certificate server_certificate("server.example");
    const auto server_context =
        Context::for_clients(server_certificate.certificate(), server_certificate.key());
    const auto client_context = Context::for_servers(server_certificate.certificate());
    for (const std::size_t step : {std::size_t{1}, std::size_t{7}, std::size_t{100'000}}) {
        Channel server(server_context);
        Channel client(client_context, "server.example");
        client.send("said before the handshake");
        exchange(client, server, step);
        ASSERT_TRUE(client.established()) << client.error();
        EXPECT_EQ(server.take_plain(), "said before the handshake");
        const std::string large(300'000, 'x');
        server.send(large);
        exchange(client, server, step * 100);
        EXPECT_EQ(client.take_plain(), large);
        server.finish();
        exchange(client, server, step);
        EXPECT_TRUE(client.ended());
        EXPECT_FALSE(client.failed());
    }
}

TEST(Tls, NamesAndAuthoritiesAreVerified) {
    const Certificate server_certificate("server.example"), by_address("IP:127.0.0.1"),
        other("server.example");
    const auto fails = [](const Certificate& presented, const Certificate& trusted, const std::string& name) {
        Channel server(Context::for_clients(presented.certificate(), presented.key()));
        Channel client(Context::for_servers(trusted.certificate()), name);
        exchange(client, server, 1000);
        EXPECT_EQ(client.failed(), !client.established());
        if (client.failed()) {
            EXPECT_NE(client.error(), "");
        }
        return client.failed();
    };
    EXPECT_FALSE(fails(server_certificate, server_certificate, "server.example"));
    EXPECT_TRUE(fails(server_certificate, server_certificate, "other.example"));
    EXPECT_TRUE(fails(server_certificate, server_certificate, "127.0.0.1"));
    EXPECT_FALSE(fails(by_address, by_address, "127.0.0.1"));
    EXPECT_TRUE(fails(by_address, by_address, "127.0.0.2"));
    EXPECT_TRUE(fails(server_certificate, other, "server.example"));
    EXPECT_FALSE(fails(server_certificate, other, "")) << "verification was not requested";
}

TEST(Tls, SelectsCertificateByServerName) {
    const Certificate exact("a.example"), wild("*.w.example"), any("b.test");
    const auto pem = [](const std::string& host, const Certificate& server_certificate) {
        return Context::Named{host, server_certificate.certificate_text(), server_certificate.key_text()};
    };
    const auto without_default = Context::for_clients({pem("*.w.example", wild), pem("a.example", exact)});
    const auto with_default = Context::for_clients({pem("", any), pem("a.example", exact)});
    const auto connects = [](const std::shared_ptr<const Context>& presented, const Certificate& trusted,
                             const std::string& name) {
        Channel server(presented);
        Channel client(Context::for_servers(trusted.certificate()), name);
        exchange(client, server, 1000);
        if (client.established()) {
            EXPECT_EQ(server.server_name(), name);
        }
        return client.established();
    };
    EXPECT_TRUE(connects(without_default, exact, "a.example"));
    EXPECT_TRUE(connects(without_default, wild, "c.w.example"));
    EXPECT_FALSE(connects(without_default, any, "b.test")) << "no certificate has this name";
    EXPECT_TRUE(connects(with_default, any, "b.test"));
    EXPECT_EQ(Context::fault_of(exact.certificate_text(), exact.key_text()), "");
    EXPECT_NE(Context::fault_of(exact.certificate_text(), wild.key_text()), "");
    EXPECT_NE(Context::fault_of("rubbish", wild.key_text()), "");
    EXPECT_THROW((void)Context::for_clients({{"x", "rubbish", "rubbish"}}), Error);
}

TEST(Tls, ErrorsNameUnusableFiles) {
    const Certificate server_certificate("a"), other("b");
    const auto file_of = [](auto make) -> std::string {
        try {
            make();
        } catch (const Error& error) {
            return error.file;
        }
        return "none";
    };
    EXPECT_EQ(file_of([&] { (void)Context::for_clients("/none", server_certificate.key()); }), "/none");
    EXPECT_EQ(file_of([&] {
                  (void)Context::for_clients(server_certificate.certificate(),
                                             server_certificate.certificate());
              }),
              server_certificate.certificate());
    EXPECT_EQ(file_of([&] { (void)Context::for_clients(server_certificate.certificate(), other.key()); }),
              other.key());
    EXPECT_EQ(file_of([&] { (void)Context::for_servers("/none"); }), "/none");
}

TEST(Tls, InvalidBytesFail) {
    const Certificate server_certificate("a");
    Channel server(Context::for_clients(server_certificate.certificate(), server_certificate.key()));
    EXPECT_FALSE(server.receive("GET / HTTP/1.1\r\n\r\n"));
    EXPECT_TRUE(server.failed());
    EXPECT_NE(server.error(), "");
}

}  // namespace
}  // namespace flaxdoor::tls
