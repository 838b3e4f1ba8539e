#include "ZonePlanner.h"

#include <algorithm>
#include <queue>
#include <tuple>

namespace samphirehill {
namespace {

// The part of its weighted demand that a service has; the lowest is served
// first.
double shareOf(const Demand &For) {
  return static_cast<double>(For.Have) / For.Wanted / For.Of->Weight;
}

struct NeedsMore {
  bool operator()(const Demand *Left, const Demand *Right) const {
    return std::tuple(shareOf(*Left), Right->Of->ReplicaSize, Left->Of->Name) >
           std::tuple(shareOf(*Right), Left->Of->ReplicaSize, Right->Of->Name);
  }
};

Duration loadTime(const Service &Of) {
  double Seconds = static_cast<double>(Of.WeightsBytes) / LoadBytesPerSecond;
  return LoadOverhead + std::chrono::duration_cast<Duration>(
                            std::chrono::duration<double>(Seconds));
}

} // namespace

// Returns the demand for each new replica that the free engines would suffice
// for if fabric domains didn't matter. Raises Have for each.
std::vector<Demand *> ZonePlanner::chooseByShare(FreePool &Free) {
  std::priority_queue<Demand *, std::vector<Demand *>, NeedsMore> Queue;
  for (auto &[Name, For] : Demands)
    if (For.Have < For.Wanted)
      Queue.push(&For);
  std::vector<Demand *> Chosen;
  int Used = 0;
  while (!Queue.empty()) {
    Demand *For = Queue.top();
    Queue.pop();
    int Size = For->Of->ReplicaSize;
    if (Free.total(For->Of->Accelerators) - Used < Size)
      continue;
    Used += Size;
    ++For->Have;
    Chosen.push_back(For);
    if (For->Have < For->Wanted)
      Queue.push(For);
  }
  return Chosen;
}

std::optional<Kept> ZonePlanner::place(Demand &For) {
  const Service &Of = *For.Of;
  std::optional<DomainId> Domain =
      Pool.bestFit(Of.ReplicaSize, Of.Accelerators);
  if (!Domain)
    return std::nullopt;
  Kept Element;
  Element.For = &For;
  Element.Value.Service = Of.Name;
  Element.Value.Version = Of.Version;
  Element.Value.Members =
      Pool.take(*Domain, Of.ReplicaSize, needOf(Of, Of.Version));
  Element.IsLoading =
      std::any_of(Element.Value.Members.begin(), Element.Value.Members.end(),
                  [&](const InstanceId &Member) {
                    return !hasWeights(Member, Of, Of.Version);
                  });
  return Element;
}

// Starts the planned groups that the limit of loads allows, those of the
// services with the smallest share first. The engines of the others stay out
// of the pool.
void ZonePlanner::start(std::vector<Kept> Planned) {
  for (Kept &Element : Planned)
    --Element.For->Have;
  std::map<ServiceId, std::vector<std::size_t>> Waiting;
  for (std::size_t I = Planned.size(); I > 0; --I)
    Waiting[Planned[I - 1].For->Of->Name].push_back(I - 1);
  std::priority_queue<Demand *, std::vector<Demand *>, NeedsMore> Queue;
  for (auto &[Name, Indexes] : Waiting)
    Queue.push(&Demands.at(Name));
  while (!Queue.empty()) {
    Demand *For = Queue.top();
    Queue.pop();
    std::vector<std::size_t> &Indexes = Waiting[For->Of->Name];
    Kept &Element = Planned[Indexes.back()];
    if (Element.IsLoading && !mayLoad(*For)) {
      Deferred += static_cast<int>(Indexes.size());
      continue;
    }
    Indexes.pop_back();
    ++For->Have;
    if (Element.IsLoading)
      ++Loading[For->Text];
    Element.Value.Name =
        GroupId(joined({For->Of->Name.str(), ".", Input.Zone.str(), ".",
                        std::to_string(NextGroup++)}));
    Reasons.push_back(
        joined({"group ", Element.Value.Name.str(),
                " is formed: its service has ", std::to_string(For->Have),
                " of ", std::to_string(For->Wanted), " replicas"}));
    Groups.push_back(std::move(Element));
    Dropped.push_back(false);
    if (!Indexes.empty())
      Queue.push(For);
  }
}

void ZonePlanner::formNew() {
  std::vector<Demand *> Chosen = chooseByShare(Pool);
  // Large replicas have the fewest places that fit.
  std::stable_sort(
      Chosen.begin(), Chosen.end(),
      [](const Demand *Left, const Demand *Right) {
        return std::tuple(-Left->Of->Accelerators, -Left->Of->ReplicaSize) <
               std::tuple(-Right->Of->Accelerators, -Right->Of->ReplicaSize);
      });
  std::vector<Kept> Planned;
  for (Demand *For : Chosen) {
    if (std::optional<Kept> Element = place(*For))
      Planned.push_back(std::move(*Element));
    else
      --For->Have;
  }
  // What was chosen but fits no domain leaves engines for smaller replicas.
  std::priority_queue<Demand *, std::vector<Demand *>, NeedsMore> Queue;
  for (auto &[Name, For] : Demands)
    if (For.Have < For.Wanted)
      Queue.push(&For);
  while (!Queue.empty()) {
    Demand *For = Queue.top();
    Queue.pop();
    std::optional<Kept> Element = place(*For);
    if (!Element)
      continue;
    ++For->Have;
    Planned.push_back(std::move(*Element));
    if (For->Have < For->Wanted)
      Queue.push(For);
  }
  start(std::move(Planned));
}

// Moves one serving group to another domain if that makes room for a replica
// that fits nowhere, and if what the replica serves until GainHorizon exceeds
// what the moved group doesn't serve while it loads.
void ZonePlanner::moveOne() {
  if (Deferred > 0)
    return;
  for (auto &[Name, For] : Demands) {
    const Service &Of = *For.Of;
    if (For.Have >= For.Wanted || !mayLoad(For))
      continue;
    for (std::size_t I = 0; I < Groups.size(); ++I) {
      Kept &Element = Groups[I];
      const Service &Moved = *Element.For->Of;
      bool HasOthers = Element.For->Have > 1 && Element.For->Faulty == 0;
      if (Dropped[I] || !Element.Missing.empty() || Element.IsLoading ||
          !HasOthers || !mayLoad(*Element.For) ||
          Moved.Accelerators < Of.Accelerators)
        continue;
      DomainId From = *domainOf(Element);
      auto Freed = static_cast<int>(Element.Value.Members.size());
      int Left = Pool.count(From, Of.Accelerators);
      if (Left + Freed < Of.ReplicaSize || Left >= Of.ReplicaSize)
        continue;
      std::optional<DomainId> To =
          Pool.bestFit(Moved.ReplicaSize, Moved.Accelerators, From);
      if (!To)
        continue;
      double Gain = toSeconds(GainHorizon - loadTime(Of)) * Of.ReplicaSize *
                    Of.Accelerators;
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
      ++Loading[Element.For->Text];
      Reasons.push_back(
          joined({"group ", Element.Value.Name.str(), " moves to domain ",
                  To->str(), " to make room for service ", Name.str()}));
      return;
    }
  }
}

// Each group keeps its spare if that is still free in its domain; the rest is
// handed out by the weight of the services.
void ZonePlanner::assignSpares() {
  std::vector<Kept *> Without;
  for (std::size_t I = 0; I < Groups.size(); ++I) {
    if (Dropped[I] || Groups[I].IsDeferred)
      continue;
    Kept &Element = Groups[I];
    std::optional<InstanceId> &Spare = Element.Value.Spare;
    std::optional<DomainId> Domain = domainOf(Element);
    bool IsValid =
        Spare && Pool.contains(*Spare) && Domain &&
        Usable.at(*Spare)->FabricDomain == *Domain &&
        Usable.at(*Spare)->Accelerators >= Element.For->Of->Accelerators;
    if (IsValid) {
      Pool.remove(*Spare);
      continue;
    }
    Spare.reset();
    if (Domain)
      Without.push_back(&Element);
  }
  std::stable_sort(Without.begin(), Without.end(),
                   [](const Kept *Left, const Kept *Right) {
                     return Left->For->Of->Weight > Right->For->Of->Weight;
                   });
  for (Kept *Element : Without) {
    const Service &Of = *Element->For->Of;
    DomainId Domain = *domainOf(*Element);
    if (Pool.count(Domain, Of.Accelerators) > 0)
      Element->Value.Spare =
          Pool.take(Domain, 1, needOf(Of, Element->Value.Version)).front();
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
    Kept &Element = Groups[I];
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
