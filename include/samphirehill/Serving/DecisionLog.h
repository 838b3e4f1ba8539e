// Structured log on standard output: one line per decision, as key=value pairs.
// It never blocks: lines that a slow reader leaves no room for, and lines over
// the bound of a second, are left out and counted in a line of their own.
// Failures (warnings and errors) are kept before the rest.
#ifndef SAMPHIREHILL_SERVING_DECISIONLOG_H
#define SAMPHIREHILL_SERVING_DECISIONLOG_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Net/TimerService.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace samphirehill::serving {

struct LogLimits {
  std::size_t LinesPerSecond = 400; // of information
  std::size_t ExtraLinesForFailures = 200;
  std::size_t PendingBytes = 65'536; // not yet written
};

// The lines that wait to be written, and the bounds. No I/O.
struct LogBuffer {
  LogLimits Limits;
  std::string Pending;
  TimePoint SecondStart{};
  std::size_t LinesThisSecond = 0;
  std::uint64_t Omitted = 0;
};

// Adds Line, which ends with a newline, unless a bound forbids it.
void addLine(LogBuffer &Buffer, std::string_view Line, bool Failure,
             TimePoint Now);

// Makes it the process's log, written each 100 ms while Timers' context runs.
void startDecisionLog(TimerService &Timers);

// Writes what is left.
void stopDecisionLog();

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_DECISIONLOG_H
