// Tests of calls to upstreams that send an answer too many, against scripted
// upstreams that decide what each connection carries.
#include "Daemon/RecordWorld.h"
#include "Serving/Loopback.h"
#include "samphirehill/Daemon/PlainCall.h"

#include <fmt/format.h>

namespace samphirehill {
namespace {

using serving::ScriptedConnection;
using serving::ScriptedServer;
using standin::Json;

std::string answer(const std::string &Status, const std::string &Body,
                   const std::string &Headers = {}) {
  return fmt::format("HTTP/1.1 {}\r\n{}Content-Length: {}\r\n\r\n{}", Status,
                     Headers, Body.size(), Body);
}

std::string echo(const std::string &Id) {
  return "X-Request-Id: " + Id + "\r\n";
}

// Returns the attempt id in a request to an upstream.
std::string attemptOf(const std::string &Request) {
  const std::string Name = "X-Request-Id: ";
  std::size_t At = Request.find(Name);
  if (At != std::string::npos)
    return Request.substr(At + Name.size(),
                          Request.find('\r', At) - At - Name.size());
  Json Body =
      Json::parse(Request.substr(Request.find("\r\n\r\n") + 4), nullptr, false);
  return Body.is_object() ? Body.value("requestId", "") : "";
}

class UpstreamCopiesTest : public RecordWorld {
protected:
  // The status that the upstream answers is Status, for the calls /status and
  // /cancel; Script has the others.
  UpstreamCopiesTest() : RecordWorld(1) {
    Status = {{"bootId", Boot.str()}, {"runningIds", Json::array()}};
    Upstream = std::make_unique<ScriptedServer>(
        Io, [this](ScriptedConnection &To, int) {
          const std::string &Head = Upstream->Heads.back();
          bool Control = Head.starts_with("GET /status") ||
                         Head.starts_with("POST /cance");
          if (Control)
            return Controls(To);
          Attempts.push_back(attemptOf(Head));
          Script(To, static_cast<int>(Attempts.size()));
        });
    Name = UpstreamId("booking-" + process().Shared.Config.Entry.str());
    UpstreamStatus Moved = process().Directory.find(Name)->Status;
    Moved.Address = "127.0.0.1:" + std::to_string(Upstream->port());
    process().Directory.put(Moved, process().Shared.Timers.now(),
                            seconds(3600));
  }

  Process &process() { return *Entries[0]; }

  // Sends a repeatable call to the service and returns its result.
  PlainResult get() {
    PlainRequest Plain;
    Plain.Of = ServiceId("booking");
    Plain.Organisation = OrganisationId("port-louis");
    Plain.Method = "GET";
    Plain.Path = "/seats";
    Plain.Deadline = process().Shared.Timers.now() + seconds(3);
    std::optional<PlainResult> Result;
    PlainCall::run(process().parts(), Plain,
                   [&](PlainResult Value) { Result = std::move(Value); });
    runUntil([&] { return Result.has_value(); });
    return Result.value_or(PlainFailure{});
  }
  std::string bodyOf(const PlainResult &Result) {
    const auto *Response = std::get_if<HttpResponse>(&Result);
    return Response ? Response->Body
                    : std::get<PlainFailure>(Result).Failure.Message;
  }

  // Sends a prompt to the upstream and returns the caller's connection, after
  // the end.
  Ask complete() {
    auto Exchange = std::make_shared<FakeExchange>("");
    RequestContext Request = request(0, Exchange);
    Request.Kind = RequestKind::Completion;
    Request.Completion.Prompt = "p";
    Request.Deadline = Request.Arrived + seconds(3);
    auto Call =
        std::make_shared<ModelCall>(process().parts(), std::move(Request),
                                    [Exchange] { ++Exchange->Ends; });
    Call->start();
    runUntil([&] { return Exchange->Answers > 0; });
    return Exchange;
  }
  // The whole answer of an engine to attempt Id.
  std::string stream(const std::string &Id) const {
    Json Token = {{"requestId", Id}, {"index", 0}, {"token", "t"}};
    Json End = {{"requestId", Id},
                {"done", true},
                {"finishReason", "stop"},
                {"count", 1}};
    return answer("200 OK", Token.dump() + "\n" + End.dump() + "\n");
  }
  static std::string refusal(const std::string &Status,
                             const std::string &Reason, const std::string &Id) {
    return answer(
        Status,
        Json{{"error", Reason}, {"run", "not run"}, {"requestId", Id}}.dump());
  }

  Json Status;
  std::function<void(ScriptedConnection &)> Controls =
      [this](ScriptedConnection &To) {
        To.send(answer("200 OK", Status.dump()));
      };
  std::function<void(ScriptedConnection &, int)> Script;
  std::unique_ptr<ScriptedServer> Upstream;
  UpstreamId Name;
  std::vector<std::string> Attempts; // ids, of the calls that Script answers
};

// Guards against a caller who gets the answer to an earlier call.
TEST_F(UpstreamCopiesTest, TakesNoCopyOfAnAnswerWithoutIdForTheNext) {
  const std::string First = answer("200 OK", "one");
  Script = [&](ScriptedConnection &To, int Number) {
    if (Number == 1)
      return To.send(First);
    Upstream->connections()[0]->send(First);
    To.send(answer("200 OK", "two"));
  };
  EXPECT_EQ(bodyOf(get()), "one");
  EXPECT_EQ(bodyOf(get()), "two");
  EXPECT_EQ(Attempts.size(), 2u);
}

// Guards against a refusal that is untrue: the service runs the call.
TEST_F(UpstreamCopiesTest, TakesNoCopyOfARefusalWithoutIdForTheNext) {
  const std::string Refusal =
      answer("503 Full", R"({"error":"overloaded","run":"not run"})");
  Script = [&](ScriptedConnection &To, int Number) {
    if (Number == 1)
      return To.send(Refusal);
    Upstream->connections()[0]->send(Refusal);
    To.send(answer("200 OK", "ran"));
  };
  EXPECT_EQ(bodyOf(get()), "ran");
  EXPECT_EQ(Attempts.size(), 2u);
}

// Guards against `not run` for a call that was sent twice under one id, as its
// connection was closed before an answer: only the second send is refused.
TEST_F(UpstreamCopiesTest, SaysMayHaveRunWhenOnlyTheSecondSendIsRefused) {
  for (bool Model : {false, true}) {
    SCOPED_TRACE(Model ? "engine" : "service");
    Attempts.clear();
    Script = [&](ScriptedConnection &To, int Number) {
      const std::string &Id = Attempts.back();
      if (Number == 1)
        return To.send(Model ? stream(Id) : answer("200 OK", "x", echo(Id)));
      if (Number == 2)
        return To.close();
      if (Model)
        return To.send(refusal("503 Full", "overloaded", Id));
      To.send(answer("503 Full", R"({"run":"not run"})", echo(Id)));
    };
    auto Code = [&] {
      if (Model)
        return complete()->code();
      PlainResult Result = get();
      const auto *No = std::get_if<PlainFailure>(&Result);
      return No ? static_cast<int>(No->Failure.Code) : 0;
    };
    EXPECT_EQ(Code(), 0);
    EXPECT_EQ(Code(), static_cast<int>(ResultCode::UpstreamLost));
    std::set<std::string> Ids(Attempts.begin(), Attempts.end());
    EXPECT_EQ(Ids.size(), Attempts.size());
  }
}

// Guards against what an engine stated earlier and is not true now.
TEST_F(UpstreamCopiesTest, TakesNoNoticeFromARefusalOfAnotherAttempt) {
  Script = [&](ScriptedConnection &To, int Number) {
    if (Number == 2)
      To.send(refusal("409 No", "group", Attempts[0]));
    To.send(stream(Attempts.back()));
  };
  EXPECT_EQ(complete()->code(), 0);
  EXPECT_EQ(complete()->code(), 0);
  EXPECT_EQ(process().Directory.find(Name)->HeldOffUntil, TimePoint());
}

// Guards against a credit that is given back while its call runs: the copy of
// an earlier status does not have the call yet.
TEST_F(UpstreamCopiesTest, KeepsCreditWhenAnEarlierStatusIsCopied) {
  const std::string Earlier = answer("200 OK", Status.dump());
  int Asked = 0;
  bool Running = true;
  Controls = [&](ScriptedConnection &To) {
    if (Upstream->Heads.back().starts_with("POST"))
      return To.send(answer("200 OK", R"({"cancelled":true})"));
    ++Asked;
    Upstream->connections()[0]->send(Earlier);
    Status["runningIds"] = Running ? Json::array({"r"}) : Json::array();
    if (Asked > 1)
      To.send(answer("200 OK", Status.dump()));
  };
  bool Seen = false;
  process().Shared.Http.send(
      statusRequest(process().Directory.find(Name)->Status.Address, seconds(1)),
      [&](const auto &) { Seen = true; });
  runUntil([&] { return Seen; });
  Grant Held;
  Held.Upstream = Name;
  Held.Address = process().Directory.find(Name)->Status.Address;
  Held.Held.Boot = Boot;
  process().Calls.abandon(Held, RequestId("r"),
                          process().Shared.Timers.now() + seconds(30));
  runUntil([&] { return Asked == 4; });
  EXPECT_EQ(process().Calls.count(), 1u);
  Running = false;
  runUntil([&] { return process().Calls.count() == 0; });
}

} // namespace
} // namespace samphirehill
