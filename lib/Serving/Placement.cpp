#include "samphirehill/Serving/Placement.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace samphirehill::serving {
namespace {

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

// Returns whether the pending prompts at the upstream would delay the first
// event beyond the share of the objective that ObjectiveShare allows.
bool promptsDelayTooLong(const UpstreamState &State,
                         const PlacementQuery &Query,
                         const PlacementLimits &Limits) {
  UpstreamLoad Load = totalLoad(State);
  if (!Query.Engine || Load.PendingTokens == 0)
    return false;
  Duration First = expectedFirstEvent(Load, Query.PromptTokens, *Query.Engine,
                                      State.Info.Pace);
  return toSeconds(First) > Limits.ObjectiveShare * toSeconds(Query.Objective);
}

// Returns the score of an upstream with Load, in seconds; lower is better.
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

// An upstream that may take the request.
struct Candidate {
  const UpstreamState *State = nullptr;
  UpstreamLoad Load; // includes the requests that peers are expected to send
  double Score = 0;
  int Expected = 0; // requests that peers are expected to send
};

// Returns how many prompt tokens an engine processes within Age.
double promptTokensWithin(const EngineShape &Engine, Duration Age) {
  constexpr double PromptShare = 0.5; // of the time; the rest is generation
  return Engine.PromptTokensPerSecond * toSeconds(Age) * PromptShare;
}

// Estimates the load of an upstream now from peer reports that are ReportAge
// old: prompt tokens that it has processed since then are subtracted.
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

// Returns the score of Option with the penalty for its taken slots. See
// PlacementLimits::OccupancyPenalty.
double scoreWithOccupancy(const Candidate &Option, const PlacementQuery &Query,
                          const PlacementLimits &Limits) {
  double Taken = static_cast<double>(Option.Load.Running) /
                 std::max(Option.State->Info.Slots, 1);
  return score(*Option.State, Option.Load, Query, Limits) +
         toSeconds(Limits.OccupancyPenalty) * Taken * Taken;
}

// Returns whether Info's instance has asked for a pause that has not ended.
bool isQuiet(const UpstreamBook &Book, const Upstream &Info,
             const PlacementQuery &Query) {
  return quietUntil(Book.Notices, lifeOf(Info)) > Query.NowWithSuspension;
}

// Returns whether the request may be sent to the upstream now.
bool mayTake(const UpstreamBook &Book, const UpstreamState &State,
             const PlacementQuery &Query, TimePoint Now) {
  const Upstream &Info = State.Info;
  if (isQuiet(Book, Info, Query))
    return false;
  if (State.OwnLoad.Running + State.PeerLoad.Running >=
      Info.Slots + Query.ExtraSlots)
    return false;
  if (promptsDelayTooLong(State, Query, Book.Limits))
    return false;
  if (isCold(State, Query.ColdPerSecond, Now) &&
      !mayTakeWhileCold(State, Book.Limits, Query.ColdPerSecond, Now))
    return false;
  // A stalled group makes no progress: the request does better at another
  // upstream, or waiting.
  return Now >= State.AvoidUntil || State.Avoid != AvoidReason::Stalled;
}

// Returns how long a request occupies its slot at an upstream with Load, in
// seconds.
double holdingSeconds(const UpstreamState &State, UpstreamLoad Load,
                      const PlacementQuery &Query,
                      const PlacementLimits &Limits) {
  if (!Query.Engine)
    return toSeconds(Limits.PlainRequestTime);
  double Pace = State.Info.Pace;
  double First = toSeconds(
      expectedFirstEvent(Load, Query.PromptTokens, *Query.Engine, Pace));
  double Events = static_cast<double>(Query.OutputTokens) /
                  std::max(Query.Engine->EventSteps, 1);
  Load.PendingTokens = 0;
  return First + Events * toSeconds(expectedGap(Load, *Query.Engine, Pace));
}

// Returns how many slots of an upstream the entries together may fill: all but
// those kept free by PlacementLimits::FreeDeviations.
double targetSlots(const UpstreamState &State, const PlacementQuery &Query,
                   const PlacementLimits &Limits) {
  UpstreamLoad Full;
  Full.Running = State.Info.Slots;
  double Turnovers = toSeconds(Limits.ReportAge) /
                     std::max(holdingSeconds(State, Full, Query, Limits), 1e-3);
  double Free = Limits.FreeDeviations * std::sqrt(Full.Running * Turnovers);
  return std::max(Full.Running - Free, 1.0);
}

// Returns whether this entry uses its share of the slots. While peer reports
// are delayed, entries that fill every slot that seems free would together send
// more requests than there are slots.
bool usesItsShare(const PlaceFlow &Flow, const PlacementQuery &Query,
                  const PlacementLimits &Limits) {
  double Limit = Query.Late ? ownLateLimit(Flow, Limits.Places)
                            : ownLimit(Flow, Limits.Places);
  return Flow.Own >= std::max(Limit, 1.0);
}

// Subtracts from the candidates' loads the requests that are expected to end
// within Horizon, in seconds. Returns how many requests the peers are expected
// to send in that time: as many as end.
int advanceLoads(std::vector<Candidate> &Candidates, double Horizon,
                 const PlacementQuery &Query, const PlacementLimits &Limits) {
  constexpr int MaxRequests = 256; // bounds the processor time of a placement
  double Ended = 0;
  for (Candidate &Each : Candidates) {
    double Holding = holdingSeconds(*Each.State, Each.Load, Query, Limits);
    double Left = std::exp(-Horizon / std::max(Holding, 1e-3));
    double Ends = Each.Load.Running * (1 - Left);
    Each.Load.Running -= static_cast<int>(std::lround(Ends));
    Ended += Ends;
  }
  double Least =
      Limits.ManyEntries ? static_cast<double>(Candidates.size()) : 0;
  return static_cast<int>(
      std::min<double>(std::max(Ended, Least), MaxRequests));
}

// Assigns PeerRequests requests of the peers one by one, each to the candidate
// that has the best score at that point. Returns the candidate that Query.Draw
// selects, with probabilities in proportion to the assigned requests.
const Candidate &chooseAmongPeers(std::vector<Candidate> &Candidates,
                                  int PeerRequests, const PlacementQuery &Query,
                                  const PlacementLimits &Limits) {
  auto Worse = [](const Candidate *A, const Candidate *B) {
    return A->Score > B->Score;
  };
  // Of the prompts that the peers send, only the latest are still unprocessed.
  double Unprocessed = static_cast<double>(Query.PromptTokens);
  if (Query.Engine)
    Unprocessed *= std::min(
        Unprocessed /
            std::max(promptTokensWithin(*Query.Engine, Limits.ReportAge), 1.0),
        1.0);
  std::vector<Candidate *> Heap;
  Heap.reserve(Candidates.size());
  for (Candidate &Each : Candidates) {
    Each.Score = scoreWithOccupancy(Each, Query, Limits);
    Heap.push_back(&Each);
  }
  std::make_heap(Heap.begin(), Heap.end(), Worse);
  for (int Assigned = 0; Assigned < PeerRequests; ++Assigned) {
    std::pop_heap(Heap.begin(), Heap.end(), Worse);
    Candidate &Best = *Heap.back();
    ++Best.Expected;
    ++Best.Load.Running;
    Best.Load.PendingTokens += std::llround(Unprocessed);
    Best.Score = scoreWithOccupancy(Best, Query, Limits);
    std::push_heap(Heap.begin(), Heap.end(), Worse);
  }
  double Left = Query.Draw * PeerRequests;
  for (const Candidate &Each : Candidates) {
    Left -= Each.Expected;
    if (Left < 0)
      return Each;
  }
  return Candidates.back();
}

} // namespace

Placement place(const UpstreamBook &Book, const PlacementQuery &Query,
                TimePoint Now) {
  Placement Result;
  std::vector<Candidate> Candidates;
  bool AllAvoided = true;
  int QuietCount = 0;
  PlaceFlow &Flow = Result.Flow;
  Flow.OwnShare = Query.DemandShare;
  Flow.InTimePerSecond = Query.InTimePerSecond;
  Flow.LatePerSecond = Query.LatePerSecond;
  Flow.LateWaiting = Query.LateWaiting;
  Flow.HoldingSeconds = toSeconds(Query.Holding);
  bool SharesSlots =
      Query.Engine && !Query.Begun && Book.Limits.ReportAge > Duration::zero();
  for (const auto &[Key, State] : Book.Upstreams) {
    const Upstream &Info = State.Info;
    if (Info.Service != Query.Service || Info.Model != Query.Model ||
        isLeaving(Book.Notices, lifeOf(Info)) ||
        hasEnded(Book, lifeOf(Info), Now))
      continue;
    ++Result.Candidates;
    Flow.Places += SharesSlots ? targetSlots(State, Query, Book.Limits)
                               : Info.Slots + Query.ExtraSlots;
    if (Flow.HoldingSeconds <= 0)
      Flow.HoldingSeconds =
          holdingSeconds(State, {Info.Slots}, Query, Book.Limits);
    Flow.Own += State.OwnLoad.Running;
    Flow.Taken += State.OwnLoad.Running + State.PeerLoad.Running;
    if (isQuiet(Book, Info, Query)) {
      TimePoint Until = quietUntil(Book.Notices, lifeOf(Info));
      Result.QuietUntil =
          QuietCount == 0 ? Until : std::min(Result.QuietUntil, Until);
      ++QuietCount;
    }
    if (Query.Tried.contains(Key))
      continue;
    Result.Reason = PlacementFailure::Full;
    if (!mayTake(Book, State, Query, Now))
      continue;
    bool Avoided = Now < State.AvoidUntil;
    if (Avoided && !AllAvoided)
      continue;
    if (!Avoided && AllAvoided)
      Candidates.clear();
    AllAvoided = AllAvoided && Avoided;
    UpstreamLoad Load = estimatedLoad(State, Query, Book.Limits.ReportAge);
    Candidates.push_back(
        {&State, Load, score(State, Load, Query, Book.Limits)});
  }
  if (QuietCount > 0 && QuietCount == Result.Candidates)
    Result.Reason = PlacementFailure::Quiet;
  if (Candidates.empty() ||
      (SharesSlots && usesItsShare(Flow, Query, Book.Limits)))
    return Result;
  double Horizon =
      Book.Limits.LevelingHorizon * toSeconds(Book.Limits.ReportAge);
  int PeerRequests =
      Horizon > 0 ? advanceLoads(Candidates, Horizon, Query, Book.Limits) : 0;
  const Candidate &Best =
      PeerRequests > 0
          ? chooseAmongPeers(Candidates, PeerRequests, Query, Book.Limits)
          : *std::min_element(Candidates.begin(), Candidates.end(),
                              [](const Candidate &A, const Candidate &B) {
                                return A.Score < B.Score;
                              });
  Result.Chosen = Best.State->Info.Key;
  return Result;
}

} // namespace samphirehill::serving
