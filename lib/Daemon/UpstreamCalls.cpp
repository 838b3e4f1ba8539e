#include "samphirehill/Daemon/UpstreamCalls.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

constexpr Duration CallTimeout = seconds(1);
constexpr Duration RetryPeriod = milliseconds(250);

// Returns whether Status shows that Attempt, sent to process Boot, is over.
bool showsEnd(const Json &Status, const RequestId &Attempt,
              const BootId &Boot) {
  if (!Status.is_object() || !Status.contains("bootId"))
    return false;
  if (Status["bootId"] != Boot.str())
    return true;
  if (!Status.contains("runningIds") || !Status["runningIds"].is_array())
    return false;
  const Json &Ids = Status["runningIds"];
  return std::find(Ids.begin(), Ids.end(), Attempt.str()) == Ids.end();
}

// Returns whether Value, the answer to a status request after a broken
// connection, shows that process Boot has ended. A process that does not answer
// may be paused and is not taken for crashed.
bool showsCrash(const Outcome<HttpResponse> &Value, const BootId &Boot) {
  if (const Error *Failure = errorOf(Value))
    return Failure->Code == ResultCode::ConnectFailed ||
           Failure->Code == ResultCode::BadAnswer;
  Json Status = Json::parse(std::get<HttpResponse>(Value).Body, nullptr, false);
  return Status.is_object() && Status.value("bootId", Json()) != Boot.str();
}

} // namespace

HttpRequest statusRequest(const std::string &Address, Duration Timeout) {
  HttpRequest Request;
  Request.Url = "http://" + Address + "/status";
  Request.Timeout = Timeout;
  Request.FreshConnection = true;
  return Request;
}

void UpstreamCalls::judgeBreak(const Grant &Broken,
                               std::function<void(bool Crashed)> Then) {
  CrashId Where{Broken.Upstream, Broken.Held.Boot};
  auto &Waiting = Judging[Where];
  Waiting.push_back(std::move(Then));
  if (Waiting.size() > 1)
    return;
  Directory.setDoubtful(Broken.Upstream, true);
  Shared.Http.send(statusRequest(Broken.Address, CallTimeout),
                   [this, Where, Broken](Outcome<HttpResponse> Value) {
                     judged(Where, Broken, showsCrash(Value, Where.Boot));
                   });
}

void UpstreamCalls::judged(const CrashId &Where, const Grant &Broken,
                           bool Crashed) {
  DomainId Domain;
  if (const DirectoryEntry *Found = Directory.find(Broken.Upstream))
    Domain = Found->Status.Domain;
  if (Crashed)
    Directory.setCrashed(Broken.Upstream, Where.Boot);
  Directory.setDoubtful(Broken.Upstream, false);
  if (Crashed) {
    Credits.reportCold(Broken.Held,
                       ColdEvidence{ColdCause::ConnectionReset, BootId()});
    Crashes.crashed(Where, Domain);
  }
  std::vector<std::function<void(bool)>> Waiting = std::move(Judging[Where]);
  Judging.erase(Where);
  for (const auto &Then : Waiting)
    Then(Crashed);
}

void UpstreamCalls::abandon(const Grant &Broken, const RequestId &Attempt,
                            TimePoint Deadline) {
  Abandoned[Attempt] = Call{Broken, Deadline, {}};
  cancelAt(Attempt);
}

void UpstreamCalls::cancelAt(const RequestId &Attempt) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Url = "http://" + Abandoned.at(Attempt).Broken.Address + "/cancel";
  Request.Body = Json{{"requestId", Attempt.str()}}.dump();
  Request.Timeout = CallTimeout;
  Shared.Http.send(std::move(Request), [this, Attempt](const auto &) {
    // The status tells what became of it, whatever the answer was.
    askStatus(Attempt);
  });
}

void UpstreamCalls::askStatus(const RequestId &Attempt) {
  auto Found = Abandoned.find(Attempt);
  if (Found == Abandoned.end())
    return;
  if (Found->second.Deadline <= Shared.Timers.now()) {
    release(Attempt);
    return;
  }
  HttpRequest Request =
      statusRequest(Found->second.Broken.Address, CallTimeout);
  BootId Boot = Found->second.Broken.Held.Boot;
  Shared.Http.send(std::move(Request), [this, Attempt,
                                        Boot](Outcome<HttpResponse> Value) {
    const auto *Answer = std::get_if<HttpResponse>(&Value);
    if (Answer && Answer->Status == 200 &&
        showsEnd(Json::parse(Answer->Body, nullptr, false), Attempt, Boot)) {
      release(Attempt);
      return;
    }
    retryLater(Attempt);
  });
}

void UpstreamCalls::retryLater(const RequestId &Attempt) {
  auto Found = Abandoned.find(Attempt);
  if (Found == Abandoned.end())
    return;
  Found->second.Retry =
      Shared.Timers.after(RetryPeriod, [this, Attempt] { askStatus(Attempt); });
}

void UpstreamCalls::release(const RequestId &Attempt) {
  auto Found = Abandoned.find(Attempt);
  Grant Broken = Found->second.Broken;
  Abandoned.erase(Found);
  Dispatch.finish(Broken, 0);
}

} // namespace samphirehill
