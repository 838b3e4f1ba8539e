// The filters that judge a request before it waits for an upstream, in their
// order. Each returns nothing to pass the request on, or the refusal. All of
// them refuse with `not run` codes only.
#ifndef SAMPHIREHILL_DAEMON_FILTERS_H
#define SAMPHIREHILL_DAEMON_FILTERS_H

#include "samphirehill/Daemon/RequestContext.h"
#include "samphirehill/Daemon/Runtime.h"

#include <optional>

namespace samphirehill {

struct Refusal {
  Error Failure;
  Duration RetryAfter{}; // zero: none
};

// Checks sizes and shape of the request; reads path, headers and body.
std::optional<Refusal> parseRequest(RequestContext &Request,
                                    const Settings &Config);

// Finds the organisation of the API key.
std::optional<Refusal> authenticate(RequestContext &Request,
                                    const Catalogue &Texts);

// Finds the service, the deadline and whether the call may be repeated.
std::optional<Refusal> resolve(RequestContext &Request, const Settings &Config);

// Refuses a request that crashed upstreams; marks a suspect.
std::optional<Refusal> checkCrashes(RequestContext &Request,
                                    const CrashSuspects &Suspects,
                                    TimePoint Now);

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_FILTERS_H
