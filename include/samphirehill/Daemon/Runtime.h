// What all parts of one process share: its settings, time, HTTP client, metrics
// and time line. All of it is used on the io_context's thread only.
#ifndef SAMPHIREHILL_DAEMON_RUNTIME_H
#define SAMPHIREHILL_DAEMON_RUNTIME_H

#include "samphirehill/Config/Settings.h"
#include "samphirehill/Core/Event.h"
#include "samphirehill/Core/Ids.h"
#include "samphirehill/Daemon/Metrics.h"
#include "samphirehill/Net/HttpClient.h"
#include "samphirehill/Net/TimerService.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <random>
#include <string>

namespace samphirehill {

struct Runtime {
  // Seed makes the process's random choices repeatable.
  Runtime(asio::io_context &Context, Settings Config, std::uint64_t Seed);

  // Adds an event to the time line and writes a log line: call it for changes
  // of state, not per request. Cause may be empty.
  void record(const std::string &Kind, const std::string &Subject,
              const std::string &Cause, const std::string &Request = "");

  // Returns a new id that begins with "<entry>.<incarnation>.", by which
  // engines' reports tell whose calls they run.
  RequestId nextRequestId();

  // A uniform number in [0, 1).
  double random();

  asio::io_context &Context;
  Settings Config;
  Incarnation Started; // of this process
  TimerService Timers;
  HttpClient Http;
  Metrics Counters;
  EventRing Events;
  LogicalClock Clock;
  std::mt19937_64 Generator;

private:
  std::uint64_t LastRequest = 0;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_RUNTIME_H
