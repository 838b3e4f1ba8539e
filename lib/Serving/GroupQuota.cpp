#include "samphirehill/Serving/GroupQuota.h"

#include <algorithm>
#include <utility>

namespace samphirehill::serving {
namespace {

// Returns the number of groups to add for each model, computed as if all
// engines were in one domain.
std::map<std::string, int> groupTargets(const EngineDomains &Domains,
                                        const ServiceShape &Service,
                                        ModelEngines Assigned) {
  int UnassignedEngines = 0;
  for (const auto &[Name, Each] : Domains)
    UnassignedEngines += std::max(Each.UnassignedEngines - Each.Spares, 0);
  std::map<std::string, int> Targets;
  bool Added = true;
  while (Added) {
    Added = false;
    for (const ModelShape *Model : modelsByNeed(Service, Assigned)) {
      if (Model->GroupSize > UnassignedEngines)
        continue;
      UnassignedEngines -= Model->GroupSize;
      Assigned[Model->Name] += Model->GroupSize;
      ++Targets[Model->Name];
      Added = true;
      break;
    }
  }
  return Targets;
}

// Returns whether one more group of Model fits into the domain. Spares are kept
// free, unless that would leave the model without a group in the domain.
bool fits(const EngineDomain &Domain, const ModelShape &Model) {
  bool First = Domain.Models.at(Model.Name).WantedGroups == 0;
  return Model.GroupSize <=
         Domain.UnassignedEngines - (First ? 0 : Domain.Spares);
}

// Returns whether enough engines that are in no group have the weights for one
// more group.
bool needsNoLoad(const EngineDomain &Domain, const ModelShape &Model) {
  const DomainModel &Has = Domain.Models.at(Model.Name);
  int Added = Has.WantedGroups - Has.Groups + 1;
  return Has.Available >= Added * Model.GroupSize &&
         Model.GroupSize <= Domain.UnassignedEngines;
}

// Assigns one more group of Model to a domain for which MayAdd returns true.
// The zone with the fewest groups of Model comes first, as a zone may go out of
// service; within the zone, the domain with the most unassigned engines.
// Returns false if there is no such domain.
bool assignOne(EngineDomains &Domains, const ModelShape &Model,
               ModelEngines &Assigned,
               bool (*MayAdd)(const EngineDomain &, const ModelShape &)) {
  std::map<ZoneId, int> InZone;
  for (const auto &[Name, Each] : Domains) {
    auto Found = Each.Models.find(Model.Name);
    if (Found != Each.Models.end())
      InZone[Each.Zone] += Found->second.WantedGroups;
  }
  auto Rank = [&](const EngineDomain &Domain) {
    return std::pair(InZone[Domain.Zone], -Domain.UnassignedEngines);
  };
  EngineDomain *Best = nullptr;
  for (auto &[Name, Each] : Domains) {
    if (MayAdd(Each, Model) && (!Best || Rank(Each) < Rank(*Best)))
      Best = &Each;
  }
  if (!Best)
    return false;
  ++Best->Models[Model.Name].WantedGroups;
  Best->UnassignedEngines -= Model.GroupSize;
  Assigned[Model.Name] += Model.GroupSize;
  return true;
}

// Returns the models in descending order of their group size, as large groups
// are the hardest to place.
std::vector<const ModelShape *> modelsBySize(const ServiceShape &Service) {
  std::vector<const ModelShape *> Order;
  for (const ModelShape &Model : Service.Engine->Models)
    Order.push_back(&Model);
  std::stable_sort(
      Order.begin(), Order.end(),
      [](const auto *A, const auto *B) { return A->GroupSize > B->GroupSize; });
  return Order;
}

// Returns the model whose weights the next spare of a domain should hold. A
// spare helps only in its own domain, so it should serve the model of which a
// loss is likeliest and leaves the most engines idle: one with many engines in
// groups, and with large groups.
const ModelShape *modelOfNextSpare(const EngineDomain &Domain,
                                   const ServiceShape &Service,
                                   const std::map<std::string, int> &Spares,
                                   const ModelEngines &Staged) {
  const ModelShape *Best = nullptr;
  double Most = 0;
  for (const ModelShape *Model : modelsBySize(Service)) {
    int Grouped = Domain.Models.at(Model->Name).WantedGroups * Model->GroupSize;
    auto Found = Spares.find(Model->Name);
    int Has = Found == Spares.end() ? 0 : Found->second;
    double Idle = static_cast<double>(Grouped * Model->GroupSize) / (Has + 1);
    if (Idle <= Most)
      continue;
    Best = Model;
    Most = Idle;
  }
  return Best ? Best : modelsByNeed(Service, Staged).front();
}

// Divides the unassigned engines of each domain among the models.
void planSpares(EngineDomains &Domains, const ServiceShape &Service) {
  ModelEngines Staged;
  for (auto &[Name, Each] : Domains) {
    for (const ModelShape &Model : Service.Engine->Models) {
      DomainModel &Count = Each.Models[Model.Name];
      Count.WantedStaged = Count.WantedGroups * Model.GroupSize;
      Staged[Model.Name] += Count.WantedStaged;
    }
  }
  for (auto &[Name, Each] : Domains) {
    std::map<std::string, int> Spares;
    for (int Left = Each.UnassignedEngines; Left > 0; --Left) {
      const ModelShape *Model = modelOfNextSpare(Each, Service, Spares, Staged);
      ++Spares[Model->Name];
      ++Each.Models[Model->Name].WantedStaged;
      ++Staged[Model->Name];
    }
  }
}

} // namespace

void planQuotas(EngineDomains &Domains, const ServiceShape &Service,
                const ModelEngines &Grouped, double SpareShare) {
  ModelEngines Assigned = Grouped;
  for (auto &[Name, Each] : Domains) {
    auto Engines = static_cast<int>(Each.Usable.size());
    Each.Spares = static_cast<int>(Engines * SpareShare);
    Each.UnassignedEngines = Engines - Each.InGroups;
    for (const ModelShape &Model : Service.Engine->Models) {
      DomainModel &Count = Each.Models[Model.Name];
      Count.WantedGroups = Count.Groups;
    }
  }
  for (const ModelShape *Model : modelsByNeed(Service, Assigned)) {
    while (assignOne(Domains, *Model, Assigned, needsNoLoad)) {
    }
  }
  std::map<std::string, int> Targets = groupTargets(Domains, Service, Assigned);
  for (const ModelShape *Model : modelsBySize(Service)) {
    while (Targets[Model->Name]-- > 0 &&
           assignOne(Domains, *Model, Assigned, fits)) {
    }
  }
  // Assigns engines that remain because some domains are too small for the
  // targets.
  for (const ModelShape *Model : modelsByNeed(Service, Assigned)) {
    while (assignOne(Domains, *Model, Assigned, fits)) {
    }
  }
  planSpares(Domains, Service);
}

std::vector<const ModelShape *> modelsByNeed(const ServiceShape &Service,
                                             const ModelEngines &Engines) {
  std::vector<const ModelShape *> Order;
  for (const ModelShape &Model : Service.Engine->Models)
    Order.push_back(&Model);
  auto Need = [&](const ModelShape *Model) {
    auto Found = Engines.find(Model->Name);
    double Has = Found == Engines.end() ? 0.0 : Found->second;
    return std::pair(Has / std::max(Model->Share, 0.01), -Model->Share);
  };
  std::stable_sort(
      Order.begin(), Order.end(),
      [&](const auto *A, const auto *B) { return Need(A) < Need(B); });
  return Order;
}

bool mayReplaceWeights(const EngineDomains &Domains,
                       const ServiceShape &Service, const std::string &Old,
                       const ModelShape &New) {
  double HasOld = 0;
  double HasNew = 0;
  for (const auto &[Name, Each] : Domains) {
    auto FoundOld = Each.Models.find(Old);
    auto FoundNew = Each.Models.find(New.Name);
    HasOld += FoundOld == Each.Models.end() ? 0 : FoundOld->second.Staged;
    HasNew += FoundNew == Each.Models.end() ? 0 : FoundNew->second.Staged;
  }
  const ModelShape *Shape = findModel(Service, Old);
  if (!Shape)
    return true;
  return (HasOld - 1) / std::max(Shape->Share, 0.01) >=
         (HasNew + 1) / std::max(New.Share, 0.01);
}

} // namespace samphirehill::serving
