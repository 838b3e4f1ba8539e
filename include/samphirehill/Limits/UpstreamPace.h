// Finds how many requests in progress an upstream may hold that has started,
// has failed or is slow, from how it answers. An upstream at full pace is not
// limited here. No I/O; callers pass the time.
//
// A limit holds over all entries. Each entry tells the others the limit that
// its own answers justify, while these are recent; the limit in force is the
// mean over the entries that do so. An entry that has sent nothing there
// follows the others.
//
// The limit grows as in TCP's slow start and congestion avoidance, and falls to
// a few probes after a failure (RFC 5681). It grows once in a round: by the
// answer to a request that was sent under the limit that the answer raises.
#ifndef SAMPHIREHILL_LIMITS_UPSTREAMPACE_H
#define SAMPHIREHILL_LIMITS_UPSTREAMPACE_H

#include "samphirehill/Core/Time.h"

#include <string_view>

namespace samphirehill {

enum class PaceState {
  Full,       // not limited
  Starting,   // has just appeared, or has just ceased to be cold
  Recovering, // has failed, stalled, refused or was unreachable
};

// Why an upstream is not at full pace.
enum class PaceCause {
  None,
  Started,
  Refused, // a request, although it had room by its own word
  Failed,  // to answer a request
  Stalled,
  Unreachable,
  Reported, // by other entries
};

struct PaceSettings {
  bool Enabled = true;
  // Requests in progress at an upstream that has failed, and at one that has
  // just started, which gets FirstShare of its slots at least.
  double ProbeLimit = 2;
  // While probes fail, the limit is halved down to this. Below one request, it
  // is the probability of a probe in a window of PacedRequest::ReportAge.
  double MinLimit = 0.5;
  double FirstShare = 0.25;
  // Factor by which an answer raises the limit.
  double Growth = 4;
  // An upstream that has given this many answers, one after the other, is at
  // full pace again, unless it refuses requests.
  int AnswersToTrust = 8;
  // Share of an upstream's slots below which a refusal says that it bears less
  // than it states; above it, other entries may have taken the slots since the
  // last reports.
  double RefusalShare = 0.25;
  // An upstream whose events take more than SlowFrom times as long as its load
  // lets expect gets slots in inverse proportion.
  double SlowFrom = 1.75;
  // An answer counts if its first event came within LateFactor times the
  // expected time, and LateSlack.
  double LateFactor = 2.0;
  Duration LateSlack = milliseconds(100);
  // An entry's own limit is told to the others for this long after an answer or
  // a failure.
  Duration EvidenceAge = milliseconds(600);
  // A request that must not run twice is sent to an upstream that is being
  // probed only if it has not failed for this long.
  Duration UnsafeDelay = seconds(1);

  bool operator==(const PaceSettings &) const = default;
};

// What one entry knows of an upstream from its own requests.
struct UpstreamPace {
  PaceState State = PaceState::Full;
  PaceCause Cause = PaceCause::None;
  // Requests in progress over all entries; without meaning at full pace.
  double Limit = 0;
  // Up to here the limit grows by Growth, from here by one for each answer.
  double Threshold = 0;
  int Answers = 0; // since the last failure
  TimePoint AnsweredAt{};
  TimePoint FailedAt{};
  TimePoint RaisedAt{}; // when Limit was last raised

  bool operator==(const UpstreamPace &) const = default;
};

// Limits that other entries tell: their sum and number.
struct ToldPace {
  double Slots = 0;
  int Entries = 0;

  bool operator==(const ToldPace &) const = default;
};

// An upstream as one entry sees it.
struct PacedUpstream {
  int Slots = 1;
  int Running = 0;       // requests of all entries
  double Slowness = 1.0; // ratio of the observed to the expected times
  UpstreamPace Own;
  ToldPace Told;
};

// Returns the pace of an upstream that has just appeared.
UpstreamPace startedPace(const PaceSettings &Settings, int Slots);

// Returns whether an answer whose first event took Observed came about as soon
// as Expected; Expected is zero if nothing is known of it.
bool isAsExpected(const PaceSettings &Settings, Duration Observed,
                  Duration Expected);

// Returns the pace after an answer that came about as soon as expected, to a
// request that was sent at SentAt.
UpstreamPace paceAfterAnswer(const PaceSettings &Settings,
                             const PacedUpstream &Upstream, TimePoint SentAt,
                             TimePoint Now);

// Returns the pace after the upstream has failed in the way of Cause.
UpstreamPace paceAfterFailure(const PaceSettings &Settings,
                              const PacedUpstream &Upstream, PaceCause Cause,
                              TimePoint Now);

// Returns the pace after reports of the other entries. Progressing means that
// the upstream answers other entries.
UpstreamPace paceAfterReports(const PaceSettings &Settings,
                              const PacedUpstream &Upstream, bool Progressing,
                              TimePoint Now);

// Returns the limit that this entry tells the others, at full pace the slots;
// Entries is 0 if it has no recent evidence.
ToldPace paceToTell(const PaceSettings &Settings, const PacedUpstream &Upstream,
                    TimePoint Now);

// Returns how many requests in progress, over all entries, the upstream may
// hold now: at most its slots.
double pacedSlots(const PaceSettings &Settings, const PacedUpstream &Upstream,
                  TimePoint Now);

// Returns whether the upstream may hold fewer requests than it has slots.
bool isLimited(const PaceSettings &Settings, const PacedUpstream &Upstream,
               TimePoint Now);

// Returns whether the upstream is given single requests to find out whether it
// works.
bool isProbed(const PaceSettings &Settings, const PacedUpstream &Upstream,
              TimePoint Now);

// A request that may go to an upstream with a limit.
struct PacedRequest {
  // This entry's share of the requests of this kind over all entries, 0 to 1.
  double Share = 1.0;
  // Requests that come to this entry in a window, on average.
  double Arrivals = 1e9;
  // Mean time that a request occupies its slot.
  Duration Holding = seconds(1);
  // Mean age of the other entries' reports; zero: there are no other entries.
  Duration ReportAge{};
  // Requests that this entry has sent there in the current window, of length
  // ReportAge.
  int SentInWindow = 0;
  // Number for this entry, upstream and window, uniform in [0, 1).
  double Draw = 0;
  bool Repeatable = true; // may run twice
};

// Returns whether this entry may send a request to the upstream now. While
// reports are out of date, each entry sends at most its share of the free room
// in a window. A share below one request is rounded up or down at random, with
// the same expectation, so the sum doesn't grow with the number of entries.
bool mayTakeAtPace(const PaceSettings &Settings, const PacedUpstream &Upstream,
                   const PacedRequest &Request, TimePoint Now);

// Returns the name in logs and metrics.
std::string_view toString(PaceState State);
std::string_view toString(PaceCause Cause);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_UPSTREAMPACE_H
