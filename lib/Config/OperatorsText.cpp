#include "samphirehill/Config/OperatorsText.h"

#include "TextReader.h"
#include "samphirehill/Config/Secret.h"

#include <algorithm>
#include <map>

namespace samphirehill {
namespace {

using nlohmann::json;

template <typename T, typename Name>
const T *findNamed(const std::vector<T> &Values, const Name &Wanted) {
  for (const T &Value : Values)
    if (Value.Name == Wanted)
      return &Value;
  return nullptr;
}

// Flattens Value into lines by path. The elements of a list of objects are
// named by their "name" or "id", so that a change of order is no difference.
void flatten(const json &Value, const std::string &Path,
             std::map<std::string, std::string> &Into) {
  if (Value.is_object()) {
    for (const auto &[Key, Member] : Value.items())
      flatten(Member, Path.empty() ? Key : concat({Path, ".", Key}), Into);
    return;
  }
  bool IsNamedList = Value.is_array() && !Value.empty() &&
                     Value.front().is_object() &&
                     !Value.front().contains("method");
  if (!IsNamedList) {
    Into[Path] = Value.dump();
    return;
  }
  for (json Element : Value) {
    const char *Key = Element.contains("name") ? "name" : "id";
    std::string Name = Element[Key].get<std::string>();
    Element.erase(Key);
    flatten(Element, concat({Path, ".", Name}), Into);
  }
}

} // namespace

Result<OperatorsText> OperatorsText::parse(std::string_view Toml,
                                           std::string_view File) {
  Problems Found(File);
  TextFields Fields;
  if (std::optional<toml::table> Table = parseToml(Toml, Found))
    Fields = readText(*Table, Found);
  if (!Found.empty())
    return fail(ResultCode::InvalidText, Found.message());
  return OperatorsText(std::move(Fields));
}

Result<OperatorsText> OperatorsText::fromJson(const json &Value) {
  Problems Found("config object");
  TextFields Fields;
  if (Value.is_object())
    Fields = readText(toTable(Value), Found);
  else
    Found.add(0, "value", "", "must be a JSON object");
  if (!Found.empty())
    return fail(ResultCode::InvalidText, Found.message());
  return OperatorsText(std::move(Fields));
}

Result<OperatorsText> OperatorsText::create(const TextFields &Fields) {
  return fromJson(writeText(Fields));
}

json OperatorsText::toJson() const { return writeText(Fields); }

const Service *OperatorsText::findService(const ServiceId &Name) const {
  return findNamed(Fields.Services, Name);
}

const Organisation *
OperatorsText::findOrganisation(const OrganisationId &Name) const {
  return findNamed(Fields.Organisations, Name);
}

const Organisation *
OperatorsText::findOrganisationByKey(std::string_view ApiKey) const {
  std::string Digest = sha256Hex(ApiKey);
  for (const Organisation &Value : Fields.Organisations)
    if (std::find(Value.KeyDigests.begin(), Value.KeyDigests.end(), Digest) !=
        Value.KeyDigests.end())
      return &Value;
  return nullptr;
}

const Service *
OperatorsText::serviceOfInstance(const InstanceId &Instance) const {
  const Service *Best = nullptr;
  std::size_t BestSize = 0;
  for (const Service &Value : Fields.Services) {
    for (const std::string &Pattern : Value.Instances) {
      // A pattern without "*" is an exact id and beats every prefix.
      std::size_t Size =
          Pattern.ends_with('*') ? Pattern.size() : std::string::npos;
      if (Size <= BestSize || !matchesInstance(Pattern, Instance.str()))
        continue;
      Best = &Value;
      BestSize = Size;
    }
  }
  return Best;
}

bool OperatorsText::checksFence(const Service &Of,
                                const InstanceId &Instance) const {
  const InstanceRule *Rule = findNamed(Fields.Instances, Instance);
  return Rule ? Rule->ChecksFence : Of.ChecksFence;
}

bool OperatorsText::runsIn(const Service &Of, const ZoneId &Where) const {
  if (Of.Zones.empty())
    return findNamed(Fields.Zones, Where) != nullptr;
  return std::find(Of.Zones.begin(), Of.Zones.end(), Where) != Of.Zones.end();
}

bool OperatorsText::mayCall(const Organisation &Who,
                            const ServiceId &Of) const {
  if (Who.Services.empty())
    return findService(Of) != nullptr;
  return std::find(Who.Services.begin(), Who.Services.end(), Of) !=
         Who.Services.end();
}

std::vector<std::string> checkTogether(const OperatorsText &Left,
                                       const OperatorsText &Right) {
  std::vector<std::string> Clashes;
  const std::string &LeftName = Left.operatorName();
  const std::string &RightName = Right.operatorName();
  auto AddBoth = [&](std::string_view Kind, std::string_view Name) {
    Clashes.push_back(concat({Kind, " ", Name, " is defined by both ", LeftName,
                              " and ", RightName}));
  };
  if (LeftName == RightName)
    Clashes.push_back(concat({"operator ", LeftName, " has two texts"}));
  for (const Service &Value : Left.services()) {
    if (Right.findService(Value.Name))
      AddBoth("service", Value.Name.str());
    for (const Service &Other : Right.services())
      for (const std::string &Pattern : Value.Instances)
        if (std::find(Other.Instances.begin(), Other.Instances.end(),
                      Pattern) != Other.Instances.end())
          AddBoth("instance pattern", Pattern);
  }
  std::map<std::string, OrganisationId> Keys;
  for (const Organisation &Value : Left.organisations())
    for (const std::string &Digest : Value.KeyDigests)
      Keys.emplace(Digest, Value.Name);
  for (const Organisation &Value : Right.organisations()) {
    if (Left.findOrganisation(Value.Name))
      AddBoth("organisation", Value.Name.str());
    for (const std::string &Digest : Value.KeyDigests)
      if (auto Place = Keys.find(Digest); Place != Keys.end())
        Clashes.push_back(concat({"organisations ", Place->second.str(), " of ",
                                  LeftName, " and ", Value.Name.str(), " of ",
                                  RightName, " have the same API key"}));
  }
  for (const Zone &Value : Left.zones()) {
    const Zone *Other = findNamed(Right.zones(), Value.Name);
    if (Other && *Other != Value)
      Clashes.push_back(concat(
          {"zone ", Value.Name.str(), " is in region ", Value.Region, " for ",
           LeftName, " and in region ", Other->Region, " for ", RightName}));
  }
  return Clashes;
}

std::vector<std::string> diff(const OperatorsText &Old,
                              const OperatorsText &New) {
  std::map<std::string, std::string> Before;
  std::map<std::string, std::string> After;
  flatten(Old.toJson(), "", Before);
  flatten(New.toJson(), "", After);
  std::map<std::string, std::string> Lines;
  for (const auto &[Path, Value] : Before)
    if (!After.contains(Path))
      Lines[Path] = concat({"- ", Path, ": ", Value});
  for (const auto &[Path, Value] : After) {
    auto Place = Before.find(Path);
    if (Place == Before.end())
      Lines[Path] = concat({"+ ", Path, ": ", Value});
    else if (Place->second != Value)
      Lines[Path] = concat({"~ ", Path, ": ", Place->second, " -> ", Value});
  }
  std::vector<std::string> Changes;
  Changes.reserve(Lines.size());
  for (const auto &[Path, Line] : Lines)
    Changes.push_back(Line);
  return Changes;
}

} // namespace samphirehill
