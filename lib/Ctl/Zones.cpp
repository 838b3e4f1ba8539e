#include "samphirehill/Ctl/Zones.h"

#include "samphirehill/Ctl/InForce.h"

#include <algorithm>
#include <set>
#include <utility>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

constexpr int StoreAttempts = 8; // entries may store the object meanwhile

const SharedItem *findItem(const std::vector<SharedItem> &Items,
                           const SharedKey &Key) {
  for (const SharedItem &Item : Items)
    if (Item.Key == Key)
      return &Item;
  return nullptr;
}

struct StoredZones {
  std::uint64_t Version = 0;
  std::vector<SharedItem> Items;
};

Outcome<StoredZones> readZones(VentureClient &Venture) {
  Outcome<Object> Found = Venture.read({"zones", "state"});
  if (const Error *Failure = errorOf(Found)) {
    if (Failure->Code == ResultCode::NotFound)
      return Error{ResultCode::NotFound,
                   "no object zones/state: no text was applied yet"};
    return *Failure;
  }
  Outcome<std::vector<SharedItem>> Items =
      capture([&] { return parseZonesObject(std::get<0>(Found).Value); });
  if (const Error *Failure = errorOf(Items))
    return *Failure;
  return StoredZones{std::get<0>(Found).Version, std::get<0>(Items)};
}

// Refuses a zone that no stored text has: a typing error would otherwise seem
// to have worked.
std::optional<Error> unknownZone(VentureClient &Venture,
                                 const ZoneChange &Change) {
  Outcome<ObjectList> Placements = Venture.list(PlacementKind);
  if (const Error *Failure = errorOf(Placements))
    return *Failure;
  std::set<std::string> Known;
  for (const Object &Each : std::get<0>(Placements).Items)
    Known.insert(Each.Key.Name);
  for (const ZoneId &Zone : Change.Zones)
    if (!Known.contains(Zone.str()))
      return Error{ResultCode::NotFound,
                   "no stored text has a zone \"" + Zone.str() + "\""};
  return std::nullopt;
}

// What the given entries hold; entries that don't answer are left out.
std::vector<SharedItem> heldByEntries(VentureClient &Venture,
                                      const ZoneChange &Change) {
  std::vector<SharedItem> Held;
  for (const JsonAnswer &Answer :
       Venture.callEntries("GET", "/operator/status")) {
    if (errorOf(Answer))
      continue;
    for (const ZoneId &Zone : Change.Zones) {
      SharedKey Key{ZoneKind, Zone.str()};
      Held.push_back({Key, versionIn(std::get<0>(Answer), Key), ""});
    }
  }
  return Held;
}

// Stores Items through the platform.
std::optional<Error> store(VentureClient &Venture, const ZoneChange &Change,
                           const std::vector<SharedItem> &Held,
                           const std::string &ChangeId,
                           std::vector<SharedItem> &Items) {
  Outcome<StoredZones> First = readZones(Venture);
  if (const Error *Failure = errorOf(First))
    return *Failure;
  if (std::optional<Error> Unknown = unknownZone(Venture, Change))
    return Unknown;
  StoredZones Now = std::get<0>(First);
  for (int Attempt = 0; Attempt < StoreAttempts; ++Attempt) {
    std::vector<SharedItem> Known = Now.Items;
    Known.insert(Known.end(), Held.begin(), Held.end());
    Items = stampedItems(Change, Known, ChangeId);
    Outcome<std::uint64_t> Written = Venture.write(
        {"zones", "state"}, Now.Version,
        zonesObjectText(withItems(Now.Items, Items)), Venture.uniqueId());
    const Error *Failure = errorOf(Written);
    if (!Failure)
      return std::nullopt;
    if (Failure->Code != ResultCode::Conflict)
      return *Failure;
    Outcome<StoredZones> Again = readZones(Venture);
    if (const Error *Broken = errorOf(Again))
      return *Broken;
    Now = std::get<0>(Again);
    if (std::optional<Error> Lost =
            lostZoneRace(Change, std::get<0>(First).Items, Now.Items))
      return Lost;
  }
  return Error{ResultCode::Conflict,
               "zones/state was changed by others at each of " +
                   std::to_string(StoreAttempts) + " attempts"};
}

// Gives Items to all given entries; fails if none took all of them.
std::optional<Error> giveToEntries(VentureClient &Venture,
                                   const ZoneChange &Change,
                                   const std::vector<SharedItem> &Items,
                                   const Say &Tell) {
  const std::vector<std::string> &Entries = Venture.options().Entries;
  std::vector<bool> Took(Entries.size(), true);
  std::optional<Error> Conflict;
  Error Last{ResultCode::PlatformUnavailable,
             "the platform doesn't answer and no --entry is given"};
  for (const SharedItem &Item : Items) {
    Json Body = {
        {"zone", Item.Key.Name},
        {"state", Item.Value},
        {"operator", Change.Operator},
        {"stamp",
         {{"counter", Item.Version.Counter}, {"origin", Item.Version.Origin}}}};
    std::vector<JsonAnswer> Answers =
        Venture.callEntries("POST", "/operator/zones", Body);
    for (std::size_t Index = 0; Index < Answers.size(); ++Index) {
      const Error *Failure = errorOf(Answers[Index]);
      if (!Failure)
        continue;
      Took[Index] = false;
      Last = *Failure;
      if (Failure->Code == ResultCode::Conflict)
        Conflict = *Failure;
      Tell("not taken: " + describe(*Failure));
    }
  }
  if (Conflict)
    return Conflict;
  if (std::find(Took.begin(), Took.end(), true) == Took.end())
    return Last;
  return std::nullopt;
}

bool inForce(const Json &Status, const std::vector<SharedItem> &Items) {
  return std::all_of(Items.begin(), Items.end(), [&](const SharedItem &Item) {
    return versionIn(Status, Item.Key) >= Item.Version;
  });
}

} // namespace

std::vector<SharedItem> stampedItems(const ZoneChange &Change,
                                     const std::vector<SharedItem> &Known,
                                     const std::string &ChangeId) {
  std::vector<SharedItem> Items;
  for (const ZoneId &Zone : Change.Zones) {
    SharedKey Key{ZoneKind, Zone.str()};
    if (findItem(Items, Key))
      continue;
    std::uint64_t Highest = 0;
    for (const SharedItem &Each : Known)
      if (Each.Key == Key)
        Highest = std::max(Highest, Each.Version.Counter);
    Items.push_back(
        {Key, {Highest + 1, Change.Operator + "/" + ChangeId}, Change.State});
  }
  return Items;
}

std::vector<SharedItem> withItems(std::vector<SharedItem> Stored,
                                  const std::vector<SharedItem> &Items) {
  std::erase_if(Stored, [&](const SharedItem &Each) {
    return findItem(Items, Each.Key) != nullptr;
  });
  Stored.insert(Stored.end(), Items.begin(), Items.end());
  return Stored;
}

std::optional<Error> lostZoneRace(const ZoneChange &Change,
                                  const std::vector<SharedItem> &Before,
                                  const std::vector<SharedItem> &Now) {
  for (const ZoneId &Zone : Change.Zones) {
    SharedKey Key{ZoneKind, Zone.str()};
    const SharedItem *Old = findItem(Before, Key);
    const SharedItem *New = findItem(Now, Key);
    if (!New || New->Value == Change.State ||
        (Old && Old->Version == New->Version))
      continue;
    return Error{ResultCode::Conflict,
                 "zone " + Zone.str() + " was set to \"" + New->Value +
                     "\" meanwhile, with stamp " +
                     std::to_string(New->Version.Counter) + " of " +
                     New->Version.Origin + "; nothing was changed"};
  }
  return std::nullopt;
}

Report changeZones(VentureClient &Venture, const ZoneChange &Change,
                   const Say &Tell) {
  std::string ChangeId = Venture.uniqueId();
  // Entries may hold a newer state than the platform: given to them directly
  // during an outage and not stored yet.
  std::vector<SharedItem> Held = heldByEntries(Venture, Change);
  std::vector<SharedItem> Items = stampedItems(Change, Held, ChangeId);
  std::string Via = "platform";
  std::optional<Error> Failure = store(Venture, Change, Held, ChangeId, Items);
  if (!Failure) {
    Tell("stored in zones/state");
  } else if (platformDown(Failure->Code)) {
    Via = "entries";
    Tell("platform: " + describe(*Failure) + "; calling the entries");
    Failure = giveToEntries(Venture, Change, Items, Tell);
  }
  Report Result;
  if (!Failure)
    Result = waitInForce(
        Venture, Change.Wait,
        [&](const Json &Status) { return inForce(Status, Items); }, Tell);
  else
    Result.Failure = Failure;
  Result.Fields["via"] = Via;
  Result.Fields["changed"] = !Failure;
  Result.Fields["state"] = Change.State;
  Result.Fields["zones"] = Json::object();
  for (const SharedItem &Item : Items)
    Result.Fields["zones"][Item.Key.Name] = {{"counter", Item.Version.Counter},
                                             {"origin", Item.Version.Origin}};
  return Result;
}

} // namespace samphirehill
