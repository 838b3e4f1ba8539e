// Finds upstreams that are much slower than their peers at equal load, for the
// score of the router. It replaces nothing and takes nothing out of service.
#ifndef SAMPHIREHILL_ROUTING_STRAGGLERS_H
#define SAMPHIREHILL_ROUTING_STRAGGLERS_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace samphirehill {

// An upstream counts as slow after its rate was under half of the median of its
// peers for this long without a break.
constexpr Duration StragglerDelay = seconds(10);
// Fewer peers at equal load than this give no median to judge by.
constexpr std::size_t MinStragglerPeers = 3;
// Bounds the factor of an upstream whose rate is near 0.
constexpr double MaxStragglerFactor = 8.0;

// What the last report of one upstream says.
struct UpstreamRate {
  UpstreamId Id;
  double TokensPerSecond = 0;
  std::int64_t Running = 0;
};

// Since when each upstream of one set of peers is slow.
struct Stragglers {
  std::map<UpstreamId, TimePoint> SlowSince;
};

// Returns the factor of each sample for UpstreamTable::setStragglerFactor(),
// in the samples' order: 1, or for a straggler the median of its peers over its
// own rate. Peers are warm upstreams of one service and version; those whose
// calls differ by at most a quarter, or by one, are at equal load. When more
// than a quarter of the peers look slow, the fault is common to them and all
// factors are 1. Call it after each round of reports; upstreams without a
// sample are forgotten.
std::vector<double> updateStragglers(Stragglers &State,
                                     const std::vector<UpstreamRate> &Peers,
                                     TimePoint Now);

} // namespace samphirehill

#endif // SAMPHIREHILL_ROUTING_STRAGGLERS_H
