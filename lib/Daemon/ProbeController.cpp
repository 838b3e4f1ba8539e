#include "samphirehill/Daemon/ProbeController.h"

#include "ReportMessages.h"
#include "samphirehill/Daemon/UpstreamCalls.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

constexpr Duration ProbeTimeout = milliseconds(1000);
constexpr Duration ReprobePeriod = milliseconds(100);
constexpr int DeadAfterProbes = 3;
// Reports from other zones pass two relays, each of which may hold them back
// for one summary interval.
constexpr Duration RemoteValidity = ReportAgeLimit + SummaryInterval * 2;

} // namespace

ProbeController::ProbeController(Runtime &Shared, PeerHub &Hub,
                                 MembershipController &Membership,
                                 CreditController &Credits,
                                 UpstreamDirectory &Directory)
    : Shared(Shared), Hub(Hub), Membership(Membership), Credits(Credits),
      Directory(Directory), CollectingSince(Shared.Timers.now()) {
  Hub.handle(peer::Envelope::kUpstreamReports, [this](const auto &Message) {
    TimePoint Now = this->Shared.Timers.now();
    for (const peer::UpstreamReport &Each :
         Message.upstream_reports().reports()) {
      UpstreamStatus Status = samphirehill::statusOf(Each);
      bool Local = Status.Info.Zone == this->Shared.Config.Zone;
      this->Directory.put(std::move(Status), Now - Duration(Each.age_us()),
                          Local ? ReportAgeLimit : RemoteValidity);
    }
  });
  Hub.handle(peer::Envelope::kEngineReports, [this](const auto &Message) {
    TimePoint Now = this->Shared.Timers.now();
    for (const peer::EngineReport &Each : Message.engine_reports().reports()) {
      if (Each.status().empty()) {
        lostEngine(InstanceId(Each.instance()));
        continue;
      }
      Json Status = Json::parse(Each.status(), nullptr, false);
      Outcome<EngineReport> Report = capture(
          [&] { return parseReport(Status, Now - Duration(Each.age_us())); });
      if (const auto *Parsed = std::get_if<EngineReport>(&Report))
        accept(*Parsed);
    }
  });
  Hub.Received.connect([this](const peer::Envelope &Message) {
    if (Message.has_summary())
      forwardSummaries(Message);
  });
  Membership.AddToSummary = [this](peer::Summary &Summary) {
    TimePoint Now = this->Shared.Timers.now();
    for (const auto &[Name, Entry] : this->Directory.entries())
      if (Entry.Status.Info.Zone == this->Shared.Config.Zone)
        fill(*Summary.add_upstreams(), Entry.Status,
             Now - (Entry.ValidUntil - ReportAgeLimit));
  };
  Tick = Shared.Timers.every(ProbePeriod, [this] { tick(); });
}

void ProbeController::setTargets(Targets Replacement) {
  Wanted = std::move(Replacement);
  std::erase_if(Own, [this](const auto &Each) {
    return !Wanted.Homes.contains(Each.first);
  });
  std::erase_if(Reports, [this](const auto &Each) {
    // Reports that others told the controller are kept while it controls.
    return !Wanted.Instances.contains(Each.first) &&
           Wanted.Controller != Shared.Config.Entry;
  });
  judge();
}

void ProbeController::tick() {
  sendShares();
  for (const auto &[Name, Target] : Wanted.Instances)
    probe(Target);
  judge();
  TimePoint Now = Shared.Timers.now();
  Directory.expire(Now);
  Directory.judgeStragglers(Now);
}

void ProbeController::probeGroup(const UpstreamId &Name) {
  if (!Wanted.Homes.contains(Name))
    return;
  if (const Group *Found = Wanted.Groups.findGroup(GroupId(Name.str())))
    for (const InstanceId &Member : Found->Members)
      probeNow(Member);
}

void ProbeController::probeNow(const InstanceId &Name) {
  auto Found = Wanted.Instances.find(Name);
  if (Found != Wanted.Instances.end())
    probe(Found->second);
}

void ProbeController::probe(const Instance &Target) {
  if (!InFlight.insert(Target.Name).second)
    return;
  TimePoint AskedAt = Shared.Timers.now();
  Shared.Counters.count("probes_total");
  Shared.Http.send(statusRequest(Target.Address, ProbeTimeout),
                   [this, Target, AskedAt](const Outcome<HttpResponse> &Value) {
                     InFlight.erase(Target.Name);
                     receiveStatus(Target, AskedAt, Value);
                   });
}

void ProbeController::receiveStatus(const Instance &Target, TimePoint AskedAt,
                                    const Outcome<HttpResponse> &Value) {
  if (!Wanted.Instances.contains(Target.Name))
    return;
  const auto *Response = std::get_if<HttpResponse>(&Value);
  if (!Response) {
    probeFailed(Target, *errorOf(Value));
    return;
  }
  Unconnected.erase(Target.Name);
  if (Target.Role == InstanceRole::Service)
    receiveService(Target, AskedAt, *Response);
  else if (Response->Status == 200)
    receiveEngine(Target, AskedAt, Response->Body);
}

// A process that does not listen is dead; a few quick probes tell that from one
// lost connection. Silence of any other kind is left to the age of the report.
void ProbeController::probeFailed(const Instance &Target,
                                  const Error &Failure) {
  Shared.Counters.count("probes_failed_total");
  if (Failure.Code != ResultCode::ConnectFailed) {
    Unconnected.erase(Target.Name);
    return;
  }
  if (++Unconnected[Target.Name] >= DeadAfterProbes) {
    lostEngine(Target.Name);
    if (Wanted.Controller != Shared.Config.Entry)
      ToController[Target.Name] = {"", Shared.Timers.now()};
    return;
  }
  Reprobes[Target.Name] = Shared.Timers.after(
      ReprobePeriod, [this, Name = Target.Name] { probeNow(Name); });
}

void ProbeController::lostEngine(const InstanceId &Name) {
  if (Reports.erase(Name) > 0)
    Shared.record("engine-lost", Name.str(), "its process does not listen");
  judge();
}

void ProbeController::receiveEngine(const Instance &Target, TimePoint AskedAt,
                                    const std::string &Body) {
  Json Status = Json::parse(Body, nullptr, false);
  Outcome<EngineReport> Parsed =
      capture([&] { return parseReport(Status, AskedAt); });
  const auto *Report = std::get_if<EngineReport>(&Parsed);
  if (!Report || Report->Name != Target.Name) {
    Shared.Counters.count("reports_broken_total");
    return;
  }
  if (Wanted.Controller != Shared.Config.Entry)
    ToController[Target.Name] = {Body, AskedAt};
  accept(*Report);
  const Group *Of = Wanted.Groups.groupOf(Target.Name);
  if (Of && Of->Members.front() == Target.Name)
    feedHome(UpstreamId(Of->Name.str()), *Report);
  judge();
}

void ProbeController::accept(const EngineReport &Report) {
  EngineReport &Held = Reports[Report.Name];
  if (!Held.Boot.empty() && Held.At > Report.At)
    return;
  Held = Report;
  Reported.emit(Report);
}

void ProbeController::feedHome(const UpstreamId &Name,
                               const EngineReport &Report) {
  bool Warm = Report.State == EngineState::Warm;
  UpstreamSeen.emit(Name, Report.Boot, Warm);
  if (!Credits.isHome(Name))
    return;
  Credits.recordBootId(Name, Report.Boot);
  Credits.engineReport(Name, Report.RunningIds, Report.At);
  bool &Before = WasWarm[Name];
  if (Before && !Warm)
    Credits.recordColdAtHome(Name,
                             ColdEvidence{ColdCause::CacheLost, Report.Boot});
  Before = Warm;
  // A queue at the engine shows that more work would only wait there.
  if (Warm && Report.Queued == 0)
    Credits.recordHealthy(Name);
}

void ProbeController::receiveService(const Instance &Target, TimePoint AskedAt,
                                     const HttpResponse &Response) {
  UpstreamId Name(Target.Name.str());
  auto Of = Wanted.Services.find(Name);
  if (Of == Wanted.Services.end())
    return;
  UpstreamStatus Status;
  Status.Info.Id = Name;
  Status.Info.Zone = Target.Zone;
  Status.Info.Service = Of->second.Name;
  Status.Info.Slots = Of->second.WarmLimit;
  Status.Address = Target.Address;
  Status.Serving = true;
  Status.Leaving = Target.State == InstanceState::Leaving;
  // Any answer shows that a plain service lives; the fields are optional.
  Json Body = Json::parse(Response.Body, nullptr, false);
  std::vector<RequestId> Running;
  bool HasRunning = false;
  if (Response.Status == 200 && Body.is_object()) {
    if (Body.contains("bootId") && Body["bootId"].is_string())
      Status.Info.Boot = BootId(Body["bootId"].get<std::string>());
    if (Body.contains("running") && Body["running"].is_number_integer())
      Status.Load.Running = Body["running"].get<std::int64_t>();
    HasRunning = Body.contains("runningIds") && Body["runningIds"].is_array();
    if (HasRunning)
      for (const Json &Each : Body["runningIds"])
        if (Each.is_string())
          Running.emplace_back(Each.get<std::string>());
  }
  UpstreamSeen.emit(Name, Status.Info.Boot, true);
  if (Credits.isHome(Name)) {
    Credits.recordBootId(Name, Status.Info.Boot);
    if (HasRunning)
      Credits.engineReport(Name, Running, AskedAt);
    Credits.recordHealthy(Name);
  }
  publish(std::move(Status), AskedAt);
}

UpstreamStatus ProbeController::statusOf(const Group &Of,
                                         const EngineReport &Leader,
                                         bool Serving) const {
  UpstreamStatus Status;
  Status.Info.Id = UpstreamId(Of.Name.str());
  Status.Info.Zone = Shared.Config.Zone;
  Status.Info.Service = Of.Service;
  Status.Info.Version = Leader.Version;
  Status.Info.Adapters = Leader.Adapters;
  Status.Info.Boot = Leader.Boot;
  auto Known = Wanted.Services.find(Status.Info.Id);
  if (Known != Wanted.Services.end())
    Status.Info.Slots = Known->second.WarmLimit;
  Status.Serving = Serving;
  Status.Cold = Leader.State != EngineState::Warm;
  Status.Load.Running = Leader.Running;
  Status.Load.Queued = Leader.Queued;
  Status.Load.TokensPerSecond = Leader.TokensPerSecond;
  for (const InstanceId &Member : Of.Members) {
    auto Listed = Wanted.Instances.find(Member);
    if (Listed == Wanted.Instances.end()) {
      Status.Serving = false;
      continue;
    }
    Status.Leaving =
        Status.Leaving || Listed->second.State == InstanceState::Leaving;
    if (Member != Of.Members.front())
      continue;
    Status.Address = Listed->second.Address;
    Status.Domain = Listed->second.FabricDomain;
  }
  return Status;
}

// Judges the groups whose home is this entry and publishes the result.
void ProbeController::judge() {
  TimePoint Now = Shared.Timers.now();
  std::map<GroupId, GroupHealth> Judged =
      evaluateGroups(Healths, Wanted.Groups, Reports, Now);
  for (const Group &Each : Wanted.Groups.Groups) {
    UpstreamId Name(Each.Name.str());
    if (!Wanted.Homes.contains(Name))
      continue;
    const GroupHealth &Health = Judged.at(Each.Name);
    auto Last = LastFaults.find(Each.Name);
    if (Last == LastFaults.end() || Last->second != Health.Fault)
      Shared.record(Health.serves() ? "group-serving" : "group-stopped",
                    Each.Name.str(),
                    Health.serves() ? ""
                                    : std::string(toString(Health.Fault)) +
                                          " at " + Health.Member.str());
    LastFaults[Each.Name] = Health.Fault;
    const EngineReport *Leader = findReport(Reports, Each.Members.front());
    if (!Leader) {
      auto Last = Own.find(Name);
      if (Last != Own.end() && Last->second.first.Serving) {
        UpstreamStatus Stopped = Last->second.first;
        Stopped.Serving = false;
        publish(std::move(Stopped), Now);
      }
      continue;
    }
    TimePoint Oldest = Now;
    for (const InstanceId &Member : Each.Members)
      if (const EngineReport *Report = findReport(Reports, Member))
        Oldest = std::min(Oldest, Report->At);
    publish(statusOf(Each, *Leader, Health.serves()),
            Health.serves() ? Oldest : Now);
  }
}

void ProbeController::publish(UpstreamStatus Status, TimePoint TakenAt) {
  const UpstreamId Name = Status.Info.Id;
  bool Changed = !Own.contains(Name) ||
                 Own[Name].first.Serving != Status.Serving ||
                 Own[Name].first.Info != Status.Info;
  Own[Name] = {Status, TakenAt};
  Directory.put(std::move(Status), TakenAt, ReportAgeLimit);
  // A change goes out at once, as a group that stops must stop everywhere.
  if (Changed)
    sendShares();
}

void ProbeController::sendShares() {
  TimePoint Now = Shared.Timers.now();
  if (!Own.empty()) {
    peer::Envelope Envelope;
    peer::UpstreamReports &Message = *Envelope.mutable_upstream_reports();
    for (const auto &[Name, Report] : Own)
      fill(*Message.add_reports(), Report.first, Now - Report.second);
    for (const EntryId &Peer : liveZoneEntries(Membership.liveness()))
      if (Peer != Shared.Config.Entry)
        Hub.send(Peer, Envelope);
  }
  if (ToController.empty() || Wanted.Controller.empty())
    return;
  peer::Envelope Envelope;
  for (auto &[Name, Report] : ToController) {
    peer::EngineReport &Added =
        *Envelope.mutable_engine_reports()->add_reports();
    Added.set_instance(Name.str());
    Added.set_status(std::move(Report.first));
    Added.set_age_us((Now - Report.second).count());
  }
  ToController.clear();
  Hub.send(Wanted.Controller, std::move(Envelope));
}

// The relay passes reports of other zones on to its own zone.
void ProbeController::forwardSummaries(const peer::Envelope &Message) {
  peer::Envelope Envelope;
  *Envelope.mutable_upstream_reports()->mutable_reports() =
      Message.summary().upstreams();
  TimePoint Now = Shared.Timers.now();
  for (const peer::UpstreamReport &Each : Message.summary().upstreams())
    Directory.put(samphirehill::statusOf(Each), Now - Duration(Each.age_us()),
                  RemoteValidity);
  for (const EntryId &Peer : liveZoneEntries(Membership.liveness()))
    if (Peer != Shared.Config.Entry)
      Hub.send(Peer, Envelope);
}

} // namespace samphirehill
