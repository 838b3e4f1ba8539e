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

  // Starts a watch that notes what it is told, as "name=value" and "-name".
  void watch(const ScriptedServer &Server) {
    Watch = std::make_unique<StoreWatch>(
        access(Server),
        WatchSettings{"things", [] { return milliseconds(200); }, {}},
        WatchHandlers{[this](const auto &All, bool AfterOutage) {
                        Told.push_back(AfterOutage ? "all after outage"
                                                   : "all");
                        for (const serving::StoredObject &Each : All)
                          Told.push_back(Each.Name + "=" + Each.Value);
                      },
                      [this](const serving::StoredObject &Object) {
                        Told.push_back(Object.Name + "=" + Object.Value);
                      },
                      [this](const serving::StoredObject &Object) {
                        Told.push_back("-" + Object.Name);
                      }});
    Watch->start();
  }

  bool told(const std::string &Part) {
    return runUntil(Context, [&] {
      return std::find(Told.begin(), Told.end(), Part) != Told.end();
    });
  }

  asio::io_context Context;
  TimerService Timers;
  serving::ExchangePool Pool;
  serving::ServingMetrics Metrics;
  std::unique_ptr<StoreWatch> Watch;
  std::vector<std::string> Told;
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
  watch(Server);
  ASSERT_TRUE(told("-b"));
  EXPECT_EQ(Told,
            (std::vector<std::string>{"all", "a=10", "b=20", "a=11", "-b"}));
  ASSERT_TRUE(runUntil(Context, [&] { return Server.requests() == 4; }));
  EXPECT_NE(Server.Heads[1].find("after=a"), std::string::npos);
  EXPECT_NE(Server.Heads[2].find("watch=5"), std::string::npos);
  EXPECT_NE(Server.Heads[3].find("watch=7"), std::string::npos);
  EXPECT_NE(Metrics.text().find("store_calls_total{call=\"list\"} 2"),
            std::string::npos);
}

// Each answer of the store that isn't the next change leads to a new list, and
// nothing is lost.
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
  for (const Case &Each : Cases) {
    Told.clear();
    ScriptedServer Server(Context, [&](ScriptedConnection &To, int Number) {
      if (Number == 2)
        return Each.Fault(To, Number);
      bool Asked =
          Number > 1 && Server.Heads.back().find("watch=") != std::string::npos;
      if (Asked)
        To.send(reply(
            200,
            {{"events", {{{"removed", false}, {"object", object("a", 9, 2)}}}},
             {"store_revision", 9}}));
      else
        To.send(reply(200, {{"items", {object("a", 1, Number == 1 ? 1 : 2)}},
                            {"store_revision", 5}}));
    });
    watch(Server);
    EXPECT_TRUE(told("a=2")) << Each.Name;
    Watch.reset();
  }
}

// Kept connections may go silent for good while new ones work.
TEST_F(StoreTest, FollowsChangesAgainSoonAfterKeptConnectionsGoSilent) {
  std::vector<ScriptedConnection *> Silent;
  bool Mute = false;
  int Value = 1;
  ScriptedServer Server(Context, [&](ScriptedConnection &To, int Number) {
    if (Mute && std::find(Silent.begin(), Silent.end(), &To) != Silent.end())
      return;
    bool Watches = Server.Heads.back().find("watch=") != std::string::npos;
    if (Watches && !Mute)
      return; // waits for a change
    json Changed = object("a", 5 + Value, Value);
    if (Watches)
      To.send(
          reply(200, {{"events", {{{"removed", false}, {"object", Changed}}}},
                      {"store_revision", 5 + Value}}));
    else if (Number <= 6)
      To.send(reply(200, Changed));
    else
      To.send(
          reply(200, {{"items", {Changed}}, {"store_revision", 5 + Value}}));
  });
  int Read = 0;
  serving::ObjectStore Store = objectStore(access(Server));
  for (int Call = 0; Call < 6; ++Call)
    Store.Read("things", "a", [&](const auto &) { ++Read; });
  ASSERT_TRUE(runUntil(Context, [&] { return Read == 6; }));
  watch(Server);
  ASSERT_TRUE(told("a=1"));
  ASSERT_TRUE(runUntil(Context, [&] {
    return Server.Heads.back().find("watch=") != std::string::npos;
  }));
  for (const auto &Each : Server.connections())
    Silent.push_back(Each.get());
  Mute = true;
  Value = 2;
  TimePoint Begun = Timers.now();
  EXPECT_TRUE(told("a=2"));
  // The wait of the watch, and its slack, and a round with the store.
  EXPECT_LT(toMilliseconds(Timers.now() - Begun), 1'500);
}

TEST_F(StoreTest, OpensNewConnectionWhenKeptOneWasIdleTooLong) {
  ScriptedServer Server(Context, [&](ScriptedConnection &To, int) {
    To.send(reply(200, object("a", 1, 1)));
  });
  serving::ObjectStore Store = objectStore(access(Server));
  int Read = 0;
  auto ReadOnce = [&] {
    Store.Read("things", "a", [&](const auto &) { ++Read; });
    runUntil(Context, [&, Before = Read] { return Read > Before; });
  };
  ReadOnce();
  ReadOnce();
  EXPECT_EQ(Server.connections().size(), 1u);
  TimePoint Begun = Timers.now();
  runUntil(Context, [&] { return Timers.now() - Begun > milliseconds(1'050); });
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
    for (const serving::StoredObject &Each : std::get<0>(Answer))
      Names.push_back(Each.Name);
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
  for (const Case &Each : Cases) {
    ScriptedServer Server(Context, [&](ScriptedConnection &To, int) {
      if (Each.Status == 0)
        To.reset();
      else
        To.send(reply(Each.Status, {}));
    });
    std::optional<Outcome<serving::StoredObject>> Got;
    objectStore(access(Server))
        .Write("things", {"a", 3, "1"},
               [&](const Outcome<serving::StoredObject> &Answer) {
                 Got = Answer;
               });
    ASSERT_TRUE(runUntil(Context, [&] { return Got.has_value(); }));
    ASSERT_TRUE(errorOf(*Got)) << Each.Status;
    EXPECT_EQ(errorOf(*Got)->Code, Each.Code) << Each.Status;
  }
}

TEST_F(StoreTest, CreatesByPostAndReplacesByPutWithRevision) {
  ScriptedServer Server(Context, [](ScriptedConnection &To, int) {
    To.send(reply(200, object("a", 8, 1)));
  });
  serving::ObjectStore Store = objectStore(access(Server));
  int Done = 0;
  auto Count = [&](const Outcome<serving::StoredObject> &Answer) {
    ASSERT_FALSE(errorOf(Answer));
    EXPECT_EQ(std::get<0>(Answer).Revision, 8);
    ++Done;
  };
  Store.Write("things", {"a", 0, "1"}, Count);
  ASSERT_TRUE(runUntil(Context, [&] { return Done == 1; }));
  Store.Write("things", {"a", 7, "1"}, Count);
  ASSERT_TRUE(runUntil(Context, [&] { return Done == 2; }));
  EXPECT_EQ(Server.Heads[0].rfind("POST /-/objects/things HTTP", 0), 0u);
  EXPECT_EQ(Server.Heads[1].rfind("PUT /-/objects/things/a HTTP", 0), 0u);
  EXPECT_NE(Server.Heads[1].find("\"revision\":7"), std::string::npos);
}

} // namespace
} // namespace samphirehill::platform
