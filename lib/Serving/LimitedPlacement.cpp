#include "samphirehill/Serving/LimitedPlacement.h"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <vector>

namespace samphirehill::serving {
namespace {

void logChange(const StatedLimits &Limits, const InstanceLife &Of,
               const char *Source) {
  std::optional<double> Limit = statedLimit(Limits, Of);
  if (Limit)
    spdlog::info("event=instance_limited instance={} born={} per_second={} "
                 "source={}",
                 Of.Id.str(), Of.BornMilliseconds, *Limit, Source);
  else
    spdlog::info("event=instance_limit_ended instance={} born={} source={}",
                 Of.Id.str(), Of.BornMilliseconds, Source);
}

// How long the demand of this entry is kept: longer than the others' reports
// are old.
constexpr Duration DemandMemory = seconds(2);

void noteOwnDemand(UpstreamBook &Book,
                   const std::map<ServiceModel, double> &OwnRates,
                   TimePoint Now) {
  Book.OwnDemand.push_back({Now, OwnRates});
  while (Now - Book.OwnDemand.front().At > DemandMemory)
    Book.OwnDemand.pop_front();
}

// Returns the demand of this entry at the time for which the others' demand is
// known. While demand rises, all entries would otherwise find that most of it
// is their own.
double ownRateAsOfReports(const UpstreamBook &Book, const ServiceModel &Kind,
                          TimePoint Now) {
  auto After = std::find_if(
      Book.OwnDemand.begin(), Book.OwnDemand.end(),
      [&](const auto &Each) { return Each.At > Now - Book.Limits.ReportAge; });
  if (After == Book.OwnDemand.begin())
    return 0;
  auto Found = std::prev(After)->PerSecond.find(Kind);
  return Found == std::prev(After)->PerSecond.end() ? 0 : Found->second;
}

// Returns this entry's part of the callers' requests for Kind.
double shareOf(const ServiceModel &Kind, const UpstreamBook &Book,
               TimePoint Now) {
  double OwnRate = ownRateAsOfReports(Book, Kind, Now);
  auto Others = Book.PeerDemand.find(Kind);
  if (Others == Book.PeerDemand.end() || OwnRate + Others->second <= 0)
    return 1.0 / std::max(Book.Limits.Entries, 1);
  return OwnRate / (OwnRate + Others->second);
}

bool serves(const UpstreamBook &Book, const Upstream &Info,
            const PlacementQuery &Query) {
  return Info.Service == Query.Service && Info.Model == Query.Model &&
         !Query.Tried.contains(Info.Key) &&
         !isLeaving(Book.Notices, lifeOf(Info)) &&
         !Book.Reach.CutOff.contains(Info.Zone);
}

} // namespace

bool noteAnswerLimit(UpstreamBook &Book, const InstanceLife &From,
                     const AnswerFacts &Answer, ServingMetrics &Metrics,
                     TimePoint Now) {
  if (!Answer.Limit && !Answer.Sealed)
    return false;
  if (Answer.Limit)
    Metrics.count("instance_notices", "notice", "limit");
  if (!noteOwnStatement(Book.Stated, {From, Answer.Limit, Now},
                        Book.Limits.Self, Now))
    return false;
  logChange(Book.Stated, From, "answer");
  return true;
}

void applyLimitNews(UpstreamBook &Book, const std::vector<LimitNews> &News,
                    TimePoint Now) {
  for (const LimitNews &Each : News) {
    if (noteStatement(Book.Stated, Each, Book.Limits.Self, Now))
      logChange(Book.Stated, Each.Of, "report");
  }
}

void updateLimitShares(UpstreamBook &Book,
                       const std::map<ServiceModel, double> &OwnRates,
                       ServingMetrics &Metrics, TimePoint Now) {
  noteOwnDemand(Book, OwnRates, Now);
  eraseOldLimits(Book.Stated, Now);
  int Limited = 0;
  for (const auto &[Key, State] : Book.Upstreams) {
    InstanceLife Life = lifeOf(State.Info);
    if (!statedLimit(Book.Stated, Life))
      continue;
    ++Limited;
    updateShare(Book.Stated, Life,
                shareOf({State.Info.Service, State.Info.Model}, Book, Now),
                Book.Limits.Self, Book.Limits.Others, Now);
  }
  Metrics.set("limited_upstreams", Limited);
}

bool isLimited(const UpstreamBook &Book, const Upstream &Info) {
  return !Book.Stated.ByLife.empty() &&
         statedLimit(Book.Stated, lifeOf(Info)).has_value();
}

bool isHeldBack(const UpstreamBook &Book, const Upstream &Info, TimePoint Now) {
  return !mayTakeByLimit(Book.Stated, lifeOf(Info), Now);
}

double placesWithinLimit(const UpstreamBook &Book, const Upstream &Info,
                         double Places, double Holding) {
  std::optional<double> Limit = statedLimit(Book.Stated, lifeOf(Info));
  return Limit ? std::min(Places, *Limit * Holding) : Places;
}

Duration waitForLimits(const UpstreamBook &Book, const PlacementQuery &Query,
                       std::ptrdiff_t Ahead, TimePoint Now) {
  std::vector<TimePoint> Turns;
  for (const auto &[Key, State] : Book.Upstreams) {
    if (!serves(Book, State.Info, Query))
      continue;
    for (std::ptrdiff_t Each = 0; Each <= Ahead; ++Each)
      Turns.push_back(takesAt(Book.Stated, lifeOf(State.Info),
                              static_cast<std::size_t>(Each), Now));
  }
  if (Turns.empty())
    return LongestTokenWait;
  std::nth_element(Turns.begin(), Turns.begin() + Ahead, Turns.end());
  return Turns[static_cast<std::size_t>(Ahead)] - Now;
}

} // namespace samphirehill::serving
