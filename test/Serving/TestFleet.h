// Builds instances, services and groups for tests of the serving path.
#ifndef SAMPHIREHILL_TEST_SERVING_TESTFLEET_H
#define SAMPHIREHILL_TEST_SERVING_TESTFLEET_H

#include "samphirehill/Serving/Fleet.h"

#include <string>

namespace samphirehill::serving {

inline const ServiceId PoolService("pool");
inline const ServiceId PlainService("app");

// Returns a service with a model of 4 engines ("large") and one of 2 ("small").
inline ServiceShape poolShape() {
  EngineShape Engine;
  Engine.Slots = 26;
  Engine.EventSteps = 5;
  Engine.Step = Duration(6'070);
  Engine.StepPerRequest = Duration(241);
  Engine.PromptTokensPerSecond = 46'000;
  Engine.TokensPerPass = 2'048;
  Engine.LoadsPerSecond = 4;
  Engine.LoadsAtOnce = 6;
  Engine.GroupOpening = milliseconds(300);
  Engine.Models = {{"large", 4, 0.67, 1.0, seconds(16), milliseconds(1'600)},
                   {"small", 2, 0.33, 0.6, seconds(12), milliseconds(1'100)}};
  return {PoolService, "/healthz", 474, 36, Engine};
}

// Returns a configuration with PoolService and PlainService.
inline Configuration testConfiguration() {
  Configuration Config;
  Config.Version = 1;
  Config.Services[PoolService] = poolShape();
  Config.Services[PlainService] = {PlainService, "/healthz", 110, 0, {}};
  return Config;
}

// Returns an engine that is in no group. Domain is "<zone>-<name>".
inline Instance engine(const std::string &Id, const std::string &Domain) {
  Instance Engine;
  Engine.Id = InstanceId(Id);
  Engine.Service = PoolService;
  Engine.Address = {"127.0.0.1", 1};
  Engine.Zone = ZoneId(Domain.substr(0, Domain.find('-')));
  Engine.Domain = Domain;
  Engine.Slots = 26;
  Engine.BornMilliseconds = 1;
  return Engine;
}

// Returns an engine that is in Group and has the weights of its model.
inline Instance member(const std::string &Id, const std::string &Group,
                       std::int64_t Epoch, int Rank, MemberPhase Phase) {
  Instance Member = engine(Id, "north-d0");
  Member.Group = Membership{Group, Epoch, Rank, Phase};
  Member.Staged = {modelOfGroup(Group)};
  return Member;
}

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_TEST_SERVING_TESTFLEET_H
