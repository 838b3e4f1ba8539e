#include "samphirehill/Daemon/Filters.h"

namespace samphirehill {

std::optional<Refusal> authenticate(RequestContext &Request,
                                    const Catalogue &Texts) {
  if (!Request.ApiKey.empty())
    Request.Who = Texts.findCaller(Request.ApiKey);
  if (Request.Who.Who)
    return std::nullopt;
  return Refusal{Error{ResultCode::Unauthenticated,
                       "header Authorization holds no key of an organisation"}};
}

} // namespace samphirehill
