// Simulates a fleet of entries in virtual time. Only the decision functions of
// Membership run, without sockets or a real clock. Messages are lost,
// duplicated and delayed as FleetOptions says, and dropped between partitioned
// zones. Counts the messages sent and their serialised bytes.
#ifndef SAMPHIREHILL_BENCH_DISSEMINATION_FLEETSIMULATION_H
#define SAMPHIREHILL_BENCH_DISSEMINATION_FLEETSIMULATION_H

#include "samphirehill/Membership/Liveness.h"
#include "samphirehill/Membership/SharedState.h"

#include "peer.pb.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace samphirehill {

// Faults to inject, which the checks of the tests must detect.
enum class SimulatedFault {
  None,
  TakeEveryPush,   // older values replace newer ones
  LosePulls,       // no pull is sent, so no entry gets values from peers
  JoinAtOnce,      // a starting entry puts a stale read in force
  TellWholeFleet,  // heartbeats go to all entries of all zones
  TellAllVersions, // every message lists all versions
};

struct FleetOptions {
  std::size_t Entries = 9;
  std::size_t Zones = 3;
  std::uint64_t Seed = 1;
  double Loss = 0;      // probability per message
  double Duplicate = 0; // probability per message
  std::int64_t MaxDelayMs = 5;
  SimulatedFault Fault = SimulatedFault::None;
};

class Fleet {
public:
  struct Traffic {
    std::uint64_t Messages = 0;
    std::uint64_t Bytes = 0;
  };

  explicit Fleet(const FleetOptions &Options)
      : Options(Options), Random(Options.Seed), Now(seconds(1000)) {
    for (std::size_t I = 0; I < Options.Entries; ++I)
      Nodes.push_back(Node{});
    for (std::size_t I = 0; I < Options.Zones; ++I)
      write({PlacementKind, zoneName(I)}, "{}");
    write({ConfigKind, "lumen"}, "text");
    write({ConfigKind, "zarqa"}, "text");
    for (std::size_t I = 0; I < Options.Entries; ++I)
      start(I, false);
  }

  // Advances virtual time by Span and runs the tasks due in it.
  void run(Duration Span) {
    TimePoint End = Now + Span;
    while (!Agenda.empty() && Agenda.top().At <= End) {
      Task Next = Agenda.top();
      Agenda.pop();
      Now = Next.At;
      Next.Run();
    }
    Now = End;
  }

  // Stores a new version of a config or placement on the platform.
  void write(const SharedKey &Key, const std::string &Value) {
    Stale = Platform;
    SharedItem &Item = Platform[Key];
    Item = SharedItem{Key, {Item.Version.Counter + 1, ""}, Value};
  }

  // Sends Zone's new state, as an operator does, to one entry directly.
  void changeZone(std::size_t Index, std::size_t Zone, bool Out,
                  const std::string &Operator) {
    Node &Current = Nodes[Index];
    SharedKey Key{ZoneKind, zoneName(Zone)};
    step(Index, OperatorChange{{Key,
                                nextStamp(Current.Shared, Key, Operator,
                                          std::to_string(++Order)),
                                Out ? "out" : "in"}});
  }

  // Starts or restarts entry Index with empty state. With StaleRead its first
  // read of the platform lacks the latest write.
  void start(std::size_t Index, bool StaleRead) {
    Node &Current = Nodes[Index];
    Member Self = member(Index);
    std::vector<Member> Seeds;
    for (std::size_t I = 1; I <= 3; ++I)
      Seeds.push_back(member((Index + I) % Options.Entries));
    ++Current.Started;
    Current.Live = makeLiveness(Self, Current.Started, Seeds, Now);
    std::vector<EntryId> SeedIds;
    Current.Floors.clear();
    for (const Member &Seed : Seeds) {
      SeedIds.push_back(Seed.Entry);
      std::size_t Peer = indexOf(Seed.Entry);
      if (Nodes[Peer].Shared.IsJoined && reachable(Index, Peer))
        Current.Floors.push_back(
            {Peer, Nodes[Peer].Started, Cut, Nodes[Peer].InForce});
    }
    Current.Shared = makeSharedState(SeedIds, Now);
    Current.InForce.clear();
    if (Options.Fault == SimulatedFault::JoinAtOnce)
      Current.Shared.IsJoined = true;
    if (PlatformUp && reachesPlatform(Index)) {
      act(Index, decide(Current.Live, instances(), Now));
      step(Index, platformRead(StaleRead ? Stale : Platform, true));
    }
    tickLater(Index, Current.Started, milliseconds(pick(250)));
  }

  // Partitions the network: entries in zones of different groups can't reach
  // each other, and only group 0 reaches the platform. All zones start in group
  // 0.
  void setGroup(std::size_t Zone, int Group) {
    Groups[Zone] = Group;
    ++Cut;
  }
  void heal() {
    Groups.clear();
    ++Cut;
    PlatformUp = true;
  }

  bool PlatformUp = true;

  // Whether all entries have joined, have the same versions in force and hold
  // the same values, none of which is older than the platform's.
  bool converged() const {
    for (const Node &Current : Nodes) {
      if (!Current.Shared.IsJoined || Current.InForce != Nodes[0].InForce ||
          !sameValues(Current.Shared, Nodes[0].Shared))
        return false;
      for (const auto &[Key, Item] : Platform)
        if (heldVersion(Current.Shared, Key) < Item.Version)
          return false;
    }
    return true;
  }
  // Whether the platform stores every value that entry 0 holds.
  bool stored() const {
    for (const auto &[Key, Held] : Nodes[0].Shared.Values) {
      auto Found = Platform.find(Key);
      if (Found == Platform.end() || Found->second != Held.Item)
        return false;
    }
    return true;
  }

  // Number of times that an entry put a version in force that was not newer
  // than the one before, or joined while behind every one of its seeds, as
  // these were when it started.
  std::uint64_t violations() const { return Violations; }

  std::size_t watchers() const {
    std::size_t Count = 0;
    for (const Node &Current : Nodes)
      Count += watchesPlatform(Current.Live) ? 1 : 0;
    return Count;
  }
  const SharedState &shared(std::size_t Index) const {
    return Nodes[Index].Shared;
  }
  const LivenessState &liveness(std::size_t Index) const {
    return Nodes[Index].Live;
  }
  Traffic sent(std::size_t Index) const { return Nodes[Index].Sent; }
  void resetTraffic() {
    for (Node &Current : Nodes)
      Current.Sent = {};
  }
  TimePoint now() const { return Now; }
  std::size_t size() const { return Nodes.size(); }
  std::string zoneName(std::size_t Zone) const {
    return "zone-" + std::to_string(10 + Zone);
  }

private:
  using Objects = std::map<SharedKey, SharedItem>;
  using Versions = std::map<SharedKey, SharedVersion>;
  struct Floor {
    std::size_t Seed;
    Incarnation Started;
    std::uint64_t Cut;
    Versions Held;
  };
  struct Node {
    Incarnation Started = 0;
    LivenessState Live;
    SharedState Shared;
    Versions InForce;
    std::vector<Floor> Floors;
    Traffic Sent;
    int Ticks = 0;
  };
  struct Task {
    TimePoint At;
    std::uint64_t Order;
    std::function<void()> Run;
    bool operator<(const Task &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };
  // Content of a heartbeat or summary, the same for all peers of a round.
  struct StatusMessage {
    PeerStatusReceived Status;
    VersionsReceived Versions;
    std::size_t Bytes = 0;
  };

  static bool sameValues(const SharedState &Left, const SharedState &Right) {
    return std::equal(Left.Values.begin(), Left.Values.end(),
                      Right.Values.begin(), Right.Values.end(),
                      [](const auto &A, const auto &B) {
                        return A.second.Item == B.second.Item;
                      });
  }

  std::int64_t pick(std::int64_t Below) {
    return static_cast<std::int64_t>(Random() %
                                     static_cast<std::uint64_t>(Below));
  }
  bool chance(double Probability) {
    return std::uniform_real_distribution<double>()(Random) < Probability;
  }
  std::size_t zoneOf(std::size_t Index) const { return Index % Options.Zones; }
  int group(std::size_t Index) const {
    auto Found = Groups.find(zoneOf(Index));
    return Found == Groups.end() ? 0 : Found->second;
  }
  bool reachable(std::size_t Left, std::size_t Right) const {
    return group(Left) == group(Right);
  }
  bool reachesPlatform(std::size_t Index) const { return group(Index) == 0; }
  Member member(std::size_t Index) const {
    return {EntryId("entry-" + std::to_string(1000 + Index)),
            ZoneId(zoneName(zoneOf(Index))),
            "10.0.0.1:" + std::to_string(1000 + Index)};
  }
  static std::size_t indexOf(const EntryId &Entry) {
    return std::stoul(Entry.str().substr(6)) - 1000;
  }
  InstanceListRead instances() const {
    InstanceListRead List{1, {}};
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      List.Entries.push_back(member(I));
    return List;
  }
  PlatformRead platformRead(const Objects &From, bool Complete) const {
    PlatformRead Read{{}, Complete, ZonesVersion};
    for (const auto &[Key, Item] : From)
      Read.Items.push_back(Item);
    return Read;
  }
  void later(Duration Span, std::function<void()> Run) {
    Agenda.push(Task{Now + Span, ++Order, std::move(Run)});
  }

  void tickLater(std::size_t Index, Incarnation Started, Duration Span) {
    later(Span, [=, this] {
      if (Nodes[Index].Started != Started)
        return;
      tick(Index);
      tickLater(Index, Started, HeartbeatInterval);
    });
  }
  void tick(std::size_t Index) {
    Node &Current = Nodes[Index];
    step(Index, SharedTick{});
    act(Index, decide(Current.Live, LivenessTick{}, Now));
    // Simulates a watch of the platform: entries that watch it read it on every
    // fourth tick, once per second.
    if (++Current.Ticks % 4 == 0 && PlatformUp && reachesPlatform(Index) &&
        watchesPlatform(Current.Live))
      step(Index, platformRead(Platform, true));
  }

  void send(std::size_t From, const EntryId &To, std::size_t Bytes,
            const std::function<void(std::size_t)> &Deliver) {
    ++Nodes[From].Sent.Messages;
    Nodes[From].Sent.Bytes += Bytes;
    std::size_t Target = indexOf(To);
    int Copies =
        (chance(Options.Loss) ? 0 : 1) + (chance(Options.Duplicate) ? 1 : 0);
    for (int I = 0; I < Copies; ++I)
      later(milliseconds(1 + pick(Options.MaxDelayMs)), [=, this] {
        if (reachable(From, Target))
          Deliver(Target);
      });
  }

  std::shared_ptr<StatusMessage> makeStatus(std::size_t Index, bool Heartbeat) {
    Node &Current = Nodes[Index];
    auto Message = std::make_shared<StatusMessage>();
    Message->Status = {Current.Live.Self, Current.Started, Heartbeat};
    Message->Versions = {Current.Live.Self.Entry, Current.Shared.Digest,
                         notesToSend(Current.Shared, Now)};
    if (Options.Fault == SimulatedFault::TellAllVersions) {
      Message->Versions.Notes.clear();
      for (const auto &[Key, Held] : Current.Shared.Values)
        Message->Versions.Notes.push_back({Key, Held.Item.Version});
    }
    Message->Bytes = statusBytes(Index, *Message);
    return Message;
  }

  void act(std::size_t Index, const std::vector<LivenessAction> &Actions) {
    std::shared_ptr<StatusMessage> Heartbeat;
    std::shared_ptr<StatusMessage> Summary;
    for (const LivenessAction &Action : Actions) {
      if (const auto *Send = std::get_if<SendHeartbeat>(&Action)) {
        if (!Heartbeat)
          Heartbeat = makeStatus(Index, true);
        if (Options.Fault != SimulatedFault::TellWholeFleet)
          sendStatus(Index, Send->To, Heartbeat);
      } else if (const auto *Send = std::get_if<SendSummary>(&Action)) {
        if (!Summary)
          Summary = makeStatus(Index, false);
        sendStatus(Index, Send->To, Summary);
      }
    }
    if (Heartbeat && Options.Fault == SimulatedFault::TellWholeFleet)
      for (std::size_t I = 0; I < Nodes.size(); ++I)
        if (I != Index)
          sendStatus(Index, member(I).Entry, Heartbeat);
  }
  void sendStatus(std::size_t From, const EntryId &To,
                  const std::shared_ptr<StatusMessage> &Message) {
    send(From, To, Message->Bytes, [this, Message](std::size_t Target) {
      act(Target, decide(Nodes[Target].Live, Message->Status, Now));
      step(Target, Message->Versions);
    });
  }

  void step(std::size_t Index, const SharedEvent &Event) {
    Node &Current = Nodes[Index];
    if (const auto *Push = std::get_if<PushReceived>(&Event);
        Push != nullptr && Options.Fault == SimulatedFault::TakeEveryPush)
      Current.Shared.Values.erase(Push->Item.Key);
    for (const SharedAction &Action : decide(Current.Shared, Event, Now))
      std::visit([&](const auto &Value) { perform(Index, Value); }, Action);
  }
  void perform(std::size_t Index, const SendPull &Pull) {
    if (Options.Fault == SimulatedFault::LosePulls)
      return;
    peer::Envelope Wire = envelope(Index);
    Wire.mutable_state_pull()->set_kind(Pull.Key.Kind);
    Wire.mutable_state_pull()->set_name(Pull.Key.Name);
    setVersion(*Wire.mutable_state_pull()->mutable_have(), Pull.Have);
    PullReceived Event{member(Index).Entry, Pull.Key, Pull.Have};
    send(Index, Pull.To, Wire.ByteSizeLong(),
         [=, this](std::size_t Target) { step(Target, Event); });
  }
  void perform(std::size_t Index, const SendPush &Push) {
    peer::Envelope Wire = envelope(Index);
    Wire.mutable_state_push()->set_kind(Push.Item.Key.Kind);
    Wire.mutable_state_push()->set_name(Push.Item.Key.Name);
    Wire.mutable_state_push()->set_value(Push.Item.Value);
    setVersion(*Wire.mutable_state_push()->mutable_version(),
               Push.Item.Version);
    PushReceived Event{Push.Item};
    send(Index, Push.To, Wire.ByteSizeLong(),
         [=, this](std::size_t Target) { step(Target, Event); });
  }
  void perform(std::size_t Index, const RequestVersions &Request) {
    peer::Envelope Wire = envelope(Index);
    Wire.mutable_state_pull();
    VersionsRequested Event{member(Index).Entry};
    send(Index, Request.To, Wire.ByteSizeLong(),
         [=, this](std::size_t Target) { step(Target, Event); });
  }
  void perform(std::size_t Index, const AnswerVersions &Answer) {
    peer::Envelope Wire = envelope(Index);
    setNotes(*Wire.mutable_state_versions()->mutable_versions(), Answer.Notes);
    VersionsAnswered Event{member(Index).Entry, Answer.Ready, Answer.Notes};
    send(Index, Answer.To, Wire.ByteSizeLong(),
         [=, this](std::size_t Target) { step(Target, Event); });
  }
  void perform(std::size_t Index, const PutInForce &Put) {
    SharedVersion &InForce = Nodes[Index].InForce[Put.Item.Key];
    if (Put.Item.Version <= InForce)
      ++Violations;
    InForce = Put.Item.Version;
    if (Options.Fault == SimulatedFault::JoinAtOnce)
      checkFloor(Index);
  }
  void perform(std::size_t, const StoreZones &Store) {
    if (!PlatformUp || Store.ObjectVersion != ZonesVersion)
      return;
    ++ZonesVersion;
    Stale = Platform;
    for (const SharedItem &Item : Store.Items)
      Platform[Item.Key] = Item;
  }
  void perform(std::size_t Index, const Joined &) { checkFloor(Index); }

  void checkFloor(std::size_t Index) {
    Node &Current = Nodes[Index];
    bool Eligible = false;
    for (const Floor &Seed : Current.Floors) {
      if (Nodes[Seed.Seed].Started != Seed.Started || Seed.Cut != Cut)
        continue;
      Eligible = true;
      bool Behind = false;
      for (const auto &[Key, Version] : Seed.Held)
        Behind = Behind || Current.InForce[Key] < Version;
      if (!Behind)
        return;
    }
    Violations += Eligible ? 1 : 0;
  }

  peer::Envelope envelope(std::size_t Index) const {
    peer::Envelope Wire;
    Wire.set_sender(Nodes[Index].Live.Self.Entry.str());
    // Values with as many digits as real ones, for a realistic encoded size.
    Wire.set_incarnation(1'790'000'000'000'000);
    Wire.set_sequence(1'000'000);
    Wire.set_clock_us(1'790'000'000'000'000);
    Wire.set_correlation(1'000'000);
    return Wire;
  }
  static void setVersion(peer::Version &Wire, const SharedVersion &Version) {
    Wire.set_counter(Version.Counter + 10'000);
    Wire.set_origin(Version.Origin);
  }
  template <typename T>
  static void setNotes(T &Wire, const std::vector<VersionNote> &Notes) {
    for (const VersionNote &Note : Notes) {
      peer::StateVersion &Added = *Wire.Add();
      Added.set_kind(Note.Key.Kind);
      Added.set_name(Note.Key.Name);
      setVersion(*Added.mutable_version(), Note.Version);
    }
  }
  // The load of one zone with two services of each operator.
  static void setLoad(peer::ZoneLoad &Wire, const std::string &Zone) {
    Wire.set_zone(Zone);
    Wire.set_age_ms(1000);
    for (const char *Service :
         {"lumen-chat", "lumen-book", "zarqa-chat", "zarqa-book"}) {
      peer::ServiceLoad &Added = *Wire.add_services();
      Added.set_service(Service);
      Added.set_capacity(1000);
      Added.set_in_use(500);
      Added.set_queued(100);
    }
  }
  std::size_t statusBytes(std::size_t Index,
                          const StatusMessage &Message) const {
    peer::Envelope Wire = envelope(Index);
    const Member &Self = Message.Status.Sender;
    auto Fill = [&](auto &Body) {
      Body.set_zone(Self.Zone.str());
      Body.set_address(Self.Address);
      Body.set_digest(Message.Versions.Digest);
      setNotes(*Body.mutable_versions(), Message.Versions.Notes);
    };
    if (Message.Status.Heartbeat) {
      Fill(*Wire.mutable_heartbeat());
      Wire.mutable_heartbeat()->set_ready(true);
      if (isRelay(Nodes[Index].Live))
        setLoad(*Wire.mutable_heartbeat()->add_zone_loads(), Self.Zone.str());
    } else {
      Fill(*Wire.mutable_summary());
      setLoad(*Wire.mutable_summary()->mutable_load(), Self.Zone.str());
    }
    return Wire.ByteSizeLong();
  }

  const FleetOptions Options;
  std::mt19937_64 Random;
  TimePoint Now;
  std::vector<Node> Nodes;
  std::map<std::size_t, int> Groups; // by zone
  std::uint64_t Cut = 0;             // number of changes of Groups
  Objects Platform;
  Objects Stale; // lacks the latest write
  std::uint64_t ZonesVersion = 1;
  std::priority_queue<Task> Agenda;
  std::uint64_t Order = 0;
  std::uint64_t Violations = 0;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_BENCH_DISSEMINATION_FLEETSIMULATION_H
