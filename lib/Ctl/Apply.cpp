#include "samphirehill/Ctl/Apply.h"

#include "samphirehill/Config/Settings.h"
#include "samphirehill/Ctl/InForce.h"
#include "samphirehill/Groups/Placement.h"
#include "samphirehill/Idempotency/ShardObject.h"
#include "samphirehill/Membership/SharedState.h"

#include <algorithm>
#include <utility>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

std::string joinLines(const std::vector<std::string> &Lines) {
  std::string Joined;
  for (const std::string &Line : Lines)
    Joined += (Joined.empty() ? "" : "\n") + Line;
  return Joined;
}

Outcome<std::vector<StoredText>> storedTexts(VentureClient &Venture) {
  Outcome<ObjectList> Listed = Venture.list(ConfigKind);
  if (const Error *Failure = errorOf(Listed))
    return *Failure;
  std::vector<StoredText> Texts;
  for (const Object &Each : std::get<0>(Listed).Items) {
    Json Value = Json::parse(Each.Value, nullptr, false);
    Outcome<OperatorsText> Text =
        capture([&] { return OperatorsText::fromJson(Value); });
    if (const Error *Failure = errorOf(Text))
      return Error{Failure->Code, "stored text config/" + Each.Key.Name +
                                      " can't be read: " + Failure->Message};
    Texts.push_back(StoredText{std::get<0>(Text), Each.Version, Each.WriteId});
  }
  return Texts;
}

const StoredText *findText(const std::vector<StoredText> &Texts,
                           const std::string &Operator) {
  for (const StoredText &Each : Texts)
    if (Each.Text.operatorName() == Operator)
      return &Each;
  return nullptr;
}

// Refuses while zones/state holds the close mark. A missing object is no mark.
std::optional<Error> closeMark(VentureClient &Venture) {
  Outcome<Object> Found = Venture.read({"zones", "state"});
  if (const Error *Failure = errorOf(Found)) {
    if (Failure->Code == ResultCode::NotFound)
      return std::nullopt;
    return *Failure;
  }
  Outcome<std::vector<SharedItem>> Items =
      capture([&] { return parseZonesObject(std::get<0>(Found).Value); });
  if (const Error *Failure = errorOf(Items))
    return *Failure;
  for (const SharedItem &Item : std::get<0>(Items))
    if (Item.Key.Kind == CloseKind)
      return Error{ResultCode::Closing, "the venture is closing (mark set by " +
                                            Item.Version.Origin +
                                            "); no text is taken"};
  return std::nullopt;
}

std::optional<Error> createObjects(VentureClient &Venture,
                                   const OperatorsText &Text, const Say &Tell) {
  std::set<ObjectKey> Existing;
  for (const char *Kind : SystemKinds) {
    Outcome<ObjectList> Listed = Venture.list(Kind);
    if (const Error *Failure = errorOf(Listed))
      return *Failure;
    for (const Object &Each : std::get<0>(Listed).Items)
      Existing.insert(Each.Key);
  }
  std::size_t Created = 0;
  for (const NewObject &Each : objectsToCreate(Text, Existing)) {
    Outcome<std::uint64_t> Written =
        Venture.write(Each.Key, 0, Each.Value, Venture.uniqueId());
    const Error *Failure = errorOf(Written);
    // Another apply may have created it meanwhile.
    if (Failure && Failure->Code != ResultCode::Conflict)
      return Error{Failure->Code, "creating " + Each.Key.Kind + "/" +
                                      Each.Key.Name + ": " + Failure->Message};
    Created += Failure ? 0 : 1;
  }
  if (Created > 0)
    Tell("created " + std::to_string(Created) + " objects");
  return std::nullopt;
}

Error lostRace(VentureClient &Venture, const std::string &Operator,
               std::uint64_t Expected) {
  std::string Message = "config/" + Operator + ": the text was made against " +
                        "version " + std::to_string(Expected) + ", but ";
  Outcome<Object> Now = Venture.read({ConfigKind, Operator});
  if (errorOf(Now))
    return {ResultCode::Conflict, Message + "that is no longer stored"};
  const Object &Other = std::get<0>(Now);
  return {ResultCode::Conflict,
          Message + "version " + std::to_string(Other.Version) + " (write " +
              Other.WriteId + ") is stored; look at it with diff"};
}

// Clashes that came up because another operator stored a text at the same time.
std::optional<Error> lateClashes(VentureClient &Venture,
                                 const OperatorsText &Text) {
  Outcome<std::vector<StoredText>> Texts = storedTexts(Venture);
  if (errorOf(Texts))
    return std::nullopt;
  std::vector<std::string> Found = clashes(Text, std::get<0>(Texts));
  if (Found.empty())
    return std::nullopt;
  return Error{ResultCode::Conflict,
               "the text is stored, but another operator stored a text at the "
               "same time that clashes with it; change one of them:\n" +
                   joinLines(Found)};
}

Report reportInForce(VentureClient &Venture, const OperatorsText &Text,
                     std::uint64_t Version, Duration Wait, const Say &Tell) {
  const std::string &Operator = Text.operatorName();
  Report Result = waitInForce(
      Venture, Wait,
      [&](const Json &Status) {
        return textInForce(Status, Operator, Version);
      },
      Tell);
  Result.Fields["operator"] = Operator;
  Result.Fields["version"] = Version;
  Result.Fields["accepted"] = true;
  if (std::optional<Error> Clash = lateClashes(Venture, Text))
    Result.Failure = Clash;
  return Result;
}

} // namespace

std::vector<NewObject> objectsToCreate(const OperatorsText &Text,
                                       const std::set<ObjectKey> &Existing) {
  std::vector<NewObject> Wanted;
  Wanted.push_back({{"zones", "state"}, zonesObjectText({})});
  for (const Zone &Each : Text.zones())
    Wanted.push_back(
        {{PlacementKind, Each.Name.str()}, toJson(Placement()).dump()});
  for (std::size_t Shard = 0; Shard < ShardCount; ++Shard)
    Wanted.push_back(
        {{"records", std::to_string(Shard)}, toJson(ShardObject())});
  std::erase_if(Wanted, [&](const NewObject &Each) {
    return Existing.contains(Each.Key);
  });
  return Wanted;
}

std::vector<std::string> clashes(const OperatorsText &Text,
                                 const std::vector<StoredText> &Stored) {
  std::vector<std::string> Found;
  for (const StoredText &Other : Stored) {
    if (Other.Text.operatorName() == Text.operatorName())
      continue;
    for (std::string &Line : checkTogether(Text, Other.Text))
      Found.push_back(std::move(Line));
  }
  return Found;
}

Outcome<OperatorsText> loadText(const std::string &Path) {
  return capture([&]() -> Result<OperatorsText> {
    BOOST_LEAF_AUTO(Toml, readTextFile(Path));
    return OperatorsText::parse(Toml, Path);
  });
}

Report validateTexts(const std::vector<std::string> &Paths, const Say &Tell) {
  std::vector<OperatorsText> Texts;
  std::vector<std::string> Problems;
  ResultCode Code = ResultCode::InvalidText;
  for (const std::string &Path : Paths) {
    Outcome<OperatorsText> Text = loadText(Path);
    if (const Error *Failure = errorOf(Text)) {
      Problems.push_back(Failure->Message);
      Code = Failure->Code;
      continue;
    }
    Texts.push_back(std::get<0>(Text));
  }
  for (std::size_t Left = 0; Left < Texts.size(); ++Left)
    for (std::size_t Right = Left + 1; Right < Texts.size(); ++Right)
      for (std::string &Line : checkTogether(Texts[Left], Texts[Right]))
        Problems.push_back(std::move(Line));
  Report Result;
  Result.Fields = {{"valid", Problems.empty()}, {"problems", Problems}};
  if (!Problems.empty()) {
    Result.Failure = Error{Code, joinLines(Problems)};
    return Result;
  }
  for (const OperatorsText &Text : Texts)
    Tell("text of " + Text.operatorName() +
         " is valid: " + std::to_string(Text.zones().size()) + " zones, " +
         std::to_string(Text.services().size()) + " services, " +
         std::to_string(Text.organisations().size()) + " organisations");
  return Result;
}

Report diffText(VentureClient &Venture, const OperatorsText &Text,
                const Say &Tell) {
  Report Result;
  Outcome<std::vector<StoredText>> Texts = storedTexts(Venture);
  if (const Error *Failure = errorOf(Texts)) {
    Result.Failure = *Failure;
    return Result;
  }
  const StoredText *Stored = findText(std::get<0>(Texts), Text.operatorName());
  std::vector<std::string> Lines;
  if (Stored)
    Lines = diff(Stored->Text, Text);
  std::uint64_t Version = Stored ? Stored->Version : 0;
  Result.Fields = {{"operator", Text.operatorName()},
                   {"version", Version},
                   {"changes", Lines}};
  if (!Stored)
    Tell("no text of " + Text.operatorName() + " is stored");
  else if (Lines.empty())
    Tell("equal to stored version " + std::to_string(Version));
  else
    Tell("changes from stored version " + std::to_string(Version) + ":");
  for (const std::string &Line : Lines)
    Tell(Line);
  std::vector<std::string> Found = clashes(Text, std::get<0>(Texts));
  if (!Found.empty())
    Result.Failure = Error{ResultCode::InvalidText, joinLines(Found)};
  return Result;
}

Report applyText(VentureClient &Venture, const OperatorsText &Text,
                 const ApplyOptions &Options, const Say &Tell) {
  const std::string &Operator = Text.operatorName();
  auto Fail = [&](Error Failure) {
    Report Result;
    Result.Fields = {{"operator", Operator}, {"accepted", false}};
    Result.Failure = std::move(Failure);
    return Result;
  };
  if (std::optional<Error> Refused = closeMark(Venture))
    return Fail(*Refused);
  Outcome<std::vector<StoredText>> Texts = storedTexts(Venture);
  if (const Error *Failure = errorOf(Texts))
    return Fail(*Failure);
  std::vector<std::string> Found = clashes(Text, std::get<0>(Texts));
  if (!Found.empty())
    return Fail({ResultCode::InvalidText, joinLines(Found)});
  const StoredText *Stored = findText(std::get<0>(Texts), Operator);
  std::uint64_t Version = Stored ? Stored->Version : 0;
  std::uint64_t Expected = Options.ExpectedVersion.value_or(Version);
  if (Expected != Version)
    return Fail(lostRace(Venture, Operator, Expected));
  // The text comes last: once it is in force, all its objects exist.
  if (std::optional<Error> Failure = createObjects(Venture, Text, Tell))
    return Fail(*Failure);
  if (std::optional<Error> Refused = closeMark(Venture))
    return Fail(*Refused);
  if (Stored && Stored->Text == Text) {
    Tell("unchanged: version " + std::to_string(Version) +
         " is stored already");
    return reportInForce(Venture, Text, Version, Options.Wait, Tell);
  }
  Outcome<std::uint64_t> Written =
      Venture.write({ConfigKind, Operator}, Expected, Text.toJson().dump(),
                    Operator + "." + Venture.uniqueId());
  if (const Error *Failure = errorOf(Written)) {
    if (Failure->Code == ResultCode::Conflict ||
        Failure->Code == ResultCode::NotFound)
      return Fail(lostRace(Venture, Operator, Expected));
    return Fail(*Failure);
  }
  Version = std::get<0>(Written);
  Tell("accepted: version " + std::to_string(Version) + " of " + Operator);
  return reportInForce(Venture, Text, Version, Options.Wait, Tell);
}

} // namespace samphirehill
