// One entry that serves through a platform's adapter: wires the callers'
// server, the request flows, the upstreams, the other entries and the group
// duty.
#ifndef SAMPHIREHILL_SERVING_SERVINGENTRY_H
#define SAMPHIREHILL_SERVING_SERVINGENTRY_H

#include "samphirehill/Config/ServingSettings.h"
#include "samphirehill/Core/Result.h"
#include "samphirehill/Net/TimerService.h"
#include "samphirehill/Serving/CallerServer.h"
#include "samphirehill/Serving/CrashRecord.h"
#include "samphirehill/Serving/Fleet.h"
#include "samphirehill/Serving/GroupController.h"
#include "samphirehill/Serving/ObjectStore.h"
#include "samphirehill/Serving/PeerGossip.h"
#include "samphirehill/Serving/RequestFlow.h"
#include "samphirehill/Serving/RequestWire.h"
#include "samphirehill/Serving/RetryShare.h"
#include "samphirehill/Serving/ServingMetrics.h"
#include "samphirehill/Serving/UpstreamBook.h"
#include "samphirehill/Serving/UpstreamExchange.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace samphirehill::serving {

// An instance as the platform lists it.
struct ListedInstance {
  Instance Listed;
  Duration ColdFor{}; // how much longer it bears little load
};

// What the adapter supplies.
struct Adapter {
  RequestWire Wire;
  ObjectStore Store;
  InstanceCalls Calls;
  std::string ReadinessPath;
};

class ServingEntry {
public:
  // Opens all listeners. Fails with InvalidSettings.
  static Result<std::unique_ptr<ServingEntry>>
  create(asio::io_context &Context, TimerService &Timers, ExchangePool &Pool,
         ServingMetrics &Metrics, const ServingSettings &Settings,
         Adapter Supplied);

  ServingEntry(asio::io_context &Context, TimerService &Timers,
               ExchangePool &Pool, ServingMetrics &Metrics,
               const ServingSettings &Settings, Adapter Supplied);
  ServingEntry(const ServingEntry &) = delete;
  ServingEntry &operator=(const ServingEntry &) = delete;

  // The platform's facts, from the adapter. An older configuration than the
  // one in force is passed over.
  void takeConfiguration(Configuration Changed);
  // The whole list. AfterOutage tells that the platform could not be read for
  // a while: entries that lapsed meanwhile may come back.
  void takeInstances(std::vector<ListedInstance> All, bool AfterOutage);
  void takeInstance(ListedInstance Changed);
  void removeInstance(const InstanceId &Id);
  void takeZonesOut(std::set<ZoneId> Zones);

  // The order of changes of the list. Returns whether to apply a change that
  // the platform told; OnListChange is called for those that another entry
  // told, once for each.
  bool newsOfList(const ListChange &Change);
  void listTaken(const std::vector<StoredObject> &All);
  std::function<void(const ListChange &Change)> OnListChange;
  // Returns whether the list follows the platform's store now.
  std::function<bool()> ListCurrent;
  // Tells whether a relay tells this entry the changes of the list, so that the
  // platform need be asked less often.
  bool listRelayed() const { return Peers.listRelayed(); }
  // Returns how old the list may be at most where the platform is in reach:
  // a leaving instance must get no new work in time.
  Duration longestListAge() const { return Settings.Drain * 4 / 5; }
  // Called when another entry knows a newer configuration, or other zones out
  // of service, or when the relays no longer tell the list.
  std::function<void()> OnPlatformNews;

  // Tells whether this entry holds the group duty.
  bool holdsDuty() const { return Groups.holds(); }

  // Applies settings that may change while the entry runs.
  void reload(const ServingSettings &Changed);

  // Stops gracefully: not ready, then no new connections, then Done once no
  // request is in progress or the grace is nearly over.
  void shutDown(std::function<void()> Done);

private:
  Result<void> start();
  void joinPeers();
  void listPeers();
  void retryJoin(const Error &Failed);
  void rebuildUpstreams();
  void upstreamsChanged();
  EntryReport report();
  void heard(const EntryReport &Report);
  void tick();
  bool ready() const;
  void answerReadiness(const std::shared_ptr<CallerRequest> &Request);
  void compareWith(const EntryReport &Report);
  void answerMetrics(const std::shared_ptr<CallerRequest> &Request);

  TimerService &Timers;
  ExchangePool &Pool;
  ServingSettings Settings;
  Adapter Supplied;
  ServingMetrics &Metrics;
  Fleet Instances;
  UpstreamBook Book;
  RetryShare Retries;
  CrashRecord Crashes;
  std::shared_ptr<const Configuration> Config;
  RequestFlows Flows;
  CallerServer Callers;
  CallerServer Readiness;
  CallerServer MetricsServer;
  PeerGossip Peers;
  GroupController Groups;
  std::map<InstanceId, TimePoint> Lapsed; // missing since an outage's end
  ListChanges Changes;
  bool WasRelayed = false;
  bool PeersListed = false;
  TimePoint AskedForNewsAt{};
  Incarnation Life = 0;
  std::int64_t OwnRevision = 0; // of the own entry in the platform's store
  TimerSubscription Tick;
  TimerSubscription PeerRetry;
  TimerSubscription Rebuild;
  TimerSubscription LoadRefresh;
  TimerSubscription Stopping;
  bool Stopped = false;
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_SERVINGENTRY_H
