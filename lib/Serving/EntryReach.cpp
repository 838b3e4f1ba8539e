#include "samphirehill/Serving/EntryReach.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace samphirehill::serving {
namespace {

void noteHeard(UpstreamBook &Book, const ZoneId &Zone, TimePoint HeardAt) {
  ZoneEvidence &Seen = Book.Reach.Seen[Zone];
  Seen = merge(Seen, {HeardAt, {}, {}});
}

} // namespace

void noteUnreached(UpstreamBook &Book, const UpstreamKey &Key, TimePoint Now) {
  auto Found = Book.Upstreams.find(Key);
  if (Found == Book.Upstreams.end())
    return;
  ZoneEvidence &Seen = Book.Reach.Seen[Found->second.Info.Zone];
  Seen = merge(Seen, {{}, {}, Now});
}

void noteReached(UpstreamBook &Book, const ZoneId &Zone, TimePoint Now) {
  ZoneEvidence &Seen = Book.Reach.Seen[Zone];
  Seen = merge(Seen, {{}, Now, {}});
}

void collectEvidence(UpstreamBook &Book, const PeerTable &Peers) {
  for (const auto &[Key, State] : Book.Upstreams)
    noteReached(Book, State.Info.Zone, State.LastAnswerAt);
  for (const auto &[Entry, Peer] : Peers.Peers)
    noteHeard(Book, Peer.Zone, Peer.LastReportAt);
}

std::map<ZoneId, ZoneEvidence> evidenceOfOwnZone(const PeerTable &Peers,
                                                 TimePoint Now) {
  std::map<ZoneId, ZoneEvidence> Sum;
  auto Add = [&](const EntryReport &Report, TimePoint ReceivedAt) {
    if (Report.Zone != Peers.Zone || ReceivedAt == TimePoint{} ||
        Now - ReceivedAt > Peers.Settings.MaxReportAge)
      return;
    for (const auto &[Zone, Evidence] : Report.Reach)
      Sum[Zone] = merge(Sum[Zone], Evidence);
  };
  for (const auto &[Entry, Peer] : Peers.Peers)
    Add(Peer.LastReport, Peer.LastReportAt);
  auto OwnZone = Peers.Summaries.find(Peers.Zone);
  if (OwnZone == Peers.Summaries.end())
    return Sum;
  for (const auto &[Relay, Each] : OwnZone->second)
    Add(Each.LastReport, Each.LastReportAt);
  return Sum;
}

std::map<ServiceModel, samphirehill::ServiceReach>
reachByService(const UpstreamBook &Book,
               const std::map<ServiceModel, double> &Rates) {
  std::map<ServiceModel, samphirehill::ServiceReach> Services;
  for (const auto &[Kind, PerSecond] : Rates)
    Services[Kind].PerSecond = PerSecond;
  for (const auto &[Key, State] : Book.Upstreams) {
    samphirehill::ServiceReach &Kind =
        Services[{State.Info.Service, State.Info.Model}];
    ++Kind.Upstreams;
    Kind.InReach += !Book.Reach.CutOff.contains(State.Info.Zone);
  }
  return Services;
}

bool updateReach(UpstreamBook &Book,
                 const std::map<ZoneId, ZoneEvidence> &Shared,
                 const std::map<ServiceModel, double> &OwnRates,
                 TimePoint Now) {
  EntryReach &Reach = Book.Reach;
  std::map<ZoneId, ZoneEvidence> Evidence = Reach.Seen;
  for (const auto &[Zone, Each] : Shared)
    Evidence[Zone] = merge(Evidence[Zone], Each);
  std::set<ZoneId> CutOff;
  for (const auto &[Zone, Each] : Evidence) {
    if (isCutOff(Each, Reach.Settings, Now))
      CutOff.insert(Zone);
  }
  bool Changed = CutOff != Reach.CutOff;
  Reach.CutOff = std::move(CutOff);
  std::map<ServiceModel, double> Rates = Book.PeerDemand;
  for (const auto &[Kind, PerSecond] : OwnRates)
    Rates[Kind] += PerSecond;
  std::vector<samphirehill::ServiceReach> Services;
  for (const auto &[Kind, Each] : reachByService(Book, Rates))
    Services.push_back(Each);
  Readiness Before = Reach.Taking;
  Reach.Taking =
      nextReadiness(Before, servesCallers(Services), Reach.Settings, Now);
  return Changed || Reach.Taking.Ready != Before.Ready;
}

std::vector<Upstream> upstreamsToProbe(const UpstreamBook &Book, double Draw) {
  std::map<ZoneId, std::vector<const Upstream *>> Candidates;
  for (const auto &[Key, State] : Book.Upstreams) {
    if (Book.Reach.CutOff.contains(State.Info.Zone))
      Candidates[State.Info.Zone].push_back(&State.Info);
  }
  std::vector<Upstream> Chosen;
  for (const auto &[Zone, Each] : Candidates) {
    auto Index =
        static_cast<std::size_t>(Draw * static_cast<double>(Each.size()));
    Chosen.push_back(*Each[std::min(Index, Each.size() - 1)]);
  }
  return Chosen;
}

std::string zonesCutOff(const UpstreamBook &Book) {
  std::string Names;
  for (const ZoneId &Each : Book.Reach.CutOff)
    Names += (Names.empty() ? "" : ",") + Each.str();
  return Names;
}

} // namespace samphirehill::serving
