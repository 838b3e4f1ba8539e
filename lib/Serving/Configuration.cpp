#include "samphirehill/Serving/Configuration.h"

#include <algorithm>

namespace samphirehill::serving {

std::set<ServiceId> servicesWithPriorities(const Configuration &Config) {
  std::map<ServiceId, int> First; // priority of the service's first route
  std::set<ServiceId> Differing;
  for (const SharedRoute &Route : Config.Routes.routes()) {
    for (const WeightedService &Each : Route->Services) {
      auto Found = First.try_emplace(Each.Service, Route->Priority).first;
      if (Found->second != Route->Priority)
        Differing.insert(Each.Service);
    }
  }
  return Differing;
}

const ServiceId *pickService(const Route &Route, double Unit) {
  double Total = 0;
  for (const WeightedService &Each : Route.Services)
    Total += Each.Weight;
  double Remaining = Unit * Total;
  const ServiceId *Last = nullptr;
  for (const WeightedService &Each : Route.Services) {
    if (Each.Weight <= 0)
      continue;
    Last = &Each.Service;
    Remaining -= Each.Weight;
    if (Remaining < 0)
      break;
  }
  return Last;
}

int priorityOf(const Route &Route, const Organisation *Caller) {
  int Chosen = Caller && Caller->Priority ? *Caller->Priority : Route.Priority;
  return std::clamp(Chosen, 0, LowestPriority);
}

const ModelShape *findModel(const ServiceShape &Service,
                            std::string_view Name) {
  if (!Service.Engine)
    return nullptr;
  for (const ModelShape &Each : Service.Engine->Models) {
    if (Each.Name == Name)
      return &Each;
  }
  return nullptr;
}

bool isRepeatable(const Route &Route) {
  return Route.Kind == RequestKind::Safe ||
         (Route.Kind == RequestKind::Stream && Route.Resumable);
}

} // namespace samphirehill::serving
