#include "samphirehill/Groups/Fleet.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace samphirehill {
namespace {

using nlohmann::json;

std::optional<InstanceRole> roleOf(const std::string &Name) {
  if (Name == "entry")
    return InstanceRole::Entry;
  if (Name == "engine")
    return InstanceRole::Engine;
  if (Name == "service")
    return InstanceRole::Service;
  return std::nullopt;
}

std::optional<EngineState> stateOf(const std::string &Name) {
  if (Name == "idle")
    return EngineState::Idle;
  if (Name == "loading")
    return EngineState::Loading;
  if (Name == "cold")
    return EngineState::Cold;
  if (Name == "warm")
    return EngineState::Warm;
  return std::nullopt;
}

template <typename T>
std::vector<T> idsAt(const json &Object, const char *Key) {
  std::vector<T> Ids;
  for (const json &Value : Object.value(Key, json::array()))
    Ids.emplace_back(Value.get<std::string>());
  return Ids;
}

} // namespace

Result<Instance> parseInstance(const json &Item) {
  try {
    Instance Value;
    Value.Name = InstanceId(Item.at("id").get<std::string>());
    Value.Zone = ZoneId(Item.at("zone").get<std::string>());
    Value.FabricDomain = DomainId(Item.value("fabricDomain", ""));
    std::string Role = Item.at("role").get<std::string>();
    std::string State = Item.value("state", "live");
    std::optional<InstanceRole> Known = roleOf(Role);
    if (!Known || (State != "live" && State != "leaving"))
      return fail(ResultCode::BadAnswer, "instance " + Value.Name.str() +
                                             " has unknown role \"" + Role +
                                             "\" or state \"" + State + "\"");
    Value.Role = *Known;
    Value.State =
        State == "live" ? InstanceState::Live : InstanceState::Leaving;
    Value.Address = Item.value("address", "");
    Value.Accelerators = Item.value("accelerators", 0);
    return Value;
  } catch (const json::exception &Caught) {
    return fail(ResultCode::BadAnswer,
                std::string("instance: ") + Caught.what());
  }
}

Result<EngineReport> parseReport(const json &Answer, TimePoint At) {
  try {
    EngineReport Value;
    Value.Name = InstanceId(Answer.at("instance").get<std::string>());
    Value.Boot = BootId(Answer.at("bootId").get<std::string>());
    std::string State = Answer.at("state").get<std::string>();
    std::optional<EngineState> Known = stateOf(State);
    if (!Known)
      return fail(ResultCode::BadAnswer, "engine " + Value.Name.str() +
                                             " has unknown state \"" + State +
                                             "\"");
    Value.State = *Known;
    Value.Model = Answer.value("model", "");
    Value.Version = Answer.value("version", "");
    Value.Adapters = Answer.value("adapters", std::vector<std::string>());
    Value.Group = GroupId(Answer.value("group", ""));
    Value.Generation = Answer.value("generation", std::uint64_t(0));
    Value.Members = idsAt<InstanceId>(Answer, "members");
    Value.Fence = Answer.value("fence", std::uint64_t(0));
    Value.Running = Answer.value("running", 0);
    Value.Queued = Answer.value("queued", 0);
    Value.RunningIds = idsAt<RequestId>(Answer, "runningIds");
    Value.TokensPerSecond = Answer.value("tokensPerSecond", 0.0);
    Value.CacheSequence = Answer.value("cacheSequence", std::uint64_t(0));
    Value.At = At;
    return Value;
  } catch (const json::exception &Caught) {
    return fail(ResultCode::BadAnswer, std::string("status: ") + Caught.what());
  }
}

const EngineReport *findReport(const EngineReports &Reports,
                               const InstanceId &Name) {
  auto Place = Reports.find(Name);
  return Place == Reports.end() ? nullptr : &Place->second;
}

} // namespace samphirehill
