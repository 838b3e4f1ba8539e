// What this entry knows of the other entries, and whom it tells what. A few
// entries tell each other directly. Where there are more, each tells two relays
// of its zone; a relay sums up its zone, tells the sum to the relays of the
// other zones, and tells the entries that report to it that sum and one of all
// other zones. No I/O.
#ifndef SAMPHIREHILL_SERVING_PEERTABLE_H
#define SAMPHIREHILL_SERVING_PEERTABLE_H

#include "samphirehill/Config/Settings.h"
#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/EntryReport.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace samphirehill::serving {

struct PeerSettings {
  // Each entry tells its state this often.
  Duration Period = milliseconds(200);
  // Up to so many entries tell each other directly: an entry then sends at
  // most 60 datagrams a second.
  std::size_t MaxDirectEntries = 12;
  // Relays of a zone. A second one keeps loads known while the first fails.
  std::size_t RelaysPerZone = 2;
  // Loads older than this are not counted.
  Duration LoadMaxAge = milliseconds(1'000);
  // While a relay has not been heard for this long, further ones are told.
  Duration RelayTimeout = milliseconds(700);
  // That a relay's summaries have ceased counts against it for this long; it
  // may have stopped because others were chosen.
  Duration SummaryMemory = seconds(5);
};

struct PeerEntry {
  EntryReport Last;
  SocketAddress Address;
  ZoneId Zone;
  double ProcessorShare = 0; // cores
  TimePoint HeardAt{};       // time point zero: never
  TimePoint HeardSince{};    // without a gap above PeerSettings::LoadMaxAge
  // Since when it is told as a relay and has not been heard; zero: not so.
  TimePoint AwaitedSince{};
  // When it last told a zone's summary: it is a relay.
  TimePoint RelayedAt{};
  bool SendFails = false; // the last datagram could not be sent
};

struct SummaryEntry {
  EntryReport Last;
  TimePoint HeardAt{};
  TimePoint HeardSince{};
};

struct PeerTable {
  PeerSettings Settings;
  EntryId Self;
  ZoneId Zone;
  double ProcessorShare = 0; // cores
  std::map<EntryId, PeerEntry> Peers;
  // By zone and the relay that summed it up.
  std::map<ZoneId, std::map<EntryId, SummaryEntry>> Summaries;
  // Sums of all other zones, by the relay of the own zone that tells them, and
  // the zones that are heard through them.
  std::map<EntryId, SummaryEntry> OtherZones;
  std::map<ZoneId, SummaryEntry> HeardThroughRelays; // Last is not used
  // Own loads and demands as told, for taking them out of summaries.
  struct Told {
    std::uint64_t Sequence = 0;
    std::map<UpstreamKey, UpstreamLoad> Loads;
    std::map<ServiceModel, double> Demands;
  };
  std::deque<Told> Sent;
  // Relays of the own zone that were told last.
  std::vector<EntryId> CurrentRelays;
};

// A message to several entries.
struct PlannedMessage {
  std::vector<EntryId> To;
  EntryMessage Message;
  bool ToFollowers = false; // tells recent changes of the list as well
};

// Returns what to send at Now, where Own is the own state.
std::vector<PlannedMessage> planMessages(PeerTable &Table,
                                         const EntryReport &Own, TimePoint Now);

// Takes a message from Sender. Returns the reports in it that are news.
std::vector<EntryReport> applyMessage(PeerTable &Table,
                                      const EntryMessage &Message,
                                      const SocketAddress &Sender,
                                      TimePoint Now);

// Returns whether a relay of the own zone tells this entry the changes of the
// list of instances. Relays themselves ask the platform.
bool isListRelayed(const PeerTable &Table, TimePoint Now);

// Returns whether this entry is one of those that relay, or would be as soon as
// others report to it. Where few entries tell each other directly, all are.
bool isRelayCandidate(const PeerTable &Table, TimePoint Now);

// Returns what the other entries run, by their recent reports.
std::map<UpstreamKey, UpstreamLoad> loadOfOtherEntries(const PeerTable &Table,
                                                       TimePoint Now);

// Returns what callers ask of the other entries, by their recent reports.
std::map<ServiceModel, double> demandOfOtherEntries(const PeerTable &Table,
                                                    TimePoint Now);

// Returns since when some entry of Zone has been heard without a gap, or
// nothing if none is heard now.
std::optional<TimePoint> zoneContactSince(const PeerTable &Table,
                                          const ZoneId &Zone, TimePoint Now);

// Returns the instances that some other entry reached recently.
std::set<InstanceId> reachedByOtherEntries(const PeerTable &Table,
                                           TimePoint Now);

// Returns the upstreams that stall for more of the other entries than they move
// for.
std::set<UpstreamKey> stalledForOtherEntries(const PeerTable &Table,
                                             TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_PEERTABLE_H
