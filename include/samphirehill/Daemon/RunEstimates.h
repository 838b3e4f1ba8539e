// Estimates how long a request of a service runs, from those that ended. Values
// only.
#ifndef SAMPHIREHILL_DAEMON_RUNESTIMATES_H
#define SAMPHIREHILL_DAEMON_RUNESTIMATES_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <cstdint>
#include <map>

namespace samphirehill {

// Moving averages of one service.
struct RunEstimate {
  double SecondsPerToken = 0; // 0: nothing has ended yet
  double Tokens = 0;          // that an answer has
};

using RunEstimates = std::map<ServiceId, RunEstimate>;

// Adds a call that ended whole after Run with Tokens tokens.
void recordRun(RunEstimates &Estimates, const ServiceId &Of, Duration Run,
               std::int64_t Tokens);

// Estimates the run of a call of at most MaxTokens tokens. Zero while nothing
// is known. It is the mean of similar calls, not a bound.
Duration estimateRun(const RunEstimates &Estimates, const ServiceId &Of,
                     std::int64_t MaxTokens);

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_RUNESTIMATES_H
