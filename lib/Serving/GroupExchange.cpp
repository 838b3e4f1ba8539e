#include "samphirehill/Serving/GroupExchange.h"

#include "samphirehill/Serving/GroupPlan.h"
#include "samphirehill/Serving/GroupWeights.h"

#include <algorithm>
#include <optional>

namespace samphirehill::serving {
namespace {

// A group that has not ended after this continues.
constexpr Duration MaxDrain = seconds(14);

bool followsDemand(const ServiceShape &Service,
                   const DemandPlanSettings &Settings) {
  std::vector<int> Sizes;
  for (const ModelShape &Each : Service.Engine->Models)
    Sizes.push_back(Each.GroupSize);
  return samphirehill::followsDemand(Settings.Mode, Sizes);
}

bool isPrepared(const RunningGroup &Group, const std::string &Model) {
  return std::all_of(
      Group.Members.begin(), Group.Members.end(),
      [&](const auto *Each) { return hasWeights(*Each, Model); });
}

// Returns the groups of the model that serve or form, and those that the
// engines of broken groups and of groups that are given up form again without a
// load.
int groupsWithoutLoad(const EngineDomains &Domains, const ModelShape &Model) {
  int Groups = 0;
  for (const auto &[Name, Domain] : Domains) {
    auto Found = Domain.Models.find(Model.Name);
    if (Found == Domain.Models.end())
      continue;
    const DomainModel &Has = Found->second;
    int Coming = std::min(Has.WantedGroups - Has.Groups,
                          Has.Available / std::max(Model.GroupSize, 1));
    Groups += Has.Groups + std::max(Coming, 0);
  }
  return Groups;
}

std::vector<ModelSupply> suppliesOf(const ExchangeView &View,
                                    const ModelWork &Work) {
  std::vector<ModelSupply> Supplies;
  for (const ModelShape &Model : View.Service.Engine->Models) {
    auto Asked = Work.find(Model.Name);
    Supplies.push_back({Model.Name, Model.GroupSize, View.Service.Engine->Slots,
                        Model.Share, groupsWithoutLoad(View.Domains, Model),
                        Asked == Work.end() ? 0 : Asked->second,
                        Model.WarmStart});
  }
  return Supplies;
}

// Returns the running groups of From in the domain that may be given up. Each
// zone keeps its oldest group of From.
std::vector<const RunningGroup *> spareGroups(const ExchangeView &View,
                                              const std::string &Domain,
                                              const std::string &From) {
  std::vector<const RunningGroup *> Spare;
  const RunningGroup *Oldest = nullptr;
  const ZoneId &Zone = View.Domains.at(Domain).Zone;
  for (const RunningGroup &Each : View.Running) {
    if (Each.Model != From || Each.Zone != Zone)
      continue;
    if (!Oldest || Each.Epoch < Oldest->Epoch)
      Oldest = &Each;
    if (Each.Domain == Domain)
      Spare.push_back(&Each);
  }
  std::erase(Spare, Oldest);
  return Spare;
}

// Returns the change of the fewest groups of From in the domain that gains
// groups of To, or nothing. Free is the number of other engines that can join
// groups of To.
std::optional<Exchange> smallestExchange(const std::string &Domain,
                                         const ModelShape &From,
                                         const ModelShape &To,
                                         std::size_t MostGroups, int Free) {
  int ToSize = std::max(To.GroupSize, 1);
  for (int Count = 1; Count <= static_cast<int>(MostGroups); ++Count) {
    int Gained = (Count * From.GroupSize + Free) / ToSize - Free / ToSize;
    if (Gained > 0)
      return Exchange{Domain, From.Name, To.Name, Count, Gained};
  }
  return std::nullopt;
}

// Returns whether a change from From to To may begin.
bool mayMove(const ExchangeState &State, const std::string &From,
             const std::string &To, const DemandPlanSettings &Settings,
             TimePoint Now) {
  for (const auto &[Models, At] : State.MovedAt) {
    bool Opposed = Models.second == From || Models.first == To;
    if (Opposed && Now - At < Settings.Rest)
      return false;
  }
  return true;
}

// Erases the groups whose engines are free, and those that have not ended.
void eraseEnded(ExchangeState &State, const EngineDomains &Domains,
                TimePoint Now) {
  std::set<std::int64_t> Reported;
  for (const auto &[Name, Domain] : Domains) {
    for (const PlannedInstance *Each : Domain.Usable) {
      bool IsFree = std::find(Domain.Free.begin(), Domain.Free.end(), Each) !=
                    Domain.Free.end();
      if (Each->Listed.Group && !IsFree)
        Reported.insert(Each->Listed.Group->Epoch);
    }
  }
  std::erase_if(State.GivenUp, [&](const auto &Entry) {
    return !Reported.contains(Entry.first) || Now - Entry.second.At > MaxDrain;
  });
}

// Records since when each domain has had the usable engines that it has.
void noteUsable(ExchangeState &State, const EngineDomains &Domains,
                TimePoint Now) {
  std::map<std::string, UsableEngines> Usable;
  for (const auto &[Name, Domain] : Domains) {
    auto Before = State.Usable.find(Name);
    bool Same = Before != State.Usable.end() &&
                Before->second.Count == Domain.Usable.size();
    Usable[Name] = {Domain.Usable.size(), Same ? Before->second.Since : Now};
  }
  State.Usable = std::move(Usable);
}

void giveUp(ExchangeState &State, const ExchangeView &View,
            const Exchange &Chosen, TimePoint Now) {
  int Left = Chosen.GivenUp;
  for (const RunningGroup *Each :
       spareGroups(View, Chosen.Domain, Chosen.From)) {
    if (Left == 0 || !isPrepared(*Each, Chosen.To))
      continue;
    State.GivenUp[Each->Epoch] = {Chosen.From, Chosen.To,
                                  static_cast<int>(Each->Members.size()), Now};
    --Left;
  }
  State.MovedAt[{Chosen.From, Chosen.To}] = Now;
  State.Begun.push_back(Chosen);
}

} // namespace

ServiceShape withPlannedShares(const ServiceShape &Service,
                               ExchangeState &State,
                               const DemandPlanSettings &Settings,
                               TimePoint Now) {
  if (!followsDemand(Service, Settings))
    return Service;
  noteDemand(State.Demand, State.Asked, Settings, Now);
  std::optional<ModelWork> Work = plannedDemand(State.Demand, Settings, Now);
  if (!Work)
    return Service;
  std::vector<ModelSupply> Supplies;
  for (const ModelShape &Each : Service.Engine->Models) {
    auto Asked = Work->find(Each.Name);
    Supplies.push_back({Each.Name, Each.GroupSize, Service.Engine->Slots,
                        Each.Share, 0, Asked == Work->end() ? 0 : Asked->second,
                        Each.WarmStart});
  }
  std::map<std::string, double> Shares = planShares(Supplies);
  ServiceShape Planned = Service;
  for (ModelShape &Each : Planned.Engine->Models)
    Each.Share = Shares.at(Each.Name);
  return Planned;
}

void chooseExchange(ExchangeState &State, const ExchangeView &View,
                    const DemandPlanSettings &Settings, TimePoint Now) {
  State.Begun.clear();
  eraseEnded(State, View.Domains, Now);
  noteUsable(State, View.Domains, Now);
  std::size_t Usable = 0;
  for (const auto &[Name, Each] : State.Usable)
    Usable += Each.Count;
  std::optional<ModelWork> Work = plannedDemand(State.Demand, Settings, Now);
  State.Supplies = suppliesOf(View, Work.value_or(ModelWork{}));
  if (!followsDemand(View.Service, Settings) || View.FirstStart || !Work ||
      !State.ListFollowed)
    return;
  int InChange = 0;
  for (const auto &[Epoch, Each] : State.GivenUp)
    InChange += Each.Engines;
  std::vector<Exchange> Options;
  for (const ModelShape &From : View.Service.Engine->Models) {
    for (const ModelShape &To : View.Service.Engine->Models) {
      if (From.Name == To.Name ||
          !mayMove(State, From.Name, To.Name, Settings, Now))
        continue;
      for (const auto &[Name, Domain] : View.Domains) {
        if (Now - State.Usable.at(Name).Since < Settings.Settled)
          continue;
        std::vector<const RunningGroup *> Spare =
            spareGroups(View, Name, From.Name);
        std::erase_if(Spare, [&](const RunningGroup *Each) {
          return !isPrepared(*Each, To.Name);
        });
        auto Free = std::count_if(
            Domain.Free.begin(), Domain.Free.end(),
            [&](const auto *Each) { return hasWeights(*Each, To.Name); });
        std::optional<Exchange> Option = smallestExchange(
            Name, From, To, Spare.size(), static_cast<int>(Free));
        if (!Option)
          continue;
        int Engines = InChange + Option->GivenUp * From.GroupSize;
        if (InChange == 0 ||
            Engines <= Settings.MaxInChange * static_cast<double>(Usable))
          Options.push_back(*Option);
      }
    }
  }
  std::optional<Exchange> Chosen =
      planExchange(State.Supplies, Options, Settings);
  if (Chosen)
    giveUp(State, View, *Chosen, Now);
}

std::vector<std::pair<const PlannedInstance *, const ModelShape *>>
weightsToPrepare(const ExchangeState &State, const ExchangeView &View,
                 const DemandPlanSettings &Settings) {
  std::vector<std::pair<const PlannedInstance *, const ModelShape *>> Loads;
  // At the first start, until callers come, loads are short and unlimited.
  if (!followsDemand(View.Service, Settings) || !View.FirstStart ||
      State.Demand.Weight > 0)
    return Loads;
  for (const auto &[Name, Domain] : View.Domains) {
    for (const ModelShape &From : View.Service.Engine->Models) {
      const ModelShape *To = nullptr;
      for (const ModelShape &Each : View.Service.Engine->Models) {
        if (Each.Name != From.Name && (!To || Each.Share > To->Share))
          To = &Each;
      }
      if (!To)
        continue;
      for (const RunningGroup *Group : spareGroups(View, Name, From.Name)) {
        for (const PlannedInstance *Each : Group->Members) {
          if (!hasWeights(*Each, To->Name))
            Loads.emplace_back(Each, To);
        }
      }
    }
  }
  return Loads;
}

} // namespace samphirehill::serving
