#include "samphirehill/Membership/Liveness.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace samphirehill {
namespace {

using Actions = std::vector<LivenessAction>;

// An entry of another zone that isn't listed is removed after this silence.
constexpr Duration UnlistedKeptFor = seconds(30);

// Rounds of one rotation: until each of Peers was sent to once.
std::size_t turns(std::size_t Peers, std::size_t Fanout) {
  return std::max<std::size_t>(1, (Peers + Fanout - 1) / Fanout);
}

std::vector<EntryId> zonePeers(const LivenessState &State) {
  std::vector<EntryId> Peers;
  for (const auto &[Entry, Record] : State.Peers)
    if (Record.Known.Zone == State.Self.Zone)
      Peers.push_back(Entry);
  return Peers;
}

void setHealth(PeerRecord &Record, Health Now, Actions &Out) {
  if (Record.State == Now)
    return;
  Record.State = Now;
  Out.emplace_back(HealthChanged{Record.Known.Entry, Now});
}

void confirmGone(LivenessState &State, const EntryId &Entry, Incarnation UpTo,
                 Actions &Out) {
  Incarnation &Gone = State.Gone[Entry];
  Gone = std::max(Gone, UpTo);
  Out.emplace_back(ConfirmedGone{Entry, UpTo});
}

// Records the incarnation of a sender. Returns false if the message comes from
// an incarnation that has ended or from this entry itself.
bool acceptIncarnation(LivenessState &State, const EntryId &From,
                       Incarnation Started, Actions &Out) {
  if (From == State.Self.Entry || isConfirmedGone(State, From, Started))
    return false;
  auto Found = State.Peers.find(From);
  if (Found == State.Peers.end())
    return true;
  PeerRecord &Record = Found->second;
  if (Started < Record.Started)
    return false;
  if (Record.Started != 0 && Started > Record.Started)
    confirmGone(State, From, Record.Started, Out);
  Record.Started = Started;
  return true;
}

void apply(LivenessState &State, const MessageReceived &Event, TimePoint,
           Actions &Out) {
  acceptIncarnation(State, Event.From, Event.Started, Out);
}

void apply(LivenessState &State, const PeerStatusReceived &Event, TimePoint Now,
           Actions &Out) {
  const EntryId &From = Event.Sender.Entry;
  if (!acceptIncarnation(State, From, Event.Started, Out))
    return;
  PeerRecord &Record = State.Peers[From];
  if (Record.Known.Entry != From || Record.Known.Zone != Event.Sender.Zone ||
      Record.Known.Address != Event.Sender.Address)
    Out.emplace_back(MembersChanged{});
  Record.Known = Event.Sender;
  Record.Started = Event.Started;
  Record.LastReceivedAt = Now;
  if (Event.Heartbeat)
    setHealth(Record, Health::Alive, Out);
  else if (Event.Sender.Zone != State.Self.Zone)
    State.RemoteRelays[Event.Sender.Zone] = From;
}

void apply(LivenessState &State, const InstanceListRead &Event, TimePoint Now,
           Actions &Out) {
  if (!Event.Complete && Event.Revision <= State.ListRevision)
    return;
  State.ListRevision = Event.Revision;
  bool Changed = false;
  std::set<EntryId> Listed;
  for (const Member &Entry : Event.Entries) {
    if (Entry.Entry == State.Self.Entry) {
      State.Self.Leaving = Entry.Leaving;
      continue;
    }
    Listed.insert(Entry.Entry);
    auto [Found, Added] = State.Peers.try_emplace(Entry.Entry);
    PeerRecord &Record = Found->second;
    if (Added)
      Record.FirstSeenAt = Now;
    Changed = Changed || !(Record.Known == Entry);
    Record.Known = Entry;
    Record.Listed = true;
  }
  for (auto Next = State.Peers.begin(); Next != State.Peers.end();) {
    auto Current = Next++;
    PeerRecord &Record = Current->second;
    if (!Record.Listed || Listed.count(Current->first) != 0)
      continue;
    setHealth(Record, Health::Down, Out);
    confirmGone(State, Current->first, Record.Started, Out);
    State.Peers.erase(Current);
    Changed = true;
  }
  if (Changed)
    Out.emplace_back(MembersChanged{});
}

void updateHealth(LivenessState &State, TimePoint Now, Actions &Out) {
  const Duration SuspectLimit = suspectAfter(State);
  const Duration DownLimit = downAfter(State);
  bool Removed = false;
  for (auto Next = State.Peers.begin(); Next != State.Peers.end();) {
    auto Current = Next++;
    PeerRecord &Record = Current->second;
    bool SameZone = Record.Known.Zone == State.Self.Zone;
    Duration Silence =
        Now - std::max(Record.LastReceivedAt, Record.FirstSeenAt);
    if (SameZone && Silence >= DownLimit)
      setHealth(Record, Health::Down, Out);
    else if (SameZone && Silence >= SuspectLimit &&
             Record.State == Health::Alive)
      setHealth(Record, Health::Suspect, Out);
    // Before the first list is read, seed peers are the only known entries, so
    // they are kept however long they are silent.
    if (Record.Listed || State.ListRevision == 0)
      continue;
    if (Silence < (SameZone ? DownLimit : UnlistedKeptFor))
      continue;
    State.Peers.erase(Current);
    Removed = true;
  }
  if (Removed)
    Out.emplace_back(MembersChanged{});
}

// Returns whether Next has been reached and, if so, advances Next.
bool advanceIfDue(std::optional<TimePoint> &Next, Duration Interval,
                  TimePoint Now) {
  if (Next && Now < *Next)
    return false;
  Next = Next && *Next + Interval > Now ? *Next + Interval : Now + Interval;
  return true;
}

// The entry of Zone to send a summary to: the zone's relay if a message of it
// arrived lately, otherwise each of the zone's entries in turn.
std::optional<EntryId> summaryTarget(const LivenessState &State,
                                     const ZoneId &Zone, std::size_t Turns,
                                     TimePoint Now) {
  Duration Fresh = SummaryInterval * static_cast<std::int64_t>(2 * Turns + 2);
  auto Relay = State.RemoteRelays.find(Zone);
  if (Relay != State.RemoteRelays.end()) {
    auto Found = State.Peers.find(Relay->second);
    if (Found != State.Peers.end() &&
        Now - Found->second.LastReceivedAt < Fresh)
      return Relay->second;
  }
  std::vector<EntryId> Candidates;
  for (const auto &[Entry, Record] : State.Peers)
    if (Record.Known.Zone == Zone && !Record.Known.Leaving)
      Candidates.push_back(Entry);
  if (Candidates.empty())
    return std::nullopt;
  return Candidates[(State.SummaryRound / Turns) % Candidates.size()];
}

void sendSummaries(LivenessState &State, TimePoint Now, Actions &Out) {
  std::set<ZoneId> Others;
  for (const auto &[Entry, Record] : State.Peers)
    if (Record.Known.Zone != State.Self.Zone)
      Others.insert(Record.Known.Zone);
  std::vector<ZoneId> Zones(Others.begin(), Others.end());
  std::size_t Count = std::min(Zones.size(), MaxSummaryFanout);
  std::size_t Turns = turns(Zones.size(), MaxSummaryFanout);
  if (Count != 0)
    State.SummaryCursor %= Zones.size();
  for (std::size_t I = 0; I < Count; ++I) {
    const ZoneId &Zone = Zones[(State.SummaryCursor + I) % Zones.size()];
    if (auto Target = summaryTarget(State, Zone, Turns, Now))
      Out.emplace_back(SendSummary{*Target});
  }
  if (Count != 0)
    State.SummaryCursor = (State.SummaryCursor + Count) % Zones.size();
  ++State.SummaryRound;
}

void sendHeartbeats(LivenessState &State, Actions &Out) {
  std::vector<EntryId> Peers = zonePeers(State);
  std::size_t Count = std::min(Peers.size(), MaxHeartbeatFanout);
  if (Count != 0)
    State.HeartbeatCursor %= Peers.size();
  for (std::size_t I = 0; I < Count; ++I)
    Out.emplace_back(
        SendHeartbeat{Peers[(State.HeartbeatCursor + I) % Peers.size()]});
  if (Count != 0)
    State.HeartbeatCursor = (State.HeartbeatCursor + Count) % Peers.size();
}

void apply(LivenessState &State, const LivenessTick &, TimePoint Now,
           Actions &Out) {
  updateHealth(State, Now, Out);
  if (advanceIfDue(State.NextHeartbeat, HeartbeatInterval, Now))
    sendHeartbeats(State, Out);
  if (advanceIfDue(State.NextSummary, SummaryInterval, Now) && isRelay(State))
    sendSummaries(State, Now, Out);
}

// Base, extended so that SuspectAfter covers two rotations in large zones.
Duration extendForLargeZone(const LivenessState &State, Duration Base) {
  auto Peers = std::count_if(State.Peers.begin(), State.Peers.end(),
                             [&](const auto &Peer) {
                               return Peer.second.Known.Zone == State.Self.Zone;
                             });
  std::size_t Turns =
      turns(static_cast<std::size_t>(Peers), MaxHeartbeatFanout);
  Duration TwoTurns = HeartbeatInterval * static_cast<std::int64_t>(2 * Turns);
  return Base * std::max<std::int64_t>(1, TwoTurns / SuspectAfter);
}

} // namespace

LivenessState makeLiveness(Member Self, Incarnation Started,
                           const std::vector<Member> &Seeds, TimePoint Now) {
  LivenessState State;
  State.Self = std::move(Self);
  State.Started = Started;
  // Entries begin their rotations at different peers. If all began at the same
  // one, all would send to the same peers in each round, and new versions would
  // spread slowly.
  State.HeartbeatCursor = hashBytes(State.Self.Entry.str());
  State.SummaryCursor = hashBytes(State.Self.Zone.str());
  for (const Member &Seed : Seeds) {
    if (Seed.Entry == State.Self.Entry)
      continue;
    PeerRecord &Record = State.Peers[Seed.Entry];
    Record.Known = Seed;
    Record.FirstSeenAt = Now;
  }
  return State;
}

std::vector<LivenessAction> decide(LivenessState &State,
                                   const LivenessEvent &Event, TimePoint Now) {
  Actions Out;
  std::visit([&](const auto &Value) { apply(State, Value, Now, Out); }, Event);
  return Out;
}

Duration suspectAfter(const LivenessState &State) {
  return extendForLargeZone(State, SuspectAfter);
}

Duration downAfter(const LivenessState &State) {
  return extendForLargeZone(State, DownAfter);
}

ZoneRoles zoneRoles(const LivenessState &State) {
  std::vector<EntryId> Live;
  for (const auto &[Entry, Record] : State.Peers)
    if (Record.Known.Zone == State.Self.Zone && !Record.Known.Leaving &&
        (Record.State == Health::Alive || Record.State == Health::Suspect))
      Live.push_back(Entry);
  if (!State.Self.Leaving || Live.empty())
    Live.push_back(State.Self.Entry);
  std::sort(Live.begin(), Live.end());
  ZoneRoles Roles{Live.front(), std::nullopt};
  if (Live.size() > 1)
    Roles.Backup = Live[1];
  return Roles;
}

bool isRelay(const LivenessState &State) {
  return zoneRoles(State).Relay == State.Self.Entry;
}

bool watchesPlatform(const LivenessState &State) {
  ZoneRoles Roles = zoneRoles(State);
  return Roles.Relay == State.Self.Entry || Roles.Backup == State.Self.Entry;
}

std::vector<Member> members(const LivenessState &State) {
  std::vector<Member> All;
  for (const auto &[Entry, Record] : State.Peers)
    All.push_back(Record.Known);
  return All;
}

std::vector<EntryId> liveZoneEntries(const LivenessState &State) {
  std::vector<EntryId> Live{State.Self.Entry};
  for (const auto &[Entry, Record] : State.Peers)
    if (Record.Known.Zone == State.Self.Zone && Record.State != Health::Down)
      Live.push_back(Entry);
  std::sort(Live.begin(), Live.end());
  return Live;
}

Health health(const LivenessState &State, const EntryId &Entry) {
  if (Entry == State.Self.Entry)
    return Health::Alive;
  auto Found = State.Peers.find(Entry);
  return Found == State.Peers.end() ? Health::Down : Found->second.State;
}

bool isConfirmedGone(const LivenessState &State, const EntryId &Entry,
                     Incarnation Started) {
  auto Found = State.Gone.find(Entry);
  return Found != State.Gone.end() && Started <= Found->second;
}

} // namespace samphirehill
