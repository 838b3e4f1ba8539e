#include "FreePool.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace samphirehill {

FreePool::FreePool(std::map<int, std::set<int>> Wanted)
    : Sizes(std::move(Wanted)) {
  // An engine with enough accelerators for a high need also satisfies each
  // lower need, so that the replica sizes of lower needs can use it too.
  std::set<int> Lower;
  for (auto &[Need, Values] : Sizes) {
    Lower.insert(Values.begin(), Values.end());
    Values = Lower;
  }
}

void FreePool::recount(const DomainId &Domain, int Accelerators, int Change) {
  for (const auto &[Need, Values] : Sizes) {
    if (Need > Accelerators)
      break;
    int &Count = Counts[Need][Domain];
    auto &Index = ByCount[Need];
    if (Count > 0) {
      auto Place = Index.find(Count);
      Place->second.erase(Domain);
      if (Place->second.empty())
        Index.erase(Place);
    }
    Count += Change;
    Totals[Need] += Change;
    if (Count > 0)
      Index[Count].insert(Domain);
  }
}

void FreePool::add(const FreeEngine &Engine) {
  if (!Engines.emplace(Engine.Name, Engine).second)
    return;
  Domains[Engine.Domain][Engine.Accelerators][Engine.Weights].insert(
      Engine.Name);
  recount(Engine.Domain, Engine.Accelerators, 1);
}

void FreePool::remove(const InstanceId &Name) {
  auto Place = Engines.find(Name);
  if (Place == Engines.end())
    return;
  const FreeEngine &Engine = Place->second;
  auto &ByWeights = Domains[Engine.Domain][Engine.Accelerators];
  auto Holder = ByWeights.find(Engine.Weights);
  Holder->second.erase(Name);
  if (Holder->second.empty())
    ByWeights.erase(Holder);
  recount(Engine.Domain, Engine.Accelerators, -1);
  Engines.erase(Place);
}

int FreePool::count(const DomainId &Domain, int Accelerators) const {
  auto Need = Counts.find(Accelerators);
  if (Need == Counts.end())
    return 0;
  auto Place = Need->second.find(Domain);
  return Place == Need->second.end() ? 0 : Place->second;
}

int FreePool::total(int Accelerators) const {
  auto Place = Totals.find(Accelerators);
  return Place == Totals.end() ? 0 : Place->second;
}

int FreePool::wasteOf(int Count, int Accelerators) const {
  std::vector<int> &Table = Waste[Accelerators];
  const std::set<int> &Usable = Sizes.at(Accelerators);
  for (int I = static_cast<int>(Table.size()); I <= Count; ++I) {
    int Least = I;
    for (int Size : Usable)
      if (Size <= I)
        Least = std::min(Least, Table[static_cast<std::size_t>(I - Size)]);
    Table.push_back(Least);
  }
  return Table[static_cast<std::size_t>(Count)];
}

std::optional<DomainId> FreePool::bestFit(int Size, int Accelerators,
                                          const DomainId &Except) const {
  auto Index = ByCount.find(Accelerators);
  if (Index == ByCount.end())
    return std::nullopt;
  std::optional<DomainId> Best;
  int BestWaste = std::numeric_limits<int>::max();
  for (auto Place = Index->second.lower_bound(Size);
       Place != Index->second.end() && BestWaste > 0; ++Place) {
    int Added = wasteOf(Place->first - Size, Accelerators) -
                wasteOf(Place->first, Accelerators);
    auto Domain = Place->second.begin();
    if (*Domain == Except)
      ++Domain;
    if (Added >= BestWaste || Domain == Place->second.end())
      continue;
    BestWaste = Added;
    Best = *Domain;
  }
  return Best;
}

std::vector<InstanceId> FreePool::take(const DomainId &Domain, int Count,
                                       const MemberNeed &Need) {
  std::vector<InstanceId> Taken;
  auto Missing = [&] { return static_cast<std::size_t>(Count) - Taken.size(); };
  auto TakeFrom = [&](const std::set<InstanceId> &Names) {
    for (const InstanceId &Name : Names) {
      if (Missing() == 0)
        break;
      Taken.push_back(Name);
    }
  };
  const DomainEngines &Held = Domains[Domain];
  for (auto Class = Held.lower_bound(Need.Accelerators); Class != Held.end();
       ++Class) {
    auto Place = Class->second.find(Need.Weights);
    if (Place != Class->second.end())
      TakeFrom(Place->second);
  }
  for (auto Class = Held.lower_bound(Need.Accelerators); Class != Held.end();
       ++Class)
    for (const auto &[Weights, Names] : Class->second)
      if (Weights != Need.Weights && Missing() > 0)
        TakeFrom(Names);
  for (const InstanceId &Name : Taken)
    remove(Name);
  return Taken;
}

} // namespace samphirehill
