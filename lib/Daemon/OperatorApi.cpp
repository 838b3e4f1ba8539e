#include "samphirehill/Daemon/OperatorApi.h"

#include "peer.pb.h"
#include "samphirehill/Daemon/CompletionApi.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

constexpr Duration EventsTimeout = seconds(2);

void respondJson(HttpExchange &Exchange, int Status, const Json &Body) {
  Exchange.respond(Status, {{"Content-Type", "application/json"}},
                   Body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

void refuseOperator(HttpExchange &Exchange, ResultCode Code,
                    const std::string &Message) {
  Exchange.respond(httpStatus(Code), {{"Content-Type", "application/json"}},
                   errorBody(Error{Code, Message}));
}

Json toJson(const Event &Value) {
  return {{"us", Value.Stamp.Microseconds}, {"counter", Value.Stamp.Counter},
          {"process", Value.Process},       {"kind", Value.Kind},
          {"subject", Value.Subject},       {"cause", Value.Cause},
          {"request", Value.Request}};
}

Event eventOf(const peer::TimelineEvent &Message) {
  return {LogicalTime{Message.clock_us(), Message.clock_counter()},
          Message.process(),
          Message.kind(),
          Message.subject(),
          Message.cause(),
          Message.request()};
}

void fill(peer::TimelineEvent &Message, const Event &Value) {
  Message.set_clock_us(Value.Stamp.Microseconds);
  Message.set_clock_counter(Value.Stamp.Counter);
  Message.set_process(Value.Process);
  Message.set_kind(Value.Kind);
  Message.set_subject(Value.Subject);
  Message.set_cause(Value.Cause);
  Message.set_request(Value.Request);
}

// The versions of the platform and of JSON numbers end there.
constexpr std::uint64_t MaxCounter = (std::uint64_t{1} << 53) - 1;

Json stampJson(const SharedVersion &Stamp) {
  return {{"counter", Stamp.Counter}, {"origin", Stamp.Origin}};
}

// The stamp in Body, nothing if it names none, or an error.
Outcome<std::optional<SharedVersion>> stampOf(const Json &Body) {
  if (!Body.contains("stamp"))
    return std::optional<SharedVersion>();
  const Json &Stamp = Body["stamp"];
  bool Valid = Stamp.is_object() && Stamp.contains("counter") &&
               Stamp["counter"].is_number_unsigned() && Stamp["counter"] >= 1 &&
               Stamp["counter"] <= MaxCounter && Stamp.contains("origin") &&
               Stamp["origin"].is_string() &&
               !Stamp["origin"].get_ref<const std::string &>().empty();
  if (!Valid)
    return Error{ResultCode::BadRequest,
                 R"(stamp must be {"counter": 1 to 2^53 - 1, "origin": )"
                 R"("<operator>/<change id>"})"};
  return std::optional<SharedVersion>({Stamp["counter"].get<std::uint64_t>(),
                                       Stamp["origin"].get<std::string>()});
}

void refuseStamp(HttpExchange &Exchange, const std::string &Zone,
                 const SharedVersion &Held) {
  Json Body = Json::parse(errorBody(
      Error{ResultCode::Conflict, "zone " + Zone + " has the stamp " +
                                      std::to_string(Held.Counter) + " of " +
                                      Held.Origin + " in force"}));
  Body["stamp"] = stampJson(Held);
  respondJson(Exchange, httpStatus(ResultCode::Conflict), Body);
}

// Rings of several processes that arrive one after another.
struct Collection {
  std::vector<std::vector<Event>> Rings;
  std::vector<std::string> Silent; // processes that did not answer
  std::size_t Missing = 0;
};

void respondEvents(HttpExchange &Exchange, Collection &Collected) {
  Json Events = Json::array();
  for (const Event &Each : mergeEvents(std::move(Collected.Rings)))
    Events.push_back(toJson(Each));
  respondJson(Exchange, 200,
              {{"events", Events}, {"silent", Collected.Silent}});
}

} // namespace

OperatorApi::OperatorApi(Runtime &Shared, PeerHub &Hub,
                         MembershipController &Membership,
                         PlacementController &Placements,
                         const Catalogue &Texts,
                         const UpstreamDirectory &Directory,
                         std::function<std::size_t()> InProgress)
    : Shared(Shared), Hub(Hub), Membership(Membership), Placements(Placements),
      Texts(Texts), Directory(Directory), InProgress(std::move(InProgress)) {
  Hub.handle(peer::Envelope::kEventsPull, [this](const auto &Message) {
    peer::Envelope Answer;
    peer::EventsPush &Push = *Answer.mutable_events_push();
    for (const Event &Each : this->Shared.Events.events())
      fill(*Push.add_events(), Each);
    Push.set_dropped(this->Shared.Events.dropped());
    this->Hub.respond(Message, std::move(Answer));
  });
}

void OperatorApi::take(const std::shared_ptr<HttpExchange> &Exchange) {
  constexpr std::string_view Bearer = "Bearer ";
  std::string Given = findHeader(Exchange->headers(), "Authorization");
  if (!Given.starts_with(Bearer) ||
      !Shared.Config.OperatorKey.matches(Given.substr(Bearer.size()))) {
    refuseOperator(*Exchange, ResultCode::Unauthenticated,
                   "header Authorization does not hold the operator key");
    return;
  }
  const std::string &Path = Exchange->path();
  bool Post = Exchange->method() == "POST";
  if (!Post && Path == "/operator/status")
    return serveStatus(*Exchange);
  if (!Post && Path == "/operator/events")
    return serveEvents(Exchange);
  if (Post && Path == "/operator/zones")
    return setZone(*Exchange);
  if (Post && Path == "/operator/close")
    return beginClose(*Exchange);
  refuseOperator(*Exchange, ResultCode::NotFound,
                 "nothing is served at " + Exchange->method() + " " + Path);
}

void OperatorApi::serveStatus(HttpExchange &Exchange) {
  Json Versions = Json::object();
  for (const auto &[Key, Held] : Membership.shared().Values)
    Versions[Key.Kind + "/" + Key.Name] = {
        {"counter", Held.Item.Version.Counter},
        {"origin", Held.Item.Version.Origin}};
  Json Zones = Json::object();
  for (const auto &[Key, Held] : Membership.shared().Values)
    if (Key.Kind == ZoneKind)
      Zones[Key.Name] = Held.Item.Value;
  Json Texted = Json::object();
  for (const auto &Text : Texts.texts())
    Texted[Text->operatorName()] = Texts.version(Text->operatorName());
  Json Upstreams = Json::array();
  TimePoint Now = Shared.Timers.now();
  for (const auto &[Name, Each] : Directory.entries())
    Upstreams.push_back(
        {{"name", Name.str()},
         {"service", Each.Status.Info.Service.str()},
         {"zone", Each.Status.Info.Zone.str()},
         {"serving", Each.Status.Serving && Each.ValidUntil > Now},
         {"cold", Each.Status.Cold},
         {"running", Each.Status.Load.Running}});
  Json Entries = Json::array();
  for (const Member &Each : members(Membership.liveness()))
    Entries.push_back({{"entry", Each.Entry.str()},
                       {"zone", Each.Zone.str()},
                       {"health", static_cast<int>(health(Membership.liveness(),
                                                          Each.Entry))}});
  respondJson(Exchange, 200,
              {{"entry", Shared.Config.Entry.str()},
               {"zone", Shared.Config.Zone.str()},
               {"incarnation", Shared.Started},
               {"joined", Membership.joined()},
               {"platformReachable", Membership.platformReachable()},
               {"controls", Placements.controls()},
               {"inForce", Texted},
               {"versions", Versions},
               {"zones", Zones},
               {"closing", isClosing(Membership.shared())},
               {"closeAcknowledged", Membership.closeAcknowledged()},
               {"requestsInProgress", InProgress()},
               {"upstreams", Upstreams},
               {"peers", Entries}});
}

void OperatorApi::serveEvents(const std::shared_ptr<HttpExchange> &Exchange) {
  auto Collected = std::make_shared<Collection>();
  Collected->Rings.push_back(Shared.Events.events());
  std::vector<Member> Peers;
  if (Exchange->query().find("scope=process") == std::string::npos)
    Peers = members(Membership.liveness());
  Collected->Missing = Peers.size();
  if (Peers.empty())
    return respondEvents(*Exchange, *Collected);
  for (const Member &Each : Peers) {
    peer::Envelope Pull;
    Pull.mutable_events_pull();
    Hub.request(Each.Entry, std::move(Pull), EventsTimeout,
                [Exchange, Collected, Name = Each.Entry.str()](
                    const Outcome<peer::Envelope> &Value) {
                  std::vector<Event> Ring;
                  if (const auto *Answer = std::get_if<peer::Envelope>(&Value))
                    for (const auto &Item : Answer->events_push().events())
                      Ring.push_back(eventOf(Item));
                  else
                    Collected->Silent.push_back(Name);
                  Collected->Rings.push_back(std::move(Ring));
                  if (--Collected->Missing == 0)
                    respondEvents(*Exchange, *Collected);
                });
  }
}

void OperatorApi::setZone(HttpExchange &Exchange) {
  Json Body = Json::parse(Exchange.body(), nullptr, false);
  bool Valid = Body.is_object() && Body.contains("zone") &&
               Body["zone"].is_string() && Body.contains("state") &&
               (Body["state"] == "in" || Body["state"] == "out");
  if (!Valid)
    return refuseOperator(
        Exchange, ResultCode::BadRequest,
        R"(body must be {"zone": "<name>", "state": "in" or "out"})");
  std::string Zone = Body["zone"];
  bool Known = false;
  for (const auto &Text : Texts.texts())
    for (const samphirehill::Zone &Each : Text->zones())
      Known = Known || Each.Name.str() == Zone;
  if (!Known)
    return refuseOperator(Exchange, ResultCode::NotFound,
                          "no text in force has a zone \"" + Zone + "\"");
  Outcome<std::optional<SharedVersion>> Given = stampOf(Body);
  if (const Error *Failure = errorOf(Given))
    return refuseOperator(Exchange, Failure->Code, Failure->Message);
  std::string State = Body["state"];
  std::string Operator = "operator";
  if (Body.contains("operator") && Body["operator"].is_string())
    Operator = Body["operator"];
  SharedKey Key{ZoneKind, Zone};
  const std::optional<SharedVersion> &Wanted = std::get<0>(Given);
  SharedVersion Before = heldVersion(Membership.shared(), Key);
  SharedVersion Stamp =
      Wanted ? Membership.setByOperator(SharedItem{Key, *Wanted, State})
             : Membership.setByOperator(Key, State, Operator);
  const SharedItem *Held = heldItem(Membership.shared(), Key);
  // One stamp must never name two values.
  if (Wanted && (Stamp != *Wanted || !Held || Held->Value != State))
    return refuseStamp(Exchange, Zone, Stamp);
  if (Stamp == Before)
    return respondJson(
        Exchange, 200,
        {{"zone", Zone}, {"state", State}, {"stamp", stampJson(Stamp)}});
  Shared.record("zone-" + State, Zone, "operator " + Operator);
  respondJson(Exchange, 200,
              {{"zone", Zone}, {"state", State}, {"stamp", stampJson(Stamp)}});
}

void OperatorApi::beginClose(HttpExchange &Exchange) {
  Json Body = Json::parse(Exchange.body(), nullptr, false);
  std::string Operator = "operator";
  if (Body.is_object())
    Operator = Body.value("operator", Operator);
  Membership.setByOperator({CloseKind, CloseName}, "closing", Operator);
  Shared.record("close", "venture", "operator " + Operator);
  respondJson(Exchange, 200, {{"closing", true}});
}

} // namespace samphirehill
