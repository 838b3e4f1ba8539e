#include "samphirehill/Daemon/RequestContext.h"

#include <algorithm>

namespace samphirehill {

HttpHeaders resultHeaders(const RequestContext &Request, ResultCode Code) {
  HttpHeaders Headers = {
      {"X-Request-Id", Request.Id.str()},
      {"Samphirehill-Result", std::to_string(static_cast<int>(Code))}};
  std::string_view Run = toString(runState(Code));
  if (!Run.empty())
    Headers.emplace_back("Samphirehill-Run", Run);
  return Headers;
}

void refuse(RequestContext &Request, const Error &Failure,
            Duration RetryAfter) {
  HttpHeaders Headers = resultHeaders(Request, Failure.Code);
  Headers.emplace_back("Content-Type", "application/json");
  if (RetryAfter > Duration::zero()) {
    // The header has whole seconds; rounding down would invite the caller back
    // too early.
    std::int64_t Seconds = (toMilliseconds(RetryAfter) + 999) / 1000;
    Headers.emplace_back("Retry-After",
                         std::to_string(std::max<std::int64_t>(1, Seconds)));
  }
  Request.Exchange->respond(httpStatus(Failure.Code), Headers,
                            errorBody(Failure));
}

} // namespace samphirehill
