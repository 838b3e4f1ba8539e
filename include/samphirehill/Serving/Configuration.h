// The configuration in force: routes, services, organisations and their keys.
// A value is immutable once decoded; a process replaces it by a newer one only.
#ifndef SAMPHIREHILL_SERVING_CONFIGURATION_H
#define SAMPHIREHILL_SERVING_CONFIGURATION_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/CallerServer.h"
#include "samphirehill/Serving/RouteTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphirehill::serving {

// A model that a service's engines can load, in replica groups.
struct ModelShape {
  std::string Name;
  int GroupSize = 1;
  double Share = 1.0; // of the service's engines, at the start
  double Pace = 1.0;  // factor on all of the group's times
  Duration Load{};
  Duration WarmStart{}; // join of an engine that has the weights on its host

  bool operator==(const ModelShape &) const = default;
};

// What the engines of a model service share.
struct EngineShape {
  int Slots = 1;
  int EventSteps = 1; // steps of one pass over the writers
  Duration Step{};
  Duration StepPerRequest{};
  double PromptTokensPerSecond = 1;
  std::int64_t TokensPerPass = 1; // prompt tokens read in one pass
  double LoadsPerSecond = 1;
  int LoadsAtOnce = 1;
  Duration GroupOpening{}; // from the order to open until the head serves
  Duration ReportLag{};    // age of the state that an engine reports
  std::vector<ModelShape> Models;

  bool operator==(const EngineShape &) const = default;
};

struct ServiceShape {
  ServiceId Id;
  std::string HealthPath;
  int MaxConnections = 1;
  double ColdPerSecond = 0;          // 0: no limit
  std::optional<EngineShape> Engine; // absent: a plain service

  bool operator==(const ServiceShape &) const = default;
};

struct Organisation {
  OrganisationId Id;
  std::optional<int> Priority; // goes before the route's

  bool operator==(const Organisation &) const = default;
};

struct Configuration {
  std::int64_t Version = 0;
  RouteTable Routes;
  std::map<ServiceId, ServiceShape> Services;
  std::unordered_map<std::string, Organisation> OrganisationByKey;
  CallerLimits Limits;

  bool operator==(const Configuration &) const = default;
};

// Returns the service that Unit, uniform in [0, 1), falls to by weight.
const ServiceId *pickService(const Route &Route, double Unit);

// Returns the model of Service with Name, or nullptr.
const ModelShape *findModel(const ServiceShape &Service, std::string_view Name);

// Tells whether a request of Route may run more than once.
bool isRepeatable(const Route &Route);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_CONFIGURATION_H
