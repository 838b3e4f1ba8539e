#include "samphirehill/Ctl/Timeline.h"

#include <algorithm>
#include <ctime>
#include <iterator>
#include <map>
#include <set>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;

std::string timeText(std::int64_t Microseconds) {
  std::time_t Seconds = Microseconds / MicrosecondsPerSecond;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:06}Z",
                     Parts.tm_year + 1900, Parts.tm_mon + 1, Parts.tm_mday,
                     Parts.tm_hour, Parts.tm_min, Parts.tm_sec,
                     Microseconds % MicrosecondsPerSecond);
}

Event eventOf(const Json &Value) {
  return {LogicalTime{Value.at("us").get<std::int64_t>(),
                      Value.at("counter").get<std::uint32_t>()},
          Value.at("process").get<std::string>(),
          Value.at("kind").get<std::string>(),
          Value.at("subject").get<std::string>(),
          Value.at("cause").get<std::string>(),
          Value.at("request").get<std::string>()};
}

Json toJson(const Event &Value) {
  return {{"us", Value.Stamp.Microseconds}, {"counter", Value.Stamp.Counter},
          {"process", Value.Process},       {"kind", Value.Kind},
          {"subject", Value.Subject},       {"cause", Value.Cause},
          {"request", Value.Request}};
}

struct Collected {
  std::set<Event> Events; // several entries may give the same event
  std::set<std::string> Silent;
  std::size_t Answers = 0;
  Error Last;
};

void collect(VentureClient &Venture, const std::string &Address,
             Collected &All) {
  JsonAnswer Answer = Venture.callEntry(Address, "GET", "/operator/events");
  if (const Error *Failure = errorOf(Answer)) {
    All.Last = *Failure;
    return;
  }
  const Json &Body = std::get<0>(Answer);
  Outcome<std::vector<Event>> Events = capture([&] { return eventsOf(Body); });
  if (const Error *Failure = errorOf(Events)) {
    All.Last = {Failure->Code, Address + ": " + Failure->Message};
    return;
  }
  ++All.Answers;
  for (const Json &Name : Body.value("silent", Json::array()))
    if (Name.is_string())
      All.Silent.insert(Name.get<std::string>());
  for (Event &Each : std::get<0>(Events))
    All.Events.insert(std::move(Each));
  for (const Event &Each : All.Events)
    All.Silent.erase(Each.Process);
}

} // namespace

Result<std::vector<Event>> eventsOf(const Json &Answer) {
  try {
    std::vector<Event> Events;
    for (const Json &Each : Answer.at("events"))
      Events.push_back(eventOf(Each));
    return Events;
  } catch (const Json::exception &Caught) {
    return fail(ResultCode::BadAnswer, std::string("events: ") + Caught.what());
  }
}

std::string textLine(const Event &Value) {
  std::string Line = timeText(Value.Stamp.Microseconds) + "+" +
                     std::to_string(Value.Stamp.Counter) + " " + Value.Process +
                     " " + Value.Kind;
  if (!Value.Subject.empty())
    Line += " " + Value.Subject;
  if (!Value.Cause.empty())
    Line += " (" + Value.Cause + ")";
  if (!Value.Request.empty())
    Line += " [" + Value.Request + "]";
  return Line;
}

Json traceOf(const std::vector<Event> &Events) {
  std::map<std::string, int> Processes;
  for (const Event &Each : Events)
    Processes.emplace(Each.Process, 0);
  Json Items = Json::array();
  int Last = 0;
  for (auto &[Name, Number] : Processes) {
    Number = ++Last;
    Items.push_back({{"name", "process_name"},
                     {"ph", "M"},
                     {"pid", Number},
                     {"tid", 0},
                     {"args", {{"name", Name}}}});
  }
  for (const Event &Each : Events)
    Items.push_back({{"name", Each.Kind},
                     {"cat", "samphirehill"},
                     {"ph", "i"},
                     {"s", "p"},
                     {"ts", Each.Stamp.Microseconds},
                     {"pid", Processes.at(Each.Process)},
                     {"tid", 0},
                     {"args",
                      {{"subject", Each.Subject},
                       {"cause", Each.Cause},
                       {"request", Each.Request},
                       {"counter", Each.Stamp.Counter}}}});
  return {{"traceEvents", Items}, {"displayTimeUnit", "ms"}};
}

Report reportTimeline(VentureClient &Venture, TimelineFormat Format,
                      const Say &Tell) {
  Collected All;
  for (const std::string &Address : Venture.options().Entries) {
    collect(Venture, Address, All);
    if (All.Answers > 0 && All.Silent.empty())
      break;
  }
  Report Result;
  if (All.Answers == 0) {
    Result.Failure = All.Last;
    return Result;
  }
  std::vector<Event> Events(All.Events.begin(), All.Events.end());
  Json Rows = Json::array();
  for (const Event &Each : Events)
    Rows.push_back(toJson(Each));
  Result.Fields = {{"events", std::move(Rows)}, {"silent", All.Silent}};
  if (Format == TimelineFormat::Trace) {
    Json Trace = traceOf(Events);
    Trace["otherData"] = {{"silent", All.Silent}};
    Tell(Trace.dump(-1, ' ', false, Json::error_handler_t::replace));
    return Result;
  }
  for (const Event &Each : Events)
    Tell(textLine(Each));
  for (const std::string &Name : All.Silent)
    Tell("no events from " + Name + ": it does not answer");
  return Result;
}

} // namespace samphirehill
