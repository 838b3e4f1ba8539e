// Carries out the group duty: while this entry holds its lease, it gives the
// engines the orders that GroupPlan decides, under the lease's term as fence.
#ifndef SAMPHIREHILL_SERVING_GROUPCONTROLLER_H
#define SAMPHIREHILL_SERVING_GROUPCONTROLLER_H

#include "samphirehill/Core/Result.h"
#include "samphirehill/Net/TimerService.h"
#include "samphirehill/Serving/DutyLease.h"
#include "samphirehill/Serving/Fleet.h"
#include "samphirehill/Serving/GroupPlan.h"
#include "samphirehill/Serving/InstanceNotices.h"
#include "samphirehill/Serving/ObjectStore.h"
#include "samphirehill/Serving/PeerGossip.h"
#include "samphirehill/Serving/RequestWire.h"
#include "samphirehill/Serving/ServingMetrics.h"
#include "samphirehill/Serving/UpstreamBook.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace samphirehill::serving {

// Called with what an instance says of itself in the answer to such a call.
using AnswerCallback = std::shared_ptr<
    std::function<void(const InstanceLife &From, const AnswerFacts &Answer)>>;

// Calls to instances; the adapter supplies them.
struct InstanceCalls {
  // Gives Order if Allowed holds when it is sent. The value tells whether it
  // was accepted. Fails with StaleFence if the instance has seen a higher
  // fence.
  std::function<void(const Instance &To, const GroupOrder &Order,
                     std::function<bool()> Allowed,
                     std::function<void(Outcome<bool>)> Done)>
      Order;
  // Asks an instance for its state; returns To with what it reports. Fails with
  // NotFound if another life or another instance answers at its address.
  std::function<void(const Instance &To,
                     std::function<void(Outcome<Instance>)> Done)>
      Report;
  AnswerCallback OnAnswer; // null: nobody is told
};

struct GroupControllerSettings {
  std::string Entry;
  bool FirstStart = false;
  // How long loads are cheap after the first start of the whole system, and
  // groups may load while they join.
  Duration FirstStartLength = seconds(10);
  Duration PlanPeriod = milliseconds(200);
  // Where there are many entries, those that don't relay leave the duty to the
  // relays, which have the largest processors, for this long.
  Duration FollowerDutySilence = milliseconds(2'500);
  // No duty is sought before the other entries are known, or for this long.
  Duration PeersWait = milliseconds(1'500);
  // A member of a stalled group is asked again after this.
  Duration ProbeInterval = milliseconds(400);
  // A group goes on for this long while a member that left the list without a
  // word answers: one that is cut off from the platform only may be back.
  Duration ReturnWait = seconds(4);
  // An unlisted head is taken for gone after this, if nobody reaches it.
  Duration UnlistedWait = milliseconds(1'500);
  // An unlisted head that refuses connections may be a process that finishes
  // its work before it ends, which takes 10 s at most. Another life at its
  // address ends the wait.
  Duration RefusingWait = seconds(11);
  // What an instance tells itself counts as confirmed for this long.
  Duration ConfirmedMaxAge = milliseconds(1'000);
  // Entries of the head's zone must have been heard for this long before its
  // silence counts: else the zone is cut off, or was a moment ago.
  Duration ZoneContactTime = milliseconds(1'200);
  ZoneId Zone; // of this entry
  GroupPlanSettings Plan;
};

class GroupController {
public:
  GroupController(TimerService &Timers, const Fleet &Instances,
                  const UpstreamBook &Book, const PeerGossip &Peers,
                  ServingMetrics &Metrics, ObjectStore Store,
                  InstanceCalls Calls, GroupControllerSettings Settings);

  void start();
  void setConfiguration(std::shared_ptr<const Configuration> Changed);

  // An entry's instance left the list. Last is its last known state.
  void noteUnlisted(const Instance &Last);
  // It is listed again.
  void noteListed(const InstanceId &Id);
  // Takes what another entry reports about the duty.
  void noteReport(const EntryReport &Report);

  // The other entries have been listed.
  void setPeersKnown() { PeersKnown = true; }

  // Plans at once, after a change in the fleet.
  void schedulePlan();

  // Gives the duty back before the process ends; Done is called in any case.
  void stop(std::function<void()> Done);

  bool isDutyHolder() const;
  const DutyRecord &dutyRecord() const { return Lease.Record; }
  // Unlisted instances that answered this entry just now.
  std::set<InstanceId> reachedUnlisted() const;

private:
  struct Probe {
    TimePoint AskedAt{};
    TimePoint AnsweredAt{};
    TimePoint ToldAsOf{}; // the last answer tells no later state
    bool Asking = false;
    bool Silent = false;  // the last question went unanswered
    bool Refused = false; // it was refused by the instance's machine
    bool Ended = false;   // another life answered at its address
    // The last answer, unless an order has been given since it was asked for.
    std::optional<Instance> Told;
    TimePoint OrderedAt{};
    std::int64_t OrderedFence = 0; // highest
    // The fence of the order that it last accepted, and its life then.
    std::int64_t AcceptedFence = 0;
    std::int64_t FencedLife = 0;
    std::int64_t LeftEpoch = 0; // if that order was a leave
  };
  struct Unlisted {
    Instance Last;
    TimePoint Since{};
  };

  void tick();
  void stepLease();
  void plan();
  // Logs and counts how the groups of each model stand, if that has changed.
  void tellModels(const std::map<std::string, ModelSummary> &Before,
                  const std::map<std::string, ModelSummary> &Models);
  void probeSuspects();
  void probeMembers(const std::set<UpstreamKey> &Stalled);
  void probe(const Instance &Asked, bool IsUnlisted);
  // Returns how old the state is that Asked reports, at most.
  Duration reportLag(const Instance &Asked) const;
  void give(const GroupOrder &Order);
  std::vector<PlannedInstance> planned(const ServiceId &Service) const;
  void confirm(const InstanceId &Id);
  // Fills in what Each is known to have accepted in this life.
  void noteAccepted(PlannedInstance &Each) const;
  // Whether an unlisted instance may be listed again soon.
  bool mayReturn(const InstanceId &Id, const Unlisted &Held) const;
  bool zoneInReach(const ZoneId &Zone) const;
  Liveness livenessOf(const InstanceId &Id) const;
  Liveness livenessOfUnlisted(const InstanceId &Id, const Unlisted &Held) const;

  TimerService &Timers;
  const Fleet &Instances;
  const UpstreamBook &Book;
  const PeerGossip &Peers;
  ServingMetrics &Metrics;
  ObjectStore Store;
  InstanceCalls Calls;
  GroupControllerSettings Settings;
  std::shared_ptr<const Configuration> Config;
  DutyLease Lease;
  std::map<ServiceId, GroupPlanState> Plans;
  std::map<InstanceId, Probe> Probes;
  std::map<InstanceId, Unlisted> Missing;
  TimerSubscription Timer;
  TimerSubscription PlanSoon;
  TimePoint StartedAt{};
  bool Held = false;
  bool PeersKnown = false;
  bool Stopping = false;
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_GROUPCONTROLLER_H
