#include "samphirehill/Groups/DemandPlan.h"

#include <algorithm>
#include <cmath>

namespace samphirehill {
namespace {

// Time constant of a WorkRate.
constexpr double WorkDecaySeconds = 1.0;
// Share of the engines that a model without work keeps.
constexpr double LeastShare = 0.05;
// The peak counts at most this many times the average.
constexpr double MaxPeakRatio = 1.6;

double decay(Duration Elapsed, double Seconds) {
  return std::exp(-std::max(toSeconds(Elapsed), 0.0) / Seconds);
}

double totalOf(const ModelWork &Work) {
  double Total = 0;
  for (const auto &[Model, Places] : Work)
    Total += Places;
  return Total;
}

// Returns Models with the groups that Option gives up, and with those that it
// gains if Complete.
std::vector<ModelSupply> afterExchange(std::vector<ModelSupply> Models,
                                       const Exchange &Option, bool Complete) {
  for (ModelSupply &Each : Models) {
    if (Each.Model == Option.From)
      Each.Groups -= Option.GivenUp;
    if (Each.Model == Option.To && Complete)
      Each.Groups += Option.Gained;
  }
  return Models;
}

} // namespace

bool followsDemand(ShareMode Mode, const std::vector<int> &GroupSizes) {
  constexpr int LeastSize = 6; // engines
  if (Mode != ShareMode::Automatic)
    return Mode == ShareMode::Demand;
  return std::all_of(GroupSizes.begin(), GroupSizes.end(),
                     [](int Size) { return Size >= LeastSize; });
}

void noteWork(WorkRate &Rate, double Holding, TimePoint Now) {
  Rate.Places = workAt(Rate, Now) + Holding / WorkDecaySeconds;
  Rate.UpdatedAt = Now;
}

double workAt(const WorkRate &Rate, TimePoint Now) {
  return Rate.Places * decay(Now - Rate.UpdatedAt, WorkDecaySeconds);
}

void noteNews(KnownWork &Known, const WorkAsked &News, Duration MaxAge,
              TimePoint Now) {
  for (const auto &[Kind, Places] : News)
    Known[Kind] = {Places, Now};
  std::erase_if(
      Known, [&](const auto &Entry) { return Now - Entry.second.At > MaxAge; });
}

ModelWork workOfService(const KnownWork &Known, const ServiceId &Service) {
  ModelWork Work;
  for (const auto &[Kind, Each] : Known) {
    if (Kind.Service == Service)
      Work[Kind.Model] += Each.Places;
  }
  return Work;
}

void noteDemand(DemandHistory &History, const ModelWork &Asked,
                const DemandPlanSettings &Settings, TimePoint Now) {
  if (totalOf(Asked) <= 0)
    return;
  if (History.Weight <= 0 || Now - History.LastAt > Settings.MaxAge)
    History = {{}, 0, 0, Now, Now};
  Duration Elapsed = Now - History.LastAt;
  double Kept = decay(Elapsed, toSeconds(Settings.Smoothing));
  // The first news counts as much as news of a moment.
  double Added = std::max(toSeconds(Elapsed), History.Weight > 0 ? 0.0 : 0.01);
  for (auto &[Model, Sum] : History.Sums)
    Sum *= Kept;
  for (const auto &[Model, Places] : Asked)
    History.Sums[Model] += Places * Added;
  History.Weight = History.Weight * Kept + Added;
  History.Peak = std::max(History.Peak * Kept, totalOf(Asked));
  History.LastAt = Now;
}

std::optional<ModelWork> plannedDemand(const DemandHistory &History,
                                       const DemandPlanSettings &Settings,
                                       TimePoint Now) {
  if (History.Weight <= 0 || Now - History.LastAt > Settings.MaxAge ||
      History.LastAt - History.FirstAt < Settings.LeastKnown)
    return std::nullopt;
  ModelWork Work;
  for (const auto &[Model, Sum] : History.Sums)
    Work[Model] = Sum / History.Weight;
  double Ratio = std::clamp(History.Peak / std::max(totalOf(Work), 1e-9), 1.0,
                            MaxPeakRatio);
  for (auto &[Model, Places] : Work)
    Places *= Ratio;
  return Work;
}

std::map<std::string, double>
planShares(const std::vector<ModelSupply> &Models) {
  std::map<std::string, double> Shares;
  double Total = 0;
  for (const ModelSupply &Each : Models) {
    Shares[Each.Model] = Each.Work * Each.GroupSize / std::max(Each.Slots, 1);
    Total += Shares[Each.Model];
  }
  bool Known = Total > 0;
  double Sum = 0;
  for (const ModelSupply &Each : Models) {
    double &Share = Shares[Each.Model];
    Share = Known ? std::max(Share / Total, LeastShare) : Each.StatedShare;
    Sum += Share;
  }
  for (auto &[Model, Share] : Shares)
    Share /= std::max(Sum, 1e-9);
  return Shares;
}

double worstServed(const std::vector<ModelSupply> &Models,
                   const DemandPlanSettings &Settings) {
  double Worst = 1;
  for (const ModelSupply &Each : Models) {
    double Usable = Settings.UsableFill * Each.Groups * Each.Slots;
    if (Each.Work > Usable)
      Worst = std::min(Worst, Usable / Each.Work);
  }
  return Worst;
}

double gainOf(const std::vector<ModelSupply> &Models, const Exchange &Option,
              const DemandPlanSettings &Settings) {
  auto To =
      std::find_if(Models.begin(), Models.end(), [&](const ModelSupply &Each) {
        return Each.Model == Option.To;
      });
  if (To == Models.end())
    return 0;
  double Change = std::min(toSeconds(Settings.DrainTime + To->WarmStart) /
                               toSeconds(Settings.Payback),
                           1.0);
  double During =
      worstServed(afterExchange(Models, Option, /*Complete=*/false), Settings);
  double After =
      worstServed(afterExchange(Models, Option, /*Complete=*/true), Settings);
  return Change * During + (1 - Change) * After - worstServed(Models, Settings);
}

std::optional<Exchange> planExchange(const std::vector<ModelSupply> &Models,
                                     const std::vector<Exchange> &Options,
                                     const DemandPlanSettings &Settings) {
  std::optional<Exchange> Best;
  double Most = Settings.LeastGain;
  for (const Exchange &Each : Options) {
    double Gain = gainOf(Models, Each, Settings);
    if (Gain <= Most)
      continue;
    Best = Each;
    Most = Gain;
  }
  return Best;
}

} // namespace samphirehill
