// Tests of the store client and of watches against a scripted store.
#include "Store.h"
#include "Serving/Loopback.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace samphirehill::platform {
namespace {

using nlohmann::json;
using serving::runUntil;
using serving::ScriptedConnection;
using serving::ScriptedServer;

std::string reply(int Status, const json &Body) {
  std::string Text = Body.dump();
  return "HTTP/1.1 " + std::to_string(Status) +
         " X\r\nContent-Length: " + std::to_string(Text.size()) + "\r\n\r\n" +
         Text;
}

// Like reply, from a store in Era.
std::string replyIn(int Era, int Status, const json &Body) {
  std::string Text = reply(Status, Body);
  return Text.insert(Text.find("\r\n"),
                     "\r\nStore-Era: " + std::to_string(Era));
}

json object(const std::string &Name, std::int64_t Revision, int Value) {
  return {{"metadata", {{"name", Name}, {"revision", Revision}}},
          {"spec", Value}};
}

class StoreTest : public testing::Test {
protected:
  StoreTest() : Timers(Context), Pool(Context, Timers) {}

  StoreAccess access(const ScriptedServer &Server) {
    return {Pool, Timers, {"127.0.0.1", Server.port()}, Metrics};
  }

  // Starts a watch whose handlers record in Received: "all" before the objects
  // of a list, "name=value" for an object, and "-name" for a removed object.
  void startWatch(const ScriptedServer &Server) {
    Watch = std::make_unique<StoreWatch>(
        access(Server),
        WatchSettings{"things", [] { return milliseconds(200); }, {}},
        WatchHandlers{[this](const auto &All, bool AfterOutage) {
                        Received.push_back(AfterOutage ? "all after outage"
                                                       : "all");
                        for (const serving::StoredObject &Listed : All)
                          Received.push_back(Listed.Name + "=" + Listed.Value);
                      },
                      [this](const serving::StoredObject &Object) {
                        Received.push_back(Object.Name + "=" + Object.Value);
                      },
                      [this](const serving::StoredObject &Object) {
                        Received.push_back("-" + Object.Name);
                      }});
    Watch->start();
  }

  // Waits until Part has been recorded; returns false if it isn't in time.
  bool awaitReceived(const std::string &Part) {
    return runUntil(Context, [&] {
      return std::find(Received.begin(), Received.end(), Part) !=
             Received.end();
    });
  }

  asio::io_context Context;
  TimerService Timers;
  serving::ExchangePool Pool;
  serving::ServingMetrics Metrics;
  std::unique_ptr<StoreWatch> Watch;
  std::vector<std::string> Received;
};

TEST_F(StoreTest, ListsPagesThenFollowsChanges) {
  ScriptedServer Server(Context, [&](ScriptedConnection &To, int Number) {
    if (Number == 1)
      To.send(reply(200, {{"items", {object("a", 1, 10)}},
                          {"truncated", true},
                          {"store_revision", 5}}));
    if (Number == 2)
      To.send(reply(200, {{"items", {object("b", 2, 20)}},
                          {"truncated", false},
                          {"store_revision", 5}}));
    if (Number == 3)
      To.send(
          reply(200, {{"events",
                       {{{"removed", false}, {"object", object("a", 6, 11)}},
                        {{"removed", true}, {"object", object("b", 7, 20)}}}},
                      {"store_revision", 7}}));
  });
  startWatch(Server);
  ASSERT_TRUE(awaitReceived("-b"));
  EXPECT_EQ(Received,
            (std::vector<std::string>{"all", "a=10", "b=20", "a=11", "-b"}));
  ASSERT_TRUE(runUntil(Context, [&] { return Server.requests() == 4; }));
  EXPECT_NE(Server.Heads[1].find("after=a"), std::string::npos);
  EXPECT_NE(Server.Heads[2].find("watch=5"), std::string::npos);
  EXPECT_NE(Server.Heads[3].find("watch=7"), std::string::npos);
  EXPECT_NE(Metrics.text().find("store_calls_total{call=\"list\"} 2"),
            std::string::npos);
}

// Guards against a change that is made between two pages of a list and never
// seen, such as an engine that begins to leave (DRAIN).
TEST_F(StoreTest, IncludesChangesMadeBetweenThePagesOfAList) {
  for (int Gap : {1, 2}) { // after this page
    Received.clear();
    ScriptedServer Server(Context, [&](ScriptedConnection &To, int Number) {
      std::int64_t Revision = Number > Gap ? 6 : 5;
      if (Number <= 3)
        To.send(reply(
            200, {{"items",
                   {object(std::string(1, static_cast<char>('a' + Number - 1)),
                           Number, 10)}},
                  {"truncated", Number < 3},
                  {"store_revision", Revision}}));
      if (Number == 4)
        To.send(reply(
            200,
            {{"events", {{{"removed", false}, {"object", object("a", 6, 11)}}}},
             {"store_revision", 6}}));
    });
    startWatch(Server);
    EXPECT_TRUE(awaitReceived("c=10"));
    EXPECT_EQ(Received,
              (std::vector<std::string>{"all", "a=11", "b=10", "c=10"}));
    ASSERT_TRUE(runUntil(Context, [&] { return Server.requests() == 5; }));
    EXPECT_NE(Server.Heads[3].find("watch=5"), std::string::npos);
    EXPECT_NE(Server.Heads[4].find("watch=6"), std::string::npos);
    Watch.reset();
  }
}

// The list is used even if the store has dropped the changes made while it was
// read; then it is read again, at growing intervals.
TEST_F(StoreTest, UsesListWhenChangesBetweenItsPagesAreGone) {
  int Revision = 5;
  std::vector<TimePoint> ListedAt;
  ScriptedServer Server(Context, [&](ScriptedConnection &To, int) {
    const std::string &Head = Server.Heads.back();
    if (Head.find("watch=") != std::string::npos)
      return To.send(reply(410, {}));
    bool First = Head.find("after=") == std::string::npos;
    if (First)
      ListedAt.push_back(Timers.now());
    To.send(reply(200, {{"items", {object(First ? "a" : "b", 1, 10)}},
                        {"truncated", First},
                        {"store_revision", ++Revision}}));
  });
  startWatch(Server);
  EXPECT_TRUE(awaitReceived("b=10"));
  ASSERT_TRUE(runUntil(Context, [&] { return ListedAt.size() == 4; }));
  EXPECT_GE(toMilliseconds(ListedAt[3] - ListedAt[2]), 300);
}

// After each kind of failed or unreadable answer to a watch, the watch lists or
// asks again, so that no change is lost.
TEST_F(StoreTest, ListsAgainAfterEachFault) {
  struct Case {
    const char *Name;
    ScriptedServer::Script Fault;
  };
  const Case Cases[] = {
      {"history gone",
       [](ScriptedConnection &To, int) { To.send(reply(410, {})); }},
      {"unavailable",
       [](ScriptedConnection &To, int) { To.send(reply(503, {})); }},
      {"too many calls",
       [](ScriptedConnection &To, int) { To.send(reply(429, {})); }},
      {"reset", [](ScriptedConnection &To, int) { To.reset(); }},
      {"silent", [](ScriptedConnection &, int) {}},
      {"unreadable", [](ScriptedConnection &To, int) {
         To.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{x}");
       }}};
  for (const Case &Tested : Cases) {
    Received.clear();
    ScriptedServer Server(Context, [&](ScriptedConnection &To, int Number) {
      if (Number == 2)
        return Tested.Fault(To, Number);
      bool IsWatch =
          Number > 1 && Server.Heads.back().find("watch=") != std::string::npos;
      if (IsWatch)
        To.send(reply(
            200,
            {{"events", {{{"removed", false}, {"object", object("a", 9, 2)}}}},
             {"store_revision", 9}}));
      else
        To.send(reply(200, {{"items", {object("a", 1, Number == 1 ? 1 : 2)}},
                            {"store_revision", 5}}));
    });
    startWatch(Server);
    EXPECT_TRUE(awaitReceived("a=2")) << Tested.Name;
    Watch.reset();
  }
}

// Kept connections may stay open but never answer again, while new connections
// work.
TEST_F(StoreTest, FollowsChangesAgainSoonAfterKeptConnectionsGoSilent) {
  std::vector<ScriptedConnection *> KeptConnections;
  bool KeptAreSilent = false;
  int Value = 1;
  ScriptedServer Server(Context, [&](ScriptedConnection &To, int Number) {
    if (KeptAreSilent &&
        std::find(KeptConnections.begin(), KeptConnections.end(), &To) !=
            KeptConnections.end())
      return;
    bool IsWatch = Server.Heads.back().find("watch=") != std::string::npos;
    if (IsWatch && !KeptAreSilent)
      return; // waits for a change
    json Changed = object("a", 5 + Value, Value);
    if (IsWatch)
      To.send(
          reply(200, {{"events", {{{"removed", false}, {"object", Changed}}}},
                      {"store_revision", 5 + Value}}));
    else if (Number <= 6)
      To.send(reply(200, Changed));
    else
      To.send(
          reply(200, {{"items", {Changed}}, {"store_revision", 5 + Value}}));
  });
  int ReadCount = 0;
  serving::ObjectStore Store = objectStore(access(Server));
  for (int Call = 0; Call < 6; ++Call)
    Store.Read("things", "a", [&](const auto &) { ++ReadCount; });
  ASSERT_TRUE(runUntil(Context, [&] { return ReadCount == 6; }));
  startWatch(Server);
  ASSERT_TRUE(awaitReceived("a=1"));
  ASSERT_TRUE(runUntil(Context, [&] {
    return Server.Heads.back().find("watch=") != std::string::npos;
  }));
  for (const auto &Connection : Server.connections())
    KeptConnections.push_back(Connection.get());
  KeptAreSilent = true;
  Value = 2;
  TimePoint Start = Timers.now();
  EXPECT_TRUE(awaitReceived("a=2"));
  // Limit: the watch's wait (200 ms), its slack (600 ms) and a call to the
  // store.
  EXPECT_LT(toMilliseconds(Timers.now() - Start), 1'500);
}

TEST_F(StoreTest, OpensNewConnectionWhenKeptOneWasIdleTooLong) {
  ScriptedServer Server(Context, [&](ScriptedConnection &To, int) {
    To.send(reply(200, object("a", 1, 1)));
  });
  serving::ObjectStore Store = objectStore(access(Server));
  int ReadCount = 0;
  auto ReadOnce = [&] {
    Store.Read("things", "a", [&](const auto &) { ++ReadCount; });
    runUntil(Context, [&, Before = ReadCount] { return ReadCount > Before; });
  };
  ReadOnce();
  ReadOnce();
  EXPECT_EQ(Server.connections().size(), 1u);
  TimePoint Start = Timers.now();
  runUntil(Context, [&] { return Timers.now() - Start > milliseconds(1'050); });
  ReadOnce();
  EXPECT_EQ(Server.connections().size(), 2u);
  EXPECT_TRUE(
      runUntil(Context, [&] { return Server.connections()[0]->PeerClosed; }));
}

TEST_F(StoreTest, ListsAllPagesOfAnObjectStore) {
  ScriptedServer Server(Context, [&](ScriptedConnection &To, int Number) {
    To.send(reply(200, {{"items", {object(Number == 1 ? "a b" : "c", 1, 10)}},
                        {"truncated", Number == 1},
                        {"store_revision", 5}}));
  });
  std::vector<std::string> Names;
  objectStore(access(Server)).List("things", [&](const auto &Answer) {
    ASSERT_FALSE(errorOf(Answer));
    for (const serving::StoredObject &Listed : std::get<0>(Answer))
      Names.push_back(Listed.Name);
  });
  ASSERT_TRUE(runUntil(Context, [&] { return !Names.empty(); }));
  EXPECT_EQ(Names, (std::vector<std::string>{"a b", "c"}));
  EXPECT_NE(Server.Heads.at(1).find("?after=a%20b HTTP"), std::string::npos);
}

TEST_F(StoreTest, DistinguishesUnknownWriteOutcomesFromFailedWrites) {
  struct Case {
    int Status; // 0: the connection is reset
    ResultCode Code;
  };
  const Case Cases[] = {{409, ResultCode::Conflict},
                        {503, ResultCode::PlatformUnavailable},
                        {429, ResultCode::PlatformRateLimited},
                        {0, ResultCode::UnknownWriteOutcome}};
  for (const Case &Tested : Cases) {
    ScriptedServer Server(Context, [&](ScriptedConnection &To, int) {
      if (Tested.Status == 0)
        To.reset();
      else
        To.send(reply(Tested.Status, {}));
    });
    std::optional<Outcome<serving::StoredObject>> Result;
    objectStore(access(Server))
        .Write("things", {"a", 3, "1"},
               [&](const Outcome<serving::StoredObject> &Answer) {
                 Result = Answer;
               });
    ASSERT_TRUE(runUntil(Context, [&] { return Result.has_value(); }));
    ASSERT_TRUE(errorOf(*Result)) << Tested.Status;
    EXPECT_EQ(errorOf(*Result)->Code, Tested.Code) << Tested.Status;
  }
}

TEST_F(StoreTest, CreatesByPostAndReplacesByPutWithRevision) {
  ScriptedServer Server(Context, [](ScriptedConnection &To, int) {
    To.send(reply(200, object("a", 8, 1)));
  });
  serving::ObjectStore Store = objectStore(access(Server));
  int DoneCount = 0;
  auto Check = [&](const Outcome<serving::StoredObject> &Answer) {
    ASSERT_FALSE(errorOf(Answer));
    EXPECT_EQ(std::get<0>(Answer).Revision, 8);
    ++DoneCount;
  };
  Store.Write("things", {"a", 0, "1"}, Check);
  ASSERT_TRUE(runUntil(Context, [&] { return DoneCount == 1; }));
  Store.Write("things", {"a", 7, "1"}, Check);
  ASSERT_TRUE(runUntil(Context, [&] { return DoneCount == 2; }));
  EXPECT_EQ(Server.Heads[0].rfind("POST /-/objects/things HTTP", 0), 0u);
  EXPECT_EQ(Server.Heads[1].rfind("PUT /-/objects/things/a HTTP", 0), 0u);
  EXPECT_NE(Server.Heads[1].find("\"revision\":7"), std::string::npos);
}

TEST_F(StoreTest, RemovesAtTheRevision) {
  struct {
    int Status;
    std::optional<ResultCode> Code;
  } const Cases[] = {{200, std::nullopt},
                     {404, ResultCode::NotFound},
                     {409, ResultCode::Conflict},
                     {503, ResultCode::PlatformUnavailable}};
  for (const auto &Tested : Cases) {
    ScriptedServer Server(Context, [&](ScriptedConnection &To, int) {
      To.send(reply(Tested.Status, {}));
    });
    std::optional<std::optional<Error>> Result;
    objectStore(access(Server))
        .Remove("things", {"a b", 7, ""},
                [&](const std::optional<Error> &Failed) { Result = Failed; });
    ASSERT_TRUE(runUntil(Context, [&] { return Result.has_value(); }));
    EXPECT_EQ(Server.Heads[0].rfind(
                  "DELETE /-/objects/things/a%20b?revision=7 HTTP", 0),
              0u);
    ASSERT_EQ(Result->has_value(), Tested.Code.has_value()) << Tested.Status;
    if (Tested.Code) {
      EXPECT_EQ((*Result)->Code, *Tested.Code);
    }
  }
}

// Guards against a write that seems to be done, or refused, as an earlier one
// was: answers of the store name no call.
TEST_F(StoreTest, TakesNoCopyOfAnAnswerForThatOfTheNextWrite) {
  for (bool FirstIsDone : {true, false}) {
    const std::string Done = reply(200, object("a", 8, 1));
    const std::string Refused = reply(409, {});
    const std::string First = FirstIsDone ? Done : Refused;
    std::unique_ptr<ScriptedServer> Server;
    Server = std::make_unique<ScriptedServer>(
        Context, [&](ScriptedConnection &To, int Number) {
          if (Number == 1)
            return To.send(First);
          Server->connections()[0]->send(First);
          To.send(FirstIsDone ? Refused : Done);
        });
    serving::ObjectStore Store = objectStore(access(*Server));
    std::vector<bool> Results;
    for (std::size_t Call = 0; Call < 2; ++Call) {
      Store.Write("things", {"a", 7, "1"},
                  [&](const Outcome<serving::StoredObject> &Answer) {
                    Results.push_back(!errorOf(Answer));
                  });
      ASSERT_TRUE(runUntil(Context, [&] { return Results.size() > Call; }));
    }
    EXPECT_EQ(Results, (std::vector<bool>{FirstIsDone, !FirstIsDone}));
  }
}

// Guards against watches that go on from a revision that the restored store
// gives out again, and miss what was written below it (CONFIG).
TEST_F(StoreTest, ListsAgainWhenRestoredStoreHasPassedTheRevision) {
  ScriptedServer Server(Context, [&](ScriptedConnection &To, int Number) {
    bool IsList = Server.Heads.back().find("watch=") == std::string::npos;
    if (IsList && Number == 1)
      return To.send(replyIn(
          1, 200, {{"items", {object("a", 5, 1)}}, {"store_revision", 5}}));
    if (Number == 2)
      return To.reset(); // the store goes away
    if (IsList)
      return To.send(replyIn(
          2, 200, {{"items", {object("a", 4, 2)}}, {"store_revision", 9}}));
    To.send(
        replyIn(2, 200, {{"events", json::array()}, {"store_revision", 9}}));
  });
  startWatch(Server);
  EXPECT_TRUE(awaitReceived("a=2"));
  EXPECT_EQ(Received, (std::vector<std::string>{"all", "a=1",
                                                "all after outage", "a=2"}));
}

TEST_F(StoreTest, TakesNoAnswerOfAnEarlierEra) {
  ScriptedServer Server(Context, [&](ScriptedConnection &To, int Number) {
    int Era = Number == 3 ? 1 : 2; // late
    bool IsList = Server.Heads.back().find("watch=") == std::string::npos;
    if (IsList)
      return To.send(replyIn(
          Era, 200,
          {{"items", {object("a", 4, Number)}}, {"store_revision", 9}}));
    if (Number == 2)
      return To.send(replyIn(
          3, 200,
          {{"events", {{{"removed", false}, {"object", object("a", 9, 0)}}}},
           {"store_revision", 9}}));
  });
  startWatch(Server);
  EXPECT_TRUE(runUntil(Context, [&] { return Server.requests() >= 4; }));
  EXPECT_EQ(Received, (std::vector<std::string>{"all", "a=1"}));
}

TEST_F(StoreTest, ListsFromTheStartWhenRestoredBetweenThePages) {
  ScriptedServer Server(Context, [&](ScriptedConnection &To, int Number) {
    if (Server.Heads.back().find("watch=") != std::string::npos)
      return;
    bool First = Server.Heads.back().find("after=") == std::string::npos;
    To.send(replyIn(Number == 1 ? 1 : 2, 200,
                    {{"items", {object(First ? "a" : "b", 1, Number)}},
                     {"truncated", First},
                     {"store_revision", 5}}));
  });
  startWatch(Server);
  EXPECT_TRUE(awaitReceived("b=4"));
  EXPECT_EQ(Received,
            (std::vector<std::string>{"all after outage", "a=3", "b=4"}));
}

// What a write in an earlier era has acknowledged may be gone.
TEST_F(StoreTest, DoesNotKnowTheOutcomeOfAWriteAnsweredInAnEarlierEra) {
  int Era = 2;
  ScriptedServer Server(Context, [&](ScriptedConnection &To, int) {
    To.send(replyIn(Era, 200, object("a", 4, 1)));
  });
  serving::ObjectStore Store = objectStore(access(Server));
  std::vector<Outcome<serving::StoredObject>> Results;
  for (int Next : {2, 1}) {
    Era = Next;
    std::size_t Before = Results.size();
    Store.Write("things", {"a", 3, "1"},
                [&](const auto &Done) { Results.push_back(Done); });
    ASSERT_TRUE(runUntil(Context, [&] { return Results.size() > Before; }));
  }
  EXPECT_FALSE(errorOf(Results[0]));
  ASSERT_TRUE(errorOf(Results[1]));
  EXPECT_EQ(errorOf(Results[1])->Code, ResultCode::UnknownWriteOutcome);
}

} // namespace
} // namespace samphirehill::platform
