// What an entry knows of the other entries, and which reports it sends to
// which of them. A few entries send their reports to each other directly. Where
// there are more, each entry reports to two relays of its zone. A relay sums up
// the reports of its zone and sends this summary to the relays of the other
// zones. To the entries that report to it, its followers, it sends that summary
// and a second one of all other zones. No I/O.
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
  // Each entry sends its report this often.
  Duration Period = milliseconds(200);
  // Up to this number of entries send their reports to each other directly: an
  // entry then sends at most 60 datagrams a second.
  std::size_t MaxDirectEntries = 12;
  // A second relay in each zone keeps loads known while the first one fails.
  std::size_t RelaysPerZone = 2;
  // Reports and summaries older than this are not counted.
  Duration MaxReportAge = milliseconds(1'000);
  // A relay that has not been heard from for this long counts as failed:
  // further relays are then used as well.
  Duration RelayTimeout = milliseconds(700);
  // A relay whose summaries have stopped counts as failed for no longer than
  // this: it may have stopped because other relays were chosen.
  Duration RelayFailureMemory = seconds(5);
  // An entry that falls silent may go on serving, cut off from this one. For
  // this long it counts as an entry that has not denied anything.
  Duration SilentEntryMemory = seconds(4);
};

// Another entry and its last report. A time point of zero means never.
struct PeerEntry {
  EntryReport LastReport;
  SocketAddress Address;
  ZoneId Zone;
  double ProcessorShare = 0; // cores
  TimePoint LastReportAt{};  // when the last report arrived
  // Since when reports have arrived without a gap above
  // PeerSettings::MaxReportAge.
  TimePoint ContactSince{};
  // Since when this entry sends to the peer as a relay without having received
  // a report from it; zero: reports arrive, or it is not used as a relay.
  TimePoint UnansweredSince{};
  // When the last summary from the peer arrived. Only relays send summaries.
  TimePoint LastSummaryAt{};
  bool LastSendFailed = false; // the last datagram could not be sent
};

// A summary from one relay. The time points are as in PeerEntry.
struct SummaryEntry {
  EntryReport LastReport;
  TimePoint LastReportAt{};
  TimePoint ContactSince{};
};

struct PeerTable {
  PeerSettings Settings;
  EntryId Self;
  ZoneId Zone;
  double ProcessorShare = 0; // cores
  // The era of the platform's store as this entry knows it; 0: none is named.
  std::int64_t StoreEra = 0;
  std::map<EntryId, PeerEntry> Peers;
  // By zone and the relay that made the summary.
  std::map<ZoneId, std::map<EntryId, SummaryEntry>> Summaries;
  // Summaries of all other zones together, by the relay of this entry's zone
  // that sends them.
  std::map<EntryId, SummaryEntry> OtherZoneSummaries;
  // The contact with the zones that such summaries contain. LastReport is not
  // used.
  std::map<ZoneId, SummaryEntry> ContactThroughRelays;
  // What this entry has sent in a report, so that its own part can be
  // subtracted from the summaries that include that report.
  struct SentReport {
    std::uint64_t Sequence = 0;
    std::map<UpstreamKey, UpstreamLoad> Loads;
    std::map<ServiceModel, double> Demands;
    WorkAsked Work;
    std::map<ServiceModel, WorkByClaim> ClaimedPlaces;
  };
  std::deque<SentReport> SentReports; // the oldest first
  // The most other entries that were heard at one time, and when that was last
  // so. Forgotten after PeerSettings::SilentEntryMemory.
  int MostHeard = 0;
  TimePoint MostHeardAt{};
  // The relays of this entry's zone that it reported to last.
  std::vector<EntryId> CurrentRelays;
};

// A message to several entries.
struct PlannedMessage {
  std::vector<EntryId> To;
  EntryMessage Message;
  bool ToFollowers = false; // also carries recent changes of the list
};

// Returns the messages to send at Now. Own is this entry's current report.
std::vector<PlannedMessage> planMessages(PeerTable &Table,
                                         const EntryReport &Own, TimePoint Now);

// Stores the reports of a message from Sender. Returns those of them that are
// newer than the ones known before.
std::vector<EntryReport> applyMessage(PeerTable &Table,
                                      const EntryMessage &Message,
                                      const SocketAddress &Sender,
                                      TimePoint Now);

// Returns whether a relay of this entry's zone sends it the changes of the list
// of instances. False for relays, which read the platform's store themselves,
// and while the relays don't know that the store was restored.
bool isListRelayed(const PeerTable &Table, TimePoint Now);

// Returns whether this entry is chosen as a relay; it acts as one as soon as
// other entries report to it. True for all entries where there are so few that
// they report to each other directly.
bool isRelayCandidate(const PeerTable &Table, TimePoint Now);

// Returns the load that the other entries put on each upstream, by their recent
// reports.
std::map<UpstreamKey, UpstreamLoad> loadOfOtherEntries(const PeerTable &Table,
                                                       TimePoint Now);

// Returns the requests per second that callers send to the other entries, by
// their recent reports.
std::map<ServiceModel, double> demandOfOtherEntries(const PeerTable &Table,
                                                    TimePoint Now);

// Returns the work that callers ask the other entries for, by their recent
// reports.
WorkAsked workOfOtherEntries(const PeerTable &Table, TimePoint Now);
// Returns the work of organisations at the other entries, by their recent
// reports.
std::map<ServiceModel, WorkByClaim> claimsOfOtherEntries(const PeerTable &Table,
                                                         TimePoint Now);

// Returns since when reports of entries of Zone have arrived without a gap,
// directly or through relays, or nothing if none arrives now.
std::optional<TimePoint> zoneContactSince(const PeerTable &Table,
                                          const ZoneId &Zone, TimePoint Now);

// What the other entries report about instances that this entry asks about.
struct ReachCensus {
  // All entries are heard that were heard a while ago.
  bool Complete = true;
  int Entries = 0;                   // that are heard
  std::map<InstanceId, int> Denials; // entries that can't reach the instance
  std::set<InstanceId> Reached;      // by some entry

  bool operator==(const ReachCensus &) const = default;
};

// Returns what the recent reports say.
ReachCensus takeCensus(const PeerTable &Table, TimePoint Now);

// Returns whether each of the other entries has reported that it can't reach
// Id. An entry that isn't heard may use Id, so it counts as not having done so.
bool isDeniedByAll(const ReachCensus &Census, const InstanceId &Id);

// Adds an entry that the platform's store lists. It is expected to be heard.
PeerEntry &addListedPeer(PeerTable &Table, const EntryId &Entry, TimePoint Now);

// Returns the unlisted instances that some other entry has reached recently.
std::set<InstanceId> reachedByOtherEntries(const PeerTable &Table,
                                           TimePoint Now);

// Returns the upstreams that are stalled for more of the other entries than
// they make progress for.
std::set<UpstreamKey> stalledForOtherEntries(const PeerTable &Table,
                                             TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_PEERTABLE_H
