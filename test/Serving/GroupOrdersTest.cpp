#include "samphirehill/Serving/GroupOrders.h"

#include "Serving/TestFleet.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

const TimePoint Start{seconds(10)};

GroupOrder order(OrderKind Kind) {
  return {Kind, InstanceId("a"), "small.7", 7, "small"};
}

TEST(GroupOrdersTest, RepeatsAnOrderAfterTheRetryDelayOnly) {
  GroupPlanState State;
  GroupOrder Join = order(OrderKind::Join);
  Duration Delay = State.Settings.OrderRetryDelay;
  EXPECT_TRUE(giveIfDue(State, Join, Start));
  EXPECT_FALSE(giveIfDue(State, Join, Start + Delay - milliseconds(1)));
  EXPECT_TRUE(giveIfDue(State, Join, Start + Delay));
}

TEST(GroupOrdersTest, TellsOrdersOfOneEngineApart) {
  GroupPlanState State;
  GroupOrder Join = order(OrderKind::Join);
  GroupOrder Leave = order(OrderKind::Leave);
  GroupOrder OtherGroup = order(OrderKind::Join);
  OtherGroup.Group = "small.8";
  EXPECT_TRUE(giveIfDue(State, Join, Start));
  EXPECT_TRUE(giveIfDue(State, Leave, Start));
  EXPECT_TRUE(giveIfDue(State, OtherGroup, Start));
}

// An engine that accepted the Leave refuses the orders given before, but not
// those given after it.
TEST(GroupOrdersTest, FencesAllOrdersBeforeALeave) {
  GroupPlanState State;
  State.Fence = State.FirstEpoch = 100'000;
  GroupOrder Join = order(OrderKind::Join);
  GroupOrder Leave = order(OrderKind::Leave);
  GroupOrder Next = order(OrderKind::Join);
  Next.Group = "small.8";
  ASSERT_TRUE(giveIfDue(State, Join, Start));
  PlannedInstance Engine{engine("a", "north-d0")};
  Engine.AcceptedFence = Join.Fence;
  EXPECT_FALSE(isFenced(State, Engine));
  ASSERT_TRUE(giveIfDue(State, Leave, Start));
  EXPECT_GT(Leave.Fence, Join.Fence);
  Engine.AcceptedFence = Leave.Fence;
  EXPECT_TRUE(isFenced(State, Engine));
  ASSERT_TRUE(giveIfDue(State, Next, Start));
  EXPECT_GE(Next.Fence, Leave.Fence);
}

TEST(GroupOrdersTest, ForgetsOrdersThatCanNoLongerTakeEffect) {
  GroupPlanState State;
  GroupOrder Open = order(OrderKind::Open);
  ASSERT_TRUE(giveIfDue(State, Open, Start));
  eraseExpiredOrders(State, Start + seconds(30));
  EXPECT_TRUE(mayTakeEffect(State, keyOf(Open)));
  eraseExpiredOrders(State, Start + seconds(31));
  EXPECT_FALSE(mayTakeEffect(State, keyOf(Open)));
}

} // namespace
} // namespace samphirehill::serving
