#include "samphirehill/Limits/WaitForecast.h"

#include <algorithm>
#include <cmath>

namespace samphirehill {
namespace {

// Standard deviations from the mean that 98 in 100 outcomes stay within.
constexpr double Deviations = 2.0;
// Below this many places a second no place is expected.
constexpr double LeastPerSecond = 1e-3;

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

// Returns the places that requests in time occupy on average if they find one.
double inTimePlaces(const PlaceFlow &Flow) {
  return Flow.InTimePerSecond * Flow.HoldingSeconds;
}

// Returns how many places this entry keeps free of late requests.
double ownReserve(const PlaceFlow &Flow, const PlaceRules &Rules) {
  double InTime = inTimePlaces(Flow);
  double Excess = std::max(InTime - Flow.Places, 0.0);
  return Flow.OwnShare * Excess +
         Rules.ReserveDeviations * std::sqrt(Flow.OwnShare * InTime);
}

// Returns how many places may be taken before an entry of average load sends no
// late request.
double lateLevel(const PlaceFlow &Flow, const PlaceRules &Rules) {
  double Share = std::max(Flow.OwnShare, 1e-6);
  return std::max(Flow.Places - ownReserve(Flow, Rules) /
                                    (Share * (1 + Rules.Overbooking)),
                  0.0);
}

double ownShareOfPlaces(const PlaceFlow &Flow, const PlaceRules &Rules) {
  double Free = std::max(Flow.Places - Flow.Taken, 0.0);
  return Flow.OwnShare * (Flow.Places + Rules.Overbooking * Free);
}

// Returns whether more places are free than arrivals in time fill before the
// next reports.
bool hasFreePlaces(const PlaceFlow &Flow, const PlaceRules &Rules) {
  double Noise = Deviations * std::sqrt(inTimePlaces(Flow));
  return Flow.Places - Flow.Taken >
         std::max(Rules.FreeShare * Flow.Places, Noise);
}

} // namespace

double ownLimit(const PlaceFlow &Flow, const PlaceRules &Rules) {
  if (hasFreePlaces(Flow, Rules))
    return Flow.Places;
  return ownShareOfPlaces(Flow, Rules);
}

double ownLateLimit(const PlaceFlow &Flow, const PlaceRules &Rules) {
  return std::max(ownShareOfPlaces(Flow, Rules) - ownReserve(Flow, Rules), 0.0);
}

double sparePerSecond(const PlaceFlow &Flow, const PlaceRules &Rules) {
  double Freed = lateLevel(Flow, Rules) / std::max(Flow.HoldingSeconds, 1e-3);
  return std::max(Freed - Flow.InTimePerSecond, 0.0);
}

double spareNow(const PlaceFlow &Flow, const PlaceRules &Rules) {
  return std::max(lateLevel(Flow, Rules) - Flow.Taken, 0.0);
}

std::optional<Duration>
boundedWait(const PlaceFlow &Flow, const PlaceRules &Rules, std::size_t Ahead) {
  double PerSecond = Flow.Own / std::max(Flow.HoldingSeconds, 1e-3);
  if (PerSecond < LeastPerSecond)
    return std::nullopt;
  double Excess = std::max(Flow.Own - ownLimit(Flow, Rules), 0.0);
  double Needed = static_cast<double>(Ahead) + 1 + std::floor(Excess);
  // The square root of a Poisson count has a standard deviation of 1/2.
  double Count = std::sqrt(Needed) + Deviations / 2;
  return fromSeconds(Count * Count / PerSecond);
}

std::optional<Duration> boundedLateWait(const PlaceFlow &Flow,
                                        const PlaceRules &Rules) {
  double Level = lateLevel(Flow, Rules);
  double Spare = sparePerSecond(Flow, Rules) - Flow.LatePerSecond;
  if (Spare < LeastPerSecond)
    return std::nullopt;
  double Needed = std::max(Flow.Taken - Level, 0.0) + Flow.LateWaiting + 1;
  double Others = Flow.InTimePerSecond + Flow.LatePerSecond;
  // Solves Spare * t - Deviations * sqrt(Variance * t) = Needed for sqrt(t).
  double Noise = Deviations * std::sqrt(Spare + 2 * Others);
  double Root =
      (Noise + std::sqrt(Noise * Noise + 4 * Spare * Needed)) / (2 * Spare);
  return fromSeconds(Root * Root);
}

WaitProspect waitProspect(const PlaceFlow &Flow, const PlaceRules &Rules,
                          const WaitQuery &Query) {
  bool InTime = Query.ObjectiveLeft > Duration::zero();
  if (InTime && hasFreePlaces(Flow, Rules))
    return {true, true, Query.ObjectiveLeft};
  if (InTime) {
    std::optional<Duration> Bound = boundedWait(Flow, Rules, Query.Ahead);
    if (Bound && *Bound <= Query.ObjectiveLeft)
      return {true, true, *Bound};
  }
  std::optional<Duration> Bound = boundedLateWait(Flow, Rules);
  if (!Bound || *Bound > Query.UsefulLeft)
    return {};
  return {true, false, *Bound};
}

} // namespace samphirehill
