// Handles callers' requests from acceptance to the answer: checks a request
// against the configuration, queues it until an upstream has room, sends it to
// one or more upstreams and forwards the answer.
#ifndef SAMPHIREHILL_SERVING_REQUESTFLOW_H
#define SAMPHIREHILL_SERVING_REQUESTFLOW_H

#include "samphirehill/Core/ResultCode.h"
#include "samphirehill/Limits/PartSuspects.h"
#include "samphirehill/Net/TimerService.h"
#include "samphirehill/Serving/CallerServer.h"
#include "samphirehill/Serving/Configuration.h"
#include "samphirehill/Serving/CrashRecord.h"
#include "samphirehill/Serving/PlaceShares.h"
#include "samphirehill/Serving/RequestWire.h"
#include "samphirehill/Serving/RetryShare.h"
#include "samphirehill/Serving/ServingMetrics.h"
#include "samphirehill/Serving/UpstreamBook.h"
#include "samphirehill/Serving/UpstreamExchange.h"
#include "samphirehill/Serving/WaitPolicy.h"
#include "samphirehill/Serving/WorkCount.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace samphirehill::serving {

struct FlowSettings {
  ZoneId Zone; // of this entry
  // For how long after the start of the process requests may wait for the first
  // configuration. It arrives within a few round trips, or the platform is
  // away.
  Duration MaxConfigurationWait = milliseconds(600);
  WaitLimits Wait;
  ShareSettings Shares;
  // A group is considered stalled when none of its requests has made progress
  // for this long. At full load one engine pass, with one chunk of a prompt
  // read in between, takes about 110 ms.
  Duration StallLimit = milliseconds(500);
  // How long a stalled group gets no new requests, unless it makes progress
  // earlier.
  Duration StallAvoidance = seconds(2);
  // A request that has received nothing for this long is moved to another
  // upstream, even if other requests at its upstream make progress.
  Duration RequestSilenceLimit = milliseconds(1'300);
  // How long an upstream gets no new requests after a failed connect.
  Duration UnreachableAvoidance = milliseconds(700);
  // How long an upstream gets no new requests after it refused one.
  Duration RefusingAvoidance = milliseconds(150);
  // Requests that an instance of a plain service (one without an engine) may
  // hold beyond its slots.
  int PlainServiceQueue = 8;
  // A pooled connection that was idle for longer is not used for a request that
  // must not run twice: the engine might be closing the connection, and then
  // it would be unknown whether the request ran.
  Duration UnsafeMaxIdle = milliseconds(1'500);
};

// Components of the entry that all request flows use.
struct FlowShared {
  TimerService &Timers;
  ExchangePool &Pool;
  UpstreamBook &Book;
  RetryShare &Retries;
  CrashRecord &Crashes;
  PartSuspects &Suspects;
  ServingMetrics &Metrics;
  RequestWire Wire;
  // Called for the head of each upstream answer to the request that was sent,
  // with what the answer states about the upstream's instance (for example that
  // it is leaving).
  std::function<void(const InstanceLife &From, const AnswerFacts &Answer)>
      OnAnswer;
  // Called when Suspects holds news that the other entries need at once: a
  // crash, or that a part which was suspected is sound.
  std::function<void()> OnSuspectNews;
  // Called when a request has broken off, with its fingerprint.
  std::function<void(std::uint64_t Request)> OnBreakOff;
};

class RequestFlow;
using RequestQueue = std::vector<std::shared_ptr<RequestFlow>>;

// All requests of this entry that are in progress. Used from one thread.
class RequestFlows {
public:
  RequestFlows(FlowShared Shared, FlowSettings Settings);
  ~RequestFlows();
  RequestFlows(const RequestFlows &) = delete;
  RequestFlows &operator=(const RequestFlows &) = delete;

  // Starts to handle a caller's request: sends, queues or refuses it.
  void accept(std::shared_ptr<CallerRequest> Request);

  // Sets the configuration for requests accepted from now on. Requests in
  // progress keep the one that they began with.
  void setConfiguration(std::shared_ptr<const Configuration> Config);

  // From now on accepts only requests that will have been answered at EndsAt,
  // when the process ends.
  void beginStop(TimePoint EndsAt) { StopsAt = EndsAt; }

  // Ends all requests in progress with an answer that says whether they may
  // have run.
  void endAll();

  // Sends waiting requests to upstreams that have room now. Call this after the
  // upstreams or their load have changed.
  void dispatchWaiting();

  // Returns the number of requests in progress, waiting ones included.
  std::size_t activeCount() const { return Flows.size(); }

  // Returns the rate of callers' requests at this entry, in requests per
  // second, by kind of place.
  std::map<ServiceModel, double> requestRates() const {
    return ratesAt(ArrivalRates, Shared.Timers.now());
  }
  const WorkRates &workRates() const { return Work; }

  // The claims of organisations on places, at this entry and at the others.
  PlaceShares &shares() { return Shares; }

private:
  friend class RequestFlow;
  void sweep();
  // Begins to handle a request under the configuration in force.
  void begin(const std::shared_ptr<RequestFlow> &Flow);
  // Refuses one request if too many wait for the places that Newest waits for.
  void refuseExcess(const RequestFlow &Newest);
  // Removes a request that has ended.
  void remove(const std::shared_ptr<RequestFlow> &Flow);
  // Returns a random number, uniform in [0, 1).
  double randomFraction();
  // Finds out whether Life of Engine, to which the connection of a request
  // broke off, has crashed. Prompt holds the request's shared parts if it may
  // be the cause, else nothing.
  void checkCrash(const Upstream &Engine, const InstanceLife &Life,
                  std::vector<PromptPart> Prompt);
  void noteEngineCrash(const InstanceLife &Life, const EngineCrash &Crash);

  FlowShared Shared;
  FlowSettings Settings;
  std::shared_ptr<const Configuration> Config;
  std::unordered_set<std::shared_ptr<RequestFlow>> Flows;
  RequestQueue Waiting;
  // Requests that arrived before the first configuration.
  RequestQueue Unconfigured;
  // Rate at which requests are sent; only for kinds that had a request sent.
  std::map<ServiceModel, EventRate> SendRates;
  std::map<ServiceModel, EventRate> ArrivalRates;
  WorkRates Work;
  PlaceShares Shares;
  std::map<ServiceModel, FirstEventTime> FirstEventTimes;
  std::map<std::string, LongestCallerTimeout> LongestTimeouts; // by route
  std::map<std::string, LongestAnswerTime> AnswerTimes;        // by route
  TimePoint StartedAt;
  std::optional<TimePoint> StopsAt; // set during a planned stop
  // Engines whose crash is being checked. Shared with the callbacks, which may
  // outlive this object.
  using CrashChecks = std::map<InstanceLife, EngineCrash>;
  std::shared_ptr<CrashChecks> Checks = std::make_shared<CrashChecks>();
  TimerSubscription Sweep;
  std::minstd_rand Random;
  std::uint64_t NextNumber = 0;
  bool Dispatching = false;
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_REQUESTFLOW_H
