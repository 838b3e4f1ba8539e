#include "samphirehill/Limits/CrashSuspects.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>

namespace samphirehill {
namespace {

void dropCrash(CrashSuspects &Suspects, const CrashId &Id) {
  auto Found = Suspects.Crashes.find(Id);
  if (Found == Suspects.Crashes.end())
    return;
  for (Fingerprint Each : Found->second.InProgress) {
    std::vector<CrashId> &Present = Suspects.ByFingerprint[Each];
    std::erase(Present, Id);
    if (Present.empty())
      Suspects.ByFingerprint.erase(Each);
  }
  Suspects.Stored -= Found->second.InProgress.size();
  auto [First, Last] = Suspects.ByTime.equal_range(Found->second.At);
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
         Suspects.Stored > Suspects.Settings.MaxFingerprints) {
    CrashId Oldest = Suspects.ByTime.begin()->second;
    dropCrash(Suspects, Oldest);
  }
}

// Marks New and the crashes near it as one domain fault if another upstream of
// its domain crashed within the window. Late broadcasts can do so after the
// fact.
void applyDomainRule(CrashSuspects &Suspects, const CrashId &Id,
                     KnownCrash &New) {
  if (New.Domain.empty() || Suspects.Settings.Faults.NoDomainRule)
    return;
  Duration Window = Suspects.Settings.DomainWindow;
  auto First = Suspects.ByTime.lower_bound(New.At - Window);
  auto Last = Suspects.ByTime.upper_bound(New.At + Window);
  for (auto Place = First; Place != Last; ++Place) {
    KnownCrash &Other = Suspects.Crashes[Place->second];
    if (Other.Domain != New.Domain || Place->second.Upstream == Id.Upstream)
      continue;
    Other.DomainFault = true;
    New.DomainFault = true;
  }
}

void addFingerprints(CrashSuspects &Suspects, const CrashId &Id,
                     KnownCrash &Known,
                     const std::vector<Fingerprint> &InProgress) {
  for (Fingerprint Each : InProgress) {
    std::vector<CrashId> &Present = Suspects.ByFingerprint[Each];
    if (std::find(Present.begin(), Present.end(), Id) != Present.end())
      continue;
    Present.push_back(Id);
    Known.InProgress.push_back(Each);
    ++Suspects.Stored;
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
  TimePoint At = Now - Crash.Age;
  if (At + Suspects.Settings.Memory <= Now)
    return;
  auto [Place, IsNew] = Suspects.Crashes.try_emplace(Crash.Crash);
  KnownCrash &Known = Place->second;
  if (IsNew) {
    Known.Domain = Crash.Domain;
    Known.At = At;
    Suspects.ByTime.emplace(At, Crash.Crash);
    applyDomainRule(Suspects, Crash.Crash, Known);
  }
  addFingerprints(Suspects, Crash.Crash, Known, Crash.InProgress);
  enforceBounds(Suspects);
}

CrashCheck checkCrashes(const CrashSuspects &Suspects, Fingerprint Request,
                        TimePoint Now) {
  CrashCheck Check;
  auto Found = Suspects.ByFingerprint.find(Request);
  if (Found == Suspects.ByFingerprint.end())
    return Check;
  int Distinct = 0;
  TimePoint Latest{};
  for (const CrashId &Id : Found->second) {
    const KnownCrash &Known = Suspects.Crashes.at(Id);
    if (Known.DomainFault || Known.At + Suspects.Settings.Memory <= Now)
      continue;
    ++Distinct;
    Latest = std::max(Latest, Known.At);
  }
  if (Distinct == 0)
    return Check;
  bool Refuses = Distinct > 1 && !Suspects.Settings.Faults.NeverRefuse;
  if (Refuses)
    return {CrashVerdict::Refuse, Latest + Suspects.Settings.Memory};
  return {CrashVerdict::Suspect, Latest + Suspects.Settings.DomainWindow};
}

void expireCrashes(CrashSuspects &Suspects, TimePoint Now) {
  while (!Suspects.ByTime.empty()) {
    auto [At, Id] = *Suspects.ByTime.begin();
    if (At + Suspects.Settings.Memory > Now)
      return;
    dropCrash(Suspects, Id);
  }
}

} // namespace samphirehill
