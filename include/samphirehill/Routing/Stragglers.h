// Detects stragglers: upstreams that are much slower than their peers at equal
// load. The result only affects the router's score; no upstream is replaced or
// taken out of service.
#ifndef SAMPHIREHILL_ROUTING_STRAGGLERS_H
#define SAMPHIREHILL_ROUTING_STRAGGLERS_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace samphirehill {

// An upstream is a straggler once its rate has been below half of the median of
// its peers for this long without interruption.
constexpr Duration StragglerDelay = seconds(10);
// The fewest peers at equal load whose median is used.
constexpr std::size_t MinStragglerPeers = 3;
// Upper bound of the factor, for upstreams whose rate is near 0.
constexpr double MaxStragglerFactor = 8.0;

// The rate and load of one upstream, from its last report.
struct UpstreamRate {
  UpstreamId Id;
  double TokensPerSecond = 0;
  std::int64_t Running = 0; // calls
};

// The state of detection among one set of peers.
struct Stragglers {
  // Since when the rate of an upstream has been below half of the median.
  std::map<UpstreamId, TimePoint> SlowSince;
};

// Returns the factor of each of Peers, in their order, for
// UpstreamTable::setStragglerFactor(): 1, or for a straggler the median rate of
// its peers divided by its own rate. Peers must be warm upstreams of one
// service and version. Two of them are at equal load if their numbers of calls
// differ by at most a quarter, or by one. If more than a quarter of the peers
// are slow, the cause is taken to be common to them and all factors are 1. Call
// it after each round of reports. An upstream that isn't in Peers loses its
// state.
std::vector<double> updateStragglers(Stragglers &State,
                                     const std::vector<UpstreamRate> &Peers,
                                     TimePoint Now);

} // namespace samphirehill

#endif // SAMPHIREHILL_ROUTING_STRAGGLERS_H
