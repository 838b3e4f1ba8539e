#include "samphirehill/Daemon/Filters.h"

namespace samphirehill {

std::optional<Refusal> checkCrashes(RequestContext &Request,
                                    const CrashSuspects &Suspects,
                                    TimePoint Now) {
  Request.Print =
      requestFingerprint(Request.Who.Who->Name, Request.Exchange->body());
  CrashCheck Check = checkCrashes(Suspects, Request.Print, Now);
  if (Check.Verdict == CrashVerdict::Refuse)
    return Refusal{Error{ResultCode::CrashesUpstreams,
                         "this request was in progress when two upstreams "
                         "crashed"},
                   Check.Until - Now};
  Request.Suspect = Check.Verdict == CrashVerdict::Suspect;
  Request.NotBefore = Request.Suspect ? Check.Until : Now;
  return std::nullopt;
}

} // namespace samphirehill
