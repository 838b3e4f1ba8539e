#include "samphirehill/Net/Platform.h"

#include "Serving/Loopback.h"
#include "Standins/StandinFixture.h"
#include "standin-platform/Platform.h"

#include <rapidcheck/gtest.h>

#include <vector>

namespace samphirehill {
namespace {

using standin::Json;

const ObjectKey Key{"placement", "mu-1"};

class PlatformTest : public standin::StandinFixture {
protected:
  PlatformTest() {
    serve(
        [this](const auto &From, const auto &To) { Served.handle(From, To); });
    connect(Address);
  }

  void connect(const std::string &To) {
    Adapter = makeHttpPlatform(Client, {To, milliseconds(300)});
  }

  Outcome<Object> read(const ObjectKey &Of = Key) {
    return await<Object>([&](auto Done) { Adapter->readObject(Of, Done); });
  }
  Outcome<std::uint64_t> write(std::uint64_t Expected, const std::string &Value,
                               const std::string &WriteId = "w") {
    return await<std::uint64_t>([&](auto Done) {
      Adapter->writeObject(Key, Expected, Value, WriteId, Done);
    });
  }
  Outcome<std::uint64_t> remove(std::uint64_t Expected) {
    return await<std::uint64_t>(
        [&](auto Done) { Adapter->deleteObject(Key, Expected, Done); });
  }
  Outcome<ObjectList> watch(std::uint64_t After, Duration Wait) {
    return await<ObjectList>(
        [&](auto Done) { Adapter->watchObjects(Key.Kind, After, Wait, Done); });
  }
  Outcome<InstanceList> watchInstances(std::uint64_t After, Duration Wait) {
    return await<InstanceList>(
        [&](auto Done) { Adapter->watchInstances(After, Wait, Done); });
  }

  template <typename T> static ResultCode code(const Outcome<T> &Value) {
    const Error *Failure = errorOf(Value);
    return Failure ? Failure->Code : ResultCode::Ok;
  }
  // The version of the object now, 0 when there is none; reads past faults.
  std::uint64_t versionNow() {
    setFaults({{"outage", false},
               {"unreachable", false},
               {"slowMs", 0},
               {"readsPerSecond", 0},
               {"writesPerSecond", 0}});
    Outcome<Object> Now = read();
    return errorOf(Now) ? 0 : std::get<0>(Now).Version;
  }

  standin::Platform Served{Io, {}};
  std::unique_ptr<Platform> Adapter;
};

// Guards against fields lost between writing and reading.
TEST_F(PlatformTest, ReadsWhatWasWritten) {
  EXPECT_EQ(code(read()), ResultCode::NotFound);
  EXPECT_EQ(std::get<0>(write(0, R"({"a":[1,"x"]})", "w1")), 1u);
  Object Expected{Key, 1, R"({"a":[1,"x"]})", "w1"};
  EXPECT_EQ(std::get<0>(read()), Expected);
  EXPECT_EQ(std::get<0>(write(1, "{}", "w2")), 2u);
  Outcome<ObjectList> All = await<ObjectList>(
      [&](auto Done) { Adapter->listObjects(Key.Kind, Done); });
  EXPECT_TRUE(std::get<0>(All).Complete);
  EXPECT_EQ(std::get<0>(All).Items,
            (std::vector<Object>{Object{Key, 2, "{}", "w2"}}));
}

// Guards against a process that was paused through a close and writes its
// object back, and against versions that repeat after deletion.
TEST_F(PlatformTest, RefusesWriteWhenObjectWasDeleted) {
  write(0, "{}");
  EXPECT_EQ(std::get<0>(remove(1)), 1u);
  EXPECT_EQ(code(write(1, "{}")), ResultCode::NotFound);
  EXPECT_EQ(code(remove(1)), ResultCode::NotFound);
  EXPECT_EQ(std::get<0>(write(0, "{}")), 2u);
}

// Guards against a lost write that is taken for a refused one, and the reverse:
// a caller that trusts either would run a request twice or never.
TEST_F(PlatformTest, TellsWhatBecameOfWriteUnderFaults) {
  struct Row {
    const char *Name;
    Json Faults;
    std::uint64_t Expected; // If-Match, while the object has version 1
    ResultCode Result;
    std::uint64_t VersionAfter;
  };
  const std::vector<Row> Rows = {
      {"no fault", {}, 1, ResultCode::Ok, 2},
      {"slow within the timeout", {{"slowMs", 20}}, 1, ResultCode::Ok, 2},
      {"outage", {{"outage", true}}, 1, ResultCode::PlatformUnavailable, 1},
      {"closed connection",
       {{"unreachable", true}},
       1,
       ResultCode::UnknownWriteOutcome,
       1},
      {"lost answer",
       {{"loseAnswers", 1}},
       1,
       ResultCode::UnknownWriteOutcome,
       2},
      {"lost request",
       {{"loseRequests", 1}},
       1,
       ResultCode::UnknownWriteOutcome,
       1},
      {"rate limit",
       {{"writesPerSecond", 0.001}},
       1,
       ResultCode::PlatformRateLimited,
       1},
      {"stale version", {}, 7, ResultCode::Conflict, 1},
      {"exists already", {}, 0, ResultCode::Conflict, 1},
  };
  for (bool Deletes : {false, true}) {
    for (const Row &Case : Rows) {
      SCOPED_TRACE(std::string(Case.Name) + (Deletes ? ", delete" : ", put"));
      standin::Platform Fresh(Io, {});
      serve([&](const auto &From, const auto &To) { Fresh.handle(From, To); });
      connect(Address);
      ASSERT_EQ(code(write(0, "{}")), ResultCode::Ok);
      if (!Case.Faults.is_null())
        setFaults(Case.Faults);
      // Uses up the rate's burst of one.
      if (Case.Result == ResultCode::PlatformRateLimited)
        write(7, "{}");
      Outcome<std::uint64_t> Result =
          Deletes ? remove(Case.Expected) : write(Case.Expected, "{}");
      EXPECT_EQ(code(Result), Case.Result);
      bool TookEffect = Case.VersionAfter == 2;
      EXPECT_EQ(versionNow(), Deletes && TookEffect ? 0 : Case.VersionAfter);
      Server.reset();
    }
  }
}

// Guards against a write that takes effect after its caller has read the object
// and found it unchanged: the late write must not overwrite a later one.
TEST_F(PlatformTest, RefusesDelayedWriteWhenObjectHasChanged) {
  write(0, "{}");
  setFaults({{"delayWrites", 1}, {"delayWritesMs", 30}});
  EXPECT_EQ(code(write(1, "{}", "late")), ResultCode::UnknownWriteOutcome);
  EXPECT_EQ(std::get<0>(read()).Version, 1u);
  EXPECT_EQ(code(write(1, "{}", "next")), ResultCode::Ok);
  bool Passed = false;
  standin::after(Io, milliseconds(60), [&] { Passed = true; });
  runUntil([&] { return Passed; });
  EXPECT_EQ(std::get<0>(read()).WriteId, "next");
}

TEST_F(PlatformTest, TellsWhyReadFails) {
  struct Row {
    const char *Name;
    Json Faults;
    ResultCode Result;
  };
  write(0, "{}");
  for (const Row &Case :
       {Row{"outage", {{"outage", true}}, ResultCode::PlatformUnavailable},
        Row{"closed connection",
            {{"unreachable", true}},
            ResultCode::PlatformUnavailable},
        Row{"slow", {{"slowMs", 400}}, ResultCode::PlatformUnavailable},
        Row{"rate limit",
            {{"readsPerSecond", 0.001}},
            ResultCode::PlatformRateLimited}}) {
    SCOPED_TRACE(Case.Name);
    setFaults(Case.Faults);
    if (Case.Result == ResultCode::PlatformRateLimited)
      read(); // uses up the rate's burst of one
    EXPECT_EQ(code(read()), Case.Result);
    EXPECT_EQ(versionNow(), 1u);
  }
}

// Guards against a write that is called unknown although no byte was sent.
TEST_F(PlatformTest, RefusesWriteWhenNobodyListens) {
  Server.reset();
  EXPECT_EQ(code(write(0, "{}")), ResultCode::PlatformUnavailable);
}

// Guards against answers of a platform that breaks the interface: a write's
// outcome then isn't known.
TEST_F(PlatformTest, DistrustsAnswersThatBreakTheInterface) {
  for (const auto &[Status, Body] :
       std::vector<std::pair<int, std::string>>{{200, "{"},
                                                {200, "[]"},
                                                {200, R"({"version":"x"})"},
                                                {500, ""},
                                                {302, ""}}) {
    SCOPED_TRACE(std::to_string(Status) + Body);
    serve([Status = Status, Body = Body](const auto &, const auto &To) {
      To->send(Status, Body);
    });
    connect(Address);
    EXPECT_EQ(code(write(1, "{}")), ResultCode::UnknownWriteOutcome);
    EXPECT_EQ(code(read()), ResultCode::BadAnswer);
    EXPECT_EQ(code(watchInstances(0, Duration(0))), ResultCode::BadAnswer);
  }
}

// Guards against one item of another writer that hides all others, or ends the
// process.
TEST_F(PlatformTest, ReadsTheOthersBesideAnOddItem) {
  const std::string Sound =
      R"({"id":"e1","zone":"mu-1","role":"engine","state":"live",)"
      R"("address":"127.0.0.1:9"})";
  const std::string Odd[] = {"1",
                             "{}",
                             R"({"id":"e2","role":"cook"})",
                             R"({"id":"e2","n":1e999})",
                             "{\"id\":\"e2\",\"n\":\"\xff\"}",
                             R"({"id":"e2","n":)" + std::string(400'000, '[') +
                                 std::string(400'000, ']') + "}"};
  for (const std::string &Each : Odd) {
    SCOPED_TRACE(Each.substr(0, 40));
    serve([&](const auto &From, const auto &To) {
      bool Instances = From.Path.find("instances") != std::string::npos;
      std::string Item = Instances ? Sound
                                   : R"({"kind":"placement","name":"mu-1",)"
                                     R"("version":3,"value":)" +
                                         Each + "}";
      To->send(200, R"({"revision":5,"complete":true,"items":[)" + Each + "," +
                        Item + "]}");
    });
    connect(Address);
    Outcome<InstanceList> Instances = watchInstances(0, Duration(0));
    ASSERT_EQ(code(Instances), ResultCode::Ok);
    EXPECT_EQ(std::get<0>(Instances).Items.size(), 1u);
    EXPECT_EQ(std::get<0>(Instances).Skipped, 1);
    Outcome<ObjectList> Objects = watch(0, Duration(0));
    ASSERT_EQ(code(Objects), ResultCode::Ok);
    ASSERT_EQ(std::get<0>(Objects).Items.size(), 1u);
    EXPECT_EQ(std::get<0>(Objects).Items[0].Value, Each);
  }
}

// Guards against changes and deletions that a watch misses.
TEST_F(PlatformTest, ShowsEveryChangeToWatch) {
  std::uint64_t Revision = std::get<0>(watch(0, Duration(0))).Revision;
  standin::after(Io, milliseconds(20), [this] {
    Adapter->writeObject(Key, 0, "{}", "w1", [](const auto &) {});
  });
  ObjectList Changed = std::get<0>(watch(Revision, seconds(5)));
  EXPECT_FALSE(Changed.Complete);
  EXPECT_EQ(Changed.Items, (std::vector<Object>{Object{Key, 1, "{}", "w1"}}));
  remove(1);
  ObjectList Gone = std::get<0>(watch(Changed.Revision, seconds(5)));
  EXPECT_TRUE(Gone.Items.empty());
  EXPECT_EQ(Gone.Deleted, std::vector<ObjectKey>{Key});
  ObjectList Quiet = std::get<0>(watch(Gone.Revision, milliseconds(20)));
  EXPECT_TRUE(Quiet.Items.empty() && Quiet.Deleted.empty());
  EXPECT_EQ(Quiet.Revision, Gone.Revision);
}

// Guards against a caller that waits for changes after a revision which a
// restarted platform doesn't know.
TEST_F(PlatformTest, ListsAllWhenRevisionIsUnknown) {
  write(0, "{}");
  ObjectList All = std::get<0>(watch(1000, seconds(5)));
  EXPECT_TRUE(All.Complete);
  EXPECT_EQ(All.Items.size(), 1u);
}

// Guards against lost fields of instances, and against a list without lag that
// would hide faults of its readers.
TEST_F(PlatformTest, ShowsInstancesAfterLag) {
  Json Item = {
      {"id", "e1"},       {"zone", "mu-1"},           {"fabricDomain", "r1"},
      {"role", "engine"}, {"address", "127.0.0.1:9"}, {"accelerators", 2},
      {"state", "live"}};
  setFaults({{"instanceLagMs", 30}});
  call("POST", "/control/instances", Item);
  InstanceList Before = std::get<0>(watchInstances(0, Duration(0)));
  EXPECT_TRUE(Before.Items.empty());
  InstanceList Shown = std::get<0>(watchInstances(Before.Revision, seconds(5)));
  Instance Expected{InstanceId("e1"),     ZoneId("mu-1"), DomainId("r1"),
                    InstanceRole::Engine, "127.0.0.1:9",  2,
                    InstanceState::Live};
  EXPECT_EQ(Shown.Items, std::vector<Instance>{Expected});
  setFaults({{"instanceLagMs", 0}});
  call("POST", "/control/instances", {{"id", "e1"}, {"state", "leaving"}});
  Expected.State = InstanceState::Leaving;
  InstanceList Leaving =
      std::get<0>(watchInstances(Shown.Revision, seconds(5)));
  EXPECT_EQ(Leaving.Items, std::vector<Instance>{Expected});
  call("POST", "/control/instances", {{"id", "e1"}, {"state", "gone"}});
  InstanceList Gone = std::get<0>(watchInstances(Leaving.Revision, seconds(5)));
  EXPECT_EQ(Gone.Deleted, std::vector<InstanceId>{InstanceId("e1")});
}

// Guards against callbacks into freed state.
TEST_F(PlatformTest, CallsNothingAfterCancel) {
  bool Called = false;
  CallId Call = Adapter->watchObjects(Key.Kind, 0, seconds(5),
                                      [&](const auto &) { Called = true; });
  Adapter->cancel(Call);
  write(0, "{}");
  EXPECT_EQ(std::get<0>(read()).Version, 1u);
  EXPECT_FALSE(Called);
}

// Guards against lost or doubled updates when lost answers are settled by the
// write id: a counter that is raised under faults must end at the number of
// raises that were settled as done.
RC_GTEST_FIXTURE_PROP(PlatformTest, CountsEveryRaiseOnceUnderLostAnswers, ()) {
  auto Faults =
      *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 3));
  RC_ASSERT(code(write(0, "0")) == ResultCode::Ok);
  int Done = 0;
  for (std::size_t Step = 0; Step < Faults.size(); ++Step) {
    if (Faults[Step] > 0)
      setFaults({{Faults[Step] == 1 ? "loseAnswers" : "loseRequests", 1}});
    Object Now = std::get<0>(read());
    std::string WriteId = "w" + std::to_string(Step);
    std::string Next = std::to_string(std::stoi(Now.Value) + 1);
    Outcome<std::uint64_t> Result = write(Now.Version, Next, WriteId);
    if (code(Result) == ResultCode::UnknownWriteOutcome)
      Done += std::get<0>(read()).WriteId == WriteId;
    else
      Done += code(Result) == ResultCode::Ok;
  }
  RC_ASSERT(std::get<0>(read()).Value == std::to_string(Done));
}

// Guards against the copy of an answer that is taken for the next one: answers
// of the platform name no call.
TEST_F(PlatformTest, TakesNoCopyOfAnAnswerForTheNextRead) {
  const auto Answer = [](int Status, const std::string &Body) {
    return "HTTP/1.1 " + std::to_string(Status) +
           " X\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
           Body;
  };
  const std::string Gone = Answer(404, "{}");
  const std::string Held = Answer(
      200, R"({"kind":"placement","name":"mu-1","version":3,"value":{}})");
  std::unique_ptr<serving::ScriptedServer> Scripted;
  Scripted = std::make_unique<serving::ScriptedServer>(
      Io, [&](serving::ScriptedConnection &To, int Number) {
        if (Number == 1)
          return To.send(Gone);
        Scripted->connections()[0]->send(Gone);
        To.send(Held);
      });
  connect("127.0.0.1:" + std::to_string(Scripted->port()));
  EXPECT_EQ(code(read()), ResultCode::NotFound);
  EXPECT_EQ(code(read()), ResultCode::Ok);
}

} // namespace
} // namespace samphirehill
