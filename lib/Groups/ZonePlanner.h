// The steps of one planning run; plan() calls them in order.
#ifndef SAMPHIREHILL_LIB_GROUPS_ZONEPLANNER_H
#define SAMPHIREHILL_LIB_GROUPS_ZONEPLANNER_H

#include "samphirehill/Groups/Planner.h"

#include "FreePool.h"

#include <initializer_list>
#include <map>
#include <optional>
#include <string_view>

namespace samphirehill {

// Estimates for weighing a move: after this long a further change is likely.
constexpr Duration GainHorizon = seconds(600);
constexpr double LoadBytesPerSecond = 1e9;
constexpr Duration LoadOverhead = seconds(30);

std::string joined(std::initializer_list<std::string_view> Parts);
std::string weightsKey(const std::string &Model, const std::string &Version);

// A model service of the zone.
struct ServiceDemand {
  const OperatorsText *Text = nullptr;
  const Service *Spec = nullptr;
  int Wanted = 0;
  int Have = 0;   // kept groups, and new ones as they are planned
  int Faulty = 0; // kept groups that don't serve
};

// A group of the current placement that is kept for now.
struct KeptGroup {
  Group Value;
  ServiceDemand *Demand = nullptr;
  std::vector<std::size_t> Missing; // ranks
  bool IsLoading = false;
  // Its repair waits for a load to end; the spare is one of the new members.
  bool IsDeferred = false;
};

class ZonePlanner {
public:
  explicit ZonePlanner(const PlannerInput &Input);

  void keepGroups();
  void dropExcess();
  void updateOneOfEachService();
  void repair();
  void formNew();
  void moveOne();
  void assignSpares();
  Plan finish();

private:
  void findUsable();
  void findDemands();
  FreePool makePool() const;
  FreeEngine freeEngine(const Instance &Value) const;
  MemberNeed needOf(const Service &Spec, const std::string &Version) const;
  bool hasWeights(const InstanceId &Name, const Service &Spec,
                  const std::string &Version) const;
  std::optional<DomainId> domainOf(const KeptGroup &Element) const;
  bool mayLoad(const ServiceDemand &Demand) const;
  void release(const KeptGroup &Element);
  void drop(std::size_t Index, std::string_view Why);
  bool tryRepair(KeptGroup &Element);
  void dissolveForOthers(const std::vector<std::size_t> &Broken);
  std::vector<ServiceDemand *> chooseByShare(FreePool &Pool);
  std::optional<KeptGroup> place(ServiceDemand &Demand);
  void start(std::vector<KeptGroup> Planned);

  const PlannerInput &Input;
  std::map<InstanceId, const Instance *> Usable;
  std::map<ServiceId, ServiceDemand> Demands;
  std::map<int, std::set<int>> Sizes;
  FreePool Pool;
  std::vector<KeptGroup> Groups;
  std::vector<bool> Dropped; // by index of Groups
  std::map<const OperatorsText *, int> Loading;
  std::uint64_t NextGroup = 1;
  int Deferred = 0;
  std::vector<std::string> Reasons;
};

// Assigns the homes of the zone's upstreams to its live entries. A home moves
// only if it was released or its holder is confirmed gone.
void planHomes(const PlannerInput &Input, Plan &Into);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIB_GROUPS_ZONEPLANNER_H
