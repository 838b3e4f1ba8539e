#include "samphirehill/Serving/Configuration.h"

namespace samphirehill::serving {

const Route *findRoute(const Configuration &Config, std::string_view Host,
                       std::string_view Path) {
  std::string_view Name = Host.substr(0, Host.find(':'));
  Path = Path.substr(0, Path.find('?'));
  const Route *Found = nullptr;
  for (const Route &Each : Config.Routes) {
    if (!Path.starts_with(Each.PathPrefix) ||
        !equalsIgnoringCase(Each.Host, Name))
      continue;
    if (!Found || Each.PathPrefix.size() > Found->PathPrefix.size())
      Found = &Each;
  }
  return Found;
}

const ServiceId *pickService(const Route &Route, double Unit) {
  double Total = 0;
  for (const WeightedService &Each : Route.Services)
    Total += Each.Weight;
  double Left = Unit * Total;
  const ServiceId *Last = nullptr;
  for (const WeightedService &Each : Route.Services) {
    if (Each.Weight <= 0)
      continue;
    Last = &Each.Service;
    Left -= Each.Weight;
    if (Left < 0)
      break;
  }
  return Last;
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

bool mayRepeat(const Route &Route) {
  return Route.Kind == RequestKind::Safe ||
         (Route.Kind == RequestKind::Stream && Route.Resumable);
}

} // namespace samphirehill::serving
