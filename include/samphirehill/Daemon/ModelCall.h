// Carries one completion request to its end: waits for a grant, relays the
// engine's stream to the caller, and resumes it on another replica of the same
// version when it breaks. The caller gets the whole answer or an explicit
// error.
#ifndef SAMPHIREHILL_DAEMON_MODELCALL_H
#define SAMPHIREHILL_DAEMON_MODELCALL_H

#include "samphirehill/Daemon/CrashController.h"
#include "samphirehill/Daemon/Dispatcher.h"
#include "samphirehill/Daemon/EngineStream.h"
#include "samphirehill/Daemon/RequestContext.h"
#include "samphirehill/Daemon/RunEstimates.h"
#include "samphirehill/Daemon/UpstreamCalls.h"
#include "samphirehill/Limits/RetryBudget.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace samphirehill {

// The parts that calls use; all outlive every call.
struct CallParts {
  Runtime &Shared;
  Dispatcher &Dispatch;
  CreditController &Credits;
  CrashController &Crashes;
  UpstreamCalls &Calls;
  UpstreamDirectory &Directory;
  RetryBudgets &Retries;
  RunEstimates &Runs;
};

class ModelCall : public std::enable_shared_from_this<ModelCall> {
public:
  // Ended is called once when the request is over.
  ModelCall(CallParts Parts, RequestContext Request,
            std::function<void()> Ended);

  void start();

private:
  void submit();
  void granted(DispatchResult Result);
  void send();
  void receiveHeaders(const HttpResponse &Response);
  void receiveData(const std::string &Bytes);
  void receiveEnd(const Outcome<HttpResponse> &Value);
  void refusedByEngine(const HttpResponse &Response);
  void deliver(const std::vector<std::string> &Tokens);
  void startAnswer();
  void endOfStream();
  void complete();
  void lost(const Error &Cause);
  void retry(const Error &Cause);
  bool judgeCrashes();
  // Returns an error if a part of the prompt is blamed for crashes, unless this
  // request may be sent as a trial.
  std::optional<Error> blame();
  void giveBack(bool MayStillRun);
  void answerError(const Error &Failure, Duration RetryAfter = {});
  void callerGone();
  void deadlinePassed();
  void over();
  std::string requestBody() const;
  DispatchRequest dispatchRequest();

  CallParts Parts;
  RequestContext Request;
  std::function<void()> Ended;
  EngineStream Stream;
  RequestId Attempt;
  std::optional<Grant> Current;
  std::optional<CallId> Http;
  int Attempts = 0;
  bool Refused = false;    // the engine refused the current attempt
  std::string RefusalBody; // of that attempt
  bool MayHaveRun = false; // an attempt reached an engine's execution
  bool Started = false;    // headers went to the caller
  bool Finished = false;
  std::set<UpstreamId> Excluded;
  std::vector<PrefixHash> Prompt; // prefix hashes, for routing and blame
  bool Trial = false; // may be sent although a part of the prompt is blamed
  TimerSubscription Backoff;
  TimerSubscription DeadlineTimer;
  TimePoint SentAt{};
  TimePoint LastTokenAt{};
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_MODELCALL_H
