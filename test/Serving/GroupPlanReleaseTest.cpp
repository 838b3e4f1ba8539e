// When the members of a group that has ended join another one.
#include "samphirehill/Serving/GroupPlan.h"

#include "Serving/GroupWorld.h"
#include "Serving/TestFleet.h"

#include <gtest/gtest.h>

#include <cstddef>

namespace samphirehill::serving {
namespace {

// Guards against a member that joins another group while a head that no entry
// reaches, and that can't be told from one that has ended, is open (TWO).
TEST(GroupPlanTest, ReleasesMembersOfUnreachableHeadBeforeTheyJoinAgain) {
  GroupWorld World(1, 8);
  GroupPlanState State;
  State.Settings.SpareShare = 0.25; // 4 + 2 engines in groups, 2 spares
  run(World, State, 210, true);
  InstanceId Head = *World.someOpenHead("large");
  World.cutOff(Head);
  ASSERT_EQ(World.openGroups("large"), 0);
  run(World, State, 60);
  EXPECT_EQ(World.openGroups("large"), 1);
  World.reconnect(Head);
  run(World, State, 60);
  EXPECT_EQ(World.openGroups("large"), 1);
  EXPECT_EQ(World.Broken, std::vector<std::string>());
}

// Guards against a member that joins another group (TWO) because its Leave
// order took effect late or not at all.
TEST(GroupPlanTest, OrdersNoJoinBeforeTheMemberReportsThatItHasLeft) {
  GroupPlanState State;
  ServiceShape OneModel = poolShape();
  OneModel.Engine->Models = {poolShape().Engine->Models[1]};
  Instance Spare = engine("c", "north-d0");
  Spare.Staged = {"small"};
  std::vector<PlannedInstance> Engines{
      {member("a", "small.7", 7, 0, MemberPhase::Open), Liveness::Gone},
      {member("b", "small.7", 7, 1, MemberPhase::Ready)},
      {Spare}};
  Engines[0].Listed.Draining = true;
  Engines[1].Confirmed = Engines[2].Confirmed = true;
  TimePoint Now{seconds(10)};
  std::ptrdiff_t Leaves = 0;
  for (int Round = 0; Round < 100; ++Round, Now += Tick) {
    std::vector<GroupOrder> Orders =
        planGroups(State, Engines, OneModel, false, Now);
    EXPECT_EQ(countOrders(Orders, OrderKind::Join), 0);
    Leaves += countOrders(Orders, OrderKind::Leave);
  }
  EXPECT_GE(Leaves, 10); // repeated each 1.2 s
  Engines[1].Listed.Group.reset();
  Engines[1].Confirmed = false; // its entry alone is no proof
  std::vector<GroupOrder> Orders =
      planGroups(State, Engines, OneModel, false, Now);
  EXPECT_EQ(countOrders(Orders, OrderKind::Join), 0);
  EXPECT_EQ(countOrders(Orders, OrderKind::Check), 1);
  Engines[1].Confirmed = true;
  Orders = planGroups(State, Engines, OneModel, false, Now + Tick);
  EXPECT_EQ(countOrders(Orders, OrderKind::Join), 2);
}

// Guards against a Join order that is repeated to an engine which late orders
// of an earlier holder have brought into another group (TWO).
TEST(GroupPlanTest, RepeatsNoJoinToAnEngineInAnotherGroup) {
  GroupPlanState State = formingState();
  std::vector<PlannedInstance> Engines{
      {engine("a", "north-d0")},
      {member("b", "small.7", 7, 1, MemberPhase::Ready)}};
  Engines[0].Confirmed = Engines[1].Confirmed = true;
  for (const GroupOrder &Each :
       planGroups(State, Engines, poolShape(), false, TimePoint{seconds(10)})) {
    EXPECT_FALSE(Each.Kind == OrderKind::Join && Each.To == InstanceId("b"));
  }
}

// Guards against engines that are taken out of serving groups (TWO): an entry
// starts again during the first start of the system, and the list shows them
// as they were before they joined.
TEST(GroupPlanTest, AsksForReportsWhenGroupsExistAtTheFirstStart) {
  GroupPlanState State;
  State.NextEpoch = State.FirstEpoch = 200'000;
  ServiceShape OneModel = poolShape();
  OneModel.Engine->Models = {poolShape().Engine->Models[1]};
  std::vector<PlannedInstance> Engines{
      {member("a", "small.100001", 100'001, 0, MemberPhase::Open)},
      {member("b", "small.100001", 100'001, 1, MemberPhase::Ready)}};
  for (const char *Name : {"c", "d"}) {
    Instance Free = engine(Name, "north-d0");
    Free.Staged = {"small"};
    Engines.push_back({Free});
  }
  std::vector<GroupOrder> Orders;
  for (int Round = 0; Round < 20; ++Round) {
    for (const GroupOrder &Each :
         planGroups(State, Engines, OneModel, true,
                    TimePoint{seconds(10)} + Round * Tick))
      Orders.push_back(Each);
  }
  EXPECT_EQ(countOrders(Orders, OrderKind::Join), 0);
  EXPECT_GT(countOrders(Orders, OrderKind::Check), 0);
}

} // namespace
} // namespace samphirehill::serving
