// Appointments for callers that are refused: Retry-After tells each a time at
// which a place is expected to be free for it. The load it answers: after a
// burst all callers that were refused return at one time, and are refused
// again. The entries tell each other how many returns they gave out, as sums by
// spans of time. A caller returns on a new connection, at any entry. No I/O.
#ifndef SAMPHIREHILL_LIMITS_RETURNSCHEDULE_H
#define SAMPHIREHILL_LIMITS_RETURNSCHEDULE_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Limits/WaitForecast.h"

#include <cstdint>
#include <map>

namespace samphirehill {

// The length of the spans that returns are counted by.
constexpr Duration ReturnSpan = milliseconds(100);
// Returns are given out for no later than this.
constexpr Duration MaxReturnDelay = seconds(5);

// The callers of one kind of place that return, at one entry or as a sum over
// several.
struct ReturnLoad {
  double PerSecond = 0; // arrivals of callers that were refused before
  double Waiting = 0;   // late requests that wait
  // Returns that were given out, by the number of the span since the clock's
  // epoch.
  std::map<std::int64_t, double> Due;

  bool operator==(const ReturnLoad &) const = default;
};

// Adds Load to Sum.
ReturnLoad &operator+=(ReturnLoad &Sum, const ReturnLoad &Load);
// Subtracts Load from Sum; nothing falls below zero.
ReturnLoad &operator-=(ReturnLoad &Sum, const ReturnLoad &Load);

// Returns the number of the span that contains At.
std::int64_t returnSpanOf(TimePoint At);

// Counts a return that was given out for At.
void noteReturnGiven(ReturnLoad &Load, TimePoint At);

// Erases the spans that have passed.
void erasePastReturns(ReturnLoad &Load, TimePoint Now);

// Returns whether a return was given out for about Now.
bool hasReturnDue(const ReturnLoad &All, TimePoint Now);

// When a caller may return, from now. Earliest: if it returned sooner, it could
// not be told from one that asks for the first time. Latest: it would not wait
// for longer, or would have no time left for an answer.
struct ReturnWindow {
  Duration Earliest{};
  Duration Latest{};
};

// Returns the delay after which a refused caller should return: in the first
// spans that have room for those that are refused meanwhile, chosen by Draw
// (uniform in [0, 1)) in proportion to their room. If no span has room, the
// returns are spread over the later half of the window, where the load may have
// changed. All is the sum over all entries.
Duration chooseReturn(const PlaceFlow &Flow, const PlaceRules &Rules,
                      const ReturnLoad &All, const ReturnWindow &Window,
                      TimePoint Now, double Draw);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_RETURNSCHEDULE_H
