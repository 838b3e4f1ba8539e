#include "samphirehill/Routing/Router.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>

namespace samphirehill {
namespace {

using Slot = UpstreamTable::Slot;

// Random tries for a candidate that isn't excluded, before the list is searched
// in order.
constexpr int MaxTries = 8;

bool isExcluded(const UpstreamView &View, const RouteRequest &Request) {
  return std::find(Request.Exclude.begin(), Request.Exclude.end(),
                   View.Info.Id) != Request.Exclude.end();
}

// Returns whether View may serve Request. Prefix hints name upstreams of any
// service, version and state.
bool canServe(const UpstreamTable &Table, const UpstreamView &View,
              const RouteRequest &Request) {
  const UpstreamInfo &Info = View.Info;
  return Table.isEligible(View) && Info.Service == Request.Service &&
         Info.Version == Request.Version &&
         (Request.Adapter.empty() ||
          std::find(Info.Adapters.begin(), Info.Adapters.end(),
                    Request.Adapter) != Info.Adapters.end()) &&
         !isExcluded(View, Request);
}

// The best candidate so far.
struct Best {
  const UpstreamView *View = nullptr;
  double Score = 0;  // ms
  double Cached = 0; // prompt blocks that it probably holds
};

// Scores candidates for one request and keeps the best.
class Chooser {
public:
  Chooser(const UpstreamTable &Table, const RouteRequest &Request,
          const RouteWeights &Weights)
      : Table(Table), Request(Request), Weights(Weights), Seed(Request.Random) {
  }

  void consider(const UpstreamView &View, double Cached) {
    double Score =
        scoreOf(View, Request.Zone, static_cast<double>(Request.Prompt.size()),
                Cached, Weights, Request.Now);
    if (!Chosen.View || Score < Chosen.Score)
      Chosen = Best{&View, Score, Cached};
  }

  // Scores two different random members of From that aren't excluded, or as
  // many as there are.
  void considerTwo(const std::vector<Slot> &From) {
    const UpstreamView *First = pick(From, nullptr);
    if (!First)
      return;
    consider(*First, cachedBy(*First));
    if (const UpstreamView *Second = pick(From, First))
      consider(*Second, cachedBy(*Second));
  }

  // Returns the number of prompt blocks that View probably holds.
  double cachedBy(const UpstreamView &View) const {
    for (const PrefixCandidate &Holder : Holders)
      if (Holder.Upstream == View.Info.Id)
        return Holder.Blocks;
    return 0;
  }

  std::vector<PrefixCandidate> Holders;
  Best Chosen;

private:
  // Returns a random member of From that isn't excluded and isn't Except, or
  // nullptr if there is none.
  const UpstreamView *pick(const std::vector<Slot> &From,
                           const UpstreamView *Except) {
    if (From.empty())
      return nullptr;
    std::size_t Position = 0;
    for (int Tries = 0; Tries < MaxTries; ++Tries) {
      Seed = combineHashes(Seed, static_cast<std::uint64_t>(Tries) + 1);
      Position = Seed % From.size();
      const UpstreamView &View = Table.at(From[Position]);
      if (&View != Except && !isExcluded(View, Request))
        return &View;
    }
    for (std::size_t I = 0; I < From.size(); ++I) {
      const UpstreamView &View = Table.at(From[(Position + I) % From.size()]);
      if (&View != Except && !isExcluded(View, Request))
        return &View;
    }
    return nullptr;
  }

  const UpstreamTable &Table;
  const RouteRequest &Request;
  const RouteWeights &Weights;
  std::uint64_t Seed;
};

// Returns the upstream from which a transfer of KV cache to the chosen one
// costs less than computing the prefix again, or an empty id.
UpstreamId kvSource(const Best &Chosen, const UpstreamTable &Table,
                    const std::vector<PrefixCandidate> &Holders,
                    const RouteWeights &Weights) {
  for (const PrefixCandidate &Holder : Holders) {
    const UpstreamView *From = Table.find(Holder.Upstream);
    double Gained = Holder.Blocks - Chosen.Cached;
    if (!From || From == Chosen.View || Gained <= 0)
      continue;
    bool OtherZone = From->Info.Zone != Chosen.View->Info.Zone;
    double Cost = Weights.KvMoveMs + Weights.KvMoveMsPerBlock * Holder.Blocks +
                  (OtherZone ? Weights.OtherZoneMs : 0);
    if (Cost < Gained * Weights.PrefillMsPerBlock)
      return Holder.Upstream;
  }
  return UpstreamId();
}

// Returns whether a call would neither queue nor wait for a borrowed credit.
bool hasRoom(const UpstreamView &View, TimePoint Now) {
  return View.Credits > 0 && !View.Cold &&
         estimatedCalls(View, Now) < static_cast<double>(View.Info.Slots);
}

} // namespace

double scoreOf(const UpstreamView &View, const ZoneId &From,
               double PromptBlocks, double CachedBlocks,
               const RouteWeights &Weights, TimePoint Now) {
  double Slots =
      static_cast<double>(std::max<std::int64_t>(1, View.Info.Slots));
  double Load = estimatedCalls(View, Now) / Slots;
  double Speed = View.StragglerFactor * (View.Cold ? Weights.ColdFactor : 1.0);
  double Prefill =
      std::max(0.0, PromptBlocks - CachedBlocks) * Weights.PrefillMsPerBlock;
  double Score = Speed * (Weights.CallMs * Load + Prefill);
  if (View.Info.Zone != From)
    Score += Weights.OtherZoneMs;
  if (View.Credits <= 0)
    Score += Weights.NoCreditMs;
  return Score;
}

std::optional<RouteChoice> route(const UpstreamTable &Table,
                                 const PrefixHints &Hints,
                                 const RouteRequest &Request,
                                 const RouteWeights &Weights) {
  const UpstreamTable::Bucket *Bucket =
      Table.findBucket(Request.Service, Request.Version, Request.Adapter);
  if (!Bucket)
    return std::nullopt;
  Chooser Choose(Table, Request, Weights);
  if (!Request.Prompt.empty())
    Choose.Holders = Hints.candidates(Request.Prompt);
  auto Own = Bucket->ByZone.find(Request.Zone);
  if (Own != Bucket->ByZone.end())
    Choose.considerTwo(Own->second);
  if (!Choose.Chosen.View || !hasRoom(*Choose.Chosen.View, Request.Now))
    Choose.considerTwo(Bucket->All);
  for (const PrefixCandidate &Holder : Choose.Holders) {
    const UpstreamView *View = Table.find(Holder.Upstream);
    if (View && canServe(Table, *View, Request))
      Choose.consider(*View, Holder.Blocks);
  }
  const Best &Chosen = Choose.Chosen;
  if (!Chosen.View)
    return std::nullopt;
  return RouteChoice{Chosen.View->Info.Id, Chosen.Score, Chosen.Cached,
                     kvSource(Chosen, Table, Choose.Holders, Weights)};
}

} // namespace samphirehill
