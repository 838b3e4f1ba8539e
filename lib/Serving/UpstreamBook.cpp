#include "samphirehill/Serving/UpstreamBook.h"

#include "samphirehill/Core/Hash.h"
#include "samphirehill/Serving/UpstreamPacing.h"

#include <algorithm>
#include <cmath>

namespace samphirehill::serving {
namespace {

// Weight of the newest request in the moving average FailureShare.
constexpr double FailureWeight = 0.2;
// Weight of the newest observation in the moving average Slowness, and the
// upper bound of an observation.
constexpr double SlownessWeight = 0.08;
constexpr double HighestSlowness = 20.0;
// Burst size, in requests, of an entry's token bucket for a cold upstream.
constexpr double ColdBurst = 1.0;

// Returns how many requests this entry may send to a cold upstream at Now.
// PerSecond is the limit over all entries; the entries use half of it.
double coldTokens(const UpstreamState &State, double PerSecond, int Entries,
                  TimePoint Now) {
  double Elapsed = toSeconds(Now - State.ColdTokensAt);
  // The entries that may send share the rate.
  double Sharing = std::clamp(static_cast<double>(Entries), 1.0,
                              std::max(PerSecond / 2, 1.0));
  double Earned = Elapsed * PerSecond / 2 / Sharing;
  return std::min(ColdBurst, State.ColdTokens + std::max(Earned, 0.0));
}

// Returns whether this entry is one of those that may send to a cold upstream.
// See PlacementLimits::Others.
bool maySendToCold(const UpstreamKey &Key, const PlacementLimits &Limits,
                   double PerSecond) {
  auto Allowed = static_cast<std::ptrdiff_t>(PerSecond / 2);
  if (static_cast<std::ptrdiff_t>(Limits.Others.size()) < Allowed)
    return true;
  std::uint64_t OwnWeight =
      rendezvousWeight(Key.Instance.str(), Limits.Self.str());
  auto Before = std::count_if(
      Limits.Others.begin(), Limits.Others.end(), [&](const EntryId &Peer) {
        return rendezvousWeight(Key.Instance.str(), Peer.str()) > OwnWeight;
      });
  return Before < Allowed;
}

} // namespace

bool isCold(const UpstreamState &State, double PerSecond, TimePoint Now) {
  return PerSecond > 0 && Now < State.Info.ColdUntil;
}

bool mayTakeWhileCold(const UpstreamState &State, const PlacementLimits &Limits,
                      double PerSecond, TimePoint Now) {
  return maySendToCold(State.Info.Key, Limits, PerSecond) &&
         coldTokens(State, PerSecond, Limits.Entries, Now) >= 1;
}

UpstreamLoad totalLoad(const UpstreamState &State) {
  UpstreamLoad Sum = State.OwnLoad;
  return Sum += State.PeerLoad;
}

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

void updateUpstreams(UpstreamBook &Book, const std::vector<Upstream> &Usable) {
  std::set<UpstreamKey> Present;
  for (const Upstream &Each : Usable) {
    Present.insert(Each.Key);
    auto [Found, Added] = Book.Upstreams.try_emplace(Each.Key);
    Found->second.Info = Each;
    if (Added && Book.Listed)
      Found->second.FoundPace = startedPace(Book.Limits.Pace, Each.Slots);
  }
  Book.Listed = true;
  std::erase_if(Book.Upstreams, [&](const auto &Entry) {
    return !Present.contains(Entry.first);
  });
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
  countSent(State, Book.Limits, Now);
  noteSentByLimit(Book.Stated, lifeOf(State.Info), Now);
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
  double Expected =
      toSeconds(expectedGap(totalLoad(State), Engine, State.Info.Pace));
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
