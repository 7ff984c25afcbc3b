#include "gateway/guard.h"

#include <gtest/gtest.h>

namespace flaxdoor::gateway {
namespace {

using namespace std::chrono_literals;
using Keys = std::vector<std::string>;

TEST(Guard, HoldsTheRemovalsOfAnImplausibleListUntilTheHoldExpires) {
    UpdateGuard guard({30s, 0.5, 3});
    EXPECT_EQ(guard.on_list(100s, KindOf::service, 4, {"a", "b"}), (Keys{"a", "b"})) << "half is plausible";
    EXPECT_EQ(guard.on_list(100s, KindOf::service, 4, {"a", "b", "c"}), Keys{});
    EXPECT_TRUE(guard.holds(KindOf::service, "a"));
    EXPECT_NE(guard.text().find("Service: a whole list lacked 3 of 4"), std::string::npos);
    EXPECT_EQ(guard.next(), Time(130s));
    EXPECT_EQ(guard.on_list(120s, KindOf::service, 4, {"a", "b", "c", "d"}), Keys{})
        << "a second implausible list";
    EXPECT_EQ(guard.next(), Time(130s)) << "the hold is not extended";
    EXPECT_TRUE(guard.due(129s).empty());
    EXPECT_EQ(guard.due(130s).size(), 4U);
    EXPECT_EQ(guard.text(), "");
}

TEST(Guard, APlausibleListEndsTheHold) {
    UpdateGuard guard({30s, 0.5, 3});
    (void)guard.on_list(0s, KindOf::service, 4, {"a", "b", "c", "d"});
    EXPECT_EQ(guard.on_list(1s, KindOf::service, 4, {"d"}), Keys{"d"});
    EXPECT_TRUE(guard.due(60s).empty());
}

TEST(Guard, AnEventEndsTheHoldOfItsObjectAndKindsAreIndependent) {
    UpdateGuard guard({30s, 0.5, 3});
    (void)guard.on_list(0s, KindOf::service, 3, {"a", "b", "c"});
    (void)guard.on_list(5s, KindOf::secret, 3, {"a", "b", "c"});
    guard.on_event(KindOf::service, "a");
    EXPECT_EQ(guard.due(30s),
              (std::vector<std::pair<KindOf, std::string>>{{KindOf::service, "b"}, {KindOf::service, "c"}}));
    EXPECT_EQ(guard.due(35s).size(), 3U);
}

TEST(Guard, IsInactiveForFewObjectsOrWithoutHoldTime) {
    UpdateGuard guard({30s, 0.5, 3});
    EXPECT_EQ(guard.on_list(0s, KindOf::gateway, 2, {"a", "b"}), (Keys{"a", "b"}));
    UpdateGuard off({0s, 0.5, 3});
    EXPECT_EQ(off.on_list(0s, KindOf::gateway, 5, {"a", "b", "c", "d", "e"}).size(), 5U);
}

}  // namespace
}  // namespace flaxdoor::gateway
