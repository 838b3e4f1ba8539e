#include "samphirehill/Routing/ZoneSpill.h"

#include <algorithm>

namespace samphirehill {
namespace {

// Share that spills over for each share of the own zone's places that is taken
// beyond the level. With 2, a zone with one and a half times the demand that
// it can serve sent its work away and back in turns.
constexpr double SpillGain = 1.5;

// Returns the share of the places that is taken. A zone without places is full.
double fillOf(const ZoneRoom &Room) {
  return Room.Places > 0 ? std::clamp(Room.Taken / Room.Places, 0.0, 1.0) : 1.0;
}

} // namespace

double spillShare(const ZoneRoom &Own, const ZoneRoom &Others,
                  const SpillSettings &Settings) {
  if (Own.Places <= 0)
    return Others.Places > 0 ? 1.0 : 0.0;
  double Level = std::max(Settings.Begin, fillOf(Others));
  return std::clamp((fillOf(Own) - Level) * SpillGain, 0.0, 1.0);
}

SpillChoice chooseZone(double Share, double Draw) {
  if (Draw < Share)
    return {true, Draw / Share};
  return {false, (Draw - Share) / std::max(1.0 - Share, 1e-9)};
}

} // namespace samphirehill
