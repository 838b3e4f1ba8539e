// Detects requests that crash upstreams. Every request in progress on an
// upstream when it crashes becomes a suspect; a request that was in progress in
// two distinct crashes is refused. If several upstreams of one fabric domain
// crash within 1 s, the cause is taken to be a fault of the domain, and these
// crashes make no request a suspect.
//
// A suspect is retried only once its crash is older than the domain window, so
// that a crash which it then causes isn't mistaken for part of a domain fault.
// An entry that hasn't received the report of the first crash may start the
// request earlier. A request that started on the second upstream after the
// first one had crashed is therefore counted in spite of a domain fault.
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

// Identifies a request across resends by its caller: a hash of organisation and
// body.
using Fingerprint = std::uint64_t;

Fingerprint requestFingerprint(const OrganisationId &Organisation,
                               std::string_view Body);

// Identifies a crash, also when several entries report it.
struct CrashId {
  UpstreamId Upstream;
  BootId Boot; // of the process that crashed

  auto operator<=>(const CrashId &) const = default;
};

// A request in progress on an upstream that crashed.
struct InProgressRequest {
  Fingerprint Request = 0;
  Duration RunningFor{}; // at the crash
};

// Broadcast by each entry that detects a crash, even if the entry had no
// requests in progress on the upstream: the domain rule needs every crash. Send
// the broadcast before answering the callers of these requests, so that a
// request which a caller resends to another entry arrives after the broadcast.
struct SuspectBroadcast {
  CrashId Crash;
  DomainId Domain; // empty: the domain rule doesn't apply
  Duration Age{};  // since the sender detected the crash
  std::vector<InProgressRequest> InProgress;
};

// Switches that each remove one rule. Only tests set them, to show that a check
// finds the violation that the rule prevents.
struct CrashFaults {
  bool NeverRefuse = false;
  bool NoDomainRule = false;
};

struct CrashSettings {
  // Crashes in one domain within this time of each other are a domain fault.
  Duration DomainWindow = seconds(1);
  // Times computed from a broadcast are late by its delay in the network.
  Duration TimeTolerance = milliseconds(50);
  Duration Retention = std::chrono::minutes(10); // how long crashes are kept
  // An ordinary day has 470 restarts, and a zone has about 55 upstreams. The
  // oldest crashes are dropped while a bound is exceeded.
  std::size_t MaxCrashes = 1024;
  std::size_t MaxFingerprints = 65536;
  CrashFaults Faults;
};

// A crash that this entry detected or received a broadcast about.
struct KnownCrash {
  DomainId Domain;
  TimePoint CrashedAt{}; // by this process's clock
  bool DomainFault = false;
  std::vector<Fingerprint> InProgress;
};

// One crash in which a request was in progress.
struct CrashPresence {
  CrashId Crash;
  TimePoint StartedAt{}; // on the upstream that crashed
};

// The crashes of the retention time and the requests in progress in them.
struct CrashSuspects {
  CrashSettings Settings;
  std::map<CrashId, KnownCrash> Crashes;
  std::multimap<TimePoint, CrashId> ByTime;
  std::unordered_map<Fingerprint, std::vector<CrashPresence>> ByFingerprint;
  std::size_t StoredFingerprints = 0; // over all crashes, with repetitions
};

// Records a crash that this entry detected, or a broadcast of another entry.
// Broadcasts may arrive repeatedly and in any order.
void recordCrash(CrashSuspects &Suspects, const SuspectBroadcast &Crash,
                 TimePoint Now);

enum class CrashVerdict { Clear, Suspect, Refuse };

// What may be done with a request.
struct CrashCheck {
  CrashVerdict Verdict = CrashVerdict::Clear;
  // Suspect: the earliest time of an attempt or retry. It needs a suspect
  // credit, so that no other suspect runs on the upstream. Refuse: the end of
  // the refusal, for Retry-After.
  TimePoint Until{};
};

// Evaluates a request before its first attempt and before each retry. The
// caller answers Refuse with CrashesUpstreams.
CrashCheck checkCrashes(const CrashSuspects &Suspects, Fingerprint Request,
                        TimePoint Now);

// Drops crashes older than Settings.Retention. recordCrash does so too.
void expireCrashes(CrashSuspects &Suspects, TimePoint Now);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_CRASHSUSPECTS_H
