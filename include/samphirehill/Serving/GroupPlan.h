// Decides which instances form which replica groups: computes the next orders
// from what the instances report. Does no I/O.
//
// The instances' reports are authoritative. The state kept here only records
// which orders are in progress, so a new holder of the group duty can start
// from the reports alone.
#ifndef SAMPHIREHILL_SERVING_GROUPPLAN_H
#define SAMPHIREHILL_SERVING_GROUPPLAN_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/Configuration.h"
#include "samphirehill/Serving/Fleet.h"
#include "samphirehill/Serving/GroupExchange.h"
#include "samphirehill/Serving/GroupHeads.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace samphirehill::serving {

// Whether an instance can be reached and takes part in its group.
enum class Liveness {
  Alive,
  Unclear, // does not answer, but may be unreachable from this entry only
  Gone,    // no longer listed, and answers none of the entries
};

// An instance with what the planning entry knows of it.
struct PlannedInstance {
  Instance Listed;
  Liveness State = Liveness::Alive;
  bool ZoneOut = false; // operators took its zone out of service
  bool Cold = false;    // bears only little load yet, see ColdUntil
  // The instance itself has just reported its state. Its entry in the list may
  // be older than it seems, as entries can arrive late and out of order.
  bool Confirmed = false;
  // It left the list a moment ago without having announced that, and still
  // answers: it may have lost only its connection to the platform, and may soon
  // be listed again.
  bool Lapsed = false;
  // The highest fencing token of an order that the instance is known to have
  // accepted. It refuses orders with a lower token, however late they arrive.
  std::int64_t AcceptedFence = 0;
  std::int64_t LeftEpoch = 0; // of the group that it last agreed to leave
};

enum class OrderKind {
  Join,  // become a member of a group
  Open,  // to a head: begin to serve
  Close, // to a head: finish running requests, accept no new ones
  Leave, // stop at once and leave the group
  Stage, // load weights onto the host
  Check, // not an order: ask the instance for its state, then plan again
};

// One order to one instance.
struct GroupOrder {
  OrderKind Kind = OrderKind::Join;
  InstanceId To;
  std::string Group;
  std::int64_t Epoch = 0;
  std::string Model;
  std::vector<InstanceId> Members; // Join; the first is the head
  std::int64_t Fence = 0;          // fencing token; 0 for a Check

  bool operator==(const GroupOrder &) const = default;
};

// Names what an order is about, for its repetition.
struct OrderKey {
  OrderKind Kind = OrderKind::Join;
  InstanceId To;
  std::string Subject; // the group; for a Stage the model

  auto operator<=>(const OrderKey &) const = default;
  bool operator==(const OrderKey &) const = default;
};

struct GroupPlanSettings {
  // Share of a fabric domain's engines that are kept as spares, with weights
  // already loaded: a group that loses a member is then complete again after a
  // warm start, without waiting for a load of weights.
  double SpareShare = 0.12;
  // An order that has had no effect is repeated after this.
  Duration OrderRetryDelay = milliseconds(1200);
  // An engine whose entry doesn't show this long after the order that it has
  // joined is asked for its state: it may be cut off from the platform.
  Duration JoinReportDelay = milliseconds(500);
  // A group that is forming is abandoned when it takes this much longer than
  // expected.
  Duration FormationMargin = seconds(4);
  // At the first start engines register one after the other. Nothing is ordered
  // until no engine has registered for this long, as the groups that a domain
  // should have depend on its size.
  Duration SettleTime = milliseconds(600);
  // Members whose head is unknown are not ordered to leave for this long, and
  // for up to twice as long until all engines of their domain have reported
  // their state. It exceeds the time after which a live head is listed again
  // after an outage (2 s), and after which most late orders have taken effect.
  Duration HeadlessWait = seconds(8);
  // A group of which no engine was known for longer than AbsenceGap and that
  // has come back may have been cut off while it went on serving. Its members
  // are not ordered to leave for HeadReturnWait: the list shows engines again
  // within 2 s of each other.
  Duration AbsenceGap = seconds(1);
  Duration HeadReturnWait = seconds(3);
  // An engine may replace its weights once its domain has had more engines with
  // them than needed for this long. Most missing engines are back before a load
  // of other weights would be complete.
  Duration SurplusWait = seconds(2);
  DemandPlanSettings Demand;
};

// A group whose members have been ordered to join, and which doesn't serve yet.
struct Formation {
  std::string Group;
  std::int64_t Epoch = 0;
  std::string Model;
  std::vector<InstanceId> Members; // by rank; the first is the head
  TimePoint GiveUpAt{};
};

// Numbers of groups and engines of one model.
struct ModelSummary {
  int Serving = 0;  // complete groups whose head serves
  int Forming = 0;  // groups whose members were ordered to join
  int Wanted = 0;   // groups for which there are enough engines
  int Stranded = 0; // engines of broken groups that can't be reassigned yet
  int Free = 0;     // usable engines in no group that have the weights
  int Loading = 0;  // engines that load the weights

  bool operator==(const ModelSummary &) const = default;
};

// Weights that an engine has been ordered to load.
struct WeightLoad {
  std::string Model;
  TimePoint GiveUpAt{};
};

// The model of the last group that an engine was a complete member of. An
// engine joins a group of that model without any weights on its host, as long
// as its process lives.
struct JoinedModel {
  std::string Model;
  std::int64_t BornMilliseconds = 0; // of the engine's life
};

// State of the planning for one service, kept from one run to the next.
struct GroupPlanState {
  GroupPlanSettings Settings;
  std::int64_t NextEpoch = 1;
  // The first epoch of this holder of the duty. Groups of earlier epochs were
  // formed by another holder, whose orders may still take effect.
  std::int64_t FirstEpoch = 0;
  // Fencing token of the next orders, at least FirstEpoch. Each Leave order
  // raises it, so that an instance that has accepted the Leave refuses all
  // earlier orders.
  std::int64_t Fence = 0;
  // Highest token of the orders to each instance, without Leave orders.
  std::map<InstanceId, std::int64_t> OrderedFence;
  std::map<std::int64_t, Formation> Forming; // by epoch
  std::map<InstanceId, WeightLoad> Loading;
  std::map<OrderKey, TimePoint> OrderedAt;
  GroupHeads Heads;
  std::map<InstanceId, JoinedModel> LastModel; // of the last group
  std::size_t KnownEngines = 0;
  TimePoint EnginesChangedAt{};
  std::vector<TimePoint> LoadStarts; // within the last second
  // Time since which more engines of a domain have a model's weights than
  // needed, by domain and model.
  std::map<std::pair<std::string, std::string>, TimePoint> SurplusSince;
  std::map<std::string, ModelSummary> Models; // by model, after the last run
  ExchangeState Exchanges;
};

// Returns the orders to give now to the engines of Service. FirstStart means
// that the system has served nothing yet: members then load weights as they
// join.
std::vector<GroupOrder> planGroups(GroupPlanState &State,
                                   const std::vector<PlannedInstance> &Engines,
                                   const ServiceShape &Service, bool FirstStart,
                                   TimePoint Now);

// Records that an instance refused Order. An engine that refused a Stage order,
// such as one that still loads other weights for an earlier holder of the duty,
// then no longer counts as loading.
void noteOrderRefused(GroupPlanState &State, const GroupOrder &Order);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_GROUPPLAN_H
