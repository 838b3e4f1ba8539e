// Fencing tokens of the orders to engines, and when orders are repeated. Does
// no I/O.
#ifndef SAMPHIREHILL_SERVING_GROUPORDERS_H
#define SAMPHIREHILL_SERVING_GROUPORDERS_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/GroupPlan.h"

namespace samphirehill::serving {

OrderKey keyOf(const GroupOrder &Order);

// Gives Order its fencing token and records it as given at Now. Returns false,
// and does nothing, if the same order was given within OrderRetryDelay.
bool giveIfDue(GroupPlanState &State, GroupOrder &Order, TimePoint Now);

// Returns whether Order has been given and may still take effect.
bool mayTakeEffect(const GroupPlanState &State, const OrderKey &Order);

// Returns whether the engine's report should show the effect of Order, as it
// was given JoinReportDelay ago or earlier, or isn't known to have been given.
bool shouldShowEffect(const GroupPlanState &State, const OrderKey &Order,
                      TimePoint Now);

// Returns whether the engine is known to refuse all orders from before its last
// Leave.
bool isFenced(const GroupPlanState &State, const PlannedInstance &Engine);

// Erases the orders that can no longer take effect.
void eraseExpiredOrders(GroupPlanState &State, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_GROUPORDERS_H
