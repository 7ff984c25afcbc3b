// The client of the API server over sockets, plain and with TLS, against the stand-in.
#include "kube/client.h"

#include <gtest/gtest.h>

#include <fstream>

#include "rig.h"
#include "standins/certificate.h"

namespace flaxdoor::kube {
namespace {

using namespace gateway::test;

struct ClientFixture {
    explicit ClientFixture(standins::KubeApi::Settings settings = {}) : api(io, std::move(settings)) {
        api.play(class_and_gateway());
        config.host = "127.0.0.1";
        config.port = api.address().port();
        config.tls = false;
    }
    struct Result {
        int status = 0, ends = 0;
        std::string body, error;
        bool complete = false;
    };
    std::shared_ptr<Result> ask(Client& client, Client::Call call) {
        const auto result = std::make_shared<Result>();
        (void)client.start(std::move(call), {[result](int status, Micros) { result->status = status; },
                                             [result](std::string_view bytes) { result->body.append(bytes); },
                                             [result](bool complete, const std::string& error) {
                                                 result->complete = complete;
                                                 result->error = error;
                                                 ++result->ends;
                                             }});
        return result;
    }
    bool until(const std::function<bool()>& holds) { return standins::run_until(io, holds); }
    std::shared_ptr<Result> ask_and_wait(Client& client, Client::Call call) {
        auto result = ask(client, std::move(call));
        EXPECT_TRUE(until([&] { return result->ends > 0; }));
        return result;
    }
    asio::io_context io{1};
    standins::KubeApi api;
    Config config;
};

Client::Call get_call(const std::string& target) {
    Client::Call call;
    call.target = target;
    return call;
}
const std::string classes = "/apis/gateway.networking.k8s.io/v1/gatewayclasses";

TEST(KubeClient, GetsCompleteResponsesAndReusesTheConnection) {
    ClientFixture fixture;
    Client client(fixture.io.get_executor(), fixture.config);
    for (int i = 0; i < 3; ++i) {
        const auto result = fixture.ask_and_wait(client, get_call(classes));
        EXPECT_TRUE(result->complete) << result->error;
        EXPECT_EQ(result->status, 200);
        EXPECT_NE(result->body.find("flaxdoor"), std::string::npos);
    }
    EXPECT_EQ(client.open(), 0U);
    // A call succeeds although the server has closed the idle connection.
    fixture.api.stop();
    fixture.api.start();
    EXPECT_TRUE(fixture.ask_and_wait(client, get_call(classes))->complete);
}

TEST(KubeClient, AWatchPassesOnEventsAndCanBeCancelled) {
    ClientFixture fixture;
    Client client(fixture.io.get_executor(), fixture.config);
    const auto result = fixture.ask(
        client, get_call(classes + "?watch=1&resourceVersion=" + std::to_string(fixture.api.version())));
    ASSERT_TRUE(fixture.until([&] { return result->status == 200; }));
    fixture.api.play(class_and_gateway());  // unchanged objects: no event
    fixture.api.play("kind: GatewayClass\nmetadata: {name: other}\nspec: {controllerName: x/y}\n");
    ASSERT_TRUE(fixture.until([&] { return result->body.find("other") != std::string::npos; }));
    EXPECT_EQ(std::count(result->body.begin(), result->body.end(), '\n'), 1);
    fixture.api.cut_watches(true);
    ASSERT_TRUE(fixture.until([&] { return result->ends > 0; }));
    EXPECT_FALSE(result->complete);
    const auto cancelled = std::make_shared<ClientFixture::Result>();
    const auto number = client.start(get_call(classes),
                                     {{}, {}, [cancelled](bool, const std::string&) { ++cancelled->ends; }});
    client.cancel(number);
    EXPECT_TRUE(fixture.ask_and_wait(client, get_call(classes))->complete);
    EXPECT_EQ(cancelled->ends, 0);
}

TEST(KubeClient, ACallIsCancelledFromItsOwnHandler) {
    ClientFixture fixture;
    Client client(fixture.io.get_executor(), fixture.config);
    std::uint64_t number = 0;
    int pieces = 0, ends = 0;
    const std::string captured(100, 'k');  // a handler's captures must outlive its call
    number = client.start(get_call(classes), {{},
                                              [&, captured](std::string_view) {
                                                  ++pieces;
                                                  client.cancel(number);
                                                  EXPECT_EQ(captured, std::string(100, 'k'));
                                              },
                                              [&](bool, const std::string&) { ++ends; }});
    ASSERT_TRUE(fixture.until([&] { return pieces > 0; }));
    EXPECT_TRUE(fixture.ask_and_wait(client, get_call(classes))->complete);
    EXPECT_EQ(pieces, 1);
    EXPECT_EQ(ends, 0);
}

TEST(KubeClient, ACallWithoutProgressTimesOut) {
    ClientFixture fixture;
    fixture.api.stall(true);
    Client client(fixture.io.get_executor(), fixture.config);
    Client::Call call = get_call(classes);
    call.limit = 20ms;
    const auto result = fixture.ask_and_wait(client, call);
    EXPECT_FALSE(result->complete);
    EXPECT_EQ(result->error, "timed out without progress");
}

TEST(KubeClient, ReportsAFailedConnection) {
    ClientFixture fixture;
    fixture.api.stop();
    Client client(fixture.io.get_executor(), fixture.config);
    const auto result = fixture.ask_and_wait(client, get_call(classes));
    EXPECT_FALSE(result->complete);
    EXPECT_NE(result->error.find("connect"), std::string::npos);
}

TEST(KubeClient, VerifiesTheCertificateAndReadsTheTokenFile) {
    const standins::Certificate certificate("IP:127.0.0.1"), other("IP:127.0.0.1");
    standins::KubeApi::Settings settings;
    settings.certificate = certificate.certificate();
    settings.key = certificate.key();
    settings.token = "secret";
    ClientFixture fixture(settings);
    fixture.config.tls = true;
    fixture.config.authorities = certificate.certificate_text();
    const std::string token = certificate.certificate() + ".token";
    std::ofstream(token) << "secret\n";
    fixture.config.token_file = token;
    {
        Client client(fixture.io.get_executor(), fixture.config);
        const auto result = fixture.ask_and_wait(client, get_call(classes));
        EXPECT_EQ(result->status, 200) << result->error;
        EXPECT_EQ(fixture.ask_and_wait(client, get_call(classes))->status, 200) << "on the reused connection";
    }
    std::ofstream(token) << "wrong\n";
    {
        Client client(fixture.io.get_executor(), fixture.config);
        EXPECT_EQ(fixture.ask_and_wait(client, get_call(classes))->status, 401);
    }
    fixture.config.authorities = other.certificate_text();
    {
        Client client(fixture.io.get_executor(), fixture.config);
        const auto result = fixture.ask_and_wait(client, get_call(classes));
        EXPECT_FALSE(result->complete);
        EXPECT_NE(result->error.find("TLS"), std::string::npos) << result->error;
    }
    fixture.config.authorities = "rubbish";
    EXPECT_THROW(Client(fixture.io.get_executor(), fixture.config), std::runtime_error);
}

}  // namespace
}  // namespace flaxdoor::kube
