// The balancer as a library in the test's process, with its embedded listener. An additional test verifies from inside
// that the host's instance serves the listener.
#include <gtest/gtest.h>

#include "in_process_balancer.h"
#include "peers.h"

namespace flaxdoor::test {

namespace {

class LibraryHost final : public Host {
public:
    LibraryHost(asio::io_context& loop, const BalancerOptions& options)
        : balancer_(loop.get_executor(), options) {}

    tcp::endpoint address() const override {
        const std::string text = balancer_.address();
        const auto colon = text.rfind(':');
        return {asio::ip::make_address(text.substr(0, colon)),
                static_cast<unsigned short>(std::stoul(text.substr(colon + 1)))};
    }
    Balancer& balancer() override { return balancer_; }
    void drain() override {
        balancer_.async_drain([] {});
    }
    void close() override {
        balancer_.async_close([] {});
    }

private:
    Balancer balancer_;
};

}  // namespace

std::unique_ptr<BalancerUnderTest> make_form(asio::io_context& loop) {
    return std::make_unique<InProcessBalancer>(
        loop, [](asio::io_context& host_loop, const BalancerOptions& options) {
            return std::make_unique<LibraryHost>(host_loop, options);
        });
}
std::vector<UnsupportedTest> unsupported_tests() { return {}; }

namespace {

// Requests received by the listener and calls made by the host go through one instance: they share its upstream
// connections, and each is counted once in its figures.
TEST(LibraryForm, ListenerAndHostCallsShareAnInstance) {
    BalancerFixture fixture(1);
    fixture.start();
    Balancer& balancer = dynamic_cast<InProcessBalancer&>(*fixture.form).balancer();
    EXPECT_EQ(balancer.address(), text_of(fixture.address));
    const auto client = fixture.client();
    fixture.serve(*client, fixture.look(), "the client's");

    std::optional<CallResult> result;
    CallRequest host_call{.class_name = "once", .budget = std::chrono::seconds(5), .id = "own-1"};
    host_call.body = "body";
    balancer.async_call(host_call, asio::bind_executor(fixture.loop, [&](CallResult call_result) {
                            result = std::move(call_result);
                        }));
    const auto [wire, request] = fixture.request();
    EXPECT_EQ(header(request, "X-Call-Id"), "own-1");
    // The id is open: the listener knows of a call that was not received by it.
    EXPECT_EQ(status(fixture.ask(*client, fixture.once(5000, "body", "own-1"))), 409);
    wire->send(ok("the host's"));
    fixture.until([&] { return result.has_value(); });
    EXPECT_EQ(result->verdict, CallVerdict::served);
    EXPECT_EQ(result->body, "the host's");
    EXPECT_EQ(fixture.connections(), 1U);  // the second call reused the connection of the first
    fixture.until([&] { return balancer.figures().served == 2; });
    const BalancerFigures figures = balancer.figures();
    EXPECT_EQ(figures.taken, 2U);
    EXPECT_EQ(figures.attempts, 2U);
    EXPECT_EQ(figures.library_calls, 1U);
    EXPECT_EQ(figures.servers, 1U);
}

}  // namespace

}  // namespace flaxdoor::test
