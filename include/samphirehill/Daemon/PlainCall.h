// Sends one call to a plain service. A repeatable call is retried; any other is
// sent to an upstream at most once, and tried elsewhere only if no byte of it
// was sent or the upstream says that it did not run it.
#ifndef SAMPHIREHILL_DAEMON_PLAINCALL_H
#define SAMPHIREHILL_DAEMON_PLAINCALL_H

#include "samphirehill/Daemon/ModelCall.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace samphirehill {

struct PlainRequest {
  RequestId Id;
  ServiceId Of;
  OrganisationId Organisation;
  Priority Class = Priority::Normal;
  std::string Method;
  std::string Path; // with query
  HttpHeaders Headers;
  std::string Body;
  TimePoint Deadline;
  bool Repeatable = true;
  Fingerprint Print = 0;
  bool Suspect = false;
  TimePoint NotBefore{};
};

// A refusal or error; its code tells whether the call may have run.
struct PlainFailure {
  Error Failure;
  Duration RetryAfter{};
};

using PlainResult = std::variant<HttpResponse, PlainFailure>;

class PlainCall : public std::enable_shared_from_this<PlainCall> {
public:
  // Starts the call; Done is called exactly once.
  static void run(CallParts Parts, PlainRequest Request,
                  std::function<void(PlainResult)> Done);

private:
  PlainCall(CallParts Parts, PlainRequest Request,
            std::function<void(PlainResult)> Done);
  void submit();
  void granted(DispatchResult Result);
  void send();
  void receive(const Outcome<HttpResponse> &Value);
  void lost(const Error &Cause);
  void retry(const Error &Cause);
  void giveBack(bool MayStillRun);
  void end(PlainResult Result);

  CallParts Parts;
  PlainRequest Request;
  std::function<void(PlainResult)> Done;
  RequestId Attempt;
  std::optional<Grant> Current;
  std::set<UpstreamId> Excluded;
  int Attempts = 0;
  bool MayHaveRun = false;
  TimerSubscription Backoff;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_PLAINCALL_H
