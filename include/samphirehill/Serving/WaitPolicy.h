// How long a request waits for an upstream and which waiting request goes
// first.
#ifndef SAMPHIREHILL_SERVING_WAITPOLICY_H
#define SAMPHIREHILL_SERVING_WAITPOLICY_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/UpstreamBook.h"

#include <cstdint>
#include <vector>

namespace samphirehill::serving {

struct WaitLimits {
  // Parts of the time a caller has left that a request may wait. While groups
  // of its model form, a place comes within seconds; while all are full, each
  // waiting request makes those behind it later.
  double AbsentPart = 0.35;
  double FullPart = 0.25;
  Duration LongestAbsent = seconds(3);
  Duration LongestFull = milliseconds(900);
  // Part of its objective by which a request must be sent to meet it; the rest
  // is the time to its first event at a loaded upstream.
  double StartPart = 0.6;
};

// Returns how long a request may wait for a place that Reason denies it.
Duration longestWait(const WaitLimits &Limits, NoPlace Reason,
                     Duration TimeLeft);

// Returns when a caller that is refused for Reason should come back: when a
// place is likely, and early enough to be served in TimeLeft.
Duration retryAfter(NoPlace Reason, Duration TimeLeft);

// A waiting request as the order of service sees it.
struct WaitingRequest {
  std::uint64_t Number = 0; // of arrival
  int Priority = 5;         // 0 is first
  TimePoint StartBy{};      // to be answered within its objective

  bool operator==(const WaitingRequest &) const = default;
};

// Returns the index of the request to serve next: by priority, and within one
// priority first those that can still meet their objective. While more comes
// than can be served, some are then answered in time; first come, first served
// would answer all of them late. Waiting must not be empty.
std::size_t nextToServe(const std::vector<WaitingRequest> &Waiting,
                        TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_WAITPOLICY_H
