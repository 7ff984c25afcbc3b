// The balancer as a library in this process, with the embedded listener: the whole suite passes through the
// instance that its host holds. And that it is this instance which serves is seen from inside.
#include <gtest/gtest.h>

#include "form_hosted.h"
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

std::unique_ptr<Form> make_form(asio::io_context& loop) {
    return std::make_unique<Hosted>(loop, [](asio::io_context& its_loop, const BalancerOptions& options) {
        return std::make_unique<LibraryHost>(its_loop, options);
    });
}
std::vector<CannotHold> cannot_hold() { return {}; }

namespace {

// What clients bring to the listener and what the host itself asks for are calls of one instance, in this
// very process: they share its upstreams' connections and stand in its figures, each once.
TEST(LibraryForm, ListenerAndOwnCallsAreOneInstances) {
    Stage s(1);
    s.start();
    Balancer& balancer = dynamic_cast<Hosted&>(*s.form).balancer();
    EXPECT_EQ(balancer.address(), text_of(s.address));
    const auto client = s.client();
    s.serve(*client, s.look(), "the client's");

    std::optional<CallResult> result;
    CallRequest own{.class_name = "once", .budget = std::chrono::seconds(5), .id = "own-1"};
    own.body = "body";
    balancer.async_call(own, asio::bind_executor(s.loop, [&](CallResult its) { result = std::move(its); }));
    const auto [wire, request] = s.request();
    EXPECT_EQ(header(request, "X-Call-Id"), "own-1");
    // Its id is open: the listener knows of the call that did not come by it.
    EXPECT_EQ(status(s.ask(*client, s.once(5000, "body", "own-1"))), 409);
    wire->say(ok("the host's"));
    s.until([&] { return result.has_value(); });
    EXPECT_EQ(result->verdict, CallVerdict::served);
    EXPECT_EQ(result->body, "the host's");
    EXPECT_EQ(s.connections(), 1U);  // the second went over the first one's connection
    s.until([&] { return balancer.figures().served == 2; });
    const BalancerFigures figures = balancer.figures();
    EXPECT_EQ(figures.taken, 2U);
    EXPECT_EQ(figures.attempts, 2U);
    EXPECT_EQ(figures.library_calls, 1U);
    EXPECT_EQ(figures.servers, 1U);
}

}  // namespace

}  // namespace flaxdoor::test
