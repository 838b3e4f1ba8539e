// The engines of a zone that are in no group, indexed for best fit.
#ifndef SAMPHIREHILL_LIB_GROUPS_FREEPOOL_H
#define SAMPHIREHILL_LIB_GROUPS_FREEPOOL_H

#include "samphirehill/Core/Ids.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphirehill {

// An engine as the pool sees it.
struct FreeEngine {
  InstanceId Name;
  DomainId Domain;
  int Accelerators = 0;
  std::string Weights; // key of the loaded weights, or empty
};

// What each member of a group needs.
struct MemberNeed {
  int Accelerators = 1; // at least
  std::string Weights;  // preferred
};

class FreePool {
public:
  // Sizes lists the replica sizes of the services by the accelerators that
  // their members need. take, count and bestFit accept only these needs.
  explicit FreePool(std::map<int, std::set<int>> Sizes);

  void add(const FreeEngine &Engine);
  void remove(const InstanceId &Name);
  bool contains(const InstanceId &Name) const { return Engines.contains(Name); }
  // Engines of Domain with at least Accelerators.
  int count(const DomainId &Domain, int Accelerators) const;
  int total(int Accelerators) const;
  // Returns the domain where a group of Size leaves the fewest engines that no
  // replica size can use; of several the one with the fewest free engines.
  // Never returns Except.
  std::optional<DomainId> bestFit(int Size, int Accelerators,
                                  const DomainId &Except = DomainId()) const;
  // Takes Count engines of Domain out of the pool: those with the preferred
  // weights first, then those with the fewest accelerators. There must be
  // enough.
  std::vector<InstanceId> take(const DomainId &Domain, int Count,
                               const MemberNeed &Need);

private:
  // By accelerators, then by weights.
  using DomainEngines =
      std::map<int, std::map<std::string, std::set<InstanceId>>>;

  void recount(const DomainId &Domain, int Accelerators, int Change);
  int wasteOf(int Count, int Accelerators) const;

  std::map<int, std::set<int>> Sizes;
  std::map<InstanceId, FreeEngine> Engines;
  std::map<DomainId, DomainEngines> Domains;
  std::map<int, std::map<DomainId, int>> Counts; // by need
  std::map<int, std::map<int, std::set<DomainId>>> ByCount;
  std::map<int, int> Totals;
  // By need: engines of Count that no combination of sizes uses. Grows on
  // demand.
  mutable std::map<int, std::vector<int>> Waste;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_LIB_GROUPS_FREEPOOL_H
