#include "samphirehill/Daemon/PlainCall.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

constexpr int MaxAttempts = 4;

// Headers that concern one connection, or that the caller must not set.
bool isPassedOn(const std::string &Name) {
  static const std::set<std::string> Dropped = {"authorization",
                                                "connection",
                                                "content-length",
                                                "expect",
                                                "host",
                                                "keep-alive",
                                                "te",
                                                "transfer-encoding",
                                                "upgrade",
                                                "x-deadline-ms",
                                                "x-priority",
                                                "x-request-id"};
  return !Dropped.contains(lowerCase(Name));
}

// Returns whether a service says that it did not run the call.
bool saysNotRun(const HttpResponse &Response) {
  if (Response.Status != 503)
    return false;
  Json Body = Json::parse(Response.Body, nullptr, false);
  return Body.is_object() && Body.contains("run") && Body["run"] == "not run";
}

} // namespace

PlainCall::PlainCall(CallParts Parts, PlainRequest Request,
                     std::function<void(PlainResult)> Done)
    : Parts(Parts), Request(std::move(Request)), Done(std::move(Done)) {}

void PlainCall::run(CallParts Parts, PlainRequest Request,
                    std::function<void(PlainResult)> Done) {
  std::shared_ptr<PlainCall> Call(
      new PlainCall(Parts, std::move(Request), std::move(Done)));
  earnRetry(Parts.Retries, Call->Request.Organisation, Call->Request.Of);
  Call->submit();
}

void PlainCall::submit() {
  Attempt = Parts.Shared.nextRequestId();
  DispatchRequest Asked;
  Asked.Admission.Request = Attempt;
  Asked.Admission.Organisation = Request.Organisation;
  Asked.Admission.Class = Request.Class;
  Asked.Admission.Deadline = Request.Deadline;
  Asked.Query.Of = Request.Of;
  Asked.Query.Here = Parts.Shared.Config.Zone;
  Asked.Query.Excluded = Excluded;
  Asked.Query.Now = Parts.Shared.Timers.now();
  if (!Parts.Directory.any(Asked.Query))
    Asked.Query.Excluded.clear();
  Asked.Suspect = Request.Suspect;
  Asked.NotBefore = Request.NotBefore;
  Parts.Dispatch.submit(std::move(Asked),
                        [Self = shared_from_this()](DispatchResult Result) {
                          Self->granted(std::move(Result));
                        });
}

void PlainCall::granted(DispatchResult Result) {
  if (auto *No = std::get_if<DispatchRefusal>(&Result)) {
    if (MayHaveRun)
      No->Failure.Code = ResultCode::UpstreamLost;
    end(PlainFailure{No->Failure, No->RetryAfter});
    return;
  }
  Current = std::move(std::get<Grant>(Result));
  send();
}

void PlainCall::send() {
  ++Attempts;
  Parts.Crashes.begin(CrashId{Current->Upstream, Current->Held.Boot}, Attempt,
                      Request.Print);
  HttpRequest Call;
  Call.Method = Request.Method;
  Call.Url = "http://" + Current->Address + Request.Path;
  for (const auto &[Name, Value] : Request.Headers)
    if (isPassedOn(Name))
      Call.Headers.emplace_back(Name, Value);
  Call.Headers.emplace_back("X-Request-Id", Attempt.str());
  Call.Body = Request.Body;
  Call.Timeout = Request.Deadline - Parts.Shared.Timers.now();
  Call.FreshConnection = true;
  Parts.Shared.Counters.count(
      labelled("attempts_total", "service", Request.Of.str()));
  Parts.Shared.Http.send(
      std::move(Call),
      [Self = shared_from_this()](const auto &Value) { Self->receive(Value); });
}

void PlainCall::receive(const Outcome<HttpResponse> &Value) {
  if (const Error *Failure = errorOf(Value)) {
    if (Failure->Code != ResultCode::ConnectFailed)
      MayHaveRun = true;
    lost(*Failure);
    return;
  }
  const auto &Response = std::get<HttpResponse>(Value);
  std::string Echoed = findHeader(Response.Headers, "X-Request-Id");
  if (!Echoed.empty() && Echoed != Attempt.str()) {
    MayHaveRun = true;
    lost(Error{ResultCode::BadAnswer, "upstream " + Current->Upstream.str() +
                                          " answered another request"});
    return;
  }
  giveBack(false);
  if (saysNotRun(Response)) {
    retry(Error{ResultCode::UpstreamRefused, "the service is overloaded"});
    return;
  }
  end(Response);
}

void PlainCall::lost(const Error &Cause) {
  Excluded.insert(Current->Upstream);
  Parts.Calls.judgeBreak(
      *Current, [Self = shared_from_this(), Cause](bool Crashed) {
        bool NothingSent = Cause.Code == ResultCode::ConnectFailed;
        Self->giveBack(!Crashed && !NothingSent);
        Self->retry(Cause);
      });
}

void PlainCall::retry(const Error &Cause) {
  Error Final = Cause;
  TimePoint Now = Parts.Shared.Timers.now();
  if (!MayHaveRun)
    Final.Code = ResultCode::UpstreamRefused;
  else if (Cause.Code == ResultCode::Timeout && Now >= Request.Deadline)
    Final.Code = ResultCode::DeadlineExceeded;
  else
    Final.Code = ResultCode::UpstreamLost;
  CrashCheck Check = checkCrashes(Parts.Crashes.suspects(), Request.Print, Now);
  Request.Suspect = Check.Verdict == CrashVerdict::Suspect;
  Request.NotBefore = Request.Suspect ? Check.Until : TimePoint();
  Duration Wait =
      retryBackoff(Parts.Retries.Settings, Attempts - 1, Parts.Shared.random());
  bool Allowed = (Request.Repeatable || !MayHaveRun) &&
                 Check.Verdict != CrashVerdict::Refuse &&
                 Attempts < MaxAttempts && Now + Wait < Request.Deadline;
  if (!Allowed ||
      !spendRetry(Parts.Retries, Request.Organisation, Request.Of)) {
    end(PlainFailure{Final, seconds(1)});
    return;
  }
  Parts.Shared.Counters.count("retries_total");
  Backoff = Parts.Shared.Timers.after(
      Wait, [Self = shared_from_this()] { Self->submit(); });
}

void PlainCall::giveBack(bool MayStillRun) {
  Grant Ended = std::move(*Current);
  Current.reset();
  Parts.Crashes.end(CrashId{Ended.Upstream, Ended.Held.Boot}, Attempt);
  if (MayStillRun) {
    Parts.Calls.abandon(Ended, Attempt, Request.Deadline);
    return;
  }
  Parts.Dispatch.finish(Ended, 1);
}

void PlainCall::end(PlainResult Result) {
  Backoff.cancel();
  std::exchange(Done, nullptr)(std::move(Result));
}

} // namespace samphirehill
