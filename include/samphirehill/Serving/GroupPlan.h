// Decides which instances form which replica groups: what is ordered next, from
// what the instances report. No I/O. The instances' reports are the truth; what
// is kept here only says which orders are under way, so a new holder of the
// duty starts from the reports alone.
#ifndef SAMPHIREHILL_SERVING_GROUPPLAN_H
#define SAMPHIREHILL_SERVING_GROUPPLAN_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/Configuration.h"
#include "samphirehill/Serving/Fleet.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace samphirehill::serving {

// Whether an instance can be reached and takes part in its group.
enum class Liveness {
  Alive,
  Unclear, // silent, but it may be cut off from here only
  Gone,    // no longer listed, and silent to all that asked
};

struct PlannedInstance {
  Instance Listed;
  Liveness State = Liveness::Alive;
  bool ZoneOut = false;
  bool Cold = false;
  // The instance itself has just told its state. Its entry in the list may be
  // older than it looks: entries can arrive late and out of order.
  bool Confirmed = false;
  // It left the list a moment ago without a word and still serves: it may have
  // lost the platform only, and be back.
  bool Lapsed = false;
  // The highest fence of an order that it is known to have accepted. It refuses
  // orders of lower ones, however late they come.
  std::int64_t AcceptedFence = 0;
  std::int64_t LeftEpoch = 0; // of the group that it last agreed to leave
};

enum class OrderKind {
  Join,  // take a place in a group
  Open,  // to a head: begin to serve
  Close, // to a head: finish what runs, take nothing new
  Leave, // to a head: stop at once and be in no group
  Stage, // load weights onto the host
  Check, // no order: ask the instance for its state, then plan again
};

// One order to one instance.
struct GroupOrder {
  OrderKind Kind = OrderKind::Join;
  InstanceId To;
  std::string Group;
  std::int64_t Epoch = 0;
  std::string Model;
  std::vector<InstanceId> Members; // Join; the first is the head
  std::int64_t Fence = 0;          // 0: no order

  bool operator==(const GroupOrder &) const = default;
};

struct GroupPlanSettings {
  // Part of a fabric domain that is kept as staged spares: a group that loses a
  // member is whole again within a warm start instead of a load.
  double SpareShare = 0.12;
  // An order without effect is given again after this.
  Duration OrderRetryDelay = milliseconds(1200);
  // Time beyond the expected one after which a group that forms is given up.
  Duration FormationMargin = seconds(4);
  // At the first start engines register one after the other. Nothing is ordered
  // until none has come for this long: what a domain should hold depends on its
  // size.
  Duration SettleTime = milliseconds(600);
  // Members whose head is unknown are left alone for this long, and up to twice
  // as long until all engines of their domain have told their state. It is
  // above the time in which the entry of a living head is back after an outage
  // (2 s), and in which most late orders have taken effect.
  Duration HeadlessWait = seconds(8);
  // An engine gives up its weights for others once its domain has had too many
  // of them for this long: a load takes longer than most engines are missed.
  Duration SurplusWait = seconds(2);
};

// A group whose members have been ordered to join.
struct Formation {
  std::string Group;
  std::int64_t Epoch = 0;
  std::string Model;
  std::vector<InstanceId> Members;
  TimePoint GiveUpAt{};
};

// How the engines stand for one model.
struct ModelSummary {
  int Serving = 0;  // whole groups whose head serves
  int Forming = 0;  // groups whose members were ordered to join
  int Wanted = 0;   // groups that the engines are enough for
  int Stranded = 0; // engines of broken groups that may not be used elsewhere
  int Free = 0;     // usable engines in no group that have the weights
  int Loading = 0;  // engines that load the weights

  bool operator==(const ModelSummary &) const = default;
};

// Weights that an engine has been ordered to load.
struct WeightLoad {
  std::string Model;
  TimePoint GiveUpAt{};
};

struct GroupPlanState {
  GroupPlanSettings Settings;
  std::int64_t NextEpoch = 1;
  // Groups of earlier epochs were formed by another holder of the duty, whose
  // orders may still take effect.
  std::int64_t FirstEpoch = 0;
  // Of the orders, at least FirstEpoch. A leave raises it, so that what was
  // ordered before is refused after it.
  std::int64_t Fence = 0;
  std::map<InstanceId, std::int64_t> OrderedFence; // highest before a leave
  std::map<std::int64_t, Formation> Forming;       // by epoch
  std::map<InstanceId, WeightLoad> Loading;
  std::map<std::string, TimePoint> OrderedAt; // by order and instance
  std::map<std::int64_t, InstanceId> HeadOf;  // by epoch, as last seen
  std::map<std::int64_t, TimePoint> HeadlessSince;
  std::map<InstanceId, std::string> LastModel; // of the last group, as seen
  std::size_t KnownEngines = 0;
  TimePoint EnginesChangedAt{};
  std::vector<TimePoint> LoadStarts; // of the last second
  // By domain and model: since when more engines have the weights than needed.
  std::map<std::pair<std::string, std::string>, TimePoint> SurplusSince;
  std::map<std::string, ModelSummary> Models; // after the last planning
};

// Returns the orders to give now for the engines of Service. FirstStart tells
// that nothing has been served yet: groups then load as they join.
std::vector<GroupOrder> planGroups(GroupPlanState &State,
                                   const std::vector<PlannedInstance> &Engines,
                                   const ServiceShape &Service, bool FirstStart,
                                   TimePoint Now);

// Notes that an instance did not take Order: an engine that loads other weights
// for an earlier holder of the duty is not loading the ordered ones.
void noteOrderRefused(GroupPlanState &State, const GroupOrder &Order);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_GROUPPLAN_H
