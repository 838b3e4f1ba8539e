// Implementation of plan() for one zone, as a class with one function for each
// step.
#ifndef SAMPHIREHILL_LIB_GROUPS_ZONEPLANNER_H
#define SAMPHIREHILL_LIB_GROUPS_ZONEPLANNER_H

#include "samphirehill/Groups/Planner.h"

#include "FreePool.h"

#include <initializer_list>
#include <map>
#include <optional>
#include <string_view>

namespace samphirehill {

// Estimates by which moveOne() compares gain and loss of a move. The gain
// counts up to GainHorizon, because after that time a further change is likely.
constexpr Duration GainHorizon = seconds(600);
constexpr double LoadBytesPerSecond = 1e9;
constexpr Duration LoadOverhead = seconds(30); // of each load, for any size

// Returns the concatenated Parts.
std::string joined(std::initializer_list<std::string_view> Parts);
// Returns the key that FreePool uses for the weights of Model at Version.
std::string weightsKey(const std::string &Model, const std::string &Version);

// A service of a model in the zone, and its numbers of groups.
struct ServiceDemand {
  const OperatorsText *Text = nullptr;
  const Service *Spec = nullptr;
  int Wanted = 0; // groups, from wantedReplicas
  int Have = 0;   // kept groups, and new groups as they are planned
  int Faulty = 0; // kept groups that don't serve
};

// A group of the next placement: kept from the current one, or new.
struct PlannedGroup {
  Group Value;
  ServiceDemand *Demand = nullptr;
  std::vector<std::size_t> Missing; // ranks whose engine is not usable
  bool IsLoading = false;           // a member loads the group's weights
  // The repair waits until another group's load ends. Value.Spare is one of the
  // engines reserved for the repair.
  bool IsDeferred = false;
};

class ZonePlanner {
public:
  explicit ZonePlanner(const PlannerInput &Input);

  // The steps. plan() calls them in this order.

  // Keeps the groups of services that run in the zone, and finds which of their
  // members are missing.
  void keepGroups();
  // Dissolves groups of services that have more than they should.
  void dropExcess();
  void updateOneOfEachService();
  // Replaces missing members by free engines, and dissolves groups that can't
  // be repaired where that helps.
  void repair();
  // Forms groups for services that have fewer than they should.
  void formNew();
  void moveOne();
  void assignSpares();
  // Returns the plan except for the homes.
  Plan finish();

private:
  void findUsable();
  void findDemands();
  FreePool makePool() const;
  FreeEngine freeEngine(const Instance &Value) const;
  MemberNeed needOf(const Service &Spec, const std::string &Version) const;
  bool hasWeights(const InstanceId &Name, const Service &Spec,
                  const std::string &Version) const;
  std::optional<DomainId> domainOf(const PlannedGroup &Element) const;
  bool mayLoad(const ServiceDemand &Demand) const;
  void release(const PlannedGroup &Element);
  void drop(std::size_t Index, std::string_view Why);
  bool tryRepair(PlannedGroup &Element);
  void dissolveForOthers(const std::vector<std::size_t> &Broken);
  std::vector<ServiceDemand *> chooseByShare(FreePool &Pool);
  std::optional<PlannedGroup> place(ServiceDemand &Demand);
  void start(std::vector<PlannedGroup> Planned);

  const PlannerInput &Input;
  // Live engines of the zone that are neither lost nor being replaced.
  std::map<InstanceId, const Instance *> Usable;
  std::map<ServiceId, ServiceDemand> Demands;
  std::map<int, std::set<int>> Sizes; // replica sizes by accelerators
  FreePool Pool;
  std::vector<PlannedGroup> Groups;
  std::vector<bool> Dropped;                    // by index of Groups
  std::map<const OperatorsText *, int> Loading; // groups that load weights
  std::uint64_t NextGroup = 1;
  int Deferred = 0; // as Plan::DeferredGroups
  std::vector<std::string> Reasons;
};

// Assigns the homes of the zone's upstreams to its live entries, in Into.Next.
// A home moves only if its holder released it or is confirmed gone.
void planHomes(const PlannerInput &Input, Plan &Into);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIB_GROUPS_ZONEPLANNER_H
