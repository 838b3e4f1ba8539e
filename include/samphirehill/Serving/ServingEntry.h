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
#include <random>
#include <set>
#include <string>
#include <vector>

namespace samphirehill::serving {

// What the adapter supplies.
struct Adapter {
  RequestWire Wire;
  ObjectStore Store;
  InstanceCalls Calls;
  std::string ReadinessPath;
};

// How the adapter reads the platform's store; it supplies the functions.
struct PlatformReader {
  // Returns the revision up to which the entry's list of instances is the
  // store's, or 0 while the store is not followed.
  std::function<std::int64_t()> FollowedRevision;
  // Another entry has told all changes of the list up to Revision.
  std::function<void(std::int64_t Revision)> ConfirmListRevision;
  // Each asks the store once for what has changed.
  std::function<void()> ReadList;
  std::function<void()> ReadConfiguration;
  // Asks the store again for what is not asked for because a relay tells it,
  // where none does. Called periodically.
  std::function<void()> Reconcile;
  // Returns the kinds of objects that are not followed now, comma-separated.
  std::function<std::string()> UnfollowedKinds;
};

// Where an entry learns what the platform's store says.
enum class PlatformSource {
  None,  // nobody tells it, and it does not follow the store
  Relay, // another entry tells it
  Store,
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
  void applyConfiguration(Configuration Changed);
  // The whole list. AfterOutage tells that the platform could not be read for
  // a while: entries that lapsed meanwhile may come back.
  void replaceList(const std::vector<ListChange> &All, bool AfterOutage);
  // A change of the list, which another entry may have told before.
  void applyListChange(const ListChange &Change);
  // The list is the store's as of Revision.
  void noteListRead(std::int64_t Revision);
  // Zones out of service as of Revision; older ones than those in force are
  // passed over.
  void setZonesOut(std::set<ZoneId> Zones, std::int64_t Revision);
  void setZoneOut(const ZoneId &Zone, bool Out, std::int64_t Revision);

  void setPlatformReader(PlatformReader Supplied) {
    Reader = std::move(Supplied);
  }
  // Tells whether relays tell this entry what the store says, so that it need
  // not be asked. The holder of the duty always asks.
  bool followsRelay() const;
  // Tells whether other entries rely on this one for what the store says.
  bool relaysPlatformState() const {
    return Peers.usesRelays() && Peers.isRelayCandidate();
  }
  // Tells whether this entry is to be told what the store says by others.
  bool dependsOnRelay() const {
    return Peers.usesRelays() && !Peers.isRelayCandidate();
  }

  // Tells whether this entry holds the group duty.
  bool holdsDuty() const { return Groups.isDutyHolder(); }

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
  Duration peerRelistDelay() const;
  void rebuildUpstreams();
  void upstreamsChanged();
  EntryReport report();
  void heard(const EntryReport &Report);
  void refreshLoad();
  void tick();
  PlatformSource platformSource() const;
  void notePlatformSource();
  bool ready() const;
  void answerReadiness(const std::shared_ptr<CallerRequest> &Request);
  void followRelay(const EntryReport &Report);
  // Returns how old the list may be at most where the platform is in reach: a
  // leaving instance must get no new work in time.
  Duration longestListAge() const { return Settings.Drain * 4 / 5; }
  void takeInstance(const ListedInstance &Changed);
  // Takes what an instance says of itself in an answer.
  void heardFrom(const InstanceLife &From, const AnswerFacts &Answer);
  // Takes an instance out that left the list; at once unless its group is seen
  // to serve on.
  void unlist(const InstanceId &Id);
  void removeInstance(const InstanceId &Id);
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
  // Instances that the list misses, and when each is given up.
  std::map<InstanceId, TimePoint> Lapsed;
  PlatformReader Reader;
  ListChanges Changes;
  ListSync Sync;
  std::int64_t ZonesOutRevision = 0;
  PlatformSource Source = PlatformSource::None;
  std::string UnfollowedKinds; // while Source is None
  bool PeersListed = false;
  TimePoint AskedForNewsAt{};
  Incarnation Life = 0;
  std::minstd_rand Random{std::random_device{}()};
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
