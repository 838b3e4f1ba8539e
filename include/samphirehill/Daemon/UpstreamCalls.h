// Calls at upstreams that have been sent and may still run there although their
// answer is lost. Keeps their credits until the upstream is known not to run
// them.
#ifndef SAMPHIREHILL_DAEMON_UPSTREAMCALLS_H
#define SAMPHIREHILL_DAEMON_UPSTREAMCALLS_H

#include "samphirehill/Daemon/CrashController.h"
#include "samphirehill/Daemon/Dispatcher.h"
#include "samphirehill/Daemon/Runtime.h"
#include "samphirehill/Net/HttpClient.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace samphirehill {

// Returns a request for the status of the upstream at Address. The answer names
// no request, so that it gets a connection of its own: on a kept one, a copy of
// an earlier status would free the credits of calls that have started since.
HttpRequest statusRequest(const std::string &Address, Duration Timeout);

class UpstreamCalls {
public:
  UpstreamCalls(Runtime &Shared, Dispatcher &Dispatch,
                CreditController &Credits, CrashController &Crashes,
                UpstreamDirectory &Directory)
      : Shared(Shared), Dispatch(Dispatch), Credits(Credits), Crashes(Crashes),
        Directory(Directory) {}

  // Finds out whether the upstream of a call whose connection broke has
  // crashed, and reports a crash. Calls of one process share one check. Then is
  // called once, after the crash was recorded.
  void judgeBreak(const Grant &Broken, std::function<void(bool Crashed)> Then);

  // Takes over the grant of a call that was broken off: tells the engine to
  // cancel it and gives the credit back once the engine answers, reports
  // another boot id, reports the call as not running, or Deadline has passed,
  // by which an upstream ends every call.
  void abandon(const Grant &Broken, const RequestId &Attempt,
               TimePoint Deadline);

  // Calls whose credits are kept.
  std::size_t count() const { return Abandoned.size(); }

private:
  struct Call {
    Grant Broken;
    TimePoint Deadline;
    TimerSubscription Retry;
  };

  void judged(const CrashId &Where, const Grant &Broken, bool Crashed);
  void cancelAt(const RequestId &Attempt);
  void askStatus(const RequestId &Attempt);
  void release(const RequestId &Attempt);
  void retryLater(const RequestId &Attempt);

  Runtime &Shared;
  Dispatcher &Dispatch;
  CreditController &Credits;
  CrashController &Crashes;
  UpstreamDirectory &Directory;
  std::map<CrashId, std::vector<std::function<void(bool)>>> Judging;
  std::map<RequestId, Call> Abandoned;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_UPSTREAMCALLS_H
