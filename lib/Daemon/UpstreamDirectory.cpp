#include "samphirehill/Daemon/UpstreamDirectory.h"

#include "samphirehill/Core/Hash.h"

#include <utility>

namespace samphirehill {

void UpstreamDirectory::put(UpstreamStatus Status, TimePoint TakenAt,
                            Duration ValidFor) {
  const UpstreamId Name = Status.Info.Id;
  DirectoryEntry &Held = ByName[Name];
  if (Held.ValidUntil > TakenAt + ValidFor)
    return;
  if (Held.Status.Info.Boot != Status.Info.Boot)
    Held.Doubtful = false;
  ByService[Status.Info.Service].insert(Name);
  Held.Status = std::move(Status);
  Held.ValidUntil = TakenAt + ValidFor;
  Table.putUpstream(Held.Status.Info);
  Held.Status.Load.TakenAt = TakenAt;
  Table.setReport(Name, Held.Status.Load);
  applyState(Held);
}

void UpstreamDirectory::remove(const UpstreamId &Name) {
  auto Found = ByName.find(Name);
  if (Found == ByName.end())
    return;
  ByService[Found->second.Status.Info.Service].erase(Name);
  ByName.erase(Found);
  Table.removeUpstream(Name);
  Hints.removeUpstream(Name);
}

bool UpstreamDirectory::expire(TimePoint Now) {
  bool Any = false;
  for (auto &[Name, Entry] : ByName) {
    if (Entry.HeldOffUntil != TimePoint() && Entry.HeldOffUntil <= Now) {
      Entry.HeldOffUntil = TimePoint();
      applyState(Entry);
    }
    if (!Entry.Status.Serving || Entry.ValidUntil > Now)
      continue;
    Entry.Status.Serving = false;
    applyState(Entry);
    Any = true;
  }
  return Any;
}

void UpstreamDirectory::judgeStragglers(TimePoint Now) {
  std::map<Peers, std::vector<UpstreamRate>> Samples;
  for (const auto &[Name, Entry] : ByName) {
    const UpstreamStatus &Status = Entry.Status;
    if (Status.Serving && !Status.Cold && Entry.ValidUntil > Now)
      Samples[{Status.Info.Service, Status.Info.Version}].push_back(
          {Name, Status.Load.TokensPerSecond, Status.Load.Running});
  }
  for (const auto &[Of, Rates] : Samples) {
    std::vector<double> Factors = updateStragglers(Slow[Of], Rates, Now);
    for (std::size_t I = 0; I < Rates.size(); ++I)
      Table.setStragglerFactor(Rates[I].Id, Factors[I]);
  }
}

void UpstreamDirectory::holdOff(const UpstreamId &Name, TimePoint Until) {
  auto Found = ByName.find(Name);
  if (Found == ByName.end())
    return;
  Found->second.HeldOffUntil = Until;
  applyState(Found->second);
}

bool UpstreamDirectory::setCold(const UpstreamId &Name, const BootId &Boot) {
  auto Found = ByName.find(Name);
  if (Found == ByName.end() || Found->second.Status.Cold ||
      Found->second.Status.Info.Boot != Boot)
    return false;
  Found->second.Status.Cold = true;
  applyState(Found->second);
  return true;
}

void UpstreamDirectory::setDoubtful(const UpstreamId &Name, bool Value) {
  auto Found = ByName.find(Name);
  if (Found == ByName.end())
    return;
  Found->second.Doubtful = Value;
  applyState(Found->second);
}

void UpstreamDirectory::setCrashed(const UpstreamId &Name, const BootId &Boot) {
  auto Found = ByName.find(Name);
  if (Found == ByName.end() || Found->second.Status.Info.Boot != Boot)
    return;
  Found->second.Status.Serving = false;
  applyState(Found->second);
}

void UpstreamDirectory::setZoneOut(const ZoneId &Zone, bool Out) {
  if (Out)
    ZonesOut.insert(Zone);
  else
    ZonesOut.erase(Zone);
  Table.setZoneOut(Zone, Out);
}

void UpstreamDirectory::setCredits(const UpstreamId &Name, int Idle) {
  Table.setCredits(Name, Idle);
}

void UpstreamDirectory::noteSend(const UpstreamId &Name, TimePoint Now) {
  Table.noteSend(Name, Now);
}

void UpstreamDirectory::noteEnd(const UpstreamId &Name, TimePoint Now) {
  Table.noteEnd(Name, Now);
}

std::optional<UpstreamId>
UpstreamDirectory::choose(const UpstreamQuery &Query) const {
  RouteRequest Request;
  Request.Service = Query.Of;
  Request.Version = Query.Version;
  Request.Adapter = Query.Adapter;
  Request.Zone = Query.Here;
  Request.Prompt = Query.Prompt;
  Request.Exclude.assign(Query.Excluded.begin(), Query.Excluded.end());
  Request.Random = Query.Random;
  Request.Now = Query.Now;
  std::optional<RouteChoice> Choice = route(Table, Hints, Request);
  if (!Choice)
    return std::nullopt;
  return Choice->Upstream;
}

std::vector<UpstreamId>
UpstreamDirectory::chooseSeveral(UpstreamQuery Query, std::size_t Count) const {
  std::vector<UpstreamId> Chosen;
  while (Chosen.size() < Count) {
    std::optional<UpstreamId> Next = choose(Query);
    if (!Next)
      break;
    Query.Excluded.insert(*Next);
    Query.Random = combineHashes(Query.Random, Chosen.size());
    Chosen.push_back(*Next);
  }
  return Chosen;
}

bool UpstreamDirectory::any(const UpstreamQuery &Query) const {
  return choose(Query).has_value();
}

const DirectoryEntry *UpstreamDirectory::find(const UpstreamId &Name) const {
  auto Found = ByName.find(Name);
  return Found == ByName.end() ? nullptr : &Found->second;
}

std::vector<UpstreamId> UpstreamDirectory::serving(const ServiceId &Of) const {
  std::vector<UpstreamId> Names;
  auto Found = ByService.find(Of);
  if (Found == ByService.end())
    return Names;
  for (const UpstreamId &Name : Found->second) {
    const UpstreamView *View = Table.find(Name);
    if (View && Table.isEligible(*View))
      Names.push_back(Name);
  }
  return Names;
}

void UpstreamDirectory::applyState(const DirectoryEntry &Entry) {
  Table.setState(Entry.Status.Info.Id, Entry.Status.Cold, Entry.Status.Leaving,
                 Entry.Status.Serving && !Entry.Doubtful &&
                     Entry.HeldOffUntil == TimePoint());
}

} // namespace samphirehill
