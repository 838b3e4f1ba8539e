// What entries tell each other: one entry's state, or a relay's summary of the
// entries of its zone, and its form on the wire.
#ifndef SAMPHIREHILL_SERVING_ENTRYREPORT_H
#define SAMPHIREHILL_SERVING_ENTRYREPORT_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/CrashRecord.h"
#include "samphirehill/Serving/Fleet.h"
#include "samphirehill/Serving/ListChanges.h"
#include "samphirehill/Serving/UpstreamBook.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphirehill::serving {

struct EntryReport {
  EntryId Entry; // of a summary: the relay
  Incarnation Life = 0;
  std::uint64_t Sequence = 0;
  ZoneId Zone;
  std::int64_t ConfigurationVersion = 0;
  std::map<UpstreamKey, UpstreamLoad> Loads;
  std::vector<BreakOff> BreakOffs; // SeenAt on the receiver's clock
  std::int64_t DutyTerm = 0;       // 0: holds no duty
  std::int64_t DutyRenewal = 0;
  std::set<InstanceId> Reached; // unlisted instances that answered just now
  // Of a summary: the entries that it sums up, with their sequence.
  std::map<EntryId, std::uint64_t> Included;
  // The revision up to which the sender's list of instances follows the
  // platform's store now, or 0, and the list's digest.
  std::int64_t ListRevision = 0;
  std::uint64_t ListDigest = 0;
  // Recent changes of the list; relays tell them.
  std::vector<ListChange> Changes;
  // Zones out of service, as of a revision of the platform's store.
  std::set<ZoneId> ZonesOut;
  std::int64_t ZonesOutRevision = 0;
  // Of a summary of several zones: those that it sums up.
  std::set<ZoneId> SummedZones;
  // Requests that callers ask for a second, by the places that may serve them.
  std::map<ServiceModel, double> Demands;

  bool operator==(const EntryReport &) const = default;
};

// One datagram.
struct EntryMessage {
  EntryReport Own;
  std::vector<EntryReport> Summaries; // of zones, from a relay

  bool operator==(const EntryMessage &) const = default;
};

std::string encodeMessage(const EntryMessage &Message, TimePoint Now);
// Returns nothing if Bytes aren't a message.
std::optional<EntryMessage> decodeMessage(const std::string &Bytes,
                                          TimePoint Now);

// Adds Report to Sum and counts its entry as included.
void addToSummary(EntryReport &Sum, const EntryReport &Report);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_ENTRYREPORT_H
