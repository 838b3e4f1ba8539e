#include "PlacementScore.h"

#include "samphirehill/Serving/WorkCount.h"

#include <algorithm>
#include <cmath>

namespace samphirehill::serving {
namespace {

// Share of the objective that pending prompts may always delay a first event.
// A long prompt would otherwise wait until hardly any other is pending, while
// shorter ones are sent past it.
constexpr double LeastPromptDelay = 0.25;

// Returns the expected time to the first event, in seconds. If the complete
// answer is not expected in time, its expected time is added.
double generationScore(const UpstreamState &State, UpstreamLoad Load,
                       const PlacementQuery &Query,
                       const PlacementLimits &Limits) {
  double Pace = State.Info.Pace;
  double First = toSeconds(
      expectedFirstEvent(Load, Query.PromptTokens, *Query.Engine, Pace));
  ++Load.Running;
  Load.PendingTokens = Query.Engine->TokensPerPass / 2;
  double Events = static_cast<double>(Query.OutputTokens) /
                  std::max(Query.Engine->EventSteps, 1);
  double Complete =
      First + Events * toSeconds(expectedGap(Load, *Query.Engine, Pace));
  bool InTime = Complete * State.Slowness <=
                Limits.AnswerShare * toSeconds(Query.TimeLeft);
  return InTime ? First : First + Complete;
}

} // namespace

double promptTokensWithin(const EngineShape &Engine, Duration Age) {
  constexpr double PromptShare = 0.5; // of the time; the rest is generation
  return Engine.PromptTokensPerSecond * toSeconds(Age) * PromptShare;
}

UpstreamLoad estimatedLoad(const UpstreamState &State,
                           const PlacementQuery &Query, Duration ReportAge) {
  UpstreamLoad Load = State.PeerLoad;
  if (Query.Engine)
    Load.PendingTokens = std::max<std::int64_t>(
        Load.PendingTokens -
            std::llround(promptTokensWithin(*Query.Engine, ReportAge)),
        0);
  return Load += State.OwnLoad;
}

bool promptsDelayTooLong(const UpstreamState &State,
                         const PlacementQuery &Query,
                         const PlacementLimits &Limits) {
  UpstreamLoad Load = totalLoad(State);
  if (!Query.Engine || Load.PendingTokens == 0)
    return false;
  auto FirstEvent = [&] {
    return toSeconds(expectedFirstEvent(Load, Query.PromptTokens, *Query.Engine,
                                        State.Info.Pace));
  };
  double Behind = FirstEvent();
  Load.PendingTokens = 0;
  double Alone = FirstEvent();
  double Objective = toSeconds(Query.Objective);
  double Allowed = std::max(Limits.ObjectiveShare * Objective - Alone,
                            LeastPromptDelay * Objective);
  return Behind - Alone > Allowed;
}

double score(const UpstreamState &State, const UpstreamLoad &Load,
             const PlacementQuery &Query, const PlacementLimits &Limits) {
  double Score = 0;
  if (Query.Engine)
    Score = State.Slowness * generationScore(State, Load, Query, Limits);
  else
    Score = toSeconds(Limits.PlainRequestTime) * (Load.Running + 1) /
            std::max(State.Info.Slots, 1);
  if (State.Info.Zone != Query.OwnZone)
    Score += toSeconds(Limits.OtherZonePenalty);
  return Score + toSeconds(Limits.FailurePenalty) * State.FailureShare;
}

double holdingSeconds(const UpstreamState &State, const UpstreamLoad &Load,
                      const PlacementQuery &Query,
                      const PlacementLimits &Limits) {
  if (!Query.Engine)
    return toSeconds(Limits.PlainRequestTime);
  return toSeconds(expectedHolding(Load, Query.PromptTokens, Query.OutputTokens,
                                   *Query.Engine, State.Info.Pace));
}

double targetSlots(const UpstreamState &State, const PlacementQuery &Query,
                   const PlacementLimits &Limits) {
  UpstreamLoad Full;
  Full.Running = State.Info.Slots;
  double Turnovers = toSeconds(Limits.ReportAge) /
                     std::max(holdingSeconds(State, Full, Query, Limits), 1e-3);
  double Free = Limits.FreeDeviations * std::sqrt(Full.Running * Turnovers);
  return std::max(Full.Running - Free, 1.0);
}

} // namespace samphirehill::serving
