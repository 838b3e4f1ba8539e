// Lets requests wait for an upstream and a credit: one admission queue per
// service, fair between organisations. A request leaves the queue with an
// upstream and a credit, or with a refusal that says it was not run.
#ifndef SAMPHIREHILL_DAEMON_DISPATCHER_H
#define SAMPHIREHILL_DAEMON_DISPATCHER_H

#include "samphirehill/Daemon/CreditController.h"
#include "samphirehill/Daemon/Runtime.h"
#include "samphirehill/Daemon/UpstreamDirectory.h"
#include "samphirehill/Limits/Admission.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace samphirehill {

struct DispatchRequest {
  AdmissionRequest Admission; // with a Request id that is unique per attempt
  UpstreamQuery Query;
  bool Suspect = false;  // needs a suspect credit
  TimePoint NotBefore{}; // earliest dispatch
};

// The right to send one call to one upstream. Give it back with finish().
struct Grant {
  UpstreamId Upstream;
  std::string Address;
  ServiceId Of;
  std::string Version;
  Credit Held;
};

struct DispatchRefusal {
  Error Failure;
  Duration RetryAfter{};
};

using DispatchResult = std::variant<Grant, DispatchRefusal>;

class Dispatcher {
public:
  Dispatcher(Runtime &Shared, CreditController &Credits,
             UpstreamDirectory &Directory);

  // Queues Added; Done is called exactly once, possibly at once, unless the
  // request is cancelled.
  void submit(DispatchRequest Added, std::function<void(DispatchResult)> Done);

  // Removes a waiting request; its Done is not called.
  void cancel(const RequestId &Request);

  // Gives a grant back when its call can no longer run at the upstream. Tokens
  // is what the call served, in units of CostTokens.
  void finish(const Grant &Ended, std::int64_t Tokens);

  // Tries the waiting requests of all services: call it when upstreams change.
  void pumpAll();

  // Requests that wait, over all services.
  std::size_t waiting() const;

private:
  struct Waiting {
    DispatchRequest Asked;
    std::function<void(DispatchResult)> Done;
    std::vector<UpstreamId> Wanted; // asked for a credit
    TimePoint WantedSince{};
    TimePoint LastCandidate{}; // when an upstream last could take it
  };
  struct ServiceQueue {
    AdmissionQueue Queue;
    // Requests that left the queue in their turn but could not use an upstream
    // with credits at hand; they go first.
    std::vector<RequestId> Turn;
  };

  void pump(const ServiceId &Of);
  bool dispatchOne(const ServiceId &Of, ServiceQueue &Line);
  bool tryGrant(const RequestId &Request);
  std::optional<Credit> takeAny(const DispatchRequest &Asked,
                                const UpstreamQuery &Query);
  void syncCredits(const UpstreamId &Name);
  bool anyCredit(const ServiceId &Of) const;
  void refuse(const std::vector<AdmissionRefusal> &Refusals,
              const ServiceId &Of);
  void refuseOverdueTurns(ServiceQueue &Line);
  void ask(Waiting &Asking);
  void refuseHopeless(const RequestId &Request);
  void withdraw(Waiting &Asking);
  void changeWanted(const UpstreamId &Name, bool Suspect, int By);
  void end(const RequestId &Request, DispatchResult Result);
  void tick();

  Runtime &Shared;
  CreditController &Credits;
  UpstreamDirectory &Directory;
  std::map<ServiceId, ServiceQueue> Queues;
  std::map<RequestId, Waiting> ByRequest;
  std::map<UpstreamId, CreditCount> Wanted;
  TimerSubscription Tick;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_DISPATCHER_H
