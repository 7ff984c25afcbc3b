// SCRAM-SHA-256: the example of the RFC, and both sides against each other.
#include "pg/scram.h"

#include <gtest/gtest.h>

namespace flaxdoor::pg {
namespace {

// RFC 7677, section 3. The client of the example sends the user name "user", whereas PostgreSQL's clients
// leave it empty. The example therefore checks the server side only, and the client side is checked against
// the server side.
TEST(Scram, ServerSideMatchesTheRfcExample) {
    const auto salt = from_base64("W22ZaJ0SNY7soEsUEjb6gQ==");
    ASSERT_TRUE(salt);
    ScramServer server(make_verifier("pencil", *salt, 4096), "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0");
    EXPECT_EQ(server.first("n,,n=user,r=rOprNGfwEbeRWgbNEkqO"),
              "r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096");
    std::string proof;
    EXPECT_EQ(server.final("c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,"
                           "p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=",
                           proof),
              ScramServer::Result::accepted);
    EXPECT_EQ(proof, "v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=");
}

TEST(Scram, BothSidesAgreeOnlyOnTheRightPassword) {
    for (const bool right : {true, false}) {
        ScramSecret secret{"correct horse", {}, {}, 0};
        ScramClient client(secret, "client+nonce");
        ScramServer server(make_verifier(right ? "correct horse" : "battery", "0123456789abcdef", 4096),
                           "server+nonce");
        const auto first = server.first(client.first());
        ASSERT_TRUE(first);
        const auto final = client.final(*first);
        ASSERT_TRUE(final);
        std::string proof;
        EXPECT_EQ(server.final(*final, proof),
                  right ? ScramServer::Result::accepted : ScramServer::Result::refused);
        EXPECT_EQ(client.proven(proof), right);
    }
}

TEST(Scram, ServerWithoutTheSecretIsDetected) {
    ScramSecret secret{"x", {}, {}, 0};
    ScramClient client(secret, "n");
    (void)client.first();
    ASSERT_TRUE(client.final("r=nother,s=" + base64("salt") + ",i=4096"));
    EXPECT_FALSE(client.proven("v=" + base64(std::string(32, 'x'))));
    EXPECT_FALSE(client.proven(""));
}

TEST(Scram, WhatIsMalformedIsRefused) {
    ScramSecret secret{"x", {}, {}, 0};
    for (const std::string first :
         {"", "r=n", "r=n,s=AAAA,i=4096", "r=other,s=AAAA,i=4096", "r=nx,s=A,i=4096", "r=nx,s=AAAA,i=0",
          "r=nx,s=AAAA,i=99999999", "r=nx,s=AAAA,i=4096x"}) {
        ScramClient client(secret, "n");
        (void)client.first();
        EXPECT_FALSE(client.final(first)) << first;
    }
    for (const std::string first :
         {"", "n,,", "p=tls-unique,,n=,r=x", "n,,n=,r=", "n,a=x,n=,r=x", "n,,r=x"}) {
        ScramServer server(make_verifier("x", "salt", 1), "s");
        EXPECT_FALSE(server.first(first)) << first;
    }
    const std::string proof = base64(std::string(32, 'x'));
    for (const std::string& final :
         {std::string(), std::string("c=biws"), std::string("c=biws,r=xs,p=AAAA"),
          std::string("c=eSws,r=xs,p=" + proof), std::string("c=biws,r=xt,p=" + proof)}) {
        ScramServer server(make_verifier("x", "salt", 1), "s");
        ASSERT_TRUE(server.first("n,,n=,r=x"));
        std::string out;
        EXPECT_EQ(server.final(final, out), ScramServer::Result::malformed) << final;
    }
}

TEST(Md5, MatchesPostgres) {
    // select 'md5' || md5(md5('secret' || 'user') || 'salt')
    EXPECT_EQ(md5_answer("user", "secret", "salt"), "md5440c573f34f2e2f3ff4b6dbdd8a2686b");
}

TEST(Base64, RoundTrip) {
    for (const std::string text : {"", "a", "ab", "abc", "abcd"}) EXPECT_EQ(from_base64(base64(text)), text);
    EXPECT_FALSE(from_base64("a"));
    EXPECT_FALSE(from_base64("!!!!"));
}

}  // namespace
}  // namespace flaxdoor::pg
