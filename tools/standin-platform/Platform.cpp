#include "standin-platform/Platform.h"

#include <algorithm>

namespace samphirehill::standin {
namespace {

constexpr std::int64_t MaxValueBytes = 1 << 20;
constexpr std::int64_t MaxWatchMs = 60'000;

std::string callKind(const Request &From) {
  auto Parts = From.parts();
  if (Parts.empty())
    return "unknown";
  if (Parts[0] == "weights")
    return "readWeights";
  bool Watch = From.Query.count("after") != 0;
  if (Parts[0] == "instances")
    return Watch ? "watchInstances" : "listInstances";
  if (Parts[0] != "objects")
    return "unknown";
  if (Parts.size() == 2)
    return Watch ? "watchObjects" : "listObjects";
  if (From.Method == "PUT")
    return "writeObject";
  return From.Method == "DELETE" ? "deleteObject" : "readObject";
}

bool isWrite(const std::string &Call) {
  return Call == "writeObject" || Call == "deleteObject";
}

Json errorBody(const std::string &Message) { return {{"error", Message}}; }

// Returns the version in If-Match, or -1 when it is missing or no number.
std::int64_t matchVersion(const Request &From) {
  std::string Text = From.header("If-Match");
  if (Text.empty() || Text.size() > 18 ||
      Text.find_first_not_of("0123456789") != std::string::npos)
    return -1;
  return std::stoll(Text);
}

} // namespace

Platform::Platform(asio::io_context &Io, const PlatformOptions &Options)
    : Io(Io), Options(Options) {
  Faults.WeightsPerMinute = Options.WeightsPerMinute;
  setFaults(Json::object());
}

void Platform::handle(const Request &From, const ResponderPtr &To) {
  if (From.Path.rfind("/control/", 0) == 0)
    return handleControl(From, To);
  ++Calls[callKind(From)];
  if (Faults.Unreachable) {
    ++Refused["unreachable"];
    return To->drop();
  }
  if (Faults.SlowMs == 0)
    return dispatch(From, To);
  after(Io, milliseconds(Faults.SlowMs),
        [this, From, To] { dispatch(From, To); });
}

void Platform::dispatch(const Request &From, const ResponderPtr &To) {
  if (Faults.Outage) {
    ++Refused["outage"];
    return sendJson(To, 503, errorBody("outage"), {{"Retry-After", "1"}});
  }
  std::string Call = callKind(From);
  if (limited(Call, To))
    return;
  auto Parts = From.parts();
  if (Call == "readWeights")
    return handleWeights(From, To);
  if (Call == "listInstances" || Call == "watchInstances")
    return list("", From, To);
  if (Call == "listObjects" || Call == "watchObjects")
    return list(Parts[1], From, To);
  if (Call == "unknown" || Parts.size() != 3)
    return sendJson(To, 404, errorBody("no such path: " + From.Path));
  if (isWrite(Call))
    return handleWrite(From, To);
  const Table &Objects = Kinds[Parts[1]];
  auto Found = Objects.find(Parts[2]);
  if (Found == Objects.end() || Found->second.Deleted)
    return sendJson(To, 404, errorBody("no such object"));
  sendJson(To, 200, Found->second.Fields);
}

bool Platform::limited(const std::string &Call, const ResponderPtr &To) {
  RateLimit &Limit = Call == "readWeights" ? Weights
                     : isWrite(Call)       ? Writes
                                           : Reads;
  if (Limit.allow(now()))
    return false;
  ++Refused["rateLimited"];
  sendJson(To, 429, errorBody("over the rate"), {{"Retry-After", "1"}});
  return true;
}

void Platform::handleWrite(const Request &From, const ResponderPtr &To) {
  auto Apply = [this](const Request &Write) {
    return Write.Method == "PUT" ? write(Write) : remove(Write);
  };
  if (Faults.LoseRequests > 0) {
    --Faults.LoseRequests;
    ++Refused["lostRequests"];
    return To->drop();
  }
  if (Faults.DelayWrites > 0) {
    --Faults.DelayWrites;
    ++Refused["delayedWrites"];
    after(Io, milliseconds(Faults.DelayWritesMs),
          [Apply, From] { Apply(From); });
    return To->drop();
  }
  Answer Result = Apply(From);
  if (Faults.LoseAnswers > 0) {
    --Faults.LoseAnswers;
    ++Refused["lostAnswers"];
    return To->drop();
  }
  sendJson(To, Result.Status, Result.Body);
}

Platform::Answer Platform::write(const Request &From) {
  auto Parts = From.parts();
  std::int64_t Match = matchVersion(From);
  if (Match < 0)
    return {428, errorBody("If-Match with a version is required")};
  if (From.Body.size() > MaxValueBytes)
    return {413, errorBody("the body is larger than 1 MiB")};
  Json Body = parseObject(From);
  if (Body.is_discarded() || !Body.contains("value"))
    return {400, errorBody("the body must be {\"value\":...,\"writeId\":...}")};
  const Table &Objects = Kinds[Parts[1]];
  auto Found = Objects.find(Parts[2]);
  bool Exists = Found != Objects.end() && !Found->second.Deleted;
  std::int64_t Last = Found == Objects.end() ? 0 : Found->second.Version;
  if (!Exists && Match != 0)
    return {404, errorBody("no such object")};
  if (Exists && Match != Last)
    return {409, {{"version", Last}}};
  Item Changed;
  Changed.Version = Last + 1;
  Changed.Fields = {{"kind", Parts[1]},
                    {"name", Parts[2]},
                    {"version", Changed.Version},
                    {"value", Body["value"]},
                    {"writeId", Body.value("writeId", Json(""))}};
  change(Parts[1], Parts[2], std::move(Changed));
  return {200, {{"version", Last + 1}}};
}

Platform::Answer Platform::remove(const Request &From) {
  auto Parts = From.parts();
  std::int64_t Match = matchVersion(From);
  if (Match < 0)
    return {428, errorBody("If-Match with a version is required")};
  const Table &Objects = Kinds[Parts[1]];
  auto Found = Objects.find(Parts[2]);
  if (Found == Objects.end() || Found->second.Deleted)
    return {404, errorBody("no such object")};
  std::int64_t Last = Found->second.Version;
  if (Match != Last)
    return {409, {{"version", Last}}};
  Item Changed;
  Changed.Version = Last;
  Changed.Deleted = true;
  Changed.Fields = {{"kind", Parts[1]},
                    {"name", Parts[2]},
                    {"version", Last},
                    {"deleted", true}};
  change(Parts[1], Parts[2], std::move(Changed));
  return {200, {{"version", Last}}};
}

void Platform::change(const std::string &Kind, const std::string &Name,
                      Item Value) {
  Value.Revision = ++Revision;
  KindRevisions[Kind] = Revision;
  Kinds[Kind][Name] = std::move(Value);
  for (auto Next = Watches.begin(); Next != Watches.end();) {
    auto Current = Next++;
    if (Current->Kind != Kind)
      continue;
    sendJson(Current->To, 200, changes(Kind, Current->After));
    Watches.erase(Current);
  }
}

// An After from before a restart of the platform is ahead of Revision; the
// caller then gets the complete list.
Json Platform::changes(const std::string &Kind, std::int64_t After) const {
  bool Complete = After < 0 || After > Revision;
  Json Items = Json::array();
  auto Found = Kinds.find(Kind);
  if (Found != Kinds.end()) {
    for (const auto &[Name, Value] : Found->second) {
      if (Complete ? Value.Deleted : Value.Revision <= After)
        continue;
      Items.push_back(Value.Fields);
    }
  }
  return {{"revision", Revision}, {"complete", Complete}, {"items", Items}};
}

void Platform::list(const std::string &Kind, const Request &From,
                    const ResponderPtr &To) {
  std::int64_t After = From.number("after", -1);
  auto TimeoutMs = std::min(From.number("timeoutMs", 0), MaxWatchMs);
  bool Changed = After < 0 || After > Revision || KindRevisions[Kind] > After;
  if (Changed || TimeoutMs <= 0)
    return sendJson(To, 200, changes(Kind, After));
  Watches.push_back(Watch{Kind, After, To});
  after(Io, milliseconds(TimeoutMs), [this, To] {
    auto Found = std::find_if(Watches.begin(), Watches.end(),
                              [&](const Watch &W) { return W.To == To; });
    if (Found == Watches.end())
      return;
    sendJson(To, 200, changes(Found->Kind, Found->After));
    Watches.erase(Found);
  });
}

void Platform::handleWeights(const Request &From, const ResponderPtr &To) {
  if (From.parts().size() != 3)
    return sendJson(To, 404, errorBody("no such path: " + From.Path));
  sendJson(To, 200,
           {{"bytes", Options.WeightBytes}, {"loadMs", Options.WeightLoadMs}});
}

void Platform::handleControl(const Request &From, const ResponderPtr &To) {
  if (From.Path == "/control/counters") {
    std::size_t Objects = 0;
    for (const auto &[Kind, Items] : Kinds)
      for (const auto &[Name, Value] : Items)
        Objects += !Kind.empty() && !Value.Deleted;
    return sendJson(To, 200,
                    {{"calls", Calls},
                     {"faults", Refused},
                     {"objects", Objects},
                     {"waitingWatches", Watches.size()},
                     {"revision", Revision}});
  }
  Json Body = parseObject(From);
  if (From.Method != "POST" || Body.is_discarded())
    return sendJson(To, 400, errorBody("POST a JSON object"));
  if (From.Path == "/control/faults") {
    setFaults(Body);
    return sendJson(To, 200, Json::object());
  }
  if (From.Path != "/control/instances")
    return sendJson(To, 404, errorBody("no such path: " + From.Path));
  if (!Body.contains("id") || !Body["id"].is_string())
    return sendJson(To, 400, errorBody("\"id\" is required"));
  if (Faults.InstanceLagMs == 0)
    setInstance(Body);
  else
    after(Io, milliseconds(Faults.InstanceLagMs),
          [this, Body] { setInstance(Body); });
  sendJson(To, 200, Json::object());
}

void Platform::setFaults(const Json &Body) {
  take(Body, "outage", Faults.Outage);
  take(Body, "unreachable", Faults.Unreachable);
  take(Body, "slowMs", Faults.SlowMs);
  take(Body, "loseAnswers", Faults.LoseAnswers);
  take(Body, "loseRequests", Faults.LoseRequests);
  take(Body, "delayWrites", Faults.DelayWrites);
  take(Body, "delayWritesMs", Faults.DelayWritesMs);
  take(Body, "instanceLagMs", Faults.InstanceLagMs);
  take(Body, "readsPerSecond", Faults.ReadsPerSecond);
  take(Body, "writesPerSecond", Faults.WritesPerSecond);
  take(Body, "weightsPerMinute", Faults.WeightsPerMinute);
  // A burst of at least one call, or a rate below 1/s would allow none.
  Reads.set(Faults.ReadsPerSecond, std::max(1.0, Faults.ReadsPerSecond));
  Writes.set(Faults.WritesPerSecond, std::max(1.0, Faults.WritesPerSecond));
  Weights.set(Faults.WeightsPerMinute / 60, 1);
}

void Platform::setInstance(const Json &Body) {
  std::string Id = Body["id"].get<std::string>();
  Item Changed;
  auto Found = Kinds[""].find(Id);
  bool Known = Found != Kinds[""].end() && !Found->second.Deleted;
  if (Body.value("state", Json("live")) == Json("gone")) {
    if (!Known)
      return;
    Changed.Deleted = true;
    Changed.Fields = {{"id", Id}, {"deleted", true}};
    return change("", Id, std::move(Changed));
  }
  Changed.Fields = {{"id", Id},         {"zone", ""},    {"fabricDomain", ""},
                    {"role", "engine"}, {"address", ""}, {"accelerators", 0},
                    {"state", "live"}};
  if (Known)
    Changed.Fields = Found->second.Fields;
  Changed.Fields.update(Body);
  change("", Id, std::move(Changed));
}

} // namespace samphirehill::standin
