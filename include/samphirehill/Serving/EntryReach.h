// What an entry knows about reaching upstreams: collects the evidence on which
// Limits/ServiceReach decides, and keeps what was decided. No I/O.
#ifndef SAMPHIREHILL_SERVING_ENTRYREACH_H
#define SAMPHIREHILL_SERVING_ENTRYREACH_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Limits/ServiceReach.h"
#include "samphirehill/Serving/PeerTable.h"
#include "samphirehill/Serving/UpstreamBook.h"

#include <map>
#include <string>
#include <vector>

namespace samphirehill::serving {

// Records that a connect or a request to Key got no sign of life.
void noteUnreached(UpstreamBook &Book, const UpstreamKey &Key, TimePoint Now);

// Records that an upstream in Zone has shown that it can be reached.
void noteReached(UpstreamBook &Book, const ZoneId &Zone, TimePoint Now);

// Adds to Book's own evidence the answers of its upstreams, and the reports
// that came directly from entries of each zone.
void collectEvidence(UpstreamBook &Book, const PeerTable &Peers);

// Returns the evidence that other entries of this entry's zone report.
std::map<ZoneId, ZoneEvidence> evidenceOfOwnZone(const PeerTable &Peers,
                                                 TimePoint Now);

// Returns how the upstreams of each kind can be reached. Rates holds the
// callers' requests per second.
std::map<ServiceModel, samphirehill::ServiceReach>
reachByService(const UpstreamBook &Book,
               const std::map<ServiceModel, double> &Rates);

// Decides anew which zones are cut off and whether this entry takes callers.
// Shared is the evidence of the other entries of its zone, OwnRates the rates
// of callers' requests at this entry. Returns whether anything has changed.
bool updateReach(UpstreamBook &Book,
                 const std::map<ZoneId, ZoneEvidence> &Shared,
                 const std::map<ServiceModel, double> &OwnRates, TimePoint Now);

// Returns one upstream of each zone that is cut off, chosen by Draw, a random
// number that is uniform in [0, 1). Whether it can be reached again is to be
// found out.
std::vector<Upstream> upstreamsToProbe(const UpstreamBook &Book, double Draw);

// Returns the names of the zones that are cut off, comma-separated.
std::string zonesCutOff(const UpstreamBook &Book);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_ENTRYREACH_H
