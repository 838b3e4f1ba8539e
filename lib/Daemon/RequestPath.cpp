#include "samphirehill/Daemon/RequestPath.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace samphirehill {
namespace {

// Headers of an upstream's answer that the server sets itself.
bool isForCaller(const std::string &Name) {
  static const std::set<std::string> Dropped = {
      "connection", "content-length",    "date",        "keep-alive",
      "server",     "transfer-encoding", "x-request-id"};
  return !Dropped.contains(lowerCase(Name));
}

} // namespace

RequestPath::RequestPath(CallParts Parts, const Catalogue &Texts,
                         RequestPathHooks Hooks)
    : Parts(Parts), Texts(Texts), Hooks(std::move(Hooks)) {}

void RequestPath::take(std::shared_ptr<HttpExchange> Exchange) {
  RequestContext Request;
  Request.Exchange = std::move(Exchange);
  Request.Id = Parts.Shared.nextRequestId();
  Request.Arrived = Parts.Shared.Timers.now();
  Parts.Shared.Counters.count("requests_total");
  if (std::optional<Refusal> Refused = filter(Request)) {
    Parts.Shared.Counters.count(
        labelled("requests_refused_total", "code",
                 std::string(toString(Refused->Failure.Code))));
    refuse(Request, Refused->Failure, Refused->RetryAfter);
    return;
  }
  serve(std::move(Request));
}

// A resend under a key that is told "not run" could book again under another
// key, so an entry that can't look the key up does not say it.
Refusal RequestPath::refuseUnread(const RequestContext &Request,
                                  Refusal Refused) {
  if (findHeader(Request.Exchange->headers(), "Idempotency-Key").empty())
    return Refused;
  Refused.Failure.Code = ResultCode::OutcomeUnknown;
  Refused.Failure.Message +=
      "; an earlier delivery under this idempotency key may have run";
  return Refused;
}

std::optional<Refusal> RequestPath::filter(RequestContext &Request) {
  if (auto Refused = Hooks.Admission())
    return refuseUnread(Request, *Refused);
  if (auto Refused = parseRequest(Request, Parts.Shared.Config))
    return Refused;
  if (auto Refused = authenticate(Request, Texts))
    return Refused;
  if (auto Refused = resolve(Request, Parts.Shared.Config))
    return Refused;
  return checkCrashes(Request, Parts.Crashes.suspects(),
                      Parts.Shared.Timers.now());
}

void RequestPath::serve(RequestContext Request) {
  switch (Request.Kind) {
  case RequestKind::Models:
    serveModels(Request);
    return;
  case RequestKind::IssueKey:
    Hooks.IssueKey(Request);
    return;
  case RequestKind::Plain:
    servePlain(std::move(Request));
    return;
  case RequestKind::Completion:
    break;
  }
  ++InProgress;
  RequestId Id = Request.Id;
  auto Call =
      std::make_shared<ModelCall>(Parts, std::move(Request), [this, Id] {
        ModelCalls.erase(Id);
        ended();
      });
  ModelCalls[Id] = Call;
  Call->start();
}

void RequestPath::serveModels(RequestContext &Request) {
  nlohmann::json Models = nlohmann::json::array();
  for (const std::string &Name : modelNames(Request.Who))
    Models.push_back({{"id", Name}, {"object", "model"}});
  HttpHeaders Headers = resultHeaders(Request, ResultCode::Ok);
  Headers.emplace_back("Content-Type", "application/json");
  Request.Exchange->respond(
      200, Headers,
      nlohmann::json{{"object", "list"}, {"data", Models}}.dump());
}

void RequestPath::servePlain(RequestContext Request) {
  ++InProgress;
  if (Request.NonRepeatable) {
    Hooks.Keyed(std::move(Request), [this] { ended(); });
    return;
  }
  auto Kept = std::make_shared<RequestContext>(std::move(Request));
  PlainCall::run(Parts, plainRequest(*Kept), [this, Kept](PlainResult Result) {
    answerPlain(*Kept, std::move(Result));
    ended();
  });
}

void RequestPath::ended() { --InProgress; }

PlainRequest plainRequest(const RequestContext &Request) {
  PlainRequest Plain;
  Plain.Id = Request.Id;
  Plain.Of = Request.Target->Name;
  Plain.Organisation = Request.Who.Who->Name;
  Plain.Class = Request.Class;
  Plain.Method = Request.Exchange->method();
  Plain.Path = Request.ServicePath;
  Plain.Headers = Request.Exchange->headers();
  Plain.Body = Request.Exchange->body();
  Plain.Deadline = Request.Deadline;
  Plain.Repeatable = !Request.NonRepeatable;
  Plain.Print = Request.Print;
  Plain.Suspect = Request.Suspect;
  Plain.NotBefore = Request.NotBefore;
  return Plain;
}

void answerPlain(RequestContext &Request, PlainResult Result) {
  if (auto *No = std::get_if<PlainFailure>(&Result)) {
    refuse(Request, No->Failure, No->RetryAfter);
    return;
  }
  auto &Response = std::get<HttpResponse>(Result);
  HttpHeaders Headers = resultHeaders(Request, ResultCode::Ok);
  for (const auto &[Name, Value] : Response.Headers)
    if (isForCaller(Name))
      Headers.emplace_back(Name, Value);
  Request.Exchange->respond(Response.Status, Headers, std::move(Response.Body));
}

} // namespace samphirehill
