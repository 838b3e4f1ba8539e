// Decides which zones an entry reaches, and whether an entry should take
// callers. An entry whose zone is cut off, and whose own zone can't serve its
// callers, is of use to them only by saying so: the load balancer then takes
// them to another zone. No I/O; time comes from the caller.
#ifndef SAMPHIREHILL_LIMITS_SERVICEREACH_H
#define SAMPHIREHILL_LIMITS_SERVICEREACH_H

#include "samphirehill/Core/Time.h"

#include <compare>
#include <vector>

namespace samphirehill {

// When a zone was last reached, and last not reached, from one entry or from
// several entries of one zone. A time point of zero means never.
struct ZoneEvidence {
  TimePoint HeardAt{};    // a report of an entry there arrived
  TimePoint AnsweredAt{}; // an upstream there sent something
  TimePoint FailedAt{};   // a connect or a request there got no sign of life

  auto operator<=>(const ZoneEvidence &) const = default;
};

// Returns the newest evidence of both. The order in which evidence is merged,
// and how often, doesn't matter.
ZoneEvidence merge(const ZoneEvidence &A, const ZoneEvidence &B);

struct ReachSettings {
  // A zone counts as cut off if nothing has come from there for this long.
  // Reports come every 200 ms through two relays, and a relay that has failed
  // is replaced after 700 ms.
  Duration SilenceLimit = milliseconds(700);
  // The load balancer takes an entry out of rotation after two probes that
  // fail, one second apart. Callers that return later reach another zone.
  Duration RotationTime = milliseconds(2'100);
  // An entry that has become ready stays ready for at least this long.
  Duration MinReadyTime = seconds(2);
};

// Returns whether the zone is cut off: something was sent there in vain since
// the last sign of life, and that was long ago. Silence alone proves nothing,
// as the entries there may have ended while the upstreams serve. A zone no
// entry of which has ever been heard isn't judged: no more than single
// upstreams there may have failed.
bool isCutOff(const ZoneEvidence &Evidence, const ReachSettings &Settings,
              TimePoint Now);

// The upstreams of one kind, as seen from one entry.
struct ServiceReach {
  double PerSecond = 0; // callers' requests at the entries that are heard
  int Upstreams = 0;    // in all zones
  int InReach = 0;      // of these: in zones that aren't cut off

  auto operator<=>(const ServiceReach &) const = default;
};

// Returns whether an entry serves its callers: most of their requests are for
// services that have an upstream in reach. A service without any upstream
// doesn't count, as other zones can't serve it either.
bool servesCallers(const std::vector<ServiceReach> &Services);

// Whether an entry takes callers, and since when.
struct Readiness {
  bool Ready = true;
  TimePoint Since{};

  auto operator<=>(const Readiness &) const = default;
};

// Returns the readiness at Now of an entry that was Before and that now Serves
// its callers or doesn't.
Readiness nextReadiness(const Readiness &Before, bool Serves,
                        const ReachSettings &Settings, TimePoint Now);

// Returns after what time a caller should return that this entry can't serve:
// when the load balancer no longer sends it here, but within half of its
// TimeLeft.
Duration returnAfterRotation(const Readiness &State,
                             const ReachSettings &Settings, Duration TimeLeft,
                             TimePoint Now);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_SERVICEREACH_H
