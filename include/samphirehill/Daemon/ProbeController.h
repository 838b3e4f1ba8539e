// Probes upstreams and tells others what it saw. Only the home of an upstream
// probes it; the zone's controller also probes engines in no group. Upstream
// reports go to the zone's entries and, through the relays, to other zones;
// engine reports go to the zone's controller.
#ifndef SAMPHIREHILL_DAEMON_PROBECONTROLLER_H
#define SAMPHIREHILL_DAEMON_PROBECONTROLLER_H

#include "samphirehill/Config/OperatorsText.h"
#include "samphirehill/Core/Instance.h"
#include "samphirehill/Core/Signal.h"
#include "samphirehill/Daemon/CreditController.h"
#include "samphirehill/Daemon/MembershipController.h"
#include "samphirehill/Daemon/PeerHub.h"
#include "samphirehill/Daemon/Runtime.h"
#include "samphirehill/Daemon/UpstreamDirectory.h"
#include "samphirehill/Groups/Fleet.h"
#include "samphirehill/Groups/GroupHealth.h"
#include "samphirehill/Groups/Placement.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace samphirehill {

constexpr Duration ProbePeriod = milliseconds(500);

class ProbeController {
public:
  ProbeController(Runtime &Shared, PeerHub &Hub,
                  MembershipController &Membership, CreditController &Credits,
                  UpstreamDirectory &Directory);

  // Replaces what to probe: Instances by name, and for engines the groups of
  // the zone that this entry is home of. Texts gives services of upstreams.
  struct Targets {
    std::map<InstanceId, Instance> Instances;
    Placement Groups;           // whole placement of the zone, as in force
    std::set<UpstreamId> Homes; // upstreams whose home is this entry
    std::map<UpstreamId, Service> Services; // of Homes
    EntryId Controller;                     // of the zone; empty while unknown
  };
  void setTargets(Targets Wanted);

  // Reads the status of a group's members now, if this entry is its home.
  void probeGroup(const UpstreamId &Name);

  // Reads one engine's status now.
  void probeNow(const InstanceId &Name);

  // Emitted for each engine report, own or told to this controller.
  Signal<EngineReport> Reported;
  // Emitted for own probes of a group's leader or a plain service.
  Signal<UpstreamId, BootId, bool> UpstreamSeen; // name, boot id, warm

  const EngineReports &reports() const { return Reports; }
  TimePoint collectingSince() const { return CollectingSince; }

private:
  void tick();
  void probe(const Instance &Target);
  void receiveStatus(const Instance &Target, TimePoint AskedAt,
                     const Outcome<HttpResponse> &Value);
  void receiveEngine(const Instance &Target, TimePoint AskedAt,
                     const std::string &Body);
  void receiveService(const Instance &Target, TimePoint AskedAt,
                      const HttpResponse &Response);
  void accept(const EngineReport &Report);
  void probeFailed(const Instance &Target, const Error &Failure);
  void lostEngine(const InstanceId &Name);
  void judge();
  void publish(UpstreamStatus Status, TimePoint TakenAt);
  void feedHome(const UpstreamId &Name, const EngineReport &Report);
  void sendShares();
  void forwardSummaries(const peer::Envelope &Message);
  UpstreamStatus statusOf(const Group &Of, const EngineReport &Leader,
                          bool Serving) const;

  Runtime &Shared;
  PeerHub &Hub;
  MembershipController &Membership;
  CreditController &Credits;
  UpstreamDirectory &Directory;
  Targets Wanted;
  EngineReports Reports;
  GroupHealthState Healths;
  std::map<GroupId, GroupFault> LastFaults;
  std::set<InstanceId> InFlight;
  // Consecutive probes that could not connect.
  std::map<InstanceId, int> Unconnected;
  std::map<InstanceId, TimerSubscription> Reprobes;
  std::map<UpstreamId, bool> WasWarm; // own upstreams, at the last report
  // Own upstreams' latest reports, for the next share.
  std::map<UpstreamId, std::pair<UpstreamStatus, TimePoint>> Own;
  // Bodies of own engine reports since the last share to the controller.
  std::map<InstanceId, std::pair<std::string, TimePoint>> ToController;
  TimePoint CollectingSince;
  TimerSubscription Tick;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_PROBECONTROLLER_H
