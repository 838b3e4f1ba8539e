// The reports that entries exchange: the state of one entry, or a relay's
// summary of the entries of one or several zones. Also their encoding.
#ifndef SAMPHIREHILL_SERVING_ENTRYREPORT_H
#define SAMPHIREHILL_SERVING_ENTRYREPORT_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Groups/DemandPlan.h"
#include "samphirehill/Limits/FairShare.h"
#include "samphirehill/Limits/PartSuspects.h"
#include "samphirehill/Limits/ServiceReach.h"
#include "samphirehill/Serving/CrashRecord.h"
#include "samphirehill/Serving/Fleet.h"
#include "samphirehill/Serving/ListChanges.h"
#include "samphirehill/Serving/StatedLimits.h"
#include "samphirehill/Serving/StoreEra.h"
#include "samphirehill/Serving/UpstreamBook.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphirehill::serving {

struct EntryReport {
  EntryId Entry;        // in a summary: the relay that made it
  Incarnation Life = 0; // of the entry's process
  std::uint64_t Sequence = 0;
  ZoneId Zone; // empty in a summary of several zones
  std::int64_t ConfigurationVersion = 0;
  std::map<UpstreamKey, UpstreamLoad> Loads;
  std::vector<BreakOff> BreakOffs; // SeenAt on the receiver's clock
  // The term of the group duty's lease that the sender holds, or 0, and the
  // number of its last renewal.
  std::int64_t DutyTerm = 0;
  std::int64_t DutyRenewal = 0;
  // Instances, unlisted or asked about, that answered just now.
  std::set<InstanceId> Reached;
  // From the holder of the group duty: unlisted heads that it can't reach. Each
  // entry tries to reach them, even if its own list still contains them.
  std::set<InstanceId> Asked;
  // The instances asked about that can't be reached, and by how many entries.
  std::map<InstanceId, int> Denials;
  int Entries = 1; // that the report speaks for; 0: a version without denials
  // In a summary: the entries whose reports are included, with the sequence
  // numbers of those reports.
  std::map<EntryId, std::uint64_t> Included;
  // The store's era as the sender knows it; 0: the store names none.
  std::int64_t StoreEra = 0;
  // The revision in that era up to which the sender's list of instances is
  // complete now, or 0 if the sender does not follow the store; and the list's
  // digest.
  std::int64_t ListRevision = 0;
  std::uint64_t ListDigest = 0;
  // From a relay: recent changes of the list.
  std::vector<ListChange> Changes;
  // Zones out of service, as of a revision of the platform's store.
  std::set<ZoneId> ZonesOut;
  StoreMark ZonesOutMark;
  // In a summary of several zones: the zones that it includes.
  std::set<ZoneId> SummedZones;
  // Requests per second that callers send, by the upstreams that may serve
  // them.
  std::map<ServiceModel, double> Demands;
  WorkAsked Work;
  // Work of organisations, by the kind of place.
  std::map<ServiceModel, WorkByClaim> ClaimedPlaces;
  SuspectReport Suspects;
  // When the sender, or the entries of its zone, reached the zones. Empty in a
  // summary of several zones.
  std::map<ZoneId, ZoneEvidence> Reach;
  // The newest statement of each instance that states a limit, or did so a
  // while ago.
  std::vector<LimitNews> Limits;

  bool operator==(const EntryReport &) const = default;
};

// The content of one datagram.
struct EntryMessage {
  EntryReport Own;                    // of the sender
  std::vector<EntryReport> Summaries; // of zones, from a relay

  bool operator==(const EntryMessage &) const = default;
};

// Encodes Message. Points in time are sent as ages at Now.
std::string encodeMessage(const EntryMessage &Message, TimePoint Now);
// Decodes a message that arrived at Now. Returns nothing if Bytes aren't a
// message.
std::optional<EntryMessage> decodeMessage(const std::string &Bytes,
                                          TimePoint Now);

// Adds Report to the summary Sum and lists its entry in Sum.Included.
void addToSummary(EntryReport &Sum, const EntryReport &Report);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_ENTRYREPORT_H
