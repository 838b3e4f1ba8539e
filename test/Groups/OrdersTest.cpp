#include "samphirehill/Groups/Orders.h"

#include "Groups/Fleet.h"

#include <gtest/gtest.h>

namespace samphirehill {
namespace {

using namespace test;

const EntryRun Self{EntryId("entry-1"), 7};
const EntryRun Other{EntryId("entry-2"), 8};
const InstanceId Engine("e1");

// One engine, one controller, and the group "g" that the engine belongs to.
class OrdersTest : public testing::Test {
protected:
  void SetUp() override {
    State.Self = Self;
    Stored = takeOver(Stored, Self);
    Stored.Groups = {
        {GroupId("g"), 1, ServiceId("a"), "1", {Engine}, std::nullopt}};
    Report.Name = Engine;
    Report.Boot = BootId("b");
  }

  void store(bool ChecksFence = false) {
    Service Of = modelService("a", 1, 1);
    Of.ChecksFence = ChecksFence;
    std::vector<OperatorsText> Texts = {textOf({Of})};
    Actions = step(State,
                   PlacementStored{Stored, targetsOf(Stored, Texts, {Engine}),
                                   fenceChecks(Stored, Texts, {Engine})},
                   Now);
  }

  void report(Duration After = milliseconds(100)) {
    Now += After;
    Report.At = Now;
    Actions = step(State, ReportReceived{Report}, Now);
  }

  void feed(const OrdersEvent &Event) { Actions = step(State, Event, Now); }

  // Returns the order sent by the last step, or nullptr.
  const Order *sent() const {
    for (const OrdersAction &Action : Actions)
      if (const auto *Send = std::get_if<SendOrder>(&Action))
        return &Send->Value;
    return nullptr;
  }

  bool acknowledges() const {
    for (const OrdersAction &Action : Actions)
      if (std::holds_alternative<AcknowledgeTakeover>(Action))
        return true;
    return false;
  }

  // Stores, reports and returns the first order.
  Order firstOrder(bool ChecksFence = false) {
    store(ChecksFence);
    report();
    return sent() ? *sent() : Order{};
  }

  void carryOut(const Order &Value) {
    Report.Group = Value.Group;
    Report.Generation = Value.Generation;
    Report.Members = Value.Members;
    Report.Model = Value.Model;
    Report.Version = Value.Version;
    Report.State = EngineState::Warm;
    Report.Fence = Value.Fence;
  }

  OrdersState State;
  Placement Stored;
  EngineReport Report;
  TimePoint Now = Start;
  std::vector<OrdersAction> Actions;
};

TEST_F(OrdersTest, LoadsIdleEngineAndStopsWhenReportShowsIt) {
  Order Value = firstOrder();
  EXPECT_EQ(Value.Type, OrderType::Load);
  EXPECT_EQ(Value.Fence, Stored.Fence);
  EXPECT_EQ(Value.Model, "a-model");
  feed(OrderAnswered{Engine, Value.OrderId, true, Value.Fence});
  carryOut(Value);
  report();
  EXPECT_EQ(sent(), nullptr);
  EXPECT_EQ(State.Engines.at(Engine).Phase, OrderPhase::Idle);
}

// Guards against a second load of weights that are in place already.
TEST_F(OrdersTest, SendsRoleWhenOnlyGenerationDiffers) {
  carryOut(firstOrder());
  Report.Generation = 0;
  feed(OrderAnswered{Engine, State.Engines.at(Engine).Last->OrderId, true, 1});
  report(OrderRetryTime);
  ASSERT_NE(sent(), nullptr);
  EXPECT_EQ(sent()->Type, OrderType::Role);
}

// Guards against a lost answer that is taken for a failure: the engine may
// have carried the order out.
TEST_F(OrdersTest, SettlesLostAnswerByReport) {
  Order Value = firstOrder();
  feed(OrderAnswerLost{Engine, Value.OrderId});
  ASSERT_FALSE(Actions.empty());
  EXPECT_TRUE(std::holds_alternative<ReadStatus>(Actions.front()));
  carryOut(Value);
  report();
  EXPECT_EQ(sent(), nullptr);
  EXPECT_EQ(State.Count, 1U);
}

// Guards against one order that counts as two when it is sent again.
TEST_F(OrdersTest, ResendsSameOrderWhenReportShowsNothingOfIt) {
  Order Value = firstOrder();
  feed(OrderAnswerLost{Engine, Value.OrderId});
  report(OrderRetryTime);
  ASSERT_NE(sent(), nullptr);
  EXPECT_EQ(*sent(), Value);
}

TEST_F(OrdersTest, CountsUnansweredOrderAsLostAfterTimeout) {
  firstOrder();
  Now += OrderTimeout;
  feed(OrdersTick{});
  EXPECT_EQ(State.Engines.at(Engine).Phase, OrderPhase::Unsettled);
}

// Guards against a deposed controller that goes on giving orders.
TEST_F(OrdersTest, StopsWhenRefusedByHigherFence) {
  Order Value = firstOrder(true);
  feed(OrderAnswered{Engine, Value.OrderId, false, 5});
  for (int I = 0; I < 5; ++I) {
    report(OrderRetryTime);
    EXPECT_EQ(sent(), nullptr);
  }
}

TEST_F(OrdersTest, StopsWhenEngineReportsHigherFence) {
  store(true);
  Report.Fence = 5;
  report();
  EXPECT_EQ(sent(), nullptr);
  EXPECT_FALSE(State.IsController);
}

// Guards against two controllers that order an engine about which can't tell
// the older one (the takeover wait).
TEST_F(OrdersTest, WaitsForTakeoverWhenEngineIgnoresFence) {
  Stored = takeOver(Stored, Other);
  Stored = takeOver(Stored, Self);
  store(false);
  report();
  EXPECT_EQ(sent(), nullptr);
  EXPECT_EQ(State.Engines.at(Engine).Phase, OrderPhase::AwaitsTakeover);
  Stored = settleFormer(settleFormer(Stored, Other), Self);
  store(false);
  EXPECT_NE(sent(), nullptr);
}

TEST_F(OrdersTest, OrdersAtOnceAfterTakeoverWhenEngineChecksFence) {
  Stored = takeOver(Stored, Other);
  Stored = takeOver(Stored, Self);
  store(true);
  report();
  EXPECT_NE(sent(), nullptr);
}

// Guards against an acknowledgement while an order may still arrive.
TEST_F(OrdersTest, AcknowledgesTakeoverOnlyWhenOrdersAreSettled) {
  Order Value = firstOrder();
  Stored = takeOver(Stored, Other);
  store();
  EXPECT_FALSE(acknowledges());
  feed(OrderAnswerLost{Engine, Value.OrderId});
  report(seconds(1));
  feed(OrdersTick{});
  EXPECT_FALSE(acknowledges());
  report(OrderSettleTime);
  feed(OrdersTick{});
  EXPECT_TRUE(acknowledges());
  EXPECT_EQ(sent(), nullptr);
}

// Guards against an acknowledgement while another copy of an order that was
// sent again may still arrive.
TEST_F(OrdersTest, AcknowledgesTakeoverOnlyAfterLostCopyIsTooOld) {
  Order Value = firstOrder();
  feed(OrderAnswerLost{Engine, Value.OrderId});
  report(OrderRetryTime);
  ASSERT_NE(sent(), nullptr);
  feed(OrderAnswered{Engine, Value.OrderId, true, Value.Fence});
  carryOut(Value);
  Stored = takeOver(Stored, Other);
  report();
  store();
  EXPECT_FALSE(acknowledges());
  Now += OrderSettleTime;
  feed(OrdersTick{});
  EXPECT_TRUE(acknowledges());
}

// Guards against a resend to an engine that a former controller has put into
// another group meanwhile.
TEST_F(OrdersTest, DoesNotResendWhileTakeoverIsUnsettled) {
  Report.Group = GroupId("g");
  Stored = takeOver(takeOver(Stored, Other), Self);
  Order Value = firstOrder();
  ASSERT_EQ(Value.Group, GroupId("g"));
  feed(OrderAnswerLost{Engine, Value.OrderId});
  Report.Group = GroupId("h");
  report(OrderRetryTime);
  EXPECT_EQ(sent(), nullptr);
}

// Guards against a planned stop that cuts off requests in progress (I9).
TEST_F(OrdersTest, DrainsEngineBeforeItsRoleChanges) {
  carryOut(firstOrder());
  feed(OrderAnswered{Engine, State.Engines.at(Engine).Last->OrderId, true, 1});
  Report.Running = 1;
  report();
  Stored.Groups.clear();
  store();
  EXPECT_EQ(sent(), nullptr);
  report();
  EXPECT_EQ(State.Engines.at(Engine).Phase, OrderPhase::Draining);
  Report.Running = 0;
  report();
  ASSERT_NE(sent(), nullptr);
  EXPECT_EQ(sent()->Type, OrderType::Unload);
}

TEST_F(OrdersTest, EndsDrainAtLimit) {
  carryOut(firstOrder());
  feed(OrderAnswered{Engine, State.Engines.at(Engine).Last->OrderId, true, 1});
  Report.Running = 1;
  report();
  Stored.Groups.clear();
  store();
  report(State.DrainLimit - milliseconds(1));
  EXPECT_EQ(sent(), nullptr);
  report();
  EXPECT_NE(sent(), nullptr);
}

// Guards against a read of the placement that was overtaken by a newer one.
TEST_F(OrdersTest, IgnoresPlacementWithOlderFence) {
  Placement Older = Stored;
  Stored = takeOver(Stored, Other);
  store();
  Stored = Older;
  store();
  report();
  EXPECT_EQ(sent(), nullptr);
}

} // namespace
} // namespace samphirehill
