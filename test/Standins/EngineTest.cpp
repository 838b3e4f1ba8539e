#include "standin-engine/Engine.h"

#include "Standins/StandinFixture.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <vector>

namespace samphirehill::standin {
namespace {

class EngineTest : public StandinFixture {
protected:
  EngineTest() {
    Options.Id = "e1";
    Options.LoadMs = 1;
    Options.WarmMs = 1;
    Options.MsPerToken = 1;
    Options.StatusLagMs = 10;
    Options.Cache.EventDelay = milliseconds(0);
  }

  void start() {
    Engines.push_back(std::make_unique<Engine>(Io, Options));
    serve([Served = Engines.back().get()](const auto &From, const auto &To) {
      Served->handle(From, To);
    });
  }

  static Json loadOrder() {
    return {{"orderId", "o1"}, {"fence", 3},        {"type", "load"},
            {"model", "m"},    {"version", "1"},    {"group", "g"},
            {"generation", 1}, {"members", {"e1"}}, {"rank", 0}};
  }

  // Starts the engine and loads a model until it is in State.
  void startIn(const std::string &State) {
    start();
    ASSERT_EQ(status(call("POST", "/orders", loadOrder())), 200);
    while (body(call("GET", "/status"))["state"] != State)
      ASSERT_FALSE(HasFailure());
  }

  static Json request(const std::string &Id, int MaxTokens,
                      const std::string &Prompt = "hello") {
    return {{"requestId", Id}, {"prompt", Prompt}, {"maxTokens", MaxTokens}};
  }

  Outcome<HttpResponse> generate(const Json &Body) {
    return call("POST", "/generate", Body);
  }

  // Starts a request whose body is collected in Into; Ended is set at its end.
  void stream(const Json &Body, std::string &Into, bool &Ended) {
    HttpRequest Request;
    Request.Method = "POST";
    Request.Url = "http://" + Address + "/generate";
    Request.Body = Body.dump();
    HttpStreamCallbacks Callbacks;
    Callbacks.OnData = [&Into](const std::string &Data) { Into += Data; };
    Callbacks.OnDone = [&Ended](const auto &) { Ended = true; };
    Client.stream(Request, Callbacks);
  }

  static std::vector<Json> lines(const std::string &Body) {
    std::vector<Json> Lines;
    std::istringstream Text(Body);
    for (std::string Line; std::getline(Text, Line);)
      Lines.push_back(Json::parse(Line, nullptr, false));
    return Lines;
  }

  static std::vector<std::string> tokens(const std::vector<Json> &Lines) {
    std::vector<std::string> Tokens;
    for (const Json &Line : Lines)
      if (Line.contains("token"))
        Tokens.push_back(Line["token"].get<std::string>());
    return Tokens;
  }

  EngineOptions Options;
  // Earlier engines of a test still have timers on Io.
  std::vector<std::unique_ptr<Engine>> Engines;
};

// Guards against a resumed stream that differs from an unbroken one: tests of
// the relay compare the two.
TEST_F(EngineTest, ContinuesSameTokensWhenResumed) {
  startIn("warm");
  auto Whole = lines(std::get<0>(generate(request("a.1", 6))).Body);
  ASSERT_EQ(Whole.size(), 7u);
  EXPECT_EQ(Whole.back()["finishReason"], "length");
  EXPECT_EQ(Whole.back()["count"], 6);
  auto Tokens = tokens(Whole);
  Json Resumed = request("a.2", 6);
  Resumed["resumeTokens"] = {Tokens[0], Tokens[1]};
  auto Rest = lines(std::get<0>(generate(Resumed)).Body);
  EXPECT_EQ(Rest.front()["index"], 2);
  EXPECT_EQ(tokens(Rest),
            std::vector<std::string>(Tokens.begin() + 2, Tokens.end()));
  Resumed["requestId"] = "a.3";
  Resumed["resumeTokens"] = {Tokens[0], "wrong"};
  generate(Resumed);
  EXPECT_EQ(body(call("GET", "/control/counters"))["wrongResumes"], 1);
}

// Guards against a refusal that isn't one: each of these answers says that the
// request was not run.
TEST_F(EngineTest, RefusesWhatItCannotRun) {
  startIn("warm");
  struct Row {
    Json Field;
    int Status;
    const char *Error;
  };
  for (const Row &Case : {Row{{{"bootId", "other"}}, 409, "boot-id"},
                          Row{{{"model", "other"}}, 409, "model"},
                          Row{{{"version", "2"}}, 409, "model"},
                          Row{{{"adapter", "other"}}, 409, "adapter"},
                          Row{{{"deadlineMs", 0}}, 409, "deadline"},
                          Row{{{"prompt", 5}}, 400, "bad-request"}}) {
    Json Body = request("a.1", 2);
    Body.update(Case.Field);
    auto Answer = generate(Body);
    EXPECT_EQ(status(Answer), Case.Status) << Case.Error;
    EXPECT_EQ(body(Answer)["error"], Case.Error);
    EXPECT_EQ(body(Answer)["run"], "not run");
  }
  setFaults({{"groupWhole", false}});
  EXPECT_EQ(body(generate(request("a.1", 2)))["error"], "group");
  EXPECT_EQ(body(call("GET", "/control/counters"))["streams"], 0);
}

// Guards against a stand-in that forgives overload while cold, which would hide
// violations of the cold limit.
TEST_F(EngineTest, CrashesWhenColdLimitIsExceeded) {
  Options.WarmMs = 60'000;
  Options.ColdLimit = 2;
  Options.MsPerToken = 20;
  startIn("cold");
  std::string Boot = body(call("GET", "/status"))["bootId"];
  std::string Bodies[3];
  bool Ended[3] = {};
  for (int I = 0; I < 2; ++I)
    stream(request("a." + std::to_string(I), 500), Bodies[I], Ended[I]);
  runUntil([&] { return !Bodies[0].empty() && !Bodies[1].empty(); });
  EXPECT_EQ(body(call("GET", "/control/counters"))["crashes"], 0);
  stream(request("a.2", 500), Bodies[2], Ended[2]);
  runUntil([&] { return Ended[0] && Ended[1] && Ended[2]; });
  Json Counters = body(call("GET", "/control/counters"));
  EXPECT_EQ(Counters["crashes"], 1);
  EXPECT_EQ(Counters["highestCold"], 3);
  Json Status = body(call("GET", "/status"));
  EXPECT_EQ(Status["state"], "idle");
  EXPECT_NE(Status["bootId"], Boot);
}

// Guards against limits of the warm state that are silently exceeded.
TEST_F(EngineTest, RefusesWorkAboveWarmLimit) {
  Options.WarmLimit = 1;
  Options.MsPerToken = 20;
  startIn("warm");
  std::string First;
  bool Ended = false;
  stream(request("a.1", 500), First, Ended);
  runUntil([&] { return !First.empty(); });
  EXPECT_EQ(body(call("GET", "/status"))["runningIds"], Json({"a.1"}));
  EXPECT_EQ(status(generate(request("a.2", 1))), 503);
  EXPECT_EQ(body(call("POST", "/cancel", {{"requestId", "a.1"}}))["cancelled"],
            true);
  EXPECT_EQ(body(call("GET", "/status"))["runningIds"], Json::array());
  runUntil([&] { return Ended; });
  EXPECT_EQ(lines(First).back()["finishReason"], "cancelled");
}

// Guards against a paused controller whose old orders are obeyed.
TEST_F(EngineTest, ObeysFenceOnlyWhenItChecksFences) {
  for (bool Checks : {true, false}) {
    Options.ChecksFence = Checks;
    startIn("warm");
    Json Old = {{"orderId", "o2"}, {"fence", 2}, {"type", "unload"}};
    EXPECT_EQ(status(call("POST", "/orders", Old)), Checks ? 409 : 200);
    Json Status = body(call("GET", "/status"));
    EXPECT_EQ(Status["state"], Checks ? "warm" : "idle");
    EXPECT_EQ(Status["fence"], Checks ? 3 : 2);
  }
}

// Guards against an order that is obeyed twice when its answer was lost.
TEST_F(EngineTest, ObeysRepeatedOrderOnce) {
  start();
  setFaults({{"loseOrderAnswers", 1}});
  EXPECT_EQ(status(call("POST", "/orders", loadOrder())), 0);
  EXPECT_EQ(body(call("GET", "/status"))["orderId"], "o1");
  EXPECT_EQ(status(call("POST", "/orders", loadOrder())), 200);
  EXPECT_EQ(body(call("GET", "/control/counters"))["loads"], 1);
}

TEST_F(EngineTest, EndsRequestAtDeadline) {
  Options.MsPerToken = 10'000;
  startIn("warm");
  Json Body = request("a.1", 100);
  Body["deadlineMs"] = 30;
  EXPECT_EQ(lines(std::get<0>(generate(Body)).Body).back()["finishReason"],
            "deadline");
}

// Guards against a cut stream that looks whole, and against faults that don't
// happen: tests of the relay rely on them.
TEST_F(EngineTest, BreaksStreamsOnDemand) {
  startIn("warm");
  setFaults({{"dropStreams", 1}, {"dropAfterTokens", 2}});
  std::string Body;
  bool Ended = false;
  stream(request("a.1", 6), Body, Ended);
  runUntil([&] { return Ended; });
  EXPECT_EQ(lines(Body).size(), 2u);
  setFaults({{"renameChunks", 1}, {"duplicateChunks", 2}});
  auto Lines = lines(std::get<0>(generate(request("a.2", 3))).Body);
  ASSERT_EQ(Lines.size(), 6u);
  EXPECT_EQ(Lines[0]["requestId"], "foreign.a.2");
  EXPECT_EQ(Lines[2], Lines[3]);
}

TEST_F(EngineTest, SendsChunkOnOtherStreamWhenCrossed) {
  Options.MsPerToken = 5;
  startIn("warm");
  std::string Bodies[2];
  bool Ended[2] = {};
  stream(request("a.0", 40), Bodies[0], Ended[0]);
  stream(request("a.1", 40), Bodies[1], Ended[1]);
  runUntil([&] { return !Bodies[0].empty() && !Bodies[1].empty(); });
  setFaults({{"crossChunks", 1}});
  runUntil([&] { return Ended[0] && Ended[1]; });
  int Foreign = 0;
  for (int I = 0; I < 2; ++I)
    for (const Json &Line : lines(Bodies[I]))
      Foreign += Line["requestId"] != "a." + std::to_string(I);
  EXPECT_EQ(Foreign, 1);
}

TEST_F(EngineTest, CrashesOnPoisonedPrompt) {
  Options.OnCrash = CrashEffect::Cold;
  startIn("warm");
  std::string Boot = body(call("GET", "/status"))["bootId"];
  std::string Body;
  bool Ended = false;
  stream(request("a.1", 5, "say [poison]"), Body, Ended);
  runUntil([&] { return Ended; });
  EXPECT_TRUE(Body.empty());
  Json Status = body(call("GET", "/status"));
  EXPECT_NE(Status["bootId"], Boot);
  EXPECT_EQ(Status["group"], "g");
}

// Guards against a cache whose events don't show what it holds, and against a
// transfer of the KV cache that saves nothing.
TEST_F(EngineTest, ReportsEvictionsAndTakesImportedPrefix) {
  Options.Cache.Blocks = 2;
  startIn("warm");
  std::string Prompt(3 * PrefixBlockBytes, 'x');
  auto Ids = prefixIds(Prompt, "");
  generate(request("a.1", 1, Prompt));
  Json Events = body(call("GET", "/cache-events?after=0"))["events"];
  ASSERT_EQ(Events.size(), 4u);
  EXPECT_EQ(Events[3]["type"], "evicted");
  EXPECT_EQ(Events[3]["prefix"], Ids[2]);
  EXPECT_EQ(status(call("GET", "/kv/" + Ids[2])), 404);
  EXPECT_EQ(body(call("GET", "/kv/" + Ids[1]))["chain"],
            Json({Ids[0], Ids[1]}));
  std::string Other(2 * PrefixBlockBytes, 'y');
  auto OtherIds = prefixIds(Other, "");
  Json Import = {{"prefix", OtherIds[1]},
                 {"model", "m"},
                 {"version", "1"},
                 {"chain", OtherIds}};
  EXPECT_EQ(status(call("PUT", "/kv/" + OtherIds[1], Import)), 200);
  EXPECT_EQ(status(call("GET", "/kv/" + Ids[1])), 404);
  generate(request("a.2", 1, Other));
  EXPECT_EQ(body(call("GET", "/control/counters"))["cachedBlocks"], 2);
}

// Guards against a leader that serves while a member of its group is missing
// (the members' answers are made up here).
TEST_F(EngineTest, BreaksStreamsWhenMemberIsLost) {
  bool Alive = true;
  Options.Platform = "platform";
  Options.MemberCheckMs = 5;
  Options.Fetch = [&Alive](const std::string &Url, auto OnDone) {
    if (Url == "http://platform/instances")
      return OnDone(200, {{"items", {{{"id", "e2"}, {"address", "e2"}}}}});
    if (Url == "http://e2/status")
      return OnDone(Alive ? 200 : 0, {{"instance", "e2"},
                                      {"group", "g"},
                                      {"generation", 1},
                                      {"bootId", "b"},
                                      {"state", "warm"}});
    OnDone(200, {{"loadMs", 1}});
  };
  start();
  Json Order = loadOrder();
  Order["members"] = {"e1", "e2"};
  call("POST", "/orders", Order);
  runUntil([&] { return status(generate(request("a.1", 1))) == 200; });
  std::string Body;
  bool Ended = false;
  stream(request("a.2", 10'000), Body, Ended);
  runUntil([&] { return !Body.empty(); });
  Alive = false;
  runUntil([&] { return Ended; });
  EXPECT_FALSE(lines(Body).back().contains("done"));
  EXPECT_EQ(body(generate(request("a.3", 1)))["error"], "group");
}

} // namespace
} // namespace samphirehill::standin
