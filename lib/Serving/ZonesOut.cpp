#include "samphirehill/Serving/ZonesOut.h"

#include <utility>

namespace samphirehill::serving {
namespace {

// Operators and instances have written again what the copy lacks within this
// time after the store was restored.
constexpr Duration RestoredGrace = seconds(2);

} // namespace

bool applyZonesOut(ZonesOut &Zones, std::set<ZoneId> Listed,
                   const StoreMark &Mark, TimePoint Now) {
  if (Mark < Zones.Mark)
    return false;
  bool Restored = Zones.Mark.Era != 0 && Mark.Era > Zones.Mark.Era;
  if (Restored) {
    for (const ZoneId &Each : Zones.Listed)
      Zones.HeldUntil[Each] = Now + RestoredGrace;
  }
  Zones.Listed = std::move(Listed);
  Zones.Mark = Mark;
  return true;
}

std::set<ZoneId> zonesInForce(const ZonesOut &Zones, TimePoint Now) {
  std::set<ZoneId> InForce = Zones.Listed;
  for (const auto &[Zone, Until] : Zones.HeldUntil) {
    if (Now < Until)
      InForce.insert(Zone);
  }
  return InForce;
}

} // namespace samphirehill::serving
