#include "samphirehill/Daemon/Filters.h"

#include <algorithm>

namespace samphirehill {
namespace {

// Services of others look the same as unknown ones, so that a key tells nothing
// about what it may not use.
Refusal unknown(const std::string &What, const std::string &Name) {
  return Refusal{
      Error{ResultCode::UnknownService,
            What + " \"" + Name + "\" is not served to this organisation"}};
}

std::optional<Refusal> resolveModel(RequestContext &Request) {
  Request.Target = findModel(Request.Who, Request.Completion.Model);
  if (!Request.Target)
    return unknown("model", Request.Completion.Model);
  return std::nullopt;
}

std::optional<Refusal> resolvePlain(RequestContext &Request) {
  ServiceId Name(Request.ServiceName);
  const Service *Found = Request.Who.Text->findService(Name);
  if (!Found || Found->Kind != ServiceKind::Plain ||
      !Request.Who.Text->mayCall(*Request.Who.Who, Name))
    return unknown("service", Request.ServiceName);
  Request.Target = Found;
  Request.NonRepeatable =
      isNonRepeatable(*Found, Request.Exchange->method(), Request.ServicePath);
  if (Request.NonRepeatable && Request.IdempotencyKey.empty())
    return Refusal{Error{ResultCode::MissingIdempotencyKey,
                         Request.Exchange->method() + " " +
                             Request.ServicePath +
                             " must not be repeated and needs the header "
                             "Idempotency-Key"}};
  return std::nullopt;
}

} // namespace

std::optional<Refusal> resolve(RequestContext &Request,
                               const Settings &Config) {
  Duration Asked = Request.AskedDeadline > Duration::zero()
                       ? Request.AskedDeadline
                       : Config.DefaultDeadline;
  Request.Deadline =
      Request.Arrived + std::min(Asked, Request.Who.Text->limits().MaxDeadline);
  if (Request.Kind == RequestKind::Completion)
    return resolveModel(Request);
  if (Request.Kind == RequestKind::Plain)
    return resolvePlain(Request);
  return std::nullopt;
}

} // namespace samphirehill
