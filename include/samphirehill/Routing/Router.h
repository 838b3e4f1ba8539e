// Chooses the upstream of a request. Two random candidates of the entry's own
// zone, or of all zones when the own zone has none with room, and the upstreams
// that probably hold the prompt's prefix are scored; the lowest estimated time
// wins. The cost does not depend on the number of upstreams.
#ifndef SAMPHIREHILL_ROUTING_ROUTER_H
#define SAMPHIREHILL_ROUTING_ROUTER_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Routing/PrefixHints.h"
#include "samphirehill/Routing/UpstreamView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphirehill {

// Estimated times that make up a score, in milliseconds.
struct RouteWeights {
  double CallMs = 1000;         // one call on a warm upstream
  double PrefillMsPerBlock = 8; // to compute one prompt block
  double OtherZoneMs = 6;       // both ways to another zone
  double NoCreditMs = 20;       // to borrow a credit from the home
  double ColdFactor = 4;        // a cold upstream is this much slower
  double KvMoveMs = 10;         // to start a KV cache transfer
  double KvMoveMsPerBlock = 1;  // to transfer one block
};

struct RouteRequest {
  ServiceId Service;
  std::string Version;
  std::string Adapter;             // empty: none needed
  ZoneId Zone;                     // of this entry
  std::vector<PrefixHash> Prompt;  // empty for plain services
  std::vector<UpstreamId> Exclude; // tried before
  std::uint64_t Random = 0;        // a fresh uniform number per decision
  TimePoint Now;
};

struct RouteChoice {
  UpstreamId Upstream;
  double ScoreMs = 0;
  double CachedBlocks = 0; // that the upstream probably holds
  // Set when copying KV cache from this upstream before the call costs less
  // than computing the prefix again.
  UpstreamId MoveKvFrom;
};

// Returns the choice, or nothing when no upstream may serve Request.
std::optional<RouteChoice> route(const UpstreamTable &Table,
                                 const PrefixHints &Hints,
                                 const RouteRequest &Request,
                                 const RouteWeights &Weights = {});

// Returns the estimated time in ms until View has served a request of
// PromptBlocks blocks of which it holds CachedBlocks.
double scoreOf(const UpstreamView &View, const ZoneId &From,
               double PromptBlocks, double CachedBlocks,
               const RouteWeights &Weights, TimePoint Now);

} // namespace samphirehill

#endif // SAMPHIREHILL_ROUTING_ROUTER_H
