#include "samphirehill/Serving/GroupOrders.h"

#include <algorithm>

namespace samphirehill::serving {
namespace {

// An order that got no answer may take effect up to this much later.
constexpr Duration OrderMaxDelay = seconds(30);

} // namespace

OrderKey keyOf(const GroupOrder &Order) {
  bool IsStage = Order.Kind == OrderKind::Stage;
  return {Order.Kind, Order.To, IsStage ? Order.Model : Order.Group};
}

bool giveIfDue(GroupPlanState &State, GroupOrder &Order, TimePoint Now) {
  auto [Given, IsNew] = State.OrderedAt.try_emplace(keyOf(Order), Now);
  if (!IsNew && Now - Given->second < State.Settings.OrderRetryDelay)
    return false;
  Given->second = Now;
  std::int64_t &Highest = State.OrderedFence[Order.To];
  if (Order.Kind == OrderKind::Leave)
    ++State.Fence;
  else
    Highest = State.Fence;
  Order.Fence = State.Fence;
  return true;
}

bool mayTakeEffect(const GroupPlanState &State, const OrderKey &Order) {
  return State.OrderedAt.contains(Order);
}

bool shouldShowEffect(const GroupPlanState &State, const OrderKey &Order,
                      TimePoint Now) {
  auto Found = State.OrderedAt.find(Order);
  return Found == State.OrderedAt.end() ||
         Now - Found->second >= State.Settings.JoinReportDelay;
}

bool isFenced(const GroupPlanState &State, const PlannedInstance &Engine) {
  auto Found = State.OrderedFence.find(Engine.Listed.Id);
  std::int64_t Ordered = Found == State.OrderedFence.end() ? 0 : Found->second;
  return Engine.AcceptedFence >= std::max(State.FirstEpoch, Ordered + 1);
}

void eraseExpiredOrders(GroupPlanState &State, TimePoint Now) {
  std::erase_if(State.OrderedAt, [&](const auto &Entry) {
    return Now - Entry.second > OrderMaxDelay;
  });
}

} // namespace samphirehill::serving
