// One serving process (entry) of a site. Connects the server for callers, the
// request flows, the upstreams, the exchange of reports with other entries and
// the management of replica groups. Everything specific to a platform comes
// from an adapter.
#ifndef SAMPHIREHILL_SERVING_SERVINGENTRY_H
#define SAMPHIREHILL_SERVING_SERVINGENTRY_H

#include "samphirehill/Config/ServingSettings.h"
#include "samphirehill/Core/Result.h"
#include "samphirehill/Net/TimerService.h"
#include "samphirehill/Serving/BlameStore.h"
#include "samphirehill/Serving/CallerServer.h"
#include "samphirehill/Serving/CrashRecord.h"
#include "samphirehill/Serving/CrashStore.h"
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
#include "samphirehill/Serving/UpstreamPacing.h"
#include "samphirehill/Serving/ZonesOut.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace samphirehill::serving {

// The functions and names of one platform, supplied by its adapter.
struct Adapter {
  RequestWire Wire;
  ObjectStore Store;
  InstanceCalls Calls;
  std::string ReadinessPath;
};

// The adapter's reading of the platform's store. The adapter supplies the
// functions, the entry calls them.
struct PlatformReader {
  // Returns the store's era as its answers name it, or 0.
  std::function<std::int64_t()> Era;
  // Returns the revision in this era up to which the adapter has passed on all
  // changes of the list of instances, or 0 while it does not follow every kind
  // of object in the store.
  std::function<std::int64_t()> FollowedRevision;
  // Called when a relay has confirmed that this entry's list of instances
  // contains all changes up to Revision in the present era.
  std::function<void(std::int64_t Revision)> ConfirmListRevision;
  // Each reads the changes of its objects from the store once; ReadAll those of
  // all kinds.
  std::function<void()> ReadList;
  std::function<void()> ReadConfiguration;
  std::function<void()> ReadAll;
  // Called periodically. Resumes reading the kinds of objects that are not
  // read because a relay sends them, if no relay does so any more.
  std::function<void()> Reconcile;
  // Returns the kinds of objects that are not followed now, comma-separated.
  std::function<std::string()> UnfollowedKinds;
};

// Where an entry gets the content of the platform's store from.
enum class PlatformSource {
  None,  // nowhere: no relay sends it, and the store is not followed
  Relay, // from another entry
  Store,
};

class ServingEntry {
public:
  // Opens all listeners. Fails with InvalidSettings.
  static Result<std::unique_ptr<ServingEntry>>
  create(asio::io_context &Context, TimerService &Timers, ExchangePool &Pool,
         ServingMetrics &Metrics, const ServingSettings &Settings,
         Adapter Platform);

  ServingEntry(asio::io_context &Context, TimerService &Timers,
               ExchangePool &Pool, ServingMetrics &Metrics,
               const ServingSettings &Settings, Adapter Platform);
  ServingEntry(const ServingEntry &) = delete;
  ServingEntry &operator=(const ServingEntry &) = delete;

  // The adapter calls the following functions with objects of the platform's
  // store.

  // Puts a configuration into force. Ignores one that is not newer than the
  // configuration in force.
  void applyConfiguration(Configuration Changed);
  // Replaces the list of instances by All. AfterOutage: the store could not be
  // read for a while, or was restored from a copy, and instances that are
  // missing from it may be listed again soon.
  void replaceList(const std::vector<ListChange> &All, bool AfterOutage);
  // Applies one change of the list, unless it has already arrived by another
  // way, such as from another entry.
  void applyListChange(const ListChange &Change);
  // Notes that the store was restored from a copy: storeEra() has risen.
  void noteStoreRestored();
  // Notes that the list equals the store's as of Mark.
  void noteListRead(const StoreMark &Mark);
  // Sets the zones out of service as of Mark. Ignores a mark older than that of
  // the zones in force.
  void setZonesOut(std::set<ZoneId> Listed, const StoreMark &Mark);
  void setZoneOut(const ZoneId &Zone, bool Out, const StoreMark &Mark);

  void setPlatformReader(PlatformReader NewReader) {
    Reader = std::move(NewReader);
  }
  // Returns whether relays send this entry the content of the store, so that
  // the adapter need not read the store. False for the holder of the group
  // duty, which always reads the store.
  bool followsRelay() const;
  // Returns whether other entries may get the content of the store from this
  // one.
  bool relaysPlatformState() const {
    return Peers.usesRelays() && Peers.isRelayCandidate();
  }
  // Returns whether this entry is meant to get the content of the store from
  // relays, even if none sends it now.
  bool dependsOnRelay() const {
    return Peers.usesRelays() && !Peers.isRelayCandidate();
  }

  // Returns what is known of an instance, if it is listed.
  std::optional<InstanceRecord> instance(const InstanceId &Id) const;

  // Returns whether this entry holds the group duty: the lease under which one
  // entry at a time manages the replica groups.
  bool holdsDuty() const { return Groups.isDutyHolder(); }

  // Applies those of the settings that may change while the entry runs.
  void reload(const ServingSettings &Changed);

  // Stops gracefully: reports not ready, then accepts no new connections, then
  // calls Done once no request is in progress or the grace period is nearly
  // over.
  void shutDown(std::function<void()> Done);

private:
  Result<void> start();
  void joinPeers();
  void listPeers();
  void retryJoin(const Error &Failed);
  Duration peerRelistDelay() const;
  Duration restoredRelistDelay();
  void rebuildUpstreams();
  void scheduleRebuild();
  // Returns this entry's current report; the sender adds the sequence number.
  EntryReport makeReport();
  void applyReport(const EntryReport &Report);
  void refreshLoad();
  // Takes over the crashes of engines that another entry reports.
  void applySuspects(const SuspectReport &Report);
  // Exchanges blamed parts of prompts through the store with entries that no
  // report reaches.
  void exchangeBlames();
  // Returns whether this entry is the first of those in contact, which writes
  // to the store what all of them know.
  bool isFirstInContact() const;
  // Reads what crashes upstreams from the store, if this has not been done.
  void readCrashRecords();
  // Returns whether to get ready only later, as this entry doesn't know yet
  // which requests crash upstreams.
  bool awaitsCrashRecords() const;
  // Logs that break-offs have made room for others, if they have.
  void logDroppedBreakOffs();
  // Returns whether reports arrive from all zones that have entries.
  bool hearsAllZones() const;
  // Logs the parts of prompts that have come to be blamed or been released.
  void logBlamedParts();
  // Sets how old the other entries' reports of load are.
  void updateReportAge();
  void tick(); // periodic work, every TickPeriod
  PlatformSource platformSource() const;
  void updatePlatformSource();
  // Decides anew which zones this entry reaches and whether it takes callers.
  void updateReadiness();
  // Finds out whether zones that are cut off can be reached again.
  void probeCutOffZones();
  // Returns why this entry isn't ready; empty if it is.
  std::string unreadyCause() const;
  void answerReadiness(const std::shared_ptr<CallerRequest> &Request);
  // Returns the store's era as this entry knows it, or 0.
  std::int64_t storeEra() const { return Reader.Era ? Reader.Era() : 0; }
  // Takes the zones out of service that are to be so now, and back the others.
  void updateZonesOut();
  // Reads the store if Report shows that it was restored since this entry read
  // it.
  void followEra(const EntryReport &Report);
  void applyRelayReport(const EntryReport &Report);
  // Returns the maximum age of the list while the platform can be reached.
  // Less than the drain time, so that an instance that drains gets no new
  // requests when it ends.
  Duration maxListAge() const { return Settings.Drain * 4 / 5; }
  void applyInstance(const ListedInstance &Changed);
  // Applies the notices of an instance about itself that came with an answer.
  void applyNotices(const InstanceLife &From, const AnswerFacts &Answer);
  // Returns Copied, which may be of an earlier time, with what this entry knows
  // of the instance's state since.
  ListedInstance withLaterState(ListedInstance Copied) const;
  // Removes an instance that is no longer listed: at once, or after a delay if
  // it was not draining and its replica group still makes progress.
  void unlist(const InstanceId &Id);
  void removeInstance(const InstanceId &Id);
  void answerMetrics(const std::shared_ptr<CallerRequest> &Request);

  TimerService &Timers;
  ExchangePool &Pool;
  ServingSettings Settings;
  Adapter Platform;
  ServingMetrics &Metrics;
  Fleet Instances;
  UpstreamBook Book;
  RetryShare Retries;
  CrashRecord Crashes;
  CrashStore KeptCrashes;
  std::uint64_t LoggedDropped = 0; // of Crashes.Dropped
  PartSuspects Suspects;
  BlameStore Blames;
  std::set<PromptPart> BlamedParts; // as last logged
  ShownPaces Paces;
  std::shared_ptr<const Configuration> Config;
  TimePoint ConfiguredAt{}; // the first configuration came into force
  RequestFlows Flows;
  CallerServer Callers;
  CallerServer Readiness;
  CallerServer MetricsServer;
  PeerGossip Peers;
  GroupController Groups;
  // Instances that are no longer listed but still used, and when each is
  // removed.
  std::map<InstanceId, TimePoint> Lapsed;
  PlatformReader Reader;
  ListChanges Changes;
  ListSync Sync;
  ZonesOut Zones;
  TimePoint ReachProbedAt{};
  std::string UnreadyCause = "starting"; // as last logged
  PlatformSource Source = PlatformSource::None;
  std::string UnfollowedKinds; // as last logged; empty unless Source is None
  bool PeersListed = false;    // the other entries have been listed once
  TimePoint ConfigurationRequestedAt{};
  TimePoint EraRequestedAt{};
  Incarnation Life = 0;
  std::minstd_rand Random{std::random_device{}()};
  std::int64_t OwnRevision = 0; // of this entry's object in the store
  TimerSubscription Tick;
  TimerSubscription PeerRetry;
  TimerSubscription Rebuild;
  TimerSubscription LoadRefresh;
  TimerSubscription Stopping;
  bool Stopped = false;
  // Expires with this object, which callbacks may outlive.
  std::shared_ptr<bool> IsAlive = std::make_shared<bool>(true);
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_SERVINGENTRY_H
