// Events of the time line. Every process keeps a bounded ring of them; the
// operators' tool merges the rings of all processes in causal order.
#ifndef SAMPHIREHILL_CORE_EVENT_H
#define SAMPHIREHILL_CORE_EVENT_H

#include "samphirehill/Core/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace samphirehill {

// A hybrid logical clock stamp: never behind the wall clock of its process nor
// behind any stamp the process has received.
struct LogicalTime {
  std::int64_t Microseconds = 0; // wall clock, since the epoch
  std::uint32_t Counter = 0;     // orders stamps of one microsecond

  auto operator<=>(const LogicalTime &) const = default;
};

// Issues stamps. A stamp is greater than every one issued or received before.
class LogicalClock {
public:
  // Returns the stamp of a local event at Now.
  LogicalTime tick(WallTime Now);
  // Records that a message with stamp Remote was received at Now.
  LogicalTime receive(LogicalTime Remote, WallTime Now);

private:
  LogicalTime Last;
};

// One event: what was decided, why, on which version, for which request.
struct Event {
  LogicalTime Stamp;
  std::string Process; // entry id or tool name
  std::string Kind;    // for example "zone-out", "group-ready"
  std::string Subject; // what it happened to
  std::string Cause;   // why
  std::string Request; // request id, or empty

  auto operator<=>(const Event &) const = default;
};

// Keeps the latest events; the oldest are dropped.
class EventRing {
public:
  static constexpr std::size_t DefaultCapacity = 4096; // events

  explicit EventRing(std::size_t Capacity = DefaultCapacity)
      : Capacity(Capacity) {}

  void add(Event Value);
  // Returns the events from oldest to newest.
  std::vector<Event> events() const;
  // Returns how many events were dropped since the start.
  std::uint64_t dropped() const { return Dropped; }

private:
  std::size_t Capacity;
  std::size_t Next = 0;
  std::uint64_t Dropped = 0;
  std::vector<Event> Ring;
};

// Merges the rings of several processes in the order of their stamps; equal
// stamps are ordered by process.
std::vector<Event> mergeEvents(std::vector<std::vector<Event>> Rings);

} // namespace samphirehill

#endif // SAMPHIREHILL_CORE_EVENT_H
