// The stand-in platform: objects with versions, the instance list and the
// weight store of docs/interfaces.md, in memory, with faults on demand.
#ifndef SAMPHIREHILL_STANDIN_PLATFORM_PLATFORM_H
#define SAMPHIREHILL_STANDIN_PLATFORM_PLATFORM_H

#include "standin-common/Program.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <utility>

namespace samphirehill::standin {

struct PlatformOptions {
  std::int64_t WeightBytes = 140'000'000'000; // of every model
  std::int64_t WeightLoadMs = 500;            // of every model
  double WeightsPerMinute = 0;                // 0: no limit
};

// Faults in force; POST /control/faults sets any of the fields.
struct PlatformFaults {
  bool Outage = false;           // answer 503 to everything
  bool Unreachable = false;      // close every connection without an answer
  std::int64_t SlowMs = 0;       // delay before each call
  std::int64_t LoseAnswers = 0;  // next writes: take effect, answer lost
  std::int64_t LoseRequests = 0; // next writes: no effect, answer lost
  std::int64_t DelayWrites = 0;  // next writes: answer lost, effect later
  std::int64_t DelayWritesMs = 1000;
  std::int64_t InstanceLagMs = 0; // changes of the instance list show later
  double ReadsPerSecond = 0;      // 0: no limit
  double WritesPerSecond = 0;
  double WeightsPerMinute = 0;
};

// Serves the platform's interface; every method runs on Io, whose
// handlers must not run after it is destroyed.
class Platform {
public:
  Platform(asio::io_context &Io, const PlatformOptions &Options);

  void handle(const Request &From, const ResponderPtr &To);

private:
  // The latest state of an item and of its deletion, ordered by revision.
  struct Item {
    std::int64_t Revision = 0;
    std::int64_t Version = 0;
    bool Deleted = false;
    Json Fields;
  };
  using Table = std::map<std::string, Item>;
  struct Watch {
    std::string Kind;
    std::int64_t After = 0;
    ResponderPtr To;
  };
  struct Answer {
    int Status = 200;
    Json Body;
  };

  void dispatch(const Request &From, const ResponderPtr &To);
  void handleObjects(const Request &From, const ResponderPtr &To);
  void handleWrite(const Request &From, const ResponderPtr &To);
  Answer write(const Request &From);
  Answer remove(const Request &From);
  void list(const std::string &Kind, const Request &From,
            const ResponderPtr &To);
  Json changes(const std::string &Kind, std::int64_t After) const;
  void change(const std::string &Kind, const std::string &Name, Item Value);
  void handleWeights(const Request &From, const ResponderPtr &To);
  void handleControl(const Request &From, const ResponderPtr &To);
  void setFaults(const Json &Body);
  void setInstance(const Json &Body);
  bool limited(const std::string &Call, const ResponderPtr &To);

  asio::io_context &Io;
  PlatformOptions Options;
  PlatformFaults Faults;
  RateLimit Reads, Writes, Weights;
  std::int64_t Revision = 0;
  std::map<std::string, Table> Kinds; // "" holds the instance list
  std::map<std::string, std::int64_t> KindRevisions;
  std::list<Watch> Watches;
  std::map<std::string, std::int64_t> Calls;
  std::map<std::string, std::int64_t> Refused;
};

} // namespace samphirehill::standin

#endif // SAMPHIREHILL_STANDIN_PLATFORM_PLATFORM_H
