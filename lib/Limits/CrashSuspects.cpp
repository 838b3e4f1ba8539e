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
    std::vector<CrashPresence> &Present = Suspects.ByFingerprint[Each];
    std::erase_if(Present, [&Id](const auto &P) { return P.Crash == Id; });
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
                     const std::vector<InProgressRequest> &InProgress) {
  for (const InProgressRequest &Each : InProgress) {
    std::vector<CrashPresence> &Present = Suspects.ByFingerprint[Each.Request];
    if (std::any_of(Present.begin(), Present.end(),
                    [&Id](const auto &P) { return P.Crash == Id; }))
      continue;
    Present.push_back({Id, Known.At - Each.RunningFor});
    Known.InProgress.push_back(Each.Request);
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
  if (At + Suspects.Settings.Retention <= Now)
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
  auto Found = Suspects.ByFingerprint.find(Request);
  if (Found == Suspects.ByFingerprint.end())
    return {};
  TimePoint First = TimePoint::max();
  TimePoint Latest{};
  for (const CrashPresence &Each : Found->second) {
    TimePoint At = Suspects.Crashes.at(Each.Crash).At;
    if (At + Suspects.Settings.Retention <= Now)
      continue;
    First = std::min(First, At);
    Latest = std::max(Latest, At);
  }
  int Distinct = 0;
  bool Followed = false; // by one on which the request started later
  bool FirstExcused = false;
  for (const CrashPresence &Each : Found->second) {
    const KnownCrash &Known = Suspects.Crashes.at(Each.Crash);
    if (Known.At + Suspects.Settings.Retention <= Now)
      continue;
    bool Later = Known.At > First &&
                 Each.StartedAt >= First - Suspects.Settings.TimeTolerance;
    Followed |= Later;
    if (!Known.DomainFault || Later)
      ++Distinct;
    else
      FirstExcused |= Known.At == First;
  }
  if (FirstExcused && Followed)
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
    auto [At, Id] = *Suspects.ByTime.begin();
    if (At + Suspects.Settings.Retention > Now)
      return;
    dropCrash(Suspects, Id);
  }
}

} // namespace samphirehill
