// Finds stragglers, which are engines that are much slower than their peers,
// and limits how many of them are replaced at once.
#ifndef SAMPHIREHILL_GROUPS_STRAGGLERS_H
#define SAMPHIREHILL_GROUPS_STRAGGLERS_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <map>
#include <set>
#include <vector>

namespace samphirehill {

// An engine is slow if its rate is below this fraction of the median rate of
// equally loaded engines.
constexpr double SlowRateFraction = 0.5;
// An engine that is slow without interruption for this long is a straggler.
constexpr Duration SlowTime = seconds(10);
// At most one in this many engines is replaced at once. The limit is never
// below one engine.
constexpr int ReplacedOneIn = 10;
// If more than one in this many engines is a straggler, the fault is taken to
// be common to all of them and no engine is replaced.
constexpr int CommonFaultOneIn = 4;
// Fewest engines, the examined engine included, that are compared by their
// median. The median of fewer says little about which engine is slow.
constexpr int MinPeers = 4;

// The rate of one engine of a service.
struct RateSample {
  InstanceId Name;
  double TokensPerSecond = 0;
  int Running = 0; // requests; an engine with none is skipped
};

struct StragglerState {
  std::map<InstanceId, TimePoint> SlowSince; // of the engines that are slow
};

// Returns the stragglers at Now, from the latest samples of all engines of one
// service. Engines have equal load when their floor(log2(Running)) is equal. An
// engine with fewer than MinPeers - 1 peers of equal load is compared by its
// rate per running request with all engines that have requests.
std::set<InstanceId> findStragglers(StragglerState &State,
                                    const std::vector<RateSample> &Samples,
                                    TimePoint Now);

// Returns which stragglers to replace now. Engines is the number of all engines
// and Replacing the number of engines already being replaced. Chooses in the
// order of ids up to the limit by ReplacedOneIn. Returns none if more than one
// in CommonFaultOneIn is a straggler.
std::set<InstanceId> stragglersToReplace(const std::set<InstanceId> &Stragglers,
                                         int Engines, int Replacing);

} // namespace samphirehill

#endif // SAMPHIREHILL_GROUPS_STRAGGLERS_H
