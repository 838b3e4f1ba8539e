// Admission queue: decides which waiting request is dispatched next and refuses
// requests that can't finish before their deadline as soon as that is known.
// Each priority class is a fair queue over organisations: the organisations
// with waiting requests share the dispatched tokens equally, however many
// requests each of them has.
//
// A higher class is dispatched first, but no class with waiting requests
// starves: at least 5% of dispatches are of the low class, and at least 20% of
// the normal and low classes together.
//
// Use one queue per service, so that a service without free credits doesn't
// delay the requests of other services.
#ifndef SAMPHIREHILL_LIMITS_ADMISSION_H
#define SAMPHIREHILL_LIMITS_ADMISSION_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/ResultCode.h"
#include "samphirehill/Core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace samphirehill {

enum class Priority { High, Normal, Low };
constexpr std::size_t PriorityCount = 3;

struct AdmissionRequest {
  RequestId Request;
  OrganisationId Organisation;
  Priority Class = Priority::Normal;
  std::int64_t CostTokens = 1; // estimated prompt plus output, at least 1
  Duration EstimatedRun{};     // from dispatch to the end of the answer
  TimePoint Deadline{};
};

// A request that is refused and won't be dispatched.
struct AdmissionRefusal {
  RequestId Request;
  ResultCode Code = ResultCode::Overloaded;
  Duration RetryAfter{}; // whole seconds, at least 1
};

// Switches that each remove one rule. Only tests set them, to show that a check
// finds the violation that the rule prevents.
struct AdmissionFaults {
  bool FirstComeFirstServed = false; // no fairness between organisations
  bool StarveLow = false;            // no minimum share for the low class
};

struct AdmissionSettings {
  std::size_t MaxQueued = 4096; // requests over all classes
  int NormalEvery = 5;          // at least every 5th dispatch is normal or low
  int LowEvery = 20;            // at least every 20th dispatch is low
  // Unused share, in tokens, that an organisation may save up. With none, an
  // organisation that sends a few requests at once alternates with one that
  // always has requests waiting: in simulation at 90% load the p99 wait of the
  // organisations that stay within their share then rose from 1.0 to 1.9 s.
  // With 4,096 the p99 wait at 95% load doubles even if no organisation exceeds
  // its share.
  std::int64_t SavedTokens = 1024;
  // The rate of service is measured per window and averaged over windows.
  Duration RateWindow = seconds(1);
  double RateWeight = 0.3; // of the newest window in the moving average
  AdmissionFaults Faults;
};

// Waiting requests of one organisation in one class. Virtual times are in
// tokens.
struct OrganisationQueue {
  std::list<AdmissionRequest> Waiting;
  std::int64_t QueuedTokens = 0;
  std::int64_t Start = 0;  // virtual start of the first waiting request
  std::int64_t Finish = 0; // virtual end of the last dispatched request
};

// The fair queue of one priority class.
struct ClassQueue {
  std::map<OrganisationId, OrganisationQueue> Organisations;
  // Organisations with waiting requests, by virtual start and then by id.
  std::set<std::pair<std::int64_t, OrganisationId>> Order;
  std::int64_t VirtualTime = 0;
  std::int64_t QueuedTokens = 0;
  // Dispatches of other classes since the last one of this class, while
  // requests of this class waited.
  int Skipped = 0;
};

struct AdmissionQueue {
  AdmissionSettings Settings;
  std::array<ClassQueue, PriorityCount> Classes;
  // Class and organisation under which each request waits.
  std::unordered_map<RequestId, std::pair<Priority, OrganisationId>> Locations;
  // The latest start with which each waiting request meets its deadline.
  std::set<std::pair<TimePoint, RequestId>> LatestStarts;
  double TokensPerSecond = 0; // average rate of service; 0: not yet known
  // The current measuring window of the rate.
  double WindowTokens = 0;
  TimePoint WindowStart{};
  bool WindowBacklogged = false; // requests waited at each count
};

// Queues a request, or refuses it: DeadlineTooShort if it could not finish in
// time even if it started now, Overloaded if the estimated wait is too long or
// the queue is full. If the queue is full, the newest request of the
// organisation with most queued tokens is refused in place of Request. The
// result holds each refused request: Request, another one, or none. Request ids
// must be unique.
std::vector<AdmissionRefusal>
admit(AdmissionQueue &Queue, const AdmissionRequest &Request, TimePoint Now);

// Removes and returns the request to dispatch next, or nothing if none waits.
// Call it when a credit is available. It doesn't check deadlines: call
// refuseOverdue first.
std::optional<AdmissionRequest> dispatchNext(AdmissionQueue &Queue);

// Removes and returns the requests that can no longer finish before their
// deadline.
std::vector<AdmissionRefusal> refuseOverdue(AdmissionQueue &Queue,
                                            TimePoint Now);

// Removes a request whose caller has disconnected. Returns false if no such
// request waits.
bool cancelWaiting(AdmissionQueue &Queue, const RequestId &Request);

// Counts Tokens as served, for the estimate of the wait. Call it when a request
// ends, with its tokens counted as in CostTokens.
void recordServed(AdmissionQueue &Queue, std::int64_t Tokens, TimePoint Now);

// Returns the estimated wait in the queue if Request were queued now; zero
// while the rate of service is unknown.
Duration estimatedWait(const AdmissionQueue &Queue,
                       const AdmissionRequest &Request);

std::size_t queuedRequests(const AdmissionQueue &Queue);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_ADMISSION_H
