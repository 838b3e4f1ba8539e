#include "samphirehill/Serving/UpstreamBook.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <cmath>

namespace samphirehill::serving {
namespace {

// Weight of the newest request in the share of failures.
constexpr double FailureWeight = 0.2;
// Weight of the newest pause in the slowness, and its bounds.
constexpr double SlownessWeight = 0.08;
constexpr double HighestSlowness = 20.0;
// Requests that one entry may send a cold upstream at once.
constexpr double ColdBurst = 1.0;

// Returns the requests that may be sent to a cold upstream at Now.
double coldTokens(const UpstreamState &State, double PerSecond, int Entries,
                  TimePoint Now) {
  double Elapsed = toSeconds(Now - State.ColdTokensAt);
  // Those that may send share the rate.
  double Sharing = std::clamp(static_cast<double>(Entries), 1.0,
                              std::max(PerSecond / 2, 1.0));
  double Earned = Elapsed * PerSecond / 2 / Sharing;
  return std::min(ColdBurst, State.ColdTokens + std::max(Earned, 0.0));
}

// Whether this entry is one of those that may send to a cold upstream.
bool mayWarm(const UpstreamKey &Key, const PlacementLimits &Limits,
             double PerSecond) {
  auto Allowed = static_cast<std::ptrdiff_t>(PerSecond / 2);
  if (static_cast<std::ptrdiff_t>(Limits.Others.size()) < Allowed)
    return true;
  std::uint64_t Own = rendezvousWeight(Key.Instance.str(), Limits.Self.str());
  auto Before = std::count_if(
      Limits.Others.begin(), Limits.Others.end(), [&](const EntryId &Each) {
        return rendezvousWeight(Key.Instance.str(), Each.str()) > Own;
      });
  return Before < Allowed;
}

bool isCold(const UpstreamState &State, double PerSecond, TimePoint Now) {
  return PerSecond > 0 && Now < State.Info.ColdUntil;
}

UpstreamLoad sum(UpstreamLoad Left, const UpstreamLoad &Right) {
  return Left += Right;
}

// Time of one pass over all running requests, without reading.
double writingSeconds(const UpstreamLoad &Load, const EngineShape &Engine) {
  return Engine.EventSteps * (toSeconds(Engine.Step) +
                              toSeconds(Engine.StepPerRequest) * Load.Running);
}

// Returns how late the first event is expected, in seconds, and more where the
// whole answer is not expected in time.
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
  double Whole =
      First + Events * toSeconds(expectedGap(Load, *Query.Engine, Pace));
  bool InTime =
      Whole * State.Slowness <= Limits.AnswerShare * toSeconds(Query.TimeLeft);
  return InTime ? First : First + Whole;
}

// Whether prompts wait at the upstream for longer than the objective allows.
bool readsTooMuch(const UpstreamState &State, const PlacementQuery &Query,
                  const PlacementLimits &Limits) {
  UpstreamLoad Load = sum(State.OwnLoad, State.PeerLoad);
  if (!Query.Engine || Load.PendingTokens == 0)
    return false;
  Duration First = expectedFirstEvent(Load, Query.PromptTokens, *Query.Engine,
                                      State.Info.Pace);
  return toSeconds(First) > Limits.ObjectiveShare * toSeconds(Query.Objective);
}

// Returns how late an answer is expected at an upstream with Load, in seconds.
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
  UpstreamLoad Load; // with what is expected meanwhile
  double Score = 0;
  int Expected = 0; // requests of other entries meanwhile
};

// Returns the prompt tokens that are read while news of Age is under way.
double readMeanwhile(const EngineShape &Engine, Duration Age) {
  constexpr double ReadingPart = 0.5; // of the time; the rest goes to writing
  return Engine.PromptTokensPerSecond * toSeconds(Age) * ReadingPart;
}

// Returns the load of an upstream now, by news of ReportAge.
UpstreamLoad loadNow(const UpstreamState &State, const PlacementQuery &Query,
                     Duration ReportAge) {
  UpstreamLoad Load = State.PeerLoad;
  if (Query.Engine)
    Load.PendingTokens = std::max<std::int64_t>(
        Load.PendingTokens -
            std::llround(readMeanwhile(*Query.Engine, ReportAge)),
        0);
  return Load += State.OwnLoad;
}

// Returns the score of Each, and more the fuller it is: its last places may
// have been taken since the news.
double scoreByOldNews(const Candidate &Each, const PlacementQuery &Query,
                      const PlacementLimits &Limits) {
  double Taken = static_cast<double>(Each.Load.Running) /
                 std::max(Each.State->Info.Slots, 1);
  return score(*Each.State, Each.Load, Query, Limits) +
         toSeconds(Limits.OccupancyPenalty) * Taken * Taken;
}

bool isQuiet(const UpstreamBook &Book, const Upstream &Known,
             const PlacementQuery &Query) {
  return quietUntil(Book.Notices, lifeOf(Known)) > Query.NowWithSuspension;
}

bool mayTake(const UpstreamBook &Book, const UpstreamState &State,
             const PlacementQuery &Query, TimePoint Now) {
  const Upstream &Known = State.Info;
  if (isQuiet(Book, Known, Query))
    return false;
  if (State.OwnLoad.Running + State.PeerLoad.Running >=
      Known.Slots + Query.ExtraSlots)
    return false;
  if (readsTooMuch(State, Query, Book.Limits))
    return false;
  if (isCold(State, Query.ColdPerSecond, Now) &&
      (!mayWarm(Known.Key, Book.Limits, Query.ColdPerSecond) ||
       coldTokens(State, Query.ColdPerSecond, Book.Limits.Entries, Now) < 1))
    return false;
  // A stalled group moves nothing; a request is better off elsewhere or
  // waiting.
  return Now >= State.AvoidUntil || State.Avoid != AvoidReason::Stalled;
}

// Returns how long a request stays at an upstream with Load.
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

// Places of one kind and what fills them.
struct Occupancy {
  double Wanted = 0; // places that the entries fill
  int Own = 0;       // requests of this entry
  int All = 0;
};

// Returns how many places of an upstream the entries fill together: all but
// those for the requests that may come within the age of the news.
double wantedPlaces(const UpstreamState &State, const PlacementQuery &Query,
                    const PlacementLimits &Limits) {
  UpstreamLoad Full;
  Full.Running = State.Info.Slots;
  double Turnovers = toSeconds(Limits.ReportAge) /
                     std::max(holdingSeconds(State, Full, Query, Limits), 1e-3);
  double Free = Limits.FreeDeviations * std::sqrt(Full.Running * Turnovers);
  return std::max(Full.Running - Free, 1.0);
}

// Returns whether this entry fills its part of the places. Where news is old,
// entries that fill whatever place they see free overfill them together.
bool fillsItsPart(const Occupancy &Filled, const PlacementQuery &Query,
                  const PlacementLimits &Limits) {
  double Free = std::max(Filled.Wanted - Filled.All, 0.0);
  double Part = Query.DemandShare * (Filled.Wanted + Limits.Overbooking * Free);
  if (Query.Late)
    Part *= Limits.LateShare;
  return Filled.Own >= std::max(Part, 1.0);
}

// Takes what ends at Choice within Horizon off its loads. Returns how many
// requests come meanwhile: as many as end.
int passTime(std::vector<Candidate> &Choice, double Horizon,
             const PlacementQuery &Query, const PlacementLimits &Limits) {
  constexpr int Most = 256; // bounds the work of one placement
  double Ended = 0;
  for (Candidate &Each : Choice) {
    double Holding = holdingSeconds(*Each.State, Each.Load, Query, Limits);
    double Left = std::exp(-Horizon / std::max(Holding, 1e-3));
    double Ends = Each.Load.Running * (1 - Left);
    Each.Load.Running -= static_cast<int>(std::lround(Ends));
    Ended += Ends;
  }
  double Least = Limits.ManyEntries ? static_cast<double>(Choice.size()) : 0;
  return static_cast<int>(std::min<double>(std::max(Ended, Least), Most));
}

// Gives each of Meanwhile requests to the candidate that is best by then, and
// returns the candidate on which Query.Draw falls by their numbers.
const Candidate &chooseAmongOthers(std::vector<Candidate> &Choice,
                                   int Meanwhile, const PlacementQuery &Query,
                                   const PlacementLimits &Limits) {
  auto Worse = [](const Candidate *A, const Candidate *B) {
    return A->Score > B->Score;
  };
  // Of what they send, only the last prompts are unread yet.
  double Unread = static_cast<double>(Query.PromptTokens);
  if (Query.Engine)
    Unread *= std::min(
        Unread / std::max(readMeanwhile(*Query.Engine, Limits.ReportAge), 1.0),
        1.0);
  std::vector<Candidate *> Heap;
  Heap.reserve(Choice.size());
  for (Candidate &Each : Choice) {
    Each.Score = scoreByOldNews(Each, Query, Limits);
    Heap.push_back(&Each);
  }
  std::make_heap(Heap.begin(), Heap.end(), Worse);
  for (int Given = 0; Given < Meanwhile; ++Given) {
    std::pop_heap(Heap.begin(), Heap.end(), Worse);
    Candidate &Best = *Heap.back();
    ++Best.Expected;
    ++Best.Load.Running;
    Best.Load.PendingTokens += std::llround(Unread);
    Best.Score = scoreByOldNews(Best, Query, Limits);
    std::push_heap(Heap.begin(), Heap.end(), Worse);
  }
  double Left = Query.Draw * Meanwhile;
  for (const Candidate &Each : Choice) {
    Left -= Each.Expected;
    if (Left < 0)
      return Each;
  }
  return Choice.back();
}

} // namespace

InstanceLife lifeOf(const Upstream &Of) {
  return {Of.Key.Instance, Of.BornMilliseconds};
}

bool maySend(const UpstreamBook &Book, const UpstreamKey &Key,
             TimePoint NowWithSuspension) {
  auto Found = Book.Upstreams.find(Key);
  if (Found == Book.Upstreams.end())
    return false;
  InstanceLife Life = lifeOf(Found->second.Info);
  return !isLeaving(Book.Notices, Life) &&
         quietUntil(Book.Notices, Life) <= NowWithSuspension;
}

UpstreamLoad &operator+=(UpstreamLoad &Sum, const UpstreamLoad &Load) {
  Sum.Running += Load.Running;
  Sum.PendingTokens += Load.PendingTokens;
  Sum.StalledBy += Load.StalledBy;
  Sum.MovingBy += Load.MovingBy;
  return Sum;
}

UpstreamLoad &operator-=(UpstreamLoad &Sum, const UpstreamLoad &Load) {
  Sum.Running = std::max(Sum.Running - Load.Running, 0);
  Sum.PendingTokens =
      std::max<std::int64_t>(Sum.PendingTokens - Load.PendingTokens, 0);
  Sum.StalledBy = std::max(Sum.StalledBy - Load.StalledBy, 0);
  Sum.MovingBy = std::max(Sum.MovingBy - Load.MovingBy, 0);
  return Sum;
}

bool reportedStalled(const UpstreamLoad &Load) {
  return Load.StalledBy > Load.MovingBy;
}

bool reportedProgressing(const UpstreamLoad &Load) {
  return Load.MovingBy > Load.StalledBy;
}

Duration expectedFirstEvent(const UpstreamLoad &Load, std::int64_t PromptTokens,
                            const EngineShape &Engine, double Pace) {
  double Tokens = static_cast<double>(Load.PendingTokens + PromptTokens);
  double Passes = std::ceil(Tokens / static_cast<double>(Engine.TokensPerPass));
  double Seconds = Tokens / std::max(Engine.PromptTokensPerSecond, 1.0) +
                   std::max(Passes, 1.0) * writingSeconds(Load, Engine);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds * Pace));
}

Duration expectedGap(const UpstreamLoad &Load, const EngineShape &Engine,
                     double Pace) {
  auto Read = static_cast<double>(
      std::min<std::int64_t>(Load.PendingTokens, Engine.TokensPerPass));
  double Seconds = writingSeconds(Load, Engine) +
                   Read / std::max(Engine.PromptTokensPerSecond, 1.0);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds * Pace));
}

void updateUpstreams(UpstreamBook &Book, const std::vector<Upstream> &Usable) {
  std::set<UpstreamKey> Present;
  for (const Upstream &Each : Usable) {
    Present.insert(Each.Key);
    Book.Upstreams[Each.Key].Info = Each;
  }
  std::erase_if(Book.Upstreams, [&](const auto &Entry) {
    return !Present.contains(Entry.first);
  });
}

Placement place(const UpstreamBook &Book, const PlacementQuery &Query,
                TimePoint Now) {
  Placement Result;
  std::vector<Candidate> Choice;
  bool AllAvoided = true;
  int Quiet = 0;
  Occupancy Filled;
  bool Shared =
      Query.Engine && !Query.Begun && Book.Limits.ReportAge > Duration::zero();
  for (const auto &[Key, State] : Book.Upstreams) {
    const Upstream &Known = State.Info;
    if (Known.Service != Query.Service || Known.Model != Query.Model ||
        isLeaving(Book.Notices, lifeOf(Known)))
      continue;
    ++Result.Candidates;
    if (Shared)
      Filled.Wanted += wantedPlaces(State, Query, Book.Limits);
    Filled.Own += State.OwnLoad.Running;
    Filled.All += State.OwnLoad.Running + State.PeerLoad.Running;
    if (isQuiet(Book, Known, Query)) {
      TimePoint Until = quietUntil(Book.Notices, lifeOf(Known));
      Result.QuietUntil =
          Quiet == 0 ? Until : std::min(Result.QuietUntil, Until);
      ++Quiet;
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
      Choice.clear();
    AllAvoided = AllAvoided && Avoided;
    UpstreamLoad Load = loadNow(State, Query, Book.Limits.ReportAge);
    Choice.push_back({&State, Load, score(State, Load, Query, Book.Limits)});
  }
  if (Quiet > 0 && Quiet == Result.Candidates)
    Result.Reason = PlacementFailure::Quiet;
  if (Choice.empty() || (Shared && fillsItsPart(Filled, Query, Book.Limits)))
    return Result;
  double Horizon =
      Book.Limits.LevelingHorizon * toSeconds(Book.Limits.ReportAge);
  int Meanwhile =
      Horizon > 0 ? passTime(Choice, Horizon, Query, Book.Limits) : 0;
  const Candidate &Best =
      Meanwhile > 0
          ? chooseAmongOthers(Choice, Meanwhile, Query, Book.Limits)
          : *std::min_element(Choice.begin(), Choice.end(),
                              [](const Candidate &A, const Candidate &B) {
                                return A.Score < B.Score;
                              });
  Result.Chosen = Best.State->Info.Key;
  return Result;
}

void noteSent(UpstreamBook &Book, const UpstreamKey &Key,
              const PlacementQuery &Query, TimePoint Now) {
  auto Found = Book.Upstreams.find(Key);
  if (Found == Book.Upstreams.end())
    return;
  UpstreamState &State = Found->second;
  if (State.OwnLoad.Running == 0)
    State.LastProgress = Now;
  ++State.OwnLoad.Running;
  State.OwnLoad.PendingTokens += Query.PromptTokens;
  if (!isCold(State, Query.ColdPerSecond, Now))
    return;
  State.ColdTokens =
      coldTokens(State, Query.ColdPerSecond, Book.Limits.Entries, Now) - 1;
  State.ColdTokensAt = Now;
}

void noteEnded(UpstreamBook &Book, const UpstreamKey &Key, bool Failed) {
  auto Found = Book.Upstreams.find(Key);
  if (Found == Book.Upstreams.end())
    return;
  UpstreamState &State = Found->second;
  State.OwnLoad.Running = std::max(State.OwnLoad.Running - 1, 0);
  if (State.OwnLoad.Running == 0)
    State.OwnLoad.PendingTokens = 0;
  State.FailureShare +=
      FailureWeight * ((Failed ? 1.0 : 0.0) - State.FailureShare);
}

void noteProgress(UpstreamBook &Book, const UpstreamKey &Key, TimePoint Now) {
  auto Found = Book.Upstreams.find(Key);
  if (Found == Book.Upstreams.end())
    return;
  UpstreamState &State = Found->second;
  State.LastProgress = State.LastAnswerAt = Now;
  if (State.Avoid == AvoidReason::Stalled) {
    State.Avoid = AvoidReason::None;
    State.AvoidUntil = Now;
  }
}

bool groupMakesProgress(const UpstreamBook &Book, const Instance &Member,
                        TimePoint Now) {
  if (!Member.Group)
    return false;
  for (const auto &[Key, State] : Book.Upstreams) {
    if (Key.Epoch != Member.Group->Epoch ||
        State.Info.Model != modelOfGroup(Member.Group->Group))
      continue;
    return Now - State.LastAnswerAt <= ProgressMaxAge ||
           reportedProgressing(State.PeerLoad);
  }
  return false;
}

void avoidUpstream(UpstreamBook &Book, const UpstreamKey &Key,
                   AvoidReason Reason, TimePoint Until) {
  auto Found = Book.Upstreams.find(Key);
  if (Found == Book.Upstreams.end())
    return;
  Found->second.Avoid = Reason;
  Found->second.AvoidUntil = Until;
}

void noteFirstEvent(UpstreamBook &Book, const UpstreamKey &Key,
                    std::int64_t PromptTokens) {
  auto Found = Book.Upstreams.find(Key);
  if (Found == Book.Upstreams.end())
    return;
  std::int64_t &Pending = Found->second.OwnLoad.PendingTokens;
  Pending = std::max<std::int64_t>(Pending - PromptTokens, 0);
}

void noteGap(UpstreamBook &Book, const UpstreamKey &Key, Duration Observed,
             const EngineShape &Engine) {
  auto Found = Book.Upstreams.find(Key);
  if (Found == Book.Upstreams.end())
    return;
  UpstreamState &State = Found->second;
  double Expected = toSeconds(
      expectedGap(sum(State.OwnLoad, State.PeerLoad), Engine, State.Info.Pace));
  if (Expected <= 0)
    return;
  double Ratio =
      std::clamp(toSeconds(Observed) / Expected, 1.0, HighestSlowness);
  State.Slowness += SlownessWeight * (Ratio - State.Slowness);
}

void setPeerLoads(UpstreamBook &Book,
                  const std::map<UpstreamKey, UpstreamLoad> &Loads) {
  for (auto &[Key, State] : Book.Upstreams) {
    auto Found = Loads.find(Key);
    State.PeerLoad = Found == Loads.end() ? UpstreamLoad{} : Found->second;
  }
}

} // namespace samphirehill::serving
