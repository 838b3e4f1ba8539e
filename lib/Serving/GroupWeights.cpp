#include "samphirehill/Serving/GroupWeights.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace samphirehill::serving {

bool hasWeights(const PlannedInstance &Engine, const std::string &Model) {
  const std::vector<std::string> &Names = Engine.Listed.Staged;
  return std::find(Names.begin(), Names.end(), Model) != Names.end();
}

bool wasLastIn(const GroupPlanState &State, const PlannedInstance &Engine,
               const std::string &Model) {
  auto Last = State.LastModel.find(Engine.Listed.Id);
  return Last != State.LastModel.end() && Last->second.Model == Model &&
         Last->second.BornMilliseconds == Engine.Listed.BornMilliseconds;
}

bool joinsFast(const GroupPlanState &State, const PlannedInstance &Engine,
               const std::string &Model) {
  if (wasLastIn(State, Engine, Model))
    return true;
  return !State.Loading.contains(Engine.Listed.Id) && hasWeights(Engine, Model);
}

std::vector<std::string> plannedWeights(const GroupPlanState &State,
                                        const PlannedInstance &Engine,
                                        bool IsInGroup) {
  if (IsInGroup && Engine.Listed.Group)
    return {modelOfGroup(Engine.Listed.Group->Group)};
  auto Found = State.Loading.find(Engine.Listed.Id);
  if (Found != State.Loading.end())
    return {Found->second.Model};
  return Engine.Listed.Staged;
}

void sortCandidates(const GroupPlanState &State,
                    std::vector<const PlannedInstance *> &Candidates,
                    const ModelShape &Model) {
  auto Rank = [&](const PlannedInstance *Engine) {
    bool SameModel = wasLastIn(State, *Engine, Model.Name);
    bool Slow = Engine->Listed.Pace > 1.5;
    return std::tuple(Slow, !SameModel && !hasWeights(*Engine, Model.Name),
                      Engine->Cold, !SameModel);
  };
  std::stable_sort(
      Candidates.begin(), Candidates.end(),
      [&](const auto *A, const auto *B) { return Rank(A) < Rank(B); });
}

void recordSurplus(GroupPlanState &State, const EngineDomains &Domains,
                   TimePoint Now) {
  std::map<std::pair<std::string, std::string>, TimePoint> Since;
  for (const auto &[Name, Domain] : Domains) {
    for (const auto &[Model, Each] : Domain.Models) {
      if (Each.Staged <= Each.WantedStaged)
        continue;
      auto Previous = State.SurplusSince.find({Name, Model});
      Since[{Name, Model}] =
          Previous == State.SurplusSince.end() ? Now : Previous->second;
    }
  }
  State.SurplusSince = std::move(Since);
}

const ModelShape *modelToLoad(const GroupPlanState &State,
                              const EngineDomains &Domains,
                              const ServiceShape &Service,
                              const PlannedInstance &Engine, TimePoint Now) {
  const EngineDomain &Domain = Domains.at(Engine.Listed.Domain);
  for (const std::string &Old : Engine.Listed.Staged) {
    auto Since = State.SurplusSince.find({Engine.Listed.Domain, Old});
    auto Has = Domain.Models.find(Old);
    if (Since == State.SurplusSince.end() ||
        Now - Since->second < State.Settings.SurplusWait ||
        Has->second.Staged <= Has->second.WantedStaged)
      return nullptr;
  }
  const ModelShape *Best = nullptr;
  int BestMissing = 0;
  for (const ModelShape &Model : Service.Engine->Models) {
    if (!Engine.Listed.Staged.empty() &&
        !mayReplaceWeights(Domains, Service, Engine.Listed.Staged.front(),
                           Model))
      continue;
    auto Found = Domain.Models.find(Model.Name);
    if (Found == Domain.Models.end())
      continue;
    int Missing = Found->second.WantedStaged - Found->second.Staged;
    if (Missing > BestMissing) {
      Best = &Model;
      BestMissing = Missing;
    }
  }
  return Best;
}

} // namespace samphirehill::serving
