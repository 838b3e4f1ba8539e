#include "TextReader.h"

namespace samphirehill {
namespace {

using nlohmann::json;

template <typename T> json writeIds(const std::vector<Id<T>> &Ids) {
  json List = json::array();
  for (const Id<T> &Value : Ids)
    List.push_back(Value.str());
  return List;
}

json writeService(const Service &Value) {
  json Object = {{"name", Value.Name.str()},
                 {"depends_on", writeIds(Value.DependsOn)},
                 {"zones", writeIds(Value.Zones)},
                 {"weight", Value.Weight},
                 {"cold_limit", Value.ColdLimit},
                 {"warm_limit", Value.WarmLimit},
                 {"ramp_factor", Value.LimitRamp.Factor},
                 {"ramp_step", formatDuration(Value.LimitRamp.Step)},
                 {"checks_fence", Value.ChecksFence}};
  if (Value.Kind == ServiceKind::Plain) {
    Object["kind"] = "plain";
    Object["instances"] = Value.Instances;
    Object["non_repeatable"] = json::array();
    for (const PathRule &Rule : Value.NonRepeatable)
      Object["non_repeatable"].push_back(
          {{"method", Rule.Method}, {"path", Rule.Pattern}});
    return Object;
  }
  Object["kind"] = "model";
  Object["model"] = Value.Model;
  Object["version"] = Value.Version;
  Object["adapters"] = Value.Adapters;
  Object["replica_size"] = Value.ReplicaSize;
  Object["accelerators"] = Value.Accelerators;
  if (Value.ReplicasPerZone != 0)
    Object["replicas_per_zone"] = Value.ReplicasPerZone;
  if (Value.Replicas != 0)
    Object["replicas"] = Value.Replicas;
  Object["weights_bytes"] = Value.WeightsBytes;
  return Object;
}

void insert(toml::table &Into, const std::string &Key, const json &Value);

void append(toml::array &Into, const json &Value) {
  if (Value.is_object())
    return Into.push_back(toTable(Value));
  toml::table Holder;
  insert(Holder, "value", Value);
  if (toml::node *Node = Holder.get("value"))
    Node->visit([&](auto &Inner) { Into.push_back(std::move(Inner)); });
}

void insert(toml::table &Into, const std::string &Key, const json &Value) {
  if (Value.is_object()) {
    Into.insert(Key, toTable(Value));
  } else if (Value.is_array()) {
    toml::array List;
    for (const json &Element : Value)
      append(List, Element);
    Into.insert(Key, std::move(List));
  } else if (Value.is_string()) {
    Into.insert(Key, Value.get<std::string>());
  } else if (Value.is_boolean()) {
    Into.insert(Key, Value.get<bool>());
  } else if (Value.is_number_integer()) {
    Into.insert(Key, Value.get<std::int64_t>());
  } else if (Value.is_number()) {
    Into.insert(Key, Value.get<double>());
  }
}

} // namespace

toml::table toTable(const json &Value) {
  toml::table Table;
  for (const auto &[Key, Member] : Value.items())
    insert(Table, Key, Member);
  return Table;
}

json writeText(const TextFields &Fields) {
  json Object = {{"operator", Fields.Operator},
                 {"limits",
                  {{"max_deadline", formatDuration(Fields.Limits.MaxDeadline)},
                   {"record_ttl", formatDuration(Fields.Limits.RecordTtl)},
                   {"max_concurrent_loads", Fields.Limits.MaxConcurrentLoads}}},
                 {"zones", json::array()},
                 {"services", json::array()},
                 {"organisations", json::array()},
                 {"instances", json::array()}};
  for (const Zone &Value : Fields.Zones)
    Object["zones"].push_back(
        {{"name", Value.Name.str()}, {"region", Value.Region}});
  for (const Service &Value : Fields.Services)
    Object["services"].push_back(writeService(Value));
  for (const Organisation &Value : Fields.Organisations)
    Object["organisations"].push_back({{"id", Value.Name.str()},
                                       {"weight", Value.Weight},
                                       {"api_key_sha256", Value.KeyDigests},
                                       {"services", writeIds(Value.Services)}});
  for (const InstanceRule &Value : Fields.Instances)
    Object["instances"].push_back(
        {{"id", Value.Name.str()}, {"checks_fence", Value.ChecksFence}});
  return Object;
}

} // namespace samphirehill
