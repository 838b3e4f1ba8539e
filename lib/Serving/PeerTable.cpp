#include "samphirehill/Serving/PeerTable.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace samphirehill::serving {
namespace {

// Number of own reports that are kept, because summaries that include them may
// still arrive: those of two seconds.
constexpr std::size_t MaxSentReports = 10;

bool usesRelays(const PeerTable &Table) {
  return Table.Peers.size() >= Table.Settings.MaxDirectEntries;
}

bool isFresh(TimePoint ReceivedAt, const PeerTable &Table, TimePoint Now) {
  return ReceivedAt != TimePoint{} &&
         Now - ReceivedAt <= Table.Settings.MaxReportAge;
}

// Returns whether Entry fails as a relay: it sends no reports although this
// entry reports to it, or its summaries have stopped.
bool failsAsRelay(const EntryId &Entry, const PeerEntry &Peer,
                  const PeerTable &Table, TimePoint Now) {
  Duration Limit = Table.Settings.RelayTimeout;
  if (Peer.UnansweredSince != TimePoint{} && Now - Peer.UnansweredSince > Limit)
    return true;
  auto Zone = Table.Summaries.find(Peer.Zone);
  if (Zone == Table.Summaries.end())
    return false;
  auto Summary = Zone->second.find(Entry);
  if (Summary == Zone->second.end())
    return false;
  Duration SinceLast = Now - Summary->second.LastReportAt;
  return SinceLast > Limit && SinceLast < Table.Settings.RelayFailureMemory;
}

// Returns the relays of Zone, including this entry if it is one. The entries of
// the zone are ranked by largest processor share, and among equals by
// rendezvous hashing. The relays are the first RelaysPerZone of them, and if
// some of these fail, as many further ones that do not fail.
std::vector<EntryId> relaysOf(const PeerTable &Table, const ZoneId &Zone,
                              TimePoint Now) {
  std::vector<std::tuple<double, std::uint64_t, EntryId>> Ranked;
  auto Add = [&](const EntryId &Entry, double Share) {
    Ranked.emplace_back(Share, rendezvousWeight(Zone.str(), Entry.str()),
                        Entry);
  };
  if (Zone == Table.Zone)
    Add(Table.Self, Table.ProcessorShare);
  for (const auto &[Entry, Peer] : Table.Peers) {
    if (Peer.Zone == Zone)
      Add(Entry, Peer.ProcessorShare);
  }
  std::sort(Ranked.begin(), Ranked.end(), std::greater<>());
  std::vector<EntryId> Relays;
  std::size_t Answering = 0;
  for (const auto &[Share, Weight, Entry] : Ranked) {
    bool Answers = Entry == Table.Self ||
                   !failsAsRelay(Entry, Table.Peers.at(Entry), Table, Now);
    if (Relays.size() < Table.Settings.RelaysPerZone || Answers)
      Relays.push_back(Entry);
    Answering += Answers;
    if (Answering >= Table.Settings.RelaysPerZone)
      break;
  }
  return Relays;
}

// Notes that this entry sends to Entry as a relay and expects its reports.
void expectReports(PeerTable &Table, const EntryId &Entry, TimePoint Now) {
  PeerEntry &Peer = Table.Peers.at(Entry);
  if (Peer.UnansweredSince == TimePoint{} &&
      Now - Peer.LastReportAt > Table.Settings.Period * 2)
    Peer.UnansweredSince = Now;
}

bool isNewer(const EntryReport &Report, const EntryReport &Known) {
  return Report.Life > Known.Life ||
         (Report.Life == Known.Life && Report.Sequence > Known.Sequence);
}

// Returns the recent summary of ByRelay that includes the most entries, or
// null.
const SummaryEntry *
fullestSummary(const std::map<EntryId, SummaryEntry> &ByRelay,
               const PeerTable &Table, TimePoint Now) {
  const SummaryEntry *Best = nullptr;
  for (const auto &[Relay, Each] : ByRelay) {
    if (!isFresh(Each.LastReportAt, Table, Now))
      continue;
    if (!Best ||
        std::pair(Each.LastReport.Included.size(), Each.LastReportAt) >
            std::pair(Best->LastReport.Included.size(), Best->LastReportAt))
      Best = &Each;
  }
  return Best;
}

const SummaryEntry *bestSummary(const PeerTable &Table, const ZoneId &Zone,
                                TimePoint Now) {
  auto Found = Table.Summaries.find(Zone);
  return Found == Table.Summaries.end()
             ? nullptr
             : fullestSummary(Found->second, Table, Now);
}

// Returns the entries of this entry's zone that report to it.
std::vector<EntryId> followers(const PeerTable &Table, TimePoint Now) {
  std::vector<EntryId> Found;
  for (const auto &[Entry, Peer] : Table.Peers) {
    if (Peer.Zone == Table.Zone && isFresh(Peer.LastReportAt, Table, Now))
      Found.push_back(Entry);
  }
  return Found;
}

// Returns whether this entry acts as a relay now.
bool isRelay(const PeerTable &Table, TimePoint Now) {
  auto Zone = Table.Summaries.find(Table.Zone);
  if (Zone == Table.Summaries.end())
    return false;
  auto Own = Zone->second.find(Table.Self);
  return Own != Zone->second.end() &&
         isFresh(Own->second.LastReportAt, Table, Now);
}

void noteReceived(TimePoint &LastReportAt, TimePoint &ContactSince,
                  const PeerTable &Table, TimePoint Now) {
  if (Now - LastReportAt > Table.Settings.MaxReportAge)
    ContactSince = Now;
  LastReportAt = Now;
}

// Makes and stores the summary of this entry's zone from Own and the reports of
// Followers.
const EntryReport &summarizeOwnZone(PeerTable &Table, const EntryReport &Own,
                                    const std::vector<EntryId> &Followers,
                                    TimePoint Now) {
  SummaryEntry &Stored = Table.Summaries[Table.Zone][Table.Self];
  EntryReport Sum;
  Sum.Entries = 0;
  Sum.Entry = Table.Self;
  Sum.Zone = Table.Zone;
  Sum.Life = Own.Life;
  Sum.Sequence = Own.Sequence;
  addToSummary(Sum, Own);
  for (const EntryId &Each : Followers)
    addToSummary(Sum, Table.Peers.at(Each).LastReport);
  noteReceived(Stored.LastReportAt, Stored.ContactSince, Table, Now);
  Stored.LastReport = std::move(Sum);
  return Stored.LastReport;
}

std::vector<PlannedMessage> planDirect(const PeerTable &Table,
                                       const EntryReport &Own) {
  PlannedMessage All{{}, {Own, {}}};
  for (const auto &[Entry, Peer] : Table.Peers)
    All.To.push_back(Entry);
  return {std::move(All)};
}

// Returns the summary of all zones other than this entry's. It lists the relays
// of those zones as included, not their entries, so the part of a single entry
// can't be subtracted from it.
EntryReport summarizeOtherZones(const PeerTable &Table, const EntryReport &Own,
                                TimePoint Now) {
  EntryReport Sum;
  Sum.Entries = 0;
  Sum.Entry = Table.Self;
  Sum.Life = Own.Life;
  Sum.Sequence = Own.Sequence;
  for (const auto &[Zone, Relays] : Table.Summaries) {
    if (Zone == Table.Zone)
      continue;
    const SummaryEntry *Known = bestSummary(Table, Zone, Now);
    if (!Known)
      continue;
    addToSummary(Sum, Known->LastReport);
    // A receiver counts a zone in SummedZones as in contact for a further
    // MaxReportAge, so only zones with a recent summary are named.
    if (Now - Known->LastReportAt <= Table.Settings.Period * 5 / 2)
      Sum.SummedZones.insert(Zone);
  }
  return Sum;
}

// Plans the messages of a relay: to its followers the summaries of its own zone
// and of all other zones, to the relays of the other zones the summary of its
// own zone.
void planRelaying(PeerTable &Table, const EntryReport &Own,
                  const std::vector<EntryId> &Followers, TimePoint Now,
                  std::vector<PlannedMessage> &Plan) {
  EntryReport Sum = summarizeOwnZone(Table, Own, Followers, Now);
  std::set<ZoneId> Zones;
  std::set<EntryId> Relays;
  for (const auto &[Entry, Peer] : Table.Peers) {
    if (Peer.Zone == Table.Zone)
      continue;
    Zones.insert(Peer.Zone);
    if (isFresh(Peer.LastSummaryAt, Table, Now))
      Relays.insert(Entry);
  }
  for (const ZoneId &Zone : Zones) {
    for (const EntryId &Each : relaysOf(Table, Zone, Now)) {
      expectReports(Table, Each, Now);
      Relays.insert(Each);
    }
  }
  Plan.push_back(
      {Followers, {Own, {Sum, summarizeOtherZones(Table, Own, Now)}}, true});
  Plan.push_back({{Relays.begin(), Relays.end()}, {Own, {std::move(Sum)}}});
}

// Stores a relay's summary of all other zones. Returns whether it is newer than
// the one known before.
bool storeOtherZones(PeerTable &Table, const EntryReport &Report,
                     TimePoint Now) {
  SummaryEntry &Known = Table.OtherZoneSummaries[Report.Entry];
  if (Known.LastReportAt != TimePoint{} && !isNewer(Report, Known.LastReport))
    return false;
  noteReceived(Known.LastReportAt, Known.ContactSince, Table, Now);
  Known.LastReport = Report;
  for (const ZoneId &Each : Report.SummedZones) {
    SummaryEntry &Contact = Table.ContactThroughRelays[Each];
    noteReceived(Contact.LastReportAt, Contact.ContactSince, Table, Now);
  }
  return true;
}

// Returns summaries that together cover all zones and include no entry twice. A
// relay receives one from each other zone directly, other entries receive one
// of all other zones.
std::vector<const EntryReport *> currentSummaries(const PeerTable &Table,
                                                  TimePoint Now) {
  std::vector<const EntryReport *> Found;
  bool HasDirectOthers = false;
  for (const auto &[Zone, Relays] : Table.Summaries) {
    const SummaryEntry *Known = fullestSummary(Relays, Table, Now);
    if (!Known)
      continue;
    Found.push_back(&Known->LastReport);
    HasDirectOthers = HasDirectOthers || Zone != Table.Zone;
  }
  if (HasDirectOthers)
    return Found;
  if (const SummaryEntry *Others =
          fullestSummary(Table.OtherZoneSummaries, Table, Now))
    Found.push_back(&Others->LastReport);
  return Found;
}

// Returns the sum of the other entries' recent reports. This entry's own part
// is subtracted from the summary of its zone.
EntryReport sumOfOtherEntries(const PeerTable &Table, TimePoint Now) {
  EntryReport Sum;
  if (!usesRelays(Table)) {
    for (const auto &[Entry, Peer] : Table.Peers) {
      if (isFresh(Peer.LastReportAt, Table, Now))
        addToSummary(Sum, Peer.LastReport);
    }
    return Sum;
  }
  for (const EntryReport *Each : currentSummaries(Table, Now))
    addToSummary(Sum, *Each);
  const SummaryEntry *Own = bestSummary(Table, Table.Zone, Now);
  if (!Own)
    return Sum;
  auto OwnSequence = Own->LastReport.Included.find(Table.Self);
  if (OwnSequence == Own->LastReport.Included.end())
    return Sum;
  for (const PeerTable::SentReport &Each : Table.SentReports) {
    if (Each.Sequence != OwnSequence->second)
      continue;
    for (const auto &[Key, Load] : Each.Loads)
      Sum.Loads[Key] -= Load;
    for (const auto &[Kind, PerSecond] : Each.Demands)
      Sum.Demands[Kind] = std::max(Sum.Demands[Kind] - PerSecond, 0.0);
    for (const auto &[Kind, Places] : Each.Work)
      Sum.Work[Kind] = std::max(Sum.Work[Kind] - Places, 0.0);
    for (const auto &[Kind, Claims] : Each.ClaimedPlaces)
      subtractWork(Sum.ClaimedPlaces[Kind], Claims);
  }
  return Sum;
}

// Calls Visit with recent reports and summaries that together include each
// entry that is heard once.
template <typename Visitor>
void visitEachOnce(const PeerTable &Table, TimePoint Now, Visitor Visit) {
  if (usesRelays(Table)) {
    for (const EntryReport *Each : currentSummaries(Table, Now))
      Visit(*Each);
    return;
  }
  for (const auto &[Entry, Peer] : Table.Peers) {
    if (isFresh(Peer.LastReportAt, Table, Now))
      Visit(Peer.LastReport);
  }
}

int countHeard(const PeerTable &Table, TimePoint Now) {
  int Heard = 0;
  visitEachOnce(Table, Now,
                [&](const EntryReport &Each) { Heard += Each.Entries; });
  return Heard;
}

void noteHeard(PeerTable &Table, TimePoint Now) {
  int Heard = countHeard(Table, Now);
  if (Heard < Table.MostHeard &&
      Now - Table.MostHeardAt <= Table.Settings.SilentEntryMemory)
    return;
  Table.MostHeard = Heard;
  Table.MostHeardAt = Now;
}

// Calls Visit with each recent report and summary.
template <typename Visitor>
void visitRecent(const PeerTable &Table, TimePoint Now, Visitor Visit) {
  for (const auto &[Entry, Peer] : Table.Peers) {
    if (isFresh(Peer.LastReportAt, Table, Now))
      Visit(Peer.LastReport);
  }
  for (const auto &[Zone, Relays] : Table.Summaries) {
    for (const auto &[Relay, Each] : Relays) {
      if (isFresh(Each.LastReportAt, Table, Now))
        Visit(Each.LastReport);
    }
  }
  for (const auto &[Relay, Each] : Table.OtherZoneSummaries) {
    if (isFresh(Each.LastReportAt, Table, Now))
      Visit(Each.LastReport);
  }
}

} // namespace

std::vector<PlannedMessage>
planMessages(PeerTable &Table, const EntryReport &Own, TimePoint Now) {
  noteHeard(Table, Now);
  if (!usesRelays(Table))
    return planDirect(Table, Own);
  Table.SentReports.push_back(
      {Own.Sequence, Own.Loads, Own.Demands, Own.Work, Own.ClaimedPlaces});
  if (Table.SentReports.size() > MaxSentReports)
    Table.SentReports.pop_front();
  std::vector<PlannedMessage> Plan;
  std::vector<EntryId> Followers = followers(Table, Now);
  std::vector<EntryId> Relays = relaysOf(Table, Table.Zone, Now);
  Table.CurrentRelays = Relays;
  bool Relay =
      std::find(Relays.begin(), Relays.end(), Table.Self) != Relays.end();
  if (Relay && !Followers.empty())
    planRelaying(Table, Own, Followers, Now, Plan);
  PlannedMessage ToRelays{{}, {Own, {}}};
  for (const EntryId &Each : Relays) {
    if (Each == Table.Self)
      continue;
    expectReports(Table, Each, Now);
    bool SentAsFollower = Relay && std::find(Followers.begin(), Followers.end(),
                                             Each) != Followers.end();
    if (!SentAsFollower)
      ToRelays.To.push_back(Each);
  }
  Plan.push_back(std::move(ToRelays));
  return Plan;
}

std::vector<EntryReport> applyMessage(PeerTable &Table,
                                      const EntryMessage &Message,
                                      const SocketAddress &Sender,
                                      TimePoint Now) {
  std::vector<EntryReport> NewReports;
  PeerEntry &Peer = Table.Peers[Message.Own.Entry];
  if (Peer.LastReportAt != TimePoint{} &&
      !isNewer(Message.Own, Peer.LastReport))
    return NewReports;
  Peer.Address = Sender;
  Peer.Zone = Message.Own.Zone;
  Peer.UnansweredSince = TimePoint{};
  noteReceived(Peer.LastReportAt, Peer.ContactSince, Table, Now);
  Peer.LastReport = Message.Own;
  NewReports.push_back(Message.Own);
  if (!Message.Summaries.empty())
    Peer.LastSummaryAt = Now;
  for (const EntryReport &Each : Message.Summaries) {
    if (Each.Entry == Table.Self)
      continue;
    if (Each.Zone.str().empty()) {
      if (storeOtherZones(Table, Each, Now))
        NewReports.push_back(Each);
      continue;
    }
    SummaryEntry &Known = Table.Summaries[Each.Zone][Each.Entry];
    if (Known.LastReportAt != TimePoint{} && !isNewer(Each, Known.LastReport))
      continue;
    noteReceived(Known.LastReportAt, Known.ContactSince, Table, Now);
    Known.LastReport = Each;
    NewReports.push_back(Each);
  }
  return NewReports;
}

bool isListRelayed(const PeerTable &Table, TimePoint Now) {
  if (!usesRelays(Table) || isRelay(Table, Now))
    return false;
  return std::any_of(
      Table.Peers.begin(), Table.Peers.end(), [&](const auto &Each) {
        const PeerEntry &Peer = Each.second;
        return Peer.Zone == Table.Zone && Peer.LastReport.ListRevision > 0 &&
               Peer.LastReport.StoreEra >= Table.StoreEra &&
               isFresh(Peer.LastSummaryAt, Table, Now);
      });
}

bool isRelayCandidate(const PeerTable &Table, TimePoint Now) {
  if (!usesRelays(Table))
    return true;
  std::vector<EntryId> Relays = relaysOf(Table, Table.Zone, Now);
  return std::find(Relays.begin(), Relays.end(), Table.Self) != Relays.end();
}

std::map<UpstreamKey, UpstreamLoad> loadOfOtherEntries(const PeerTable &Table,
                                                       TimePoint Now) {
  return sumOfOtherEntries(Table, Now).Loads;
}

std::map<ServiceModel, double> demandOfOtherEntries(const PeerTable &Table,
                                                    TimePoint Now) {
  return sumOfOtherEntries(Table, Now).Demands;
}

WorkAsked workOfOtherEntries(const PeerTable &Table, TimePoint Now) {
  return sumOfOtherEntries(Table, Now).Work;
}

std::map<ServiceModel, WorkByClaim> claimsOfOtherEntries(const PeerTable &Table,
                                                         TimePoint Now) {
  return sumOfOtherEntries(Table, Now).ClaimedPlaces;
}

std::optional<TimePoint> zoneContactSince(const PeerTable &Table,
                                          const ZoneId &Zone, TimePoint Now) {
  std::optional<TimePoint> Since;
  auto Add = [&](TimePoint LastReportAt, TimePoint ContactSince) {
    if (isFresh(LastReportAt, Table, Now))
      Since = Since ? std::min(*Since, ContactSince) : ContactSince;
  };
  for (const auto &[Entry, Peer] : Table.Peers) {
    if (Peer.Zone == Zone)
      Add(Peer.LastReportAt, Peer.ContactSince);
  }
  auto Found = Table.Summaries.find(Zone);
  if (Found != Table.Summaries.end()) {
    for (const auto &[Relay, Each] : Found->second)
      Add(Each.LastReportAt, Each.ContactSince);
  }
  auto Through = Table.ContactThroughRelays.find(Zone);
  if (Through != Table.ContactThroughRelays.end())
    Add(Through->second.LastReportAt, Through->second.ContactSince);
  return Since;
}

ReachCensus takeCensus(const PeerTable &Table, TimePoint Now) {
  ReachCensus Census;
  Census.Reached = reachedByOtherEntries(Table, Now);
  visitEachOnce(Table, Now, [&](const EntryReport &Each) {
    Census.Entries += Each.Entries;
    for (const auto &[Id, Entries] : Each.Denials)
      Census.Denials[Id] += Entries;
  });
  Census.Complete = Census.Entries >= Table.MostHeard;
  return Census;
}

bool isDeniedByAll(const ReachCensus &Census, const InstanceId &Id) {
  if (!Census.Complete || Census.Reached.contains(Id))
    return false;
  auto Found = Census.Denials.find(Id);
  int Denied = Found == Census.Denials.end() ? 0 : Found->second;
  return Denied >= Census.Entries;
}

PeerEntry &addListedPeer(PeerTable &Table, const EntryId &Entry,
                         TimePoint Now) {
  auto [Found, IsNew] = Table.Peers.try_emplace(Entry);
  if (IsNew) {
    Table.MostHeard =
        std::max(Table.MostHeard, static_cast<int>(Table.Peers.size()));
    Table.MostHeardAt = Now;
  }
  return Found->second;
}

std::set<InstanceId> reachedByOtherEntries(const PeerTable &Table,
                                           TimePoint Now) {
  std::set<InstanceId> All;
  visitRecent(Table, Now, [&](const EntryReport &Each) {
    All.insert(Each.Reached.begin(), Each.Reached.end());
  });
  return All;
}

std::set<UpstreamKey> stalledForOtherEntries(const PeerTable &Table,
                                             TimePoint Now) {
  std::set<UpstreamKey> All;
  for (const auto &[Key, Load] : loadOfOtherEntries(Table, Now)) {
    if (reportedStalled(Load))
      All.insert(Key);
  }
  return All;
}

} // namespace samphirehill::serving
