// Structured log on standard output: one line per decision, as key=value pairs.
// Logging never blocks. Lines are omitted when the reader is too slow or the
// limit per second is exceeded; their number is logged later in a line of its
// own. Failures (warnings and errors) have a higher limit.
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
  std::size_t LinesPerSecond = 400;
  std::size_t ExtraLinesForFailures = 200; // per second, beyond LinesPerSecond
  std::size_t PendingBytes = 65'536;       // not yet written
};

// Lines that are not yet written, within the limits. No I/O.
struct LogBuffer {
  LogLimits Limits;
  std::string Pending;
  TimePoint SecondStart{};
  std::size_t LinesThisSecond = 0;
  std::uint64_t Omitted = 0; // lines, since the last line that was added
};

// Adds Line, which ends with a newline, or counts it as omitted if a limit is
// reached. Failure says whether Line is a warning or an error.
void addLine(LogBuffer &Buffer, std::string_view Line, bool Failure,
             TimePoint Now);

// Makes this log the default logger of the process. It is written every 100 ms
// while the context of Timers runs.
void startDecisionLog(TimerService &Timers);

// Writes the pending lines, as far as the reader has room for them, and stops
// logging.
void stopDecisionLog();

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_DECISIONLOG_H
