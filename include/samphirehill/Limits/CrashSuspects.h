// Finds requests that crash upstreams. All requests in progress on an upstream
// that crashes are suspects; one that was present in two distinct crashes is
// refused. Crashes of several upstreams of one fabric domain within 1 s are a
// domain fault and accuse no request.
//
// A suspect waits until its crash is older than the domain window before it is
// tried again. A crash that the suspect then causes can't be mistaken for part
// of a domain fault. An entry that hasn't heard of the crash may start the
// request earlier; a domain fault therefore doesn't excuse a request that
// started on the second upstream after the first had crashed.
#ifndef SAMPHIREHILL_LIMITS_CRASHSUSPECTS_H
#define SAMPHIREHILL_LIMITS_CRASHSUSPECTS_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphirehill {

// Identifies a request over resends: a hash of organisation and body.
using Fingerprint = std::uint64_t;

Fingerprint requestFingerprint(const OrganisationId &Organisation,
                               std::string_view Body);

// One crash, however many entries see it.
struct CrashId {
  UpstreamId Upstream;
  BootId Boot; // of the process that crashed

  auto operator<=>(const CrashId &) const = default;
};

// A request in progress, and for how long it had run at the crash.
struct InProgressRequest {
  Fingerprint Request = 0;
  Duration RunningFor{};
};

// Broadcast by each entry that sees a crash, also when it had no requests in
// progress there, since the domain rule needs every crash. Send it before
// answering the caller of any of these requests: a resend to another entry then
// arrives after it.
struct SuspectBroadcast {
  CrashId Crash;
  DomainId Domain; // empty: no domain rule
  Duration Age{};  // since the sender saw the crash
  std::vector<InProgressRequest> InProgress;
};

// Switches that each remove one rule, for tests of the checks.
struct CrashFaults {
  bool NeverRefuse = false;
  bool NoDomainRule = false;
};

struct CrashSettings {
  Duration DomainWindow = seconds(1);
  // Instants taken from broadcasts are late by the time on the network.
  Duration TimeTolerance = milliseconds(50);
  Duration Retention = std::chrono::minutes(10);
  // An ordinary day has 470 restarts and a zone about 55 upstreams.
  // The oldest crash is dropped when a bound is exceeded.
  std::size_t MaxCrashes = 1024;
  std::size_t MaxFingerprints = 65536;
  CrashFaults Faults;
};

struct KnownCrash {
  DomainId Domain;
  TimePoint At{};
  bool DomainFault = false;
  std::vector<Fingerprint> InProgress;
};

// A request's part in one crash.
struct CrashPresence {
  CrashId Crash;
  TimePoint StartedAt{}; // on the upstream that crashed
};

struct CrashSuspects {
  CrashSettings Settings;
  std::map<CrashId, KnownCrash> Crashes;
  std::multimap<TimePoint, CrashId> ByTime;
  std::unordered_map<Fingerprint, std::vector<CrashPresence>> ByFingerprint;
  std::size_t Stored = 0; // fingerprints over all crashes
};

// Records a crash that this entry saw, or a broadcast of another entry. The
// order and number of repetitions don't matter.
void recordCrash(CrashSuspects &Suspects, const SuspectBroadcast &Crash,
                 TimePoint Now);

enum class CrashVerdict { Clear, Suspect, Refuse };

struct CrashCheck {
  CrashVerdict Verdict = CrashVerdict::Clear;
  // Suspect: the earliest instant of a (re)try, alone, with a suspect credit.
  // Refuse: the end of the refusal, for Retry-After.
  TimePoint Until{};
};

// Judges a request before its first attempt and before each retry. Refuse is
// answered with CrashesUpstreams.
CrashCheck checkCrashes(const CrashSuspects &Suspects, Fingerprint Request,
                        TimePoint Now);

// Forgets crashes older than Memory. recordCrash does so too.
void expireCrashes(CrashSuspects &Suspects, TimePoint Now);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_CRASHSUSPECTS_H
