// Decides which waiting request goes next, and refuses at once those that can't
// finish in time. Each priority class has a fair queue by organisation: the
// organisations that wait share the dispatched tokens equally, whatever their
// number of requests.
//
// A higher class goes first, but a class that waits is never starved: at least
// 5% of dispatches go to low, and at least 20% to normal and low together.
//
// Use one queue per service, so that a service without free credits doesn't
// hold up the others.
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
  std::int64_t CostTokens = 1; // estimated prompt and output tokens, at least 1
  Duration EstimatedRun{};     // from dispatch to the end of the answer
  TimePoint Deadline{};
};

// A request that is not run.
struct AdmissionRefusal {
  RequestId Request;
  ResultCode Code = ResultCode::Overloaded;
  Duration RetryAfter{}; // whole seconds, at least 1
};

// For tests of the checks.
struct AdmissionFaults {
  bool FirstComeFirstServed = false; // no fairness between organisations
  bool StarveLow = false;
};

struct AdmissionSettings {
  std::size_t MaxQueued = 4096; // requests over all classes
  int NormalEvery = 5;          // at least each 5th dispatch is normal or low
  int LowEvery = 20;            // at least each 20th dispatch is low
  // Unused share that an organisation may save up. Without it, one that sends a
  // few requests at once takes turns with one that always waits: in simulation
  // at 90% load the p99 wait of the others then rose from 1.0 to 1.9 s. With
  // 4,096 the p99 wait at 95% load is twice as long when nobody is greedy.
  std::int64_t SavedTokens = 1024;
  Duration RateWindow = seconds(1);
  double RateWeight = 0.3; // of the newest window
  AdmissionFaults Faults;
};

struct OrganisationQueue {
  std::list<AdmissionRequest> Waiting;
  std::int64_t QueuedTokens = 0;
  std::int64_t Start = 0;  // virtual time at which the head may go
  std::int64_t Finish = 0; // virtual end of the last dispatch
};

struct ClassQueue {
  std::map<OrganisationId, OrganisationQueue> Organisations;
  // Organisations with waiting requests by virtual start, then by arrival.
  std::set<std::pair<std::int64_t, OrganisationId>> Order;
  std::int64_t VirtualTime = 0;
  std::int64_t QueuedTokens = 0;
  int Skipped = 0; // dispatches to higher classes while this one waited
};

struct AdmissionQueue {
  AdmissionSettings Settings;
  std::array<ClassQueue, PriorityCount> Classes;
  std::unordered_map<RequestId, std::pair<Priority, OrganisationId>> Places;
  std::set<std::pair<TimePoint, RequestId>> Deadlines; // latest useful starts
  double TokensPerSecond = 0;                          // 0: not yet known
  double WindowTokens = 0;
  TimePoint WindowStart{};
  bool WindowBacklogged = false;
};

// Queues a request, or refuses it: DeadlineTooShort if it could not finish even
// if it started now, Overloaded if the estimated wait is too long or the queue
// is full. A full queue makes room by refusing the newest request of the
// organisation with most queued tokens. The result lists every refusal,
// Request's own or another one's. Request ids must be unique.
std::vector<AdmissionRefusal>
admit(AdmissionQueue &Queue, const AdmissionRequest &Request, TimePoint Now);

// Removes and returns the request to dispatch next, if any waits. Call it when
// a credit is available. Skips nothing: refuse overdue ones first.
std::optional<AdmissionRequest> dispatchNext(AdmissionQueue &Queue);

// Removes the requests that can no longer finish in time.
std::vector<AdmissionRefusal> refuseOverdue(AdmissionQueue &Queue,
                                            TimePoint Now);

// Removes a request whose caller has gone. Returns false if it doesn't wait.
bool cancelWaiting(AdmissionQueue &Queue, const RequestId &Request);

// Counts tokens served, for the estimate of the wait. Use the units of
// CostTokens; count a request when it ends.
void recordServed(AdmissionQueue &Queue, std::int64_t Tokens, TimePoint Now);

// Returns the estimated wait of Request if it were queued now; zero while the
// rate of service is unknown.
Duration estimatedWait(const AdmissionQueue &Queue,
                       const AdmissionRequest &Request);

std::size_t queuedRequests(const AdmissionQueue &Queue);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_ADMISSION_H
