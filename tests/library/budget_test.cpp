// Calls of a host program under [budget]: what a budget refuses, and what a further attempt that it denies ends with.
#include "rig.h"

namespace flaxdoor::test {
namespace {

class LibraryBudget : public Rig {
protected:
    // With no coordinator to be reached; nobody can listen on port 1 there.
    Balancer& under(const std::string& limit) {
        BalancerOptions its = options();
        its.name = "host-1";
        its.settings.retry_after = true;
        its.settings.max_retry_after = seconds(30);
        its.operators =
            "[budget]\ncoordinator = \"127.0.0.1:1\"\nbalancers = 2\n[[budget_limit]]\nname = \"b\"\n" +
            limit;
        return serving(its);
    }
    CallResult answer(Balancer& balancer, const CallRequest& request) {
        const auto ending = std::make_shared<Ending>();
        balancer.async_call(request, into(ending));
        EXPECT_TRUE(over(ending));
        EXPECT_EQ(ending->times, 1);
        return ending->result;
    }
    std::size_t came() const {
        std::size_t all = 0;
        for (const auto& node : nodes) all += node->count_of(Kind::first_byte);
        return all;
    }
};

TEST_F(LibraryBudget, ACallWithoutAPermitNeverRan) {
    add_node();
    Balancer& balancer = under("counts = \"requests\"\nrate = 10\nburst = 2\n");
    CallRequest hold = call("hold");
    hold.idempotency_key = "k";
    for (const CallRequest& request : {look(), hold, check_in()}) {
        const CallResult result = answer(balancer, request);
        EXPECT_EQ(result.verdict, CallVerdict::refused) << request.class_name;
        EXPECT_EQ(result.cause, CallCause::over_budget) << request.class_name;
        EXPECT_FALSE(result.may_have_run) << request.class_name;
        EXPECT_GT(result.retry_after.count(), 0) << request.class_name;
    }
    EXPECT_EQ(came(), 0U);
}

// Of the four rules: refused where nothing can have run, else failed.
TEST_F(LibraryBudget, AFurtherAttemptWithoutAPermit) {
    const struct {
        const char* fault;
        bool may_have_run;
    } rows[] = {{"turn_away,times=1", false}, {"after_work,end=rst,times=1", true}};
    for (const auto& row : rows) {
        SCOPED_TRACE(row.fault);
        nodes.clear();
        // Whichever of the two it comes to.
        fault(add_node(), row.fault);
        fault(add_node(), row.fault);
        Balancer& balancer = under("counts = \"retries\"\nrate = 10\nburst = 2\n");
        const CallResult result = answer(balancer, look());
        EXPECT_EQ(result.verdict, row.may_have_run ? CallVerdict::failed : CallVerdict::refused);
        EXPECT_EQ(result.may_have_run, row.may_have_run);
        if (!row.may_have_run) {
            EXPECT_EQ(result.cause, CallCause::over_budget);
        }
        (void)answer(balancer, look());  // may meet the other one's fault
        EXPECT_EQ(answer(balancer, look()).verdict, CallVerdict::served) << "a first attempt needs no permit";
    }
}

}  // namespace
}  // namespace flaxdoor::test
