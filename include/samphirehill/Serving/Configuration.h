// The configuration: routes, services, and organisations with their keys. A
// value is not changed after decoding; a process replaces the configuration in
// force only by a newer version.
#ifndef SAMPHIREHILL_SERVING_CONFIGURATION_H
#define SAMPHIREHILL_SERVING_CONFIGURATION_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/CallerServer.h"
#include "samphirehill/Serving/RouteTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphirehill::serving {

// A model that the engines of a service can load. A replica group of GroupSize
// engines serves it together.
struct ModelShape {
  std::string Name;
  int GroupSize = 1;    // engines
  double Share = 1.0;   // of the service's engines, at the first start
  double Pace = 1.0;    // factor on all times of a group; above 1: slower
  Duration Load{};      // for an engine to load the weights onto its host
  Duration WarmStart{}; // for an engine to join when its host has the weights

  bool operator==(const ModelShape &) const = default;
};

// The properties that all engines of a model service have in common. In one
// pass an engine group reads prompt tokens and sends one event of each running
// request.
struct EngineShape {
  int Slots = 1;             // requests that a group runs at the same time
  int EventSteps = 1;        // decoding steps of one pass
  Duration Step{};           // time of one step
  Duration StepPerRequest{}; // added to Step for each running request
  double PromptTokensPerSecond = 1;
  std::int64_t TokensPerPass = 1; // prompt tokens read in one pass, at most
  double LoadsPerSecond = 1;      // limit on model loads that are started
  int LoadsAtOnce = 1;            // limit on model loads in progress
  Duration GroupOpening{}; // from the order to open until the head serves
  Duration ReportLag{};    // age of the state that an engine reports
  // Mean tokens of an answer, of all requests; 0: unknown. A request states
  // only the most that its answer may have.
  std::int64_t UsualAnswerTokens = 0;
  std::vector<ModelShape> Models;

  bool operator==(const EngineShape &) const = default;
};

struct ServiceShape {
  ServiceId Id;
  std::string HealthPath;
  int MaxConnections = 1;
  // Limit on the requests per second that all entries together send to a cold
  // instance (see ListedInstance::ColdFor); 0: no limit.
  double ColdPerSecond = 0;
  std::optional<EngineShape> Engine; // absent: a plain service

  bool operator==(const ServiceShape &) const = default;
};

struct Organisation {
  OrganisationId Id;
  std::optional<int> Priority; // overrides the route's

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

// Priorities range from 0, which is served first, to this.
inline constexpr int LowestPriority = 9;

// Returns the priority of a request of Route, 0 (first) to 9: that of its
// organisation, or else the route's. Caller is null for anonymous requests.
int priorityOf(const Route &Route, const Organisation *Caller);

// Returns the services whose routes differ in priority.
std::set<ServiceId> servicesWithPriorities(const Configuration &Config);

// Chooses a service of Route by weight, where Unit is a random number uniform
// in [0, 1). Returns nullptr if no service has a positive weight.
const ServiceId *pickService(const Route &Route, double Unit);

// Returns the model of Service named Name, or nullptr.
const ModelShape *findModel(const ServiceShape &Service, std::string_view Name);

// Returns whether a request of Route may be sent to upstreams more than once.
bool isRepeatable(const Route &Route);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_CONFIGURATION_H
