// The zones that operators have taken out of service, by the platform's store.
// No I/O.
#ifndef SAMPHIREHILL_SERVING_ZONESOUT_H
#define SAMPHIREHILL_SERVING_ZONESOUT_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/StoreEra.h"

#include <map>
#include <set>

namespace samphirehill::serving {

struct ZonesOut {
  std::set<ZoneId> Listed; // in the store, as of Mark
  StoreMark Mark;
  // Zones that were out before the store was restored from a copy, and are not
  // listed since. They stay out until then, as the operators write again what
  // the copy lacks.
  std::map<ZoneId, TimePoint> HeldUntil;
};

// Takes over the zones listed as of Mark. Returns false if a later list is
// known.
bool applyZonesOut(ZonesOut &Zones, std::set<ZoneId> Listed,
                   const StoreMark &Mark, TimePoint Now);

// Returns the zones that get no requests.
std::set<ZoneId> zonesInForce(const ZonesOut &Zones, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_ZONESOUT_H
