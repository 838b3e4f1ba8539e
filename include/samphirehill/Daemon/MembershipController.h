// Keeps liveness and the shared state: heartbeats and summaries to peers,
// watches of the platform, and what the operators say directly.
#ifndef SAMPHIREHILL_DAEMON_MEMBERSHIPCONTROLLER_H
#define SAMPHIREHILL_DAEMON_MEMBERSHIPCONTROLLER_H

#include "samphirehill/Core/Signal.h"
#include "samphirehill/Daemon/PeerHub.h"
#include "samphirehill/Daemon/Runtime.h"
#include "samphirehill/Daemon/WatchLoop.h"
#include "samphirehill/Membership/Liveness.h"
#include "samphirehill/Membership/SharedState.h"
#include "samphirehill/Net/Platform.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace samphirehill {

namespace peer {
class Summary;
} // namespace peer

class MembershipController {
public:
  MembershipController(Runtime &Shared, PeerHub &Hub, Platform &Store);

  // Starts to watch and to send; connect to the signals before.
  void start();

  // Emitted for each value that is put in force, once joined.
  Signal<SharedItem> InForce;
  // Emitted when the instance list changed.
  Signal<> InstancesChanged;
  // Emitted when all incarnations of an entry up to one are confirmed gone.
  Signal<ConfirmedGone> EntryGone;
  Signal<> HealthsChanged;
  // Adds the zone's upstreams to a summary that is about to be sent.
  std::function<void(peer::Summary &)> AddToSummary;
  // Emitted when zones/state was seen deleted: the close is complete.
  Signal<> ZonesObjectDeleted;

  const LivenessState &liveness() const { return Liveness; }
  const SharedState &shared() const { return State; }
  // The newest instance list that was read, by id. Kept while the platform is
  // down.
  const std::map<InstanceId, Instance> &instances() const { return Instances; }
  bool joined() const { return State.IsJoined; }
  bool platformReachable() const { return PlatformReachable; }
  // A call to the platform failed with Code; a waiting watch notices an outage
  // late.
  void noteFailure(ResultCode Code);

  // Takes a zone state ("in" or "out") or the close mark from an operator.
  // Returns the stamp under which it is in force here.
  SharedVersion setByOperator(const SharedKey &Key, const std::string &Value,
                              const std::string &Operator);

  // Takes a value with a stamp that an operator gave to several entries.
  // Returns the stamp in force here, a higher one if Item's is not.
  SharedVersion setByOperator(const SharedItem &Item);

  // Offers an object that was just written, so that peers learn it at once.
  void offer(const SharedItem &Item);

  // Announces that this entry takes no new requests.
  void setLeaving() { Liveness.Self.Leaving = true; }
  void setReady(bool Value) { Ready = Value; }
  void setCloseAcknowledged(bool Value) { CloseAcknowledged = Value; }
  // Whether all live entries of the zone, this one included, have acknowledged
  // the close.
  bool zoneCloseAcknowledged() const;
  bool closeAcknowledged() const { return CloseAcknowledged; }
  // Stops all reading and writing of the platform.
  void stopPlatform();

private:
  void receive(const peer::Envelope &Message);
  void handleState();
  void carryOut(const std::vector<LivenessAction> &Actions);
  void carryOut(const std::vector<SharedAction> &Actions);
  void carryOut(const SharedAction &Action);
  void sendHeartbeat(const EntryId &To);
  void sendSummary(const EntryId &To);
  void connectPeers();
  void watchObjectsIfDue();
  void countSkipped(const std::string &Kind, int Items);
  void takeInstances(const InstanceList &List);
  void takeObjects(const std::string &Kind, const ObjectList &List);
  void storeZones(const StoreZones &Action);
  void tick();
  void noteReachable(bool Value);

  Runtime &Shared;
  PeerHub &Hub;
  Platform &Store;
  LivenessState Liveness;
  SharedState State;
  std::map<InstanceId, Instance> Instances;
  std::unique_ptr<WatchLoop<InstanceList>> InstanceLoop;
  std::map<std::string, std::unique_ptr<WatchLoop<ObjectList>>> ObjectLoops;
  std::set<std::string> CompleteKinds; // read whole since the watch began
  std::uint64_t ZonesVersion = 0;
  bool PlatformReachable = true;
  bool Ready = false;
  bool CloseAcknowledged = false;
  bool PlatformStopped = false;
  std::map<EntryId, bool> PeerAcknowledged;
  std::uint64_t LastWrite = 0;
  std::vector<VersionNote> Notes; // of this round
  TimerSubscription Tick;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_MEMBERSHIPCONTROLLER_H
