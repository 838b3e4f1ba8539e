// Decides how much of a zone's work goes to other zones. Work stays in the zone
// of its caller while the upstreams there are as good for the caller, and
// spills over to other zones as they fill. No I/O.
#ifndef SAMPHIREHILL_ROUTING_ZONESPILL_H
#define SAMPHIREHILL_ROUTING_ZONESPILL_H

#include <compare>

namespace samphirehill {

// Places for requests of one kind, in one or several zones.
struct ZoneRoom {
  double Places = 0; // that may be filled
  double Taken = 0;  // by requests in progress, over all entries

  auto operator<=>(const ZoneRoom &) const = default;
};

struct SpillSettings {
  // Share of the own zone's places up to which all work stays there. Above it,
  // requests that other entries send before their next reports could fill the
  // zone.
  double Begin = 0.6;
};

// Returns the share of the requests of a zone with room Own that should be sent
// to other zones, which have room Others together; 0 to 1. It is 0 where Own is
// no fuller than Others or than SpillSettings::Begin, and grows in proportion
// to what it is fuller. All entries of a zone decide by the same late reports:
// a share that followed them in large steps would send all work away and back
// in turns. Upstreams that are full are no candidates for a placement, so it
// need not reach 1.
double spillShare(const ZoneRoom &Own, const ZoneRoom &Others,
                  const SpillSettings &Settings);

// Where one request goes.
struct SpillChoice {
  bool ToOtherZone = false;
  double Draw = 0; // for a further choice, uniform in [0, 1)

  auto operator<=>(const SpillChoice &) const = default;
};

// Chooses by Draw, a random number that is uniform in [0, 1): another zone with
// probability Share.
SpillChoice chooseZone(double Share, double Draw);

} // namespace samphirehill

#endif // SAMPHIREHILL_ROUTING_ZONESPILL_H
