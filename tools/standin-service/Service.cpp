#include "standin-service/Service.h"

#include <chrono>
#include <utility>

namespace samphirehill::standin {
namespace {

std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool takeOne(std::int64_t &Count) {
  if (Count <= 0)
    return false;
  --Count;
  return true;
}

// Returns the entries of Counts that were executed more than once.
Json doubled(const std::map<std::string, std::int64_t> &Counts) {
  Json Values = Json::object();
  for (const auto &[Name, Count] : Counts)
    if (Count > 1)
      Values[Name] = Count;
  return Values;
}

HttpHeaders echo(const Request &From) {
  std::string Id = From.header("X-Request-Id");
  return Id.empty() ? HttpHeaders{} : HttpHeaders{{"X-Request-Id", Id}};
}

} // namespace

Service::Service(asio::io_context &Io, ServiceOptions Options)
    : Io(Io), Options(std::move(Options)), Boot(randomId()) {}

void Service::handle(const Request &From, const ResponderPtr &To) {
  if (From.Path.rfind("/control/", 0) == 0)
    return handleControl(From, To);
  TimePoint Now = now();
  if (Now >= PausedUntil)
    return dispatch(From, To);
  after(Io, PausedUntil - Now, [this, From, To] { handle(From, To); });
}

void Service::dispatch(const Request &From, const ResponderPtr &To) {
  if (From.Method == "GET" && From.Path == "/status")
    return sendJson(To, 200, status(), echo(From));
  if (From.Method == "POST" && From.Path.rfind("/actions/", 0) == 0)
    return startAction(From, To);
  if (From.Method == "GET")
    return sendJson(To, 200, {{"path", From.Path}, {"instance", Options.Id}},
                    echo(From));
  sendJson(To, 404, {{"error", "no such path: " + From.Path}}, echo(From));
}

void Service::startAction(const Request &From, const ResponderPtr &To) {
  if (takeOne(Faults.LoseRequests))
    return To->drop();
  bool Full = static_cast<std::int64_t>(Running.size()) >= Options.MaxRunning;
  if (Full || takeOne(Faults.Refuse))
    return sendJson(To, 503, {{"error", "overloaded"}, {"run", "not run"}},
                    echo(From));
  Running.insert(From.header("X-Request-Id"));
  after(Io, milliseconds(Options.DelayMs),
        [this, From, To] { runAction(From, To); });
}

void Service::runAction(const Request &From, const ResponderPtr &To) {
  TimePoint Now = now();
  if (Now < PausedUntil)
    return after(Io, PausedUntil - Now,
                 [this, From, To] { runAction(From, To); });
  std::string Id = From.header("X-Request-Id");
  std::string Key = From.header("Idempotency-Key");
  Executions.push_back(Execution{Id, Key, From.Path, From.Body});
  if (!Id.empty())
    ++ByRequestId[Id];
  if (!Key.empty())
    ++ByKey[Key];
  Running.erase(Running.find(Id));
  if (takeOne(Faults.LoseAnswers))
    return To->drop();
  if (takeOne(Faults.Fail))
    return sendJson(To, 500, {{"error", "failed after the booking"}},
                    echo(From));
  sendJson(To, 200,
           {{"booking", Executions.size()},
            {"instance", Options.Id},
            {"requestId", Id}},
           echo(From));
}

Json Service::status() const {
  return {{"instance", Options.Id},
          {"bootId", Boot},
          {"state", "warm"},
          {"running", Running.size()},
          {"queued", 0},
          {"runningIds", Json(Running)},
          {"reportTimeMs", wallMs()}};
}

Json Service::executions() const {
  Json Items = Json::array();
  for (const Execution &Item : Executions)
    Items.push_back({{"requestId", Item.RequestId},
                     {"key", Item.Key},
                     {"path", Item.Path},
                     {"body", Item.Body}});
  return {{"count", Executions.size()},
          {"items", Items},
          {"doubledRequestIds", doubled(ByRequestId)},
          {"doubledKeys", doubled(ByKey)}};
}

void Service::handleControl(const Request &From, const ResponderPtr &To) {
  if (From.Path == "/control/executions")
    return sendJson(To, 200, executions());
  Json Body = parseObject(From);
  if (From.Path != "/control/faults" || Body.is_discarded())
    return sendJson(To, 404,
                    {{"error", "POST a JSON object to "
                               "/control/faults"}});
  take(Body, "delayMs", Options.DelayMs);
  take(Body, "loseAnswers", Faults.LoseAnswers);
  take(Body, "loseRequests", Faults.LoseRequests);
  take(Body, "fail", Faults.Fail);
  take(Body, "refuse", Faults.Refuse);
  Faults.PauseMs = 0;
  take(Body, "pauseMs", Faults.PauseMs);
  if (Faults.PauseMs > 0)
    PausedUntil = now() + milliseconds(Faults.PauseMs);
  sendJson(To, 200, Json::object());
}

} // namespace samphirehill::standin
