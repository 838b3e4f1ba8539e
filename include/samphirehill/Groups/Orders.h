// Decides which orders a controller gives to the engines of its zone so that
// they take the roles of the stored placement, one state machine for each
// instance.
//
// An order is settled only by an engine's report: an accepted order, a lost
// answer and a refusal are all followed by reading /status. A controller that
// sees another one in the placement, or a refusal with a higher fence, stops.
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

// An order without an answer for this long counts as lost.
constexpr Duration OrderTimeout = seconds(10);
// Time between two orders to an engine that refused or forgot the first.
constexpr Duration OrderRetryTime = seconds(1);
// A deposed controller treats an order as never delivered if reports show no
// sign of it this long after its connection was closed.
constexpr Duration OrderSettleTime = seconds(5);

enum class OrderType { Load, Unload, Adapter, Role };

struct Order {
  std::string OrderId; // "<entry>.<incarnation>.<count>"; equal in a resend
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

// Returns the body of POST /orders.
nlohmann::json toJson(const Order &Value);

// What the placement wants of one engine. An empty group: none.
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

// Returns the target of every engine of Engines; those in no group get an
// empty one. A group whose service no text has keeps its engines as they are.
std::map<InstanceId, EngineTarget>
targetsOf(const Placement &Stored, const std::vector<OperatorsText> &Texts,
          const std::vector<InstanceId> &Engines);

// Returns the engines of Engines that refuse old fences: by the text of the
// service of their group, or by an override; false for all others.
std::map<InstanceId, bool> fenceChecks(const Placement &Stored,
                                       const std::vector<OperatorsText> &Texts,
                                       const std::vector<InstanceId> &Engines);

enum class OrderPhase {
  Idle,           // nothing under way
  AwaitsTakeover, // a former controller may still order this engine about
  Draining,       // work in progress ends first
  Sent,           // the answer is due
  Unsettled,      // answered or lost; a report newer than that is due
};

struct EngineOrders {
  EngineTarget Target;
  bool HasTarget = false;
  bool ChecksFence = false;
  std::optional<EngineReport> Report;
  OrderPhase Phase = OrderPhase::Idle;
  std::optional<Order> Last;
  TimePoint Since; // start of the phase
  // A lost order, also one that was sent again, may arrive until then.
  TimePoint MayArriveUntil;
  bool WasLost = false; // of Last, in phase Unsettled
};

struct OrdersState {
  EntryRun Self;
  Duration DrainLimit = seconds(120); // the texts' highest max_deadline
  // From the latest stored placement.
  std::uint64_t Fence = 0;
  bool IsController = false;
  bool FormerSettled = false;
  std::uint64_t DeposedBy = 0; // highest fence that refused one of ours
  bool AcknowledgementPending = false;
  std::uint64_t Count = 0; // of orders
  std::map<InstanceId, EngineOrders> Engines;
};

// Events. PlacementStored is for every stored placement that is read or
// written, by whomever; Engines are the zone's listed engines.
struct PlacementStored {
  Placement Stored;
  std::map<InstanceId, EngineTarget> Targets; // by targetsOf
  std::map<InstanceId, bool> ChecksFence;     // by fenceChecks
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
struct ReadStatus { // ask now, don't wait for the next probe
  InstanceId Engine;
};
// Store settleFormer(stored placement, Self): this process was taken over from
// and has no order under way. Repeated with each tick until the stored
// placement shows it. Only valid for a placement with this fence: at a later
// one this process may have given orders again.
struct AcknowledgeTakeover {
  std::uint64_t Fence = 0;
};
// An engine has refused an order with a higher fence: read the placement.
struct ReadPlacement {
  std::uint64_t Fence = 0;
};
using OrdersAction =
    std::variant<SendOrder, ReadStatus, AcknowledgeTakeover, ReadPlacement>;

// Feeds Event to State and returns what to do, in order.
std::vector<OrdersAction> step(OrdersState &State, const OrdersEvent &Event,
                               TimePoint Now);

// Tells whether Report shows what Target wants, loading included.
bool satisfies(const EngineReport &Report, const EngineTarget &Target);

} // namespace samphirehill

#endif // SAMPHIREHILL_GROUPS_ORDERS_H
