// Chooses the upstream of a request. The candidates are two random upstreams of
// the entry's own zone, two of all zones if the better of these has no room,
// and the upstreams that probably hold a prefix of the prompt. The candidate
// with the lowest estimated time is chosen. The cost of a choice doesn't depend
// on the number of upstreams.
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
  double OtherZoneMs = 6;       // round trip to another zone
  double NoCreditMs = 20;       // to borrow a credit from the upstream's home
  double ColdFactor = 4;        // by which a cold upstream is slower
  double KvMoveMs = 10;         // to start a KV cache transfer
  double KvMoveMsPerBlock = 1;  // to transfer one block
};

struct RouteRequest {
  ServiceId Service;
  std::string Version;
  std::string Adapter;             // empty: none needed
  ZoneId Zone;                     // of this entry
  std::vector<PrefixHash> Prompt;  // by prefixHashes; empty for plain services
  std::vector<UpstreamId> Exclude; // upstreams that were tried before
  std::uint64_t Random = 0;        // a new uniform random number per choice
  TimePoint Now;
};

struct RouteChoice {
  UpstreamId Upstream;
  double ScoreMs = 0;
  double CachedBlocks = 0; // prompt blocks that the upstream probably holds
  // Set if copying KV cache from this upstream before the call takes less time
  // than computing the prefix again.
  UpstreamId MoveKvFrom;
};

// Chooses an upstream for Request. Returns nothing if no upstream may serve it.
std::optional<RouteChoice> route(const UpstreamTable &Table,
                                 const PrefixHints &Hints,
                                 const RouteRequest &Request,
                                 const RouteWeights &Weights = {});

// Returns the estimated time in ms until View has served a request from an
// entry in zone From, with PromptBlocks blocks of which View holds
// CachedBlocks.
double scoreOf(const UpstreamView &View, const ZoneId &From,
               double PromptBlocks, double CachedBlocks,
               const RouteWeights &Weights, TimePoint Now);

} // namespace samphirehill

#endif // SAMPHIREHILL_ROUTING_ROUTER_H
