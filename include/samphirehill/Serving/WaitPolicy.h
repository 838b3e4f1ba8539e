// How long a request waits for an upstream, how many may wait, and which
// waiting request goes first.
#ifndef SAMPHIREHILL_SERVING_WAITPOLICY_H
#define SAMPHIREHILL_SERVING_WAITPOLICY_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/UpstreamBook.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace samphirehill::serving {

struct WaitLimits {
  // Parts of the time a caller has left that a request may wait. While groups
  // of its model form, a place comes within seconds; while all are full, each
  // waiting request makes those behind it later.
  double AbsentWaitFraction = 0.35;
  double FullWaitFraction = 0.25;
  Duration MaxAbsentWait = milliseconds(800);
  Duration MaxFullWait = milliseconds(900);
  // No more requests wait for places of one kind than are given out in this
  // time. While more come than can be served, the others would only wait to be
  // refused.
  Duration QueueTime = milliseconds(400);
  // Requests that may wait in any case: a place may free although none did
  // lately.
  std::size_t MinQueueLength = 2;
  // Part of its objective by which a request must be sent to meet it, where the
  // usual time to its first event leaves as much; and the least that it leaves
  // however slow the upstreams are.
  double StartFraction = 0.6;
  double MinStartFraction = 0.25;
};

// Returns how long a request may wait for a place that Reason denies it.
Duration maxWait(const WaitLimits &Limits, NoPlace Reason, Duration TimeLeft);

// Returns whether a request that began to wait at Since should wait no longer:
// it could meet its objective then, and can't any more. Its caller may come
// back when there is less to do. One that was late from the beginning has come
// back.
bool missedObjectiveWhileWaiting(NoPlace Reason, TimePoint Since,
                                 TimePoint StartBy, TimePoint Now);

// Returns when a caller that is refused for Reason should come back: when a
// place is likely, and early enough to be served in TimeLeft; where all
// upstreams are quiet, when the first pause ends, in QuietLeft.
Duration retryAfter(NoPlace Reason, Duration TimeLeft, Duration QuietLeft);

// How often something happens, as a mean that forgets.
struct EventRate {
  double PerSecond = 0; // at UpdatedAt
  TimePoint UpdatedAt{};
};

// Counts an event at Now.
void noteEvent(EventRate &Rate, TimePoint Now);

// Returns the events a second at Now.
double rateAt(const EventRate &Rate, TimePoint Now);

// Returns how many requests may wait for places that are given out at Rate.
std::size_t maxQueueLength(const WaitLimits &Limits, const EventRate &Rate,
                           TimePoint Now);

// The usual time from sending a request to its first event.
struct FirstEventTime {
  Duration Mean{};
  bool Known = false;
};

// Counts a first event that came Observed after its request was sent.
void noteFirstEvent(FirstEventTime &Usual, Duration Observed);

// Returns within what time of its arrival a request must be sent to meet
// Objective.
Duration maxStartDelay(const WaitLimits &Limits, const FirstEventTime &Usual,
                       Duration Objective);

// The longest time that callers of a route allow, as a maximum that forgets.
struct LongestCallerTimeout {
  Duration Longest{};
  TimePoint SeenAt{};
};

// Returns how long a caller that has TimeLeft has waited already: it has been
// refused before, and its objective counts from then. Zero where it has about
// as much time as the others.
Duration elapsedBeforeArrival(LongestCallerTimeout &Patience, Duration TimeLeft,
                              TimePoint Now);

// A waiting request as the order of service sees it.
struct WaitingRequest {
  std::uint64_t Number = 0; // of arrival
  int Priority = 5;         // 0 is first
  TimePoint StartBy{};      // to be answered within its objective
  bool Begun = false;       // an upstream has worked on it

  bool operator==(const WaitingRequest &) const = default;
};

// Returns the index of the request to serve next: by priority, and within one
// priority first those that can still meet their objective. While more comes
// than can be served, some are then answered in time; first come, first served
// would answer all of them late. Waiting must not be empty.
std::size_t nextToServe(const std::vector<WaitingRequest> &Waiting,
                        TimePoint Now);

// Returns the index of the request to refuse first where too many wait: the
// last in the order of service of those that have not begun. Returns nothing
// if all have.
std::optional<std::size_t>
firstToRefuse(const std::vector<WaitingRequest> &Waiting, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_WAITPOLICY_H
