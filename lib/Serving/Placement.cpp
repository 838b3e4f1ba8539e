#include "samphirehill/Serving/Placement.h"
#include "PlacementScore.h"

#include "samphirehill/Serving/LimitedPlacement.h"
#include "samphirehill/Serving/UpstreamPacing.h"
#include "samphirehill/Serving/WaitPolicy.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <limits>
#include <vector>

namespace samphirehill::serving {
namespace {

// An upstream that may take the request.
struct Candidate {
  const UpstreamState *State = nullptr;
  UpstreamLoad Load; // includes the requests that peers are expected to send
  double Score = 0;
  int Expected = 0; // requests that peers are expected to send
};

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

// Returns why the request may not be sent to the upstream now.
HoldReason holdReason(const UpstreamBook &Book, const UpstreamState &State,
                      const PlacementQuery &Query, TimePoint Now) {
  const Upstream &Info = State.Info;
  if (isQuiet(Book, Info, Query))
    return HoldReason::Quiet;
  if (isLimited(Book, Info) && isHeldBack(Book, Info, Now))
    return HoldReason::Limit;
  if (State.OwnLoad.Running + State.PeerLoad.Running >=
      Info.Slots + Query.ExtraSlots)
    return HoldReason::Slots;
  if (promptsDelayTooLong(State, Query, Book.Limits))
    return HoldReason::Prompts;
  if (isCold(State, Query.ColdPerSecond, Now) &&
      !mayTakeWhileCold(State, Book.Limits, Query.ColdPerSecond, Now))
    return HoldReason::Cold;
  if (!mayTakeAtItsPace(Book, State, Query, Now))
    return HoldReason::Pace;
  // A stalled group makes no progress: the request does better at another
  // upstream, or waiting.
  bool Stalled = Now < State.AvoidUntil && State.Avoid == AvoidReason::Stalled;
  return Stalled ? HoldReason::Stalled : HoldReason::None;
}

// Returns whether this entry uses its share of the slots. While peer reports
// are delayed, entries that fill every slot that seems free would together send
// more requests than there are slots.
bool usesItsShare(const Occupancy &Occupied, const PlacementQuery &Query,
                  const PlacementLimits &Limits) {
  double Free = std::max(Occupied.Target - Occupied.All, 0.0);
  double Share =
      Query.DemandShare * (Occupied.Target + Limits.Overbooking * Free);
  if (Query.Late)
    Share *= Limits.LateShare;
  return Occupied.Own >= std::max(Share, 1.0);
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

// Room for requests of one ServiceModel, at upstreams that take them.
struct ZoneRooms {
  ZoneRoom Own; // in the zone of this entry
  ZoneRoom Others;
};

void addRoom(ZoneRooms &Rooms, const UpstreamBook &Book,
             const UpstreamState &State, const PlacementQuery &Query) {
  ZoneRoom &Zone = State.Info.Zone == Query.OwnZone ? Rooms.Own : Rooms.Others;
  double Places = Query.Engine ? targetSlots(State, Query, Book.Limits)
                               : static_cast<double>(State.Info.Slots);
  if (isLimited(Book, State.Info))
    Places = placesWithinLimit(
        Book, State.Info, Places,
        holdingSeconds(State, totalLoad(State), Query, Book.Limits));
  Zone.Places += Places;
  Zone.Taken += State.OwnLoad.Running + State.PeerLoad.Running;
}

// Leaves only the candidates in the zone that the request goes to: its own
// while some there are as good as the best elsewhere, but for the share that
// spills over. Returns a draw for the choice among those that are left.
double keepOneZone(std::vector<Candidate> &Candidates, const ZoneRooms &Rooms,
                   const PlacementQuery &Query, const PlacementLimits &Limits) {
  double BestElsewhere = std::numeric_limits<double>::infinity();
  double BestOwn = BestElsewhere;
  for (const Candidate &Each : Candidates) {
    bool IsOwn = Each.State->Info.Zone == Query.OwnZone;
    double &Best = IsOwn ? BestOwn : BestElsewhere;
    Best = std::min(Best, Each.Score);
  }
  double AsGood = BestElsewhere + toSeconds(Limits.OwnZoneTolerance);
  if (std::isinf(BestElsewhere) || BestOwn > AsGood)
    return Query.Draw;
  SpillChoice Choice =
      chooseZone(spillShare(Rooms.Own, Rooms.Others, Limits.Spill), Query.Draw);
  std::erase_if(Candidates, [&](const Candidate &Each) {
    bool IsOwn = Each.State->Info.Zone == Query.OwnZone;
    return IsOwn == Choice.ToOtherZone || (IsOwn && Each.Score > AsGood);
  });
  return Choice.Draw;
}

// Assigns PeerRequests requests of the peers one by one, each to the candidate
// that has the best score at that point. Returns the candidate that Draw
// selects, with probabilities in proportion to the assigned requests.
const Candidate &chooseAmongPeers(std::vector<Candidate> &Candidates,
                                  int PeerRequests, double Draw,
                                  const PlacementQuery &Query,
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
  double Left = Draw * PeerRequests;
  for (const Candidate &Each : Candidates) {
    Left -= Each.Expected;
    if (Left < 0)
      return Each;
  }
  return Candidates.back();
}

// Upstreams of the ServiceModel that get no request now, by the cause.
struct HeldBackCounts {
  int CutOff = 0;
  int Quiet = 0;        // tried ones included
  int UntriedQuiet = 0; // these and the following are untried
  int Limited = 0;
  int Untried = 0; // all
};

// Sets when a request for which nothing was chosen may be sent again, and why.
void setRetry(Placement &Result, const HeldBackCounts &Counts,
              const UpstreamBook &Book, const PlacementQuery &Query,
              TimePoint Now) {
  if (Counts.Quiet > 0 && Counts.Quiet == Result.Candidates)
    Result.Reason = PlacementFailure::Quiet;
  else if (Counts.Limited > 0 &&
           Counts.Limited + Counts.UntriedQuiet == Counts.Untried)
    Result.Reason = PlacementFailure::Limited;
  if (Result.Candidates > 0 || Counts.CutOff == 0)
    return;
  Result.Reason = PlacementFailure::Unreachable;
  ReachSettings Settings = Book.Reach.Settings;
  Settings.RotationTime += spreadReturn(Query.Draw);
  Result.RetryAt =
      Query.NowWithSuspension +
      returnAfterRotation(Book.Reach.Taking, Settings, Query.TimeLeft, Now);
}

} // namespace

Duration expectedFirstAt(const UpstreamState &State,
                         const PlacementQuery &Query) {
  if (!Query.Engine)
    return Duration::zero();
  return expectedFirstEvent(totalLoad(State), 0, *Query.Engine,
                            State.Info.Pace * State.Slowness);
}

const char *toString(PlacementFailure Reason) {
  switch (Reason) {
  case PlacementFailure::Absent:
    return "absent";
  case PlacementFailure::Full:
    return "full";
  case PlacementFailure::Quiet:
    return "quiet";
  case PlacementFailure::Limited:
    return "limited";
  case PlacementFailure::Unreachable:
    return "unreachable";
  }
  return "unknown";
}

std::string describeFailure(const Placement &Failed) {
  return fmt::format("reason={} held={}", toString(Failed.Reason),
                     toString(Failed.Holds));
}

Placement place(const UpstreamBook &Book, const PlacementQuery &Query,
                TimePoint Now) {
  Placement Result;
  std::vector<Candidate> Candidates;
  bool AllAvoided = true;
  HeldBackCounts Counts;
  Occupancy &Occupied = Result.Occupied;
  ZoneRooms Rooms;
  bool SharesSlots =
      Query.Engine && !Query.Begun && Book.Limits.ReportAge > Duration::zero();
  for (const auto &[Key, State] : Book.Upstreams) {
    const Upstream &Info = State.Info;
    if (Info.Service != Query.Service || Info.Model != Query.Model ||
        isLeaving(Book.Notices, lifeOf(Info)) ||
        hasEnded(Book, lifeOf(Info), Now))
      continue;
    if (Book.Reach.CutOff.contains(Info.Zone)) {
      ++Counts.CutOff;
      continue;
    }
    ++Result.Candidates;
    bool Limited = isLimited(Book, Info);
    if (!Limited) {
      Occupied.Target += SharesSlots ? targetSlots(State, Query, Book.Limits)
                                     : static_cast<double>(Info.Slots);
      Occupied.Own += State.OwnLoad.Running;
      Occupied.All += State.OwnLoad.Running + State.PeerLoad.Running;
    }
    bool Quiet = isQuiet(Book, Info, Query);
    if (Quiet) {
      TimePoint Until = quietUntil(Book.Notices, lifeOf(Info));
      Result.RetryAt =
          Counts.Quiet == 0 ? Until : std::min(Result.RetryAt, Until);
      ++Counts.Quiet;
    }
    bool Avoided = Now < State.AvoidUntil;
    if (!Avoided && !isCold(State, Query.ColdPerSecond, Now) && !Quiet)
      addRoom(Rooms, Book, State, Query);
    if (Query.Tried.contains(Key))
      continue;
    ++Counts.Untried;
    Counts.UntriedQuiet += Quiet;
    Counts.Limited += !Quiet && Limited && isHeldBack(Book, Info, Now);
    Result.Reason = PlacementFailure::Full;
    HoldReason Held = holdReason(Book, State, Query, Now);
    if (Held != HoldReason::None) {
      ++Result.Holds[Held];
      continue;
    }
    if (Avoided && !AllAvoided)
      continue;
    if (!Avoided && AllAvoided)
      Candidates.clear();
    AllAvoided = AllAvoided && Avoided;
    UpstreamLoad Load = estimatedLoad(State, Query, Book.Limits.ReportAge);
    Candidates.push_back(
        {&State, Load, score(State, Load, Query, Book.Limits)});
  }
  setRetry(Result, Counts, Book, Query, Now);
  // The tokens for a limited upstream are this entry's share of it.
  if (SharesSlots && !Query.WithinShare &&
      usesItsShare(Occupied, Query, Book.Limits))
    Result.Holds[HoldReason::Share] =
        static_cast<int>(std::erase_if(Candidates, [&](const Candidate &Each) {
          return !isLimited(Book, Each.State->Info);
        }));
  if (Candidates.empty())
    return Result;
  double Draw = keepOneZone(Candidates, Rooms, Query, Book.Limits);
  auto HasBetterScore = [](const Candidate &A, const Candidate &B) {
    return A.Score < B.Score;
  };
  const Candidate &BestNow =
      *std::min_element(Candidates.begin(), Candidates.end(), HasBetterScore);
  // The part of a limited upstream that this entry may use already accounts for
  // what the peers send there.
  if (isLimited(Book.Limits.Pace, pacedUpstream(*BestNow.State), Now)) {
    Result.Chosen = BestNow.State->Info.Key;
    return Result;
  }
  double Horizon =
      Book.Limits.LevelingHorizon * toSeconds(Book.Limits.ReportAge);
  int PeerRequests =
      Horizon > 0 ? advanceLoads(Candidates, Horizon, Query, Book.Limits) : 0;
  const Candidate &Best =
      PeerRequests > 0
          ? chooseAmongPeers(Candidates, PeerRequests, Draw, Query, Book.Limits)
          : BestNow;
  Result.Chosen = Best.State->Info.Key;
  return Result;
}

} // namespace samphirehill::serving
