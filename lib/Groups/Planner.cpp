#include "samphirehill/Groups/Planner.h"

#include "ZonePlanner.h"

#include <algorithm>
#include <tuple>

namespace samphirehill {

std::string joined(std::initializer_list<std::string_view> Parts) {
  std::string Text;
  for (std::string_view Part : Parts)
    Text += Part;
  return Text;
}

std::string weightsKey(const std::string &Model, const std::string &Version) {
  return joined({Model, "@", Version});
}

int wantedReplicas(const OperatorsText &Text, const Service &Spec,
                   const ZoneId &Where, const std::set<ZoneId> &ZonesOut) {
  if (!Text.runsIn(Spec, Where) || ZonesOut.contains(Where))
    return 0;
  if (Spec.ReplicasPerZone > 0)
    return Spec.ReplicasPerZone;
  std::set<ZoneId> Sharing;
  for (const Zone &Value : Text.zones())
    if (Text.runsIn(Spec, Value.Name) && !ZonesOut.contains(Value.Name))
      Sharing.insert(Value.Name);
  auto Count = static_cast<int>(Sharing.size());
  auto Index =
      static_cast<int>(std::distance(Sharing.begin(), Sharing.find(Where)));
  return Spec.Replicas / Count + (Index < Spec.Replicas % Count ? 1 : 0);
}

ZonePlanner::ZonePlanner(const PlannerInput &Input)
    : Input(Input), Pool({}), NextGroup(Input.Current.NextGroup) {
  findDemands();
  findUsable();
  Pool = makePool();
}

void ZonePlanner::findDemands() {
  for (const OperatorsText &Text : Input.Texts) {
    for (const Service &Spec : Text.services()) {
      if (Spec.Kind != ServiceKind::Model || !Text.runsIn(Spec, Input.Zone))
        continue;
      int Wanted = wantedReplicas(Text, Spec, Input.Zone, Input.ZonesOut);
      Demands[Spec.Name] = {&Text, &Spec, Wanted};
      Sizes[Spec.Accelerators].insert(Spec.ReplicaSize);
    }
  }
}

void ZonePlanner::findUsable() {
  std::vector<const Instance *> Engines;
  std::set<InstanceId> Silent;
  for (const Instance &Value : Input.Instances) {
    if (Value.Role != InstanceRole::Engine || Value.Zone != Input.Zone ||
        Value.State != InstanceState::Live)
      continue;
    Engines.push_back(&Value);
    const EngineReport *Report = findReport(Input.Reports, Value.Name);
    TimePoint LastHeartbeat = Input.CollectingSince;
    if (Report)
      LastHeartbeat = std::max(LastHeartbeat, Report->At);
    if (Input.Now - LastHeartbeat > MemberLossTime)
      Silent.insert(Value.Name);
  }
  // When more than half of the engines are silent, the likely fault is the
  // connection of this entry, so no engine counts as lost.
  if (Silent.size() * 2 > Engines.size())
    Silent.clear();
  for (const Instance *Value : Engines)
    if (!Silent.contains(Value->Name) && !Input.Replaced.contains(Value->Name))
      Usable[Value->Name] = Value;
}

FreeEngine ZonePlanner::freeEngine(const Instance &Value) const {
  FreeEngine Engine{Value.Name, Value.FabricDomain, Value.Accelerators, ""};
  const EngineReport *Report = findReport(Input.Reports, Value.Name);
  if (Report && Report->isLoaded())
    Engine.Weights = weightsKey(Report->Model, Report->Version);
  return Engine;
}

FreePool ZonePlanner::makePool() const {
  FreePool Free(Sizes);
  for (const auto &[Name, Value] : Usable)
    Free.add(freeEngine(*Value));
  return Free;
}

MemberNeed ZonePlanner::needOf(const Service &Spec,
                               const std::string &Version) const {
  return {Spec.Accelerators, weightsKey(Spec.Model, Version)};
}

bool ZonePlanner::hasWeights(const InstanceId &Name, const Service &Spec,
                             const std::string &Version) const {
  const EngineReport *Report = findReport(Input.Reports, Name);
  return Report && Report->isLoaded() && Report->Model == Spec.Model &&
         Report->Version == Version;
}

std::optional<DomainId>
ZonePlanner::domainOf(const PlannedGroup &Element) const {
  for (const InstanceId &Member : Element.Value.Members)
    if (auto Place = Usable.find(Member); Place != Usable.end())
      return Place->second->FabricDomain;
  return std::nullopt;
}

bool ZonePlanner::mayLoad(const ServiceDemand &Demand) const {
  auto Place = Loading.find(Demand.Text);
  int Count = Place == Loading.end() ? 0 : Place->second;
  return Count < Demand.Text->limits().MaxConcurrentLoads;
}

// Returns the usable members of Element to the pool.
void ZonePlanner::release(const PlannedGroup &Element) {
  for (const InstanceId &Member : Element.Value.Members)
    if (auto Place = Usable.find(Member); Place != Usable.end())
      Pool.add(freeEngine(*Place->second));
}

void ZonePlanner::drop(std::size_t Index, std::string_view Why) {
  PlannedGroup &Element = Groups[Index];
  Dropped[Index] = true;
  --Element.Demand->Have;
  if (Element.IsLoading)
    --Loading[Element.Demand->Text];
  release(Element);
  Reasons.push_back(
      joined({"group ", Element.Value.Name.str(), " is dissolved: ", Why}));
}

void ZonePlanner::keepGroups() {
  for (const Group &Value : Input.Current.Groups) {
    auto Place = Demands.find(Value.Service);
    if (Place == Demands.end()) {
      Reasons.push_back(
          joined({"group ", Value.Name.str(), " is dissolved: service ",
                  Value.Service.str(), " does not run in this zone"}));
      continue;
    }
    PlannedGroup Element{Value, &Place->second, {}};
    for (std::size_t Rank = 0; Rank < Value.Members.size(); ++Rank) {
      auto Member = Usable.find(Value.Members[Rank]);
      if (Member == Usable.end()) {
        Element.Missing.push_back(Rank);
        continue;
      }
      Pool.remove(Member->first);
      if (!hasWeights(Member->first, *Element.Demand->Spec, Value.Version))
        Element.IsLoading = true;
    }
    // A group with a missing member can't load its weights before its repair.
    Element.IsLoading = Element.IsLoading && Element.Missing.empty();
    if (Element.IsLoading)
      ++Loading[Element.Demand->Text];
    ++Element.Demand->Have;
    if (!Input.Serving.contains(Value.Name))
      ++Element.Demand->Faulty;
    if (Input.Rebooted.contains(Value.Name) && Element.Missing.empty()) {
      ++Element.Value.Generation;
      Reasons.push_back(joined(
          {"group ", Value.Name.str(), " forms again: a member has rebooted"}));
    }
    Groups.push_back(std::move(Element));
  }
  Dropped.assign(Groups.size(), false);
}

void ZonePlanner::dropExcess() {
  std::vector<std::size_t> Order(Groups.size());
  for (std::size_t I = 0; I < Order.size(); ++I)
    Order[I] = I;
  // The least useful groups come first: groups with missing members, then
  // groups that don't serve, then the newest.
  std::stable_sort(
      Order.begin(), Order.end(), [&](std::size_t Left, std::size_t Right) {
        auto Key = [&](std::size_t I) {
          const PlannedGroup &Element = Groups[I];
          return std::tuple(Element.Missing.empty(),
                            Input.Serving.contains(Element.Value.Name));
        };
        return std::tuple(Key(Left), Right) < std::tuple(Key(Right), Left);
      });
  for (std::size_t I : Order)
    if (Groups[I].Demand->Have > Groups[I].Demand->Wanted)
      drop(I, "its service wants fewer replicas");
}

// Changes groups to the configured version and replica size, one group of each
// service at a time, so that the other groups of the service keep serving.
void ZonePlanner::updateOneOfEachService() {
  std::set<ServiceId> Done;
  for (std::size_t I = 0; I < Groups.size(); ++I) {
    PlannedGroup &Element = Groups[I];
    const Service &Spec = *Element.Demand->Spec;
    bool SameSize = Element.Value.Members.size() ==
                    static_cast<std::size_t>(Spec.ReplicaSize);
    bool SameVersion = Element.Value.Version == Spec.Version;
    if (Dropped[I] || (SameSize && SameVersion) || Done.contains(Spec.Name))
      continue;
    bool Serves = Input.Serving.contains(Element.Value.Name);
    if (Serves && (Element.Demand->Faulty > 0 || !mayLoad(*Element.Demand)))
      continue;
    Done.insert(Spec.Name);
    if (!SameSize) {
      drop(I, "its service wants another replica size");
      continue;
    }
    if (!Element.IsLoading && Element.Missing.empty())
      ++Loading[Element.Demand->Text];
    Element.IsLoading = Element.Missing.empty();
    Element.Value.Version = Spec.Version;
    ++Element.Value.Generation;
    Reasons.push_back(joined({"group ", Element.Value.Name.str(),
                              " changes to version ", Spec.Version}));
  }
}

bool ZonePlanner::tryRepair(PlannedGroup &Element) {
  const Service &Spec = *Element.Demand->Spec;
  std::optional<DomainId> Domain = domainOf(Element);
  auto Count = static_cast<int>(Element.Missing.size());
  if (!Domain || Pool.count(*Domain, Spec.Accelerators) < Count)
    return false;
  std::vector<InstanceId> Chosen;
  const std::optional<InstanceId> &Spare = Element.Value.Spare;
  if (Spare && Pool.contains(*Spare) &&
      Usable.at(*Spare)->FabricDomain == *Domain &&
      Usable.at(*Spare)->Accelerators >= Spec.Accelerators) {
    Chosen.push_back(*Spare);
    Pool.remove(*Spare);
  }
  auto Rest = Count - static_cast<int>(Chosen.size());
  for (InstanceId &Name :
       Pool.take(*Domain, Rest, needOf(Spec, Element.Value.Version)))
    Chosen.push_back(std::move(Name));
  Group Repaired = Element.Value;
  for (std::size_t I = 0; I < Chosen.size(); ++I)
    Repaired.Members[Element.Missing[I]] = Chosen[I];
  bool NeedsLoad =
      std::any_of(Repaired.Members.begin(), Repaired.Members.end(),
                  [&](const InstanceId &Member) {
                    return !hasWeights(Member, Spec, Repaired.Version);
                  });
  // The chosen engines stay out of the pool, so that they are still free for
  // this repair when another group's load has ended.
  if (NeedsLoad && !mayLoad(*Element.Demand)) {
    ++Deferred;
    Element.IsDeferred = true;
    Element.Value.Spare = Chosen.front();
    return true;
  }
  if (NeedsLoad)
    ++Loading[Element.Demand->Text];
  Element.IsLoading = NeedsLoad;
  Element.Missing.clear();
  Repaired.Spare.reset();
  ++Repaired.Generation;
  Element.Value = std::move(Repaired);
  Reasons.push_back(
      joined({"group ", Element.Value.Name.str(), " is repaired with ",
              std::to_string(Chosen.size()), " new members"}));
  return true;
}

void ZonePlanner::repair() {
  std::vector<std::size_t> Broken;
  for (std::size_t I = 0; I < Groups.size(); ++I)
    if (!Dropped[I] && !Groups[I].Missing.empty())
      Broken.push_back(I);
  auto Cost = [&](std::size_t I) {
    const PlannedGroup &Element = Groups[I];
    std::size_t Unloaded = 0;
    for (const InstanceId &Member : Element.Value.Members)
      if (!hasWeights(Member, *Element.Demand->Spec, Element.Value.Version))
        ++Unloaded;
    return std::tuple(Element.Missing.size(), Unloaded,
                      -Element.Demand->Spec->Weight, I);
  };
  std::sort(Broken.begin(), Broken.end(),
            [&](std::size_t Left, std::size_t Right) {
              return Cost(Left) < Cost(Right);
            });
  std::vector<std::size_t> Left;
  for (std::size_t I : Broken)
    if (!tryRepair(Groups[I]))
      Left.push_back(I);
  dissolveForOthers(Left);
}

// Handles the groups that free engines can't repair. Broken lists them by
// rising cost of the repair. In each domain, groups at the end of the list are
// dissolved and their members repair groups at its start. A group that still
// can't be repaired is dissolved if a domain has room for all its members, so
// that formNew() forms its replacement there.
void ZonePlanner::dissolveForOthers(const std::vector<std::size_t> &Broken) {
  std::map<DomainId, std::vector<std::size_t>> ByDomain;
  for (std::size_t I : Broken) {
    // A group whose missing members are only slow can still serve, so it is
    // kept.
    const std::vector<std::size_t> &Missing = Groups[I].Missing;
    bool OnlySlow =
        std::all_of(Missing.begin(), Missing.end(), [&](std::size_t Rank) {
          return Input.Replaced.contains(Groups[I].Value.Members[Rank]);
        });
    if (OnlySlow)
      continue;
    if (std::optional<DomainId> Domain = domainOf(Groups[I]))
      ByDomain[*Domain].push_back(I);
    else
      drop(I, "all its members are lost");
  }
  for (auto &[Domain, Indexes] : ByDomain) {
    std::size_t End = Indexes.size();
    for (std::size_t I = 0; I < End; ++I) {
      PlannedGroup &Element = Groups[Indexes[I]];
      while (!tryRepair(Element) && End > I + 1)
        drop(Indexes[--End], "its members repair other groups");
    }
    for (std::size_t I = 0; I < End; ++I) {
      const PlannedGroup &Element = Groups[Indexes[I]];
      const Service &Spec = *Element.Demand->Spec;
      if (!Element.Missing.empty() && !Dropped[Indexes[I]] &&
          mayLoad(*Element.Demand) &&
          Pool.bestFit(Spec.ReplicaSize, Spec.Accelerators))
        drop(Indexes[I], "it can't be repaired in its domain");
    }
  }
}

Plan plan(const PlannerInput &Input) {
  Plan Result;
  if (Input.ZonesOut.contains(Input.Zone)) {
    Result.Next = Input.Current;
    planHomes(Input, Result);
    return Result;
  }
  ZonePlanner Planner(Input);
  Planner.keepGroups();
  Planner.dropExcess();
  Planner.updateOneOfEachService();
  Planner.repair();
  Planner.formNew();
  Planner.moveOne();
  Planner.assignSpares();
  Result = Planner.finish();
  planHomes(Input, Result);
  return Result;
}

} // namespace samphirehill
