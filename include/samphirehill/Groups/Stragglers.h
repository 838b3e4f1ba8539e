// Finds engines that are much slower than their peers, and bounds how many are
// replaced at once.
#ifndef SAMPHIREHILL_GROUPS_STRAGGLERS_H
#define SAMPHIREHILL_GROUPS_STRAGGLERS_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <map>
#include <set>
#include <vector>

namespace samphirehill {

// A rate under this part of the median of equally loaded peers is slow.
constexpr double SlowRateFraction = 0.5;
// An engine that is slow for this long without a break is a straggler.
constexpr Duration SlowTime = seconds(10);
// At most one in this many is replaced at once, but never fewer than one.
constexpr int ReplacedOneIn = 10;
// If more than one in this many is slow, the fault is common to all of them
// and none is replaced.
constexpr int CommonFaultOneIn = 4;
// The median of fewer peers says little about which one is slow.
constexpr int MinPeers = 4;

// One measurement of an engine of a service.
struct RateSample {
  InstanceId Name;
  double TokensPerSecond = 0;
  int Running = 0; // requests; engines without any are not judged
};

struct StragglerState {
  std::map<InstanceId, TimePoint> SlowSince;
};

// Takes the latest samples of all engines of one service and returns the
// stragglers at Now. Engines have equal load when floor(log2(Running)) is
// equal; an engine with fewer than MinPeers - 1 peers of equal load is
// compared with all loaded engines by rate per running request.
std::set<InstanceId> findStragglers(StragglerState &State,
                                    const std::vector<RateSample> &Samples,
                                    TimePoint Now);

// Returns which stragglers to replace now out of Engines engines in all, while
// Replacing are being replaced already: the ids in order, up to the bound;
// none if so many are slow that the fault is common.
std::set<InstanceId> stragglersToReplace(const std::set<InstanceId> &Stragglers,
                                         int Engines, int Replacing);

} // namespace samphirehill

#endif // SAMPHIREHILL_GROUPS_STRAGGLERS_H
