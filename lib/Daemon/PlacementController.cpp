#include "samphirehill/Daemon/PlacementController.h"

#include "peer.pb.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

constexpr Duration TickPeriod = milliseconds(250);

} // namespace

PlacementController::PlacementController(Runtime &Shared, PeerHub &Hub,
                                         Platform &Store,
                                         MembershipController &Membership,
                                         ProbeController &Probes,
                                         CreditController &Credits,
                                         const Catalogue &Texts,
                                         UpstreamDirectory &Directory)
    : Shared(Shared), Hub(Hub), Store(Store), Membership(Membership),
      Probes(Probes), Credits(Credits), Texts(Texts), Directory(Directory) {
  Orders.Self = self();
  Membership.InstancesChanged.connect([this] { configurationChanged(); });
  Membership.EntryGone.connect(
      [this](const ConfirmedGone &Gone) { noteGone(Gone); });
  Probes.Reported.connect([this](const EngineReport &Report) {
    carryOut(step(Orders, OrdersEvent(ReportReceived{Report}),
                  this->Shared.Timers.now()));
  });
  Probes.UpstreamSeen.connect(
      [this](const UpstreamId &Name, const BootId &Boot, bool Warm) {
        Seen[Name] = {Boot, Warm};
        openHomes();
      });
  Hub.handle(peer::Envelope::kHomeRelease, [this](const auto &Message) {
    const peer::HomeRelease &Release = Message.home_release();
    UpstreamId Name(Release.upstream());
    if (!Stored)
      return;
    auto Found = Stored->Homes.find(Name);
    if (Found == Stored->Homes.end() ||
        Found->second.Epoch != Release.epoch() ||
        Found->second.Holder.Entry.str() != Message.sender())
      return;
    Released[Name] = Release.epoch();
  });
  Tick = Shared.Timers.every(TickPeriod, [this] { tick(); });
}

void PlacementController::placementInForce(const SharedItem &Item) {
  Json Parsed = Json::parse(Item.Value, nullptr, false);
  Outcome<Placement> Value = capture([&] { return placementFromJson(Parsed); });
  if (const Error *Failure = errorOf(Value)) {
    Shared.record("placement-broken", Item.Key.Name, Failure->Message);
    return;
  }
  Placement &Read = std::get<0>(Value);
  // The homes of other zones' upstreams matter to the wallet.
  for (const auto &[Name, Where] : Read.Homes)
    Credits.setHome(Name, Where.Holder.Entry);
  if (Item.Key.Name != Shared.Config.Zone.str())
    return;
  if (Item.Version.Counter <= Version)
    return;
  Version = Item.Version.Counter;
  Stored = Read;
  // A role that was given up is gone once its epoch has passed; later holders
  // have not given it up.
  std::erase_if(Released, [this](const auto &Each) {
    auto Found = Stored->Homes.find(Each.first);
    return Found == Stored->Homes.end() || Found->second.Epoch != Each.second;
  });
  adopt(std::move(Read));
}

void PlacementController::adopt(Placement Value) {
  Effective = std::move(Value);
  updateHomes();
  updateTargets();
  feedOrders();
}

void PlacementController::configurationChanged() {
  updateHomes();
  updateTargets();
  feedOrders();
}

void PlacementController::tick() {
  carryOut(step(Orders, OrdersEvent(OrdersTick{}), Shared.Timers.now()));
  updateHomes();
  openHomes();
  if (Stored && Membership.joined() && isLeader())
    lead();
  if (!Membership.platformReachable())
    substituteWhileDown();
}

bool PlacementController::isLeader() const {
  return zoneRoles(Membership.liveness()).Relay == Shared.Config.Entry;
}

void PlacementController::lead() {
  if (WriteInFlight || ReadInFlight || !Membership.platformReachable())
    return;
  if (Stored->Controller != self()) {
    store(takeOver(*Stored, self()), "takeover");
    return;
  }
  for (const FormerController &Former : Stored->Former) {
    bool Gone = isConfirmedGone(Membership.liveness(), Former.Run.Entry,
                                Former.Run.Start);
    if (!Gone)
      continue;
    store(settleFormer(*Stored, Former.Run), "former controller is gone");
    return;
  }
  planAndStore();
}

PlannerInput PlacementController::plannerInput() {
  PlannerInput Input;
  Input.Zone = Shared.Config.Zone;
  if (!Unloading)
    Input.Texts = textValues();
  for (const auto &[Name, Each] : Membership.instances())
    Input.Instances.push_back(Each);
  Input.Reports = Probes.reports();
  Input.CollectingSince = Probes.collectingSince();
  for (const auto &[Key, Held] : Membership.shared().Values)
    if (Key.Kind == ZoneKind && Held.Item.Value == "out")
      Input.ZonesOut.insert(ZoneId(Key.Name));
  Input.Now = Shared.Timers.now();
  Input.Current = *Stored;
  std::map<GroupId, GroupHealth> Judged =
      evaluateGroups(Healths, *Stored, Input.Reports, Input.Now);
  for (const auto &[Name, Health] : Judged)
    if (Health.serves())
      Input.Serving.insert(Name);
  Input.Rebooted = rebootedGroups(Judged);
  Input.Replaced = enginesToReplace(Input.Reports);
  for (const EntryId &Entry : liveZoneEntries(Membership.liveness())) {
    if (Entry == Shared.Config.Entry) {
      if (!LeavingHomes)
        Input.LiveEntries.push_back(self());
      continue;
    }
    auto Peer = Membership.liveness().Peers.find(Entry);
    if (Peer != Membership.liveness().Peers.end() &&
        !Peer->second.Known.Leaving && Peer->second.Started > 0)
      Input.LiveEntries.push_back({Entry, Peer->second.Started});
  }
  for (const auto &[Name, Where] : Stored->Homes)
    if (isConfirmedGone(Membership.liveness(), Where.Holder.Entry,
                        Where.Holder.Start))
      Input.GoneEntries.insert(Where.Holder);
  for (const auto &[Name, Epoch] : Released)
    Input.ReleasedHomes.insert(Name);
  return Input;
}

// Leaders stand for their groups: they serve the requests and report the rate.
std::set<InstanceId>
PlacementController::enginesToReplace(const EngineReports &Reports) {
  std::map<ServiceId, std::vector<RateSample>> Samples;
  for (const Group &Each : Stored->Groups)
    if (const EngineReport *Leader = findReport(Reports, Each.Members.front()))
      Samples[Each.Service].push_back(
          {Leader->Name, Leader->TokensPerSecond, Leader->Running});
  std::set<InstanceId> Slow;
  for (const auto &[Of, Rates] : Samples)
    Slow.merge(findStragglers(SlowEngines[Of], Rates, Shared.Timers.now()));
  std::erase_if(Replacing, [this](const InstanceId &Name) {
    return Stored->groupOf(Name) == nullptr;
  });
  std::set<InstanceId> Chosen =
      stragglersToReplace(Slow, static_cast<int>(listedEngines().size()),
                          static_cast<int>(Replacing.size()));
  for (const InstanceId &Name : Chosen)
    if (Replacing.insert(Name).second)
      Shared.record("straggler", Name.str(), "under half its peers' rate");
  return Replacing;
}

void PlacementController::planAndStore() {
  PlannerInput Input = plannerInput();
  Plan Planned = plan(Input);
  Shared.Counters.set("stranded_accelerators", Planned.StrandedAccelerators);
  Shared.Counters.count("stranded_accelerator_seconds_total",
                        Planned.StrandedAccelerators * toSeconds(TickPeriod));
  double Down = static_cast<double>(Input.Current.Groups.size()) -
                static_cast<double>(Input.Serving.size());
  Shared.Counters.set("groups_serving",
                      static_cast<double>(Input.Serving.size()));
  Shared.Counters.count("group_down_seconds_total",
                        std::max(0.0, Down) * toSeconds(TickPeriod));
  if (Planned.Next == *Stored)
    return;
  std::string Reason;
  for (const std::string &Each : Planned.Reasons)
    Reason += (Reason.empty() ? "" : "; ") + Each;
  store(Planned.Next, Reason);
}

void PlacementController::store(const Placement &Next,
                                const std::string &Reason) {
  WriteInFlight = true;
  std::string WriteId = Shared.Config.Entry.str() + "." +
                        std::to_string(Shared.Started) + ".p" +
                        std::to_string(++LastWrite);
  Shared.record("placement-write", Shared.Config.Zone.str(), Reason);
  Store.writeObject({PlacementKind, Shared.Config.Zone.str()}, Version,
                    toJson(Next).dump(), WriteId,
                    [this, Next, WriteId](const auto &Value) {
                      stored(Next, WriteId, Value);
                    });
}

void PlacementController::stored(const Placement &Next, const std::string &,
                                 const Outcome<std::uint64_t> &Value) {
  WriteInFlight = false;
  if (errorOf(Value)) {
    Shared.record("placement-write-failed", Shared.Config.Zone.str(),
                  errorOf(Value)->Message);
    Membership.noteFailure(errorOf(Value)->Code);
    // Whatever became of the write, the object tells.
    readBack();
    return;
  }
  Membership.offer(SharedItem{{PlacementKind, Shared.Config.Zone.str()},
                              {std::get<0>(Value), ""},
                              toJson(Next).dump()});
}

void PlacementController::readBack() {
  if (std::exchange(ReadInFlight, true))
    return;
  Store.readObject({PlacementKind, Shared.Config.Zone.str()},
                   [this](const Outcome<Object> &Value) {
                     ReadInFlight = false;
                     if (const auto *Read = std::get_if<Object>(&Value))
                       Membership.offer(
                           SharedItem{{PlacementKind, Read->Key.Name},
                                      {Read->Version, ""},
                                      Read->Value});
                   });
}

// While the object can't be written, a lost member's spare takes its place. All
// entries derive the same placement from the stored one.
void PlacementController::substituteWhileDown() {
  if (!Stored)
    return;
  Placement Value = *Stored;
  TimePoint Now = Shared.Timers.now();
  for (const Group &Each : Stored->Groups) {
    for (const InstanceId &Member : Each.Members) {
      const EngineReport *Report = findReport(Probes.reports(), Member);
      TimePoint Heard = Report ? Report->At : Probes.collectingSince();
      if (Now - Heard < MemberLossTime)
        continue;
      if (std::optional<Placement> Next = substituteSpare(Value, Member)) {
        Value = std::move(*Next);
        break;
      }
    }
  }
  if (Value == Effective)
    return;
  Shared.record("spare-substituted", Shared.Config.Zone.str(),
                "the platform is down");
  adopt(std::move(Value));
}

void PlacementController::feedOrders() {
  if (!Stored)
    return;
  std::vector<InstanceId> Engines = listedEngines();
  std::vector<OperatorsText> Values = textValues();
  PlacementStored Event{Effective, targetsOf(Effective, Values, Engines),
                        fenceChecks(Effective, Values, Engines)};
  carryOut(step(Orders, OrdersEvent(std::move(Event)), Shared.Timers.now()));
}

void PlacementController::carryOut(const std::vector<OrdersAction> &Actions) {
  for (const OrdersAction &Action : Actions) {
    if (const auto *Send = std::get_if<SendOrder>(&Action))
      sendOrder(Send->Engine, Send->Value);
    else if (const auto *Read = std::get_if<ReadStatus>(&Action))
      Probes.probeNow(Read->Engine);
    else if (std::holds_alternative<ReadPlacement>(Action))
      readBack();
    else if (const auto *Ack = std::get_if<AcknowledgeTakeover>(&Action)) {
      // At a later fence the acknowledgement would cover orders it does not
      // know of.
      if (Stored && !WriteInFlight && Stored->Fence == Ack->Fence)
        store(settleFormer(*Stored, self()), "takeover acknowledged");
    }
  }
}

void PlacementController::sendOrder(const InstanceId &Engine,
                                    const Order &Value) {
  auto Listed = Membership.instances().find(Engine);
  if (Listed == Membership.instances().end())
    return;
  Shared.record("order", Engine.str(),
                "group " + Value.Group.str() + " generation " +
                    std::to_string(Value.Generation) + " fence " +
                    std::to_string(Value.Fence));
  HttpRequest Request;
  Request.Method = "POST";
  Request.Url = "http://" + Listed->second.Address + "/orders";
  Request.Headers = {{"Content-Type", "application/json"}};
  Request.Body = toJson(Value).dump();
  Request.Timeout = OrderTimeout;
  Request.FreshConnection = true;
  std::string OrderId = Value.OrderId;
  Shared.Http.send(
      std::move(Request), [this, Engine, OrderId](const auto &Answer) {
        OrdersEvent Event = OrderAnswerLost{Engine, OrderId};
        if (const auto *Response = std::get_if<HttpResponse>(&Answer)) {
          Json Body = Json::parse(Response->Body, nullptr, false);
          if (Body.is_object() && Body.contains("accepted") &&
              Body["accepted"].is_boolean() && Body.contains("fence") &&
              Body["fence"].is_number_unsigned())
            Event = OrderAnswered{Engine, OrderId, Body["accepted"].get<bool>(),
                                  Body["fence"].get<std::uint64_t>()};
        }
        carryOut(step(Orders, Event, Shared.Timers.now()));
      });
}

std::vector<InstanceId> PlacementController::listedEngines() const {
  std::vector<InstanceId> Names;
  for (const auto &[Name, Each] : Membership.instances())
    if (Each.Role == InstanceRole::Engine && Each.Zone == Shared.Config.Zone)
      Names.push_back(Name);
  return Names;
}

std::vector<OperatorsText> PlacementController::textValues() const {
  std::vector<OperatorsText> Values;
  for (const auto &Text : Texts.texts())
    Values.push_back(*Text);
  return Values;
}

const Service *PlacementController::serviceOf(const UpstreamId &Name) const {
  if (const Group *Found = Effective.findGroup(GroupId(Name.str()))) {
    auto Text = Texts.textOfService(Found->Service);
    return Text ? Text->findService(Found->Service) : nullptr;
  }
  for (const auto &Text : Texts.texts())
    if (const Service *Found = Text->serviceOfInstance(InstanceId(Name.str())))
      return Found;
  return nullptr;
}

void PlacementController::updateTargets() {
  ProbeController::Targets Wanted;
  Wanted.Groups = Effective;
  Wanted.Controller = zoneRoles(Membership.liveness()).Relay;
  bool Controls = Wanted.Controller == Shared.Config.Entry;
  for (const auto &[Name, Where] : Effective.Homes) {
    if (Where.Holder != self())
      continue;
    const Service *Of = serviceOf(Name);
    if (!Of)
      continue;
    Wanted.Homes.insert(Name);
    Wanted.Services[Name] = *Of;
  }
  for (const auto &[Name, Each] : Membership.instances()) {
    if (Each.Zone != Shared.Config.Zone || Each.Role == InstanceRole::Entry)
      continue;
    const Group *Of = Effective.groupOf(Name);
    UpstreamId Upstream(Of ? Of->Name.str() : Name.str());
    bool Unowned = Each.Role == InstanceRole::Engine && !Of;
    if (Wanted.Homes.contains(Upstream) || (Controls && Unowned))
      Wanted.Instances[Name] = Each;
  }
  Probes.setTargets(std::move(Wanted));
}

std::vector<EngineReport> PlacementController::zoneEngines() const {
  std::vector<EngineReport> Engines;
  for (const InstanceId &Name : listedEngines())
    if (const EngineReport *Report = findReport(Probes.reports(), Name))
      Engines.push_back(*Report);
  return Engines;
}

void PlacementController::unloadAll() {
  if (std::exchange(Unloading, true))
    return;
  Shared.record("unload", Shared.Config.Zone.str(), "close");
}

} // namespace samphirehill
