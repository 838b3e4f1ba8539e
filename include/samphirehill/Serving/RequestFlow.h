// Carries callers' requests through the filters, the wait for an upstream, the
// attempts at upstreams and the answer.
#ifndef SAMPHIREHILL_SERVING_REQUESTFLOW_H
#define SAMPHIREHILL_SERVING_REQUESTFLOW_H

#include "samphirehill/Core/ResultCode.h"
#include "samphirehill/Net/TimerService.h"
#include "samphirehill/Serving/CallerServer.h"
#include "samphirehill/Serving/Configuration.h"
#include "samphirehill/Serving/CrashRecord.h"
#include "samphirehill/Serving/RequestWire.h"
#include "samphirehill/Serving/RetryShare.h"
#include "samphirehill/Serving/ServingMetrics.h"
#include "samphirehill/Serving/UpstreamBook.h"
#include "samphirehill/Serving/UpstreamExchange.h"
#include "samphirehill/Serving/WaitPolicy.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace samphirehill::serving {

struct FlowSettings {
  ZoneId Zone;
  WaitLimits Wait;
  // A group none of whose requests has moved for this long is taken for broken.
  // At full load a pass, with one prompt read in between, takes about 110 ms.
  Duration StallLimit = milliseconds(500);
  // How long a stalled group gets no work, unless it moves before.
  Duration StallAvoidance = seconds(2);
  // A request that alone has heard nothing for this long goes elsewhere.
  Duration RequestSilenceLimit = milliseconds(1'300);
  // An engine that can't be connected to gets no work for this long.
  Duration UnreachableAvoidance = milliseconds(700);
  // An engine that refuses work gets none for this long.
  Duration RefusingAvoidance = milliseconds(150);
  // Requests that a plain service may hold beyond its slots.
  int PlainServiceQueue = 8;
  // A kept connection that was idle longer is not used for a request that may
  // run only once: the engine might be closing it.
  Duration UnsafeMaxIdle = milliseconds(1'500);
};

// What flows share with the rest of the entry.
struct FlowShared {
  TimerService &Timers;
  ExchangePool &Pool;
  UpstreamBook &Book;
  RetryShare &Retries;
  CrashRecord &Crashes;
  ServingMetrics &Metrics;
  RequestWire Wire;
  // Called with what an upstream's instance says of itself.
  std::function<void(const InstanceLife &From, const AnswerFacts &Answer)>
      Heard;
};

class RequestFlow;

class RequestFlows {
public:
  RequestFlows(FlowShared Shared, FlowSettings Settings);
  ~RequestFlows();
  RequestFlows(const RequestFlows &) = delete;
  RequestFlows &operator=(const RequestFlows &) = delete;

  // Takes a caller's request.
  void accept(std::shared_ptr<CallerRequest> Request);

  // The configuration for requests from now on.
  void setConfiguration(std::shared_ptr<const Configuration> Config);

  // Gives waiting requests the places that there are now. Call it after the
  // upstreams or their load have changed.
  void dispatchWaiting();

  std::size_t activeCount() const { return Flows.size(); }

  // Returns what callers ask of this entry a second.
  std::map<PlaceKind, double> requestRates() const;

private:
  friend class RequestFlow;
  void sweep();
  // Refuses one request if too many wait for the places that Newest waits for.
  void refuseExcess(const RequestFlow &Newest);
  void finished(const std::shared_ptr<RequestFlow> &Flow);
  // Returns a random number, uniform in [0, 1).
  double draw();

  FlowShared Shared;
  FlowSettings Settings;
  std::shared_ptr<const Configuration> Config;
  std::unordered_set<std::shared_ptr<RequestFlow>> Flows;
  std::vector<std::shared_ptr<RequestFlow>> Waiting;
  // How often places are given out; only of those that had any.
  std::map<PlaceKind, EventRate> Places;
  std::map<PlaceKind, EventRate> Asked; // requests for places of engines
  std::map<PlaceKind, FirstEventTime> FirstEvents;
  std::map<std::string, LongestCallerTimeout> Patience; // by route
  TimerSubscription Sweep;
  std::minstd_rand Random;
  std::uint64_t NextNumber = 0;
  bool Dispatching = false;
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_REQUESTFLOW_H
