#include "samphirehill/Serving/GroupController.h"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace samphirehill::serving {
namespace {

constexpr const char *DutyKind = "duties";
constexpr const char *DutyName = "groups";
// Epochs per lease term: more than the orders that can be given in a term.
constexpr std::int64_t EpochsPerTerm = 100'000;
// Changes within this time are planned together.
constexpr Duration PlanDelay = milliseconds(20);
// How long stop waits for the release of the duty.
constexpr Duration StopWait = milliseconds(300);
// An unlisted instance counts as reached for this long after its last answer.
constexpr Duration ReachedMaxAge = milliseconds(1'000);
// Unlisted instances are erased after this.
constexpr Duration UnlistedMaxAge = seconds(20);
// A question that is not repeated for this long has been settled.
constexpr Duration QuestionMaxAge = milliseconds(1'000);

const char *toString(OrderKind Kind) {
  switch (Kind) {
  case OrderKind::Join:
    return "join";
  case OrderKind::Open:
    return "open";
  case OrderKind::Close:
    return "close";
  case OrderKind::Leave:
    return "leave";
  case OrderKind::Stage:
    return "stage";
  case OrderKind::Check:
    return "check";
  }
  return "unknown";
}

} // namespace

GroupController::GroupController(TimerService &Timers, const Fleet &Instances,
                                 const UpstreamBook &Book,
                                 const PeerGossip &Peers,
                                 ServingMetrics &Metrics, ObjectStore Store,
                                 InstanceCalls Calls,
                                 GroupControllerSettings Settings)
    : Timers(Timers), Instances(Instances), Book(Book), Peers(Peers),
      Metrics(Metrics), Store(std::move(Store)), Calls(std::move(Calls)),
      Settings(std::move(Settings)) {
  Lease.Self = this->Settings.Entry;
  Lease.Settings.FirstStart = this->Settings.FirstStart;
}

void GroupController::start() {
  StartedAt = Timers.now();
  Timer = Timers.every(Settings.PlanPeriod, [this] { tick(); });
  tick();
}

void GroupController::setConfiguration(
    std::shared_ptr<const Configuration> Changed) {
  bool SameServices = Config && Config->Services == Changed->Services;
  Config = std::move(Changed);
  if (!SameServices)
    schedulePlan();
}

bool GroupController::isDutyHolder() const {
  return holdsDuty(Lease, Timers.nowWithSuspension());
}

void GroupController::tick() {
  if (Stopping)
    return;
  stepLease();
  probeSuspects();
  plan();
}

void GroupController::schedulePlan() {
  if (ScheduledPlan.active() || Stopping)
    return;
  ScheduledPlan = Timers.after(PlanDelay, [this] {
    ScheduledPlan.cancel();
    plan();
  });
}

void GroupController::noteStoreRestored() {
  if (!Stopping)
    stepLease();
}

TimePoint GroupController::updateEra() {
  TimePoint Now = Timers.nowWithSuspension();
  noteStoreEra(Lease, Store.Era ? Store.Era() : 0, Now);
  return Now;
}

void GroupController::stepLease() {
  TimePoint Begun = updateEra();
  if (!PeersKnown && Timers.now() - StartedAt < Settings.PeersWait)
    return;
  bool First = Peers.isRelayCandidate();
  Lease.Settings.HolderSilence =
      First ? DutySettings{}.HolderSilence : Settings.FollowerDutySilence;
  // The silence of a holder that has never reported counts from now.
  if (!First && Lease.LastHolderReportAt == TimePoint{})
    Lease.LastHolderReportAt = Begun;
  bool Holds = holdsDuty(Lease, Begun);
  if (Holds != HeldDuty) {
    HeldDuty = Holds;
    Metrics.count("duty_changes", "to", Holds ? "held" : "lost");
    spdlog::info("event=duty state={} term={} renewal={} era={}",
                 Holds ? "held" : "lost", Lease.Record.Term,
                 Lease.Record.Renewal, Lease.Era);
  }
  DutyStep Step = nextDutyStep(Lease, Begun);
  if (Step.Call == DutyCall::Read)
    Store.Read(DutyKind, DutyName,
               [this](const Outcome<std::optional<StoredObject>> &Answer) {
                 handleDutyRead(Lease, Answer, updateEra());
                 if (!errorOf(Answer) && !Stopping)
                   stepLease();
               });
  if (Step.Call == DutyCall::Write)
    Store.Write(DutyKind, Step.Object,
                [this, Begun](const Outcome<StoredObject> &Answer) {
                  handleDutyWrite(Lease, Answer, Begun, updateEra());
                  if (!HeldDuty && isDutyHolder()) {
                    Plans.clear();
                    schedulePlan();
                  }
                });
}

void GroupController::noteReport(const EntryReport &Report) {
  if (Report.DutyTerm > 0)
    noteHolderReport(Lease, Report.DutyTerm, Report.DutyRenewal,
                     Timers.nowWithSuspension());
  TimePoint Now = Timers.now();
  bool IsNew = false;
  for (const InstanceId &Each : Report.Asked) {
    auto [Found, Added] = Asked.try_emplace(Each, Question{Now, Now});
    Found->second.LastAt = Now;
    IsNew = IsNew || Added;
  }
  if (IsNew)
    probeAsked();
}

void GroupController::noteWork(const WorkAsked &Elsewhere,
                               const WorkAsked &Own) {
  WorkAsked All = Elsewhere;
  for (const auto &[Kind, Places] : Own)
    All[Kind] += Places;
  noteNews(Work, All, Settings.Plan.Demand.MaxAge, Timers.now());
}

void GroupController::noteUnlisted(const Instance &Last, TimePoint ListedAt) {
  if (!possibleMembership(evidenceOf(Last.Id), Last, ListedAt))
    return;
  Missing[Last.Id] = {Last, Timers.now(), ListedAt};
  Probes.erase(Last.Id);
}

const EngineEvidence &GroupController::evidenceOf(const InstanceId &Id) const {
  static const EngineEvidence None;
  auto Found = Evidence.find(Id);
  return Found == Evidence.end() ? None : Found->second;
}

std::optional<Membership>
GroupController::groupOf(const Unlisted &Missed) const {
  return possibleMembership(evidenceOf(Missed.Last.Id), Missed.Last,
                            Missed.ListedAt);
}

bool GroupController::mayBeHead(const Unlisted &Missed) const {
  std::optional<Membership> Group = groupOf(Missed);
  return Group && Group->Rank == 0;
}

void GroupController::noteListed(const InstanceId &Id) { Missing.erase(Id); }

bool GroupController::hasJustAnswered(const InstanceId &Id) const {
  TimePoint Now = Timers.now();
  auto Found = Probes.find(Id);
  if (Found != Probes.end() && Found->second.AnsweredAt != TimePoint{} &&
      Now - Found->second.AnsweredAt < ReachedMaxAge)
    return true;
  auto Place = Book.Upstreams.lower_bound({Id, 0});
  return Place != Book.Upstreams.end() && Place->first.Instance == Id &&
         Now - Place->second.LastAnswerAt < ReachedMaxAge;
}

std::set<InstanceId> GroupController::reachedInstances() const {
  std::set<InstanceId> Answered;
  for (const auto &[Id, Missed] : Missing) {
    if (hasJustAnswered(Id))
      Answered.insert(Id);
  }
  for (const auto &[Id, Each] : Asked) {
    if (hasJustAnswered(Id))
      Answered.insert(Id);
  }
  return Answered;
}

std::set<InstanceId> GroupController::unreachedHeads() const {
  std::set<InstanceId> Heads;
  if (!isDutyHolder())
    return Heads;
  for (const auto &[Id, Missed] : Missing) {
    auto Found = Probes.find(Id);
    bool Ended = Found != Probes.end() && Found->second.Ended;
    if (mayBeHead(Missed) && !Ended && !hasJustAnswered(Id))
      Heads.insert(Id);
  }
  return Heads;
}

std::map<InstanceId, int> GroupController::denials() const {
  std::map<InstanceId, int> Denied;
  auto DenyIfUnreached = [&](const InstanceId &Id, TimePoint Since) {
    bool Known = Instances.Instances.contains(Id) || Missing.contains(Id);
    auto Found = Probes.find(Id);
    bool Tried = Found != Probes.end() && Found->second.Silent &&
                 Found->second.UnansweredSentAt >= Since;
    if (!hasJustAnswered(Id) && (Tried || !Known))
      Denied[Id] = 1;
  };
  for (const auto &[Id, Each] : Asked)
    DenyIfUnreached(Id, Each.Since);
  // A relay's summary counts this entry like any other.
  for (const InstanceId &Id : unreachedHeads())
    DenyIfUnreached(Id, Missing.at(Id).Since);
  return Denied;
}

Liveness GroupController::livenessOf(const InstanceId &Id) const {
  auto Found = Probes.find(Id);
  return Found != Probes.end() && Found->second.Silent ? Liveness::Unclear
                                                       : Liveness::Alive;
}

Liveness GroupController::livenessOfUnlisted(const InstanceId &Id,
                                             const Unlisted &Missed) const {
  auto Found = Probes.find(Id);
  if (Found == Probes.end() || Found->second.SentAt == TimePoint{})
    return Liveness::Unclear;
  if (goneCause(Id, Missed))
    return Liveness::Gone;
  bool Answers = !Found->second.Silent && !Found->second.InProgress;
  return Answers ? Liveness::Alive : Liveness::Unclear;
}

std::optional<GoneCause>
GroupController::goneCause(const InstanceId &Id, const Unlisted &Missed) const {
  auto Found = Probes.find(Id);
  if (Found == Probes.end() || !Found->second.Silent)
    return std::nullopt;
  if (Found->second.Ended)
    return GoneCause::OtherLife;
  TimePoint Now = Timers.now();
  Duration Wait = Found->second.Refused && hasAnnouncedLeaving(Missed.Last)
                      ? Settings.RefusingWait
                      : Settings.UnlistedWait;
  if (Now - Missed.Since < Wait ||
      Now - Found->second.SentAt > Settings.ConfirmedMaxAge ||
      !isZoneReachable(Missed.Last.Zone) || hasJustAnswered(Id) ||
      !isDeniedByAll(Census, Id))
    return std::nullopt;
  return Found->second.Refused ? GoneCause::RefusesConnections
                               : GoneCause::Unreached;
}

bool GroupController::hasAnnouncedLeaving(const Instance &Last) const {
  return Last.Draining ||
         isLeaving(Book.Notices, {Last.Id, Last.BornMilliseconds});
}

bool GroupController::mayReturn(const InstanceId &Id,
                                const Unlisted &Missed) const {
  if (Missed.Last.Draining ||
      Timers.now() - Missed.Since >= Settings.ReturnWait)
    return false;
  auto Found = Probes.find(Id);
  return Found == Probes.end() ||
         (!Found->second.Silent && !Found->second.Ended);
}

bool GroupController::isZoneReachable(const ZoneId &Zone) const {
  if (Zone == Settings.Zone)
    return true;
  std::optional<TimePoint> Since = Peers.zoneContactSince(Zone);
  return Since && Timers.now() - *Since >= Settings.ZoneContactTime;
}

std::vector<PlannedInstance>
GroupController::plannedInstances(const ServiceId &Service) const {
  std::vector<PlannedInstance> Planned;
  TimePoint Now = Timers.now();
  for (const auto &[Id, Record] : Instances.Instances) {
    if (Record.Listed.Service != Service)
      continue;
    PlannedInstance Engine{Record.Listed, livenessOf(Id),
                           Instances.ZonesOut.contains(Record.Listed.Zone),
                           Now < Record.ColdUntil};
    Engine.Lapsed = Record.Lapsed;
    Engine.Listed.Group =
        statedMembership(evidenceOf(Id), Record.Listed, Record.ChangedAt);
    fillAccepted(Engine);
    auto Found = Probes.find(Id);
    if (Found != Probes.end() && Found->second.Reported &&
        !Found->second.Silent &&
        Found->second.ReportedAsOf >= Record.ChangedAt &&
        Now - Found->second.AnsweredAt <= Settings.ConfirmedMaxAge) {
      Engine.Confirmed = true;
      Engine.Listed.Group = Found->second.Reported->Group;
      Engine.Listed.Staged = Found->second.Reported->Staged;
    }
    Planned.push_back(std::move(Engine));
  }
  for (const auto &[Id, Missed] : Missing) {
    if (Missed.Last.Service != Service || Instances.Instances.contains(Id))
      continue;
    PlannedInstance Unlisted{Missed.Last, livenessOfUnlisted(Id, Missed),
                             Instances.ZonesOut.contains(Missed.Last.Zone),
                             false};
    Unlisted.Lapsed = mayReturn(Id, Missed);
    if (Unlisted.Lapsed)
      Unlisted.State = Liveness::Alive;
    else
      Unlisted.Listed.Draining = true; // joins no further group
    Unlisted.Listed.Group = groupOf(Missed);
    // A missing follower ends the group; a missing head may still be serving.
    if (!mayBeHead(Missed) && Unlisted.State != Liveness::Alive)
      continue;
    fillAccepted(Unlisted);
    Planned.push_back(std::move(Unlisted));
  }
  return Planned;
}

void GroupController::fillAccepted(PlannedInstance &Planned) const {
  auto Found = Probes.find(Planned.Listed.Id);
  if (Found == Probes.end() ||
      Found->second.FencedLife != Planned.Listed.BornMilliseconds)
    return;
  Planned.AcceptedFence = Found->second.AcceptedFence;
  Planned.LeftEpoch = Found->second.LeftEpoch;
}

void GroupController::plan() {
  TimePoint Now = Timers.now();
  Census = Peers.takeCensus();
  std::erase_if(Missing, [&](const auto &Entry) {
    const auto &[Id, Missed] = Entry;
    return Now - Missed.Since > UnlistedMaxAge && !hasJustAnswered(Id) &&
           !Census.Reached.contains(Id);
  });
  std::erase_if(Asked, [&](const auto &Entry) {
    return Now - Entry.second.LastAt > QuestionMaxAge;
  });
  std::erase_if(Evidence, [&](const auto &Entry) {
    return !Instances.Instances.contains(Entry.first) &&
           !Missing.contains(Entry.first);
  });
  if (!Config || !isDutyHolder())
    return;
  checkDisputed();
  publishGoneHeads();
  bool First =
      Settings.FirstStart && Now - StartedAt < Settings.FirstStartLength;
  for (const auto &[Id, Service] : Config->Services) {
    if (!Service.Engine)
      continue;
    GroupPlanState &State = Plans[Id];
    State.Settings = Settings.Plan;
    State.FirstEpoch = Lease.Record.Term * EpochsPerTerm;
    State.NextEpoch = std::max(State.NextEpoch, State.FirstEpoch);
    State.Exchanges.Asked = workOfService(Work, Id);
    State.Exchanges.ListFollowed = ListFollowed;
    std::map<std::string, ModelSummary> Before = State.Models;
    for (const GroupOrder &Order :
         planGroups(State, plannedInstances(Id), Service, First, Now))
      sendOrder(Order);
    publishModels(Before, State.Models);
    publishDemand(Id, State.Exchanges);
  }
}

void GroupController::checkDisputed() {
  for (const auto &[Id, Record] : Instances.Instances) {
    if (statedMembership(evidenceOf(Id), Record.Listed, Record.ChangedAt) !=
        Record.Listed.Group)
      requestReport(Id);
  }
}

void GroupController::sendOrder(const GroupOrder &Order) {
  if (Order.Kind == OrderKind::Check)
    return requestReport(Order.To);
  auto Found = Instances.Instances.find(Order.To);
  auto Unlisted = Missing.find(Order.To);
  if (Found == Instances.Instances.end() && Unlisted == Missing.end())
    return;
  const Instance &To = Found != Instances.Instances.end()
                           ? Found->second.Listed
                           : Unlisted->second.Last;
  Metrics.count("orders", "kind", toString(Order.Kind));
  spdlog::info("event=order kind={} instance={} group={} epoch={} model={} "
               "term={}",
               toString(Order.Kind), Order.To.str(), Order.Group, Order.Epoch,
               Order.Model, Lease.Record.Term);
  Probe &TargetProbe = Probes[Order.To];
  TargetProbe.OrderedAt = Timers.now();
  TargetProbe.OrderedFence = std::max(TargetProbe.OrderedFence, Order.Fence);
  TargetProbe.Reported.reset();
  std::int64_t Term = Lease.Record.Term;
  std::int64_t Life = To.BornMilliseconds;
  TimePoint SentAt = TargetProbe.OrderedAt;
  noteOrdered(Evidence[Order.To], Order, Life, SentAt);
  Calls.Order(
      To, Order,
      [this, Term] { return isDutyHolder() && Lease.Record.Term == Term; },
      [this, Order, Term, Life, SentAt](const Outcome<bool> &Answer) {
        const Error *Failed = errorOf(Answer);
        if (!Failed)
          noteOrderAnswered(Evidence[Order.To], Order, Life,
                            std::get<0>(Answer), SentAt);
        if (!Failed && std::get<0>(Answer)) {
          Probe &To = Probes[Order.To];
          To.AcceptedFence = Order.Fence;
          To.FencedLife = Life;
          To.LeftEpoch = Order.Kind == OrderKind::Leave ? Order.Epoch : 0;
          if (Order.Kind == OrderKind::Leave)
            scheduleReportOfLeave(Order.To);
          return;
        }
        spdlog::warn("event=order_not_taken kind={} instance={} epoch={} "
                     "reason=\"{}\"",
                     toString(Order.Kind), Order.To.str(), Order.Epoch,
                     Failed ? Failed->Message
                            : "does not fit the instance's state");
        if (!Failed) {
          auto To = Instances.Instances.find(Order.To);
          if (To != Instances.Instances.end())
            noteOrderRefused(Plans[To->second.Listed.Service], Order);
          return;
        }
        // The instance has seen a higher fencing token than any that this
        // holder has sent to it, so another entry holds the duty.
        if (Failed->Code == ResultCode::StaleFence &&
            Lease.Record.Term == Term &&
            Order.Fence >= Probes[Order.To].OrderedFence)
          Lease.HeldUntil = TimePoint{};
        if (Failed->Code != ResultCode::StaleFence) {
          auto To = Instances.Instances.find(Order.To);
          if (To != Instances.Instances.end())
            probe(To->second.Listed, false);
        }
      });
}

void GroupController::scheduleReportOfLeave(const InstanceId &Id) {
  auto Found = Instances.Instances.find(Id);
  if (Found == Instances.Instances.end())
    return;
  LeaveReported =
      Timers.after(reportLag(Found->second.Listed), [this] { schedulePlan(); });
}

void GroupController::requestReport(const InstanceId &Id) {
  auto Found = Instances.Instances.find(Id);
  auto Unlisted = Missing.find(Id);
  bool Listed = Found != Instances.Instances.end();
  if (!Listed && Unlisted == Missing.end())
    return;
  const Instance &Target =
      Listed ? Found->second.Listed : Unlisted->second.Last;
  // A report within this time may still show the state before the last order.
  if (Timers.now() - Probes[Id].OrderedAt > reportLag(Target))
    probe(Target, !Listed);
}

void GroupController::probeSuspects() {
  std::set<UpstreamKey> Stalled;
  TimePoint Now = Timers.now();
  for (const auto &[Key, State] : Book.Upstreams) {
    if (Now < State.AvoidUntil && State.Avoid != AvoidReason::Refusing &&
        State.Avoid != AvoidReason::None)
      Stalled.insert(Key);
  }
  Stalled.merge(Peers.stalledForOtherEntries());
  if (isDutyHolder())
    probeMembers(Stalled);
  for (const auto &[Id, Missed] : Missing) {
    auto Found = Probes.find(Id);
    bool Ended = Found != Probes.end() && Found->second.Ended;
    if (Ended || (!mayBeHead(Missed) && !isDutyHolder()))
      continue;
    probe(Missed.Last, true);
  }
  probeAsked();
}

void GroupController::probeAsked() {
  for (const auto &[Id, Each] : Asked) {
    auto Found = Instances.Instances.find(Id);
    if (Found != Instances.Instances.end() && !hasJustAnswered(Id))
      probe(Found->second.Listed, true);
  }
}

// Probes the members of stalled groups, and listed instances whose last probe
// got no answer.
void GroupController::probeMembers(const std::set<UpstreamKey> &Stalled) {
  std::set<std::int64_t> Epochs;
  for (const UpstreamKey &Key : Stalled) {
    if (Key.Epoch != 0)
      Epochs.insert(Key.Epoch);
  }
  for (const auto &[Id, Record] : Instances.Instances) {
    const std::optional<Membership> &Place = Record.Listed.Group;
    bool Suspect = Place && Epochs.contains(Place->Epoch);
    if (Suspect || livenessOf(Id) != Liveness::Alive)
      probe(Record.Listed, false);
  }
}

Duration GroupController::reportLag(const Instance &Target) const {
  if (!Config)
    return {};
  auto Service = Config->Services.find(Target.Service);
  return Service == Config->Services.end() || !Service->second.Engine
             ? Duration::zero()
             : Service->second.Engine->ReportLag;
}

void GroupController::probe(const Instance &Target, bool IsUnlisted) {
  Probe &Current = Probes[Target.Id];
  TimePoint Now = Timers.now();
  if (quietUntil(Book.Notices, {Target.Id, Target.BornMilliseconds}) >
      Timers.nowWithSuspension())
    return;
  Duration Lag = reportLag(Target);
  // Reports asked for earlier may show the state before the last order.
  TimePoint ShowsOrderFrom = Current.OrderedAt + Lag;
  bool Outdated = Current.OrderedAt != TimePoint{} && Now > ShowsOrderFrom &&
                  Current.SentAt <= ShowsOrderFrom;
  bool Recent = Current.SentAt != TimePoint{} && !Outdated &&
                Now - Current.SentAt < Settings.ProbeInterval;
  if (Current.InProgress || Recent)
    return;
  Current.InProgress = true;
  Current.SentAt = Now;
  Metrics.count("probes", "reason", IsUnlisted ? "unlisted" : "suspect");
  Calls.Report(Target, [this, Lag,
                        Id = Target.Id](const Outcome<Instance> &Answer) {
    Probe &Finished = Probes[Id];
    Finished.InProgress = false;
    bool Silent = errorOf(Answer) != nullptr;
    if (Silent != Finished.Silent)
      spdlog::info("event=instance_belief instance={} state={} cause=\"{}\"",
                   Id.str(), Silent ? "silent" : "alive",
                   Silent ? errorOf(Answer)->Message : "answered");
    Finished.Silent = Silent;
    if (Silent)
      Finished.UnansweredSentAt = Finished.SentAt;
    Finished.Refused =
        Silent && errorOf(Answer)->Code == ResultCode::ConnectFailed;
    Finished.Ended = Silent && errorOf(Answer)->Code == ResultCode::NotFound;
    if (!Silent) {
      Finished.AnsweredAt = Timers.now();
      Finished.ReportedAsOf = Finished.SentAt - Lag;
      noteReported(Evidence[Id], std::get<0>(Answer), Finished.ReportedAsOf);
      if (Finished.ReportedAsOf > Finished.OrderedAt)
        Finished.Reported = std::get<0>(Answer);
    }
    schedulePlan();
  });
}

void GroupController::stop(std::function<void()> Done) {
  Stopping = true;
  std::optional<StoredObject> Object =
      releaseDuty(Lease, Timers.nowWithSuspension());
  if (!Object)
    return Done();
  auto Once = std::make_shared<std::function<void()>>(std::move(Done));
  auto Finish = [Once] {
    if (*Once)
      std::exchange(*Once, nullptr)();
  };
  Store.Write(DutyKind, *Object,
              [Finish](const Outcome<StoredObject> &) { Finish(); });
  Timer = Timers.after(StopWait, Finish);
}

} // namespace samphirehill::serving
