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
  return PerSecond > 0 && Now < State.Known.ColdUntil;
}

UpstreamLoad sum(const UpstreamLoad &Left, const UpstreamLoad &Right) {
  return {Left.Running + Right.Running,
          Left.PendingTokens + Right.PendingTokens};
}

// Time of one pass over all running requests, without reading.
double writingSeconds(const UpstreamLoad &Load, const EngineShape &Engine) {
  return Engine.EventSteps * (toSeconds(Engine.Step) +
                              toSeconds(Engine.StepPerRequest) * Load.Running);
}

// Returns how late the first event is expected, in seconds, and more where the
// whole answer is not expected in time.
double generationScore(const UpstreamState &State, const PlacementQuery &Query,
                       const PlacementLimits &Limits) {
  UpstreamLoad Load = sum(State.Own, State.Elsewhere);
  double Pace = State.Known.Pace;
  double First = toSeconds(
      expectedFirstEvent(Load, Query.PromptTokens, *Query.Engine, Pace));
  ++Load.Running;
  Load.PendingTokens = Query.Engine->TokensPerPass / 2;
  double Events = static_cast<double>(Query.OutputTokens) /
                  std::max(Query.Engine->EventSteps, 1);
  double Whole =
      First + Events * toSeconds(expectedGap(Load, *Query.Engine, Pace));
  bool InTime =
      Whole * State.Slowness <= Limits.AnswerPart * toSeconds(Query.TimeLeft);
  return InTime ? First : First + Whole;
}

// Whether prompts wait at the upstream for longer than the objective allows.
bool readsTooMuch(const UpstreamState &State, const PlacementQuery &Query,
                  const PlacementLimits &Limits) {
  UpstreamLoad Load = sum(State.Own, State.Elsewhere);
  if (!Query.Engine || Load.PendingTokens == 0)
    return false;
  Duration First = expectedFirstEvent(Load, Query.PromptTokens, *Query.Engine,
                                      State.Known.Pace);
  return toSeconds(First) > Limits.ObjectivePart * toSeconds(Query.Objective);
}

// Returns how late an answer is expected, in seconds.
double score(const UpstreamState &State, const PlacementQuery &Query,
             const PlacementLimits &Limits) {
  UpstreamLoad Load = sum(State.Own, State.Elsewhere);
  double Score = 0;
  if (Query.Engine)
    Score = State.Slowness * generationScore(State, Query, Limits);
  else
    Score = toSeconds(Limits.PlainWork) * (Load.Running + 1) /
            std::max(State.Known.Slots, 1);
  if (State.Known.Zone != Query.OwnZone)
    Score += toSeconds(Limits.OtherZonePenalty);
  return Score + toSeconds(Limits.FailurePenalty) * State.FailureShare;
}

} // namespace

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
    Book.Upstreams[Each.Key].Known = Each;
  }
  std::erase_if(Book.Upstreams, [&](const auto &Entry) {
    return !Present.contains(Entry.first);
  });
}

Placement place(const UpstreamBook &Book, const PlacementQuery &Query,
                TimePoint Now) {
  Placement Result;
  double Best = 0;
  bool BestAvoided = false;
  for (const auto &[Key, State] : Book.Upstreams) {
    const Upstream &Known = State.Known;
    if (Known.Service != Query.Service || Known.Model != Query.Model)
      continue;
    ++Result.Candidates;
    if (Query.Tried.contains(Key))
      continue;
    Result.Reason = NoPlace::Full;
    if (State.Own.Running + State.Elsewhere.Running >=
        Known.Slots + Query.ExtraSlots)
      continue;
    if (readsTooMuch(State, Query, Book.Limits))
      continue;
    if (isCold(State, Query.ColdPerSecond, Now) &&
        (!mayWarm(Key, Book.Limits, Query.ColdPerSecond) ||
         coldTokens(State, Query.ColdPerSecond, Book.Limits.Entries, Now) < 1))
      continue;
    bool Avoided = Now < State.AvoidUntil;
    // A stalled group moves nothing; a request is better off elsewhere or
    // waiting.
    if (Avoided && State.Avoid == AvoidReason::Stalled)
      continue;
    double Score = score(State, Query, Book.Limits);
    bool Better = !Result.Chosen || (BestAvoided && !Avoided) ||
                  (BestAvoided == Avoided && Score < Best);
    if (!Better)
      continue;
    Result.Chosen = Key;
    Best = Score;
    BestAvoided = Avoided;
  }
  return Result;
}

void noteSent(UpstreamBook &Book, const UpstreamKey &Key,
              const PlacementQuery &Query, TimePoint Now) {
  auto Found = Book.Upstreams.find(Key);
  if (Found == Book.Upstreams.end())
    return;
  UpstreamState &State = Found->second;
  if (State.Own.Running == 0)
    State.LastProgress = Now;
  ++State.Own.Running;
  State.Own.PendingTokens += Query.PromptTokens;
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
  State.Own.Running = std::max(State.Own.Running - 1, 0);
  if (State.Own.Running == 0)
    State.Own.PendingTokens = 0;
  State.FailureShare +=
      FailureWeight * ((Failed ? 1.0 : 0.0) - State.FailureShare);
}

void noteProgress(UpstreamBook &Book, const UpstreamKey &Key, TimePoint Now) {
  auto Found = Book.Upstreams.find(Key);
  if (Found == Book.Upstreams.end())
    return;
  UpstreamState &State = Found->second;
  State.LastProgress = Now;
  if (State.Avoid == AvoidReason::Stalled) {
    State.Avoid = AvoidReason::None;
    State.AvoidUntil = Now;
  }
}

void avoid(UpstreamBook &Book, const UpstreamKey &Key, AvoidReason Reason,
           TimePoint Until) {
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
  std::int64_t &Pending = Found->second.Own.PendingTokens;
  Pending = std::max<std::int64_t>(Pending - PromptTokens, 0);
}

void noteGap(UpstreamBook &Book, const UpstreamKey &Key, Duration Observed,
             const EngineShape &Engine) {
  auto Found = Book.Upstreams.find(Key);
  if (Found == Book.Upstreams.end())
    return;
  UpstreamState &State = Found->second;
  double Expected = toSeconds(
      expectedGap(sum(State.Own, State.Elsewhere), Engine, State.Known.Pace));
  if (Expected <= 0)
    return;
  double Ratio =
      std::clamp(toSeconds(Observed) / Expected, 1.0, HighestSlowness);
  State.Slowness += SlownessWeight * (Ratio - State.Slowness);
}

void setLoadElsewhere(UpstreamBook &Book,
                      const std::map<UpstreamKey, UpstreamLoad> &Loads) {
  for (auto &[Key, State] : Book.Upstreams) {
    auto Found = Loads.find(Key);
    State.Elsewhere = Found == Loads.end() ? UpstreamLoad{} : Found->second;
  }
}

} // namespace samphirehill::serving
