// The load of an upstream, and the times that an engine is expected to take
// under a load. No I/O.
#ifndef SAMPHIREHILL_SERVING_UPSTREAMLOAD_H
#define SAMPHIREHILL_SERVING_UPSTREAMLOAD_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Limits/UpstreamPace.h"
#include "samphirehill/Serving/Configuration.h"

#include <cstdint>

namespace samphirehill::serving {

// Load of one upstream, caused by one entry or summed over several.
struct UpstreamLoad {
  int Running = 0; // requests
  // Prompt tokens of the running requests that have not sent their first event.
  // The engine processes prompts one after the other, so these tokens delay the
  // first event of every later request.
  std::int64_t PendingTokens = 0;
  // StalledBy counts the entries whose requests at the upstream have made no
  // progress for a while, MovingBy the entries that have just seen a request
  // make progress. The numbers are compared, as a single entry's request may
  // only be slow.
  int StalledBy = 0;
  int MovingBy = 0;
  // The limits that entries have found for the upstream, see
  // Limits/UpstreamPace, and the number of these entries.
  ToldPace Pace;

  bool operator==(const UpstreamLoad &) const = default;
};

// Adds Load to Sum.
UpstreamLoad &operator+=(UpstreamLoad &Sum, const UpstreamLoad &Load);
// Subtracts Load from Sum; no member falls below zero.
UpstreamLoad &operator-=(UpstreamLoad &Sum, const UpstreamLoad &Load);

// Return whether more of the entries that Load sums up report the upstream as
// stalled than as making progress, or the reverse. Both are false for a tie.
bool reportedStalled(const UpstreamLoad &Load);
bool reportedProgressing(const UpstreamLoad &Load);

// Returns the expected time to the first event of a request with PromptTokens
// at an upstream with Load. The engine processes prompts in the order of their
// arrival, one chunk in each pass, and each pass also advances all running
// requests. Pace is a factor on the engine's times.
Duration expectedFirstEvent(const UpstreamLoad &Load, std::int64_t PromptTokens,
                            const EngineShape &Engine, double Pace);

// Returns the expected time between two events of a request at an upstream with
// Load.
Duration expectedGap(const UpstreamLoad &Load, const EngineShape &Engine,
                     double Pace);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_UPSTREAMLOAD_H
