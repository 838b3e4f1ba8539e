// Records requests during which an upstream's connection ended without an
// answer. A request that crashes every upstream that runs it is thereby refused
// after a few upstreams, at whichever entry it arrives, since entries share
// these records.
#ifndef SAMPHIREHILL_SERVING_CRASHRECORD_H
#define SAMPHIREHILL_SERVING_CRASHRECORD_H

#include "samphirehill/Core/Time.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphirehill::serving {

// Returns a hash of the request's target, its caller's API key and its body.
std::uint64_t requestFingerprint(std::string_view Target, std::string_view Key,
                                 std::string_view Body);

// A break-off: a connection to an upstream that ended without an answer while
// the upstream ran a request.
struct BreakOff {
  std::uint64_t Request = 0;  // its fingerprint
  std::uint64_t Upstream = 0; // hash of the upstream's incarnation
  TimePoint SeenAt{};
  // The request was sent to the upstream after it was known to have broken off
  // at another one. Upstreams that are lost at the same moment for another
  // reason break off requests that are not.
  bool Resent = false;

  bool operator==(const BreakOff &) const = default;
};

// What is kept of a break-off.
struct SeenBreakOff {
  TimePoint At{};
  bool Resent = false;

  bool operator==(const SeenBreakOff &) const = default;
};

struct CrashRecord {
  // A request is refused after break-offs of this many distinct upstream
  // incarnations. The operators bound the upstreams lost after the third.
  int MaxBreakOffs = 3;
  Duration Retention = seconds(60);
  // Recorded at one time. Beyond that, the request with the fewest break-offs
  // makes room, among equals the one whose last break-off is the oldest.
  std::size_t MaxRequests = 4'096;
  std::uint64_t Dropped = 0; // requests that have made room so far
  // Refused requests in one report, those with the latest break-offs.
  std::size_t MaxReported = 64;
  // The first break-off, by request and upstream.
  std::unordered_map<std::uint64_t, std::map<std::uint64_t, SeenBreakOff>>
      BreakOffs;
  std::vector<BreakOff> Recent; // of this entry, to report to other entries
};

// Records a break-off that this entry observed.
void noteOwnBreakOff(CrashRecord &Record, const BreakOff &Observed);
// Records a break-off that another entry reported.
void noteBreakOff(CrashRecord &Record, const BreakOff &Observed);

// Returns whether Request, a fingerprint, may be sent to an upstream.
bool mayRun(const CrashRecord &Record, std::uint64_t Request, TimePoint Now);

// Returns whether Request is known to have broken off at an upstream.
bool hasBrokenOff(const CrashRecord &Record, std::uint64_t Request,
                  TimePoint Now);

// Returns the requests that are refused now and were sent again after a
// break-off, those with the latest break-offs first; at most MaxReported.
std::vector<std::uint64_t> resentAndRefused(const CrashRecord &Record,
                                            TimePoint Now);

// Returns the requests that are refused now, with their break-offs, as far as
// one report holds them.
std::vector<BreakOff> refusedBreakOffs(const CrashRecord &Record,
                                       TimePoint Now);

// Adds Report to Sum without repetitions.
void addBreakOffs(std::vector<BreakOff> &Sum,
                  const std::vector<BreakOff> &Report);

// Erases the requests all of whose break-offs are older than Retention, and the
// elements of Recent that are older than ReportTime.
void expire(CrashRecord &Record, Duration ReportTime, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_CRASHRECORD_H
