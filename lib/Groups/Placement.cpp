#include "samphirehill/Groups/Placement.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace samphirehill {
namespace {

using nlohmann::json;

json writeRun(const EntryRun &Run) {
  return {{"entry", Run.Entry.str()}, {"incarnation", Run.Start}};
}

EntryRun readRun(const json &Value) {
  return {EntryId(Value.at("entry").get<std::string>()),
          Value.at("incarnation").get<Incarnation>()};
}

json writeGroup(const Group &Value) {
  json Object = {{"id", Value.Name.str()},
                 {"generation", Value.Generation},
                 {"service", Value.Service.str()},
                 {"version", Value.Version},
                 {"members", json::array()}};
  for (const InstanceId &Member : Value.Members)
    Object["members"].push_back(Member.str());
  if (Value.Spare)
    Object["spare"] = Value.Spare->str();
  return Object;
}

Group readGroup(const json &Object) {
  Group Value;
  Value.Name = GroupId(Object.at("id").get<std::string>());
  Value.Generation = Object.at("generation").get<std::uint64_t>();
  Value.Service = ServiceId(Object.at("service").get<std::string>());
  Value.Version = Object.at("version").get<std::string>();
  for (const json &Member : Object.at("members"))
    Value.Members.emplace_back(Member.get<std::string>());
  if (Object.contains("spare"))
    Value.Spare = InstanceId(Object["spare"].get<std::string>());
  return Value;
}

Placement readPlacement(const json &Object) {
  Placement Value;
  Value.Fence = Object.at("fence").get<std::uint64_t>();
  Value.Controller = readRun(Object.at("controller"));
  for (const json &Element : Object.at("groups"))
    Value.Groups.push_back(readGroup(Element));
  for (const auto &[Name, Element] : Object.at("homes").items())
    Value.Homes[UpstreamId(Name)] = {readRun(Element),
                                     Element.at("epoch").get<std::uint64_t>()};
  Value.AckFence = Object.at("ackFence").get<std::uint64_t>();
  for (const json &Element : Object.at("former"))
    Value.Former.push_back(
        {readRun(Element), Element.at("fence").get<std::uint64_t>()});
  Value.NextGroup = Object.at("nextGroup").get<std::uint64_t>();
  return Value;
}

} // namespace

const Group *Placement::findGroup(const GroupId &Name) const {
  for (const Group &Value : Groups)
    if (Value.Name == Name)
      return &Value;
  return nullptr;
}

const Group *Placement::groupOf(const InstanceId &Instance) const {
  for (const Group &Value : Groups)
    if (std::find(Value.Members.begin(), Value.Members.end(), Instance) !=
        Value.Members.end())
      return &Value;
  return nullptr;
}

json toJson(const Placement &Value) {
  json Object = {{"format", PlacementFormat},
                 {"fence", Value.Fence},
                 {"controller", writeRun(Value.Controller)},
                 {"groups", json::array()},
                 {"homes", json::object()},
                 {"ackFence", Value.AckFence},
                 {"former", json::array()},
                 {"nextGroup", Value.NextGroup}};
  for (const Group &Element : Value.Groups)
    Object["groups"].push_back(writeGroup(Element));
  for (const auto &[Name, Element] : Value.Homes) {
    json Written = writeRun(Element.Holder);
    Written["epoch"] = Element.Epoch;
    Object["homes"][Name.str()] = std::move(Written);
  }
  for (const FormerController &Element : Value.Former) {
    json Written = writeRun(Element.Run);
    Written["fence"] = Element.Fence;
    Object["former"].push_back(std::move(Written));
  }
  return Object;
}

Result<Placement> placementFromJson(const json &Value) {
  try {
    int Format = Value.at("format").get<int>();
    if (Format != PlacementFormat)
      return fail(ResultCode::BadAnswer, "placement format is " +
                                             std::to_string(Format) +
                                             "; this release reads format " +
                                             std::to_string(PlacementFormat));
    Placement Read = readPlacement(Value);
    std::string Problems;
    for (const std::string &Problem : findProblems(Read)) {
      Problems += Problems.empty() ? "placement: " : "; ";
      Problems += Problem;
    }
    if (!Problems.empty())
      return fail(ResultCode::BadAnswer, Problems);
    return Read;
  } catch (const json::exception &Caught) {
    return fail(ResultCode::BadAnswer,
                std::string("placement: ") + Caught.what());
  }
}

std::vector<std::string> findProblems(const Placement &Value) {
  std::vector<std::string> Problems;
  std::set<GroupId> Names;
  std::set<InstanceId> Claimed;
  auto Claim = [&](const InstanceId &Instance) {
    if (!Claimed.insert(Instance).second)
      Problems.push_back("instance " + Instance.str() + " is claimed twice");
  };
  for (const Group &Element : Value.Groups) {
    if (!Names.insert(Element.Name).second)
      Problems.push_back("group " + Element.Name.str() + " is listed twice");
    if (Element.Members.empty())
      Problems.push_back("group " + Element.Name.str() + " has no members");
    for (const InstanceId &Member : Element.Members)
      Claim(Member);
    if (Element.Spare)
      Claim(*Element.Spare);
  }
  return Problems;
}

Placement takeOver(Placement Value, const EntryRun &Self) {
  if (Value.Controller == Self)
    return Value;
  if (!Value.Controller.Entry.empty())
    Value.Former.push_back({Value.Controller, Value.Fence});
  // A former controller that takes over again stays in Former: its new orders
  // carry the new fence, and its old orders still count as those of a former
  // controller.
  Value.Controller = Self;
  ++Value.Fence;
  if (Value.Former.empty())
    Value.AckFence = Value.Fence;
  return Value;
}

Placement settleFormer(Placement Value, const EntryRun &Run) {
  std::erase_if(Value.Former, [&](const FormerController &Element) {
    return Element.Run == Run;
  });
  if (Value.Former.empty())
    Value.AckFence = Value.Fence;
  return Value;
}

std::optional<Placement> substituteSpare(Placement Value,
                                         const InstanceId &Lost) {
  for (Group &Element : Value.Groups) {
    auto Place =
        std::find(Element.Members.begin(), Element.Members.end(), Lost);
    if (Place == Element.Members.end())
      continue;
    if (!Element.Spare)
      return std::nullopt;
    *Place = *Element.Spare;
    Element.Spare.reset();
    ++Element.Generation;
    return Value;
  }
  return std::nullopt;
}

} // namespace samphirehill
