#include "samphirehill/Ctl/VentureClient.h"

#include <random>
#include <utility>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

constexpr int WriteAttempts = 5;
constexpr Duration RetryPause = milliseconds(100);

const Error NoPlatform{ResultCode::PlatformUnavailable,
                       "no platform is given; use --platform"};

JsonAnswer answerOf(const std::string &Url,
                    const Outcome<HttpResponse> &Response) {
  if (const Error *Failure = errorOf(Response))
    return *Failure; // names the address
  const HttpResponse &Answer = std::get<0>(Response);
  Json Body = Json::parse(Answer.Body, nullptr, false);
  if (Answer.Status == 200 && !Body.is_discarded())
    return Body;
  Error Failure{ResultCode::BadAnswer,
                Url + ": status " + std::to_string(Answer.Status)};
  if (Answer.Status == 401)
    Failure = {ResultCode::Unauthenticated,
               Url + ": the entry refused the operator key"};
  else if (Answer.Status == 400)
    Failure.Code = ResultCode::BadRequest;
  else if (Answer.Status == 404)
    Failure.Code = ResultCode::NotFound;
  else if (Answer.Status == 409)
    Failure.Code = ResultCode::Conflict;
  if (Answer.Status != 401 && Body.is_object() && Body.contains("error") &&
      Body["error"].is_object() && Body["error"].contains("message") &&
      Body["error"]["message"].is_string())
    Failure.Message = Url + ": " + Body["error"]["message"].get<std::string>();
  return Failure;
}

std::string randomRunId() {
  std::random_device Device;
  std::uint64_t Random = (std::uint64_t{Device()} << 32) | Device();
  auto Now = std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch());
  return std::to_string(Now.count()) + "-" + std::to_string(Random);
}

} // namespace

VentureClient::VentureClient(asio::io_context &Context, VentureOptions Given)
    : Context(Context), Guard(asio::make_work_guard(Context)),
      Options(std::move(Given)), Timers(Context), Http(Context),
      RunId(randomRunId()) {
  if (!Options.Platform.empty())
    Store = makeHttpPlatform(Http, {Options.Platform, Options.Timeout});
}

std::string VentureClient::uniqueId() {
  return "ctl." + RunId + "." + std::to_string(++LastId);
}

template <typename T>
Outcome<T>
VentureClient::await(const std::function<void(Platform::Callback<T>)> &Start) {
  if (!Store)
    return NoPlatform;
  auto Result = std::make_shared<std::optional<Outcome<T>>>();
  Start([Result](Outcome<T> Value) { *Result = std::move(Value); });
  while (!*Result)
    Context.run_one();
  return std::move(**Result);
}

Outcome<Object> VentureClient::read(const ObjectKey &Key) {
  return await<Object>([&](auto Done) { Store->readObject(Key, Done); });
}

Outcome<std::uint64_t> VentureClient::remove(const ObjectKey &Key,
                                             std::uint64_t Expected) {
  return await<std::uint64_t>(
      [&](auto Done) { Store->deleteObject(Key, Expected, Done); });
}

Outcome<ObjectList> VentureClient::list(const std::string &Kind) {
  return await<ObjectList>([&](auto Done) { Store->listObjects(Kind, Done); });
}

Outcome<InstanceList> VentureClient::instances() {
  return await<InstanceList>([&](auto Done) { Store->listInstances(Done); });
}

Outcome<std::uint64_t> VentureClient::writeOnce(const ObjectKey &Key,
                                                std::uint64_t Expected,
                                                const std::string &Value,
                                                const std::string &WriteId) {
  return await<std::uint64_t>([&](auto Done) {
    Store->writeObject(Key, Expected, Value, WriteId, Done);
  });
}

Outcome<std::uint64_t> VentureClient::write(const ObjectKey &Key,
                                            std::uint64_t Expected,
                                            const std::string &Value,
                                            const std::string &WriteId) {
  bool AnswerLost = false;
  Error Last;
  for (int Attempt = 0; Attempt < WriteAttempts; ++Attempt) {
    if (Attempt > 0)
      pause(RetryPause);
    Outcome<std::uint64_t> Result = writeOnce(Key, Expected, Value, WriteId);
    const Error *Failure = errorOf(Result);
    if (!Failure)
      return Result;
    Last = *Failure;
    bool Lost = Failure->Code == ResultCode::UnknownWriteOutcome;
    // Without a lost answer before, a refusal is final.
    if (!Lost && !AnswerLost &&
        Failure->Code != ResultCode::PlatformRateLimited)
      return Last;
    AnswerLost = AnswerLost || Lost;
    if (!AnswerLost)
      continue;
    Outcome<Object> Found = read(Key);
    const Error *ReadFailure = errorOf(Found);
    if (ReadFailure && ReadFailure->Code != ResultCode::NotFound)
      continue;
    std::optional<Object> Now;
    if (!ReadFailure)
      Now = std::get<0>(Found);
    WriteFate Fate = fateOf(WriteId, Expected, Now);
    if (Fate == WriteFate::Stored)
      return Now->Version;
    if (Fate == WriteFate::Superseded)
      return Error{Now ? ResultCode::Conflict : ResultCode::NotFound,
                   "another write of " + Key.Kind + "/" + Key.Name +
                       " took effect"};
  }
  if (AnswerLost)
    return Error{ResultCode::UnknownWriteOutcome,
                 "the platform doesn't tell whether the write of " + Key.Kind +
                     "/" + Key.Name + " took effect: " + Last.Message};
  return Last;
}

HttpRequest VentureClient::entryRequest(const std::string &Address,
                                        const std::string &Method,
                                        const std::string &Path,
                                        const Json &Body) const {
  HttpRequest Request;
  Request.Method = Method;
  Request.Url = "http://" + Address + Path;
  Request.Headers = {
      {"Authorization", "Bearer " + Options.OperatorKey.reveal()}};
  if (!Body.is_null()) {
    Request.Headers.emplace_back("Content-Type", "application/json");
    Request.Body = Body.dump();
  }
  Request.Timeout = Options.Timeout;
  return Request;
}

std::vector<JsonAnswer>
VentureClient::sendAll(std::vector<HttpRequest> Requests) {
  struct Answers {
    std::vector<std::optional<JsonAnswer>> Values;
    std::size_t Missing;
  };
  auto Shared = std::make_shared<Answers>();
  Shared->Values.resize(Requests.size());
  Shared->Missing = Requests.size();
  for (std::size_t Index = 0; Index < Requests.size(); ++Index) {
    std::string Url = Requests[Index].Url;
    Http.send(std::move(Requests[Index]),
              [Shared, Index, Url](const Outcome<HttpResponse> &Response) {
                Shared->Values[Index] = answerOf(Url, Response);
                --Shared->Missing;
              });
  }
  while (Shared->Missing > 0)
    Context.run_one();
  std::vector<JsonAnswer> Result;
  for (std::optional<JsonAnswer> &Value : Shared->Values)
    Result.push_back(std::move(*Value));
  return Result;
}

JsonAnswer VentureClient::callEntry(const std::string &Address,
                                    const std::string &Method,
                                    const std::string &Path, const Json &Body) {
  return sendAll({entryRequest(Address, Method, Path, Body)}).front();
}

std::vector<JsonAnswer> VentureClient::callEntries(const std::string &Method,
                                                   const std::string &Path,
                                                   const Json &Body) {
  std::vector<HttpRequest> Requests;
  for (const std::string &Address : Options.Entries)
    Requests.push_back(entryRequest(Address, Method, Path, Body));
  return sendAll(std::move(Requests));
}

void VentureClient::pollEntries(
    Duration Period, Duration Wait,
    std::function<bool(std::size_t, const JsonAnswer &)> Take) {
  struct Entry {
    std::optional<CallId> Call;
    TimerSubscription Timer;
    bool Done = false;
  };
  std::vector<Entry> Entries(Options.Entries.size());
  std::size_t Open = Entries.size();
  std::function<void(std::size_t)> Ask = [&](std::size_t Index) {
    HttpRequest Request =
        entryRequest(Options.Entries[Index], "GET", "/operator/status", {});
    std::string Url = Request.Url;
    Entries[Index].Call =
        Http.send(std::move(Request),
                  [&, Index, Url](const Outcome<HttpResponse> &Response) {
                    Entries[Index].Call.reset();
                    if (Take(Index, answerOf(Url, Response))) {
                      Entries[Index].Done = true;
                      --Open;
                      return;
                    }
                    Entries[Index].Timer =
                        Timers.after(Period, [&, Index] { Ask(Index); });
                  });
  };
  for (std::size_t Index = 0; Index < Entries.size(); ++Index)
    Ask(Index);
  TimePoint End = now() + Wait;
  while (Open > 0 && now() < End)
    Context.run_one_for(std::chrono::milliseconds(10));
  for (Entry &Each : Entries)
    if (Each.Call)
      Http.cancel(*Each.Call);
}

std::vector<JsonAnswer>
VentureClient::engineStatuses(const std::vector<std::string> &Addresses) {
  std::vector<HttpRequest> Requests;
  for (const std::string &Address : Addresses) {
    HttpRequest Request;
    Request.Url = "http://" + Address + "/status";
    Request.Timeout = Options.Timeout;
    Requests.push_back(std::move(Request));
  }
  return sendAll(std::move(Requests));
}

void VentureClient::pause(Duration Length) {
  bool Done = false;
  TimerSubscription Timer = Timers.after(Length, [&] { Done = true; });
  while (!Done)
    Context.run_one();
}

WriteFate fateOf(const std::string &WriteId, std::uint64_t Expected,
                 const std::optional<Object> &Found) {
  if (Found && Found->WriteId == WriteId)
    return WriteFate::Stored;
  std::uint64_t Version = Found ? Found->Version : 0;
  return Version == Expected ? WriteFate::Open : WriteFate::Superseded;
}

bool platformDown(ResultCode Code) {
  return Code == ResultCode::PlatformUnavailable ||
         Code == ResultCode::PlatformRateLimited ||
         Code == ResultCode::UnknownWriteOutcome;
}

ExitCode exitCodeOf(const Report &Value) {
  if (!Value.Failure)
    return ExitOk;
  return Value.Failure->Code == ResultCode::Conflict ? ExitConflict
                                                     : ExitFailure;
}

std::string describe(const Error &Value) {
  return std::to_string(static_cast<int>(Value.Code)) + " " +
         std::string(toString(Value.Code)) + ": " + Value.Message;
}

} // namespace samphirehill
