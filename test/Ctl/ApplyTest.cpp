#include "samphirehill/Ctl/Apply.h"

#include "CtlFixture.h"
#include "samphirehill/Groups/Placement.h"
#include "samphirehill/Idempotency/ShardObject.h"

#include <atomic>
#include <cstdio>
#include <fstream>
#include <thread>

namespace samphirehill {
namespace {

constexpr std::size_t FixedObjects = 1 + 1 + ShardCount; // zones, zone, shards

class ApplyTest : public CtlFixture {
protected:
  Report apply(const OperatorsText &Text, ApplyOptions Options = {}) {
    VentureClient Venture(Io, options());
    return applyText(Venture, Text, Options, tell());
  }
};

// Guards against objects that the daemon can't read or that are left out: it
// creates none itself.
TEST_F(ApplyTest, CreatesFixedObjectsOnFirstUseAndForNewZone) {
  EXPECT_EQ(code(apply(makeText("lumen"))), ResultCode::Ok);
  EXPECT_EQ(objectCount(), FixedObjects + 1);
  EXPECT_TRUE(errorOf(capture([&] {
                return placementFromJson(stored("placement/mu-1")["value"]);
              })) == nullptr);
  EXPECT_TRUE(errorOf(capture([&] {
                return shardObjectFromJson(
                    stored("records/63")["value"].dump());
              })) == nullptr);
  EXPECT_EQ(code(apply(makeText("lumen", 16, "mu-2"))), ResultCode::Ok);
  EXPECT_EQ(objectCount(), FixedObjects + 2);
  EXPECT_EQ(stored("config/lumen")["version"], 2);
  EXPECT_EQ(stored("records/0")["version"], 1);
}

// Guards against an apply that says accepted without a stored text, or refused
// with one, whatever happens to the write of the text.
TEST_F(ApplyTest, SaysAcceptedExactlyWhenStored) {
  struct Row {
    const char *Name;
    Json Faults; // from the write of the text on
    ResultCode Result;
    bool Stored;
  };
  const std::vector<Row> Rows = {
      {"no fault", Json::object(), ResultCode::Ok, true},
      {"lost answer", {{"loseAnswers", 1}}, ResultCode::Ok, true},
      {"two lost requests", {{"loseRequests", 2}}, ResultCode::Ok, true},
      {"late effect",
       {{"delayWrites", 1}, {"delayWritesMs", 30}},
       ResultCode::Ok,
       true},
      {"outage", {{"outage", true}}, ResultCode::PlatformUnavailable, false},
      {"no connection",
       {{"unreachable", true}},
       ResultCode::UnknownWriteOutcome,
       false},
  };
  int Number = 0;
  for (const Row &Case : Rows) {
    SCOPED_TRACE(Case.Name);
    Output.clear();
    std::string Operator = "op" + std::to_string(++Number);
    BeforeWrite = [&](const standin::Request &From) {
      if (From.Path != "/objects/config/" + Operator)
        return;
      BeforeWrite = nullptr;
      faults(Case.Faults);
    };
    Report Result = apply(makeText(Operator));
    EXPECT_EQ(code(Result), Case.Result);
    EXPECT_EQ(Result.Fields["accepted"], Case.Stored);
    EXPECT_EQ(Output.find("accepted") != std::string::npos, Case.Stored);
    expectNoSecret(Result);
    faults({{"outage", false}, {"unreachable", false}});
    Json Now = stored("config/" + Operator);
    EXPECT_EQ(!Now.is_null(), Case.Stored);
    // One version only: a repeated write must not store the text twice.
    if (Case.Stored)
      EXPECT_EQ(Now["version"], 1);
  }
}

// Guards against a crash or outage while objects are created that leaves a
// venture which no later apply completes.
TEST_F(ApplyTest, CompletesObjectsAfterOutageInTheMiddle) {
  int Writes = 0;
  BeforeWrite = [&](const standin::Request &) {
    if (++Writes == 20)
      faults({{"outage", true}});
  };
  EXPECT_EQ(code(apply(makeText("lumen"))), ResultCode::PlatformUnavailable);
  BeforeWrite = nullptr;
  faults({{"outage", false}, {"loseAnswers", 2}});
  EXPECT_TRUE(stored("config/lumen").is_null());
  EXPECT_EQ(code(apply(makeText("lumen"))), ResultCode::Ok);
  EXPECT_EQ(objectCount(), FixedObjects + 1);
}

// Guards against a lost update: the later of two writers must be told.
TEST_F(ApplyTest, RefusesWithOtherVersionAfterLostRace) {
  ASSERT_EQ(code(apply(makeText("lumen"))), ResultCode::Ok);
  BeforeWrite = [&](const standin::Request &) {
    BeforeWrite = nullptr;
    put("config/lumen", 1, makeText("lumen", 20).toJson());
  };
  Report Result = apply(makeText("lumen", 30));
  EXPECT_EQ(code(Result), ResultCode::Conflict);
  EXPECT_EQ(exitCodeOf(Result), ExitConflict);
  EXPECT_NE(Result.Failure->Message.find("version 2 (write other-write)"),
            std::string::npos)
      << Result.Failure->Message;
  EXPECT_EQ(stored("config/lumen")["value"], makeText("lumen", 20).toJson());
  ApplyOptions Old;
  Old.ExpectedVersion = 1;
  EXPECT_EQ(code(apply(makeText("lumen", 40), Old)), ResultCode::Conflict);
}

// Guards against two operators' tools that both report success.
TEST_F(ApplyTest, HasOneWinnerOfTwoRacingApplies) {
  struct Held {
    standin::Request From;
    standin::ResponderPtr To;
  };
  std::vector<Held> Waiting;
  std::size_t Arrived = 0;
  std::string Raced = addServer([&](const auto &From, const auto &To) {
    if (From.Method != "PUT" || From.Path != "/objects/config/lumen")
      return Served.handle(From, To);
    // Both must have read before either writes.
    Waiting.push_back({From, To});
    if (++Arrived == 2)
      for (Held &Each : Waiting)
        Served.handle(Each.From, Each.To);
  });
  std::vector<Report> Results(2);
  std::atomic<int> Done = 0;
  std::vector<std::jthread> Tools;
  Tools.reserve(Results.size());
  for (int Index = 0; Index < 2; ++Index)
    Tools.emplace_back([&, Index] {
      asio::io_context Own;
      VentureOptions Options = options();
      Options.Platform = Raced;
      Options.Timeout = seconds(5);
      VentureClient Venture(Own, Options);
      Results[Index] = applyText(Venture, makeText("lumen", 10 + Index), {},
                                 [](const std::string &) {});
      ++Done;
    });
  runUntil([&] { return Done == 2; });
  Tools.clear();
  int Winner = Results[0].Failure ? 1 : 0;
  EXPECT_EQ(code(Results[Winner]), ResultCode::Ok);
  EXPECT_EQ(code(Results[1 - Winner]), ResultCode::Conflict);
  EXPECT_EQ(stored("config/lumen")["value"],
            makeText("lumen", 10 + Winner).toJson());
  EXPECT_EQ(objectCount(), FixedObjects + 1);
}

// Guards against texts that can't be in force together, and against a text that
// comes up during a close and keeps it from ending.
TEST_F(ApplyTest, RefusesClashesAndClose) {
  ASSERT_EQ(code(apply(makeText("zarqa"))), ResultCode::Ok);
  std::string Toml = textToml("lumen");
  Toml.replace(Toml.find("lumen-desk"), 10, "zarqa-desk");
  Outcome<OperatorsText> Clashing =
      capture([&] { return OperatorsText::parse(Toml, "test.toml"); });
  ASSERT_EQ(errorOf(Clashing), nullptr);
  Report Result = apply(std::get<0>(Clashing));
  EXPECT_EQ(code(Result), ResultCode::InvalidText);
  EXPECT_EQ(exitCodeOf(Result), ExitFailure);
  put("zones/state", 1, Json::parse(R"({"zones":{},"close":{"state":"closing",
        "stamp":{"counter":1,"operator":"zarqa/c"}}})"));
  EXPECT_EQ(code(apply(makeText("lumen"))), ResultCode::Closing);
  EXPECT_TRUE(stored("config/lumen").is_null());
}

// Guards against a report of success while an entry still serves the old text,
// and a hung entry that holds up the report of the others.
TEST_F(ApplyTest, TellsWhereTextIsInForce) {
  int Polls = 0;
  addEntry([&] {
    return Json{{"entry", "lumen-1"},
                {"inForce", {{"lumen", ++Polls < 3 ? 0 : 1}}}};
  });
  Entries.push_back(addServer([](const auto &, const auto &) {}));
  ApplyOptions Options;
  Options.Wait = milliseconds(800); // the hung call lasts longer
  Report Result = apply(makeText("lumen"), Options);
  EXPECT_EQ(code(Result), ResultCode::Timeout);
  EXPECT_TRUE(Result.Fields["accepted"]);
  EXPECT_TRUE(Result.Fields["entries"][0]["inForce"]);
  EXPECT_GE(Result.Fields["entries"][0]["afterMs"], 100);
  EXPECT_LT(Result.Fields["entries"][0]["afterMs"], 800);
  EXPECT_FALSE(Result.Fields["entries"][1]["inForce"]);
  EXPECT_EQ(Polls, 3);
  expectNoSecret(Result);
}

// Guards against a plain API key in the problems of a text.
TEST_F(ApplyTest, ValidatesSeveralTextsWithoutShowingKeys) {
  std::string Folder = testing::TempDir();
  auto Write = [&](const std::string &Name, const std::string &Toml) {
    std::ofstream(Folder + Name) << Toml;
    return Folder + Name;
  };
  std::string Lumen = Write("ctl-lumen.toml", textToml("lumen"));
  std::string Zarqa = Write("ctl-zarqa.toml", textToml("zarqa"));
  EXPECT_EQ(code(validateTexts({Lumen, Zarqa}, tell())), ResultCode::Ok);
  EXPECT_EQ(code(validateTexts({Lumen, Lumen}, tell())),
            ResultCode::InvalidText);
  std::string Twice = textToml("lumen");
  Twice += "[[organisations]]\nid = \"two\"\napi_keys = [\"" + ApiKey +
           "lumen\", \"" + ApiKey +
           "lumen\"]\n[[organisations]]\nid = "
           "\"three\"\napi_keys = \"" +
           ApiKey + "\"\n";
  Report Result = validateTexts({Write("ctl-twice.toml", Twice)}, tell());
  EXPECT_EQ(code(Result), ResultCode::InvalidText);
  expectNoSecret(Result);
  EXPECT_EQ(code(validateTexts({Folder + "ctl-none.toml"}, tell())),
            ResultCode::NotFound);
  for (const char *Name :
       {"ctl-lumen.toml", "ctl-zarqa.toml", "ctl-twice.toml"})
    std::remove((Folder + Name).c_str());
}

// Guards against a diff that leaves out or invents changes.
TEST_F(ApplyTest, DiffsAgainstStoredText) {
  ASSERT_EQ(code(apply(makeText("lumen"))), ResultCode::Ok);
  VentureClient Venture(Io, options());
  Report Same = diffText(Venture, makeText("lumen"), tell());
  EXPECT_TRUE(Same.Fields["changes"].empty());
  Report Changed = diffText(Venture, makeText("lumen", 20), tell());
  EXPECT_EQ(Changed.Fields["changes"],
            Json({"~ services.lumen-desk.warm_limit: 16 -> 20"}));
  EXPECT_EQ(Changed.Fields["version"], 1);
}

} // namespace
} // namespace samphirehill
