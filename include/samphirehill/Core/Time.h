// Time as types. Decisions receive a TimePoint; they never read a clock.
#ifndef SAMPHIREHILL_CORE_TIME_H
#define SAMPHIREHILL_CORE_TIME_H

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace samphirehill {

// A span of time with microsecond resolution.
using Duration = std::chrono::duration<std::int64_t, std::micro>;

// An instant of the process's monotonic clock. Instants of two processes can't
// be compared.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// An instant of the wall clock, comparable over processes up to clock offset.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

// Returns the whole milliseconds in Value, rounded towards zero.
constexpr std::int64_t toMilliseconds(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

// Returns Value in seconds, for rates and metrics.
constexpr double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

// Returns a span of Value milliseconds.
constexpr Duration milliseconds(std::int64_t Value) {
  return std::chrono::milliseconds(Value);
}

// Returns a span of Value seconds.
constexpr Duration seconds(std::int64_t Value) {
  return std::chrono::seconds(Value);
}

// Returns the wall-clock time of At as Unix milliseconds.
constexpr std::int64_t toWallMilliseconds(TimePoint At, TimePoint Now,
                                          WallTime WallNow) {
  return toMilliseconds(WallNow.time_since_epoch() - (Now - At));
}

// Returns the instant of this process's clock at a wall-clock time, given as
// Unix milliseconds; not in the future, and an instant of MaxAge if it is older
// than that.
constexpr TimePoint fromWallMilliseconds(std::int64_t Milliseconds,
                                         Duration MaxAge, TimePoint Now,
                                         WallTime WallNow) {
  std::int64_t WallMs = toMilliseconds(WallNow.time_since_epoch());
  std::int64_t Oldest = WallMs - toMilliseconds(MaxAge);
  return Now - milliseconds(WallMs - std::clamp(Milliseconds, Oldest, WallMs));
}

} // namespace samphirehill

#endif // SAMPHIREHILL_CORE_TIME_H
