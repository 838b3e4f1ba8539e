#include "samphirehill/Daemon/Entry.h"

#include "samphirehill/Daemon/CacheController.h"
#include "samphirehill/Daemon/OperatorApi.h"
#include "samphirehill/Daemon/RecordController.h"
#include "samphirehill/Daemon/RequestPath.h"
#include "samphirehill/Membership/Close.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace samphirehill {
namespace {

constexpr Duration TickPeriod = milliseconds(100);
// After a text came in force a caller is told to come back this soon.
constexpr Duration NotReadyRetry = seconds(1);

HttpServerOptions serverOptions(const SocketAddress &Address,
                                const Settings &Config) {
  HttpServerOptions Options;
  Options.Address = Address.Host;
  Options.Port = Address.Port;
  Options.ReadTimeout = Config.HeaderDeadline + Config.BodyDeadline;
  return Options;
}

} // namespace

struct Entry::Parts {
  Parts(asio::io_context &Context, const Settings &Config)
      : Shared(Context, Config, std::random_device{}()) {}

  void connect();
  void takeCaller(const std::shared_ptr<HttpExchange> &Exchange);
  void putInForce(const SharedItem &Item);
  void putText(const SharedItem &Item);
  std::optional<Refusal> refusalNow() const;
  bool ready() const;
  bool closesNow() const;
  void tick();
  void followClose();
  void followShutdown();
  std::size_t inProgress() const;

  Runtime Shared;
  Catalogue Texts;
  UpstreamDirectory Directory;
  RetryBudgets Retries;
  RunEstimates Runs;
  std::unique_ptr<Platform> Store;
  std::unique_ptr<PeerHub> Hub;
  std::unique_ptr<MembershipController> Membership;
  std::unique_ptr<CreditController> Credits;
  std::unique_ptr<CrashController> Crashes;
  std::unique_ptr<ProbeController> Probes;
  std::unique_ptr<CacheController> Caches;
  std::unique_ptr<PlacementController> Placements;
  std::unique_ptr<Dispatcher> Dispatch;
  std::unique_ptr<UpstreamCalls> Calls;
  std::unique_ptr<RecordController> Records;
  std::unique_ptr<RequestPath> Path;
  std::unique_ptr<OperatorApi> Operators;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> OperatorServer;
  bool ShuttingDown = false;
  bool ZonesObjectDeleted = false;
  TimePoint ShutdownBy{};
  std::function<void()> ShutdownDone;
  TimerSubscription Tick;
};

void Entry::Parts::connect() {
  Store = makeHttpPlatform(Shared.Http, {Shared.Config.Platform.str(),
                                         Shared.Config.PlatformDeadline});
  Membership = std::make_unique<MembershipController>(Shared, *Hub, *Store);
  Credits = std::make_unique<CreditController>(Shared, *Hub);
  Crashes = std::make_unique<CrashController>(Shared, *Hub, [this] {
    std::vector<EntryId> Peers;
    for (const Member &Each : members(Membership->liveness()))
      Peers.push_back(Each.Entry);
    return Peers;
  });
  Probes = std::make_unique<ProbeController>(Shared, *Hub, *Membership,
                                             *Credits, Directory);
  Caches = std::make_unique<CacheController>(Shared, *Hub, *Membership,
                                             *Credits, Directory);
  Crashes->Crashed.connect(
      [this](const CrashId &Where) { Probes->probeGroup(Where.Upstream); });
  Placements = std::make_unique<PlacementController>(
      Shared, *Hub, *Store, *Membership, *Probes, *Credits, Texts, Directory);
  Dispatch = std::make_unique<Dispatcher>(Shared, *Credits, Directory);
  Calls = std::make_unique<UpstreamCalls>(Shared, *Dispatch, *Credits, *Crashes,
                                          Directory);
  CallParts Served{Shared, *Dispatch, *Credits, *Crashes,
                   *Calls, Directory, Retries,  Runs};
  Records = std::make_unique<RecordController>(
      Served, *Hub, *Store, Texts, recordPeersOf(*Membership, Shared));
  RequestPathHooks Hooks;
  Hooks.Admission = [this] { return refusalNow(); };
  Hooks.Keyed = [this](RequestContext Request, std::function<void()> Ended) {
    Records->keyed(std::move(Request), std::move(Ended));
  };
  Hooks.IssueKey = [this](RequestContext &Request) {
    Records->issueKey(Request);
  };
  Path = std::make_unique<RequestPath>(Served, Texts, std::move(Hooks));
  Operators = std::make_unique<OperatorApi>(Shared, *Hub, *Membership,
                                            *Placements, Texts, Directory,
                                            [this] { return inProgress(); });
  Membership->InForce.connect(
      [this](const SharedItem &Item) { putInForce(Item); });
  Membership->EntryGone.connect(
      [this](const ConfirmedGone &Gone) { Records->entryGone(Gone); });
  Membership->ZonesObjectDeleted.connect([this] { ZonesObjectDeleted = true; });
  Membership->start();
  Tick = Shared.Timers.every(TickPeriod, [this] { tick(); });
}

void Entry::Parts::putInForce(const SharedItem &Item) {
  if (Item.Key.Kind == ConfigKind)
    putText(Item);
  else if (Item.Key.Kind == PlacementKind)
    Placements->placementInForce(Item);
  else if (Item.Key.Kind == ZoneKind) {
    Directory.setZoneOut(ZoneId(Item.Key.Name), Item.Value == "out");
    Placements->configurationChanged();
    Dispatch->pumpAll();
  }
}

void Entry::Parts::putText(const SharedItem &Item) {
  nlohmann::json Parsed = nlohmann::json::parse(Item.Value, nullptr, false);
  Outcome<OperatorsText> Text =
      capture([&] { return OperatorsText::fromJson(Parsed); });
  if (const Error *Failure = errorOf(Text)) {
    Shared.record("text-broken", Item.Key.Name, Failure->Message);
    return;
  }
  Texts.put(std::move(std::get<0>(Text)), Item.Version.Counter);
  Shared.Counters.set(labelled("text_version", "operator", Item.Key.Name),
                      static_cast<double>(Item.Version.Counter));
  Placements->configurationChanged();
}

std::optional<Refusal> Entry::Parts::refusalNow() const {
  if (closesNow())
    return Refusal{Error{ResultCode::Closing, "the venture is closing"}};
  if (ShuttingDown)
    return Refusal{Error{ResultCode::ShuttingDown,
                         "this entry is shutting down; another one serves"},
                   NotReadyRetry};
  if (!ready())
    return Refusal{
        Error{ResultCode::NoUpstream, "this entry has not joined yet"},
        NotReadyRetry};
  return std::nullopt;
}

// An entry that was cut off through the whole close sees only the deletion.
bool Entry::Parts::closesNow() const {
  return isClosing(Membership->shared()) || ZonesObjectDeleted;
}

bool Entry::Parts::ready() const {
  return Membership->joined() && !ShuttingDown && !Texts.texts().empty();
}

std::size_t Entry::Parts::inProgress() const { return Path->inProgress(); }

void Entry::Parts::takeCaller(const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string &Target = Exchange->path();
  HttpHeaders Plain = {{"Content-Type", "text/plain; charset=utf-8"}};
  if (Target == "/healthz")
    return Exchange->respond(200, Plain, "ok\n");
  if (Target == "/readyz")
    return Exchange->respond(ready() ? 200 : 503, Plain,
                             ready() ? "ready\n" : "not ready\n");
  if (Target == "/metrics")
    return Exchange->respond(200,
                             {{"Content-Type", "text/plain; version=0.0.4"}},
                             Shared.Counters.exposition());
  Path->take(Exchange);
}

void Entry::Parts::tick() {
  Membership->setReady(ready());
  Shared.Counters.set("requests_waiting",
                      static_cast<double>(Dispatch->waiting()));
  Shared.Counters.set("requests_in_progress",
                      static_cast<double>(inProgress()));
  PeerLinkCounters Peers = Hub->counters();
  Shared.Counters.set("peer_sent_bytes", static_cast<double>(Peers.SentBytes));
  Shared.Counters.set("peer_received_bytes",
                      static_cast<double>(Peers.ReceivedBytes));
  Shared.Counters.set("peer_sent_messages",
                      static_cast<double>(Peers.SentMessages));
  if (closesNow())
    followClose();
  if (ShuttingDown)
    followShutdown();
}

void Entry::Parts::followClose() {
  EntryCloseView View;
  View.MarkSet = isClosing(Membership->shared());
  View.ZonesObjectDeleted = ZonesObjectDeleted;
  View.RequestsInProgress = inProgress() + Calls->count();
  View.ControlsZone = Placements->controls();
  View.ZoneAcknowledged = Membership->zoneCloseAcknowledged();
  for (const EngineReport &Each : Placements->zoneEngines())
    View.ZoneEngines.push_back(
        {Each.Name, true, Each.State != EngineState::Idle,
         static_cast<std::size_t>(Each.Running + Each.Queued)});
  EntryCloseDecision Decision = closeDecision(View);
  Membership->setCloseAcknowledged(Decision.Acknowledge);
  if (!Decision.Unload.empty())
    Placements->unloadAll();
  if (Decision.Finished)
    Membership->stopPlatform();
}

void Entry::Parts::followShutdown() {
  bool Late = Shared.Timers.now() >= ShutdownBy;
  bool KeepsRecords =
      Records->shardsLeft() > 0 || Records->callsInProgress() > 0;
  if ((inProgress() > 0 || KeepsRecords) && !Late)
    return;
  Placements->releaseHomes();
  if ((Calls->count() > 0 || Placements->homesLeft() > 0) && !Late)
    return;
  if (ShutdownDone)
    std::exchange(ShutdownDone, nullptr)();
}

Entry::Entry(std::unique_ptr<Parts> Own) : Own(std::move(Own)) {}
Entry::~Entry() = default;

Result<std::unique_ptr<Entry>> Entry::create(asio::io_context &Context,
                                             const Settings &Config) {
  auto Own = std::make_unique<Parts>(Context, Config);
  Parts *Raw = Own.get();
  BOOST_LEAF_ASSIGN(Own->Hub, PeerHub::create(Own->Shared));
  Own->connect();
  BOOST_LEAF_ASSIGN(Own->CallerServer,
                    HttpServer::create(Context,
                                       serverOptions(Config.Callers, Config),
                                       [Raw](const auto &Exchange) {
                                         Raw->takeCaller(Exchange);
                                       }));
  BOOST_LEAF_ASSIGN(Own->OperatorServer,
                    HttpServer::create(Context,
                                       serverOptions(Config.Operators, Config),
                                       [Raw](const auto &Exchange) {
                                         Raw->Operators->take(Exchange);
                                       }));
  Own->Shared.record("started", Config.Entry.str(),
                     "callers at " + Config.Callers.str());
  return std::unique_ptr<Entry>(new Entry(std::move(Own)));
}

void Entry::shutDown(std::function<void()> Done) {
  if (std::exchange(Own->ShuttingDown, true))
    return;
  Own->Shared.record("shutting-down", Own->Shared.Config.Entry.str(), "signal");
  Own->Membership->setLeaving();
  Own->Records->handOver();
  Own->ShutdownBy =
      Own->Shared.Timers.now() + Own->Shared.Config.ShutdownDeadline;
  Own->ShutdownDone = std::move(Done);
}

} // namespace samphirehill
