#include "samphirehill/Serving/GroupQuota.h"

#include <algorithm>
#include <utility>

namespace samphirehill::serving {
namespace {

// Returns the groups to add by model, as if all engines were of one domain.
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

// Spares are kept free, but not at the price of a model's only group in the
// domain.
bool fits(const EngineDomain &Own, const ModelShape &Model) {
  bool First = Own.Models.at(Model.Name).WantedGroups == 0;
  return Model.GroupSize <= Own.UnassignedEngines - (First ? 0 : Own.Spares);
}

// Whether engines that no group holds have the weights for one more group.
bool needsNoLoad(const EngineDomain &Own, const ModelShape &Model) {
  const DomainModel &Has = Own.Models.at(Model.Name);
  int Added = Has.WantedGroups - Has.Groups + 1;
  return Has.Available >= Added * Model.GroupSize &&
         Model.GroupSize <= Own.UnassignedEngines;
}

// Gives one more group of Model to a domain for which May holds: to the zone
// that has the fewest of them, there to the domain with the most room, as a
// zone may go out of service.
bool assignOne(EngineDomains &Domains, const ModelShape &Model,
               ModelEngines &Assigned,
               bool (*May)(const EngineDomain &, const ModelShape &)) {
  std::map<ZoneId, int> InZone;
  for (const auto &[Name, Each] : Domains) {
    auto Found = Each.Models.find(Model.Name);
    if (Found != Each.Models.end())
      InZone[Each.Zone] += Found->second.WantedGroups;
  }
  auto Rank = [&](const EngineDomain &Each) {
    return std::pair(InZone[Each.Zone], -Each.UnassignedEngines);
  };
  EngineDomain *Best = nullptr;
  for (auto &[Name, Each] : Domains) {
    if (May(Each, Model) && (!Best || Rank(Each) < Rank(*Best)))
      Best = &Each;
  }
  if (!Best)
    return false;
  ++Best->Models[Model.Name].WantedGroups;
  Best->UnassignedEngines -= Model.GroupSize;
  Assigned[Model.Name] += Model.GroupSize;
  return true;
}

// Returns the models, the largest groups first: they are the hardest to
// place.
std::vector<const ModelShape *> modelsBySize(const ServiceShape &Service) {
  std::vector<const ModelShape *> Order;
  for (const ModelShape &Model : Service.Engine->Models)
    Order.push_back(&Model);
  std::stable_sort(
      Order.begin(), Order.end(),
      [](const auto *A, const auto *B) { return A->GroupSize > B->GroupSize; });
  return Order;
}

// Returns the model that the next spare of a domain is to stand in for. A spare
// helps only in its own domain, so it goes where a loss is likeliest and leaves
// most engines idle: to a model with many engines in groups, and large ones.
const ModelShape *modelOfNextSpare(const EngineDomain &Own,
                                   const ServiceShape &Service,
                                   const std::map<std::string, int> &Spares,
                                   const ModelEngines &Staged) {
  const ModelShape *Best = nullptr;
  double Most = 0;
  for (const ModelShape *Model : modelsBySize(Service)) {
    int Grouped = Own.Models.at(Model->Name).WantedGroups * Model->GroupSize;
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

// Divides the engines beyond the groups of each domain among the models.
void planSpares(EngineDomains &Domains, const ServiceShape &Service) {
  ModelEngines Staged;
  for (auto &[Name, Each] : Domains) {
    for (const ModelShape &Model : Service.Engine->Models) {
      DomainModel &Own = Each.Models[Model.Name];
      Own.WantedStaged = Own.WantedGroups * Model.GroupSize;
      Staged[Model.Name] += Own.WantedStaged;
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
      DomainModel &Own = Each.Models[Model.Name];
      Own.WantedGroups = Own.Groups;
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
  // What is left over, where the domains are too small for the targets.
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
  auto Need = [&](const ModelShape *Each) {
    auto Found = Engines.find(Each->Name);
    double Has = Found == Engines.end() ? 0.0 : Found->second;
    return std::pair(Has / std::max(Each->Share, 0.01), -Each->Share);
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
