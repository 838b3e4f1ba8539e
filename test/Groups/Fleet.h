// Engines, configurations and planner inputs for the tests of Groups.
#ifndef SAMPHIREHILL_TEST_GROUPS_FLEET_H
#define SAMPHIREHILL_TEST_GROUPS_FLEET_H

#include "samphirehill/Config/OperatorsText.h"
#include "samphirehill/Groups/Planner.h"

#include <stdexcept>
#include <string>
#include <vector>

namespace samphirehill::test {

inline const TimePoint Start{seconds(1000)};

inline Service modelService(const std::string &Name, int Size, int Replicas) {
  Service Value;
  Value.Name = ServiceId(Name);
  Value.Model = Name + "-model";
  Value.Version = "1";
  Value.ReplicaSize = Size;
  Value.ReplicasPerZone = Replicas;
  return Value;
}

inline OperatorsText textOf(std::vector<Service> Services, int Loads = 1000) {
  TextFields Fields;
  Fields.Operator = "op";
  Fields.Limits.MaxConcurrentLoads = Loads;
  Fields.Zones = {{ZoneId("z"), "r"}, {ZoneId("y"), "r"}};
  Fields.Services = std::move(Services);
  Outcome<OperatorsText> Text =
      capture([&] { return OperatorsText::create(Fields); });
  if (const Error *Problem = errorOf(Text))
    throw std::runtime_error(Problem->Message);
  return std::get<0>(Text);
}

// Returns engines called "e<domain>-<index>" with one accelerator each.
// DomainSizes lists the number of engines of each fabric domain.
inline std::vector<Instance> engines(const std::vector<int> &DomainSizes) {
  std::vector<Instance> List;
  for (std::size_t Domain = 0; Domain < DomainSizes.size(); ++Domain)
    for (int I = 0; I < DomainSizes[Domain]; ++I) {
      std::string Prefix = std::to_string(Domain);
      List.push_back({InstanceId("e" + Prefix + "-" + std::to_string(I)),
                      ZoneId("z"), DomainId("d" + Prefix), InstanceRole::Engine,
                      "", 1, InstanceState::Live});
    }
  return List;
}

inline PlannerInput inputOf(std::vector<Service> Services,
                            const std::vector<int> &DomainSizes,
                            int Loads = 1000) {
  PlannerInput Input;
  Input.Zone = ZoneId("z");
  Input.Texts = {textOf(std::move(Services), Loads)};
  Input.Instances = engines(DomainSizes);
  Input.CollectingSince = Start;
  Input.Now = Start;
  return Input;
}

// Makes every member report the role that the current placement assigns to it,
// so that all groups are loaded and serve.
inline void settle(PlannerInput &Input) {
  for (const Group &Value : Input.Current.Groups) {
    const Service *Of = Input.Texts[0].findService(Value.Service);
    Input.Serving.insert(Value.Name);
    for (const InstanceId &Member : Value.Members) {
      EngineReport &Report = Input.Reports[Member];
      Report = {Member, BootId("b"), EngineState::Warm};
      Report.Model = Of ? Of->Model : "";
      Report.Version = Value.Version;
      Report.Group = Value.Name;
      Report.Generation = Value.Generation;
      Report.Members = Value.Members;
      Report.At = Input.Now;
    }
  }
}

inline Instance &instanceOf(PlannerInput &Input, const InstanceId &Name) {
  for (Instance &Value : Input.Instances)
    if (Value.Name == Name)
      return Value;
  throw std::runtime_error("no instance " + Name.str());
}

} // namespace samphirehill::test

#endif // SAMPHIREHILL_TEST_GROUPS_FLEET_H
