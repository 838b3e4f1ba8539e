// One caller's request on its way through the filter chain. Each filter reads
// what earlier filters have filled in and fills in its own part.
#ifndef SAMPHIREHILL_DAEMON_REQUESTCONTEXT_H
#define SAMPHIREHILL_DAEMON_REQUESTCONTEXT_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Result.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Daemon/Catalogue.h"
#include "samphirehill/Daemon/CompletionApi.h"
#include "samphirehill/Limits/Admission.h"
#include "samphirehill/Limits/CrashSuspects.h"
#include "samphirehill/Net/HttpServer.h"

#include <memory>
#include <string>

namespace samphirehill {

enum class RequestKind { Models, Completion, Plain, IssueKey };

struct RequestContext {
  // Given.
  std::shared_ptr<HttpExchange> Exchange;
  RequestId Id;
  TimePoint Arrived;

  // ParseRequest.
  RequestKind Kind = RequestKind::Models;
  CompletionRequest Completion; // of kind Completion
  std::string ServiceName;      // of kind Plain
  std::string ServicePath;      // of kind Plain: "/..." with query
  std::string ApiKey;
  Duration AskedDeadline{}; // zero: none asked
  Priority Class = Priority::Normal;
  std::string IdempotencyKey;

  // Authenticate.
  Caller Who;

  // Resolve.
  const Service *Target = nullptr; // of kinds Completion and Plain
  TimePoint Deadline;
  bool NonRepeatable = false;

  // CheckCrashes.
  Fingerprint Print = 0;
  bool Suspect = false;
  TimePoint NotBefore{}; // a suspect's earliest attempt
};

// Answers with Failure and ends the request. RetryAfter of zero sends none.
void refuse(RequestContext &Request, const Error &Failure,
            Duration RetryAfter = Duration::zero());

// The headers that each answer carries: request id, result code and run state.
HttpHeaders resultHeaders(const RequestContext &Request, ResultCode Code);

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_REQUESTCONTEXT_H
