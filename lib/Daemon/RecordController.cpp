#include "samphirehill/Daemon/RecordController.h"

#include "peer.pb.h"

#include <algorithm>
#include <array>
#include <openssl/rand.h>
#include <stdexcept>
#include <string>

namespace samphirehill {
namespace {

constexpr Duration TickPeriod = milliseconds(250);
// A shard's wake-up may lie in the past while an answer is outstanding.
constexpr Duration ShortestWake = milliseconds(10);
// The zone relays exchange summaries every 500 ms.
constexpr Duration SummarySilence = seconds(5);

ObjectKey keyOf(std::size_t Shard) {
  return {RecordsKind, std::to_string(Shard)};
}

WriteReport::Kind kindOf(ResultCode Code) {
  switch (Code) {
  case ResultCode::Conflict:
    return WriteReport::Conflict;
  case ResultCode::PlatformRateLimited:
    return WriteReport::Refused;
  case ResultCode::NotFound:
    return WriteReport::Gone;
  default:
    return WriteReport::Lost;
  }
}

ReadReport reportOf(std::uint64_t ReadId, const Outcome<Object> &Value) {
  ReadReport Report;
  Report.ReadId = ReadId;
  if (const Error *Failure = errorOf(Value)) {
    if (Failure->Code == ResultCode::NotFound)
      Report.Answer = ReadReport::Gone;
    return Report;
  }
  const auto &Read = std::get<Object>(Value);
  Outcome<ShardObject> Parsed =
      capture([&] { return shardObjectFromJson(Read.Value); });
  if (errorOf(Parsed))
    return Report;
  Report.Answer = ReadReport::Found;
  Report.Version = Read.Version;
  Report.WriteId = Read.WriteId;
  Report.Value = std::move(std::get<0>(Parsed));
  return Report;
}

EntryKeySettings entryKeySettings(const Runtime &Shared) {
  EntryKeySettings Settings;
  Settings.Self = Shared.Config.Entry;
  Settings.SelfIncarnation = Shared.Started;
  std::array<unsigned char, 32> Secret{};
  if (RAND_bytes(Secret.data(), static_cast<int>(Secret.size())) != 1)
    throw std::runtime_error("the system gives no random bytes");
  Settings.Secret.assign(Secret.begin(), Secret.end());
  return Settings;
}

// Whether entries of another zone count as live: this process has never heard
// its relay, which is normal unless it is a relay itself, or hears it still.
bool zoneReachable(const LivenessState &State, const ZoneId &Zone,
                   TimePoint Now) {
  auto Relay = State.RemoteRelays.find(Zone);
  if (Relay == State.RemoteRelays.end())
    return true;
  auto Record = State.Peers.find(Relay->second);
  return Record != State.Peers.end() &&
         Now - Record->second.LastReceivedAt < SummarySilence;
}

} // namespace

std::vector<EntryId> recordCandidates(const LivenessState &State,
                                      TimePoint Now) {
  std::vector<EntryId> Entries;
  if (!State.Self.Leaving)
    Entries.push_back(State.Self.Entry);
  bool Relay = isRelay(State);
  for (const auto &[Entry, Record] : State.Peers) {
    if (Record.Known.Leaving)
      continue;
    bool Live = false;
    if (Record.Known.Zone == State.Self.Zone)
      Live = Record.State == Health::Alive || Record.State == Health::Suspect;
    else
      Live = Record.Listed &&
             (!Relay || zoneReachable(State, Record.Known.Zone, Now));
    if (Live)
      Entries.push_back(Entry);
  }
  std::ranges::sort(Entries);
  return Entries;
}

RecordPeers recordPeersOf(const MembershipController &Membership,
                          Runtime &Shared) {
  RecordPeers Peers;
  Peers.Candidates = [&Membership, &Shared] {
    if (!Membership.joined())
      return std::vector<EntryId>();
    return recordCandidates(Membership.liveness(), Shared.Timers.now());
  };
  Peers.Gone = [&Membership](const EntryId &Entry, Incarnation Started) {
    return isConfirmedGone(Membership.liveness(), Entry, Started);
  };
  return Peers;
}

RecordController::RecordController(CallParts Parts, PeerHub &Hub,
                                   Platform &Store, const Catalogue &Texts,
                                   RecordPeers Peers)
    : Parts(Parts), Shared(Parts.Shared), Hub(Hub), Store(Store), Texts(Texts),
      Peers(std::move(Peers)), Keys(entryKeySettings(Parts.Shared)) {
  Hub.handle(peer::Envelope::kForwardedCall,
             [this, Weak = std::weak_ptr(Alive)](const auto &Message) {
               if (!Weak.expired())
                 receive(Message);
             });
  updateCandidates();
  Tick = Shared.Timers.every(TickPeriod, [this] { tick(); });
}

void RecordController::tick() {
  updateCandidates();
  repeatForwards();
  carryOut(tickEntryKeys(Keys, Shared.Timers.now()));
  Keys.Settings.Ttl = recordTtl();
  double Held = 0;
  for (auto &[Number, Each] : Shards) {
    Each.Settings.RecordTtl = recordTtl();
    Held += Each.Holding == RecordShard::Hold::Held ? 1 : 0;
  }
  Shared.Counters.set("record_shards_held", Held);
  Shared.Counters.set("keyed_calls_in_progress",
                      static_cast<double>(Requests.size()));
}

// Shards hold the records of all operators' callers, so the longest life
// applies to all.
Duration RecordController::recordTtl() const {
  Duration Longest = Duration::zero();
  for (const auto &Text : Texts.texts())
    Longest = std::max(Longest, Text->limits().RecordTtl);
  return Longest > Duration::zero() ? Longest : TextLimits().RecordTtl;
}

void RecordController::updateCandidates() {
  TimePoint Now = Shared.Timers.now();
  std::erase_if(Unreachable,
                [&](const auto &Value) { return Value.second <= Now; });
  Candidates = Peers.Candidates();
  std::erase_if(Candidates, [&](const EntryId &Entry) {
    return Unreachable.contains(Entry) ||
           (Leaving && Entry == Shared.Config.Entry);
  });
  if (Candidates.empty() && !Owners.Started)
    return;
  std::vector<ShardMove> Moves = updateOwners(Owners, Candidates, Now);
  for (const ShardMove &Move : Moves)
    if (Move.From == Shared.Config.Entry && Shards.contains(Move.Shard))
      feed(Move.Shard, HandOver{});
  breakForwards([this](const EntryId &Entry) { return !isCandidate(Entry); });
}

bool RecordController::isCandidate(const EntryId &Entry) const {
  return std::ranges::find(Candidates, Entry) != Candidates.end();
}

RecordShard &RecordController::shard(std::size_t Shard) {
  auto Found = Shards.find(Shard);
  if (Found != Shards.end())
    return Found->second;
  ShardSettings Settings;
  Settings.Self = Shared.Config.Entry;
  Settings.SelfIncarnation = Shared.Started;
  Settings.Shard = Shard;
  Settings.RecordTtl = recordTtl();
  return Shards.emplace(Shard, RecordShard(Settings)).first->second;
}

// Actions of one event may cause further events; these wait for their turn.
void RecordController::feed(std::size_t Shard, ShardEvent Event) {
  Events.emplace_back(Shard, std::move(Event));
  if (std::exchange(Feeding, true))
    return;
  while (!Events.empty()) {
    auto [Number, Next] = std::move(Events.front());
    Events.pop_front();
    apply(Number, Next);
  }
  Feeding = false;
}

void RecordController::apply(std::size_t Shard, const ShardEvent &Event) {
  RecordShard &State = shard(Shard);
  ShardCounters Before = State.Counters;
  std::vector<ShardAction> Actions =
      step(State, Event, Shared.Timers.now(), Shared.Timers.wallNow());
  const std::string Name = std::to_string(Shard);
  if (State.Counters.Acquired > Before.Acquired)
    Shared.record("shard-acquired", Name,
                  "epoch " + std::to_string(State.Image.Epoch));
  if (State.Counters.LostToOther > Before.LostToOther)
    Shared.record("shard-lost", Name, "to entry " + State.OtherOwner.str());
  Shared.Counters.count(
      "record_writes_total",
      static_cast<double>(State.Counters.Writes - Before.Writes));
  Shared.Counters.count("record_write_conflicts_total",
                        static_cast<double>(State.Counters.WriteConflicts -
                                            Before.WriteConflicts));
  for (const ShardAction &Action : Actions)
    carryOut(Shard, Action);
  wakeWhenDue(Shard);
}

void RecordController::carryOut(std::size_t Shard, const ShardAction &Action) {
  if (const auto *Put = std::get_if<WriteShard>(&Action))
    write(Shard, *Put);
  else if (const auto *Get = std::get_if<ReadShard>(&Action))
    read(Shard, Get->ReadId);
  else if (const auto *Sent = std::get_if<SendCall>(&Action))
    send(*Sent, Shard);
  else if (const auto *Value = std::get_if<AnswerOutcome>(&Action))
    answer(*Value);
  else if (const auto *Refusal = std::get_if<AnswerRefusal>(&Action))
    answer(*Refusal);
  else if (const auto *Next = std::get_if<ForwardCall>(&Action))
    passOn(Next->Request, Next->Owner);
  else
    Shared.record("shard-released", std::to_string(Shard), "");
}

void RecordController::write(std::size_t Shard, const WriteShard &Action) {
  Store.writeObject(
      keyOf(Shard), Action.Version, Action.Value, Action.WriteId,
      [this, Weak = std::weak_ptr(Alive), Shard,
       WriteId = Action.WriteId](const Outcome<std::uint64_t> &Value) {
        if (Weak.expired())
          return;
        WriteReport Report{WriteId, WriteReport::Stored, 0};
        if (const Error *Failure = errorOf(Value))
          Report.Answer = kindOf(Failure->Code);
        else
          Report.Version = std::get<0>(Value);
        feed(Shard, std::move(Report));
      });
}

void RecordController::read(std::size_t Shard, std::uint64_t ReadId) {
  Store.readObject(keyOf(Shard), [this, Weak = std::weak_ptr(Alive), Shard,
                                  ReadId](const Outcome<Object> &Value) {
    if (Weak.expired())
      return;
    if (const Error *Failure = errorOf(Value);
        Failure && Failure->Code == ResultCode::NotFound)
      Shared.record("shard-object-missing", std::to_string(Shard),
                    "the operators' tool creates it");
    feed(Shard, reportOf(ReadId, Value));
  });
}

void RecordController::wakeWhenDue(std::size_t Shard) {
  std::optional<TimePoint> Due = nextWake(shard(Shard));
  if (!Due) {
    Wakes.erase(Shard);
    return;
  }
  Duration Wait = std::max(ShortestWake, *Due - Shared.Timers.now());
  Wakes[Shard] =
      Shared.Timers.after(Wait, [this, Shard] { feed(Shard, ShardTick{}); });
}

void RecordController::handOver() {
  if (std::exchange(Leaving, true))
    return;
  updateCandidates();
  std::vector<std::size_t> Held;
  for (const auto &[Number, Each] : Shards)
    if (Each.Holding != RecordShard::Hold::None && !Each.Releasing)
      Held.push_back(Number);
  for (std::size_t Number : Held)
    feed(Number, HandOver{});
}

std::size_t RecordController::shardsLeft() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Shards, [](const auto &Value) {
        const RecordShard &Each = Value.second;
        return Each.Holding != RecordShard::Hold::None || Each.Releasing ||
               !Each.Calls.empty();
      }));
}

} // namespace samphirehill
