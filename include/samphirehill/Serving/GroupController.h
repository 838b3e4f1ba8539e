// Carries out the group duty: while this entry holds the duty's lease, it sends
// the engines the orders that GroupPlan decides. Their fencing tokens derive
// from the lease's term.
#ifndef SAMPHIREHILL_SERVING_GROUPCONTROLLER_H
#define SAMPHIREHILL_SERVING_GROUPCONTROLLER_H

#include "samphirehill/Core/Result.h"
#include "samphirehill/Net/TimerService.h"
#include "samphirehill/Serving/DutyLease.h"
#include "samphirehill/Serving/EngineEvidence.h"
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

// Called with the facts about itself that an instance adds to each answer.
using AnswerCallback = std::shared_ptr<
    std::function<void(const InstanceLife &From, const AnswerFacts &Answer)>>;

// Calls to instances, implemented by the platform adapter.
struct InstanceCalls {
  // Sends Order to the instance if Allowed returns true at the time of sending.
  // The result is whether the instance accepted the order. Fails with
  // StaleFence if the instance has seen a higher fencing token.
  std::function<void(const Instance &To, const GroupOrder &Order,
                     std::function<bool()> Allowed,
                     std::function<void(Outcome<bool>)> Done)>
      Order;
  // Asks an instance for its state. The result is a copy of To with the
  // reported state. Fails with NotFound if the address is now used by a later
  // life of the instance (see InstanceLife) or by another instance.
  std::function<void(const Instance &To,
                     std::function<void(Outcome<Instance>)> Done)>
      Report;
  AnswerCallback OnAnswer; // called for each answer; may be null
};

struct GroupControllerSettings {
  std::string Entry;       // name of this entry
  bool FirstStart = false; // the whole system is starting for the first time
  // For this long after the first start of the whole system loads are cheap,
  // and groups may load weights while they join.
  Duration FirstStartLength = seconds(10);
  Duration PlanPeriod = milliseconds(200);
  // If there are many entries, an entry that is no relay takes the duty only
  // when the holder has been silent for this long. That leaves the duty to the
  // relays, which have the largest processors.
  Duration FollowerDutySilence = milliseconds(2'500);
  // The entry doesn't try to take the duty until its peers are known, or until
  // this time has passed since its start.
  Duration PeersWait = milliseconds(1'500);
  // Minimum time between two probes of an instance, unless an order was given
  // to it since.
  Duration ProbeInterval = milliseconds(400);
  // A group continues for this long after a member has left the list without
  // having announced that, while the member answers probes: it may have lost
  // only its connection to the platform, and may be listed again.
  Duration ReturnWait = seconds(4);
  // An unlisted head counts as gone after this if each entry reports that it
  // can't reach it.
  Duration UnlistedWait = milliseconds(1'500);
  // An unlisted head that has announced that it leaves and refuses connections
  // counts as gone only after this: its process may still be finishing requests
  // before it ends, which takes 10 s at most. The wait ends early if the
  // instance has restarted at its address.
  Duration RefusingWait = seconds(11);
  // The state that an instance reported counts as confirmed for this long.
  Duration ConfirmedMaxAge = milliseconds(1'000);
  // A head in another zone counts as gone only if entries of its zone have been
  // reporting for this long. Otherwise the zone is, or just was, partitioned
  // from this entry.
  Duration ZoneContactTime = milliseconds(1'200);
  ZoneId Zone; // of this entry
  GroupPlanSettings Plan;
};

// Why an unlisted instance counts as gone.
enum class GoneCause {
  OtherLife,          // another life or instance answers at its address
  RefusesConnections, // its machine refuses connections
  Unreached,          // no entry reaches it
};

class GroupController {
public:
  GroupController(TimerService &Timers, const Fleet &Instances,
                  const UpstreamBook &Book, const PeerGossip &Peers,
                  ServingMetrics &Metrics, ObjectStore Store,
                  InstanceCalls Calls, GroupControllerSettings Settings);

  void start();
  void setConfiguration(std::shared_ptr<const Configuration> Changed);

  // Records that an instance left the list. Last is its last entry, which was
  // seen to change at ListedAt.
  void noteUnlisted(const Instance &Last, TimePoint ListedAt);
  // Records that an instance is listed again.
  void noteListed(const InstanceId &Id);
  // Records what a peer reports about the duty and which heads it asks about.
  void noteReport(const EntryReport &Report);

  // Records the work that callers ask all entries for, see DemandPlan.
  void noteWork(const WorkAsked &Elsewhere, const WorkAsked &Own);

  // Records that the store was restored from a copy.
  void noteStoreRestored();

  // Records whether the list of instances is up to date.
  void setListFollowed(bool Followed) { ListFollowed = Followed; }

  // Records that the peers have been listed.
  void setPeersKnown() { PeersKnown = true; }

  // Schedules a planning run shortly, after a change in the fleet.
  void schedulePlan();

  // Releases the duty before the process ends. Done is called in any case.
  void stop(std::function<void()> Done);

  bool isDutyHolder() const;
  const DutyRecord &dutyRecord() const { return Lease.Record; }
  // Returns the instances, unlisted or asked about, that have just answered
  // this entry.
  std::set<InstanceId> reachedInstances() const;
  // Returns the unlisted heads about which this entry, as the duty's holder,
  // asks the others, since it can't reach them.
  std::set<InstanceId> unreachedHeads() const;
  // Returns the instances asked about that this entry can't reach.
  std::map<InstanceId, int> denials() const;

private:
  // Probes of one instance, and its acceptance of orders.
  struct Probe {
    TimePoint SentAt{};
    TimePoint AnsweredAt{};
    // The last report shows the state of this time or later.
    TimePoint ReportedAsOf{};
    // When the last probe that got no answer was sent.
    TimePoint UnansweredSentAt{};
    bool InProgress = false;
    bool Silent = false;  // the last probe got no answer
    bool Refused = false; // the instance's machine refused the connection
    bool Ended = false;   // another life or instance answered at its address
    // The last report, unless an order has been sent since it was asked for.
    std::optional<Instance> Reported;
    TimePoint OrderedAt{};
    std::int64_t OrderedFence = 0; // highest fencing token of an order to it
    // Fencing token of the order that it last accepted, and the start of its
    // life at that time (BornMilliseconds).
    std::int64_t AcceptedFence = 0;
    std::int64_t FencedLife = 0;
    std::int64_t LeftEpoch = 0; // epoch of that order if it was a Leave
  };
  // An instance that the duty's holder asks about.
  struct Question {
    TimePoint Since{};
    TimePoint LastAt{};
  };
  // An instance that has left the list.
  struct Unlisted {
    Instance Last; // its last entry
    TimePoint Since{};
    TimePoint ListedAt{}; // when the entry was last seen to change
    bool Gone = false;    // when last checked by publishGoneHeads
  };

  void tick();
  // Makes the next call for the lease, if one is due.
  void stepLease();
  // Notes the store's era for the lease. Returns the present time of its clock.
  TimePoint updateEra();
  void plan();
  // Logs the summaries of the models that have changed, and sets their metrics.
  void publishModels(const std::map<std::string, ModelSummary> &Before,
                     const std::map<std::string, ModelSummary> &Models);
  // Logs the groups that are given up, and sets the metrics of the demand.
  void publishDemand(const ServiceId &Service, const ExchangeState &Exchanges);
  // Probes the members of stalled groups, and unlisted instances.
  void probeSuspects();
  void probeMembers(const std::set<UpstreamKey> &Stalled);
  // Probes the listed instances that the duty's holder asks about.
  void probeAsked();
  // Returns whether the instance has just answered a probe or a request.
  bool hasJustAnswered(const InstanceId &Id) const;
  // Asks Target for its state, unless a probe of it is in progress or recent.
  void probe(const Instance &Target, bool IsUnlisted);
  // Returns how old the state that Target reports can be at most.
  Duration reportLag(const Instance &Target) const;
  void sendOrder(const GroupOrder &Order);
  // Returns the instances of Service, listed or not, as input of the planning.
  std::vector<PlannedInstance> plannedInstances(const ServiceId &Service) const;
  // Probes the instance, so that the next planning has its confirmed state.
  void requestReport(const InstanceId &Id);
  // Schedules a planning run for when a report of the instance, which has
  // agreed to leave its group, shows that it has left.
  void scheduleReportOfLeave(const InstanceId &Id);
  // Fills in the orders that Planned is known to have accepted in this life.
  void fillAccepted(PlannedInstance &Planned) const;
  const EngineEvidence &evidenceOf(const InstanceId &Id) const;
  // Returns the group that an unlisted instance may be in.
  std::optional<Membership> groupOf(const Unlisted &Missed) const;
  bool mayBeHead(const Unlisted &Missed) const;
  // Asks the listed instances for their state whose entries contradict what
  // they have reported.
  void checkDisputed();
  // Returns whether an instance, last listed as Last, has announced that it
  // leaves, in its entry or in an answer.
  bool hasAnnouncedLeaving(const Instance &Last) const;
  // Returns whether an unlisted instance may be listed again soon.
  bool mayReturn(const InstanceId &Id, const Unlisted &Missed) const;
  // Returns whether this entry has had reports from Zone for ZoneContactTime.
  bool isZoneReachable(const ZoneId &Zone) const;
  Liveness livenessOf(const InstanceId &Id) const;
  Liveness livenessOfUnlisted(const InstanceId &Id,
                              const Unlisted &Missed) const;
  // Returns why an unlisted instance counts as gone; nothing if it doesn't.
  std::optional<GoneCause> goneCause(const InstanceId &Id,
                                     const Unlisted &Missed) const;
  // Logs and counts the unlisted heads that count as gone since the last call.
  void publishGoneHeads();

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
  KnownWork Work;
  std::map<InstanceId, Probe> Probes;
  std::map<InstanceId, EngineEvidence> Evidence;
  std::map<InstanceId, Unlisted> Missing;
  std::map<InstanceId, Question> Asked;
  ReachCensus Census; // as of the planning run
  TimerSubscription Timer;
  TimerSubscription ScheduledPlan;
  TimerSubscription LeaveReported;
  TimePoint StartedAt{};
  bool HeldDuty = false; // when last checked by stepLease
  bool PeersKnown = false;
  bool ListFollowed = true;
  bool Stopping = false;
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_GROUPCONTROLLER_H
