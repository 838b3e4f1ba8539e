#include "samphirehill/Serving/UpstreamBook.h"

#include <algorithm>

namespace samphirehill::serving {
namespace {

// Weight of the newest request in the share of failures.
constexpr double FailureWeight = 0.2;
// Requests that one entry may send a cold upstream at once.
constexpr double ColdBurst = 1.0;

// Returns the requests that may be sent to a cold upstream at Now.
double coldTokens(const UpstreamState &State, double PerSecond, int Entries,
                  TimePoint Now) {
  double Elapsed = toSeconds(Now - State.ColdTokensAt);
  double Earned = Elapsed * PerSecond / std::max(Entries, 1);
  return std::min(ColdBurst, State.ColdTokens + std::max(Earned, 0.0));
}

bool isCold(const UpstreamState &State, double PerSecond, TimePoint Now) {
  return PerSecond > 0 && Now < State.Known.ColdUntil;
}

double score(const UpstreamState &State, const PlacementQuery &Query,
             const PlacementLimits &Limits) {
  double Load = State.Running + State.RunningElsewhere + 1.0;
  double Score = Load / std::max(State.Known.Slots, 1);
  if (State.Known.Zone != Query.OwnZone)
    Score += Limits.OtherZonePenalty;
  return Score + Limits.FailurePenalty * State.FailureShare;
}

} // namespace

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
    if (State.Running + State.RunningElsewhere >=
        Known.Slots + Query.ExtraSlots)
      continue;
    if (isCold(State, Query.ColdPerSecond, Now) &&
        coldTokens(State, Query.ColdPerSecond, Book.Limits.Entries, Now) < 1)
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

void noteSent(UpstreamBook &Book, const UpstreamKey &Key, double ColdPerSecond,
              TimePoint Now) {
  auto Found = Book.Upstreams.find(Key);
  if (Found == Book.Upstreams.end())
    return;
  UpstreamState &State = Found->second;
  if (State.Running == 0)
    State.LastProgress = Now;
  ++State.Running;
  if (!isCold(State, ColdPerSecond, Now))
    return;
  State.ColdTokens =
      coldTokens(State, ColdPerSecond, Book.Limits.Entries, Now) - 1;
  State.ColdTokensAt = Now;
}

void noteEnded(UpstreamBook &Book, const UpstreamKey &Key, bool Failed) {
  auto Found = Book.Upstreams.find(Key);
  if (Found == Book.Upstreams.end())
    return;
  UpstreamState &State = Found->second;
  State.Running = std::max(State.Running - 1, 0);
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

void setRunningElsewhere(UpstreamBook &Book,
                         const std::map<UpstreamKey, int> &Running) {
  for (auto &[Key, State] : Book.Upstreams) {
    auto Found = Running.find(Key);
    State.RunningElsewhere = Found == Running.end() ? 0 : Found->second;
  }
}

} // namespace samphirehill::serving
