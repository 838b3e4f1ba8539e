// The stand-in for a plain service: runs one booking per call of an action and
// records every execution, so that doubled and lost bookings can be found.
#ifndef SAMPHIREHILL_STANDIN_SERVICE_SERVICE_H
#define SAMPHIREHILL_STANDIN_SERVICE_SERVICE_H

#include "standin-common/Program.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace samphirehill::standin {

struct ServiceOptions {
  std::string Id;
  std::int64_t DelayMs = 5;     // of each action
  std::int64_t MaxRunning = 64; // above it: 503, not run
};

// Faults in force; POST /control/faults sets any of the fields.
struct ServiceFaults {
  std::int64_t LoseAnswers = 0;  // next actions: run, answer lost
  std::int64_t LoseRequests = 0; // next actions: not run, answer lost
  std::int64_t Fail = 0;         // next actions: run, answered 500
  std::int64_t Refuse = 0;       // next actions: not run, answered 503
  std::int64_t PauseMs = 0;      // answer nothing for this long
};

// Serves the plain service's interface; every method runs on Io, whose
// handlers must not run after it is destroyed.
class Service {
public:
  Service(asio::io_context &Io, ServiceOptions Options);

  void handle(const Request &From, const ResponderPtr &To);

private:
  struct Execution {
    std::string RequestId;
    std::string Key;
    std::string Path;
    std::string Body;
  };

  void dispatch(const Request &From, const ResponderPtr &To);
  void startAction(const Request &From, const ResponderPtr &To);
  void runAction(const Request &From, const ResponderPtr &To);
  void handleControl(const Request &From, const ResponderPtr &To);
  Json status() const;
  Json executions() const;

  asio::io_context &Io;
  ServiceOptions Options;
  ServiceFaults Faults;
  std::string Boot;
  TimePoint PausedUntil;
  std::vector<Execution> Executions;
  std::map<std::string, std::int64_t> ByRequestId;
  std::map<std::string, std::int64_t> ByKey;
  std::multiset<std::string> Running;
};

} // namespace samphirehill::standin

#endif // SAMPHIREHILL_STANDIN_SERVICE_SERVICE_H
