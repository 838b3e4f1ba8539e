#include "samphirehill/Ctl/CloseRun.h"

#include "CtlFixture.h"

namespace samphirehill {
namespace {

class CloseRunTest : public CtlFixture {
protected:
  // One entry, which acknowledges as soon as it sees the mark, and one engine.
  CloseRunTest() {
    addEntry([this] {
      return Json{{"entry", "lumen-1"}, {"closeAcknowledged", Acknowledges}};
    });
    EngineAddress = addServer([this](const auto &, const auto &To) {
      standin::sendJson(
          To, 200, {{"state", EngineState}, {"runningIds", Json::array()}});
    });
    addInstance("lumen-1", "entry", Entries.front());
    addInstance("engine-1", "engine", EngineAddress);
    seed();
  }

  void addInstance(const std::string &Name, const std::string &Role,
                   const std::string &At) {
    platformCall("POST", "/control/instances",
                 {{"id", Name},
                  {"zone", "mu-1"},
                  {"role", Role},
                  {"address", At},
                  {"state", "live"}});
  }

  void seed() {
    put("zones/state", 0, {{"zones", Json::object()}});
    put("config/lumen", 0, Json::object());
    for (const char *Path : {"placement/mu-1", "records/0", "records/1"})
      put(Path, 0, Json::object());
  }

  Report close(CloseOptions Options = {}) {
    Options.Operator = "lumen";
    Options.Period = milliseconds(10);
    VentureClient Venture(Io, options());
    return closeVenture(Venture, Options, tell());
  }
  bool marked() { return stored("zones/state")["value"].contains("close"); }

  bool Acknowledges = true;
  std::string EngineState = "idle";
  std::string EngineAddress;
};

// Guards against objects that stay behind, and a close that is repeated in
// vain.
TEST_F(CloseRunTest, DeletesAllObjectsAndIsDoneWhenRunAgain) {
  Report Result = close();
  EXPECT_EQ(code(Result), ResultCode::Ok);
  EXPECT_EQ(Result.Fields["deleted"], 5);
  EXPECT_EQ(objectCount(), 0u);
  EXPECT_EQ(code(close()), ResultCode::Ok);
  expectNoSecret(Result);
}

// Guards against a close that can't go on after the tool has crashed, and
// against objects without a mark that an entry would go on using.
TEST_F(CloseRunTest, GoesOnAfterInterruptionAtEachStep) {
  constexpr int Steps = 6; // the mark and five deletions
  for (int Stop = 1; Stop <= Steps; ++Stop) {
    SCOPED_TRACE(Stop);
    int Done = 0;
    CloseOptions Interrupted;
    Interrupted.GoOn = [&] { return ++Done < Stop; };
    EXPECT_NE(code(close(Interrupted)), ResultCode::Ok);
    EXPECT_EQ(Done, Stop);
    EXPECT_EQ(objectCount(), static_cast<std::size_t>(Steps - Stop));
    EXPECT_EQ(marked(), Stop < Steps);
    EXPECT_EQ(code(close()), ResultCode::Ok);
    EXPECT_EQ(objectCount(), 0u);
    seed();
  }
}

// Guards against deletions or a mark that are taken for done or left undone
// when the platform fails at any write.
TEST_F(CloseRunTest, GoesOnAfterFaultAtEachWrite) {
  const std::vector<Json> Faults = {
      {{"outage", true}},
      {{"unreachable", true}},
      {{"loseAnswers", 1}},
      {{"loseRequests", 1}},
      {{"delayWrites", 1}, {"delayWritesMs", 20}}};
  for (const Json &Fault : Faults) {
    for (int At = 1; At <= 6; ++At) {
      SCOPED_TRACE(Fault.dump() + " at write " + std::to_string(At));
      int Writes = 0;
      BeforeWrite = [&](const standin::Request &) {
        if (++Writes != At)
          return;
        faults(Fault);
        standin::after(Io, milliseconds(30), [&] {
          faults({{"outage", false}, {"unreachable", false}});
        });
      };
      CloseOptions Waiting;
      Waiting.Wait = true;
      EXPECT_EQ(code(close(Waiting)), ResultCode::Ok);
      EXPECT_GE(Writes, 6);
      BeforeWrite = nullptr;
      EXPECT_EQ(objectCount(), 0u);
      seed();
    }
  }
}

// Guards against a close that fails because a controller that is about to stop
// updates its object once more.
TEST_F(CloseRunTest, ReadsAgainWhenObjectWasUpdated) {
  BeforeWrite = [&](const standin::Request &From) {
    if (From.Path != "/objects/placement/mu-1")
      return;
    BeforeWrite = nullptr;
    put("placement/mu-1", 1, {{"fence", 2}});
  };
  EXPECT_EQ(code(close()), ResultCode::Ok);
  EXPECT_EQ(objectCount(), 0u);
}

// Guards against an outage that a run without --wait reports as done.
TEST_F(CloseRunTest, FailsWithoutWaitDuringOutage) {
  faults({{"outage", true}});
  Report Result = close();
  EXPECT_EQ(exitCodeOf(Result), ExitFailure);
  EXPECT_FALSE(Result.Fields["complete"]);
  faults({{"outage", false}});
  EXPECT_EQ(code(close()), ResultCode::Ok);
}

// Guards against deleting under an entry that works or an engine that is
// loaded.
TEST_F(CloseRunTest, WaitsForEntriesAndThenForEngines) {
  Acknowledges = false;
  EngineState = "warm";
  EXPECT_EQ(code(close()), ResultCode::Timeout);
  EXPECT_NE(Output.find("waiting for entries lumen-1"), std::string::npos);
  Acknowledges = true;
  EXPECT_EQ(code(close()), ResultCode::Timeout);
  EXPECT_NE(Output.find("waiting for engines engine-1"), std::string::npos);
  EXPECT_EQ(objectCount(), 5u);
  EXPECT_TRUE(marked());
  standin::after(Io, milliseconds(40), [&] { EngineState = "idle"; });
  CloseOptions Waiting;
  Waiting.Wait = true;
  EXPECT_EQ(code(close(Waiting)), ResultCode::Ok);
  EXPECT_EQ(objectCount(), 0u);
}

// Guards against an entry that runs but is skipped, because its address or its
// key is wrong.
TEST_F(CloseRunTest, DoesNotDeletePastSilentOrRefusingEntry) {
  std::string Known = Entries.front();
  Entries.clear();
  EXPECT_EQ(code(close()), ResultCode::Timeout);
  EXPECT_NE(Output.find("no answer at a given --entry address from lumen-1"),
            std::string::npos);
  Entries = {addServer([](const auto &, const auto &To) {
    standin::sendJson(To, 401, Json::object());
  })};
  Report Refused = close();
  EXPECT_NE(code(Refused), ResultCode::Ok);
  EXPECT_NE(Output.find("refused the operator key"), std::string::npos);
  EXPECT_EQ(objectCount(), 5u);
  expectNoSecret(Refused);
}

// Guards against a text applied during the close that stays behind, because
// zones/state was already deleted.
TEST_F(CloseRunTest, DeletesWhatWasCreatedDuringClose) {
  BeforeWrite = [&](const standin::Request &From) {
    if (From.Path != "/objects/zones/state" || From.Method != "DELETE")
      return;
    BeforeWrite = nullptr;
    put("config/zarqa", 0, Json::object());
  };
  EXPECT_EQ(code(close()), ResultCode::Ok);
  EXPECT_EQ(objectCount(), 0u);
  EXPECT_NE(Output.find("a text was applied"), std::string::npos);
}

} // namespace
} // namespace samphirehill
