#include "samphirehill/Serving/PeerTable.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace samphirehill::serving {
namespace {

// Own states whose sequence a summary may still name: two seconds of them.
constexpr std::size_t ToldMemory = 10;

bool relayed(const PeerTable &Table) {
  return Table.Peers.size() >= Table.Settings.MaxDirectEntries;
}

bool fresh(TimePoint HeardAt, const PeerTable &Table, TimePoint Now) {
  return HeardAt != TimePoint{} && Now - HeardAt <= Table.Settings.LoadMaxAge;
}

// Whether Entry, of Zone, fails as a relay: it doesn't answer this entry, or
// its summaries have ceased.
bool silent(const EntryId &Entry, const PeerEntry &Peer, const PeerTable &Table,
            TimePoint Now) {
  Duration Limit = Table.Settings.RelayTimeout;
  if (Peer.AwaitedSince != TimePoint{} && Now - Peer.AwaitedSince > Limit)
    return true;
  auto Zone = Table.Summaries.find(Peer.Zone);
  if (Zone == Table.Summaries.end())
    return false;
  auto Summary = Zone->second.find(Entry);
  if (Summary == Zone->second.end())
    return false;
  Duration Ceased = Now - Summary->second.HeardAt;
  return Ceased > Limit && Ceased < Table.Settings.SummaryMemory;
}

// Returns the relays of Zone, this entry among them where it is one: those with
// the largest share of a processor, by rendezvous among equals, and as many
// that are not silent.
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
                   !silent(Entry, Table.Peers.at(Entry), Table, Now);
    if (Relays.size() < Table.Settings.RelaysPerZone || Answers)
      Relays.push_back(Entry);
    Answering += Answers;
    if (Answering >= Table.Settings.RelaysPerZone)
      break;
  }
  return Relays;
}

// Notes that Entry is told as a relay and should be heard.
void await(PeerTable &Table, const EntryId &Entry, TimePoint Now) {
  PeerEntry &Peer = Table.Peers.at(Entry);
  if (Peer.AwaitedSince == TimePoint{} &&
      Now - Peer.HeardAt > Table.Settings.Period * 2)
    Peer.AwaitedSince = Now;
}

bool newer(const EntryReport &Report, const EntryReport &Known) {
  return Report.Life > Known.Life ||
         (Report.Life == Known.Life && Report.Sequence > Known.Sequence);
}

// Returns the fresh one of ByRelay that sums up most entries, or null.
const SummaryEntry *bestOf(const std::map<EntryId, SummaryEntry> &ByRelay,
                           const PeerTable &Table, TimePoint Now) {
  const SummaryEntry *Best = nullptr;
  for (const auto &[Relay, Each] : ByRelay) {
    if (!fresh(Each.HeardAt, Table, Now))
      continue;
    if (!Best || std::pair(Each.Last.Included.size(), Each.HeardAt) >
                     std::pair(Best->Last.Included.size(), Best->HeardAt))
      Best = &Each;
  }
  return Best;
}

const SummaryEntry *bestSummary(const PeerTable &Table, const ZoneId &Zone,
                                TimePoint Now) {
  auto Found = Table.Summaries.find(Zone);
  return Found == Table.Summaries.end() ? nullptr
                                        : bestOf(Found->second, Table, Now);
}

// Returns the entries of the own zone that report to this one.
std::vector<EntryId> followers(const PeerTable &Table, TimePoint Now) {
  std::vector<EntryId> Found;
  for (const auto &[Entry, Peer] : Table.Peers) {
    if (Peer.Zone == Table.Zone && fresh(Peer.HeardAt, Table, Now))
      Found.push_back(Entry);
  }
  return Found;
}

// Whether this entry is a relay now.
bool isRelay(const PeerTable &Table, TimePoint Now) {
  auto Zone = Table.Summaries.find(Table.Zone);
  if (Zone == Table.Summaries.end())
    return false;
  auto Own = Zone->second.find(Table.Self);
  return Own != Zone->second.end() && fresh(Own->second.HeardAt, Table, Now);
}

void noteHeard(TimePoint &HeardAt, TimePoint &HeardSince,
               const PeerTable &Table, TimePoint Now) {
  if (Now - HeardAt > Table.Settings.LoadMaxAge)
    HeardSince = Now;
  HeardAt = Now;
}

// Sums up the own zone from what its entries told this one.
const EntryReport &sumUp(PeerTable &Table, const EntryReport &Own,
                         const std::vector<EntryId> &Followers, TimePoint Now) {
  SummaryEntry &Made = Table.Summaries[Table.Zone][Table.Self];
  EntryReport Sum;
  Sum.Entry = Table.Self;
  Sum.Zone = Table.Zone;
  Sum.Life = Own.Life;
  Sum.Sequence = Own.Sequence;
  addToSummary(Sum, Own);
  for (const EntryId &Each : Followers)
    addToSummary(Sum, Table.Peers.at(Each).Last);
  noteHeard(Made.HeardAt, Made.HeardSince, Table, Now);
  Made.Last = std::move(Sum);
  return Made.Last;
}

std::vector<PlannedMessage> planDirect(const PeerTable &Table,
                                       const EntryReport &Own) {
  PlannedMessage All{{}, {Own, {}}};
  for (const auto &[Entry, Peer] : Table.Peers)
    All.To.push_back(Entry);
  return {std::move(All)};
}

// Sums up the zones other than the own one, of which it names the relays as
// included: an entry can't be told apart in it.
EntryReport sumUpOthers(const PeerTable &Table, const EntryReport &Own,
                        TimePoint Now) {
  EntryReport Sum;
  Sum.Entry = Table.Self;
  Sum.Life = Own.Life;
  Sum.Sequence = Own.Sequence;
  for (const auto &[Zone, Relays] : Table.Summaries) {
    if (Zone == Table.Zone)
      continue;
    const SummaryEntry *Known = bestSummary(Table, Zone, Now);
    if (!Known)
      continue;
    addToSummary(Sum, Known->Last);
    // Who is told counts the zone as heard until that is too old in turn.
    if (Now - Known->HeardAt <= Table.Settings.Period * 5 / 2)
      Sum.SummedZones.insert(Zone);
  }
  return Sum;
}

// What a relay tells: the own zone's summary and that of all others to the own
// zone's entries, the own zone's summary to the relays of the others.
void planRelaying(PeerTable &Table, const EntryReport &Own,
                  const std::vector<EntryId> &Followers, TimePoint Now,
                  std::vector<PlannedMessage> &Plan) {
  EntryReport Sum = sumUp(Table, Own, Followers, Now);
  std::set<ZoneId> Zones;
  std::set<EntryId> Relays;
  for (const auto &[Entry, Peer] : Table.Peers) {
    if (Peer.Zone == Table.Zone)
      continue;
    Zones.insert(Peer.Zone);
    if (fresh(Peer.RelayedAt, Table, Now))
      Relays.insert(Entry);
  }
  for (const ZoneId &Zone : Zones) {
    for (const EntryId &Each : relaysOf(Table, Zone, Now)) {
      await(Table, Each, Now);
      Relays.insert(Each);
    }
  }
  Plan.push_back({Followers, {Own, {Sum, sumUpOthers(Table, Own, Now)}}, true});
  Plan.push_back({{Relays.begin(), Relays.end()}, {Own, {std::move(Sum)}}});
}

// Takes a relay's sum of the zones other than the own one.
bool takeOtherZones(PeerTable &Table, const EntryReport &Report,
                    TimePoint Now) {
  SummaryEntry &Known = Table.OtherZones[Report.Entry];
  if (Known.HeardAt != TimePoint{} && !newer(Report, Known.Last))
    return false;
  noteHeard(Known.HeardAt, Known.HeardSince, Table, Now);
  Known.Last = Report;
  for (const ZoneId &Each : Report.SummedZones) {
    SummaryEntry &Heard = Table.HeardThroughRelays[Each];
    noteHeard(Heard.HeardAt, Heard.HeardSince, Table, Now);
  }
  return true;
}

// Returns the summaries, by different entries each, that together cover all
// zones. A relay hears those of the other zones itself.
std::vector<const EntryReport *> currentSummaries(const PeerTable &Table,
                                                  TimePoint Now) {
  std::vector<const EntryReport *> Found;
  bool OthersDirectly = false;
  for (const auto &[Zone, Relays] : Table.Summaries) {
    const SummaryEntry *Known = bestOf(Relays, Table, Now);
    if (!Known)
      continue;
    Found.push_back(&Known->Last);
    OthersDirectly = OthersDirectly || Zone != Table.Zone;
  }
  if (OthersDirectly)
    return Found;
  if (const SummaryEntry *Others = bestOf(Table.OtherZones, Table, Now))
    Found.push_back(&Others->Last);
  return Found;
}

// Returns the sum of what the other entries told of themselves.
EntryReport sumElsewhere(const PeerTable &Table, TimePoint Now) {
  EntryReport Sum;
  if (!relayed(Table)) {
    for (const auto &[Entry, Peer] : Table.Peers) {
      if (fresh(Peer.HeardAt, Table, Now))
        addToSummary(Sum, Peer.Last);
    }
    return Sum;
  }
  for (const EntryReport *Each : currentSummaries(Table, Now))
    addToSummary(Sum, *Each);
  const SummaryEntry *Own = bestSummary(Table, Table.Zone, Now);
  if (!Own)
    return Sum;
  auto Counted = Own->Last.Included.find(Table.Self);
  if (Counted == Own->Last.Included.end())
    return Sum;
  for (const PeerTable::Told &Each : Table.Sent) {
    if (Each.Sequence != Counted->second)
      continue;
    for (const auto &[Key, Load] : Each.Loads)
      Sum.Loads[Key] -= Load;
    for (const auto &[Kind, PerSecond] : Each.Demands)
      Sum.Demands[Kind] = std::max(Sum.Demands[Kind] - PerSecond, 0.0);
  }
  return Sum;
}

// Calls Visit with the last report or summary of each entry heard recently.
template <typename Visitor>
void visitFresh(const PeerTable &Table, TimePoint Now, Visitor Visit) {
  for (const auto &[Entry, Peer] : Table.Peers) {
    if (fresh(Peer.HeardAt, Table, Now))
      Visit(Peer.Last);
  }
  for (const auto &[Zone, Relays] : Table.Summaries) {
    for (const auto &[Relay, Each] : Relays) {
      if (fresh(Each.HeardAt, Table, Now))
        Visit(Each.Last);
    }
  }
  for (const auto &[Relay, Each] : Table.OtherZones) {
    if (fresh(Each.HeardAt, Table, Now))
      Visit(Each.Last);
  }
}

} // namespace

std::vector<PlannedMessage>
planMessages(PeerTable &Table, const EntryReport &Own, TimePoint Now) {
  if (!relayed(Table))
    return planDirect(Table, Own);
  Table.Sent.push_back({Own.Sequence, Own.Loads, Own.Demands});
  if (Table.Sent.size() > ToldMemory)
    Table.Sent.pop_front();
  std::vector<PlannedMessage> Plan;
  std::vector<EntryId> Followers = followers(Table, Now);
  std::vector<EntryId> Relays = relaysOf(Table, Table.Zone, Now);
  Table.CurrentRelays = Relays;
  bool Relay =
      std::find(Relays.begin(), Relays.end(), Table.Self) != Relays.end();
  if (Relay && !Followers.empty())
    planRelaying(Table, Own, Followers, Now, Plan);
  PlannedMessage Up{{}, {Own, {}}};
  for (const EntryId &Each : Relays) {
    if (Each == Table.Self)
      continue;
    await(Table, Each, Now);
    bool Told = Relay && std::find(Followers.begin(), Followers.end(), Each) !=
                             Followers.end();
    if (!Told)
      Up.To.push_back(Each);
  }
  Plan.push_back(std::move(Up));
  return Plan;
}

std::vector<EntryReport> applyMessage(PeerTable &Table,
                                      const EntryMessage &Message,
                                      const SocketAddress &Sender,
                                      TimePoint Now) {
  std::vector<EntryReport> News;
  PeerEntry &Peer = Table.Peers[Message.Own.Entry];
  if (Peer.HeardAt != TimePoint{} && !newer(Message.Own, Peer.Last))
    return News;
  Peer.Address = Sender;
  Peer.Zone = Message.Own.Zone;
  Peer.AwaitedSince = TimePoint{};
  noteHeard(Peer.HeardAt, Peer.HeardSince, Table, Now);
  Peer.Last = Message.Own;
  News.push_back(Message.Own);
  if (!Message.Summaries.empty())
    Peer.RelayedAt = Now;
  for (const EntryReport &Each : Message.Summaries) {
    if (Each.Entry == Table.Self)
      continue;
    if (Each.Zone.str().empty()) {
      if (takeOtherZones(Table, Each, Now))
        News.push_back(Each);
      continue;
    }
    SummaryEntry &Known = Table.Summaries[Each.Zone][Each.Entry];
    if (Known.HeardAt != TimePoint{} && !newer(Each, Known.Last))
      continue;
    noteHeard(Known.HeardAt, Known.HeardSince, Table, Now);
    Known.Last = Each;
    News.push_back(Each);
  }
  return News;
}

bool isListRelayed(const PeerTable &Table, TimePoint Now) {
  if (!relayed(Table) || isRelay(Table, Now))
    return false;
  return std::any_of(
      Table.Peers.begin(), Table.Peers.end(), [&](const auto &Each) {
        const PeerEntry &Peer = Each.second;
        return Peer.Zone == Table.Zone && Peer.Last.ListRevision > 0 &&
               fresh(Peer.RelayedAt, Table, Now);
      });
}

bool isRelayCandidate(const PeerTable &Table, TimePoint Now) {
  if (!relayed(Table))
    return true;
  std::vector<EntryId> Relays = relaysOf(Table, Table.Zone, Now);
  return std::find(Relays.begin(), Relays.end(), Table.Self) != Relays.end();
}

std::map<UpstreamKey, UpstreamLoad> loadOfOtherEntries(const PeerTable &Table,
                                                       TimePoint Now) {
  return sumElsewhere(Table, Now).Loads;
}

std::map<ServiceModel, double> demandOfOtherEntries(const PeerTable &Table,
                                                    TimePoint Now) {
  return sumElsewhere(Table, Now).Demands;
}

std::optional<TimePoint> zoneContactSince(const PeerTable &Table,
                                          const ZoneId &Zone, TimePoint Now) {
  std::optional<TimePoint> Since;
  auto Add = [&](TimePoint HeardAt, TimePoint HeardSince) {
    if (fresh(HeardAt, Table, Now))
      Since = Since ? std::min(*Since, HeardSince) : HeardSince;
  };
  for (const auto &[Entry, Peer] : Table.Peers) {
    if (Peer.Zone == Zone)
      Add(Peer.HeardAt, Peer.HeardSince);
  }
  auto Found = Table.Summaries.find(Zone);
  if (Found != Table.Summaries.end()) {
    for (const auto &[Relay, Each] : Found->second)
      Add(Each.HeardAt, Each.HeardSince);
  }
  auto Through = Table.HeardThroughRelays.find(Zone);
  if (Through != Table.HeardThroughRelays.end())
    Add(Through->second.HeardAt, Through->second.HeardSince);
  return Since;
}

std::set<InstanceId> reachedByOtherEntries(const PeerTable &Table,
                                           TimePoint Now) {
  std::set<InstanceId> All;
  visitFresh(Table, Now, [&](const EntryReport &Each) {
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
