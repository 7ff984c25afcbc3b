// Two channels, one to each other, in every split; what must not be trusted is not.
#include "tls/tls.h"

#include <gtest/gtest.h>

#include "standins/certificate.h"

namespace flaxdoor::tls {
namespace {

using standins::Certificate;

// Carries bytes to and fro, `step` at a time, until nothing moves.
void talk(Channel& a, Channel& b, std::size_t step) {
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

TEST(Tls, BothWaysInEverySplit) {
    const Certificate made("server.example");
    const auto server_context = Context::for_clients(made.certificate(), made.key());
    const auto client_context = Context::for_servers(made.certificate());
    for (const std::size_t step : {std::size_t{1}, std::size_t{7}, std::size_t{100'000}}) {
        Channel server(server_context);
        Channel client(client_context, "server.example");
        client.send("said before the handshake");
        talk(client, server, step);
        ASSERT_TRUE(client.established()) << client.error();
        EXPECT_EQ(server.take_plain(), "said before the handshake");
        const std::string much(300'000, 'x');
        server.send(much);
        talk(client, server, step * 100);
        EXPECT_EQ(client.take_plain(), much);
        server.finish();
        talk(client, server, step);
        EXPECT_TRUE(client.ended());
        EXPECT_FALSE(client.failed());
    }
}

TEST(Tls, NamesAndAuthoritiesAreVerified) {
    const Certificate made("server.example"), by_address("IP:127.0.0.1"), other("server.example");
    const auto fails = [](const Certificate& shown, const Certificate& trusted, const std::string& name) {
        Channel server(Context::for_clients(shown.certificate(), shown.key()));
        Channel client(Context::for_servers(trusted.certificate()), name);
        talk(client, server, 1000);
        EXPECT_EQ(client.failed(), !client.established());
        if (client.failed()) {
            EXPECT_NE(client.error(), "");
        }
        return client.failed();
    };
    EXPECT_FALSE(fails(made, made, "server.example"));
    EXPECT_TRUE(fails(made, made, "other.example"));
    EXPECT_TRUE(fails(made, made, "127.0.0.1"));
    EXPECT_FALSE(fails(by_address, by_address, "127.0.0.1"));
    EXPECT_TRUE(fails(by_address, by_address, "127.0.0.2"));
    EXPECT_TRUE(fails(made, other, "server.example"));
    EXPECT_FALSE(fails(made, other, "")) << "not asked to verify";
}

TEST(Tls, ACertificateByTheNameThatIsAskedFor) {
    const Certificate exact("a.example"), wild("*.w.example"), any("b.test");
    const auto pem = [](const std::string& host, const Certificate& made) {
        return Context::Named{host, made.certificate_text(), made.key_text()};
    };
    const auto several = Context::for_clients({pem("*.w.example", wild), pem("a.example", exact)});
    const auto with_any = Context::for_clients({pem("", any), pem("a.example", exact)});
    const auto met = [](const std::shared_ptr<const Context>& shown, const Certificate& trusted,
                        const std::string& name) {
        Channel server(shown);
        Channel client(Context::for_servers(trusted.certificate()), name);
        talk(client, server, 1000);
        if (client.established()) {
            EXPECT_EQ(server.server_name(), name);
        }
        return client.established();
    };
    EXPECT_TRUE(met(several, exact, "a.example"));
    EXPECT_TRUE(met(several, wild, "c.w.example"));
    EXPECT_FALSE(met(several, any, "b.test")) << "nobody has it";
    EXPECT_TRUE(met(with_any, any, "b.test"));
    EXPECT_EQ(Context::fault_of(exact.certificate_text(), exact.key_text()), "");
    EXPECT_NE(Context::fault_of(exact.certificate_text(), wild.key_text()), "");
    EXPECT_NE(Context::fault_of("rubbish", wild.key_text()), "");
    EXPECT_THROW((void)Context::for_clients({{"x", "rubbish", "rubbish"}}), Error);
}

TEST(Tls, FilesThatCantBeUsedAreNamed) {
    const Certificate made("a"), other("b");
    const auto file_of = [](auto make) -> std::string {
        try {
            make();
        } catch (const Error& error) {
            return error.file;
        }
        return "none";
    };
    EXPECT_EQ(file_of([&] { (void)Context::for_clients("/none", made.key()); }), "/none");
    EXPECT_EQ(file_of([&] { (void)Context::for_clients(made.certificate(), made.certificate()); }),
              made.certificate());
    EXPECT_EQ(file_of([&] { (void)Context::for_clients(made.certificate(), other.key()); }), other.key());
    EXPECT_EQ(file_of([&] { (void)Context::for_servers("/none"); }), "/none");
}

TEST(Tls, RubbishFails) {
    const Certificate made("a");
    Channel server(Context::for_clients(made.certificate(), made.key()));
    EXPECT_FALSE(server.receive("GET / HTTP/1.1\r\n\r\n"));
    EXPECT_TRUE(server.failed());
    EXPECT_NE(server.error(), "");
}

}  // namespace
}  // namespace flaxdoor::tls
