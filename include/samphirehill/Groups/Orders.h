// Decides which orders a controller sends to the engines of its zone so that
// they take the roles of the stored placement. There is one state machine for
// each engine.
//
// Only a report of the engine settles an order: after an accepted order, a lost
// answer or a refusal the controller reads /status. A controller stops sending
// orders when the placement names another controller, or when an engine refuses
// an order with a higher fence.
#ifndef SAMPHIREHILL_GROUPS_ORDERS_H
#define SAMPHIREHILL_GROUPS_ORDERS_H

#include "samphirehill/Config/OperatorsText.h"
#include "samphirehill/Groups/Fleet.h"
#include "samphirehill/Groups/Placement.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace samphirehill {

// The answer to an order counts as lost when it is missing for this long.
constexpr Duration OrderTimeout = seconds(10);
// Time between two orders to an engine that refused the first one, or whose
// report doesn't show it.
constexpr Duration OrderRetryTime = seconds(1);
// A controller that was taken over from treats an order as never delivered if
// the engine's report doesn't show the order this long after the connection of
// the order was closed.
constexpr Duration OrderSettleTime = seconds(5);

enum class OrderType { Load, Unload, Adapter, Role };

struct Order {
  std::string OrderId; // "<entry>.<incarnation>.<count>"; kept in a resend
  std::uint64_t Fence = 0;
  OrderType Type = OrderType::Load;
  std::string Model;
  std::string Version;
  std::string Adapter;
  GroupId Group;
  std::uint64_t Generation = 0;
  std::vector<InstanceId> Members;
  int Rank = 0;

  bool operator==(const Order &) const = default;
};

// Returns the body of POST /orders for Value.
nlohmann::json toJson(const Order &Value);

// The role that the placement assigns to one engine. An empty Group means that
// the engine is in no group.
struct EngineTarget {
  GroupId Group;
  std::uint64_t Generation = 0;
  std::string Model;
  std::string Version;
  std::vector<std::string> Adapters;
  std::vector<InstanceId> Members;
  int Rank = 0;

  bool operator==(const EngineTarget &) const = default;
};

// Returns the targets of Engines. An engine in no group gets an empty target.
// An engine of a group whose service is in none of Texts gets no target, so
// that it keeps its role.
std::map<InstanceId, EngineTarget>
targetsOf(const Placement &Stored, const std::vector<OperatorsText> &Texts,
          const std::vector<InstanceId> &Engines);

// Returns for each engine of Engines whether it refuses orders with an old
// fence: as configured for the service of its group, or by an override for the
// engine.
std::map<InstanceId, bool> fenceChecks(const Placement &Stored,
                                       const std::vector<OperatorsText> &Texts,
                                       const std::vector<InstanceId> &Engines);

enum class OrderPhase {
  Idle,           // no order in progress
  AwaitsTakeover, // a former controller's orders may still take effect
  Draining,       // waits for the engine's requests to end
  Sent,           // waits for the answer to the order
  Unsettled,      // answered, or answer lost; waits for a newer report
};

struct EngineOrders {
  EngineTarget Target;
  bool HasTarget = false;
  bool ChecksFence = false;
  std::optional<EngineReport> Report;
  OrderPhase Phase = OrderPhase::Idle;
  std::optional<Order> Last; // the latest order
  // Start of Phase; in phase Unsettled, when the answer came or was lost.
  TimePoint Since;
  // Until then, an order whose answer was lost may still reach the engine, even
  // if a resend of the order was answered.
  TimePoint MayArriveUntil;
  bool WasLost = false; // the answer to Last, in phase Unsettled
};

struct OrdersState {
  EntryRun Self;
  Duration DrainLimit = seconds(120); // highest configured max_deadline
  // Fields up to FormerSettled are from the latest stored placement.
  std::uint64_t Fence = 0;
  bool IsController = false;   // and no engine has reported a higher fence
  bool FormerSettled = false;  // no former controller has orders in progress
  std::uint64_t DeposedBy = 0; // highest fence seen above that of an own order
  // The placement lists Self as a former controller.
  bool AcknowledgementPending = false;
  std::uint64_t Count = 0; // of orders made
  std::map<InstanceId, EngineOrders> Engines;
};

// Events.

// A stored placement was read or written, by this controller or another one.
// Targets and ChecksFence are for the zone's engines in the instance list.
struct PlacementStored {
  Placement Stored;
  std::map<InstanceId, EngineTarget> Targets; // from targetsOf
  std::map<InstanceId, bool> ChecksFence;     // from fenceChecks
};
struct ReportReceived {
  EngineReport Report;
};
struct OrderAnswered {
  InstanceId Engine;
  std::string OrderId;
  bool Accepted = false;
  std::uint64_t Fence = 0;
};
struct OrderAnswerLost { // timeout or broken connection
  InstanceId Engine;
  std::string OrderId;
};
struct OrdersTick {}; // at least every 250 ms
using OrdersEvent = std::variant<PlacementStored, ReportReceived, OrderAnswered,
                                 OrderAnswerLost, OrdersTick>;

// Actions.

struct SendOrder {
  InstanceId Engine;
  Order Value;
};
struct ReadStatus { // now, without waiting for the next probe
  InstanceId Engine;
};
// Store settleFormer(stored placement, Self): another controller has taken over
// from this process, which has no order in progress. Repeated after each event
// but reports until the stored placement no longer lists Self as a former
// controller. Only valid for a placement with this fence: under a later fence
// this process may have sent orders again.
struct AcknowledgeTakeover {
  std::uint64_t Fence = 0;
};
// An engine has refused an order with a higher fence, or reported one: read the
// stored placement.
struct ReadPlacement {
  std::uint64_t Fence = 0;
};
using OrdersAction =
    std::variant<SendOrder, ReadStatus, AcknowledgeTakeover, ReadPlacement>;

// Applies Event to State and returns the actions to take, in order. Call it
// with an OrdersTick at least every 250 ms.
std::vector<OrdersAction> step(OrdersState &State, const OrdersEvent &Event,
                               TimePoint Now);

// Tells whether Report shows the role and the adapters of Target. A role whose
// weights are still loading counts as shown.
bool satisfies(const EngineReport &Report, const EngineTarget &Target);

} // namespace samphirehill

#endif // SAMPHIREHILL_GROUPS_ORDERS_H
