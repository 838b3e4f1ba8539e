// The way of a caller's request through the filters to its upstream.
#ifndef SAMPHIREHILL_DAEMON_REQUESTPATH_H
#define SAMPHIREHILL_DAEMON_REQUESTPATH_H

#include "samphirehill/Daemon/Filters.h"
#include "samphirehill/Daemon/ModelCall.h"
#include "samphirehill/Daemon/PlainCall.h"

#include <functional>
#include <map>
#include <memory>

namespace samphirehill {

// What the request path asks of the rest of the process.
struct RequestPathHooks {
  // Returns a refusal while no request is admitted: before the configuration is
  // known, at shutdown and during the close.
  std::function<std::optional<Refusal>()> Admission;
  // Carries out a call that must not be repeated and answers its caller.
  std::function<void(RequestContext, std::function<void()> Ended)> Keyed;
  // Issues an idempotency key and answers its caller.
  std::function<void(RequestContext &)> IssueKey;
};

class RequestPath {
public:
  RequestPath(CallParts Parts, const Catalogue &Texts, RequestPathHooks Hooks);

  // Takes a request; its exchange is answered sooner or later, exactly once.
  void take(std::shared_ptr<HttpExchange> Exchange);

  // Requests that are not answered yet.
  std::size_t inProgress() const { return InProgress; }

private:
  std::optional<Refusal> filter(RequestContext &Request);
  static Refusal refuseUnread(const RequestContext &Request, Refusal Refused);
  void serve(RequestContext Request);
  void serveModels(RequestContext &Request);
  void servePlain(RequestContext Request);
  void ended();

  CallParts Parts;
  const Catalogue &Texts;
  RequestPathHooks Hooks;
  std::size_t InProgress = 0;
  std::map<RequestId, std::shared_ptr<ModelCall>> ModelCalls;
};

// The request of a plain call, from a request that passed the filters.
PlainRequest plainRequest(const RequestContext &Request);

// Answers with what a plain service answered.
void answerPlain(RequestContext &Request, PlainResult Result);

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_REQUESTPATH_H
