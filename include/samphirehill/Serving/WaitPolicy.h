// Queueing policy for requests that no upstream can take yet: how long a
// request may wait, how many may wait, and which waiting request is served or
// refused first. No I/O; time comes from the caller.
#ifndef SAMPHIREHILL_SERVING_WAITPOLICY_H
#define SAMPHIREHILL_SERVING_WAITPOLICY_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/Placement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace samphirehill::serving {

struct WaitLimits {
  // Fractions of the caller's remaining time that a request may wait: while no
  // upstream for it exists (absent), and while all upstreams are full. While a
  // group of its model forms, a place becomes free within seconds; while all
  // are full, each waiting request delays those behind it.
  double AbsentWaitFraction = 0.35;
  double FullWaitFraction = 0.25;
  Duration MaxAbsentWait = milliseconds(800);
  Duration MaxFullWait = milliseconds(900);
  // Bounds the queue for places of one kind to the number of requests that are
  // sent in this time. While more requests arrive than can be served, any
  // request beyond that number would only wait to be refused.
  Duration QueueTime = milliseconds(400);
  // Requests that may always wait: a place may become free although none has
  // recently.
  std::size_t MinQueueLength = 2;
  // A request must be sent within its objective less the mean time to the first
  // event. These fractions of the objective bound that time: StartFraction from
  // above, and MinStartFraction from below, however slow the upstreams are.
  double StartFraction = 0.6;
  double MinStartFraction = 0.25;
};

// Returns how long a request may wait. Reason says why no upstream can take
// it; TimeLeft is the caller's remaining time when the wait began.
Duration maxWait(const WaitLimits &Limits, PlacementFailure Reason,
                 Duration TimeLeft);

// Returns whether a request that began to wait at Since could still have met
// its objective then and no longer can at Now, because all upstreams are full
// or limited. Such a request should be refused, so that its caller can retry
// when the load is lower. A request that was late when it began to wait is such
// a retry, and goes on waiting.
bool missedObjectiveWhileWaiting(PlacementFailure Reason, TimePoint Since,
                                 TimePoint StartBy, TimePoint Now);

// Returns by how much a caller that is refused should return later than a place
// becomes free for it, so that callers that are refused together don't return
// at the same moment. Draw is a random number, uniform in [0, 1).
Duration spreadReturn(double Draw);

// Returns how long a request may wait whose turn is known. ToStartBy is the
// time until it must be sent to meet its objective. If that has passed, it may
// wait as long as others with TimeLeft until their deadline.
Duration longestWaitForTurn(const WaitLimits &Limits, Duration ToStartBy,
                            Duration TimeLeft);

// Returns the delay after which a caller that is refused for Reason should
// retry: when a place is likely to be free, but early enough to be served
// within TimeLeft. If all upstreams have asked for a pause, can't be reached or
// are limited, the time is known: Left. See Placement::RetryAt.
Duration retryAfter(PlacementFailure Reason, Duration TimeLeft, Duration Left);

// Rate of events, as an exponentially decaying average.
struct EventRate {
  double PerSecond = 0; // as of UpdatedAt
  TimePoint UpdatedAt{};
};

// Counts an event at Now.
void noteEvent(EventRate &Rate, TimePoint Now);

// Returns the events per second, decayed to Now.
double rateAt(const EventRate &Rate, TimePoint Now);

// Returns this entry's share of the rate of callers' requests at all entries
// for places of Kind, 0 to 1. Returns 1 if either rate is unknown. Elsewhere is
// in requests per second.
double demandShare(const std::map<ServiceModel, EventRate> &Here,
                   const std::map<ServiceModel, double> &Elsewhere,
                   const ServiceModel &Kind, TimePoint Now);

// Returns how many requests may wait for places of one kind, when requests are
// sent to such places at Rate.
std::size_t maxQueueLength(const WaitLimits &Limits, const EventRate &Rate,
                           TimePoint Now);

// Moving average of the time from sending a request to its first event.
struct FirstEventTime {
  Duration Mean{};
  bool Known = false; // whether any first event has been counted
};

// Counts a first event that came Observed after its request was sent.
void noteFirstEvent(FirstEventTime &Average, Duration Observed);

// Returns within what time of its arrival a request must be sent to an upstream
// to meet Objective, the bound on the time to its first event.
Duration maxStartDelay(const WaitLimits &Limits, const FirstEventTime &Average,
                       Duration Objective);

// The longest time to the deadline that callers of a route have recently
// allowed. An older maximum expires.
struct LongestCallerTimeout {
  Duration Value{};
  TimePoint SeenAt{};
};

// Returns how long ago a caller that has TimeLeft first sent its request. A
// caller with less time than Longest has been refused before, and its objective
// counts from its first attempt. Returns zero if TimeLeft is about as long as
// Longest. Updates Longest.
Duration elapsedBeforeArrival(LongestCallerTimeout &Longest, Duration TimeLeft,
                              TimePoint Now);

// The longest time that requests of a route have recently taken. Declines
// towards shorter times.
struct LongestAnswerTime {
  Duration Value{};
  bool Known = false; // whether any answer has been counted
};

// Counts an answer that was complete Observed after its request had arrived.
void noteAnswerTime(LongestAnswerTime &Longest, Duration Observed);

// Returns whether a request that arrives during a planned stop will have been
// answered when the process ends after Left. A request that must not run twice
// counts with all the time that its caller Allowed, any other with the longest
// time that such requests take.
bool endsBeforeStop(bool Repeatable, Duration Allowed,
                    const LongestAnswerTime &Longest, Duration Left);

// What decides the order in which waiting requests are served.
struct WaitingRequest {
  std::uint64_t Number = 0; // in order of arrival
  int Priority = 5;         // 0 is served first, 9 last
  TimePoint StartBy{};      // when it must be sent to meet its objective
  bool Begun = false;       // an upstream has worked on it, or may have
  // Its organisation or rank has its share of the places; see FairShare.h.
  bool BeyondShare = false;

  bool operator==(const WaitingRequest &) const = default;
};

// Returns the index of the request to serve next: those within a share of the
// places first, then by priority, and within one priority first those that can
// still meet their objective. Under overload some requests are then answered in
// time; first come, first served would answer all of them late. Waiting must
// not be empty.
std::size_t nextToServe(const std::vector<WaitingRequest> &Waiting,
                        TimePoint Now);

// Returns the index of the request to refuse first when too many wait: the one
// that would be served last among those that have not begun. Returns nothing if
// all have begun.
std::optional<std::size_t>
firstToRefuse(const std::vector<WaitingRequest> &Waiting, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_WAITPOLICY_H
