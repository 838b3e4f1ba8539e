// Value types for what the platform and the engines report about instances:
// items of the platform's instance list and status reports of engines.
#ifndef SAMPHIREHILL_GROUPS_FLEET_H
#define SAMPHIREHILL_GROUPS_FLEET_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Instance.h"
#include "samphirehill/Core/Result.h"
#include "samphirehill/Core/Time.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace samphirehill {

// Parses one item of the answer to GET /instances. Fails with BadAnswer.
Result<Instance> parseInstance(const nlohmann::json &Item);

enum class EngineState { Idle, Loading, Cold, Warm };

// An engine's answer to GET /status, called its report.
struct EngineReport {
  InstanceId Name;
  BootId Boot;
  EngineState State = EngineState::Idle;
  std::string Model;
  std::string Version;
  std::vector<std::string> Adapters;
  GroupId Group; // empty: in no group
  std::uint64_t Generation = 0;
  std::vector<InstanceId> Members; // by rank
  std::uint64_t Fence = 0;
  int Running = 0;
  int Queued = 0;
  std::vector<RequestId> RunningIds;
  double TokensPerSecond = 0;
  std::uint64_t CacheSequence = 0;
  // When the status request was sent, by the clock of this process. The
  // reported state is at least as new as this time.
  TimePoint At;

  // Tells whether the weights are loaded.
  bool isLoaded() const {
    return State == EngineState::Cold || State == EngineState::Warm;
  }

  bool operator==(const EngineReport &) const = default;
};

// Parses an answer to GET /status; At is when the request was sent. Fails with
// BadAnswer.
Result<EngineReport> parseReport(const nlohmann::json &Answer, TimePoint At);

// The latest report of each engine.
using EngineReports = std::map<InstanceId, EngineReport>;

// Returns the report of engine Name, or nullptr if there is none.
const EngineReport *findReport(const EngineReports &Reports,
                               const InstanceId &Name);

} // namespace samphirehill

#endif // SAMPHIREHILL_GROUPS_FLEET_H
