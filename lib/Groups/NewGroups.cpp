#include "ZonePlanner.h"

#include <algorithm>
#include <queue>
#include <tuple>

namespace samphirehill {
namespace {

// Returns the groups that a service has as a fraction of those it wants,
// divided by the weight of the service. The service with the lowest share gets
// the next group.
double shareOf(const ServiceDemand &Demand) {
  return static_cast<double>(Demand.Have) / Demand.Wanted / Demand.Spec->Weight;
}

struct NeedsMore {
  bool operator()(const ServiceDemand *Left, const ServiceDemand *Right) const {
    return std::tuple(shareOf(*Left), Right->Spec->ReplicaSize,
                      Left->Spec->Name) > std::tuple(shareOf(*Right),
                                                     Left->Spec->ReplicaSize,
                                                     Right->Spec->Name);
  }
};

Duration loadTime(const Service &Spec) {
  double Seconds = static_cast<double>(Spec.WeightsBytes) / LoadBytesPerSecond;
  return LoadOverhead + std::chrono::duration_cast<Duration>(
                            std::chrono::duration<double>(Seconds));
}

} // namespace

// Returns the demand of each new replica for which there are enough free
// engines in all domains together. A replica may still fit in no single domain.
// Raises Have for each new replica.
std::vector<ServiceDemand *> ZonePlanner::chooseByShare(FreePool &Free) {
  std::priority_queue<ServiceDemand *, std::vector<ServiceDemand *>, NeedsMore>
      Queue;
  for (auto &[Name, Demand] : Demands)
    if (Demand.Have < Demand.Wanted)
      Queue.push(&Demand);
  std::vector<ServiceDemand *> Chosen;
  int Used = 0;
  while (!Queue.empty()) {
    ServiceDemand *Demand = Queue.top();
    Queue.pop();
    int Size = Demand->Spec->ReplicaSize;
    if (Free.total(Demand->Spec->Accelerators) - Used < Size)
      continue;
    Used += Size;
    ++Demand->Have;
    Chosen.push_back(Demand);
    if (Demand->Have < Demand->Wanted)
      Queue.push(Demand);
  }
  return Chosen;
}

std::optional<PlannedGroup> ZonePlanner::place(ServiceDemand &Demand) {
  const Service &Spec = *Demand.Spec;
  std::optional<DomainId> Domain =
      Pool.bestFit(Spec.ReplicaSize, Spec.Accelerators);
  if (!Domain)
    return std::nullopt;
  PlannedGroup Element;
  Element.Demand = &Demand;
  Element.Value.Service = Spec.Name;
  Element.Value.Version = Spec.Version;
  Element.Value.Members =
      Pool.take(*Domain, Spec.ReplicaSize, needOf(Spec, Spec.Version));
  Element.IsLoading =
      std::any_of(Element.Value.Members.begin(), Element.Value.Members.end(),
                  [&](const InstanceId &Member) {
                    return !hasWeights(Member, Spec, Spec.Version);
                  });
  return Element;
}

// Starts the planned groups that max_concurrent_loads allows, beginning with
// the services that have the smallest share. The engines of deferred groups
// stay out of the pool.
void ZonePlanner::start(std::vector<PlannedGroup> Planned) {
  for (PlannedGroup &Element : Planned)
    --Element.Demand->Have;
  std::map<ServiceId, std::vector<std::size_t>> Waiting;
  for (std::size_t I = Planned.size(); I > 0; --I)
    Waiting[Planned[I - 1].Demand->Spec->Name].push_back(I - 1);
  std::priority_queue<ServiceDemand *, std::vector<ServiceDemand *>, NeedsMore>
      Queue;
  for (auto &[Name, Indexes] : Waiting)
    Queue.push(&Demands.at(Name));
  while (!Queue.empty()) {
    ServiceDemand *Demand = Queue.top();
    Queue.pop();
    std::vector<std::size_t> &Indexes = Waiting[Demand->Spec->Name];
    PlannedGroup &Element = Planned[Indexes.back()];
    if (Element.IsLoading && !mayLoad(*Demand)) {
      Deferred += static_cast<int>(Indexes.size());
      continue;
    }
    Indexes.pop_back();
    ++Demand->Have;
    if (Element.IsLoading)
      ++Loading[Demand->Text];
    Element.Value.Name =
        GroupId(joined({Demand->Spec->Name.str(), ".", Input.Zone.str(), ".",
                        std::to_string(NextGroup++)}));
    Reasons.push_back(
        joined({"group ", Element.Value.Name.str(),
                " is formed: its service has ", std::to_string(Demand->Have),
                " of ", std::to_string(Demand->Wanted), " replicas"}));
    Groups.push_back(std::move(Element));
    Dropped.push_back(false);
    if (!Indexes.empty())
      Queue.push(Demand);
  }
}

void ZonePlanner::formNew() {
  std::vector<ServiceDemand *> Chosen = chooseByShare(Pool);
  // Large replicas are placed first, because they fit in the fewest domains.
  std::stable_sort(Chosen.begin(), Chosen.end(),
                   [](const ServiceDemand *Left, const ServiceDemand *Right) {
                     return std::tuple(-Left->Spec->Accelerators,
                                       -Left->Spec->ReplicaSize) <
                            std::tuple(-Right->Spec->Accelerators,
                                       -Right->Spec->ReplicaSize);
                   });
  std::vector<PlannedGroup> Planned;
  for (ServiceDemand *Demand : Chosen) {
    if (std::optional<PlannedGroup> Element = place(*Demand))
      Planned.push_back(std::move(*Element));
    else
      --Demand->Have;
  }
  // Chosen replicas that fit in no domain leave engines free, which smaller
  // replicas use.
  std::priority_queue<ServiceDemand *, std::vector<ServiceDemand *>, NeedsMore>
      Queue;
  for (auto &[Name, Demand] : Demands)
    if (Demand.Have < Demand.Wanted)
      Queue.push(&Demand);
  while (!Queue.empty()) {
    ServiceDemand *Demand = Queue.top();
    Queue.pop();
    std::optional<PlannedGroup> Element = place(*Demand);
    if (!Element)
      continue;
    ++Demand->Have;
    Planned.push_back(std::move(*Element));
    if (Demand->Have < Demand->Wanted)
      Queue.push(Demand);
  }
  start(std::move(Planned));
}

// Moves one group to another domain if the move makes room for a replica that
// fits in no domain, and if the work that the replica does until GainHorizon
// exceeds the work that the moved group misses while it loads. Work is counted
// in accelerator seconds. Only services whose other groups serve are moved.
void ZonePlanner::moveOne() {
  if (Deferred > 0)
    return;
  for (auto &[Name, Demand] : Demands) {
    const Service &Spec = *Demand.Spec;
    if (Demand.Have >= Demand.Wanted || !mayLoad(Demand))
      continue;
    for (std::size_t I = 0; I < Groups.size(); ++I) {
      PlannedGroup &Element = Groups[I];
      const Service &Moved = *Element.Demand->Spec;
      bool HasOthers = Element.Demand->Have > 1 && Element.Demand->Faulty == 0;
      if (Dropped[I] || !Element.Missing.empty() || Element.IsLoading ||
          !HasOthers || !mayLoad(*Element.Demand) ||
          Moved.Accelerators < Spec.Accelerators)
        continue;
      DomainId From = *domainOf(Element);
      auto Freed = static_cast<int>(Element.Value.Members.size());
      int Left = Pool.count(From, Spec.Accelerators);
      if (Left + Freed < Spec.ReplicaSize || Left >= Spec.ReplicaSize)
        continue;
      std::optional<DomainId> To =
          Pool.bestFit(Moved.ReplicaSize, Moved.Accelerators, From);
      if (!To)
        continue;
      double Gain = toSeconds(GainHorizon - loadTime(Spec)) * Spec.ReplicaSize *
                    Spec.Accelerators;
      double Loss = toSeconds(loadTime(Moved)) * Freed * Moved.Accelerators;
      if (Gain <= Loss)
        continue;
      std::vector<InstanceId> Members =
          Pool.take(*To, Moved.ReplicaSize, needOf(Moved, Moved.Version));
      release(Element);
      Element.Value.Members = std::move(Members);
      Element.Value.Spare.reset();
      ++Element.Value.Generation;
      Element.IsLoading = true;
      ++Loading[Element.Demand->Text];
      Reasons.push_back(
          joined({"group ", Element.Value.Name.str(), " moves to domain ",
                  To->str(), " to make room for service ", Name.str()}));
      return;
    }
  }
}

// Each group keeps its spare if the spare is still free, in the group's domain
// and large enough. The remaining free engines become spares of groups without
// one, in falling order of their services' weights.
void ZonePlanner::assignSpares() {
  std::vector<PlannedGroup *> Without;
  for (std::size_t I = 0; I < Groups.size(); ++I) {
    if (Dropped[I] || Groups[I].IsDeferred)
      continue;
    PlannedGroup &Element = Groups[I];
    std::optional<InstanceId> &Spare = Element.Value.Spare;
    std::optional<DomainId> Domain = domainOf(Element);
    bool IsValid =
        Spare && Pool.contains(*Spare) && Domain &&
        Usable.at(*Spare)->FabricDomain == *Domain &&
        Usable.at(*Spare)->Accelerators >= Element.Demand->Spec->Accelerators;
    if (IsValid) {
      Pool.remove(*Spare);
      continue;
    }
    Spare.reset();
    if (Domain)
      Without.push_back(&Element);
  }
  std::stable_sort(Without.begin(), Without.end(),
                   [](const PlannedGroup *Left, const PlannedGroup *Right) {
                     return Left->Demand->Spec->Weight >
                            Right->Demand->Spec->Weight;
                   });
  for (PlannedGroup *Element : Without) {
    const Service &Spec = *Element->Demand->Spec;
    DomainId Domain = *domainOf(*Element);
    if (Pool.count(Domain, Spec.Accelerators) > 0)
      Element->Value.Spare =
          Pool.take(Domain, 1, needOf(Spec, Element->Value.Version)).front();
  }
}

Plan ZonePlanner::finish() {
  Plan Result;
  Result.Next = Input.Current;
  Result.Next.Groups.clear();
  Result.Next.NextGroup = NextGroup;
  Result.Reasons = std::move(Reasons);
  Result.DeferredGroups = Deferred;
  for (const auto &[Name, Value] : Usable)
    Result.StrandedAccelerators += Value->Accelerators;
  for (std::size_t I = 0; I < Groups.size(); ++I) {
    if (Dropped[I])
      continue;
    PlannedGroup &Element = Groups[I];
    if (Element.Missing.empty())
      for (const InstanceId &Member : Element.Value.Members)
        Result.StrandedAccelerators -= Usable.at(Member)->Accelerators;
    Result.Next.Groups.push_back(std::move(Element.Value));
  }
  std::sort(Result.Next.Groups.begin(), Result.Next.Groups.end(),
            [](const Group &Left, const Group &Right) {
              return Left.Name < Right.Name;
            });
  return Result;
}

} // namespace samphirehill
