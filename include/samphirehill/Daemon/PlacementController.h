// Keeps the placement of this entry's zone: plans and stores it while this
// entry is the zone's controller, gives orders to engines, and takes and gives
// up homes of upstreams. Also tells the probes what to probe.
#ifndef SAMPHIREHILL_DAEMON_PLACEMENTCONTROLLER_H
#define SAMPHIREHILL_DAEMON_PLACEMENTCONTROLLER_H

#include "samphirehill/Daemon/Catalogue.h"
#include "samphirehill/Daemon/CreditController.h"
#include "samphirehill/Daemon/MembershipController.h"
#include "samphirehill/Daemon/PeerHub.h"
#include "samphirehill/Daemon/ProbeController.h"
#include "samphirehill/Daemon/Runtime.h"
#include "samphirehill/Groups/Orders.h"
#include "samphirehill/Groups/Placement.h"
#include "samphirehill/Groups/Planner.h"
#include "samphirehill/Groups/Stragglers.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphirehill {

class PlacementController {
public:
  PlacementController(Runtime &Shared, PeerHub &Hub, Platform &Store,
                      MembershipController &Membership, ProbeController &Probes,
                      CreditController &Credits, const Catalogue &Texts,
                      UpstreamDirectory &Directory);

  // Call when a text, a zone state or a placement came in force.
  void placementInForce(const SharedItem &Item);
  void configurationChanged();

  // Gives up all homes of this entry; homesLeft() falls to zero when done.
  void releaseHomes();
  std::size_t homesLeft() const;

  bool controls() const { return Orders.IsController; }
  const Placement &placement() const { return Effective; }
  // Engines of the zone as the close needs them.
  std::vector<EngineReport> zoneEngines() const;
  // Plans no groups any more: all engines get unload orders.
  void unloadAll();

private:
  void tick();
  void lead();
  void planAndStore();
  PlannerInput plannerInput();
  std::set<InstanceId> enginesToReplace(const EngineReports &Reports);
  void store(const Placement &Next, const std::string &Reason);
  void stored(const Placement &Next, const std::string &WriteId,
              const Outcome<std::uint64_t> &Value);
  void readBack();
  void adopt(Placement Value);
  void substituteWhileDown();
  void carryOut(const std::vector<OrdersAction> &Actions);
  void sendOrder(const InstanceId &Engine, const Order &Value);
  void feedOrders();
  void updateHomes();
  void openHomes();
  void updateTargets();
  void noteGone(const ConfirmedGone &Gone);
  BorrowerList borrowers() const;
  std::vector<InstanceId> listedEngines() const;
  std::vector<OperatorsText> textValues() const;
  const Service *serviceOf(const UpstreamId &Name) const;
  EntryRun self() const { return {Shared.Config.Entry, Shared.Started}; }
  bool isLeader() const;

  Runtime &Shared;
  PeerHub &Hub;
  Platform &Store;
  MembershipController &Membership;
  ProbeController &Probes;
  CreditController &Credits;
  const Catalogue &Texts;
  UpstreamDirectory &Directory;

  // The stored placement and its version; none before the first read.
  std::optional<Placement> Stored;
  std::uint64_t Version = 0;
  // Stored, with spares substituted while the platform is down.
  Placement Effective;
  bool WriteInFlight = false;
  bool ReadInFlight = false;
  std::uint64_t LastWrite = 0;

  OrdersState Orders;
  GroupHealthState Healths;
  std::map<ServiceId, StragglerState> SlowEngines;
  std::set<InstanceId> Replacing; // still in their groups
  std::set<EntryRun> GoneEntries;
  std::deque<PastBorrower> Past;
  std::map<UpstreamId, std::pair<BootId, bool>> Seen; // boot id, warm
  std::map<UpstreamId, std::uint64_t> OpenEpochs;     // homes held, by epoch
  // Homes given up, with the epoch of the role, told to this controller.
  std::map<UpstreamId, std::uint64_t> Released;
  std::set<UpstreamId> Releasing;              // own, on the way out
  std::map<UpstreamId, std::uint64_t> GivenUp; // own, told until it shows
  bool Unloading = false;
  bool LeavingHomes = false;
  TimerSubscription Tick;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_PLACEMENTCONTROLLER_H
