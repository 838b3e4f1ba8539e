// Time as types. Decisions receive a TimePoint; they never read a clock.
#ifndef SAMPHIREHILL_CORE_TIME_H
#define SAMPHIREHILL_CORE_TIME_H

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

} // namespace samphirehill

#endif // SAMPHIREHILL_CORE_TIME_H
