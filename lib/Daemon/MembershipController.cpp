#include "samphirehill/Daemon/MembershipController.h"

#include "StateMessages.h"
#include "peer.pb.h"

#include <utility>

namespace samphirehill {
namespace {

constexpr Duration TickPeriod = milliseconds(50);
constexpr const char *ZonesKind = "zones";
constexpr const char *ObjectKinds[] = {ConfigKind, PlacementKind, ZonesKind};

std::vector<EntryId> seedEntries(const Settings &Config) {
  std::vector<EntryId> Seeds;
  for (const SeedPeer &Seed : Config.Seeds)
    Seeds.push_back(Seed.Entry);
  return Seeds;
}

std::vector<Member> seedMembers(const Settings &Config) {
  std::vector<Member> Seeds;
  for (const SeedPeer &Seed : Config.Seeds)
    Seeds.push_back(Member{Seed.Entry, {}, Seed.Address.str(), false});
  return Seeds;
}

} // namespace

MembershipController::MembershipController(Runtime &Shared, PeerHub &Hub,
                                           Platform &Store)
    : Shared(Shared), Hub(Hub), Store(Store),
      Liveness(makeLiveness(Member{Shared.Config.Entry, Shared.Config.Zone,
                                   Shared.Config.Peers.str(), false},
                            Shared.Started, seedMembers(Shared.Config),
                            Shared.Timers.now())),
      State(makeSharedState(seedEntries(Shared.Config), Shared.Timers.now())) {}

void MembershipController::start() {
  Hub.Received.connect([this](const auto &Message) { receive(Message); });
  handleState();
  connectPeers();
  InstanceLoop = std::make_unique<WatchLoop<InstanceList>>(
      Shared, Store,
      WatchLoop<InstanceList>::Calls{
          [this](auto Done) { return Store.listInstances(Done); },
          [this](auto After, auto Wait, auto Done) {
            return Store.watchInstances(After, Wait, Done);
          },
          [this](const InstanceList &List) { takeInstances(List); },
          [this](bool Value) { noteReachable(Value); }});
  InstanceLoop->start();
  for (const char *Kind : ObjectKinds)
    ObjectLoops[Kind] = std::make_unique<WatchLoop<ObjectList>>(
        Shared, Store,
        WatchLoop<ObjectList>::Calls{
            [this, Kind](auto Done) { return Store.listObjects(Kind, Done); },
            [this, Kind](auto After, auto Wait, auto Done) {
              return Store.watchObjects(Kind, After, Wait, Done);
            },
            [this, Kind](const ObjectList &List) { takeObjects(Kind, List); },
            [](bool) {}});
  watchObjectsIfDue();
  Tick = Shared.Timers.every(TickPeriod, [this] { tick(); });
}

void MembershipController::tick() {
  TimePoint Now = Shared.Timers.now();
  Notes = notesToSend(State, Now);
  carryOut(decide(Liveness, LivenessEvent(LivenessTick{}), Now));
  carryOut(decide(State, SharedEvent(SharedTick{}), Now));
  watchObjectsIfDue();
}

// Two entries of the zone watch the objects; an entry that has not joined reads
// them as well.
void MembershipController::watchObjectsIfDue() {
  if (PlatformStopped)
    return;
  bool Due = watchesPlatform(Liveness) || !State.IsJoined;
  for (auto &[Kind, Loop] : ObjectLoops) {
    if (Due == Loop->running())
      continue;
    if (Due)
      Loop->start();
    else
      Loop->stop();
  }
}

void MembershipController::noteReachable(bool Value) {
  if (PlatformReachable == Value)
    return;
  PlatformReachable = Value;
  Shared.record(Value ? "platform-up" : "platform-down",
                Shared.Config.Platform.str(), "");
}

void MembershipController::noteFailure(ResultCode Code) {
  bool Silent = Code == ResultCode::PlatformUnavailable ||
                Code == ResultCode::UnknownWriteOutcome;
  if (!Silent || !PlatformReachable)
    return;
  noteReachable(false);
  // Starts with a new list, which tells when the platform answers again.
  if (InstanceLoop && !PlatformStopped) {
    InstanceLoop->stop();
    InstanceLoop->start();
  }
}

void MembershipController::countSkipped(const std::string &Kind, int Items) {
  if (Items > 0)
    Shared.Counters.count(
        labelled("platform_items_skipped_total", "kind", Kind), Items);
}

void MembershipController::takeInstances(const InstanceList &List) {
  countSkipped("instances", List.Skipped);
  if (List.Complete)
    Instances.clear();
  else if (List.Items.empty() && List.Deleted.empty())
    return;
  for (const Instance &Each : List.Items)
    Instances[Each.Name] = Each;
  for (const InstanceId &Name : List.Deleted)
    Instances.erase(Name);
  InstanceListRead Read;
  Read.Revision = List.Revision;
  Read.Complete = List.Complete;
  for (const auto &[Name, Each] : Instances)
    if (Each.Role == InstanceRole::Entry)
      Read.Entries.push_back(Member{EntryId(Name.str()), Each.Zone,
                                    Each.Address,
                                    Each.State == InstanceState::Leaving});
  carryOut(
      decide(Liveness, LivenessEvent(std::move(Read)), Shared.Timers.now()));
  InstancesChanged.emit();
}

void MembershipController::takeObjects(const std::string &Kind,
                                       const ObjectList &List) {
  countSkipped(Kind, List.Skipped);
  PlatformRead Read;
  for (const Object &Each : List.Items) {
    if (Kind != ZonesKind) {
      Read.Items.push_back(
          SharedItem{{Kind, Each.Key.Name}, {Each.Version, ""}, Each.Value});
      continue;
    }
    Outcome<std::vector<SharedItem>> Items =
        capture([&] { return parseZonesObject(Each.Value); });
    if (errorOf(Items)) {
      Shared.record("zones-object-broken", Each.Key.Name,
                    errorOf(Items)->Message);
      continue;
    }
    for (SharedItem &Item : std::get<0>(Items))
      Read.Items.push_back(std::move(Item));
    Read.ZonesObject = Each.Version;
  }
  // A complete list without the object shows a deletion if it was seen before.
  bool Missing = List.Complete && !Read.ZonesObject && ZonesVersion > 0;
  if (Kind == ZonesKind && (Missing || !List.Deleted.empty()))
    ZonesObjectDeleted.emit();
  if (Read.ZonesObject)
    ZonesVersion = *Read.ZonesObject;
  if (List.Complete)
    CompleteKinds.insert(Kind);
  Read.Complete = CompleteKinds.size() == std::size(ObjectKinds);
  carryOut(decide(State, SharedEvent(std::move(Read)), Shared.Timers.now()));
}

void MembershipController::receive(const peer::Envelope &Message) {
  TimePoint Now = Shared.Timers.now();
  EntryId From(Message.sender());
  if (Message.has_heartbeat()) {
    const peer::Heartbeat &Beat = Message.heartbeat();
    PeerAcknowledged[From] = Beat.close_acknowledged();
    Member Sender{From, ZoneId(Beat.zone()), Beat.address(), Beat.leaving()};
    carryOut(decide(
        Liveness,
        LivenessEvent(PeerStatusReceived{Sender, Message.incarnation(), true}),
        Now));
    carryOut(decide(State,
                    SharedEvent(VersionsReceived{From, Beat.digest(),
                                                 notesOf(Beat.versions())}),
                    Now));
    return;
  }
  if (Message.has_summary()) {
    const peer::Summary &Summary = Message.summary();
    Member Sender{From, ZoneId(Summary.zone()), Summary.address(), false};
    carryOut(decide(
        Liveness,
        LivenessEvent(PeerStatusReceived{Sender, Message.incarnation(), false}),
        Now));
    carryOut(decide(State,
                    SharedEvent(VersionsReceived{From, Summary.digest(),
                                                 notesOf(Summary.versions())}),
                    Now));
    return;
  }
  carryOut(decide(Liveness,
                  LivenessEvent(MessageReceived{From, Message.incarnation()}),
                  Now));
}

void MembershipController::handleState() {
  Hub.handle(peer::Envelope::kStatePull, [this](const auto &Message) {
    const peer::StatePull &Pull = Message.state_pull();
    EntryId From(Message.sender());
    SharedEvent Event = VersionsRequested{From};
    if (!Pull.kind().empty())
      Event = PullReceived{
          From, {Pull.kind(), Pull.name()}, versionOf(Pull.have())};
    carryOut(decide(State, Event, Shared.Timers.now()));
  });
  Hub.handle(peer::Envelope::kStatePush, [this](const auto &Message) {
    const peer::StatePush &Push = Message.state_push();
    SharedItem Item{
        {Push.kind(), Push.name()}, versionOf(Push.version()), Push.value()};
    carryOut(decide(State, SharedEvent(PushReceived{std::move(Item)}),
                    Shared.Timers.now()));
  });
  Hub.handle(peer::Envelope::kStateVersions, [this](const auto &Message) {
    const peer::StateVersions &Answer = Message.state_versions();
    carryOut(decide(
        State,
        SharedEvent(VersionsAnswered{EntryId(Message.sender()), Answer.ready(),
                                     notesOf(Answer.versions())}),
        Shared.Timers.now()));
  });
}

void MembershipController::carryOut(
    const std::vector<LivenessAction> &Actions) {
  bool Connect = false;
  bool Healths = false;
  for (const LivenessAction &Action : Actions) {
    if (const auto *Beat = std::get_if<SendHeartbeat>(&Action))
      sendHeartbeat(Beat->To);
    if (const auto *Summary = std::get_if<SendSummary>(&Action))
      sendSummary(Summary->To);
    if (const auto *Gone = std::get_if<ConfirmedGone>(&Action)) {
      Shared.record("entry-gone", Gone->Entry.str(), "instance list");
      EntryGone.emit(*Gone);
    }
    if (const auto *Changed = std::get_if<HealthChanged>(&Action)) {
      if (Changed->Now == Health::Down)
        Shared.record("entry-down", Changed->Entry.str(), "no heartbeat");
      Healths = true;
    }
    Connect = Connect || std::holds_alternative<MembersChanged>(Action);
  }
  if (Connect)
    connectPeers();
  if (Healths || Connect)
    HealthsChanged.emit();
}

void MembershipController::carryOut(const std::vector<SharedAction> &Actions) {
  for (const SharedAction &Action : Actions)
    carryOut(Action);
}

void MembershipController::carryOut(const SharedAction &Action) {
  if (const auto *Pull = std::get_if<SendPull>(&Action)) {
    Hub.send(Pull->To, pullEnvelope(Pull->Key, Pull->Have));
  } else if (const auto *Push = std::get_if<SendPush>(&Action)) {
    Hub.send(Push->To, pushEnvelope(Push->Item));
  } else if (const auto *Asked = std::get_if<RequestVersions>(&Action)) {
    Hub.send(Asked->To, pullEnvelope({}, {}));
  } else if (const auto *Answer = std::get_if<AnswerVersions>(&Action)) {
    Hub.send(Answer->To, versionsEnvelope(Answer->Notes, Answer->Ready));
  } else if (const auto *Put = std::get_if<PutInForce>(&Action)) {
    Shared.record("in-force", Put->Item.Key.Kind + "/" + Put->Item.Key.Name,
                  "version " + std::to_string(Put->Item.Version.Counter));
    InForce.emit(Put->Item);
  } else if (const auto *Zones = std::get_if<StoreZones>(&Action)) {
    storeZones(*Zones);
  } else if (std::holds_alternative<Joined>(Action)) {
    Shared.record("joined", Shared.Config.Entry.str(), "");
  }
}

void MembershipController::storeZones(const StoreZones &Action) {
  if (PlatformStopped)
    return;
  std::string WriteId = Shared.Config.Entry.str() + "." +
                        std::to_string(Shared.Started) + ".z" +
                        std::to_string(++LastWrite);
  // A conflict needs nothing: the next read of the object decides again.
  Store.writeObject({ZonesKind, "state"}, Action.ObjectVersion,
                    zonesObjectText(Action.Items), WriteId,
                    [](const auto &) {});
}

void MembershipController::sendHeartbeat(const EntryId &To) {
  peer::Envelope Envelope;
  peer::Heartbeat &Beat = *Envelope.mutable_heartbeat();
  Beat.set_zone(Shared.Config.Zone.str());
  Beat.set_address(Shared.Config.Peers.str());
  Beat.set_ready(Ready);
  Beat.set_leaving(Liveness.Self.Leaving);
  Beat.set_close_acknowledged(CloseAcknowledged);
  Beat.set_digest(State.Digest);
  addNotes(*Beat.mutable_versions(), Notes);
  Hub.send(To, std::move(Envelope));
}

void MembershipController::sendSummary(const EntryId &To) {
  peer::Envelope Envelope;
  peer::Summary &Summary = *Envelope.mutable_summary();
  Summary.set_zone(Shared.Config.Zone.str());
  Summary.set_address(Shared.Config.Peers.str());
  Summary.set_close_acknowledged(zoneCloseAcknowledged());
  Summary.set_digest(State.Digest);
  addNotes(*Summary.mutable_versions(), Notes);
  if (AddToSummary)
    AddToSummary(Summary);
  Hub.send(To, std::move(Envelope));
}

void MembershipController::connectPeers() {
  std::vector<PeerAddress> Addresses;
  for (const Member &Each : members(Liveness))
    if (!Each.Address.empty())
      Addresses.push_back(PeerAddress{Each.Entry, Each.Address});
  Hub.setPeers(std::move(Addresses));
}

SharedVersion MembershipController::setByOperator(const SharedKey &Key,
                                                  const std::string &Value,
                                                  const std::string &Operator) {
  // Unique over processes, so that no two changes share a stamp.
  std::string ChangeId = Shared.Config.Entry.str() + "." +
                         std::to_string(Shared.Started) + "." +
                         std::to_string(++LastWrite);
  return setByOperator(
      SharedItem{Key, nextStamp(State, Key, Operator, ChangeId), Value});
}

SharedVersion MembershipController::setByOperator(const SharedItem &Item) {
  carryOut(
      decide(State, SharedEvent(OperatorChange{Item}), Shared.Timers.now()));
  return heldVersion(State, Item.Key);
}

void MembershipController::offer(const SharedItem &Item) {
  carryOut(decide(State, SharedEvent(PushReceived{Item}), Shared.Timers.now()));
}

bool MembershipController::zoneCloseAcknowledged() const {
  if (!CloseAcknowledged)
    return false;
  for (const EntryId &Each : liveZoneEntries(Liveness)) {
    if (Each == Shared.Config.Entry)
      continue;
    auto Found = PeerAcknowledged.find(Each);
    if (Found == PeerAcknowledged.end() || !Found->second)
      return false;
  }
  return true;
}

void MembershipController::stopPlatform() {
  PlatformStopped = true;
  if (InstanceLoop)
    InstanceLoop->stop();
  for (auto &[Kind, Loop] : ObjectLoops)
    Loop->stop();
}

} // namespace samphirehill
