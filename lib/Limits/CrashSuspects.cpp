#include "samphirehill/Limits/CrashSuspects.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>

namespace samphirehill {
namespace {

void dropCrash(CrashSuspects &Suspects, const CrashId &Id) {
  auto Found = Suspects.Crashes.find(Id);
  if (Found == Suspects.Crashes.end())
    return;
  for (Fingerprint Request : Found->second.InProgress) {
    std::vector<CrashPresence> &Presences = Suspects.ByFingerprint[Request];
    std::erase_if(Presences, [&Id](const auto &P) { return P.Crash == Id; });
    if (Presences.empty())
      Suspects.ByFingerprint.erase(Request);
  }
  Suspects.StoredFingerprints -= Found->second.InProgress.size();
  auto [First, Last] = Suspects.ByTime.equal_range(Found->second.CrashedAt);
  for (auto Place = First; Place != Last; ++Place) {
    if (Place->second != Id)
      continue;
    Suspects.ByTime.erase(Place);
    break;
  }
  Suspects.Crashes.erase(Found);
}

// Drops the oldest crashes while a bound is exceeded.
void enforceBounds(CrashSuspects &Suspects) {
  while (Suspects.Crashes.size() > Suspects.Settings.MaxCrashes ||
         Suspects.StoredFingerprints > Suspects.Settings.MaxFingerprints) {
    CrashId Oldest = Suspects.ByTime.begin()->second;
    dropCrash(Suspects, Oldest);
  }
}

// Marks New and the crashes of other upstreams of its domain within the window
// as a domain fault. A crash whose broadcast arrives late marks earlier
// recorded crashes too.
void applyDomainRule(CrashSuspects &Suspects, const CrashId &Id,
                     KnownCrash &New) {
  if (New.Domain.empty() || Suspects.Settings.Faults.NoDomainRule)
    return;
  Duration Window = Suspects.Settings.DomainWindow;
  auto First = Suspects.ByTime.lower_bound(New.CrashedAt - Window);
  auto Last = Suspects.ByTime.upper_bound(New.CrashedAt + Window);
  for (auto Place = First; Place != Last; ++Place) {
    KnownCrash &Other = Suspects.Crashes[Place->second];
    if (Other.Domain != New.Domain || Place->second.Upstream == Id.Upstream)
      continue;
    Other.DomainFault = true;
    New.DomainFault = true;
  }
}

// Adds the requests in progress that aren't recorded for the crash yet.
void addFingerprints(CrashSuspects &Suspects, const CrashId &Id,
                     KnownCrash &Known,
                     const std::vector<InProgressRequest> &InProgress) {
  for (const InProgressRequest &Interrupted : InProgress) {
    std::vector<CrashPresence> &Presences =
        Suspects.ByFingerprint[Interrupted.Request];
    if (std::any_of(Presences.begin(), Presences.end(),
                    [&Id](const auto &P) { return P.Crash == Id; }))
      continue;
    Presences.push_back({Id, Known.CrashedAt - Interrupted.RunningFor});
    Known.InProgress.push_back(Interrupted.Request);
    ++Suspects.StoredFingerprints;
  }
}

} // namespace

Fingerprint requestFingerprint(const OrganisationId &Organisation,
                               std::string_view Body) {
  return combineHashes(hashBytes(Organisation.str()), hashBytes(Body));
}

void recordCrash(CrashSuspects &Suspects, const SuspectBroadcast &Crash,
                 TimePoint Now) {
  expireCrashes(Suspects, Now);
  TimePoint CrashedAt = Now - Crash.Age;
  if (CrashedAt + Suspects.Settings.Retention <= Now)
    return;
  auto [Place, IsNew] = Suspects.Crashes.try_emplace(Crash.Crash);
  KnownCrash &Known = Place->second;
  if (IsNew) {
    Known.Domain = Crash.Domain;
    Known.CrashedAt = CrashedAt;
    Suspects.ByTime.emplace(CrashedAt, Crash.Crash);
    applyDomainRule(Suspects, Crash.Crash, Known);
  }
  addFingerprints(Suspects, Crash.Crash, Known, Crash.InProgress);
  enforceBounds(Suspects);
}

CrashCheck checkCrashes(const CrashSuspects &Suspects, Fingerprint Request,
                        TimePoint Now) {
  auto Found = Suspects.ByFingerprint.find(Request);
  if (Found == Suspects.ByFingerprint.end())
    return {};
  TimePoint First = TimePoint::max();
  TimePoint Latest{};
  for (const CrashPresence &Presence : Found->second) {
    TimePoint CrashedAt = Suspects.Crashes.at(Presence.Crash).CrashedAt;
    if (CrashedAt + Suspects.Settings.Retention <= Now)
      continue;
    First = std::min(First, CrashedAt);
    Latest = std::max(Latest, CrashedAt);
  }
  // A crash counts unless a domain fault excuses it. A domain fault excuses no
  // crash of an upstream on which the request started after the first crash,
  // and such a later crash means that the first one counts as well.
  int Distinct = 0;
  bool AnyRestarted = false;
  bool FirstExcused = false;
  for (const CrashPresence &Presence : Found->second) {
    const KnownCrash &Known = Suspects.Crashes.at(Presence.Crash);
    if (Known.CrashedAt + Suspects.Settings.Retention <= Now)
      continue;
    bool Restarted =
        Known.CrashedAt > First &&
        Presence.StartedAt >= First - Suspects.Settings.TimeTolerance;
    AnyRestarted |= Restarted;
    if (!Known.DomainFault || Restarted)
      ++Distinct;
    else
      FirstExcused |= Known.CrashedAt == First;
  }
  if (FirstExcused && AnyRestarted)
    ++Distinct;
  if (Distinct == 0)
    return {};
  bool Refuses = Distinct > 1 && !Suspects.Settings.Faults.NeverRefuse;
  if (Refuses)
    return {CrashVerdict::Refuse, Latest + Suspects.Settings.Retention};
  return {CrashVerdict::Suspect, Latest + Suspects.Settings.DomainWindow};
}

void expireCrashes(CrashSuspects &Suspects, TimePoint Now) {
  while (!Suspects.ByTime.empty()) {
    auto [CrashedAt, Id] = *Suspects.ByTime.begin();
    if (CrashedAt + Suspects.Settings.Retention > Now)
      return;
    dropCrash(Suspects, Id);
  }
}

} // namespace samphirehill
