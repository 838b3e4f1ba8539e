#include "samphirehill/Groups/Orders.h"

#include "Groups/Fleet.h"

#include <gtest/gtest.h>

namespace samphirehill {
namespace {

using namespace test;

const EntryRun Self{EntryId("entry-1"), 7};
const EntryRun Other{EntryId("entry-2"), 8};
const InstanceId Engine("e1");

// A controller and one engine, which the stored placement puts into group "g".
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

  // Reads the placement, receives a report and returns the order sent then.
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

// Guards against loading weights again that are already loaded.
TEST_F(OrdersTest, SendsRoleWhenOnlyGenerationDiffers) {
  carryOut(firstOrder());
  Report.Generation = 0;
  feed(OrderAnswered{Engine, State.Engines.at(Engine).Last->OrderId, true, 1});
  report(OrderRetryTime);
  ASSERT_NE(sent(), nullptr);
  EXPECT_EQ(sent()->Type, OrderType::Role);
}

// Guards against treating a lost answer as a failed order: the engine may have
// carried out the order.
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

// Guards against a resend with a new id, which the engine would treat as a
// second order.
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

// Guards against a controller that keeps sending orders after another one has
// taken over.
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

// Guards against orders of two controllers to an engine that doesn't check
// fences and so accepts the orders of the older one too. The new controller has
// to wait until the older one is settled.
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

// Guards against acknowledging a takeover while an order may still arrive.
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

// Guards against acknowledging a takeover while the first copy of a resent
// order may still arrive.
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

// Guards against resending an order to an engine that a former controller has
// moved to another group in the meantime.
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

// Guards against a planned change of role that aborts requests in progress
// (invariant I9).
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

// Guards against applying the result of an older read of the placement after
// that of a newer one.
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
