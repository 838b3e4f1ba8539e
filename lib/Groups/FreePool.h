// The engines of a zone that are in no group, indexed so that the fabric domain
// that fits a new group best is found quickly.
#ifndef SAMPHIREHILL_LIB_GROUPS_FREEPOOL_H
#define SAMPHIREHILL_LIB_GROUPS_FREEPOOL_H

#include "samphirehill/Core/Ids.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphirehill {

// The properties of a free engine that the choice depends on.
struct FreeEngine {
  InstanceId Name;
  DomainId Domain;
  int Accelerators = 0;
  std::string Weights; // key of the loaded weights, or empty
};

// What each member of a group needs.
struct MemberNeed {
  int Accelerators = 1; // minimum
  std::string Weights;  // key of the preferred weights
};

class FreePool {
public:
  // Sizes lists the replica sizes of the services by the accelerators that
  // their members need. take, count and bestFit accept only numbers of
  // accelerators that are keys of Sizes.
  explicit FreePool(std::map<int, std::set<int>> Sizes);

  void add(const FreeEngine &Engine);
  void remove(const InstanceId &Name);
  bool contains(const InstanceId &Name) const { return Engines.contains(Name); }
  // Returns the number of engines in Domain with at least Accelerators.
  int count(const DomainId &Domain, int Accelerators) const;
  // Returns the number of engines in all domains with at least Accelerators.
  int total(int Accelerators) const;
  // Returns the domain where a group of Size engines leaves the fewest engines
  // that no combination of replica sizes can use. Of several such domains,
  // returns the one with the fewest free engines. Never returns Except. Returns
  // nullopt if no domain has enough engines.
  std::optional<DomainId> bestFit(int Size, int Accelerators,
                                  const DomainId &Except = DomainId()) const;
  // Removes Count engines of Domain from the pool and returns them: first those
  // with the preferred weights, then those with the fewest accelerators. Domain
  // must have at least Count engines that satisfy Need.
  std::vector<InstanceId> take(const DomainId &Domain, int Count,
                               const MemberNeed &Need);

private:
  // Names of the engines by accelerators, then by weights.
  using DomainEngines =
      std::map<int, std::map<std::string, std::set<InstanceId>>>;

  // Adds Change to the counts of each need that an engine with Accelerators
  // satisfies.
  void recount(const DomainId &Domain, int Accelerators, int Change);
  // Returns how many of Count engines no combination of replica sizes uses.
  int wasteOf(int Count, int Accelerators) const;

  std::map<int, std::set<int>> Sizes;
  std::map<InstanceId, FreeEngine> Engines;
  std::map<DomainId, DomainEngines> Domains;
  std::map<int, std::map<DomainId, int>> Counts; // engines by need
  // Domains by need, then by count of engines.
  std::map<int, std::map<int, std::set<DomainId>>> ByCount;
  std::map<int, int> Totals; // engines of all domains, by need
  // Results of wasteOf by need; the index is the count of engines. Extended
  // when a higher count is asked for.
  mutable std::map<int, std::vector<int>> Waste;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_LIB_GROUPS_FREEPOOL_H
