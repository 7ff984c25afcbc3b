// Calls of a host program under [budget]: refusal of a first attempt, and of a retry, for want of a permit.
#include "rig.h"

namespace flaxdoor::test {
namespace {

class LibraryBudget : public LibraryTest {
protected:
    // The coordinator is unreachable: nothing listens on port 1.
    Balancer& start_balancer_with_limit(const std::string& limit) {
        BalancerOptions balancer_options = options();
        balancer_options.name = "host-1";
        balancer_options.settings.retry_after = true;
        balancer_options.settings.max_retry_after = seconds(30);
        balancer_options.operators =
            "[budget]\ncoordinator = \"127.0.0.1:1\"\nbalancers = 2\n[[budget_limit]]\nname = \"b\"\n" +
            limit;
        return make_balancer(balancer_options);
    }
    CallResult make_call(Balancer& balancer, const CallRequest& request) {
        const auto completion = std::make_shared<Completion>();
        balancer.async_call(request, record_into(completion));
        EXPECT_TRUE(wait_for_completion(completion));
        EXPECT_EQ(completion->times, 1);
        return completion->result;
    }
    std::size_t requests_received() const {
        std::size_t total = 0;
        for (const auto& node : nodes) total += node->count_of(Kind::first_byte);
        return total;
    }
};

TEST_F(LibraryBudget, CallWithoutAPermitIsNeverSent) {
    add_node();
    Balancer& balancer = start_balancer_with_limit("counts = \"requests\"\nrate = 10\nburst = 2\n");
    CallRequest hold = call("hold");
    hold.idempotency_key = "k";
    for (const CallRequest& request : {look(), hold, check_in()}) {
        const CallResult result = make_call(balancer, request);
        EXPECT_EQ(result.verdict, CallVerdict::refused) << request.class_name;
        EXPECT_EQ(result.cause, CallCause::over_budget) << request.class_name;
        EXPECT_FALSE(result.may_have_run) << request.class_name;
        EXPECT_GT(result.retry_after.count(), 0) << request.class_name;
    }
    EXPECT_EQ(requests_received(), 0U);
}

// The call is refused if nothing can have been executed, and else failed.
TEST_F(LibraryBudget, RetryWithoutAPermit) {
    const struct {
        const char* fault;
        bool may_have_run;
    } rows[] = {{"turn_away,times=1", false}, {"after_work,end=rst,times=1", true}};
    for (const auto& row : rows) {
        SCOPED_TRACE(row.fault);
        nodes.clear();
        // Both upstreams fail once, so that the first attempt fails at either.
        fault(add_node(), row.fault);
        fault(add_node(), row.fault);
        Balancer& balancer = start_balancer_with_limit("counts = \"retries\"\nrate = 10\nburst = 2\n");
        const CallResult result = make_call(balancer, look());
        EXPECT_EQ(result.verdict, row.may_have_run ? CallVerdict::failed : CallVerdict::refused);
        EXPECT_EQ(result.may_have_run, row.may_have_run);
        if (!row.may_have_run) {
            EXPECT_EQ(result.cause, CallCause::over_budget);
        }
        (void)make_call(balancer, look());  // may trigger the other upstream's fault
        EXPECT_EQ(make_call(balancer, look()).verdict, CallVerdict::served)
            << "a first attempt needs no permit";
    }
}

}  // namespace
}  // namespace flaxdoor::test
